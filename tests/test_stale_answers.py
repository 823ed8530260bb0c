"""Tests that late copies of answers do not answer other requests.

A server, or a host on the way, sends an answer a second time on a kept
connection. The client matches answers by their order alone, so that the copy
answers the next request: a claim that was refused counts as written, and its
call runs at two nodes.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Final

import aiohttp
import pytest
from mastichatch_platform.store import StoreClient

from mastichatch_core.relay.store import ConflictError, LeaseLapsedError
from mastichatch_core.relay.store import Transaction
from mastichatch_node.platform import (
    Platform,
    RevisionMismatchError,
    open_platform,
)
from mastichatch_node.relay.dialect import MoveOrder
from mastichatch_node.relay.http_client import open_pool
from mastichatch_node.reports import open_report_reader
from tests.relay_nodes import engine_client, new_resources

TIMEOUT_MS: Final = 2000
CONNECT_TIMEOUT_S: Final = 1.0
COPY_DELAY_S: Final = 0.02
# Time of a request while a copy arrives, and time in which one has arrived.
WORK_S: Final = 0.1

Answer = tuple[int, str, bytes]


def build_answer(status: int, headers: str, body: bytes) -> bytes:
    """Return an answer as it is written."""
    head = f'HTTP/1.1 {status} x\r\n{headers}Content-Length: {len(body)}\r\n'
    return f'{head}\r\n'.encode() + body


class CopyingServer:
    """Answers requests in turn, and writes each answer once more, late.

    :ivar answers: what is answered to the requests to come, in their order
    :ivar delay_s: time of a request, in seconds
    :ivar copy_delay_s: time after which an answer is written once more, in
        seconds; ``None`` for never
    :ivar connections: number of accepted connections
    :ivar writers: streams of these connections
    """

    def __init__(self) -> None:
        """Start without answers."""
        self.answers: list[Answer] = []
        self.delay_s = 0.0
        self.copy_delay_s: float | None = COPY_DELAY_S
        self.connections = 0
        self.writers: list[asyncio.StreamWriter] = []

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection until the client closes it."""
        self.connections += 1
        self.writers.append(writer)
        copies: list[asyncio.TimerHandle] = []
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                await _read_request(reader)
                answer = build_answer(*self.answers.pop(0))
                await asyncio.sleep(self.delay_s)
                writer.write(answer)
                if self.copy_delay_s is None:
                    continue
                copies.append(
                    asyncio.get_running_loop().call_later(
                        self.copy_delay_s, writer.write, answer
                    )
                )
        for copy in copies:
            copy.cancel()
        writer.close()


async def _read_request(reader: asyncio.StreamReader) -> None:
    head = await reader.readuntil(b'\r\n\r\n')
    for line in head.lower().split(b'\r\n'):
        name, _, length = line.partition(b':')
        if name == b'content-length':
            await reader.readexactly(int(length))


@contextlib.asynccontextmanager
async def open_server(copying: CopyingServer) -> AsyncIterator[str]:
    """Run a server that copies its answers."""
    server = await asyncio.start_server(copying.serve, '127.0.0.1', 0)
    try:
        yield f'127.0.0.1:{server.sockets[0].getsockname()[1]}'
    finally:
        server.close()
        for writer in copying.writers:
            writer.close()
        await asyncio.sleep(0)


@pytest.fixture
async def server() -> AsyncIterator[tuple[CopyingServer, str]]:
    """Run a server that copies its answers."""
    copying = CopyingServer()
    async with open_server(copying) as address:
        yield copying, address


async def wait_idle() -> None:
    """Let a copy arrive before the next request."""
    await asyncio.sleep(WORK_S)
    # After a pause of the process, the copy is only written by now.
    await asyncio.sleep(COPY_DELAY_S)


async def go_on() -> None:
    """Let a copy arrive after the next request was sent."""


ARRIVALS = pytest.mark.parametrize('pause', [wait_idle, go_on])
Pause = Callable[[], Awaitable[None]]


