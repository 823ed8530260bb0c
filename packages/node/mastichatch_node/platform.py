"""Adapter of the platform: key-value service, leases and host list.

No other module knows the platform's protocol.
"""

import base64
import contextlib
import dataclasses
import json
from collections.abc import AsyncIterator, Callable, Mapping
from typing import Any, Final

import aiohttp

from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.messages import ErrorKind
from mastichatch_core.units import MS_PER_S

CONNECTION_LIMIT: Final = 64
KEEPALIVE_S: Final = 15

_OK: Final = 200
_NOT_FOUND: Final = 404
_CONFLICT: Final = 409
_GONE: Final = 410
_TOO_LARGE: Final = 413


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Stored:
    """A value with its revision."""

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
    """All keys under a prefix, and the revision at which they were read."""

    revision: int
    entries: tuple[Entry, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """A key that was written or deleted."""

    key: str
    revision: int
    deleted: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WatchAnswer:
    """What changed under a prefix; empty when the wait ended."""

    revision: int
    changes: tuple[Change, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HostEntry:
    """One line of the host list; ``state`` is ``live`` or ``leaving``."""

    host: str
    data_centre: str
    state: str


class RevisionMismatchError(MastichatchError):
    """The key does not have the expected revision.

    :param current: revision that the key has; zero for an absent key
    """

    def __init__(self, current: int) -> None:
        """Keep the revision found."""
        super().__init__(
            ErrorKind.conflict,
            f'the key is at revision {current}',
        )
        self.current = current


class LeaseGoneError(MastichatchError):
    """The lease that a write names has lapsed."""

    def __init__(self) -> None:
        """Say so."""
        super().__init__(ErrorKind.conflict, 'the lease has lapsed')


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Reply:
    status: int
    body: bytes
    headers: Mapping[str, str]


class _Pool:
    """A client session that closes once it is retired and unused."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        """Start unused."""
        self._session = session
        self._users = 0
        self._retired = False

    @contextlib.asynccontextmanager
    async def use(self) -> AsyncIterator[aiohttp.ClientSession]:
        """Keep the session open for one call."""
        self._users += 1
        try:
            yield self._session
        finally:
            self._users -= 1
            await self._close_if_unused()

    async def retire(self) -> None:
        """Close the session after its last call."""
        self._retired = True
        await self._close_if_unused()

    async def close(self) -> None:
        """Close the session at once."""
        await self._session.close()

    async def _close_if_unused(self) -> None:
        if self._retired and not self._users:
            await self._session.close()


class Platform:
    """The platform's key-value service and host list.

    Any call raises ``MastichatchError`` with ``platform_unavailable`` when
    the platform does not answer in time. A write that raises it may have
    taken effect. No call is ever repeated here.
    """

    def __init__(
        self,
        address: str,
        timeout_ms: int,
        open_session: Callable[[], aiohttp.ClientSession],
    ) -> None:
        """Keep the address; ``open_platform`` is the way to create one."""
        self._base = f'http://{address}/v1/'
        self._timeout_s = timeout_ms / MS_PER_S
        self._open_session = open_session
        self._pool = _Pool(open_session())

    async def read(self, key: str) -> Stored | None:
        """Return a key's value, or nothing for an absent key.

        :param key: the key
        """
        reply = await self._call('GET', f'kv/{key}')
        if not _found(reply):
            return None
        return Stored(
            value=reply.body,
            revision=_integer(reply.headers.get('Revision')),
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
        :param value: at most one MiB
        :param expect: revision that the key must have, zero for absent;
            without it the write is unconditional
        :param lease: lease that the key goes with
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
        _check(reply)
        return _integer(_document(reply).get('revision'))

    async def delete(self, key: str, *, expect: int | None = None) -> bool:
        """Delete a key.

        :param key: the key
        :param expect: revision that the key must have
        :returns: whether the key was there
        :raises RevisionMismatchError: if the key has another revision
        """
        query = {} if expect is None else {'expect': str(expect)}
        reply = await self._call('DELETE', f'kv/{key}', query=query)
        return _found(reply)

    async def list_entries(self, prefix: str) -> Listing:
        """Return all keys under a prefix with their values.

        :param prefix: start of the keys
        """
        reply = await self._call('GET', 'list', query={'prefix': prefix})
        _check(reply)
        document = _document(reply)
        with _parsing():
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

        :param prefix: start of the keys
        :param after: revision after which changes count
        :param wait_ms: longest wait, in milliseconds; a watch that is silent
            for longer counts as broken
        """
        reply = await self._call(
            'GET',
            'watch',
            query={
                'prefix': prefix,
                'after': str(after),
                'wait_ms': str(wait_ms),
            },
            extra_s=wait_ms / MS_PER_S,
        )
        _check(reply)
        document = _document(reply)
        with _parsing():
            return WatchAnswer(
                revision=document['revision'],
                changes=tuple(Change(**change) for change in document['keys']),
            )

    async def grant_lease(self, ttl_ms: int) -> str:
        """Return a new lease.

        :param ttl_ms: time after which it lapses unless renewed, in
            milliseconds
        """
        body = json.dumps({'ttl_ms': ttl_ms}).encode()
        reply = await self._call('POST', 'leases', body=body)
        _check(reply)
        with _parsing():
            return str(_document(reply)['lease'])

    async def renew_lease(self, lease: str) -> bool:
        """Start a lease's time anew.

        :param lease: the lease
        :returns: whether it was still there
        """
        reply = await self._call('POST', f'leases/{lease}/renew')
        return _found(reply)

    async def revoke_lease(self, lease: str) -> None:
        """End a lease; its keys go with it.

        :param lease: the lease
        """
        reply = await self._call('DELETE', f'leases/{lease}')
        _found(reply)

    async def hosts(self) -> tuple[HostEntry, ...]:
        """Return the host list, which lags."""
        reply = await self._call('GET', 'hosts')
        _check(reply)
        document = _document(reply)
        with _parsing():
            return tuple(HostEntry(**entry) for entry in document['hosts'])

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.close()

    async def _call(
        self,
        method: str,
        path: str,
        *,
        query: Mapping[str, str] | None = None,
        body: bytes | None = None,
        extra_s: float = 0,
    ) -> _Reply:
        timeout = aiohttp.ClientTimeout(total=self._timeout_s + extra_s)
        pool = self._pool
        try:
            async with (
                pool.use() as session,
                session.request(
                    method,
                    self._base + path,
                    params=query,
                    data=body,
                    timeout=timeout,
                ) as response,
            ):
                return _Reply(
                    status=response.status,
                    body=await response.read(),
                    headers=response.headers,
                )
        except TimeoutError as error:
            await self._replace(pool)
            raise _unavailable(f'no answer to {method} {path}') from error
        except (aiohttp.ClientError, OSError) as error:
            raise _unavailable(str(error)) from error

    async def _replace(self, pool: _Pool) -> None:
        # Where one connection went silent, the idle ones may have as well.
        if pool is self._pool:
            self._pool = _Pool(self._open_session())
            await pool.retire()


@contextlib.asynccontextmanager
async def open_platform(
    address: str,
    timeout_ms: int,
) -> AsyncIterator[Platform]:
    """Open the connections to the platform.

    :param address: IP address and port
    :param timeout_ms: time allowed for one call, in milliseconds
    """
    platform = Platform(address, timeout_ms, _open_session)
    try:
        yield platform
    finally:
        await platform.close()


def _open_session() -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=CONNECTION_LIMIT,
            keepalive_timeout=KEEPALIVE_S,
        ),
        middlewares=(_send_once,),
    )


