"""The state of a run's copies on other engines."""

import asyncio
import dataclasses
from collections.abc import Callable
from typing import Final

from mastichatch_core.relay.model import Endpoint
from mastichatch_core.relay.run_stops import Reach
from mastichatch_node.clock import loop_time
from mastichatch_node.relay.http_client import Connection, ResponseHead


# Longest time for which the outcome of an order is waited for: transfers may be
# queued before it.
OUTCOME_WAIT_S: Final = 4.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RunLocation:
    """Location of a copy of a run's KV cache.

    :param endpoint: engine on which the run can continue
    :param address: address of the engine that issued the handle
    :param handle: identifier of the copy on that engine
    """

    endpoint: Endpoint
    address: str
    handle: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PreparedResumption:
    """A resumption of a run that another engine has accepted.

    :param endpoint: the engine
    :param connection: connection on which it streams the run
    :param head: head of its answer
    """

    endpoint: Endpoint
    connection: Connection
    head: ResponseHead


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StopOutcome:
    """Result of an order to an engine to stop a run.

    :param location: where the run can continue; ``None`` if that is unknown
    :param had_ended: whether the run had ended, and not by an order
    :param has_stopped: whether the engine is not at work on it
    """

    location: RunLocation | None = None
    had_ended: bool = False
    has_stopped: bool = False


class StopOrder:
    """An order to an engine to stop a run, which is repeated if necessary."""

    def __init__(self, source: Endpoint) -> None:
        """Start without an answer.

        :param source: the engine
        """
        self._source = source
        self._reach = Reach.none
        self._cleared = asyncio.Event()
        self.task: asyncio.Task[StopOutcome] | None = None
        # Whether its copy of the run is used or was freed.
        self.is_settled = False
        self._sent = 0
        self._sent_at: float | None = None
        self._answered = 0
        self._refused = 0

    @property
    def source(self) -> Endpoint:
        """The engine."""
        return self._source

    @property
    def reach(self) -> Reach:
        """What the last attempt to connect to the engine has shown."""
        return self._reach

    @property
    def sent(self) -> int:
        """Number of times that it was sent."""
        return self._sent

    @property
    def sent_at(self) -> float | None:
        """Loop time at which it was first sent, in seconds, if it was."""
        return self._sent_at

    @property
    def unanswered(self) -> int:
        """Number of times that it was sent without an answer so far."""
        return self._sent - self._answered

    @property
    def may_have_stopped(self) -> bool:
        """Whether it may have been carried out."""
        return self._sent > self._refused

    @property
    def is_over(self) -> bool:
        """Whether it is no longer repeated."""
        return self.task is None or self.task.done()

    @property
    def cleared(self) -> asyncio.Event:
        """Set once the run may go on at another engine."""
        return self._cleared

    def record_reach(self, reach: Reach) -> None:
        """Record what an attempt to connect to the engine has shown.

        :param reach: what it has shown
        """
        self._reach = reach

    def record_send(self) -> None:
        """Record that it is about to be sent."""
        self._sent += 1
        if self._sent_at is None:
            self._sent_at = loop_time()

    def record_answer(self, *, is_refused: bool) -> None:
        """Record an answer, or a proof that the engine did not get it.

        :param is_refused: whether the engine has not carried it out
        """
        self._answered += 1
        if is_refused:
            self._refused += 1

    def cancel(self) -> None:
        """Stop repeating the order."""
        if self.task is not None:
            self.task.cancel()

    def on_result(self, callback: Callable[[StopOutcome], None]) -> None:
        """Call a function with the outcome, unless the order fails.

        :param callback: the function
        """

        def report(task: asyncio.Task[StopOutcome]) -> None:
            if not task.cancelled() and task.exception() is None:
                callback(task.result())

        if self.task is not None:
            self.task.add_done_callback(report)

    def known_location(self) -> RunLocation | None:
        """Return where the order has taken the run, if that is known yet."""
        task = self.task
        if task is None or not task.done() or task.cancelled():
            return None
        return None if task.exception() else task.result().location

    async def result(self) -> StopOutcome:
        """Return the outcome; without one in time, that nothing is known."""
        if self.task is not None:
            await asyncio.wait((self.task,), timeout=OUTCOME_WAIT_S)
            if self.task.done() and not self.task.cancelled():
                return self.task.result()
        return StopOutcome()


@dataclasses.dataclass(slots=True, kw_only=True)
class RunTransfer:
    """Transfers of a run from the engine on which it runs.

    :param destination: engine that receives the run or its standby copy
    :param standby: complete standby copy, if there is one
    :param is_departing: whether the run is being transferred off its engine
    :param stop_order: order to the engine to stop the run; set when it is sent
    :param switch: attempt to resume the run from its copy, which ends once the
        engine with the copy has answered; set when it is sent
    :param has_ended: whether the attempt on that engine has ended
    :param left_copies: copies from which another node may go on with the run
    """

    destination: Endpoint | None = None
    standby: RunLocation | None = None
    is_departing: bool = False
    stop_order: StopOrder | None = None
    switch: 'asyncio.Task[PreparedResumption | None] | None' = None
    has_ended: bool = False
    left_copies: tuple[RunLocation, ...] = ()

    @property
    def is_moving(self) -> bool:
        """Whether the change to another engine has begun."""
        return self.stop_order is not None or self.switch is not None

    @property
    def may_leave(self) -> bool:
        """Whether the run may begin to leave its engine.

        Between two attempts it is decided elsewhere where it goes on.
        """
        return not self.is_moving and not self.has_ended

    def may_free(self, address: str, handle: str) -> bool:
        """Return whether this node frees a copy that it does not need.

        :param address: address of the engine that issued the handle
        :param handle: identifier of the copy on that engine
        """
        return all(
            (copy.address, copy.handle) != (address, handle)
            for copy in self.left_copies
        )

    async def prepared(self) -> PreparedResumption | None:
        """Return the resumption that another engine has accepted, if any."""
        if self.switch is None:
            return None
        prepared = await self.switch
        self.switch = None
        return prepared

    @property
    def standby_handle(self) -> str:
        """Handle of a standby copy at the destination; empty without one."""
        if self.standby is None or self.destination != self.standby.endpoint:
            return ''
        return self.standby.handle

    @property
    def has_idle_standby(self) -> bool:
        """Whether there is a standby copy and no transfer in progress."""
        return self.standby is not None and not self.is_departing
