"""Tests of the phases of roll-outs, of who may get what, and of exposure.

Several hosts decide at once, each on its own view of the store, and any write
may be refused, lost or lose its answer. Orders are replaced, repeated and
removed meanwhile, and hosts restart.
"""

import dataclasses
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mastichatch_core.generated.messages import RolloutReport
from mastichatch_core.generated.records import RolloutRecord
from mastichatch_core.relay.model import Endpoint, EndpointState
from mastichatch_core.relay.rollouts.evidence import (
    Observation,
    RolloutCounts,
    RolloutEvidence,
    bin_of,
)
from mastichatch_core.relay.rollouts.exposure import (
    ExposureAllowance,
    start_tokens,
)
from mastichatch_core.relay.rollouts.order import (
    Phase,
    RolloutOrder,
    RolloutView,
    changes_status,
    current_phase,
    next_record,
    restored_view,
)
from mastichatch_core.relay.rollouts.verdict import Decision, Verdict
from mastichatch_core.relay.rollouts.versions import (
    Access,
    endpoint_access,
    may_continue_at,
    trial_endpoints,
)

VERSIONS = ('a', 'b', 'c')
RANK = {
    Phase.serving: 0,
    Phase.completing: 1,
    Phase.completed: 2,
    Phase.reverted: 2,
}
SHARE = 0.1
SLACK = 50.0


def order(target: str = 'b', revision: int = 7) -> RolloutOrder:
    return RolloutOrder(
        service='s', target=target, period_s=12, revision=revision
    )


def record(phase: Phase, target: str = 'b', revision: int = 7) -> RolloutRecord:
    return RolloutRecord(
        service='s',
        target=target,
        order_revision=revision,
        phase=phase,
        previous=('a',),
    )


def view(phase: Phase) -> RolloutView:
    return RolloutView(order=order(), record=record(phase))


def verdict(decision: Decision) -> Verdict:
    return Verdict(decision=decision, rule='rule')


def endpoint(version: str, number: int = 0, weights: int = 0) -> Endpoint:
    return Endpoint(
        instance=f'{version}{number}',
        service='s',
        address='',
        data_centre='x',
        slots=8,
        state=EndpointState.ready,
        version=version,
        weights=(('m', weights),) if weights else (),
    )


class Fleet:
    """Hosts that decide on one service, and the store that they write to."""

    def __init__(self, hosts: int) -> None:
        self.revision = 10
        self.order: RolloutOrder | None = None
        self.record: RolloutRecord | None = None
        self.record_revision = 0
        self.views = [(RolloutView(), 0)] * hosts
        self.written: list[RolloutRecord] = []

    def put_order(self, target: str | None) -> None:
        self.revision += 1
        self.order = None if target is None else order(target, self.revision)

    def refresh(self, host: int) -> None:
        """Let a host see what the store has; also resolves lost answers."""
        seen = RolloutView(order=self.order, record=self.record)
        self.views[host] = (seen, self.record_revision)

    def decide(self, host: int, decision: Decision, may_finish: bool) -> None:
        seen, record_revision = self.views[host]
        written = next_record(
            seen,
            verdict(decision),
            VERSIONS,
            node=str(host),
            may_finish=may_finish,
        )
        is_allowed = (
            record_revision == self.record_revision and seen.order == self.order
        )
        if written is None or not is_allowed:
            return
        self.revision += 1
        self.record, self.record_revision = written, self.revision
        self.written.append(written)


STEPS = st.one_of(
    st.tuples(st.just('order'), st.sampled_from((*VERSIONS[1:], None))),
    st.tuples(st.just('refresh'), st.integers(0, 2)),
    st.tuples(
        st.just('decide'),
        st.integers(0, 2),
        st.sampled_from(Decision),
        st.booleans(),
    ),
)


