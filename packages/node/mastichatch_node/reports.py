"""Polls load reports of endpoints over kept-alive connections.

If a kept-alive connection does not answer or has been closed, the report is
read over a new connection before the endpoint counts as unreachable.
"""

import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Final

import aiohttp

from mastichatch_core.generated.messages import EndpointObservation
from mastichatch_node.replies import read_bounded

_TIMEOUT: Final = aiohttp.ClientTimeout(total=0.5)
_KEEPALIVE_S: Final = 30.0
# A report has a few hundred bytes.
REPORT_LIMIT_BYTES: Final = 65536

ReadReport = Callable[[str], Awaitable[bytes]]


@contextlib.asynccontextmanager
async def open_report_reader() -> AsyncIterator[ReadReport]:
    """Yield the function that reads a report from its URL.

    It returns the body, or empty bytes if the endpoint is unreachable.
    """
    kept = aiohttp.TCPConnector(limit=0, keepalive_timeout=_KEEPALIVE_S)
    fresh = aiohttp.TCPConnector(limit=0, force_close=True)
    async with (
        aiohttp.ClientSession(connector=kept, timeout=_TIMEOUT) as first,
        aiohttp.ClientSession(connector=fresh, timeout=_TIMEOUT) as second,
    ):

        async def read(url: str) -> bytes:
            for session in (first, second):
                with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                    return await _read(session, url)
            return b''

        yield read


def unreachable(endpoint: str) -> EndpointObservation:
    """Return the observation of an endpoint that did not report.

    :param endpoint: name of the endpoint
    """
    return EndpointObservation(
        endpoint=endpoint,
        boot_id='',
        reachable=False,
    )


async def _read(session: aiohttp.ClientSession, url: str) -> bytes:
    async with session.get(url) as response:
        response.raise_for_status()
        return await read_bounded(response, REPORT_LIMIT_BYTES)
