"""Membership rules, and discovery and failure detection between nodes."""

import contextlib
from collections.abc import Iterator

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mastichatch_core import membership as rules
from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.messages import ErrorKind
from mastichatch_core.generated.records import NodeRecord
from mastichatch_core.membership import GoneReason, Member
from mastichatch_node.peers import Peers
from mastichatch_node.platform import HostEntry, Platform
from tests.membership_nodes import (
    Node,
    set_platform_faults,
    open_node,
    start_platform_standin,
    wait_until,
)

TIMING = rules.MemberTiming(timeout=1.5, lease=6.0)


def member(name: str, incarnation: str = '', **fields: object) -> Member:
    """Return a member of the data centre `north`."""
    known: dict[str, object] = {
        'name': name,
        'data_centre': 'north',
        'incarnation': incarnation or f'{name}-1',
        'peer_address': f'{name}:1',
        'http_address': '',
    }
    return Member(**(known | fields))  # type: ignore[arg-type]


def create_table() -> rules.MemberTable:
    """Return the table of node a, with a heartbeat of node b at 10 s."""
    table = rules.MemberTable(member('a'), TIMING, 0)
    table.lease_until = 16
    rules.record_platform_contact(table, 10)
    rules.record_heartbeat(table, member('b'), ['a'], 10)
    return table


def record(name: str, incarnation: str = '') -> NodeRecord:
    """Return the registration of a node in the data centre `north`."""
    return NodeRecord(
        name=name,
        incarnation=incarnation or f'{name}-1',
        data_centre='north',
        peer_address=f'{name}:1',
        http_address='',
    )


def names(found: tuple[Member, ...]) -> list[str]:
    """Return the names of nodes."""
    return [each.name for each in found]


class TestRemoval:
    def test_silent_node_stays_expected_without_proof(self) -> None:
        table = create_table()
        assert not rules.remove_gone(table, 1000)
        assert rules.expected_names(table) == {'a', 'b'}
        assert rules.reachable_names(table, 12) == {'a'}

    def test_lapsed_lease_removes_only_a_silent_node(self) -> None:
        table = create_table()
        rules.record_registrations(table, [record('a')], 10.5, 10.6)
        assert not rules.remove_gone(table, 11)
        assert rules.remove_gone(table, 12) == {'b': GoneReason.lease_lapsed}

    def test_listing_requested_before_last_heartbeat_is_no_proof(
        self,
    ) -> None:
        table = create_table()
        rules.record_registrations(table, [record('a')], 9.9, 10.6)
        assert not rules.remove_gone(table, 12)

    def test_restored_registration_withdraws_the_proof(self) -> None:
        table = create_table()
        rules.record_registrations(table, [record('a')], 10.5, 10.6)
        rules.record_registrations(table, [record('a'), record('b')], 11, 11)
        assert not rules.remove_gone(table, 12)

    def test_remote_contact_overrides_a_lapsed_lease(self) -> None:
        table = create_table()
        rules.record_registrations(table, [record('a')], 10.5, 10.6)
        rules.record_remote_contacts(table, ['b'], 11)
        assert not rules.remove_gone(table, 12)
        assert rules.remove_gone(table, 16)

    def test_removed_host_is_proof_only_if_listed_before(self) -> None:
        table = create_table()
        rules.record_host_list(table, ['a'])
        assert not rules.remove_gone(table, 12)
        rules.record_host_list(table, ['a', 'b'])
        rules.record_host_list(table, ['a'])
        assert rules.remove_gone(table, 12) == {'b': GoneReason.host_removed}

    def test_proof_from_another_node_removes_a_silent_node(self) -> None:
        table = create_table()
        rules.record_host_list(table, ['a'])
        rules.record_proved_gone(table, [member('b').incarnation])
        assert not rules.remove_gone(table, 0.1)
        assert rules.remove_gone(table, 12) == {'b': GoneReason.host_removed}

    def test_leftover_registration_does_not_restore_a_gone_node(self) -> None:
        table = create_table()
        rules.record_host_list(table, ['a', 'b'])
        rules.record_host_list(table, ['a'])
        assert rules.remove_gone(table, 12)
        rules.record_registrations(table, [record('a'), record('b')], 13, 13)
        assert rules.expected_names(table) == {'a'}
        rules.record_heartbeat(table, member('b'), ['a'], 14)
        assert rules.expected_names(table) == {'a', 'b'}

    def test_host_list_reads_for_a_new_node_are_limited(
        self,
    ) -> None:
        table = create_table()
        assert rules.needs_host_list(table)
        rules.record_host_list(table, ['a', 'b'])
        assert not rules.needs_host_list(table)
        rules.record_heartbeat(table, member('c'), ['a'], 11)
        for _ in range(rules.HOST_LIST_READ_LIMIT):
            assert rules.needs_host_list(table)
            rules.record_host_list(table, ['a', 'b'])
        assert not rules.needs_host_list(table)

    def test_silent_draining_node_is_removed(self) -> None:
        table = create_table()
        rules.record_heartbeat(table, member('b', draining=True), ['a'], 11)
        assert names(rules.live_members(table, 11)) == ['a']
        assert rules.reachable_names(table, 11) == {'a', 'b'}
        assert rules.remove_gone(table, 13) == {'b': GoneReason.drained}

    def test_remote_silence_is_proof_while_platform_is_unavailable(
        self,
    ) -> None:
        table = create_table()
        rules.record_remote_contacts(table, [], 14)
        assert not rules.remove_gone(table, 15)
        rules.record_remote_contacts(table, [], 17)
        assert rules.remove_gone(table, 17)

    def test_remote_silence_is_no_proof_after_recent_remote_contact(
        self,
    ) -> None:
        table = create_table()
        rules.record_remote_contacts(table, ['b'], 16)
        rules.record_remote_contacts(table, [], 17)
        assert not rules.remove_gone(table, 17)


