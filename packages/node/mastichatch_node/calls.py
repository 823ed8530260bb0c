"""Validates calls of plain services, runs them and returns their outcomes."""

import asyncio
import contextlib
import dataclasses
import itertools
from collections.abc import AsyncIterator
from typing import Final

import msgspec

from mastichatch_core.attempts import (
    Attempt,
    outcome_from_error,
    require_answer,
)
from mastichatch_core.claims import body_digest, claim_key
from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.manifest import Operation
from mastichatch_core.generated.messages import (
    CallOutcome,
    Envelope,
    ErrorKind,
    ForwardCall,
    MessageKind,
)
from mastichatch_core.generated.settings import Settings
from mastichatch_core.outcomes import OutcomeRetention
from mastichatch_core.tickets import is_ticket
from mastichatch_core.units import MS_PER_S
from mastichatch_node.claim_store import ClaimStore
from mastichatch_node.clock import loop_time
from mastichatch_node.configuration import Configuration
from mastichatch_node.decisions import DecisionLog
from mastichatch_node.keyed_calls import KeyedCalls, claim_retention_s
from mastichatch_node.membership import Membership
from mastichatch_node.metrics import Metrics
from mastichatch_node.outcomes import Run, Runs, Work
from mastichatch_node.peers import Peers, Reply
from mastichatch_node.permits import Permits
from mastichatch_node.plain_client import SendPlain, open_plain_client
from mastichatch_node.platform import Platform
from mastichatch_node.attempt_runner import (
    MAX_PERMIT_REQUESTS,
    AttemptRunner,
    PlainCall,
    ExecutionRight,
    AttemptHistory,
    find_operation,
)
from mastichatch_node.routing import DataCentreRouter
from mastichatch_node.ticket_calls import TicketCalls, ticket_retention_s

KEY_LIMIT_CHARACTERS: Final = 512
FLUSH_TIMEOUT_S: Final = 10.0


