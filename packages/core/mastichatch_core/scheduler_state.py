"""The state of the scheduler of one service in one data centre."""

import dataclasses
from typing import Final

from mastichatch_core.admission import scaled_limit
from mastichatch_core.endpoint_pool import EndpointPool
from mastichatch_core.fair_queue import FairQueue
from mastichatch_core.generated.messages import Term
from mastichatch_core.prediction import LengthModel
from mastichatch_core.retries import RetryBudget, deposit, withdraw
from mastichatch_core.term_members import TermMembers

# An engine failure makes its whole batch retry at once.
BATCH_BURST_RETRIES: Final = 64.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Timing:
    """Leases and timeouts of a scheduler, in seconds.

    :param permit_lease: time within which a granted permit must be used
    :param member_timeout: silence after which a node counts as unreachable
    :param orphan_lifetime: time that an engine keeps running a request after
        its node is gone
    """

    permit_lease: float = 2.0
    member_timeout: float = 1.5
    orphan_lifetime: float = 4.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Capacity:
    """Spare capacity of the endpoints whose load is known, at one time.

    :param free: number of further permits by endpoint, regardless of memory;
        negative where the load exceeds the limit
    :param limits: concurrency limit by endpoint
    :param share: this scheduler's share of every limit, from zero to one
    """

    free: dict[str, int]
    limits: dict[str, float]
    share: float


class Scheduler:
    """Soft state of one scheduler; only one event loop may change it."""

    def __init__(
        self,
        term: Term,
        service: str,
        pool: EndpointPool,
        timing: Timing,
        lengths: LengthModel,
        now: float,
    ) -> None:
        """Start without members, permits or requests.

        :param term: term that is higher than any seen
        :param service: name of the service
        :param pool: endpoints of the service in the data centre
        :param timing: leases and timeouts
        :param lengths: output lengths observed so far
        :param now: time in seconds
        """
        self._term = term
        self._service = service
        self._pool = pool
        self._timing = timing
        self._lengths = lengths
        self._queue = FairQueue()
        self._retry_budget = RetryBudget(
            percent=0,
            burst=BATCH_BURST_RETRIES,
            tokens=BATCH_BURST_RETRIES,
        )
        self._term_members = TermMembers(timing.member_timeout, now)
        self._superseded = False
        self._advanced_at = now

    @property
    def service(self) -> str:
        """Name of the service."""
        return self._service

    @property
    def term(self) -> Term:
        """Term that grants carry; rises when the scheduler resets its state."""
        return self._term

    @property
    def superseded(self) -> bool:
        """Whether a node was seen that follows a higher term."""
        return self._superseded

    @property
    def timing(self) -> Timing:
        """Leases and timeouts."""
        return self._timing

    @property
    def pool(self) -> EndpointPool:
        """Endpoints, and the permits that count against them."""
        return self._pool

    @property
    def queue(self) -> FairQueue:
        """Waiting requests."""
        return self._queue

    @property
    def term_members(self) -> TermMembers:
        """Nodes that follow this term, by their registrations."""
        return self._term_members

    @property
    def lengths(self) -> LengthModel:
        """Output lengths observed so far."""
        return self._lengths

    @property
    def waiting_count(self) -> int:
        """Number of waiting requests."""
        return len(self._queue)

    @property
    def permit_count(self) -> int:
        """Number of permits that count against endpoints."""
        return len(self._pool.ledger)

    @property
    def free_count(self) -> int:
        """Number of permits that could be granted now.

        It is zero while a request waits, whatever the limits: memory may be
        exhausted.
        """
        if self._queue:
            return 0
        return sum(
            max(0, permits)
            for permits in self.available_capacity(
                self._advanced_at
            ).free.values()
        )

    def expected_wait_ms(self, now: float) -> float:
        """Return the expected wait of a request that arrives now.

        :param now: time in seconds
        :returns: the wait in milliseconds; zero without a queue
        """
        return self._pool.throughput.wait_ms(self._queue.backlog, now)

    def available_capacity(self, now: float) -> Capacity:
        """Return the spare capacity of the endpoints whose load is known.

        :param now: time in seconds
        """
        share = self._term_members.budget_share(now)
        limits = {
            name: self._pool.limit(name, now)
            for name, state in self._pool.states.items()
            if self._term_members.is_load_known(
                state.reported_at, handed_over=state.handed_over
            )
        }
        return Capacity(
            free={
                name: self._free_permits_at(name, limit, share)
                for name, limit in limits.items()
            },
            limits=limits,
            share=share,
        )

    def advance_clock(self, now: float) -> bool:
        """Advance the clock, and reset the state after a pause of the process.

        After a pause longer than the member timeout the nodes may follow
        another scheduler. The scheduler then drops its registrations and its
        queue, raises its term, and keeps every permit for one more lease while
        the nodes register again.

        :param now: time in seconds
        :returns: whether the state was reset
        """
        elapsed = now - self._advanced_at
        self._advanced_at = max(now, self._advanced_at)
        if elapsed <= self._timing.member_timeout:
            return False
        self._term = Term(
            number=self._term.number + 1, incarnation=self._term.incarnation
        )
        self._term_members.restart(now)
        self._queue = FairQueue()
        for permit in self._pool.ledger:
            self._pool.ledger.set_expiry(
                permit, now + self._timing.permit_lease
            )
        for state in self._pool.states.values():
            state.handed_over = False
        return True

    def _free_permits_at(self, name: str, limit: float, share: float) -> int:
        scaled = scaled_limit(
            limit, share, gets_remainder=self._term_members.had_full_share
        )
        own = self._pool.ledger.count_at_endpoint(name)
        return min(scaled - own, int(limit) - self._pool.load(name))

    def mark_superseded(self) -> None:
        """Stop granting for good, because nodes follow a higher term."""
        self._superseded = True

    def spend_retry(self, percent: int) -> bool:
        """Take one retry from the service's retry budget.

        :param percent: retries allowed, in percent of first attempts
        :returns: whether the budget covered it
        """
        budget = dataclasses.replace(self._retry_budget, percent=percent)
        remaining = withdraw(budget)
        self._retry_budget = remaining or budget
        return remaining is not None

    def earn_retry(self, percent: int) -> None:
        """Credit a first attempt to the service's retry budget.

        :param percent: retries allowed, in percent of first attempts
        """
        self._retry_budget = deposit(
            dataclasses.replace(self._retry_budget, percent=percent)
        )
