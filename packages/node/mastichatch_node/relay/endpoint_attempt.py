"""Builds an attempt of a request at an endpoint, and records its result."""

import contextlib
import dataclasses
from collections.abc import Iterator
from enum import StrEnum
from typing import Final

from absl import logging

from mastichatch_core.relay.admission.urgency import engine_urgency
from mastichatch_core.relay.load_control import is_controlled
from mastichatch_core.relay.model import Endpoint, RequestKind
from mastichatch_core.units import MS_PER_S
from mastichatch_node.clock import loop_time
from mastichatch_node.relay.dialect import ForwardingContext, Resumption
from mastichatch_node.relay.http_client import (
    Connection,
    ExchangeError,
    ResponseHead,
    OutgoingRequest,
)
from mastichatch_node.relay.http_server import ResponseWriter
from mastichatch_node.relay.context import Job, RelayContext

FIRST_SERVER_ERROR: Final = 500
# These statuses assure callers that the request did not run. An endpoint's own
# answer with one of them does not prove that, so it is not forwarded.
NOT_RUN_STATUSES: Final = frozenset((408, 421, 429, 503))


class AttemptOutcome(StrEnum):
    """Outcome of an attempt, as far as it is known.

    ``unknown`` means that the request was sent and may have run.
    """

    answered = 'answered'
    not_sent = 'not_sent'
    refused = 'refused'
    unknown = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AttemptResult:
    """Result of an attempt.

    :param fate: outcome of the attempt
    :param head: status and headers of the answer, if one was received
    :param body: complete body of the answer
    :param reason: description of a failure, for logs and errors
    :param is_connection_refused: whether the endpoint's host refused the
        connection
    :param is_closed_by_peer: whether the endpoint closed or reset the
        connection before the end of its answer
    :param is_malformed: whether the endpoint sent bytes that are no answer to
        the request
    :param is_timed_out: whether the answer did not arrive in time
    :param is_repeat: whether the request was sent on the same connection before
    """

    fate: AttemptOutcome
    head: ResponseHead | None = None
    body: bytes = b''
    reason: str = ''
    is_connection_refused: bool = False
    is_closed_by_peer: bool = False
    is_malformed: bool = False
    is_timed_out: bool = False
    is_repeat: bool = False

    @property
    def status(self) -> int:
        """HTTP status of the answer; zero without one."""
        return 0 if self.head is None else self.head.status


def build_outgoing(
    context: RelayContext,
    job: Job,
    endpoint: Endpoint,
    *,
    copy_address: str = '',
    resumption: Resumption | None = None,
) -> OutgoingRequest:
    """Return the request to send to an endpoint.

    :param context: shared components of the relay
    :param job: the request
    :param endpoint: the only endpoint that may run it
    :param copy_address: address of the engine that keeps a copy of the run's
        KV cache; empty for no copy
    :param resumption: starting point of an interrupted run
    """
    forwarding = ForwardingContext(
        endpoint=endpoint,
        timeout_ms=job.left_ms(),
        workspace=job.workspace_name,
        copy_address=copy_address,
        resumption=resumption,
        urgency=_urgency(context, job),
    )
    return OutgoingRequest(
        method=job.request.method,
        target=job.request.target,
        headers=context.dialect.relayed_headers(
            job.request.headers, forwarding
        ),
        body=job.request.body,
        request_id=job.request_id,
    )


def _urgency(context: RelayContext, job: Job) -> int | None:
    """Return the urgency that an engine is told, if it is told any."""
    is_told = job.route.kind is RequestKind.streaming and is_controlled(
        context.controls.engine_urgency,
        context.belief.configuration,
        job.service.name,
    )
    if not is_told:
        return None
    age_ms = (loop_time() - job.request.arrived_at) * MS_PER_S
    return engine_urgency(job.rank, age_ms, job.route.objective_ms)


def result_of_error(error: ExchangeError) -> AttemptResult:
    """Return the result of an attempt without a complete answer.

    :param error: failure of the exchange
    """
    return AttemptResult(
        fate=AttemptOutcome.unknown
        if error.was_sent
        else AttemptOutcome.not_sent,
        reason=str(error),
        is_connection_refused=error.is_connection_refused,
        is_closed_by_peer=error.is_closed_by_peer,
        is_malformed=error.is_malformed,
    )


