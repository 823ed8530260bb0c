"""Reads the events of a stream, within limits of size and time.

Load pattern: an engine sends bytes that complete no event, without end or now
and then. They must neither fill the memory nor keep a stalled stream open.
"""

import asyncio
import contextlib
from collections.abc import Iterator
from typing import Final

from mastichatch_core.relay.byte_budget import HeldBuffer, Purpose
from mastichatch_core.relay.events import (
    EventOrder,
    EventSplitter,
    MissingEventError,
)
from mastichatch_node.relay.http_client import (
    Connection,
    ExchangeError,
    hold_part,
)
from mastichatch_node.relay.turns import piece_cost_bytes

# Largest event of a stream that is accepted.
EVENT_LIMIT_BYTES: Final = 1024 * 1024


class EventReader:
    """Reads the events of one stream."""

    def __init__(
        self,
        connection: Connection,
        order: EventOrder,
        held: HeldBuffer,
        longest_s: float,
    ) -> None:
        """Start before the first event.

        :param connection: connection to the engine, after the head
        :param order: events that the caller has
        :param held: holds the bytes that complete no event yet
        :param longest_s: longest time without an event, in seconds
        """
        self._connection = connection
        self._order = order
        self._held = held
        self._longest_s = longest_s
        self._splitter = EventSplitter()

    async def read(self) -> tuple[bytes, ...] | None:
        """Return complete events that the caller lacks, or ``None`` at the end.

        :raises ExchangeError: if there is no event in time, if it is too large,
            if one was skipped, or if the stream ends inside an event
        """
        try:
            async with asyncio.timeout(self._longest_s):
                events = await self._read_parts()
        except TimeoutError:
            raise ExchangeError('the stream stalled', was_sent=True) from None
        rest_bytes = self._splitter.rest_bytes
        self._held.shrink(max(0, self._held.size - rest_bytes))
        if events is not None:
            return self._drop_repeated(events)
        if rest_bytes:
            raise ExchangeError(
                'the stream ended inside an event',
                was_sent=True,
                is_closed_by_peer=True,
            )
        return None

    def _drop_repeated(self, events: tuple[bytes, ...]) -> tuple[bytes, ...]:
        try:
            return self._order.drop_repeated(events)
        except MissingEventError as error:
            raise ExchangeError(str(error), was_sent=True) from error

    async def _read_parts(self) -> tuple[bytes, ...] | None:
        size = self._splitter.rest_bytes
        while size <= EVENT_LIMIT_BYTES:
            part = await self._connection.read_part()
            if part is None:
                return None
            size += piece_cost_bytes(part)
            hold_part(self._connection, self._held, part)
            events = self._splitter.feed(part)
            if events:
                return events
        raise ExchangeError('an event is too large', was_sent=True)


@contextlib.contextmanager
def open_event_reader(
    connection: Connection, order: EventOrder, longest_s: float
) -> Iterator[EventReader]:
    """Provide a reader, and return the bytes that it holds after the block.

    :param connection: connection to the engine, after the head of its answer
    :param order: events that the caller has
    :param longest_s: longest time without an event, in seconds
    """
    with connection.hold(Purpose.stream) as held:
        yield EventReader(connection, order, held, longest_s)
