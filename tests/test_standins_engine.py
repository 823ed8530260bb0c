"""Tests of the HTTP engine stand-in."""

import contextlib
import json
from collections.abc import AsyncIterator

import aiohttp
import pytest

from tests.standins import engine, serving
from tests.standins.engine_model import EngineParameters

FAST = EngineParameters(cold_ms=0, step_ms=2)
MESSAGES = [{'role': 'user', 'content': 'Plan the season, length=40'}]
BODY = {'model': 'rota', 'messages': MESSAGES, 'stream': True}


@contextlib.asynccontextmanager
async def open_engine(
    parameters: EngineParameters = FAST,
    options: engine.EngineOptions | None = None,
) -> AsyncIterator[aiohttp.ClientSession]:
    """Serve an engine and connect to it."""
    application = engine.create_engine(
        parameters, options or engine.EngineOptions()
    )
    async with (
        serving.serve(application, 0) as address,
        aiohttp.ClientSession(f'http://{address}') as session,
    ):
        yield session


def read_ids(data: bytes) -> list[str]:
    """Return the ids of all events in order."""
    lines = data.decode().splitlines()
    return [line[4:] for line in lines if line.startswith('id: ')]


def read_text(data: bytes) -> str:
    """Return the text of all events in order."""
    chunks = [
        json.loads(line[6:])
        for line in data.decode().splitlines()
        if line.startswith('data: {')
    ]
    return ''.join(chunk['choices'][0]['delta']['content'] for chunk in chunks)


class TestStreams:
    """Generations over HTTP."""

    async def test_cut_stream_is_resumed_after_its_last_event(self) -> None:
        async with open_engine() as session:
            async with session.post(
                '/v1/chat/completions', json=BODY
            ) as answer:
                name = answer.headers['Generation-Id']
                first = await answer.content.readuntil(b'\n\n')
            async with session.get(
                f'/v1/generations/{name}/events?after=0'
            ) as answer:
                rest = await answer.read()
            assert read_ids(first + rest) == [f'1:{n}' for n in range(40)]
            assert read_text(first + rest) == engine.expected_answer(
                MESSAGES, 40
            )
            assert rest.endswith(b'data: [DONE]\n\n')

    async def test_silent_connection_stays_silent_while_new_ones_work(
        self,
    ) -> None:
        async with open_engine() as session:
            async with session.post(
                '/v1/chat/completions', json=BODY
            ) as answer:
                await session.post(
                    '/control', json={'silent_connections': True}
                )
                async with session.get('/v1/generations/1/events') as new:
                    assert len(read_ids(await new.read())) == 40
                assert len(read_ids(answer.content.read_nowait())) < 40

    async def test_restarted_engine_reuses_ids_under_a_new_boot(self) -> None:
        async with open_engine() as session:
            seen = []
            for _ in range(2):
                async with session.post(
                    '/v1/chat/completions', json=BODY
                ) as answer:
                    seen.append(answer.headers)
                    await session.post('/control', json={'restart': True})
                    with pytest.raises(aiohttp.ClientError):
                        await answer.read()
            assert seen[0]['Generation-Id'] == seen[1]['Generation-Id']
            assert seen[0]['Boot-Id'] != seen[1]['Boot-Id']

    async def test_abandoned_generation_is_cancelled_after_a_while(
        self,
    ) -> None:
        async with open_engine(
            options=engine.EngineOptions(keep_ms=20)
        ) as session:
            await session.post('/control', json={'token_delay_ms': 50})
            async with session.post('/v1/chat/completions', json=BODY):
                pass
            counts = {'cancelled': 0}
            while not counts['cancelled']:
                async with session.get('/control/generations') as answer:
                    counts = await answer.json()
            assert counts['cancelled'] == 1


class TestOrders:
    """Fencing numbers."""

    @pytest.mark.parametrize(('checks', 'status'), [(True, 409), (False, 202)])
    async def test_old_fence(self, checks: bool, status: int) -> None:
        options = engine.EngineOptions(checks_fencing=checks)
        async with open_engine(options=options) as session:
            for fence, expected in ((5, 202), (4, status)):
                async with session.post(
                    '/v1/orders',
                    json={'kind': 'load', 'name': 'rota', 'fence': fence},
                ) as answer:
                    assert answer.status == expected