class TestIncarnations:
    def test_new_incarnation_replaces_the_old_immediately(self) -> None:
        table = create_table()
        effect = rules.record_heartbeat(table, member('b', 'b-2'), [], 10.1)
        assert effect is rules.HeartbeatEffect.new
        assert rules.live_members(table, 10.1)[1].incarnation == 'b-2'

    def test_late_heartbeat_of_a_replaced_incarnation_is_ignored(self) -> None:
        table = create_table()
        rules.record_heartbeat(table, member('b', 'b-2'), [], 10.1)
        rules.record_heartbeat(table, member('b', 'b-1'), ['a'], 10.2)
        assert rules.live_members(table, 10.2)[1].incarnation == 'b-2'

    def test_leftover_registration_does_not_restore_old_incarnation(
        self,
    ) -> None:
        table = create_table()
        rules.record_heartbeat(table, member('b', 'b-2'), [], 10.1)
        rules.record_registrations(table, [record('b', 'b-1')], 10.2, 10.2)
        assert rules.live_members(table, 10.2)[1].incarnation == 'b-2'


class TestContact:
    def test_one_way_partition_counts_as_silence_at_both_ends(self) -> None:
        table = create_table()
        rules.record_heartbeat(table, member('b'), [], 12)
        assert rules.reachable_names(table, 12) == {'a'}
        assert names(rules.unacknowledged_members(table, 12)) == ['b']
        assert rules.recently_heard_names(table, 12) == ('b',)

    def test_after_a_pause_no_node_counts_as_heard_until_next_heartbeat(
        self,
    ) -> None:
        table = create_table()
        rules.record_process_pause(table, 10.5)
        rules.record_heartbeat(table, member('b'), ['a'], 10.4)
        assert rules.reachable_names(table, 10.4) == {'a'}
        rules.record_heartbeat(table, member('b'), ['a'], 10.6)
        assert rules.reachable_names(table, 10.6) == {'a', 'b'}


