"""Tests of how a version on trial is judged.

A few tens of answers have to tell a version that spoils part of its requests
from one beside which something else fails: an endpoint, a data centre or the
whole service.
"""

import dataclasses
from collections.abc import Iterable

import pytest

from mastichatch_core.generated.messages import RolloutCell
from mastichatch_core.relay.rollouts.evidence import (
    Observation,
    RolloutCounts,
    bin_of,
)
from mastichatch_core.relay.rollouts.order import Phase
from mastichatch_core.relay.rollouts.strata import Signal
from mastichatch_core.relay.rollouts.verdict import (
    FINISH_BY,
    Decision,
    Verdict,
    judge,
    judge_alone,
    may_finish,
)
from tests.rollout_trials import play_seed

PERIOD_S = 12.0
# Roll-outs of each kind. More were played by hand.
SEEDS = 4


def cell(
    good: int,
    failed: int = 0,
    *,
    instance: str = '',
    duration_ms: float = 50,
    **more: object,
) -> RolloutCell:
    plain = RolloutCell(
        route='r',
        is_target=bool(instance),
        instance=instance,
        good=good,
        failed=failed,
        durations=(bin_of(duration_ms), good),
    )
    return dataclasses.replace(plain, **more)  # type: ignore[arg-type]


def verdict(cells: Iterable[RolloutCell], progress: float = 0.5) -> Verdict:
    return judge(cells, progress * PERIOD_S, PERIOD_S, has_engines=False)


def decision(cells: Iterable[RolloutCell], progress: float = 0.5) -> Decision:
    return verdict(cells, progress).decision


OTHERS = cell(300, 9)
GOOD = tuple(cell(30, 1, instance=f'b{number}') for number in range(3))
FAILING = tuple(cell(10, 10, instance=f'b{number}') for number in range(3))


class TestBad:
    def test_failures_at_all_endpoints_revert_at_once(self) -> None:
        judged = verdict((OTHERS, *FAILING))
        assert judged.decision is Decision.revert
        assert judged.signal is Signal.failures
        assert 'target 30 of 60' in judged.summary

    def test_slow_answers_revert(self) -> None:
        slow = [
            cell(15, instance=f'b{number}', duration_ms=200)
            for number in range(3)
        ]
        judged = verdict((OTHERS, *slow))
        assert judged.decision is Decision.revert
        assert judged.signal is Signal.slow_answers

    def test_requests_that_wait_for_answers_revert(self) -> None:
        waiting = [
            cell(0, instance=f'b{number}', waiting=(bin_of(400), 12))
            for number in range(3)
        ]
        assert decision((OTHERS, *waiting)) is Decision.revert

    def test_slow_streams_revert(self) -> None:
        others = dataclasses.replace(OTHERS, paces=(bin_of(20), 4000))
        slow = [
            dataclasses.replace(one, paces=(bin_of(80), 150)) for one in GOOD
        ]
        judged = verdict((others, *slow))
        assert judged.decision is Decision.revert
        assert judged.signal is Signal.slow_streams

    def test_failures_on_one_route_revert(self) -> None:
        elsewhere = dataclasses.replace(OTHERS, route='q')
        failing = [dataclasses.replace(one, route='q') for one in FAILING]
        judged = verdict((OTHERS, elsewhere, *GOOD, *failing))
        assert (judged.decision, judged.route) == (Decision.revert, 'q')

    def test_failures_that_begin_later_revert(self) -> None:
        later = [dataclasses.replace(one, part=6) for one in FAILING]
        others = dataclasses.replace(OTHERS, part=6)
        cells = (OTHERS, others, *GOOD, *later)
        assert decision(cells, 0.65) is Decision.revert

    def test_what_fails_while_completing_reverts(self) -> None:
        later = [dataclasses.replace(one, part=8) for one in FAILING]
        assert decision((OTHERS, *GOOD, *later), 0.85) is Decision.revert

    def test_one_host_alone_can_tell(self) -> None:
        assert judge_alone((OTHERS, *FAILING))
        assert not judge_alone((OTHERS, *GOOD))


