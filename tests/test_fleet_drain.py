"""Planned stops cut nothing, and what is taken out gets nothing new.

Real processes; the caller acts as the balancer.
"""

import asyncio
import collections
import math
import pathlib
from collections.abc import AsyncIterator, Iterable
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
)

# From the order to the moment from which nothing new may start.
LIMIT_S: Final = 3.0
QUIET_S: Final = 1.5
RETURN_RAMP_S: Final = 8.0
BATCH_LIMIT: Final = 12
PLAN = FleetPlan(
    engine_flags=('--cold-ms', '0', '--step-ms', '10'),
    endpoint={
        'cold_limit': 2,
        'batch_limit': BATCH_LIMIT,
        'warm_after_ms': 100,
    },
    manifest={
        'data_centres': [
            {'name': name, 'return_ramp_ms': int(RETURN_RAMP_S * 1000)}
            for name in ('north', 'south')
        ],
    },
)


@pytest.fixture
async def fleet(tmp_path: pathlib.Path) -> AsyncIterator[Fleet]:
    async with open_fleet(tmp_path, PLAN) as opened:
        yield opened


async def scheduler_host(fleet: Fleet, data_centre: str, service: str) -> Node:
    """Return the node that says it runs a scheduler."""
    while True:
        for name, node in fleet.nodes.items():
            if not name.startswith(data_centre) or node.process.exit_code == 0:
                continue
            async with fleet.session.get(f'{node.url}/admin/status') as answer:
                status = await answer.json()
            hosted = [entry['service'] for entry in status['schedulers']]
            if service in hosted:
                return node
        await asyncio.sleep(0.02)


async def work_begun(fleet: Fleet, names: Iterable[str]) -> int:
    """Return how many requests some endpoints were given so far."""
    begun = 0
    for name in names:
        if 'engine' in name:
            begun += (await fleet.endpoints[name].show('generations'))[
                'started'
            ]
        else:
            shown = await fleet.endpoints[name].show('executions')
            begun += len(shown['executions'])
    return begun


async def check_bookings(fleet: Fleet, load: Load) -> None:
    """Assert that each booking that was answered ran once."""
    runs: collections.Counter[str] = collections.Counter()
    for name, endpoint in fleet.endpoints.items():
        if 'service' in name:
            shown = await endpoint.show('executions')
            runs.update(run['body']['booking'] for run in shown['executions'])
    assert set(runs.values()) <= {1}
    assert set(load.booked) <= set(runs)


class TestPlannedStop:
    async def test_scheduler_host_stops_under_load_and_nothing_fails(
        self, fleet: Fleet
    ) -> None:
        leaving = await scheduler_host(fleet, 'north', MODEL)
        async with open_load(
            fleet, streams=40, bookings=8, lengths=(20, 60, 200)
        ) as load:
            await asyncio.sleep(1)
            long = asyncio.create_task(load.stream(leaving, 'long', 400))
            await asyncio.sleep(0.3)
            leaving.process.terminate()
            heir = await scheduler_host(fleet, 'north', MODEL)
            while heir is leaving:
                heir = await scheduler_host(fleet, 'north', MODEL)
            begun = await work_begun(fleet, ['north-engine-0'])
            # The heir grants while the old host still serves its streams.
            while await work_begun(fleet, ['north-engine-0']) <= begun:
                assert leaving.process.exit_code is None
                await asyncio.sleep(0.02)
            assert leaving.process.exit_code is None
            await long
            assert await leaving.process.wait() == 0
        assert load.failures == []
        await check_bookings(fleet, load)

    async def test_rolling_restart_of_all_nodes_fails_nothing(
        self, fleet: Fleet
    ) -> None:
        async with open_load(
            fleet, streams=16, bookings=6, lengths=(20, 60, 150)
        ) as load:
            for name in fleet.node_names():
                await asyncio.sleep(1)
                fleet.nodes[name].process.terminate()
                assert await fleet.nodes[name].process.wait() == 0
                await fleet.restart(name)
            await asyncio.sleep(1)
        assert load.failures == []
        assert load.streams > 0
        await check_bookings(fleet, load)


async def check_nothing_new(fleet: Fleet, names: Iterable[str]) -> None:
    """Assert that some endpoints get no work once the limit is over."""
    names = list(names)
    await asyncio.sleep(LIMIT_S)
    begun = await work_begun(fleet, names)
    await asyncio.sleep(QUIET_S)
    assert await work_begun(fleet, names) == begun


async def observe_ramp(engine: StandIn, began_at: float) -> int:
    """Check the ramp of an engine that returns, and return its most runs.

    The ramp is followed for its whole length after the first run: starting the
    command and applying the order may take seconds on a busy machine.

    :param engine: the engine
    :param began_at: loop time before the order to return, in seconds
    """
    clock = asyncio.get_running_loop().time
    most = 0
    ends_at = math.inf
    while clock() < ends_at:
        running = (await engine.show('generations'))['running']
        share = BATCH_LIMIT * (clock() - began_at) / RETURN_RAMP_S
        assert running <= min(BATCH_LIMIT, max(2, share))
        if running and ends_at == math.inf:
            ends_at = clock() + RETURN_RAMP_S
        most = max(most, running)
        await asyncio.sleep(0.05)
    return most


class TestLeaving:
    async def test_drained_data_centre_gets_nothing_and_returns_by_a_ramp(
        self, fleet: Fleet
    ) -> None:
        names = ['north-engine-0', 'north-service-0']
        engine = fleet.endpoints['north-engine-0']
        async with open_load(fleet, streams=40, bookings=4) as load:
            await asyncio.sleep(1)
            # Runs when the order comes, and for longer than the limit.
            long = asyncio.create_task(
                load.stream(fleet.nodes['north-node-0'], 'long', 450)
            )
            await asyncio.sleep(0.5)
            await fleet.ctl('drain', 'data-centre', 'north')
            await check_nothing_new(fleet, names)
            await long
            # The order takes effect before the command ends.
            began_at = asyncio.get_running_loop().time()
            await fleet.ctl('restore', 'data-centre', 'north')
            assert await observe_ramp(engine, began_at) > 2
        assert load.failures == []

    @pytest.mark.parametrize('way', ['endpoint', 'host', 'lagging', 'away'])
    async def test_leaving_endpoint_gets_nothing_and_its_streams_end_whole(
        self, fleet: Fleet, way: str
    ) -> None:
        name = 'north-engine-0'
        async with open_load(fleet, streams=30, lengths=(20, 450)) as load:
            await asyncio.sleep(1)
            if way == 'endpoint':
                await fleet.ctl('drain', 'endpoint', name)
            elif way == 'host':
                await fleet.set_hosts(leaving=[f'host-{name}'])
            elif way == 'lagging':
                await fleet.platform.control(hosts_lag_ms=1000)
                await fleet.set_hosts(leaving=[f'host-{name}'])
            else:
                await fleet.ctl('drain', 'endpoint', name)
                await fleet.platform.control(available=False, mode='hang')
            await check_nothing_new(fleet, [name])
        assert load.failures == []
        shown = await fleet.endpoints[name].show('generations')
        assert shown['running'] == shown['cancelled'] == 0
