"""The nodes that this one knows, for all other parts to ask."""

import asyncio
import dataclasses
import math
from collections.abc import Callable, Iterable
from typing import Final

from absl import logging

from mastichatch_core import membership as rules
from mastichatch_core import remotes, rendezvous
from mastichatch_core.generated.messages import Digest
from mastichatch_core.generated.settings import Settings
from mastichatch_core.membership import Member
from mastichatch_core.units import MS_PER_S
from mastichatch_node.configuration import Configuration
from mastichatch_node.peers import Peers

RELAY_COUNT: Final = 2
HOSTS_AGE_LIMIT_S: Final = 1.8


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _View:
    """What subscribers are told the change of."""

    live: tuple[tuple[str, str], ...]
    hosts: tuple[str, ...]
    expected: frozenset[str]
    heard: frozenset[str]
    leaving: frozenset[str]


class LeavingHosts:
    """The leaving hosts of the platform's host list.

    The list is read by this node, by others of its data centre, or elsewhere,
    and the nearest reader of late counts.
    """

    def __init__(self) -> None:
        """Start without having read the list."""
        self._loop = asyncio.get_running_loop()
        self._names: frozenset[str] = frozenset()
        self._read_at = -math.inf
        self._read_near_at = -math.inf
        self._told_at: dict[str, float] = {}

    @property
    def names(self) -> frozenset[str]:
        """Names of the hosts."""
        return self._names

    @property
    def is_own(self) -> bool:
        """Whether this node has read the list itself lately."""
        return self._loop.time() - self._read_at < HOSTS_AGE_LIMIT_S

    @property
    def is_near(self) -> bool:
        """Whether a node of this data centre has read the list lately."""
        return self._loop.time() - self._read_near_at < HOSTS_AGE_LIMIT_S

    def is_told_by(self, nodes: Iterable[str]) -> bool:
        """Return whether one of some nodes has told of the list lately.

        :param nodes: names of the nodes
        """
        oldest = self._loop.time() - HOSTS_AGE_LIMIT_S
        return any(
            self._told_at.get(node, -math.inf) >= oldest for node in nodes
        )

    def note_read(self, names: frozenset[str]) -> None:
        """Note the hosts that are leaving, as this node read them.

        :param names: names of the hosts
        """
        self._names = names
        self._read_at = self._loop.time()
        self._read_near_at = self._read_at

    def note_told(self, names: frozenset[str], node: str) -> None:
        """Note what a neighbour read, unless this node did so itself.

        :param names: names of the hosts
        :param node: name of the neighbour
        """
        self._read_near_at = self._loop.time()
        self._told_at[node] = self._read_near_at
        if not self.is_own:
            self._names = names

    def note_elsewhere(self, names: frozenset[str]) -> None:
        """Note what another data centre read, unless this one did so itself.

        :param names: names of the hosts
        """
        if not self.is_near:
            self._names = names


