"""The HTTP/1.1 interface for callers."""

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from typing import Final

import h11
from absl import logging

from mastichatch_core.errors import ANSWERS, MastichatchError
from mastichatch_core.generated.messages import ErrorKind
from mastichatch_core.relay.model import ClientLimits
from mastichatch_core.units import MS_PER_S
from mastichatch_node.clock import loop_time
from mastichatch_node.relay.exchange import Headers, detect_silence

READ_BYTES: Final = 65536
# Bytes after a request that are kept until it is answered.
PIPELINE_LIMIT_BYTES: Final = 65536
# Connections waiting to be accepted, beyond the usual arrivals of a second.
BACKLOG: Final = 1024
# A draining node closes idle connections only after the balancer and its
# callers had time to notice, so that few requests cross the close.
DRAIN_IDLE_S: Final = 2.0
# Time for the other end to take a last answer; a round trip takes 2 ms.
LINGER_S: Final = 0.5

_HEAD_TOO_LARGE: Final = 431
# A colon, a space and the end of the line.
_HEADER_SEPARATORS: Final = 4
_CALLER_FAULTS: Final = (OSError, h11.ProtocolError, asyncio.CancelledError)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Incoming:
    """A request as it came from a caller.

    :param method: HTTP method
    :param target: path and query
    :param host: host name without a port, in lower case
    :param headers: headers, with lower-case names
    :param body: the whole body
    :param arrived_at: loop time of its first byte, in seconds
    """

    method: bytes
    target: bytes
    host: str
    headers: Headers
    body: bytes
    arrived_at: float

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.split(b'?', 1)[0].decode('latin-1')


