"""Heartbeats within a data centre and digests between data centres.

A heartbeat names the nodes that its sender has heard from recently, so each
receiver learns whether its own messages reach the sender. Each relay of a data
centre sends digests to one node of each other data centre, and that node
forwards them to the other nodes of its data centre.
"""

import asyncio
import contextlib
import itertools
from collections.abc import Callable, Iterator
from typing import Final

from absl import logging

from mastichatch_core import membership as rules
from mastichatch_core.generated.messages import (
    Digest,
    Envelope,
    Heartbeat,
    MessageKind,
    ServiceLoad,
)
from mastichatch_core.generated.settings import Settings
from mastichatch_core.membership import Member
from mastichatch_core.remotes import merge_loads
from mastichatch_core.units import MS_PER_S
from mastichatch_node.configuration import Configuration
from mastichatch_node.members import Membership, relay_candidates
from mastichatch_node.peers import Peers

PROBE_DURATION_S: Final = 30.0
# Up to this many nodes exchange heartbeats at the configured interval. With
# more nodes the interval grows, up to a third of the member timeout.
FULL_RATE_NODES: Final = 8
INTERVALS_PER_TIMEOUT: Final = 3
DIGEST_INTERVALS: Final = 2
FULL_RATE_DATA_CENTRES: Final = 8


class Heartbeats:
    """Sends and handles the heartbeats and digests of one node."""

    def __init__(
        self,
        settings: Settings,
        peers: Peers,
        configuration: Configuration,
        membership: Membership,
        loads: Callable[[], tuple[ServiceLoad, ...]],
    ) -> None:
        """Store the dependencies; nothing is sent yet."""
        self._settings = settings
        self._peers = peers
        self._configuration = configuration
        self._membership = membership
        self._loads = loads
        self._loop = asyncio.get_running_loop()
        self._loads_by_node: dict[str, tuple[ServiceLoad, ...]] = {}
        self._probe_deadlines: dict[str, float] = {}
        self._reset_at: dict[str, float] = {}
        self._sequence = 0
        self._announced_state = (False, False)

    async def handle_heartbeat(
        self,
        heartbeat: Heartbeat,
        envelope: Envelope,
    ) -> None:
        """Record a heartbeat.

        :param heartbeat: state that the sender reports
        :param envelope: names the sender and its incarnation
        """
        self._configuration.record_peer_revision(
            heartbeat.revision, envelope.sender
        )
        if heartbeat.data_centre != self._settings.data_centre:
            # The sender is in another data centre and has this node as a seed.
            self._send_digest(envelope.sender, heartbeat.data_centre)
            return
        heartbeat_effect = rules.record_heartbeat(
            self._membership.table,
            _create_member(heartbeat, envelope),
            heartbeat.heard,
            self._loop.time(),
        )
        rules.record_proved_gone(self._membership.table, heartbeat.gone)
        self._loads_by_node[heartbeat.node] = heartbeat.loads
        if heartbeat.leaving is not None:
            self._membership.leaving_host_state.record_neighbour_read(
                frozenset(heartbeat.leaving),
                heartbeat.node,
            )
            self._membership.notify()
        if heartbeat_effect is rules.HeartbeatEffect.new:
            # Messages queued on the connection are for an earlier incarnation.
            self._peers.reset(envelope.sender)
            self._send_digest(envelope.sender, heartbeat.data_centre)
            self._send_heartbeat(envelope.sender)
        if heartbeat_effect is not rules.HeartbeatEffect.usual:
            self._membership.notify()

    async def handle_digest(self, digest: Digest, envelope: Envelope) -> None:
        """Record a digest, and forward it if it came from its data centre.

        :param digest: state of a data centre
        :param envelope: names the sender
        """
        if digest.data_centre == self._settings.data_centre:
            self._send_probes(digest.nodes)
            return
        now = self._loop.time()
        remotes = self._membership.remotes
        is_direct = remotes.record_digest(digest, envelope.sender, now)
        rules.record_remote_contacts(self._membership.table, digest.heard, now)
        source = envelope.sender if is_direct else ''.join(digest.nodes[:1])
        self._configuration.record_peer_revision(digest.revision, source)
        if digest.leaving is not None:
            self._membership.leaving_host_state.record_remote_read(
                frozenset(digest.leaving)
            )
            self._membership.notify()
        if is_direct:
            self._forward_digest(digest)

    def run_interval(self) -> None:
        """Run the work that is due once in each heartbeat interval."""
        self._membership.remove_gone()
        self._reset_unacknowledged()
        self._send_heartbeats()
        self._membership.notify()

    def send_digests(self) -> None:
        """Send digests to other data centres if this node is a relay."""
        relays = self._membership.relays()
        if self._settings.name not in relays:
            return
        rank = relays.index(self._settings.name)
        remotes = self._membership.remotes
        for data_centre in remotes.names:
            targets = remotes.ranked_addresses(data_centre, self._loop.time())
            if targets:
                self._send_digest(targets[rank % len(targets)], data_centre)

    def announce_state(self) -> None:
        """Send heartbeats at once if this node's eligibility has changed.

        Other nodes choose scheduler hosts by the draining and partial flags.
        """
        state = (
            self._membership.own.draining,
            self._has_partial_connectivity(),
        )
        if state != self._announced_state:
            self._announced_state = state
            self._send_heartbeats()

    def record_process_pause(self, stale_s: float) -> None:
        """Record that this process was paused.

        :param stale_s: time from now during which heartbeats are ignored
            because they may date from the pause, in seconds
        """
        rules.record_process_pause(
            self._membership.table,
            self._loop.time() + stale_s,
        )

    def interval_s(self) -> float:
        """Return the time between heartbeats, in seconds."""
        table = self._membership.table
        scale = max(1.0, len(table.contacts) / FULL_RATE_NODES)
        interval = scale * self._settings.heartbeat_interval_ms / MS_PER_S
        return min(interval, table.timing.timeout / INTERVALS_PER_TIMEOUT)

    def digest_interval_s(self) -> float:
        """Return the time between digests, in seconds."""
        count = len(self._membership.remotes.names)
        scale = max(1.0, count / FULL_RATE_DATA_CENTRES)
        interval = self._settings.heartbeat_interval_ms / MS_PER_S
        return interval * DIGEST_INTERVALS * scale

    def _send_heartbeats(self) -> None:
        self._sequence += 1
        now = self._loop.time()
        contacts = self._membership.table.contacts.values()
        known = {contact.member.peer_address for contact in contacts}
        self._probe_deadlines = {
            address: deadline
            for address, deadline in self._probe_deadlines.items()
            if deadline > now and address not in known
        }
        addresses = known | self._probe_deadlines.keys()
        if not known:
            addresses.update(self._settings.seeds)
        self._send_heartbeat(*(addresses - {self._peers.address}))

    def _send_heartbeat(self, *addresses: str) -> None:
        own = self._membership.own
        leaving = tuple(self._membership.leaving_hosts)
        heartbeat = Heartbeat(
            node=own.name,
            data_centre=own.data_centre,
            sequence=self._sequence,
            revision=own.revision,
            http_address=own.http_address,
            draining=own.draining,
            partial=self._has_partial_connectivity(),
            ready=self._configuration.current is not None,
            heard=rules.recently_heard_names(
                self._membership.table,
                self._loop.time(),
            ),
            loads=self._loads(),
            gone=tuple(self._membership.table.gone),
            leaving=leaving
            if self._membership.leaving_host_state.is_read_recently
            else None,
        )
        self._peers.send_all(addresses, MessageKind.heartbeat, heartbeat)

    def _has_partial_connectivity(self) -> bool:
        return rules.has_partial_connectivity(
            self._membership.table, self._loop.time()
        )

    def _send_digest(self, address: str, data_centre: str) -> None:
        now = self._loop.time()
        live = self._membership.live()
        leaving_hosts = self._membership.leaving_host_state
        loads = itertools.chain(
            self._loads(),
            *(self._loads_by_node.get(member.name, ()) for member in live),
        )
        digest = Digest(
            data_centre=self._settings.data_centre,
            revision=self._configuration.revision,
            # A draining data centre offers no capacity to other data centres.
            loads=merge_loads(loads) if live else (),
            nodes=tuple(
                member.peer_address
                for member in relay_candidates(self._membership)
            ),
            heard=self._membership.remotes.recently_heard_names(
                data_centre, now
            ),
            node=self._settings.name,
            leaving=tuple(leaving_hosts.names)
            if leaving_hosts.is_read_in_data_centre
            else None,
        )
        self._peers.send(address, MessageKind.digest, digest)

    def _forward_digest(self, digest: Digest) -> None:
        addresses = (
            member.peer_address
            for member in self._membership.live()
            if member.name != self._settings.name
        )
        self._peers.send_all(addresses, MessageKind.digest, digest)

    def _send_probes(self, addresses: tuple[str, ...]) -> None:
        deadline = self._loop.time() + PROBE_DURATION_S
        for address in addresses:
            if (
                address not in self._probe_deadlines
                and address != self._peers.address
            ):
                self._probe_deadlines[address] = deadline
                self._send_heartbeat(address)

    def _reset_unacknowledged(self) -> None:
        now = self._loop.time()
        table = self._membership.table
        for member in rules.unacknowledged_members(table, now):
            address = member.peer_address
            if self._reset_at.get(address, 0) <= now:
                self._reset_at[address] = now + table.timing.timeout
                self._peers.reset(address)


