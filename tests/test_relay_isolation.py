"""Tests of nodes that are cut off from all endpoints, while others reach them.

Such a node takes its own loss for the end of all engines, and tells the other
nodes, which then avoid all of them. Crashes, the end of a service and servers
that fall silent look alike at first.
"""

import asyncio
import contextlib
import re
from collections.abc import AsyncIterator, Callable
from typing import Any

import pytest

from mastichatch_node.clock import loop_time
from mastichatch_node.relay.http_client import ExchangeError
from mastichatch_node.relay.relay_node import RelayNode
from tests import relay_nodes
from tests.network_cuts import Cut, cut_off
from tests.standins import house_endpoints as endpoints
from tests.standins.house_endpoints import HouseEndpoint

# Time from a cut until it must be noticed under traffic, and for messages.
NOTICE_S = 3.0
EXCHANGE_S = 0.5
CALL_INTERVAL_S = 0.05
PLAN_HEADERS = (
    'Mastichatch-Model: m',
    'Mastichatch-Token-Counts: 100,400',
    'Mastichatch-Prompt-Prefix: a:100',
)


class Fleet:
    """Nodes, some of which get calls."""

    def __init__(self, relays: tuple[relay_nodes.RelayFixture, ...]) -> None:
        self.nodes = tuple(one.node for one in relays)
        self._relays = relays
        self._calls = 0

    @property
    def first(self) -> RelayNode:
        return self.nodes[0]

    async def send(self, number: int) -> None:
        """Send calls and plans to one node until cancelled."""
        address = self._relays[number].settings.callers_address
        async with asyncio.TaskGroup() as group:
            while True:
                self._calls += 1
                name = 'plan' if self._calls % 3 == 0 else 'lookup'
                group.create_task(self._call(address, name, self._calls))
                await asyncio.sleep(CALL_INTERVAL_S)

    async def _call(self, address: str, name: str, number: int) -> None:
        with contextlib.suppress(OSError):
            await relay_nodes.call(
                address,
                f'/{name}/x',
                request_id=f'c{number}',
                headers=PLAN_HEADERS,
                timeout_ms=1500,
            )


@contextlib.asynccontextmanager
async def open_fleet(
    *senders: int,
    apps: tuple[HouseEndpoint, ...] = (),
    engines: tuple[HouseEndpoint, ...] = (),
    count: int = 3,
) -> AsyncIterator[Fleet]:
    """Run nodes, some of which get calls all the time."""
    async with relay_nodes.open_nodes(count, *engines, apps=apps) as relays:
        fleet = Fleet(relays)
        tasks = [asyncio.create_task(fleet.send(one)) for one in senders]
        await asyncio.sleep(EXCHANGE_S)
        try:
            yield fleet
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)


def create_endpoints() -> dict[str, Any]:
    return {
        'apps': tuple(
            HouseEndpoint(f'a-{n}', endpoints.respond_ok) for n in range(3)
        ),
        'engines': tuple(
            HouseEndpoint(f'e-{n}', endpoints.stream(5, 0.02)) for n in range(3)
        ),
    }


def addresses_of(known: dict[str, Any]) -> set[str]:
    return {one.address for group in known.values() for one in group}


def context_of(node: RelayNode) -> Any:
    return node._context


def is_isolated(node: RelayNode) -> bool:
    return bool(context_of(node).isolation.is_isolated)


def avoided_at(node: RelayNode) -> set[str]:
    """Return the endpoints that a node sends no requests to."""
    context = context_of(node)
    now = loop_time()
    return {
        instance
        for instance in context.belief.endpoints(now)
        if context.records.get(instance).is_avoided(now)
    }


async def holds_within(condition: Callable[[], bool], time_s: float) -> bool:
    """Return whether a condition holds before a time has passed."""
    ends_at = loop_time() + time_s
    while not condition() and loop_time() < ends_at:
        await asyncio.sleep(0.01)
    return condition()


@pytest.mark.parametrize('how', Cut)
async def test_node_that_is_cut_off_notices_it_and_its_end(how: Cut) -> None:
    known = create_endpoints()
    async with open_fleet(0, 1, **known) as fleet:
        with cut_off((fleet.first,), addresses_of(known), how):
            assert await holds_within(
                lambda: is_isolated(fleet.first), NOTICE_S
            )
            isolation = context_of(fleet.first).isolation
            assert 'north-2' in isolation.reachable_peers()
            assert not isolation.reaches('app')
            assert not any(map(is_isolated, fleet.nodes[1:]))
            await asyncio.sleep(EXCHANGE_S)
            for node in fleet.nodes[1:]:
                peers = context_of(node).isolation.reachable_peers()
                assert 'north-1' not in peers
        assert await holds_within(
            lambda: not is_isolated(fleet.first), NOTICE_S
        )
        assert isolation.reaches('app')
        assert not avoided_at(fleet.first)


@pytest.mark.parametrize('how', [Cut.refuse, Cut.reset])
async def test_other_nodes_do_not_avoid_what_a_cut_off_node_misses(
    how: Cut,
) -> None:
    known = create_endpoints()
    async with open_fleet(0, **known) as fleet:
        with cut_off((fleet.first,), addresses_of(known), how):
            for _ in range(20):
                await asyncio.sleep(CALL_INTERVAL_S)
                assert not any(map(avoided_at, fleet.nodes[1:]))
            crashes = context_of(fleet.nodes[1]).crashes
            assert crashes.evidence.is_empty


