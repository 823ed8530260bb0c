"""Sends an order to stop a run several times, and reads all of the answers.

Load pattern: an order hangs, since its connection is dead or its answer was
lost, while the engine is about to leave and the caller waits. An order that is
still being carried out answers later ones with a conflict.
"""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Iterator

from mastichatch_node.relay.dialect import MoveOrder, MoveResponse

_Send = Callable[[MoveOrder], Awaitable[MoveResponse]]


class OrderTries:
    """Tries of one order that have no answer yet."""

    def __init__(self, send: _Send, move: MoveOrder) -> None:
        """Start without tries.

        :param send: sends the order once
        :param move: the order
        """
        self._send = send
        self._move = move
        self._open: set[asyncio.Future[MoveResponse]] = set()

    @property
    def has_open(self) -> bool:
        """Whether an answer may still come."""
        return bool(self._open)

    def start(self) -> None:
        """Send the order once more."""
        self._open.add(asyncio.ensure_future(self._send(self._move)))

    async def next_answer(self, limit_s: float) -> MoveResponse | None:
        """Return the next answer to any try.

        :param limit_s: longest time to wait for it, in seconds
        :returns: ``None`` without an answer in time
        """
        if not self._open:
            await asyncio.sleep(limit_s)
            return None
        done, _ = await asyncio.wait(
            self._open,
            timeout=limit_s,
            return_when=asyncio.FIRST_COMPLETED,
        )
        if not done:
            return None
        # Only one of the answers names the copy.
        first = max(done, key=lambda one: bool(one.result().handle))
        self._open.discard(first)
        return first.result()

    def close(self) -> None:
        """Wait for no further answers."""
        for one in self._open:
            one.cancel()


@contextlib.contextmanager
def open_tries(send: _Send, move: MoveOrder) -> Iterator[OrderTries]:
    """Provide the tries of an order, which end with the block.

    :param send: sends the order once
    :param move: the order
    """
    tries = OrderTries(send, move)
    with contextlib.closing(tries):
        yield tries
