"""Relays generations, and goes on elsewhere when their engine is lost."""

import asyncio
import dataclasses
from typing import Final

from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.messages import ErrorKind, Ran, Run, RunState
from mastichatch_core.relay.events import (
    EventOrder,
    EventSplitter,
    MissingEventError,
    PauseTimer,
)
from mastichatch_core.relay.model import Endpoint
from mastichatch_core.units import MS_PER_S
from mastichatch_node.clock import loop_time
from mastichatch_node.relay.attempting import (
    PROMISES,
    Fate,
    Result,
    fate_of,
    note_result,
    outgoing,
    read_answer,
)
from mastichatch_node.relay.dialect import Resumption
from mastichatch_node.relay.exchange import (
    Connection,
    ExchangeError,
    Head,
    borrow,
)
from mastichatch_node.relay.front import Reply
from mastichatch_node.relay.job import Job, Tools
from mastichatch_node.relay.placing import Place, Placing, new_run

ANSWER_LIMIT_BYTES: Final = 1024 * 1024
# Engines that refuse without running a request; each further one costs time.
SEND_LIMIT: Final = 3
# Times that one generation goes on elsewhere.
RESUME_LIMIT: Final = 6
# A link that is cut often comes back, and a late generation is worth more than
# none: callers wait for 7.2 s between events, by the users' pages.
STREAM_SILENCE_MS: Final = 6500

_OK: Final = 200


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Moved:
    """Where a run's memory is after a move.

    :param endpoint: engine at which it goes on
    :param address: engine that names the copy
    :param handle: name of the copy there
    """

    endpoint: Endpoint
    address: str
    handle: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Source:
    """Where a generation comes from next.

    :param place: its engine, and where its copy lies
    :param resumption: where its memory is, if it goes on
    """

    place: Place
    resumption: Resumption | None = None