class Calls:
    """Handle calls of plain services from callers and from other nodes."""

    def __init__(
        self,
        settings: Settings,
        configuration: Configuration,
        runner: AttemptRunner,
        runs: Runs,
        tickets: TicketCalls,
        keyed: KeyedCalls,
        incarnation: str,
    ) -> None:
        """Keep the dependencies; use ``open_calls`` to create an instance."""
        self._settings = settings
        self._configuration = configuration
        self._runner = runner
        self._runs = runs
        self._tickets = tickets
        self._keyed = keyed
        self._incarnation = incarnation
        self._attempt_numbers = itertools.count(1)

    @property
    def pending(self) -> int:
        """Number of calls in progress, which a planned stop waits for."""
        return self._runs.pending

    async def call(
        self,
        request_id: str,
        workspace: str,
        service: str,
        operation: str,
        key: str,
        body: bytes,
    ) -> CallOutcome:
        """Run a call and return the endpoint's response.

        :param request_id: id of the caller's request
        :param workspace: workspace of the caller
        :param service: service that is called
        :param operation: operation that is called
        :param key: idempotency key or ticket; may be empty for an idempotent
            operation
        :param body: JSON body
        :returns: an outcome with a status and a body
        :raises MastichatchError: if there is no response; its ``ran`` tells
            whether any call with this key has run
        """
        call = self._validate_call(
            request_id, workspace, service, operation, body
        )
        if call.operation.idempotent:
            return require_answer(await self._run_idempotent(call))
        _check_key(key)
        if is_ticket(key):
            return require_answer(await self._run_ticket(call, key))
        return require_answer(await self._run_keyed(call, key))

    async def mint_tickets(
        self,
        workspace: str,
        service: str,
        operation: str,
        count: int,
    ) -> tuple[str, ...]:
        """Return new tickets, which only this incarnation may run.

        :param workspace: workspace that may use them
        :param service: service that they call
        :param operation: operation that they call
        :param count: number of tickets
        :raises MastichatchError: if the manifest does not allow the call
        """
        find_operation(self._configuration, workspace, service, operation)
        return self._tickets.mint(workspace, service, operation, count)

    async def on_forward(
        self,
        message: ForwardCall,
        _envelope: Envelope,
    ) -> Reply:
        """Run a call with a ticket of this node, forwarded by another node.

        :param message: the forwarded call
        """
        try:
            outcome = await self._run_forwarded(message)
        except MastichatchError as error:
            outcome = outcome_from_error(error)
        return Reply(kind=MessageKind.call_outcome, message=outcome)

    async def _run_forwarded(self, message: ForwardCall) -> CallOutcome:
        call = self._validate_call(
            message.request_id,
            message.workspace,
            message.service,
            message.operation,
            message.body,
        )
        deadline = loop_time() + message.deadline_ms / MS_PER_S
        call = dataclasses.replace(
            call,
            deadline=min(call.deadline, deadline),
        )
        if not self._tickets.is_own(self._tickets.read(message.key, call)):
            raise MastichatchError(ErrorKind.outcome_unknown)
        return await self._run_ticket(call, message.key)

    def _validate_call(
        self,
        request_id: str,
        workspace: str,
        service: str,
        operation: str,
        body: bytes,
    ) -> PlainCall:
        catalogue, found = find_operation(
            self._configuration,
            workspace,
            service,
            operation,
        )
        if len(body) > self._settings.body_limit_bytes:
            raise MastichatchError(ErrorKind.body_too_large)
        _check_json(body)
        declared = catalogue.service(service)
        return PlainCall(
            request_id=request_id,
            workspace=workspace,
            service=declared,
            operation=found,
            body=body,
            deadline=loop_time() + declared.queue_deadline_ms / MS_PER_S,
        )

    async def _run_keyed(self, call: PlainCall, key: str) -> CallOutcome:
        name = claim_key(
            call.workspace,
            call.service.name,
            call.operation.name,
            key,
        )
        existing = self._existing_run(call, name)
        if existing is not None:
            outcome = await self._runs.join(existing)
            return await self._keyed.confirm(call, existing, outcome)
        run = self._start(
            call,
            name,
            claim_retention_s(call),
            lambda started: self._keyed.run(call, started),
        )
        return await self._runs.join(run)

    async def _run_ticket(self, call: PlainCall, text: str) -> CallOutcome:
        ticket = self._tickets.read(text, call)
        if not self._tickets.is_own(ticket):
            return await self._tickets.forward(call, text, ticket)
        run = self._existing_run(call, text)
        if run is None:
            self._tickets.check_new(ticket, call)
            run = self._start(
                call,
                text,
                ticket_retention_s(ticket, call),
                lambda started: self._tickets.run(call, started),
            )
        return await self._runs.join(run)

    def _existing_run(self, call: PlainCall, name: str) -> Run | None:
        run = self._runs.by_name(name)
        if run is not None and run.digest != _digest(call):
            raise MastichatchError(ErrorKind.key_reused)
        return run

    def _start(
        self,
        call: PlainCall,
        name: str,
        retention_s: float,
        work: Work,
    ) -> Run:
        run = Run(
            name=name,
            digest=_digest(call),
            attempt=self._new_attempt(call.operation),
            outcome_retention_s=retention_s,
        )
        self._runs.start(run, work)
        return run

    async def _run_idempotent(self, call: PlainCall) -> CallOutcome:
        """Run an idempotent call, retrying within the retry budget."""
        self._runner.record_first_attempt(call.service)
        history = AttemptHistory()
        outcome = await self._try_idempotent(call, history)
        while _should_repeat(call, outcome, history):
            if not self._runner.withdraw_retry(call.service):
                break
            outcome = await self._try_idempotent(call, history)
        _check_answer_age(call)
        return outcome

    async def _try_idempotent(
        self,
        call: PlainCall,
        history: AttemptHistory,
    ) -> CallOutcome:
        attempt = self._new_attempt(call.operation)
        right = ExecutionRight(
            acquire=_always_granted, is_valid=lambda _now_s: True
        )
        try:
            outcome = await self._runner.run(call, attempt, right, history)
        finally:
            attempt.close(ErrorKind.cancelled)
        return outcome or attempt.close(ErrorKind.internal)

    def _new_attempt(self, operation: Operation) -> Attempt:
        number = next(self._attempt_numbers)
        return Attempt(
            f'{self._incarnation}/{number}',
            operation.not_run_statuses,
        )


