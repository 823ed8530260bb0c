"""Tells a node that is cut off from all endpoints from endpoints that failed.

Load pattern: some nodes lose their way to all endpoints for seconds, while
clients, the store and the other nodes still reach them. Their connections hang,
are reset, or live on while new ones are refused. One endpoint, one service or a
release shows the same signs at some addresses, and a limit on connections does
for a moment. Only established connections, at this node and at others, tell
these cases apart.
"""

import dataclasses
import math
from collections.abc import Collection, Iterable, Mapping
from typing import Final

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


class ContactEvidence:
    """What a node's own connections tell of its way to the endpoints.

    Times are in seconds.
    """

    def __init__(self) -> None:
        """Start without evidence."""
        self._reached_at = -math.inf
        self._began_at: float | None = None
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
        return math.inf if self._began_at is None else self._began_at

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

    def record_connect(self, now: float, endpoints: int) -> None:
        """Record an established connection.

        :param now: current time
        :param endpoints: number of endpoints that may be tried
        """
        self._reached_at = now
        self._connects += 1
        if self._is_cut_off and self._connects < min(
            RETURN_CONNECTS, endpoints
        ):
            return
        self._is_cut_off = False
        self._began_at = None
        self._unreached.clear()
        self._broken.clear()

    def record_unreached(
        self, address: str, now: float, endpoints: int
    ) -> None:
        """Record a connection that was refused, or not accepted in time.

        :param address: IP address and port
        :param now: current time
        :param endpoints: number of endpoints that may be tried
        """
        self._connects = 0
        self._begin(now)
        _record(self._unreached, address, now)
        needed = max(SUSPICIOUS_ENDPOINTS, min(CUT_OFF_ENDPOINTS, endpoints))
        if len(self._unreached) >= needed:
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


def reaching_peers(
    contacts: Mapping[str, PeerContact], heard: Collection[str], now: float
) -> tuple[str, ...]:
    """Return the names of the peers that reach endpoints, in order.

    :param contacts: what peers have told, by name
    :param heard: names of the peers whose messages arrive
    :param now: current time, in seconds
    """
    return tuple(
        sorted(
            name
            for name, contact in contacts.items()
            if name in heard and contact.is_reaching(now)
        )
    )


def is_isolated(
    evidence: ContactEvidence, contacts: Iterable[PeerContact]
) -> bool:
    """Return whether a node is cut off from endpoints that peers reach.

    Where no peer has reached one since the first sign, the endpoints are gone
    for all, or all nodes are cut off.

    :param evidence: what the node's own connections tell
    :param contacts: what the peers that reach endpoints have told
    """
    if not evidence.is_cut_off:
        return False
    since = evidence.began_at + CONTACT_MARGIN_S
    return any(contact.reached_at >= since for contact in contacts)


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


def choose_checked(
    endpoints: Mapping[str, tuple[str, ...]],
    excluded: Collection[str],
    draw: float,
    count: int,
) -> tuple[str, ...]:
    """Return endpoints of different services that a check connects to.

    :param endpoints: addresses by service
    :param excluded: addresses that are chosen only if there are no others
    :param draw: random number from zero to one
    :param count: number of addresses
    :returns: IP addresses and ports
    """
    chosen: list[str] = []
    services = [addresses for addresses in endpoints.values() if addresses]
    for is_repeated in (False, True):
        for turn in range(count):
            for addresses in services:
                start = int(draw * len(addresses)) + turn
                address = addresses[start % len(addresses)]
                if address in chosen:
                    continue
                if is_repeated or address not in excluded:
                    chosen.append(address)
                if len(chosen) == count:
                    return tuple(chosen)
    return tuple(chosen)


def _record(failed: dict[str, float], address: str, now: float) -> None:
    failed.pop(address, None)
    failed[address] = now
    if len(failed) > MAX_FAILED:
        failed.pop(next(iter(failed)))
