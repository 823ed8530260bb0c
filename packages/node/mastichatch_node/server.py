"""The HTTP interface of a node, for callers, the balancer and operators."""

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from typing import Final

import uvicorn
from absl import logging
from blacksheep import Application, Content, Request, Response

from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.manifest import ServiceKind
from mastichatch_core.generated.messages import CallOutcome, ErrorKind, Ran
from mastichatch_core.generated.settings import Settings
from mastichatch_node.admin import Admin
from mastichatch_node.calls import Calls
from mastichatch_node.chat import Chat
from mastichatch_node.configuration import Configuration
from mastichatch_node.requests import (
    ActiveRequests,
    Receive,
    Scope,
    Send,
    cancelled_on_disconnect,
    error_response,
    json_response,
    read_body,
    read_caller,
    request_id_of,
)

START_POLL_S: Final = 0.01
HTTP_BACKLOG: Final = 2048

Handler = Callable[[Request, str], Awaitable[Response]]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Parts:
    """What the HTTP interface calls.

    :param settings: settings of the node
    :param configuration: the configuration in force
    :param chat: answers callers of models
    :param calls: answers callers of plain services
    :param admin: answers operators
    :param active: counts requests in progress
    """

    settings: Settings
    configuration: Configuration
    chat: Chat
    calls: Calls
    admin: Admin
    active: ActiveRequests


def create_application(parts: Parts) -> Application:
    """Return the application with all its routes.

    :param parts: what the routes call
    """
    application = Application()
    router = application.router
    router.add_post('/v1/chat/completions', _counted(parts, _chat(parts)))
    router.add_get(
        '/v1/chat/completions/{handle}',
        _counted(parts, _resume(parts)),
    )
    router.add_delete(
        '/v1/chat/completions/{handle}',
        _counted(parts, _cancel(parts)),
    )
    router.add_get('/v1/models', _counted(parts, _models(parts)))
    router.add_post(
        '/v1/services/{service}/{operation}',
        _counted(parts, _call(parts)),
    )
    router.add_post(
        '/v1/tickets/{service}/{operation}',
        _counted(parts, _tickets(parts)),
    )
    router.add_get('/health/live', _answered(_live(parts)))
    router.add_get('/health/ready', _answered(_ready(parts)))
    router.add_get('/health/draining', _answered(_draining(parts)))
    router.add_get('/admin/status', _answered(_status(parts)))
    router.add_get('/admin/explain/{request_id}', _answered(_explain(parts)))
    return application


def _chat(parts: Parts) -> Handler:
    async def handle(request: Request, request_id: str) -> Response:
        caller = read_caller(request, request_id)
        body = await read_body(request, parts.settings.body_limit_bytes)
        return await parts.chat.complete(caller, body)

    return handle


def _resume(parts: Parts) -> Handler:
    async def handle(request: Request, request_id: str) -> Response:
        last_event_id = request.get_first_header(b'Last-Event-ID') or b''
        return await parts.chat.resume(
            read_caller(request, request_id),
            _route_value(request, 'handle'),
            last_event_id.decode('latin-1'),
        )

    return handle


def _cancel(parts: Parts) -> Handler:
    async def handle(request: Request, request_id: str) -> Response:
        return await parts.chat.cancel(
            read_caller(request, request_id),
            _route_value(request, 'handle'),
        )

    return handle


def _models(parts: Parts) -> Handler:
    async def handle(request: Request, request_id: str) -> Response:
        catalogue = parts.configuration.current
        if catalogue is None:
            raise MastichatchError(ErrorKind.not_ready)
        models = [
            {'id': service.name, 'object': 'model', 'owned_by': 'mastichatch'}
            for service in catalogue.services.values()
            if service.kind is ServiceKind.model
        ]
        return json_response(200, {'object': 'list', 'data': models})

    return handle


def _call(parts: Parts) -> Handler:
    async def handle(request: Request, request_id: str) -> Response:
        caller = read_caller(request, request_id)
        body = await read_body(request, parts.settings.body_limit_bytes)
        outcome = await parts.calls.call(
            request_id,
            caller.workspace,
            _route_value(request, 'service'),
            _route_value(request, 'operation'),
            caller.key,
            body,
        )
        return _outcome_response(outcome, request_id)

    return handle


