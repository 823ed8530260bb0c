"""Tests of nodes whose store comes back from an older copy.

Revisions are given out again then: a cache that compares them alone takes the
store for one that lags, or misses for good what was written in between.
"""

import asyncio
import contextlib
import dataclasses
import time
from collections.abc import Callable, Iterator
from typing import Any

import pytest
from mastichatch_platform.program import create_adapter

from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.messages import ErrorKind
from mastichatch_node.relay.program import open_node
from mastichatch_node.relay.relay_node import RelayNode
from mastichatch_node.relay.telemetry import Telemetry
from tests.isolated_nodes import context_of
from tests.relay_nodes import (
    WAIT_S,
    RelayFixture,
    call,
    configuration,
    create_settings,
    open_nodes,
    registered,
    route,
    until,
)
from tests.standins.house_endpoints import HouseEndpoint, respond_ok
from tests.standins.house_store import HouseStore
from tests.standins.serving import serve
from tests.test_relay_store_outage import NAMES, StoreAccess, open_fleet

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
    """Calls on a route that all versions have, and those not answered 200."""

    calls: int = 0
    failed: list[tuple[int, bytes]] = dataclasses.field(default_factory=list)

    async def run(self, relay: RelayFixture) -> None:
        while True:
            answer = await call(relay.settings.callers_address, '/book/x')
            self.calls += 1
            if answer.status != 200:
                self.failed.append((answer.status, answer.body))
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
        assert [probe.failed for probe in probes] == [[] for _ in probes]
        assert all(probe.calls > WATCHED_S for probe in probes)
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


async def test_node_that_starts_then_learns_the_later_configuration() -> None:
    """The store has the older one until the operator writes again."""
    app = HouseEndpoint('app-1', respond_ok)
    async with open_nodes(2, apps=(app,)) as relays:
        store, settings = relays[0].store, relays[0].settings
        copy = store.copy()
        revoked = configuration(2, tenants=[{'name': 'depots', 'api_keys': []}])
        await store.put('op/config', revoked)
        await until(lambda: versions(relays) == [2, 2])
        store.go_away()
        store.restore(copy)
        await until(
            lambda: all(one.node.belief.era == store.era for one in relays)
        )
        started = create_settings(settings.store_address, name='north-3')
        async with open_node(started, create_adapter(), Telemetry()) as node:
            await until(lambda: node.is_ready)
            await asyncio.sleep(AWAY_S)
            answer = await call(started.callers_address, '/lookup/x')
        assert answer.status == 401


@pytest.mark.parametrize('count', [1, 3])
async def test_nodes_that_start_then_serve_nothing_older_for_a_moment(
    count: int,
) -> None:
    """They applied the store's listing before they asked another node.

    Those that start later may ask one that has started after the store's
    return itself, and has the later configuration from a third one.
    """
    async with (
        open_nodes(count) as relays,
        contextlib.AsyncExitStack() as stack,
    ):
        store = relays[0].store
        copy = store.copy()
        await store.put('op/config', configuration(2))
        await until(lambda: versions(relays) == [2] * count)
        store.go_away()
        store.restore(copy)
        await until(
            lambda: all(one.node.belief.era == store.era for one in relays)
        )
        for number in range(3):
            settings = create_settings(
                relays[0].settings.store_address, name=f'later-{number}'
            )
            node = await stack.enter_async_context(
                open_node(settings, create_adapter(), Telemetry())
            )
            assert await versions_until_ready(node) == {2}


async def versions_until_ready(node: RelayNode) -> set[int]:
    """Return the versions by which a node would have served so far."""
    found: set[int] = set()

    def look() -> bool:
        current = node.belief.configuration
        found.update([] if current is None else [current.version])
        return node.is_ready

    ends_at = time.monotonic() + WAIT_S
    while not look():
        assert time.monotonic() < ends_at
        await asyncio.sleep(0)
    await asyncio.sleep(AWAY_S)
    look()
    return found


async def test_node_that_was_cut_off_learns_the_later_configuration() -> None:
    """It has missed the change, and so has the store that it comes back to."""
    store = HouseStore()
    await store.put('op/config', configuration())
    access = StoreAccess(store)
    async with contextlib.AsyncExitStack() as stack:
        cut, other = [
            await stack.enter_async_context(
                open_node(
                    create_settings(
                        await stack.enter_async_context(
                            serve(one.application(), 0)
                        ),
                        name=name,
                    ),
                    create_adapter(),
                    Telemetry(),
                )
            )
            for name, one in (('north-1', access), ('north-2', store))
        ]
        await until(lambda: len(registered(cut)) == len(registered(other)) == 2)
        copy = store.copy()
        access.refuse_status = 503
        # The way to other nodes is back once the store was called again.
        with unheard(cut, lambda: not access.refuse_status and access.calls):
            await store.put('op/config', configuration(2))
            await until(lambda: version(other) == 2)
            assert version(cut) == 1
            store.go_away()
            store.restore(copy)
            await until(lambda: other.belief.era == store.era)
            assert version(cut) == 1
            access.calls = access.refuse_status = 0
            while cut.belief.era < store.era:
                await asyncio.sleep(0)
            assert version(cut) == 2


