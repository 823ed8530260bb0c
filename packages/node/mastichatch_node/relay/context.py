"""The state of one relayed request, and the shared parts of the relay."""

import dataclasses
import hashlib
from typing import Final

from mastichatch_core.generated.messages import ProxyHop
from mastichatch_core.relay.events import EventOrder, max_stall_ms
from mastichatch_core.relay.store_cache import StoreCache
from mastichatch_core.relay.load_control import LoadControls
from mastichatch_core.relay.model import (
    RequestKind,
    RequestMetadata,
    Route,
    Service,
    Workspace,
)
from mastichatch_core.relay.placement.leaving import RemoteDecisions
from mastichatch_core.relay.plain_choice import EndpointStatsTable
from mastichatch_core.relay.prompt_quarantine import shared_parts
from mastichatch_core.retries import RetryBudget, deposit, withdraw
from mastichatch_core.units import MS_PER_S
from mastichatch_node.clock import loop_time
from mastichatch_node.relay.crash_tracking import CrashTracker
from mastichatch_node.relay.dialect import Dialect
from mastichatch_node.relay.http_client import ConnectionPool
from mastichatch_node.relay.http_server import IncomingRequest
from mastichatch_node.relay.isolation_tracking import IsolationTracker
from mastichatch_node.relay.planned_stop import PlannedStop
from mastichatch_node.relay.proxy_peers import ProxyPeers
from mastichatch_node.relay.rollouts.keeper import RolloutKeeper
from mastichatch_node.relay.run_broadcast import RunBroadcaster
from mastichatch_node.relay.run_stopping import RunStopper
from mastichatch_node.relay.slot_keeping import SlotKeeper
from mastichatch_node.relay.telemetry import Telemetry
from mastichatch_node.relay.turn_keeping import TurnKeeper

# Size of the digest by which calls with the same content are told.
DIGEST_BYTES: Final = 12


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Job:
    """A request with the routing decisions made on its arrival.

    :param request: the request as received
    :param facts: fields decoded from the request headers
    :param route: the matching route
    :param workspace: workspace of the caller; ``None`` on a public route
    :param service: service that the request is sent to
    :param ends_at: deadline of the answer, as loop time in seconds
    :param hop: what the node told that passed the request on; ``None`` for a
        request of a caller
    """

    request: IncomingRequest
    facts: RequestMetadata
    route: Route
    workspace: Workspace | None
    service: Service
    ends_at: float
    hop: ProxyHop | None = None

    @property
    def earlier_attempts(self) -> int:
        """Attempts at other nodes that may have run."""
        return 0 if self.hop is None else self.hop.attempts

    @property
    def is_counted(self) -> bool:
        """Whether another node has counted its first attempt."""
        return self.hop is not None and self.hop.is_counted

    @property
    def request_id(self) -> str:
        """The request id that the caller supplied."""
        return self.facts.request_id

    @property
    def workspace_name(self) -> str:
        """Name of the workspace; empty on a public route."""
        return '' if self.workspace is None else self.workspace.name

    @property
    def rank(self) -> int:
        """Priority of the request; zero is the highest."""
        workspace = self.workspace
        if workspace is None or workspace.priority is None:
            return self.route.priority
        return workspace.priority

    @property
    def parts(self) -> tuple[str, ...]:
        """What it may have in common with other requests that crash servers.

        These are the shared parts of its prompt, or the digest of a call.
        """
        if self.route.kind is RequestKind.streaming:
            return shared_parts(self.facts)
        content = b'\0'.join(
            (self.request.method, self.request.target, self.request.body)
        )
        return (hashlib.blake2b(content, digest_size=DIGEST_BYTES).hexdigest(),)

    @property
    def resumes_after(self) -> int | None:
        """Number of the last event of an earlier request, if it is resumed."""
        return self.facts.last_event if self.route.is_resumable else None

    @property
    def longest_stall_s(self) -> float:
        """How long its stream may be silent, in seconds."""
        route = self.route
        return max_stall_ms(route.objective_ms, route.pause_ms) / MS_PER_S

    def left_ms(self) -> float:
        """Return the time until the deadline, in milliseconds."""
        return (self.ends_at - loop_time()) * MS_PER_S

    def new_event_order(self) -> EventOrder:
        """Return the order of the events of its stream.

        Another node may have passed some of them on. One of an earlier build
        names none of the caller's earlier request.
        """
        run = None if self.hop is None else self.hop.run
        if run is None or run.last_event is None:
            return EventOrder(self.resumes_after)
        return EventOrder(run.last_event, run.events)


class RetryAllowance:
    """Token bucket for this node's share of the retries of all nodes."""

    def __init__(self, percent: int, burst: float) -> None:
        """Start with a full bucket.

        :param percent: retries allowed, in percent of first attempts
        :param burst: capacity of the bucket, in retries
        """
        self._budget = RetryBudget(percent=percent, burst=burst, tokens=burst)

    def set_burst(self, burst: float) -> None:
        """Set the capacity of the bucket, and fill any added capacity.

        :param burst: this node's share of the total capacity, in retries
        """
        added = max(0, burst - self._budget.burst)
        tokens = min(self._budget.tokens + added, burst)
        self._budget = dataclasses.replace(
            self._budget, burst=burst, tokens=tokens
        )

    def record_first_attempt(self) -> None:
        """Record a first attempt, which adds to the retry budget."""
        self._budget = deposit(self._budget)

    def try_spend(self) -> bool:
        """Take one retry from the budget, and return whether it is allowed."""
        remaining = withdraw(self._budget)
        if remaining is None:
            return False
        self._budget = remaining
        return True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RelayContext:
    """Components that all parts of the relay share.

    :param node: name of this host
    :param data_centre: data centre of this host
    :param belief: local view of the platform's store
    :param sharing: generations in progress on all nodes
    :param records: latency and failure statistics of endpoints
    :param turns: turns at endpoints that name a limit
    :param slots: slots of brittle endpoints
    :param retries: retry budget of this node
    :param pool: connections to endpoints
    :param dialect: wire protocol of the platform
    :param telemetry: decision log and metrics
    :param crashes: evidence on prompts that crash engines
    :param stopper: stops runs that are to continue on other engines
    :param rollouts: roll-outs of versions, and which versions they open
    :param isolation: whether this node is cut off from endpoints
    :param proxy_peers: nodes to which requests may be passed on
    :param proxy_pool: connections to these nodes
    :param controls: for which services each decision under load is made
    :param remotes: what was decided on leaving this host's data centre
    :param stop: when this node stops, once that is planned
    """

    node: str
    data_centre: str
    belief: StoreCache
    sharing: RunBroadcaster
    records: EndpointStatsTable
    turns: TurnKeeper
    slots: SlotKeeper
    retries: RetryAllowance
    pool: ConnectionPool
    dialect: Dialect
    telemetry: Telemetry
    crashes: CrashTracker
    stopper: RunStopper
    rollouts: RolloutKeeper
    isolation: IsolationTracker
    proxy_peers: ProxyPeers
    proxy_pool: ConnectionPool
    controls: LoadControls = LoadControls()
    remotes: RemoteDecisions = dataclasses.field(
        default_factory=RemoteDecisions
    )
    stop: PlannedStop = dataclasses.field(default_factory=PlannedStop)
