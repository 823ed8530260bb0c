"""The clock of a node: the event loop's, which tests can control."""

import asyncio


def loop_time() -> float:
    """Return the running loop's time, in seconds."""
    return asyncio.get_running_loop().time()
