"""A cold engine never gets more than it bears, whatever becomes of nodes.

Real processes; the engines' own record says how many ran at once while cold.
"""

import asyncio
import pathlib
from collections.abc import AsyncIterator
from typing import Final

import pytest

from tests.balancers import Load, open_load
from tests.processes import (
    MODEL,
    Fleet,
    FleetPlan,
    Node,
    StandIn,
    open_fleet,
    poll_until,
)
from tests.test_fleet_drain import scheduler_host

COLD_LIMIT: Final = 2
COLD_MS: Final = 9000
STREAMS: Final = 24
LENGTHS: Final = (30, 80)
FREEZE_S: Final = 4.0
ENGINE: Final = 'north-engine-0'
PLAN = FleetPlan(
    services=0,
    # An engine that is given more falls over and starts again.
    engine_flags=(
        *('--cold-ms', str(COLD_MS)),
        *('--cold-limit', str(COLD_LIMIT)),
        *('--step-ms', '10'),
        '--restarts',
    ),
    endpoint={
        'cold_limit': COLD_LIMIT,
        'batch_limit': 12,
        'warm_after_ms': COLD_MS + 1000,
    },
    manifest={
        'services': [
            {'name': MODEL, 'kind': 'model', 'queue_deadline_ms': 120_000}
        ],
        'data_centres': [
            {'name': name, 'return_ramp_ms': 4000}
            for name in ('north', 'south')
        ],
    },
)


@pytest.fixture
async def fleet(tmp_path: pathlib.Path) -> AsyncIterator[Fleet]:
    """Every test ends with the check."""
    async with open_fleet(tmp_path, PLAN) as opened:
        yield opened
        for engine in opened.endpoints.values():
            assert (await engine.show('peak'))['peak_cold'] <= COLD_LIMIT
            assert (await engine.show('generations'))['falls'] == 0


@pytest.fixture
async def load(fleet: Fleet) -> AsyncIterator[Load]:
    async with open_load(fleet, streams=STREAMS, lengths=LENGTHS) as opened:
        await asyncio.sleep(1)
        yield opened


@pytest.fixture
async def host(fleet: Fleet, load: Load) -> Node:
    return await scheduler_host(fleet, 'north', MODEL)


async def warm(engine: StandIn) -> None:
    """Wait until an engine is given far more than a cold one bears."""

    async def busy() -> bool:
        shown = await engine.show('generations')
        return int(shown['running']) >= 3 * COLD_LIMIT

    await poll_until(busy, 'the engine is warm')


class TestSchedulerFaults:
    async def test_kill_of_the_schedulers_node(
        self, fleet: Fleet, load: Load, host: Node
    ) -> None:
        host.process.kill()
        await asyncio.sleep(4)
        await fleet.restart(host.options.name)
        await asyncio.sleep(2)

    async def test_freeze_and_wake_of_the_schedulers_node(
        self, fleet: Fleet, load: Load, host: Node
    ) -> None:
        host.process.freeze()
        await asyncio.sleep(FREEZE_S)
        host.process.wake()
        await asyncio.sleep(3)
        assert not load.failures

    async def test_planned_stops_of_all_members_one_by_one(
        self, fleet: Fleet, load: Load
    ) -> None:
        for name in ('north-node-0', 'north-node-1'):
            fleet.nodes[name].process.terminate()
            await fleet.nodes[name].process.wait()
            await fleet.restart(name)
        assert not load.failures


class TestEngineTurnsCold:
    async def test_restart_under_load(self, fleet: Fleet, load: Load) -> None:
        engine = fleet.endpoints[ENGINE]
        await warm(engine)
        await engine.control(restart=True)
        await asyncio.sleep(4)

    async def test_return_of_a_drained_data_centre(
        self, fleet: Fleet, load: Load
    ) -> None:
        await warm(fleet.endpoints[ENGINE])
        await fleet.ctl('drain', 'data-centre', 'north')
        await asyncio.sleep(3)
        await fleet.endpoints[ENGINE].control(restart=True)
        await fleet.ctl('restore', 'data-centre', 'north')
        await asyncio.sleep(5)
        assert not load.failures
