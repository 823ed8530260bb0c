"""Binds an endpoint's answer to the request that it is for.

HTTP/1.1 binds them by the connection alone. Where something on the way hands
one connection's bytes to another, only a header that names the request tells.
"""

from collections.abc import Mapping
from typing import Final

import aiohttp

REPLY_HEADER: Final = 'In-Reply-To'


def check_reply(headers: Mapping[str, str], request_id: str) -> None:
    """Check that an answer is for a request, where it says what it is for.

    :param headers: headers of the answer
    :param request_id: id that the request was sent with
    :raises aiohttp.ClientPayloadError: when it names another request
    """
    replied_id = headers.get(REPLY_HEADER, request_id)
    if replied_id != request_id:
        raise aiohttp.ClientPayloadError(f'it answers request {replied_id!r}')