def version(node: RelayNode) -> int:
    current = node.belief.configuration
    return 0 if current is None else current.version


@contextlib.contextmanager
def unheard(node: RelayNode, is_over: Callable[[], object]) -> Iterator[None]:
    """Let a node hear nothing of others until a condition holds."""
    peers = context_of(node).sharing._peers
    ask = peers.ask

    async def fail(*arguments: Any, **options: Any) -> Any:
        if is_over():
            return await ask(*arguments, **options)
        raise MastichatchError(ErrorKind.peer_unreachable)

    peers.ask = fail
    try:
        yield
    finally:
        peers.ask = ask


async def test_store_that_goes_back_without_an_era_is_listed_seldom() -> None:
    """Each watch was answered 410 at once, and followed by a listing."""
    async with open_nodes(1) as (relay,):
        store = relay.store
        copy = store.copy()
        for number in range(9):
            await store.put(f'other/{number}', b'lost')
        await until(lambda: relay.node.belief.revision == store.revision)
        store.restore(copy)
        store.era_values = ()
        await asyncio.sleep(WATCHED_S)
        assert 0 < store.gone_answers < 10


async def test_answer_with_an_odd_era_leads_to_one_listing() -> None:
    app = HouseEndpoint('app-1', respond_ok)
    async with open_nodes(1, apps=(app,)) as (relay,):
        store = relay.store
        store.calls.clear()
        store.odd_eras = ['77']
        await until(lambda: not store.odd_eras)
        revision = await store.put('other/b', b'x')
        await until(lambda: relay.node.belief.revision >= revision)
        assert relay.node.belief.era == store.era
        assert relay.node.is_ready
        answer = await call(relay.settings.callers_address, '/lookup/x')
        assert answer.status == 200
        assert store.calls.count('GET /mastichatch/kv-range') <= 2


async def test_drills_within_seconds_are_followed() -> None:
    app = HouseEndpoint('app-1', respond_ok)
    async with open_nodes(3, apps=(app,)) as relays:
        store = relays[0].store
        for version in (2, 3, 4):
            copy = store.copy()
            await store.put('op/config', moved(version, f'/v{version}/'))
            await asyncio.sleep(0.7)
            store.go_away()
            await asyncio.sleep(0.3)
            store.restore(copy)
            await store.put('op/config', moved(version, f'/v{version}/'))
        await until(
            lambda: all(one.node.belief.era == store.era for one in relays)
        )
        await asyncio.sleep(2)
        assert versions(relays) == [4, 4, 4]
        for relay in relays:
            address = relay.settings.callers_address
            assert (await call(address, '/v4/x')).status == 200
            assert len(registered(relay.node)) == len(relays)
        names = [key for key in store.items if key.startswith('mastichatch/n')]
        assert len(names) == len(relays)


async def test_node_does_not_end_a_lease_of_the_next_era() -> None:
    """Ids of leases are given out again, also to other nodes."""
    async with open_nodes(1) as (relay,):
        store = relay.store
        copy = store.copy()
        former = set(store.leases)
        store.go_away()
        store.restore(copy)
        await until(lambda: relay.node.belief.era == store.era)
        store.calls.clear()
        await until(lambda: set(store.leases) != former)
    ended = [one for one in store.calls if 'kv-lease-end' in one]
    assert len(ended) == 1
    assert former <= set(store.leases)


async def test_lost_pins_and_evidence_are_written_once_by_nodes() -> None:
    """The node that wrote them may have stopped since."""
    async with open_nodes(3) as relays:
        store = relays[0].store
        copy = store.copy()
        keys = ('mastichatch/pins/llm/p', 'mastichatch/crashes/e-1')
        report = {'instance': 'e-1', 'service': 'llm', 'version': '1'}
        for key in keys:
            await store.put(key, report)
        await until(
            lambda: all(
                relay.node.belief.entry(key) for relay in relays for key in keys
            )
        )
        store.go_away()
        store.restore(copy)
        store.events.clear()
        await until(lambda: all(key in store.items for key in keys))
        await asyncio.sleep(2)
        written = [one['key'] for one in store.events if one['key'] in keys]
        assert sorted(written) == sorted(keys)
        assert store.items[keys[1]].lease in store.leases


@pytest.mark.parametrize('count', (1, 3))
async def test_pins_that_are_lost_again_are_written_again(count: int) -> None:
    """The second loss comes while nodes still look for lost pins."""
    key = 'mastichatch/pins/llm/p'
    async with open_nodes(count) as relays:
        store = relays[0].store
        copy = store.copy()
        await store.put(key, {})
        for _ in range(2):
            await until(
                lambda: all(
                    relay.node.belief.entry(key)
                    and relay.node.belief.era == store.era
                    and relay.node.belief.revision >= store.items[key].revision
                    for relay in relays
                )
            )
            store.go_away()
            store.restore(copy)
            await until(lambda: key in store.items)
        await asyncio.sleep(WATCHED_S)
        assert all(relay.node.belief.entry(key) for relay in relays)
        assert key in store.items


