"""Stops runs on their engines, so that they can continue on others.

Load pattern: an engine that leaves, or whose stream stalls, works on after
its connection has closed. The run would then be generated twice at the same
time. Only an answer of the engine proves that it has stopped.
"""

import asyncio
import dataclasses
from collections.abc import Callable, Coroutine
from typing import Any, Final, TypeVar

from mastichatch_core.relay.model import Endpoint
from mastichatch_core.relay.run_engines import RunEngines
from mastichatch_core.units import MS_PER_S
from mastichatch_node.clock import loop_time
from mastichatch_node.relay.dialect import Dialect, MoveResponse
from mastichatch_node.relay.run_transfer import (
    PreparedResumption,
    RunLocation,
    RunTransfer,
    StopOutcome,
)
from mastichatch_node.relay.telemetry import Telemetry

# A run that continues elsewhere waits this long at most for its engine to
# answer that it has stopped: an engine that can be reached answers or stops
# within one round trip, and no other can be told.
STOP_WAIT_S: Final = 0.2
# Time for an engine to drop a run whose connection was closed. It must not work
# on for 0.4 s, by the rules of the platform.
DROP_DELAY_S: Final = 0.1
# An engine refuses the order while it copies the run for another call, which
# takes a fraction of a second.
CONFLICT_RETRY_DELAY_S: Final = 0.05
CONFLICT_RETRY_LIMIT: Final = 40

_OK: Final = 200
_NOT_FOUND: Final = 404
_CONFLICT: Final = 409

StopTask = asyncio.Task[StopOutcome]
_Result = TypeVar('_Result')


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoppedRun:
    """A run that is to stop.

    :param request_id: id of its request
    :param last_event: number of the last event sent to the caller, if any
    """

    request_id: str
    last_event: int | None