class TestClientLibrary:
    """What aiohttp does, and why connections are not kept as it keeps them."""

    async def test_bytes_on_an_idle_connection_answer_the_next_request(
        self, server: tuple[CopyingServer, str]
    ) -> None:
        copying, address = server
        copying.answers = [(200, '', b'first'), (200, '', b'second')]
        async with aiohttp.ClientSession() as session:
            bodies = []
            for path in ('a', 'b'):
                async with session.get(f'http://{address}/{path}') as answer:
                    bodies.append(await answer.read())
                await wait_idle()
        assert bodies == [b'first', b'first']
        assert copying.connections == 1


class TestPlatform:
    @ARRIVALS
    async def test_copy_does_not_confirm_another_write(
        self, server: tuple[CopyingServer, str], pause: Pause
    ) -> None:
        copying, address = server
        copying.answers = [
            (200, '', b'{"revision": 5}'),
            (409, '', b'{"revision": 4}'),
        ]
        async with open_platform(address, TIMEOUT_MS) as platform:
            assert await platform.write('claims/a', b'1', expect=0) == 5
            copying.delay_s = WORK_S
            await pause()
            with pytest.raises(RevisionMismatchError):
                await platform.write('claims/b', b'2', expect=0)

    @ARRIVALS
    async def test_copy_does_not_say_that_another_key_is_absent(
        self, server: tuple[CopyingServer, str], pause: Pause
    ) -> None:
        copying, address = server
        copying.answers = [(404, '', b''), (200, 'Revision: 7\r\n', b'claim')]
        async with open_platform(address, TIMEOUT_MS) as platform:
            assert await platform.read('claims/a') is None
            copying.delay_s = WORK_S
            await pause()
            stored = await platform.read('claims/b')
        assert stored is not None
        assert (stored.value, stored.revision) == (b'claim', 7)

    @ARRIVALS
    async def test_copy_does_not_renew_a_lease(
        self, server: tuple[CopyingServer, str], pause: Pause
    ) -> None:
        copying, address = server
        copying.answers = [(200, '', b'{}'), (404, '', b'')]
        async with open_platform(address, TIMEOUT_MS) as platform:
            assert await platform.renew_lease('lease-1')
            copying.delay_s = WORK_S
            await pause()
            assert not await platform.renew_lease('lease-1')

    async def test_calls_get_their_own_answers_beside_many_copies(
        self, server: tuple[CopyingServer, str]
    ) -> None:
        copying, address = server
        copying.delay_s = COPY_DELAY_S / 2
        async with open_platform(address, TIMEOUT_MS) as platform:
            for number in range(20):
                copying.answers.append(
                    (200, f'Revision: {number + 1}\r\n', b'%d' % number)
                )
                assert await _read_value(platform, number) == b'%d' % number


async def _read_value(platform: Platform, number: int) -> bytes | None:
    stored = await platform.read(f'claims/{number}')
    return None if stored is None else stored.value


@contextlib.asynccontextmanager
async def open_store_client(address: str) -> AsyncIterator[StoreClient]:
    """Open the relay's client of its store."""
    with open_pool(CONNECT_TIMEOUT_S, new_resources()) as pool:
        yield StoreClient(address, pool)


