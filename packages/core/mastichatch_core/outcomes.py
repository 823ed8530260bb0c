"""Track how long outcomes are kept, and whether there is room for more."""

import heapq
from typing import Final

OUTCOMES_LIMIT: Final = 50000
OUTCOMES_LIMIT_BYTES: Final = 67108864


class OutcomeRetention:
    """Index of the kept outcomes by expiry time.

    No outcome is removed before it expires. A full store accepts no new calls.

    :param limit: largest number of outcomes, including those of open calls
    :param limit_bytes: total size from which no new call is accepted
    """

    def __init__(
        self,
        limit: int = OUTCOMES_LIMIT,
        limit_bytes: int = OUTCOMES_LIMIT_BYTES,
    ) -> None:
        """Start empty."""
        self._limit = limit
        self._limit_bytes = limit_bytes
        self._expiry_heap: list[tuple[float, str, int]] = []
        self._size_bytes = 0

    @property
    def size_bytes(self) -> int:
        """Total size of the kept outcomes."""
        return self._size_bytes

    def has_room(self, open_count: int) -> bool:
        """Return whether there is room for the outcome of one more call.

        :param open_count: calls in progress, whose outcomes will be kept
        """
        count = len(self._expiry_heap) + open_count
        return count < self._limit and self._size_bytes < self._limit_bytes

    def keep(self, name: str, size: int, until: float) -> None:
        """Add an outcome.

        :param name: name of the outcome
        :param size: size of the outcome in bytes
        :param until: expiry time in seconds
        """
        heapq.heappush(self._expiry_heap, (until, name, size))
        self._size_bytes += size

    def expire(self, now: float) -> tuple[str, ...]:
        """Remove the expired outcomes and return their names.

        :param now: time in seconds
        """
        names: list[str] = []
        while self._expiry_heap and self._expiry_heap[0][0] <= now:
            _, name, size = heapq.heappop(self._expiry_heap)
            self._size_bytes -= size
            names.append(name)
        return tuple(names)
