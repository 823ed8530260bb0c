"""Tests of the turns in which hosts use a server that names a limit.

A server that takes one request a second gets one from each of two hundred
hosts, when each of them keeps to the limit by itself, when turns add up while
nobody asks, or when two hosts grant all of them at the same time.
"""

import bisect
import functools
import heapq
import itertools
import math
import random
from collections.abc import Callable

import pytest

from mastichatch_core.relay.forwarder_choice import NodeLink
from mastichatch_core.relay.limit_turns import (
    FALLBACK_SHARE,
    HOLD_S,
    MAX_ASK_SPREAD_S,
    MAX_DEBT_S,
    MIN_RATE_PER_S,
    HeldTurns,
    Turn,
    TurnLedger,
    choose_granters,
    granted_share,
    return_delay_s,
)
from mastichatch_core.relay.model import Endpoint, EndpointState
from mastichatch_core.relay.server_pauses import RETURN_SPREAD_SHARE

GRANTERS = ('first', 'second')
HOSTS = (1, 4, 9, 195)
LIMITS = (0, 0.3, 1.1, 2, 20)
PHASE_S = 10
# Length of a time of high demand, and longest wait for a turn meanwhile.
BUSY_S = 20
BUSY_WAIT_S = 0.25
MAX_WAIT_S = 1.0
MAX_TRANSIT_S = 0.05


def granted(delay_s: float) -> Turn:
    return Turn(is_granted=True, delay_s=delay_s)


def refused(delay_s: float) -> Turn:
    return Turn(is_granted=False, delay_s=delay_s)


class TestLedger:
    def test_turns_are_apart_by_the_inverse_of_the_limit(self) -> None:
        ledger = TurnLedger()
        turns = [ledger.request('i', 2, 1, 10) for _ in range(4)]
        assert turns == [granted(0), granted(0.5), granted(1), refused(0.5)]
        assert ledger.request('i', 2, 1, 10) == refused(0.5)
        assert ledger.request('i', 2, 1, 10.5) == granted(1)
        # Idle time gives one turn, and no more.
        assert ledger.request('i', 2, 0, 1000) == granted(0)
        assert ledger.request('i', 2, 0, 1000) == refused(0.5)

    def test_caller_that_returns_when_told_to_gets_a_turn(self) -> None:
        draw = random.Random(0)
        for _ in range(1000):
            ledger, now = TurnLedger(), draw.uniform(0, 1e6)
            ledger.request('i', 0.3, 0, now)
            now += ledger.request('i', 0.3, 0.7, now).delay_s
            assert ledger.request('i', 0.3, 0.7, now).is_granted

    @pytest.mark.parametrize(('per_s', 'delay_s'), [(8, 0.125), (0.5, 2)])
    def test_changed_limit_holds_for_the_next_turn(
        self, per_s: float, delay_s: float
    ) -> None:
        ledger = TurnLedger()
        ledger.request('i', 1, 0, 10)
        assert ledger.request('i', per_s, 9, 10) == granted(delay_s)

    @pytest.mark.parametrize(
        ('per_s', 'share'), [(0, 1), (0.1, 1), (0.3, FALLBACK_SHARE)]
    )
    def test_lowest_rate_is_granted_whatever_the_limit(
        self, per_s: float, share: float
    ) -> None:
        ledger = TurnLedger()
        ledger.request('i', per_s, 0, 10, share)
        turn = ledger.request('i', per_s, 0, 10, share)
        assert turn == refused(1 / MIN_RATE_PER_S)

    def test_requests_without_a_turn_delay_later_turns(self) -> None:
        ledger = TurnLedger()
        ledger.charge('i', 2, 10)
        ledger.charge('i', 2, 10)
        assert ledger.request('i', 2, 0, 10) == refused(1)
        for _ in range(100):
            ledger.charge('i', 2, 10)
        assert ledger.request('i', 2, 0, 10) == refused(MAX_DEBT_S)
        ledger.charge('k', 0, 10)
        ledger.charge('k', 0, 11)
        assert ledger.request('k', 0, 0, 11) == refused(MAX_DEBT_S)

    def test_charge_does_not_free_reserved_turns(self) -> None:
        ledger = TurnLedger()
        for _ in range(3):
            ledger.request('i', 0.5, 9, 10)
        ledger.charge('i', 0.5, 10)
        assert ledger.request('i', 0.5, 0, 10) == refused(6)

    def test_servers_that_are_gone_are_forgotten(self) -> None:
        ledger = TurnLedger()
        assert ledger.request('i', 1, 0, 10) == granted(0)
        assert ledger.request('k', 1, 0, 10) == granted(0)
        ledger.keep_only(['k'])
        assert ledger.request('i', 1, 0, 10) == granted(0)
        assert ledger.request('k', 1, 0, 10) == refused(1)