class TestSelfFencing:
    def test_node_isolated_from_everything_stops_when_its_lease_lapses(
        self,
    ) -> None:
        table = create_table()
        assert rules.reachable_names(table, 15.9) == {'a'}
        assert rules.reachable_names(table, 16.1) == frozenset()

    def test_node_that_lost_the_platform_much_earlier_continues(self) -> None:
        table = create_table()
        rules.record_heartbeat(table, member('b'), ['a'], 100)
        assert rules.reachable_names(table, 110) == {'a'}

    def test_node_that_still_hears_another_node_continues(self) -> None:
        table = create_table()
        rules.record_heartbeat(table, member('c'), ['a'], 17)
        assert rules.reachable_names(table, 17) == {'a', 'c'}

    @given(
        lapse_delay=st.floats(0, 30),
        cut_at=st.floats(0, 30),
        elapsed=st.floats(0, 100),
    )
    def test_partitioned_sides_never_both_act_as_the_full_data_centre(
        self, lapse_delay: float, cut_at: float, elapsed: float
    ) -> None:
        # Node b loses contact with all nodes and the platform at the same
        # time. Its lease lapses on its own clock at most one lease later, and
        # on the platform's clock no earlier than that. The platform stays
        # available to node a.
        a = rules.MemberTable(member('a'), TIMING, 0)
        b = rules.MemberTable(member('b'), TIMING, 0)
        rules.record_heartbeat(a, member('b'), ['a'], cut_at)
        rules.record_heartbeat(b, member('a'), ['b'], cut_at)
        renewed = max(0, cut_at - TIMING.lease / 3)
        rules.record_platform_contact(b, renewed)
        b.lease_until = renewed + TIMING.lease
        now = cut_at + elapsed
        lapsed = now >= b.lease_until + lapse_delay
        present = [record('a')] if lapsed else [record('a'), record('b')]
        rules.record_registrations(a, present, now, now)
        rules.remove_gone(a, now)
        if rules.expected_names(a) == {'a'}:
            assert not rules.reachable_names(b, now)


