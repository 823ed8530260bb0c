"""Stops runs on their engines, so that they can continue on others.

Load pattern: engines work on a run after its connection has closed, since they
leave, stall, or do not learn of a reset on the way. The run would then be
generated twice at the same time. Only an answer of the engine proves that it
has stopped.
"""

import asyncio
import contextlib
import dataclasses
from collections.abc import Callable, Coroutine, Iterable
from http import HTTPStatus
from typing import Any, Final, TypeVar

from mastichatch_core.relay.model import Endpoint
from mastichatch_core.relay.run_engines import Ending, EngineWork, RunEngines
from mastichatch_core.relay.run_stops import (
    COPY_ANSWER_LIMIT_S,
    DROP_DELAY_S,
    LATE_ANSWER_WAIT_S,
    OVERLAP_LIMIT_S,
    REACH_CHECK_INTERVAL_S,
    SWITCH_PROOF_LIMIT_S,
    UNREACHABLE_WAIT_S,
    Reach,
    StopProof,
    answer_wait_s,
    read_stop_answer,
    repeat_delay_s,
    shows_no_effect,
)
from mastichatch_core.relay.switch_gate import SwitchGate
from mastichatch_core.units import MS_PER_S
from mastichatch_node.clock import loop_time
from mastichatch_node.relay.dialect import Dialect, MoveOrder, MoveResponse
from mastichatch_node.relay.earlier_copies import EarlierCopies
from mastichatch_node.relay.http_client import ConnectionPool, ExchangeError
from mastichatch_node.relay.order_tries import OrderTries, open_tries
from mastichatch_node.relay.run_orders import RunOrders
from mastichatch_node.relay.run_transfer import (
    PreparedResumption,
    RunLocation,
    RunTransfer,
    StopOrder,
    StopOutcome,
)
from mastichatch_node.relay.telemetry import Telemetry

_OK: Final = 200

_Result = TypeVar('_Result')


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoppedRun:
    """A run that is to stop.

    :param request_id: id of its request
    :param last_event: number of the last event that the caller has, if any
    :param ends_at: loop time of its deadline, in seconds
    """

    request_id: str
    last_event: int | None
    ends_at: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CopyResumption:
    """Resumption of a run from its copy, while its engine goes on with it.

    :param copy: engine with the copy
    :param prepare: resumes the run up to the head of the answer
    :param choose_other: returns the engine to which the source transfers the
        run if the engine with the copy does not answer in time
    :param leave: closes the connection to the source, once the copy has proved
        usable
    :param give_up: gives the copy up, if it has not
    """

    copy: Endpoint
    prepare: Callable[[], Coroutine[Any, Any, PreparedResumption | None]]
    choose_other: Callable[[], Endpoint]
    leave: Callable[[], None]
    give_up: Callable[[], None]


