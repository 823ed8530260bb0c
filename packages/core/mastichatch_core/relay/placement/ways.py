"""Tracks the ways from a node to other data centres, and when they are cut.

Load pattern: a data centre is cut off for some seconds, and streams to its
engines stall or break off. Its nodes are many, so that their silence shows the
cut sooner than connections that time out one after the other. Nodes may also
be lost while the engines of their data centre serve, so silence alone rules out
no engine.
"""

import dataclasses
import math
from collections.abc import Iterable, Mapping
from typing import Final

from mastichatch_core.units import MS_PER_S

# Shortest silence of all nodes of a data centre that shows a cut. A lost packet
# delays the next messages of one node by less.
MIN_SILENCE_S: Final = 1.0
# Silence that shows a cut, in mean times between messages of a data centre.
MAX_MISSED_MESSAGES: Final = 3.0
# Half-life of the weight of past cuts.
CUT_HALF_LIFE_S: Final = 120.0
# Rate of cuts where none was seen: one in an hour.
QUIET_CUTS_PER_S: Final = 1 / 3600
# Extra round trip before any was measured: about the specified one.
DEFAULT_ROUND_TRIP_MS: Final = 1.8
# Weight of a longer round trip in the measured one. Queues on a link lengthen
# single round trips, so the shortest ones count.
SLOWER_WEIGHT: Final = 0.05


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Peering:
    """What a node hears of the nodes of one other data centre.

    :param nodes: number of its registered nodes
    :param heard_at: time of the last message of any of them, in seconds
    :param interval_s: longest time between two messages of one node
    """

    nodes: int
    heard_at: float
    interval_s: float


@dataclasses.dataclass(slots=True, kw_only=True)
class _Way:
    """Measurements of the way to one other data centre.

    :param heard_at: time of the last sign of its nodes, in seconds
    :param is_silent: whether its nodes have been silent for too long
    :param cuts: number of cuts, with their weight as of ``cuts_at``
    :param cuts_at: time of the last cut, in seconds
    """

    heard_at: float
    is_silent: bool = False
    cuts: float = 0
    cuts_at: float = -math.inf


class Ways:
    """The ways from one node to other data centres."""

    def __init__(self, data_centre: str) -> None:
        """Start without measurements.

        :param data_centre: data centre of the node
        """
        self._data_centre = data_centre
        self._ways: dict[str, _Way] = {}
        self._trip_ms: dict[str, float] = {}

    @property
    def silent(self) -> frozenset[str]:
        """Data centres whose nodes have all been silent for too long."""
        return frozenset(
            name for name, way in self._ways.items() if way.is_silent
        )

    def record_connect(self, data_centre: str, round_trip_s: float) -> None:
        """Record the round trip of a new connection to an endpoint.

        :param data_centre: data centre of the endpoint
        :param round_trip_s: time in seconds
        """
        measured_ms = round_trip_s * MS_PER_S
        known_ms = self._trip_ms.get(data_centre, measured_ms)
        slower_ms = max(0, measured_ms - known_ms)
        self._trip_ms[data_centre] = (
            min(known_ms, measured_ms) + SLOWER_WEIGHT * slower_ms
        )

    def round_trip_ms(self, data_centre: str) -> float:
        """Return how much longer a round trip takes than at home.

        :param data_centre: another data centre
        :returns: time in milliseconds
        """
        there_ms = self._trip_ms.get(data_centre)
        home_ms = self._trip_ms.get(self._data_centre)
        if there_ms is None or home_ms is None:
            return DEFAULT_ROUND_TRIP_MS
        return max(0, there_ms - home_ms)

    def review(
        self, peerings: Mapping[str, Peering], now: float
    ) -> tuple[str, ...]:
        """Update which data centres are silent.

        :param peerings: what is heard of each other data centre, by name
        :param now: time in seconds
        :returns: the data centres that fell silent or are heard again
        """
        self._forget(peerings)
        changed: list[str] = []
        for name, peering in peerings.items():
            way = self._ways.setdefault(name, _Way(heard_at=now))
            way.heard_at = max(way.heard_at, peering.heard_at)
            is_silent = now - way.heard_at > silence_limit_s(peering)
            if is_silent != way.is_silent:
                changed.append(name)
                way.is_silent = is_silent
                if is_silent:
                    way.cuts = 1 + self._recent_cuts(way, now)
                    way.cuts_at = now
        return tuple(changed)

    def silence_s(self, data_centre: str, now: float) -> float:
        """Return the time since a node of a data centre was last heard.

        :param data_centre: another data centre
        :param now: time in seconds
        """
        way = self._ways.get(data_centre)
        return 0 if way is None else now - way.heard_at

    def cuts_per_s(self, data_centre: str, now: float) -> float:
        """Return the rate of cuts to expect, by those seen in the last minutes.

        :param data_centre: another data centre
        :param now: time in seconds
        """
        way = self._ways.get(data_centre)
        recent = 0 if way is None else self._recent_cuts(way, now)
        return QUIET_CUTS_PER_S + recent * math.log(2) / CUT_HALF_LIFE_S

    def _recent_cuts(self, way: _Way, now: float) -> float:
        return way.cuts * math.pow(0.5, (now - way.cuts_at) / CUT_HALF_LIFE_S)

    def _forget(self, known: Iterable[str]) -> None:
        for name in set(self._ways).difference(known):
            self._ways.pop(name)


def silence_limit_s(peering: Peering) -> float:
    """Return the silence from which on a data centre counts as cut off.

    :param peering: what is heard of it
    :returns: time in seconds
    """
    mean_s = peering.interval_s / max(1, peering.nodes)
    return max(MIN_SILENCE_S, MAX_MISSED_MESSAGES * mean_s)
