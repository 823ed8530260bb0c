"""Tests of bytes without end: from endpoints and from callers."""

import asyncio
import time
from collections.abc import Callable
from typing import Any

import pytest

from mastichatch_node.relay.http_client import MAX_INTERIM_RESPONSES
from mastichatch_node.relay.http_server import LINGER_LIMIT_BYTES
from mastichatch_node.relay.streaming import EVENT_LIMIT_BYTES
from tests.relay_nodes import (
    configuration,
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
        assert answer.status == 502
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
