"""Drills of the store, one after the other, under callers' load.

By hand: ``python -m tests.soak.drills --count 20``.
"""

import argparse
import asyncio
import dataclasses
import itertools
import pathlib
import random
import sys
import tempfile
import time
from typing import Final

from tests.soak import faults
from tests.soak.fleet import Fleet, open_fleet
from tests.soak.load import Callers
from tests.soak.promises import broken_promises
from tests.soak.run import START_S, all_ready, calling

# Longest time from the store's return until its configuration is in force.
IN_FORCE_S: Final = 1.0
COPY_AGE_S: Final = 1.5
# Writes that follow the return at once, by drill.
CHANGES: Final = (faults.FEW_CHANGES, faults.LOST_WRITES, faults.MANY_CHANGES)
PROBE_S: Final = 0.02
PROBE_LIMIT_S: Final = 8.0

_OK: Final = 200
_NOT_FOUND: Final = 404


@dataclasses.dataclass(frozen=True, kw_only=True)
class Report:
    """What came of a row of drills.

    :param broken: a line for each figure or promise that was not kept
    :param sent: requests sent
    :param served: those answered with a whole success
    :param in_force_s: by drill, the time until all nodes had the configuration
        that was written after the return, in seconds
    :param gone_answers: by drill, watches that were answered 410
    """

    broken: tuple[str, ...]
    sent: int
    served: int
    in_force_s: tuple[float, ...]
    gone_answers: tuple[int, ...]


async def play_drills(count: int, seed: int, folder: pathlib.Path) -> Report:
    """Play drills, during which all requests must be served.

    :param count: number of drills
    :param seed: decides the load
    :param folder: where nodes write their logs
    """
    draws = random.Random(seed)
    broken: list[str] = []
    in_force_s: list[float] = []
    async with open_fleet(folder, draws) as fleet:
        fleet.is_calm = True
        callers = Callers(fleet, draws)
        if not await all_ready(fleet, START_S):
            broken.append('the fleet did not become ready')
        async with calling(callers):
            for number in range(1, count + 1):
                former = fleet.version_prefix
                changes = CHANGES[number % len(CHANGES)]
                in_force_s.append(await _play_drill(fleet, callers, changes))
                if in_force_s[-1] > IN_FORCE_S:
                    broken.append(
                        f'drill {number}: the configuration was in force '
                        f'after {in_force_s[-1]:.2f} s'
                    )
                found = await _probe_all(fleet, callers, former)
                if found != {_NOT_FOUND}:
                    broken.append(f'drill {number}: old route {found}')
        await callers.finish()
        fleet.note_ended()
        records = fleet.records
        refused = [one for one in records.outcomes if one.status != _OK]
        broken.extend(
            f'{one.request_id} got {one.status} {one.body[:60]!r} '
            f'from {one.node}'
            for one in refused
        )
        return Report(
            broken=(*broken, *broken_promises(records)),
            sent=len(records.outcomes),
            served=sum(
                one.status == _OK and one.is_whole for one in records.outcomes
            ),
            in_force_s=tuple(in_force_s),
            gone_answers=tuple(one.gone_answers for one in records.drills),
        )


async def _play_drill(fleet: Fleet, callers: Callers, changes: int) -> float:
    """Play one drill, and return how long its configuration took."""
    drill = asyncio.ensure_future(faults.play_drill(fleet, COPY_AGE_S, changes))
    era = fleet.store.era
    while fleet.store.era == era:
        await asyncio.sleep(PROBE_S / 2)
    returned_at = time.monotonic()
    await fleet.change_configuration()
    for _ in itertools.takewhile(
        lambda _: time.monotonic() < returned_at + PROBE_LIMIT_S,
        itertools.repeat(None),
    ):
        if await _probe_all(fleet, callers, fleet.version_prefix) == {_OK}:
            break
        await asyncio.sleep(PROBE_S)
    in_force_s = time.monotonic() - returned_at
    await drill
    return in_force_s


async def _probe_all(fleet: Fleet, callers: Callers, prefix: str) -> set[int]:
    """Return the statuses of a request to each node."""
    outcomes = await asyncio.gather(
        *(callers.probe(name, prefix) for name in fleet.nodes)
    )
    served = (one for one in outcomes if one.status == _OK)
    fleet.records.outcomes.extend(served)
    return {one.status for one in outcomes}


def main() -> int:
    """Play drills and return the number of figures that were not kept."""
    parser = argparse.ArgumentParser(description='Drills of the store')
    parser.add_argument('--seed', type=int, default=1, help='of the load')
    parser.add_argument('--count', type=int, default=20, help='drills')
    parser.add_argument('--logs', type=pathlib.Path, help='folder of logs')
    options = parser.parse_args()
    logs = options.logs or pathlib.Path(tempfile.mkdtemp(prefix='drills-'))
    logs.mkdir(parents=True, exist_ok=True)
    report = asyncio.run(play_drills(options.count, options.seed, logs))
    times = ' '.join(f'{one:.2f}' for one in report.in_force_s)
    lines = (
        f'logs in {logs}',
        *report.broken,
        f'in force after, in s: {times}',
        f'answers 410: {report.gone_answers}',
        f'{report.served} of {report.sent} requests served, '
        f'{len(report.broken)} broken',
    )
    sys.stdout.write(''.join(f'{line}\n' for line in lines))
    return len(report.broken)


if __name__ == '__main__':
    sys.exit(main())
