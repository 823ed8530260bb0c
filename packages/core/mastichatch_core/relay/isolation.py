"""Tells a node that is cut off from all endpoints from endpoints that failed.

Load pattern: some nodes lose their way to all endpoints for seconds, while
clients, the store and the other nodes still reach them. Their connections hang,
are reset, or live on while new ones are refused. One endpoint, one service or a
release shows the same signs at some addresses, and a limit on connections does
for a moment. Only established connections, at this node and at others, tell
these cases apart.
"""

import dataclasses
import itertools
import math
from collections.abc import (
    Callable,
    Collection,
    Iterable,
    Mapping,
    Sequence,
)
from typing import Final

from mastichatch_core.generated.messages import RunChanges
from mastichatch_core.relay.model import Endpoint
from mastichatch_core.units import MS_PER_S

# Number of endpoints at which connections fail or break from which on a node
# checks whether it reaches any, and the time within which they do.
SUSPICIOUS_ENDPOINTS: Final = 2
SUSPICION_WINDOW_S: Final = 1.0
# Number of endpoints that must have refused or not accepted a connection, with
# none established since, until a node counts as cut off.
CUT_OFF_ENDPOINTS: Final = 4
# Number of connections in a row that show that a node is not cut off any more.
RETURN_CONNECTS: Final = 2
# Most failed endpoints that are kept.
MAX_FAILED: Final = 64
# Time without bytes from any endpoint, and number of endpoints whose answers
# are due, from which on a node checks whether it reaches any.
SILENCE_S: Final = 0.4
SILENT_ENDPOINTS: Final = 3
# A peer's contact must have been this much later than the first sign of a cut,
# as its message may have been under way.
CONTACT_MARGIN_S: Final = 0.1
# Time for which a peer's contact counts, plus that of this many intervals
# between its messages.
PEER_CONTACT_S: Final = 3.0
PEER_CONTACT_INTERVALS: Final = 2.0
# Time for which messages with lower numbers than the last one are late ones.
OVERTAKEN_S: Final = 1.0
# Time for which the list of peers that reach endpoints is kept.
LIST_LIFETIME_S: Final = 0.1


