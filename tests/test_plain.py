"""Tests of the HTTP client for plain services, over real connections."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import pytest

from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.messages import ErrorKind
from mastichatch_node.plain_client import (
    PlainAnswer,
    PlainRequest,
    open_plain_client,
)

CONNECT_TIMEOUT_MS = 300
WHOLE = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}'
TRUNCATED = b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}'
REDIRECT = b'HTTP/1.1 307 Go\r\nLocation: /other\r\nContent-Length: 0\r\n\r\n'
REQUEST = PlainRequest(
    request_id='r', operation='book', body=b'{"a": 1}', timeout_s=0.5
)


class Endpoint:
    """A server that records received bytes and sends a fixed answer."""

    def __init__(self, answer: bytes, closes: bool) -> None:
        """Keep the answer to send, and start with nothing received."""
        self.answer = answer
        self.closes = closes
        self.received: list[bytes] = []
        self.address = ''

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Record a connection's bytes; answer when the body has arrived."""
        number = len(self.received)
        self.received.append(b'')
        # A connection that is left open is closed by the garbage collector, on
        # a loop that has ended and in the midst of another test.
        with contextlib.closing(writer):
            while chunk := await reader.read(65536):
                self.received[number] += chunk
                if REQUEST.body in self.received[number]:
                    writer.write(self.answer)
                    if self.closes:
                        break

    @property
    def posts(self) -> int:
        """Number of requests received on all connections."""
        return b''.join(self.received).count(b'POST ')


@contextlib.asynccontextmanager
async def endpoint(
    answer: bytes, *, closes: bool = False
) -> AsyncIterator[Endpoint]:
    """Serve an endpoint on a free port."""
    served = Endpoint(answer, closes)
    server = await asyncio.start_server(served.serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    served.address = f'{host}:{port}'
    try:
        yield served
    finally:
        server.close()


async def send(
    address: str, guards: list[int], *, limit: int = 1024
) -> PlainAnswer:
    """Send one request and record each call of the guard."""
    async with open_plain_client(CONNECT_TIMEOUT_MS, limit) as send_plain:
        return await send_plain(address, REQUEST, lambda: guards.append(1))


class TestSend:
    """What is sent, and how often."""

    async def test_each_call_takes_a_new_connection(self) -> None:
        guards: list[int] = []
        async with (
            endpoint(WHOLE) as served,
            open_plain_client(CONNECT_TIMEOUT_MS) as send_plain,
        ):
            for _ in range(3):
                answer = await send_plain(
                    served.address, REQUEST, lambda: guards.append(1)
                )
                assert answer.status == 200
                assert answer.body == b'{}'
            assert len(served.received) == served.posts == len(guards) == 3
            assert b'Request-Id: r\r\n' in served.received[0]

    async def test_nothing_is_sent_if_the_guard_raises(self) -> None:
        def refuse() -> None:
            raise MastichatchError(ErrorKind.queue_deadline)

        async with (
            endpoint(WHOLE) as served,
            open_plain_client(CONNECT_TIMEOUT_MS) as send_plain,
        ):
            with pytest.raises(MastichatchError) as raised:
                await send_plain(served.address, REQUEST, refuse)
            await asyncio.sleep(0.05)
            assert raised.value.kind is ErrorKind.queue_deadline
            assert served.received == [b'']

    @pytest.mark.parametrize(
        ('answer', 'closes'),
        [(b'', True), (b'', False), (TRUNCATED, True), (b'junk\r\n', True)],
        ids=['closed', 'silent', 'truncated', 'malformed'],
    )
    async def test_call_without_a_whole_answer_is_written_once(
        self, answer: bytes, closes: bool
    ) -> None:
        guards: list[int] = []
        async with endpoint(answer, closes=closes) as served:
            with pytest.raises(MastichatchError) as raised:
                await send(served.address, guards)
            assert raised.value.kind is ErrorKind.endpoint_unreachable
            assert served.posts == len(guards) == 1

    async def test_redirect_is_not_followed(self) -> None:
        async with endpoint(REDIRECT) as served:
            assert (await send(served.address, [])).status == 307
            assert served.posts == 1

    async def test_large_answer_is_not_read_to_its_end(self) -> None:
        async with endpoint(WHOLE) as served:
            with pytest.raises(MastichatchError, match='over 1 bytes'):
                await send(served.address, [], limit=1)


class TestConnect:
    """Failures before anything is sent."""

    async def test_refused_connection_does_not_call_the_guard(self) -> None:
        guards: list[int] = []
        async with endpoint(WHOLE) as served:
            address = served.address
        with pytest.raises(MastichatchError) as raised:
            await send(address, guards)
        assert raised.value.kind is ErrorKind.endpoint_unreachable
        assert not guards
