"""Tests of the renewal of a node's permits by summaries."""

import dataclasses

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mastichatch_core import scheduler as core
from mastichatch_core.generated.messages import (
    HeldPermit,
    PermitGrant,
    PermitOutcome,
    Registration,
)
from mastichatch_core.ledger import Permit, PermitLedger
from mastichatch_core.renewal import (
    LIST_INTERVAL_S,
    ReportedPermits,
    fingerprint,
    renewed_tokens,
)
from tests.test_scheduler import (
    catalogue,
    grants,
    make_release,
    make_request,
    open_ready_scheduler,
)


def held_of(number: int, tokens: int, *, used: bool = True) -> HeldPermit:
    return HeldPermit(
        request_id=f'r{number}',
        attempt=0,
        endpoint='e1',
        workspace='big',
        output_tokens=tokens,
        used=used,
    )


class TestSummary:
    @given(
        before=st.dictionaries(st.integers(0, 9), st.integers(0, 5)),
        after=st.dictionaries(st.integers(0, 9), st.integers(0, 5)),
        missed=st.sets(st.integers(0, 9), max_size=2),
    )
    def test_summary_matches_only_the_permits_in_use(
        self, before: dict[int, int], after: dict[int, int], missed: set[int]
    ) -> None:
        """Permits start and end between reports; the scheduler misses some."""
        reported = ReportedPermits()
        reported.record_list((held_of(*item) for item in before.items()), 1)
        holds = {n: before.get(n, 0) + added for n, added in after.items()}
        summary = reported.summarize(
            [held_of(*item) for item in holds.items()], 2
        )
        assert summary is not None
        known = {n: t for n, t in before.items() if n in holds.keys() | missed}
        known |= {n: 0 for n in holds.keys() - known.keys() - missed}
        tokens = renewed_tokens(
            {fingerprint(f'r{n}', 0, 'e1'): t for n, t in known.items()},
            summary,
        )
        expected = {fingerprint(f'r{n}', 0, 'e1'): t for n, t in holds.items()}
        same = known.keys() == holds.keys()
        assert tokens == (expected if same else None)

    def test_full_list_is_due_first_and_then_at_intervals(self) -> None:
        reported = ReportedPermits()
        assert reported.summarize((), 0) is None
        reported.record_list((), 0)
        assert reported.summarize((), LIST_INTERVAL_S - 1) is not None
        assert reported.summarize((), LIST_INTERVAL_S) is None


class HoldingNode:
    """Node ``a``, its scheduler, and the permits that it has in use."""

    def __init__(self) -> None:
        self.scheduler = open_ready_scheduler(
            catalogue(cold_limit=4, batch_limit=4)
        )
        self.reported = ReportedPermits()
        self.held: dict[str, HeldPermit] = {}
        self.sequence = 100

    def ask(self, number: int, now: float) -> PermitGrant:
        (grant,) = grants(
            core.request(self.scheduler, make_request(number), now)
        )
        return grant

    def use(self, grant: PermitGrant) -> None:
        name = grant.request_id
        self.held[name] = HeldPermit(
            request_id=name,
            attempt=0,
            endpoint=grant.endpoint,
            workspace='big',
            used=True,
        )

    def register(
        self, now: float, *, by_summary: bool = True, lost: bool = False
    ) -> bool:
        """Register and return whether the scheduler requests the full list."""
        held = tuple(self.held.values())
        summary = self.reported.summarize(held, now) if by_summary else None
        if summary is None:
            self.reported.record_list(held, now)
        self.sequence += 1
        registration = Registration(
            service='s',
            node='a',
            term=self.scheduler.term,
            sequence=self.sequence,
            held=() if summary else held,
            summary=summary,
        )
        if lost:
            return False
        core.register(self.scheduler, registration, now)
        return core.needs_permit_list(self.scheduler, registration)

    def advance(self, start: float, end: float, *, by_summary: bool) -> None:
        """Register twice a second between two times."""
        for turn in range(int((end - start) * 2) + 1):
            self.register(start + turn / 2, by_summary=by_summary)


@pytest.fixture
def holder() -> HoldingNode:
    return HoldingNode()


