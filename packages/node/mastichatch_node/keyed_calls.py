"""Runs calls whose idempotency key is claimed in the platform."""

import asyncio
import dataclasses
from typing import Final

from mastichatch_core.attempts import Attempt, unknown_outcome
from mastichatch_core.claims import (
    ClaimStep,
    lease_ttl_s,
    next_step,
    recorded_outcome,
)
from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.messages import (
    CallOutcome,
    Envelope,
    ErrorKind,
    MessageKind,
    OutcomeQuery,
    Ran,
)
from mastichatch_core.generated.records import Claim
from mastichatch_core.units import MS_PER_S
from mastichatch_node.claim_store import ClaimStore, FoundClaim, TakenClaim
from mastichatch_node.clock import loop_time
from mastichatch_node.decisions import DecisionLog
from mastichatch_node.outcomes import Run, Runs
from mastichatch_node.peers import Peers, Reply
from mastichatch_node.attempt_runner import (
    AttemptRunner,
    PlainCall,
    ExecutionRight,
    AttemptHistory,
)

_MAX_CLAIM_ROUNDS: Final = 4
ANSWER_GRACE_S: Final = 0.5
QUERY_WAIT_S: Final = 1.0
MAX_UNANSWERED_QUERIES: Final = 2


class _KeyClaimer:
    """Claims a key for an attempt, at most once.

    The key is unclaimed, or its claim may be replaced.
    """

    def __init__(
        self,
        claims: ClaimStore,
        run: Run,
        wanted: Claim,
        found: FoundClaim | None,
    ) -> None:
        self._claims = claims
        self._run = run
        self._new_claim = wanted
        self._found = found
        self._taken: TakenClaim | None = None

    @property
    def taken(self) -> TakenClaim | None:
        """The claim, or ``None`` before it has been written."""
        return self._taken

    def right(self, call: PlainCall) -> ExecutionRight:
        """Return a right to run a call that is acquired by claiming the key."""

        async def acquire() -> bool:
            if self._taken is None:
                # From here on another node may read the claim, even if the
                # write seems to fail.
                self._run.may_be_claimed = True
                self._taken = await self._claims.take(
                    self._run.name,
                    self._new_claim,
                    self._found,
                    call.retention_s,
                )
            return self._taken is not None

        def is_valid(now: float) -> bool:
            return (
                self._taken is not None and now < self._taken.covers_sends_until
            )

        return ExecutionRight(acquire=acquire, is_valid=is_valid)


