"""Serves the HTTP interface for callers, the load balancer and operators."""

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

STARTUP_POLL_INTERVAL_S: Final = 0.01
HTTP_BACKLOG: Final = 2048

Handler = Callable[[Request, str], Awaitable[Response]]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerComponents:
    """The components that the HTTP interface calls.

    :param settings: settings of the node
    :param configuration: the configuration in force
    :param chat: handles requests for models
    :param calls: handles calls of plain services
    :param admin: handles requests of operators and the load balancer
    :param active: counts the requests in progress
    """

    settings: Settings
    configuration: Configuration
    chat: Chat
    calls: Calls
    admin: Admin
    active: ActiveRequests


def create_application(components: ServerComponents) -> Application:
    """Return the application with all its routes.

    :param components: components that the routes call
    """
    application = Application()
    router = application.router
    router.add_post(
        '/v1/chat/completions',
        _close_when_draining(
            components, _create_completion_handler(components)
        ),
    )
    router.add_get(
        '/v1/chat/completions/{handle}',
        _close_when_draining(components, _create_resume_handler(components)),
    )
    router.add_delete(
        '/v1/chat/completions/{handle}',
        _close_when_draining(components, _create_cancel_handler(components)),
    )
    router.add_get(
        '/v1/models',
        _close_when_draining(components, _create_models_handler(components)),
    )
    router.add_post(
        '/v1/services/{service}/{operation}',
        _close_when_draining(components, _create_call_handler(components)),
    )
    router.add_post(
        '/v1/tickets/{service}/{operation}',
        _close_when_draining(components, _create_tickets_handler(components)),
    )
    router.add_get(
        '/health/live', _answer_errors(_create_live_handler(components))
    )
    router.add_get(
        '/health/ready', _answer_errors(_create_ready_handler(components))
    )
    router.add_get(
        '/health/draining', _answer_errors(_create_draining_handler(components))
    )
    router.add_get(
        '/admin/status', _answer_errors(_create_status_handler(components))
    )
    router.add_get(
        '/admin/explain/{request_id}',
        _answer_errors(_create_explain_handler(components)),
    )
    return application


def _create_completion_handler(components: ServerComponents) -> Handler:
    async def handle(request: Request, request_id: str) -> Response:
        caller = read_caller(request, request_id)
        body = await read_body(request, components.settings.body_limit_bytes)
        return await components.chat.complete(caller, body)

    return handle


def _create_resume_handler(components: ServerComponents) -> Handler:
    async def handle(request: Request, request_id: str) -> Response:
        last_event_id = request.get_first_header(b'Last-Event-ID') or b''
        return await components.chat.resume(
            read_caller(request, request_id),
            _route_parameter(request, 'handle'),
            last_event_id.decode('latin-1'),
        )

    return handle


def _create_cancel_handler(components: ServerComponents) -> Handler:
    async def handle(request: Request, request_id: str) -> Response:
        return await components.chat.cancel(
            read_caller(request, request_id),
            _route_parameter(request, 'handle'),
        )

    return handle


def _create_models_handler(components: ServerComponents) -> Handler:
    async def handle(request: Request, request_id: str) -> Response:
        catalogue = components.configuration.current
        if catalogue is None:
            raise MastichatchError(ErrorKind.not_ready)
        models = [
            {'id': service.name, 'object': 'model', 'owned_by': 'mastichatch'}
            for service in catalogue.services.values()
            if service.kind is ServiceKind.model
        ]
        return json_response(200, {'object': 'list', 'data': models})

    return handle


def _create_call_handler(components: ServerComponents) -> Handler:
    async def handle(request: Request, request_id: str) -> Response:
        caller = read_caller(request, request_id)
        body = await read_body(request, components.settings.body_limit_bytes)
        outcome = await components.calls.call(
            request_id,
            caller.workspace,
            _route_parameter(request, 'service'),
            _route_parameter(request, 'operation'),
            caller.key,
            body,
        )
        return _outcome_response(outcome, request_id)

    return handle


def _create_tickets_handler(components: ServerComponents) -> Handler:
    async def handle(request: Request, request_id: str) -> Response:
        caller = read_caller(request, request_id)
        counts = request.query.get('count', ['1'])
        if not counts[0].isdigit():
            raise MastichatchError(
                ErrorKind.bad_request,
                'count must be a number',
            )
        tickets = await components.calls.mint_tickets(
            caller.workspace,
            _route_parameter(request, 'service'),
            _route_parameter(request, 'operation'),
            int(counts[0]),
        )
        return json_response(200, {'tickets': tickets})

    return handle


def _create_live_handler(components: ServerComponents) -> Handler:
    async def handle(request: Request, request_id: str) -> Response:
        return json_response(200, {'live': True})

    return handle


def _create_ready_handler(components: ServerComponents) -> Handler:
    async def handle(request: Request, request_id: str) -> Response:
        ready = components.admin.is_ready
        return json_response(200 if ready else 503, {'ready': ready})

    return handle


def _create_draining_handler(components: ServerComponents) -> Handler:
    async def handle(request: Request, request_id: str) -> Response:
        return json_response(200, {'draining': components.admin.is_draining})

    return handle


def _create_status_handler(components: ServerComponents) -> Handler:
    async def handle(request: Request, request_id: str) -> Response:
        return json_response(200, components.admin.status())

    return handle


def _create_explain_handler(components: ServerComponents) -> Handler:
    async def handle(request: Request, request_id: str) -> Response:
        explained_id = _route_parameter(request, 'request_id')
        return json_response(200, await components.admin.explain(explained_id))

    return handle


def _close_when_draining(
    components: ServerComponents,
    handler: Handler,
) -> Callable[[Request], Awaitable[Response]]:
    answer = _answer_errors(handler)

    async def handle(request: Request) -> Response:
        response = await answer(request)
        if components.admin.is_draining:
            response.set_header(b'Connection', b'close')
        return response

    return handle


def _answer_errors(
    handler: Handler,
) -> Callable[[Request], Awaitable[Response]]:
    """Return a handler that turns exceptions into error responses."""

    async def handle(request: Request) -> Response:
        request_id = request_id_of(request)
        try:
            response = await handler(request, request_id)
        except MastichatchError as error:
            return error_response(error, request_id)
        except Exception:
            logging.exception(
                'HTTP request failed', extra={'request_id': request_id}
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


def _route_parameter(request: Request, name: str) -> str:
    values = request.route_values or {}
    return values.get(name) or ''


class _Server(uvicorn.Server):
    """A uvicorn server without signal handlers; the node installs its own."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield


@contextlib.asynccontextmanager
async def open_server(components: ServerComponents) -> AsyncIterator[None]:
    """Serve HTTP until the end of the block, then shut down gracefully.

    The shutdown does not cut off requests in progress.

    :param components: components that the routes call
    :raises SystemExit: from uvicorn, if the address cannot be bound
    """
    application = create_application(components)
    host, _, port = components.settings.http_address.rpartition(':')

    async def track_requests(
        scope: Scope, receive: Receive, send: Send
    ) -> None:
        path = scope.get('path', '')
        if path.startswith('/v1/'):
            with components.active.tracked():
                await application(scope, receive, send)
        else:
            await application(scope, receive, send)

    config = uvicorn.Config(
        cancelled_on_disconnect(track_requests),
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
            await asyncio.sleep(STARTUP_POLL_INTERVAL_S)
        if task.done():
            await task
        yield
    finally:
        server.should_exit = True
        await task