class ContactEvidence:
    """What a node's own connections tell of its way to the endpoints.

    Times are in seconds.
    """

    def __init__(self) -> None:
        """Start without evidence."""
        self._reached_at = -math.inf
        self._began_at = math.inf
        self._unreached: dict[str, float] = {}
        self._broken: dict[str, float] = {}
        self._connects = 0
        self._is_cut_off = False

    @property
    def reached_at(self) -> float:
        """Time of the last established connection to an endpoint."""
        return self._reached_at

    @property
    def began_at(self) -> float:
        """Time of the first failure since then; infinite without one."""
        return self._began_at

    @property
    def is_cut_off(self) -> bool:
        """Whether connections fail at all endpoints that were tried."""
        return self._is_cut_off

    @property
    def is_returning(self) -> bool:
        """Whether the last connection was established, while cut off."""
        return self._is_cut_off and self._connects > 0

    @property
    def unreached(self) -> frozenset[str]:
        """Addresses at which connections failed since the last one did not."""
        return frozenset(self._unreached)

    def record_connect(self, now: float) -> None:
        """Record an established connection.

        :param now: current time
        """
        self._reached_at = now
        self._connects += 1
        if self._is_cut_off and self._connects < RETURN_CONNECTS:
            return
        self._is_cut_off = False
        self._began_at = math.inf
        self._unreached.clear()
        self._broken.clear()

    def record_unreached(self, address: str, now: float) -> None:
        """Record a connection that was refused, or not accepted in time.

        :param address: IP address and port
        :param now: current time
        """
        self._connects = 0
        self._begin(now)
        _record(self._unreached, address, now)

    def record_failed_check(self, endpoints: 'CheckedEndpoints') -> None:
        """Record that no endpoint accepted a connection.

        The node is cut off if that holds in its own data centre and in others,
        as a data centre may be cut off as a whole.

        :param endpoints: the endpoints that may be tried
        """
        needed = max(
            SUSPICIOUS_ENDPOINTS, min(CUT_OFF_ENDPOINTS, endpoints.count)
        )
        if len(self._unreached) < needed:
            return
        if endpoints.are_covered(self._unreached.keys()):
            self._is_cut_off = True

    def record_break(self, address: str, now: float) -> None:
        """Record a connection that ended before its answer.

        :param address: IP address and port
        :param now: current time
        """
        self._begin(now)
        _record(self._broken, address, now)

    def is_suspicious(self, now: float) -> bool:
        """Return whether the node may be cut off, which a check shows.

        :param now: current time
        """
        recent = {
            address
            for failed in (self._unreached, self._broken)
            for address, at in failed.items()
            if now - at <= SUSPICION_WINDOW_S
        }
        return len(recent) >= SUSPICIOUS_ENDPOINTS

    def _begin(self, now: float) -> None:
        """Forget failures that no longer belong together."""
        failed_at = (*self._unreached.values(), *self._broken.values())
        latest = max(failed_at, default=-math.inf)
        if self._is_cut_off or now - latest <= SUSPICION_WINDOW_S:
            return
        self._unreached.clear()
        self._broken.clear()
        self._began_at = now


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerContact:
    """What a peer has told of its own way to the endpoints.

    :param reached_at: time at which it last connected to an endpoint, in
        seconds on this node's clock; minus infinity if it tells none
    :param is_cut_off: whether its connections fail at all endpoints
    :param interval_s: time between its messages, in seconds
    :param sequence: number of its message
    :param received_at: time at which the message arrived, in seconds
    """

    reached_at: float
    is_cut_off: bool
    interval_s: float
    sequence: int
    received_at: float

    def is_reaching(self, now: float) -> bool:
        """Return whether the peer has lately reached endpoints.

        :param now: current time, in seconds
        """
        lifetime_s = PEER_CONTACT_S + self.interval_s * PEER_CONTACT_INTERVALS
        return not self.is_cut_off and now - self.reached_at <= lifetime_s


class PeerContacts:
    """What the other nodes have told of their ways to the endpoints."""

    def __init__(self) -> None:
        """Start without peers."""
        self._contacts: dict[str, PeerContact] = {}
        self._reaching: tuple[str, ...] = ()
        self._chosen_at = -math.inf

    @property
    def cut_off(self) -> frozenset[str]:
        """Names of the peers that reach no endpoint."""
        return frozenset(
            name for name, one in self._contacts.items() if one.is_cut_off
        )

    def __len__(self) -> int:
        """Return the number of peers that were heard."""
        return len(self._contacts)

    def record(self, message: RunChanges, now: float) -> None:
        """Record the message of a peer, unless a later one has overtaken it.

        :param message: the message
        :param now: current time, in seconds
        """
        known = self._contacts.get(message.node)
        if known is not None and message.sequence < known.sequence:
            # The numbers begin anew with each start of a node.
            if now - known.received_at < OVERTAKEN_S:
                return
        reached_at = -math.inf
        if message.contact_ms is not None:
            reached_at = now - max(0, message.contact_ms) / MS_PER_S
        if message.is_cut_off != (known is not None and known.is_cut_off):
            self._chosen_at = -math.inf
        self._contacts[message.node] = PeerContact(
            reached_at=reached_at,
            is_cut_off=message.is_cut_off,
            interval_s=message.interval_ms / MS_PER_S,
            sequence=message.sequence,
            received_at=now,
        )

    def reaching(
        self, heard: Callable[[], Collection[str]], now: float
    ) -> tuple[str, ...]:
        """Return the names of the peers that reach endpoints, in order.

        The list is kept for a moment, as its length is that of the fleet.

        :param heard: returns the names of the peers whose messages arrive
        :param now: current time, in seconds
        """
        if now - self._chosen_at < LIST_LIFETIME_S:
            return self._reaching
        present = heard()
        for former in self._contacts.keys() - set(present):
            self._contacts.pop(former)
        self._reaching = tuple(
            sorted(
                name
                for name, contact in self._contacts.items()
                if contact.is_reaching(now)
            )
        )
        self._chosen_at = now
        return self._reaching

    def has_reached_since(self, names: Iterable[str], since: float) -> bool:
        """Return whether any of some peers reached an endpoint since a time.

        :param names: names of peers
        :param since: time in seconds
        """
        known = (self._contacts[one] for one in names if one in self._contacts)
        return any(contact.reached_at >= since for contact in known)