class TestPhases:
    @settings(max_examples=400, deadline=None)
    @given(st.lists(STEPS, max_size=40))
    def test_phases_never_go_back_and_each_status_is_written_once(
        self, steps: list[tuple[object, ...]]
    ) -> None:
        fleet = Fleet(3)
        for name, *arguments in steps:
            act = {
                'order': fleet.put_order,
                'refresh': fleet.refresh,
                'decide': fleet.decide,
            }[str(name)]
            act(*arguments)  # type: ignore[operator]
        revisions = [one.order_revision for one in fleet.written]
        assert revisions == sorted(revisions)
        for revision in set(revisions):
            phases = [
                one.phase
                for one in fleet.written
                if one.order_revision == revision
            ]
            ranks = [RANK[phase] for phase in phases]
            assert phases[0] is Phase.serving
            assert ranks == sorted(set(ranks))
            told = [
                one
                for one in fleet.written
                if one.order_revision == revision and changes_status(one)
            ]
            assert len(told) == len({one.phase for one in told})

    def test_unclear_evidence_completes_nothing(self) -> None:
        for phase in (Phase.serving, Phase.completing):
            held = next_record(
                view(phase),
                verdict(Decision.hold),
                VERSIONS,
                node='n',
                may_finish=True,
            )
            assert held is None

    def test_a_host_with_an_old_order_does_not_replace_a_newer_record(
        self,
    ) -> None:
        old = RolloutView(
            order=order(revision=7), record=record(Phase.serving, revision=9)
        )
        assert next_record(old, None, VERSIONS, node='n') is None
        assert current_phase(old) is None

    def test_versions_of_earlier_roll_outs_stay_closed(self) -> None:
        replaced = RolloutView(
            order=order('c', revision=9), record=record(Phase.reverted)
        )
        written = next_record(replaced, None, VERSIONS, node='n')
        assert written is not None
        assert written.previous == ('a',)
        assert written.closed == ('b',)

    def test_a_reverted_version_may_be_ordered_again(self) -> None:
        repeated = RolloutView(
            order=order('b', revision=9), record=record(Phase.reverted)
        )
        assert endpoint_access(repeated, 'b') is Access.closed
        written = next_record(repeated, None, ('a', 'b'), node='n')
        assert written is not None
        assert (written.target, written.closed) == ('b', ())


class TestRestoredStore:
    """The store has an order again, at another revision or the same one."""

    @pytest.mark.parametrize('revision', (3, 7, 9))
    @pytest.mark.parametrize('known', Phase)
    @pytest.mark.parametrize('found', (None, *Phase))
    def test_phase_does_not_go_back(
        self, known: Phase, found: Phase | None, revision: int
    ) -> None:
        stored = None if found is None else record(found, revision=revision)
        restored = restored_view(
            view(known),
            RolloutView(order=order(revision=revision), record=stored),
        )
        phase = current_phase(restored)
        assert phase is not None
        assert RANK[phase] >= RANK[known]
        assert phase in {known, found}

    @pytest.mark.parametrize('lost', (None, record(Phase.serving, revision=2)))
    def test_other_order_begins_anew(self, lost: RolloutRecord | None) -> None:
        other = RolloutView(order=order('c', 3), record=lost)
        assert restored_view(view(Phase.completed), other) == other
        assert current_phase(other) is None


class TestAccess:
    @pytest.mark.parametrize(
        ('phase', 'previous', 'target'),
        [
            (Phase.serving, Access.free, Access.trial),
            (Phase.completing, Access.closed, Access.free),
            (Phase.completed, Access.closed, Access.free),
            (Phase.reverted, Access.free, Access.closed),
        ],
    )
    def test_each_phase_opens_versions(
        self, phase: Phase, previous: Access, target: Access
    ) -> None:
        assert endpoint_access(view(phase), 'a') is previous
        assert endpoint_access(view(phase), 'b') is target

    def test_without_roll_outs_versions_do_not_matter(self) -> None:
        for seen in (None, RolloutView()):
            assert endpoint_access(seen, 'a') is Access.free
            assert may_continue_at(seen, endpoint('a'), endpoint('b'))

    def test_a_target_gets_nothing_before_the_order_is_recorded(self) -> None:
        seen = RolloutView(order=order())
        assert endpoint_access(seen, 'a') is Access.free
        assert endpoint_access(seen, 'b') is Access.closed

    def test_a_repeated_order_does_not_close_the_version_that_serves(
        self,
    ) -> None:
        seen = RolloutView(
            order=order(revision=9), record=record(Phase.completed)
        )
        assert endpoint_access(seen, 'b') is Access.free
        written = next_record(seen, None, ('a', 'b'), node='n')
        again = dataclasses.replace(seen, record=written)
        assert endpoint_access(again, 'b') is Access.free
        assert endpoint_access(again, 'a') is Access.closed

    def test_removing_the_order_ends_the_trial(self) -> None:
        for phase in (Phase.serving, Phase.reverted):
            seen = RolloutView(record=record(phase))
            assert endpoint_access(seen, 'a') is Access.free
            assert endpoint_access(seen, 'b') is Access.closed

    def test_runs_change_versions_only_with_the_traffic_and_the_weights(
        self,
    ) -> None:
        old, new, other = (
            endpoint('a', weights=1),
            endpoint('b', weights=1),
            endpoint('b', weights=2),
        )
        assert not may_continue_at(view(Phase.serving), old, new)
        assert not may_continue_at(view(Phase.serving), new, old)
        assert may_continue_at(view(Phase.completing), old, new)
        assert not may_continue_at(view(Phase.completing), old, other)
        assert may_continue_at(view(Phase.reverted), new, old)
        assert not may_continue_at(view(Phase.reverted), new, endpoint('b', 1))

    def test_all_endpoints_of_the_target_are_tried_by_turns(self) -> None:
        endpoints = [endpoint('b', number) for number in range(3)]
        tried = [
            trial_endpoints(view(Phase.serving), endpoints, SHARE, part / 10)
            for part in range(3)
        ]
        assert [len(one) for one in tried] == [1, 1, 1]
        assert frozenset[str]().union(*tried) == {'b0', 'b1', 'b2'}


