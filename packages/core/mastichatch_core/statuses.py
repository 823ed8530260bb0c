"""Statuses of HTTP responses (RFC 9110, section 15)."""

from typing import Final

MIN_STATUS: Final = 100
MAX_STATUS: Final = 599


def is_status_defined(status: int) -> bool:
    """Return whether HTTP defines the class of a status.

    A response with another status is no answer to its request.

    :param status: status of a response
    """
    return MIN_STATUS <= status <= MAX_STATUS
