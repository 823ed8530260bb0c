"""A node's permits are renewed in short, and never on a wrong summary."""

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
    Told,
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
    def test_matches_just_what_the_node_holds(
        self, before: dict[int, int], after: dict[int, int], missed: set[int]
    ) -> None:
        """Permits end and start in between; the scheduler misses some."""
        told = Told()
        told.note_list((held_of(*item) for item in before.items()), 1)
        holds = {n: before.get(n, 0) + fresh for n, fresh in after.items()}
        summary = told.summarize([held_of(*item) for item in holds.items()], 2)
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

    def test_the_list_is_due_first_and_then_rarely(self) -> None:
        told = Told()
        assert told.summarize((), 0) is None
        told.note_list((), 0)
        assert told.summarize((), LIST_INTERVAL_S - 1) is not None
        assert told.summarize((), LIST_INTERVAL_S) is None


class Caller:
    """Node ``a`` with its permits in use at a scheduler."""

    def __init__(self) -> None:
        self.scheduler = open_ready_scheduler(
            catalogue(cold_limit=4, batch_limit=4)
        )
        self.told = Told()
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
        self, now: float, *, in_short: bool = True, lost: bool = False
    ) -> bool:
        """Register, and return whether the list is wanted then."""
        held = tuple(self.held.values())
        summary = self.told.summarize(held, now) if in_short else None
        if summary is None:
            self.told.note_list(held, now)
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

    def advance(self, start: float, end: float, *, in_short: bool) -> None:
        """Register twice a second for a time."""
        for turn in range(int((end - start) * 2) + 1):
            self.register(start + turn / 2, in_short=in_short)


@pytest.fixture
def caller() -> Caller:
    return Caller()


class TestRenewal:
    def test_permits_last_and_bring_tokens_while_summaries_match(
        self, caller: Caller
    ) -> None:
        first = caller.ask(0, 1.1)
        caller.use(first)
        for number in (1, 2):
            caller.use(caller.ask(number, 1.1))
        caller.register(1.2, in_short=False)
        for turn in range(40):
            caller.held = {
                name: dataclasses.replace(one, output_tokens=turn * 9)
                for name, one in caller.held.items()
            }
            assert not caller.register(1.5 + turn / 2)
        permits = tuple(caller.scheduler.pool.ledger)
        assert [one.output_tokens for one in permits] == [39 * 9] * 3
        del caller.held['r0']
        core.release(
            caller.scheduler, make_release(first, PermitOutcome.completed), 21
        )
        assert not caller.register(21.2)
        assert caller.scheduler.permit_count == 2

    def test_a_lost_one_costs_a_list_and_no_permit(
        self, caller: Caller
    ) -> None:
        caller.register(1, in_short=False)
        caller.use(caller.ask(1, 1.1))
        caller.register(1.5, lost=True)
        assert caller.register(2)
        assert not caller.register(2, in_short=False)
        assert not caller.register(2.5)
        (permit,) = caller.scheduler.pool.ledger
        assert permit.used

    def test_what_the_node_gave_up_unheard_lapses_no_sooner_or_later(
        self, caller: Caller
    ) -> None:
        """A release is lost; the permit is neither dropped nor renewed."""
        caller.register(1, in_short=False)
        caller.use(caller.ask(1, 1.1))
        caller.use(caller.ask(2, 1.1))
        caller.register(1.5)
        del caller.held['r1']
        assert caller.register(2)
        caller.register(2, in_short=False)
        caller.advance(2.5, 7, in_short=True)
        assert caller.scheduler.permit_count == 2
        caller.advance(7.5, 8, in_short=True)
        assert caller.scheduler.permit_count == 1

    def test_a_wrong_summary_is_no_proof_that_a_permit_is_not_used(
        self, caller: Caller
    ) -> None:
        """The node uses a permit and goes silent but for a wrong summary."""
        caller.register(1, in_short=False)
        caller.use(caller.ask(1, 1.1))
        caller.register(1.2, lost=True)
        caller.register(1.5)
        core.advance(caller.scheduler, 2.9)
        core.advance(caller.scheduler, 4.3)
        assert caller.scheduler.permit_count == 1

    @pytest.mark.parametrize('known', [True, False])
    def test_a_node_counts_only_once_it_named_its_permits(
        self, caller: Caller, known: bool
    ) -> None:
        """It was silent, or the scheduler does not know it."""
        members = frozenset('a')
        caller.register(1.1, in_short=False)
        if not known:
            term = dataclasses.replace(caller.scheduler.term, number=2)
            caller.scheduler = core.open_scheduler(
                term, caller.scheduler.pool.catalogue, 's', 'd', 1.5
            )
        for now in (2.5, 3.5):
            core.set_members(caller.scheduler, members, members, now)
        assert caller.register(4)
        assert not caller.scheduler.member_registry.share(4)
        caller.register(4, in_short=False)
        assert caller.scheduler.member_registry.share(4) == 1

    def test_a_generation_counts_for_the_node_that_took_it_over(
        self, caller: Caller
    ) -> None:
        caller.use(caller.ask(1, 1.1))
        caller.register(1.2, in_short=False)
        (permit,) = caller.scheduler.pool.ledger
        caller.scheduler.pool.ledger.move(permit, 'b')
        caller.register(1.5, in_short=False)
        assert not caller.register(2)


def test_a_ledger_finds_permits_at_their_newest_ends() -> None:
    """One end was put off and one brought forward; one permit ended."""
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
    ledger.set_end(permits[0], 8)
    ledger.set_end(permits[1], 3)
    ledger.pop(permits[2].key)
    found = []
    for now in range(10):
        for permit in ledger.lapsed(now):
            found.append((now, permit.key[0]))
            ledger.pop(permit.key)
    assert found == [(3, 'r1'), (5, 'r3'), (8, 'r0')]
