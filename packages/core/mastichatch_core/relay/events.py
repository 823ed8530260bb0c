"""Splits a stream of server-sent events without changing its bytes."""

import re
from collections.abc import Iterable
from typing import Final

# Callers abandon a stream without events after the longest of this time, this
# multiple of its objective and this multiple of its longest pause, by the
# specification of the platform.
MIN_STALL_MS: Final = 2000.0
STALL_OBJECTIVES: Final = 4.0
STALL_PAUSES: Final = 8.0

# A blank line ends an event. The format has three line endings (CR LF, LF and
# CR), which may be mixed.
_END: Final = re.compile(rb'(?:\r\n|\n|\r(?!\n)){2}')
# Length of the longest blank line, and of the line ending before it.
_END_BYTES: Final = 4
# Longest number of an event: a longer one is no number.
_MAX_NUMBER_DIGITS: Final = 18
_ID: Final = re.compile(rb'(?:^|[\r\n])id:[ ]?([^\r\n]*)')


class EventSplitter:
    """Splits the chunks of a stream into complete events.

    The work for a chunk grows with its length alone, not with that of the
    incomplete event before it.
    """

    def __init__(self) -> None:
        """Create a splitter for a new stream."""
        self._chunks: list[bytes] = []
        self._rest_bytes = 0
        # The last bytes of the rest, which may begin the end of an event.
        self._tail = b''

    @property
    def rest(self) -> bytes:
        """Bytes of the last event, which is not complete yet."""
        return b''.join(self._chunks)

    @property
    def rest_bytes(self) -> int:
        """Length of ``rest``, in bytes."""
        return self._rest_bytes

    def feed(self, chunk: bytes) -> tuple[bytes, ...]:
        """Return the events that a chunk completes, with their blank lines.

        :param chunk: next bytes of the stream
        """
        self._chunks.append(chunk)
        self._rest_bytes += len(chunk)
        searched = self._tail + chunk
        self._tail = searched[-_END_BYTES:]
        if _END.search(searched) is None:
            return ()
        return self._split()

    def _split(self) -> tuple[bytes, ...]:
        """Remove the complete events from the rest, and return them."""
        rest = self.rest
        events: list[bytes] = []
        start = 0
        for end in _END.finditer(rest):
            # The next chunk may continue a line ending, as in CR LF.
            if end.end() == len(rest) and rest.endswith(b'\r'):
                break
            events.append(rest[start : end.end()])
            start = end.end()
        kept = rest[start:]
        self._chunks = [kept]
        self._rest_bytes = len(kept)
        self._tail = kept[-_END_BYTES:]
        return tuple(events)


class MissingEventError(Exception):
    """A numbered event of a stream was skipped."""


class EventOrder:
    """Filters out repeated events of a stream, and detects missing ones."""

    def __init__(self, last: int | None = None, count: int = 0) -> None:
        """Create a filter for a stream.

        :param last: number of the last event that the caller has; ``None`` for
            a new stream
        :param count: number of events that this answer has returned before;
            zero also where the caller has events of an earlier request
        """
        self._last = last
        self._count = count

    @property
    def last(self) -> int | None:
        """Number of the last event that the caller has; ``None`` without one.

        It may be of an earlier request, while this answer has returned none.
        """
        return self._last

    @property
    def count(self) -> int:
        """Number of numbered events of this answer, without repetitions."""
        return self._count

    def drop_repeated(self, events: Iterable[bytes]) -> tuple[bytes, ...]:
        """Return the events that were not returned before.

        A stream that continues on another engine may repeat events. Events
        without a number are always returned.

        :param events: complete events, in the order of their arrival
        :raises MissingEventError: if an event was skipped
        """
        return tuple(event for event in events if self._is_new(event))

    def _is_new(self, event: bytes) -> bool:
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


class PauseTimer:
    """Measures the longest time between events of a stream."""

    def __init__(self) -> None:
        """Create a timer for a new stream."""
        self._first_at: float | None = None
        self._last_at = float()
        self._longest_s = float()

    @property
    def first_at(self) -> float | None:
        """Time of the first event, in seconds; ``None`` before it."""
        return self._first_at

    @property
    def longest_s(self) -> float:
        """Longest time between consecutive events so far, in seconds."""
        return self._longest_s

    def record_event(self, now: float) -> None:
        """Record that an event is sent to the caller.

        :param now: time in seconds
        """
        if self._first_at is None:
            self._first_at = now
        else:
            self._longest_s = max(self._longest_s, now - self._last_at)
        self._last_at = now


def max_stall_ms(objective_ms: float, pause_ms: float) -> float:
    """Return the time without events after which callers abandon a stream.

    :param objective_ms: objective for the first event, in milliseconds
    :param pause_ms: longest pause of a stream that is on time, in milliseconds
    :returns: time in milliseconds
    """
    return max(
        MIN_STALL_MS, STALL_OBJECTIVES * objective_ms, STALL_PAUSES * pause_ms
    )


def event_number(event: bytes) -> int | None:
    """Return the number in the ``id`` field of an event.

    :param event: a complete event
    :returns: the number; ``None`` if the field is missing or not a number
    """
    found = _ID.search(event)
    return None if found is None else parse_event_number(found.group(1))


def parse_event_number(text: bytes) -> int | None:
    """Return the number of an event, as its ``id`` field names it.

    :param text: content of the field
    :returns: the number; ``None`` if it is not one
    """
    digits = text.strip()
    if not digits.isdigit() or len(digits) > _MAX_NUMBER_DIGITS:
        return None
    return int(digits)
