"""A scheduler that runs on this node, and the nodes registered with it."""

import dataclasses
from collections.abc import Iterable
from typing import Final

from mastichatch_core import scheduler as core
from mastichatch_core.generated.messages import (
    CandidateScore,
    MessageKind,
    PermitGrant,
    PermitRecall,
    PermitRefusal,
    Registration,
    SchedulerOpen,
    ServiceLoad,
    Term,
)
from mastichatch_node.decisions import DecisionLog
from mastichatch_node.metrics import Metrics
from mastichatch_node.peers import Peers

CLIENT_TIMEOUT_S: Final = 10.0
IDLE_ADVANCE_INTERVAL_S: Final = 0.25

_MESSAGE_KINDS: Final[dict[type[object], MessageKind]] = {
    PermitGrant: MessageKind.permit_grant,
    PermitRefusal: MessageKind.permit_refusal,
    PermitRecall: MessageKind.permit_recall,
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SchedulerContext:
    """Dependencies that all schedulers of a node share.

    :param peers: connections to other nodes
    :param decisions: decision log
    :param metrics: metrics of this node
    :param node: name of this host
    :param data_centre: data centre of this host
    """

    peers: Peers
    decisions: DecisionLog
    metrics: Metrics
    node: str
    data_centre: str


@dataclasses.dataclass(frozen=True, slots=True)
class _Client:
    """A node that registered with a scheduler.

    :param address: peer address for messages to the node
    :param sequence: number of its newest registration in the current term
    :param seen_at: time of its last registration, in seconds
    """

    address: str
    sequence: int
    seen_at: float


class HostedScheduler:
    """A scheduler that runs here, with the nodes registered with it."""

    def __init__(
        self,
        scheduler: core.Scheduler,
        context: SchedulerContext,
        revision: int,
    ) -> None:
        """Start with no registered node."""
        self._scheduler = scheduler
        self._context = context
        self._revision = revision
        self._clients: dict[str, _Client] = {}
        self._last_announced = float('-inf')
        self._last_advanced = float('-inf')

    @property
    def scheduler(self) -> core.Scheduler:
        """The scheduler."""
        return self._scheduler

    @property
    def term(self) -> Term:
        """The scheduler's term."""
        return self._scheduler.term

    @property
    def last_announced(self) -> float:
        """Time of the last announcement to all nodes, in seconds."""
        return self._last_announced

    def is_advance_due(self, now: float) -> bool:
        """Return whether the scheduler is due to be advanced.

        With no waiting request there is nothing to grant, so an idle scheduler
        is advanced only every ``IDLE_ADVANCE_INTERVAL_S``. A true result counts
        as an advance at the given time.

        :param now: current time, in seconds
        """
        idle = not self._scheduler.waiting_count
        if idle and now - self._last_advanced < IDLE_ADVANCE_INTERVAL_S:
            return False
        self._last_advanced = now
        return True

    def record_revision(self, revision: int) -> None:
        """Set the configuration revision that logged decisions carry.

        :param revision: current revision
        """
        self._revision = revision

    def is_client(self, node: str) -> bool:
        """Return whether a node has registered in the current term.

        :param node: name of the node
        """
        return node in self._clients

    def add_client(
        self,
        registration: Registration,
        address: str,
        now: float,
    ) -> None:
        """Add or update a registered node.

        :param registration: its registration
        :param address: its peer address
        :param now: current time, in seconds
        """
        self._clients[registration.node] = _Client(
            address,
            registration.sequence,
            now,
        )

    def load(self, now: float) -> ServiceLoad:
        """Return the load for announcements and data centre digests.

        :param now: current time, in seconds
        """
        return ServiceLoad(
            service=self._scheduler.service,
            free=self._scheduler.free_count,
            waiting=self._scheduler.waiting_count,
            wait_ms=self._scheduler.expected_wait_ms(now),
        )

    def announce(self, members: Iterable[str], now: float) -> None:
        """Announce the scheduler to members and to other registered nodes.

        Nodes that have not registered for ``CLIENT_TIMEOUT_S`` are dropped.

        :param members: peer addresses of the data centre's nodes
        :param now: current time, in seconds
        """
        self._last_announced = now
        self._clients = {
            name: client
            for name, client in self._clients.items()
            if now - client.seen_at < CLIENT_TIMEOUT_S
        }
        addresses = {client.address for client in self._clients.values()}
        addresses.update(members)
        for address in addresses:
            self.announce_to(address, now)

    def announce_to(
        self, address: str, now: float, *, list_wanted: bool = False
    ) -> None:
        """Announce the scheduler to one node.

        :param address: peer address of the node
        :param now: current time, in seconds
        :param list_wanted: whether the node must list every permit it holds
        """
        load = self.load(now)
        message = SchedulerOpen(
            service=load.service,
            term=self.term,
            node=self._context.node,
            data_centre=self._context.data_centre,
            free=load.free,
            waiting=load.waiting,
            wait_ms=load.wait_ms,
            list_wanted=list_wanted,
            sent_at=now,
        )
        self._context.peers.send(address, MessageKind.scheduler_open, message)

    def send(self, outgoing: Iterable[core.Outgoing]) -> None:
        """Log the scheduler's decisions and send them to their nodes.

        Decisions for nodes that are not registered are dropped.

        :param outgoing: messages from the scheduler
        """
        for item in outgoing:
            client = self._clients.get(item.node)
            if client is None:
                continue
            message = item.message
            if isinstance(message, PermitGrant):
                message = dataclasses.replace(
                    message,
                    registration=client.sequence,
                )
            self._log_decision(message)
            self._context.peers.send(
                client.address,
                _MESSAGE_KINDS[type(message)],
                message,
            )

    def _log_decision(
        self,
        message: PermitGrant | PermitRefusal | PermitRecall,
    ) -> None:
        kind = _MESSAGE_KINDS[type(message)]
        self._context.metrics.count(f'scheduler.{kind}')
        self._context.decisions.note(
            kind,
            message.request_id,
            choice=_choice(message),
            reason=_reason(message),
            term=self.term.number,
            revision=self._revision,
            candidates=_candidates(message),
        )


def _choice(message: PermitGrant | PermitRefusal | PermitRecall) -> str:
    return message.endpoint if isinstance(message, PermitGrant) else ''


def _candidates(
    message: PermitGrant | PermitRefusal | PermitRecall,
) -> tuple[CandidateScore, ...]:
    return message.candidates if isinstance(message, PermitGrant) else ()


def _reason(message: PermitGrant | PermitRefusal | PermitRecall) -> str:
    if isinstance(message, PermitGrant):
        return message.reason
    if isinstance(message, PermitRefusal):
        return message.kind
    return 'recalled before use'
