"""Adapter of the engines' orders: reads their state and gives orders."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Iterator
from typing import Final

import aiohttp
import msgspec

from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.messages import ErrorKind
from mastichatch_core.placement import ORDER_TIMEOUT_S, EngineState, Order

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
            asked_at=asked_at,
        )

    async def give(self, order: Order) -> bool:
        """Give one order; it is never repeated.

        :param order: the order
        :returns: whether the engine took it; it refuses an old number
        :raises MastichatchError: with ``endpoint_unreachable`` if that is
            not known
        """
        address = order.endpoint.address
        document = {'kind': 'load', 'name': order.name, 'fence': order.fence}
        with _translated(address):
            async with self._session.post(
                _url(address),
                json=document,
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
