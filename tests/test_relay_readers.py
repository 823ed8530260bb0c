"""Tests of nodes that follow the store through a reader node."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator

import pytest
from mastichatch_platform.program import create_adapter

from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.messages import ErrorKind
from mastichatch_core.relay.reader_choice import (
    MIN_OTHERS_FOR_READER,
    choose_reader,
)
from mastichatch_core.units import MS_PER_S
from mastichatch_node.peers import Peers
from mastichatch_node.relay.program import open_node
from mastichatch_node.relay.relay_node import RelayNode
from mastichatch_node.relay.telemetry import Telemetry
from tests.relay_nodes import configuration, create_settings, route, until
from tests.standins.house_store import HouseStore, open_store

NAMES = tuple(f'north-{number}' for number in range(6))
# Shortest time limit for applying a change, by the users' requirements.
CHANGE_LIMIT_S = 2.0


class TestReaderChoice:
    def test_small_fleet_has_no_reader(self) -> None:
        others = NAMES[1:MIN_OTHERS_FOR_READER]
        assert choose_reader(NAMES[0], others, others) is None

    def test_all_nodes_choose_the_same_reader(self) -> None:
        chosen = set()
        for own in NAMES:
            others = tuple(name for name in NAMES if name != own)
            chosen.add(choose_reader(own, others, others) or own)
        assert len(chosen) == 1

    def test_unresponsive_reader_is_replaced(self) -> None:
        reader = choose_reader('x', NAMES, NAMES)
        answering = tuple(name for name in NAMES if name != reader)
        assert choose_reader('x', NAMES, answering) != reader

    def test_reader_has_a_fast_link(self) -> None:
        for fast in NAMES:
            links = {name: 10.0 for name in NAMES} | {fast: 200.0}
            assert choose_reader('x', NAMES, NAMES, links) == fast

    def test_reader_has_a_slow_link_if_no_fast_one_answers(self) -> None:
        links = {name: 10.0 for name in NAMES} | {NAMES[0]: 200.0}
        answering = NAMES[1:]
        assert choose_reader('x', NAMES, answering, links) in answering


@contextlib.asynccontextmanager
async def _open_fleet() -> AsyncIterator[
    tuple[
        HouseStore, dict[str, RelayNode], dict[str, contextlib.AsyncExitStack]
    ]
]:
    store = HouseStore()
    async with contextlib.AsyncExitStack() as stack:
        address = await stack.enter_async_context(open_store(store))
        await store.put('op/config', configuration())
        nodes: dict[str, RelayNode] = {}
        stacks: dict[str, contextlib.AsyncExitStack] = {}
        for name in NAMES:
            own = await stack.enter_async_context(contextlib.AsyncExitStack())
            settings = create_settings(address, name=name)
            nodes[name] = await own.enter_async_context(
                open_node(settings, create_adapter(), Telemetry())
            )
            stacks[name] = own
        await until(
            lambda: all(_has_all_registrations(one) for one in nodes.values())
        )
        # Full lists of runs, sent once a second, show which nodes are alive.
        await asyncio.sleep(2.5)
        yield store, nodes, stacks


def _has_all_registrations(node: RelayNode) -> bool:
    return len(node.belief.entries_under('mastichatch/nodes/')) == len(NAMES)


async def _measure_propagation_s(
    store: HouseStore, nodes: list[RelayNode]
) -> float:
    started_at = time.monotonic()
    revision = await store.put(f'op/evacuate/z{store.revision}', {})
    await until(lambda: all(one.belief.revision >= revision for one in nodes))
    return time.monotonic() - started_at


class TestFleet:
    async def test_one_node_watches_and_all_receive_the_change(self) -> None:
        async with _open_fleet() as (store, nodes, _stacks):
            store.calls.clear()
            elapsed_s = await _measure_propagation_s(
                store, list(nodes.values())
            )
            await asyncio.sleep(2)
            watches = sum('kv-watch' in call for call in store.calls)
        assert elapsed_s < CHANGE_LIMIT_S
        # The reader's watches of 1.5 s, and one that returns the change.
        assert watches <= 4

    async def test_change_arrives_although_the_reader_has_stopped(self) -> None:
        async with _open_fleet() as (store, nodes, stacks):
            reader = choose_reader('x', NAMES, NAMES)
            assert reader is not None
            await stacks[reader].aclose()
            remaining = [node for name, node in nodes.items() if name != reader]
            assert (
                await _measure_propagation_s(store, remaining) < CHANGE_LIMIT_S
            )

    async def test_change_arrives_although_no_reader_responds(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async def time_out(
            *_args: object, timeout_ms: float, **_more: object
        ) -> None:
            await asyncio.sleep(timeout_ms / MS_PER_S)
            raise MastichatchError(ErrorKind.peer_unreachable)

        async with _open_fleet() as (store, nodes, _stacks):
            monkeypatch.setattr(Peers, 'ask', time_out)
            elapsed_s = await _measure_propagation_s(
                store, list(nodes.values())
            )
        # Two readers are tried for 1 s each before the store is queried.
        assert elapsed_s < 1.5 * CHANGE_LIMIT_S

    async def test_large_configuration_reaches_all_nodes(self) -> None:
        async with _open_fleet() as (store, nodes, _stacks):
            routes = [route(f'r{one}', 'safe', 'app') for one in range(1400)]
            await store.put('op/config', configuration(2, routes=routes))
            await until(
                lambda: all(
                    one.belief.configuration is not None
                    and one.belief.configuration.version == 2
                    for one in nodes.values()
                )
            )

    async def test_nodes_stay_ready_without_changes(self) -> None:
        async with _open_fleet() as (_store, nodes, _stacks):
            await asyncio.sleep(4)
            assert all(node.is_ready for node in nodes.values())
