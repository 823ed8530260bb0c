"""A cold engine never gets more than it bears, whatever becomes of nodes.

Real processes; the engines' own record says how many ran at once while cold.
"""

import asyncio
import dataclasses
import itertools
import pathlib
from collections.abc import AsyncIterator
from typing import Final

import pytest

from tests.balancers import Load, open_load
from tests.callers import Caller
from tests.fleet_status import heard, read_status, until_all
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
# Of a limit of three, one node has one and two have two.
CUT_LIMIT: Final = 3
CUT_PLAN = dataclasses.replace(
    PLAN,
    data_centres=('north',),
    nodes=3,
    engines=2,
    proxied_peers=True,
    # The engines stay cold, but are quick.
    engine_flags=(
        *('--cold-ms', str(10**9), '--cold-factor', '1'),
        *('--cold-limit', str(CUT_LIMIT)),
        *('--step-ms', '10', '--restarts'),
    ),
    endpoint={
        'cold_limit': CUT_LIMIT,
        'batch_limit': 12,
        'warm_after_ms': 10**9,
    },
)


@pytest.fixture
def plan() -> FleetPlan:
    return PLAN


@pytest.fixture
async def fleet(
    tmp_path: pathlib.Path, plan: FleetPlan
) -> AsyncIterator[Fleet]:
    """Every test ends with the check."""
    async with open_fleet(tmp_path, plan) as opened:
        yield opened
        for engine in opened.endpoints.values():
            limit = plan.endpoint['cold_limit']
            assert (await engine.show('peak'))['peak_cold'] <= limit
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

    async def test_requests_on_their_way_at_a_restart(
        self, fleet: Fleet, load: Load
    ) -> None:
        """More are on their way to a warm engine than a cold one bears."""
        engine = fleet.endpoints[ENGINE]
        await warm(engine)
        await engine.control(start_delay_ms=2000)
        await asyncio.sleep(1.8)
        await engine.control(restart=True)
        await asyncio.sleep(2.5)
        await engine.control(start_delay_ms=0)
        await asyncio.sleep(2)

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


async def hosts_of(fleet: Fleet, service: str) -> set[str]:
    """Return the names of the nodes that say they run a scheduler."""
    statuses = [(name, await read_status(fleet, name)) for name in fleet.nodes]
    return {
        name
        for name, status in statuses
        for entry in status.get('schedulers', ())
        if entry['service'] == service
    }


async def until_each_serves(
    fleet: Fleet, load: Load, hosts: set[str], wanted: int
) -> None:
    """Wait for a number of schedulers, then for new work from each node.

    :param hosts: gets the nodes that run a scheduler
    """

    async def opened() -> bool:
        hosts.clear()
        hosts.update(await hosts_of(fleet, MODEL))
        return len(hosts) == wanted

    await poll_until(opened, f'{wanted} schedulers')
    for node in fleet.nodes.values():
        await load.stream(node, f'with {wanted} schedulers', 20)


class TestCut:
    @pytest.fixture
    def plan(self) -> FleetPlan:
        return CUT_PLAN

    @pytest.mark.parametrize('side', ['with', 'without'])
    async def test_both_sides_together_keep_the_limit(
        self, fleet: Fleet, load: Load, host: Node, side: str
    ) -> None:
        """One node is cut off: that of the scheduler, or another one."""
        old = host.options.name
        others = sorted(fleet.nodes.keys() - {old})
        cut = old if side == 'with' else others[0]
        hosts: set[str] = set()
        await fleet.cut_off(cut)
        await until_each_serves(fleet, load, hosts, 2)
        assert cut in hosts
        await fleet.cut_off()
        everybody = set(fleet.nodes)
        await until_all(
            fleet, everybody, lambda s: heard(s) == everybody, 'whole'
        )
        await until_each_serves(fleet, load, hosts, 1)
        assert not load.failures
        # The limit was reached, or nothing was shown.
        peaks = [await e.show('peak') for e in fleet.endpoints.values()]
        assert CUT_LIMIT in {peak['peak_cold'] for peak in peaks}


class TestReturnOfAll:
    async def test_all_nodes_and_engines_start_again_at_once(
        self, fleet: Fleet
    ) -> None:
        """Callers go on asking until they have their whole answers."""
        caller = Caller(fleet)
        served = dict.fromkeys(range(STREAMS), 0)

        async def ask(number: int) -> None:
            for turn in itertools.count(number):
                name = fleet.node_names()[turn % len(fleet.nodes)]
                reading = await caller.stream(
                    fleet.nodes[name], f'turn {turn} of {number}', 80
                )
                served[number] += reading.done
                await asyncio.sleep(0 if reading.done else 0.05)

        async with asyncio.TaskGroup() as group:
            asking = [group.create_task(ask(one)) for one in served]
            for engine in fleet.endpoints.values():
                await warm(engine)
            for node in fleet.nodes.values():
                node.process.kill()
            for engine in fleet.endpoints.values():
                await engine.control(restart=True)
            before = dict(served)
            await asyncio.gather(*map(fleet.restart, fleet.nodes))

            async def all_served() -> bool:
                return all(served[one] > before[one] for one in served)

            await poll_until(all_served, 'each caller is served')
            for engine in fleet.endpoints.values():
                await warm(engine)
            for task in asking:
                task.cancel()
