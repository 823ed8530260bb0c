"""How long outcomes are kept, and whether there is room for more."""

import heapq
from typing import Final

OUTCOMES_LIMIT: Final = 50000
OUTCOMES_LIMIT_BYTES: Final = 67108864


class Retention:
    """The outcomes that are kept, by the time at which each may go.

    Nothing is dropped before its time: a full store takes nothing new.

    :param limit: largest number of outcomes
    :param limit_bytes: size of all outcomes from which nothing new is taken
    """

    def __init__(
        self,
        limit: int = OUTCOMES_LIMIT,
        limit_bytes: int = OUTCOMES_LIMIT_BYTES,
    ) -> None:
        """Start empty."""
        self._limit = limit
        self._limit_bytes = limit_bytes
        self._kept: list[tuple[float, str, int]] = []
        self._bytes = 0

    @property
    def size_bytes(self) -> int:
        """Size of all outcomes kept."""
        return self._bytes

    def has_room(self, open_count: int) -> bool:
        """Return whether one more call may begin.

        :param open_count: calls in progress, whose outcomes will be kept
        """
        count = len(self._kept) + open_count
        return count < self._limit and self._bytes < self._limit_bytes

    def keep(self, name: str, size: int, until: float) -> None:
        """Keep an outcome.

        :param name: name of the outcome
        :param size: its size in bytes
        :param until: when it may go, in seconds
        """
        heapq.heappush(self._kept, (until, name, size))
        self._bytes += size

    def expire(self, now: float) -> tuple[str, ...]:
        """Drop the outcomes whose time is over and return their names.

        :param now: the time in seconds
        """
        names: list[str] = []
        while self._kept and self._kept[0][0] <= now:
            _, name, size = heapq.heappop(self._kept)
            self._bytes -= size
            names.append(name)
        return tuple(names)
