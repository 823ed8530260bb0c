"""Tests of single rules of the scheduler."""

import dataclasses

from mastichatch_core import scheduler as core
from mastichatch_core.admission import record_token_gap
from mastichatch_core.generated.messages import (
    HeldPermit,
    PermitOutcome,
    Registration,
    Term,
)
from tests.test_scheduler import (
    catalogue,
    grants,
    make_release,
    make_request,
    open_ready_scheduler,
    renew,
    report,
)


def register(
    scheduler: core.Scheduler, now: float, node: str = 'a', **fields: object
) -> tuple[core.Outgoing, ...]:
    values = {
        'service': 's',
        'node': node,
        'term': scheduler.term,
        'sequence': int(now * 10),
        **fields,
    }
    registration = Registration(**values)  # type: ignore[arg-type]
    return core.register(scheduler, registration, now)


def granted(outgoing: tuple[core.Outgoing, ...]) -> list[str]:
    return [one.request_id for one in grants(outgoing)]


class TestHeadOfLineBlocking:
    """A request that cannot be granted now blocks none behind it."""

    def test_request_of_a_silent_node_does_not_block(self) -> None:
        scheduler = open_ready_scheduler(catalogue(cold_limit=4, batch_limit=4))
        members = frozenset('ab')
        core.set_members(scheduler, members, members, 1)
        register(scheduler, 1, 'b')
        renew(scheduler, 2.2)
        assert not granted(
            core.request(scheduler, make_request(1, node='b'), 2.2)
        )
        assert granted(core.request(scheduler, make_request(2), 2.2)) == ['r2']

    def test_request_with_excluded_endpoints_does_not_block(self) -> None:
        scheduler = open_ready_scheduler(catalogue(cold_limit=4, batch_limit=4))
        for number in range(4):
            item = make_request(number, excluded=('e1',))
            assert granted(core.request(scheduler, item, 1)) == [f'r{number}']
        core.request(scheduler, make_request(4, excluded=('e1',)), 1)
        assert granted(core.request(scheduler, make_request(5), 1)) == ['r5']


class TestReset:
    """Messages from before a pause of the process do not count after it."""

    def test_registrations_from_before_a_freeze_do_not_count(self) -> None:
        scheduler = open_ready_scheduler(catalogue(cold_limit=4, batch_limit=4))
        old_term = scheduler.term
        core.observe(scheduler, report('e1'), 9)
        register(scheduler, 9, term=old_term)
        assert not granted(core.request(scheduler, make_request(1), 9))
        register(scheduler, 9.1)
        core.observe(scheduler, report('e1'), 9.2)
        assert granted(core.request(scheduler, make_request(2), 9.2))


class TestDelayedRegistration:
    """A registration that a partition delayed does not count as current."""

    def test_registration_counts_from_the_announcement_that_it_answers(
        self,
    ) -> None:
        scheduler = open_ready_scheduler(catalogue(cold_limit=4, batch_limit=4))
        members = frozenset('ab')
        core.set_members(scheduler, members, members, 1)
        register(scheduler, 1, 'b', announced_at=1)
        for step in range(5, 40):
            core.set_members(scheduler, members, frozenset('a'), step / 4)
            renew(scheduler, step / 4)
        assert scheduler.term_members.budget_share(10) < 1
        core.set_members(scheduler, members, members, 10)
        register(scheduler, 10, 'b', announced_at=1.5)
        assert scheduler.term_members.budget_share(10.2) < 1
        register(scheduler, 10.1, 'b', announced_at=10)
        assert scheduler.term_members.budget_share(10.2) == 1


class TestStartup:
    """A new scheduler grants nothing before its nodes list their permits."""

    def test_nothing_is_granted_before_the_registrations(self) -> None:
        """A node may still use permits that no endpoint report shows."""
        config = catalogue(cold_limit=2, batch_limit=2)
        term = Term(number=2, incarnation='i')
        scheduler = core.open_scheduler(term, config, 's', 'd', 0)
        members = frozenset('ab')
        core.set_members(scheduler, members, members, 0)
        register(scheduler, 0.1)
        core.observe(scheduler, report('e1'), 0.6)
        assert not granted(core.request(scheduler, make_request(1), 0.6))
        held = tuple(
            HeldPermit(
                request_id=name, attempt=0, endpoint='e1', workspace='big'
            )
            for name in ('r8', 'r9')
        )
        assert not granted(register(scheduler, 0.7, 'b', held=held))
        assert scheduler.permit_count == 2


class TestSilentNode:
    """Permits of a node that went silent count, as it may have used them."""

    def test_its_permit_counts_while_its_engine_keeps_running(
        self,
    ) -> None:
        scheduler = open_ready_scheduler(catalogue(cold_limit=1, batch_limit=1))
        members = frozenset('ab')
        core.set_members(scheduler, members, members, 1)
        register(scheduler, 1, 'b')
        for number in (1, 2):
            assert granted(
                core.request(scheduler, make_request(number, node='b'), 1)
            )
        core.request(scheduler, make_request(3), 1)
        core.set_members(scheduler, frozenset('a'), frozenset('a'), 1)
        timing = scheduler.timing
        ends_at = 1 + timing.permit_lease + timing.orphan_lifetime
        for step in range(5, int(ends_at * 4)):
            # A request begun just before the lease ended is in no report yet.
            core.observe(scheduler, report('e1'), step / 4)
            renew(scheduler, step / 4)
            assert 'r3' in {entry.key[0] for entry in scheduler.queue}
        renew(scheduler, ends_at)
        core.observe(scheduler, report('e1'), ends_at)
        assert not scheduler.waiting_count


class TestShortGenerations:
    """Generations that end between two registrations are measured too."""

    def test_they_raise_a_limit_that_slow_tokens_lowered(self) -> None:
        scheduler = open_ready_scheduler(catalogue(cold_limit=4, batch_limit=4))
        core.set_leaving_hosts(scheduler, frozenset({'h-e2'}), 1)
        record_token_gap(scheduler.pool.states['e1'], 100, 36, 1, 1)
        assert scheduler.pool.limit('e1', 1) == 1
        for number in range(20):
            now = 1 + number / 4
            renew(scheduler, now)
            (grant,) = grants(
                core.request(scheduler, make_request(number), now)
            )
            release = make_release(grant, PermitOutcome.completed)
            release = dataclasses.replace(release, gap_ms=10)
            core.release(scheduler, release, now + 0.2)
        assert scheduler.pool.limit('e1', 6) > 1
