"""Relay non-streaming calls to endpoints."""

import asyncio
import contextlib
import dataclasses
import functools
import random
from collections.abc import AsyncIterator, Collection, Iterator
from typing import Final

from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.messages import ErrorKind
from mastichatch_core.relay.byte_budget import Purpose
from mastichatch_core.relay.store_cache import usable_endpoints
from mastichatch_core.relay.model import Endpoint, RequestKind
from mastichatch_core.relay.plain_choice import rank_endpoints, split_paused
from mastichatch_core.units import MS_PER_S
from mastichatch_node.clock import loop_time
from mastichatch_node.relay.endpoint_attempt import (
    FIRST_SERVER_ERROR,
    NOT_RUN_STATUSES,
    AttemptOutcome,
    AttemptResult,
    result_of_error,
    is_endpoint_failure,
    is_suspected,
    record_result,
    build_outgoing,
    read_answer_head,
    start_reply,
    unforeseen_as_failures,
)
from mastichatch_node.relay.engine_placement import (
    quarantine_error,
    refuse_if_all_paused,
)
from mastichatch_node.relay.limited_choice import refuse_if_all_limited
from mastichatch_node.relay.slot_choice import (
    choose_before_stop,
    refuse_if_no_slot,
    returned_slot,
)
from mastichatch_node.relay.http_client import (
    Connection,
    ExchangeError,
    pooled_connection,
    read_beginning,
)
from mastichatch_node.relay.http_server import ResponseWriter
from mastichatch_node.relay.context import Job, RelayContext
from mastichatch_node.relay.outcome_sharing import (
    judge_endpoints,
    record_outcome,
)
from mastichatch_node.relay.proxy_decision import (
    PassOnError,
    may_pass_on_unsent,
    must_pass_on,
)
from mastichatch_node.relay.turns import piece_cost_bytes

RESPONSE_LIMIT_BYTES: Final = 16 * 1024 * 1024
# A longer answer is passed on as it comes. A shorter one is complete before, so
# that a call may still be tried elsewhere.
PASS_ON_BYTES: Final = 65536
TOO_LARGE: Final = 'the answer is larger than allowed'
# An endpoint may close a connection that has been idle for longer. Reuse is
# worthwhile, since a new connection costs a round trip and 1 ms by the users'
# specification.
IDLE_LIMIT_S: Final = 1.0
# Most retries after endpoints that did not run the call, as each of them takes
# time.
MAX_UNEXECUTED_RETRIES: Final = 3
# The first attempt of an idempotent call times out after this share of the time
# until the deadline, so that a second endpoint can still respond.
FIRST_ATTEMPT_SHARE: Final = 0.5
# Number of servers that a call must have crashed to count as the cause.
MIN_REPEATED_CRASHES: Final = 2
# Suspicion of an endpoint from which on it gets no call that may run only once.
ONCE_SUSPICION: Final = 0.5
# With less time left, another attempt cannot complete before the deadline.
MIN_TIME_LEFT_MS: Final = 15.0


async def relay_call(
    context: RelayContext, job: Job, reply: ResponseWriter
) -> None:
    """Relay a call, and retry it at other endpoints where that is allowed.

    :param context: shared components of the node
    :param job: the call to relay
    :param reply: writer of the response
    :raises MastichatchError: if no endpoint responded
    """
    if not job.is_counted:
        context.retries.record_first_attempt()
    results: list[AttemptResult] = []
    tried: dict[str, Endpoint] = {}
    may_crash = _check_quarantine(context, job)
    is_final = False
    is_passed_on = False
    while not (is_final or is_passed_on):
        ranked = _rank_endpoints(context, job, tried)
        may_have_run = any(map(_may_have_run, results))
        choice = await choose_before_stop(
            context, job, ranked, may_have_run=may_have_run
        )
        if choice is None:
            if not may_have_run:
                refuse_if_all_paused(context, job)
                refuse_if_no_slot(context, job)
                refuse_if_all_limited(context, job, ranked)
            raise _create_error(results)
        endpoint = choice.endpoint
        tried[endpoint.instance] = endpoint
        with returned_slot(context, choice, results):
            results.append(
                await _attempt(context, job, reply, endpoint, len(results))
            )
        is_begun = reply.status > 0
        is_final = is_begun or may_crash or _is_final(context, job, results)
        is_passed_on = not is_begun and _may_pass_on(
            context, job, results, is_final
        )
    await _record_evidence(context, job, tuple(tried.values()), results)
    if is_passed_on:
        raise PassOnError(sum(map(_may_have_run, results)))
    await _send_response(context, job, reply, results)


