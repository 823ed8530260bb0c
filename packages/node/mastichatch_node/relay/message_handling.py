"""Passes the messages of other nodes to the components of a relay node."""

from collections.abc import Callable, Iterable

from mastichatch_core.generated.messages import (
    Envelope,
    MessageKind,
    RunChanges,
    ViewQuery,
)
from mastichatch_node.peers import Peers
from mastichatch_node.relay.run_broadcast import RunBroadcaster
from mastichatch_node.relay.store_following import StoreFollower


def register_handlers(
    peers: Peers,
    broadcaster: RunBroadcaster,
    follower: StoreFollower,
    reactions: Iterable[Callable[[RunChanges], None]],
) -> None:
    """Register the handlers of messages of other nodes.

    :param peers: connections to other nodes
    :param broadcaster: applies changes of runs, and forwards them
    :param follower: answers queries for the view of the store
    :param reactions: called with each change of runs once it is applied
    """
    handlers = tuple(reactions)

    async def handle_run_changes(
        message: RunChanges, envelope: Envelope
    ) -> None:
        await broadcaster.handle_changes(message, envelope)
        for handle in handlers:
            handle(message)
        await follower.handle_changes(message, envelope)

    peers.on(MessageKind.view_query, ViewQuery, follower.answer_query)
    peers.on(MessageKind.run_changes, RunChanges, handle_run_changes)
