"""Answers whose status line is written as given."""

from collections.abc import Callable

from tests.standins.house_endpoints import ReceivedRequest, signature_headers


def answer_with(status: str) -> Callable[[ReceivedRequest], bytes]:
    """Return a function that answers a request with a status and a seal."""

    def answer(seen: ReceivedRequest) -> bytes:
        return plain_answer(status, signature_headers(seen))

    return answer


def plain_answer(status: str, headers: str = '') -> bytes:
    """Return an answer with a status."""
    head = f'HTTP/1.1 {status} X\r\n{headers}Content-Length: 2\r\n\r\n'
    return head.encode() + b'{}'
