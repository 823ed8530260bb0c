"""Tests of changes of runs that nodes with fast links send on for others."""

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator, Container, Iterable

import pytest

from mastichatch_core.generated.messages import (
    MessageKind,
    Run,
    RunChanges,
    RunState,
)
from mastichatch_core.relay.forwarder_choice import (
    MAX_BURST_MS,
    NodeLink,
    Receivers,
    burst_ms,
    choose_forwarded_receivers,
    choose_receivers,
)
from mastichatch_node.clock import loop_time
from mastichatch_node.peers import Peers, open_peers
from mastichatch_node.relay.run_broadcast import (
    NODES_PER_SLICE,
    RunBroadcaster,
)
from tests.membership_nodes import wait_until

DATA_CENTRES = ('a', 'b', 'c', 'd', 'e')
# Hosts and the rates of their links on the largest deployment, in Mbit/s.
NODES = tuple(
    NodeLink(
        name=f'{data_centre}-{number}',
        data_centre=data_centre,
        link_mbps=100.0 if number % 5 == 0 else 10.0,
        can_forward=True,
    )
    for data_centre in DATA_CENTRES
    for number in range(39)
)
FAST = tuple(node for node in NODES if node.link_mbps > 50)
SLOW = tuple(node for node in NODES if node.link_mbps < 50)
BY_NAME = {node.name: node for node in NODES}
RUN = Run(request_id='r1', service='llm', endpoint='i-a', prompt_tokens=3000)


def others_of(own: NodeLink) -> tuple[NodeLink, ...]:
    return tuple(node for node in NODES if node.name != own.name)


def reached_by(own: NodeLink) -> tuple[list[str], dict[str, int]]:
    """Return who gets a change of a node, and the messages each node sends."""
    got: list[str] = []
    sent = dict.fromkeys(BY_NAME, 0)

    def deliver(sender: NodeLink, receivers: Receivers) -> None:
        sent[sender.name] += len(receivers.final)
        sent[sender.name] += len(receivers.for_data_centre)
        got.extend(receivers.final)
        for name in receivers.for_data_centre:
            got.append(name)
            node = BY_NAME[name]
            local = [
                one
                for one in others_of(node)
                if one.data_centre == node.data_centre
            ]
            deliver(node, choose_forwarded_receivers(node, local, own.name))
        if receivers.for_all is not None:
            sent[sender.name] += 1
            node = BY_NAME[receivers.for_all]
            got.append(node.name)
            deliver(
                node,
                choose_forwarded_receivers(node, others_of(node), own.name),
            )

    deliver(own, choose_receivers(own, others_of(own)))
    return got, sent


class TestChoice:
    def test_change_would_hold_up_the_streams_of_a_slow_link(self) -> None:
        """The load pattern: one change to 194 nodes over 10 Mbit/s."""
        assert burst_ms(len(NODES) - 1, 10) > 50
        assert burst_ms(len(NODES) - 1, 100) <= MAX_BURST_MS

    def test_each_change_reaches_each_node_once(self) -> None:
        for own in (SLOW[0], FAST[0], SLOW[-1]):
            got, _ = reached_by(own)
            assert sorted(got) == sorted(BY_NAME.keys() - {own.name})

    def test_no_link_is_held_up_by_a_change(self) -> None:
        for own in (*SLOW[:20], *FAST[:5]):
            _, sent = reached_by(own)
            for name, count in sent.items():
                rate = BY_NAME[name].link_mbps
                assert burst_ms(count, rate) <= MAX_BURST_MS

    def test_one_message_crosses_to_each_other_data_centre(self) -> None:
        receivers = choose_receivers(FAST[0], others_of(FAST[0]))
        assert len(receivers.for_data_centre) == len(DATA_CENTRES) - 1
        assert {BY_NAME[name].data_centre for name in receivers.final} == {
            FAST[0].data_centre
        }

    def test_small_fleet_sends_its_changes_itself(self) -> None:
        nodes = [
            dataclasses.replace(node, link_mbps=1000.0)
            for number, node in enumerate(NODES)
            if number % 39 < 2
        ]
        receivers = choose_receivers(nodes[0], nodes[1:])
        assert len(receivers.final) == len(nodes) - 1

    def test_work_spreads_over_the_nodes_with_fast_links(self) -> None:
        total = dict.fromkeys(BY_NAME, 0)
        for own in NODES:
            for name, count in reached_by(own)[1].items():
                total[name] += count
        mean = sum(total[node.name] for node in FAST) / len(FAST)
        assert max(total.values()) <= 2 * mean
        assert max(total[node.name] for node in SLOW) == 1

    def test_forwarder_that_is_not_heard_is_replaced(self) -> None:
        own = SLOW[0]
        first = choose_receivers(own, others_of(own)).for_all
        silent = [
            dataclasses.replace(node, can_forward=node.name != first)
            for node in others_of(own)
        ]
        assert choose_receivers(own, silent).for_all not in {first, None}

    def test_nothing_is_forwarded_beside_nodes_of_an_earlier_release(
        self,
    ) -> None:
        own = SLOW[0]
        mixed = [
            dataclasses.replace(node, accepts_forwarded=number > 0)
            for number, node in enumerate(others_of(own))
        ]
        receivers = choose_receivers(own, mixed)
        assert len(receivers.final) == len(NODES) - 1

    def test_nodes_that_cannot_forward_get_changes_directly(self) -> None:
        own = SLOW[0]
        silent = [
            dataclasses.replace(node, can_forward=False)
            for node in others_of(own)
        ]
        receivers = choose_receivers(own, silent)
        assert len(receivers.final) == len(NODES) - 1


