"""HTTP/1.1 client for endpoints and the platform's store.

This module does not retry requests. An error tells whether any byte of the
request may have been sent, so that the caller can decide on a retry.
"""

import asyncio
import contextlib
import dataclasses
import errno
import math
import socket
import struct
import weakref
from collections.abc import (
    AsyncIterator,
    Callable,
    Iterable,
    Iterator,
    Mapping,
    Sequence,
)
from typing import Final, Protocol, SupportsIndex

import h11

from mastichatch_core.relay.byte_budget import (
    BudgetExceededError,
    ByteBudget,
    HeldBuffer,
    Purpose,
)
from mastichatch_core.relay.process_signs import OpenConnection, ProcessSigns
from mastichatch_core.relay.sent_requests import Belonging, SentRequests
from mastichatch_core.statuses import is_status_defined
from mastichatch_core.units import MS_PER_S
from mastichatch_node.clock import loop_time, patient_timeout
from mastichatch_node.relay.resources import Resources
from mastichatch_node.relay.turns import TurnLimiter, piece_cost_bytes

READ_BYTES: Final = 65536
# Reading pauses while twice as many bytes are unread.
UNREAD_LIMIT_BYTES: Final = 32768
# Largest response head that is accepted, which is the default of h11. Endpoints
# send smaller ones.
MAX_HEAD_BYTES: Final = 65536
# Most copies of earlier answers that are read before the one that is due, and
# the most bytes of them.
MAX_STALE_ANSWERS: Final = 16
MAX_STALE_BYTES: Final = 65536
# Most idle connections to an address that are kept though none of them can
# carry the request that is sent.
MAX_UNSUITED: Final = 16
# Most interim responses (status 1xx) that are skipped before an answer.
MAX_INTERIM_RESPONSES: Final = 16
# The kernel closes a connection after about this time with unacknowledged data
# or unanswered keepalive probes. Until then, lost packets are retransmitted.
SILENCE_TIMEOUT_MS: Final = 3000
KEEPALIVE_INTERVAL_S: Final = 1
# A connection whose time limit ends this much late is no sign of its peer.
MAX_TIMER_LAG_S: Final = 0.1
# Time limit of a connection that shows whether a process still exists.
PROBE_TIMEOUT_S: Final = 0.25
# Time within which other connections to a process that refuses new ones end, or
# deliver bytes.
PROBE_SIGN_S: Final = 0.25
PROBE_SIGN_INTERVAL_S: Final = 0.01

Headers = tuple[tuple[bytes, bytes], ...]

# Reason of exchanges that end since the process holds too many bytes.
NO_ROOM: Final = 'no room for more bytes of the answer'
# Reason of exchanges whose answer may have been cut off.
UNPROVEN_END: Final = (
    'an answer without a length ended, and the host refuses connections since'
)

_NETWORK_ERRORS: Final = frozenset(
    (errno.EHOSTUNREACH, errno.ENETUNREACH, errno.EHOSTDOWN, errno.ENETDOWN)
)
_FRAMING_HEADERS: Final = (b'content-length', b'transfer-encoding')
_BODILESS_STATUSES: Final = frozenset((204, 304))


