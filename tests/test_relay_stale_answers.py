"""Tests of answers that arrive again, on a connection that is used again.

A server may send an answer a second time, late, where the next answer is due.
Its copy of a refusal names the refused request, which may be under way again.
"""

import asyncio
import json
import random
from collections.abc import Awaitable, Callable

import pytest

from mastichatch_core.relay.sent_requests import (
    MAX_REQUESTS,
    Belonging,
    SentRequests,
)
from mastichatch_node.relay.dialect import MoveOrder
from mastichatch_node.relay.http_client import (
    MAX_UNSUITED,
    Connection,
    ConnectionPool,
    ExchangeError,
    open_pool,
)
from tests.relay_nodes import (
    Response,
    call,
    configuration,
    engine_client,
    known_endpoints,
    new_resources,
    open_relay,
    open_two_nodes,
    route,
)
from tests.standins.house_endpoints import (
    HouseEndpoint,
    build_response,
    open_server,
    plain_request,
    refuse,
    refuse_first,
    respond_after,
)

WORK_S = 0.2
COPY_S = 0.08
# Attempts that a call may make at different servers.
ATTEMPTS = configuration(
    routes=[route('book', 'non_idempotent', 'app', attempts=3)]
)
COPIES = 40


def server(
    name: str = 'i-a', copy_after_s: float | None = COPY_S, headers: str = ''
) -> HouseEndpoint:
    """Return a server that refuses each request once, and copies that."""
    script = refuse_first(respond_after(WORK_S), copy_after_s, headers)
    return HouseEndpoint(name, script)


class TestCopiesOfRefusals:
    async def test_copy_does_not_answer_the_same_call_when_it_is_sent_again(
        self,
    ) -> None:
        app = server()
        async with open_relay((app,), document=ATTEMPTS) as relay:
            first = await relay.call('/book/', request_id='a')
            again = await relay.call('/book/', request_id='a')
        assert first.status == 503
        assert app.ran == ['a']
        assert again.status == 200
        assert again.body == b'done a'

    async def test_copy_does_not_answer_another_call(self) -> None:
        app = server()
        async with open_relay((app,), document=ATTEMPTS) as relay:
            await relay.call('/book/', request_id='a')
            app.script = respond_after(WORK_S)
            other = await relay.call('/book/', request_id='b')
            assert (other.status, other.body) == (200, b'done b')
            # The connection that carried the copy is still in use.
            await relay.call('/book/', request_id='c')
        assert {one.connection for one in app.received} == {0}

    @pytest.mark.parametrize('header', ['Retry-After: 20', 'Server-Leaving: 1'])
    async def test_copy_tells_nothing_of_its_server(self, header: str) -> None:
        app = server(headers=f'{header}\r\n')
        async with open_relay((app,), document=ATTEMPTS) as relay:
            await relay.call('/book/', request_id='a')
            app.script = respond_after(WORK_S)
            for name in ('b', 'c'):
                answer = await relay.call('/book/', request_id=name)
                assert answer.status == 200
            state = known_endpoints(relay.node)['i-a'].state
        assert state.value == 'ready'

    async def test_refusals_without_copies_keep_their_connection(self) -> None:
        """A full server refuses many calls, and accepts few connections."""
        app = HouseEndpoint('i-a', refuse_first(respond_after(0), None))
        async with open_relay((app,), document=ATTEMPTS) as relay:
            for number in range(20):
                await relay.call('/book/', request_id=f'r{number}')
        assert {one.connection for one in app.received} == {0}

    async def test_call_repeated_many_times_keeps_few_connections(self) -> None:
        app = HouseEndpoint('i-a', refuse)
        async with open_relay((app,), document=ATTEMPTS) as relay:
            for _ in range(3 * MAX_UNSUITED):
                await relay.call('/book/', request_id='a')
            # The last one, and one whose end has not arrived.
            assert len(app.writers) <= MAX_UNSUITED + 2

    async def test_calls_repeated_at_two_nodes_run_once(self) -> None:
        """Each caller repeats its refused call under the same id."""
        apps = (
            server('i-a', copy_after_s=0.03),
            server('i-b', copy_after_s=0.06),
        )
        opened = open_two_nodes(apps=apps, document=ATTEMPTS)
        async with opened as (relay, second, _):
            nodes = (relay.settings.callers_address, second)
            calls = (_repeat(nodes, f'r{number}') for number in range(COPIES))
            answers = await asyncio.gather(*calls)
            await asyncio.sleep(WORK_S)
        ran = [*apps[0].ran, *apps[1].ran]
        assert len(ran) == len(set(ran))
        assert [one.status for one in answers] == [200] * COPIES

    async def test_copy_without_a_length_is_not_read_until_the_deadline(
        self,
    ) -> None:
        """Only the end of the connection would end its body."""
        head = b'HTTP/1.1 503 X\r\nMastichatch-Attempt-Id: a\r\n\r\n'
        async with open_server(answer_orders((REFUSAL,), (head,))) as address:
            with open_pool(1.0, new_resources()) as pool:
                engine_client(pool)
                connection = await take_after_call(pool, address)
                await connection.send(plain_request('b'))
                with pytest.raises(ExchangeError):
                    async with asyncio.timeout(WORK_S):
                        await connection.read_head()

    async def test_copy_of_an_answer_without_a_body_is_discarded(self) -> None:
        head = b'HTTP/1.1 204 X\r\nMastichatch-Attempt-Id: a\r\n\r\n'
        due = build_response(200, b'', 'Mastichatch-Attempt-Id: b\r\n')
        serve = answer_orders((REFUSAL,), (head, due))
        async with open_server(serve) as address:
            with open_pool(1.0, new_resources()) as pool:
                engine_client(pool)
                connection = await take_after_call(pool, address)
                await connection.send(plain_request('b'))
                answer = await connection.read_head()
        assert answer.status == 200

    async def test_copy_does_not_answer_an_equal_call_without_an_id(
        self,
    ) -> None:
        app = server()
        async with open_relay((app,), document=ATTEMPTS) as relay:
            first = await relay.call('/book/', request_id='')
            again = await relay.call('/book/', request_id='')
        assert (first.status, again.status) == (503, 200)
        assert app.ran == ['']

    async def test_connection_is_replaced_before_it_keeps_many_ids(
        self,
    ) -> None:
        app = HouseEndpoint('i-a', respond_after(0))
        async with open_relay((app,), document=ATTEMPTS) as relay:
            for number in range(MAX_REQUESTS + 1):
                await relay.call('/book/', request_id=f'r{number}')
        assert {one.connection for one in app.received} == {0, MAX_REQUESTS}


