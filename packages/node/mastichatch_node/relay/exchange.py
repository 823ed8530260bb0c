"""HTTP/1.1 connections towards endpoints and the platform.

Nothing is repeated here: a caller learns whether the first byte of a request
was handed to a connection, and decides for itself.
"""

import asyncio
import contextlib
import dataclasses
import socket
from collections.abc import AsyncIterator, Iterator
from typing import Final

import h11

from mastichatch_core.units import MS_PER_S
from mastichatch_node.clock import loop_time

READ_BYTES: Final = 65536
# A head over this size is not one that endpoints send; h11's own default.
HEAD_LIMIT_BYTES: Final = 65536
# Unacknowledged bytes and unanswered probes end a connection after about
# this time; below it, lost packets are still sent again.
SILENCE_TIMEOUT_MS: Final = 3000
PROBE_INTERVAL_S: Final = 1

Headers = tuple[tuple[bytes, bytes], ...]


class ExchangeError(Exception):
    """An exchange ended without a whole answer.

    :param reason: what happened
    :param was_sent: whether any byte of the request may have left
    """

    def __init__(self, reason: str, *, was_sent: bool) -> None:
        """Keep what is known of the request."""
        super().__init__(reason)
        self.was_sent = was_sent


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Outgoing:
    """A request to an endpoint.

    :param method: HTTP method
    :param target: path and query
    :param headers: all headers but those of the body's framing
    :param body: the whole body
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Head:
    """Start of an answer.

    :param status: HTTP status
    :param headers: headers, with lower-case names
    """

    status: int
    headers: Headers

    def get(self, name: bytes) -> bytes | None:
        """Return the first header of a name.

        :param name: name in lower case
        """
        for found, content in self.headers:
            if found == name:
                return content
        return None


class Connection:
    """One connection, which carries one exchange at a time."""

    def __init__(
        self,
        address: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Keep the streams; ``connect`` is the way to create one."""
        self._address = address
        self._reader = reader
        self._writer = writer
        self._protocol = self._start()
        self._used_at = loop_time()
        self._sent = False

    @property
    def address(self) -> str:
        """IP address and port of the other end."""
        return self._address

    @property
    def used_at(self) -> float:
        """Loop time of the last use, in seconds."""
        return self._used_at

    def bear_silence(self, timeout_ms: int) -> None:
        """Keep the connection while its other end cannot be reached.

        :param timeout_ms: longest time, in milliseconds
        """
        detect_silence(self._writer, timeout_ms)

    @property
    def is_idle(self) -> bool:
        """Whether the connection can carry one more exchange."""
        states = (self._protocol.our_state, self._protocol.their_state)
        if self._reader.at_eof() or self._writer.is_closing():
            return False
        return states == (h11.IDLE, h11.IDLE)

    async def send(self, request: Outgoing) -> None:
        """Send a request.

        :param request: the request
        :raises ExchangeError: if it could not be handed over as a whole
        """
        self._sent = False
        framing = (b'Content-Length', str(len(request.body)).encode())
        try:
            head = self._protocol.send(
                h11.Request(
                    method=request.method,
                    target=request.target,
                    headers=[*request.headers, framing],
                )
            )
        except h11.LocalProtocolError as error:
            raise ExchangeError(str(error), was_sent=False) from error
        body = self._protocol.send(h11.Data(data=request.body))
        end = self._protocol.send(h11.EndOfMessage())
        self._sent = True
        try:
            self._writer.write((head or b'') + (body or b'') + (end or b''))
            await self._writer.drain()
        except OSError as error:
            raise self._lost(str(error)) from error

    async def read_head(self) -> Head:
        """Return the head of the answer.

        :raises ExchangeError: if none arrives
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                return Head(
                    status=event.status_code,
                    headers=tuple(event.headers),
                )
            if not isinstance(event, h11.InformationalResponse):
                raise self._lost('the connection ended before an answer')

    async def read_part(self) -> bytes | None:
        """Return the next part of the body, or ``None`` after its end.

        :raises ExchangeError: if the body is cut off
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            self._finish()
            return None
        raise self._lost('the answer was cut off')

    async def read_body(self, limit: int) -> bytes:
        """Return the whole body.

        :param limit: most bytes that are taken
        :raises ExchangeError: if the body is cut off or larger
        """
        parts: list[bytes] = []
        size = 0
        while True:
            part = await self.read_part()
            if part is None:
                return b''.join(parts)
            size += len(part)
            if size > limit:
                raise self._lost('the answer is larger than allowed')
            parts.append(part)

    def close(self) -> None:
        """Close the connection, which cancels what it carries."""
        self._writer.transport.abort()

    def _finish(self) -> None:
        """Prepare for the next exchange, if bytes and states allow it."""
        self._used_at = loop_time()
        leftover, _ = self._protocol.trailing_data
        done = (h11.DONE, h11.DONE)
        states = (self._protocol.our_state, self._protocol.their_state)
        # Bytes after an answer belong to no request.
        if leftover or states != done:
            self.close()
            return
        self._protocol.start_next_cycle()

    async def _next_event(self) -> object:
        while True:
            try:
                event = self._protocol.next_event()
            except h11.RemoteProtocolError as error:
                raise self._lost(f'malformed answer: {error}') from error
            if event is not h11.NEED_DATA:
                return event
            try:
                received = await self._reader.read(READ_BYTES)
            except OSError as error:
                raise self._lost(str(error)) from error
            self._protocol.receive_data(received)

    def _lost(self, reason: str) -> ExchangeError:
        self.close()
        return ExchangeError(reason, was_sent=self._sent)

    def _start(self) -> h11.Connection:
        return h11.Connection(
            h11.CLIENT, max_incomplete_event_size=HEAD_LIMIT_BYTES
        )


