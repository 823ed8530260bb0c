"""Learns from other nodes of a configuration that a restored store has lost.

Load pattern: the store comes back from an older copy, and a node starts, wakes
or returns from a cut before the operators have written again. What it reads
first is not all there is: API keys that were taken away would be valid again.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence
from typing import Final

# Nodes that are asked at the same time, and how often that is repeated until
# one of them answers: a node serves within a second of its start.
ASKED_TOGETHER: Final = 2
MAX_ROUNDS: Final = 3


class KeptConfiguration:
    """Asks other nodes, once in each era of the store."""

    def __init__(
        self, query: Callable[[str, float], Awaitable[bool | None]]
    ) -> None:
        """Start without an answer.

        :param query: takes over the view of a node at an address, after a wait
            in milliseconds, and returns ``None`` if the node has none of use
        """
        self._query = query
        self._learned_in = -1

    def has_learned(self, era: int) -> bool:
        """Return whether another node has answered in an era, or a later one.

        :param era: era of the store; zero if it names none
        """
        return self._learned_in >= era

    async def ask(self, addresses: Sequence[str], era: int) -> None:
        """Ask some nodes, until one has answered.

        :param addresses: addresses of the other nodes
        :param era: present era of the store
        """
        limit = ASKED_TOGETHER * MAX_ROUNDS
        left = random.sample(addresses, min(len(addresses), limit))
        while left and not self.has_learned(era):
            asked, left = left[:ASKED_TOGETHER], left[ASKED_TOGETHER:]
            await asyncio.gather(*(self.ask_one(one, era) for one in asked))

    async def ask_one(self, address: str, era: int) -> None:
        """Ask a node.

        :param address: address of the node
        :param era: present era of the store
        """
        if await self._query(address, 0) is not None:
            self._learned_in = max(self._learned_in, era)
