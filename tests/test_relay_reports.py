"""Tests of what went wrong for operators of similar systems."""

import asyncio

import pytest

from tests.relay_nodes import open_relay
from tests.standins import house_endpoints as endpoints
from tests.standins.house_endpoints import HouseEndpoint, ReceivedRequest

# Requests of one caller, one after the other, on one kept connection.
CALLS = 3


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
