"""Tests of bytes without end: from endpoints and from callers."""

import asyncio
import json
import time
from collections.abc import Callable
from typing import Any

import h11
import pytest

from mastichatch_core.relay.byte_budget import Purpose
from mastichatch_core.relay.model import ClientLimits
from mastichatch_node.relay.http_client import (
    MAX_INTERIM_RESPONSES,
    Connection,
    CountingReader,
)
from mastichatch_node.relay.http_server import (
    LINGER_LIMIT_BYTES,
    read_request_body,
)
from mastichatch_node.relay.event_reading import EVENT_LIMIT_BYTES
from mastichatch_node.relay.telemetry import (
    LAG_LOG_LIMIT_S,
    LAG_PROBE_INTERVAL_S,
    Telemetry,
)
from mastichatch_node.relay.turns import MAX_STEPS_PER_TURN
from tests.relay_nodes import (
    Response,
    configuration,
    new_resources,
    open_relay,
    read_answer,
    request_bytes,
    route,
)
from tests.standins import house_endpoints as endpoints
from tests.standins.house_endpoints import (
    HouseEndpoint,
    ReceivedRequest,
    signature_headers,
)

# Socket buffers between the two processes, and one write of the sender.
BUFFERED_BYTES = 12 * 1024 * 1024
PIECE_BYTES = 65536
TOKENS = ('Mastichatch-Model: m', 'Mastichatch-Token-Counts: 100,400')