def is_silent(
    waiting_since: Mapping[str, float], now: float, last_byte_at: float
) -> bool:
    """Return whether endpoints are silent as if none were reached.

    :param waiting_since: time since which an answer of an endpoint is due, by
        address, in seconds
    :param now: current time, in seconds
    :param last_byte_at: time of the last byte of any endpoint, in seconds
    """
    if now - last_byte_at < SILENCE_S:
        return False
    silent = sum(now - since >= SILENCE_S for since in waiting_since.values())
    return silent >= SILENT_ENDPOINTS


class CheckedEndpoints:
    """The endpoints that a check may connect to, by data centre and service."""

    def __init__(
        self, endpoints: Iterable[Endpoint] = (), data_centre: str = ''
    ) -> None:
        """Group endpoints.

        :param endpoints: all registered endpoints
        :param data_centre: data centre of this node
        """
        groups: dict[tuple[bool, str, str], list[str]] = {}
        for endpoint in endpoints:
            is_away = endpoint.data_centre != data_centre
            key = (is_away, endpoint.data_centre, endpoint.service)
            groups.setdefault(key, []).append(endpoint.address)
        self._services = frozenset(service for _, _, service in groups)
        self._home = tuple(group for key, group in groups.items() if not key[0])
        self._away = tuple(group for key, group in groups.items() if key[0])
        self._sides = tuple(
            frozenset(itertools.chain(*groups))
            for groups in (self._home, self._away)
        )
        self._count = len(frozenset().union(*self._sides))

    @property
    def services(self) -> frozenset[str]:
        """Names of the services that have endpoints."""
        return self._services

    @property
    def count(self) -> int:
        """Number of endpoints."""
        return self._count

    def are_covered(self, tried: Collection[str]) -> bool:
        """Return whether enough were tried here and in other data centres.

        :param tried: addresses that were tried
        """
        return all(
            sum(address in side for address in tried)
            >= min(SUSPICIOUS_ENDPOINTS, len(side))
            for side in self._sides
        )

    def choose(
        self, excluded: Collection[str], draw: float, count: int
    ) -> tuple[str, ...]:
        """Return endpoints here and elsewhere by turns, of different services.

        :param excluded: addresses that are chosen only if there are no others
        :param draw: random number from zero to one
        :param count: number of addresses
        :returns: IP addresses and ports
        """
        home, away = (
            _choose(groups, excluded, draw, count)
            for groups in (self._home, self._away)
        )
        mixed = dict.fromkeys(
            address
            for pair in itertools.zip_longest(home, away)
            for address in pair
            if address is not None
        )
        ranked = sorted(mixed, key=lambda address: address in excluded)
        return tuple(ranked[:count])


def _choose(
    groups: Sequence[Sequence[str]],
    excluded: Collection[str],
    draw: float,
    count: int,
) -> list[str]:
    """Return addresses of different groups, the excluded ones last."""
    first = int(draw * len(groups))
    rotated = (*groups[first:], *groups[:first])
    candidates = dict.fromkeys(
        group[(int(draw * len(group)) + turn) % len(group)]
        for turn in range(count + len(excluded))
        for group in rotated
    )
    ranked = sorted(candidates, key=lambda address: address in excluded)
    return ranked[:count]


def _record(failed: dict[str, float], address: str, now: float) -> None:
    failed.pop(address, None)
    failed[address] = now
    if len(failed) > MAX_FAILED:
        failed.pop(next(iter(failed)))
