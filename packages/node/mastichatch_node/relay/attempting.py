"""One attempt of a request at one endpoint."""

import dataclasses
from enum import StrEnum
from typing import Final

from mastichatch_core.relay.model import Endpoint
from mastichatch_core.units import MS_PER_S
from mastichatch_node.clock import loop_time
from mastichatch_node.relay.dialect import Passing, Resumption
from mastichatch_node.relay.exchange import (
    Connection,
    ExchangeError,
    Head,
    Outgoing,
)
from mastichatch_node.relay.job import Job, Tools

FIRST_SERVER_ERROR: Final = 500
# Statuses that promise callers that nothing ran; an endpoint's own answer has
# one of them without proof, and is not passed on.
PROMISES: Final = frozenset((408, 421, 429, 503))


class Fate(StrEnum):
    """How an attempt ended, as far as it is known."""

    answered = 'answered'
    not_sent = 'not_sent'
    refused = 'refused'
    unknown = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Result:
    """The end of an attempt.

    :param fate: how it ended
    :param head: head of the answer, if one came
    :param body: the whole body of the answer
    :param reason: what happened, for the log
    """

    fate: Fate
    head: Head | None = None
    body: bytes = b''
    reason: str = ''


def outgoing(
    tools: Tools,
    job: Job,
    endpoint: Endpoint,
    *,
    copy_address: str = '',
    resumption: Resumption | None = None,
) -> Outgoing:
    """Return a request as it is passed on.

    :param tools: what the relay works with
    :param job: the request
    :param endpoint: the only endpoint that may run it
    :param copy_address: endpoint that is to keep a copy of its memory
    :param resumption: where an interrupted run goes on from
    """
    passing = Passing(
        endpoint=endpoint,
        timeout_ms=job.left_ms(),
        workspace=job.workspace_name,
        copy_address=copy_address,
        resumption=resumption,
    )
    return Outgoing(
        method=job.request.method,
        target=job.request.target,
        headers=tools.dialect.relayed_headers(job.request.headers, passing),
        body=job.request.body,
    )


def fate_of(error: ExchangeError) -> Fate:
    """Return what an exchange without a whole answer says of its request.

    :param error: how the exchange ended
    """
    return Fate.unknown if error.was_sent else Fate.not_sent


async def read_answer(tools: Tools, job: Job, connection: Connection) -> Head:
    """Return the head of the answer to a request.

    :param tools: what the relay works with
    :param job: the request
    :param connection: connection that it was sent on
    :raises ExchangeError: if none arrives, or that of another request
    """
    head = await connection.read_head()
    if not tools.dialect.is_answer_to(head, job.request_id):
        connection.close()
        reason = 'the answer belongs to another request'
        raise ExchangeError(reason, was_sent=True)
    if not tools.dialect.is_genuine(head):
        connection.close()
        reason = 'a success without a signature, or with an encoding'
        raise ExchangeError(reason, was_sent=True)
    return head


def note_result(
    tools: Tools, endpoint: Endpoint, result: Result, started_at: float
) -> None:
    """Learn from the end of an attempt.

    :param tools: what the relay works with
    :param endpoint: where it was sent
    :param result: how it ended
    :param started_at: loop time of its start, in seconds
    """
    now = loop_time()
    tools.telemetry.count_attempt(result.fate)
    if result.fate in {Fate.not_sent, Fate.unknown}:
        reached = result.fate is Fate.unknown
        tools.records.record_unanswered(endpoint.instance, now, reached=reached)
        return
    duration_ms = (now - started_at) * MS_PER_S
    status = 0 if result.head is None else result.head.status
    failed = result.fate is Fate.refused or status >= FIRST_SERVER_ERROR
    tools.records.record_answer(
        endpoint.instance, duration_ms, now, failed=failed
    )