class RunStopper:
    """Orders engines to stop runs, and tracks the orders in progress."""

    def __init__(
        self, dialect: Dialect, telemetry: Telemetry, pool: ConnectionPool
    ) -> None:
        """Start without orders.

        :param dialect: sends the orders
        :param telemetry: logs the answers
        :param pool: connections to engines
        """
        self._pool = pool
        self._dialect = dialect
        self._telemetry = telemetry
        self._gate = SwitchGate()
        self._tasks: set[asyncio.Task[Any]] = set()

    @property
    def telemetry(self) -> Telemetry:
        """Log and metrics."""
        return self._telemetry

    @property
    def gate(self) -> SwitchGate:
        """What switches of runs have shown of their engines."""
        return self._gate

    async def check_reach(self, endpoint: Endpoint) -> Reach:
        """Connect to an engine, and keep the connection for an order.

        :param endpoint: the engine
        """
        try:
            connection = await self._pool.take(endpoint.address, 0)
        except ExchangeError as error:
            if error.is_connection_refused:
                return Reach.refused
            return Reach.none
        self._pool.release(connection)
        return Reach.accepted

    def stop(
        self,
        run: StoppedRun,
        source: Endpoint,
        destination: Endpoint,
        engines: RunEngines,
        delay_s: float = 0,
    ) -> StopOrder:
        """Order an engine to stop a run, and to transfer it to another one.

        The engine stops the run before the transfer, and closes its stream. The
        order is repeated until an answer proves that the run has stopped.

        :param run: the run
        :param source: its engine
        :param destination: engine on which it is to continue
        :param engines: engines that may be at work on the run
        :param delay_s: time to wait before the order is sent, in seconds
        """
        order = StopOrder(source=source)
        order.task = self.start_task(
            self._stop(order, run, destination, engines, delay_s)
        )
        return order

    def release(self, order: StopOrder) -> None:
        """Free the copy that an order to stop has made and nobody uses.

        :param order: order that ``stop`` returned
        """
        self.start_task(self._release(order))

    def free(self, location: RunLocation) -> None:
        """Free a copy that nobody uses.

        :param location: location of the copy
        """
        self.start_task(self._free(location))

    def close(self) -> None:
        """Cancel all orders in progress."""
        for task in self._tasks:
            task.cancel()

    def start_task(
        self, work: Coroutine[Any, Any, _Result]
    ) -> asyncio.Task[_Result]:
        """Run a coroutine that belongs to an order.

        :param work: the coroutine, which is cancelled when the node stops
        """
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _stop(
        self,
        order: StopOrder,
        run: StoppedRun,
        destination: Endpoint,
        engines: RunEngines,
        delay_s: float,
    ) -> StopOutcome:
        source = order.source
        move = MoveOrder(
            address=source.address,
            request_id=run.request_id,
            target=destination.address,
            is_final=True,
            on_connect=lambda: order.record_reach(Reach.accepted),
        )
        answer, proof = MoveResponse(status=0), StopProof.none
        started_at = loop_time() + delay_s
        statuses: list[int] = []
        pause_s: float | None = delay_s
        with open_tries(self._dialect.move_run, move) as tries:
            while pause_s is not None:
                answer = await _next_answer(tries, order, pause_s)
                if statuses[-1:] != [answer.status]:
                    statuses.append(answer.status)
                proof = self._read_proof(answer, order, engines)
                if proof.allows_resumption:
                    order.cleared.set()
                if proof is StopProof.absent:
                    copied = await _late_copy(tries, order)
                    if copied is not None:
                        answer, proof = copied, StopProof.stopped
                    elif not order.may_have_stopped:
                        proof = StopProof.ended
                usual_s = repeat_delay_s(
                    proof,
                    answer.status,
                    order.sent,
                    loop_time() - started_at,
                    run.ends_at - loop_time(),
                )
                pause_s = _pause_s(usual_s, answer, tries, order)
        self._telemetry.log_decision(
            'run_stopped_and_copied',
            run.request_id,
            source=source.instance,
            destination=destination.instance,
            status=answer.status,
            answers=statuses,
            proof=proof,
            refused=answer.is_connection_refused,
            open=self._pool.signs.is_open(source.address),
            tries=order.sent,
            unanswered=order.unanswered,
            last_event=run.last_event,
            took_ms=round((loop_time() - started_at) * MS_PER_S),
        )
        return _stop_outcome(answer, proof, source, destination)

    def _read_proof(
        self, answer: MoveResponse, order: StopOrder, engines: RunEngines
    ) -> StopProof:
        source = order.source
        has_process_ended = (
            answer.is_connection_refused
            and engines.was_closed_by_peer(source)
            and self._pool.signs.has_ended(source.address)
        )
        return read_stop_answer(
            answer.status,
            has_handle=bool(answer.handle),
            has_process_ended=has_process_ended,
            has_begun=engines.has_begun(source),
            may_have_stopped=order.may_have_stopped,
        )

    async def _release(self, order: StopOrder) -> None:
        outcome = await order.result()
        if outcome.location is not None:
            await self._free(outcome.location)

    async def _free(self, location: RunLocation) -> None:
        await self._dialect.drop_copy(location.address, location.handle)


