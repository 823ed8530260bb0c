"""Limits how often a callback runs.

Nodes receive hundreds of messages per second about runs of other nodes, on
hosts with half a core, where computing the order of runs takes milliseconds.
"""

import asyncio
from collections.abc import Callable

from mastichatch_node.clock import loop_time


def rate_limited(
    callback: Callable[[], None], interval_s: float
) -> Callable[[], None]:
    """Return a function that schedules a callback, at most once per interval.

    After an interval without calls, the callback runs at once. A callback
    always follows the last call of the returned function.

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
