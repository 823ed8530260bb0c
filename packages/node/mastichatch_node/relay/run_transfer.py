"""The state of a run's copies on other engines."""

import asyncio
import dataclasses

from mastichatch_core.relay.model import Endpoint


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


@dataclasses.dataclass(slots=True, kw_only=True)
class RunTransfer:
    """Transfers of a run from the engine on which it runs.

    :param destination: engine that receives the run or its standby copy
    :param standby: complete standby copy, if there is one
    :param is_departing: whether the run is being transferred off its engine
    :param result: resolves to the new location of the run once the last part
        is transferred, or to ``None`` if that failed; set when the run stops
    """

    destination: Endpoint | None = None
    standby: RunLocation | None = None
    is_departing: bool = False
    result: 'asyncio.Future[RunLocation | None] | None' = None

    @property
    def is_moving(self) -> bool:
        """Whether the final transfer to another engine has begun."""
        return self.result is not None

    @property
    def has_idle_standby(self) -> bool:
        """Whether there is a standby copy and no transfer in progress."""
        return self.standby is not None and not self.is_departing
