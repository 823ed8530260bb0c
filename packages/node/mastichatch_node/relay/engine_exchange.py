"""Sends the request of a generation to an engine, and reads the head."""

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator, Callable
from typing import Final

from mastichatch_core.relay.run_engines import RunEngines
from mastichatch_core.units import MS_PER_S
from mastichatch_node.clock import loop_time
from mastichatch_node.relay.context import Job, RelayContext
from mastichatch_node.relay.dialect import Resumption
from mastichatch_node.relay.endpoint_attempt import (
    build_outgoing,
    read_answer_head,
    unforeseen_as_failures,
)
from mastichatch_node.relay.engine_placement import EnginePlacement
from mastichatch_node.relay.http_client import (
    Connection,
    ExchangeError,
    OutgoingRequest,
    ResponseHead,
    pooled_connection,
)
from mastichatch_node.relay.run_transfer import (
    PreparedResumption,
    RunLocation,
)

# TCP timeout towards an engine when no other engine has a copy. A broken link
# often recovers, and a late event is better than none: callers wait 7.2 s
# between events, by the users' requirements.
STREAM_SILENCE_TIMEOUT_MS: Final = 6500
_OK: Final = 200


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AttemptSource:
    """Engine and starting point of the next attempt of a generation.

    :param placement: engine of the attempt, and engine with the copy
    :param resumption: location of the KV cache, if the run is resumed
    :param prepared: resumption that the engine has accepted already
    """

    placement: EnginePlacement
    resumption: Resumption | None = None
    prepared: PreparedResumption | None = None

    @property
    def is_resumed(self) -> bool:
        """Whether a run goes on that has begun on another engine."""
        return self.resumption is not None or self.prepared is not None

    def begins_after(self, job: Job) -> int | None:
        """Return the number of the event after which the engine is to begin.

        :param job: the request
        :returns: ``None`` for the first event, or if it is not known
        """
        resumption = self.resumption
        if resumption is None or resumption.last_event is None:
            return None if self.prepared else job.resumes_after
        return resumption.last_event


def failures_of(
    job: Job, source: AttemptSource
) -> contextlib.AbstractContextManager[None]:
    endpoint = source.placement.endpoint
    return unforeseen_as_failures(job, endpoint, was_sent=True)


def _build_request(
    context: RelayContext, job: Job, source: AttemptSource
) -> OutgoingRequest:
    placement = source.placement
    with unforeseen_as_failures(job, placement.endpoint, was_sent=False):
        return build_outgoing(
            context,
            job,
            placement.endpoint,
            copy_address=''
            if placement.copy is None
            else placement.copy.address,
            resumption=source.resumption,
        )


@contextlib.asynccontextmanager
async def open_answer(
    context: RelayContext,
    job: Job,
    source: AttemptSource,
    on_connect: Callable[[Connection], None],
) -> AsyncIterator[tuple[Connection, ResponseHead]]:
    """Send a request, unless its answer has begun, and read the head.

    :param context: shared components of the relay
    :param job: the request
    :param source: engine and starting point
    :param on_connect: called with the connection before the request is sent
    """
    endpoint, prepared = source.placement.endpoint, source.prepared
    if prepared is not None:
        on_connect(prepared.connection)
        with contextlib.closing(prepared.connection):
            yield prepared.connection, prepared.head
        return
    outgoing = _build_request(context, job, source)
    # An idle connection may be dead, and a request sent on it would be lost. A
    # new connection costs only one round trip.
    async with pooled_connection(
        context.pool, endpoint.address, 0
    ) as connection:
        on_connect(connection)
        if source.placement.copy is None:
            connection.set_silence_timeout(STREAM_SILENCE_TIMEOUT_MS)
        with failures_of(job, source):
            await connection.send(outgoing)
            head = await read_answer_head(context, job, connection)
        yield connection, head


async def prepare(
    context: RelayContext,
    job: Job,
    source: AttemptSource,
    engines: RunEngines,
) -> PreparedResumption | None:
    """Resume a run on another engine, up to the head of its answer.

    :param context: shared components of the relay
    :param job: the request
    :param source: the engine, and the copy on it
    :param engines: engines that may be at work on the run
    :returns: ``None`` if the engine does not accept it before the stream counts
        as stalled
    """
    endpoint = source.placement.endpoint
    connection: Connection | None = None
    head: ResponseHead | None = None
    failure: Exception | None = None
    started_at = loop_time()
    try:
        async with asyncio.timeout(job.longest_stall_s):
            outgoing = _build_request(context, job, source)
            connection = await context.pool.take(endpoint.address, 0)
            context.turns.charge(endpoint)
            with failures_of(job, source):
                await connection.send(outgoing)
                head = await read_answer_head(context, job, connection)
    except (TimeoutError, ExchangeError) as error:
        failure = error
    finally:
        is_accepted = head is not None and head.status == _OK
        if connection is not None and not is_accepted:
            connection.close()
    context.telemetry.log_decision(
        'run_resumption_prepared',
        job.request_id,
        endpoint=endpoint.instance,
        status=0 if head is None else head.status,
        reason='' if failure is None else repr(failure),
        took_ms=round((loop_time() - started_at) * MS_PER_S),
    )
    if _did_not_run(context, head, failure):
        engines.record_proof(endpoint)
    if connection is None or head is None or not is_accepted:
        return None
    engines.record_answer(endpoint)
    return PreparedResumption(
        endpoint=endpoint, connection=connection, head=head
    )


def _did_not_run(
    context: RelayContext,
    head: ResponseHead | None,
    failure: Exception | None,
) -> bool:
    """Return whether an engine has refused a request, or never got it."""
    if head is not None:
        return context.dialect.proves_not_run(head)
    return isinstance(failure, ExchangeError) and not failure.was_sent


def resume_at(location: RunLocation, last_event: int | None) -> AttemptSource:
    """Return the source of an attempt that continues from a copy."""
    # A new copy would use bandwidth that other migrations need.
    return AttemptSource(
        placement=EnginePlacement(endpoint=location.endpoint, copy=None),
        resumption=Resumption(
            address=location.address,
            handle=location.handle,
            last_event=last_event,
        ),
    )