def _may_pass_on(
    context: RelayContext,
    job: Job,
    results: list[AttemptResult],
    is_final: bool,  # noqa: FBT001
) -> bool:
    """Return whether another node may go on with a call.

    :param is_final: whether this node sends it to no other endpoint
    """
    if any(map(_may_have_run, results)):
        # The repetition is taken from the retry budget already.
        return not is_final and must_pass_on(context, job)
    return may_pass_on_unsent(context, job)


def _check_quarantine(context: RelayContext, job: Job) -> bool:
    """Refuse a call that would crash its server.

    :returns: whether it may crash one, so that it must not be sent on
    """
    crashes = context.crashes
    if crashes.evidence.is_empty:
        return False
    usable = usable_endpoints(context.belief, job.service.name, loop_time())
    opened = context.rollouts.split(job.service.name, usable)
    verdict = crashes.judge_fleet(job.parts, opened.proven)
    if verdict.refusal is not None:
        raise quarantine_error(verdict.refusal)
    return bool(verdict.suspects)


async def _record_evidence(
    context: RelayContext,
    job: Job,
    tried: tuple[Endpoint, ...],
    results: list[AttemptResult],
) -> None:
    """Record whether a call was answered, or crashed the servers it reached.

    Load pattern: a call that crashes each server is sent on to the next one,
    and again by each retry of its caller.
    """
    crashes = context.crashes
    if results[-1].fate is AttemptOutcome.answered:
        if not crashes.evidence.is_empty:
            crashes.record_answer(job.parts, tried[-1])
        return
    closed = [
        endpoint
        for endpoint, result in zip(tried, results, strict=True)
        if result.fate is AttemptOutcome.unknown
        and result.is_closed_by_peer
        # A version on trial may crash by itself.
        and not context.rollouts.is_on_trial(endpoint)
    ]
    is_repeated = len(closed) >= MIN_REPEATED_CRASHES
    is_trial = bool(closed) and is_suspected(context, job, closed[-1])
    if is_repeated or is_trial:
        await crashes.report_repeated_crash(job.parts, job.request_id, closed)


def _rank_endpoints(
    context: RelayContext, job: Job, tried: Collection[str]
) -> tuple[Endpoint, ...]:
    """Return the endpoints that a call may be sent to, the best one first."""
    now = loop_time()
    service = job.service.name
    usable, _ = split_paused(
        usable_endpoints(context.belief, service, now), context.records, now
    )
    opened = context.rollouts.split(
        service,
        tuple(one for one in usable if one.instance not in tried),
        lambda one: context.records.accepts(one.instance, now),
    )
    candidates = opened.free
    # A call that is tried again goes to a proven version, if there is one.
    context.turns.request_beside(opened.trial)
    trial = tuple(filter(context.turns.accepts, opened.trial))
    if trial and not (tried and opened.free):
        if context.rollouts.try_expose(service):
            candidates = trial
    ranked = rank_endpoints(
        candidates,
        context.records,
        context.data_centre,
        now,
        context.remotes.call_ms,
        judge_endpoints(context, usable),
        _draw_trial(job, is_first=not tried),
    )
    if ranked and not tried:
        context.rollouts.record_request(service)
    return ranked


def _draw_trial(job: Job, *, is_first: bool) -> float:
    """Return the suspicion up to which an endpoint is tried with a call.

    Calls that may run again show whether it has recovered. Other calls go
    there only if little is held against it.
    """
    if not is_first:
        return 0
    draw = random.random()  # noqa: S311
    if job.route.kind is RequestKind.idempotent and job.route.attempts > 1:
        return draw
    return draw * ONCE_SUSPICION


