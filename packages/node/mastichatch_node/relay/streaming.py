"""Relays generations, and resumes them on other engines after a failure."""

import contextlib
import dataclasses
from collections.abc import Callable
from typing import Final

from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.messages import ErrorKind, Ran, Run, RunState
from mastichatch_core.relay.byte_budget import Purpose
from mastichatch_core.relay.engine_choice import MOVED_MEMORY_SHARE
from mastichatch_core.relay.events import (
    EventOrder,
    PauseTimer,
)
from mastichatch_core.relay.model import Endpoint
from mastichatch_core.relay.run_engines import Ending, RunEngines
from mastichatch_core.units import MS_PER_S
from mastichatch_node.clock import loop_time
from mastichatch_node.relay.endpoint_attempt import (
    NOT_RUN_STATUSES,
    AttemptOutcome,
    AttemptResult,
    record_result,
    start_reply,
)
from mastichatch_node.relay.http_client import (
    SILENCE_TIMEOUT_MS,
    Connection,
    ExchangeError,
    ResponseHead,
)
from mastichatch_node.relay import (
    engine_exchange as exchanges,
    proxy_decision,
    run_adoption,
)
from mastichatch_node.relay.http_server import ResponseWriter
from mastichatch_node.relay.context import Job, RelayContext
from mastichatch_node.relay.rollouts.stream_evidence import StreamEvidence
from mastichatch_node.relay.run_transfer import (
    RunLocation,
    RunTransfer,
)
from mastichatch_node.relay.run_stopping import (
    CopyResumption,
    Handover,
    StoppedRun,
)
from mastichatch_node.relay.event_reading import open_event_reader
from mastichatch_node.relay.run_slots import RunSlots
from mastichatch_node.relay.engine_placement import (
    EnginePlacement,
    EnginePlacer,
    new_run,
)

ANSWER_LIMIT_BYTES: Final = 1024 * 1024
# Maximum number of engines tried while each refuses without running the
# request; each further engine adds latency.
SEND_LIMIT: Final = 3
# Maximum number of resumptions of one generation on other engines.
RESUME_LIMIT: Final = 6

_OK: Final = 200


