"""One request on its way through a node, and what the relay works with."""

import dataclasses

from mastichatch_core.relay.store_cache import StoreCache
from mastichatch_core.relay.model import (
    RequestMetadata,
    Route,
    Service,
    Workspace,
)
from mastichatch_core.relay.plain_choice import EndpointStatsTable
from mastichatch_core.retries import RetryBudget, deposit, withdraw
from mastichatch_core.units import MS_PER_S
from mastichatch_node.clock import loop_time
from mastichatch_node.relay.dialect import Dialect
from mastichatch_node.relay.exchange import ConnectionPool
from mastichatch_node.relay.front import Incoming
from mastichatch_node.relay.sharing import Sharing
from mastichatch_node.relay.telemetry import Telemetry


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Job:
    """A request with what was decided of it at its arrival.

    :param request: the request as it came
    :param facts: what its head states
    :param route: its route
    :param workspace: its workspace; ``None`` on a public route
    :param service: service that it goes to
    :param ends_at: loop time at which it must have its answer, in seconds
    """

    request: Incoming
    facts: RequestMetadata
    route: Route
    workspace: Workspace | None
    service: Service
    ends_at: float

    @property
    def request_id(self) -> str:
        """The caller's id of this attempt."""
        return self.facts.request_id

    @property
    def workspace_name(self) -> str:
        """Name of the workspace; empty without one."""
        return '' if self.workspace is None else self.workspace.name

    @property
    def rank(self) -> int:
        """Priority; zero is served first."""
        workspace = self.workspace
        if workspace is None or workspace.priority is None:
            return self.route.priority
        return workspace.priority

    def left_ms(self) -> float:
        """Return the time that is left for the answer, in milliseconds."""
        return (self.ends_at - loop_time()) * MS_PER_S


class Retries:
    """This node's share of the retries that all nodes may make."""

    def __init__(self, percent: int, burst: float) -> None:
        """Start with a full burst.

        :param percent: retries allowed, in percent of first attempts
        :param burst: most retries that can be saved up
        """
        self._budget = RetryBudget(percent=percent, burst=burst, tokens=burst)

    def set_burst(self, burst: float) -> None:
        """Set how many retries can be saved up.

        :param burst: this node's share of what all may save
        """
        gained = max(0, burst - self._budget.burst)
        tokens = min(self._budget.tokens + gained, burst)
        self._budget = dataclasses.replace(
            self._budget, burst=burst, tokens=tokens
        )

    def note_first(self) -> None:
        """Count a first attempt."""
        self._budget = deposit(self._budget)

    def spend(self) -> bool:
        """Return whether one more retry is allowed, and count it."""
        left = withdraw(self._budget)
        if left is None:
            return False
        self._budget = left
        return True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Tools:
    """What the relay works with.

    :param node: name of this host
    :param data_centre: where it stands
    :param belief: what is known of the platform's store
    :param sharing: the generations of all nodes
    :param records: what was learned of endpoints
    :param retries: retries that this node may make
    :param pool: connections to endpoints
    :param dialect: the wire's names and calls
    :param telemetry: decision lines and metrics
    """

    node: str
    data_centre: str
    belief: StoreCache
    sharing: Sharing
    records: EndpointStatsTable
    retries: Retries
    pool: ConnectionPool
    dialect: Dialect
    telemetry: Telemetry