async def _attempt(
    context: RelayContext,
    job: Job,
    reply: ResponseWriter,
    endpoint: Endpoint,
    number: int,
) -> AttemptResult:
    """Send a call to one endpoint, and record the result."""
    started_at = loop_time()
    left_s = job.ends_at - started_at
    may_repeat = job.route.kind is RequestKind.idempotent
    is_first = not number and not job.earlier_attempts
    if may_repeat and job.route.attempts > 1 and is_first:
        left_s *= FIRST_ATTEMPT_SHARE
    sent = False
    try:
        with (
            _counted_as_running(context, endpoint),
            context.rollouts.observer.waiting(job.route.name, endpoint),
        ):
            async with asyncio.timeout(left_s) as limit:
                with unforeseen_as_failures(job, endpoint, was_sent=False):
                    outgoing = build_outgoing(context, job, endpoint)
                async with pooled_connection(
                    context.pool, endpoint.address, IDLE_LIMIT_S, outgoing
                ) as connection:
                    sent = True
                    with unforeseen_as_failures(job, endpoint, was_sent=True):
                        await connection.send(outgoing)
                    result = await _read_result(
                        context,
                        job,
                        connection,
                        _Attempt(endpoint, reply, limit),
                    )
    except TimeoutError:
        outcome = AttemptOutcome.unknown if sent else AttemptOutcome.not_sent
        result = AttemptResult(
            fate=outcome, reason='no answer in time', is_timed_out=sent
        )
    except ExchangeError as error:
        result = result_of_error(error)
    record_result(context, endpoint, result, started_at)
    record_outcome(context, endpoint, result, started_at)
    _record_for_rollout(context, job, endpoint, result, started_at)
    context.telemetry.log_decision(
        'call_attempted',
        job.request_id,
        endpoint=endpoint.instance,
        route=job.route.name,
        fate=result.fate,
        status=result.status,
        reason=result.reason,
        closed_by_peer=result.is_closed_by_peer,
        repeated_on_connection=result.is_repeat,
        left_ms=round(job.left_ms()),
    )
    return result


def _record_for_rollout(
    context: RelayContext,
    job: Job,
    endpoint: Endpoint,
    result: AttemptResult,
    started_at: float,
) -> None:
    """Record what the result of an attempt tells about its version.

    That an endpoint refused, or could not be reached, tells nothing.
    """
    if context.rollouts.find(endpoint.service) is None:
        return
    if result.fate is AttemptOutcome.not_sent:
        context.rollouts.return_exposure(endpoint)
        return
    is_failed = is_endpoint_failure(result)
    is_counted = (
        is_failed
        or result.is_timed_out
        or result.fate is AttemptOutcome.answered
    )
    if is_counted and not is_suspected(context, job, endpoint):
        record = functools.partial(
            context.rollouts.observer.record,
            job.route.name,
            endpoint,
            started_at,
            is_failed=is_failed,
            duration_ms=(loop_time() - started_at) * MS_PER_S,
        )
        if result.is_timed_out or result.is_closed_by_peer:
            context.isolation.contact.call_when_reached(record)
        else:
            record()


@dataclasses.dataclass(frozen=True, slots=True)
class _Attempt:
    """An attempt whose answer is passed on if it is long.

    :param endpoint: endpoint of the attempt
    :param reply: answer to the caller
    :param limit: time limit of the attempt
    """

    endpoint: Endpoint
    reply: ResponseWriter
    limit: asyncio.Timeout


async def _read_result(
    context: RelayContext, job: Job, connection: Connection, attempt: _Attempt
) -> AttemptResult:
    """Read the answer to a call, and pass a long one on as it comes."""
    with connection.hold(Purpose.answer) as held:
        with unforeseen_as_failures(job, attempt.endpoint, was_sent=True):
            head = await read_answer_head(context, job, connection)
            refused = context.dialect.proves_not_run(head)
            outcome = AttemptOutcome.answered
            if refused:
                outcome = AttemptOutcome.refused
            result = AttemptResult(
                fate=outcome, head=head, is_repeat=connection.sent.is_repeat
            )
            may_pass_on = not (
                refused
                or _is_server_error(result)
                or head.status in NOT_RUN_STATUSES
            )
            body, is_complete = await read_beginning(
                connection,
                PASS_ON_BYTES if may_pass_on else RESPONSE_LIMIT_BYTES,
                held,
            )
        if is_complete:
            return dataclasses.replace(result, body=body)
        if not may_pass_on:
            raise ExchangeError(TOO_LARGE, was_sent=True)
        # From here on the endpoint and the caller have limits of their own.
        attempt.limit.reschedule(None)
        async with _caller_time(job):
            await start_reply(context, job, attempt.reply, head)
        await _pass_on(job, connection, attempt, body)
    return result


