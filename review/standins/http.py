"""A small HTTP/1.1 reader for the stand-ins."""

import asyncio
import dataclasses

HEAD_LIMIT = 65536


@dataclasses.dataclass
class Message:
    """A request or a response.

    ``start`` is the first line, split at spaces, and ``is_whole`` tells
    whether the body ended as its framing demands.
    """

    start: list[str]
    headers: dict[str, str]
    body: bytes = b''
    is_whole: bool = False


class Closed(Exception):
    """The peer closed the connection between two messages."""


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Return the head of the next message."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, OSError) as error:
        raise Closed(repr(error)) from error
    first, *lines = head[:-4].decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, _, content = line.partition(':')
        headers[name.strip().lower()] = content.strip()
    return Message(start=first.split(' ', 2), headers=headers)


async def read_body_parts(reader: asyncio.StreamReader, message: Message):
    """Yield the parts of a body; sets ``is_whole`` at its proper end."""
    headers = message.headers
    try:
        if headers.get('transfer-encoding', '').lower() == 'chunked':
            while True:
                size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
                part = await reader.readexactly(size)
                await reader.readexactly(2)
                if not size:
                    message.is_whole = True
                    return
                yield part
        length = int(headers.get('content-length', '0'))
        if length:
            yield await reader.readexactly(length)
        message.is_whole = True
    except (asyncio.IncompleteReadError, OSError, ValueError):
        return


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Return the next message with its body."""
    message = await read_head(reader)
    async for part in read_body_parts(reader, message):
        message.body += part
    return message


def response(status: int, body: bytes = b'', headers: str = '') -> bytes:
    """Return a response with a length."""
    head = f'HTTP/1.1 {status} X\r\n{headers}Content-Length: {len(body)}\r\n'
    return head.encode() + b'\r\n' + body
