"""Stops runs on their engines, so that they can continue on others.

Load pattern: engines work on a run after its connection has closed, since they
leave, stall, or do not learn of a reset on the way. The run would then be
generated twice at the same time. Only an answer of the engine proves that it
has stopped.
"""

import asyncio
import contextlib
import dataclasses
from collections.abc import Callable, Coroutine
from typing import Any, Final, TypeVar

from mastichatch_core.relay.model import Endpoint
from mastichatch_core.relay.run_engines import Ending, EngineWork, RunEngines
from mastichatch_core.relay.run_stops import (
    COPY_ANSWER_LIMIT_S,
    DROP_DELAY_S,
    OVERLAP_LIMIT_S,
    STOP_WAIT_S,
    UNREACHABLE_WAIT_S,
    StopProof,
    read_stop_answer,
    repeat_delay_s,
)
from mastichatch_core.units import MS_PER_S
from mastichatch_node.clock import loop_time
from mastichatch_node.relay.dialect import Dialect, MoveOrder, MoveResponse
from mastichatch_node.relay.http_client import ConnectionPool
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
    :param last_event: number of the last event sent to the caller, if any
    """

    request_id: str
    last_event: int | None


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
        self._tasks: set[asyncio.Task[Any]] = set()

    def stop(
        self,
        run: StoppedRun,
        source: Endpoint,
        destination: Endpoint,
        has_begun: Callable[[], bool],
        delay_s: float = 0,
    ) -> StopOrder:
        """Order an engine to stop a run, and to transfer it to another one.

        The engine stops the run before the transfer, and closes its stream. The
        order is repeated until an answer proves that the run has stopped.

        :param run: the run
        :param source: its engine
        :param destination: engine on which it is to continue
        :param has_begun: returns whether the engine has begun its answer
        :param delay_s: time to wait before the order is sent, in seconds
        """
        order = StopOrder(source=source)
        order.task = self._start(
            self._stop(order, run, destination, has_begun, delay_s)
        )
        return order

    def release(self, order: StopOrder) -> None:
        """Free the copy that an order to stop has made and nobody uses.

        :param order: order that ``stop`` returned
        """
        self._start(self._release(order))

    def close(self) -> None:
        """Cancel all orders in progress."""
        for task in self._tasks:
            task.cancel()

    def _start(
        self, work: Coroutine[Any, Any, _Result]
    ) -> asyncio.Task[_Result]:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _stop(
        self,
        order: StopOrder,
        run: StoppedRun,
        destination: Endpoint,
        has_begun: Callable[[], bool],
        delay_s: float,
    ) -> StopOutcome:
        source = order.source
        move = MoveOrder(
            address=source.address,
            request_id=run.request_id,
            target=destination.address,
            is_final=True,
            on_connect=order.record_delivery,
        )
        answer, proof = MoveResponse(status=0), StopProof.none
        started_at = loop_time() + delay_s
        tries = 0
        pause_s: float | None = delay_s
        while pause_s is not None:
            await asyncio.sleep(pause_s)
            answer = await self._dialect.move_run(move)
            tries += 1
            proof = _proof(answer, has_begun=has_begun())
            if proof.allows_resumption:
                order.cleared.set()
            pause_s = repeat_delay_s(
                proof, answer.status, tries, loop_time() - started_at
            )
        self._telemetry.log_decision(
            'run_stopped_and_copied',
            run.request_id,
            source=source.instance,
            destination=destination.instance,
            status=answer.status,
            proof=proof,
            refused=answer.is_connection_refused,
            open=self._pool.signs.is_open(source.address),
            tries=tries,
            last_event=run.last_event,
            took_ms=round((loop_time() - started_at) * MS_PER_S),
        )
        return _stop_outcome(answer, proof, source, destination)

    async def _release(self, order: StopOrder) -> None:
        outcome = await order.result()
        if outcome.location is not None:
            await self._dialect.drop_copy(
                outcome.location.address, outcome.location.handle
            )


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
        self._orders: dict[str, StopOrder] = {}

    def begin_at(self, endpoint: Endpoint) -> None:
        """Record that the run is about to be sent to an engine.

        :param endpoint: the engine
        """
        order = self._orders.pop(endpoint.instance, None)
        if order is not None:
            # An order that is repeated would stop the run that begins now.
            order.cancel()
        self._engines.record_request(endpoint, loop_time())

    def order_stop(
        self, source: Endpoint, destination: Endpoint, delay_s: float = 0
    ) -> StopOrder:
        """Order an engine to stop the run, once.

        :param source: the engine
        :param destination: engine on which the run is to continue
        :param delay_s: time to wait before the order is sent, in seconds
        """
        known = self._orders.get(source.instance)
        if known is not None:
            return known
        order = self._stopper.stop(
            self._current_run(),
            source,
            destination,
            lambda: self._engines.has_begun(source),
            delay_s,
        )
        order.on_result(lambda outcome: self._record_stop(source, outcome))
        self._orders[source.instance] = order
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
            resumption.give_up()

        self.begin_at(resumption.copy)
        transfer.is_departing = True
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

    def confirm_stopped(self, source: Endpoint, destination: Endpoint) -> None:
        """Stop a run that went on elsewhere, if its engine has not dropped it.

        Most engines have when their connection closed, and transfer nothing.

        :param source: engine whose connection this node has closed
        :param destination: engine on which the run goes on
        """
        self.order_stop(source, destination, DROP_DELAY_S)

    async def ensure_alone(
        self, destination: Endpoint, source: Endpoint
    ) -> None:
        """Wait until no engine is at work on the run, as far as can be told.

        The end of a connection is no proof, whoever has closed it.

        :param destination: engine on which the run is to continue
        :param source: engine of the last attempt
        """
        orders = [
            self.order_stop(work.endpoint, _other(destination, source, work))
            for work in self._engines.except_for(None)
        ]
        await asyncio.gather(*map(_wait_for_proof, orders))

    def newest_copy(self, location: RunLocation) -> RunLocation:
        """Return the copy that an order has made in place of an older one.

        :param location: the older copy, on the engine where the run resumes
        """
        for order in self._orders.values():
            made = order.known_location()
            if made is None or order.is_settled:
                continue
            if made.endpoint.instance == location.endpoint.instance:
                order.is_settled = True
                return made
        return location

    async def take_transferred(self) -> RunLocation | None:
        """Return where a stopped run can resume if its copy was unusable."""
        for order in tuple(self._orders.values()):
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
        outcome = await order.result()
        return outcome.location

    def release(self) -> None:
        """Free what was transferred, since the run does not need it."""
        for order in self._orders.values():
            if not order.is_settled:
                order.is_settled = True
                self._stopper.release(order)

    async def _switch(
        self,
        transfer: RunTransfer,
        source: Endpoint,
        resumption: CopyResumption,
    ) -> PreparedResumption | None:
        """Prepare a resumption, and leave the source in time."""
        prepared: PreparedResumption | None = None
        attempt = asyncio.ensure_future(resumption.prepare())
        try:
            await asyncio.wait((attempt,), timeout=OVERLAP_LIMIT_S)
            if not attempt.done():
                order = self.order_stop(source, resumption.choose_other())
                transfer.stop_order = order
                await _wait_for_copy(attempt, order, resumption.copy)
            prepared = None if attempt.cancelled() else attempt.result()
        finally:
            attempt.cancel()
            if prepared is None:
                self._abandon(resumption.copy, source)
        return prepared

    def _abandon(self, endpoint: Endpoint, other: Endpoint) -> None:
        """Stop a resumption that nobody waits for, if it may be at work."""
        if self._engines.has(endpoint):
            self._engines.record_disconnect(endpoint, Ending.given_up)
            order = self.order_stop(endpoint, other, DROP_DELAY_S)
            order.is_settled = True
            self._stopper.release(order)

    def _record_stop(self, source: Endpoint, outcome: StopOutcome) -> None:
        if outcome.has_stopped:
            self._engines.record_proof(source)


async def _wait_for_copy(
    attempt: asyncio.Task[PreparedResumption | None],
    order: StopOrder,
    copy: Endpoint,
) -> None:
    """Wait for the engine with a copy, or until the run can go on elsewhere."""
    await asyncio.wait(
        (attempt,), timeout=COPY_ANSWER_LIMIT_S - OVERLAP_LIMIT_S
    )
    if not attempt.done():
        location = (await order.result()).location
        if location is not None and location.endpoint.instance != copy.instance:
            attempt.cancel()
    await asyncio.wait((attempt,))


async def _wait_for_proof(order: StopOrder) -> None:
    """Wait until a run may go on elsewhere, or its engine cannot be reached."""
    for limit_s in (UNREACHABLE_WAIT_S, STOP_WAIT_S - UNREACHABLE_WAIT_S):
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                await order.cleared.wait()
        if not order.is_delivered:
            return


def _other(
    destination: Endpoint, source: Endpoint, work: EngineWork
) -> Endpoint:
    """Return the engine to which an engine that is stopped transfers the run.

    It is another one than the engine itself, if possible.
    """
    is_same = destination.instance == work.endpoint.instance
    return source if is_same else destination


def _proof(answer: MoveResponse, *, has_begun: bool) -> StopProof:
    return read_stop_answer(
        answer.status,
        has_handle=bool(answer.handle),
        is_connection_refused=answer.is_connection_refused,
        has_begun=has_begun,
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