async def test_node_that_the_store_refuses_follows_the_other_nodes() -> None:
    """It learns of two losses from them, and registers once it is served."""
    store = HouseStore()
    await store.put('op/config', moved(1, '/first/'))
    served, refused = StoreAccess(store), StoreAccess(store)
    name = NAMES[-1]
    async with open_fleet(
        {**dict.fromkeys(NAMES, served), name: refused}
    ) as nodes:
        found = nodes.values()
        copy = store.copy()
        refused.refuse_status = 503
        for version in (2, 3):
            store.go_away()
            await asyncio.sleep(AWAY_S / 2)
            store.restore(copy)
            await store.put('op/config', moved(version, f'/v{version}/'))
            await until(
                lambda: {one.belief.era for one in found} == {store.era}
            )
            await until(
                lambda: all(
                    one.belief.revision >= store.items['op/config'].revision
                    for one in found
                )
            )
            newest = [one.belief.configuration for one in found]
            assert {one and one.version for one in newest} == {version}
        await asyncio.sleep(WATCHED_S)
        refused.refuse_status = 0
        await until(lambda: f'mastichatch/nodes/{name}' in store.items)
        assert store.items[f'mastichatch/nodes/{name}'].lease in store.leases


async def test_pin_that_two_drills_lose_is_written_after_both() -> None:
    """They come within the time for which lost entries are kept."""
    key = 'mastichatch/pins/llm/p'
    async with open_nodes(1) as (relay,):
        store = relay.store
        copy = store.copy()
        await store.put(key, {})
        await until(lambda: relay.node.belief.entry(key) is not None)
        for _ in range(2):
            store.go_away()
            await asyncio.sleep(AWAY_S)
            store.restore(copy)
            await until(lambda: key in store.items)


@pytest.mark.parametrize('drills', (1, 2))
async def test_lost_removal_of_a_pin_is_made_once_again(drills: int) -> None:
    """The part would be refused until an operator removes the pin again."""
    key = 'mastichatch/pins/llm/p'
    async with open_nodes(3) as relays:
        store = relays[0].store
        await store.put(key, {})
        await until(lambda: all(one.node.belief.entry(key) for one in relays))
        copy = store.copy()
        await store.remove(key)
        await until(
            lambda: not any(one.node.belief.entry(key) for one in relays)
        )
        for _ in range(drills):
            store.go_away()
            await asyncio.sleep(AWAY_S / 2)
            store.restore(copy)
            await until(
                lambda: all(one.node.belief.era == store.era for one in relays)
            )
        await until(lambda: key not in store.items)
        await until(
            lambda: not any(one.node.belief.entry(key) for one in relays)
        )
        await asyncio.sleep(2)
        removed = [one for one in store.events if one.get('deleted')]
        assert len(removed) == 1
        assert key not in store.items
        assert not any(one.node.belief.entry(key) for one in relays)


async def test_pin_of_the_next_era_is_not_removed() -> None:
    """An operator pins a part again, after its removal was lost."""
    key = 'mastichatch/pins/llm/p'
    async with open_nodes(3) as relays:
        store = relays[0].store
        await store.put(key, {})
        copy = store.copy()
        await store.remove(key)
        revision = store.revision
        await until(
            lambda: all(one.node.belief.revision >= revision for one in relays)
        )
        store.go_away()
        await asyncio.sleep(AWAY_S / 2)
        store.restore(copy)
        await store.put(key, {})
        await asyncio.sleep(4)
        assert key in store.items
        assert all(one.node.belief.entry(key) for one in relays)


async def test_data_centre_with_a_reader_lists_the_store_seldom() -> None:
    store = HouseStore()
    await store.put('op/config', moved(1, '/first/'))
    async with open_fleet(dict.fromkeys(NAMES, store)) as nodes:
        copy = store.copy()
        await asyncio.sleep(COPY_AGE_S)
        store.go_away()
        await asyncio.sleep(AWAY_S)
        store.restore(copy)
        store.gone_answers = 0
        store.calls.clear()
        returned_at = time.monotonic()
        await store.put('op/config', moved(2, '/second/'))
        await until(
            lambda: all(
                one.belief.configuration is not None
                and one.belief.configuration.version == 2
                for one in nodes.values()
            )
        )
        assert time.monotonic() - returned_at < IN_FORCE_S
        await asyncio.sleep(WATCHED_S)
        assert all(one.is_ready for one in nodes.values())
        listings = store.calls.count('GET /mastichatch/kv-range')
        grants = store.calls.count('POST /mastichatch/kv-lease')
    # One by each node that called the store itself when it was back.
    assert listings <= 4
    assert grants <= len(NAMES) + 2
    assert store.gone_answers <= MAX_GONE * listings
