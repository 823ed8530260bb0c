"""Stand-in of a model server whose answers are bytes without end."""

import asyncio

from standins.engine import Engine, Generation

# One line of a stream, as one chunk of the size that an event has at the site
# (270 bytes). No blank line follows, so the lines never make an event.
LINE = b'data: ' + b'4f1c9a07' * 33 + b'\n'


class EndlessEngine(Engine):
    """A server that answers a stream by lines that never make an event.

    It goes on until its caller closes the connection. The others of its
    requests are answered like those of a sound server.
    """

    endless: set[str] = set()

    def is_endless(self, request_id: str) -> bool:
        """Return whether a request gets bytes without end."""
        return False

    async def _generate(
        self, request_id: str, run: Generation, reader, writer, unframed: bool
    ) -> None:
        if not self.is_endless(request_id):
            await super()._generate(request_id, run, reader, writer, unframed)
            return
        self.endless.add(request_id)
        block = (b'%x\r\n%b\r\n' % (len(LINE), LINE)) * 40
        sent = 0
        self._log(f'{self.instance} begins bytes without end on {request_id}')
        try:
            while True:
                writer.write(block)
                sent += len(block)
                await writer.drain()
                await asyncio.sleep(0)
        except OSError as error:
            self._log(
                f'{self.instance} was closed by its caller after {sent} '
                f'bytes on {request_id}: {error!r}'
            )