class EndlessSender:
    """Script that writes the same bytes until the connection closes."""

    def __init__(
        self,
        begin: Callable[[ReceivedRequest], str],
        piece: bytes,
        pause_s: float = 0,
    ) -> None:
        """Store what to write.

        :param begin: returns what is written first
        :param piece: what is written again and again
        :param pause_s: pause after each piece, in seconds
        """
        self._begin = begin
        self._piece = piece
        self._pause_s = pause_s
        self.sent_bytes = 0
        self.is_closed = False

    async def write(
        self,
        endpoint: HouseEndpoint,
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Run a request and write without end."""
        endpoint.ran.append(request.request_id)
        writer.write(self._begin(request).encode())
        try:
            while not writer.is_closing():
                writer.write(self._piece)
                await writer.drain()
                self.sent_bytes += len(self._piece)
                await asyncio.sleep(self._pause_s)
        finally:
            self.is_closed = True


def ok_head(request: ReceivedRequest) -> str:
    """Return the head of a chunked answer."""
    return (
        'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
        f'{signature_headers(request)}Transfer-Encoding: chunked\r\n\r\n'
    )


def chunk(data: bytes) -> bytes:
    return b'%x\r\n%b\r\n' % (len(data), data)


HEADS: dict[str, tuple[Callable[[ReceivedRequest], str], bytes]] = {
    'status line': (lambda _: 'HTTP/1.1 200 ', b'x' * PIECE_BYTES),
    'header line': (
        lambda _: 'HTTP/1.1 200 OK\r\nA: ',
        b'x' * PIECE_BYTES,
    ),
    'headers': (lambda _: 'HTTP/1.1 200 OK\r\n', b'A: x\r\n' * 10000),
    'interim responses': (
        lambda _: '',
        b'HTTP/1.1 100 Continue\r\n\r\n' * 1000,
    ),
    'no HTTP': (lambda _: '', b'\x00' * PIECE_BYTES),
}
BODIES: dict[str, tuple[Callable[[ReceivedRequest], str], bytes]] = {
    'chunk size': (ok_head, b'0' * PIECE_BYTES),
    'trailers': (
        lambda request: ok_head(request) + '0\r\n',
        b'A: x\r\n' * 10000,
    ),
    'body': (ok_head, chunk(b'x' * PIECE_BYTES)),
}


def is_cut(answer: Response, path: str) -> bool:
    """Return whether an endless answer was cut, and does not look complete.

    A body is passed on as it comes where the path is that of a call.
    """
    if path == '/book/x':
        return answer.status == 200 and not answer.is_whole
    return answer.status == 502


class TestEndpoints:
    @pytest.mark.parametrize('path', ['/book/x', '/plan/x'])
    @pytest.mark.parametrize('where', [*HEADS, *BODIES])
    async def test_bytes_without_end_are_cut_and_never_called_not_run(
        self, path: str, where: str
    ) -> None:
        sender = EndlessSender(*(HEADS | BODIES)[where])
        one = HouseEndpoint(instance='i-a', script=sender.write)
        two = HouseEndpoint(instance='i-e', script=sender.write)
        async with open_relay((one,), (two,)) as relay:
            began_at = time.monotonic()
            answer = await relay.call(path, headers=TOKENS, timeout_ms=5000)
            took_s = time.monotonic() - began_at
        assert is_cut(answer, path if where == 'body' else '')
        assert took_s < 4
        assert sender.is_closed
        # The limit of a whole answer is 16 MiB.
        limit = 16 * 1024 * 1024 if where == 'body' else EVENT_LIMIT_BYTES
        assert sender.sent_bytes < limit + BUFFERED_BYTES
        assert one.ran + two.ran == ['r1']

    async def test_bytes_after_an_answer_belong_to_no_request(self) -> None:
        def begin(request: ReceivedRequest) -> str:
            return (
                f'HTTP/1.1 200 OK\r\n{signature_headers(request)}'
                'Content-Length: 4\r\n\r\ndone'
            )

        sender = EndlessSender(begin, b'x' * PIECE_BYTES)
        one = HouseEndpoint(instance='i-a', script=sender.write)
        async with open_relay((one,)) as relay:
            answers = [
                await relay.call('/book/x', request_id=name)
                for name in ('a', 'b', 'c')
            ]
        assert [answer.body for answer in answers] == [b'done'] * 3
        assert one.ran == ['a', 'b', 'c']

    async def test_interim_responses_before_an_answer_are_skipped(
        self,
    ) -> None:
        def answer_late(request: ReceivedRequest) -> bytes:
            interim = b'HTTP/1.1 103 Early Hints\r\n\r\n'
            return interim * MAX_INTERIM_RESPONSES + endpoints.build_response(
                200, b'done', signature_headers(request)
            )

        one = HouseEndpoint(instance='i-a', script=endpoints.raw(answer_late))
        async with open_relay((one,)) as relay:
            answer = await relay.call('/book/x')
        assert answer.body == b'done'


def impatient_document() -> dict[str, Any]:
    """Return a configuration whose callers leave after two seconds."""
    plan = route('plan', 'streaming', 'llm', goal_ms=300, gap_aim_ms=100)
    return configuration(routes=[plan])


class TestTurns:
    """Guards against one peer that keeps the event loop busy.

    Bytes that are ready are handled without a wait, so that a peer which sends
    them without end decides how long all other requests wait.
    """

    @pytest.mark.parametrize('path', ['/book/x', '/plan/x'])
    @pytest.mark.parametrize(
        'line', [b'data: ' + b'x' * 263 + b'\n', b'd: x\n', b'x']
    )
    async def test_bytes_without_end_do_not_hold_up_others(
        self, path: str, line: bytes
    ) -> None:
        pieces = chunk(line) * (PIECE_BYTES // len(chunk(line)))
        sender = EndlessSender(ok_head, pieces)
        bad = HouseEndpoint(instance='i-e', script=sender.write)
        one = (bad,) if path == '/book/x' else ()
        two = (bad,) if path == '/plan/x' else ()
        async with open_relay(one, two) as relay:
            endless = asyncio.ensure_future(
                relay.call(path, headers=TOKENS, timeout_ms=2000)
            )
            longest_s = await longest_turn_s(endless)
        assert is_cut(await endless, path)
        # Rule CONFIG: an answer is due half a second after the time limit.
        assert longest_s < 0.5

    async def test_answer_in_small_chunks_is_read_in_many_turns(self) -> None:
        count = 4000
        reader = CountingReader(new_resources().budget, '127.0.0.1:1')
        reader.feed_data(
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
            + chunk(b'x') * count
            + chunk(b'')
        )
        connection = await open_on(reader)
        reading = asyncio.ensure_future(_read_answer(connection))
        assert await count_turns(reading) > count / MAX_STEPS_PER_TURN
        assert reading.result() == b'x' * count

    async def test_request_in_small_chunks_is_read_in_many_turns(self) -> None:
        count = 4000
        protocol = h11.Connection(h11.SERVER)
        protocol.receive_data(
            b'POST / HTTP/1.1\r\nHost: x\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n'
            + chunk(b'x') * count
            + chunk(b'')
        )
        assert isinstance(protocol.next_event(), h11.Request)
        reading = asyncio.ensure_future(
            read_request_body(
                protocol,
                asyncio.StreamReader(),
                ClientLimits(),
                new_resources().budget.open(Purpose.request, 'caller'),
            )
        )
        assert await count_turns(reading) > count / MAX_STEPS_PER_TURN
        assert reading.result() == b'x' * count

    async def test_event_in_too_many_pieces_is_cut(self) -> None:
        """A piece costs more than its bytes."""
        sender = EndlessSender(ok_head, chunk(b'x') * 1000)
        engine = HouseEndpoint(instance='i-e', script=sender.write)
        async with open_relay((), (engine,)) as relay:
            answer = await relay.call(
                '/plan/x', headers=TOKENS, timeout_ms=5000
            )
        assert answer.status == 502
        assert 'too large' in json.loads(answer.body)['message']


class TestLag:
    async def test_held_event_loop_is_logged_and_measured(self) -> None:
        telemetry = Telemetry()
        watching = asyncio.ensure_future(telemetry.watch_event_loop())
        await asyncio.sleep(0)
        time.sleep(LAG_PROBE_INTERVAL_S + LAG_LOG_LIMIT_S)  # noqa: ASYNC251
        await asyncio.sleep(0.01)
        watching.cancel()
        text = telemetry.text().decode()
        assert 'events_total{event="event_loop_held"} 1.0' in text
        assert 'loop_lag_seconds_count 1.0' in text


async def longest_turn_s(task: 'asyncio.Future[Any]') -> float:
    """Return the longest delay of a timer until a task is done, in seconds."""
    longest_s = float()
    while not task.done():
        began_at = time.monotonic()
        await asyncio.sleep(0.01)
        longest_s = max(longest_s, time.monotonic() - began_at)
    return longest_s


async def count_turns(task: 'asyncio.Future[Any]') -> int:
    """Return how often others get a turn until a task is done."""
    turns = 0
    while not task.done():
        await asyncio.sleep(0)
        turns += 1
    return turns


async def open_on(reader: CountingReader) -> Connection:
    """Return a connection that reads prepared bytes and writes nowhere."""
    transport = _NoTransport()
    loop = asyncio.get_running_loop()
    protocol = asyncio.StreamReaderProtocol(reader)
    writer = asyncio.StreamWriter(transport, protocol, reader, loop)
    connection = Connection('127.0.0.1:1', reader, writer, new_resources())
    await connection.send(endpoints.plain_request())
    return connection


async def _read_answer(connection: Connection) -> bytes:
    await connection.read_head()
    return await connection.read_body(EVENT_LIMIT_BYTES, Purpose.answer)


class _NoTransport(asyncio.Transport):
    """A transport that discards what is written."""

    def write(self, data: Any) -> None:
        """Discard bytes."""

    def is_closing(self) -> bool:
        """Return that the transport is open."""
        return False

    def abort(self) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Do nothing."""


class TestStalledStreams:
    async def test_bytes_now_and_then_do_not_keep_a_stalled_stream(
        self,
    ) -> None:
        sender = EndlessSender(ok_head, chunk(b'x'), pause_s=0.05)
        engine = HouseEndpoint(instance='i-e', script=sender.write)
        async with open_relay((), (engine,), impatient_document()) as relay:
            began_at = time.monotonic()
            answer = await relay.call(
                '/plan/x', headers=TOKENS, timeout_ms=5000
            )
            took_s = time.monotonic() - began_at
        assert answer.status == 502
        assert 1.9 < took_s < 4
        assert sender.is_closed

    async def test_slow_stream_with_events_is_not_cut(self) -> None:
        engine = HouseEndpoint(instance='i-e', script=endpoints.stream(4, 0.9))
        async with open_relay((), (engine,), impatient_document()) as relay:
            answer = await relay.call(
                '/plan/x', headers=TOKENS, timeout_ms=5000
            )
        assert answer.is_whole

    async def test_run_goes_on_from_its_copy_after_a_stall(self) -> None:
        sender = EndlessSender(
            lambda request: ok_head(request) + 'b\r\nid: 1\ndata\n\n\r\n',
            chunk(b':'),
            pause_s=0.05,
        )
        first = HouseEndpoint(instance='i-e', script=sender.write)
        second = HouseEndpoint(instance='i-f', script=endpoints.stream(5))
        document = impatient_document()
        document['services'][1]['engine']['backups'] = True
        async with open_relay((), (first, second), document) as relay:
            answer = await relay.call(
                '/plan/x',
                headers=(
                    'Mastichatch-Model: m',
                    'Mastichatch-Token-Counts: 100,2000',
                ),
                timeout_ms=5000,
            )
        assert answer.is_whole
        assert answer.body.count(b'id: ') == 5


class TestCallers:
    async def test_bytes_after_the_last_answer_are_not_kept(self) -> None:
        async with open_relay() as relay:
            host, _, port = relay.settings.callers_address.rpartition(':')
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b'GARBAGE\r\n\r\n')
            sent_bytes = 0
            with pytest.raises(OSError):
                while True:
                    writer.write(b'x' * PIECE_BYTES)
                    await writer.drain()
                    sent_bytes += PIECE_BYTES
            writer.close()
        assert (await read_answer(reader)).status in {0, 400}
        assert sent_bytes < LINGER_LIMIT_BYTES + BUFFERED_BYTES

    async def test_body_byte_by_byte_ends_with_the_callers_time(self) -> None:
        document = configuration()
        document['limits']['idle_timeout_ms'] = 600
        async with open_relay((), (), document, body_timeout_ms=1500) as relay:
            host, _, port = relay.settings.callers_address.rpartition(':')
            _reader, writer = await asyncio.open_connection(host, int(port))
            began_at = time.monotonic()
            head = request_bytes('/book/x', body=b'x' * 1000)
            writer.write(head[:-1000])
            with pytest.raises(OSError):
                while time.monotonic() < began_at + 10:
                    writer.write(b'x')
                    await writer.drain()
                    await asyncio.sleep(0.1)
            writer.close()
        assert 1.4 < time.monotonic() - began_at < 5


class TestPlannedStop:
    async def test_request_that_is_being_read_counts_as_in_progress(
        self,
    ) -> None:
        """The drain ended between the head and the end of a request."""
        one = HouseEndpoint(instance='i-a', script=endpoints.respond_ok)
        async with open_relay((one,)) as relay:
            host, _, port = relay.settings.callers_address.rpartition(':')
            reader, writer = await asyncio.open_connection(host, int(port))
            request = request_bytes('/book/x', body=b'x' * 1000)
            writer.write(request[:-500])
            await writer.drain()
            await asyncio.sleep(0.2)
            relay.node.set_draining()
            assert relay.node.caller_server.active_requests == 1
            writer.write(request[-500:])
            answer = await read_answer(reader)
            assert answer.status == 200
            writer.close()