@contextlib.contextmanager
def unforeseen_as_failures(
    job: Job, endpoint: Endpoint, *, was_sent: bool
) -> Iterator[None]:
    """Let unforeseen errors count as failures of an endpoint.

    An endpoint whose attempts end in errors that are not counted looks idle,
    and draws ever more requests.

    :param job: the request
    :param endpoint: endpoint with which data is exchanged in the block
    :param was_sent: whether any byte of the request may have been sent
    """
    try:
        yield
    except (ExchangeError, TimeoutError):
        raise
    except Exception as error:
        logging.exception(
            'unforeseen error in an exchange with an endpoint',
            extra={
                'request_id': job.request_id,
                'endpoint': endpoint.instance,
                'reason': repr(error),
            },
        )
        raise ExchangeError(
            f'unforeseen error: {error!r}', was_sent=was_sent
        ) from error


async def read_answer_head(
    context: RelayContext, job: Job, connection: Connection
) -> ResponseHead:
    """Return the status and headers of the answer to a request.

    :param context: shared components of the relay
    :param job: the request
    :param connection: connection that carries the request
    :raises ExchangeError: if no answer arrives, or if it belongs to another
        request or is not genuine
    """
    head = await connection.read_head()
    response_id = context.dialect.read_response_id(head)
    # On a connection that was used before, an answer without an id may be a
    # second copy of an earlier one.
    is_unnamed = response_id is None and connection.is_new
    if response_id != job.request_id and not is_unnamed:
        connection.close()
        reason = 'the answer belongs to another request'
        raise ExchangeError(reason, was_sent=True, is_malformed=True)
    if not context.dialect.is_genuine(head):
        connection.close()
        reason = 'a success without a signature, or with an encoding'
        raise ExchangeError(reason, was_sent=True, is_malformed=True)
    return head


async def start_reply(
    context: RelayContext, job: Job, reply: ResponseWriter, head: ResponseHead
) -> None:
    """Begin to pass an answer on to the caller, unless it has begun.

    :param context: shared components of the relay
    :param job: the request
    :param reply: writer of the response
    :param head: head of the endpoint's answer
    """
    if reply.status:
        return
    context.telemetry.observe_first_byte(job.route.kind, job.request.arrived_at)
    await reply.start(
        head.status, context.dialect.response_headers(head.headers)
    )


def is_endpoint_failure(result: AttemptResult) -> bool:
    """Return whether the result of an attempt is a fault of its endpoint.

    Silence is none: the network may have lost the answer.

    :param result: result of the attempt
    """
    if result.fate is AttemptOutcome.answered:
        return result.status >= FIRST_SERVER_ERROR
    return result.fate is AttemptOutcome.unknown and (
        result.is_closed_by_peer or result.is_malformed
    )


def is_suspected(context: RelayContext, job: Job, endpoint: Endpoint) -> bool:
    """Return whether a request may crash the endpoint that it is sent to.

    :param context: shared components of the relay
    :param job: the request
    :param endpoint: the endpoint
    """
    return bool(context.crashes.judge(job.parts, endpoint).suspects)


def record_result(
    context: RelayContext,
    endpoint: Endpoint,
    result: AttemptResult,
    started_at: float,
) -> None:
    """Record the result of an attempt in metrics and endpoint statistics.

    :param context: shared components of the relay
    :param endpoint: endpoint of the attempt
    :param result: result of the attempt
    :param started_at: loop time of its start, in seconds
    """
    now = loop_time()
    context.telemetry.count_attempt(result.fate)
    if result.is_closed_by_peer:
        context.isolation.contact.record_break(endpoint.address)
    if result.fate in {AttemptOutcome.not_sent, AttemptOutcome.unknown}:
        reached = result.fate is AttemptOutcome.unknown
        context.records.record_unanswered(
            endpoint.instance, now, reached=reached
        )
        return
    duration_ms = (now - started_at) * MS_PER_S
    context.records.record_answer(
        endpoint.instance, duration_ms, now, failed=is_failure(result)
    )


def is_failure(result: AttemptResult) -> bool:
    """Return whether an endpoint failed in an attempt.

    :param result: result of the attempt
    """
    return (
        result.fate is not AttemptOutcome.answered
        or result.status >= FIRST_SERVER_ERROR
    )
