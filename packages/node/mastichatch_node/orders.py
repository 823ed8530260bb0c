"""Adapter of the engines' orders: reads their state and gives orders."""

import asyncio
import contextlib
import types
from collections.abc import AsyncIterator, Callable, Iterator
from typing import Final

import aiohttp
import msgspec

from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.messages import ErrorKind
from mastichatch_core.placement import ORDER_TIMEOUT_S, EngineState, Order

_JSON_HEADERS: Final = types.MappingProxyType(
    {'Content-Type': 'application/json'},
)
_ACCEPTED: Final = 202
_CONFLICT: Final = 409
_FAILURES: Final = (
    aiohttp.ClientError,
    TimeoutError,
    OSError,
    msgspec.MsgspecError,
)


class _StateReport(msgspec.Struct, frozen=True):
    loaded: frozenset[str]
    loading: frozenset[str]
    fence: int


class _LapsedError(Exception):
    """The right to give orders ended before the order was sent."""


class Orders:
    """Connections to engines, for orders only."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        """Keep the session; ``open_orders`` is the way to create one."""
        self._session = session

    async def read_state(self, address: str) -> EngineState:
        """Return what an engine has loaded.

        :param address: IP address and port of the engine
        :raises MastichatchError: with ``endpoint_unreachable``
        """
        asked_at = asyncio.get_running_loop().time()
        with _translated(address):
            async with self._session.get(_url(address)) as response:
                response.raise_for_status()
                report = msgspec.json.decode(
                    await response.read(),
                    type=_StateReport,
                )
        return EngineState(
            loaded=report.loaded,
            loading=report.loading,
            fence=report.fence,
            queried_at=asked_at,
        )

    async def give(self, order: Order, may_send: Callable[[], bool]) -> bool:
        """Give one order; it is never repeated.

        :param order: the order
        :param may_send: asked once the connection is open
        :returns: whether the engine took it; it refuses an old number
        :raises MastichatchError: with ``endpoint_unreachable`` if that is
            not known, or if the order was not sent
        """
        address = order.endpoint.address
        with _translated(address):
            async with self._session.post(
                _url(address),
                data=_body(order, may_send),
                headers=_JSON_HEADERS,
            ) as response:
                if response.status == _CONFLICT:
                    return False
                response.raise_for_status()
                return response.status == _ACCEPTED


@contextlib.asynccontextmanager
async def open_orders() -> AsyncIterator[Orders]:
    """Open the connections to engines."""
    timeout = aiohttp.ClientTimeout(total=ORDER_TIMEOUT_S)
    # Orders are rare: a fresh connection each cannot have gone silent.
    connector = aiohttp.TCPConnector(force_close=True)
    async with aiohttp.ClientSession(
        timeout=timeout,
        connector=connector,
    ) as session:
        yield Orders(session)


async def _body(
    order: Order,
    may_send: Callable[[], bool],
) -> AsyncIterator[bytes]:
    # Asked for once the connection is open: nothing is awaited between this
    # look and the system call that sends the headers and the body.
    if not may_send():
        raise _LapsedError
    yield msgspec.json.encode(
        {'kind': order.kind, 'name': order.name, 'fence': order.fence},
    )


def _url(address: str) -> str:
    return f'http://{address}/v1/orders'


@contextlib.contextmanager
def _translated(address: str) -> Iterator[None]:
    try:
        yield
    except _FAILURES as error:
        raise MastichatchError(
            ErrorKind.endpoint_unreachable,
            f'{address}: {error!r}',
        ) from error