class Generation:
    """One generation that is streamed to its caller."""

    def __init__(
        self,
        context: RelayContext,
        placing: EnginePlacer,
        job: Job,
        reply: ResponseWriter,
    ) -> None:
        """Start without an engine.

        :param context: shared components of the relay
        :param placing: assigns engines
        :param job: the request
        :param reply: the answer to the caller
        """
        self._context = context
        self._placer = placing
        self._job = job
        self._reply = reply
        self._order = job.new_event_order()
        self._pause = PauseTimer()
        self._may_have_run = job.hop is not None and job.hop.run is not None
        self._excluded: frozenset[str] = frozenset()
        self._source: exchanges.AttemptSource | None = None
        self._connection: Connection | None = None
        self._slots = RunSlots(context, job, placing)
        self._head_at: float | None = None
        self._is_unframed = False
        self._is_withdrawn = False
        self._evidence: StreamEvidence | None = None
        self._transfer = RunTransfer()
        self._engines = RunEngines()
        self._handover = Handover(
            context.stopper,
            self._engines,
            lambda: StoppedRun(
                request_id=job.request_id,
                last_event=self._order.last,
                ends_at=job.ends_at,
            ),
        )

    @property
    def job(self) -> Job:
        """The request."""
        return self._job

    @property
    def connection(self) -> Connection | None:
        """Connection to the engine, while the generation runs on it."""
        return self._connection

    @property
    def endpoint(self) -> Endpoint | None:
        """The engine that runs the generation, if one is assigned."""
        return None if self._source is None else self._source.placement.endpoint

    @property
    def copy(self) -> Endpoint | None:
        """The engine with a copy of its KV cache, if any."""
        return None if self._source is None else self._source.placement.copy

    def drop_copy(self) -> None:
        """Stop using the copy, because its engine no longer accepts runs."""
        if self._source is not None:
            placement = dataclasses.replace(self._source.placement, copy=None)
            self._source = dataclasses.replace(
                self._source, placement=placement
            )
            self._context.sharing.record(self.run)

    @property
    def transfer(self) -> RunTransfer:
        """Transfers of the run from its present engine."""
        return self._transfer

    def record_standby(self, standby: RunLocation | None) -> None:
        """Record that a standby copy exists or no longer does.

        :param standby: location of the copy; ``None`` without one
        """
        self._transfer.standby = standby
        if standby is not None and self._connection is not None:
            # A silent engine need not be waited for any longer.
            self._connection.set_silence_timeout(SILENCE_TIMEOUT_MS)
        self.announce_destination(None if standby is None else standby.endpoint)

    def announce_destination(
        self, destination: Endpoint | None, *, is_departing: bool = False
    ) -> None:
        """Announce the destination of a transfer to all nodes.

        :param destination: the engine; ``None`` if the transfer failed
        :param is_departing: whether the run is to leave its engine
        """
        self._transfer.destination = destination
        self._transfer.is_departing = is_departing
        self._context.sharing.record(self.run)

    @property
    def order(self) -> EventOrder:
        """Events that the caller has, and how many this answer has sent."""
        return self._order

    def withdraw(self) -> bool:
        """Take the run off an engine that it would crash, unless it has begun.

        :returns: whether it was taken off
        """
        has_begun = self._head_at is not None
        if self._connection is None or has_begun or self._is_withdrawn:
            return False
        self._is_withdrawn = True
        self._connection.close()
        return True

    @property
    def run(self) -> Run:
        """The state of the generation that is announced to other nodes."""
        job = self._job
        engine = job.service.engine
        tokens = 1 if engine is None else engine.tokens_per_event
        endpoint = self.endpoint
        copy = self._transfer.destination or self.copy
        return dataclasses.replace(
            new_run(job, self._context.controls),
            state=RunState.running,
            endpoint='' if endpoint is None else endpoint.instance,
            copy_at='' if copy is None else copy.instance,
            has_standby=self._transfer.has_idle_standby,
            standby_handle=self._transfer.standby_handle,
            output_tokens=self._order.count * tokens,
            suspects=_untried_suspects(self._source, self._order),
        )

    async def move_to(self, location: RunLocation) -> None:
        """Stop the run, and transfer the last part of it to another engine.

        :param location: copy of the rest on that engine
        """
        self._handover.copies.add(location)
        if self.endpoint is not None and not self._transfer.has_ended:
            order = self._handover.order_stop(self.endpoint, location.endpoint)
            self._transfer.stop_order = order
            await order.result()

    def switch_to(self, copy: Endpoint) -> None:
        """Resume the run from its copy, and take it off its engine then.

        The engine goes on until the copy has proved usable. If it has not, the
        copy is given up.

        :param copy: engine with the copy
        """
        endpoint = self.endpoint
        if endpoint is None:
            return
        location = RunLocation(
            endpoint=copy, address=copy.address, handle=self._job.request_id
        )
        source = exchanges.resume_at(location, self._order.last)

        def leave() -> None:
            if self._connection is not None:
                self._connection.close()

        def choose_other() -> Endpoint:
            other = self._placer.choose_destination_engine(
                self._job,
                self.run,
                frozenset((endpoint.instance, copy.instance)),
                endpoint,
                MOVED_MEMORY_SHARE,
            )
            return copy if other is None else other

        resumption = CopyResumption(
            copy=copy,
            prepare=lambda: exchanges.prepare(
                self._context, self._job, source, self._engines
            ),
            choose_other=choose_other,
            leave=leave,
            give_up=self.drop_copy,
        )
        self._handover.switch(self._transfer, endpoint, resumption)

    async def relay(self) -> None:
        """Relay the generation until it ends.

        :raises MastichatchError: if there is no complete answer
        """
        try:
            with contextlib.closing(self._slots):
                source = await _first_source(
                    self._context,
                    self._placer,
                    self._job,
                    self._slots,
                    run_adoption.RunControl(self._engines, self._handover),
                )
                for _ in range(SEND_LIMIT + RESUME_LIMIT):
                    result = await self._attempt(source)
                    if result.fate is AttemptOutcome.answered:
                        return
                    source = await self._next_source(result, source)
                raise MastichatchError(ErrorKind.generation_lost)
        except proxy_decision.PassOnError as error:
            if error.left is not None:
                self._transfer.left_copies = error.left.copies
            self._handover.orders.abandon()
            raise
        except MastichatchError as error:
            raise _overall_error(
                error, self.run.output_tokens, may_have_run=self._may_have_run
            ) from error
        finally:
            self._handover.end(self._transfer, self.endpoint)
            _record_end(self._context, self.run, self._pause)

    async def _next_source(
        self, result: AttemptResult, source: exchanges.AttemptSource
    ) -> exchanges.AttemptSource:
        """Return the source of the next attempt.

        :raises MastichatchError: if there is none
        """
        handed_over = await _handed_over(
            self._transfer, self._handover, source, self._order.last
        )
        if handed_over is not None:
            return handed_over
        # A switch that has failed has dropped the copy.
        source = self._source or source
        nothing_ran = result.fate in {
            AttemptOutcome.not_sent,
            AttemptOutcome.refused,
        }
        if not source.is_resumed and nothing_ran:
            _spend_retry(self._context, result)
            self._excluded |= {source.placement.endpoint.instance}
            return exchanges.AttemptSource(
                placement=await self._slots.place(self._excluded)
            )
        if self._is_withdrawn:
            raise _attempt_error(result)
        if result.is_closed_by_peer:
            # The connections to all engines may have broken.
            await self._context.isolation.settle()
        if proxy_decision.must_pass_on(self._context, self._job):
            raise run_adoption.leave(
                source.placement.endpoint,
                self._engines,
                self._order,
                _usable_copy(
                    source,
                    self._transfer.standby,
                    self._job.request_id,
                    _accepts_any,
                ),
                self._handover.copies.take_all(),
                self._job.request_id,
            )
        former = source.placement.endpoint
        may_resume = _resumption_check(
            self._context, self._placer, self._job, self._order, former
        )
        standby = _usable_copy(
            source, self._transfer.standby, self._job.request_id, may_resume
        )
        location = await _find_copy(self._handover, standby, may_resume, former)
        if location is None:
            raise _attempt_error(result)
        return exchanges.resume_at(location, self._order.last)

    async def _attempt(self, source: exchanges.AttemptSource) -> AttemptResult:
        """Run or resume the generation on one engine."""
        self._source = source
        self._transfer = RunTransfer()
        endpoint = source.placement.endpoint
        started_at = loop_time()
        self._head_at = None
        self._is_unframed = False
        if source.prepared is None:
            self._handover.begin_at(endpoint)
        if source.resumption is not None:
            self._context.turns.charge(endpoint)
        if source.is_resumed:
            self._handover.log_resumption(endpoint)
            # Engines count a resumption as a retry. It is not subject to the
            # budget, but takes from it, which leaves fewer other retries.
            self._context.retries.try_spend()
            self._context.sharing.record(self.run)
        self._evidence = StreamEvidence(
            self._context, self._job, endpoint, is_resumed=source.is_resumed
        )
        results: list[AttemptResult] = []

        def was_ordered_off() -> bool:
            return self._transfer.is_moving or self._is_withdrawn

        try:
            with self._slots.used(endpoint, results, was_ordered_off):
                results.append(await self._exchange(source))
        finally:
            self._evidence.close()
        result = results[-1]
        self._may_have_run |= result.fate is AttemptOutcome.unknown
        self._connection = None
        self._transfer.has_ended = True
        _record_ending(self._engines, endpoint, result)
        record_result(self._context, endpoint, result, started_at)
        self._placer.record_attempt(endpoint, result)
        self._evidence.record_end(result, was_ordered=was_ordered_off())
        # A version on trial may crash by itself.
        if (
            not self._order.count
            and _ended_like_crash(result, self._transfer)
            and not self._context.rollouts.is_on_trial(endpoint)
        ):
            await self._context.crashes.report_crash(
                self._job.parts,
                self._job.request_id,
                endpoint,
                has_begun=self._head_at is not None,
            )
        self._context.telemetry.log_decision(
            'generation_attempted',
            self._job.request_id,
            endpoint=endpoint.instance,
            resumed=source.is_resumed,
            after_event=source.begins_after(self._job),
            unframed=self._is_unframed,
            **self._handover.orders.describe(endpoint),
            fate=result.fate,
            status=result.status,
            reason=result.reason,
            closed_by_peer=result.is_closed_by_peer,
            head_ms=_elapsed_ms(started_at, self._head_at),
            events=self._order.count,
            first_event_ms=_elapsed_ms(
                self._job.request.arrived_at, self._pause.first_at
            ),
            longest_pause_ms=round(self._pause.longest_s * MS_PER_S),
            left_ms=round(self._job.left_ms()),
        )
        return result

    async def _exchange(self, source: exchanges.AttemptSource) -> AttemptResult:
        context = self._context

        def record_connection(connection: Connection) -> None:
            self._connection = connection

        opened = exchanges.open_answer(
            context, self._job, source, record_connection
        )
        async with opened as (connection, head):
            self._head_at = loop_time()
            self._engines.record_answer(source.placement.endpoint)
            if head.status == _OK:
                self._handover.copies.forget_used(
                    source.placement.endpoint, source.resumption
                )
                if source.prepared is None:
                    self._handover.release()
                await self._forward_events(connection, head, source)
                return AttemptResult(fate=AttemptOutcome.answered, head=head)
            with exchanges.failures_of(self._job, source):
                body = await connection.read_body(
                    ANSWER_LIMIT_BYTES, Purpose.answer
                )
            return await _pass_on(context, self._reply, head, body)

    async def _forward_events(
        self,
        connection: Connection,
        head: ResponseHead,
        source: exchanges.AttemptSource,
    ) -> None:
        longest_s = self._job.longest_stall_s
        self._is_unframed = connection.is_unframed
        with open_event_reader(connection, self._order, longest_s) as reader:
            while True:
                with exchanges.failures_of(self._job, source):
                    fresh = await reader.read()
                if fresh is None:
                    break
                await self._forward(fresh, head)
        orders = self._handover.orders
        endpoint = source.placement.endpoint
        if connection.is_unframed and await orders.may_have_stopped(endpoint):
            raise ExchangeError(
                'the engine may have stopped the run on order', was_sent=True
            )
        await start_reply(self._context, self._job, self._reply, head)
        await self._reply.finish()

    async def _forward(
        self, fresh: tuple[bytes, ...], head: ResponseHead
    ) -> None:
        """Forward complete events that the caller does not have yet."""
        if not fresh:
            return
        is_first = not self._reply.status
        await start_reply(self._context, self._job, self._reply, head)
        now = loop_time()
        if self._pause.first_at is None and self._source is not None:
            self._context.crashes.record_first_event(
                self._job.parts,
                self._source.placement.endpoint,
                now - (self._head_at or now),
            )
        self._pause.record_event(now)
        if self._evidence is not None:
            self._evidence.record_events(len(fresh))
        await self._reply.write(b''.join(fresh))
        # Later progress reaches other nodes with the next full list of runs.
        self._context.sharing.record(self.run, announce=is_first)