class Handover:
    """Hands the run of one generation over from engine to engine.

    A run goes on at an engine once all others to which it was sent have proved
    that they are not at work on it, or cannot be reached. Where it can be
    resumed from a copy while its engine goes on, both may work on it for
    ``OVERLAP_LIMIT_S``, so that a copy that proves unusable costs nothing.

    An order to stop also transfers the run. That copy is kept until the one
    from which the run resumes has proved usable.
    """

    def __init__(
        self,
        stopper: RunStopper,
        engines: RunEngines,
        current_run: Callable[[], StoppedRun],
    ) -> None:
        """Start without an order.

        :param stopper: orders engines to stop runs
        :param engines: engines that may be at work on the run
        :param current_run: returns the state of the run
        """
        self._stopper = stopper
        self._engines = engines
        self._current_run = current_run
        self._orders = RunOrders()
        self._copies = EarlierCopies()
        self._choose_other: Callable[[], Endpoint]

    @property
    def orders(self) -> RunOrders:
        """Orders to stop the run."""
        return self._orders

    @property
    def copies(self) -> EarlierCopies:
        """Copies that were made before an order to stop the run."""
        return self._copies

    def begin_at(self, endpoint: Endpoint) -> None:
        """Record that the run is about to be sent to an engine.

        :param endpoint: the engine
        """
        self._orders.cancel(endpoint)
        self._engines.record_request(endpoint, loop_time())

    def order_stop(
        self, source: Endpoint, destination: Endpoint, delay_s: float = 0
    ) -> StopOrder:
        """Order an engine to stop the run, once.

        :param source: the engine
        :param destination: engine on which the run is to continue
        :param delay_s: time to wait before the order is sent, in seconds
        """
        known = self._orders.find(source)
        if known is not None:
            return known
        order = self._stopper.stop(
            self._current_run(),
            source,
            destination,
            self._engines,
            delay_s,
        )
        order.on_result(lambda outcome: self._record_stop(source, outcome))
        self._orders.add(order)
        return order

    def switch(
        self,
        transfer: RunTransfer,
        source: Endpoint,
        resumption: CopyResumption,
    ) -> None:
        """Resume the run from its copy while its engine goes on with it.

        :param transfer: transfers of the run from that engine
        :param source: the engine
        :param resumption: resumption of the run from the copy
        """

        def finish(switch: asyncio.Task[PreparedResumption | None]) -> None:
            if transfer.switch is not switch or switch.cancelled():
                return
            if not switch.exception() and switch.result() is not None:
                resumption.leave()
                return
            transfer.switch = None
            transfer.is_departing = False

        transfer.is_departing = True
        self._choose_other = resumption.choose_other
        self._stopper.gate.record_switch(source.instance, loop_time())
        transfer.switch = asyncio.ensure_future(
            self._switch(transfer, source, resumption)
        )
        transfer.switch.add_done_callback(finish)

    def end(self, transfer: RunTransfer, source: Endpoint | None) -> None:
        """Free all that the run does not need once it has ended.

        :param transfer: transfers of the run from its last engine
        :param source: that engine, if there is one
        """
        self.release()
        switch = transfer.switch
        if switch is None or switch.cancel() or switch.cancelled():
            return
        prepared = None if switch.exception() else switch.result()
        if prepared is not None and source is not None:
            prepared.connection.close()
            self._abandon(prepared.endpoint, source)

    def confirm_stopped(
        self, source: Endpoint, prepared: PreparedResumption
    ) -> None:
        """Stop a run that went on elsewhere, if its engine has not dropped it.

        Most engines have when their connection closed, and transfer nothing.
        Without a proof in time, the run leaves the engine where it went on.

        :param source: engine whose connection this node has closed
        :param prepared: the resumption
        """
        order = self.order_stop(source, prepared.endpoint, DROP_DELAY_S)
        self._stopper.start_task(self._confirm(order, prepared))

    async def ensure_alone(
        self, destination: Endpoint, source: Endpoint
    ) -> bool:
        """Wait until no engine is at work on the run.

        The end of a connection is no proof, whoever has closed it.

        :param destination: engine on which the run is to continue
        :param source: engine of the last attempt
        :returns: whether all engines have proved it or cannot be reached, so
            that the run may go on
        """
        orders = [
            self.order_stop(work.endpoint, _other(destination, source, work))
            for work in self._engines.except_for(None)
        ]
        proofs = await asyncio.gather(*map(self._wait_for_proof, orders))
        if all(proofs):
            return True
        self._stopper.telemetry.log_decision(
            'run_not_resumed',
            self._current_run().request_id,
            possibly_at_work=_describe(self._engines.except_for(None)),
        )
        return False

    def log_resumption(self, endpoint: Endpoint) -> None:
        """Log on which other engines a run that is resumed may be at work.

        :param endpoint: engine on which it is resumed
        """
        possible = self._engines.except_for(endpoint)
        telemetry = self._stopper.telemetry
        telemetry.count_resumption(is_alone=not possible)
        telemetry.log_decision(
            'run_resumed',
            self._current_run().request_id,
            endpoint=endpoint.instance,
            possibly_at_work=_describe(possible),
        )

    async def take_transferred(self) -> RunLocation | None:
        """Return where a stopped run can resume if its copy was unusable."""
        for order in self._orders.all:
            if not order.is_settled:
                location = await self.take(order)
                if location is not None:
                    return location
        return None

    async def take(self, order: StopOrder) -> RunLocation | None:
        """Return where an order has taken the run, which resumes there.

        :param order: the order
        :returns: ``None`` if the order has not transferred it
        """
        order.is_settled = True
        try:
            outcome = await order.result()
        except asyncio.CancelledError:
            # The copy is freed, once it is made.
            order.is_settled = False
            raise
        return outcome.location

    def release(self) -> None:
        """Free the copies that the run does not need."""
        for order in self._orders.all:
            if not order.is_settled:
                order.is_settled = True
                self._stopper.release(order)
        for location in self._copies.take_all():
            self._stopper.free(location)

    async def _switch(
        self,
        transfer: RunTransfer,
        source: Endpoint,
        resumption: CopyResumption,
    ) -> PreparedResumption | None:
        """Prepare a resumption, and leave the source in time."""
        # An order must be able to reach the engine once it is left.
        reach = await self._stopper.check_reach(source)
        if reach is not Reach.accepted:
            self._stopper.gate.record_refusal(source.instance, loop_time())
            return None
        prepared: PreparedResumption | None = None
        self.begin_at(resumption.copy)
        attempt = asyncio.ensure_future(resumption.prepare())
        try:
            await asyncio.wait((attempt,), timeout=OVERLAP_LIMIT_S)
            if not attempt.done():
                order = self.order_stop(source, resumption.choose_other())
                transfer.stop_order = order
                await self._wait_for_copy(attempt, order, resumption.copy)
            prepared = None if attempt.cancelled() else attempt.result()
        finally:
            attempt.cancel()
            if prepared is None:
                self._stopper.gate.record_end(source.instance)
                self._abandon(resumption.copy, source)
                resumption.give_up()
        return prepared

    async def _wait_for_copy(
        self,
        attempt: asyncio.Task[PreparedResumption | None],
        order: StopOrder,
        copy: Endpoint,
    ) -> None:
        """Wait for the engine with a copy, or until the run can leave it.

        The attempt is cancelled if the source does not stop in time.
        """
        ends_at = loop_time() + COPY_ANSWER_LIMIT_S - OVERLAP_LIMIT_S
        proving = asyncio.ensure_future(
            _is_cleared(order, SWITCH_PROOF_LIMIT_S - OVERLAP_LIMIT_S)
        )
        await asyncio.wait(
            (attempt, proving), return_when=asyncio.FIRST_COMPLETED
        )
        if not attempt.done() and not proving.result():
            self._stopper.gate.record_proof(
                order.source.instance, is_in_time=False
            )
            await self._retrieve(copy)
            attempt.cancel()
        proving.cancel()
        await asyncio.wait((attempt,), timeout=max(0, ends_at - loop_time()))
        if not attempt.done():
            location = (await order.result()).location
            if (
                location is not None
                and location.endpoint.instance != copy.instance
            ):
                attempt.cancel()
        await asyncio.wait((attempt,))

    async def _confirm(
        self, order: StopOrder, prepared: PreparedResumption
    ) -> None:
        """Take a run off its copy if its former engine stops too late."""
        sent_at = self._engines.sent_at(prepared.endpoint)
        if sent_at is None:
            return
        left_s = sent_at + SWITCH_PROOF_LIMIT_S - loop_time()
        is_in_time = await _is_cleared(order, max(0, left_s))
        self._stopper.gate.record_proof(
            order.source.instance, is_in_time=is_in_time
        )
        is_excused = order.reach is Reach.none
        if is_in_time or is_excused:
            self.release()
            return
        if not self._engines.has(prepared.endpoint):
            return
        await self._retrieve(prepared.endpoint)
        prepared.connection.close()

    async def _retrieve(self, copy: Endpoint) -> None:
        """Stop a run on the engine with its copy, to go on elsewhere.

        The order goes before the connection is closed: the engine may drop a
        run whose connection closed, and with it what its resumption needs.

        :param copy: engine where the run has resumed
        """
        order = self.order_stop(copy, self._choose_other())
        await _is_cleared(order, OVERLAP_LIMIT_S)

    async def _wait_for_proof(self, order: StopOrder) -> bool:
        """Wait until a run may go on elsewhere, and return whether it may.

        It may once its engine has proved to have stopped, or cannot be reached.
        """
        if await _is_cleared(order, UNREACHABLE_WAIT_S):
            return True
        while not order.is_over:
            if order.reach is Reach.none:
                return True
            if await _is_cleared(order, REACH_CHECK_INTERVAL_S):
                return True
            if order.reach is Reach.accepted:
                order.record_reach(
                    await self._stopper.check_reach(order.source)
                )
        return order.cleared.is_set()

    def _abandon(self, endpoint: Endpoint, other: Endpoint) -> None:
        """Stop a resumption that nobody waits for, if it may be at work."""
        is_ordered = self._orders.find(endpoint) is not None
        if self._engines.has(endpoint) and not is_ordered:
            self._engines.record_disconnect(endpoint, Ending.given_up)
            order = self.order_stop(endpoint, other, DROP_DELAY_S)
            order.is_settled = True
            self._stopper.release(order)

    def _record_stop(self, source: Endpoint, outcome: StopOutcome) -> None:
        if outcome.has_stopped:
            self._engines.record_proof(source)


