"""The membership state of a node: the nodes that it knows."""

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
HOST_LIST_MAX_AGE_S: Final = 1.8


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _MembershipView:
    """The part of the membership whose changes subscribers are told of."""

    live: tuple[tuple[str, str], ...]
    scheduler_hosts: tuple[str, ...]
    expected: frozenset[str]
    reachable: frozenset[str]
    leaving_hosts: frozenset[str]


class LeavingHosts:
    """The hosts that the platform's host list marks as leaving.

    The list may have been read by this node, by another node of its data
    centre, or in another data centre. A recent read takes precedence in that
    order.
    """

    def __init__(self) -> None:
        """Create the state before the list has been read."""
        self._loop = asyncio.get_running_loop()
        self._names: frozenset[str] = frozenset()
        self._read_at = -math.inf
        self._data_centre_read_at = -math.inf
        self._reported_at: dict[str, float] = {}

    @property
    def names(self) -> frozenset[str]:
        """Names of the leaving hosts."""
        return self._names

    @property
    def is_read_recently(self) -> bool:
        """Whether this node itself has read the list recently."""
        return self._loop.time() - self._read_at < HOST_LIST_MAX_AGE_S

    @property
    def is_read_in_data_centre(self) -> bool:
        """Whether a node of this data centre has read the list recently."""
        return (
            self._loop.time() - self._data_centre_read_at < HOST_LIST_MAX_AGE_S
        )

    def was_reported_by(self, nodes: Iterable[str]) -> bool:
        """Return whether any of the given nodes reported the list recently.

        :param nodes: names of the nodes
        """
        oldest = self._loop.time() - HOST_LIST_MAX_AGE_S
        return any(
            self._reported_at.get(node, -math.inf) >= oldest for node in nodes
        )

    def record_own_read(self, names: frozenset[str]) -> None:
        """Record the leaving hosts that this node has read.

        :param names: names of the hosts
        """
        self._names = names
        self._read_at = self._loop.time()
        self._data_centre_read_at = self._read_at

    def record_neighbour_read(self, names: frozenset[str], node: str) -> None:
        """Record the leaving hosts that another node of the data centre read.

        They are used only if this node has not read the list recently.

        :param names: names of the hosts
        :param node: name of the reporting node
        """
        self._data_centre_read_at = self._loop.time()
        self._reported_at[node] = self._data_centre_read_at
        if not self.is_read_recently:
            self._names = names

    def record_remote_read(self, names: frozenset[str]) -> None:
        """Record the leaving hosts that another data centre read.

        They are used only if this data centre has not read the list recently.

        :param names: names of the hosts
        """
        if not self.is_read_in_data_centre:
            self._names = names


class Membership:
    """The nodes that this node knows, and changes to them."""

    def __init__(
        self,
        settings: Settings,
        peers: Peers,
        configuration: Configuration,
    ) -> None:
        """Create a membership of this node only; see ``open_membership``."""
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
        self._leaving_host_state = LeavingHosts()
        self._subscribers: list[Callable[[], None]] = []
        self._view = self._create_membership_view()

    @property
    def own(self) -> Member:
        """This node, with its current configuration revision."""
        return dataclasses.replace(
            self._table.own,
            revision=self._configuration.revision,
        )

    @property
    def leaving_hosts(self) -> frozenset[str]:
        """Names of the hosts that the platform's host list marks as leaving."""
        return self._leaving_host_state.names

    @property
    def table(self) -> rules.MemberTable:
        """The member table of this data centre."""
        return self._table

    @property
    def remotes(self) -> remotes.RemoteTable:
        """The table of the other data centres."""
        return self._remotes

    @property
    def is_complete(self) -> bool:
        """Whether all expected nodes are reachable."""
        return self.expected_names() == self.reachable_names()

    def live(self) -> tuple[Member, ...]:
        """Return the nodes of this data centre that accept new work."""
        members = rules.live_members(self._table, self._loop.time())
        return tuple(
            self.own if member == self._table.own else member
            for member in members
        )

    def relays(self) -> tuple[str, ...]:
        """Return the names of the nodes that send digests, by rank."""
        return ranked_relay_candidates(self)[:RELAY_COUNT]

    def all_known(self) -> tuple[Member, ...]:
        """Return the nodes of all data centres, without those proved gone."""
        neighbours = (
            contact.member for contact in self._table.contacts.values()
        )
        others = self._remotes.members(self._loop.time())
        return (self.own, *neighbours, *others)

    def expected_names(self) -> frozenset[str]:
        """Return the names of this data centre's nodes not proved gone."""
        return rules.expected_names(self._table)

    def reachable_names(self) -> frozenset[str]:
        """Return the names of this data centre's reachable nodes.

        The result is empty if other nodes may consider this node gone.
        """
        return rules.reachable_names(self._table, self._loop.time())

    def find_by_incarnation(self, incarnation: str) -> Member | None:
        """Return the node with an incarnation, or None if it is not known.

        :param incarnation: unique id of a run of the node's process
        """
        for member in self.all_known():
            if member.incarnation == incarnation:
                return member
        return None

    def scheduler_host(self, service: str) -> Member | None:
        """Return the node that should host the scheduler of a service.

        :param service: name of the service
        """
        found = rules.eligible_scheduler_hosts(self._table, self._loop.time())
        members = {member.name: member for member in found}
        if not members:
            return None
        return members[rendezvous.pick(members, service)]

    def digests(self) -> tuple[Digest, ...]:
        """Return the latest digest of each other reachable data centre."""
        return self._remotes.digests(self._loop.time())

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Register a callback for changes of the membership.

        :param callback: called without arguments after each change
        """
        self._subscribers.append(callback)

    def set_draining(self) -> None:
        """Mark this node as draining and notify all other nodes at once."""
        self._table.own = dataclasses.replace(self._table.own, draining=True)
        self.notify()

    @property
    def leaving_host_state(self) -> LeavingHosts:
        """The leaving hosts with the times and sources of the reads."""
        return self._leaving_host_state

    def remove_gone(self) -> None:
        """Remove the nodes that are proved to be gone, and log each of them."""
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
        """Call the subscribers if the membership has changed."""
        view = self._create_membership_view()
        if view == self._view:
            return
        self._view = view
        for subscriber in self._subscribers:
            try:
                subscriber()
            except Exception:
                # A failing subscriber must not stop heartbeats or listings.
                logging.exception('a subscriber of the membership failed')

    def _create_membership_view(self) -> _MembershipView:
        return _MembershipView(
            live=tuple(
                (member.name, member.incarnation) for member in self.live()
            ),
            scheduler_hosts=tuple(
                member.name
                for member in rules.eligible_scheduler_hosts(
                    self._table, self._loop.time()
                )
            ),
            expected=self.expected_names(),
            reachable=self.reachable_names(),
            leaving_hosts=self._leaving_host_state.names,
        )


def relay_candidates(membership: Membership) -> tuple[Member, ...]:
    """Return the nodes that may send digests for their data centre.

    If all nodes are draining, the reachable ones continue to do so.

    :param membership: the known nodes
    """
    live = membership.live()
    if live:
        return live
    reachable = membership.reachable_names()
    contacts = membership.table.contacts.values()
    neighbours = (contact.member for contact in contacts)
    return tuple(
        member
        for member in (membership.own, *neighbours)
        if member.name in reachable
    )


def ranked_relay_candidates(membership: Membership) -> tuple[str, ...]:
    """Return the names of the nodes that may send digests, in rank order.

    :param membership: the known nodes
    """
    names = (member.name for member in relay_candidates(membership))
    return rendezvous.ranked(names, 'relay')
