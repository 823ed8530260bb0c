"""Splits a stream of server-sent events without changing its bytes."""

import re
from collections.abc import Iterable
from typing import Final

# A blank line ends an event; the three line ends of the format may mix.
_END: Final = re.compile(rb'(?:\r\n|\n|\r(?!\n)){2}')
_ID: Final = re.compile(rb'(?:^|[\r\n])id:[ ]?([^\r\n]*)')


class EventSplitter:
    """Takes parts of a stream and gives back whole events."""

    def __init__(self) -> None:
        """Start at the start of a stream."""
        self._rest = b''

    @property
    def rest(self) -> bytes:
        """Bytes of an event that is not whole yet."""
        return self._rest

    def feed(self, part: bytes) -> tuple[bytes, ...]:
        """Return the events that a part completes, with their ends.

        :param part: next bytes of the stream
        """
        self._rest += part
        events: list[bytes] = []
        start = 0
        for end in _END.finditer(self._rest):
            # More of a line end may follow in the next part.
            is_open = end.end() == len(self._rest)
            if is_open and self._rest.endswith(b'\r'):
                break
            events.append(self._rest[start : end.end()])
            start = end.end()
        self._rest = self._rest[start:]
        return tuple(events)


class MissingEventError(Exception):
    """An event of a stream is missing."""


class EventOrder:
    """Passes each numbered event of a stream once and in order."""

    def __init__(self) -> None:
        """Start before the first event."""
        self._last: int | None = None
        self._count = 0

    @property
    def last(self) -> int | None:
        """Number of the last event; ``None`` before the first."""
        return self._last

    @property
    def count(self) -> int:
        """Numbered events passed so far."""
        return self._count

    def fresh(self, events: Iterable[bytes]) -> tuple[bytes, ...]:
        """Return the events that were not passed before.

        A stream that goes on at another engine may repeat some.

        :param events: whole events, in the order in which they came
        :raises MissingEventError: if one was left out
        """
        return tuple(event for event in events if self._passes(event))

    def _passes(self, event: bytes) -> bool:
        number = event_number(event)
        if number is None:
            return True
        if self._last is not None and number <= self._last:
            return False
        if self._last is not None and number > self._last + 1:
            raise MissingEventError(f'event {number} came after {self._last}')
        self._last = number
        self._count += 1
        return True


class Pause:
    """Measures the longest time between events of a stream."""

    def __init__(self) -> None:
        """Start before the first event."""
        self._first_at: float | None = None
        self._last_at = float()
        self._longest_s = float()

    @property
    def first_at(self) -> float | None:
        """Time of the first event, in seconds; ``None`` before it."""
        return self._first_at

    @property
    def longest_s(self) -> float:
        """Longest time between two events so far, in seconds."""
        return self._longest_s

    def note_event(self, now: float) -> None:
        """Note that an event is passed on.

        :param now: time in seconds
        """
        if self._first_at is None:
            self._first_at = now
        else:
            self._longest_s = max(self._longest_s, now - self._last_at)
        self._last_at = now


def event_number(event: bytes) -> int | None:
    """Return the number that identifies an event.

    :param event: a whole event
    :returns: its id, or ``None`` where it has none or it is no number
    """
    found = _ID.search(event)
    if found is None or not found.group(1).strip().isdigit():
        return None
    return int(found.group(1))
