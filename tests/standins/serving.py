"""What the HTTP stand-ins share: starting a server and control calls."""

import argparse
import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, Final

from aiohttp import web

Body = dict[str, Any]
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

SHUTDOWN_S: Final = 0.1
BODY_LIMIT_BYTES: Final = 64 * 1024 * 1024


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
        await web.TCPSite(runner, '127.0.0.1', port, backlog=4096).start()
        yield f'127.0.0.1:{runner.addresses[0][1]}'
    finally:
        await runner.cleanup()


def create_application(
    *routes: web.RouteDef, middlewares: Any = ()
) -> web.Application:
    """Return an application that accepts large bodies."""
    application = web.Application(
        middlewares=middlewares, client_max_size=BODY_LIMIT_BYTES
    )
    application.add_routes(routes)
    return application


def control(change: Callable[[Body], None]) -> web.RouteDef:
    """Return the route that sets faults, given what applies them."""

    async def handle(request: web.Request) -> web.Response:
        change(await request.json())
        return web.json_response({})

    return web.post('/control', handle)


def show(path: str, build: Callable[[], Body]) -> web.RouteDef:
    """Return a route that answers with what a function builds."""

    async def handle(_request: web.Request) -> web.Response:
        return web.json_response(build())

    return web.get(path, handle)


def cut(request: web.Request) -> None:
    """Close the connection of a request without an answer."""
    if request.transport is not None:
        request.transport.abort()


def create_parser(description: str) -> argparse.ArgumentParser:
    """Return a parser with the flag that all stand-ins have."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument('--port', type=int, default=0, help='0 takes any')
    return parser


def run(create: Callable[[], web.Application], port: int) -> None:
    """Serve until the process is ended; the loop runs when `create` is called.

    :param create: builds what to serve
    :param port: TCP port; 0 takes a free one
    """

    async def wait() -> None:
        async with serve(create(), port) as address:
            print(f'ready {address}', flush=True)
            await asyncio.Event().wait()

    asyncio.run(wait())
