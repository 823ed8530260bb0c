"""Client of the engines' order API: reads their state and sends orders."""

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
from mastichatch_node.replies import read_bounded, reject_undefined_statuses
from mastichatch_node.reports import REPORT_LIMIT_BYTES

_JSON_HEADERS: Final = types.MappingProxyType(
    {'Content-Type': 'application/json'},
)
_ACCEPTED: Final = 202
_CONFLICT: Final = 409
_CLIENT_ERRORS: Final = (
    aiohttp.ClientError,
    TimeoutError,
    OSError,
    msgspec.MsgspecError,
)


class _StateReport(msgspec.Struct, frozen=True):
    loaded: frozenset[str]
    loading: frozenset[str]
    fence: int


class _LeaseEndedError(Exception):
    """The placement lease ended before the order was sent."""


class Orders:
    """Sends orders to engines and reads their state."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        """Store the session; call ``open_orders`` to create an instance."""
        self._session = session

    async def read_state(self, address: str) -> EngineState:
        """Return the models that an engine has loaded or is loading.

        :param address: IP address and port of the engine
        :raises MastichatchError: with ``endpoint_unreachable``
        """
        requested_at = asyncio.get_running_loop().time()
        with _translated_errors(address):
            async with self._session.get(_orders_url(address)) as response:
                response.raise_for_status()
                report = msgspec.json.decode(
                    await read_bounded(response, REPORT_LIMIT_BYTES),
                    type=_StateReport,
                )
        return EngineState(
            loaded=report.loaded,
            loading=report.loading,
            fence=report.fence,
            queried_at=requested_at,
        )

    async def give(self, order: Order, may_send: Callable[[], bool]) -> bool:
        """Send one order without retries.

        :param order: order to send
        :param may_send: called once the connection is open; the order is sent
            only if it returns true
        :returns: whether the engine accepted the order; it refuses an outdated
            fencing number
        :raises MastichatchError: with ``endpoint_unreachable`` if the outcome
            is not known, or if the order was not sent
        """
        address = order.endpoint.address
        with _translated_errors(address):
            async with self._session.post(
                _orders_url(address),
                data=_body(order, may_send),
                headers=_JSON_HEADERS,
            ) as response:
                if response.status == _CONFLICT:
                    return False
                response.raise_for_status()
                return response.status == _ACCEPTED


@contextlib.asynccontextmanager
async def open_orders() -> AsyncIterator[Orders]:
    """Open an HTTP client for orders to engines."""
    timeout = aiohttp.ClientTimeout(total=ORDER_TIMEOUT_S)
    # Orders are rare, and a new connection for each cannot have stalled
    # unnoticed while idle.
    connector = aiohttp.TCPConnector(force_close=True)
    async with aiohttp.ClientSession(
        timeout=timeout,
        connector=connector,
        middlewares=(reject_undefined_statuses,),
    ) as session:
        yield Orders(session)


async def _body(
    order: Order,
    may_send: Callable[[], bool],
) -> AsyncIterator[bytes]:
    # aiohttp requests the body once the connection is open. Nothing is awaited
    # between this check and the system call that sends headers and body.
    if not may_send():
        raise _LeaseEndedError
    yield msgspec.json.encode(
        {'kind': order.kind, 'name': order.name, 'fence': order.fence},
    )


def _orders_url(address: str) -> str:
    return f'http://{address}/v1/orders'


@contextlib.contextmanager
def _translated_errors(address: str) -> Iterator[None]:
    try:
        yield
    except _CLIENT_ERRORS as error:
        raise MastichatchError(
            ErrorKind.endpoint_unreachable,
            f'{address}: {error!r}',
        ) from error