class TestHeldTurns:
    def test_turn_is_used_once_and_in_time(self) -> None:
        held = HeldTurns()
        held.add('i', 10)
        assert held.has('i', 9)
        assert not held.take('i', 9.99)
        assert not held.take('k', 10)
        assert held.take('i', 10 + HOLD_S)
        assert not held.has('i', 10)

    def test_turn_expires(self) -> None:
        held = HeldTurns()
        held.add('i', 11)
        held.add('i', 10)
        assert not held.take('i', 10.1 + HOLD_S)
        assert held.take('i', 11 + HOLD_S)
        held.add('i', 12)
        assert held.has('i', 12 + HOLD_S)
        assert not held.has('i', 12.1 + HOLD_S)

    def test_server_is_closed_until_a_turn_is_to_be_had(self) -> None:
        held = HeldTurns()
        assert held.opens_at('i') == -math.inf
        held.close('i', 12)
        held.add('k', 10)
        assert held.opens_at('i') == 12
        held.keep_only(['other'])
        assert held.opens_at('i') == -math.inf
        assert not held.has('k', 10)

    def test_host_that_is_denied_again_asks_later(self) -> None:
        held = HeldTurns()
        opens_at = []
        for _ in range(3):
            held.record_answer('i', refused(0.25), 10, 1)
            opens_at.append(held.opens_at('i'))
        assert opens_at == [10.25, 10.75, 11.25]
        for _ in range(100):
            held.record_answer('i', refused(0.25), 10, 1)
        assert held.opens_at('i') == 10.25 + MAX_ASK_SPREAD_S
        held.record_answer('i', granted(0), 10, 1)
        held.record_answer('i', refused(0.25), 10, 1)
        assert held.opens_at('i') == 10.25


class TestGranters:
    def choose(self, data_centre: str, instance: str = 'i-a') -> list[str]:
        """Return the granters among hosts of three data centres."""
        names = ('a1', 'a2', 'a3', 'b1', 'c1', 'c2', 'c3')
        endpoint = Endpoint(
            instance=instance,
            service='app',
            address='127.0.0.1:1',
            data_centre=data_centre,
            slots=1,
            state=EndpointState.ready,
        )
        nodes = [
            NodeLink(
                name=name, data_centre=name[0], link_mbps=0, can_forward=True
            )
            for name in names
        ]
        chosen = choose_granters(endpoint, nodes)
        assert chosen == choose_granters(endpoint, nodes[::-1])
        assert len(set(chosen)) == 2
        return list(chosen)

    def test_two_hosts_of_the_servers_data_centre_grant(self) -> None:
        assert {name[0] for name in self.choose('a')} == {'a'}
        chosen = [self.choose('a', f'i-{number}')[0] for number in range(50)]
        assert set(chosen) == {'a1', 'a2', 'a3'}

    def test_other_hosts_grant_where_there_are_too_few(self) -> None:
        assert self.choose('b')[0] == 'b1'
        chosen = [self.choose('d', f'i-{number}')[0] for number in range(99)]
        assert {name[0] for name in chosen} == {'a', 'b', 'c'}

    def test_both_granters_together_stay_within_the_rule(self) -> None:
        assert granted_share(GRANTERS, 'first') == 1
        assert granted_share(GRANTERS, 'second') == FALLBACK_SHARE
        assert granted_share((), 'first') == FALLBACK_SHARE
        assert (1 + FALLBACK_SHARE) * (4 + HOLD_S) <= 1.5 * 4

    def test_refused_callers_return_over_some_time(self) -> None:
        assert return_delay_s(4, 0) == 4
        assert return_delay_s(4, 1) == 4 * (1 + RETURN_SPREAD_SHARE)


