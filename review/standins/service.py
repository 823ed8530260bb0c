"""Stand-in of a plain server, by PROTOCOL.md."""

import asyncio

from standins.http import Closed, read_message, response


class Service:
    """A server that answers each call after its work, and logs what it ran."""

    def __init__(self, instance: str, work_s: float, log) -> None:
        self.instance = instance
        self.work_s = work_s
        self.address = ''
        self.ran: list[str] = []
        self._log = log
        self._server: asyncio.Server | None = None

    async def open(self, ip: str) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, ip, 0)
        self.address = f'{ip}:{self._server.sockets[0].getsockname()[1]}'

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
            'slots': 6,
            'state': 'ready',
            'cold_left_ms': 0,
            'sequence': 1,
            'born': 1_700_000_000_000,
        }

    async def _accept(self, reader, writer) -> None:
        try:
            while True:
                request = await read_message(reader)
                request_id = request.headers.get('mastichatch-attempt-id', '')
                sign = (
                    f'Mastichatch-Attempt-Id: {request_id}\r\n'
                    'Mastichatch-Server-Seal: 3e1b.07.5a2\r\n'
                )
                expected = request.headers.get('mastichatch-expect-instance')
                if expected not in {None, self.instance}:
                    writer.write(response(421, b'', sign))
                    continue
                self.ran.append(request_id)
                self._log(f'{self.instance} runs {request_id}')
                await asyncio.sleep(self.work_s)
                writer.write(response(200, b'x' * 800, sign))
                await writer.drain()
        except (Closed, OSError):
            pass
        finally:
            writer.close()
