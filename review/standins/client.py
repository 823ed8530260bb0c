"""Stand-in of a client of the platform, by PROTOCOL.md."""

import asyncio
import dataclasses

from standins.http import Closed, read_body_parts, read_head

HOST = 'ficu95.example'
KEY = 'xd9dnn2ctnfzs989anu6'


@dataclasses.dataclass
class Stream:
    """What a client got of a stream."""

    request_id: str
    status: int = 0
    ids: list[int] = dataclasses.field(default_factory=list)
    is_complete: bool = False
    body: bytes = b''


def request(
    method: str, path: str, request_id: str, deadline_ms: int, more: str = ''
) -> bytes:
    """Return the bytes of a request without a body."""
    return (
        f'{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n'
        f'Mastichatch-Attempt-Id: {request_id}\r\n'
        f'Mastichatch-Deadline-Ms: {deadline_ms}\r\n'
        f'Authorization: Token {KEY}\r\n{more}Content-Length: 0\r\n\r\n'
    ).encode()


async def read_stream(
    front: str,
    path: str,
    request_id: str,
    counts: str,
    deadline_ms: int,
    prefix: str = '',
) -> Stream:
    """Ask for a stream, and read it to its end."""
    host, _, port = front.rpartition(':')
    stream = Stream(request_id)
    reader, writer = await asyncio.open_connection(host, int(port))
    prefix = prefix or f'{request_id}:{counts.split(",")[0]}'
    try:
        more = (
            f'Mastichatch-Model: m\r\nMastichatch-Token-Counts: {counts}\r\n'
            f'Mastichatch-Prompt-Prefix: {prefix}\r\n'
        )
        writer.write(request('POST', path, request_id, deadline_ms, more))
        async with asyncio.timeout(deadline_ms / 1000):
            message = await read_head(reader)
            stream.status = int(message.start[1])
            async for part in read_body_parts(reader, message):
                stream.body += part
            stream.is_complete = message.is_whole
    except (Closed, OSError, TimeoutError):
        pass
    finally:
        writer.close()
    stream.ids = parse_ids(stream.body)
    return stream


def parse_ids(body: bytes) -> list[int]:
    """Return the numbers of the events in a body."""
    return [
        int(line[4:])
        for event in body.split(b'\n\n')
        for line in event.split(b'\n')
        if line.startswith(b'id: ')
    ]