class Fleet:
    """Hosts with callers of one limited server, in virtual time."""

    def __init__(
        self, hosts: int, limits: dict[float, float], *, has_faults: bool
    ) -> None:
        self.sends: list[float] = []
        self._draw = random.Random(hosts)
        self._now = 0.0
        self._steps: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._held = [HeldTurns() for _ in range(hosts)]
        self._ledgers = [TurnLedger(), TurnLedger()]
        self._limits = limits
        self._has_faults = has_faults

    def limit(self, now: float) -> float:
        return self._limits[max(at for at in self._limits if at <= now)]

    def play(self, until: float) -> None:
        rate = 5 + 5 * max(self._limits.values())
        at = 0.0
        while (at := at + self._draw.expovariate(rate)) < until:
            host = self._draw.randrange(len(self._held))
            is_held = self._has_faults and self._draw.random() < 0.5
            call = self._use_held if is_held else self._wait
            self._after(at, functools.partial(call, host))
        if self._has_faults:
            self._after(2 * PHASE_S, self._restart_first)
        while self._steps:
            self._now, _, step = heapq.heappop(self._steps)
            step()
        self.sends.sort()

    def _after(self, delay_s: float, step: Callable[[], None]) -> None:
        due = (self._now + delay_s, next(self._numbers), step)
        heapq.heappush(self._steps, due)

    def _restart_first(self) -> None:
        self._ledgers[0] = TurnLedger()

    def _granter(self, host: int) -> int:
        """Return who answers: the first, none but the second, or either."""
        phase = int(self._now / PHASE_S) % 4 if self._has_faults else 0
        return (0, 1, 0, host % 2)[phase]

    def _ask(
        self, host: int, wait_s: float, answer: Callable[[Turn], None]
    ) -> None:
        def grant() -> None:
            granter = self._granter(host)
            share = granted_share(GRANTERS, GRANTERS[granter])
            per_s = self.limit(self._now)
            ledger = self._ledgers[granter]
            turn = ledger.request('i', per_s, wait_s, self._now, share)
            self._after(transit(), lambda: answer(turn))

        def transit() -> float:
            return self._draw.uniform(0, MAX_TRANSIT_S)

        self._after(transit(), grant)

    def _send(self) -> None:
        self.sends.append(self._now)

    def _wait(self, host: int) -> None:
        """Wait for a turn; return, most often, if there is none."""

        def answer(turn: Turn) -> None:
            if turn.is_granted:
                self._after(turn.delay_s, self._send)
            elif self._draw.random() < 0.8:
                delay_s = return_delay_s(turn.delay_s, self._draw.random())
                self._after(delay_s, lambda: self._wait(host))

        self._ask(host, MAX_WAIT_S, answer)

    def _use_held(self, host: int) -> None:
        """Use a held turn, or ask for one and use it early or late."""
        held = self._held[host]

        def answer(turn: Turn) -> None:
            at = self._now + turn.delay_s
            if not turn.is_granted:
                held.close('i', at)
                return
            held.add('i', at)
            # Late turns and early ones follow each other in one window.
            late_s = HOLD_S * (int(self._now / 4) % 2)
            self._after(turn.delay_s + max(0, late_s - 1e-9), use)

        def use() -> None:
            if held.take('i', self._now):
                self._send()

        if held.take('i', self._now):
            self._send()
        elif not held.has('i', self._now) and held.opens_at('i') <= self._now:
            self._ask(host, HOLD_S, answer)


@pytest.mark.parametrize('hosts', HOSTS)
class TestFleet:
    @pytest.mark.parametrize(
        'limits',
        [{0: limit} for limit in LIMITS]
        + [{0: 2, 15: 0.3, 35: 20, 55: 1.1}, {0: 20, 25: 2, 33: 0, 38: 20}],
    )
    def test_server_gets_at_most_what_the_rule_allows(
        self, hosts: int, limits: dict[float, float]
    ) -> None:
        """The first granter fails and returns, then only some reach it."""
        fleet = Fleet(hosts, limits, has_faults=True)
        fleet.play(until=80)
        for number, begin in enumerate(fleet.sends):
            changes = [at for at in limits if begin - 3 < at < begin + 4]
            in_force = map(fleet.limit, [max(0, begin - 3), *changes])
            end = bisect.bisect_left(fleet.sends, begin + 4)
            assert end - number <= 1.5 * 4 * max(in_force) + 5, begin

    @pytest.mark.parametrize('limit', LIMITS)
    def test_steady_demand_uses_most_of_the_limit(
        self, hosts: int, limit: float
    ) -> None:
        rate = max(limit, MIN_RATE_PER_S)
        fleet = Fleet(hosts, {0: limit}, has_faults=False)
        fleet.play(until=60 / rate)
        assert bisect.bisect(fleet.sends, 60 / rate) >= 0.8 * 60


@pytest.mark.parametrize('limit', [1, 5, 20])
@pytest.mark.parametrize('hosts', [1, 9, 195])
def test_each_host_asks_seldom_while_all_have_requests(
    hosts: int, limit: float
) -> None:
    """All hosts ask for each turn, at the moment at which it is free.

    The requests of a host are 25 ms apart, and each would use the server.
    """
    draw = random.Random(hosts)
    ledger = TurnLedger()
    all_held = [HeldTurns() for _ in range(hosts)]
    asked = sent = 0
    for number in range(40 * BUSY_S):
        now = number / 40
        for held in draw.sample(all_held, hosts):
            if held.take('i', now):
                sent += 1
            elif not held.has('i', now) and held.opens_at('i') <= now:
                asked += 1
                turn = ledger.request('i', limit, BUSY_WAIT_S, now)
                held.record_answer('i', turn, now, draw.random())
                if turn.is_granted:
                    held.add('i', now + turn.delay_s)
    # A sum, and not a product, of the hosts and the turns.
    assert asked <= BUSY_S * 2 * (hosts + limit)
    assert sent >= 0.7 * limit * BUSY_S