class Generation:
    """One generation on its way to its caller."""

    def __init__(
        self, tools: Tools, placing: Placing, job: Job, reply: Reply
    ) -> None:
        """Start without an engine.

        :param tools: what the relay works with
        :param placing: finds engines
        :param job: the request
        :param reply: the answer to the caller
        """
        self._tools = tools
        self._placing = placing
        self._job = job
        self._reply = reply
        self._order = EventOrder()
        self._pause = PauseTimer()
        self._may_have_run = False
        self._excluded: frozenset[str] = frozenset()
        self._source: Source | None = None
        self._moved: asyncio.Future[Moved | None] | None = None
        self._connection: Connection | None = None
        self._destination: Endpoint | None = None

    @property
    def job(self) -> Job:
        """The request."""
        return self._job

    @property
    def endpoint(self) -> Endpoint | None:
        """The engine that it runs on."""
        return None if self._source is None else self._source.place.endpoint

    @property
    def copy(self) -> Endpoint | None:
        """The engine that has a copy of its memory."""
        return None if self._source is None else self._source.place.copy

    def drop_copy(self) -> None:
        """Note that the engine with the copy leaves."""
        if self._source is not None:
            place = dataclasses.replace(self._source.place, copy=None)
            self._source = dataclasses.replace(self._source, place=place)
            self._tools.sharing.note(self.run)

    def note_destination(self, destination: Endpoint | None) -> None:
        """Tell all nodes that the run's memory is on its way, or no longer.

        :param destination: the engine that it goes to
        """
        self._destination = destination
        self._tools.sharing.note(self.run)

    @property
    def last_event(self) -> int | None:
        """Number of the last event that the caller has."""
        return self._order.last

    @property
    def is_moving(self) -> bool:
        """Whether its memory is on its way to another engine."""
        return self._moved is not None

    @property
    def run(self) -> Run:
        """The generation as other nodes should know it."""
        job = self._job
        engine = job.service.engine
        tokens = 1 if engine is None else engine.tokens_per_event
        endpoint, copy = self.endpoint, self._destination or self.copy
        return dataclasses.replace(
            new_run(job),
            state=RunState.running,
            endpoint='' if endpoint is None else endpoint.instance,
            copy_at='' if copy is None else copy.instance,
            output_tokens=self._order.count * tokens,
        )

    def begin_move(self) -> 'asyncio.Future[Moved | None]':
        """Announce that the run will go on elsewhere, and return the promise.

        Its result is where the run goes on, or ``None`` if the move failed.
        """
        self._moved = asyncio.get_running_loop().create_future()
        return self._moved

    def switch_to_copy(self) -> None:
        """Break off at the engine, and go on where the run's copy is."""
        if self._connection is not None:
            self._connection.close()

    async def relay(self) -> None:
        """Relay the generation to its end.

        :raises MastichatchError: if it has no answer, or none that is whole
        """
        try:
            await self._relay()
        except MastichatchError as error:
            raise self._true_error(error) from error
        finally:
            _note_end(self._tools, self.run, self._pause)

    def _true_error(self, error: MastichatchError) -> MastichatchError:
        """Return what may be said of the whole generation.

        What its last attempt proves does not hold for those before it.
        """
        if self._order.count:
            return MastichatchError(
                ErrorKind.generation_lost,
                str(error),
                tokens_delivered=self.run.output_tokens,
            )
        if self._may_have_run and error.ran is Ran.no:
            return MastichatchError(ErrorKind.outcome_unknown, str(error))
        return error

    async def _relay(self) -> None:
        place = await self._placing.place(self._job, self._excluded)
        source = Source(place=place)
        for _ in range(SEND_LIMIT + RESUME_LIMIT):
            self._source = source
            self._moved = None
            self._destination = None
            result = await self._attempt(source)
            self._may_have_run |= result.fate is Fate.unknown
            if result.fate is Fate.answered:
                return
            # The copy may have been given up meanwhile.
            following = await self._next_source(result, self._source)
            if following is None:
                raise _failure(result)
            source = following
        raise MastichatchError(ErrorKind.generation_lost)

    async def _next_source(
        self, result: Result, source: Source
    ) -> Source | None:
        """Return where the generation goes on after a failed attempt."""
        moved = None if self._moved is None else await self._moved
        if moved is not None:
            # A new copy would fill the links that other moves still need.
            return Source(
                place=Place(endpoint=moved.endpoint, copy=None),
                resumption=Resumption(
                    address=moved.address,
                    handle=moved.handle,
                    last_event=self.last_event,
                ),
            )
        nothing_ran = result.fate in {Fate.not_sent, Fate.refused}
        if source.resumption is None and nothing_ran:
            # What was never sent is no repeat at any endpoint.
            is_repeat = result.fate is Fate.refused
            if is_repeat and not self._tools.retries.spend():
                return None
            self._excluded |= {source.place.endpoint.instance}
            return Source(
                place=await self._placing.place(self._job, self._excluded)
            )
        copy = source.place.copy
        if copy is None or not self._placing.takes_runs(copy):
            return None
        return Source(
            place=Place(endpoint=copy, copy=None),
            resumption=Resumption(
                address=copy.address,
                handle=self._job.request_id,
                last_event=self.last_event,
            ),
        )

    async def _attempt(self, source: Source) -> Result:
        """Run, or go on, at one engine."""
        endpoint = source.place.endpoint
        started_at = loop_time()
        if source.resumption is not None:
            # The engine counts it as a repeat, so that others must yield.
            self._tools.retries.spend()
            self._tools.sharing.note(self.run)
        try:
            result = await self._exchange(source)
        except ExchangeError as error:
            result = Result(fate=fate_of(error), reason=str(error))
        self._connection = None
        note_result(self._tools, endpoint, result, started_at)
        self._tools.telemetry.decide(
            'generation_attempted',
            self._job.request_id,
            endpoint=endpoint.instance,
            resumed=source.resumption is not None,
            fate=result.fate,
            status=result.head.status if result.head else 0,
            reason=result.reason,
            events=self._order.count,
            first_event_ms=_first_event_ms(self._pause, self._job),
            longest_pause_ms=round(self._pause.longest_s * MS_PER_S),
            left_ms=round(self._job.left_ms()),
        )
        return result

    async def _exchange(self, source: Source) -> Result:
        tools = self._tools
        place = source.place
        copy_address = '' if place.copy is None else place.copy.address
        # An idle connection may have been dropped, and what is sent on it
        # would be lost: a generation is worth more than a round trip.
        async with borrow(tools.pool, place.endpoint.address, 0) as connection:
            self._connection = connection
            if place.copy is None:
                connection.bear_silence(STREAM_SILENCE_MS)
            await connection.send(
                outgoing(
                    tools,
                    self._job,
                    place.endpoint,
                    copy_address=copy_address,
                    resumption=source.resumption,
                )
            )
            head = await read_answer(tools, self._job, connection)
            if head.status == _OK:
                await self._pass_events(connection, head)
                return Result(fate=Fate.answered, head=head)
            body = await connection.read_body(ANSWER_LIMIT_BYTES)
        if tools.dialect.proves_not_run(head):
            return Result(fate=Fate.refused, head=head)
        if self._reply.status or head.status in PROMISES:
            reason = f'the engine answered {head.status}'
            raise ExchangeError(reason, was_sent=True)
        headers = tools.dialect.answer_headers(head.headers)
        await self._reply.send(head.status, headers, body)
        return Result(fate=Fate.answered, head=head)

    async def _pass_events(self, connection: Connection, head: Head) -> None:
        splitter = EventSplitter()
        while True:
            part = await connection.read_part()
            if part is None:
                break
            events = splitter.feed(part)
            if events:
                await self._pass(events, head)
        await self._start(head)
        if splitter.rest:
            await self._reply.write(splitter.rest)
        await self._reply.finish()

    async def _pass(self, events: tuple[bytes, ...], head: Head) -> None:
        """Pass whole events on, each once and in order."""
        try:
            fresh = self._order.drop_repeated(events)
        except MissingEventError as error:
            raise ExchangeError(str(error), was_sent=True) from error
        if not fresh:
            return
        is_first = not self._reply.status
        await self._start(head)
        self._pause.record_event(loop_time())
        await self._reply.write(b''.join(fresh))
        # Later events reach other nodes with the next whole list.
        self._tools.sharing.note(self.run, tell=is_first)

    async def _start(self, head: Head) -> None:
        if self._reply.status:
            return
        tools = self._tools
        tools.telemetry.note_first_byte(
            self._job.route.kind, self._job.request.arrived_at
        )
        headers = tools.dialect.answer_headers(head.headers)
        await self._reply.start(head.status, headers)


def _first_event_ms(pause: PauseTimer, job: Job) -> int | None:
    """Return the time from a request to its first event, if there was one."""
    if pause.first_at is None:
        return None
    return round((pause.first_at - job.request.arrived_at) * MS_PER_S)


def _note_end(tools: Tools, run: Run, pause: PauseTimer) -> None:
    tools.sharing.note(dataclasses.replace(run, state=RunState.ended))
    if run.output_tokens:
        tools.telemetry.note_longest_pause(pause.longest_s)


def _failure(result: Result) -> MastichatchError:
    """Return the failure of a generation whose last attempt failed.

    :param result: the last attempt
    """
    if result.fate is Fate.refused:
        return MastichatchError(ErrorKind.endpoint_refused, result.reason)
    if result.fate is Fate.not_sent:
        return MastichatchError(ErrorKind.endpoint_unreachable, result.reason)
    return MastichatchError(ErrorKind.outcome_unknown, result.reason)
