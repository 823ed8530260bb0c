"""Bounds the work that a task does in one turn of the event loop.

Load pattern: a peer sends many small pieces without end. Each piece that has
arrived is handled without a wait, so that no other task runs meanwhile, and
no time limit is noticed.
"""

import asyncio
from typing import Final

# Pieces of a message that a task handles before other tasks get a turn. One
# takes about 20 microseconds.
MAX_STEPS_PER_TURN: Final = 64
# Each piece counts as at least this many bytes towards the limits of message
# sizes, since it costs time however small it is.
MIN_PIECE_BYTES: Final = 64


class TurnLimiter:
    """Counts the steps of a task, and lets other tasks run between them."""

    def __init__(self) -> None:
        """Start a turn."""
        self._steps = 0

    async def step(self) -> None:
        """Count a step, and let other tasks run if the turn is over."""
        self._steps += 1
        if self._steps >= MAX_STEPS_PER_TURN:
            self._steps = 0
            await asyncio.sleep(0)


def piece_cost_bytes(piece: bytes) -> int:
    """Return what a piece of a message counts towards its size limit.

    :param piece: bytes of the piece
    """
    return max(len(piece), MIN_PIECE_BYTES)
