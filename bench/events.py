"""Virtual time: what happens when."""

import heapq
import itertools
from collections.abc import Callable

Action = Callable[[], None]


class Events:
    """Actions ordered by time."""

    def __init__(self) -> None:
        """Start at zero with nothing to do."""
        self._now: float = 0
        self._order = itertools.count()
        self._heap: list[tuple[float, int, Action]] = []

    @property
    def now(self) -> float:
        """Time in seconds."""
        return self._now

    def at(self, time: float, action: Action) -> None:
        """Do something at a time.

        :param time: when, in seconds
        :param action: what
        """
        heapq.heappush(self._heap, (time, next(self._order), action))

    def repeat(self, interval: float, action: Action) -> None:
        """Do something at a fixed interval, for good.

        :param interval: time between two runs, in seconds
        :param action: what
        """

        def again() -> None:
            action()
            self.at(self._now + interval, again)

        self.at(self._now + interval, again)

    def run_until(self, end: float, done: Callable[[], bool]) -> None:
        """Run actions in order of time.

        :param end: when to stop at the latest, in seconds
        :param done: whether there is nothing left worth running
        """
        while self._heap and self._now < end and not done():
            event = heapq.heappop(self._heap)
            self._now = event[0]
            event[2]()
