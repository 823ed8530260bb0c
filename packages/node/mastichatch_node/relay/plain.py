"""Relays calls of plain services."""

import asyncio
import contextlib
from collections.abc import Iterator
from typing import Final

from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.messages import ErrorKind
from mastichatch_core.relay.store_cache import usable_endpoints
from mastichatch_core.relay.model import Endpoint, RequestKind
from mastichatch_core.relay.plain_choice import rank_endpoints
from mastichatch_node.clock import loop_time
from mastichatch_node.relay.endpoint_attempt import (
    FIRST_SERVER_ERROR,
    NOT_RUN_STATUSES,
    AttemptOutcome,
    AttemptResult,
    outcome_of_error,
    record_result,
    build_outgoing,
    read_answer_head,
)
from mastichatch_node.relay.exchange import ExchangeError, borrow
from mastichatch_node.relay.front import Reply
from mastichatch_node.relay.context import Job, RelayContext

ANSWER_LIMIT_BYTES: Final = 16 * 1024 * 1024
# An endpoint may drop a connection that was idle; one used just now is
# sound, and a new one costs a round trip and 1 ms by the users' sheets.
IDLE_LIMIT_S: Final = 1.0
# Endpoints that refuse without running a call; each further one costs time.
SEND_LIMIT: Final = 3
# An idempotent call is given up at one endpoint after this share of the time
# left, so that another can still answer.
FIRST_ATTEMPT_SHARE: Final = 0.5
# Below this time left, a further attempt cannot be answered in time.
LEAST_LEFT_MS: Final = 15.0


async def relay_call(tools: RelayContext, job: Job, reply: Reply) -> None:
    """Relay a call, at another endpoint where that is allowed.

    :param tools: what the relay works with
    :param job: the call
    :param reply: its answer
    :raises MastichatchError: if no endpoint answered it
    """
    tools.retries.record_first_attempt()
    tried: list[AttemptResult] = []
    used: set[str] = set()
    while True:
        endpoint = _next_endpoint(tools, job, used)
        if endpoint is None:
            raise _failure(tried)
        used.add(endpoint.instance)
        result = await _attempt(tools, job, endpoint, len(tried))
        tried.append(result)
        if _is_final(tools, job, tried):
            break
    await _answer(tools, job, reply, tried)


def _next_endpoint(
    tools: RelayContext, job: Job, used: set[str]
) -> Endpoint | None:
    now = loop_time()
    usable = usable_endpoints(tools.belief, job.service.name, now)
    unused = (one for one in usable if one.instance not in used)
    ranked = rank_endpoints(unused, tools.records, tools.data_centre, now)
    return ranked[0] if ranked else None


async def _attempt(
    tools: RelayContext, job: Job, endpoint: Endpoint, number: int
) -> AttemptResult:
    """Send a call to an endpoint once."""
    started_at = loop_time()
    left_s = job.ends_at - started_at
    may_repeat = job.route.kind is RequestKind.idempotent
    if may_repeat and job.route.attempts > 1 and not number:
        left_s *= FIRST_ATTEMPT_SHARE
    sent = False
    try:
        with _running(tools, endpoint):
            async with asyncio.timeout(left_s):
                async with borrow(
                    tools.pool, endpoint.address, IDLE_LIMIT_S
                ) as connection:
                    sent = True
                    await connection.send(build_outgoing(tools, job, endpoint))
                    head = await read_answer_head(tools, job, connection)
                    body = await connection.read_body(ANSWER_LIMIT_BYTES)
    except TimeoutError:
        fate = AttemptOutcome.unknown if sent else AttemptOutcome.not_sent
        result = AttemptResult(fate=fate, reason='no answer in time')
    except ExchangeError as error:
        result = AttemptResult(fate=outcome_of_error(error), reason=str(error))
    else:
        refused = tools.dialect.proves_not_run(head)
        fate = AttemptOutcome.refused if refused else AttemptOutcome.answered
        result = AttemptResult(fate=fate, head=head, body=body)
    record_result(tools, endpoint, result, started_at)
    tools.telemetry.decide(
        'call_attempted',
        job.request_id,
        endpoint=endpoint.instance,
        route=job.route.name,
        fate=result.fate,
        status=result.head.status if result.head else 0,
        reason=result.reason,
        left_ms=round(job.left_ms()),
    )
    return result


@contextlib.contextmanager
def _running(tools: RelayContext, endpoint: Endpoint) -> Iterator[None]:
    record = tools.records.get(endpoint.instance)
    record.running += 1
    try:
        yield
    finally:
        record.running -= 1


def _is_final(
    tools: RelayContext, job: Job, tried: list[AttemptResult]
) -> bool:
    """Return whether the last result decides the answer."""
    result = tried[-1]
    if job.left_ms() < LEAST_LEFT_MS:
        return True
    if result.fate is AttemptOutcome.not_sent:
        return len(tried) > SEND_LIMIT
    if result.fate is AttemptOutcome.refused:
        return len(tried) > SEND_LIMIT or not tools.retries.try_spend()
    if result.fate is AttemptOutcome.answered and not _has_failed(result):
        return True
    if job.route.kind is not RequestKind.idempotent:
        return True
    ran = sum(
        one.fate in {AttemptOutcome.answered, AttemptOutcome.unknown}
        for one in tried
    )
    return ran >= job.route.attempts or not tools.retries.try_spend()


def _has_failed(result: AttemptResult) -> bool:
    return result.head is not None and result.head.status >= FIRST_SERVER_ERROR


async def _answer(
    tools: RelayContext, job: Job, reply: Reply, tried: list[AttemptResult]
) -> None:
    answers = [one for one in tried if one.fate is AttemptOutcome.answered]
    if not answers or answers[-1].head is None:
        raise _failure(tried)
    head = answers[-1].head
    if head.status in NOT_RUN_STATUSES:
        # Without proof this status would promise that nothing ran.
        raise MastichatchError(ErrorKind.endpoint_failed)
    tools.telemetry.note_first_byte(job.route.kind, job.request.arrived_at)
    headers = tools.dialect.answer_headers(head.headers)
    await reply.send(head.status, headers, answers[-1].body)


def _failure(tried: list[AttemptResult]) -> MastichatchError:
    """Return the failure of a call that no endpoint answered."""
    reason = tried[-1].reason if tried else 'no endpoint is in use'
    if any(one.fate is AttemptOutcome.answered for one in tried):
        return MastichatchError(ErrorKind.endpoint_failed, reason)
    if any(one.fate is AttemptOutcome.unknown for one in tried):
        return MastichatchError(ErrorKind.outcome_unknown, reason)
    if any(one.fate is AttemptOutcome.refused for one in tried):
        return MastichatchError(ErrorKind.endpoint_refused, reason)
    if tried:
        return MastichatchError(ErrorKind.endpoint_unreachable, reason)
    return MastichatchError(ErrorKind.no_endpoint, reason)
