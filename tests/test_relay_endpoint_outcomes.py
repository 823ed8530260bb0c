"""Tests of how plain endpoints are judged by the calls of all nodes."""

import asyncio
import dataclasses
import random
from collections.abc import Mapping

import pytest

from mastichatch_core.generated.messages import EndpointOutcomes
from mastichatch_core.relay.endpoint_outcomes import (
    MAX_SUSPICION,
    MAX_TOLD,
    EndpointVerdict,
    FleetOutcomes,
)
from mastichatch_core.relay.load_control import LoadControl
from mastichatch_core.relay.model import Endpoint, EndpointState
from mastichatch_core.relay.plain_choice import (
    EndpointStatsTable,
    rank_endpoints,
)
from tests.relay_nodes import call, open_two_nodes
from tests.standins.house_endpoints import HouseEndpoint, fail, respond_ok

CALL_MS = 22.5
CENTRES = {'a': 'north', 'b': 'south', 'c': 'west'}
ENDPOINTS = tuple(
    Endpoint(
        instance=name,
        service='app',
        address='10.0.0.1:80',
        data_centre=data_centre,
        slots=6,
        state=EndpointState.ready,
    )
    for name, data_centre in CENTRES.items()
)


def verdicts(
    shares: Mapping[str, float], calls: int = 50, **durations: float
) -> Mapping[str, EndpointVerdict]:
    """Judge endpoints at which these shares of the calls fail."""
    outcomes = FleetOutcomes()
    told = [
        EndpointOutcomes(
            instance=name,
            calls=calls,
            failures=round(share * calls),
            total_ms=(calls - round(share * calls))
            * durations.get(name, CALL_MS),
        )
        for name, share in shares.items()
    ]
    outcomes.apply(told, 0)
    return outcomes.judge(shares, 0)


class TestJudgement:
    def test_endpoint_that_fails_half_of_the_calls_is_suspected(self) -> None:
        found = verdicts({'a': 0.5, 'b': 0, 'c': 0}, calls=10)
        assert found['a'].suspicion == MAX_SUSPICION
        assert not found['b'].suspicion

    @pytest.mark.parametrize('share', [0.05, 0.14, 0.5, 1])
    def test_failures_at_all_endpoints_are_not_the_endpoints(
        self, share: float
    ) -> None:
        found = verdicts(dict.fromkeys(CENTRES, share))
        assert not any(one.suspicion for one in found.values())

    def test_route_that_fails_everywhere_does_not_hide_a_bad_endpoint(
        self,
    ) -> None:
        found = verdicts({'a': 0.14, 'b': 0.6, 'c': 0.14})
        assert [name for name, one in found.items() if one.suspicion] == ['b']

    def test_chance_leaves_no_endpoint_out(self) -> None:
        """One call in seven fails, wherever it is sent."""
        draws = random.Random(1)  # noqa: S311
        sums = dict.fromkeys(CENTRES, 0.0)
        outcomes = FleetOutcomes()
        for number in range(3000):
            name = 'abc'[number % 3]
            failed = draws.random() < 0.14
            outcomes.record(name, CALL_MS, number / 64, failed=failed)
            for instance, one in outcomes.judge(CENTRES, number / 64).items():
                sums[instance] += one.suspicion / 3000
        assert max(sums.values()) < 0.1

    def test_single_endpoint_is_not_suspected(self) -> None:
        assert not verdicts({'a': 1})['a'].suspicion

    def test_recovered_endpoint_is_trusted_within_three_seconds(self) -> None:
        outcomes = FleetOutcomes()
        for number in range(60):
            name = 'abc'[number % 3]
            outcomes.record(name, CALL_MS, 0, failed=name == 'a')
        assert outcomes.judge(CENTRES, 0)['a'].suspicion == MAX_SUSPICION
        # Only one call in twenty goes to the suspected endpoint.
        for tick in range(1, 61):
            for name in 'bc':
                outcomes.record(name, CALL_MS, tick / 20, failed=False)
            if tick % 20 == 0:
                outcomes.record('a', CALL_MS, tick / 20, failed=False)
        assert outcomes.judge(CENTRES, 3)['a'].suspicion < 1 / 2

    def test_much_slower_endpoint_is_told_from_slightly_slower_one(
        self,
    ) -> None:
        even = dict.fromkeys(CENTRES, 0.0)
        found = verdicts(even, a=CALL_MS * 2.5, b=CALL_MS * 1.3)
        assert found['a'].slowdown == pytest.approx(2.5 / 1.3)
        assert found['b'].slowdown == found['c'].slowdown == 1

    def test_impossible_outcomes_are_ignored(self) -> None:
        outcomes = FleetOutcomes()
        odd = EndpointOutcomes(instance='a', calls=1, failures=9)
        negative = dataclasses.replace(odd, calls=-4, failures=-5)
        outcomes.apply((odd, negative), 0)
        assert not outcomes.judge(CENTRES, 0)


