"""Stand-ins of the house platform's endpoints, byte for byte."""

import asyncio
import contextlib
import dataclasses
import json
from collections.abc import AsyncIterator, Awaitable, Callable

import h11

Script = Callable[
    ['HouseEndpoint', 'Seen', asyncio.StreamWriter], Awaitable[None]
]


@dataclasses.dataclass
class Seen:
    """A request as an endpoint saw it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    connection: int

    @property
    def request_id(self) -> str:
        """The caller's id."""
        return self.headers.get('mastichatch-attempt-id', '')


@dataclasses.dataclass
class HouseEndpoint:
    """One endpoint; ``script`` answers its requests, and ``seen`` has them.

    ``ran`` names the requests that it began to work on, ``cancelled`` those
    whose connection closed while it worked on them.
    """

    instance: str
    script: Script
    slots: int = 6
    address: str = ''
    seen: list[Seen] = dataclasses.field(default_factory=list)
    ran: list[str] = dataclasses.field(default_factory=list)
    cancelled: list[str] = dataclasses.field(default_factory=list)
    moves: list[dict[str, object]] = dataclasses.field(default_factory=list)
    move_status: int = 200
    stopped: set[str] = dataclasses.field(default_factory=set)
    leaves_ms: int | None = None
    reports: int = 0

    def entry(
        self, service: str, zone: str, state: str = 'ready'
    ) -> dict[str, object]:
        """Return what the endpoint writes into the store."""
        return {
            'service': service,
            'address': self.address,
            'zone': zone,
            'version': 'v1',
            'slots': self.slots,
            'state': state,
            'cold_left_ms': 0,
            'sequence': 1,
            'born': 1_700_000_000_000,
        }

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        number = len(self.seen)
        protocol = h11.Connection(h11.SERVER)
        with contextlib.suppress(OSError, h11.ProtocolError):
            while True:
                seen = await _read(protocol, reader, number)
                if seen is None:
                    break
                await self._answer(seen, reader, writer)
                if writer.is_closing():
                    break
                protocol = h11.Connection(h11.SERVER)
        writer.close()

    async def _answer(
        self,
        seen: Seen,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if seen.target == '/mastichatch/kv-move':
            await self._move(seen, writer)
            return
        if seen.target == '/mastichatch/report':
            self._report(writer)
            return
        self.seen.append(seen)
        expected = seen.headers.get('mastichatch-expect-instance')
        if expected not in {None, self.instance}:
            headers = f'Mastichatch-Instance-Id: {self.instance}\r\n'
            writer.write(plain(421, b'', headers))
            return
        work = asyncio.ensure_future(self.script(self, seen, writer))
        gone = asyncio.ensure_future(reader.read(1))
        await asyncio.wait((work, gone), return_when=asyncio.FIRST_COMPLETED)
        if not work.done():
            self.cancelled.append(seen.request_id)
            work.cancel()
        gone.cancel()
        await asyncio.gather(work, gone, return_exceptions=True)

    async def _move(self, seen: Seen, writer: asyncio.StreamWriter) -> None:
        body = json.loads(seen.body)
        self.moves.append(body)
        answer = {'kv_handle': f'h-{body["id"]}', 'created': 0}
        if body['final']:
            self.stopped.add(body['id'])
        writer.write(plain(self.move_status, json.dumps(answer).encode()))

    def _report(self, writer: asyncio.StreamWriter) -> None:
        self.reports += 1
        answer: dict[str, object] = {'in_flight': len(self.ran)}
        if self.leaves_ms is not None:
            answer['leaves_ms'] = self.leaves_ms
        writer.write(plain(200, json.dumps(answer).encode()))


def plain(status: int, body: bytes, headers: str = '') -> bytes:
    """Return an answer with a length."""
    head = f'HTTP/1.1 {status} X\r\n{headers}Content-Length: {len(body)}\r\n'
    return head.encode() + b'\r\n' + body


def sealed(seen: Seen) -> str:
    """Return the headers of an endpoint's own answer."""
    return (
        f'Mastichatch-Attempt-Id: {seen.request_id}\r\n'
        'Mastichatch-Server-Seal: 3e1b.07\r\n'
    )


async def answer_ok(
    endpoint: HouseEndpoint, seen: Seen, writer: asyncio.StreamWriter
) -> None:
    """Run a request and answer it."""
    endpoint.ran.append(seen.request_id)
    writer.write(
        plain(200, b'done by ' + endpoint.instance.encode(), sealed(seen))
    )


async def shed(
    endpoint: HouseEndpoint, seen: Seen, writer: asyncio.StreamWriter
) -> None:
    """Refuse with proof that nothing ran."""
    headers = sealed(seen) + 'Mastichatch-Not-Executed: 1\r\n'
    writer.write(plain(503, b'', headers))


async def fail(
    endpoint: HouseEndpoint, seen: Seen, writer: asyncio.StreamWriter
) -> None:
    """Run a request and answer that it failed."""
    endpoint.ran.append(seen.request_id)
    writer.write(plain(500, b'broken', sealed(seen)))


async def reset(
    endpoint: HouseEndpoint, seen: Seen, writer: asyncio.StreamWriter
) -> None:
    """Run a request and lose its answer."""
    endpoint.ran.append(seen.request_id)
    writer.transport.abort()


async def hang(
    endpoint: HouseEndpoint, seen: Seen, writer: asyncio.StreamWriter
) -> None:
    """Run a request and never answer."""
    endpoint.ran.append(seen.request_id)
    await asyncio.Event().wait()


def raw(answer: Callable[[Seen], bytes], *, closes: bool = False) -> Script:
    """Return a script that runs a request and writes given bytes."""

    async def write(
        endpoint: HouseEndpoint, seen: Seen, writer: asyncio.StreamWriter
    ) -> None:
        endpoint.ran.append(seen.request_id)
        writer.write(answer(seen))
        if closes:
            await writer.drain()
            writer.close()

    return write


def stream(
    count: int, gap_s: float = 0, *, break_after: int | None = None
) -> Script:
    """Return a script that streams numbered events.

    It goes on after ``Last-Event-Id``, stops without an end where a final move
    asks for it, and resets after ``break_after`` events.
    """

    async def write(
        endpoint: HouseEndpoint, seen: Seen, writer: asyncio.StreamWriter
    ) -> None:
        endpoint.ran.append(seen.request_id)
        head = (
            'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
            f'{sealed(seen)}Transfer-Encoding: chunked\r\n\r\n'
        )
        writer.write(head.encode())
        first = int(seen.headers.get('last-event-id', '0')) + 1
        for number in range(first, count + 1):
            if seen.request_id in endpoint.stopped or number == break_after:
                writer.transport.abort()
                return
            event = f'id: {number}\ndata: {seen.request_id}\n\n'.encode()
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await writer.drain()
            await asyncio.sleep(gap_s)
        writer.write(b'0\r\n\r\n')

    return write


@contextlib.asynccontextmanager
async def open_endpoints(*endpoints: HouseEndpoint) -> AsyncIterator[None]:
    """Serve endpoints on loopback, and note their addresses."""
    async with contextlib.AsyncExitStack() as stack:
        for endpoint in endpoints:
            server = await asyncio.start_server(endpoint.accept, '127.0.0.1', 0)
            stack.callback(server.close)
            port = server.sockets[0].getsockname()[1]
            endpoint.address = f'127.0.0.1:{port}'
        yield


async def _read(
    protocol: h11.Connection, reader: asyncio.StreamReader, number: int
) -> Seen | None:
    head: h11.Request | None = None
    body = b''
    while True:
        event = protocol.next_event()
        if event is h11.NEED_DATA:
            protocol.receive_data(await reader.read(65536))
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage) and head is not None:
            headers = {
                name.decode(): content.decode()
                for name, content in head.headers
            }
            method, target = head.method.decode(), head.target.decode()
            return Seen(method, target, headers, body, number)
        else:
            return None
