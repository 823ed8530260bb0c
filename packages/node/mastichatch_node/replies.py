"""Checks that an endpoint's response belongs to the request.

HTTP/1.1 matches them by connection alone. If an intermediary passes the bytes
of one connection to another, only a header with the request id shows it.
"""

from collections.abc import Mapping
from typing import Final

import aiohttp

REPLY_HEADER: Final = 'In-Reply-To'


def check_reply(headers: Mapping[str, str], request_id: str) -> None:
    """Check that a response with an ``In-Reply-To`` header names the request.

    :param headers: headers of the response
    :param request_id: id of the request that was sent
    :raises aiohttp.ClientPayloadError: if the header names another request
    """
    replied_id = headers.get(REPLY_HEADER, request_id)
    if replied_id != request_id:
        raise aiohttp.ClientPayloadError(f'it answers request {replied_id!r}')
