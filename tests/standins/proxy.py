"""TCP proxy that delays, cuts and silently blackholes connections.

Faults act as a network's do. Bytes that a blackhole holds back pass once it
ends, as TCP sends them again; only a connection that something has lost track
of (`blackhole_existing`) stays silent for good.
"""

import asyncio
import contextlib
import re
import socket
import struct
from collections.abc import AsyncIterator, Iterator
from typing import Final, Literal

from aiohttp import web

from tests.standins import serving

CHUNK_BYTES: Final = 65536
BEGIN_BYTES: Final = 32
LINGER_NONE: Final = struct.pack('ii', 1, 0)

ADDRESS: Final = re.compile(rb'127\.0\.0\.1:\d+')

Direction = Literal['up', 'down']


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset, losing what was not yet sent."""
    with contextlib.suppress(OSError):
        writer.get_extra_info('socket').setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE
        )
    writer.transport.abort()


class Proxy:
    """One listener, its connections and the faults in force."""

    def __init__(self, target: str, port: int) -> None:
        """Start without faults and not listening.

        :param target: address, as IP:PORT
        :param port: TCP port to listen on; 0 takes a free one
        """
        self._target = target
        self._port = port
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._changed = asyncio.Event()
        # Listening and cutting take several steps of the loop.
        self._change_lock = asyncio.Lock()
        self._delay_s = 0.0
        self._blackhole = False
        self._one_way = ''
        self._one_way_begin = b''
        self._blocked: frozenset[str] = frozenset()
        self._senders: dict[int, str] = {}
        self._begins: dict[int, bytes] = {}
        self._outputs: dict[int, asyncio.StreamWriter] = {}
        self._silent_since = 0
        self._accepted = 0
        self._passed_bytes = {'up': 0, 'down': 0}

    @property
    def address(self) -> str:
        """Return the address that it listens on."""
        return f'127.0.0.1:{self._port}'

    @property
    def counts(self) -> serving.Body:
        """Return connections, how each began, and the bytes passed."""
        counts: serving.Body = {
            'accepted': self._accepted,
            'open': len(self._tasks),
            'begins': [
                begin[:BEGIN_BYTES].decode(errors='replace')
                for begin in self._begins.values()
            ],
        }
        return counts | self._passed_bytes

    async def listen(self) -> None:
        """Accept connections, on the same port as before."""
        if self._server is not None:
            return
        self._server = await asyncio.start_server(
            self._accept, '127.0.0.1', self._port, backlog=4096
        )
        self._port = self._server.sockets[0].getsockname()[1]

    async def cut(self) -> None:
        """Refuse new connections and reset all that are open."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in tuple(self._writers):
            reset(writer)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def change(self, body: serving.Body) -> None:
        """Apply a control call, after those that came before it.

        :param body: `delay_ms`, `cut`, `blackhole`, `blackhole_existing`,
            `one_way` (`up` or `down`; with `one_way_begin` on connections that
            began with these bytes alone), `block_senders` (a blackhole for the
            nodes with these peer addresses) or `restore`, which ends all
            others;
            `target` passes later connections on to another address; `swap`
            hands what comes down each connection that began with these bytes
            to another one of them, in pairs
        """
        async with self._change_lock:
            await self._apply_change(body)

    async def _apply_change(self, body: serving.Body) -> None:
        if body.get('restore'):
            body = {
                'delay_ms': 0,
                'blackhole': False,
                'one_way': '',
                'one_way_begin': '',
                'block_senders': (),
            } | body
            await self.listen()
        self._delay_s = body.get('delay_ms', self._delay_s * 1000) / 1000
        self._blackhole = body.get('blackhole', self._blackhole)
        self._one_way = body.get('one_way', self._one_way)
        if 'one_way_begin' in body:
            self._one_way_begin = body['one_way_begin'].encode()
        self._blocked = frozenset(body.get('block_senders', self._blocked))
        self._target = body.get('target', self._target)
        if 'swap' in body:
            self._swap(body['swap'].encode())
        if body.get('blackhole_existing'):
            self._silent_since = self._accepted
        if body.get('cut'):
            await self.cut()
        self._changed.set()
        self._changed = asyncio.Event()

    def _swap(self, begin: bytes) -> None:
        numbers = [
            number
            for number in self._outputs
            if self._begins.get(number, b'').startswith(begin)
        ]
        for one, other in zip(numbers[::2], numbers[1::2], strict=False):
            outputs = self._outputs
            outputs[one], outputs[other] = outputs[other], outputs[one]

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._accepted += 1
        task = asyncio.create_task(self._relay(self._accepted, reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _relay(
        self,
        number: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        host, port = self._target.split(':')
        async with contextlib.AsyncExitStack() as stack:
            stack.enter_context(contextlib.suppress(OSError))
            stack.enter_context(self._owning(writer))
            stack.callback(self._outputs.pop, number)
            self._outputs[number] = writer
            up_reader, up_writer = await asyncio.open_connection(
                host, int(port)
            )
            stack.enter_context(self._owning(up_writer))
            await asyncio.gather(
                self._pump(number, 'up', reader, up_writer),
                self._pump(number, 'down', up_reader, writer),
            )

    @contextlib.contextmanager
    def _owning(self, writer: asyncio.StreamWriter) -> Iterator[None]:
        self._writers.add(writer)
        try:
            yield
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _pump(
        self,
        number: int,
        direction: Direction,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            if direction == 'up' and number not in self._senders:
                self._note_sender(number, data)
                self._begins.setdefault(number, data)
            await asyncio.sleep(self._delay_s)
            await self._wait_passable(number, direction)
            self._passed_bytes[direction] += len(data)
            receiver = self._receiver(number, direction, writer)
            receiver.write(data)
            await receiver.drain()
        await self._wait_passable(number, direction)
        self._receiver(number, direction, writer).close()

    def _receiver(
        self, number: int, direction: Direction, writer: asyncio.StreamWriter
    ) -> asyncio.StreamWriter:
        return self._outputs[number] if direction == 'down' else writer

    def _note_sender(self, number: int, data: bytes) -> None:
        """Tell whose connection it is: a node's messages begin with that."""
        found = ADDRESS.search(data)
        if found is not None:
            self._senders[number] = found.group().decode()

    def _is_held_one_way(self, number: int, direction: Direction) -> bool:
        return self._one_way == direction and self._begins.get(
            number, b''
        ).startswith(self._one_way_begin)

    async def _wait_passable(self, number: int, direction: Direction) -> None:
        while (
            self._blackhole
            or self._is_held_one_way(number, direction)
            or number <= self._silent_since
            or self._senders.get(number) in self._blocked
        ):
            await self._changed.wait()


@contextlib.asynccontextmanager
async def open_proxy(
    target: str, port: int = 0, control_port: int = 0
) -> AsyncIterator[tuple[Proxy, str]]:
    """Pass connections on to a target.

    :param target: address, as IP:PORT
    :param port: TCP port to listen on; 0 takes a free one
    :param control_port: TCP port of the control calls
    :returns: the proxy and the address of its control calls
    """
    proxy = Proxy(target, port)

    async def change(request: web.Request) -> web.Response:
        await proxy.change(await request.json())
        return web.json_response({})

    application = serving.create_application(
        web.post('/control', change),
        serving.show('/control/counts', lambda: proxy.counts),
    )
    await proxy.listen()
    try:
        async with serving.serve(application, control_port) as control_address:
            yield proxy, control_address
    finally:
        await proxy.cut()


def main() -> None:
    """Run the proxy."""
    parser = serving.create_parser('TCP fault proxy')
    parser.add_argument('--control-port', type=int, default=0)
    parser.add_argument('--target', required=True)
    arguments = parser.parse_args()

    async def wait() -> None:
        async with open_proxy(
            arguments.target, arguments.port, arguments.control_port
        ) as (proxy, control_address):
            print(f'ready {proxy.address} {control_address}', flush=True)
            await asyncio.Event().wait()

    asyncio.run(wait())


if __name__ == '__main__':
    main()
