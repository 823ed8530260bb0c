"""Tests of nodes whose store comes back from an older copy.

Revisions are given out again then: a cache that compares them alone takes the
store for one that lags, or misses for good what was written in between.
"""

import asyncio
import dataclasses
import time
from typing import Any

import pytest

from tests.relay_nodes import (
    RelayFixture,
    call,
    configuration,
    open_nodes,
    registered,
    route,
    until,
)
from tests.standins.house_endpoints import HouseEndpoint, respond_ok

# Time after the store's return within which a configuration is in force.
IN_FORCE_S = 1.0
AWAY_S = 1.0
COPY_AGE_S = 3.0
WATCHED_S = 6.0
# Most answers of the store, by node, that it lacks the history asked for.
MAX_GONE = 3


def moved(version: int, prefix: str) -> dict[str, Any]:
    """Return a configuration whose plain route has a prefix."""
    document = configuration(version)
    document['routes'][0] = route('lookup', 'safe', 'app', prefix=prefix)
    return document


@dataclasses.dataclass
class Probe:
    """Statuses of the calls on a route that all versions have."""

    statuses: list[int] = dataclasses.field(default_factory=list)

    async def run(self, relay: RelayFixture) -> None:
        while True:
            answer = await call(relay.settings.callers_address, '/book/x')
            self.statuses.append(answer.status)
            await asyncio.sleep(0.05)


def versions(relays: tuple[RelayFixture, ...]) -> list[int]:
    found = [relay.node.belief.configuration for relay in relays]
    return [one.version for one in found if one is not None]


@pytest.mark.parametrize('changes', (0, 9, 40))
@pytest.mark.parametrize('count', (1, 3, 8))
async def test_nodes_serve_and_follow_a_store_that_is_restored(
    count: int, changes: int
) -> None:
    app = HouseEndpoint('app-1', respond_ok)
    document = moved(1, '/first/')
    async with open_nodes(count, apps=(app,), document=document) as relays:
        store = relays[0].store
        await asyncio.sleep(2.5)
        copy = store.copy()
        for number in range(9):
            await store.put(f'other/{number}', b'lost')
        await store.put('op/config', moved(2, '/second/'))
        await asyncio.sleep(COPY_AGE_S)
        assert versions(relays) == [2] * count
        store.go_away()
        await asyncio.sleep(AWAY_S)
        store.restore(copy)
        store.gone_answers = 0
        returned_at = time.monotonic()
        await store.put(f'servers/{app.instance}', app.entry('app', 'north'))
        await store.put('op/config', moved(3, '/third/'))
        for number in range(changes):
            await store.put(f'other/{number}', b'new')
        probes = [Probe() for _ in relays]
        tasks = [
            asyncio.ensure_future(probe.run(relay))
            for probe, relay in zip(probes, relays, strict=True)
        ]
        try:
            await until(lambda: versions(relays) == [3] * count)
            assert time.monotonic() - returned_at < IN_FORCE_S
            await asyncio.sleep(WATCHED_S)
        finally:
            for task in tasks:
                task.cancel()
        assert all(set(probe.statuses) == {200} for probe in probes)
        for relay in relays:
            address = relay.settings.callers_address
            assert (await call(address, '/third/x')).status == 200
            assert (await call(address, '/second/x')).status == 404
            assert (await call(address, '/first/x')).status == 404
            assert relay.node.is_ready
            assert len(registered(relay.node)) == count
        names = [key for key in store.items if key.startswith('mastichatch/n')]
        assert len(names) == count
        assert store.gone_answers <= MAX_GONE * count


async def test_older_configuration_of_the_copy_is_not_applied() -> None:
    """The copy has a key that was taken away, until the operator writes."""
    app = HouseEndpoint('app-1', respond_ok)
    async with open_nodes(3, apps=(app,)) as relays:
        store = relays[0].store
        copy = store.copy()
        revoked = configuration(2, tenants=[{'name': 'depots', 'api_keys': []}])
        await store.put('op/config', revoked)
        await until(lambda: versions(relays) == [2, 2, 2])
        store.go_away()
        await asyncio.sleep(AWAY_S)
        store.restore(copy)
        await asyncio.sleep(2)
        for relay in relays:
            address = relay.settings.callers_address
            assert (await call(address, '/lookup/x')).status == 401
            assert relay.node.is_ready
