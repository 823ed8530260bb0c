"""Tells the nodes that decide on a roll-out how its versions answer.

Load pattern: an order is open, and each host gets answers at its own rate. It
sends one small message a few times a second to two hosts, and none where
nothing was counted; the counts only grow, so that a lost message is made up for
by the next one.
"""

import asyncio
import dataclasses
import random
from typing import Final

from mastichatch_core import rendezvous
from mastichatch_core.generated.messages import (
    Envelope,
    MessageKind,
    RolloutCell,
    RolloutReport,
)
from mastichatch_core.relay.rollouts.evidence import part_of
from mastichatch_core.units import MS_PER_S
from mastichatch_node.clock import loop_time
from mastichatch_node.peers import Peers
from mastichatch_node.relay.rollouts.keeper import RolloutKeeper
from mastichatch_node.relay.rollouts.state import ServiceRollout
from mastichatch_node.relay.run_broadcast import RunBroadcaster
from mastichatch_node.relay.store_following import NodeRegistry

REPORT_INTERVAL_S: Final = 0.3
# Every so many intervals, the counts of the last parts of the period are sent
# again, in case that a message was lost.
REPEAT_INTERVALS: Final = 4
REPEATED_PARTS: Final = 3
# Nodes that receive the counts: the one that decides, and one that takes over.
DECIDER_COUNT: Final = 2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Directory:
    """The nodes that take part in a roll-out.

    :param registry: registrations of the other nodes
    :param sharing: tells which of them have sent a message recently
    """

    registry: NodeRegistry
    sharing: RunBroadcaster

    @property
    def own_name(self) -> str:
        """Name of this node."""
        return self.registry.own_name

    def rank(self, service: str) -> tuple[str, ...]:
        """Return the nodes in the order in which they decide on a service.

        :param service: name of the service
        """
        heard = self.sharing.table.heard(loop_time())
        return rendezvous.ranked((self.own_name, *heard), f'rollout/{service}')


class RolloutReporter:
    """Reports this node's counts, and takes in those of the others."""

    def __init__(
        self, keeper: RolloutKeeper, peers: Peers, directory: Directory
    ) -> None:
        """Start without anything reported.

        :param keeper: what the node knows of roll-outs
        :param peers: connections to other nodes
        :param directory: the nodes
        """
        self._keeper = keeper
        self._peers = peers
        self._directory = directory
        # Receivers of the last report, by service and revision of its order.
        self._receivers: dict[tuple[str, int], tuple[str, ...]] = {}
        self._rounds = 0

    async def report_periodically(self) -> None:
        """Report the counts of open roll-outs until cancelled."""
        while True:
            spread = random.uniform(0.8, 1.2)  # noqa: S311
            await asyncio.sleep(REPORT_INTERVAL_S * spread)
            self._rounds += 1
            rollouts = self._keeper.open_rollouts()
            for rollout in rollouts:
                self._keeper.observer.review(rollout)
                self._report(rollout)
            if not rollouts:
                self._receivers.clear()

    async def handle_report(
        self, report: RolloutReport, envelope: Envelope
    ) -> None:
        """Take in the counts of another node.

        :param report: counts that have changed
        :param envelope: envelope that identifies the sender
        """
        rollout = self._keeper.find(report.service)
        if rollout is not None:
            rollout.evidence.apply(report, envelope.incarnation, loop_time())

    def _report(self, rollout: ServiceRollout) -> None:
        order = rollout.order
        if order is None:
            return
        now = loop_time()
        ranked = self._directory.rank(order.service)
        receivers = ranked[:DECIDER_COUNT]
        key = (order.service, order.revision)
        is_first = self._receivers.get(key) != receivers
        self._receivers[key] = receivers
        cells = self._take_cells(rollout, now, is_first=is_first)
        if not cells and not is_first:
            return
        report = RolloutReport(
            node=self._directory.own_name,
            service=order.service,
            order_revision=order.revision,
            age_ms=max(0, rollout.age_s(now)) * MS_PER_S,
            cells=cells,
        )
        rollout.evidence.apply(report, self._peers.incarnation, now)
        others = (one for one in receivers if one != self._directory.own_name)
        self._peers.send_all(
            self._directory.registry.addresses_of(others),
            MessageKind.rollout_report,
            report,
        )

    def _take_cells(
        self, rollout: ServiceRollout, now: float, *, is_first: bool
    ) -> tuple[RolloutCell, ...]:
        """Return the counts that the receivers may lack."""
        order = rollout.order
        changed = rollout.counts.take_changed()
        if is_first or order is None:
            return rollout.counts.cells()
        if self._rounds % REPEAT_INTERVALS:
            return changed
        first = part_of(now - rollout.seen_at, order.period_s) - REPEATED_PARTS
        return tuple(one for one in rollout.counts.cells() if one.part > first)
