"""A caller of models, for tests: reads streams and checks every event."""

import dataclasses
import json
from typing import Any, Final

import aiohttp

from tests.processes import MODEL, Fleet, Node
from tests.standins.engine import expected_answer

Json = dict[str, Any]
# Ends a request that hangs before pytest ends the whole test. On a busy machine
# the last of two thousand concurrent requests waits for minutes.
TIMEOUT: Final = aiohttp.ClientTimeout(total=230)


@dataclasses.dataclass(slots=True)
class Reading:
    """What a caller has read of one stream.

    :param status: HTTP status
    :param text: all content, in the order in which it came
    :param indexes: index of each event
    :param handles: handles of all events
    :param done: whether the end mark came
    :param error: the error event or error body, if any
    :param broken: whether the connection broke
    """

    status: int = 0
    text: str = ''
    indexes: list[int] = dataclasses.field(default_factory=list)
    handles: set[str] = dataclasses.field(default_factory=set)
    done: bool = False
    error: Json | None = None
    broken: bool = False

    @property
    def last_event_id(self) -> str:
        """Return the id of the last event."""
        (handle,) = self.handles
        return f'{handle}:{self.indexes[-1]}'

    def take(self, block: str) -> None:
        """Take one event."""
        if block == 'data: [DONE]':
            self.done = True
            return
        lines = dict(line.split(': ', 1) for line in block.split('\n'))
        data = json.loads(lines['data'])
        if 'error' in data:
            self.error = data['error']
            return
        handle, _, index = lines['id'].rpartition(':')
        self.handles.add(handle)
        self.indexes.append(int(index))
        self.text += data['choices'][0]['delta'].get('content', '')

    def check_order(self, start: int = 0) -> None:
        """Assert that each event came once, in order, of one generation."""
        assert self.indexes == list(range(start, start + len(self.indexes)))
        assert len(self.handles) <= 1


def messages_of(question: str, length: int) -> list[Json]:
    """Return messages whose answer has a number of tokens."""
    return [{'role': 'user', 'content': f'{question} length={length}'}]


def answer_of(question: str, length: int) -> str:
    """Return the whole answer to :func:`messages_of`."""
    return expected_answer(messages_of(question, length), length)


class Caller:
    """Asks nodes on behalf of one workspace."""

    def __init__(self, fleet: Fleet, workspace: str = 'small') -> None:
        """Use the fleet's session."""
        self._session = fleet.session
        self._headers = {'Workspace': workspace}

    async def stream(
        self,
        node: Node,
        question: str,
        length: int,
        stop_at: int | None = None,
        reading: Reading | None = None,
    ) -> Reading:
        """Ask for a streamed answer; optionally hang up after some events.

        :param reading: what is filled as events come
        """
        body = {
            'model': MODEL,
            'messages': messages_of(question, length),
            'stream': True,
        }
        request = self._session.post(
            f'{node.url}/v1/chat/completions',
            json=body,
            headers=self._headers,
            timeout=TIMEOUT,
        )
        return await read(request, stop_at, reading)

    async def resume(
        self, node: Node, last_event_id: str, reading: Reading | None = None
    ) -> Reading:
        """Ask for the rest of an answer."""
        handle = last_event_id.rpartition(':')[0]
        request = self._session.get(
            f'{node.url}/v1/chat/completions/{handle}',
            headers={**self._headers, 'Last-Event-ID': last_event_id},
            timeout=TIMEOUT,
        )
        return await read(request, None, reading)

    async def cancel(self, node: Node, handle: str) -> int:
        """Say that an answer is no longer wanted, and return the status."""
        async with self._session.delete(
            f'{node.url}/v1/chat/completions/{handle}',
            headers=self._headers,
            timeout=TIMEOUT,
        ) as answer:
            return answer.status

    async def whole(self, node: Node, question: str, length: int) -> Json:
        """Ask for an answer that is not streamed."""
        async with self._session.post(
            f'{node.url}/v1/chat/completions',
            json={'model': MODEL, 'messages': messages_of(question, length)},
            headers=self._headers,
            timeout=TIMEOUT,
        ) as answer:
            body: Json = await answer.json()
            assert answer.status == 200, body
            return body

    async def post(self, node: Node, path: str, **options: Any) -> Json:
        """Post anything and return status and body."""
        options.setdefault('headers', self._headers)
        async with self._session.post(
            node.url + path, timeout=TIMEOUT, **options
        ) as answer:
            return {'status': answer.status, 'body': await answer.json()}


def text_of(body: Json) -> str:
    """Return the content of a whole answer."""
    text: str = body['choices'][0]['message']['content']
    return text


async def read(
    request: Any, stop_at: int | None, reading: Reading | None = None
) -> Reading:
    """Read a stream to its end, or hang up after some events."""
    reading = reading or Reading()
    try:
        async with request as answer:
            reading.status = answer.status
            if answer.status != 200:
                reading.error = (await answer.json())['error']
                return reading
            pending = ''
            async for chunk in answer.content.iter_any():
                *blocks, pending = (pending + chunk.decode()).split('\n\n')
                for block in blocks:
                    reading.take(block)
                if stop_at is not None and len(reading.indexes) >= stop_at:
                    answer.close()
                    return reading
    except aiohttp.ClientError:
        reading.broken = True
    return reading
