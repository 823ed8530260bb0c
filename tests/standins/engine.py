"""HTTP stand-in for a model engine, on top of the engine model.

The text of an answer follows from its prompt alone, so that a test can check
that a caller got its own whole answer. `length=40` in the last message sets
the number of tokens.
"""

import asyncio
import collections
import dataclasses
import hashlib
import json
import os
import re
import time
import uuid
from collections.abc import Callable
from typing import Final

import msgspec
import xxhash
from aiohttp import web

from tests.standins import serving
from tests.standins.engine_model import EngineModel, EngineParameters

CHARACTERS_PER_TOKEN: Final = 4
DEFAULT_LENGTH: Final = 16
HASH_MASK: Final = (1 << 63) - 1
DEATH_DELAY_S: Final = 0.02
EXIT_FALLEN: Final = 3
LENGTH: Final = re.compile(r'length=(\d+)')


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineOptions:
    """What the HTTP engine does beside decoding.

    :param checks_fencing: whether an old fencing number is refused
    :param loading_ms: time to load a model
    :param keep_ms: how long a generation without a connection is kept
    :param on_loss: called when the engine dies or falls over; without it, the
        engine starts again at the same address with a new boot id
    """

    checks_fencing: bool = False
    loading_ms: float = 500
    keep_ms: float = 3000
    on_loss: Callable[[], None] | None = None


def find_text(messages: list[serving.Body]) -> str:
    """Return the text of all messages."""
    return '\n'.join(str(message['content']) for message in messages)


def digest_text(text: str) -> str:
    """Return the start of every token of the answer to a prompt."""
    return hashlib.sha256(text.encode()).hexdigest()[:6]


def expected_answer(messages: list[serving.Body], length: int) -> str:
    """Return the whole answer to some messages.

    :param messages: messages of the request
    :param length: number of tokens
    """
    digest = digest_text(find_text(messages))
    return ''.join(f'{digest}-{index} ' for index in range(length))


def find_length(body: serving.Body) -> int:
    """Return the number of tokens that a request leads to."""
    named = LENGTH.search(str(body['messages'][-1]['content']))
    limit = body.get('max_completion_tokens') or body.get('max_tokens')
    length = int(named.group(1)) if named else limit or DEFAULT_LENGTH
    return max(min(length, limit or length), 1)


def hash_prefix(body: serving.Body) -> str:
    """Return the hash of the model's name and the first message."""
    first = body['messages'][0]
    digest = xxhash.xxh3_64_intdigest(
        msgspec.json.encode((body['model'], first['role'], first['content']))
    )
    return str(digest & HASH_MASK)


