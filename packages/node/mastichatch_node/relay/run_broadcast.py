"""Exchanges the runs in progress with the other nodes."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Final

from mastichatch_core.generated.messages import (
    Envelope,
    MessageKind,
    Run,
    RunChanges,
)
from mastichatch_core.relay.runs import RunTable
from mastichatch_core.units import MS_PER_S
from mastichatch_node.clock import loop_time
from mastichatch_node.peers import Peers

# Full lists correct the errors that lost messages cause. Their number grows
# with the square of the number of nodes, so larger fleets send them less often:
# beyond ``NODES_PER_INTERVAL`` nodes, the interval grows with their number.
FULL_LIST_INTERVAL_S: Final = 1.0
NODES_PER_INTERVAL: Final = 30


class RunBroadcaster:
    """Announces this node's runs, and records those of all nodes."""

    def __init__(
        self,
        node: str,
        peers: Peers,
        addresses: Callable[[], Iterable[str]],
        revision: Callable[[], int],
    ) -> None:
        """Start without runs.

        :param node: name of this node
        :param peers: connections to other nodes
        :param addresses: returns the peer addresses of the other nodes
        :param revision: returns the latest store revision that this node has
        """
        self._revision = revision
        self._node = node
        self._peers = peers
        self._addresses = addresses
        self._table = RunTable()
        self._sequence = 0
        self._subscribers: list[Callable[[], None]] = []

    @property
    def table(self) -> RunTable:
        """Table of the known runs of all nodes."""
        return self._table

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Register a callback for changes that are announced or received.

        :param callback: called without arguments
        """
        self._subscribers.append(callback)

    def record(self, run: Run, *, announce: bool = True) -> None:
        """Record the state of one of this node's runs.

        :param run: current state of the run
        :param announce: whether to send it to other nodes and call the
            subscribers at once; otherwise it is sent with the next full list
        """
        self._table.update_own(run, loop_time())
        if announce:
            self._send((run,), is_whole=False)
            self._notify()

    def announce_departure(self, instance: str) -> None:
        """Tell other nodes that an endpoint has reported its departure.

        :param instance: instance name of the endpoint
        """
        self._send((), is_whole=False, leaving=(instance,))

    async def handle_changes(
        self, message: RunChanges, envelope: Envelope
    ) -> None:
        """Apply the changes that another node sent.

        :param message: changed runs of the sender
        :param envelope: envelope that identifies the sender
        """
        self._table.apply_changes(message, envelope.incarnation, loop_time())
        self._notify()

    async def broadcast_periodically(self) -> None:
        """Send the full list of runs periodically until cancelled."""
        while True:
            interval_s = self._interval_s()
            await asyncio.sleep(interval_s)
            self._send(self._table.own, is_whole=True)

    def _send(
        self,
        runs: tuple[Run, ...],
        *,
        is_whole: bool,
        leaving: tuple[str, ...] = (),
    ) -> None:
        self._sequence += 1
        message = RunChanges(
            node=self._node,
            sequence=self._sequence,
            interval_ms=self._interval_s() * MS_PER_S,
            revision=self._revision(),
            is_whole=is_whole,
            runs=runs,
            leaving=leaving,
        )
        self._peers.send_all(
            self._addresses(), MessageKind.run_changes, message
        )

    def _interval_s(self) -> float:
        nodes = len(tuple(self._addresses()))
        return FULL_LIST_INTERVAL_S * max(1, nodes / NODES_PER_INTERVAL)

    def _notify(self) -> None:
        for subscriber in self._subscribers:
            subscriber()