class TestExposure:
    @pytest.mark.parametrize('hosts', [1, 4, 66, 400])
    @pytest.mark.parametrize('requests', [40, 800, 20000])
    def test_hosts_together_stay_under_share_and_slack(
        self, hosts: int, requests: int
    ) -> None:
        exposed_at_all = 0
        for seed in range(20):
            draws = random.Random(seed)
            exposed = 0
            fleet = [
                ExposureAllowance(
                    SHARE, start_tokens(SLACK, hosts, draws.random())
                )
                for _ in range(hosts)
            ]
            for number in range(requests):
                if not draws.randrange(200):
                    # A host is restarted, or another one is added.
                    start = start_tokens(
                        SLACK, hosts, draws.random(), is_order_new=False
                    )
                    added = ExposureAllowance(SHARE, start)
                    if draws.random() < 0.5 and len(fleet) < 2 * hosts:
                        fleet.append(added)
                    else:
                        fleet[draws.randrange(len(fleet))] = added
                allowance = draws.choice(fleet)
                allowance.record_request(number / requests)
                exposed += allowance.try_expose()
                assert exposed <= SHARE * number + SLACK
            exposed_at_all += exposed
        assert exposed_at_all > 0

    def test_a_request_that_was_not_sent_gives_its_token_back(self) -> None:
        allowance = ExposureAllowance(SHARE, 1)
        allowance.record_request()
        assert allowance.try_expose()
        assert not allowance.try_expose()
        allowance.return_exposure()
        assert allowance.try_expose()


class TestEvidence:
    def test_lost_repeated_and_late_reports_do_no_harm(self) -> None:
        counts = RolloutCounts('b', 12)
        reports = []
        for number in range(6):
            answer = Observation(
                version='b', instance='b0', route='r', duration_ms=10
            )
            counts.record(answer, 1)
            counts.replace_waiting(
                [dataclasses.replace(answer, duration_ms=number * 100.0)], 1
            )
            reports.append(
                RolloutReport(
                    node='n',
                    service='s',
                    order_revision=7,
                    age_ms=1000,
                    cells=counts.take_changed(),
                )
            )
        for order_of_arrival in ([5], [0, 5, 2, 5, 0], [0, 1, 2, 3, 4, 5]):
            evidence = RolloutEvidence('s', 7)
            for number in order_of_arrival:
                assert evidence.apply(reports[number], 'i', 100)
            (cell,) = evidence.cells()
            assert (cell.good, cell.durations) == (6, (bin_of(10), 6))
            assert cell.waiting == (bin_of(500), 1)
            assert evidence.age_s(101) == 2

    def test_reports_on_other_orders_are_ignored(self) -> None:
        evidence = RolloutEvidence('s', 7)
        report = RolloutReport(node='n', service='s', order_revision=6)
        assert not evidence.apply(report, 'i', 100)

    def test_requests_sent_before_the_order_do_not_count(self) -> None:
        counts = RolloutCounts('b', 12)
        answer = Observation(version='b', instance='b0', route='r')
        counts.record(answer, -1)
        assert counts.cells() == ()