class RunStopper:
    """Orders engines to stop runs, and tracks the orders in progress."""

    def __init__(self, dialect: Dialect, telemetry: Telemetry) -> None:
        """Start without orders.

        :param dialect: sends the orders
        :param telemetry: logs the answers
        """
        self._dialect = dialect
        self._telemetry = telemetry
        self._tasks: set[asyncio.Task[Any]] = set()

    def stop(
        self,
        run: StoppedRun,
        source: Endpoint,
        destination: Endpoint,
        delay_s: float = 0,
    ) -> StopTask:
        """Order an engine to stop a run, and to transfer it to another one.

        The engine stops the run before the transfer, and closes its stream.

        :param run: the run
        :param source: its engine
        :param destination: engine on which it is to continue
        :param delay_s: time to wait before the order is sent, in seconds
        :returns: task that ends once the engine has answered
        """
        return self._start(self._stop(run, source, destination, delay_s))

    def release(self, order: StopTask) -> None:
        """Free the copy that an order to stop has made and nobody uses.

        :param order: task that ``stop`` returned
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
        run: StoppedRun,
        source: Endpoint,
        destination: Endpoint,
        delay_s: float,
    ) -> StopOutcome:
        await asyncio.sleep(delay_s)
        answer = MoveResponse(status=_CONFLICT)
        started_at = loop_time()
        for _ in range(CONFLICT_RETRY_LIMIT):
            answer = await self._dialect.move_run(
                source.address, run.request_id, destination.address, True
            )
            if answer.status != _CONFLICT:
                break
            await asyncio.sleep(CONFLICT_RETRY_DELAY_S)
        self._telemetry.log_decision(
            'run_stopped_and_copied',
            run.request_id,
            source=source.instance,
            destination=destination.instance,
            status=answer.status,
            last_event=run.last_event,
            took_ms=round((loop_time() - started_at) * MS_PER_S),
        )
        return _stop_outcome(answer, source, destination)

    async def _release(self, order: StopTask) -> None:
        outcome = await asyncio.shield(order)
        if outcome.location is not None:
            await self._dialect.drop_copy(
                outcome.location.address, outcome.location.handle
            )


class Handover:
    """Hands the run of one generation over from engine to engine.

    Where the run can be resumed from a copy while its engine goes on, the
    engine is left once the copy has proved usable. Where this node has closed
    the connection already, the engine is ordered to stop first. That order also
    transfers the run, and this is kept until the copy has proved usable.
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
        self._transferred: StopTask | None = None

    def order_stop(
        self, transfer: RunTransfer, source: Endpoint, destination: Endpoint
    ) -> StopTask:
        """Order an engine to stop the run, once.

        :param transfer: transfers of the run from that engine
        :param source: the engine
        :param destination: engine on which the run is to continue
        """
        if transfer.result is not None:
            return transfer.result
        order = self._stopper.stop(self._current_run(), source, destination)
        order.add_done_callback(lambda done: self._record_stop(source, done))
        transfer.result = order
        return order

    def switch(
        self,
        transfer: RunTransfer,
        preparation: Coroutine[Any, Any, PreparedResumption | None],
        leave: Callable[[], None],
        give_up: Callable[[], None],
    ) -> None:
        """Resume the run from its copy while its engine goes on with it.

        :param transfer: transfers of the run from that engine
        :param preparation: resumes the run up to the head of the answer
        :param leave: closes the connection to the engine, once the copy has
            proved usable
        :param give_up: gives the copy up, if it has not
        """

        def finish(switch: asyncio.Task[PreparedResumption | None]) -> None:
            if transfer.switch is not switch or switch.cancelled():
                return
            if not switch.exception() and switch.result() is not None:
                leave()
                return
            transfer.switch = None
            transfer.is_departing = False
            give_up()

        transfer.is_departing = True
        transfer.switch = asyncio.ensure_future(preparation)
        transfer.switch.add_done_callback(finish)

    def end(self, transfer: RunTransfer) -> None:
        """Free all that the run does not need once it has ended.

        :param transfer: transfers of the run from its last engine
        """
        self.release()
        switch = transfer.switch
        if switch is None or switch.cancel() or switch.cancelled():
            return
        prepared = None if switch.exception() else switch.result()
        if prepared is not None:
            prepared.connection.close()

    def confirm_stopped(self, source: Endpoint, destination: Endpoint) -> None:
        """Stop a run that went on elsewhere, if its engine has not dropped it.

        Most engines have when their connection closed, and transfer nothing.

        :param source: engine whose connection this node has closed
        :param destination: engine on which the run goes on
        """
        order = self._stopper.stop(
            self._current_run(), source, destination, DROP_DELAY_S
        )
        order.add_done_callback(lambda done: self._record_stop(source, done))
        self._stopper.release(order)

    async def ensure_stopped(
        self, transfer: RunTransfer, source: Endpoint, copy: Endpoint
    ) -> None:
        """Stop the run on an engine that did not close its connection itself.

        Such an engine may work on, although this node closed the connection.

        :param transfer: transfers of the run from that engine
        :param source: the engine
        :param copy: engine with the copy from which the run resumes
        """
        if transfer.result is None:
            self._transferred = self.order_stop(transfer, source, copy)
            await asyncio.wait((self._transferred,), timeout=STOP_WAIT_S)

    async def take_transferred(self) -> RunLocation | None:
        """Return where a stopped run can resume if its copy was unusable."""
        order = self._transferred
        self._transferred = None
        if order is None:
            return None
        outcome = await asyncio.shield(order)
        return outcome.location

    def release(self) -> None:
        """Free what was transferred, since the run does not need it."""
        if self._transferred is not None:
            self._stopper.release(self._transferred)
        self._transferred = None

    def _record_stop(self, source: Endpoint, order: StopTask) -> None:
        if order.cancelled() or order.exception() is not None:
            return
        outcome = order.result()
        if outcome.had_ended or outcome.location is not None:
            self._engines.record_proof(source)


def _stop_outcome(
    answer: MoveResponse, source: Endpoint, destination: Endpoint
) -> StopOutcome:
    """Return where a run can continue, given the answer to a final move.

    :param answer: answer of the engine that ran it
    :param source: that engine
    :param destination: engine to which the run was to be transferred
    """
    if not answer.handle:
        return StopOutcome(had_ended=answer.status == _NOT_FOUND)
    # If the destination has no room, the run resumes on the source.
    was_moved = answer.status == _OK
    return StopOutcome(
        location=RunLocation(
            endpoint=destination if was_moved else source,
            address=source.address,
            handle=answer.handle,
        )
    )
