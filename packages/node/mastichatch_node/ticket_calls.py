"""Mints tickets, runs those of this incarnation and forwards all others."""

import asyncio
import itertools
from typing import Final

from mastichatch_core.attempts import unknown_outcome
from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.messages import (
    CallOutcome,
    ErrorKind,
    ForwardCall,
    MessageKind,
    OutcomeQuery,
)
from mastichatch_core.generated.settings import Settings
from mastichatch_core.tickets import (
    Ticket,
    check_ticket_scope,
    read_ticket,
    sign_ticket,
)
from mastichatch_core.units import MS_PER_S
from mastichatch_node.clock import loop_time
from mastichatch_node.keyed_calls import (
    ANSWER_GRACE_S,
    QUERY_WAIT_S,
    MAX_UNANSWERED_QUERIES,
)
from mastichatch_node.outcomes import Run, Runs
from mastichatch_node.peers import Peers
from mastichatch_node.attempt_runner import (
    AttemptRunner,
    PlainCall,
    ExecutionRight,
    AttemptHistory,
)

MAX_TICKETS: Final = 1000


class TicketCalls:
    """Mint tickets, and run or forward calls that carry one."""

    def __init__(
        self,
        settings: Settings,
        runs: Runs,
        runner: AttemptRunner,
        peers: Peers,
    ) -> None:
        """Start with no minted ticket."""
        self._settings = settings
        self._runs = runs
        self._runner = runner
        self._peers = peers
        self._counter = itertools.count(1)

    def mint(
        self,
        workspace: str,
        service: str,
        operation: str,
        count: int,
    ) -> tuple[str, ...]:
        """Mint tickets for calls of an operation.

        :param workspace: workspace that may use them
        :param service: service that they call
        :param operation: operation that they call
        :param count: number of tickets, from 1 to ``MAX_TICKETS``
        :raises MastichatchError: with ``bad_request`` if the count is out of
            range
        """
        if not 1 <= count <= MAX_TICKETS:
            raise MastichatchError(
                ErrorKind.bad_request,
                f'the count must be from 1 to {MAX_TICKETS}',
            )
        lifetime_s = self._settings.ticket_lifetime_ms / MS_PER_S
        return tuple(
            sign_ticket(
                Ticket(
                    incarnation=self._peers.incarnation,
                    peer_address=self._peers.address,
                    counter=next(self._counter),
                    expires_at=loop_time() + lifetime_s,
                    workspace=workspace,
                    service=service,
                    operation=operation,
                ),
                self._settings.ticket_secret,
            )
            for _ in range(count)
        )

    def read(self, text: str, call: PlainCall) -> Ticket:
        """Decode a ticket and check that it was minted for a call.

        :param text: the ticket as the caller sent it
        :param call: the call that it is used for
        :raises MastichatchError: with ``ticket_invalid`` if it is malformed or
            was minted for another call
        """
        ticket = read_ticket(text, self._settings.ticket_secret)
        check_ticket_scope(
            ticket,
            call.workspace,
            call.service.name,
            call.operation.name,
        )
        return ticket

    def is_own(self, ticket: Ticket) -> bool:
        """Return whether this incarnation may run a ticket.

        :param ticket: the ticket
        """
        return ticket.incarnation == self._peers.incarnation

    def check_new(self, ticket: Ticket, call: PlainCall) -> None:
        """Check that a ticket of this node without a run may start one.

        :param ticket: a ticket of this incarnation
        :param call: the call that it is used for
        :raises MastichatchError: if the ticket has expired, or the outcome of
            another call could not be kept
        """
        now = loop_time()
        if now >= ticket.expires_at + call.retention_s:
            raise MastichatchError(
                ErrorKind.outcome_unknown,
                'the ticket expired, and its outcome is kept no longer',
            )
        if now >= ticket.expires_at:
            raise MastichatchError(ErrorKind.ticket_expired)
        if not self._runs.has_room:
            raise MastichatchError(ErrorKind.queue_full)

    async def run(self, call: PlainCall, run: Run) -> CallOutcome:
        """Run a call with a ticket of this incarnation.

        :param call: the call
        :param run: this node's run of the call
        """
        run.is_key_known = True
        self._runner.record_first_attempt(call.service)
        outcome = await self._runner.run(
            call,
            run.attempt,
            _unconditional_right(),
            AttemptHistory(),
        )
        return outcome or run.attempt.close(ErrorKind.internal)

    async def forward(
        self,
        call: PlainCall,
        text: str,
        ticket: Ticket,
    ) -> CallOutcome:
        """Forward a call to the incarnation that minted its ticket.

        The outcome is unknown if that incarnation does not answer.

        :param call: the call
        :param text: the ticket as the caller sent it
        :param ticket: the decoded ticket
        """
        request_task = asyncio.get_running_loop().create_task(
            self._send_to_owner(call, text, ticket),
        )
        try:
            if await self._is_answering_until_done(ticket, request_task):
                return await request_task
        except MastichatchError as error:
            return _unknown_outcome(str(error))
        finally:
            request_task.cancel()
        return _unknown_outcome('it is silent')

    async def _send_to_owner(
        self,
        call: PlainCall,
        text: str,
        ticket: Ticket,
    ) -> CallOutcome:
        wait_ms = max(0, call.deadline - loop_time()) * MS_PER_S
        message = ForwardCall(
            request_id=call.request_id,
            service=call.service.name,
            operation=call.operation.name,
            workspace=call.workspace,
            key=text,
            body=call.body,
            deadline_ms=wait_ms,
        )
        wait_ms += call.operation.timeout_ms + ANSWER_GRACE_S * MS_PER_S
        return await self._peers.ask(
            ticket.peer_address,
            MessageKind.forward_call,
            message,
            CallOutcome,
            timeout_ms=wait_ms,
            recipient=ticket.incarnation,
        )

    async def _is_answering_until_done(
        self,
        ticket: Ticket,
        request_task: asyncio.Task[CallOutcome],
    ) -> bool:
        """Return whether the owner keeps answering until the call is done.

        The owner is probed every ``QUERY_WAIT_S`` with an empty query, so that
        a failed owner is detected before the call's own time-out.
        """
        unanswered = 0
        while unanswered < MAX_UNANSWERED_QUERIES:
            done, _ = await asyncio.wait({request_task}, timeout=QUERY_WAIT_S)
            if done:
                return True
            try:
                await self._check_alive(ticket)
            except MastichatchError:
                unanswered += 1
            else:
                unanswered = 0
        return False

    async def _check_alive(self, ticket: Ticket) -> None:
        await self._peers.ask(
            ticket.peer_address,
            MessageKind.outcome_query,
            OutcomeQuery(attempt='', body_digest=''),
            CallOutcome,
            timeout_ms=ANSWER_GRACE_S * MS_PER_S,
            recipient=ticket.incarnation,
        )


def ticket_retention_s(ticket: Ticket, call: PlainCall) -> float:
    """Return how long the outcome of a ticket is kept, in seconds.

    :param ticket: the ticket
    :param call: the call that it is used for
    """
    unexpired_s = max(0, ticket.expires_at - loop_time())
    return unexpired_s + call.retention_s + _longest_run_s(call)


def _unknown_outcome(reason: str) -> CallOutcome:
    return unknown_outcome(
        f'the node of the ticket does not answer: {reason}',
    )


def _longest_run_s(call: PlainCall) -> float:
    timeouts_ms = call.service.queue_deadline_ms + call.operation.timeout_ms
    return timeouts_ms / MS_PER_S


def _unconditional_right() -> ExecutionRight:
    async def acquire() -> bool:
        return True

    def is_valid(_now_s: float) -> bool:
        return True

    return ExecutionRight(acquire=acquire, is_valid=is_valid)
