"""Tests of nodes whose store refuses their calls."""

import asyncio
import contextlib
import itertools
import random
import time
from collections.abc import AsyncIterator, Iterable, Mapping

import pytest
from aiohttp import web
from aiohttp.typedefs import Handler
from mastichatch_platform.program import create_adapter

from mastichatch_core.relay.reader_choice import order_readers
from mastichatch_core.relay.store_backoff import BASE_DELAY_S, StoreBackoff
from mastichatch_node.relay.program import open_node
from mastichatch_node.relay.relay_node import RelayNode
from mastichatch_node.relay.store_following import (
    RENEWAL_INTERVAL_S,
    boottime_clock,
)
from mastichatch_node.relay.telemetry import Telemetry
from tests.relay_nodes import configuration, create_settings, until
from tests.standins.house_store import HouseStore
from tests.standins.serving import serve

NAMES = tuple(f'north-{number}' for number in range(12))
OUTAGE_S = 8.0
# Longest time after the store's return until all nodes are current.
RETURN_LIMIT_S = 1.0
# Age of the view up to which keys are accepted, by the default settings.
KEY_AGE_S = 4.5


class StoreAccess:
    """Access to a store that may be refused to the nodes that use it."""

    def __init__(self, store: HouseStore) -> None:
        """Give access to a store."""
        self.store = store
        self.refuse_status = 0
        self.calls = 0

    def application(self) -> web.Application:
        """Return the HTTP interface of the store."""

        @web.middleware
        async def refuse(
            request: web.Request, handler: Handler
        ) -> web.StreamResponse:
            self.calls += 1
            if self.refuse_status:
                return web.Response(status=self.refuse_status)
            return await handler(request)

        application = self.store.application()
        application.middlewares.insert(0, refuse)
        return application


def failing_calls_at(rank: int, seed: int) -> list[float]:
    """Return when a node calls a store that refuses, in seconds."""
    backoff = StoreBackoff(random.Random(seed * 100 + rank).uniform)
    backoff.begin(rank, 0)
    calls: list[float] = []
    while backoff.left_s(0) < OUTAGE_S:
        calls.append(backoff.left_s(0))
        backoff.record_failure(rank, calls[-1])
    return calls


class TestBackoff:
    @pytest.mark.parametrize('seed', range(20))
    def test_data_centre_calls_no_more_often_than_it_watches_in_calm(
        self, seed: int
    ) -> None:
        calls = [failing_calls_at(rank, seed) for rank in range(30)]
        renewals_in_calm = 30 * OUTAGE_S / RENEWAL_INTERVAL_S
        assert sum(map(len, calls)) < renewals_in_calm
        # A node that is served is found soon, also if the first are not.
        assert calls[3][0] < RETURN_LIMIT_S

    def test_first_node_learns_of_the_return_in_time(self) -> None:
        delays = [b - a for a, b in itertools.pairwise(failing_calls_at(0, 1))]
        assert max(delays) < RETURN_LIMIT_S
        assert len(set(delays)) > 1

    def test_node_that_becomes_the_first_calls_soon(self) -> None:
        """The registrations of the nodes before it have expired."""
        backoff = StoreBackoff(random.Random(1).uniform)
        backoff.begin(9, 5)
        for _ in range(9):
            backoff.record_failure(9, 5)
        backoff.limit(9, 5)
        assert backoff.left_s(5) > RETURN_LIMIT_S
        backoff.limit(0, 5)
        backoff.limit(0, 5.5)
        assert backoff.left_s(5) < RETURN_LIMIT_S

    def test_success_ends_the_delay(self) -> None:
        backoff = StoreBackoff(random.Random(1).uniform)
        backoff.begin(0, 5)
        for _ in range(9):
            backoff.record_failure(1, 5)
        backoff.record_success()
        assert not backoff.left_s(5)
        backoff.record_failure(0, 5)
        assert backoff.left_s(5) <= 3 * BASE_DELAY_S
        backoff.reset()
        assert not backoff.has_begun


@contextlib.asynccontextmanager
async def open_fleet(
    access: Mapping[str, HouseStore | StoreAccess],
) -> AsyncIterator[dict[str, RelayNode]]:
    """Run a node for each name, with its access to the store."""
    async with contextlib.AsyncExitStack() as stack:
        addresses = {
            one: await stack.enter_async_context(serve(one.application(), 0))
            for one in set(access.values())
        }
        nodes = {
            name: await stack.enter_async_context(
                open_node(
                    create_settings(addresses[one], name=name),
                    create_adapter(),
                    Telemetry(),
                )
            )
            for name, one in access.items()
        }
        await until(lambda: all(map(_knows_all, nodes.values())))
        # Full lists of runs, sent once a second, show which nodes are alive.
        await asyncio.sleep(2.5)
        yield nodes


def _knows_all(node: RelayNode) -> bool:
    return len(node.belief.entries_under('mastichatch/nodes/')) == len(NAMES)


async def apply_time_s(store: HouseStore, nodes: Iterable[RelayNode]) -> float:
    """Return how long a change takes to reach all nodes, in seconds."""
    started_at = time.monotonic()
    revision = await store.put(f'op/evacuate/z{store.revision}', {})
    await until(lambda: all(one.belief.revision >= revision for one in nodes))
    return time.monotonic() - started_at


@pytest.mark.parametrize('status', (503, 429, 0))
async def test_store_that_refuses_gets_fewer_calls_and_is_followed_at_once(
    status: int,
) -> None:
    """Each node repeated each call every 0.2 s, three times as many in all."""
    store = HouseStore()
    await store.put('op/config', configuration())
    async with open_fleet(dict.fromkeys(NAMES, store)) as nodes:
        store.calls.clear()
        await asyncio.sleep(OUTAGE_S)
        calm = len(store.calls)
        store.calls.clear()
        store.refuse_status = status
        store.resets = not status
        await asyncio.sleep(OUTAGE_S)
        refused = len(store.calls)
        store.refuse_status = 0
        store.resets = False
        assert await apply_time_s(store, nodes.values()) < RETURN_LIMIT_S
        await asyncio.sleep(RETURN_LIMIT_S)
        assert all(node.is_ready for node in nodes.values())
    assert refused <= calm


async def test_registrations_that_lapsed_are_back_in_time() -> None:
    store = HouseStore()
    await store.put('op/config', configuration())
    async with open_fleet(dict.fromkeys(NAMES, store)) as nodes:
        store.refuse_status = 503
        await asyncio.sleep(3)
        for lease in tuple(store.leases):
            await store.end_lease(lease)
        store.refuse_status = 0
        await asyncio.sleep(2)
        assert all(map(_knows_all, nodes.values()))


@pytest.mark.parametrize('count', (1, 5))
async def test_nodes_that_are_refused_follow_through_others(count: int) -> None:
    store = HouseStore()
    await store.put('op/config', configuration())
    first = order_readers(NAMES[0], NAMES, NAMES)[:count]
    refused = StoreAccess(store)
    access = {name: refused if name in first else store for name in NAMES}
    async with open_fleet(access) as nodes:
        refused.refuse_status = 503
        refused.calls = 0
        ends_at = time.monotonic() + OUTAGE_S
        while time.monotonic() < ends_at:
            await asyncio.sleep(0.1)
            now = boottime_clock()
            ages = [node.belief.age(now) for node in nodes.values()]
            assert max(ages) < KEY_AGE_S
        # Each used to repeat its call every 0.2 s.
        assert refused.calls < count * OUTAGE_S / 0.4
        assert await apply_time_s(store, nodes.values()) < 2
