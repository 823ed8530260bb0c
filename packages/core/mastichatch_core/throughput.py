"""Measure how much work a service's endpoints finish over time."""

from collections import deque
from typing import Final

WINDOW_S: Final = 10.0


class Throughput:
    """Work finished within a sliding window of ``WINDOW_S`` seconds."""

    def __init__(self) -> None:
        """Start without finished work."""
        self._finished: deque[tuple[float, float]] = deque()
        self._total: float = 0

    def record(self, cost: float, now: float) -> None:
        """Count finished work.

        :param cost: the work, in tokens
        :param now: time in seconds
        """
        self._finished.append((now, cost))
        self._total += cost

    def wait_ms(self, backlog: float, now: float) -> float:
        """Return how long a backlog takes at the throughput of the window.

        :param backlog: waiting work, in tokens
        :param now: time in seconds
        :returns: time in milliseconds
        """
        while self._finished and self._finished[0][0] < now - WINDOW_S:
            self._total -= self._finished.popleft()[1]
        return backlog * WINDOW_S * 1000 / max(self._total, 1)