class TestNodes:
    async def test_nodes_discover_each_other_and_choose_the_same_host(
        self,
    ) -> None:
        async with contextlib.AsyncExitStack() as stack:
            enter = stack.enter_async_context
            address = await enter(start_platform_standin())
            nodes = [
                await enter(open_node(f'n{index}', 'north', address))
                for index in range(4)
            ]
            everyone = ['n0', 'n1', 'n2', 'n3']
            await wait_until(
                lambda: all(node.live() == everyone for node in nodes)
            )
            hosts = [node.membership.scheduler_host('rota') for node in nodes]
            assert len({host.name for host in hosts if host}) == 1

    async def test_node_that_leaves_is_no_longer_expected(self) -> None:
        async with start_platform_standin() as address:
            async with open_node('n0', 'north', address) as first:
                async with open_node('n1', 'north', address) as second:
                    await wait_until(lambda: first.live() == ['n0', 'n1'])
                    second.membership.set_draining()
                    await wait_until(lambda: first.live() == ['n0'])
                    assert first.membership.reachable_names() == {'n0', 'n1'}
                await wait_until(
                    lambda: first.membership.expected_names() == {'n0'}
                )

    async def test_silent_node_is_removed_after_its_lease_lapses(
        self,
    ) -> None:
        async with start_platform_standin() as address:
            async with open_node('n0', 'north', address) as first:
                async with open_node('n1', 'north', address) as second:
                    await wait_until(lambda: first.live() == ['n0', 'n1'])
                    with unreachable(second.platform, second.peers):
                        await wait_until(lambda: first.live() == ['n0'])
                        assert first.membership.expected_names() == {'n0', 'n1'}
                        await wait_until(
                            lambda: first.membership.expected_names() == {'n0'}
                        )
                        await wait_until(
                            lambda: not second.membership.reachable_names()
                        )
                    # The node rejoins with the same incarnation.
                    await wait_until(lambda: first.live() == ['n0', 'n1'])

    async def test_digests_reach_every_node_of_another_data_centre(
        self,
    ) -> None:
        async with contextlib.AsyncExitStack() as stack:
            enter = stack.enter_async_context
            address = await enter(start_platform_standin())
            nodes = [
                await enter(
                    open_node(f'{data_centre}{index}', data_centre, address)
                )
                for data_centre in ('north', 'south')
                for index in range(3)
            ]

            def summary(node: Node) -> list[tuple[str, int, int]]:
                return [
                    (each.data_centre, len(each.nodes), each.loads[0].free)
                    for each in node.membership.digests()
                    if each.loads
                ]

            await wait_until(
                lambda: all(
                    summary(node) == [('south', 3, 3)] for node in nodes[:3]
                )
            )
            await wait_until(
                lambda: all(
                    summary(node) == [('north', 3, 3)] for node in nodes[3:]
                )
            )
            known = [each.name for each in nodes[0].membership.all_known()]
            assert sorted(known) == sorted(
                f'{data_centre}{index}'
                for data_centre in ('north', 'south')
                for index in range(3)
            )

    async def test_nodes_join_through_seeds_while_platform_is_unavailable(
        self,
    ) -> None:
        async with contextlib.AsyncExitStack() as stack:
            enter = stack.enter_async_context
            address = await enter(start_platform_standin())
            await set_platform_faults(address, available=False)
            first = await enter(open_node('n0', 'north', address))
            seeds = (first.peers.address,)
            nodes = [
                await enter(open_node(f'n{i}', 'north', address, seeds=seeds))
                for i in (1, 2)
            ]
            south = await enter(open_node('s', 'south', address, seeds=seeds))
            everyone = ['n0', 'n1', 'n2']
            await wait_until(
                lambda: all(node.live() == everyone for node in [first, *nodes])
            )
            await wait_until(lambda: len(south.membership.digests()) == 1)

    async def test_restart_at_the_same_address_is_discovered_immediately(
        self,
    ) -> None:
        async with start_platform_standin() as address:
            async with open_node('n0', 'north', address) as first:
                async with open_node('n1', 'north', address) as second:
                    await wait_until(lambda: first.live() == ['n0', 'n1'])
                    peer_address = second.peers.address
                async with open_node(
                    'n1',
                    'north',
                    address,
                    peer_address=peer_address,
                    incarnation='again',
                ):
                    await wait_until(
                        lambda: (
                            first.membership.find_by_incarnation('again')
                            is not None
                        )
                    )
                    await wait_until(lambda: first.live() == ['n0', 'n1'])

    async def test_leaving_hosts_reach_every_node(self) -> None:
        async with contextlib.AsyncExitStack() as stack:
            enter = stack.enter_async_context
            address = await enter(start_platform_standin())
            nodes = [
                await enter(open_node(f'n{index}', 'north', address))
                for index in range(3)
            ]
            host = {'host': 'e1', 'data_centre': 'north', 'state': 'leaving'}
            await set_platform_faults(address, hosts=[host])
            await wait_until(
                lambda: all(
                    node.membership.leaving_hosts == {'e1'} for node in nodes
                ),
                5,
            )
            await set_platform_faults(address, hosts=[host | {'state': 'live'}])
            await wait_until(
                lambda: not any(node.membership.leaving_hosts for node in nodes)
            )

    @pytest.mark.parametrize('failing_count', [1, 2])
    async def test_leaving_hosts_reach_every_node_if_a_reader_fails(
        self, monkeypatch: pytest.MonkeyPatch, failing_count: int
    ) -> None:
        async with contextlib.AsyncExitStack() as stack:
            enter = stack.enter_async_context
            address = await enter(start_platform_standin())
            nodes = [
                await enter(open_node(f'n{index}', 'north', address))
                for index in range(3)
            ]
            live_hosts = [host_of(f'n{index}') for index in range(3)]
            await set_platform_faults(address, hosts=live_hosts)
            # From here on, no node reads the host list to find new hosts.
            await wait_until(
                lambda: all(
                    len(node.live()) == 3
                    and not rules.needs_host_list(node.membership.table)
                    for node in nodes
                )
            )
            readers = nodes[0].membership.relays()[:failing_count]

            async def fail() -> tuple[HostEntry, ...]:
                raise MastichatchError(ErrorKind.platform_unavailable)

            for reader in readers:
                platform = nodes[int(reader[1:])].platform
                monkeypatch.setattr(platform, 'hosts', fail)
            host = host_of('e1') | {'state': 'leaving'}
            await set_platform_faults(address, hosts=[*live_hosts, host])
            await wait_until(
                lambda: all(
                    node.membership.leaving_hosts == {'e1'} for node in nodes
                )
            )


def host_of(name: str) -> dict[str, str]:
    """Return the host list entry of a live host."""
    return {'host': name, 'data_centre': 'north', 'state': 'live'}


@contextlib.contextmanager
def unreachable(platform: Platform, peers: Peers) -> Iterator[None]:
    """Isolate a node from the platform and all peers within the context."""
    patch = pytest.MonkeyPatch()

    async def fail(*_arguments: object, **_options: object) -> object:
        raise MastichatchError(ErrorKind.platform_unavailable)

    with patch.context() as patched:
        patched.setattr(platform, '_call', fail)
        patched.setattr(peers, '_transmit', lambda *_: None)
        patched.setattr(peers, '_handle_frame', lambda *_: None)
        yield