class TestBelonging:
    sent = SentRequests()
    sent.record('a', b'')
    sent.record('b', b'')

    @pytest.mark.parametrize(
        ('named', 'expected'),
        [
            ('b', Belonging.due),
            ('a', Belonging.stale),
            ('c', Belonging.foreign),
            (None, Belonging.foreign),
        ],
    )
    def test_answer_belongs_to_the_request_that_it_names(
        self, named: str | None, expected: Belonging
    ) -> None:
        assert self.sent.assign(named) is expected

    def test_connection_carries_a_request_only_once(self) -> None:
        assert not self.sent.can_tell_apart('a', b'')
        assert self.sent.can_tell_apart('c', b'')

    def test_call_without_an_id_gets_a_connection_of_its_own(self) -> None:
        assert SentRequests().can_tell_apart('', b'')
        assert not self.sent.can_tell_apart('', b'')

    def test_connection_carries_one_kind_of_order_after_named_requests(
        self,
    ) -> None:
        sent = SentRequests()
        sent.record('a', b'')
        assert sent.can_tell_apart('', b'stop run-1')
        sent.record('', b'stop run-1')
        assert sent.can_tell_apart('', b'stop run-1')
        assert not sent.can_tell_apart('', b'stop run-2')
        assert not sent.can_tell_apart('b', b'')


async def _repeat(nodes: tuple[str, ...], request_id: str) -> Response:
    """Call until an answer is no refusal, at a random node each time."""
    draws = random.Random(request_id)  # noqa: S311
    for _ in range(10):
        answer = await call(
            draws.choice(nodes), '/book/', request_id=request_id
        )
        if answer.status != 503:
            return answer
        await asyncio.sleep(draws.uniform(0, 0.05))
    return answer


Answer = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
CONTROL_S = 0.05
HANDLE = json.dumps({'kv_handle': 'h-1', 'created': 0}).encode()
REFUSAL = build_response(
    503, b'', 'Mastichatch-Attempt-Id: a\r\nMastichatch-Not-Executed: 1\r\n'
)


