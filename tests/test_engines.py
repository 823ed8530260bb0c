"""Tests that an engine's stream is complete only with the end marker."""

import contextlib
from collections.abc import AsyncIterator

import pytest
from aiohttp import web

from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.messages import ErrorKind
from mastichatch_node.engines import open_engines

EVENT = b'id: g1:%d\ndata: {}\n\n'
DONE = b'data: [DONE]\n\n'


@contextlib.asynccontextmanager
async def engine_that_sends(*parts: bytes) -> AsyncIterator[str]:
    """Serve one response to every request, and yield the address."""

    async def answer(request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={'Generation-Id': 'g1', 'Boot-Id': 'b1'}
        )
        await response.prepare(request)
        for part in parts:
            await response.write(part)
        await response.write_eof()
        return response

    application = web.Application()
    application.router.add_route('*', '/{path:.*}', answer)
    runner = web.AppRunner(application)
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    try:
        host, port = runner.addresses[0][:2]
        yield f'{host}:{port}'
    finally:
        await runner.cleanup()


async def read_all(address: str) -> list[int]:
    """Return the event indexes of a generation."""
    async with (
        open_engines(1000) as engines,
        engines.start(
            address,
            b'{}',
            request_id='r',
            priority=0,
            idle_timeout_ms=1000,
        ) as stream,
    ):
        return [
            event.index async for events in stream.batches() for event in events
        ]


class TestEndMark:
    async def test_complete_stream_is_read_to_its_end(self) -> None:
        async with engine_that_sends(EVENT % 0, EVENT % 1, DONE) as address:
            assert await read_all(address) == [0, 1]

    async def test_stream_that_ends_cleanly_without_it_fails(
        self,
    ) -> None:
        async with engine_that_sends(EVENT % 0, EVENT % 1) as address:
            with pytest.raises(MastichatchError) as broken:
                await read_all(address)
        assert broken.value.kind is ErrorKind.endpoint_failed

    async def test_unreachable_engine_is_reported_as_such(self) -> None:
        async with engine_that_sends() as address:
            pass
        with pytest.raises(MastichatchError) as refused:
            await read_all(address)
        assert refused.value.kind is ErrorKind.endpoint_unreachable