class Output:
    """The tokens of one generation, as far as produced."""

    def __init__(self, name: str, body: serving.Body) -> None:
        """Start before the first token."""
        self.name = name
        self.model = body['model']
        self.text = find_text(body['messages'])
        self.digest = digest_text(self.text)
        self.prompt_tokens = max(len(self.text) // CHARACTERS_PER_TOKEN, 1)
        self.length = find_length(body)
        self.produced = 0
        self.finished = False
        self.lost = False
        self.connections = 0
        self.changed = asyncio.Event()

    def wake(self) -> None:
        """Wake the connections that wait for a token."""
        self.changed.set()
        self.changed = asyncio.Event()

    def event(self, index: int) -> bytes:
        """Return one token as a server-sent event."""
        choice: serving.Body = {
            'index': 0,
            'delta': {'content': f'{self.digest}-{index} '},
            'finish_reason': None,
        }
        chunk: serving.Body = {
            'id': f'chatcmpl-{self.name}',
            'object': 'chat.completion.chunk',
            'created': 0,
            'model': self.model,
            'choices': [choice],
        }
        if self.finished and index == self.produced - 1:
            whole = self.produced == self.length
            choice['finish_reason'] = 'stop' if whole else 'length'
            chunk['usage'] = {
                'prompt_tokens': self.prompt_tokens,
                'completion_tokens': self.produced,
                'total_tokens': self.prompt_tokens + self.produced,
            }
        data = json.dumps(chunk, separators=(',', ':'))
        return f'id: {self.name}:{index}\ndata: {data}\n\n'.encode()


class Engine:
    """One engine: its boot, generations, orders and faults."""

    def __init__(
        self, parameters: EngineParameters, options: EngineOptions
    ) -> None:
        """Start cold; needs a running loop."""
        self.parameters = parameters
        self.options = options
        self.counts: collections.Counter[str] = collections.Counter()
        self.request_ids: list[str] = []
        self.asked_ids: list[str] = []
        self.peaks = {'peak': 0, 'peak_cold': 0}
        self.faults: serving.Body = {
            'refuse': False,
            'stall': False,
            'hold_order': False,
            'start_delay_ms': 0,
        }
        self.flowing = asyncio.Event()
        self.flowing.set()
        self.silent_since = 0
        self.connection_count = 0
        self.orders: list[serving.Body] = []
        self.held_orders: list[serving.Body] = []
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self.outputs: dict[str, Output] = {}
        self.boot()

    def boot(self) -> None:
        """Start again: new boot id, cold, ids from one, nothing known."""
        self.boot_id = uuid.uuid4().hex
        self.model = EngineModel(self.parameters, self._loop.time())
        self.started = 0
        self.loaded: set[str] = set()
        self.loading: set[str] = set()
        self.role = ''
        self.fence = 0
        for output in self.outputs.values():
            output.lost = True
            output.wake()
        self.outputs = {}

    def lose(self) -> None:
        """Die, or start again where nothing was set for that."""
        if self.options.on_loss is not None:
            self.options.on_loss()
        self.boot()

    def change(self, body: serving.Body) -> None:
        """Apply a control call."""
        self.faults.update(body)
        if self.faults['stall']:
            self.flowing.clear()
        else:
            self.flowing.set()
        if 'token_delay_ms' in body:
            self.model.slow_down(body['token_delay_ms'])
        if body.get('silent_connections'):
            self.silent_since = self.connection_count
        if body.get('turn_cold'):
            self.model.turn_cold(self._loop.time())
        if body.get('release_orders'):
            for order in self.held_orders:
                self.order(order)
            self.held_orders = []
        if body.get('restart'):
            self.boot()
        if body.get('die'):
            # The control call is answered first.
            self._loop.call_later(DEATH_DELAY_S, self.lose)

    def start(
        self, body: serving.Body, request_id: str, priority: int
    ) -> Output | None:
        """Start a generation, or return none when overloaded."""
        now = self._loop.time()
        self._tick()
        output = Output(str(self.started + 1), body)
        first = str(body['messages'][0]['content'])
        if not self.model.submit(
            output.name,
            prompt_tokens=output.prompt_tokens,
            output_tokens=output.length,
            now=now,
            priority=priority,
            prefix_hash=hash_prefix(body),
            prefix_tokens=len(first) // CHARACTERS_PER_TOKEN,
        ):
            return None
        self.started += 1
        self.counts['started'] += 1
        self.request_ids.append(request_id)
        self.outputs[output.name] = output
        self._note_peak(now)
        # A cold engine may have fallen over at once.
        self._tick()
        self._schedule()
        return output

    def count_running(self) -> int:
        """Return the number of generations in progress, waiting ones too."""
        return sum(not output.finished for output in self.outputs.values())

    def show_generations(self) -> serving.Body:
        """Return what was started and how it ended."""
        names = ('started', 'cancelled', 'finished', 'falls')
        return {name: self.counts[name] for name in names} | {
            'running': self.count_running(),
            'request_ids': self.request_ids,
            'asked_ids': self.asked_ids,
        }

    def show_orders(self) -> serving.Body:
        """Return the orders, those not yet taken, and what they led to."""
        return {
            'orders': self.orders,
            'held': self.held_orders,
            'reads': self.counts['state_reads'],
            'loaded': sorted(self.loaded),
            'loading': sorted(self.loading),
        }

    def cancel(self, output: Output) -> None:
        """Drop a generation and cut its connections."""
        if self.outputs.get(output.name) is not output:
            return
        del self.outputs[output.name]
        self.model.cancel(output.name)
        if not output.finished:
            self.counts['cancelled'] += 1
        output.lost = True
        output.wake()

    def detach(self, output: Output) -> None:
        """Drop a generation some time after its last connection went."""
        output.connections -= 1

        def drop() -> None:
            if output.connections == 0:
                self.cancel(output)

        self._loop.call_later(self.options.keep_ms / 1000, drop)

    def order(self, body: serving.Body) -> bool:
        """Take an order, or refuse its fencing number."""
        stale = body['fence'] < self.fence
        accepted = not (stale and self.options.checks_fencing)
        self.orders.append(
            body
            | {
                'at': time.monotonic(),
                'accepted': accepted,
                'stale': stale,
                'overlapped': bool(self.loading),
            }
        )
        if accepted:
            self.fence = max(self.fence, body['fence'])
            self._carry_out(body['kind'], body['name'])
        return accepted

    def _carry_out(self, kind: str, name: str) -> None:
        if kind == 'role':
            self.role = name
        elif kind == 'unload':
            self.loaded.discard(name)
        else:
            self.loading.add(name)
            self._loop.call_later(
                self.options.loading_ms / 1000,
                self._finish_loading,
                self.boot_id,
                name,
            )

    def _finish_loading(self, boot_id: str, name: str) -> None:
        if boot_id == self.boot_id:
            self.loading.discard(name)
            self.loaded.add(name)

    def _note_peak(self, now: float) -> None:
        for name, peak in self.peaks.items():
            if name == 'peak' or self.model.is_cold(now):
                self.peaks[name] = max(peak, self.count_running())

    def _schedule(self) -> None:
        due = self.model.next_event_at
        if self._timer is None and due is not None:
            self._timer = self._loop.call_at(due, self._ring)

    def _ring(self) -> None:
        self._timer = None
        self._tick()
        self._schedule()

    def _tick(self) -> None:
        for event in self.model.advance(self._loop.time()):
            output = self.outputs[event.generation]
            output.produced = event.index + 1
            output.finished = event.finished
            if event.finished:
                self.counts['finished'] += 1
            output.wake()
        if self.model.fallen:
            self.counts['falls'] += 1
            self.lose()


async def stream_output(
    engine: Engine, output: Output, request: web.Request, following: int
) -> web.StreamResponse:
    """Send a generation from one index on until it ends.

    :param engine: engine that the generation runs on
    :param output: the generation
    :param request: request that asked for it
    :param following: index of the first event to send
    """
    response = web.StreamResponse(
        headers={
            'Content-Type': 'text/event-stream',
            'Generation-Id': output.name,
            'Boot-Id': engine.boot_id,
            'In-Reply-To': request.headers.get('Request-Id', ''),
        }
    )
    engine.connection_count += 1
    number = engine.connection_count
    output.connections += 1
    try:
        await response.prepare(request)
        await response.write(b'')
        while not output.lost:
            changed = output.changed
            await engine.flowing.wait()
            if number <= engine.silent_since:
                await asyncio.Event().wait()
            if following < output.produced:
                indices = range(following, output.produced)
                await response.write(b''.join(map(output.event, indices)))
                following = indices.stop
            elif output.finished:
                await response.write(b'data: [DONE]\n\n')
                return response
            else:
                await changed.wait()
    except ConnectionError:
        return response
    finally:
        engine.detach(output)
    serving.cut(request)
    return response


def create_generation_routes(engine: Engine) -> list[web.RouteDef]:
    """Return the calls for generations."""

    async def complete(request: web.Request) -> web.StreamResponse:
        body = await request.json()
        request_id = request.headers.get('Request-Id', '')
        engine.asked_ids.append(request_id)
        await asyncio.sleep(engine.faults['start_delay_ms'] / 1000)
        output = None
        boot_id = request.headers.get('Boot-Id', engine.boot_id)
        if not engine.faults['refuse'] and boot_id == engine.boot_id:
            priority = int(request.headers.get('Priority', '0'))
            output = engine.start(body, request_id, priority)
        if output is None:
            return web.json_response(
                {'error': {'type': 'overloaded'}}, status=503
            )
        return await stream_output(engine, output, request, 0)

    async def resume(request: web.Request) -> web.StreamResponse:
        output = engine.outputs.get(request.match_info['name'])
        if output is None:
            return web.json_response({}, status=404)
        following = int(request.query.get('after', '-1')) + 1
        return await stream_output(engine, output, request, following)

    async def cancel(request: web.Request) -> web.Response:
        output = engine.outputs.get(request.match_info['name'])
        boot_id = request.headers.get('Boot-Id', engine.boot_id)
        if output is None or boot_id != engine.boot_id:
            return web.json_response({}, status=404)
        engine.cancel(output)
        return web.json_response({})

    return [
        web.post('/v1/chat/completions', complete),
        web.get('/v1/generations/{name}/events', resume),
        web.delete('/v1/generations/{name}', cancel),
    ]


def create_report_routes(engine: Engine) -> list[web.RouteDef]:
    """Return the calls for load, cache events and orders."""

    def now() -> float:
        return asyncio.get_running_loop().time()

    def load() -> serving.Body:
        report = dataclasses.asdict(engine.model.report(now()))
        return {'boot_id': engine.boot_id} | report

    async def cache_events(request: web.Request) -> web.Response:
        after = int(request.query.get('after', '0'))
        events = [
            {
                'sequence': event.sequence,
                'kind': event.kind,
                'prefix_hash': event.prefix_hash,
            }
            for event in engine.model.cache_events(after, now())
        ]
        following = events[-1]['sequence'] if events else after
        return web.json_response({'next': following, 'events': events})

    async def order(request: web.Request) -> web.Response:
        body = await request.json()
        if engine.faults['hold_order']:
            # The next order only: it is late, and its sender hears nothing.
            engine.faults['hold_order'] = False
            engine.held_orders.append(body)
            await asyncio.Event().wait()
        accepted = engine.order(body)
        return web.json_response({}, status=202 if accepted else 409)

    def orders() -> serving.Body:
        engine.counts['state_reads'] += 1
        return {
            'loaded': sorted(engine.loaded),
            'loading': sorted(engine.loading),
            'role': engine.role,
            'fence': engine.fence,
        }

    return [
        serving.show('/v1/load', load),
        web.get('/v1/cache/events', cache_events),
        web.post('/v1/orders', order),
        serving.show('/v1/orders', orders),
    ]


def create_engine(
    parameters: EngineParameters, options: EngineOptions
) -> web.Application:
    """Return the stand-in; needs a running loop.

    :param parameters: size and speed
    :param options: the rest
    """
    engine = Engine(parameters, options)
    return serving.create_application(
        *create_generation_routes(engine),
        *create_report_routes(engine),
        serving.control(engine.change),
        serving.show('/control/generations', engine.show_generations),
        serving.show('/control/peak', lambda: engine.peaks),
        serving.show('/control/orders', engine.show_orders),
    )


def main() -> None:
    """Run the stand-in."""
    parser = serving.create_parser('Model engine stand-in')
    fields = dataclasses.fields(EngineParameters)
    for field in fields:
        parser.add_argument(
            '--' + field.name.replace('_', '-'),
            type=type(field.default),
            default=field.default,
        )
    parser.add_argument('--checks-fencing', action='store_true')
    parser.add_argument('--loading-ms', type=float, default=500)
    parser.add_argument('--keep-ms', type=float, default=3000)
    parser.add_argument(
        '--restarts', action='store_true', help='start again after a loss'
    )
    arguments = parser.parse_args()
    parameters = EngineParameters(
        **{field.name: getattr(arguments, field.name) for field in fields}
    )

    def die() -> None:
        os._exit(EXIT_FALLEN)

    options = EngineOptions(
        checks_fencing=arguments.checks_fencing,
        loading_ms=arguments.loading_ms,
        keep_ms=arguments.keep_ms,
        on_loss=None if arguments.restarts else die,
    )
    serving.run(lambda: create_engine(parameters, options), arguments.port)


if __name__ == '__main__':
    main()
