"""HTTP client for plain services: sends one call to one endpoint.

No other module depends on the services' protocol.
"""

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator, Awaitable, Callable
from types import SimpleNamespace
from typing import Final

import aiohttp

from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.messages import ErrorKind
from mastichatch_core.units import MS_PER_S
from mastichatch_node.replies import (
    check_reply,
    read_bounded,
    reject_undefined_statuses,
)

ANSWER_LIMIT_BYTES: Final = 1048576


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlainRequest:
    """A call as it is sent to an endpoint.

    :param request_id: id of the caller's request
    :param operation: operation that is called
    :param body: JSON body
    :param timeout_s: time allowed from connecting to the last byte of the
        response, in seconds
    """

    request_id: str
    operation: str
    body: bytes
    timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlainAnswer:
    """An endpoint's complete response.

    :param status: HTTP status
    :param content_type: content type of the body
    :param body: the complete body
    """

    status: int
    content_type: str
    body: bytes


Guard = Callable[[], None]
SendPlain = Callable[[str, PlainRequest, Guard], Awaitable[PlainAnswer]]


@contextlib.asynccontextmanager
async def open_plain_client(
    connect_timeout_ms: int,
    answer_limit_bytes: int = ANSWER_LIMIT_BYTES,
) -> AsyncIterator[SendPlain]:
    """Open the client and yield the function that sends a call.

    Each call uses a new connection: a kept-alive connection may be dead
    unnoticed, which would leave the outcome unknown. The request is written at
    most once and redirects are not followed.

    The yielded function takes the endpoint's address, the request and a guard.
    The guard is called once the connection is established, after the last
    await before the first byte; if it raises, nothing is sent. The function
    raises ``endpoint_unreachable`` if no complete response arrives. The call
    may have been sent only if the guard was called and did not raise.

    :param connect_timeout_ms: time allowed for connecting, in milliseconds
    :param answer_limit_bytes: largest allowed response body, in bytes
    """
    async with _open_session(connect_timeout_ms) as session:

        async def send(
            address: str,
            request: PlainRequest,
            guard: Guard,
        ) -> PlainAnswer:
            url = f'http://{address}/v1/operations/{request.operation}'
            try:
                async with (
                    asyncio.timeout(request.timeout_s),
                    session.post(
                        url,
                        data=request.body,
                        headers=_headers(request),
                        allow_redirects=False,
                        trace_request_ctx=guard,
                    ) as response,
                ):
                    check_reply(response.headers, request.request_id)
                    return await _read_answer(response, answer_limit_bytes)
            except (aiohttp.ClientError, OSError, ValueError) as error:
                raise _no_answer_error(address, error) from error

        yield send


def _open_session(connect_timeout_ms: int) -> aiohttp.ClientSession:
    connect_timeout_s = connect_timeout_ms / MS_PER_S
    trace = aiohttp.TraceConfig()
    trace.on_request_headers_sent.append(_run_guard)
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(force_close=True, limit=0),
        # Cookies of one workspace must not be sent with calls of another.
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(
            total=None,
            sock_connect=connect_timeout_s,
        ),
        trace_configs=[trace],
        middlewares=(reject_undefined_statuses,),
    )


async def _run_guard(
    _session: aiohttp.ClientSession,
    context: SimpleNamespace,
    _params: aiohttp.TraceRequestHeadersSentParams,
) -> None:
    # aiohttp calls this once the connection is established, before it
    # writes the request.
    context.trace_request_ctx()


def _headers(request: PlainRequest) -> dict[str, str]:
    return {
        'Content-Type': 'application/json',
        'Request-Id': request.request_id,
    }


async def _read_answer(
    response: aiohttp.ClientResponse,
    limit_bytes: int,
) -> PlainAnswer:
    return PlainAnswer(
        status=response.status,
        content_type=response.content_type,
        body=await read_bounded(response, limit_bytes),
    )


def _no_answer_error(address: str, error: Exception) -> MastichatchError:
    reason = str(error) or type(error).__name__
    return MastichatchError(
        ErrorKind.endpoint_unreachable,
        f'no answer from {address}: {reason}',
    )