def _tickets(parts: Parts) -> Handler:
    async def handle(request: Request, request_id: str) -> Response:
        caller = read_caller(request, request_id)
        counts = request.query.get('count', ['1'])
        if not counts[0].isdigit():
            raise MastichatchError(
                ErrorKind.bad_request,
                'count must be a number',
            )
        tickets = await parts.calls.mint_tickets(
            caller.workspace,
            _route_value(request, 'service'),
            _route_value(request, 'operation'),
            int(counts[0]),
        )
        return json_response(200, {'tickets': tickets})

    return handle


def _live(parts: Parts) -> Handler:
    async def handle(request: Request, request_id: str) -> Response:
        return json_response(200, {'live': True})

    return handle


def _ready(parts: Parts) -> Handler:
    async def handle(request: Request, request_id: str) -> Response:
        ready = parts.admin.is_ready
        return json_response(200 if ready else 503, {'ready': ready})

    return handle


def _draining(parts: Parts) -> Handler:
    async def handle(request: Request, request_id: str) -> Response:
        return json_response(200, {'draining': parts.admin.is_draining})

    return handle


def _status(parts: Parts) -> Handler:
    async def handle(request: Request, request_id: str) -> Response:
        return json_response(200, parts.admin.status())

    return handle


def _explain(parts: Parts) -> Handler:
    async def handle(request: Request, request_id: str) -> Response:
        wanted = _route_value(request, 'request_id')
        return json_response(200, await parts.admin.explain(wanted))

    return handle


def _counted(
    parts: Parts,
    handler: Handler,
) -> Callable[[Request], Awaitable[Response]]:
    answered = _answered(handler)

    async def handle(request: Request) -> Response:
        response = await answered(request)
        if parts.admin.is_draining:
            response.set_header(b'Connection', b'close')
        return response

    return handle


def _answered(handler: Handler) -> Callable[[Request], Awaitable[Response]]:
    """Return a handler that answers every failure from the error table."""

    async def handle(request: Request) -> Response:
        request_id = request_id_of(request)
        try:
            response = await handler(request, request_id)
        except MastichatchError as error:
            return error_response(error, request_id)
        except Exception:
            logging.exception(
                'request failed', extra={'request_id': request_id}
            )
            return error_response(
                MastichatchError(ErrorKind.internal),
                request_id,
            )
        if not response.has_header(b'Request-Id'):
            response.add_header(b'Request-Id', request_id.encode())
        return response

    return handle


def _outcome_response(outcome: CallOutcome, request_id: str) -> Response:
    if outcome.error is not None:
        raise MastichatchError(
            outcome.error,
            outcome.message,
            ran=Ran(outcome.ran),
        )
    return Response(
        outcome.status,
        content=Content(outcome.content_type.encode(), outcome.body),
    )


def _route_value(request: Request, name: str) -> str:
    values = request.route_values or {}
    return values.get(name) or ''


class _Server(uvicorn.Server):
    """uvicorn's server, without its signal handlers: the node has its own."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave signals alone."""
        yield


@contextlib.asynccontextmanager
async def open_server(parts: Parts) -> AsyncIterator[None]:
    """Serve HTTP until the end of the block, and end without cutting any.

    :param parts: what the routes call
    :raises OSError: when the address can't be used
    """
    application = create_application(parts)
    host, _, port = parts.settings.http_address.rpartition(':')

    async def tracked(scope: Scope, receive: Receive, send: Send) -> None:
        path = scope.get('path', '')
        if path.startswith('/v1/'):
            with parts.active.tracked():
                await application(scope, receive, send)
        else:
            await application(scope, receive, send)

    config = uvicorn.Config(
        cancelled_on_disconnect(tracked),
        host=host,
        port=int(port),
        log_config=None,
        access_log=False,
        lifespan='on',
        backlog=HTTP_BACKLOG,
        http='httptools',
        ws='none',
        server_header=False,
    )
    server = _Server(config)
    task = asyncio.create_task(server.serve())
    try:
        while not server.started and not task.done():
            await asyncio.sleep(START_POLL_S)
        if task.done():
            await task
        yield
    finally:
        server.should_exit = True
        await task
