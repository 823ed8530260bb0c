"""Membership state and failure detection rules for one data centre.

The module does no I/O, and callers pass the current time. A silent node
stays expected until there is proof that it is gone. Otherwise schedulers on
both sides of a network partition could each use an endpoint's full capacity.
"""

import dataclasses
import enum
import math
from collections.abc import Iterable
from typing import Final

from mastichatch_core.generated.records import NodeRecord

# Number of replaced incarnations that are remembered, per known node.
RETIRED_INCARNATIONS_PER_NODE: Final = 16
# Silence, in member timeouts, after which a node is removed because other
# data centres do not hear it. A partitioned node needs this long to contact
# the other data centres itself.
REMOTE_SILENCE_TIMEOUTS: Final = 3
# Age, in member timeouts, up to which a report from another data centre that
# a node is alive prevents its removal.
REMOTE_CONTACT_TIMEOUTS: Final = 2
# Number of host list reads in which a new node's host is looked for.
HOST_LIST_READ_LIMIT: Final = 10
# Silence, in member timeouts, after which a node that other nodes still hear
# counts as unreachable from this node only. If the node had failed, the
# others would have detected it by then.
UNREACHABLE_TIMEOUTS: Final = 2


class GoneReason(enum.StrEnum):
    """The kind of proof that a silent node is gone."""

    drained = 'drained'
    lease_lapsed = 'lease_lapsed'
    host_removed = 'host_removed'
    unheard_elsewhere = 'unheard_elsewhere'


class HeartbeatEffect(enum.Enum):
    """The effect of a heartbeat on the membership state."""

    usual = 'usual'
    changed = 'changed'
    new = 'new'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """A node as other nodes know it.

    :param name: name of the node's host
    :param data_centre: name of the node's data centre
    :param incarnation: unique id of the current run of the node's process
    :param peer_address: address for other nodes, as IP:PORT
    :param http_address: address for callers, as IP:PORT
    :param draining: whether the node takes no new work
    :param revision: configuration revision in force on the node
    :param partial: whether the node cannot reach a node that others hear
    """

    name: str
    data_centre: str
    incarnation: str
    peer_address: str
    http_address: str
    draining: bool = False
    revision: int = 0
    partial: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MemberTiming:
    """Timeouts of the membership rules, in seconds.

    :param timeout: silence after which a node counts as unreachable
    :param lease: length of a node's platform lease
    """

    timeout: float
    lease: float


@dataclasses.dataclass(slots=True, kw_only=True)
class _Contact:
    member: Member
    known_at: float
    first_heard_at: float = math.inf
    heard_at: float = -math.inf
    # Time at which the other node last reported that it hears this node.
    acknowledged_at: float = -math.inf
    # Names of the nodes that the other node last reported as heard.
    heard_names: frozenset[str] = frozenset()
    # Time of the latest platform request, sent after the last heartbeat, that
    # found no registration of the node.
    lease_lapsed_at: float = -math.inf
    host_was_listed: bool = False
    host_list_reads: int = 0
    host_was_removed: bool = False
    remote_contact_at: float = -math.inf


class MemberTable:
    """Membership state that one node keeps for its data centre."""

    def __init__(self, own: Member, timing: MemberTiming, now: float) -> None:
        """Create a table that holds this node only.

        :param own: this node
        :param timing: timeouts of the membership rules
        :param now: current time, in seconds
        """
        self.own = own
        self.timing = timing
        self.contacts: dict[str, _Contact] = {}
        # Incarnations that were replaced by a newer one, oldest first.
        self.retired: dict[str, None] = {}
        # Incarnations proved to be gone whose registration may still exist.
        self.gone: set[str] = set()
        self.started_at = now
        self.ignore_heartbeats_until = -math.inf
        self.lease_until = -math.inf
        self.platform_contact_at = -math.inf
        self.remote_contact_at = -math.inf


