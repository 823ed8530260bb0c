"""Parsing, ordering and encoding of the server-sent events of a generation.

The parser runs once for each relayed token, so it works on bytes and decodes
no JSON.
"""

import dataclasses
from collections.abc import Iterable
from typing import Final

from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.messages import ErrorKind

DONE: Final = b'data: [DONE]'
EVENT_LIMIT_BYTES: Final = 1_048_576
# Longest event number; ``int`` refuses to convert much longer ones.
_MAX_NUMBER_DIGITS: Final = 18
_SEPARATOR: Final = b'\n\n'
_ID_PREFIX: Final = b'id: '


@dataclasses.dataclass(frozen=True, slots=True)
class TokenEvent:
    """One event of a generation.

    :param index: number of the event in its generation, from zero
    :param line: the ``data:`` line, without the line terminator
    """

    index: int
    line: bytes


class EventParser:
    """Incremental parser of one generation's event stream."""

    def __init__(self, generation: str) -> None:
        """Create a parser with an empty buffer.

        :param generation: generation id that each event must carry
        """
        self._buffer = b''
        self._prefix = b'%b%b:' % (_ID_PREFIX, generation.encode())
        self._done = False

    @property
    def done(self) -> bool:
        """Whether the end-of-stream event ``[DONE]`` was read."""
        return self._done

    def feed(self, data: bytes) -> list[TokenEvent]:
        """Add received bytes and return the events that they complete.

        :param data: bytes as read from the connection
        :raises MastichatchError: with ``endpoint_failed`` if an event belongs
            to another generation, is malformed or is too long
        """
        blocks = b''.join((self._buffer, data)).split(_SEPARATOR)
        self._buffer = blocks.pop()
        if len(self._buffer) > EVENT_LIMIT_BYTES:
            raise _malformed_event_error(self._buffer)
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
        if not number.isdigit() or len(number) > _MAX_NUMBER_DIGITS:
            raise _malformed_event_error(block)
        if not line.startswith(b'data:') or b'\n' in line:
            raise _malformed_event_error(block)
        return TokenEvent(int(number), line)


def undelivered_events(
    events: Iterable[TokenEvent], next_index: int
) -> list[TokenEvent]:
    """Return the events that were not delivered yet, in order.

    Events with a lower index are dropped, because a resumed stream may repeat
    events that were already delivered.

    :param events: events in order of arrival
    :param next_index: index of the next event to deliver
    :raises MastichatchError: with ``endpoint_failed`` if an event is missing
    """
    undelivered = []
    for event in events:
        if event.index > next_index:
            raise MastichatchError(
                ErrorKind.endpoint_failed,
                f'event {event.index} came in place of {next_index}',
            )
        if event.index == next_index:
            undelivered.append(event)
            next_index += 1
    return undelivered


def encode_events(events: Iterable[TokenEvent], handle: bytes) -> bytes:
    """Return events encoded for the response to the caller.

    :param events: events in order
    :param handle: handle of the generation
    """
    return b''.join(
        b'id: %b:%d\n%b\n\n' % (handle, event.index, event.line)
        for event in events
    )


def encode_error_event(body: bytes) -> bytes:
    """Return the error event that ends a failed stream.

    :param body: error body as JSON
    """
    return b'data: {"error": %b}\n\n' % body


def _malformed_event_error(block: bytes) -> MastichatchError:
    return MastichatchError(
        ErrorKind.endpoint_failed,
        f'the engine sent a malformed event: {block[:80]!r}',
    )
