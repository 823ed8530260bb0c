"""Bounds the bytes that a process holds for its peers.

Load pattern: peers send bytes without end, or more at once than the process may
keep, or do not read what is sent to them. Each message is bounded, and their
sum would still fill the memory of the process, with which the requests of all
callers end. Where the budget runs short, those who take most are cut first.
"""

import contextlib
import dataclasses
from collections import Counter
from collections.abc import Callable, Iterator
from enum import StrEnum
from typing import Final

# Buffers up to this size may use the whole budget, so that small requests go on
# where large ones have filled their share.
SMALL_BUFFER_BYTES: Final = 32768
LARGE_BUFFER_SHARE: Final = 0.8


class Purpose(StrEnum):
    """What bytes are held for.

    ``unread``: received and not yet read. ``request``: bodies of requests.
    ``answer``: answers of endpoints. ``stream``: incomplete events of streams.
    ``control``: answers to control calls. ``store``: pages of the platform's
    store. ``peer``: messages of other nodes.
    """

    unread = 'unread'
    request = 'request'
    answer = 'answer'
    stream = 'stream'
    control = 'control'
    store = 'store'
    peer = 'peer'


class BudgetExceededError(Exception):
    """There is no room for more bytes of a buffer, which has been given up."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Shortage:
    """A buffer that was given up for lack of room.

    :param purpose: what its bytes were held for
    :param owner: who has sent them
    :param size: its size, in bytes
    :param total: size of all buffers before, in bytes
    """

    purpose: Purpose
    owner: str
    size: int
    total: int


class ByteBudget:
    """The bytes that one process holds, by purpose and owner."""

    def __init__(
        self,
        limit: int,
        on_shortage: Callable[[Shortage], None] | None = None,
    ) -> None:
        """Start without buffers.

        :param limit: size of all buffers together, in bytes
        :param on_shortage: called with each buffer that is given up
        """
        self._limit = limit
        self._on_shortage = on_shortage
        self._total = 0
        self._buffers: set[HeldBuffer] = set()

    @property
    def total(self) -> int:
        """Size of all buffers, in bytes."""
        return self._total

    @property
    def held_share(self) -> float:
        """Size of all buffers, as a share of the limit."""
        return self._total / self._limit if self._limit else 1

    @property
    def buffers(self) -> int:
        """Number of buffers."""
        return len(self._buffers)

    def held(self, purpose: Purpose) -> int:
        """Return the size of all buffers of one purpose, in bytes.

        :param purpose: what the bytes are held for
        """
        return sum(one.size for one in self._buffers if one.purpose is purpose)

    @contextlib.contextmanager
    def hold(
        self,
        purpose: Purpose,
        owner: str,
        cut: Callable[[], None] | None = None,
    ) -> 'Iterator[HeldBuffer]':
        """Provide a buffer, whose bytes are returned after the block.

        :param purpose: what the bytes are held for
        :param owner: who sends them
        :param cut: ends the buffer when others need its room; ``None`` if
            nothing can
        """
        buffer = self.open(purpose, owner, cut)
        try:
            yield buffer
        finally:
            buffer.close()

    def open(
        self,
        purpose: Purpose,
        owner: str,
        cut: Callable[[], None] | None = None,
    ) -> 'HeldBuffer':
        """Return a buffer, whose bytes are returned when it is closed.

        :param purpose: what the bytes are held for
        :param owner: who sends them
        :param cut: ends the buffer when others need its room; ``None`` if
            nothing can
        """
        buffer = HeldBuffer(self, purpose, owner, cut)
        self._buffers.add(buffer)
        return buffer

    def take(self, buffer: 'HeldBuffer', size: int) -> None:
        """Take bytes for a buffer, and give larger ones up where it is needed.

        :param buffer: the buffer that grows
        :param size: number of bytes
        :raises BudgetExceededError: if there is no room for it
        """
        grown = buffer.size + size
        share = 1 if grown <= SMALL_BUFFER_BYTES else LARGE_BUFFER_SHARE
        while self._total + size > self._limit * share:
            victim = self._find_victim(buffer, size)
            self._give_up(victim)
            if victim is buffer:
                raise BudgetExceededError
        self.add(buffer, size)

    def add(self, buffer: 'HeldBuffer', size: int) -> None:
        """Add bytes to a buffer without a check, or remove them.

        :param buffer: the buffer
        :param size: number of bytes; negative to remove them
        """
        self._total += size
        buffer.record(size)

    def forget(self, buffer: 'HeldBuffer') -> None:
        """Remove a buffer and its bytes.

        :param buffer: the buffer
        """
        self.add(buffer, -buffer.size)
        self._buffers.discard(buffer)

    def _find_victim(self, buffer: 'HeldBuffer', size: int) -> 'HeldBuffer':
        """Return the buffer to give up: the largest of who takes most."""
        others = [
            one for one in self._buffers if one.can_be_cut and one is not buffer
        ]
        if not others:
            return buffer
        taken: Counter[str] = Counter()
        for held in self._buffers:
            taken[held.owner] += held.size
        largest = max(others, key=lambda one: (taken[one.owner], one.size))
        if largest.owner == buffer.owner:
            return largest if largest.size > buffer.size + size else buffer
        wanted = taken[buffer.owner] + size
        return largest if taken[largest.owner] > wanted else buffer

    def _give_up(self, buffer: 'HeldBuffer') -> None:
        shortage = Shortage(
            purpose=buffer.purpose,
            owner=buffer.owner,
            size=buffer.size,
            total=self._total,
        )
        buffer.give_up()
        if self._on_shortage is not None:
            self._on_shortage(shortage)


class HeldBuffer:
    """Bytes that are held for one message or connection."""

    def __init__(
        self,
        budget: ByteBudget,
        purpose: Purpose,
        owner: str,
        cut: Callable[[], None] | None,
    ) -> None:
        """Start empty; ``ByteBudget.open`` creates buffers."""
        self._budget = budget
        self._purpose = purpose
        self._owner = owner
        self._cut = cut
        self._size = 0
        self._is_given_up = False

    @property
    def purpose(self) -> Purpose:
        """What the bytes are held for."""
        return self._purpose

    @property
    def owner(self) -> str:
        """Who has sent the bytes."""
        return self._owner

    @property
    def size(self) -> int:
        """Number of bytes."""
        return self._size

    @property
    def can_be_cut(self) -> bool:
        """Whether it can be ended for others, and would make room."""
        return self._cut is not None and self._size > 0

    def grow(self, size: int) -> None:
        """Take bytes from the budget.

        :param size: number of bytes
        :raises BudgetExceededError: if there is no room, or the buffer has
            been given up
        """
        if self._is_given_up:
            raise BudgetExceededError
        self._budget.take(self, size)

    def shrink(self, size: int) -> None:
        """Return bytes to the budget.

        :param size: number of bytes
        """
        self._budget.add(self, -min(size, self._size))

    def resize(self, size: int) -> None:
        """Take or return bytes, so that a number of them is held.

        :param size: number of bytes
        :raises BudgetExceededError: if there is no room
        """
        if size > self._size:
            self.grow(size - self._size)
        else:
            self.shrink(self._size - size)

    def keep(self) -> None:
        """Do not end the buffer for others any more."""
        self._cut = None

    def close(self) -> None:
        """Return all bytes to the budget, and take no more."""
        self._is_given_up = True
        self._budget.forget(self)

    def record(self, size: int) -> None:
        """Record a change of its size, for the budget.

        :param size: number of bytes added; negative if they were removed
        """
        self._size += size

    def give_up(self) -> None:
        """Return all bytes, and end what uses them."""
        self._is_given_up = True
        self._budget.forget(self)
        if self._cut is not None:
            self._cut()