class TestRenewal:
    def test_matching_summaries_renew_permits_and_update_tokens(
        self, holder: HoldingNode
    ) -> None:
        first = holder.ask(0, 1.1)
        holder.use(first)
        for number in (1, 2):
            holder.use(holder.ask(number, 1.1))
        holder.register(1.2, by_summary=False)
        for turn in range(40):
            holder.held = {
                name: dataclasses.replace(one, output_tokens=turn * 9)
                for name, one in holder.held.items()
            }
            assert not holder.register(1.5 + turn / 2)
        permits = tuple(holder.scheduler.pool.ledger)
        assert [one.output_tokens for one in permits] == [39 * 9] * 3
        del holder.held['r0']
        core.release(
            holder.scheduler, make_release(first, PermitOutcome.completed), 21
        )
        assert not holder.register(21.2)
        assert holder.scheduler.permit_count == 2

    def test_lost_summary_requires_a_list_and_loses_no_permit(
        self, holder: HoldingNode
    ) -> None:
        holder.register(1, by_summary=False)
        holder.use(holder.ask(1, 1.1))
        holder.register(1.5, lost=True)
        assert holder.register(2)
        assert not holder.register(2, by_summary=False)
        assert not holder.register(2.5)
        (permit,) = holder.scheduler.pool.ledger
        assert permit.used

    def test_permit_with_a_lost_release_expires_on_time(
        self, holder: HoldingNode
    ) -> None:
        """A release is lost; the permit neither ends early nor renews."""
        holder.register(1, by_summary=False)
        holder.use(holder.ask(1, 1.1))
        holder.use(holder.ask(2, 1.1))
        holder.register(1.5)
        del holder.held['r1']
        assert holder.register(2)
        holder.register(2, by_summary=False)
        holder.advance(2.5, 7, by_summary=True)
        assert holder.scheduler.permit_count == 2
        holder.advance(7.5, 8, by_summary=True)
        assert holder.scheduler.permit_count == 1

    def test_mismatched_summary_does_not_end_a_permit_in_use(
        self, holder: HoldingNode
    ) -> None:
        """The only message after the node uses a permit is a wrong summary."""
        holder.register(1, by_summary=False)
        holder.use(holder.ask(1, 1.1))
        holder.register(1.2, lost=True)
        holder.register(1.5)
        core.advance(holder.scheduler, 2.9)
        core.advance(holder.scheduler, 4.3)
        assert holder.scheduler.permit_count == 1

    @pytest.mark.parametrize('known', [True, False])
    def test_node_counts_only_after_it_has_listed_its_permits(
        self, holder: HoldingNode, known: bool
    ) -> None:
        """The node timed out, or the scheduler does not know it."""
        members = frozenset('a')
        holder.register(1.1, by_summary=False)
        if not known:
            term = dataclasses.replace(holder.scheduler.term, number=2)
            holder.scheduler = core.open_scheduler(
                term, holder.scheduler.pool.catalogue, 's', 'd', 1.5
            )
        for now in (2.5, 3.5):
            core.set_members(holder.scheduler, members, members, now)
        assert holder.register(4)
        assert not holder.scheduler.term_members.budget_share(4)
        holder.register(4, by_summary=False)
        assert holder.scheduler.term_members.budget_share(4) == 1

    def test_moved_permit_counts_for_its_new_node(
        self, holder: HoldingNode
    ) -> None:
        holder.use(holder.ask(1, 1.1))
        holder.register(1.2, by_summary=False)
        (permit,) = holder.scheduler.pool.ledger
        holder.scheduler.pool.ledger.move(permit, 'b')
        holder.register(1.5, by_summary=False)
        assert not holder.register(2)


def test_ledger_yields_permits_at_their_latest_expiry() -> None:
    """One expiry moves back and one forward; one permit is removed."""
    ledger = PermitLedger()
    permits = [
        Permit(
            key=(f'r{number}', 0),
            node='a',
            endpoint='e1',
            workspace='big',
            granted_at=0,
            expires_at=5,
        )
        for number in range(4)
    ]
    for permit in permits:
        ledger.add(permit)
    ledger.set_expiry(permits[0], 8)
    ledger.set_expiry(permits[1], 3)
    ledger.pop(permits[2].key)
    found = []
    for now in range(10):
        for permit in ledger.expired_permits(now):
            found.append((now, permit.key[0]))
            ledger.pop(permit.key)
    assert found == [(3, 'r1'), (5, 'r3'), (8, 'r0')]
