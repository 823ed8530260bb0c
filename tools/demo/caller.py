"""Calls the system as a customer's program would."""

import dataclasses
import json
from collections.abc import AsyncIterator
from typing import Any, Final

import aiohttp

WORKSPACE: Final = 'depots'
MODEL: Final = 'route-briefs'
_DATA: Final = b'data: '
_ID: Final = b'id: '


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Token:
    """One token as the caller received it.

    :param event_id: id by which the stream can be resumed
    :param text: the token
    """

    event_id: str
    text: str

    @property
    def generation(self) -> str:
        """Handle of the generation."""
        return self.event_id.rpartition(':')[0]

    @property
    def index(self) -> int:
        """Position in the generation, from zero."""
        return int(self.event_id.rpartition(':')[2])


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """A whole answer.

    :param status: HTTP status
    :param body: the JSON body
    """

    status: int
    body: Any


class StreamError(Exception):
    """The stream ended with an error event."""


class Caller:
    """A customer's program.

    :param session: HTTP client
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        """Keep the client."""
        self._session = session

    async def stream(
        self,
        address: str,
        prompt: str,
        request_id: str,
    ) -> AsyncIterator[Token]:
        """Yield the tokens of a chat completion as they come.

        :param address: node to ask
        :param prompt: what is asked
        :param request_id: id that goes through all logs
        :raises aiohttp.ClientError: where the connection breaks
        :raises StreamError: where the stream ends with an error
        """
        request = self._session.post(
            f'http://{address}/v1/chat/completions',
            json=chat_body(prompt, stream=True),
            headers={'Workspace': WORKSPACE, 'Request-Id': request_id},
        )
        async with request as response:
            async for token in _tokens(response):
                yield token

    async def resume(self, address: str, last: Token) -> AsyncIterator[Token]:
        """Yield the tokens that follow the last one received.

        :param address: node to ask
        :param last: last token that was received
        """
        request = self._session.get(
            f'http://{address}/v1/chat/completions/{last.generation}',
            headers={'Workspace': WORKSPACE, 'Last-Event-ID': last.event_id},
        )
        async with request as response:
            async for token in _tokens(response):
                yield token

    async def ask(self, address: str, prompt: str, request_id: str) -> Answer:
        """Return a whole chat completion.

        :param address: node to ask
        :param prompt: what is asked
        :param request_id: id that goes through all logs
        """
        request = self._session.post(
            f'http://{address}/v1/chat/completions',
            json=chat_body(prompt, stream=False),
            headers={'Workspace': WORKSPACE, 'Request-Id': request_id},
        )
        async with request as response:
            return await _answer(response)

    async def book(self, address: str, key: str, load: str) -> Answer:
        """Return the answer to a haul booking.

        :param address: node to ask
        :param key: idempotency key
        :param load: what is hauled
        """
        request = self._session.post(
            f'http://{address}/v1/services/dispatch/book-haul',
            json={'load': load},
            headers={'Workspace': WORKSPACE, 'Idempotency-Key': key},
        )
        async with request as response:
            return await _answer(response)


def chat_body(prompt: str, *, stream: bool) -> dict[str, Any]:
    """Return the body of a chat completion.

    :param prompt: what is asked
    :param stream: whether the answer is streamed
    """
    return {
        'model': MODEL,
        'messages': [{'role': 'user', 'content': prompt}],
        'stream': stream,
    }


async def _answer(response: aiohttp.ClientResponse) -> Answer:
    return Answer(
        status=response.status,
        body=json.loads(await response.read()),
    )


async def _tokens(response: aiohttp.ClientResponse) -> AsyncIterator[Token]:
    if response.status != 200:
        raise StreamError((await response.read()).decode())
    event_id = ''
    async for raw in response.content:
        line = raw.strip()
        if line.startswith(_ID):
            event_id = line.removeprefix(_ID).decode()
        elif line.startswith(_DATA):
            data = line.removeprefix(_DATA)
            if data == b'[DONE]':
                return
            yield Token(event_id=event_id, text=_text(data))
    raise aiohttp.ClientPayloadError('the stream ended before its end')


def _text(data: bytes) -> str:
    chunk = json.loads(data)
    if 'error' in chunk:
        raise StreamError(data.decode())
    return str(chunk['choices'][0]['delta'].get('content', ''))