class ExchangeError(Exception):
    """A request ended without a complete response.

    :param reason: description of the failure
    :param was_sent: whether any byte of the request may have been sent
    :param is_connection_refused: whether the host refused the connection
    :param is_closed_by_peer: whether the peer closed or reset the connection,
        as opposed to silence or a malformed response
    :param is_malformed: whether the peer sent bytes that are no answer to the
        request
    """

    def __init__(
        self,
        reason: str,
        *,
        was_sent: bool,
        is_connection_refused: bool = False,
        is_closed_by_peer: bool = False,
        is_malformed: bool = False,
    ) -> None:
        """Store the reason, and what is known of the request."""
        super().__init__(reason)
        self.was_sent = was_sent
        self.is_connection_refused = is_connection_refused
        self.is_closed_by_peer = is_closed_by_peer
        self.is_malformed = is_malformed


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OutgoingRequest:
    """A request to an endpoint.

    :param method: HTTP method
    :param target: path and query
    :param headers: all headers except ``Content-Length``
    :param body: complete body
    :param request_id: id that the answer repeats; empty if it repeats none
    :param is_repeatable: whether it does not matter to which of several sends
        an answer belongs
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b''
    request_id: str = ''
    is_repeatable: bool = False

    @property
    def content(self) -> bytes:
        """What equal requests without an id share; empty if nothing does."""
        if not self.is_repeatable:
            return b''
        return b'\0'.join((self.method, self.target, self.body))


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ResponseHead:
    """Status and headers of a response.

    :param status: HTTP status
    :param headers: headers, with lower-case names
    :param sent_at: loop time at which its request was sent, in seconds
    :param connection: the connection on which it came
    """

    status: int
    headers: Headers
    sent_at: float = 0
    connection: OpenConnection | None = None

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or ``None`` without one.

        :param name: header name in lower case
        """
        for found, content in self.headers:
            if found == name:
                return content
        return None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AnswerMatching:
    """What tells to which request of its connection an answer belongs.

    :param read_id: returns the id of the request that an answer names, or
        ``None`` if it names none
    :param on_stale: called with the address and the head of an answer to an
        earlier request
    """

    read_id: Callable[[ResponseHead], str | None]
    on_stale: Callable[[str, ResponseHead], None]


# The field ``tcpi_rtt`` of ``struct tcp_info``, in microseconds.
_ROUND_TRIP: Final = struct.Struct('=68xI')
US_PER_S: Final = 1_000_000

HeadObserver = Callable[[str, ResponseHead], None]
ConnectObserver = Callable[[str, float], None]


class OutcomeObserver(Protocol):
    """Follows whether connections are established."""

    def __call__(self, address: str, *, is_established: bool) -> None:
        """Record the outcome of a new connection.

        :param address: IP address and port
        :param is_established: whether the peer has accepted it
        """


def _ignore(*_: object) -> None:
    """Do nothing."""


_ANSWERS_IN_ORDER: Final = AnswerMatching(
    read_id=lambda head: None, on_stale=_ignore
)


class CountingReader(asyncio.StreamReader):
    """A stream that tells whether bytes arrived that were not read."""

    def __init__(self, budget: ByteBudget, owner: str) -> None:
        """Start without bytes.

        :param budget: holds the bytes that were not read
        :param owner: address of the peer
        """
        super().__init__(limit=UNREAD_LIMIT_BYTES)
        self._held = budget.open(Purpose.unread, owner, self.cut)
        self._unread = 0
        self._has_ended = False
        self._received_at = loop_time()
        self._source: asyncio.BaseTransport | None = None
        self._on_bytes: Callable[[], None] = _ignore
        self._on_end: Callable[[], None] = _ignore

    def observe(
        self, on_bytes: Callable[[], None], on_end: Callable[[], None]
    ) -> None:
        """Call functions when bytes arrive, and at the end.

        :param on_bytes: called when bytes have arrived
        :param on_end: called once, when the connection has ended; at once if
            it has
        """
        self._on_bytes = on_bytes
        self._on_end = on_end
        if self._has_ended:
            self._report_end()

    @property
    def received_at(self) -> float:
        """Loop time of the last bytes, in seconds."""
        return self._received_at

    @property
    def has_unread(self) -> bool:
        """Whether bytes have arrived that were not read."""
        return self._unread > 0

    def feed_data(self, data: Iterable[SupportsIndex]) -> None:
        """Add bytes that arrived.

        :param data: the bytes
        """
        received = bytes(data)
        try:
            self._held.grow(len(received))
        except BudgetExceededError:
            return
        self._unread += len(received)
        self._received_at = loop_time()
        self._on_bytes()
        super().feed_data(received)

    def cut(self) -> None:
        """Fail reads, and discard what arrives: there is no room for it."""
        self.set_exception(BudgetExceededError())
        if isinstance(self._source, asyncio.ReadTransport):
            self._source.resume_reading()

    def feed_eof(self) -> None:
        """End the stream."""
        self._report_end()
        super().feed_eof()

    def set_exception(self, exc: Exception) -> None:
        """End the stream with an error.

        :param exc: the error
        """
        self._report_end()
        super().set_exception(exc)

    def set_transport(self, transport: asyncio.BaseTransport) -> None:
        """Set the transport, which is paused while too much is unread.

        :param transport: transport of the connection
        """
        super().set_transport(transport)
        self._source = transport
        # Otherwise a single read may add 256 KB.
        transport.max_size = READ_BYTES  # type: ignore[attr-defined]

    @property
    def owner(self) -> str:
        """Who sends the bytes."""
        return self._held.owner

    def is_reading(self) -> bool:
        """Return whether bytes and the end of the connection are noticed."""
        source = self._source
        return isinstance(source, asyncio.ReadTransport) and source.is_reading()

    async def read(self, n: int = -1) -> bytes:  # noqa: WPS111 - inherited
        """Return the next bytes, or none at the end of the stream.

        :param n: largest number of bytes to return
        """
        received = await super().read(n)
        self._unread -= len(received)
        self._held.shrink(len(received))
        if self._has_ended and not self._unread:
            self._held.close()
        return received

    def _report_end(self) -> None:
        self._has_ended = True
        if not self._unread:
            self._held.close()
        on_end = self._on_end
        self._on_end = _ignore
        on_end()

    def release(self) -> None:
        """Return the bytes that nobody will read to the budget."""
        self._held.close()