@dataclasses.dataclass(frozen=True, slots=True)
class _Member:
    link: NodeLink
    peers: Peers
    broadcaster: RunBroadcaster

    def knows(self, request_id: str) -> bool:
        runs = self.broadcaster.table.iter_runs(loop_time())
        return any(run.request_id == request_id for run in runs)


class _Directory:
    """The members as one of them sees them."""

    def __init__(self, own: NodeLink, members: dict[str, _Member]) -> None:
        """Store the shared members."""
        self._own = own
        self._members = members

    @property
    def addresses(self) -> tuple[str, ...]:
        """Peer addresses of the others."""
        return self.addresses_of(self._members.keys() - {self._own.name})

    def addresses_of(self, names: Iterable[str]) -> tuple[str, ...]:
        """Return peer addresses."""
        return tuple(self._members[name].peers.address for name in names)

    def link(self) -> NodeLink:
        """Return the own node."""
        return self._own

    def other_links(self, heard: Container[str]) -> tuple[NodeLink, ...]:
        """Return the others; all of them count as heard."""
        return tuple(
            member.link
            for name, member in self._members.items()
            if name != self._own.name
        )


@contextlib.asynccontextmanager
async def _open_members(
    links: Iterable[NodeLink],
) -> AsyncIterator[dict[str, _Member]]:
    """Run broadcasters that know each other."""
    members: dict[str, _Member] = {}
    async with contextlib.AsyncExitStack() as stack:
        for link in links:
            peers = await stack.enter_async_context(
                open_peers('127.0.0.1:0', f'{link.name}-incarnation')
            )
            broadcaster = RunBroadcaster(
                peers, _Directory(link, members), lambda: 0
            )
            peers.on(
                MessageKind.run_changes, RunChanges, broadcaster.handle_changes
            )
            members[link.name] = _Member(link, peers, broadcaster)
        yield members


def link(name: str, link_mbps: float, data_centre: str = 'north') -> NodeLink:
    return NodeLink(
        name=name,
        data_centre=data_centre,
        link_mbps=link_mbps,
        can_forward=True,
    )


# One change to all others takes too long on the slow link, whose rate is low
# because there are few of them.
SLOW_LINK = link('slow', 0.5)
FAST_LINK = link('fast', 100)
SOUTH = tuple(link(f's{number}', 100, 'south') for number in range(9))


class TestForwarding:
    async def test_change_reaches_all_nodes_at_the_cost_of_one_message(
        self,
    ) -> None:
        links = (SLOW_LINK, FAST_LINK, link('a', 1), link('b', 1), *SOUTH)
        async with _open_members(links) as members:
            slow = members['slow']
            others = [one for name, one in members.items() if name != 'slow']
            slow.broadcaster.record(RUN)
            await wait_until(lambda: all(one.knows('r1') for one in others))
            assert slow.peers.counts.sent == 1
            # One message to the south, and two to neighbours.
            assert members['fast'].peers.counts.sent == 3
            ended = dataclasses.replace(RUN, state=RunState.ended)
            slow.broadcaster.record(ended)
            await wait_until(lambda: not any(one.knows('r1') for one in others))
            # The sender does not get its own changes back.
            assert slow.peers.counts.received == 0
            for one in others:
                assert one.peers.counts.received == 2

    async def test_full_list_corrects_what_a_dead_forwarder_lost(self) -> None:
        links = (SLOW_LINK, FAST_LINK, link('a', 1), *SOUTH)
        async with _open_members(links) as members:
            members['fast'].peers.close()
            slow = members['slow'].broadcaster
            slow.record(RUN)
            periodic = asyncio.create_task(slow.broadcast_periodically())
            others = (members['a'], members['s0'])
            await wait_until(lambda: all(one.knows('r1') for one in others))
            periodic.cancel()

    async def test_forwarded_change_counts_for_the_node_it_came_from(
        self,
    ) -> None:
        links = (SLOW_LINK, FAST_LINK, link('a', 1), *SOUTH)
        async with _open_members(links) as members:
            members['slow'].broadcaster.record(RUN)
            await wait_until(lambda: members['a'].knows('r1'))
            members['fast'].broadcaster.record(
                dataclasses.replace(RUN, request_id='r2')
            )
            await wait_until(lambda: members['a'].knows('r2'))
            assert members['a'].knows('r1')

    async def test_new_neighbour_is_greeted_with_the_full_list(self) -> None:
        links = (link('own', 100), link('new', 100))
        async with _open_members(links) as members:
            own = members['own']
            own.broadcaster.record(RUN, announce=False)
            own.broadcaster.greet(['new'])
            await wait_until(lambda: members['new'].knows('r1'))
            table = members['new'].broadcaster.table
            assert table.heard(loop_time()) == {'own'}

    @pytest.mark.parametrize('count', [1, NODES_PER_SLICE, 3 * NODES_PER_SLICE])
    async def test_full_list_reaches_each_node_once_in_an_interval(
        self, count: int
    ) -> None:
        others = [f'n{number}' for number in range(count)]
        links = [link(name, 100) for name in ('own', *others)]
        async with _open_members(links) as members:
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