def record_heartbeat(
    table: MemberTable,
    member: Member,
    heard: Iterable[str],
    now: float,
) -> HeartbeatEffect:
    """Record a heartbeat of another node.

    A new incarnation replaces the known one of the same name. Heartbeats of
    an incarnation that was replaced earlier are ignored.

    :param table: membership state of this node
    :param member: description of the sender, from the heartbeat
    :param heard: names of the nodes that the sender hears
    :param now: current time, in seconds
    :returns: ``new`` for the first heartbeat of an incarnation, ``changed``
        if contact in both directions was restored or the node started or
        stopped draining, otherwise ``usual``
    """
    if _is_ignored(table, member) or now < table.ignore_heartbeats_until:
        return HeartbeatEffect.usual
    table.gone.discard(member.incarnation)
    contact = _current_contact(table, member, now)
    is_new = contact.first_heard_at == math.inf
    before = (
        _has_two_way_contact(table, contact, now),
        contact.member.draining,
    )
    if is_new:
        contact.first_heard_at = now
    contact.member = member
    contact.heard_at = now
    contact.heard_names = frozenset(heard)
    if table.own.name in contact.heard_names:
        contact.acknowledged_at = now
    if is_new:
        return HeartbeatEffect.new
    after = (_has_two_way_contact(table, contact, now), member.draining)
    return HeartbeatEffect.usual if before == after else HeartbeatEffect.changed


def record_registrations(
    table: MemberTable,
    records: Iterable[NodeRecord],
    asked_at: float,
    now: float,
) -> None:
    """Record the registrations that the platform lists.

    :param table: membership state of this node
    :param records: all registrations of the data centre
    :param asked_at: time at which the request was sent, in seconds
    :param now: current time, in seconds
    """
    found = {record.name: record for record in records}
    table.gone &= {record.incarnation for record in found.values()}
    for record in found.values():
        member = _member_from_record(record)
        known = (
            table.contacts.get(record.name) or record.incarnation in table.gone
        )
        if not known and not _is_ignored(table, member):
            _current_contact(table, member, now)
    for name, contact in table.contacts.items():
        if name in found:
            contact.lease_lapsed_at = -math.inf
        elif contact.heard_at < asked_at:
            contact.lease_lapsed_at = max(contact.lease_lapsed_at, asked_at)
    record_platform_contact(table, now)


def record_host_list(table: MemberTable, hosts: Iterable[str]) -> None:
    """Record which nodes the platform's host list contains.

    A node's host counts as removed only if an earlier list contained it.

    :param table: membership state of this node
    :param hosts: names of all hosts on the list
    """
    names = set(hosts)
    for name, contact in table.contacts.items():
        contact.host_was_removed = contact.host_was_listed and name not in names
        contact.host_was_listed = contact.host_was_listed or name in names
        contact.host_list_reads += 1


def record_proved_gone(table: MemberTable, incarnations: Iterable[str]) -> None:
    """Record incarnations that another node has proved to be gone.

    This node may have learned of a host too late to see it on the host list,
    while the other node saw both the entry and its removal.

    :param table: membership state of this node
    :param incarnations: incarnations that are gone
    """
    proved = set(incarnations)
    for contact in table.contacts.values():
        if contact.member.incarnation in proved:
            contact.host_was_listed = True
            contact.host_was_removed = True


def needs_host_list(table: MemberTable) -> bool:
    """Return whether the host list must be read again.

    A missing entry proves a removal only if the host was on the list before.
    The list lags behind new hosts, so it is read for a new node until the
    host appears, at most ``HOST_LIST_READ_LIMIT`` times.

    :param table: membership state of this node
    """
    return any(
        not contact.host_was_listed
        and contact.host_list_reads < HOST_LIST_READ_LIMIT
        for contact in table.contacts.values()
    )


def record_remote_contacts(
    table: MemberTable,
    heard: Iterable[str],
    now: float,
) -> None:
    """Record which nodes of this data centre another data centre hears.

    :param table: membership state of this node
    :param heard: names of the nodes that the other data centre hears
    :param now: current time, in seconds
    """
    table.remote_contact_at = now
    for name in heard:
        contact = table.contacts.get(name)
        if contact is not None:
            contact.remote_contact_at = now


def record_platform_contact(table: MemberTable, now: float) -> None:
    """Record that the platform answered.

    :param table: membership state of this node
    :param now: current time, in seconds
    """
    table.platform_contact_at = now