async def _first_source(
    context: RelayContext,
    placer: EnginePlacer,
    job: Job,
    slots: RunSlots,
    control: run_adoption.RunControl,
) -> exchanges.AttemptSource:
    """Return where a generation begins, or goes on if it is in progress."""
    if job.hop is None or job.hop.run is None:
        placement = await slots.place(frozenset())
        return exchanges.AttemptSource(placement=placement)
    return await run_adoption.adopt(context, placer, job, job.hop.run, control)


async def _pass_on(
    context: RelayContext,
    reply: ResponseWriter,
    head: ResponseHead,
    body: bytes,
) -> AttemptResult:
    """Pass an answer that is no stream on to the caller, if that is allowed.

    :raises ExchangeError: if it is not
    """
    if context.dialect.proves_not_run(head):
        return AttemptResult(fate=AttemptOutcome.refused, head=head)
    if reply.status or head.status in NOT_RUN_STATUSES:
        reason = f'the engine answered {head.status}'
        raise ExchangeError(reason, was_sent=True)
    headers = context.dialect.response_headers(head.headers)
    await reply.send(head.status, headers, body)
    return AttemptResult(fate=AttemptOutcome.answered, head=head)


def _record_ending(
    engines: RunEngines, endpoint: Endpoint, result: AttemptResult
) -> None:
    """Record what the end of an attempt tells about its engine."""
    if result.fate is not AttemptOutcome.unknown:
        engines.record_proof(endpoint)
    elif result.is_closed_by_peer:
        engines.record_disconnect(endpoint, Ending.by_peer)
    else:
        engines.record_disconnect(endpoint, Ending.by_node)


