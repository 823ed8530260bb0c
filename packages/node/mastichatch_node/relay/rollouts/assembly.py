"""Assembles a node's part in roll-outs, and lists its background tasks."""

from typing import Protocol

from mastichatch_core.generated.messages import MessageKind, RolloutReport
from mastichatch_core.relay.store_cache import StoreCache
from mastichatch_node.peers import Peers
from mastichatch_node.relay.adapter import Adapter
from mastichatch_node.relay.rollouts.deciding import RolloutDecider
from mastichatch_node.relay.rollouts.keeper import RolloutKeeper
from mastichatch_node.relay.rollouts.reporting import (
    Directory,
    RolloutReporter,
)
from mastichatch_node.relay.rollouts.state import RolloutOptions
from mastichatch_node.relay.run_broadcast import RunBroadcaster
from mastichatch_node.relay.settings import RelaySettings
from mastichatch_node.relay.store_following import (
    NodeRegistry,
    Store,
    StoreFollower,
    Worker,
)
from mastichatch_node.relay.telemetry import Telemetry


class Parts(Protocol):
    """The parts of a node that take part in roll-outs."""

    @property
    def adapter(self) -> Adapter:
        """Implementation of the platform's protocols."""

    @property
    def telemetry(self) -> Telemetry:
        """Event log and metrics."""

    @property
    def cache(self) -> StoreCache:
        """Local view of the platform's store."""

    @property
    def peers(self) -> Peers:
        """Connections to other nodes."""

    @property
    def registry(self) -> NodeRegistry:
        """Registrations of the other nodes."""

    @property
    def broadcaster(self) -> RunBroadcaster:
        """Generations in progress on all nodes."""

    @property
    def rollouts(self) -> RolloutKeeper:
        """What the node knows of roll-outs."""


def create_keeper(
    settings: RelaySettings,
    cache: StoreCache,
    telemetry: Telemetry,
    registry: NodeRegistry,
) -> RolloutKeeper:
    """Return what a node knows of roll-outs, at first nothing.

    :param settings: settings of the node
    :param cache: local view of the platform's store
    :param telemetry: event log and metrics
    :param registry: registrations of the other nodes
    """
    options = RolloutOptions(
        share=settings.rollout_share,
        slack=settings.rollout_slack,
        rollback_ms=settings.rollback_ms,
    )

    def count_nodes() -> int:
        return 1 + len(registry.addresses)

    return RolloutKeeper(
        options, cache, telemetry, settings.data_centre, count_nodes
    )


def create_workers(
    parts: Parts, store: Store, follower: StoreFollower
) -> tuple[Worker, ...]:
    """Return the background tasks for roll-outs, if they are followed.

    :param parts: parts of the node
    :param store: the platform's store
    :param follower: tells whether the store is in contact
    """
    keeper = parts.rollouts
    if not keeper.is_followed:
        return ()
    directory = Directory(registry=parts.registry, sharing=parts.broadcaster)
    reporter = RolloutReporter(keeper, parts.peers, directory)
    parts.peers.on(
        MessageKind.rollout_report, RolloutReport, reporter.handle_report
    )
    decider = RolloutDecider(
        keeper,
        parts.cache,
        directory,
        parts.broadcaster,
        parts.telemetry,
        parts.adapter.rollout_status,
    )

    async def decide() -> None:
        await decider.decide_periodically(store, follower)

    return (reporter.report_periodically, decide)
