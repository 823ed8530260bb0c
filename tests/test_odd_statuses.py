"""Tests of answers whose status HTTP does not define (RFC 9110, section 15).

A server in trouble sends a status outside 100 to 599. The answer must not reach
a caller, prove anything, or count as a success of an order.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import pytest

from mastichatch_core.errors import MastichatchError
from mastichatch_node.engines import open_engines
from mastichatch_node.plain_client import PlainRequest, open_plain_client
from mastichatch_node.platform import open_platform
from mastichatch_node.relay.http_client import ExchangeError, open_pool
from tests.relay_nodes import new_resources, open_relay
from tests.standins import endpoints_with_status as odd
from tests.standins import house_endpoints as endpoints
from tests.standins.house_endpoints import HouseEndpoint

ODD_STATUSES = ('000', '001', '099', '600', '999')


@pytest.mark.parametrize('status', ODD_STATUSES)
class TestCallers:
    """Answers to callers of the relay."""

    async def test_call_ends_as_perhaps_run(self, status: str) -> None:
        app = HouseEndpoint('i-a', endpoints.raw(odd.answer_with(status)))
        async with open_relay((app,)) as relay:
            answer = await relay.call('/book/x')
        assert answer.status == 502
        assert 'mastichatch-server-seal' not in answer.headers
        assert app.ran == ['r1']

    async def test_repeatable_call_is_answered_by_another_endpoint(
        self, status: str
    ) -> None:
        odd_one = HouseEndpoint('i-a', endpoints.raw(odd.answer_with(status)))
        sound = HouseEndpoint('i-b', endpoints.respond_ok)
        async with open_relay((odd_one, sound)) as relay:
            answers = [await relay.call('/lookup/x') for _ in range(6)]
        assert {one.status for one in answers} == {200}

    async def test_stream_ends_as_perhaps_run(self, status: str) -> None:
        engine = HouseEndpoint('e1', endpoints.raw(odd.answer_with(status)))
        async with open_relay(engines=(engine,)) as relay:
            answer = await relay.call('/plan/x')
        assert answer.status == 502
        assert 'mastichatch-server-seal' not in answer.headers


@pytest.mark.parametrize('status', ODD_STATUSES)
async def test_exchange_fails_as_malformed(status: str) -> None:
    """Health checks, reports, orders and calls of the store end like this."""
    async with served(odd.plain_answer(status)) as address:
        with open_pool(1, new_resources()) as pool:
            connection = await pool.take(address, 0)
            await connection.send(endpoints.plain_request())
            with pytest.raises(ExchangeError) as raised:
                await connection.read_head()
    assert raised.value.was_sent
    assert raised.value.is_malformed


@pytest.mark.parametrize('status', ODD_STATUSES)
class TestProductInterface:
    """Clients of the product's own interface."""

    async def test_call_of_a_plain_service_has_no_answer(
        self, status: str
    ) -> None:
        request = PlainRequest(
            request_id='r', operation='book', body=b'{}', timeout_s=2
        )
        async with (
            served(odd.plain_answer(status)) as address,
            open_plain_client(1000) as send,
        ):
            with pytest.raises(MastichatchError):
                await send(address, request, lambda: None)

    async def test_stream_of_an_engine_does_not_begin(
        self, status: str
    ) -> None:
        async with (
            served(odd.plain_answer(status)) as address,
            open_engines(1000) as engines,
        ):
            starting = engines.start(
                address,
                b'{}',
                request_id='r',
                priority=0,
                idle_timeout_ms=1000,
            )
            with pytest.raises(MastichatchError):
                async with starting:
                    pass

    async def test_cancellation_is_not_confirmed(self, status: str) -> None:
        async with (
            served(odd.plain_answer(status)) as address,
            open_engines(1000) as engines,
        ):
            assert not await engines.cancel(address, 'g', 'b')

    async def test_platform_counts_as_unavailable(self, status: str) -> None:
        async with (
            served(odd.plain_answer(status)) as address,
            open_platform(address, 1000) as platform,
        ):
            with pytest.raises(MastichatchError):
                await platform.read('key')


@contextlib.asynccontextmanager
async def served(answer: bytes) -> AsyncIterator[str]:
    """Serve an answer to each request on a free port."""

    async def respond(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(answer)
            await writer.drain()

    server = await asyncio.start_server(respond, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    try:
        yield f'{host}:{port}'
    finally:
        server.close()
