"""Ends the waits of requests that could not be served before a planned stop.

Load pattern: a host is stopped while requests wait for an engine, a slot, a
turn or the rest of a body. Those that are still waiting at the end would lose
their connections without an answer, after seconds in which their callers could
have been served by another host.
"""

import asyncio
import contextlib
import math
import random
from collections.abc import AsyncIterator
from typing import Final

from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.messages import ErrorKind
from mastichatch_node.clock import loop_time

# Time before connections are closed in which the last refusals are sent.
ANSWER_RESERVE_S: Final = 0.25
# Least and greatest time after which a caller should return that a stopping
# node has refused: it reaches another node, and not together with others.
RETURN_S: Final = (0.1, 0.6)
# Reason of a refusal.
ENDS_TOO_LATE: Final = 'it would not end before the planned stop of the node'


class PlannedStop:
    """When this node stops, once that is planned."""

    def __init__(self) -> None:
        """Start without a plan."""
        self._notice_ends_at = math.inf
        self._closes_at = math.inf
        # Time that the request takes after each wait in progress, in seconds.
        self._waits: dict[asyncio.Timeout, float] = {}

    @property
    def is_planned(self) -> bool:
        """Whether the node is about to stop."""
        return self._closes_at < math.inf

    @property
    def is_noticed(self) -> bool:
        """Whether the load balancer has noticed the stop."""
        return loop_time() >= self._notice_ends_at

    @property
    def closes_at(self) -> float:
        """Loop time at which connections are closed, in seconds."""
        return self._closes_at

    def begin(self, notice_ends_at: float, closes_at: float) -> None:
        """Plan the stop, and end the waits that are in vain from now on.

        :param notice_ends_at: loop time from which on the load balancer sends
            no new connections, in seconds
        :param closes_at: loop time at which connections are closed, in seconds
        """
        self._notice_ends_at = notice_ends_at
        self._closes_at = closes_at
        for wait, duration_s in self._waits.items():
            if not wait.expired():
                wait.reschedule(self.latest_start(duration_s))

    def latest_start(self, duration_s: float) -> float:
        """Return when a request must start to end before the stop.

        :param duration_s: time that it takes from then on, in seconds
        :returns: loop time in seconds; infinite while no stop is planned
        """
        return self._closes_at - ANSWER_RESERVE_S - duration_s

    @contextlib.asynccontextmanager
    async def limit_wait(self, duration_s: float = 0) -> AsyncIterator[None]:
        """Wait within the block no longer than is of use.

        :param duration_s: time that the request takes after the wait, in
            seconds
        :raises MastichatchError: with ``draining`` once the request would not
            end before the stop
        """
        latest = self.latest_start(duration_s)
        if latest <= loop_time():
            raise MastichatchError(ErrorKind.draining, ENDS_TOO_LATE)
        wait = asyncio.timeout_at(None if math.isinf(latest) else latest)
        try:
            async with wait:
                self._waits[wait] = duration_s
                yield
        except TimeoutError:
            if wait.expired():
                raise MastichatchError(
                    ErrorKind.draining, ENDS_TOO_LATE
                ) from None
            raise
        finally:
            self._waits.pop(wait, None)


def draw_return_s() -> float:
    """Return when a caller that was refused should come back, in seconds."""
    return random.uniform(*RETURN_S)  # noqa: S311