def record_process_pause(
    table: MemberTable, ignore_heartbeats_until: float
) -> None:
    """Discard contact times after a pause of this process.

    A process that was not running cannot tell which nodes were silent.

    :param table: membership state of this node
    :param ignore_heartbeats_until: time before which heartbeats are ignored
        because they may be stale, in seconds
    """
    table.ignore_heartbeats_until = ignore_heartbeats_until
    for contact in table.contacts.values():
        contact.heard_at = -math.inf
        contact.acknowledged_at = -math.inf


def remove_gone(table: MemberTable, now: float) -> dict[str, GoneReason]:
    """Remove the nodes that are proved to be gone.

    :param table: membership state of this node
    :param now: current time, in seconds
    :returns: proof of each removal, by the name of the node
    """
    reasons = {
        name: _gone_reason(table, contact, now)
        for name, contact in table.contacts.items()
    }
    gone = {name: reason for name, reason in reasons.items() if reason}
    for name in gone:
        # The incarnation is not retired: after a partition the node may
        # rejoin with the same incarnation by sending a heartbeat. A leftover
        # registration does not restore it.
        table.gone.add(table.contacts.pop(name).member.incarnation)
    return gone


def expected_names(table: MemberTable) -> frozenset[str]:
    """Return the names of the nodes that are not proved to be gone.

    :param table: membership state of this node
    """
    return frozenset((table.own.name, *table.contacts))


def reachable_names(table: MemberTable, now: float) -> frozenset[str]:
    """Return the names of the nodes with contact in both directions.

    The result includes this node. It is empty if this node must treat itself
    as gone.

    :param table: membership state of this node
    :param now: current time, in seconds
    """
    if must_stop(table, now):
        return frozenset()
    names = (
        name
        for name, contact in table.contacts.items()
        if _has_two_way_contact(table, contact, now)
    )
    return frozenset((table.own.name, *names))


def recently_heard_names(table: MemberTable, now: float) -> tuple[str, ...]:
    """Return the names of the nodes heard within the member timeout.

    :param table: membership state of this node
    :param now: current time, in seconds
    """
    oldest = now - table.timing.timeout
    return tuple(
        name
        for name, contact in table.contacts.items()
        if contact.heard_at > oldest
    )


def live_members(table: MemberTable, now: float) -> tuple[Member, ...]:
    """Return the nodes that take new work, sorted by name.

    :param table: membership state of this node
    :param now: current time, in seconds
    """
    members = [
        contact.member
        for contact in table.contacts.values()
        if _has_two_way_contact(table, contact, now)
        and not contact.member.draining
    ]
    if not table.own.draining:
        members.append(table.own)
    return tuple(sorted(members, key=lambda member: member.name))


def has_partial_connectivity(table: MemberTable, now: float) -> bool:
    """Return whether this node cannot reach a node that others hear.

    :param table: membership state of this node
    :param now: current time, in seconds
    """
    unreachable = {
        name
        for name, contact in table.contacts.items()
        if _is_unreachable(table, contact, now)
    }
    return any(
        unreachable & contact.heard_names
        for contact in table.contacts.values()
        if _has_two_way_contact(table, contact, now)
    )


def eligible_scheduler_hosts(
    table: MemberTable, now: float
) -> tuple[Member, ...]:
    """Return the live nodes that may run schedulers, sorted by name.

    A node with partial connectivity is included only if every live node has
    partial connectivity. Otherwise the two ends of a broken link could each
    choose a different scheduler host.

    :param table: membership state of this node
    :param now: current time, in seconds
    """
    members = live_members(table, now)
    partial = {member.name for member in members if member.partial}
    if has_partial_connectivity(table, now):
        partial.add(table.own.name)
    connected = tuple(
        member for member in members if member.name not in partial
    )
    return connected or members


