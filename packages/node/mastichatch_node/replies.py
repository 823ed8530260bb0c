"""Checks that an endpoint's response belongs to the request, and reads it.

HTTP/1.1 matches them by connection alone. If an intermediary passes the bytes
of one connection to another, only a header with the request id shows it. A body
is read up to a limit, and a status that HTTP does not define is no answer.
"""

from collections.abc import Mapping
from typing import Final

import aiohttp

from mastichatch_core.statuses import is_status_defined

REPLY_HEADER: Final = 'In-Reply-To'


async def reject_undefined_statuses(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Fail requests whose response has a status that HTTP does not define.

    A middleware of ``aiohttp.ClientSession``. The request may have run.

    :param request: the request
    :param handler: sends it
    :raises aiohttp.ClientPayloadError: if the status is undefined
    """
    response = await handler(request)
    if is_status_defined(response.status):
        return response
    response.close()
    raise aiohttp.ClientPayloadError(f'undefined status {response.status}')


def check_reply(headers: Mapping[str, str], request_id: str) -> None:
    """Check that a response with an ``In-Reply-To`` header names the request.

    :param headers: headers of the response
    :param request_id: id of the request that was sent
    :raises aiohttp.ClientPayloadError: if the header names another request
    """
    replied_id = headers.get(REPLY_HEADER, request_id)
    if replied_id != request_id:
        raise aiohttp.ClientPayloadError(f'it answers request {replied_id!r}')


async def read_bounded(
    response: aiohttp.ClientResponse, limit_bytes: int
) -> bytes:
    """Return the body of an answer.

    :param response: the answer, after its head
    :param limit_bytes: largest accepted size
    :raises aiohttp.ClientPayloadError: if it is larger
    """
    body = bytearray()
    async for part in response.content.iter_any():
        body += part
        if len(body) > limit_bytes:
            raise aiohttp.ClientPayloadError(
                f'the answer is over {limit_bytes} bytes'
            )
    return bytes(body)
