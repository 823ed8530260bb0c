"""Splits a stream of server-sent events without changing its bytes."""

import re
from typing import Final

# A blank line ends an event; the three line ends of the format may mix.
_END: Final = re.compile(rb'(?:\r\n|\n|\r)(?:\r\n|\n|\r)')
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


def event_number(event: bytes) -> int | None:
    """Return the number that identifies an event.

    :param event: a whole event
    :returns: its id, or ``None`` where it has none or it is no number
    """
    found = _ID.search(event)
    if found is None or not found.group(1).strip().isdigit():
        return None
    return int(found.group(1))
