"""The schedulers from which a node requests permits."""

import dataclasses
import itertools
from typing import Final

from mastichatch_core.generated.messages import (
    MessageKind,
    PermitCancel,
    PermitGrant,
    PermitRelease,
    PermitRequest,
    Registration,
    SchedulerOpen,
    ServiceLoad,
    Term,
)
from mastichatch_core.renewal import ReportedPermits
from mastichatch_core.terms import term_rank
from mastichatch_core.units import MS_PER_S
from mastichatch_node.clock import loop_time
from mastichatch_node.membership import Membership
from mastichatch_node.peers import Peers

_REGISTRATION_HISTORY_LIMIT: Final = 64
# A scheduler sends two announcements within this time.
ANNOUNCEMENT_TIMEOUT_S: Final = 1.0

SchedulerMessage = PermitRequest | PermitRelease | PermitCancel | Registration


@dataclasses.dataclass(frozen=True, slots=True)
class SchedulerScope:
    """The service and data centre that one scheduler is responsible for.

    :param service: name of the service
    :param data_centre: name of the data centre
    """

    service: str
    data_centre: str


def scheduler_scope(request: PermitRequest) -> SchedulerScope:
    """Return the service and data centre of the scheduler for a request.

    :param request: a permit request
    """
    return SchedulerScope(request.service, request.data_centre)


@dataclasses.dataclass(slots=True)
class SchedulerLink:
    """The scheduler with the highest term seen for one scope.

    :param term: term of the scheduler
    :param address: peer address of its host
    :param load: load in its last announcement
    :param heard_at: loop time of its last announcement, in seconds
    :param announced_at: latest announcement by the scheduler's own clock, in
        seconds
    :param sequence_numbers: counter that numbers the registrations under this
        term
    :param registration_sent_at: loop times at which the latest registrations
        were sent, by sequence number, in seconds
    :param reported_permits: permits of this node that were reported to the
        scheduler
    """

    term: Term
    address: str
    load: ServiceLoad
    heard_at: float = 0
    announced_at: float = 0
    sequence_numbers: 'itertools.count[int]' = dataclasses.field(
        default_factory=lambda: itertools.count(1),
    )
    registration_sent_at: dict[int, float] = dataclasses.field(
        default_factory=dict
    )
    reported_permits: ReportedPermits = dataclasses.field(
        default_factory=ReportedPermits
    )

    def next_sequence(self, now: float) -> int:
        """Return the sequence number for a registration that is sent now.

        :param now: current time, in seconds
        """
        sequence = next(self.sequence_numbers)
        self.registration_sent_at[sequence] = now
        self.registration_sent_at.pop(
            sequence - _REGISTRATION_HISTORY_LIMIT, None
        )
        return sequence


