"""An OpenAI client library works against a node unchanged."""

import pathlib
from collections.abc import AsyncIterator

import openai
import pytest
from openai.types.chat import ChatCompletionUserMessageParam

from tests.callers import answer_of
from tests.processes import Fleet, FleetPlan, open_fleet

PLAN = FleetPlan(
    data_centres=('north',),
    nodes=1,
    services=0,
    engine_flags=('--cold-ms', '0', '--step-ms', '20'),
)


@pytest.fixture
async def fleet(tmp_path: pathlib.Path) -> AsyncIterator[Fleet]:
    async with open_fleet(tmp_path, PLAN) as opened:
        yield opened


@pytest.fixture
async def client(fleet: Fleet) -> AsyncIterator[openai.AsyncOpenAI]:
    async with openai.AsyncOpenAI(
        base_url=f'{fleet.nodes["north-node-0"].url}/v1',
        api_key='small',
        max_retries=0,
    ) as opened:
        yield opened


def message(question: str, length: int) -> ChatCompletionUserMessageParam:
    return {'role': 'user', 'content': f'{question} length={length}'}


class TestClientLibrary:
    async def test_reads_whole_and_streamed_answers_and_models(
        self, client: openai.AsyncOpenAI
    ) -> None:
        whole = await client.chat.completions.create(
            model='rota', messages=[message('whole', 12)]
        )
        assert whole.choices[0].message.content == answer_of('whole', 12)
        assert whole.choices[0].finish_reason
        stream = await client.chat.completions.create(
            model='rota', messages=[message('stream', 12)], stream=True
        )
        text = ''
        async for chunk in stream:
            text += chunk.choices[0].delta.content or ''
        assert text == answer_of('stream', 12)
        assert [model.id async for model in client.models.list()] == ['rota']

    async def test_raises_its_own_errors(
        self, client: openai.AsyncOpenAI
    ) -> None:
        with pytest.raises(openai.NotFoundError) as unknown:
            await client.chat.completions.create(
                model='none', messages=[message('x', 1)]
            )
        assert unknown.value.code == 'unknown_service'
        with pytest.raises(openai.BadRequestError):
            await client.chat.completions.create(model='rota', messages=[])
        stranger = client.with_options(api_key='stranger')
        with pytest.raises(openai.PermissionDeniedError):
            await stranger.chat.completions.create(
                model='rota', messages=[message('x', 1)]
            )

    async def test_raises_an_error_from_a_stream_that_was_lost(
        self, fleet: Fleet, client: openai.AsyncOpenAI
    ) -> None:
        stream = await client.chat.completions.create(
            model='rota', messages=[message('lost', 500)], stream=True
        )
        with pytest.raises(openai.APIError) as lost:
            async for _ in stream:
                fleet.endpoints['north-engine-0'].process.kill()
        assert lost.value.code == 'generation_lost'
