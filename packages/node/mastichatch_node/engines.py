"""HTTP client for model engines; no other module depends on their protocol."""

import contextlib
from collections.abc import AsyncIterator, Iterator
from typing import Final, NoReturn

import aiohttp
import msgspec

from mastichatch_core.errors import MastichatchError
from mastichatch_core.events import EventParser, TokenEvent
from mastichatch_core.generated.messages import EndpointObservation, ErrorKind
from mastichatch_core.units import MS_PER_S
from mastichatch_node.replies import check_reply, reject_undefined_statuses
from mastichatch_node.reports import (
    ReadReport,
    open_report_reader,
    unreachable,
)

_CANCEL_TIMEOUT_S: Final = 1.0
_ERROR_LIMIT_BYTES: Final = 4096
_HTTP_REDIRECT: Final = 300
_HTTP_NOT_FOUND: Final = 404
_HTTP_BUSY: Final = 429
_HTTP_UNAVAILABLE: Final = 503
_HTTP_SERVER_ERROR: Final = 500


class EngineStream:
    """A connection that carries the events of one generation."""

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        """Read the engine's headers from a response.

        :param response: response whose head has been read
        :raises MastichatchError: with ``endpoint_failed`` if one of them is
            missing
        """
        try:
            self._generation = response.headers['Generation-Id']
            self._boot_id = response.headers['Boot-Id']
        except KeyError as missing:
            raise MastichatchError(
                ErrorKind.endpoint_failed,
                f'the engine left out the header {missing}',
            ) from None
        self._response = response

    @property
    def generation(self) -> str:
        """Id of the generation, unique within one boot of the engine."""
        return self._generation

    @property
    def boot_id(self) -> str:
        """Id of the engine's boot."""
        return self._boot_id

    async def batches(self) -> AsyncIterator[list[TokenEvent]]:
        """Yield the events of each read, up to the end marker.

        :raises MastichatchError: with ``endpoint_failed`` if the stream ends
            without the end marker, is idle for too long or is malformed
        """
        parser = EventParser(self._generation)
        with _translate_errors():
            async for data in self._response.content.iter_any():
                events = parser.feed(data)
                if events:
                    yield events
        if not parser.done:
            raise MastichatchError(
                ErrorKind.endpoint_failed,
                'the stream ended early',
            )


