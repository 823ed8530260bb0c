"""The state of a run's copies on other engines."""

import asyncio
import dataclasses

from mastichatch_core.relay.model import Endpoint
from mastichatch_node.relay.http_client import Connection, ResponseHead


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
    :param had_ended: whether the engine no longer ran it
    """

    location: RunLocation | None = None
    had_ended: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class RunTransfer:
    """Transfers of a run from the engine on which it runs.

    :param destination: engine that receives the run or its standby copy
    :param standby: complete standby copy, if there is one
    :param is_departing: whether the run is being transferred off its engine
    :param result: order to the engine to stop the run, which ends once the
        last part is transferred, or that has failed; set when it is sent
    :param switch: attempt to resume the run from its copy, which ends once the
        engine with the copy has answered; set when it is sent
    """

    destination: Endpoint | None = None
    standby: RunLocation | None = None
    is_departing: bool = False
    result: 'asyncio.Task[StopOutcome] | None' = None
    switch: 'asyncio.Task[PreparedResumption | None] | None' = None

    @property
    def is_moving(self) -> bool:
        """Whether the change to another engine has begun."""
        return self.result is not None or self.switch is not None

    async def was_stopped(self) -> bool:
        """Return whether the run may have stopped on this node's order."""
        if self.result is None:
            return False
        outcome = await asyncio.shield(self.result)
        return not outcome.had_ended

    async def prepared(self) -> PreparedResumption | None:
        """Return the resumption that another engine has accepted, if any."""
        if self.switch is None:
            return None
        prepared = await self.switch
        self.switch = None
        return prepared

    async def moved_to(self) -> RunLocation | None:
        """Return where the transfer has taken the run, if anywhere."""
        if self.result is None:
            return None
        outcome = await asyncio.shield(self.result)
        return outcome.location

    @property
    def has_idle_standby(self) -> bool:
        """Whether there is a standby copy and no transfer in progress."""
        return self.standby is not None and not self.is_departing