def unacknowledged_members(
    table: MemberTable, now: float
) -> tuple[Member, ...]:
    """Return the nodes that have not heard this node within the timeout.

    The connection to such a node may be open but deliver no messages.

    :param table: membership state of this node
    :param now: current time, in seconds
    """
    oldest = now - table.timing.timeout
    return tuple(
        contact.member
        for contact in table.contacts.values()
        if max(contact.acknowledged_at, contact.known_at) < oldest
    )


def must_stop(table: MemberTable, now: float) -> bool:
    """Return whether other nodes may have declared this node gone.

    This is the case if the node's lease has lapsed and it has no contact with
    any other node, the platform or another data centre. The exception is a
    node that lost contact with the platform and the other data centres more
    than one lease before it lost contact with the nodes of its own data
    centre: in that case the platform and the other data centres failed, and
    not this node's connection.

    :param table: membership state of this node
    :param now: current time, in seconds
    """
    if not table.contacts or now < table.lease_until:
        return False
    if any(
        _has_two_way_contact(table, contact, now)
        for contact in table.contacts.values()
    ):
        return False
    external_contact_at = max(
        table.platform_contact_at, table.remote_contact_at
    )
    if now - external_contact_at < table.timing.timeout:
        return False
    local_contact_at = max(
        contact.heard_at for contact in table.contacts.values()
    )
    return external_contact_at >= local_contact_at - table.timing.lease


def _is_ignored(table: MemberTable, member: Member) -> bool:
    return (
        member.name == table.own.name
        or member.data_centre != table.own.data_centre
        or member.incarnation in table.retired
    )


def _current_contact(
    table: MemberTable, member: Member, now: float
) -> _Contact:
    contact = table.contacts.get(member.name)
    if contact is None or contact.member.incarnation != member.incarnation:
        if contact is not None:
            _retire(table, contact.member.incarnation)
        contact = _Contact(member=member, known_at=now)
        table.contacts[member.name] = contact
    return contact


def _retire(table: MemberTable, incarnation: str) -> None:
    table.retired[incarnation] = None
    limit = RETIRED_INCARNATIONS_PER_NODE * (1 + len(table.contacts))
    while len(table.retired) > limit:
        table.retired.pop(next(iter(table.retired)))


def _member_from_record(record: NodeRecord) -> Member:
    return Member(
        name=record.name,
        data_centre=record.data_centre,
        incarnation=record.incarnation,
        peer_address=record.peer_address,
        http_address=record.http_address,
    )


def _has_two_way_contact(
    table: MemberTable, contact: _Contact, now: float
) -> bool:
    oldest = now - table.timing.timeout
    # A new node has not yet had time to report the nodes that it hears, so
    # its first heartbeat counts as an acknowledgement.
    acknowledged_at = max(
        contact.acknowledged_at, min(contact.first_heard_at, now)
    )
    return contact.heard_at > oldest and acknowledged_at > oldest


def _is_unreachable(table: MemberTable, contact: _Contact, now: float) -> bool:
    contact_at = min(contact.heard_at, contact.acknowledged_at)
    since = max(contact_at, contact.known_at, table.ignore_heartbeats_until)
    return now - since > UNREACHABLE_TIMEOUTS * table.timing.timeout


def _gone_reason(
    table: MemberTable,
    contact: _Contact,
    now: float,
) -> GoneReason | None:
    timeout = table.timing.timeout
    if now - max(contact.heard_at, contact.known_at) < timeout:
        return None
    if contact.member.draining:
        return GoneReason.drained
    if contact.host_was_removed:
        return GoneReason.host_removed
    if now - contact.remote_contact_at < REMOTE_CONTACT_TIMEOUTS * timeout:
        return None
    if contact.lease_lapsed_at > contact.heard_at:
        return GoneReason.lease_lapsed
    unheard = _is_unheard_remotely(table, contact, now)
    return GoneReason.unheard_elsewhere if unheard else None


def _is_unheard_remotely(
    table: MemberTable,
    contact: _Contact,
    now: float,
) -> bool:
    silence = now - max(contact.heard_at, contact.known_at, table.started_at)
    return (
        now - table.remote_contact_at < table.timing.timeout
        and now - table.platform_contact_at > table.timing.lease
        and silence > REMOTE_SILENCE_TIMEOUTS * table.timing.timeout
    )
