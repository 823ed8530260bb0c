"""Bounds how often news is acted on.

Load pattern: hundreds of messages a second about runs of other nodes, on hosts
with half a core, where working out whose turn it is takes milliseconds.
"""

import asyncio
from collections.abc import Callable

from mastichatch_node.clock import loop_time


def paced(
    callback: Callable[[], None], interval_s: float
) -> Callable[[], None]:
    """Return a function that calls back soon, at most once an interval.

    After a quiet interval it calls back at once, and after the last call of the
    returned function a callback always follows.

    :param callback: called without arguments
    :param interval_s: shortest time between two callbacks, in seconds
    """
    called_at = float('-inf')
    pending: asyncio.TimerHandle | None = None

    def run() -> None:
        nonlocal called_at, pending
        pending = None
        called_at = loop_time()
        callback()

    def request() -> None:
        nonlocal pending
        if pending is None:
            due_in_s = max(0, called_at + interval_s - loop_time())
            loop = asyncio.get_running_loop()
            pending = loop.call_later(due_in_s, run)

    return request
