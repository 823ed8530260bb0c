"""Stand-in of a model server, by PROTOCOL.md."""

import asyncio
import dataclasses
import json

from standins.http import Closed, Message, read_message, response

# The stand-in sends what a run holds to the server of its copy this often.
BACKUP_INTERVAL_S = 0.2
# By rule TWICE, the server before must not work on a run this long after it
# went on at another server.
STILL_AT_WORK_S = 0.4


@dataclasses.dataclass
class Generation:
    """A run: its events so far, and whether a final move stopped it."""

    created: int = 0
    is_stopped: bool = False


class Engine:
    """A server that generates numbered events.

    ``ran`` lists the ids of the requests that began to run, with the event at
    which they did, and ``doubled`` those on which a server before still worked
    400 ms after they went on at another one.
    """

    known: dict[str, 'Engine'] = {}
    doubled: list[str] = []

    def __init__(self, instance: str, events: int, gap_s: float, log) -> None:
        self.instance = instance
        self.events = events
        self.gap_s = gap_s
        self.address = ''
        self.ran: list[tuple[str, int]] = []
        self.running: dict[str, Generation] = {}
        self.copies: set[str] = set()
        self.unframed: set[str] = set()
        self.is_unframed = lambda number: False
        self.state = 'ready'
        # Most servers drop a request when its connection closes.
        self.is_dropping = True
        self.crashes = 0
        self._log = log
        self._server: asyncio.Server | None = None

    async def open(self, ip: str) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, ip, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{ip}:{port}'
        self.known[self.address] = self

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def entry(self, service: str, zone: str) -> dict[str, object]:
        """Return the entry of the server in the store."""
        return {
            'service': service,
            'address': self.address,
            'zone': zone,
            'version': 'v1',
            'slots': 32,
            'state': self.state,
            'cold_left_ms': 0,
            'sequence': 1,
            'born': 1_700_000_000_000,
        }

    async def _accept(self, reader, writer) -> None:
        try:
            while not writer.is_closing():
                await self._answer(await read_message(reader), reader, writer)
                await writer.drain()
        except (Closed, OSError):
            pass
        finally:
            writer.close()

    async def _answer(self, request: Message, reader, writer) -> None:
        path = request.start[1]
        if path == '/mastichatch/report':
            writer.write(self._report())
        elif path == '/mastichatch/kv-move':
            writer.write(await self._move(json.loads(request.body)))
        elif path.startswith('/mastichatch/kv-handle/'):
            self.copies.discard(path.rpartition('/')[2])
            writer.write(response(200, b'{}'))
        else:
            await self._run(request, reader, writer)

    def _report(self) -> bytes:
        document = {
            'stage': 'colocated',
            'state': self.state,
            'in_flight': len(self.running),
            'queued': 0,
            'busy': False,
        }
        return response(200, json.dumps(document).encode())

    async def _move(self, order: dict[str, object]) -> bytes:
        run = self.running.get(str(order['id']))
        target = self.known.get(str(order['target']))
        if run is None:
            return response(404, b'{}')
        if target is None:
            return response(503, b'{}')
        handle = f'h-{order["id"]}'
        if order['final']:
            run.is_stopped = True
        await asyncio.sleep(0.02)
        target.copies.add(f'{self.address}/{handle}')
        answer = {'kv_handle': handle, 'created': run.created}
        return response(200, json.dumps(answer).encode())

    async def _run(self, request: Message, reader, writer) -> None:
        headers = request.headers
        request_id = headers.get('mastichatch-attempt-id', '')
        sign = (
            f'Mastichatch-Attempt-Id: {request_id}\r\n'
            'Mastichatch-Server-Seal: 3e1b.07.5a2\r\n'
        )
        expected = headers.get('mastichatch-expect-instance')
        source = headers.get('kv-from')
        if expected not in {None, self.instance}:
            writer.write(response(421, b'', sign))
            return
        if source and source not in self.copies:
            refusal = f'{sign}Mastichatch-Not-Executed: 1\r\n'
            writer.write(response(503, b'', refusal))
            return
        self.copies.discard(source or '')
        first = int(headers.get('last-event-id', '0')) + 1
        self.ran.append((request_id, first))
        # A run that goes on elsewhere is framed there as at a usual server.
        unframed = not source and self.is_unframed(len(self.ran))
        if unframed:
            self.unframed.add(request_id)
        framing = 'without a length or chunks' if unframed else 'in chunks'
        self._log(
            f'{self.instance} runs {request_id} from event {first}, {framing}'
        )
        writer.write(
            (
                'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
                f'{sign}'
                + ('' if unframed else 'Transfer-Encoding: chunked\r\n')
                + '\r\n'
            ).encode()
        )
        run = Generation(created=first - 1)
        self.running[request_id] = run
        if source:
            self._watch_others(request_id)
        backup = asyncio.ensure_future(
            self._back_up(request_id, headers.get('mastichatch-kv-backup'))
        )
        try:
            await self._generate(request_id, run, reader, writer, unframed)
        finally:
            backup.cancel()
            self.running.pop(request_id, None)

    async def _generate(
        self, request_id: str, run: Generation, reader, writer, unframed: bool
    ) -> None:
        closed = asyncio.ensure_future(reader.read(1))
        try:
            while run.created < self.events:
                if closed.done():
                    await asyncio.sleep(self.gap_s)
                else:
                    await asyncio.wait((closed,), timeout=self.gap_s)
                if run.is_stopped:
                    # The stream is closed without its end. Where only the end
                    # of the connection could mark the end, it is reset.
                    self._log(f'{self.instance} stopped {request_id} on order')
                    if unframed:
                        writer.transport.abort()
                    writer.close()
                    return
                if closed.done() and not self.is_dropping:
                    run.created += 1
                    continue
                if closed.done():
                    self._log(
                        f'{self.instance} dropped {request_id} at event '
                        f'{run.created}: its connection was closed'
                    )
                    writer.close()
                    return
                run.created += 1
                event = f'id: {run.created}\ndata: {request_id}\n\n'.encode()
                framed = b'%x\r\n%b\r\n' % (len(event), event)
                writer.write(event if unframed else framed)
                await writer.drain()
            self._log(f'{self.instance} ended {request_id}')
            if unframed:
                writer.close()
            else:
                writer.write(b'0\r\n\r\n')
                await writer.drain()
        finally:
            closed.cancel()
            await asyncio.gather(closed, return_exceptions=True)

    def _watch_others(self, request_id: str) -> None:
        """Note the servers that still work on a run that goes on here."""
        before = [
            other
            for other in set(self.known.values()) - {self}
            if request_id in other.running
        ]

        def check() -> None:
            for other in before:
                run = other.running.get(request_id)
                if run is not None and not run.is_stopped:
                    self.doubled.append(request_id)
                    self._log(
                        f'{other.instance} still works on {request_id}, at '
                        f'event {run.created}, 400 ms after it went on at '
                        f'{self.instance}'
                    )

        asyncio.get_running_loop().call_later(STILL_AT_WORK_S, check)

    async def _back_up(self, request_id: str, address: str | None) -> None:
        other = self.known.get(address or '')
        crashes = 0 if other is None else other.crashes
        # A server that starts again holds nothing of before.
        while other is not None and other.crashes == crashes:
            await asyncio.sleep(BACKUP_INTERVAL_S)
            if other.crashes == crashes:
                other.copies.add(f'{other.address}/{request_id}')
