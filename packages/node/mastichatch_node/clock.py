"""The clock of a node: the event loop's, which tests can control."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Final

# Steps in which a patient timeout elapses, each in a turn of the loop at least.
TIMEOUT_STEPS: Final = 5


def loop_time() -> float:
    """Return the running loop's time, in seconds."""
    return asyncio.get_running_loop().time()


@contextlib.asynccontextmanager
async def patient_timeout(
    timeout_s: float, steps: int = TIMEOUT_STEPS
) -> AsyncIterator[None]:
    """Limit the time of a block, but for times in which the loop is held up.

    What happened in such a time is handled before the limit ends.

    :param timeout_s: longest time, in seconds
    :param steps: number of steps in which it elapses
    :raises TimeoutError: if the block takes longer
    """
    loop = asyncio.get_running_loop()
    step_s = timeout_s / steps
    timer: asyncio.TimerHandle
    async with asyncio.timeout(None) as limit:

        def count_down(left: int) -> None:
            nonlocal timer
            if left:
                timer = loop.call_later(step_s, count_down, left - 1)
            else:
                limit.reschedule(loop.time())

        timer = loop.call_later(step_s, count_down, steps - 1)
        try:
            yield
        finally:
            timer.cancel()
