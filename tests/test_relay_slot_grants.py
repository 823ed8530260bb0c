"""Tests of the slots of brittle servers that one node grants to all.

A server that queues nothing rejects what exceeds its slots, and falls over if
it rejects too much. Slots that are never returned leave it idle.
"""

import math

import pytest
from hypothesis import given, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from mastichatch_core.generated.messages import SlotOutcome, SlotState
from mastichatch_core.relay.brittle_services import (
    GONE_KEPT_S,
    BrittleServices,
)
from mastichatch_core.relay.forwarder_choice import NodeLink
from mastichatch_core.relay.model import Endpoint, EndpointState
from mastichatch_core.relay.slot_grants import (
    FALL_S,
    FALLBACK_SHARE,
    GATHER_S,
    GATHER_SHARE,
    MAX_HOLD_S,
    PROBE_S,
    WINDOW_S,
    ServerRoom,
    SlotClaim,
    SlotTable,
    choose_slot_granters,
    granted_slot_share,
)

SLOTS = 6
REJECTIONS = 2
ROOM = ServerRoom(slots=SLOTS, rejections=REJECTIONS)


def claim(ticket: str, **options: object) -> SlotClaim:
    fields = {'ticket': ticket, 'holder': 'h', 'wait_s': 60.0, **options}
    return SlotClaim(**fields)  # type: ignore[arg-type]


def table_of(room: ServerRoom = ROOM) -> SlotTable:
    """Return a table that has existed for longer than it gathers."""
    table = SlotTable()
    table.request('i', room, claim('first'), 0)
    table.give_back('i', 'first', SlotOutcome.unused, 0)
    return table


def request_many(
    table: SlotTable, count: int, now: float, room: ServerRoom = ROOM
) -> list[SlotState]:
    return [
        table.request('i', room, claim(f'{now}-{number}'), now).state
        for number in range(count)
    ]


