"""Client of the platform: key-value service, leases and host list.

No other module depends on the protocol of the platform.
"""

import base64
import contextlib
import dataclasses
import json
from collections.abc import AsyncIterator, Mapping
from typing import Any, Final

import aiohttp

from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.messages import ErrorKind
from mastichatch_core.units import MS_PER_S
from mastichatch_node.replies import read_bounded, reject_undefined_statuses

# A call that waits for a connection spends its own timeout, so the limit is
# above the number of calls that a burst of requests makes at once.
MAX_CONNECTIONS: Final = 1024
# Largest answer of the platform that is accepted.
ANSWER_LIMIT_BYTES: Final = 8 * 1024 * 1024

_OK: Final = 200
_NOT_FOUND: Final = 404
_CONFLICT: Final = 409
_GONE: Final = 410
_TOO_LARGE: Final = 413


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoredValue:
    """A stored value and its revision."""

    value: bytes
    revision: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Entry:
    """A key with its value and revision."""

    key: str
    value: bytes
    revision: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Listing:
    """All entries under a prefix, and the revision at which they were read."""

    revision: int
    entries: tuple[Entry, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeyChange:
    """A key that was written or deleted."""

    key: str
    revision: int
    deleted: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WatchAnswer:
    """The changes under a prefix; none when the wait timed out."""

    revision: int
    changes: tuple[KeyChange, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HostEntry:
    """One entry of the host list; ``state`` is ``live`` or ``leaving``."""

    host: str
    data_centre: str
    state: str


class RevisionMismatchError(MastichatchError):
    """The key does not have the expected revision.

    :param current: revision that the key has; zero for an absent key
    """

    def __init__(self, current: int) -> None:
        """Create the error with the current revision of the key."""
        super().__init__(
            ErrorKind.conflict,
            f'the key is at revision {current}',
        )
        self.current = current


class NoAnswerError(MastichatchError):
    """The platform did not answer a call in time."""

    def __init__(self, call: str) -> None:
        """Create the error.

        :param call: method and path of the call
        """
        super().__init__(ErrorKind.platform_unavailable, f'no answer to {call}')


class LeaseGoneError(MastichatchError):
    """The lease that a write refers to has lapsed."""

    def __init__(self) -> None:
        """Create the error."""
        super().__init__(ErrorKind.conflict, 'the lease has lapsed')


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Reply:
    status: int
    body: bytes
    headers: Mapping[str, str]


class Platform:
    """Client of the platform's key-value service, leases and host list.

    Any call raises ``MastichatchError`` with ``platform_unavailable`` when
    the platform does not answer in time. A write that raises this error may
    have taken effect, and is never repeated. Reading a key is repeated once.

    Each call uses a new connection: an answer does not name its call, so that
    a second copy of an earlier answer would be taken for that of the next call.
    """

    def __init__(
        self, address: str, timeout_ms: int, session: aiohttp.ClientSession
    ) -> None:
        """Create a client; use ``open_platform`` to create and close one.

        :param address: IP address and port
        :param timeout_ms: time allowed for one call, in milliseconds
        :param session: session that closes its connection after each response
        """
        self._base_url = f'http://{address}/v1/'
        self._timeout_s = timeout_ms / MS_PER_S
        self._session = session

    async def read(self, key: str) -> StoredValue | None:
        """Return the value of a key, or ``None`` for an absent key.

        :param key: the key
        """
        try:
            reply = await self._call('GET', f'kv/{key}')
        except NoAnswerError:
            reply = await self._call('GET', f'kv/{key}')
        if not _check_existence(reply):
            return None
        return StoredValue(
            value=reply.body,
            revision=_parse_integer(reply.headers.get('Revision')),
        )

    async def write(
        self,
        key: str,
        value: bytes,
        *,
        expect: int | None = None,
        lease: str | None = None,
    ) -> int:
        """Write a key.

        :param key: the key
        :param value: value of at most one MiB
        :param expect: revision that the key must have, zero for absent;
            without it the write is unconditional
        :param lease: lease at whose end the platform deletes the key
        :returns: the key's new revision
        :raises RevisionMismatchError: if the key has another revision
        :raises LeaseGoneError: if the lease has lapsed
        :raises MastichatchError: with ``body_too_large`` over the limit
        """
        query: dict[str, str] = {}
        if expect is not None:
            query['expect'] = str(expect)
        if lease is not None:
            query['lease'] = lease
        reply = await self._call('PUT', f'kv/{key}', query=query, body=value)
        _raise_for_status(reply)
        return _parse_integer(_parse_document(reply).get('revision'))

    async def delete(self, key: str, *, expect: int | None = None) -> bool:
        """Delete a key.

        :param key: the key
        :param expect: revision that the key must have
        :returns: whether the key was there
        :raises RevisionMismatchError: if the key has another revision
        """
        query = {} if expect is None else {'expect': str(expect)}
        reply = await self._call('DELETE', f'kv/{key}', query=query)
        return _check_existence(reply)

    async def list_entries(self, prefix: str) -> Listing:
        """Return all keys under a prefix with their values.

        :param prefix: prefix of the keys
        """
        reply = await self._call('GET', 'list', query={'prefix': prefix})
        _raise_for_status(reply)
        document = _parse_document(reply)
        with _reject_malformed():
            return Listing(
                revision=document['revision'],
                entries=tuple(
                    Entry(
                        key=entry['key'],
                        value=base64.b64decode(entry['value']),
                        revision=entry['revision'],
                    )
                    for entry in document['entries']
                ),
            )

    async def watch(self, prefix: str, after: int, wait_ms: int) -> WatchAnswer:
        """Wait for a change under a prefix.

        :param prefix: prefix of the keys
        :param after: only changes of higher revisions are reported
        :param wait_ms: longest wait, in milliseconds; the call fails if no
            answer arrives within this time plus the call timeout
        """
        reply = await self._call(
            'GET',
            'watch',
            query={
                'prefix': prefix,
                'after': str(after),
                'wait_ms': str(wait_ms),
            },
            extra_timeout_s=wait_ms / MS_PER_S,
        )
        _raise_for_status(reply)
        document = _parse_document(reply)
        with _reject_malformed():
            return WatchAnswer(
                revision=document['revision'],
                changes=tuple(
                    KeyChange(**change) for change in document['keys']
                ),
            )

    async def grant_lease(self, ttl_ms: int) -> str:
        """Return the id of a new lease.

        :param ttl_ms: time after which the lease lapses unless it is
            renewed, in milliseconds
        """
        body = json.dumps({'ttl_ms': ttl_ms}).encode()
        reply = await self._call('POST', 'leases', body=body)
        _raise_for_status(reply)
        with _reject_malformed():
            return str(_parse_document(reply)['lease'])

    async def renew_lease(self, lease: str) -> bool:
        """Restart the time to live of a lease.

        :param lease: id of the lease
        :returns: whether the lease still existed
        """
        reply = await self._call('POST', f'leases/{lease}/renew')
        return _check_existence(reply)

    async def revoke_lease(self, lease: str) -> None:
        """End a lease, which deletes its keys.

        :param lease: id of the lease
        """
        reply = await self._call('DELETE', f'leases/{lease}')
        _check_existence(reply)

    async def hosts(self) -> tuple[HostEntry, ...]:
        """Return the host list, which may be out of date."""
        reply = await self._call('GET', 'hosts')
        _raise_for_status(reply)
        document = _parse_document(reply)
        with _reject_malformed():
            return tuple(HostEntry(**entry) for entry in document['hosts'])

    async def _call(
        self,
        method: str,
        path: str,
        *,
        query: Mapping[str, str] | None = None,
        body: bytes | None = None,
        extra_timeout_s: float = 0,
    ) -> _Reply:
        timeout = aiohttp.ClientTimeout(total=self._timeout_s + extra_timeout_s)
        try:
            async with self._session.request(
                method,
                self._base_url + path,
                params=query,
                data=body,
                timeout=timeout,
            ) as response:
                return _Reply(
                    status=response.status,
                    body=await read_bounded(response, ANSWER_LIMIT_BYTES),
                    headers=response.headers,
                )
        except TimeoutError as error:
            raise NoAnswerError(f'{method} {path}') from error
        except (aiohttp.ClientError, OSError) as error:
            raise _unavailable_error(str(error)) from error


@contextlib.asynccontextmanager
async def open_platform(
    address: str,
    timeout_ms: int,
) -> AsyncIterator[Platform]:
    """Open a client of the platform and close it at the end of the block.

    :param address: IP address and port
    :param timeout_ms: time allowed for one call, in milliseconds
    """
    async with _open_session() as session:
        yield Platform(address, timeout_ms, session)


def _open_session() -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=MAX_CONNECTIONS, force_close=True),
        middlewares=(_disable_retries, reject_undefined_statuses),
    )