async def _next_answer(
    tries: OrderTries, order: StopOrder, pause_s: float
) -> MoveResponse:
    """Return the next answer to an order, which is sent again after a pause.

    :param tries: tries of the order
    :param order: the order
    :param pause_s: time to wait for an answer to an earlier try, in seconds
    :returns: an answer without a status if there is none in time
    """
    answer = await tries.next_answer(pause_s)
    if answer is None:
        order.record_send()
        tries.start()
        answer = await tries.next_answer(answer_wait_s(order.sent))
    if answer is None:
        return MoveResponse(status=0)
    _record_answer(answer, order)
    if answer.is_connection_refused:
        order.record_reach(Reach.refused)
    elif answer.is_unreachable:
        order.record_reach(Reach.none)
    return answer


def _record_answer(answer: MoveResponse, order: StopOrder) -> None:
    """Record an answer to an order, or a proof that it did not arrive."""
    if answer.status or not answer.was_sent:
        order.record_answer(is_refused=_is_refused(answer))


def _pause_s(
    delay_s: float | None,
    answer: MoveResponse,
    tries: OrderTries,
    order: StopOrder,
) -> float | None:
    """Return the delay before the next try, longer while one is carried out.

    :param delay_s: delay without regard to other tries, in seconds
    :param answer: answer to the last try
    :param tries: tries of the order
    :param order: the order
    """
    is_conflict = answer.status == HTTPStatus.CONFLICT
    if delay_s is None or not (is_conflict and tries.has_open):
        return delay_s
    return answer_wait_s(order.sent)


