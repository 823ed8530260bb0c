"""HTTP/1.1 server for callers, readiness checks and metrics."""

import asyncio
import contextlib
import dataclasses
import random
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from typing import Final

import h11
from absl import logging

from mastichatch_core.errors import ANSWERS, MastichatchError
from mastichatch_core.generated.messages import ErrorKind
from mastichatch_core.relay.byte_budget import (
    BudgetExceededError,
    ByteBudget,
    HeldBuffer,
    Purpose,
)
from mastichatch_core.relay.model import ClientLimits
from mastichatch_core.units import MS_PER_S
from mastichatch_node.clock import loop_time
from mastichatch_node.relay.http_client import (
    CountingReader,
    Headers,
    configure_keepalive,
    write_in_pieces,
)
from mastichatch_node.relay.planned_stop import PlannedStop
from mastichatch_node.relay.turns import TurnLimiter

READ_BYTES: Final = 65536
# Most bytes of pipelined requests that are buffered during a response.
PIPELINE_LIMIT_BYTES: Final = 65536
# Connections that may wait to be accepted: more than usually arrive within a
# second.
LISTEN_BACKLOG: Final = 1024
# A draining node keeps idle connections open for this time, so that the load
# balancer and the callers notice the drain first, and few requests are sent on
# a connection that is being closed.
DRAIN_IDLE_S: Final = 2.0
# Time for the peer to read the last response; a round trip takes 2 ms.
LINGER_S: Final = 0.5
# Least and greatest time after which a caller may send a body again for which
# there was no room.
BODY_RETRY_S: Final = (0.5, 2.0)
# Most bytes that are read and discarded meanwhile.
LINGER_LIMIT_BYTES: Final = 1024 * 1024

