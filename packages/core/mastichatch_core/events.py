"""Server-sent events of a generation: parsing, checking and writing.

The parser runs once for each token that the system passes on, so it works on
bytes and decodes no JSON.
"""

import dataclasses
from collections.abc import Iterable
from typing import Final

from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.messages import ErrorKind

DONE: Final = b'data: [DONE]'
EVENT_LIMIT_BYTES: Final = 1_048_576
_SEPARATOR: Final = b'\n\n'
_ID_PREFIX: Final = b'id: '


@dataclasses.dataclass(frozen=True, slots=True)
class TokenEvent:
    """One event of a generation.

    :param index: number of the event in its generation, from zero
    :param line: the ``data:`` line, without a line end
    """

    index: int
    line: bytes


class EventParser:
    """Splits the bytes of one generation's stream into events."""

    def __init__(self, generation: str) -> None:
        """Start before the first byte.

        :param generation: id that each event must carry
        """
        self._buffer = b''
        self._prefix = b'%b%b:' % (_ID_PREFIX, generation.encode())
        self._done = False

    @property
    def done(self) -> bool:
        """Whether the mark of a whole stream was read."""
        return self._done

    def feed(self, data: bytes) -> list[TokenEvent]:
        """Return the events that are whole after some more bytes.

        :param data: bytes as read from the connection
        :raises MastichatchError: with ``endpoint_failed`` where an event is
            of another generation, malformed or too long
        """
        blocks = b''.join((self._buffer, data)).split(_SEPARATOR)
        self._buffer = blocks.pop()
        if len(self._buffer) > EVENT_LIMIT_BYTES:
            raise _malformed(self._buffer)
        events = []
        for block in blocks:
            if block == DONE:
                self._done = True
            elif block and not block.startswith(b':'):
                events.append(self._parse(block))
        return events

    def _parse(self, block: bytes) -> TokenEvent:
        head, _, line = block.partition(b'\n')
        number = head.removeprefix(self._prefix)
        if not number.isdigit():
            raise _malformed(block)
        if not line.startswith(b'data:') or b'\n' in line:
            raise _malformed(block)
        return TokenEvent(int(number), line)


def in_order(events: Iterable[TokenEvent], following: int) -> list[TokenEvent]:
    """Return the events that follow what was handed out already.

    An event seen before is dropped: a resumed stream may overlap.

    :param events: events in the order in which they arrived
    :param following: index of the next event to hand out
    :raises MastichatchError: with ``endpoint_failed`` when one is missing
    """
    fresh = []
    for event in events:
        if event.index > following:
            raise MastichatchError(
                ErrorKind.endpoint_failed,
                f'event {event.index} came in place of {following}',
            )
        if event.index == following:
            fresh.append(event)
            following += 1
    return fresh


def write_events(events: Iterable[TokenEvent], handle: bytes) -> bytes:
    """Return the bytes that a caller gets for some events.

    :param events: events in order
    :param handle: handle of the generation
    """
    return b''.join(
        b'id: %b:%d\n%b\n\n' % (handle, event.index, event.line)
        for event in events
    )


def write_error(body: bytes) -> bytes:
    """Return the event that ends a stream which cannot go on.

    :param body: the error's body as JSON
    """
    return b'data: {"error": %b}\n\n' % body


def _malformed(block: bytes) -> MastichatchError:
    return MastichatchError(
        ErrorKind.endpoint_failed,
        f'the engine sent a malformed event: {block[:80]!r}',
    )
