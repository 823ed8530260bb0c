"""Which nodes of a data centre are expected, heard and gone.

State and rules only; times are given by the caller. A silent node stays
expected until something proves that it is gone, because schedulers on both
sides of a cut must not both count on the whole of an endpoint.
"""

import dataclasses
import enum
import math
from collections.abc import Iterable
from typing import Final

from mastichatch_core.generated.records import NodeRecord

RETIRED_LIMIT: Final = 16
# Silence, in member timeouts, after which the word of other data centres
# counts: a node that is cut off needs this long to turn to them itself.
ELSEWHERE_TIMEOUTS: Final = 3
# Age, in member timeouts, up to which their word that it is alive counts.
WITNESS_TIMEOUTS: Final = 2
HOST_READS: Final = 10
# Silence, in member timeouts, after which a node that neighbours still hear
# is lost to this one alone: they would have missed it too by then.
PARTIAL_TIMEOUTS: Final = 2


class GoneReason(enum.StrEnum):
    """What proves that a silent node is gone."""

    drained = 'drained'
    lease_lapsed = 'lease_lapsed'
    host_removed = 'host_removed'
    unheard_elsewhere = 'unheard_elsewhere'


class Arrival(enum.Enum):
    """What a heartbeat changed."""

    usual = 'usual'
    changed = 'changed'
    new = 'new'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """A node as the others know it.

    :param name: name of its host
    :param incarnation: unique id of this run of its process
    :param revision: configuration revision in force there
    :param partial: whether it has lost a node that its neighbours hear
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
    """Times that the rules need, all in seconds.

    :param timeout: silence after which a node counts as unreachable
    :param lease: length of a node's platform lease
    """

    timeout: float
    lease: float


@dataclasses.dataclass(slots=True, kw_only=True)
class _Track:
    member: Member
    known_at: float
    first_heard_at: float = math.inf
    heard_at: float = -math.inf
    # When the other node last said that it hears this one.
    mutual_at: float = -math.inf
    # Whom the other node last said that it hears.
    hears: frozenset[str] = frozenset()
    lapsed_at: float = -math.inf
    listed_host: bool = False
    host_reads: int = 0
    removed_host: bool = False
    elsewhere_at: float = -math.inf


class MemberTable:
    """All that one node knows of the nodes of its data centre."""

    def __init__(self, own: Member, timing: MemberTiming, now: float) -> None:
        """Start alone.

        :param own: this node
        :param timing: times that the rules need
        :param now: time in seconds
        """
        self.own = own
        self.timing = timing
        self.tracks: dict[str, _Track] = {}
        self.retired: dict[str, None] = {}
        self.gone: set[str] = set()
        self.started_at = now
        self.deaf_until = -math.inf
        self.lease_until = -math.inf
        self.platform_at = -math.inf
        self.elsewhere_at = -math.inf


def note_heartbeat(
    table: MemberTable,
    member: Member,
    heard: Iterable[str],
    now: float,
) -> Arrival:
    """Note that a node was heard.

    An incarnation that is new takes the place of the one known by that name;
    one that was replaced before is never taken back.

    :param table: what is known
    :param member: the node, as it describes itself
    :param heard: names of the nodes that it hears
    :param now: time in seconds
    :returns: whether the incarnation is new, or the contact changed
    """
    if _is_unwelcome(table, member) or now < table.deaf_until:
        return Arrival.usual
    table.gone.discard(member.incarnation)
    track = _track(table, member, now)
    is_new = track.first_heard_at == math.inf
    before = (_is_heard(table, track, now), track.member.draining)
    if is_new:
        track.first_heard_at = now
    track.member = member
    track.heard_at = now
    track.hears = frozenset(heard)
    if table.own.name in track.hears:
        track.mutual_at = now
    if is_new:
        return Arrival.new
    after = (_is_heard(table, track, now), member.draining)
    return Arrival.usual if before == after else Arrival.changed


def note_records(
    table: MemberTable,
    records: Iterable[NodeRecord],
    asked_at: float,
    now: float,
) -> None:
    """Note the registrations that the platform lists.

    :param table: what is known
    :param records: all registrations of the data centre
    :param asked_at: time at which the platform was asked, in seconds
    :param now: time in seconds
    """
    found = {record.name: record for record in records}
    table.gone &= {record.incarnation for record in found.values()}
    for record in found.values():
        member = _described(record)
        known = (
            table.tracks.get(record.name) or record.incarnation in table.gone
        )
        if not known and not _is_unwelcome(table, member):
            _track(table, member, now)
    for name, track in table.tracks.items():
        if name in found:
            track.lapsed_at = -math.inf
        elif track.heard_at < asked_at:
            track.lapsed_at = max(track.lapsed_at, asked_at)
    note_platform(table, now)


def note_hosts(table: MemberTable, hosts: Iterable[str]) -> None:
    """Note the host list; a host that it has never shown is not missed.

    :param table: what is known
    :param hosts: names of all hosts on the list
    """
    names = set(hosts)
    for name, track in table.tracks.items():
        track.removed_host = track.listed_host and name not in names
        track.listed_host = track.listed_host or name in names
        track.host_reads += 1


def note_gone(table: MemberTable, incarnations: Iterable[str]) -> None:
    """Note what another node holds proof of.

    A node may have met a host too late to see it on the host list, where
    another one saw it there, and saw it go.

    :param table: what is known
    :param incarnations: incarnations that are gone
    """
    proved = set(incarnations)
    for track in table.tracks.values():
        if track.member.incarnation in proved:
            track.listed_host = True
            track.removed_host = True


def wants_hosts(table: MemberTable) -> bool:
    """Return whether a node was not yet looked for on the host list.

    Only of a host that was seen there does its absence prove something. The
    list lags, so a new host is looked for a few times.

    :param table: what is known
    """
    return any(
        not track.listed_host and track.host_reads < HOST_READS
        for track in table.tracks.values()
    )


def note_elsewhere(
    table: MemberTable,
    heard: Iterable[str],
    now: float,
) -> None:
    """Note which nodes of this data centre another data centre hears.

    :param table: what is known
    :param heard: names of the nodes that the other data centre hears
    :param now: time in seconds
    """
    table.elsewhere_at = now
    for name in heard:
        track = table.tracks.get(name)
        if track is not None:
            track.elsewhere_at = now


def note_platform(table: MemberTable, now: float) -> None:
    """Note that the platform answered.

    :param table: what is known
    :param now: time in seconds
    """
    table.platform_at = now


def note_freeze(table: MemberTable, deaf_until: float) -> None:
    """Forget whom this node heard, since it was not running itself.

    :param table: what is known
    :param deaf_until: time until which messages may be old, in seconds
    """
    table.deaf_until = deaf_until
    for track in table.tracks.values():
        track.heard_at = -math.inf
        track.mutual_at = -math.inf


def remove_gone(table: MemberTable, now: float) -> dict[str, GoneReason]:
    """Remove the nodes that are proved to be gone.

    :param table: what is known
    :param now: time in seconds
    :returns: names of the removed nodes, with the proof
    """
    reasons = {
        name: _gone_reason(table, track, now)
        for name, track in table.tracks.items()
    }
    gone = {name: reason for name, reason in reasons.items() if reason}
    for name in gone:
        # It is not retired: a node that was cut off may come back as it was,
        # by a heartbeat. A record that is left over does not bring it back.
        table.gone.add(table.tracks.pop(name).member.incarnation)
    return gone


def expected(table: MemberTable) -> frozenset[str]:
    """Return the names of the nodes that are not proved to be gone.

    :param table: what is known
    """
    return frozenset((table.own.name, *table.tracks))


def heard(table: MemberTable, now: float) -> frozenset[str]:
    """Return the names of the nodes that this one has an exchange with.

    Empty if this node itself must count as gone.

    :param table: what is known
    :param now: time in seconds
    """
    if must_stop(table, now):
        return frozenset()
    names = (
        name
        for name, track in table.tracks.items()
        if _is_heard(table, track, now)
    )
    return frozenset((table.own.name, *names))


def received_from(table: MemberTable, now: float) -> tuple[str, ...]:
    """Return the names of the nodes that sent something of late.

    :param table: what is known
    :param now: time in seconds
    """
    oldest = now - table.timing.timeout
    return tuple(
        name for name, track in table.tracks.items() if track.heard_at > oldest
    )


def live(table: MemberTable, now: float) -> tuple[Member, ...]:
    """Return the nodes that take new work, by name.

    :param table: what is known
    :param now: time in seconds
    """
    members = [
        track.member
        for track in table.tracks.values()
        if _is_heard(table, track, now) and not track.member.draining
    ]
    if not table.own.draining:
        members.append(table.own)
    return tuple(sorted(members, key=lambda member: member.name))


def is_partial(table: MemberTable, now: float) -> bool:
    """Return whether this node has lost one that its neighbours hear.

    :param table: what is known
    :param now: time in seconds
    """
    lost = {
        name
        for name, track in table.tracks.items()
        if _is_lost(table, track, now)
    }
    return any(
        lost & track.hears
        for track in table.tracks.values()
        if _is_heard(table, track, now)
    )


def hosts(table: MemberTable, now: float) -> tuple[Member, ...]:
    """Return the live nodes that may run schedulers, by name.

    A node with a link cut does so only where every live node has one:
    otherwise the two ends of the cut would each choose a host of their own.

    :param table: what is known
    :param now: time in seconds
    """
    members = live(table, now)
    partial = {member.name for member in members if member.partial}
    if is_partial(table, now):
        partial.add(table.own.name)
    whole = tuple(member for member in members if member.name not in partial)
    return whole or members


def unacknowledged(table: MemberTable, now: float) -> tuple[Member, ...]:
    """Return the nodes that have not heard this one within the timeout.

    The connection to them may be open and yet carry nothing.

    :param table: what is known
    :param now: time in seconds
    """
    oldest = now - table.timing.timeout
    return tuple(
        track.member
        for track in table.tracks.values()
        if max(track.mutual_at, track.known_at) < oldest
    )


def must_stop(table: MemberTable, now: float) -> bool:
    """Return whether the others may hold that this node is gone.

    That is so for a node whose lease has lapsed and that hears no other,
    unless it had lost the platform and the other data centres well before it
    lost its neighbours: then those are the ones that went away.

    :param table: what is known
    :param now: time in seconds
    """
    if not table.tracks or now < table.lease_until:
        return False
    if any(_is_heard(table, track, now) for track in table.tracks.values()):
        return False
    outside_at = max(table.platform_at, table.elsewhere_at)
    if now - outside_at < table.timing.timeout:
        return False
    neighbours_at = max(track.heard_at for track in table.tracks.values())
    return outside_at >= neighbours_at - table.timing.lease


def _is_unwelcome(table: MemberTable, member: Member) -> bool:
    return (
        member.name == table.own.name
        or member.data_centre != table.own.data_centre
        or member.incarnation in table.retired
    )


def _track(table: MemberTable, member: Member, now: float) -> _Track:
    track = table.tracks.get(member.name)
    if track is None or track.member.incarnation != member.incarnation:
        if track is not None:
            _retire(table, track.member.incarnation)
        track = _Track(member=member, known_at=now)
        table.tracks[member.name] = track
    return track


def _retire(table: MemberTable, incarnation: str) -> None:
    table.retired[incarnation] = None
    limit = RETIRED_LIMIT * (1 + len(table.tracks))
    while len(table.retired) > limit:
        table.retired.pop(next(iter(table.retired)))


def _described(record: NodeRecord) -> Member:
    return Member(
        name=record.name,
        data_centre=record.data_centre,
        incarnation=record.incarnation,
        peer_address=record.peer_address,
        http_address=record.http_address,
    )


def _is_heard(table: MemberTable, track: _Track, now: float) -> bool:
    oldest = now - table.timing.timeout
    # A node that has just come has had no time to say whom it hears.
    mutual_at = max(track.mutual_at, min(track.first_heard_at, now))
    return track.heard_at > oldest and mutual_at > oldest


def _is_lost(table: MemberTable, track: _Track, now: float) -> bool:
    contact_at = min(track.heard_at, track.mutual_at)
    since = max(contact_at, track.known_at, table.deaf_until)
    return now - since > PARTIAL_TIMEOUTS * table.timing.timeout


def _gone_reason(
    table: MemberTable,
    track: _Track,
    now: float,
) -> GoneReason | None:
    timeout = table.timing.timeout
    if now - max(track.heard_at, track.known_at) < timeout:
        return None
    if track.member.draining:
        return GoneReason.drained
    if track.removed_host:
        return GoneReason.host_removed
    if now - track.elsewhere_at < WITNESS_TIMEOUTS * timeout:
        return None
    if track.lapsed_at > track.heard_at:
        return GoneReason.lease_lapsed
    unheard = _is_unheard_elsewhere(table, track, now)
    return GoneReason.unheard_elsewhere if unheard else None


def _is_unheard_elsewhere(
    table: MemberTable,
    track: _Track,
    now: float,
) -> bool:
    silence = now - max(track.heard_at, track.known_at, table.started_at)
    return (
        now - table.elsewhere_at < table.timing.timeout
        and now - table.platform_at > table.timing.lease
        and silence > ELSEWHERE_TIMEOUTS * table.timing.timeout
    )