async def _disable_retries(
    request: aiohttp.ClientRequest,
    handler: aiohttp.ClientHandlerType,
) -> aiohttp.ClientResponse:
    # aiohttp repeats a PUT or DELETE whose connection broke. A conditional
    # write that took effect would then report a revision mismatch. aiohttp
    # repeats on its own error types only, so another type is raised here.
    try:
        return await handler(request)
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise _unavailable_error(str(error)) from error


def _unavailable_error(message: str) -> MastichatchError:
    return MastichatchError(ErrorKind.platform_unavailable, message)


def _raise_for_status(reply: _Reply) -> None:
    if reply.status == _OK:
        return
    if reply.status == _CONFLICT:
        raise RevisionMismatchError(
            _parse_integer(_parse_document(reply).get('revision'))
        )
    if reply.status == _GONE:
        raise LeaseGoneError
    if reply.status == _TOO_LARGE:
        raise MastichatchError(
            ErrorKind.body_too_large,
            'the value is over one MiB',
        )
    raise _unavailable_error(f'the platform answered {reply.status}')


def _check_existence(reply: _Reply) -> bool:
    if reply.status == _NOT_FOUND:
        return False
    _raise_for_status(reply)
    return True


def _parse_document(reply: _Reply) -> Any:
    with _reject_malformed():
        return json.loads(reply.body)


def _parse_integer(number: Any) -> int:
    with _reject_malformed():
        return int(number)


@contextlib.contextmanager
def _reject_malformed() -> Any:
    try:
        yield
    except (KeyError, TypeError, ValueError) as error:
        raise _unavailable_error(f'malformed answer: {error!r}') from error