_REQUEST_ERRORS: Final = (
    MastichatchError,
    BudgetExceededError,
    h11.RemoteProtocolError,
)
_HEAD_TOO_LARGE: Final = 431
# Number of bytes of the colon, the space and CRLF in a header line.
_HEADER_SEPARATORS: Final = 4
_CALLER_ERRORS: Final = (
    OSError,
    BudgetExceededError,
    h11.ProtocolError,
    asyncio.CancelledError,
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class IncomingRequest:
    """A request received from a caller.

    :param method: HTTP method
    :param target: path and query
    :param host: host name without a port, in lower case
    :param headers: headers, with lower-case names
    :param body: complete body
    :param arrived_at: loop time of the first byte, in seconds
    """

    method: bytes
    target: bytes
    host: str
    headers: Headers
    body: bytes
    arrived_at: float

    @property
    def path(self) -> str:
        """Path of the target, without the query."""
        return self.target.split(b'?', 1)[0].decode('latin-1')


class ResponseWriter:
    """Write the response to one request, at once or in parts."""

    def __init__(
        self,
        protocol: h11.Connection,
        writer: asyncio.StreamWriter,
        is_last: Callable[[], bool],
    ) -> None:
        """Start before any response.

        :param protocol: protocol state of the connection
        :param writer: stream that the response is written to
        :param is_last: returns whether the connection closes after this
            response
        """
        self._protocol = protocol
        self._is_last = is_last
        self._writer = writer
        self._status = 0
        self._omits_body = False
        self._added: Headers = ()

    @property
    def status(self) -> int:
        """HTTP status of the response; zero before it starts."""
        return self._status

    def omit_body(self) -> None:
        """Send no body, since the request has the method HEAD."""
        self._omits_body = True

    def set_added_headers(self, headers: Headers) -> None:
        """Add headers to the response, in place of those set before.

        :param headers: the headers
        """
        self._added = headers

    async def send(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response.

        :param status: HTTP status
        :param headers: all headers except ``Content-Length``
        :param body: complete body
        """
        framing = (b'Content-Length', str(len(body)).encode())
        parts = self._encode(
            self._head(status, (*headers, framing)),
            h11.Data(data=body),
            h11.EndOfMessage(),
        )
        await write_in_pieces(self._writer, parts)

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head of a response whose body follows in parts.

        :param status: HTTP status
        :param headers: all headers except ``Transfer-Encoding``
        """
        framing = (b'Transfer-Encoding', b'chunked')
        self._emit(self._head(status, (*headers, framing)))
        await self._writer.drain()

    async def write(self, part: bytes) -> None:
        """Send a part of the body.

        :param part: next bytes of the body
        """
        self._emit(h11.Data(data=part))
        await self._writer.drain()

    async def finish(self) -> None:
        """End the body and the response."""
        self._emit(h11.EndOfMessage())
        await self._writer.drain()

    def _head(self, status: int, headers: Headers) -> h11.Response:
        self._status = status
        headers = (*headers, *self._added)
        if self._is_last():
            headers = (*headers, (b'Connection', b'close'))
        return h11.Response(status_code=status, headers=list(headers))

    def _emit(self, *events: h11.Event) -> None:
        self._writer.write(b''.join(self._encode(*events)))

    def _encode(self, *events: h11.Event) -> tuple[bytes, ...]:
        return tuple(
            self._protocol.send(event) or b''
            for event in events
            if not (self._omits_body and isinstance(event, h11.Data))
        )


Handler = Callable[[IncomingRequest, ResponseWriter], Awaitable[None]]
HeadCheck = Callable[[h11.Request, ResponseWriter], None]


def _accept_all(head: h11.Request, reply: ResponseWriter) -> None:
    """Accept every head."""


class HttpServer:
    """Serve HTTP connections, within the configured limits."""

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], ClientLimits],
        body_timeout_s: float,
        budget: ByteBudget,
        check_head: HeadCheck = _accept_all,
        stop: PlannedStop | None = None,
    ) -> None:
        """Start without connections.

        :param handler: responds to requests
        :param limits: returns the limits in force
        :param body_timeout_s: longest time for the whole body of a request, in
            seconds
        :param budget: holds the bytes of callers
        :param check_head: called with each head before its body is read; raises
            ``ConnectionResetError`` to close the connection
        :param stop: when the node stops; bodies that are still coming by then
            are refused
        """
        self._stop = stop or PlannedStop()
        self._check_head = check_head
        self._budget = budget
        self._body_timeout_s = body_timeout_s
        self._handler = handler
        self._limits = limits
        self._accepted = 0
        self._active = 0
        self._draining_since: float | None = None
        self._connections: set[asyncio.Task[None]] = set()

    @property
    def active_requests(self) -> int:
        """Number of requests that are being read or responded to."""
        return self._active

    @property
    def is_draining(self) -> bool:
        """Whether connections are being drained."""
        return self._draining_since is not None

    def set_draining(self) -> None:
        """Close connections after their next response, or once idle."""
        self._draining_since = loop_time()

    def create_protocol(self) -> asyncio.StreamReaderProtocol:
        """Return the protocol of a connection that is accepted."""
        self._accepted += 1
        reader = CountingReader(self._budget, f'caller {self._accepted}')
        return asyncio.StreamReaderProtocol(
            reader, lambda _, writer: self._accept(reader, writer)
        )

    async def _accept(
        self, reader: CountingReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection until it ends."""
        task = asyncio.current_task()
        if task is not None:
            self._connections.add(task)
            task.add_done_callback(self._connections.discard)
        configure_keepalive(writer)
        try:
            await self._serve(reader, writer)
        except _CALLER_ERRORS:
            # The caller disconnected or was too slow, or violated the protocol
            # and was sent an error response where one was still possible; or
            # this server is closing.
            writer.transport.abort()
        except Exception:
            logging.exception('unhandled error on an HTTP connection')
            writer.transport.abort()
        finally:
            reader.release()

    def close(self) -> None:
        """Cancel the tasks of all connections."""
        for task in self._connections:
            task.cancel()

    async def _serve(
        self, reader: CountingReader, writer: asyncio.StreamWriter
    ) -> None:
        protocol = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=self._limits().header_bytes,
        )
        while await self._serve_one(protocol, reader, writer):
            protocol.start_next_cycle()
        await _close_gracefully(reader, writer)

    async def _serve_one(
        self,
        protocol: h11.Connection,
        reader: CountingReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Serve one request, and return whether another one may follow."""
        if not await self._wait_for_bytes(protocol, reader):
            return False
        with self._counted_as_active():
            return await self._read_and_respond(protocol, reader, writer)

    async def _read_and_respond(
        self,
        protocol: h11.Connection,
        reader: CountingReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Serve a request that starts, and return whether one may follow."""
        reply = ResponseWriter(protocol, writer, lambda: self.is_draining)
        with self._budget.hold(
            Purpose.request, reader.owner, reader.cut
        ) as held:
            try:
                request = await self._read_request(
                    protocol, reader, writer, reply, held
                )
            except _REQUEST_ERRORS as error:
                held.close()
                await _send_error(protocol, reply, _convert_error(error))
                return False
            if request is None:
                return False
            # From here on the request may run, so that it is not given up.
            held.keep()
            if request.method == b'HEAD':
                reply.omit_body()
            await self._respond(protocol, reader, request, reply)
        states = (protocol.our_state, protocol.their_state)
        return states == (h11.DONE, h11.DONE) and not self.is_draining

    async def _respond(
        self,
        protocol: h11.Connection,
        reader: CountingReader,
        request: IncomingRequest,
        reply: ResponseWriter,
    ) -> None:
        """Run the handler, and cancel it if the caller disconnects."""
        response = asyncio.ensure_future(self._handler(request, reply))
        disconnect = asyncio.ensure_future(
            _wait_for_disconnect(protocol, reader)
        )
        try:
            await asyncio.wait(
                (response, disconnect), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            disconnected = not response.done()
            await _cancel_and_wait(disconnect, response)
        if disconnected:
            raise ConnectionResetError('the caller disconnected')
        response.result()

    @contextlib.contextmanager
    def _counted_as_active(self) -> Iterator[None]:
        self._active += 1
        try:
            yield
        finally:
            self._active -= 1

    async def _read_request(
        self,
        protocol: h11.Connection,
        reader: CountingReader,
        writer: asyncio.StreamWriter,
        reply: ResponseWriter,
        held: HeldBuffer,
    ) -> IncomingRequest | None:
        """Return the next request, or ``None`` if the connection ends."""
        limits = self._limits()
        arrived_at = loop_time()
        try:
            async with asyncio.timeout(limits.header_timeout_ms / MS_PER_S):
                head = await _next_event(protocol, reader)
        except TimeoutError:
            raise MastichatchError(ErrorKind.head_timeout) from None
        if not isinstance(head, h11.Request):
            return None
        self._check_head(head, reply)
        headers = tuple(head.headers)
        _check_head_size(head, limits.header_bytes)
        _check_framing(headers)
        held.grow(_declared_length(headers, limits.body_bytes))
        if protocol.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            writer.write(protocol.send(interim) or b'')
        return IncomingRequest(
            method=head.method,
            target=head.target,
            host=_host_name(headers),
            headers=headers,
            body=await self._read_body(protocol, reader, limits, held),
            arrived_at=arrived_at,
        )

    async def _read_body(
        self,
        protocol: h11.Connection,
        reader: CountingReader,
        limits: ClientLimits,
        held: HeldBuffer,
    ) -> bytes:
        async with (
            self._stop.limit_wait(),
            asyncio.timeout(self._body_timeout_s),
        ):
            return await read_request_body(protocol, reader, limits, held)

    async def _wait_for_bytes(
        self, protocol: h11.Connection, reader: CountingReader
    ) -> bool:
        """Return whether a request starts before the idle timeout."""
        waiting_since = loop_time()
        if protocol.trailing_data[0]:
            return True
        while True:
            timeout_s = self._idle_time_left_s(waiting_since)
            if timeout_s <= 0:
                return False
            with contextlib.suppress(TimeoutError):
                # A drain that begins meanwhile shortens the timeout, so that it
                # is computed again at least once a second.
                async with asyncio.timeout(min(timeout_s, 1.0)):
                    received = await reader.read(READ_BYTES)
                protocol.receive_data(received)
                return bool(received)

    def _idle_time_left_s(self, waiting_since: float) -> float:
        idle_s = self._limits().idle_timeout_ms / MS_PER_S
        ends_at = waiting_since + idle_s
        if self._draining_since is not None:
            drain_ends_at = (
                max(waiting_since, self._draining_since) + DRAIN_IDLE_S
            )
            ends_at = min(ends_at, drain_ends_at)
        return ends_at - loop_time()


@contextlib.asynccontextmanager
async def open_http_server(
    http_server: HttpServer, address: str
) -> AsyncIterator[None]:
    """Accept connections until the end of the block.

    :param http_server: server that accepts the connections
    :param address: IP address and port
    """
    host, _, port = address.rpartition(':')
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        http_server.create_protocol,
        host,
        int(port),
        backlog=LISTEN_BACKLOG,
        reuse_address=True,
    )
    try:
        yield
    finally:
        server.close()
        http_server.close()


def error_headers(
    error: MastichatchError, retry_after_s: float | None
) -> Headers:
    """Return the headers of an error response.

    :param error: the error to report
    :param retry_after_s: value of ``Retry-After``, in seconds; ``None`` for
        the default for this kind of error
    """
    default_ms = ANSWERS[error.kind].retry_after_ms
    if retry_after_s is None and default_ms is not None:
        retry_after_s = default_ms / MS_PER_S
    headers: Headers = ((b'Content-Type', b'application/json'),)
    if retry_after_s is not None:
        text = f'{retry_after_s:.3f}'.encode()
        headers = (*headers, (b'Retry-After', text))
    return headers


async def _send_error(
    protocol: h11.Connection, reply: ResponseWriter, error: MastichatchError
) -> None:
    """Send an error for an unreadable request, and announce the close."""
    if protocol.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
        return
    retry_after_s = None
    if error.kind is ErrorKind.no_capacity:
        # Callers that were refused together must not return together.
        retry_after_s = random.uniform(*BODY_RETRY_S)  # noqa: S311
    headers = (
        *error_headers(error, retry_after_s),
        (b'Connection', b'close'),
    )
    body = f'{{"kind":"{error.kind}"}}'.encode()
    await reply.send(error.status, headers, body)


def _convert_error(error: Exception) -> MastichatchError:
    if isinstance(error, MastichatchError):
        return error
    if isinstance(error, BudgetExceededError):
        return MastichatchError(ErrorKind.no_capacity, 'no room for the body')
    hint = getattr(error, 'error_status_hint', 0)
    if hint == _HEAD_TOO_LARGE:
        return MastichatchError(ErrorKind.head_too_large)
    return MastichatchError(ErrorKind.bad_request, str(error))


def _check_head_size(head: h11.Request, limit: int) -> None:
    """Refuse a head over the size limit.

    h11 applies its limit to incomplete heads only, and so accepts a larger head
    that arrives in a single read.
    """
    size = (
        len(head.method)
        + len(head.target)
        + sum(
            len(name) + len(content) + _HEADER_SEPARATORS
            for name, content in head.headers
        )
    )
    if size > limit:
        raise MastichatchError(ErrorKind.head_too_large)


def _check_framing(headers: Headers) -> None:
    """Refuse a request whose framing or host is ambiguous.

    With both ``Transfer-Encoding`` and ``Content-Length``, a proxy and this
    node may disagree on where the body ends.
    """
    names = [name for name, _ in headers]
    if b'transfer-encoding' in names and b'content-length' in names:
        raise MastichatchError(ErrorKind.bad_request, 'ambiguous framing')
    if names.count(b'host') != 1:
        raise MastichatchError(ErrorKind.bad_request, 'not one host')


def _declared_length(headers: Headers, limit: int) -> int:
    """Return the length of the body that a head declares, in bytes.

    :raises MastichatchError: if it is over the limit
    """
    length = 0
    for name, content in headers:
        if name == b'content-length':
            length = int(content)
    if length > limit:
        raise MastichatchError(ErrorKind.body_too_large)
    return length


def _host_name(headers: Headers) -> str:
    for name, content in headers:
        if name == b'host':
            host = content.decode('latin-1').strip().lower()
            return host.partition(':')[0]
    return ''


async def read_request_body(
    protocol: h11.Connection,
    reader: asyncio.StreamReader,
    limits: ClientLimits,
    held: HeldBuffer,
) -> bytes:
    """Return the complete body of a request.

    :param protocol: protocol state of the connection, after the head
    :param reader: stream of the request
    :param limits: limits of the body's size and pauses
    :param held: holds the body, of which its length may be held already
    :raises MastichatchError: if the body is too large
    :raises ConnectionResetError: if the body is truncated
    """
    parts: list[bytes] = []
    size = 0
    turns = TurnLimiter()
    while True:
        await turns.step()
        async with asyncio.timeout(limits.idle_timeout_ms / MS_PER_S):
            event = await _next_event(protocol, reader)
        if isinstance(event, h11.EndOfMessage):
            return b''.join(parts)
        if not isinstance(event, h11.Data):
            raise ConnectionResetError('the request body is truncated')
        size += len(event.data)
        if size > limits.body_bytes:
            raise MastichatchError(ErrorKind.body_too_large)
        held.resize(max(size, held.size))
        parts.append(bytes(event.data))


async def _next_event(
    protocol: h11.Connection, reader: asyncio.StreamReader
) -> object:
    while True:
        event = protocol.next_event()
        if event is not h11.NEED_DATA:
            return event
        protocol.receive_data(await reader.read(READ_BYTES))


async def _wait_for_disconnect(
    protocol: h11.Connection, reader: asyncio.StreamReader
) -> None:
    """Return when the caller disconnects, and buffer pipelined requests.

    Once the buffer is full, reading stops, and a disconnect is not noticed.
    """
    buffered = 0
    while buffered < PIPELINE_LIMIT_BYTES:
        try:
            received = await reader.read(READ_BYTES)
        except (OSError, BudgetExceededError):
            return
        if not received:
            return
        protocol.receive_data(received)
        buffered += len(received)
    await asyncio.Event().wait()


async def _cancel_and_wait(*futures: 'asyncio.Future[None]') -> None:
    """Cancel futures, and wait until they have ended."""
    for future in futures:
        future.cancel()
    await asyncio.gather(*futures, return_exceptions=True)


async def _discard(reader: asyncio.StreamReader) -> None:
    """Read to the end of a stream, or up to ``LINGER_LIMIT_BYTES``."""
    discarded = 0
    while discarded < LINGER_LIMIT_BYTES:
        try:
            received = await reader.read(READ_BYTES)
        except BudgetExceededError:
            # The reader discards what arrives from now on.
            await asyncio.sleep(LINGER_S)
            return
        if not received:
            return
        discarded += len(received)


async def _close_gracefully(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Close once the peer has read what was written.

    Closing with unread bytes would send a reset, which may discard a response
    that is still in transit.
    """
    with contextlib.suppress(OSError, TimeoutError):
        writer.write_eof()
        async with asyncio.timeout(LINGER_S):
            await _discard(reader)
    writer.close()
    with contextlib.suppress(OSError):
        await writer.wait_closed()