class Reply:
    """The answer to one request, whole or in parts."""

    def __init__(
        self,
        protocol: h11.Connection,
        writer: asyncio.StreamWriter,
        is_last: Callable[[], bool],
    ) -> None:
        """Start without an answer.

        :param protocol: state of the connection
        :param writer: the connection
        :param is_last: whether the connection closes after this answer
        """
        self._protocol = protocol
        self._is_last = is_last
        self._writer = writer
        self._status = 0

    @property
    def status(self) -> int:
        """Status of the answer; zero before it starts."""
        return self._status

    async def send(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer.

        :param status: HTTP status
        :param headers: all headers but those of the body's framing
        :param body: the whole body
        """
        framing = (b'Content-Length', str(len(body)).encode())
        self._emit(
            self._head(status, (*headers, framing)),
            h11.Data(data=body),
            h11.EndOfMessage(),
        )
        await self._writer.drain()

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head of an answer whose body follows in parts.

        :param status: HTTP status
        :param headers: all headers but those of the body's framing
        """
        framing = (b'Transfer-Encoding', b'chunked')
        self._emit(self._head(status, (*headers, framing)))
        await self._writer.drain()

    async def write(self, part: bytes) -> None:
        """Send a part of the body.

        :param part: bytes of the body
        """
        self._emit(h11.Data(data=part))
        await self._writer.drain()

    async def finish(self) -> None:
        """End the body."""
        self._emit(h11.EndOfMessage())
        await self._writer.drain()

    def _head(self, status: int, headers: Headers) -> h11.Response:
        self._status = status
        if self._is_last():
            headers = (*headers, (b'Connection', b'close'))
        return h11.Response(status_code=status, headers=list(headers))

    def _emit(self, *events: h11.Event) -> None:
        parts = [self._protocol.send(event) or b'' for event in events]
        self._writer.write(b''.join(parts))


Handler = Callable[[Incoming, Reply], Awaitable[None]]


class Front:
    """Open connections of callers, and what they may send."""

    def __init__(
        self, handler: Handler, limits: Callable[[], ClientLimits]
    ) -> None:
        """Start without connections.

        :param handler: answers requests
        :param limits: returns the limits in force
        """
        self._handler = handler
        self._limits = limits
        self._active = 0
        self._draining_since: float | None = None
        self._connections: set[asyncio.Task[None]] = set()

    @property
    def active(self) -> int:
        """Requests in progress."""
        return self._active

    @property
    def is_draining(self) -> bool:
        """Whether a planned stop has begun."""
        return self._draining_since is not None

    def set_draining(self) -> None:
        """Close connections after their next answer, or once they are idle."""
        self._draining_since = loop_time()

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection until it ends.

        :param reader: what the caller sends
        :param writer: what it is answered
        """
        task = asyncio.current_task()
        if task is not None:
            self._connections.add(task)
            task.add_done_callback(self._connections.discard)
        detect_silence(writer)
        try:
            await self._serve(reader, writer)
        except _CALLER_FAULTS:
            # The caller is gone, or broke the protocol and has its answer.
            writer.transport.abort()
        except Exception:
            logging.exception('a connection of a caller failed')
            writer.transport.abort()

    def close(self) -> None:
        """End all connections."""
        for task in self._connections:
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        protocol = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=self._limits().header_bytes,
        )
        while await self._serve_one(protocol, reader, writer):
            protocol.start_next_cycle()
        await _close(reader, writer)

    async def _serve_one(
        self,
        protocol: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Serve one request, and return whether another may follow."""
        reply = Reply(protocol, writer, lambda: self.is_draining)
        try:
            request = await self._read_request(protocol, reader, writer)
        except h11.RemoteProtocolError as error:
            await _refuse(protocol, reply, _protocol_fault(error))
            return False
        except MastichatchError as error:
            await _refuse(protocol, reply, error)
            return False
        if request is None:
            return False
        await self._answer(protocol, reader, request, reply)
        states = (protocol.our_state, protocol.their_state)
        return states == (h11.DONE, h11.DONE) and not self.is_draining

    async def _answer(
        self,
        protocol: h11.Connection,
        reader: asyncio.StreamReader,
        request: Incoming,
        reply: Reply,
    ) -> None:
        """Run the handler, and cancel it when the caller leaves."""
        work = asyncio.ensure_future(self._handler(request, reply))
        watch = asyncio.ensure_future(_wait_until_gone(protocol, reader))
        with self._counted():
            try:
                await asyncio.wait(
                    (work, watch), return_when=asyncio.FIRST_COMPLETED
                )
            finally:
                caller_left = not work.done()
                await _cancel(watch, work)
        if caller_left:
            raise ConnectionResetError('the caller left')
        work.result()

    @contextlib.contextmanager
    def _counted(self) -> Iterator[None]:
        self._active += 1
        try:
            yield
        finally:
            self._active -= 1

    async def _read_request(
        self,
        protocol: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> Incoming | None:
        """Return the next request; ``None`` where the connection ends."""
        limits = self._limits()
        if not await self._wait_for_bytes(protocol, reader):
            return None
        arrived_at = loop_time()
        try:
            async with asyncio.timeout(limits.header_timeout_ms / MS_PER_S):
                head = await _next_event(protocol, reader)
        except TimeoutError:
            raise MastichatchError(ErrorKind.head_timeout) from None
        if not isinstance(head, h11.Request):
            return None
        headers = tuple(head.headers)
        _check_size(head, limits.header_bytes)
        _check_framing(headers)
        if protocol.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            writer.write(protocol.send(go_on) or b'')
        return Incoming(
            method=head.method,
            target=head.target,
            host=_host(headers),
            headers=headers,
            body=await _read_body(protocol, reader, limits),
            arrived_at=arrived_at,
        )

    async def _wait_for_bytes(
        self, protocol: h11.Connection, reader: asyncio.StreamReader
    ) -> bool:
        """Wait for the start of a request; false where none comes."""
        waiting_since = loop_time()
        if protocol.trailing_data[0]:
            return True
        while True:
            timeout = self._idle_left(waiting_since)
            if timeout <= 0:
                return False
            with contextlib.suppress(TimeoutError):
                # A drain may begin meanwhile, so that the wait has steps.
                async with asyncio.timeout(min(timeout, 1.0)):
                    received = await reader.read(READ_BYTES)
                protocol.receive_data(received)
                return bool(received)

    def _idle_left(self, waiting_since: float) -> float:
        idle_s = self._limits().idle_timeout_ms / MS_PER_S
        ends_at = waiting_since + idle_s
        if self._draining_since is not None:
            drained = max(waiting_since, self._draining_since) + DRAIN_IDLE_S
            ends_at = min(ends_at, drained)
        return ends_at - loop_time()


@contextlib.asynccontextmanager
async def open_front(front: Front, address: str) -> AsyncIterator[None]:
    """Accept connections until the end of the block.

    :param front: serves them
    :param address: IP address and port
    """
    host, _, port = address.rpartition(':')
    server = await asyncio.start_server(
        front.accept, host, int(port), backlog=BACKLOG, reuse_address=True
    )
    try:
        yield
    finally:
        server.close()
        front.close()


def error_headers(
    error: MastichatchError, retry_after_s: float | None
) -> Headers:
    """Return the headers of a refusal or failure.

    :param error: what happened
    :param retry_after_s: when to come back, in seconds; ``None`` where the
        kind's own time holds
    """
    named = ANSWERS[error.kind].retry_after_ms
    if retry_after_s is None and named is not None:
        retry_after_s = named / MS_PER_S
    headers: Headers = ((b'Content-Type', b'application/json'),)
    if retry_after_s is not None:
        text = f'{retry_after_s:.3f}'.encode()
        headers = (*headers, (b'Retry-After', text))
    return headers


async def _refuse(
    protocol: h11.Connection, reply: Reply, error: MastichatchError
) -> None:
    """Answer a request that was not read, and close its connection."""
    if protocol.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
        return
    headers = (*error_headers(error, None), (b'Connection', b'close'))
    body = f'{{"kind":"{error.kind}"}}'.encode()
    await reply.send(error.status, headers, body)


def _protocol_fault(error: h11.RemoteProtocolError) -> MastichatchError:
    if error.error_status_hint == _HEAD_TOO_LARGE:
        return MastichatchError(ErrorKind.head_too_large)
    return MastichatchError(ErrorKind.bad_request, str(error))


def _check_size(head: h11.Request, limit: int) -> None:
    """Refuse a head that came whole, in one piece, and is too large."""
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
    """Refuse a body whose end two readers may see at different places."""
    names = [name for name, _ in headers]
    if b'transfer-encoding' in names and b'content-length' in names:
        raise MastichatchError(ErrorKind.bad_request, 'ambiguous framing')
    if names.count(b'host') != 1:
        raise MastichatchError(ErrorKind.bad_request, 'not one host')


def _host(headers: Headers) -> str:
    for name, content in headers:
        if name == b'host':
            host = content.decode('latin-1').strip().lower()
            return host.partition(':')[0]
    return ''


async def _read_body(
    protocol: h11.Connection,
    reader: asyncio.StreamReader,
    limits: ClientLimits,
) -> bytes:
    parts: list[bytes] = []
    size = 0
    while True:
        async with asyncio.timeout(limits.idle_timeout_ms / MS_PER_S):
            event = await _next_event(protocol, reader)
        if isinstance(event, h11.EndOfMessage):
            return b''.join(parts)
        if not isinstance(event, h11.Data):
            raise ConnectionResetError('the body was cut off')
        size += len(event.data)
        if size > limits.body_bytes:
            raise MastichatchError(ErrorKind.body_too_large)
        parts.append(bytes(event.data))


async def _next_event(
    protocol: h11.Connection, reader: asyncio.StreamReader
) -> object:
    while True:
        event = protocol.next_event()
        if event is not h11.NEED_DATA:
            return event
        protocol.receive_data(await reader.read(READ_BYTES))


async def _wait_until_gone(
    protocol: h11.Connection, reader: asyncio.StreamReader
) -> None:
    """Return when the caller closes; keep what it sends for later."""
    kept = 0
    while kept < PIPELINE_LIMIT_BYTES:
        try:
            received = await reader.read(READ_BYTES)
        except OSError:
            return
        if not received:
            return
        protocol.receive_data(received)
        kept += len(received)
    await asyncio.Event().wait()


async def _cancel(*futures: 'asyncio.Future[None]') -> None:
    """Cancel what is not done, and wait for its end."""
    for future in futures:
        future.cancel()
    await asyncio.gather(*futures, return_exceptions=True)


async def _close(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Close once the other end has taken what was written.

    Bytes left unread would turn the close into a reset, which may destroy an
    answer that is still on its way.
    """
    with contextlib.suppress(OSError, TimeoutError):
        writer.write_eof()
        async with asyncio.timeout(LINGER_S):
            await reader.read(-1)
    writer.close()
    with contextlib.suppress(OSError):
        await writer.wait_closed()