@contextlib.asynccontextmanager
async def open_calls(  # noqa: WPS211 - takes the node's components
    settings: Settings,
    platform: Platform,
    peers: Peers,
    membership: Membership,
    configuration: Configuration,
    permits: Permits,
    decisions: DecisionLog,
    metrics: Metrics,
    send: SendPlain | None = None,
) -> AsyncIterator[Calls]:
    """Open the handler of plain calls.

    On exit, calls in progress are cancelled, and queued outcome records are
    written for at most ``FLUSH_TIMEOUT_S``.

    :param settings: settings of this node
    :param platform: client of the platform
    :param peers: connections to other nodes
    :param membership: live nodes
    :param configuration: current configuration
    :param permits: permits of this node
    :param decisions: decision log
    :param metrics: metrics of this node
    :param send: function that sends a call to an endpoint; by default, that of
        a new HTTP client
    """
    async with contextlib.AsyncExitStack() as stack:
        if send is None:
            send = await stack.enter_async_context(
                open_plain_client(settings.connect_timeout_ms),
            )
        runner = AttemptRunner(
            settings.name,
            permits,
            DataCentreRouter(
                permits, membership, configuration, decisions
            ).acquire,
            configuration,
            send,
            decisions,
            metrics,
        )
        runs = Runs(OutcomeRetention())
        claims = ClaimStore(platform, metrics)
        calls = Calls(
            settings,
            configuration,
            runner,
            runs,
            TicketCalls(settings, runs, runner, peers),
            KeyedCalls(claims, runs, runner, peers, decisions),
            peers.incarnation,
        )
        peers.on(MessageKind.forward_call, ForwardCall, calls.on_forward)
        async with _running_recorder(claims):
            try:
                yield calls
            finally:
                await runs.close()


@contextlib.asynccontextmanager
async def _running_recorder(claims: ClaimStore) -> AsyncIterator[None]:
    recorder = asyncio.get_running_loop().create_task(claims.run_recorder())
    try:
        yield
    finally:
        recorder.cancel()
        await _flush_records(claims, recorder)


async def _flush_records(
    claims: ClaimStore, recorder: asyncio.Task[None]
) -> None:
    # On cancellation the recorder puts the record in progress back in the
    # queue, so wait for it to end before flushing.
    await asyncio.gather(recorder, return_exceptions=True)
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(FLUSH_TIMEOUT_S):
            await claims.flush_concurrently()


_RETRYABLE_KINDS: Final = frozenset(
    (
        ErrorKind.endpoint_failed,
        ErrorKind.endpoint_refused,
        ErrorKind.outcome_unknown,
    )
)


def _check_key(key: str) -> None:
    if not key:
        raise MastichatchError(ErrorKind.key_missing)
    if len(key) > KEY_LIMIT_CHARACTERS or not key.isascii():
        raise MastichatchError(
            ErrorKind.bad_request,
            f'the key must be at most {KEY_LIMIT_CHARACTERS} ASCII characters',
        )


def _check_json(body: bytes) -> None:
    try:
        msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise MastichatchError(
            ErrorKind.bad_request,
            f'the body is not JSON: {error}',
        ) from error


def _digest(call: PlainCall) -> str:
    return body_digest(call.operation.name, call.body)


def _should_repeat(
    call: PlainCall,
    outcome: CallOutcome,
    history: AttemptHistory,
) -> bool:
    if history.permits >= MAX_PERMIT_REQUESTS or loop_time() > call.deadline:
        return False
    return outcome.error in _RETRYABLE_KINDS


def _check_answer_age(call: PlainCall) -> None:
    # If the process was paused, the response may be long out of date.
    if loop_time() > call.deadline + call.operation.timeout_ms / MS_PER_S:
        raise MastichatchError(
            ErrorKind.endpoint_failed,
            'the answer came after the deadline',
        )


async def _always_granted() -> bool:
    return True