async def _send_once(
    request: aiohttp.ClientRequest,
    handler: aiohttp.ClientHandlerType,
) -> aiohttp.ClientResponse:
    # aiohttp repeats a PUT or DELETE whose connection broke, which would turn
    # a conditional write that took effect into a false mismatch. It does so
    # for its own errors only.
    try:
        return await handler(request)
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise _unavailable(str(error)) from error


def _unavailable(message: str) -> MastichatchError:
    return MastichatchError(ErrorKind.platform_unavailable, message)


def _check(reply: _Reply) -> None:
    if reply.status == _OK:
        return
    if reply.status == _CONFLICT:
        raise RevisionMismatchError(_integer(_document(reply).get('revision')))
    if reply.status == _GONE:
        raise LeaseGoneError
    if reply.status == _TOO_LARGE:
        raise MastichatchError(
            ErrorKind.body_too_large,
            'the value is over one MiB',
        )
    raise _unavailable(f'the platform answered {reply.status}')


def _found(reply: _Reply) -> bool:
    if reply.status == _NOT_FOUND:
        return False
    _check(reply)
    return True


def _document(reply: _Reply) -> Any:
    with _parsing():
        return json.loads(reply.body)


def _integer(number: Any) -> int:
    with _parsing():
        return int(number)


@contextlib.contextmanager
def _parsing() -> Any:
    try:
        yield
    except (KeyError, TypeError, ValueError) as error:
        raise _unavailable(f'malformed answer: {error!r}') from error
