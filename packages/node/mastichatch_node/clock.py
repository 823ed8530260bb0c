"""The clock of a node: the loop's, which tests pause and advance."""

import asyncio


def loop_time() -> float:
    """Return the running loop's time, in seconds."""
    return asyncio.get_running_loop().time()
