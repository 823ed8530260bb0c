"""Compares the policies under load and faults: ``python -m bench.main``."""

import argparse
import csv
import dataclasses
import pathlib
import sys
from collections.abc import Callable, Iterator
from typing import Final

from bench.driver import World, drain_of
from bench.fleet import ENGINE
from bench.measures import Figures
from bench.policies import POLICIES, PREDICTIONS
from bench.workloads import BRIEFS, PLANS, Workload, draw

RESULTS: Final = pathlib.Path(__file__).parent / 'results' / 'policies.csv'
DURATION_S: Final = 80.0
FAULT_AT_S: Final = 20.0
RETURN_AT_S: Final = 40.0
NOTICE_S: Final = 10.0
SEED: Final = 20261204
SAMPLE_S: Final = 4000.0
USABLE_MEMORY: Final = 0.9
LOADS: Final = (70, 100, 130)
WORKLOADS: Final = (PLANS, BRIEFS)

Fault = Callable[[World], None]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Row:
    """One run and its figures."""

    workload: str
    load: int
    fault: str
    policy: str
    figures: Figures


def capacity(workload: Workload) -> float:
    """Return the requests a second that all engines can just bear.

    Memory bounds the batch: each request holds its prompt and the tokens so
    far for as many steps as it has tokens, while prefilling stops the steps.
    Shared prefixes count as cached.

    :param workload: the workload
    """
    sample = draw(workload, 1, SAMPLE_S, SEED)
    count = len(sample)
    footprint = (
        sum(
            one.prompt_tokens * one.output_tokens + one.output_tokens**2 / 2
            for one in sample
        )
        / count
    )
    output = sum(one.output_tokens for one in sample) / count
    prompt = sum(one.prompt_tokens - one.prefix_tokens for one in sample)
    memory = ENGINE.memory_tokens * USABLE_MEMORY
    batch = memory * output / footprint
    step_ms = (
        ENGINE.step_ms
        + ENGINE.step_ms_per_generation * batch
        + ENGINE.step_ms_per_1000_tokens * memory / 1000
    )
    busy_ms = footprint * step_ms / memory
    busy_ms += prompt / count / ENGINE.prefill_tokens_per_ms
    return sum(workload.data_centres) * 1000 / busy_ms


def _healthy(world: World) -> None:
    """Let nothing fail."""


def _engine_dies(world: World) -> None:
    world.fleet.events.at(FAULT_AT_S, lambda: world.fleet.kill('e00'))


def _engine_turns_cold(world: World) -> None:
    world.fleet.events.at(FAULT_AT_S, lambda: world.fleet.turn_cold('e00'))


def _engine_reclaimed(world: World) -> None:
    nothing: frozenset[str] = frozenset()
    leaving = frozenset(('h00',))
    ended_at = FAULT_AT_S + NOTICE_S
    world.fleet.events.at(FAULT_AT_S, lambda: world.configure((), leaving))
    world.fleet.events.at(ended_at, lambda: world.fleet.kill('e00'))
    world.fleet.events.at(RETURN_AT_S, lambda: world.configure((), nothing))


def _data_centre_leaves(world: World) -> None:
    nothing: frozenset[str] = frozenset()
    drains = (drain_of('d2'),)
    world.fleet.events.at(FAULT_AT_S, lambda: world.configure(drains, nothing))
    world.fleet.events.at(RETURN_AT_S, lambda: world.configure((), nothing))


def _scheduler_killed(world: World) -> None:
    world.fleet.events.at(FAULT_AT_S, lambda: world.kill_scheduler('d0'))


FAULTS: Final[dict[str, Fault]] = {
    'none': _healthy,
    'engine dies': _engine_dies,
    'engine turns cold': _engine_turns_cold,
    'engine reclaimed': _engine_reclaimed,
    'data centre leaves': _data_centre_leaves,
    'scheduler killed': _scheduler_killed,
}


def run_one(
    workload: Workload,
    load: int,
    fault: str,
    policy: str,
    *,
    seed: int = SEED,
    duration: float = DURATION_S,
) -> Row:
    """Run one policy through one case.

    :param workload: whose requests
    :param load: arrivals, in percent of capacity
    :param fault: what fails
    :param policy: what decides
    :param seed: seed of the arrivals
    :param duration: time of arrivals, in seconds
    """
    rate = capacity(workload) * load / 100
    arrivals = draw(workload, rate, duration, seed)
    decide = (POLICIES | PREDICTIONS)[policy]
    world = World(workload, arrivals, decide, duration)
    FAULTS[fault](world)
    return Row(
        workload=workload.name,
        load=load,
        fault=fault,
        policy=policy,
        figures=world.run(),
    )


def _cases() -> Iterator[tuple[Workload, int, str]]:
    for workload in WORKLOADS:
        for load in LOADS:
            yield workload, load, 'none'
        for fault in FAULTS:
            if fault != 'none':
                yield workload, 70, fault


def print_row(row: Row) -> None:
    figures = row.figures
    print(
        f'{row.workload:10} {row.load:4}% {row.fault:18} {row.policy:18}'
        f'{figures.stall_s:9.1f} {figures.preemptions:8.1f}'
        f'{figures.gap_p95_ms:7.0f} {figures.gap_p99_ms:7.0f}'
        f'{figures.first_token_p95_ms:8.0f}'
        f'{figures.short_first_token_p95_ms:8.0f}'
        f'{figures.tokens_a_second:8.0f} {figures.served:7.3f}'
        f'{figures.worst_workspace:7.3f} {figures.lost:6.3f}'
        f'{figures.falls:4}',
        flush=True,
    )


HEADER: Final = (
    'workload   load  fault              policy              stall s'
    '  preempt gap p95  p99 ms  first p95  short   tok/s  served  worst'
    '   lost falls'
)


def main(arguments: list[str]) -> int:
    """Run every case, print the table and write it as CSV.

    :param arguments: command line without the program's name
    :returns: exit code
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--fault', default='', help='run this fault only')
    parser.add_argument(
        '--load', type=int, default=0, help='run this load only'
    )
    parser.add_argument('--seed', type=int, default=SEED, help='of arrivals')
    parser.add_argument('--output', default='', help='CSV to write')
    options = parser.parse_args(arguments)
    print(HEADER)
    rows: list[Row] = []
    for workload, load, fault in _cases():
        wanted = options.fault in {'', fault} and options.load in {0, load}
        for policy in POLICIES if wanted else ():
            rows.append(
                run_one(workload, load, fault, policy, seed=options.seed)
            )
            print_row(rows[-1])
    if options.output:
        write(rows, pathlib.Path(options.output))
    elif not options.fault and not options.load:
        write(rows, RESULTS)
    return 0


def write(rows: list[Row], path: pathlib.Path) -> None:
    """Write the table as CSV.

    :param rows: the runs
    :param path: file to write
    """
    names = [field.name for field in dataclasses.fields(Figures)]
    path.parent.mkdir(exist_ok=True)
    with path.open('w', newline='') as file:
        writer = csv.writer(file, lineterminator='\n')
        writer.writerow(('workload', 'load', 'fault', 'policy', *names))
        for row in rows:
            values = dataclasses.astuple(row.figures)
            rounded = [round(value, 4) for value in values]
            writer.writerow(
                (row.workload, row.load, row.fault, row.policy, *rounded)
            )


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
