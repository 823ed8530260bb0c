"""Callers that keep their connections open until a node closes them."""

import asyncio
import contextlib
import itertools
import random
import time
from typing import Final

from tests import relay_nodes
from tests.soak.fleet import DEADLY_PART, NODES, Fleet
from tests.soak.records import Kind, Outcome

# Callers' requests a second on the whole fleet.
REQUESTS_PER_S: Final = 40.0
CALL_TIMEOUT_S: Final = 4.0
# How often a caller sends a refused request again under its id, and the longest
# time until it does.
REPEATS: Final = 2
REPEAT_S: Final = 0.2
# Tokens of a plan, of its output at the most, and of its parts.
PLAN_HEADERS: Final = (
    'Mastichatch-Model: m',
    'Mastichatch-Token-Counts: 100,2000',
    'Mastichatch-Prompt-Prefix: aa:60,bb:40',
)
DEADLY_HEADERS: Final = (
    *PLAN_HEADERS[:2],
    f'Mastichatch-Prompt-Prefix: aa:60,{DEADLY_PART}:20,bb:40',
)
# Share of plans with the deadly part, while it is deadly.
DEADLY_SHARE: Final = 0.2
# Calls of each kind at each node by which the fleet shows that it serves again;
# the two engines have eight slots each.
CALM_CALLS: Final = 4

_REFUSED: Final = 503

Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class Callers:
    """Callers of one fleet, with their open connections."""

    def __init__(self, fleet: Fleet, draws: random.Random) -> None:
        """Start without connections.

        :param fleet: whom to call
        :param draws: chance of what is called, where and when
        """
        self._fleet = fleet
        self._draws = draws
        self._numbers = itertools.count()
        self._idle: dict[str, list[Streams]] = {name: [] for name in NODES}
        self._tasks: set[asyncio.Task[None]] = set()

    async def repeat(self) -> None:
        """Call until cancelled, without waiting for answers."""
        while True:
            await asyncio.sleep(self._draws.expovariate(REQUESTS_PER_S))
            kind = self._draws.choice(tuple(Kind))
            task = asyncio.ensure_future(self._note(kind))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            self._fleet.note_ended()

    async def finish(self) -> None:
        """Wait for the answers that are still due."""
        await asyncio.gather(*self._tasks)

    async def call_all_kinds(self) -> list[Outcome]:
        """Return the outcomes of calls of each kind at each node."""
        return await asyncio.gather(
            *(
                self.call(kind, name, self._new_id(kind))
                for _ in range(CALM_CALLS)
                for kind in Kind
                for name in NODES
            )
        )

    async def probe(self, node: str, prefix: str) -> Outcome:
        """Send an idempotent request to a node under a prefix.

        :param node: name of the node
        :param prefix: prefix of the path
        """
        kind = Kind.idempotent
        return await self.call(kind, node, self._new_id(kind), prefix)

    async def call(
        self, kind: Kind, node: str, request_id: str, prefix: str = ''
    ) -> Outcome:
        """Send one request to a node and return what came back.

        :param kind: kind of the request
        :param node: name of the node
        :param request_id: id of the request
        :param prefix: prefix of the path, unless it is that of the kind
        """
        path = f'{prefix or f"/{kind}/"}x'
        sent_at = time.monotonic()
        answer = None
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(CALL_TIMEOUT_S):
                answer = await self._exchange(kind, node, path, request_id)
        return Outcome(
            request_id=request_id,
            kind=kind,
            node=node,
            sent_at=sent_at,
            status=answer.status if answer else 0,
            is_whole=answer.is_whole if answer else False,
            body=answer.body if answer else b'',
            answered_at=time.monotonic(),
        )

    async def _note(self, kind: Kind) -> None:
        request_id = self._new_id(kind)
        for _ in range(1 + REPEATS):
            node = self._draws.choice(NODES)
            outcome = await self.call(kind, node, request_id)
            self._fleet.records.outcomes.append(outcome)
            if outcome.status != _REFUSED:
                return
            await asyncio.sleep(self._draws.uniform(0, REPEAT_S))

    def _new_id(self, kind: Kind) -> str:
        return f'{kind}-{next(self._numbers)}'

    async def _exchange(
        self, kind: Kind, node: str, path: str, request_id: str
    ) -> relay_nodes.Response:
        reader, writer = await self._connect(node)
        is_kept = False
        try:
            headers = self._draw_headers(kind)
            writer.write(
                relay_nodes.request_bytes(
                    path, request_id=request_id, headers=headers
                )
            )
            answer = await relay_nodes.read_answer(reader)
            closes = answer.headers.get('connection', '') == 'close'
            is_kept = answer.is_whole and not closes
            return answer
        finally:
            if is_kept:
                self._idle[node].append((reader, writer))
            else:
                writer.close()

    def _draw_headers(self, kind: Kind) -> tuple[str, ...]:
        if kind is not Kind.streaming:
            return ()
        is_deadly = self._fleet.has_deadly_part
        if is_deadly and self._draws.random() < DEADLY_SHARE:
            return DEADLY_HEADERS
        return PLAN_HEADERS

    async def _connect(self, node: str) -> Streams:
        idle = self._idle[node]
        while idle:
            reader, writer = idle.pop()
            if not reader.at_eof():
                return reader, writer
            writer.close()
        address = self._fleet.nodes[node].addresses['callers']
        host, _, port = address.rpartition(':')
        return await asyncio.open_connection(host, int(port))
