"""Decides when a node calls a store that refuses its calls.

Load pattern: a store refuses the calls of all nodes for seconds, or of some of
them, and its calls are expensive. If each node repeats its calls, the outage
makes several times as many calls as calm, and most of them at the same time.

The nodes of a data centre have an order, by which they also choose the node
that watches the store. The further back a node is, the less often it calls, and
the first one calls often enough that all know of the store's return within a
second. Delays grow with decorrelated jitter (Brooker, "Exponential Backoff And
Jitter", AWS Architecture Blog, 2015).
"""

import math
from collections.abc import Callable
from typing import Final

# Delay after the first failed call.
BASE_DELAY_S: Final = 0.2
# Longest delay of the first node of a data centre.
FIRST_LIMIT_S: Final = 0.7
# Ratio of the delays of two nodes that follow each other in the order.
RANK_FACTOR: Final = 4.0
# Longest wait of a node for the one before it, from the third node on.
RANK_WAIT_S: Final = 0.3
# Rank from which on delays are the same, and up to which nodes call the store
# soon: it rarely refuses so many nodes while it serves others.
MAX_RANK: Final = 5
# Longest delay of any node.
DELAY_LIMIT_S: Final = 12.8
# Growth of the range from which a delay is drawn.
GROWTH: Final = 3.0


class StoreBackoff:
    """The time at which a node may call the store again."""

    def __init__(self, draw: Callable[[float, float], float]) -> None:
        """Start without a failed call.

        :param draw: returns a random number between two bounds
        """
        self._draw = draw
        self._delay_s = BASE_DELAY_S
        self._next_at: float | None = None

    @property
    def has_begun(self) -> bool:
        """Whether the node calls the store itself."""
        return self._next_at is not None

    def begin(self, rank: int, now: float) -> None:
        """Begin to call the store, since no node does so with success.

        If the store refuses only some nodes, one that it serves is among the
        next in the order, so these try it soon, one after the other.

        :param rank: number of nodes that come first in the data centre
        :param now: time in seconds
        """
        wait_s = RANK_WAIT_S * max(0, rank - 1)
        if rank > MAX_RANK:
            wait_s = DELAY_LIMIT_S
        self._next_at = now + self._draw(wait_s / 2, wait_s)

    def record_failure(self, rank: int, now: float) -> None:
        """Delay the next call after one that failed.

        :param rank: number of nodes that come first in the data centre
        :param now: time in seconds
        """
        factor = math.pow(RANK_FACTOR, min(rank, MAX_RANK))
        limit_s = _limit_s(rank)
        least_s = min(BASE_DELAY_S * factor, limit_s / GROWTH)
        drawn_s = self._draw(least_s, GROWTH * max(least_s, self._delay_s))
        self._delay_s = min(limit_s, drawn_s)
        self._next_at = now + self._delay_s

    def record_success(self) -> None:
        """Allow the next call at once."""
        self._delay_s = BASE_DELAY_S
        self._next_at = -math.inf

    def reset(self) -> None:
        """Leave the calls to another node, which has contact."""
        self._delay_s = BASE_DELAY_S
        self._next_at = None

    def limit(self, rank: int, now: float) -> None:
        """Limit the delay of a node by its present place in the order.

        The nodes before it may have left the order since the last call, as all
        do whose registrations expired during the outage.

        :param rank: number of nodes that come first in the data centre
        :param now: time in seconds
        """
        if self._next_at is not None:
            self._next_at = min(self._next_at, now + _limit_s(rank))

    def left_s(self, now: float) -> float:
        """Return the time until the next call, in seconds.

        :param now: time in seconds
        """
        return 0 if self._next_at is None else max(0, self._next_at - now)


def _limit_s(rank: int) -> float:
    """Return the longest delay of a node, in seconds."""
    factor = math.pow(RANK_FACTOR, min(rank, MAX_RANK))
    return min(DELAY_LIMIT_S, FIRST_LIMIT_S * factor)