class SlotsMachine(RuleBasedStateMachine):
    """Hosts that ask, return, repeat, end and fail in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.table = table_of()
        self.now = GATHER_S
        self.number = 0
        # When the granted slots expire, and the requests that wait.
        self.granted: dict[str, float] = {}
        self.queued: dict[str, SlotClaim] = {}

    @rule(
        rank=strategies.integers(0, 3),
        hold_s=strategies.floats(0.1, 5),
        wait_s=strategies.floats(0, 3),
    )
    def ask(self, rank: int, hold_s: float, wait_s: float) -> None:
        self.number += 1
        asked = claim(
            f't{self.number}', rank=rank, hold_s=hold_s, wait_s=wait_s
        )
        self._send(asked)

    @precondition(lambda self: self.queued)
    @rule(data=strategies.data())
    def repeat(self, data: strategies.DataObject) -> None:
        ticket = data.draw(strategies.sampled_from(sorted(self.queued)))
        self._send(self.queued[ticket])

    @precondition(lambda self: self.granted)
    @rule(
        data=strategies.data(),
        outcome=strategies.sampled_from(list(SlotOutcome)),
    )
    def give_back(
        self, data: strategies.DataObject, outcome: SlotOutcome
    ) -> None:
        ticket = data.draw(strategies.sampled_from(sorted(self.granted)))
        self.granted.pop(ticket)
        self.table.give_back('i', ticket, outcome, self.now)
        self._tell()

    @rule(passed_s=strategies.floats(0.01, 2))
    def wait(self, passed_s: float) -> None:
        self.now += passed_s
        for ticket, expires_at in tuple(self.granted.items()):
            if expires_at <= self.now:
                self.granted.pop(ticket)
        self._tell()

    @invariant()
    def no_more_than_the_slots_are_granted(self) -> None:
        assert len(self.granted) <= SLOTS

    def _send(self, asked: SlotClaim) -> None:
        decision = self.table.request('i', ROOM, asked, self.now)
        self.queued.pop(asked.ticket, None)
        if decision.state is SlotState.granted:
            self._hold(asked)
        elif decision.state is SlotState.queued:
            self.queued[asked.ticket] = asked
        self._tell()

    def _tell(self) -> None:
        for decision in self.table.grant_queued('i', self.now):
            asked = self.queued.pop(decision.ticket)
            if decision.state is SlotState.granted:
                self._hold(asked)

    def _hold(self, asked: SlotClaim) -> None:
        self.granted.setdefault(asked.ticket, self.now + asked.hold_s)


TestSlots = SlotsMachine.TestCase


class TestGrants:
    def test_slots_are_granted_and_further_requests_are_queued(self) -> None:
        states = request_many(table_of(), SLOTS + 2, 1)
        assert states == [SlotState.granted] * SLOTS + [SlotState.queued] * 2

    def test_returned_slot_goes_to_the_most_urgent_request(self) -> None:
        table = table_of()
        request_many(table, SLOTS, 1)
        for number, rank in enumerate((2, 0, 1)):
            table.request(
                'i', ROOM, claim(f'r{rank}', rank=rank), 1 + number / 100
            )
        table.give_back('i', '1-0', SlotOutcome.done, 1.2)
        told = table.grant_queued('i', 1.2)
        assert [one.ticket for one in told] == ['r0']

    def test_repeated_request_keeps_its_slot(self) -> None:
        table = table_of()
        request_many(table, SLOTS, 1)
        assert request_many(table, SLOTS, 1) == [SlotState.granted] * SLOTS

    def test_request_without_a_slot_in_time_is_denied_at_once(self) -> None:
        table = table_of()
        request_many(table, SLOTS, 1)
        late = table.request('i', ROOM, claim('late', wait_s=0.01), 1)
        assert late.state is SlotState.denied
        assert late.delay_s > 0.01

    def test_slot_that_is_not_returned_expires(self) -> None:
        table = table_of()
        request_many(table, SLOTS, 1)
        later = 1 + MAX_HOLD_S
        assert request_many(table, 1, later) == [SlotState.granted]

    def test_queued_request_that_is_not_repeated_is_dropped(self) -> None:
        table = table_of()
        request_many(table, SLOTS + 1, 1)
        table.give_back('i', '1-0', SlotOutcome.done, 10)
        assert not table.grant_queued('i', 10)

    def test_what_hosts_have_in_progress_besides_counts(self) -> None:
        table = table_of()
        table.request(
            'i', ROOM, claim('x', holder='other', others=SLOTS - 1), 1
        )
        assert request_many(table, 1, 1) == [SlotState.queued]


class TestRejections:
    def test_after_as_many_as_it_bears_nothing_is_granted_for_the_window(
        self,
    ) -> None:
        table = table_of()
        request_many(table, SLOTS, 1)
        for number in range(SLOTS):
            is_rejected = number < ROOM.rejections
            outcome = SlotOutcome.done
            if is_rejected:
                outcome = SlotOutcome.rejected
            table.give_back('i', f'1-{number}', outcome, 1.1)
        assert SlotState.granted not in request_many(table, SLOTS, 1.2)
        later = 1.1 + WINDOW_S
        request_many(table, SLOTS, later)
        assert 0 < table.in_use('i', later) < SLOTS - 1

    def test_slots_return_one_by_one(self) -> None:
        table = table_of()
        table.give_back('i', 'x', SlotOutcome.rejected, 1)
        assert request_many(table, SLOTS, 1).count(SlotState.granted) == (
            SLOTS - 1
        )
        table.grant_queued('i', 1 + PROBE_S)
        assert table.in_use('i', 1 + PROBE_S) <= SLOTS

    def test_requests_without_a_slot_do_not_show_that_there_is_less_room(
        self,
    ) -> None:
        table = table_of()
        for _ in range(REJECTIONS):
            table.give_back('i', '', SlotOutcome.rejected, 1)
        assert SlotState.granted not in request_many(table, SLOTS, 1.1)
        request_many(table, SLOTS, 1 + WINDOW_S)
        assert table.in_use('i', 1 + WINDOW_S) == SLOTS

    def test_requests_sent_while_others_are_unknown_do_not_either(
        self,
    ) -> None:
        table = SlotTable()
        states = request_many(table, SLOTS, 0)
        assert states.count(SlotState.granted) == SLOTS * GATHER_SHARE
        for number in range(REJECTIONS):
            table.give_back('i', f'0-{number}', SlotOutcome.rejected, 0.1)
        table.give_back('i', '0-2', SlotOutcome.done, 0.1)
        request_many(table, SLOTS, 0.1 + WINDOW_S)
        assert table.in_use('i', 0.1 + WINDOW_S) == SLOTS

    def test_server_that_bears_none_is_probed_seldom(self) -> None:
        room = ServerRoom(slots=SLOTS, rejections=0)
        table = table_of(room)
        table.give_back('i', 'x', SlotOutcome.rejected, 1)
        states = request_many(table, SLOTS, 1 + PROBE_S, room)
        assert states.count(SlotState.granted) < SLOTS


class TestFall:
    def test_server_gets_nothing_and_then_one_request(self) -> None:
        table = table_of()
        for _ in range(2):
            table.give_back('i', 'x', SlotOutcome.lost, 1)
        assert SlotState.granted not in request_many(table, SLOTS, 1.1)
        after = 1 + FALL_S
        request_many(table, SLOTS, after)
        assert table.in_use('i', after) == 1

    def test_each_answer_adds_one(self) -> None:
        table = table_of(ServerRoom(slots=SLOTS, rejections=2, is_new=True))
        states = request_many(table, SLOTS, 1)
        assert states.count(SlotState.granted) == 1
        table.give_back('i', '1-0', SlotOutcome.done, 1.3)
        assert len(table.grant_queued('i', 1.3)) == 2

    def test_one_lost_connection_is_no_fall(self) -> None:
        table = table_of()
        table.give_back('i', 'x', SlotOutcome.lost, 1)
        assert SlotState.granted in request_many(table, 1, 1.1)


def link(name: str, data_centre: str, *, able: bool = True) -> NodeLink:
    return NodeLink(
        name=name,
        data_centre=data_centre,
        link_mbps=0,
        can_forward=True,
        grants_slots=able,
    )


class TestGranters:
    def test_nodes_of_an_earlier_release_are_left_out(self) -> None:
        endpoint = Endpoint(
            instance='i',
            service='app',
            address='127.0.0.1:1',
            data_centre='south',
            slots=SLOTS,
            state=EndpointState.ready,
        )
        nodes = [
            *(link(f'old{one}', 'south', able=False) for one in range(5)),
            link('near', 'south'),
            link('far', 'north'),
        ]
        assert choose_slot_granters(endpoint, nodes) == ('near', 'far')

    @pytest.mark.parametrize(
        ('own', 'heard', 'share'),
        [
            ('a', {'b', 'c'}, 1),
            ('b', {'a', 'c'}, FALLBACK_SHARE),
            ('b', {'c', 'd'}, 1),
            ('a', set(), FALLBACK_SHARE),
            ('c', {'a', 'b'}, FALLBACK_SHARE),
        ],
    )
    def test_one_of_two_sides_grants_all_slots(
        self, own: str, heard: set[str], share: float
    ) -> None:
        assert granted_slot_share(('a', 'b'), own, heard, 3) == share


class TestServices:
    def test_service_is_brittle_until_its_servers_say_otherwise(self) -> None:
        services = BrittleServices()
        services.update({'app': 2}, (), 0)
        assert services.is_brittle('app', 1000)
        assert services.rejections('app', 1000) == 2
        services.update({}, {'app'}, 1000)
        assert not services.is_brittle('app', 1000)
        assert services.rejections('app', 1000) == math.inf

    @given(strategies.floats(0, 2 * GONE_KEPT_S))
    def test_it_stays_so_for_a_while_after_its_servers_are_gone(
        self, passed_s: float
    ) -> None:
        services = BrittleServices()
        services.update({'app': 2}, (), 0)
        services.update({}, (), 1)
        is_brittle = services.is_brittle('app', 1 + passed_s)
        assert is_brittle == (1 + passed_s < 1 + GONE_KEPT_S)
