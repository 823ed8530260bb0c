"""Decides which requests may use a server that names a limit.

Load pattern: a server takes one request a second, or fewer, from two hundred
hosts together. A share of that for each host is less than one request, and
each host that sends a whole one exceeds the limit many times over.

One host grants turns to all, and a second one grants fewer while the first does
not answer. Some hosts may reach only the first and some only the second, so
both can grant at the same time. A held turn is used up to ``HOLD_S`` late, so
the turns of 4.5 s may be used within 4 s. With 1 + 0.3 times the limit that is
1.3 * 4.5 / 4 = 1.46 times, less than the 1.5 times that a server may get.
"""

import dataclasses
import math
from collections.abc import Iterable
from typing import Final

from mastichatch_core.relay.forwarder_choice import NodeLink
from mastichatch_core.relay.granter_choice import rank_granters
from mastichatch_core.relay.model import Endpoint
from mastichatch_core.relay.server_pauses import pause_s

# A server that takes no requests still gets some, or no host would learn that
# it takes requests again.
MIN_RATE_PER_S: Final = 0.25
# Longest time by which requests without a turn delay later turns.
MAX_DEBT_S: Final = 4.0
# Time for which a host keeps a turn for its next request.
HOLD_S: Final = 0.5
# Share of the limit that the second granter grants.
FALLBACK_SHARE: Final = 0.3
# Longest time by which a host that is denied turns again and again asks later.
# Else all hosts would ask for each turn, at the moment at which it is free.
MAX_ASK_SPREAD_S: Final = 2.0
# The spread doubles with each denial, up to so many times.
MAX_DOUBLINGS: Final = 8
# A caller that returns exactly when it was told to is not too early.
ROUNDING_S: Final = 1e-6


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Turn:
    """The answer to a request for a turn.

    :param is_granted: whether a turn is reserved
    :param delay_s: time after which the request may be sent, in seconds; if no
        turn is reserved, time after which asking again is likely to succeed
    """

    is_granted: bool
    delay_s: float


class TurnLedger:
    """The turns that this host grants.

    Turns of a server are apart by the inverse of its rate (generic cell rate
    algorithm with a burst of one).
    """

    def __init__(self) -> None:
        """Start without turns."""
        # The time of the last turn that was reserved, by server.
        self._last_at: dict[str, float] = {}

    def request(
        self,
        instance: str,
        per_s: float,
        max_wait_s: float,
        now: float,
        share: float = 1.0,
    ) -> Turn:
        """Reserve the next turn, unless it is due too late.

        :param instance: instance id of the server
        :param per_s: its limit, in requests a second
        :param max_wait_s: longest time until the turn, in seconds
        :param now: time in seconds
        :param share: share of the limit that this host grants
        """
        next_at = self._find_last(instance) + _interval_s(per_s, share)
        wait_s = max(0, next_at - now)
        if wait_s > max_wait_s + ROUNDING_S:
            return Turn(is_granted=False, delay_s=wait_s - max_wait_s)
        self._last_at[instance] = now + wait_s
        return Turn(is_granted=True, delay_s=wait_s)

    def charge(
        self, instance: str, per_s: float, now: float, share: float = 1.0
    ) -> None:
        """Delay later turns after a request that was sent without one.

        :param instance: instance id of the server
        :param per_s: its limit, in requests a second
        :param now: time in seconds
        :param share: share of the limit that this host grants
        """
        last_at = self._find_last(instance)
        interval_s = _interval_s(per_s, share)
        charged_at = max(now, last_at + interval_s)
        latest_at = max(now, now + MAX_DEBT_S - interval_s)
        self._last_at[instance] = max(last_at, min(charged_at, latest_at))

    def keep_only(self, instances: Iterable[str]) -> None:
        """Forget the servers that no longer exist.

        :param instances: instance ids of the servers that exist
        """
        for instance in self._last_at.keys() - set(instances):
            self._last_at.pop(instance)

    def _find_last(self, instance: str) -> float:
        return self._last_at.get(instance, -math.inf)


