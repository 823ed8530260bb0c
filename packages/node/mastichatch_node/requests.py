"""Parses headers and bodies of callers' requests, and builds responses."""

import asyncio
import dataclasses
import uuid
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import Any, Final

import msgspec
from blacksheep import Content, Request, Response

from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.messages import ErrorKind, RequestClass
from mastichatch_core.units import MS_PER_S

JSON: Final = b'application/json'
_BEARER: Final = 'Bearer '

Scope = dict[str, Any]
Message = dict[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
Application = Callable[[Scope, Receive, Send], Awaitable[None]]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Caller:
    """Values of a request's headers.

    :param request_id: id of the request in all logs
    :param workspace: name of the workspace
    :param request_class: priority class
    :param deadline_ms: longest wait that the caller allows, in milliseconds,
        or None
    :param key: idempotency key, or empty
    """

    request_id: str
    workspace: str
    request_class: RequestClass
    deadline_ms: int | None
    key: str


class ActiveRequests:
    """Count callers' requests in progress."""

    def __init__(self) -> None:
        """Start at zero."""
        self._count = 0

    @property
    def count(self) -> int:
        """Number of requests in progress."""
        return self._count

    @contextmanager
    def tracked(self) -> Iterator[None]:
        """Count a request for the duration of the block."""
        self._count += 1
        try:
            yield
        finally:
            self._count -= 1


def request_id_of(request: Request) -> str:
    """Return the caller's request id, or a new one.

    :param request: the request
    """
    return _header(request, b'Request-Id') or uuid.uuid4().hex


def read_caller(request: Request, request_id: str) -> Caller:
    """Parse the headers of a request.

    :param request: the request
    :param request_id: id of the request
    :raises MastichatchError: with ``bad_request`` for a malformed header
    """
    return Caller(
        request_id=request_id,
        workspace=_workspace(request),
        request_class=_request_class(request),
        deadline_ms=_deadline_ms(request),
        key=_header(request, b'Idempotency-Key'),
    )


async def read_body(request: Request, limit_bytes: int) -> bytes:
    """Return the body of a request.

    :param request: the request
    :param limit_bytes: largest allowed size, in bytes
    :raises MastichatchError: with ``body_too_large`` if the body is larger
    """
    chunks = []
    size = 0
    # blacksheep annotates ``stream`` with a type that it does not return.
    stream: AsyncIterator[bytes] = request.stream()  # type: ignore[assignment]
    async for chunk in stream:
        size += len(chunk)
        if size > limit_bytes:
            raise MastichatchError(
                ErrorKind.body_too_large,
                f'the body is over {limit_bytes} bytes',
            )
        chunks.append(chunk)
    return b''.join(chunks)


def json_response(status: int, message: object) -> Response:
    """Return a response with a JSON body.

    :param status: HTTP status
    :param message: data class or built-in value to encode
    """
    return Response(
        status,
        content=Content(JSON, msgspec.json.encode(message)),
    )


def error_response(error: MastichatchError, request_id: str) -> Response:
    """Return the error response of a request.

    :param error: the error
    :param request_id: id of the request
    """
    response = Response(
        error.status,
        content=Content(JSON, b'{"error": %b}' % error_json(error, request_id)),
    )
    body = error.body(request_id)
    response.add_header(b'Request-Id', request_id.encode())
    if body.retry_after_ms is not None:
        seconds = -(-body.retry_after_ms // MS_PER_S)
        response.add_header(b'Retry-After', str(seconds).encode())
    return response


def error_json(error: MastichatchError, request_id: str) -> bytes:
    """Return an error as JSON, with the fields that OpenAI clients read.

    :param error: the error
    :param request_id: id of the request
    """
    fields = msgspec.to_builtins(error.body(request_id))
    fields['type'] = fields['kind']
    fields['code'] = fields['kind']
    return msgspec.json.encode(fields)


def cancelled_on_disconnect(application: Application) -> Application:
    """Wrap an application so that a disconnect cancels the request.

    :param application: ASGI application
    """

    async def guarded(scope: Scope, receive: Receive, send: Send) -> None:
        if scope['type'] != 'http':
            await application(scope, receive, send)
            return
        await _DisconnectGuard(receive, send).run(application, scope)

    return guarded


class _DisconnectGuard:
    """Watch a request's connection for a disconnect, once its body is read."""

    def __init__(self, receive: Receive, send: Send) -> None:
        self._receive = receive
        self._send = send
        self._watcher: asyncio.Task[None] | None = None
        self._finished = False
        self._disconnected = False

    async def run(self, application: Application, scope: Scope) -> None:
        self._request_task = asyncio.current_task()
        try:
            await application(scope, self._receive_watched, self._send_watched)
        except asyncio.CancelledError:
            if not self._disconnected:
                raise
        finally:
            self._finished = True
            if self._watcher is not None:
                self._watcher.cancel()

    async def _receive_watched(self) -> Message:
        message = await self._receive()
        is_body = message['type'] == 'http.request'
        if is_body and not message.get('more_body') and not self._watcher:
            self._watcher = asyncio.create_task(self._watch())
        return message

    async def _send_watched(self, message: Message) -> None:
        if message['type'] == 'http.response.body':
            self._finished = not message.get('more_body')
        await self._send(message)

    async def _watch(self) -> None:
        message = await self._receive()
        is_gone = message['type'] == 'http.disconnect'
        if is_gone and not self._finished and self._request_task is not None:
            self._disconnected = True
            self._request_task.cancel()


def _header(request: Request, name: bytes) -> str:
    value = request.get_first_header(name)
    return '' if value is None else value.decode('latin-1').strip()


def _workspace(request: Request) -> str:
    """Return the workspace, which OpenAI clients send as their API key."""
    value = _header(request, b'Workspace')
    if value:
        return value
    return _header(request, b'Authorization').removeprefix(_BEARER)


def _request_class(request: Request) -> RequestClass:
    value = _header(request, b'Priority')
    if not value:
        return RequestClass.standard
    try:
        return RequestClass(value)
    except ValueError:
        known = ', '.join(RequestClass)
        raise MastichatchError(
            ErrorKind.bad_request,
            f'Priority must be one of {known}',
        ) from None


def _deadline_ms(request: Request) -> int | None:
    value = _header(request, b'Deadline-Ms')
    if not value:
        return None
    if not value.isdigit() or not int(value):
        raise MastichatchError(
            ErrorKind.bad_request,
            'Deadline-Ms must be a positive number of milliseconds',
        )
    return int(value)