class Membership:
    """The nodes that this one knows."""

    def __init__(
        self,
        settings: Settings,
        peers: Peers,
        configuration: Configuration,
    ) -> None:
        """Start alone; ``open_membership`` is the way to create one."""
        self._name = settings.name
        self._configuration = configuration
        self._loop = asyncio.get_running_loop()
        timing = rules.MemberTiming(
            timeout=settings.member_timeout_ms / MS_PER_S,
            lease=settings.node_lease_ms / MS_PER_S,
        )
        own = Member(
            name=settings.name,
            data_centre=settings.data_centre,
            incarnation=peers.incarnation,
            peer_address=peers.address,
            http_address=settings.http_address,
        )
        self._table = rules.MemberTable(own, timing, self._loop.time())
        self._remotes = remotes.RemoteTable(
            settings.data_centre,
            timing.timeout,
        )
        self._leaving = LeavingHosts()
        self._subscribers: list[Callable[[], None]] = []
        self._view = self._create_view()

    @property
    def own(self) -> Member:
        """This node."""
        return dataclasses.replace(
            self._table.own,
            revision=self._configuration.revision,
        )

    @property
    def leaving_hosts(self) -> frozenset[str]:
        """Hosts that the platform's host list calls leaving."""
        return self._leaving.names

    @property
    def table(self) -> rules.MemberTable:
        """What is known of this data centre."""
        return self._table

    @property
    def remotes(self) -> remotes.RemoteTable:
        """What is known of the other data centres."""
        return self._remotes

    @property
    def is_complete(self) -> bool:
        """Whether all expected nodes are in contact."""
        return self.expected() == self.heard()

    def live(self) -> tuple[Member, ...]:
        """Return the nodes of this data centre that take new work."""
        members = rules.live_members(self._table, self._loop.time())
        return tuple(
            self.own if member == self._table.own else member
            for member in members
        )

    def relays(self) -> tuple[str, ...]:
        """Return the nodes that speak for this data centre, by rank."""
        return ranked_speakers(self)[:RELAY_COUNT]

    def all_known(self) -> tuple[Member, ...]:
        """Return the nodes of every data centre that are not known gone."""
        neighbours = (track.member for track in self._table.contacts.values())
        others = self._remotes.members(self._loop.time())
        return (self.own, *neighbours, *others)

    def expected(self) -> frozenset[str]:
        """Return the names of this data centre's nodes not proved gone."""
        return rules.expected_names(self._table)

    def heard(self) -> frozenset[str]:
        """Return the names of this data centre's nodes in contact.

        Empty if the others may hold that this node is gone.
        """
        return rules.reachable_names(self._table, self._loop.time())

    def by_incarnation(self, incarnation: str) -> Member | None:
        """Return a node by the id of its run.

        :param incarnation: unique id of the run
        """
        for member in self.all_known():
            if member.incarnation == incarnation:
                return member
        return None

    def scheduler_host(self, service: str) -> Member | None:
        """Return the node that hosts the scheduler of a service.

        :param service: name of the service
        """
        found = rules.eligible_scheduler_hosts(self._table, self._loop.time())
        members = {member.name: member for member in found}
        if not members:
            return None
        return members[rendezvous.pick(members, service)]

    def digests(self) -> tuple[Digest, ...]:
        """Return the latest digest of each other data centre in contact."""
        return self._remotes.digests(self._loop.time())

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call back after each change of the nodes in contact.

        :param callback: called without arguments
        """
        self._subscribers.append(callback)

    def set_draining(self) -> None:
        """Take no new work from now on; all nodes are told at once."""
        self._table.own = dataclasses.replace(self._table.own, draining=True)
        self.notify()

    @property
    def leaving(self) -> LeavingHosts:
        """What is known of leaving hosts, and from whom."""
        return self._leaving

    def remove_gone(self) -> None:
        """Forget the nodes that are proved to be gone."""
        gone = rules.remove_gone(self._table, self._loop.time())
        for name, reason in gone.items():
            logging.info(
                'node gone',
                extra={
                    'event': 'member_gone',
                    'choice': name,
                    'reason': str(reason),
                },
            )

    def notify(self) -> None:
        """Call the subscribers if the nodes in contact have changed."""
        view = self._create_view()
        if view == self._view:
            return
        self._view = view
        for subscriber in self._subscribers:
            try:
                subscriber()
            except Exception:
                # It must not silence the heartbeats or the listings.
                logging.exception('a subscriber of the membership failed')

    def _create_view(self) -> _View:
        return _View(
            live=tuple(
                (member.name, member.incarnation) for member in self.live()
            ),
            hosts=tuple(
                member.name
                for member in rules.eligible_scheduler_hosts(
                    self._table, self._loop.time()
                )
            ),
            expected=self.expected(),
            heard=self.heard(),
            leaving=self._leaving.names,
        )


def speakers(membership: Membership) -> tuple[Member, ...]:
    """Return the nodes that may speak for their data centre.

    Where all of them are draining, they go on.

    :param membership: the nodes known
    """
    live = membership.live()
    if live:
        return live
    heard = membership.heard()
    tracks = membership.table.contacts.values()
    neighbours = (track.member for track in tracks)
    return tuple(
        member
        for member in (membership.own, *neighbours)
        if member.name in heard
    )


def ranked_speakers(membership: Membership) -> tuple[str, ...]:
    """Return the names of the nodes that may speak, the first one first.

    :param membership: the nodes known
    """
    names = (member.name for member in speakers(membership))
    return rendezvous.ranked(names, 'relay')
