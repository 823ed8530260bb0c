"""Tests of what went wrong for operators of similar systems."""

import asyncio

import pytest

from mastichatch_node.relay.relay_node import DRAIN_NOTICE_S
from tests.relay_nodes import open_relay
from tests.standins import house_endpoints as endpoints
from tests.standins.house_endpoints import HouseEndpoint, ReceivedRequest

# Requests of one caller, one after the other, on one kept connection.
CALLS = 3
PLAN = ('Mastichatch-Model: m', 'Mastichatch-Token-Counts: 100,400')


def refusal(request_id: str | None) -> bytes:
    """Return a refusal, with or without the id of the refused request."""
    headers = 'Mastichatch-Not-Executed: 1\r\n'
    if request_id is not None:
        headers += f'Mastichatch-Attempt-Id: {request_id}\r\n'
    return endpoints.build_response(503, b'', headers)


def refuse_again(*, with_id: bool, before_request: bool) -> endpoints.Script:
    """Return a script that refuses the first request twice.

    It runs all later requests. The second copy is written at once after the
    first, a little later, or when the next request arrives.
    """
    refused: list[str] = []

    async def write(
        endpoint: HouseEndpoint,
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> None:
        if not refused:
            refused.append(request.request_id)
            writer.write(refusal(request.request_id))
            if before_request:
                await writer.drain()
                loop = asyncio.get_running_loop()
                copy = refusal(refused[0] if with_id else None)
                loop.call_later(0.05, writer.write, copy)
            return
        if not before_request and len(refused) == 1:
            refused.append('')
            writer.write(refusal(refused[0] if with_id else None))
        await endpoints.respond_ok(endpoint, request, writer)

    return write


class TestRefusalWrittenAgain:
    @pytest.mark.parametrize('with_id', [True, False])
    @pytest.mark.parametrize('before_request', [True, False])
    async def test_next_request_is_not_told_that_it_has_not_run(
        self, with_id: bool, before_request: bool
    ) -> None:
        """The second copy has no id, or the id of the refused request."""
        app = HouseEndpoint(
            'a1', refuse_again(with_id=with_id, before_request=before_request)
        )
        async with open_relay((app,)) as relay:
            for number in range(CALLS):
                answer = await relay.call('/book/x', request_id=f'b{number}')
                await asyncio.sleep(0.15)
                if f'b{number}' in app.ran:
                    assert answer.status not in {408, 421, 429, 503}
            assert len(app.ran) == len(set(app.ran))

    async def test_connection_with_unread_bytes_is_not_used_again(self) -> None:
        """A request sent on it would fail, although it could be served."""
        script = refuse_again(with_id=True, before_request=True)
        app = HouseEndpoint('a1', script)
        async with open_relay((app,)) as relay:
            await relay.call('/book/x', request_id='b0')
            await asyncio.sleep(0.15)
            answer = await relay.call('/book/x', request_id='b1')
        assert answer.status == 200


def head_of_answer(request: ReceivedRequest, framing: str) -> bytes:
    """Return the complete head of a success."""
    head = f'HTTP/1.1 200 OK\r\n{endpoints.signature_headers(request)}{framing}'
    return head.encode() + b'\r\n'


class TestCutAnswer:
    @pytest.mark.parametrize('framing', ['', 'Content-Length: 5\r\n'])
    async def test_no_part_of_a_head_makes_a_success(
        self, framing: str
    ) -> None:
        """The server stops after each byte of its head, and closes."""
        cuts = iter(range(1, 200, 7))

        def cut(request: ReceivedRequest) -> bytes:
            head = head_of_answer(request, framing)
            return head[: min(next(cuts), len(head) - 1)]

        app = HouseEndpoint('a1', endpoints.raw(cut, closes=True))
        async with open_relay((app,)) as relay:
            for number in range(20):
                answer = await relay.call('/book/x', request_id=f'b{number}')
                assert answer.status == 502

    async def test_unframed_stream_that_ends_inside_an_event_is_cut(
        self,
    ) -> None:
        """It used to be handed out as a complete stream."""

        def cut(request: ReceivedRequest) -> bytes:
            event = b'id: 1\ndata: a\n\nid: 2\ndata: b'
            return head_of_answer(request, '') + event

        engine = HouseEndpoint('e1', endpoints.raw(cut, closes=True))
        async with open_relay(engines=(engine,)) as relay:
            answer = await relay.call('/plan/x', headers=PLAN)
        assert answer.body == b'id: 1\ndata: a\n\n'
        assert not answer.is_whole

    async def test_unframed_stream_that_ends_after_an_event_is_whole(
        self,
    ) -> None:
        def whole(request: ReceivedRequest) -> bytes:
            return head_of_answer(request, '') + b'id: 1\ndata: a\n\n'

        engine = HouseEndpoint('e1', endpoints.raw(whole, closes=True))
        async with open_relay(engines=(engine,)) as relay:
            answer = await relay.call('/plan/x', headers=PLAN)
        assert answer.is_whole

    @pytest.mark.parametrize('path', ['/plan/x', '/book/x'])
    async def test_unframed_answer_of_a_server_that_crashed_is_cut(
        self, path: str
    ) -> None:
        """A crash between two events closes the connection like an end."""

        async def crash(
            endpoint: HouseEndpoint,
            request: ReceivedRequest,
            writer: asyncio.StreamWriter,
        ) -> None:
            endpoint.ran.append(request.request_id)
            head = head_of_answer(request, '')
            writer.write(head + b'id: 1\ndata: a\n\n')
            await writer.drain()
            endpoint.crash()

        app, engine = HouseEndpoint('a1', crash), HouseEndpoint('e1', crash)
        async with open_relay((app,), (engine,)) as relay:
            answer = await relay.call(path, headers=PLAN)
        assert answer.status == 502 or not answer.is_whole


class TestPlannedStop:
    async def test_call_that_would_outlast_the_grace_is_refused(self) -> None:
        """Calls taken late in the grace were cut off at its end.

        The node has 4 s of grace, of which half a second is for closing. A
        booking may take 3 s, so that one that arrives after the load balancer
        has noticed the stop cannot be waited for.
        """
        app = HouseEndpoint('a1', endpoints.respond_ok)
        async with open_relay((app,), grace_ms=4000) as relay:
            relay.node.set_draining()
            early = await relay.call('/book/x', request_id='b0')
            await asyncio.sleep(DRAIN_NOTICE_S)
            late = await relay.call('/book/x', request_id='b1', timeout_ms=3000)
            short = await relay.call('/book/x', request_id='b2', timeout_ms=400)
        assert (early.status, late.status, short.status) == (200, 503, 200)
        assert app.ran == ['b0', 'b2']
        assert b'draining' in late.body
        assert late.headers['connection'] == 'close'
