"""Polls load reports of endpoints over kept-alive connections.

If a kept-alive connection does not answer or has been closed, the report is
read over a new connection before the endpoint counts as unreachable.

A report does not name its request. If an endpoint sends one a second time, the
next request gets the copy, and each later one the report before its own. A
connection with unread bytes is therefore not used again, so that at most one
report is late.
"""

import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Final

import aiohttp
from aiohttp.connector import Connection
from aiohttp.tracing import Trace

from mastichatch_core.generated.messages import EndpointObservation
from mastichatch_node.replies import read_bounded, reject_undefined_statuses

_TIMEOUT: Final = aiohttp.ClientTimeout(total=0.5)
_KEEPALIVE_S: Final = 30.0
# A report has a few hundred bytes.
REPORT_LIMIT_BYTES: Final = 65536

ReadReport = Callable[[str], Awaitable[bytes]]


class _CheckingConnector(aiohttp.TCPConnector):
    """Keeps connections, and closes those on which bytes were not read.

    aiohttp would take such bytes for the answer to the next request.
    """

    async def connect(
        self,
        req: aiohttp.ClientRequest,
        traces: list[Trace],
        timeout: aiohttp.ClientTimeout,
    ) -> Connection:
        """Return a connection on which nothing is unread.

        :param req: request that is to be sent
        :param traces: traces of the request
        :param timeout: time limits of the request
        """
        while True:
            connection = await super().connect(req, traces, timeout)
            protocol = connection.protocol
            if protocol is None or not protocol.should_close:
                return connection
            connection.close()


@contextlib.asynccontextmanager
async def open_report_reader() -> AsyncIterator[ReadReport]:
    """Yield the function that reads a report from its URL.

    It returns the body, or empty bytes if the endpoint is unreachable.
    """
    kept = _CheckingConnector(limit=0, keepalive_timeout=_KEEPALIVE_S)
    fresh = aiohttp.TCPConnector(limit=0, force_close=True)
    async with (
        _open_session(kept) as first,
        _open_session(fresh) as second,
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


def _open_session(connector: aiohttp.TCPConnector) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=connector,
        timeout=_TIMEOUT,
        middlewares=(reject_undefined_statuses,),
    )
