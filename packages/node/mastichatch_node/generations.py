"""Carries generations from engines to callers.

Every token is handed out once, in order and from one generation. A broken
connection is resumed at the same engine. A generation that is lost before its
first event was handed out is started anew; afterwards the caller is told.
"""

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncGenerator, Awaitable, Callable, Iterator
from typing import Final

from mastichatch_core.catalogue import Catalogue
from mastichatch_core.errors import MastichatchError, PermitLapsedError
from mastichatch_core.events import TokenEvent, in_order
from mastichatch_core.generated.manifest import Endpoint, Service
from mastichatch_core.generated.messages import (
    ErrorKind,
    PermitGrant,
    PermitOutcome,
    PermitRequest,
    RequestClass,
)
from mastichatch_core.handles import GenerationHandle
from mastichatch_node.decisions import DecisionLog
from mastichatch_node.engines import Engines, EngineStream
from mastichatch_node.metrics import Metrics
from mastichatch_node.permits import Permits

RESUME_LIMIT: Final = 4
RESUME_DELAY_S: Final = 0.1
START_LIMIT: Final = 6
_MS_PER_S: Final = 1000
_PRIORITIES: Final[dict[RequestClass, int]] = {
    RequestClass.interactive: 0,
    RequestClass.standard: 1,
    RequestClass.batch: 2,
}
_RETRIED: Final = frozenset(
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
    """Events that arrived together.

    :param handle: where their generation runs
    :param events: events in order
    """

    handle: GenerationHandle
    events: list[TokenEvent]


@dataclasses.dataclass(slots=True, kw_only=True)
class _Progress:
    """How far the generation of one permit has come.

    :param following: index of the next event to hand out
    :param began_at: when the request was sent, in seconds
    :param first_at: when the first event came, in seconds; zero before
    :param last_at: when the newest event came, in seconds
    :param failures: broken connections since the last event
    """

    following: int = 0
    began_at: float = 0
    first_at: float = 0
    last_at: float = 0
    failures: int = 0

    def note(self, count: int, now: float) -> None:
        """Count events that were received just now."""
        self.following += count
        self.first_at = self.first_at or now
        self.last_at = now
        self.failures = 0

    def first_token_ms(self) -> float:
        """Time from send to first event, or zero."""
        if not self.first_at:
            return 0
        return (self.first_at - self.began_at) * _MS_PER_S

    def gap_ms(self) -> float:
        """Mean time between events, or zero."""
        if self.following < 2:
            return 0
        spent_s = self.last_at - self.first_at
        return spent_s * _MS_PER_S / (self.following - 1)


class Generations:
    """Starts, follows and resumes generations for callers."""

    def __init__(
        self,
        engines: Engines,
        permits: Permits,
        decisions: DecisionLog,
        metrics: Metrics,
    ) -> None:
        """Use the node's adapter and permits."""
        self._engines = engines
        self._permits = permits
        self._decisions = decisions
        self._metrics = metrics
        self._clean_ups: set[asyncio.Task[None]] = set()

    async def start(
        self,
        request: PermitRequest,
        body: bytes,
        catalogue: Catalogue,
        acquire: Acquire,
        *,
        whole: bool,
    ) -> AsyncGenerator[Batch, None]:
        """Yield the events of one whole generation.

        A generation that is lost before its first event was yielded is
        replaced by a new one at another endpoint.

        :param request: the first permit request
        :param body: body for the engine
        :param catalogue: the configuration when the request came
        :param acquire: waits for a permit, at whichever data centre
        :param whole: whether the caller gets nothing before the end, so that
            a lost generation may be replaced at any time; the batches of
            the new one then carry another handle
        :raises MastichatchError: when it can't be started, or is lost
        """
        excluded: tuple[str, ...] = ()
        for attempt in range(START_LIMIT):
            asked = dataclasses.replace(
                request,
                attempt=attempt,
                excluded=excluded,
            )
            grant = await acquire(asked)
            delivered = 0
            try:
                async with contextlib.aclosing(
                    self._run(grant, asked, body, catalogue),
                ) as batches:
                    async for batch in batches:
                        delivered += len(batch.events)
                        yield batch
                return
            except MastichatchError as error:
                handed_out = 0 if whole else delivered
                self._raise_unless_retried(error, handed_out, attempt)
                if not isinstance(error, PermitLapsedError):
                    excluded = (*excluded, grant.endpoint)
                self._note_retry(request, grant, error)

    async def resume(
        self,
        request: PermitRequest,
        handle: GenerationHandle,
        after: int,
        catalogue: Catalogue,
    ) -> AsyncGenerator[Batch, None]:
        """Yield the rest of a generation that another connection began.

        :param request: names the request; no permit is waited for
        :param handle: where the generation runs
        :param after: index of the last event that the caller has
        :param catalogue: the configuration in force
        :raises MastichatchError: with ``generation_lost`` when it is gone
        """
        endpoint = catalogue.endpoints.get(handle.endpoint)
        if endpoint is None:
            raise MastichatchError(
                ErrorKind.generation_lost,
                'its endpoint has left',
                tokens_delivered=after + 1,
            )
        grant = self._permits.adopt(request, endpoint.name)
        progress = _Progress(following=after + 1, began_at=_now())
        service = catalogue.service(handle.service)
        with self._settled(grant, progress):
            async for batch in self._follow(
                handle,
                endpoint,
                service,
                progress,
                grant,
            ):
                yield batch

    async def cancel(
        self,
        handle: GenerationHandle,
        catalogue: Catalogue,
    ) -> None:
        """Cancel a generation at its engine.

        :param handle: where the generation runs
        :param catalogue: the configuration in force
        """
        endpoint = catalogue.endpoints.get(handle.endpoint)
        if endpoint is not None:
            await self._engines.cancel(
                endpoint.address,
                handle.generation,
                handle.boot_id,
            )

    async def _run(
        self,
        grant: PermitGrant,
        request: PermitRequest,
        body: bytes,
        catalogue: Catalogue,
    ) -> AsyncGenerator[Batch, None]:
        """Yield the events of one attempt at one endpoint."""
        progress = _Progress(began_at=_now())
        with self._settled(grant, progress):
            endpoint = catalogue.endpoints.get(grant.endpoint)
            if endpoint is None:
                raise MastichatchError(ErrorKind.endpoint_unreachable)
            service = catalogue.service(request.service)
            # Last check before the first byte: this process may have been
            # frozen since the grant came.
            if not self._permits.still_valid(grant):
                raise PermitLapsedError
            self._permits.mark_used(grant)
            async for batch in self._first_connection(
                grant,
                request,
                body,
                endpoint,
                service,
                progress,
            ):
                yield batch

    async def _first_connection(
        self,
        grant: PermitGrant,
        request: PermitRequest,
        body: bytes,
        endpoint: Endpoint,
        service: Service,
        progress: _Progress,
    ) -> AsyncGenerator[Batch, None]:
        handle: GenerationHandle | None = None
        try:
            async with self._engines.start(
                endpoint.address,
                body,
                request_id=request.request_id,
                priority=_PRIORITIES[request.request_class],
                idle_timeout_ms=service.idle_timeout_ms,
            ) as stream:
                handle = _handle(stream, request, endpoint)
                async for batch in self._pass_on(
                    stream,
                    handle,
                    progress,
                    grant,
                ):
                    yield batch
            return
        except MastichatchError as error:
            if handle is None:
                raise
            self._note_break(request.request_id, endpoint, error, progress)
        async for batch in self._follow(
            handle,
            endpoint,
            service,
            progress,
            grant,
        ):
            yield batch

    async def _follow(
        self,
        handle: GenerationHandle,
        endpoint: Endpoint,
        service: Service,
        progress: _Progress,
        grant: PermitGrant,
    ) -> AsyncGenerator[Batch, None]:
        """Yield the rest of a generation, resuming as often as it takes."""
        while True:
            try:
                async with self._engines.resume(
                    endpoint.address,
                    handle.generation,
                    after=progress.following - 1,
                    idle_timeout_ms=service.idle_timeout_ms,
                ) as stream:
                    _check_boot(stream, handle)
                    async for batch in self._pass_on(
                        stream,
                        handle,
                        progress,
                        grant,
                    ):
                        yield batch
                return
            except MastichatchError as error:
                self._note_break(grant.request_id, endpoint, error, progress)
                self._raise_if_lost(error, endpoint, handle, progress)
            await asyncio.sleep(RESUME_DELAY_S * progress.failures)

    def _raise_if_lost(
        self,
        error: MastichatchError,
        endpoint: Endpoint,
        handle: GenerationHandle,
        progress: _Progress,
    ) -> None:
        progress.failures += 1
        is_gone = error.kind is ErrorKind.not_found
        if is_gone or progress.failures >= RESUME_LIMIT:
            if not is_gone:
                self._cancel_later(endpoint, handle)
            raise _lost(error, progress) from error

    async def _pass_on(
        self,
        stream: EngineStream,
        handle: GenerationHandle,
        progress: _Progress,
        grant: PermitGrant,
    ) -> AsyncGenerator[Batch, None]:
        async for events in stream.batches():
            fresh = in_order(events, progress.following)
            if fresh:
                progress.note(len(fresh), _now())
                self._permits.note_progress(grant, progress.following)
                yield Batch(handle=handle, events=fresh)

    @contextlib.contextmanager
    def _settled(
        self,
        grant: PermitGrant,
        progress: _Progress,
    ) -> Iterator[None]:
        """Give the permit back with what became of the attempt."""
        outcome = PermitOutcome.cancelled
        try:
            yield
            outcome = PermitOutcome.completed
        except MastichatchError as error:
            outcome = _outcome(error)
            raise
        finally:
            self._settle(grant, outcome, progress)

    def _settle(
        self,
        grant: PermitGrant,
        outcome: PermitOutcome,
        progress: _Progress,
    ) -> None:
        self._permits.release(
            grant,
            outcome,
            output_tokens=progress.following,
            first_token_ms=progress.first_token_ms(),
            gap_ms=progress.gap_ms(),
        )
        self._metrics.count(f'generations.{outcome}')
        self._metrics.timing(
            'generations.first_token_ms',
            progress.first_token_ms(),
        )

    def _raise_unless_retried(
        self,
        error: MastichatchError,
        delivered: int,
        attempt: int,
    ) -> None:
        if delivered:
            raise MastichatchError(
                ErrorKind.generation_lost,
                str(error),
                tokens_delivered=delivered,
            ) from error
        lapsed = isinstance(error, PermitLapsedError)
        if error.kind not in _RETRIED and not lapsed:
            raise error
        if attempt + 1 == START_LIMIT:
            raise error

    def _note_retry(
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

    def _note_break(
        self,
        request_id: str,
        endpoint: Endpoint,
        error: MastichatchError,
        progress: _Progress,
    ) -> None:
        self._metrics.count('generations.stream_broken')
        self._decisions.note(
            'stream_broken',
            request_id,
            choice=f'resume at {endpoint.name} from {progress.following}',
            reason=f'{error.kind}: {error}',
        )

    def _cancel_later(
        self,
        endpoint: Endpoint,
        handle: GenerationHandle,
    ) -> None:
        task = asyncio.get_running_loop().create_task(
            self._engines.cancel(
                endpoint.address,
                handle.generation,
                handle.boot_id,
            ),
        )
        self._clean_ups.add(task)
        task.add_done_callback(self._clean_ups.discard)


def _handle(
    stream: EngineStream,
    request: PermitRequest,
    endpoint: Endpoint,
) -> GenerationHandle:
    return GenerationHandle(
        endpoint=endpoint.name,
        boot_id=stream.boot_id,
        generation=stream.generation,
        service=request.service,
        workspace=request.workspace,
    )


def _check_boot(stream: EngineStream, handle: GenerationHandle) -> None:
    """Refuse a generation of another boot that reuses the id."""
    if stream.boot_id != handle.boot_id:
        raise MastichatchError(
            ErrorKind.not_found,
            'the engine was restarted',
        )


def _lost(error: MastichatchError, progress: _Progress) -> MastichatchError:
    return MastichatchError(
        ErrorKind.generation_lost,
        str(error),
        tokens_delivered=progress.following,
    )


def _outcome(error: MastichatchError) -> PermitOutcome:
    if isinstance(error, PermitLapsedError):
        return PermitOutcome.unused
    if error.kind is ErrorKind.endpoint_unreachable:
        return PermitOutcome.unreachable
    if error.kind is ErrorKind.bad_request:
        return PermitOutcome.completed
    return PermitOutcome.failed


def _now() -> float:
    return asyncio.get_running_loop().time()
