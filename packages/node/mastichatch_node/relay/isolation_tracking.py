"""Tracks whether this node is cut off from endpoints that its peers reach."""

import asyncio
import contextlib
import dataclasses
import functools
import math
import random
from collections.abc import Callable, Collection
from typing import Final

from mastichatch_core.generated.messages import RunChanges
from mastichatch_core.relay.isolation import CONTACT_MARGIN_S, PeerContacts
from mastichatch_node.clock import loop_time
from mastichatch_node.relay.contact_tracking import Callback, ContactTracker
from mastichatch_node.relay.isolation_metrics import ContactState
from mastichatch_node.relay.telemetry import Telemetry

# Number of peers that tell a node that is cut off of their contact, and the
# time between two answers to it.
ANSWERING_PEERS: Final = 4
ANSWER_INTERVAL_S: Final = 1.0
# Longest wait until it is known whether a connection broke with all others.
SETTLE_LIMIT_S: Final = 1.5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class IsolationSources:
    """What a tracker reads, and whom it tells.

    :param contact: this node's own way to the endpoints
    :param heard: returns the names of the peers whose messages arrive
    :param announce: tells all peers of this node's contact
    :param answer: tells one peer of it, by name
    :param telemetry: log and metrics of the node
    """

    contact: ContactTracker
    heard: Callable[[], Collection[str]]
    announce: Callback
    answer: Callable[[str], None]
    telemetry: Telemetry


class IsolationTracker:
    """Whether this node is cut off from endpoints that its peers reach."""

    def __init__(self, sources: IsolationSources) -> None:
        """Start as a node that reaches all endpoints.

        :param sources: what is read, and who is told
        """
        self._sources = sources
        self._peers = PeerContacts()
        self._callbacks: list[Callback] = []
        self._answered_at: dict[str, float] = {}
        self._is_isolated = False
        self._settled = asyncio.Event()
        self._settled.set()
        sources.contact.subscribe(self._handle_change)

    @property
    def is_isolated(self) -> bool:
        """Whether this node reaches no endpoint, while peers do."""
        return self._is_isolated

    @property
    def contact(self) -> ContactTracker:
        """This node's own way to the endpoints."""
        return self._sources.contact

    def reachable_peers(self) -> tuple[str, ...]:
        """Return the names of live peers that lately reached endpoints."""
        return self._peers.reaching(self._sources.heard, loop_time())

    def cut_off_peers(self) -> frozenset[str]:
        """Return the names of the peers that reach no endpoint."""
        return self._peers.cut_off

    def reaches(self, service: str) -> bool:
        """Return whether this node lately reached an endpoint of a service.

        It is assumed to unless there are signs against it.

        :param service: name of the service
        """
        contact = self._sources.contact
        return not (contact.is_cut_off and contact.checker.knows(service))

    async def settle(self) -> None:
        """Wait until an endpoint is reached, or this node is isolated.

        Callers use it after a connection broke, and all share one check.
        """
        if self._is_isolated:
            return
        if self._settled.is_set():
            self._settled = asyncio.Event()
            self._sources.contact.call_when_reached(self._settled.set)
        settled = self._settled
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SETTLE_LIMIT_S):
                await settled.wait()
        settled.set()

    def subscribe(self, callback: Callback) -> None:
        """Call a function whenever ``is_isolated`` changes.

        :param callback: the function
        """
        self._callbacks.append(callback)

    def handle_changes(self, message: RunChanges) -> None:
        """Record what a peer tells of its contact with endpoints.

        :param message: message of the peer
        """
        now = loop_time()
        self._peers.record(message, now)
        if self._sources.contact.is_cut_off:
            self._update()
        elif message.is_cut_off:
            self._answer(message.node, now)

    def _answer(self, name: str, now: float) -> None:
        """Tell a peer that is cut off that this node reaches endpoints."""
        answered_at = self._answered_at.get(name, -math.inf)
        if now - answered_at < ANSWER_INTERVAL_S:
            return
        if random.random() * len(self._peers) > ANSWERING_PEERS:  # noqa: S311
            return
        self._answered_at[name] = now
        # Only contact that is clearly later than the cut counts.
        asyncio.get_running_loop().call_later(
            CONTACT_MARGIN_S,
            self._sources.contact.call_when_reached,
            functools.partial(self._sources.answer, name),
        )

    def _handle_change(self) -> None:
        if not self._sources.contact.is_cut_off:
            self._settled.set()
        self._sources.announce()
        self._update()

    def _update(self) -> None:
        """Compare this node's contact with that of its peers."""
        contact = self._sources.contact
        is_isolated = contact.is_cut_off and self._peers.has_reached_since(
            self.reachable_peers(), contact.began_at + CONTACT_MARGIN_S
        )
        if is_isolated == self._is_isolated:
            return
        self._is_isolated = is_isolated
        self._settled.set()
        telemetry = self._sources.telemetry
        telemetry.isolation.record_state(
            ContactState.isolated, is_begun=is_isolated
        )
        telemetry.log_state_change(
            'node_isolated' if is_isolated else 'node_rejoined',
            peers=len(self.reachable_peers()),
        )
        for callback in self._callbacks:
            callback()