async def _late_copy(
    tries: OrderTries, order: StopOrder
) -> MoveResponse | None:
    """Return the answer of an earlier try that names a copy, if one comes."""
    ends_at = loop_time() + LATE_ANSWER_WAIT_S
    while tries.has_open:
        answer = await tries.next_answer(max(0, ends_at - loop_time()))
        if answer is None:
            return None
        _record_answer(answer, order)
        if answer.handle:
            return answer
    return None


async def _is_cleared(order: StopOrder, limit_s: float) -> bool:
    """Return whether a run may go on elsewhere within a time, in seconds."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(limit_s):
            await order.cleared.wait()
    return order.cleared.is_set()


def _describe(works: Iterable[EngineWork]) -> list[dict[str, object]]:
    """Return engines that may be at work on a run, for the log."""
    now = loop_time()
    return [
        {
            'endpoint': work.endpoint.instance,
            'sent_ms_ago': round((now - work.sent_at) * MS_PER_S),
            'has_begun': work.has_begun,
            'ending': work.ending,
        }
        for work in works
    ]


def _other(
    destination: Endpoint, source: Endpoint, work: EngineWork
) -> Endpoint:
    """Return the engine to which an engine that is stopped transfers the run.

    It is another one than the engine itself, if possible.
    """
    is_same = destination.instance == work.endpoint.instance
    return source if is_same else destination


def _is_refused(answer: MoveResponse) -> bool:
    """Return whether an order was not carried out, or did not arrive."""
    return not answer.was_sent or shows_no_effect(
        answer.status, has_handle=bool(answer.handle)
    )


def _stop_outcome(
    answer: MoveResponse,
    proof: StopProof,
    source: Endpoint,
    destination: Endpoint,
) -> StopOutcome:
    """Return where a run can continue, given the last answer to an order.

    :param answer: answer of the engine that ran it
    :param proof: what the answer proves
    :param source: that engine
    :param destination: engine to which the run was to be transferred
    """
    if proof is not StopProof.stopped:
        return StopOutcome(
            had_ended=proof is StopProof.ended,
            has_stopped=proof.allows_resumption,
        )
    # If the destination has no room, the run resumes on the source.
    was_moved = answer.status == _OK
    return StopOutcome(
        location=RunLocation(
            endpoint=destination if was_moved else source,
            address=source.address,
            handle=answer.handle,
        ),
        has_stopped=True,
    )