class TestTelling:
    def test_outcomes_are_told_once(self) -> None:
        outcomes = FleetOutcomes()
        outcomes.record('a', 20, 0, failed=False)
        outcomes.record('a', 20, 0, failed=True)
        assert outcomes.has_untold_failures
        told = EndpointOutcomes(instance='a', calls=2, failures=1, total_ms=20)
        assert outcomes.take_untold() == (told,)
        assert not outcomes.has_untold_failures
        assert not outcomes.take_untold()

    def test_number_of_endpoints_in_a_message_is_bounded(self) -> None:
        outcomes = FleetOutcomes()
        for number in range(MAX_TOLD + 5):
            outcomes.record(str(number), 20, 0, failed=True)
        assert len(outcomes.take_untold()) == MAX_TOLD

    def test_old_successes_do_not_hide_a_failure(self) -> None:
        outcomes = FleetOutcomes()
        for second in range(60):
            outcomes.record('a', 20, second, failed=False)
        outcomes.record('a', 20, 60, failed=True)
        (told,) = outcomes.take_untold()
        assert told.calls <= 5

    def test_new_start_of_an_endpoint_is_not_suspected(self) -> None:
        outcomes = FleetOutcomes()
        for _ in range(20):
            outcomes.record('a', 20, 0, failed=True)
            outcomes.record('b', 20, 0, failed=False)
        outcomes.keep_only(('a-again', 'b'))
        assert 'a' not in outcomes.judge(('a', 'a-again', 'b'), 0)


class TestChoice:
    suspected = {'a': EndpointVerdict(suspicion=0.9, confidence=0.9)}

    def order(
        self, found: Mapping[str, EndpointVerdict], draw: float = 0
    ) -> str:
        table = EndpointStatsTable()
        ranked = rank_endpoints(
            ENDPOINTS, table, 'north', 0, verdicts=found, draw=draw
        )
        return ''.join(one.instance for one in ranked)

    def test_suspected_endpoint_is_last_but_not_left_out(self) -> None:
        assert self.order({}) == 'abc'
        assert self.order(self.suspected) == 'bca'

    def test_some_calls_show_whether_it_has_recovered(self) -> None:
        assert self.order(self.suspected, draw=0.95) == 'abc'

    def test_slow_endpoint_is_last_without_calls_of_this_node(self) -> None:
        assert self.order({'a': EndpointVerdict(slowdown=2.5)}) == 'bca'

    def test_own_failures_count_less_than_those_of_all_nodes(self) -> None:
        table = EndpointStatsTable()
        table.record_answer('a', 20, 0, failed=True)
        equal = dict.fromkeys(CENTRES, EndpointVerdict(confidence=0.97))
        first = [
            rank_endpoints(ENDPOINTS, table, 'north', 0, verdicts=found)[
                0
            ].instance
            for found in ({}, equal)
        ]
        assert first == ['b', 'a']


def lost_calls(*, is_shared: bool, seed: int) -> int:
    """Play calls of many nodes, and return those that failed in the end.

    One endpoint fails half of its calls for eight seconds. Outcomes reach other
    nodes after 0.3 s.
    """
    draws = random.Random(seed)  # noqa: S311
    nodes = [(FleetOutcomes(), EndpointStatsTable()) for _ in range(90)]
    under_way: list[tuple[float, EndpointOutcomes, int]] = []
    lost = 0
    for step in range(64 * 10):
        now = step / 64
        sender = draws.randrange(len(nodes))
        arrived = [one for one in under_way if one[0] <= now]
        under_way = [one for one in under_way if one[0] > now]
        for _, told, origin in arrived:
            for number, (outcomes, _) in enumerate(nodes):
                if is_shared and number != origin:
                    outcomes.apply((told,), now)
        outcomes, table = nodes[sender]
        data_centre = 'north south west'.split()[sender % 3]
        found = outcomes.judge(CENTRES, now) if is_shared else {}
        may_repeat = draws.random() < 0.3
        draw = draws.random() * (1 if may_repeat else 0.5)
        tried: set[str] = set()
        failed = True
        while failed and len(tried) < (2 if may_repeat else 1):
            untried = [one for one in ENDPOINTS if one.instance not in tried]
            name = rank_endpoints(
                untried,
                table,
                data_centre,
                now,
                verdicts=found,
                draw=0 if tried else draw,
            )[0].instance
            tried.add(name)
            failed = name == 'b' and now < 8 and draws.random() < 0.5
            table.record_answer(name, CALL_MS, now, failed=failed)
            outcomes.record(name, CALL_MS, now, failed=failed)
        under_way.extend(
            (now + 0.3, one, sender) for one in outcomes.take_untold()
        )
        lost += failed
    return lost


def test_fewer_calls_are_lost_if_nodes_share_what_they_saw() -> None:
    before, after = (
        sum(lost_calls(is_shared=is_shared, seed=seed) for seed in range(3))
        for is_shared in (False, True)
    )
    assert after <= before / 2, (before, after)


@pytest.mark.parametrize('is_on', [False, True])
async def test_node_leaves_an_endpoint_that_failed_at_another_node(
    *, is_on: bool
) -> None:
    bad, sound = HouseEndpoint('a', fail), HouseEndpoint('b', respond_ok)
    setting = LoadControl.on if is_on else LoadControl.off
    async with open_two_nodes(apps=(bad, sound), engine_speeds=setting) as (
        relay,
        second,
        _,
    ):
        for number in range(12):
            answer = await relay.call('/lookup/x', request_id=f'l{number}')
            assert answer.status == 200
        await asyncio.sleep(0.5)
        # This call may run only once.
        answer = await call(second, '/book/x', request_id='once')
    assert answer.status == (200 if is_on else 500)
