"""Measures what a decision on admission costs: ``python -m bench.admission``.

A full fleet has runs on all engines and requests that wait. Each measured
decision is that on one arrival, without the assignment of engines.
"""

import csv
import pathlib
import random
import statistics
import sys
import time
from typing import Final

from mastichatch_core.generated.messages import Run, RunState
from mastichatch_core.relay.admission.forecast import (
    forecast_waits,
    measure_supply,
)
from mastichatch_core.relay.admission.room import RoomTracker
from mastichatch_core.relay.engine_queue import QueuePlan, plan_queue
from mastichatch_core.relay.model import Endpoint, EndpointState, Engine

RESULTS: Final = pathlib.Path(__file__).parent / 'results' / 'admission.csv'
SERVICE: Final = 'llm'
SEED: Final = 20261206
RUNS: Final = 2000
ENGINE_COUNT: Final = 90
WAITING: Final = (10, 50, 200)
REPEATS: Final = 1000
US_PER_NS: Final = 0.001
PERCENTILES: Final = 100
AVERAGE_AGE_S: Final = 0.2
ENGINE: Final = Engine(
    batch_limit=RUNS,
    memory_tokens=26970,
    bytes_per_token=1,
    link_bytes_per_ms=1,
    can_move=False,
    can_back_up=False,
    tokens_per_event=4,
)
HEADER: Final = ('step', 'runs', 'engines', 'waiting', 'p50_us', 'p99_us')


def main() -> int:
    """Measure every case, print the table and write it as CSV.

    :returns: exit code
    """
    rows = [row for waiting in WAITING for row in measure(waiting)]
    with RESULTS.open('w', newline='', encoding='utf-8') as target:
        writer = csv.writer(target, lineterminator='\n')
        writer.writerow(HEADER)
        writer.writerows(rows)
    for row in (HEADER, *rows):
        print(*row, sep='\t')
    return 0


def measure(waiting: int) -> list[tuple[object, ...]]:
    """Return the cost of a forecast and of a change to the sums.

    :param waiting: number of waiting requests
    """
    chance = random.Random(SEED)
    room = RoomTracker()
    runs = [_run(number, waiting, chance) for number in range(RUNS + waiting)]
    for one in runs:
        room.update(one, 0)
    endpoints = tuple(_endpoint(number) for number in range(ENGINE_COUNT))
    plan = plan_queue(
        runs, endpoints, ENGINE, lambda run: -AVERAGE_AGE_S, 'north'
    )
    costs = {
        'forecast': [
            _forecast_us(plan, endpoints, room) for _ in range(REPEATS)
        ],
        'change': [_update_us(room, run) for run in runs[:REPEATS]],
    }
    return [
        (name, RUNS, ENGINE_COUNT, waiting, *_percentiles(measured))
        for name, measured in costs.items()
    ]


def _forecast_us(
    plan: QueuePlan,
    endpoints: tuple[Endpoint, ...],
    room: RoomTracker,
) -> float:
    started = time.thread_time_ns()
    supply = measure_supply(endpoints, ENGINE, plan, room, 0)
    forecast_waits(plan, supply, lambda run: -AVERAGE_AGE_S, 0, ('r0', 'r1'))
    return (time.thread_time_ns() - started) * US_PER_NS


def _update_us(room: RoomTracker, run: Run) -> float:
    started = time.thread_time_ns()
    room.update(run, 1)
    return (time.thread_time_ns() - started) * US_PER_NS


def _percentiles(costs: list[float]) -> tuple[float, float]:
    quantiles = statistics.quantiles(costs, n=PERCENTILES)
    return round(statistics.median(costs), 1), round(quantiles[-1], 1)


def _run(number: int, waiting: int, chance: random.Random) -> Run:
    is_short = chance.random() < 1 / 2
    is_waiting = number < waiting
    return Run(
        request_id=f'r{number}',
        service=SERVICE,
        state=RunState.waiting if is_waiting else RunState.running,
        endpoint='' if is_waiting else f'e{number % ENGINE_COUNT}',
        rank=0 if is_short else 1,
        prompt_tokens=2550 if is_short else 3079,
        expected_tokens=8 if is_short else 748,
        output_tokens=0 if is_short or is_waiting else chance.randrange(748),
        objective_ms=1509 if is_short else 4013,
    )


def _endpoint(number: int) -> Endpoint:
    return Endpoint(
        instance=f'e{number}',
        service=SERVICE,
        address='',
        data_centre='north',
        slots=RUNS,
        state=EndpointState.ready,
    )


if __name__ == '__main__':
    sys.exit(main())