async def connect(address: str, timeout_s: float) -> Connection:
    """Open a connection.

    :param address: IP address and port
    :param timeout_s: longest wait, in seconds
    :raises ExchangeError: if it is not established in time
    """
    host, _, port = address.rpartition(':')
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
    except (OSError, ValueError) as error:
        reason = f'no connection to {address}: {error!r}'
        raise ExchangeError(reason, was_sent=False) from error
    detect_silence(writer)
    return Connection(address, reader, writer)


def detect_silence(
    writer: asyncio.StreamWriter, timeout_ms: int = SILENCE_TIMEOUT_MS
) -> None:
    """Let the kernel end a connection whose other end went silent.

    :param writer: an open connection
    :param timeout_ms: longest silence, in milliseconds
    """
    found = writer.get_extra_info('socket')
    if found is None:
        return
    options = (
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _probes(timeout_ms)),
    )
    for level, name, setting in options:
        with contextlib.suppress(OSError):
            found.setsockopt(level, name, setting)


def _probes(timeout_ms: int) -> int:
    """Return the unanswered probes after which a connection ends."""
    return max(1, timeout_ms // (PROBE_INTERVAL_S * MS_PER_S) - 1)


class ConnectionPool:
    """Idle connections, by address."""

    def __init__(self, connect_timeout_s: float) -> None:
        """Start empty.

        :param connect_timeout_s: longest wait for a connection, in seconds
        """
        self._connect_timeout_s = connect_timeout_s
        self._idle: dict[str, list[Connection]] = {}
        self._opened = 0

    @property
    def opened(self) -> int:
        """Connections opened so far."""
        return self._opened

    async def take(self, address: str, idle_limit_s: float) -> Connection:
        """Return an idle connection, or a new one.

        :param address: IP address and port
        :param idle_limit_s: longest time that the connection may have been
            idle, in seconds; zero takes a new one
        :raises ExchangeError: if none can be established
        """
        oldest = loop_time() - idle_limit_s
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            if connection.is_idle and connection.used_at > oldest:
                return connection
            connection.close()
        self._opened += 1
        return await connect(address, self._connect_timeout_s)

    def give_back(self, connection: Connection) -> None:
        """Keep a connection for another exchange, or close it.

        :param connection: connection that ``take`` returned
        """
        if connection.is_idle:
            self._idle.setdefault(connection.address, []).append(connection)
        else:
            connection.close()

    def forget(self, address: str) -> None:
        """Close the idle connections to an address that went silent.

        :param address: IP address and port
        """
        for connection in self._idle.pop(address, ()):
            connection.close()

    def close_idle(self, idle_limit_s: float) -> None:
        """Close connections that were idle for long.

        :param idle_limit_s: longest time to keep one, in seconds
        """
        oldest = loop_time() - idle_limit_s
        for address, idle in tuple(self._idle.items()):
            kept = [one for one in idle if one.used_at > oldest and one.is_idle]
            for connection in set(idle) - set(kept):
                connection.close()
            if kept:
                self._idle[address] = kept
            else:
                self._idle.pop(address)


@contextlib.asynccontextmanager
async def borrow(
    pool: ConnectionPool, address: str, idle_limit_s: float
) -> AsyncIterator[Connection]:
    """Lend a connection, which is closed if its exchange does not end whole.

    :param pool: where it comes from
    :param address: IP address and port
    :param idle_limit_s: longest time that it may have been idle, in seconds
    """
    connection = await pool.take(address, idle_limit_s)
    try:
        yield connection
    finally:
        pool.give_back(connection)


@contextlib.contextmanager
def open_pool(connect_timeout_s: float) -> Iterator[ConnectionPool]:
    """Keep connections until the end of the block.

    :param connect_timeout_s: longest wait for a connection, in seconds
    """
    pool = ConnectionPool(connect_timeout_s)
    try:
        yield pool
    finally:
        pool.close_idle(0)
