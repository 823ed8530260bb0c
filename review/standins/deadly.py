"""Stand-in of a model server that one part of a prompt crashes."""

import asyncio
import time

from standins.engine import Engine
from standins.http import Message

# The store removes the entry of a server after three heartbeats of silence.
SILENCE_S = 3.6
ZONE = 'kathmandu-a'


class MortalEngine(Engine):
    """A server that crashes when it begins to write an answer on one part.

    It is back after some seconds at its address, under the id that it had or,
    if ``takes_new_ids``, under a new one.
    """

    deadly_part = ''
    reached: list[tuple[float, str]] = []
    crashed_at: list[float] = []

    def __init__(
        self, instance, events, gap_s, log, *, down_s, store, takes_new_ids
    ) -> None:
        super().__init__(instance, events, gap_s, log)
        self.down_s = down_s
        self.born = int(time.time() * 1000)
        self._store = store
        self._takes_new_ids = takes_new_ids
        self._stem = instance
        self._writers: set[asyncio.StreamWriter] = set()
        self._restart: asyncio.Task[None] | None = None

    def register(self) -> None:
        """Write the entry of the server to the store."""
        self._store.put(
            f'servers/{self.instance}', self.entry('brief-llm', ZONE)
        )

    def _unregister(self, instance: str) -> None:
        self._store.remove(f'servers/{instance}')

    def entry(self, service: str, zone: str) -> dict[str, object]:
        """Return the entry of this start of the server."""
        return {**super().entry(service, zone), 'born': self.born}

    async def _accept(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            await super()._accept(reader, writer)
        finally:
            self._writers.discard(writer)

    async def _run(self, request: Message, reader, writer) -> None:
        headers = request.headers
        prefix = headers.get('mastichatch-prompt-prefix', '')
        parts = [one.partition(':')[0] for one in prefix.split(',')]
        expected = headers.get('mastichatch-expect-instance')
        is_deadly = self.deadly_part and self.deadly_part in parts[:-1]
        if not is_deadly or expected not in {None, self.instance}:
            await super()._run(request, reader, writer)
            return
        request_id = headers.get('mastichatch-attempt-id', '')
        now = asyncio.get_running_loop().time()
        self.reached.append((now, request_id))
        self._log(f'{self.instance} gets {request_id} with the deadly part')
        # The prompt is read before the answer begins.
        await asyncio.sleep(0.05)
        writer.write(
            (
                'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
                f'Mastichatch-Attempt-Id: {request_id}\r\n'
                'Mastichatch-Server-Seal: 3e1b.07.5a2\r\n'
                'Transfer-Encoding: chunked\r\n\r\n'
            ).encode()
        )
        await writer.drain()
        self.crash()

    def crash(self) -> None:
        """End like a process that dies, and start again later."""
        self.crashes += 1
        self.crashed_at.append(asyncio.get_running_loop().time())
        lost = len(self.running)
        self._log(f'{self.instance} crashes, with {lost} other runs')
        self.close()
        for writer in tuple(self._writers):
            writer.close()
        self.copies.clear()
        self._restart = asyncio.ensure_future(self._come_back())

    async def _come_back(self) -> None:
        await asyncio.sleep(self.down_s)
        self.born = int(time.time() * 1000)
        if self._takes_new_ids:
            asyncio.get_running_loop().call_later(
                SILENCE_S - self.down_s, self._unregister, self.instance
            )
            self.instance = f'{self._stem}{self.crashes}'
        host, _, port = self.address.rpartition(':')
        self._server = await asyncio.start_server(
            self._accept, host, int(port), reuse_address=True
        )
        self._log(f'{self.instance} is back')
        self.register()