def answer_orders(*answers: tuple[bytes, ...]) -> Answer:
    """Return a server that writes scripted answers, with copies before them.

    Each connection gets all of them in turn, for one request each.
    """

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        for parts in answers:
            head = await reader.readuntil(b'\r\n\r\n')
            length = head.lower().partition(b'content-length:')[2]
            await reader.readexactly(int(length.split()[0]))
            for part in parts:
                await asyncio.sleep(CONTROL_S)
                writer.write(part)
        await reader.read()
        writer.close()

    return serve


def answer_connections(*answers: Answer) -> Answer:
    """Return a server that serves its connections in turn."""
    left = iter(answers)

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await next(left)(reader, writer)

    return serve


def order(address: str, request_id: str) -> MoveOrder:
    """Return an order to stop a run."""
    return MoveOrder(
        address=address,
        request_id=request_id,
        target='10.0.0.9:80',
        is_final=True,
    )


async def take_after_call(pool: ConnectionPool, address: str) -> Connection:
    """Return a connection that has carried the call ``a``, and its answer."""
    connection = await pool.take(address, 1.0)
    await connection.send(plain_request('a'))
    await connection.read_head()
    await connection.read_part()
    return connection


class TestCopiesBesideOrders:
    async def test_copy_of_a_refused_call_does_not_answer_an_order(
        self,
    ) -> None:
        stopped = build_response(200, HANDLE)
        serve = answer_orders((REFUSAL,), (REFUSAL, stopped))
        async with open_server(serve) as address:
            with open_pool(1.0, new_resources()) as pool:
                client = engine_client(pool)
                connection = await pool.take(address, 1.0)
                await connection.send(plain_request('a'))
                await connection.read_head()
                await connection.read_part()
                pool.release(connection)
                answer = await client.move(order(address, 'run-1'))
        assert (answer.status, answer.handle) == (200, 'h-1')

    async def test_copy_without_an_id_does_not_answer_an_order(self) -> None:
        """A call's 404 would prove that the run has ended."""
        missing = build_response(404, b'')
        refused = build_response(409, b'{}')
        serve = answer_connections(
            answer_orders((missing,), (missing, refused)),
            answer_orders((refused,)),
        )
        async with open_server(serve) as address:
            with open_pool(1.0, new_resources()) as pool:
                client = engine_client(pool)
                pool.release(await take_after_call(pool, address))
                answer = await client.move(order(address, 'run-1'))
        assert answer.status == 409

    async def test_copy_does_not_prove_that_a_run_stopped_again(self) -> None:
        """The run has come back to the engine since it was stopped there."""
        stopped = build_response(200, HANDLE)
        refused = build_response(409, b'{}')
        serve = answer_connections(
            answer_orders((stopped,), (stopped, refused)),
            answer_orders((refused,)),
        )
        async with open_server(serve) as address:
            with open_pool(1.0, new_resources()) as pool:
                client = engine_client(pool)
                first = await client.move(order(address, 'run-1'))
                again = await client.move(order(address, 'run-1'))
        assert (first.status, again.status) == (200, 409)

    async def test_refused_order_is_repeated_on_its_connection(self) -> None:
        """An engine that is about to end may accept no other."""
        refused = build_response(409, b'{}')
        stopped = build_response(200, HANDLE)
        serve = answer_orders((refused,), (stopped,))
        async with open_server(serve) as address:
            with open_pool(1.0, new_resources()) as pool:
                client = engine_client(pool)
                await client.move(order(address, 'run-1'))
                answer = await client.move(order(address, 'run-1'))
                assert pool.opened == 1
        assert answer.status == 200

    async def test_copy_of_an_orders_answer_does_not_answer_another(
        self,
    ) -> None:
        """Each of the two connections would answer its second order so."""
        stopped = build_response(200, HANDLE)
        refused = build_response(409, b'{}')
        serve = answer_orders((stopped,), (stopped, refused))
        async with open_server(serve) as address:
            with open_pool(1.0, new_resources()) as pool:
                client = engine_client(pool)
                await client.move(order(address, 'run-1'))
                opened = pool.opened
                await client.move(order(address, 'run-2'))
        assert pool.opened == opened + 1
