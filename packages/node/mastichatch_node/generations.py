"""Streams generations from engines to callers.

Every token is delivered once, in order and from one generation. A broken
connection is resumed at the same engine. A generation that is lost before its
first event was delivered is restarted at another engine; one that is lost
afterwards ends in an error to the caller.
"""

import asyncio
import contextlib
import dataclasses
from collections.abc import (
    AsyncGenerator,
    AsyncIterator,
    Awaitable,
    Callable,
    Iterator,
)
from typing import Final

from mastichatch_core.catalogue import Catalogue
from mastichatch_core.errors import (
    MastichatchError,
    PermitLapsedError,
    UnprovedEndError,
)
from mastichatch_core.events import TokenEvent, undelivered_events
from mastichatch_core.generated.manifest import Endpoint, Service
from mastichatch_core.generated.messages import (
    ErrorKind,
    PermitGrant,
    PermitOutcome,
    PermitRequest,
    Ran,
    RequestClass,
)
from mastichatch_core.handles import GenerationHandle
from mastichatch_core.units import MS_PER_S
from mastichatch_node.clock import loop_time
from mastichatch_node.decisions import DecisionLog
from mastichatch_node.engines import Engines, EngineStream
from mastichatch_node.metrics import Metrics
from mastichatch_node.permits import Permits

MAX_RESUME_FAILURES: Final = 4
RESUME_DELAY_S: Final = 0.1
MAX_START_ATTEMPTS: Final = 6
# Engines that may be lost before the first token of one request. Its prompt may
# be what crashes them, and each takes its other generations with it.
MAX_LOST_ENGINES: Final = 2
_PRIORITIES: Final[dict[RequestClass, int]] = {
    RequestClass.interactive: 0,
    RequestClass.standard: 1,
    RequestClass.batch: 2,
}
_RETRYABLE_KINDS: Final = frozenset(
    (
        ErrorKind.endpoint_failed,
        ErrorKind.endpoint_refused,
        ErrorKind.endpoint_unreachable,
        ErrorKind.generation_lost,
        ErrorKind.not_found,
    ),
)

Acquire = Callable[[PermitRequest], Awaitable[PermitGrant]]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Batch:
    """Events that were read together.

    :param handle: handle of their generation
    :param events: the events, in order
    """

    handle: GenerationHandle
    events: list[TokenEvent]


@dataclasses.dataclass(slots=True, kw_only=True)
class _GenerationAttempt:
    """A generation under one permit, with its progress.

    :param request: the permit request
    :param grant: the permit
    :param endpoint: endpoint that runs the generation
    :param service: the service, with its limits
    :param body: body for the engine; empty for a generation that runs already
    :param handle: handle of the generation, once the engine has given its id
    :param next_index: index of the next event to deliver
    :param started_at: when the attempt was created, shortly before the request
        is sent, in seconds
    :param first_event_at: when the first event came, in seconds; zero before
    :param last_event_at: when the latest event came, in seconds
    :param failures: number of broken connections since the last event
    :param done: whether the end marker was read
    """

    request: PermitRequest
    grant: PermitGrant
    endpoint: Endpoint
    service: Service
    body: bytes = b''
    handle: GenerationHandle | None = None
    next_index: int = 0
    started_at: float = 0
    first_event_at: float = 0
    last_event_at: float = 0
    failures: int = 0
    done: bool = False

    def accept_stream(self, stream: EngineStream) -> GenerationHandle:
        """Return the handle, and check that a stream carries its generation.

        The first stream sets the handle.

        :param stream: a connection to the engine
        :raises MastichatchError: with ``not_found`` if the engine has been
            restarted, since it may then use the same id again, and with
            ``endpoint_failed`` if the stream is of another generation
        """
        if self.handle is None:
            self.handle = GenerationHandle(
                endpoint=self.endpoint.name,
                boot_id=stream.boot_id,
                generation=stream.generation,
                service=self.request.service,
                workspace=self.request.workspace,
            )
        if stream.boot_id != self.handle.boot_id:
            raise MastichatchError(
                ErrorKind.not_found,
                'the engine was restarted',
            )
        if stream.generation != self.handle.generation:
            raise MastichatchError(
                ErrorKind.endpoint_failed,
                f'generation {stream.generation} came in its place',
            )
        return self.handle

    def record_events(self, count: int, now: float) -> None:
        """Record newly received events.

        :param count: number of events
        :param now: current time, in seconds
        """
        self.next_index += count
        self.first_event_at = self.first_event_at or now
        self.last_event_at = now
        self.failures = 0

    def first_token_ms(self) -> float:
        """Return the time from start to first event, or zero without events."""
        if not self.first_event_at:
            return 0
        return (self.first_event_at - self.started_at) * MS_PER_S

    def gap_ms(self) -> float:
        """Return the mean time between events, or zero for fewer than two."""
        if self.next_index < 2:
            return 0
        spent_s = self.last_event_at - self.first_event_at
        return spent_s * MS_PER_S / (self.next_index - 1)