class PeerSilence:
    """Since when a peer sends nothing though its answer is due."""

    def __init__(self, reader: CountingReader) -> None:
        """Start while no answer is due.

        :param reader: bytes of the peer
        """
        self._reader = reader
        self._sent_at: float | None = None

    @property
    def last_byte_at(self) -> float:
        """Loop time of the last bytes of the peer, in seconds."""
        return self._reader.received_at

    @property
    def since(self) -> float | None:
        """Loop time since which it is silent, in seconds.

        It is ``None`` while nothing is due, or bytes were not read.
        """
        if self._sent_at is None or self._reader.has_unread:
            return None
        return max(self._sent_at, self._reader.received_at)

    def begin(self, now: float) -> None:
        """Record that a request is sent.

        :param now: loop time, in seconds
        """
        self._sent_at = now

    def end(self) -> None:
        """Record that no answer is due any more."""
        self._sent_at = None


class Connection:
    """A client connection, which carries one request at a time."""

    def __init__(
        self,
        address: str,
        reader: CountingReader,
        writer: asyncio.StreamWriter,
        resources: Resources,
        opened: OpenConnection | None = None,
    ) -> None:
        """Wrap open streams; use ``connect`` to open a connection."""
        self._address = address
        self._opened = opened
        self._resources = resources
        self._reader = reader
        self._writer = writer
        self._protocol = _create_protocol()
        self._request: OutgoingRequest | None = None
        self._used_at = loop_time()
        self._sent_at = self._used_at
        self._turns = TurnLimiter()
        self._may_have_sent = False
        self._responses = 0
        self._is_unframed = False
        self._is_closed = False
        self._is_closed_by_peer = False
        self._observers: list[HeadObserver] = []
        self._matching = _ANSWERS_IN_ORDER
        self.sent = SentRequests()
        self.silence = PeerSilence(reader)
        self.round_trip_s = measure_round_trip_s(writer)

    @property
    def address(self) -> str:
        """IP address and port of the peer."""
        return self._address

    @property
    def used_at(self) -> float:
        """Loop time of the last response or the connect, in seconds."""
        return self._used_at

    @property
    def is_new(self) -> bool:
        """Whether no response was received before the current one."""
        return self._responses == 0

    @property
    def is_unframed(self) -> bool:
        """Whether only the end of the connection ends the current response."""
        return self._is_unframed

    def observe_heads(
        self,
        observers: Iterable[HeadObserver],
        matching: AnswerMatching | None = None,
    ) -> None:
        """Call functions with the address and the head of each response.

        :param observers: the functions
        :param matching: what tells to which request a response belongs;
            ``None`` if only the order of the responses does
        """
        self._observers.extend(observers)
        self._matching = matching or _ANSWERS_IN_ORDER

    def set_silence_timeout(self, timeout_ms: int) -> None:
        """Set how long the connection stays open while its peer is silent.

        :param timeout_ms: longest silence of the peer, in milliseconds
        """
        configure_keepalive(self._writer, timeout_ms)

    @property
    def is_idle(self) -> bool:
        """Whether the connection can carry another request."""
        states = (self._protocol.our_state, self._protocol.their_state)
        if self._reader.at_eof() or self._writer.is_closing():
            return False
        if self.sent.is_full:
            return False
        # Bytes between two requests belong to neither of them.
        if self._reader.has_unread:
            return False
        return states == (h11.IDLE, h11.IDLE)

    async def send(self, request: OutgoingRequest) -> None:
        """Send a request.

        :param request: the request
        :raises ExchangeError: if the request could not be written completely
        """
        self._may_have_sent = False
        self.sent.record(request.request_id, request.content)
        try:
            encoded = _encode(self._protocol, request)
        except h11.LocalProtocolError as error:
            raise ExchangeError(str(error), was_sent=False) from error
        self._request = request
        self._sent_at = loop_time()
        self._may_have_sent = True
        self.silence.begin(self._sent_at)
        try:
            await write_in_pieces(self._writer, encoded)
        except OSError as error:
            self._record_failure(error)
            raise self._close_with_error(str(error)) from error

    async def read_head(self) -> ResponseHead:
        """Return the head of the response.

        Late copies of earlier responses are discarded.

        :raises ExchangeError: if no response arrives
        """
        for _ in range(MAX_STALE_ANSWERS + 1):
            head = await self._read_next_head()
            belonging = self.sent.assign(self._matching.read_id(head))
            if belonging is Belonging.stale:
                await self._discard_response(head)
                continue
            if belonging is Belonging.due:
                for observe in self._observers:
                    observe(self._address, head)
            return head
        raise self._close_with_error(
            'too many answers to earlier requests', is_malformed=True
        )

    async def read_part(self) -> bytes | None:
        """Return the next part of the body, or ``None`` after its end.

        :raises ExchangeError: if the body is truncated
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            # An answer without framing may have been ended by a crash: both
            # close the connection in the same way. Where nothing shows whether
            # the process lives, it may have crashed.
            if self._is_unframed:
                has_ended = await probe_process(self._address, self._resources)
                if has_ended is not False:
                    raise self._close_with_error(UNPROVEN_END)
            self._used_at = loop_time()
            self._responses += 1
            # Bytes after the response cannot belong to any request.
            if not _start_next_cycle(self._protocol):
                self.close()
            self._request = None
            self.silence.end()
            return None
        raise self._close_with_error('the answer was cut off')

    async def read_body(self, limit: int, purpose: Purpose) -> bytes:
        """Return the complete body.

        :param limit: largest accepted size, in bytes; small parts count as
            larger ones
        :param purpose: what it is held for
        :raises ExchangeError: if the body is truncated or larger, or there is
            no room for it
        """
        with self.hold(purpose) as held:
            body, is_complete = await read_beginning(self, limit, held)
            if not is_complete:
                raise self._close_with_error(
                    'the answer is larger than allowed'
                )
            return body

    def hold(
        self, purpose: Purpose
    ) -> contextlib.AbstractContextManager[HeldBuffer]:
        """Provide a buffer for bytes of this connection.

        :param purpose: what the bytes are held for
        """
        return self._resources.budget.hold(
            purpose, self._address, self._reader.cut
        )

    def close(self) -> None:
        """Abort the connection, which cancels a request in progress."""
        self._is_closed = True
        self.silence.end()
        self._writer.transport.abort()
        self._reader.release()

    async def _read_next_head(self) -> ResponseHead:
        for _ in range(MAX_INTERIM_RESPONSES + 1):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                if not is_status_defined(event.status_code):
                    raise self._close_with_error(
                        f'undefined status {event.status_code}',
                        is_malformed=True,
                    )
                head = ResponseHead(
                    status=event.status_code,
                    headers=tuple(event.headers),
                    sent_at=self._sent_at,
                    connection=self._opened,
                )
                self._is_unframed = not any(map(head.get, _FRAMING_HEADERS))
                return head
            if not isinstance(event, h11.InformationalResponse):
                raise self._close_with_error(
                    'the connection ended before an answer'
                )
        raise self._close_with_error('too many interim responses')

    async def _discard_response(self, head: ResponseHead) -> None:
        """Skip a response to an earlier request, and await the next one."""
        self._matching.on_stale(self._address, head)
        if self._is_unframed and head.status not in _BODILESS_STATUSES:
            # An answer that is due would be read as part of the body.
            raise self._close_with_error(
                'an answer to an earlier request has no length',
                is_malformed=True,
            )
        size = 0
        while size <= MAX_STALE_BYTES:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                break
            size += piece_cost_bytes(getattr(event, 'data', b''))
        is_kept = self._protocol.their_state is h11.DONE
        if self._request is None or not is_kept:
            raise self._close_with_error(
                'the connection ended after an answer to an earlier request'
            )
        following, _ = self._protocol.trailing_data
        self._protocol = _create_protocol()
        # The request is on its way: only the state is needed here.
        _encode(self._protocol, self._request)
        # Without bytes, h11 would take the connection for ended.
        if following:
            self._protocol.receive_data(following)

    async def _next_event(self) -> object:
        while True:
            try:
                event = self._protocol.next_event()
            except h11.RemoteProtocolError as error:
                raise self._close_with_error(
                    f'malformed answer: {error}', is_malformed=True
                ) from error
            if event is not h11.NEED_DATA:
                await self._turns.step()
                return event
            self._protocol.receive_data(await self._read())

    async def _read(self) -> bytes:
        try:
            received = await self._reader.read(READ_BYTES)
        except OSError as error:
            self._record_failure(error)
            raise self._close_with_error(str(error)) from error
        except BudgetExceededError as error:
            raise self._close_with_error(NO_ROOM) from error
        if self._is_closed:
            # This end of the stream is no end of the response.
            raise self._close_with_error('this node closed the connection')
        self._is_closed_by_peer |= not received
        return received

    def _record_failure(self, error: OSError) -> None:
        # A silent peer ends in ``ETIMEDOUT``, which is not a reset.
        is_reset = isinstance(error, ConnectionError)
        self._is_closed_by_peer |= is_reset and not self._is_closed

    def _close_with_error(
        self, reason: str, *, is_malformed: bool = False
    ) -> ExchangeError:
        self.close()
        return ExchangeError(
            reason,
            was_sent=self._may_have_sent,
            is_closed_by_peer=self._is_closed_by_peer,
            is_malformed=is_malformed,
        )


def _create_protocol() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)


def _encode(
    protocol: h11.Connection, request: OutgoingRequest
) -> tuple[bytes, ...]:
    """Return the bytes of a request, whose response the protocol then awaits.

    :raises h11.LocalProtocolError: if a header is malformed
    """
    framing = (b'Content-Length', str(len(request.body)).encode())
    events = (
        h11.Request(
            method=request.method,
            target=request.target,
            headers=[*request.headers, framing],
        ),
        h11.Data(data=request.body),
        h11.EndOfMessage(),
    )
    return tuple(protocol.send(event) or b'' for event in events)


def _start_next_cycle(protocol: h11.Connection) -> bool:
    """Prepare a protocol for the next request, unless it can carry none."""
    following, _ = protocol.trailing_data
    completed = (h11.DONE, h11.DONE)
    if following or (protocol.our_state, protocol.their_state) != completed:
        return False
    protocol.start_next_cycle()
    return True


async def connect(
    address: str, timeout_s: float, resources: Resources
) -> Connection:
    """Open a connection.

    :param address: IP address and port
    :param timeout_s: longest time to connect, in seconds
    :param resources: what all connections share
    :raises ExchangeError: if the connection is not established in time
    """
    host, _, port = address.rpartition(':')
    signs = resources.signs
    reader = CountingReader(resources.budget, address)
    try:
        async with patient_timeout(timeout_s):
            writer = await _open_stream(reader, host, int(port))
    except Exception as error:
        # The address comes from another process, and errors of other kinds
        # than ``OSError`` are possible, such as for a port out of range.
        reader.release()
        reason = f'no connection to {address}: {error!r}'
        is_refused = isinstance(error, ConnectionRefusedError)
        if is_refused:
            signs.record_refusal(address, loop_time())
        raise ExchangeError(
            reason, was_sent=False, is_connection_refused=is_refused
        ) from error
    opened = OpenConnection(address, reader.is_reading)
    signs.record_connect(opened)
    reader.observe(
        lambda: signs.record_bytes(address, loop_time()),
        lambda: signs.record_end(opened),
    )
    configure_keepalive(writer)
    return Connection(address, reader, writer, resources, opened)


async def read_beginning(
    connection: Connection, limit: int, held: HeldBuffer
) -> tuple[bytes, bool]:
    """Return the body of a response up to a size, and whether it is complete.

    :param connection: connection, after the head of the response
    :param limit: size from which on no more is read, in bytes; small parts
        count as larger ones
    :param held: holds the body
    :raises ExchangeError: if the body is truncated, or there is no room
    """
    parts: list[bytes] = []
    size = 0
    while size <= limit:
        part = await connection.read_part()
        if part is None:
            return b''.join(parts), True
        size += piece_cost_bytes(part)
        hold_part(connection, held, part)
        parts.append(part)
    return b''.join(parts), False


def hold_part(connection: Connection, held: HeldBuffer, part: bytes) -> None:
    """Hold a part of the body of a response.

    :param connection: connection of the response, which is closed on failure
    :param held: holds the bytes
    :param part: the part
    :raises ExchangeError: if there is no room for it
    """
    try:
        held.grow(piece_cost_bytes(part))
    except BudgetExceededError as error:
        connection.close()
        raise ExchangeError(NO_ROOM, was_sent=True) from error


async def write_in_pieces(
    writer: asyncio.StreamWriter, parts: Sequence[bytes]
) -> None:
    """Write bytes as the peer reads them, so that few are buffered.

    A short message is written at once.

    :param writer: stream of the peer
    :param parts: the bytes
    """
    if sum(map(len, parts)) < READ_BYTES:
        parts = (b''.join(parts),)
    for part in parts:
        view = memoryview(part)
        for start in range(0, len(part), READ_BYTES):
            writer.write(view[start : start + READ_BYTES])
            await writer.drain()


async def _open_stream(
    reader: CountingReader, host: str, port: int
) -> asyncio.StreamWriter:
    loop = asyncio.get_running_loop()
    transport, protocol = await loop.create_connection(
        lambda: asyncio.StreamReaderProtocol(reader), host, port
    )
    return asyncio.StreamWriter(transport, protocol, reader, loop)


async def probe_process(address: str, resources: Resources) -> bool | None:
    """Return whether a process that has closed a connection has ended.

    A process that ends closes all of its connections at once. One that stops in
    order refuses connections and serves the open ones.

    :param address: IP address and port
    :param resources: tell what the connections show of the process
    :returns: ``None`` if it refuses connections, and neither shows
    """
    signs = resources.signs
    try:
        connection = await connect(address, PROBE_TIMEOUT_S, resources)
    except ExchangeError as error:
        if not error.is_connection_refused:
            return False
    else:
        connection.close()
        return False
    await _wait_for_sign(address, signs)
    if signs.is_serving(address):
        return False
    return signs.has_ended(address) or None


async def _wait_for_sign(address: str, signs: ProcessSigns) -> None:
    """Wait until something shows whether a process lives, for a short time."""
    ends_at = loop_time() + PROBE_SIGN_S
    while loop_time() < ends_at:
        if signs.has_ended(address) or signs.is_serving(address):
            return
        await asyncio.sleep(PROBE_SIGN_INTERVAL_S)


def measure_round_trip_s(writer: asyncio.StreamWriter) -> float | None:
    """Return the round trip that the kernel measured, in seconds.

    Unlike the time of a connect, it does not include delays of this process.

    :param writer: stream of an open connection
    :returns: ``None`` if the kernel does not tell
    """
    peer_socket = writer.get_extra_info('socket')
    if peer_socket is None:
        return None
    try:
        measured = peer_socket.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _ROUND_TRIP.size
        )
    except OSError:
        return None
    if len(measured) < _ROUND_TRIP.size:
        return None
    return float(_ROUND_TRIP.unpack(measured)[0]) / US_PER_S


def configure_keepalive(
    writer: asyncio.StreamWriter, timeout_ms: int = SILENCE_TIMEOUT_MS
) -> None:
    """Let the kernel close a connection whose peer does not respond.

    :param writer: stream of an open connection
    :param timeout_ms: longest silence, in milliseconds
    """
    peer_socket = writer.get_extra_info('socket')
    if peer_socket is None:
        return
    options = (
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (
            socket.IPPROTO_TCP,
            socket.TCP_KEEPCNT,
            _keepalive_probe_count(timeout_ms),
        ),
    )
    for level, name, setting in options:
        with contextlib.suppress(OSError):
            peer_socket.setsockopt(level, name, setting)


def _keepalive_probe_count(timeout_ms: int) -> int:
    """Return how many unanswered keepalive probes close a connection."""
    return max(1, timeout_ms // (KEEPALIVE_INTERVAL_S * MS_PER_S) - 1)


def _is_due_to_network(error: BaseException | None) -> bool:
    """Return whether a connection failed at the peer, or on the way there.

    A malformed address, or a process out of descriptors, shows nothing of it.
    """
    if isinstance(error, (TimeoutError, ConnectionError)):
        return True
    return isinstance(error, OSError) and error.errno in _NETWORK_ERRORS


class ConnectionPool:
    """Pool of idle connections, by address."""

    def __init__(self, connect_timeout_s: float, resources: Resources) -> None:
        """Start empty.

        :param connect_timeout_s: longest time to connect, in seconds
        :param resources: what all connections share
        """
        self._connect_timeout_s = connect_timeout_s
        self._idle: dict[str, list[Connection]] = {}
        self._resources = resources
        self._opened = 0
        self._observers: list[HeadObserver] = []
        self._connect_observers: list[ConnectObserver] = []
        self._outcome_observers: list[OutcomeObserver] = []
        self._taken: weakref.WeakSet[Connection] = weakref.WeakSet()
        self._matching: AnswerMatching | None = None

    @property
    def signs(self) -> ProcessSigns:
        """What the connections show of the processes behind them."""
        return self._resources.signs

    @property
    def budget(self) -> ByteBudget:
        """The bytes that are held for peers."""
        return self._resources.budget

    @property
    def opened(self) -> int:
        """Number of connections opened so far."""
        return self._opened

    def observe_heads(self, observer: HeadObserver) -> None:
        """Call a function with the address and the head of each response.

        :param observer: the function, for connections that are opened from now
        """
        self._observers.append(observer)

    def match_answers(self, matching: AnswerMatching) -> None:
        """Tell answers to earlier requests from those that are due.

        :param matching: what tells them apart, on connections that are opened
            from now
        """
        self._matching = matching

    def observe_connects(self, observer: ConnectObserver) -> None:
        """Call a function with the address and round trip of new connections.

        :param observer: the function; the round trip is in seconds
        """
        self._connect_observers.append(observer)

    def observe_outcomes(self, observer: OutcomeObserver) -> None:
        """Call a function with the outcome of each new connection.

        :param observer: the function
        """
        self._outcome_observers.append(observer)

    async def take(
        self,
        address: str,
        idle_limit_s: float,
        request: OutgoingRequest | None = None,
    ) -> Connection:
        """Return an idle connection, or open a new one.

        :param address: IP address and port
        :param idle_limit_s: longest time that the connection may have been
            idle, in seconds; zero always opens a new one
        :param request: the request to send; if it is given, a late copy of an
            earlier answer on the connection is no answer to it
        :raises ExchangeError: if no connection can be established
        """
        found = self._take_idle(address, idle_limit_s, request)
        if found is not None:
            self._taken.add(found)
            return found
        self._opened += 1
        connection = await self._connect(address)
        self._taken.add(connection)
        round_trip_s = connection.round_trip_s
        if round_trip_s is not None:
            for observe_connect in self._connect_observers:
                observe_connect(address, round_trip_s)
        connection.observe_heads(self._observers, self._matching)
        return connection

    def waiting(self) -> tuple[Mapping[str, float], float]:
        """Return since when answers of peers are due.

        :returns: the time by address, and the time of the last bytes of any
            peer, as loop times in seconds
        """
        since: dict[str, float] = {}
        last_byte_at = -math.inf
        for connection in tuple(self._taken):
            last_byte_at = max(last_byte_at, connection.silence.last_byte_at)
            silent_since = connection.silence.since
            if silent_since is not None:
                since[connection.address] = silent_since
        return since, last_byte_at

    async def _connect(self, address: str) -> Connection:
        """Open a connection, and tell the observers of the outcome."""
        ends_at = loop_time() + self._connect_timeout_s
        try:
            connection = await connect(
                address, self._connect_timeout_s, self._resources
            )
        except ExchangeError as error:
            # A late timer shows only that this process was held up.
            is_late = loop_time() - ends_at >= MAX_TIMER_LAG_S
            if not is_late and _is_due_to_network(error.__cause__):
                self._notify_outcome(address, is_established=False)
            raise
        self._notify_outcome(address, is_established=True)
        return connection

    def _notify_outcome(self, address: str, *, is_established: bool) -> None:
        for observe in self._outcome_observers:
            observe(address, is_established=is_established)

    def release(self, connection: Connection) -> None:
        """Keep a connection for reuse, or close it if it is not idle.

        :param connection: connection that ``take`` returned
        """
        self._taken.discard(connection)
        if connection.is_idle:
            self._idle.setdefault(connection.address, []).append(connection)
        else:
            connection.close()

    def _take_idle(
        self, address: str, idle_limit_s: float, request: OutgoingRequest | None
    ) -> Connection | None:
        """Return an idle connection that can carry a request, if there is one.

        Those that have been idle for too long are closed, and so are all but a
        few of those that cannot carry it if there is none.
        """
        used_after = loop_time() - idle_limit_s
        idle = self._idle.pop(address, [])
        unsuited: list[Connection] = []
        found: Connection | None = None
        while idle and found is None:
            connection = idle.pop()
            if not connection.is_idle or connection.used_at <= used_after:
                connection.close()
            elif self._can_carry(connection, request):
                found = connection
            else:
                unsuited.append(connection)
        if found is None:
            for surplus in unsuited[MAX_UNSUITED:]:
                surplus.close()
            del unsuited[MAX_UNSUITED:]
        kept = [*idle, *reversed(unsuited)]
        if kept:
            self._idle[address] = kept
        return found

    def _can_carry(
        self, connection: Connection, request: OutgoingRequest | None
    ) -> bool:
        if request is None or self._matching is None:
            return True
        return connection.sent.can_tell_apart(
            request.request_id, request.content
        )

    def discard_idle(self, address: str) -> None:
        """Close all idle connections to an address.

        :param address: IP address and port
        """
        for connection in self._idle.pop(address, ()):
            connection.close()

    def close_idle(self, idle_limit_s: float) -> None:
        """Close connections that have been idle for too long.

        :param idle_limit_s: longest idle time, in seconds
        """
        used_after = loop_time() - idle_limit_s
        for address, idle in tuple(self._idle.items()):
            kept = [
                one for one in idle if one.used_at > used_after and one.is_idle
            ]
            for connection in set(idle) - set(kept):
                connection.close()
            if kept:
                self._idle[address] = kept
            else:
                self._idle.pop(address)


@contextlib.asynccontextmanager
async def pooled_connection(
    pool: ConnectionPool,
    address: str,
    idle_limit_s: float,
    request: OutgoingRequest | None = None,
) -> AsyncIterator[Connection]:
    """Provide a pooled connection for the length of the block.

    The connection is closed afterwards if its response was not read completely.

    :param pool: pool of the connection
    :param address: IP address and port
    :param idle_limit_s: longest time that the connection may have been idle,
        in seconds
    :param request: the request to send, as for ``ConnectionPool.take``
    """
    connection = await pool.take(address, idle_limit_s, request)
    try:
        yield connection
    finally:
        pool.release(connection)


@contextlib.contextmanager
def open_pool(
    connect_timeout_s: float, resources: Resources
) -> Iterator[ConnectionPool]:
    """Provide a pool, and close its idle connections after the block.

    :param connect_timeout_s: longest time to connect, in seconds
    :param resources: what all connections share
    """
    pool = ConnectionPool(connect_timeout_s, resources)
    try:
        yield pool
    finally:
        pool.close_idle(0)
