"""A balancer with callers behind it, for tests: load that notes what failed."""

import asyncio
import contextlib
import itertools
from collections.abc import AsyncIterator
from typing import Final

import aiohttp

from tests.callers import TIMEOUT, Caller, answer_of
from tests.processes import PLAIN, Fleet, Node

LOOK_INTERVAL_S: Final = 0.2
IDLE_S: Final = 0.2


class Load:
    """Streams and bookings at the nodes that were ready at the last look.

    :ivar failures: what callers were told, where it was not the whole answer
    :ivar streams: number of whole streams
    :ivar booked: keys of the bookings that were answered
    """

    def __init__(self, fleet: Fleet, lengths: tuple[int, ...] = (30,)) -> None:
        """Start without load.

        :param fleet: where the requests go
        :param lengths: lengths of the streams, in turn
        """
        self.failures: list[str] = []
        self.streams = 0
        self.booked: list[str] = []
        self._fleet = fleet
        self._caller = Caller(fleet)
        self._lengths = itertools.cycle(lengths)
        self._numbers = itertools.count()
        self._ready: list[Node] = []
        self._stopped = False

    async def look(self) -> None:
        """Ask all nodes whether they are ready."""
        nodes = list(self._fleet.nodes.values())
        statuses = await asyncio.gather(
            *(node.status_of('/health/ready') for node in nodes)
        )
        self._ready = [
            node
            for node, status in zip(nodes, statuses, strict=True)
            if status == 200
        ]

    async def look_regularly(self) -> None:
        """Look at all nodes for ever."""
        while True:
            await self.look()
            await asyncio.sleep(LOOK_INTERVAL_S)

    def stop(self) -> None:
        """Begin no request from now on."""
        self._stopped = True

    async def stream_in_turn(self) -> None:
        """Stream one answer after the other."""
        while not self._stopped:
            number = next(self._numbers)
            await self.stream(self._pick(number), f'turn {number}')

    async def stream(
        self, node: Node, question: str, length: int | None = None
    ) -> None:
        """Stream one answer and check it."""
        length = length or next(self._lengths)
        reading = await self._caller.stream(node, question, length)
        reading.check_order()
        if reading.done and reading.text == answer_of(question, length):
            self.streams += 1
        else:
            self.failures.append(
                f'{question} at {node.options.name}: {reading.status} '
                f'{reading.error} broken={reading.broken} '
                f'after {len(reading.indexes)}'
            )

    async def book_in_turn(self) -> None:
        """Make one booking after the other."""
        while not self._stopped:
            await self.book()
            await asyncio.sleep(IDLE_S)

    async def book(self) -> None:
        """Make one booking and check its answer."""
        number = next(self._numbers)
        node = self._pick(number)
        key = f'key-{number}'
        try:
            async with self._fleet.session.post(
                f'{node.url}/v1/services/{PLAIN}/book',
                json={'booking': key},
                headers={'Workspace': 'large', 'Idempotency-Key': key},
                timeout=TIMEOUT,
            ) as answer:
                body = await answer.json()
        except (aiohttp.ClientError, TimeoutError) as error:
            body = {'error': repr(error)}
        if body.get('body') == {'booking': key}:
            self.booked.append(key)
        else:
            self.failures.append(f'{key} at {node.options.name}: {body}')

    def _pick(self, number: int) -> Node:
        return self._ready[number % len(self._ready)]


@contextlib.asynccontextmanager
async def open_load(
    fleet: Fleet,
    *,
    streams: int,
    bookings: int = 0,
    lengths: tuple[int, ...] = (30,),
) -> AsyncIterator[Load]:
    """Put load on a fleet; all that was begun is ended at the end.

    :param fleet: where the requests go
    :param streams: number of callers that stream
    :param bookings: number of callers that book
    :param lengths: lengths of the streams, in turn
    """
    load = Load(fleet, lengths)
    await load.look()
    looking = asyncio.create_task(load.look_regularly())
    callers = [
        *(load.stream_in_turn() for _ in range(streams)),
        *(load.book_in_turn() for _ in range(bookings)),
    ]
    async with asyncio.TaskGroup() as group:
        for caller in callers:
            group.create_task(caller)
        try:
            yield load
        finally:
            load.stop()
    looking.cancel()