class Engines:
    """Send requests to model engines."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        reports: ReadReport,
        connect_timeout_s: float,
    ) -> None:
        """Use a session that opens a connection for each request.

        :param session: session that closes its connection after each response
        :param reports: function that reads load reports over kept-alive
            connections
        :param connect_timeout_s: time allowed for connecting, in seconds
        """
        self._session = session
        self._read_report = reports
        self._connect_timeout_s = connect_timeout_s

    @contextlib.asynccontextmanager
    async def start(
        self,
        address: str,
        body: bytes,
        *,
        request_id: str,
        priority: int,
        idle_timeout_ms: int,
        boot_id: str = '',
    ) -> AsyncIterator[EngineStream]:
        """Start a generation and open its event stream.

        The boot id prevents requests that were sent to a warm engine from
        reaching it after a restart, when it bears fewer. Engines may ignore it.

        :param address: IP address and port of the engine
        :param body: the OpenAI body, with ``"stream": true``
        :param request_id: request id, for the engine's log
        :param priority: priority class; zero is served first
        :param idle_timeout_ms: longest time without data, in milliseconds
        :param boot_id: only boot of the engine that may run the request; empty
            for any
        :raises MastichatchError: with ``endpoint_unreachable`` or
            ``endpoint_refused`` if nothing was generated, ``bad_request`` if
            the engine rejected the body, and ``endpoint_failed`` otherwise
        """
        headers = {
            'Content-Type': 'application/json',
            'Request-Id': request_id,
            'Priority': str(priority),
        }
        if boot_id:
            headers['Boot-Id'] = boot_id
        with _translate_errors():
            response = await self._session.post(
                f'http://{address}/v1/chat/completions',
                data=body,
                headers=headers,
                timeout=self._timeout(idle_timeout_ms),
            )
        async with _closing(response):
            with _translate_errors():
                check_reply(response.headers, request_id)
            await _check_status(response)
            yield EngineStream(response)

    @contextlib.asynccontextmanager
    async def resume(
        self,
        address: str,
        generation: str,
        *,
        after: int,
        idle_timeout_ms: int,
    ) -> AsyncIterator[EngineStream]:
        """Resume a generation on a new connection.

        :param address: IP address and port of the engine
        :param generation: id of the generation
        :param after: index of the last event received; -1 for none
        :param idle_timeout_ms: longest time without data, in milliseconds
        :raises MastichatchError: with ``not_found`` if the engine does not
            know the generation, otherwise as :meth:`start`
        """
        with _translate_errors():
            response = await self._session.get(
                f'http://{address}/v1/generations/{generation}/events',
                params={'after': str(after)},
                timeout=self._timeout(idle_timeout_ms),
            )
        async with _closing(response):
            await _check_status(response)
            yield EngineStream(response)

    async def cancel(
        self,
        address: str,
        generation: str,
        boot_id: str,
    ) -> bool:
        """Cancel a generation, and return whether it is known to have ended.

        It is if the engine says so or does not know it, or if no connection
        to it lasts until an answer. An engine that leaves the order without
        an answer, or refuses it, may work on.

        The boot id prevents a late cancel from ending a generation that has
        the same id in a later boot of the engine.

        :param address: IP address and port of the engine
        :param generation: id of the generation
        :param boot_id: id of the boot that the generation belongs to
        """
        timeout = aiohttp.ClientTimeout(
            total=_CANCEL_TIMEOUT_S, sock_connect=self._connect_timeout_s
        )
        try:
            async with self._session.delete(
                f'http://{address}/v1/generations/{generation}',
                headers={'Boot-Id': boot_id},
                timeout=timeout,
            ) as response:
                return (
                    response.status < _HTTP_REDIRECT
                    or response.status == _HTTP_NOT_FOUND
                )
        except TimeoutError as error:
            return isinstance(error, aiohttp.ConnectionTimeoutError)
        except aiohttp.ClientError as error:
            return isinstance(error, aiohttp.ClientConnectionError)

    async def load(self, endpoint: str, address: str) -> EndpointObservation:
        """Return an engine's load, or an observation that it is unreachable.

        The report may be out of date by its ``age_ms``.

        :param endpoint: name of the endpoint
        :param address: IP address and port of the engine
        """
        body = await self._read_report(f'http://{address}/v1/load')
        try:
            report = msgspec.json.decode(body, type=_LoadReport)
        except msgspec.MsgspecError:
            return unreachable(endpoint)
        return report.observation(endpoint)

    def _timeout(self, idle_timeout_ms: int) -> aiohttp.ClientTimeout:
        return aiohttp.ClientTimeout(
            total=None,
            sock_connect=self._connect_timeout_s,
            sock_read=idle_timeout_ms / MS_PER_S,
        )


class _LoadReport(msgspec.Struct, frozen=True):
    """Load report of an engine; see docs/design."""

    boot_id: str
    running: int = 0
    waiting: int = 0
    memory_used: int = 0
    preemptions: int = 0
    age_ms: float = 0

    def observation(self, endpoint: str) -> EndpointObservation:
        """Return the report as an observation for the scheduler."""
        return EndpointObservation(
            endpoint=endpoint,
            boot_id=self.boot_id,
            running=self.running,
            waiting=self.waiting,
            memory_used=self.memory_used,
            preemptions=self.preemptions,
            age_ms=self.age_ms,
        )


@contextlib.asynccontextmanager
async def open_engines(connect_timeout_ms: int) -> AsyncIterator[Engines]:
    """Open the HTTP client for engines.

    Each request uses a new connection: an idle pooled connection may be dead
    unnoticed, and the cost of a connect is small beside that of a stream.

    :param connect_timeout_ms: time allowed for connecting, in milliseconds
    """
    connector = aiohttp.TCPConnector(limit=0, force_close=True)
    async with (
        aiohttp.ClientSession(
            connector=connector,
            auto_decompress=False,
            middlewares=(reject_undefined_statuses,),
        ) as session,
        open_report_reader() as reports,
    ):
        yield Engines(session, reports, connect_timeout_ms / MS_PER_S)


@contextlib.asynccontextmanager
async def _closing(
    response: aiohttp.ClientResponse,
) -> AsyncIterator[None]:
    try:
        yield
    finally:
        response.close()


@contextlib.contextmanager
def _translate_errors() -> Iterator[None]:
    try:
        yield
    except (
        aiohttp.ClientConnectorError,
        aiohttp.ConnectionTimeoutError,
    ) as error:
        raise MastichatchError(
            ErrorKind.endpoint_unreachable,
            f'no connection: {error}',
        ) from error
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        raise MastichatchError(
            ErrorKind.endpoint_failed,
            f'the connection broke: {error!r}',
        ) from error


async def _check_status(response: aiohttp.ClientResponse) -> None:
    if response.status < _HTTP_REDIRECT:
        return
    with _translate_errors():
        detail = await response.content.read(_ERROR_LIMIT_BYTES)
    _raise_for_status(response.status, detail.decode(errors='replace'))


def _raise_for_status(status: int, detail: str) -> NoReturn:
    if status == _HTTP_NOT_FOUND:
        raise MastichatchError(ErrorKind.not_found, detail)
    if status in {_HTTP_BUSY, _HTTP_UNAVAILABLE}:
        raise MastichatchError(ErrorKind.endpoint_refused, detail)
    if status >= _HTTP_SERVER_ERROR:
        raise MastichatchError(ErrorKind.endpoint_failed, detail)
    raise MastichatchError(ErrorKind.bad_request, detail)