class KeyedCalls:
    """Run calls with claimed keys and answer outcome queries of other nodes."""

    def __init__(
        self,
        claims: ClaimStore,
        runs: Runs,
        runner: AttemptRunner,
        peers: Peers,
        log: DecisionLog,
    ) -> None:
        """Register the handler of outcome queries."""
        self._claims = claims
        self._runs = runs
        self._runner = runner
        self._peers = peers
        self._log = log
        peers.on(MessageKind.outcome_query, OutcomeQuery, self._on_query)

    async def run(self, call: PlainCall, run: Run) -> CallOutcome:
        """Run a call, wait for another node's attempt, or replay its outcome.

        :param call: the call
        :param run: this node's run of the call
        :returns: the outcome
        :raises MastichatchError: with ``in_progress`` if other attempts keep
            claiming the key first
        """
        history = AttemptHistory()
        for _ in range(_MAX_CLAIM_ROUNDS):
            found = await self._claims.find(run.name)
            run.is_key_known = True
            settled = await self._find_earlier_outcome(call, run, found)
            if settled is None:
                settled = await self._run_unclaimed(call, run, found, history)
            if settled is not None:
                return await self._recheck_unsent(call, run, settled)
        raise MastichatchError(ErrorKind.in_progress)

    async def confirm(
        self,
        call: PlainCall,
        run: Run,
        outcome: CallOutcome,
    ) -> CallOutcome:
        """Return the outcome for a caller that joined a run in progress.

        The run may have read the claim before this caller's call began, and
        another node may have run the call in between. So an outcome that says
        the call did not run is checked against the claim again.

        :param call: the call of the caller that joined
        :param run: the run that the caller joined
        :param outcome: outcome of the run
        """
        if outcome.ran is not Ran.no:
            return outcome
        try:
            found = await self._claims.find(run.name)
        except MastichatchError:
            return dataclasses.replace(outcome, ran=Ran.unknown)
        return await self._find_earlier_outcome(call, run, found) or outcome

    async def _recheck_unsent(
        self,
        call: PlainCall,
        run: Run,
        outcome: CallOutcome,
    ) -> CallOutcome:
        """Return an outcome, or that of another node's attempt made meanwhile.

        A refusal before the claim is written may come after a long wait, during
        which another node may have claimed the key for the same caller.
        """
        if outcome.ran is not Ran.no or run.may_be_claimed:
            return outcome
        try:
            found = await self._claims.find(run.name)
        except MastichatchError:
            return outcome
        return await self._find_earlier_outcome(call, run, found) or outcome

    async def _run_unclaimed(
        self,
        call: PlainCall,
        run: Run,
        found: FoundClaim | None,
        history: AttemptHistory,
    ) -> CallOutcome | None:
        if not self._runs.has_room:
            raise MastichatchError(ErrorKind.queue_full)
        key = _KeyClaimer(self._claims, run, self._new_claim(run), found)
        self._runner.record_first_attempt(call.service)
        try:
            return await self._runner.run(
                call,
                run.attempt,
                key.right(call),
                history,
            )
        finally:
            self._record(call, run.attempt, key.taken)

    def _record(
        self,
        call: PlainCall,
        attempt: Attempt,
        taken: TakenClaim | None,
    ) -> None:
        if taken is None:
            return
        # If the task was cancelled, its attempt has not been closed yet.
        outcome = attempt.close(ErrorKind.cancelled)
        self._claims.record(taken, outcome, call.retention_s)

    async def _find_earlier_outcome(
        self,
        call: PlainCall,
        run: Run,
        found: FoundClaim | None,
    ) -> CallOutcome | None:
        """Return the outcome of an earlier attempt, or ``None`` if none ran."""
        step = next_step(found.claim if found else None, self._new_claim(run))
        self._log_step(call, run, step, found)
        if found is None or step in {ClaimStep.own, ClaimStep.take_over}:
            return None
        if step is ClaimStep.refuse:
            raise MastichatchError(ErrorKind.key_reused)
        if step is ClaimStep.replay:
            return recorded_outcome(found.claim)
        outcome = await self._wait_for_owner(call, found.claim, step)
        return None if outcome.ran is Ran.no else outcome

    async def _wait_for_owner(
        self,
        call: PlainCall,
        claim: Claim,
        step: ClaimStep,
    ) -> CallOutcome:
        """Poll the owner of a claim until its attempt ends.

        Each query waits only ``QUERY_WAIT_S``, so that a failed owner is
        detected soon and the caller does not wait for the whole deadline.
        """
        ends_at = call.deadline + call.operation.timeout_ms / MS_PER_S
        unanswered = 0
        outcome = unknown_outcome('it is in progress', ErrorKind.in_progress)
        while loop_time() < ends_at and outcome.error is ErrorKind.in_progress:
            query = _build_query(
                claim, min(ends_at - loop_time(), QUERY_WAIT_S)
            )
            if step is ClaimStep.ask_self:
                outcome = await self._query_run(query)
                continue
            try:
                outcome = await self._ask_owner(claim, query)
            except MastichatchError as error:
                unanswered += 1
                if unanswered >= MAX_UNANSWERED_QUERIES:
                    return unknown_outcome(
                        f'its owner does not answer: {error}'
                    )
            else:
                unanswered = 0
        return outcome

    async def _ask_owner(
        self,
        claim: Claim,
        query: OutcomeQuery,
    ) -> CallOutcome:
        return await self._peers.ask(
            claim.peer_address,
            MessageKind.outcome_query,
            query,
            CallOutcome,
            timeout_ms=query.wait_ms + ANSWER_GRACE_S * MS_PER_S,
            recipient=claim.incarnation,
        )

    async def _on_query(
        self,
        query: OutcomeQuery,
        _envelope: Envelope,
    ) -> Reply:
        outcome = await self._query_run(query)
        return Reply(kind=MessageKind.call_outcome, message=outcome)

    async def _query_run(self, query: OutcomeQuery) -> CallOutcome:
        """Return the outcome of this node's attempt, waiting for its end."""
        run = self._runs.by_attempt(query.attempt)
        if run is None or run.digest != query.body_digest:
            return unknown_outcome('its owner does not know it')
        try:
            async with asyncio.timeout(query.wait_ms / MS_PER_S):
                await self._runs.join(run)
        except TimeoutError:
            return unknown_outcome('it is in progress', ErrorKind.in_progress)
        # The claim is about this attempt only, not about the run's outcome,
        # which may come from another attempt.
        return run.attempt.close(ErrorKind.cancelled)

    def _new_claim(self, run: Run) -> Claim:
        return Claim(
            incarnation=self._peers.incarnation,
            attempt=run.attempt.attempt_id,
            body_digest=run.digest,
            peer_address=self._peers.address,
        )

    def _log_step(
        self,
        call: PlainCall,
        run: Run,
        step: ClaimStep,
        found: FoundClaim | None,
    ) -> None:
        owner = f' of {found.claim.attempt}' if found else ''
        self._log.note(
            'claim_read',
            call.request_id,
            choice=str(step),
            reason=f'{run.name}{owner}',
        )


def claim_retention_s(call: PlainCall) -> float:
    """Return how long the outcome of a claimed call is kept, in seconds.

    :param call: the call
    """
    return lease_ttl_s(call.retention_s)


def _build_query(claim: Claim, wait_s: float) -> OutcomeQuery:
    return OutcomeQuery(
        attempt=claim.attempt,
        body_digest=claim.body_digest,
        wait_ms=wait_s * MS_PER_S,
    )
