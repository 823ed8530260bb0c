"""Whole data centres stop, orders reach one node only, endpoints come back.

Real processes; the caller acts as the balancer.
"""

import asyncio
import contextlib
import dataclasses
import pathlib
from collections.abc import AsyncIterator

import pytest

from tests.balancers import open_load
from tests.callers import Caller
from tests.processes import PLAIN, Fleet, open_fleet, poll_until
from tests.test_fleet_drain import (
    LIMIT_S,
    PLAN,
    QUIET_S,
    check_bookings,
    check_nothing_new,
    observe_ramp,
    work_begun,
)

ENGINE = 'north-engine-0'
SERVICE = 'north-service-0'
NORTH = ('north-node-0', 'north-node-1')


@pytest.fixture
async def fleet(tmp_path: pathlib.Path) -> AsyncIterator[Fleet]:
    plan = dataclasses.replace(PLAN, proxied=True)
    async with open_fleet(tmp_path, plan) as opened:
        yield opened


@contextlib.asynccontextmanager
async def open_lookups(fleet: Fleet) -> AsyncIterator[list[object]]:
    """Call a plain service at all nodes in turn; yields what failed."""
    failures: list[object] = []
    caller = Caller(fleet)

    async def look_up() -> None:
        while True:
            for name, node in fleet.nodes.items():
                answer = await caller.post(
                    node, f'/v1/services/{PLAIN}/lookup', json={}
                )
                if answer['status'] != 200:
                    failures.append((name, answer))
            await asyncio.sleep(0.02)

    task = asyncio.create_task(look_up())
    yield failures
    task.cancel()


async def until_new_work(fleet: Fleet, name: str) -> None:
    """Wait until an endpoint is given work."""
    begun = await work_begun(fleet, [name])

    async def given() -> bool:
        return await work_begun(fleet, [name]) > begun

    await poll_until(given, f'new work at {name}')


def refusals_logged(fleet: Fleet) -> int:
    """Return how many permits the nodes have refused."""
    logs = (node.process.log for node in fleet.nodes.values())
    return sum(log.count('"permit_refusal"') for log in logs)


class TestWholeDataCentre:
    async def test_all_nodes_stop_at_once_and_start_again(
        self, fleet: Fleet
    ) -> None:
        async with open_load(
            fleet, streams=60, bookings=8, lengths=(20, 60, 200)
        ) as load:
            await asyncio.sleep(1)
            longs = [
                asyncio.create_task(load.stream(node, f'long {name}', 400))
                for name, node in fleet.nodes.items()
            ]
            await asyncio.sleep(0.3)
            for name in NORTH:
                fleet.nodes[name].process.terminate()
            for name in NORTH:
                assert await fleet.nodes[name].process.wait() == 0
            await asyncio.gather(*longs)
            await until_new_work(fleet, 'south-engine-0')
            # What waits at the schedulers that ended is answered elsewhere.
        assert load.failures == []
        await check_bookings(fleet, load)
        await asyncio.gather(*(fleet.restart(name) for name in NORTH))
        async with open_load(fleet, streams=20, bookings=4) as load:
            await until_new_work(fleet, ENGINE)
            await until_new_work(fleet, SERVICE)
        assert load.failures == []

    async def test_what_waits_for_a_data_centre_that_stops_is_answered(
        self, fleet: Fleet
    ) -> None:
        async with open_load(fleet, streams=0) as load:
            # Callers of the south alone, which passes some on.
            waiting = []
            while await work_begun(fleet, [ENGINE]) < 8:
                for name in ('south-node-0', 'south-node-1'):
                    asked = load.stream(fleet.nodes[name], 'wait', 200)
                    waiting.append(asyncio.create_task(asked))
                await asyncio.sleep(0.1)
            for name in NORTH:
                fleet.nodes[name].process.terminate()
            await asyncio.gather(*waiting)
            for name in NORTH:
                assert await fleet.nodes[name].process.wait() == 0
        assert load.failures == []


class TestOneNodeKnows:
    @pytest.mark.parametrize('way', ['drain', 'host'])
    @pytest.mark.parametrize('knowing', ['north-node-1', 'south-node-0'])
    async def test_order_at_the_only_node_with_a_way_to_the_platform(
        self, fleet: Fleet, knowing: str, way: str
    ) -> None:
        names = [ENGINE, SERVICE]
        async with (
            open_load(fleet, streams=30) as load,
            open_lookups(fleet) as failures,
        ):
            for name in fleet.nodes:
                link = fleet.links[f'platform-{name}']
                await link.control(blackhole=name != knowing)
            await asyncio.sleep(LIMIT_S)
            if way == 'drain':
                await fleet.ctl('drain', 'data-centre', 'north')
            else:
                hosts = [f'host-{name}' for name in names]
                await fleet.set_hosts(leaving=hosts)
            await check_nothing_new(fleet, names)
        assert load.failures == failures == []


class TestLeaving:
    @pytest.mark.parametrize('mode', ['refuse', 'hang'])
    async def test_list_that_changes_while_the_platform_is_away(
        self, fleet: Fleet, mode: str
    ) -> None:
        names = [ENGINE, SERVICE]
        async with (
            open_load(fleet, streams=30) as load,
            open_lookups(fleet) as failures,
        ):
            await fleet.platform.control(available=False, mode=mode)
            await asyncio.sleep(1)
            hosts = [f'host-{name}' for name in names]
            await fleet.set_hosts(leaving=hosts)
            # The change can't be known yet.
            for name in names:
                await until_new_work(fleet, name)
            await fleet.platform.control(available=True)
            await check_nothing_new(fleet, names)
        assert load.failures == failures == []

    async def test_leaving_host_of_a_plain_service_under_bookings(
        self, fleet: Fleet
    ) -> None:
        async with open_load(fleet, streams=0, bookings=20) as load:
            await until_new_work(fleet, SERVICE)
            await fleet.set_hosts(leaving=[f'host-{SERVICE}'])
            await check_nothing_new(fleet, [SERVICE])
            # The data centre without an endpoint is not even asked.
            refusals = refusals_logged(fleet)
            await until_new_work(fleet, 'south-service-0')
            await asyncio.sleep(QUIET_S)
            assert refusals_logged(fleet) == refusals
            await fleet.set_hosts()
            await until_new_work(fleet, SERVICE)
        assert load.failures == []
        await check_bookings(fleet, load)

    @pytest.mark.parametrize('way', ['endpoint', 'host'])
    async def test_endpoint_comes_back_by_a_ramp(
        self, fleet: Fleet, way: str
    ) -> None:
        engine = fleet.endpoints[ENGINE]
        clock = asyncio.get_running_loop().time
        async with open_load(fleet, streams=40) as load:
            await asyncio.sleep(1)
            if way == 'endpoint':
                await fleet.ctl('drain', 'endpoint', ENGINE)
            else:
                await fleet.set_hosts(leaving=[f'host-{ENGINE}'])
            await check_nothing_new(fleet, [ENGINE])
            began_at = clock()
            if way == 'endpoint':
                await fleet.ctl('restore', 'endpoint', ENGINE)
            else:
                await fleet.set_hosts()
            assert await observe_ramp(engine, began_at) > 2
        assert load.failures == []
