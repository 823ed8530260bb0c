"""Waits for others for some time in which this process was running.

Load pattern: a process that was not scheduled for a while finds that all its
waits have timed out, although the answers have arrived. It takes its own delay
for that of the others.
"""

import asyncio
import contextlib
import math
from collections.abc import Collection
from typing import Any, Final

from mastichatch_node.clock import patient_timeout

# A longer step counts as this long, since the event loop did not run.
STEP_S: Final = 0.05


async def wait_awake(
    futures: Collection[asyncio.Future[Any]], timeout_s: float
) -> bool:
    """Wait for one of some futures.

    :param futures: the futures, which are not cancelled
    :param timeout_s: longest time, in seconds, without that in which the event
        loop did not run
    :returns: whether one is done
    """
    steps = max(1, math.ceil(timeout_s / STEP_S))
    with contextlib.suppress(TimeoutError):
        async with patient_timeout(timeout_s, steps):
            await asyncio.wait(futures, return_when=asyncio.FIRST_COMPLETED)
    return any(future.done() for future in futures)
