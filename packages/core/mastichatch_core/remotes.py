"""Track what a node knows about the other data centres."""

import dataclasses
import math
from collections.abc import Iterable
from typing import Final

from mastichatch_core import rendezvous
from mastichatch_core.generated.messages import Digest, ServiceLoad
from mastichatch_core.generated.records import NodeRecord
from mastichatch_core.membership import Member

# Ages, in member timeouts, from which a digest is no longer used and from which
# the node that created it no longer counts as recently heard.
DIGEST_TIMEOUTS: Final = 3
HEARD_TIMEOUTS: Final = 2


@dataclasses.dataclass(slots=True, kw_only=True)
class _RemoteDataCentre:
    digest: Digest | None = None
    received_at: float = -math.inf
    members: dict[str, Member] = dataclasses.field(default_factory=dict)
    # Arrival time of the last digest that each node created, by node name.
    heard_at: dict[str, float] = dataclasses.field(default_factory=dict)


class RemoteTable:
    """Table of the other data centres, by name."""

    def __init__(self, own_data_centre: str, member_timeout: float) -> None:
        """Start without data centres.

        :param own_data_centre: data centre of this node
        :param member_timeout: silence after which a node counts as
            unreachable, in seconds
        """
        self._own_data_centre = own_data_centre
        self._digest_timeout = DIGEST_TIMEOUTS * member_timeout
        self._heard_timeout = HEARD_TIMEOUTS * member_timeout
        self._remotes: dict[str, _RemoteDataCentre] = {}

    @property
    def names(self) -> tuple[str, ...]:
        """Names of the known data centres."""
        return tuple(sorted(self._remotes))

    def record_digest(self, digest: Digest, sender: str, now: float) -> bool:
        """Store a data centre's newest digest.

        :param digest: digest that describes the data centre
        :param sender: peer address that sent the digest
        :param now: time in seconds
        :returns: whether the sender belongs to that data centre
        """
        if digest.data_centre == self._own_data_centre:
            return False
        remote = self._remotes.setdefault(
            digest.data_centre, _RemoteDataCentre()
        )
        remote.digest = digest
        remote.received_at = now
        # A forwarded digest still shows that the node that created it is alive.
        remote.heard_at[digest.node] = now
        return sender in digest.nodes

    def replace_members(
        self,
        data_centre: str,
        records: Iterable[NodeRecord],
    ) -> None:
        """Replace the known nodes of a data centre.

        :param data_centre: name of the data centre
        :param records: registrations of all its nodes
        """
        if data_centre == self._own_data_centre:
            return
        remote = self._remotes.setdefault(data_centre, _RemoteDataCentre())
        remote.members = {
            record.peer_address: Member(
                name=record.name,
                data_centre=record.data_centre,
                incarnation=record.incarnation,
                peer_address=record.peer_address,
                http_address=record.http_address,
            )
            for record in records
        }

    def digests(self, now: float) -> tuple[Digest, ...]:
        """Return the digests that have not expired.

        :param now: time in seconds
        """
        return tuple(
            remote.digest
            for _, remote in sorted(self._remotes.items())
            if remote.digest is not None
            and now - remote.received_at < self._digest_timeout
        )

    def members(self, now: float) -> tuple[Member, ...]:
        """Return the nodes of the other data centres.

        If a current digest names a data centre's live nodes, its other nodes
        are left out.

        :param now: time in seconds
        """
        found: list[Member] = []
        for remote in self._remotes.values():
            addresses = self._live_addresses(remote, now)
            found += [
                remote.members[address]
                for address in addresses
                if address in remote.members
            ]
        return tuple(found)

    def incomplete_data_centres(self, now: float) -> tuple[str, ...]:
        """Return the data centres that have live nodes without a known record.

        :param now: time in seconds
        """
        return tuple(
            name
            for name, remote in self._remotes.items()
            if set(self._live_addresses(remote, now)) - remote.members.keys()
        )

    def stale_data_centres(self, now: float) -> tuple[str, ...]:
        """Return the data centres without a current digest.

        :param now: time in seconds
        """
        return tuple(
            name
            for name, remote in self._remotes.items()
            if now - remote.received_at >= self._digest_timeout
        )

    def ranked_addresses(self, data_centre: str, now: float) -> tuple[str, ...]:
        """Return a data centre's addresses in the order in which to try them.

        :param data_centre: name of the data centre
        :param now: time in seconds
        """
        remote = self._remotes.get(data_centre, _RemoteDataCentre())
        return rendezvous.ranked(
            self._live_addresses(remote, now), self._own_data_centre
        )

    def recently_heard_names(
        self, data_centre: str, now: float
    ) -> tuple[str, ...]:
        """Return the names of a data centre's recently heard nodes.

        :param data_centre: name of the data centre
        :param now: time in seconds
        """
        remote = self._remotes.get(data_centre, _RemoteDataCentre())
        return tuple(
            name
            for name, heard_at in remote.heard_at.items()
            if now - heard_at < self._heard_timeout
        )

    def _live_addresses(
        self, remote: _RemoteDataCentre, now: float
    ) -> tuple[str, ...]:
        fresh = now - remote.received_at < self._digest_timeout
        if fresh and remote.digest is not None and remote.digest.nodes:
            return remote.digest.nodes
        return tuple(remote.members)


def merge_loads(loads: Iterable[ServiceLoad]) -> tuple[ServiceLoad, ...]:
    """Merge the loads that schedulers report into one for each service.

    Free and waiting counts add up; the longest wait applies.

    :param loads: loads from all schedulers of a data centre
    :returns: merged loads, ordered by service name
    """
    merged: dict[str, ServiceLoad] = {}
    for load in loads:
        known = merged.get(load.service)
        if known is not None:
            load = ServiceLoad(
                service=load.service,
                free=known.free + load.free,
                waiting=known.waiting + load.waiting,
                wait_ms=max(known.wait_ms, load.wait_ms),
            )
        merged[load.service] = load
    return tuple(merged[name] for name in sorted(merged))