async def _pass_on(
    job: Job, connection: Connection, attempt: _Attempt, body: bytes
) -> None:
    """Pass an answer on to the caller as it comes.

    :param body: its beginning
    :raises ExchangeError: if it is truncated or too large
    :raises TimeoutError: if the endpoint does not send it in time
    """
    size = len(body)
    part: bytes | None = body
    while part is not None:
        async with _caller_time(job):
            await attempt.reply.write(part)
        with unforeseen_as_failures(job, attempt.endpoint, was_sent=True):
            async with asyncio.timeout_at(job.ends_at):
                part = await connection.read_part()
        size += piece_cost_bytes(part or b'')
        if size > RESPONSE_LIMIT_BYTES:
            raise ExchangeError(TOO_LARGE, was_sent=True)
    async with _caller_time(job):
        await attempt.reply.finish()


@contextlib.asynccontextmanager
async def _caller_time(job: Job) -> AsyncIterator[None]:
    """Bound the time in which a caller reads; its endpoint is not to blame."""
    try:
        async with asyncio.timeout_at(job.ends_at):
            yield
    except TimeoutError:
        raise ConnectionResetError('the caller does not read') from None


@contextlib.contextmanager
def _counted_as_running(
    context: RelayContext, endpoint: Endpoint
) -> Iterator[None]:
    record = context.records.get(endpoint.instance)
    record.running += 1
    try:
        yield
    finally:
        record.running -= 1


def _is_final(
    context: RelayContext, job: Job, results: list[AttemptResult]
) -> bool:
    """Return whether the last result is final, so that no retry follows."""
    result = results[-1]
    if job.left_ms() < MIN_TIME_LEFT_MS:
        return True
    if result.fate is AttemptOutcome.not_sent:
        return len(results) > MAX_UNEXECUTED_RETRIES
    if result.fate is AttemptOutcome.refused:
        return (
            len(results) > MAX_UNEXECUTED_RETRIES
            or not context.retries.try_spend()
        )
    if result.fate is AttemptOutcome.answered and not _is_server_error(result):
        return True
    if job.route.kind is not RequestKind.idempotent:
        return True
    ran = sum(map(_may_have_run, results)) + job.earlier_attempts
    return ran >= job.route.attempts or not context.retries.try_spend()


def _may_have_run(result: AttemptResult) -> bool:
    return result.fate in {AttemptOutcome.answered, AttemptOutcome.unknown}


def _is_server_error(result: AttemptResult) -> bool:
    return result.head is not None and result.head.status >= FIRST_SERVER_ERROR


async def _send_response(
    context: RelayContext,
    job: Job,
    reply: ResponseWriter,
    results: list[AttemptResult],
) -> None:
    answers = [one for one in results if one.fate is AttemptOutcome.answered]
    if answers and reply.status:
        return
    if not any(map(_may_have_run, results)):
        refuse_if_no_slot(context, job)
    if not answers or answers[-1].head is None:
        raise _create_error(results)
    head = answers[-1].head
    if head.status in NOT_RUN_STATUSES:
        # Callers take this status as proof that the call was not executed, but
        # the endpoint gave no such proof.
        raise MastichatchError(ErrorKind.endpoint_failed)
    context.telemetry.observe_first_byte(job.route.kind, job.request.arrived_at)
    headers = context.dialect.response_headers(head.headers)
    await reply.send(head.status, headers, answers[-1].body)


def _create_error(results: list[AttemptResult]) -> MastichatchError:
    """Return the error for a call without a usable response."""
    reason = results[-1].reason if results else 'no endpoint is in use'
    if any(one.fate is AttemptOutcome.answered for one in results):
        return MastichatchError(ErrorKind.endpoint_failed, reason)
    if any(one.fate is AttemptOutcome.unknown for one in results):
        return MastichatchError(ErrorKind.outcome_unknown, reason)
    if any(one.fate is AttemptOutcome.refused for one in results):
        return MastichatchError(ErrorKind.endpoint_refused, reason)
    if results:
        return MastichatchError(ErrorKind.endpoint_unreachable, reason)
    return MastichatchError(ErrorKind.no_endpoint, reason)