@contextlib.contextmanager
def run_heartbeats(heartbeats: Heartbeats, timeout_s: float) -> Iterator[None]:
    """Send heartbeats and digests until the context ends.

    :param heartbeats: heartbeats and digests of the node
    :param timeout_s: time without a message after which a node counts as
        unreachable, in seconds
    """
    tasks = (
        asyncio.create_task(_run_intervals(heartbeats, timeout_s)),
        asyncio.create_task(_send_digests_regularly(heartbeats)),
    )
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()


async def _run_intervals(heartbeats: Heartbeats, timeout_s: float) -> None:
    loop = asyncio.get_running_loop()
    while True:
        interval = heartbeats.interval_s()
        started_at = loop.time()
        with _logged_exceptions():
            heartbeats.run_interval()
        await asyncio.sleep(interval)
        if loop.time() - started_at > interval + timeout_s:
            heartbeats.record_process_pause(interval)


async def _send_digests_regularly(heartbeats: Heartbeats) -> None:
    while True:
        with _logged_exceptions():
            heartbeats.send_digests()
        await asyncio.sleep(heartbeats.digest_interval_s())


@contextlib.contextmanager
def _logged_exceptions() -> Iterator[None]:
    # An exception in a subscriber must not stop the heartbeats.
    try:
        yield
    except Exception:
        logging.exception('a membership step failed')


def _create_member(heartbeat: Heartbeat, envelope: Envelope) -> Member:
    return Member(
        name=heartbeat.node,
        data_centre=heartbeat.data_centre,
        incarnation=envelope.incarnation,
        peer_address=envelope.sender,
        http_address=heartbeat.http_address,
        draining=heartbeat.draining,
        partial=heartbeat.partial,
        revision=heartbeat.revision,
    )