async def test_nobody_is_isolated_where_all_nodes_are_cut_off() -> None:
    known = create_endpoints()
    async with open_fleet(0, 1, **known, count=2) as fleet:
        with cut_off(fleet.nodes, addresses_of(known), Cut.refuse):
            lost = [context_of(node).isolation.contact for node in fleet.nodes]
            assert await holds_within(
                lambda: all(one.is_cut_off for one in lost), NOTICE_S
            )
            await asyncio.sleep(EXCHANGE_S)
            assert not any(map(is_isolated, fleet.nodes))
            for node in fleet.nodes:
                assert not context_of(node).isolation.reachable_peers()


async def test_node_is_isolated_though_peers_have_no_traffic() -> None:
    known = create_endpoints()
    async with open_fleet(0, **known) as fleet:
        await asyncio.sleep(1.5)
        with cut_off((fleet.first,), addresses_of(known), Cut.refuse):
            assert await holds_within(
                lambda: is_isolated(fleet.first), NOTICE_S
            )


async def test_peers_tell_at_once_of_contact_that_is_later_than_a_cut() -> None:
    known = create_endpoints()
    async with open_fleet(**known, count=2) as fleet:
        with cut_off((fleet.first,), addresses_of(known), Cut.refuse):
            context_of(fleet.first).isolation.contact.checker.start()
            assert await holds_within(lambda: is_isolated(fleet.first), 0.8)


@pytest.mark.parametrize('lost', ['engines', 'apps'])
async def test_end_of_a_service_isolates_nobody(lost: str) -> None:
    known = create_endpoints()
    async with open_fleet(0, 1, **known, count=2) as fleet:
        for one in known[lost]:
            one.close()
        ends_at = loop_time() + 1.5
        while loop_time() < ends_at:
            await asyncio.sleep(CALL_INTERVAL_S)
            for node in fleet.nodes:
                assert not context_of(node).isolation.contact.is_cut_off


async def test_silence_of_all_servers_isolates_nobody() -> None:
    known = create_endpoints()
    async with open_fleet(0, 1, **known, count=2) as fleet:
        for one in (*known['apps'], *known['engines']):
            one.script = endpoints.hang
        ends_at = loop_time() + 1.5
        while loop_time() < ends_at:
            await asyncio.sleep(CALL_INTERVAL_S)
            for node in fleet.nodes:
                assert not context_of(node).isolation.contact.is_cut_off


async def test_crash_is_still_told_to_other_nodes() -> None:
    known = create_endpoints()
    async with open_fleet(0, **known, count=2) as fleet:
        for one in known['engines'][:1]:
            one.close()
        assert await holds_within(
            lambda: bool(avoided_at(fleet.nodes[1])), NOTICE_S
        )


async def test_refusals_at_a_cut_off_node_prove_no_end_of_a_process() -> None:
    known = create_endpoints()
    async with open_fleet(**known, count=1) as fleet:
        with cut_off((fleet.first,), addresses_of(known), Cut.refuse):
            context = context_of(fleet.first)
            address = known['engines'][0].address
            context.pool.signs.record_refusal(address, loop_time())
            ends_at = loop_time() + 1
            while loop_time() < ends_at:
                assert not context.pool.signs.has_ended(address)
                await asyncio.sleep(CALL_INTERVAL_S)


async def test_malformed_addresses_isolate_nobody() -> None:
    known = create_endpoints()
    async with open_fleet(**known, count=1) as fleet:
        context = context_of(fleet.first)
        for port in range(70_000, 70_010):
            with pytest.raises(ExchangeError):
                await context.pool.take(f'127.0.0.1:{port}', 0)
        await asyncio.sleep(EXCHANGE_S)
        # No check has connected to anything.
        assert context.isolation.contact.contact_ms is None


@pytest.mark.parametrize('keeps_copies', [False, True])
@pytest.mark.parametrize('how', [Cut.reset, Cut.hang])
async def test_streams_of_a_node_that_is_cut_off_go_on(
    how: Cut, keeps_copies: bool
) -> None:
    known = create_endpoints()
    for one in known['engines']:
        one.script = endpoints.stream(80, 0.05)
        one.drops_closed = False
    document = relay_nodes.configuration()
    document['services'][1]['engine']['backups'] = keeps_copies
    document['routes'][2]['timeout_ms'] = 20000
    opened = relay_nodes.open_nodes(
        2, *known['engines'], apps=known['apps'], document=document
    )
    async with opened as relays:
        first = relays[0].node
        streams = [
            asyncio.create_task(
                relays[0].call(
                    '/plan/x',
                    request_id=f's{number}',
                    headers=PLAN_HEADERS,
                    timeout_ms=20000,
                )
            )
            for number in range(4)
        ]
        await asyncio.sleep(1)
        with cut_off((first,), addresses_of(known), how):
            answers = await asyncio.gather(*streams)
    for answer in answers:
        assert answer.is_whole
        numbers = re.findall(rb'id: (\d+)', answer.body)
        assert list(map(int, numbers)) == list(range(1, 81))
