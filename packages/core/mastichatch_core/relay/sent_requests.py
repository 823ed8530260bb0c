"""Tells which answer on a connection belongs to which of its requests.

Load pattern: a server sends an answer a second time, late, where the next
answer is due. A refused request may be under way again by then, and the copy
of its refusal names it like a true answer would.
"""

from enum import StrEnum
from typing import Final

# A connection is replaced after so many requests, so that it need not keep the
# ids of any number of them.
MAX_REQUESTS: Final = 256


class Belonging(StrEnum):
    """To which request an answer belongs.

    ``due`` is the request in progress, and ``stale`` an earlier one of the same
    connection. To which request a ``foreign`` answer belongs is not known.
    """

    due = 'due'
    stale = 'stale'
    foreign = 'foreign'


class SentRequests:
    """The requests that one connection has carried.

    Requests without an id are told apart by their content, if they have any.
    """

    def __init__(self) -> None:
        """Start without requests."""
        # Hashes, since callers choose the length of ids.
        self._ids: set[int] = set()
        self._unnamed: set[int] = set()
        self._request_id = ''
        self._is_repeat = False
        self._allows_unnamed = True
        self._count = 0

    @property
    def is_repeat(self) -> bool:
        """Whether the request in progress was sent on the connection before."""
        return self._is_repeat

    @property
    def is_full(self) -> bool:
        """Whether the connection should carry no more requests."""
        return self._count >= MAX_REQUESTS

    def record(self, request_id: str, content: bytes) -> None:
        """Record a request that is sent.

        :param request_id: its id; empty without one
        :param content: what equal requests without an id share; empty if
            nothing does
        """
        known, key = self._lookup(request_id, content)
        self._is_repeat = key in known
        known.add(key)
        self._request_id = request_id
        self._count += 1

    def forbid_repeats(self) -> None:
        """Let the connection carry no more requests without an id."""
        self._allows_unnamed = False

    def can_tell_apart(self, request_id: str, content: bytes) -> bool:
        """Return whether copies of earlier answers differ from a request's.

        An answer to a request without an id names none, so the connection must
        have carried no other such request or answer. One with content may be
        repeated: it does not matter to which of its sends an answer belongs.

        :param request_id: id of the request; empty without one
        :param content: what equal requests without an id share; empty if
            nothing does
        """
        if not request_id and not content:
            return self._count == 0
        known, key = self._lookup(request_id, content)
        if request_id:
            return not self._unnamed and key not in known
        return self._allows_unnamed and self._unnamed <= {key}

    def assign(self, response_id: str | None) -> Belonging:
        """Return to which request an answer belongs, and record it.

        :param response_id: id of the request that it names; ``None`` without
            one
        """
        if self._request_id and not response_id:
            self._allows_unnamed = False
        if response_id and response_id == self._request_id:
            return Belonging.due
        if response_id and hash(response_id) in self._ids:
            return Belonging.stale
        # An answer that names no request may be a copy of an earlier one.
        is_certain = response_id is None and self._count == 1
        if self._request_id and not is_certain:
            return Belonging.foreign
        return Belonging.due

    def _lookup(self, request_id: str, content: bytes) -> tuple[set[int], int]:
        if request_id:
            return self._ids, hash(request_id)
        return self._unnamed, hash(content)
