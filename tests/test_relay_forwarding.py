"""Tests of changes of runs that nodes with fast links send on for others."""

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator, Iterable

import pytest

from mastichatch_core.generated.messages import (
    MessageKind,
    Run,
    RunChanges,
    RunState,
)
from mastichatch_core.relay.forwarder_choice import (
    MAX_BURST_MS,
    burst_ms,
    choose_forwarder,
)
from mastichatch_node.clock import loop_time
from mastichatch_node.peers import Peers, open_peers
from mastichatch_node.relay.run_broadcast import (
    NODES_PER_SLICE,
    RunBroadcaster,
)
from tests.membership_nodes import wait_until

# Hosts and the rates of their links on the largest deployment, in Mbit/s.
HOSTS = tuple(f'north-{number}' for number in range(195))
LINKS = {
    name: 100.0 if number % 5 == 0 else 10.0
    for number, name in enumerate(HOSTS)
}
FAST = frozenset(name for name, rate in LINKS.items() if rate > 50)
SLOW = frozenset(HOSTS) - FAST
RUN = Run(request_id='r1', service='llm', endpoint='i-a', prompt_tokens=3000)


class TestChoice:
    def test_change_would_hold_up_the_streams_of_a_slow_link(self) -> None:
        """The load pattern: one change to 194 nodes over 10 Mbit/s."""
        assert burst_ms(len(HOSTS) - 1, 10) > 50
        assert burst_ms(len(HOSTS) - 1, 100) <= MAX_BURST_MS

    def test_small_fleet_sends_its_changes_itself(self) -> None:
        links = {name: 1000.0 for name in HOSTS[:9]}
        assert choose_forwarder(HOSTS[0], HOSTS[1:9], links) is None

    def test_node_with_a_fast_link_sends_its_changes_itself(self) -> None:
        for own in FAST:
            assert choose_forwarder(own, FAST, LINKS) is None

    def test_unknown_rates_need_no_forwarder(self) -> None:
        links = dict.fromkeys(HOSTS, 0.0)
        assert choose_forwarder(HOSTS[0], HOSTS, links) is None

    def test_slow_links_spread_over_the_fast_ones(self) -> None:
        chosen = [choose_forwarder(own, FAST, LINKS) for own in SLOW]
        assert set(chosen) <= FAST
        assert max(chosen.count(name) for name in set(chosen)) <= 12

    def test_forwarder_that_is_not_heard_is_replaced(self) -> None:
        own = min(SLOW)
        first = choose_forwarder(own, FAST, LINKS)
        assert first is not None
        assert choose_forwarder(own, FAST - {first}, LINKS) in FAST - {first}

    def test_without_a_faster_node_changes_are_sent_directly(self) -> None:
        own = min(SLOW)
        assert choose_forwarder(own, SLOW, LINKS) is None


@dataclasses.dataclass(frozen=True, slots=True)
class _Member:
    name: str
    peers: Peers
    broadcaster: RunBroadcaster

    def knows(self, request_id: str) -> bool:
        runs = self.broadcaster.table.iter_runs(loop_time())
        return any(run.request_id == request_id for run in runs)


@contextlib.asynccontextmanager
async def _open_members(
    names: Iterable[str], forwarders: dict[str, str]
) -> AsyncIterator[dict[str, _Member]]:
    """Run broadcasters that know each other.

    :param names: names of the nodes
    :param forwarders: which node forwards the changes of which other one
    """
    members: dict[str, _Member] = {}

    def add(name: str, peers: Peers) -> None:
        def addresses() -> list[str]:
            return [
                one.peers.address
                for one in members.values()
                if one.name != name
            ]

        def forwarder() -> str | None:
            chosen = forwarders.get(name)
            return None if chosen is None else members[chosen].peers.address

        broadcaster = RunBroadcaster(
            name, peers, addresses, lambda: 0, forwarder
        )
        peers.on(
            MessageKind.run_changes, RunChanges, broadcaster.handle_changes
        )
        members[name] = _Member(name, peers, broadcaster)

    async with contextlib.AsyncExitStack() as stack:
        for name in names:
            add(
                name,
                await stack.enter_async_context(
                    open_peers('127.0.0.1:0', f'{name}-incarnation')
                ),
            )
        yield members


class TestForwarding:
    async def test_change_reaches_all_nodes_at_the_cost_of_one_message(
        self,
    ) -> None:
        forwarders = {'slow': 'fast'}
        async with _open_members(
            ('slow', 'fast', 'a', 'b', 'c'), forwarders
        ) as members:
            slow = members['slow']
            slow.broadcaster.record(RUN)
            others = [members[name] for name in ('fast', 'a', 'b', 'c')]
            await wait_until(lambda: all(one.knows('r1') for one in others))
            assert slow.peers.counts.sent == 1
            ended = dataclasses.replace(RUN, state=RunState.ended)
            slow.broadcaster.record(ended)
            await wait_until(lambda: not any(one.knows('r1') for one in others))
            # The sender does not get its own changes back.
            assert slow.peers.counts.received == 0

    async def test_full_list_corrects_what_a_dead_forwarder_lost(self) -> None:
        forwarders = {'slow': 'fast'}
        async with _open_members(('slow', 'fast', 'a'), forwarders) as members:
            members['fast'].peers.close()
            members['slow'].broadcaster.record(RUN)
            periodic = asyncio.create_task(
                members['slow'].broadcaster.broadcast_periodically()
            )
            await wait_until(lambda: members['a'].knows('r1'))
            periodic.cancel()

    async def test_change_of_an_earlier_incarnation_is_replaced(self) -> None:
        """A forwarder's message counts for the node that it came from."""
        async with _open_members(
            ('slow', 'fast', 'a'), {'slow': 'fast'}
        ) as members:
            members['slow'].broadcaster.record(RUN)
            await wait_until(lambda: members['a'].knows('r1'))
            members['fast'].broadcaster.record(
                dataclasses.replace(RUN, request_id='r2')
            )
            await wait_until(lambda: members['a'].knows('r2'))
            assert members['a'].knows('r1')

    @pytest.mark.parametrize('count', [1, NODES_PER_SLICE, 3 * NODES_PER_SLICE])
    async def test_full_list_reaches_each_node_once_in_an_interval(
        self, count: int
    ) -> None:
        others = [f'n{number}' for number in range(count)]
        async with _open_members(('own', *others), {}) as members:
            own = members['own']
            own.broadcaster.record(RUN, announce=False)
            periodic = asyncio.create_task(
                own.broadcaster.broadcast_periodically()
            )
            await wait_until(
                lambda: all(members[name].knows('r1') for name in others)
            )
            assert own.peers.counts.sent == count
            periodic.cancel()
