"""What the HTTP stand-ins share: starting a server and control calls."""

import argparse
import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, Final

from aiohttp import web

Body = dict[str, Any]

SHUTDOWN_S: Final = 0.1
BODY_LIMIT_BYTES: Final = 64 * 1024 * 1024


def create_application(*middlewares: Any) -> web.Application:
    """Return an empty application that accepts large bodies.

    :param middlewares: aiohttp middlewares, outermost first
    """
    return web.Application(
        middlewares=middlewares, client_max_size=BODY_LIMIT_BYTES
    )


@contextlib.asynccontextmanager
async def serve(application: web.Application, port: int) -> AsyncIterator[str]:
    """Serve an application on loopback.

    A handler is cancelled when its client goes, unless it is shielded.

    :param application: what to serve
    :param port: TCP port; 0 takes a free one
    :returns: the address, as IP:PORT
    """
    runner = web.AppRunner(
        application,
        access_log=None,
        shutdown_timeout=SHUTDOWN_S,
        handler_cancellation=True,
    )
    await runner.setup()
    try:
        site = web.TCPSite(runner, '127.0.0.1', port, backlog=4096)
        await site.start()
        yield f'127.0.0.1:{runner.addresses[0][1]}'
    finally:
        await runner.cleanup()


def control(change: Callable[[Body], None]) -> Callable[..., Awaitable[Any]]:
    """Return a handler of `POST /control` that passes on the JSON body.

    :param change: what applies the body
    """

    async def handle(request: web.Request) -> web.Response:
        change(await request.json())
        return web.json_response({})

    return handle


def cut(request: web.Request) -> None:
    """Close the connection of a request without an answer.

    :param request: request whose connection is closed
    """
    if request.transport is not None:
        request.transport.abort()


def create_parser(description: str) -> argparse.ArgumentParser:
    """Return a parser with the flag that all stand-ins have.

    :param description: what the stand-in is
    """
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument('--port', type=int, default=0, help='0 takes any')
    return parser


def run(application: Callable[[], web.Application], port: int) -> None:
    """Serve until the process is ended.

    :param application: builds what to serve, inside the loop
    :param port: TCP port; 0 takes a free one
    """

    async def wait() -> None:
        async with serve(application(), port) as address:
            print(f'ready {address}', flush=True)
            await asyncio.Event().wait()

    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(wait())