class TestGood:
    def test_nothing_is_decided_before_the_trial_ends(self) -> None:
        assert decision((OTHERS, *GOOD), 0.69) is Decision.hold

    def test_a_version_like_the_others_is_good(self) -> None:
        assert decision((OTHERS, *GOOD), 0.71) is Decision.complete

    def test_failures_of_both_versions_do_not_count(self) -> None:
        cells = (cell(150, 150), *FAILING)
        assert decision(cells, 0.5) is Decision.hold

    def test_a_shared_fault_counts_only_while_it_lasts(self) -> None:
        during = cell(10, 30, part=4)
        alike = [cell(4, 12, instance='b0', part=4)]
        assert decision((OTHERS, during, *GOOD, *alike), 0.71) is not (
            Decision.revert
        )

    def test_one_faulty_endpoint_is_not_the_version(self) -> None:
        cells = (OTHERS, *FAILING[:1], *GOOD[1:])
        assert decision(cells, 0.5) is Decision.hold

    def test_the_others_slow_requests_that_wait_count_as_well(self) -> None:
        """Early on, only the fast answers of either version have come."""
        others = cell(10, waiting=(bin_of(900), 20))
        alike = [
            cell(3, instance=f'b{number}', waiting=(bin_of(900), 6))
            for number in range(3)
        ]
        assert decision((others, *alike), 0.1) is Decision.hold


class TestEnd:
    @pytest.mark.parametrize('cells', [(), (OTHERS,), (OTHERS, *GOOD[:0])])
    def test_without_answers_the_version_is_reverted_in_time(
        self, cells: tuple[RolloutCell, ...]
    ) -> None:
        assert decision(cells, FINISH_BY - 0.01) is Decision.hold
        assert decision(cells, FINISH_BY) is Decision.revert

    def test_a_few_good_answers_are_enough_at_the_end(self) -> None:
        few = [cell(5, instance=f'b{number}') for number in range(3)]
        assert decision((OTHERS, *few), FINISH_BY) is Decision.complete

    def test_previous_versions_end_when_their_runs_have(self) -> None:
        def ends(progress: float, completing_s: float, runs: int) -> bool:
            return may_finish(
                progress * PERIOD_S,
                PERIOD_S,
                completing_s,
                has_engines=True,
                runs_left=runs,
            )

        assert not ends(0.75, 0.1, 0)
        assert ends(0.75, 1, 0)
        assert not ends(0.85, 2, 3)
        assert ends(FINISH_BY, 2, 3)

    def test_odd_reports_break_nothing(self) -> None:
        odd = RolloutCell(
            route='r',
            part=99,
            is_target=True,
            instance='b0',
            good=3,
            durations=(400, 3, 7),
        )
        assert verdict((OTHERS, odd)).decision is Decision.hold
        counts = RolloutCounts('b', 0)
        observation = Observation(
            version='b', instance='b0', route='r', duration_ms=-3
        )
        counts.record(observation, 5)
        assert decision(counts.cells()) is Decision.hold


class TestTrials:
    """Short runs of the trials whose error rates the design note gives."""

    @pytest.mark.parametrize('traffic', ['plain', 'engines'])
    def test_good_versions_are_completed(self, traffic: str) -> None:
        outcomes = [
            play_seed((traffic, None, 'quiet', seed)) for seed in range(SEEDS)
        ]
        completed = [one.phase is Phase.completed for one in outcomes]
        assert all(completed)

    @pytest.mark.parametrize('traffic', ['plain', 'engines', 'plain/10'])
    @pytest.mark.parametrize(
        'fault', ['100% failures', '60% failures', '5 times slower']
    )
    def test_bad_versions_are_reverted_within_the_limit(
        self, traffic: str, fault: str
    ) -> None:
        for seed in range(SEEDS):
            outcome = play_seed((traffic, fault, 'quiet', seed))
            assert outcome.phase is Phase.reverted
            assert outcome.is_within_limit
