"""Orders to engines under fencing, with nodes as real processes."""

import json
import pathlib
import time
from typing import Any, Final

import pytest

from mastichatch_core import placement as rules
from tests.callers import Caller, answer_of
from tests.fleet_status import heard, until_all
from tests.processes import Fleet, FleetPlan, Node, open_fleet, poll_until
from tests.test_placement import check_rate

Json = dict[str, Any]

LEASE_S: Final = 3.0
TIMEOUT_S: Final = 60.0


def create_plan(
    *models: str,
    checks: bool = False,
    loading_ms: int = 100,
    interval_ms: int = 500,
    **parts: Any,
) -> FleetPlan:
    """Return a fleet whose engines should have some models."""
    flags = ('--cold-ms', '0', '--loading-ms', str(loading_ms))
    store = {'name': 'store', 'load_interval_ms': interval_ms}
    usual: Json = {
        'data_centres': ('north',),
        'services': 0,
        'engine_flags': (*flags, '--checks-fencing') if checks else flags,
        'node_flags': ('--node-lease-ms', str(int(LEASE_S * 1000))),
        'endpoint': {'checks_fencing': checks, 'models': models},
        'manifest': {'weight_stores': [store]},
    }
    return FleetPlan(**(usual | parts))


async def read_orders(fleet: Fleet) -> list[Json]:
    """Return the orders that the engines were given, as they came."""
    orders = [
        order | {'engine': name}
        for name, engine in fleet.endpoints.items()
        for order in (await engine.show('orders'))['orders']
    ]
    return sorted(orders, key=lambda order: float(order['at']))


async def until_ordered(fleet: Fleet, count: int, fence: int = 0) -> list[Json]:
    """Wait for some orders under at least a fencing number."""

    async def ordered() -> bool:
        fences = [order['fence'] for order in await read_orders(fleet)]
        return len([each for each in fences if each >= fence]) >= count

    await poll_until(ordered, f'{count} orders', TIMEOUT_S)
    return await read_orders(fleet)


async def until_loaded(fleet: Fleet, *models: str) -> None:
    """Wait until every engine has just some models and loads nothing."""

    async def loaded() -> bool:
        for engine in fleet.endpoints.values():
            state = await engine.show('orders')
            if state['loading'] or state['loaded'] != sorted(models):
                return False
        return True

    await poll_until(loaded, f'{models} loaded', TIMEOUT_S)


def held_terms(node: Node) -> list[int]:
    """Return the fencing numbers under which a node held the placement."""
    lines = node.process.log.splitlines()
    return [json.loads(li)['term'] for li in lines if '"placement_held"' in li]


async def lose_holder(fleet: Fleet, fence: int, how: str) -> Node:
    """Freeze or kill the holder and wait until the other one took over."""
    holder, other = sorted(
        fleet.nodes.values(), key=lambda node: fence not in held_terms(node)
    )
    getattr(holder.process, how)()

    async def taken() -> bool:
        return max(held_terms(other), default=0) > fence

    await poll_until(taken, 'another holder', TIMEOUT_S)
    return holder


class TestHolders:
    @pytest.mark.parametrize('checks', [True, False])
    @pytest.mark.parametrize('how', ['freeze', 'kill'])
    async def test_no_order_of_a_lost_holder_follows_the_next_ones(
        self, checks: bool, how: str, tmp_path: pathlib.Path
    ) -> None:
        # A load outlasts the lease: it is in progress when the next one holds.
        plan = create_plan('a', 'b', checks=checks, loading_ms=6000, engines=2)
        async with open_fleet(tmp_path, plan) as fleet:
            first = (await until_ordered(fleet, 1))[0]['fence']
            holder = await lose_holder(fleet, first, how)
            await until_ordered(fleet, 1, first + 1)
            if how == 'freeze':
                holder.process.wake()
                await until_all(
                    fleet,
                    fleet.nodes,
                    lambda status: heard(status) == set(fleet.nodes),
                    'met again',
                )
            await until_loaded(fleet, 'a', 'b')
            orders = await read_orders(fleet)
            # Only an engine that checks numbers may have refused one.
            assert checks or all(order['accepted'] for order in orders)
            taken = [order for order in orders if order['accepted']]
            assert len(taken) == 4
            assert not any(order['overlapped'] for order in taken)
            fences = [order['fence'] for order in taken]
            assert fences == sorted(fences)
            old = fences.count(first)
            if not checks:
                pause = taken[old]['at'] - taken[old - 1]['at']
                assert pause >= LEASE_S + rules.ORDER_TIMEOUT_S

    @pytest.mark.parametrize('checks', [True, False])
    async def test_a_late_order_is_refused_or_made_good(
        self, checks: bool, tmp_path: pathlib.Path
    ) -> None:
        plan = create_plan('a', 'b', checks=checks)
        async with open_fleet(tmp_path, plan) as fleet:
            (engine,) = fleet.endpoints.values()
            await engine.control(hold_order=True)

            async def held() -> bool:
                return bool((await engine.show('orders'))['held'])

            await poll_until(held, 'an order on its way', TIMEOUT_S)
            (late,) = (await engine.show('orders'))['held']
            await lose_holder(fleet, late['fence'], 'freeze')
            manifest = fleet.manifest()
            manifest['endpoints'][0]['models'] = ['b', 'c']
            await fleet.processes.apply(manifest, fleet.platform.address)
            await until_loaded(fleet, 'b', 'c')
            shown = await engine.show('orders')

            async def read_again() -> bool:
                again = await engine.show('orders')
                return bool(again['reads'] > shown['reads'])

            # The holder has seen that nothing is left to do.
            await poll_until(read_again, 'a look at the engine', TIMEOUT_S)
            await engine.control(release_orders=True)
            await until_loaded(fleet, 'b', 'c')
            found, *others = (await read_orders(fleet))[len(shown['orders']) :]
            assert found['stale']
            assert found['accepted'] != checks
            made_good = [] if checks else [('unload', late['name'])]
            assert [(each['kind'], each['name']) for each in others] == (
                made_good
            )


class TestPlatform:
    async def test_without_it_no_order_begins_and_streams_go_on(
        self, tmp_path: pathlib.Path
    ) -> None:
        models = [f'm{number}' for number in range(40)]
        async with open_fleet(tmp_path, create_plan(*models)) as fleet:
            await until_ordered(fleet, 1)
            await fleet.platform.control(available=False, mode='hang')
            ends_at = time.monotonic() + LEASE_S + rules.ORDER_TIMEOUT_S
            caller = Caller(fleet)
            counts: list[int] = []
            while len(counts) < 5:
                for node in fleet.nodes.values():
                    reading = await caller.stream(node, 'away', 50)
                    assert reading.done
                    assert reading.text == answer_of('away', 50)
                if time.monotonic() > ends_at:
                    counts.append(len(await read_orders(fleet)))
            assert counts[0] == counts[-1] < len(models)
            await fleet.platform.control(available=True)
            await until_ordered(fleet, counts[0] + 1)


class TestRate:
    async def test_the_weight_store_bears_all_data_centres_together(
        self, tmp_path: pathlib.Path
    ) -> None:
        plan = create_plan(
            *'abc',
            data_centres=('north', 'south'),
            engines=2,
            interval_ms=1000,
        )
        async with open_fleet(tmp_path, plan) as fleet:
            await until_loaded(fleet, *'abc')
            loads = [order['at'] for order in await read_orders(fleet)]
            print(f'{len(loads)} loads in {loads[-1] - loads[0]:.2f} s')
            assert len(loads) == 12
            # One more than the burst: an order may be long on its way.
            check_rate(loads, 3, 1)