def _resumption_check(
    context: RelayContext,
    placer: EnginePlacer,
    job: Job,
    order: EventOrder,
    former: Endpoint,
) -> Callable[[Endpoint], bool]:
    """Return a function that tells whether a run may go on at an engine.

    The prompt of a run without an event may have crashed its last engine.
    """

    def may_resume(endpoint: Endpoint) -> bool:
        if (
            order.count == 0
            and context.crashes.judge(job.parts, endpoint).suspects
        ):
            return False
        return placer.accepts_runs(endpoint, former)

    return may_resume


async def _handed_over(
    transfer: RunTransfer,
    handover: Handover,
    source: exchanges.AttemptSource,
    last_event: int | None,
) -> exchanges.AttemptSource | None:
    """Return where a hand-over has taken a run, if anywhere."""
    prepared = await transfer.prepared()
    former = source.placement.endpoint
    if prepared is None:
        if transfer.stop_order is None:
            return None
        moved = await handover.take(transfer.stop_order)
        if moved is None:
            return None
        if not await handover.ensure_alone(moved.endpoint, former):
            return None
        return exchanges.resume_at(moved, last_event)
    handover.confirm_stopped(former, prepared)
    placement = EnginePlacement(endpoint=prepared.endpoint, copy=None)
    return exchanges.AttemptSource(placement=placement, prepared=prepared)


