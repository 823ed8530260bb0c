"""Exchanges the runs in progress with the other nodes."""

import asyncio
import dataclasses
import math
from collections.abc import Callable, Iterable
from typing import Final

from mastichatch_core.generated.messages import (
    Envelope,
    MessageKind,
    Run,
    RunChanges,
    RunState,
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
# A full list is sent to this many nodes at a time, spread over the interval, so
# that callers' streams do not wait for all of them on a slow link.
NODES_PER_SLICE: Final = 8


class RunBroadcaster:
    """Announces this node's runs, and records those of all nodes."""

    def __init__(
        self,
        node: str,
        peers: Peers,
        addresses: Callable[[], Iterable[str]],
        revision: Callable[[], int],
        forwarder: Callable[[], str | None],
    ) -> None:
        """Start without runs.

        :param node: name of this node
        :param peers: connections to other nodes
        :param addresses: returns the peer addresses of the other nodes
        :param revision: returns the latest store revision that this node has
        :param forwarder: returns the peer address of the node that forwards
            this node's changes; ``None`` if it sends them itself
        """
        self._forwarder = forwarder
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
            self._send_changes((_announcement(run),))
            self._notify()

    def announce_departure(self, instance: str) -> None:
        """Tell other nodes that an endpoint has reported its departure.

        :param instance: instance name of the endpoint
        """
        self._send_changes((), leaving=(instance,))

    async def handle_changes(
        self, message: RunChanges, envelope: Envelope
    ) -> None:
        """Apply the changes of another node, and forward them if asked to.

        :param message: changed runs of a node
        :param envelope: envelope that identifies the sender
        """
        incarnation = message.origin or envelope.incarnation
        self._table.apply_changes(message, incarnation, loop_time())
        if message.must_forward:
            self._forward(message, envelope.sender)
        self._notify()

    async def broadcast_periodically(self) -> None:
        """Send the full list of runs to each node once in an interval.

        Runs until it is cancelled.
        """
        start = 0
        while True:
            slices = math.ceil(len(tuple(self._addresses())) / NODES_PER_SLICE)
            await asyncio.sleep(self._interval_s() / max(1, slices))
            addresses = tuple(self._addresses())
            end = start + NODES_PER_SLICE
            self._send_full_list(addresses[start:end])
            start = end if end < len(addresses) else 0

    def _send_full_list(self, receivers: Iterable[str]) -> None:
        message = self._create_message(self._table.own, is_whole=True)
        self._peers.send_all(receivers, MessageKind.run_changes, message)

    def _send_changes(
        self, runs: tuple[Run, ...], leaving: tuple[str, ...] = ()
    ) -> None:
        message = self._create_message(runs, leaving=leaving)
        forwarder = self._forwarder()
        if forwarder is None:
            self._peers.send_all(
                self._addresses(), MessageKind.run_changes, message
            )
            return
        forwarded = dataclasses.replace(
            message, origin=self._peers.incarnation, must_forward=True
        )
        self._peers.send(forwarder, MessageKind.run_changes, forwarded)

    def _forward(self, message: RunChanges, sender: str) -> None:
        """Send another node's changes to all nodes but that one."""
        receivers = (one for one in self._addresses() if one != sender)
        self._peers.send_all(
            receivers,
            MessageKind.run_changes,
            dataclasses.replace(message, must_forward=False),
        )

    def _create_message(
        self,
        runs: tuple[Run, ...],
        *,
        is_whole: bool = False,
        leaving: tuple[str, ...] = (),
    ) -> RunChanges:
        self._sequence += 1
        return RunChanges(
            node=self._node,
            sequence=self._sequence,
            interval_ms=self._interval_s() * MS_PER_S,
            revision=self._revision(),
            is_whole=is_whole,
            runs=runs,
            leaving=leaving,
        )

    def _interval_s(self) -> float:
        nodes = len(tuple(self._addresses()))
        return FULL_LIST_INTERVAL_S * max(1, nodes / NODES_PER_INTERVAL)

    def _notify(self) -> None:
        for subscriber in self._subscribers:
            subscriber()


def _announcement(run: Run) -> Run:
    """Return what other nodes need to know of a run that changed."""
    if run.state is not RunState.ended:
        return run
    return Run(request_id=run.request_id, service=run.service, state=run.state)
