"""Opens the membership of a node as a context manager."""

import contextlib
from collections.abc import AsyncIterator, Callable

from mastichatch_core.generated.messages import (
    Digest,
    Heartbeat,
    MessageKind,
    ServiceLoad,
)
from mastichatch_core.generated.settings import Settings
from mastichatch_core.membership import Member
from mastichatch_node.configuration import Configuration
from mastichatch_node.discovery import open_discovery
from mastichatch_node.heartbeats import Heartbeats, run_heartbeats
from mastichatch_node.members import Membership
from mastichatch_node.peers import Peers
from mastichatch_node.platform import Platform

__all__ = ('Member', 'Membership', 'open_membership')


@contextlib.asynccontextmanager
async def open_membership(
    settings: Settings,
    platform: Platform,
    peers: Peers,
    configuration: Configuration,
    loads: Callable[[], tuple[ServiceLoad, ...]],
) -> AsyncIterator[Membership]:
    """Join the other nodes, and leave them when the context ends.

    :param settings: settings of the node
    :param platform: platform at which nodes are registered
    :param peers: messaging with other nodes
    :param configuration: receives the revisions that other nodes report
    :param loads: returns the loads of the schedulers that this node hosts
    """
    membership = Membership(settings, peers, configuration)
    heartbeats = Heartbeats(settings, peers, configuration, membership, loads)
    membership.subscribe(heartbeats.announce_state)
    peers.on(MessageKind.heartbeat, Heartbeat, heartbeats.handle_heartbeat)
    peers.on(MessageKind.digest, Digest, heartbeats.handle_digest)
    async with open_discovery(settings, platform, membership, configuration):
        with run_heartbeats(heartbeats, membership.table.timing.timeout):
            yield membership