class HeldTurns:
    """The turns that this host holds for its next requests.

    A host that has other servers does not wait for turns: it asks for them
    beside its requests, and uses one for the next request that fits.
    """

    def __init__(self) -> None:
        """Start without turns."""
        self._usable_at: dict[str, tuple[float, ...]] = {}
        self._opens_at: dict[str, float] = {}
        # Denials since the last turn, by server.
        self._denials: dict[str, int] = {}

    def add(self, instance: str, usable_at: float) -> None:
        """Hold a turn.

        :param instance: instance id of the server
        :param usable_at: time from which it may be used
        """
        held = self._usable_at.get(instance, ())
        self._usable_at[instance] = tuple(sorted((*held, usable_at)))

    def take(self, instance: str, now: float) -> bool:
        """Use up a turn; return whether there was one.

        :param instance: instance id of the server
        :param now: time in seconds
        """
        if not self.is_usable(instance, now):
            return False
        self._usable_at[instance] = self._usable_at[instance][1:]
        return True

    def is_usable(self, instance: str, now: float) -> bool:
        """Return whether a turn is held that may be used now.

        :param instance: instance id of the server
        :param now: time in seconds
        """
        held = self._drop_expired(instance, now)
        return bool(held) and held[0] <= now

    def has(self, instance: str, now: float) -> bool:
        """Return whether a turn is held that may be used now or later.

        :param instance: instance id of the server
        :param now: time in seconds
        """
        return bool(self._drop_expired(instance, now))

    def close(self, instance: str, until: float) -> None:
        """Record that no turn is to be had before a time.

        :param instance: instance id of the server
        :param until: the time; it replaces an earlier one
        """
        self._opens_at[instance] = until

    def record_answer(
        self, instance: str, turn: Turn, now: float, draw: float
    ) -> None:
        """Record the answer to a request for a turn.

        After the first denial, the server is closed for the time it names,
        and after further ones for a random time longer.

        :param instance: instance id of the server
        :param turn: the answer
        :param now: time in seconds
        :param draw: random number from 0 to 1
        """
        if turn.is_granted:
            self._denials.pop(instance, None)
            return
        denials = self._denials.get(instance, 0)
        self._denials[instance] = min(denials + 1, MAX_DOUBLINGS)
        spread_s = turn.delay_s * 2**denials if denials else 0
        later_s = draw * min(spread_s, MAX_ASK_SPREAD_S)
        self.close(instance, now + turn.delay_s + later_s)

    def opens_at(self, instance: str) -> float:
        """Return the time before which no turn is to be had.

        :param instance: instance id of the server
        :returns: minus infinity if none is known
        """
        return self._opens_at.get(instance, -math.inf)

    def keep_only(self, instances: Iterable[str]) -> None:
        """Forget the servers that no longer exist.

        :param instances: instance ids of the servers that exist
        """
        kept = set(instances)
        for instance in self._usable_at.keys() - kept:
            self._usable_at.pop(instance)
        for closed in self._opens_at.keys() - kept:
            self._opens_at.pop(closed)
        for denied in self._denials.keys() - kept:
            self._denials.pop(denied)

    def _drop_expired(self, instance: str, now: float) -> tuple[float, ...]:
        held = self._usable_at.get(instance, ())
        fresh = tuple(at for at in held if at + HOLD_S >= now)
        if fresh != held:
            self._usable_at[instance] = fresh
        return fresh


def choose_granters(
    endpoint: Endpoint, nodes: Iterable[NodeLink]
) -> tuple[str, ...]:
    """Return the names of the hosts that grant the turns of a server.

    :param endpoint: the server
    :param nodes: all nodes, with this one
    :returns: the first- and second-ranked host, as far as there are any
    """
    able = (node for node in nodes if node.grants_turns)
    return rank_granters(endpoint, able)


def granted_share(granters: tuple[str, ...], own: str) -> float:
    """Return the share of a server's limit that a host grants.

    :param granters: the hosts that grant its turns
    :param own: name of the host
    """
    return 1.0 if granters[:1] == (own,) else FALLBACK_SHARE


def return_delay_s(delay_s: float, draw: float) -> float:
    """Return the time after which a refused caller should come back.

    Callers return over some time, as after a pause of a server.

    :param delay_s: time after which a turn is likely to be had, in seconds
    :param draw: random number from 0 to 1
    """
    return pause_s(delay_s, draw)


def _interval_s(per_s: float, share: float) -> float:
    return 1 / max(per_s * share, MIN_RATE_PER_S)