@dataclasses.dataclass(slots=True)
class _EarlierAttempts:
    """The attempts of one request that have failed.

    :param excluded: endpoints to exclude from the next attempt
    :param lost_engines: number of engines lost before their first token
    :param ran: whether one of the attempts ran
    """

    excluded: tuple[str, ...] = ()
    lost_engines: int = 0
    ran: Ran = Ran.no

    def record(
        self, grant: PermitGrant, error: MastichatchError, delivered: int
    ) -> None:
        """Record a failed attempt.

        :param grant: its permit
        :param error: its error
        :param delivered: number of events that were read
        """
        if self.ran is Ran.no:
            self.ran = error.ran
        self.lost_engines += _is_engine_lost(error, delivered)
        self.excluded = _add_excluded(self.excluded, grant, error)

    @contextlib.contextmanager
    def including_ran(self) -> Iterator[None]:
        """Let an error that ends the request state whether an attempt ran."""
        try:
            yield
        except MastichatchError as error:
            if error.ran is Ran.no:
                error.ran = self.ran
            raise


class Generations:
    """Start, stream and resume generations for callers."""

    def __init__(
        self,
        engines: Engines,
        permits: Permits,
        decisions: DecisionLog,
        metrics: Metrics,
    ) -> None:
        """Use the node's engine client and permits."""
        self._engines = engines
        self._permits = permits
        self._decisions = decisions
        self._metrics = metrics
        self._cancel_tasks: set[asyncio.Task[bool]] = set()

    async def start(
        self,
        request: PermitRequest,
        body: bytes,
        catalogue: Catalogue,
        acquire: Acquire,
        *,
        whole: bool,
    ) -> AsyncGenerator[Batch, None]:
        """Yield the events of a generation from start to end.

        A generation that is lost before its first event was yielded is
        restarted at another endpoint.

        :param request: the first permit request
        :param body: body for the engine
        :param catalogue: configuration at the time of the request
        :param acquire: function that waits for a permit in any data centre
        :param whole: whether the response is buffered until the end, so that
            a lost generation may be restarted at any time; the batches of
            the new one then carry another handle
        :raises MastichatchError: if the generation cannot be started or is
            lost
        """
        earlier = _EarlierAttempts()
        for attempt_number in range(MAX_START_ATTEMPTS):
            permit_request = dataclasses.replace(
                request,
                attempt=attempt_number,
                excluded=earlier.excluded,
            )
            with earlier.including_ran():
                grant = await acquire(permit_request)
            delivered = 0
            try:
                attempt = self._prepare(grant, permit_request, body, catalogue)
                async with contextlib.aclosing(
                    self._stream_events(attempt),
                ) as batches:
                    async for batch in batches:
                        delivered += len(batch.events)
                        yield batch
                return
            except MastichatchError as error:
                earlier.record(grant, error, delivered)
                with earlier.including_ran():
                    self._raise_unless_retried(
                        error,
                        0 if whole else delivered,
                        attempt_number,
                        earlier.lost_engines,
                    )
                self._log_retry(request, grant, error)

    async def resume(
        self,
        request: PermitRequest,
        handle: GenerationHandle,
        after: int,
        catalogue: Catalogue,
    ) -> AsyncGenerator[Batch, None]:
        """Yield the rest of a generation that began on another connection.

        :param request: identifies the request; the permit is adopted, not
            acquired
        :param handle: handle of the generation
        :param after: index of the last event that the caller has received
        :param catalogue: current configuration
        :raises MastichatchError: with ``generation_lost`` if the generation or
            its endpoint no longer exists
        """
        endpoint = catalogue.endpoints.get(handle.endpoint)
        if endpoint is None:
            raise MastichatchError(
                ErrorKind.generation_lost,
                'its endpoint has left',
                tokens_delivered=after + 1,
            )
        attempt = _GenerationAttempt(
            request=request,
            grant=self._permits.adopt(request, endpoint.name),
            endpoint=endpoint,
            service=catalogue.service(handle.service),
            handle=handle,
            next_index=after + 1,
            started_at=loop_time(),
        )
        async for batch in self._stream_events(attempt):
            yield batch

    async def cancel(
        self,
        handle: GenerationHandle,
        catalogue: Catalogue,
    ) -> None:
        """Cancel a generation at its engine.

        :param handle: handle of the generation
        :param catalogue: current configuration
        """
        endpoint = catalogue.endpoints.get(handle.endpoint)
        if endpoint is not None:
            await self._engines.cancel(
                endpoint.address,
                handle.generation,
                handle.boot_id,
            )

    def _prepare(
        self,
        grant: PermitGrant,
        request: PermitRequest,
        body: bytes,
        catalogue: Catalogue,
    ) -> _GenerationAttempt:
        """Return the attempt that a permit allows, or release the permit."""
        endpoint = catalogue.endpoints.get(grant.endpoint)
        if endpoint is None:
            self._permits.release(grant, PermitOutcome.unused)
            raise MastichatchError(
                ErrorKind.endpoint_unreachable,
                'the endpoint has left',
            )
        return _GenerationAttempt(
            request=request,
            grant=grant,
            endpoint=endpoint,
            service=catalogue.service(request.service),
            body=body,
            started_at=loop_time(),
        )

    async def _stream_events(
        self, attempt: _GenerationAttempt
    ) -> AsyncGenerator[Batch, None]:
        """Yield the events of a generation, resuming broken connections.

        The inner loop runs for every read of every stream, so for speed its
        body is not split into further functions.
        """
        with self._releasing_permit(attempt):
            while not attempt.done:
                try:
                    async with self._connect(attempt) as stream:
                        handle = attempt.accept_stream(stream)
                        async for events in stream.batches():
                            fresh = undelivered_events(
                                events, attempt.next_index
                            )
                            if fresh:
                                attempt.record_events(len(fresh), loop_time())
                                self._permits.note_progress(
                                    attempt.grant,
                                    attempt.next_index,
                                )
                                yield Batch(handle=handle, events=fresh)
                        attempt.done = True
                except MastichatchError as error:
                    await self._recover(attempt, error)

    @contextlib.asynccontextmanager
    async def _connect(
        self, attempt: _GenerationAttempt
    ) -> AsyncIterator[EngineStream]:
        """Open a connection that starts or resumes a generation."""
        if attempt.handle is not None:
            async with self._engines.resume(
                attempt.endpoint.address,
                attempt.handle.generation,
                after=attempt.next_index - 1,
                idle_timeout_ms=attempt.service.idle_timeout_ms,
            ) as resumed:
                yield resumed
            return
        # Last check before the first byte: the process may have been paused
        # since the grant arrived.
        if not self._permits.still_valid(attempt.grant):
            raise PermitLapsedError
        self._permits.mark_used(attempt.grant)
        async with self._engines.start(
            attempt.endpoint.address,
            attempt.body,
            request_id=attempt.request.request_id,
            priority=_PRIORITIES[attempt.request.request_class],
            idle_timeout_ms=attempt.service.idle_timeout_ms,
            boot_id=attempt.grant.boot_id,
        ) as started:
            yield started

    async def _recover(
        self, attempt: _GenerationAttempt, error: MastichatchError
    ) -> None:
        """Wait before resuming the generation, or raise that it is lost."""
        if attempt.handle is None:
            raise error
        self._log_break(attempt, error)
        attempt.failures += 1
        is_gone = error.kind is ErrorKind.not_found
        if is_gone or attempt.failures >= MAX_RESUME_FAILURES:
            # The engine may work on, and the generation may start anew.
            if not is_gone and not await self._cancel_given_up(
                attempt.endpoint, attempt.handle
            ):
                raise UnprovedEndError(
                    ErrorKind.generation_lost,
                    f'{error}; its engine may work on',
                    tokens_delivered=attempt.next_index,
                ) from error
            raise MastichatchError(
                ErrorKind.generation_lost,
                str(error),
                tokens_delivered=attempt.next_index,
            ) from error
        await asyncio.sleep(RESUME_DELAY_S * attempt.failures)

    async def _cancel_given_up(
        self,
        endpoint: Endpoint,
        handle: GenerationHandle,
    ) -> bool:
        """Cancel a generation at its engine, even if the caller leaves.

        :returns: whether it is known to have ended
        """
        task = asyncio.get_running_loop().create_task(
            self._engines.cancel(
                endpoint.address,
                handle.generation,
                handle.boot_id,
            ),
        )
        self._cancel_tasks.add(task)
        task.add_done_callback(self._cancel_tasks.discard)
        return await asyncio.shield(task)

    @contextlib.contextmanager
    def _releasing_permit(self, attempt: _GenerationAttempt) -> Iterator[None]:
        """Release the permit at the end of the block, with the outcome."""
        outcome = PermitOutcome.cancelled
        try:
            yield
            outcome = PermitOutcome.completed
        except MastichatchError as error:
            outcome = _permit_outcome(error)
            raise
        finally:
            self._release_permit(attempt, outcome)

    def _release_permit(
        self, attempt: _GenerationAttempt, outcome: PermitOutcome
    ) -> None:
        self._permits.release(
            attempt.grant,
            outcome,
            output_tokens=attempt.next_index,
            first_token_ms=attempt.first_token_ms(),
            gap_ms=attempt.gap_ms(),
        )
        self._metrics.count(f'generations.{outcome}')
        self._metrics.timing(
            'generations.first_token_ms',
            attempt.first_token_ms(),
        )

    def _raise_unless_retried(
        self,
        error: MastichatchError,
        delivered: int,
        attempt_number: int,
        lost_engines: int,
    ) -> None:
        if delivered:
            raise MastichatchError(
                ErrorKind.generation_lost,
                str(error),
                tokens_delivered=delivered,
            ) from error
        if isinstance(error, UnprovedEndError):
            raise error
        lapsed = isinstance(error, PermitLapsedError)
        if error.kind not in _RETRYABLE_KINDS and not lapsed:
            raise error
        if attempt_number + 1 == MAX_START_ATTEMPTS:
            raise error
        if lost_engines == MAX_LOST_ENGINES:
            raise error

    def _log_retry(
        self,
        request: PermitRequest,
        grant: PermitGrant,
        error: MastichatchError,
    ) -> None:
        self._metrics.count('generations.restarted')
        self._decisions.note(
            'generation_restarted',
            request.request_id,
            choice='another endpoint',
            reason=f'{grant.endpoint}: {error.kind}: {error}',
            term=grant.term.number,
        )

    def _log_break(
        self, attempt: _GenerationAttempt, error: MastichatchError
    ) -> None:
        self._metrics.count('generations.stream_broken')
        self._decisions.note(
            'stream_broken',
            attempt.request.request_id,
            choice=(
                f'resume at {attempt.endpoint.name} from {attempt.next_index}'
            ),
            reason=f'{error.kind}: {error}',
        )


def _is_engine_lost(error: MastichatchError, delivered: int) -> bool:
    """Return whether an engine was lost before it generated a token."""
    return error.kind is ErrorKind.generation_lost and not delivered


def _add_excluded(
    excluded: tuple[str, ...],
    grant: PermitGrant,
    error: MastichatchError,
) -> tuple[str, ...]:
    """Return the endpoints to exclude from the next attempt."""
    if isinstance(error, PermitLapsedError):
        return excluded
    return (*excluded, grant.endpoint)


def _permit_outcome(error: MastichatchError) -> PermitOutcome:
    if isinstance(error, PermitLapsedError):
        return PermitOutcome.unused
    if error.kind is ErrorKind.endpoint_unreachable:
        return PermitOutcome.unreachable
    if error.kind is ErrorKind.bad_request:
        return PermitOutcome.completed
    return PermitOutcome.failed