async def _find_copy(
    handover: Handover,
    standby: RunLocation | None,
    may_resume: Callable[[Endpoint], bool],
    former: Endpoint,
) -> RunLocation | None:
    """Return the copy from which a run may resume on its own, if any.

    :param handover: hands the run over from engine to engine
    :param standby: copy that was kept beside the run
    :param may_resume: returns whether the run may go on at an engine
    :param former: engine of the last attempt
    """
    earlier = handover.copies.take(may_resume)
    location = earlier or standby or await handover.take_transferred()
    if location is None:
        return None
    is_alone = False
    try:
        is_alone = await handover.ensure_alone(location.endpoint, former)
    finally:
        if not is_alone and earlier is not None:
            # It is freed with the rest once the run has ended.
            handover.copies.add(earlier)
    if is_alone:
        return handover.orders.newest_copy(location)
    return None


def _usable_copy(
    source: exchanges.AttemptSource,
    standby: RunLocation | None,
    request_id: str,
    may_resume: Callable[[Endpoint], bool],
) -> RunLocation | None:
    """Return the copy from which a run may resume, if there is one."""
    if standby is not None and may_resume(standby.endpoint):
        return standby
    copy = source.placement.copy
    if copy is None or not may_resume(copy):
        return None
    return RunLocation(endpoint=copy, address=copy.address, handle=request_id)


def _spend_retry(context: RelayContext, result: AttemptResult) -> None:
    """Take a repeated request from the retry budget.

    A request that was never sent does not count as a retry.

    :raises MastichatchError: if the budget is used up
    """
    is_repeat = result.fate is AttemptOutcome.refused
    if is_repeat and not context.retries.try_spend():
        raise _attempt_error(result)


def _accepts_any(endpoint: Endpoint) -> bool:
    """Return whether a run may go on at an engine, which a peer decides."""
    return True


def _untried_suspects(
    source: exchanges.AttemptSource | None, order: EventOrder
) -> tuple[str, ...]:
    """Return the suspected parts on which no engine has answered yet."""
    if order.count or source is None:
        return ()
    return source.placement.suspects


def _ended_like_crash(result: AttemptResult, transfer: RunTransfer) -> bool:
    """Return whether an attempt may have ended by a crash of the engine."""
    return (
        result.fate is AttemptOutcome.unknown
        and result.is_closed_by_peer
        and not transfer.is_moving
    )


def _overall_error(
    error: MastichatchError, delivered_tokens: int, *, may_have_run: bool
) -> MastichatchError:
    """Return the error that holds for all attempts of a generation.

    That the last attempt did not run proves nothing about earlier ones.
    """
    if delivered_tokens:
        return MastichatchError(
            ErrorKind.generation_lost,
            str(error),
            tokens_delivered=delivered_tokens,
        )
    if may_have_run and error.ran is Ran.no:
        return MastichatchError(ErrorKind.outcome_unknown, str(error))
    return error


def _elapsed_ms(since: float, at: float | None) -> int | None:
    """Return the milliseconds between two loop times, if both are known."""
    return None if at is None else round((at - since) * MS_PER_S)


def _record_end(context: RelayContext, run: Run, pause: PauseTimer) -> None:
    context.sharing.record(dataclasses.replace(run, state=RunState.ended))
    if run.output_tokens:
        context.telemetry.observe_longest_pause(pause.longest_s)


def _attempt_error(result: AttemptResult) -> MastichatchError:
    """Return the error for a generation whose last attempt failed.

    :param result: the last attempt
    """
    if result.fate is AttemptOutcome.refused:
        return MastichatchError(ErrorKind.endpoint_refused, result.reason)
    if result.fate is AttemptOutcome.not_sent:
        return MastichatchError(ErrorKind.endpoint_unreachable, result.reason)
    return MastichatchError(ErrorKind.outcome_unknown, result.reason)