class SchedulerLinks:
    """The schedulers that this node knows, by service and data centre."""

    def __init__(self, peers: Peers, membership: Membership) -> None:
        """Create the table without schedulers.

        :param peers: connections to other nodes
        :param membership: nodes that may know a scheduler
        """
        self._peers = peers
        self._membership = membership
        self._links: dict[SchedulerScope, SchedulerLink] = {}
        self._rotation = itertools.count()

    def get(self, scope: SchedulerScope) -> SchedulerLink | None:
        """Return a scheduler, or None if none is known.

        :param scope: service and data centre
        """
        return self._links.get(scope)

    def record_announcement(self, message: SchedulerOpen, sender: str) -> bool:
        """Record an announcement unless a higher term has been seen.

        :param message: the announcement
        :param sender: peer address of the scheduler's host
        :returns: whether the announcement was recorded
        """
        scope = SchedulerScope(message.service, message.data_centre)
        link = self._links.get(scope)
        if link is not None and term_rank(message.term) < term_rank(link.term):
            return False
        if link is None or message.term != link.term:
            link = SchedulerLink(message.term, sender, _announced_load(message))
            self._links[scope] = link
        link.address = sender
        link.load = _announced_load(message)
        link.heard_at = loop_time()
        link.announced_at = max(link.announced_at, message.sent_at)
        return True

    def is_announcement_overdue(self, scope: SchedulerScope) -> bool:
        """Return whether no announcement of a scheduler arrived recently.

        :param scope: service and data centre
        """
        link = self._links.get(scope)
        return (
            link is None
            or loop_time() - link.heard_at >= ANNOUNCEMENT_TIMEOUT_S
        )

    def is_from_scheduler(self, scope: SchedulerScope, sender: str) -> bool:
        """Return whether a message comes from the host of a scheduler.

        :param scope: service and data centre
        :param sender: peer address of the message's sender
        """
        link = self._links.get(scope)
        return link is not None and link.address == sender

    def register_through_any_node(
        self, scope: SchedulerScope, registration: Registration
    ) -> None:
        """Send a registration to the next node of a data centre, in rotation.

        The node forwards it to the scheduler.

        :param scope: service and data centre
        :param registration: registration for the scheduler
        """
        self._send_to_any_node(scope, MessageKind.registration, registration)

    def report_higher_term(
        self, sender: str, registration: Registration
    ) -> None:
        """Notify the host of a scheduler that a higher term exists.

        :param sender: peer address of the scheduler's host
        :param registration: registration with the highest term seen
        """
        self._peers.send(sender, MessageKind.registration, registration)

    def send_to_scheduler(
        self,
        scope: SchedulerScope,
        kind: MessageKind,
        message: SchedulerMessage,
    ) -> None:
        """Send a message to a scheduler.

        A permit request also goes to another node of the data centre if no
        announcement of the scheduler arrived recently.

        :param scope: service and data centre
        :param kind: kind of the message
        :param message: message to send
        """
        link = self._links.get(scope)
        if link is not None:
            self._peers.send(link.address, kind, message)
        if kind is MessageKind.permit_request and self.is_announcement_overdue(
            scope
        ):
            self._send_to_any_node(scope, kind, message)

    def lease_end(
        self,
        request: PermitRequest,
        grant: PermitGrant,
    ) -> float | None:
        """Return when an unused permit expires, or None if it is not valid.

        The lease counts from when this node sent the registration that the
        grant names. The grant was issued after that, so a grant that was not
        read in time because this process was paused counts as expired.

        :param request: the permit request
        :param grant: the grant that was received
        """
        link = self._links.get(scheduler_scope(request))
        if link is None or term_rank(grant.term) != term_rank(link.term):
            return None
        sent_at = link.registration_sent_at.get(grant.registration)
        if sent_at is None:
            return None
        lease_end = sent_at + grant.lease_ms / MS_PER_S
        return lease_end if loop_time() < lease_end else None

    def release_unused_grant(self, sender: str, release: PermitRelease) -> None:
        """Release a grant for which no request is waiting.

        :param sender: peer address of the scheduler's host
        :param release: message that releases the grant
        """
        self._peers.send(sender, MessageKind.permit_release, release)

    def _send_to_any_node(
        self,
        scope: SchedulerScope,
        kind: MessageKind,
        message: SchedulerMessage,
    ) -> None:
        """Send a message to the next node of a data centre for forwarding."""
        addresses = tuple(
            member.peer_address
            for member in self._membership.all_known()
            if member.data_centre == scope.data_centre and not member.draining
        ) or self._digest_addresses(scope.data_centre)
        if addresses:
            address = addresses[next(self._rotation) % len(addresses)]
            self._peers.send(address, kind, message)

    def _digest_addresses(self, data_centre: str) -> tuple[str, ...]:
        """Return the node addresses of a data centre that digests name.

        They serve as a fallback if every known node of it is draining, or none
        is known by name.
        """
        remotes = self._membership.remotes
        return remotes.ranked_addresses(data_centre, loop_time())


def _announced_load(message: SchedulerOpen) -> ServiceLoad:
    return ServiceLoad(
        service=message.service,
        free=message.free,
        waiting=message.waiting,
        wait_ms=message.wait_ms,
    )
