"""Tells other nodes of this node's runs, and takes what they tell."""

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

# Whole lists repair what a lost message left wrong. Their number grows with
# the square of the nodes, so that larger fleets send them less often.
WHOLE_INTERVAL_S: Final = 1.0
NODES_A_INTERVAL: Final = 30


class Sharing:
    """The runs of all nodes, as this node knows them."""

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
        :param revision: returns the revision that this node knows
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
        """The runs known."""
        return self._table

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call back after each change.

        :param callback: called without arguments
        """
        self._subscribers.append(callback)

    def note(self, run: Run, *, tell: bool = True) -> None:
        """Note a change of this node's runs.

        :param run: the run as it is now
        :param tell: whether the others must know before the next whole list
        """
        self._table.update_own(run, loop_time())
        if tell:
            self._send((run,), is_whole=False)
            self._notify()

    def tell_leaving(self, instance: str) -> None:
        """Tell the others that an endpoint says of itself that it leaves.

        :param instance: the endpoint
        """
        self._send((), is_whole=False, leaving=(instance,))

    async def on_changes(self, message: RunChanges, envelope: Envelope) -> None:
        """Take what another node tells.

        :param message: what changed
        :param envelope: who sent it
        """
        self._table.apply_changes(message, envelope.incarnation, loop_time())
        self._notify()

    async def repeat(self) -> None:
        """Name all runs at a fixed interval until cancelled."""
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
        return WHOLE_INTERVAL_S * max(1, nodes / NODES_A_INTERVAL)

    def _notify(self) -> None:
        for subscriber in self._subscribers:
            subscriber()