class TestStoreOfTheRelay:
    """Calls that are repeated letter for letter, so that copies look right."""

    @ARRIVALS
    async def test_copy_does_not_renew_a_lease(
        self, server: tuple[CopyingServer, str], pause: Pause
    ) -> None:
        copying, address = server
        copying.answers = [(200, '', b'{}'), (404, '', b'{}')]
        async with open_store_client(address) as client:
            await client.renew_lease(3)
            copying.delay_s = WORK_S
            await pause()
            with pytest.raises(LeaseLapsedError):
                await client.renew_lease(3)

    @ARRIVALS
    async def test_copy_does_not_show_that_nothing_has_changed(
        self, server: tuple[CopyingServer, str], pause: Pause
    ) -> None:
        """The age of a view counts from the watch that shows it.

        A copy may be older than that watch, and what has been revoked since
        would stay in use for longer than it may.
        """
        copying, address = server
        copying.answers = [
            (200, '', b'{"at": 7, "events": []}'),
            (
                200,
                '',
                b'{"at": 8, "events": [{"key": "a", "revision": 8,'
                b' "deleted": true}]}',
            ),
        ]
        async with open_store_client(address) as client:
            await client.watch('', 7, 0)
            copying.delay_s = WORK_S
            await pause()
            view = await client.watch('', 7, 0)
        assert [one.key for one in view.entries] == ['a']

    @ARRIVALS
    async def test_copy_does_not_confirm_a_commit_that_conflicts(
        self, server: tuple[CopyingServer, str], pause: Pause
    ) -> None:
        copying, address = server
        copying.answers = [(200, '', b'{}'), (412, '', b'{"entries": []}')]
        transaction = Transaction(expected={'a': 1}, puts={'a': b'x'})
        async with open_store_client(address) as client:
            await client.commit(transaction)
            copying.delay_s = WORK_S
            await pause()
            with pytest.raises(ConflictError):
                await client.commit(transaction)


class TestOrdersToStop:
    """An order is repeated letter for letter until it is proved."""

    @pytest.mark.parametrize(
        ('first', 'then'),
        [
            # The run had not begun when the first order arrived.
            ((404, '', b'{}'), (200, '', b'{"kv_handle": "h-1"}')),
            # The run has come back to the engine since the first order.
            ((200, '', b'{"kv_handle": "h-1"}'), (503, '', b'{}')),
        ],
    )
    async def test_copy_does_not_answer_the_same_order_when_it_is_sent_again(
        self, server: tuple[CopyingServer, str], first: Answer, then: Answer
    ) -> None:
        copying, address = server
        copying.answers = [first, then]
        order = MoveOrder(
            address=address,
            request_id='run-1',
            target='10.0.0.9:80',
            is_final=True,
        )
        with open_pool(CONNECT_TIMEOUT_S, new_resources()) as pool:
            client = engine_client(pool)
            assert (await client.move(order)).status == first[0]
            copying.delay_s = WORK_S
            assert (await client.move(order)).status == then[0]

    async def test_refused_order_is_repeated_on_its_connection(
        self, server: tuple[CopyingServer, str]
    ) -> None:
        """Engines that leave refuse connections above their limit."""
        copying, address = server
        copying.answers = [(409, '', b'{}'), (409, '', b'{}')]
        order = MoveOrder(
            address=address,
            request_id='run-1',
            target='10.0.0.9:80',
            is_final=True,
        )
        with open_pool(CONNECT_TIMEOUT_S, new_resources()) as pool:
            client = engine_client(pool)
            await client.move(order)
            await client.move(order)
        assert copying.connections == 1


class TestReports:
    async def test_reports_do_not_fall_behind_by_copies(
        self, server: tuple[CopyingServer, str]
    ) -> None:
        """Each copy that is read as a report would delay all later ones."""
        copying, address = server
        copying.answers = [(200, '', b'%d' % number) for number in range(5)]
        async with open_report_reader() as read:
            reports = []
            for _ in range(5):
                reports.append(await read(f'http://{address}/v1/load'))
                await wait_idle()
        assert reports == [b'0', b'1', b'2', b'3', b'4']

    async def test_copy_beside_a_request_delays_one_report_alone(
        self, server: tuple[CopyingServer, str]
    ) -> None:
        copying, address = server
        copying.answers = [(200, '', b'%d' % number) for number in range(4)]
        async with open_report_reader() as read:
            url = f'http://{address}/v1/load'
            reports = [await read(url)]
            copying.delay_s = WORK_S
            for _ in range(3):
                reports.append(await read(url))
                await wait_idle()
        assert reports == [b'0', b'0', b'2', b'3']

    async def test_connection_is_kept_where_nothing_is_copied(self) -> None:
        copying = CopyingServer()
        copying.copy_delay_s = None
        copying.answers = [(200, '', b'%d' % number) for number in range(3)]
        async with open_server(copying) as address:
            async with open_report_reader() as read:
                for _ in range(3):
                    assert await read(f'http://{address}/v1/load')
        assert copying.connections == 1
