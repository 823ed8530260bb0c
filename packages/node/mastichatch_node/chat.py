"""Handles chat completion requests: whole, streamed, resumed and cancelled."""

from collections.abc import AsyncIterator, Callable

from blacksheep import Content, Response, StreamedContent

from mastichatch_core.catalogue import Catalogue
from mastichatch_core.chat import ChatRequest, build_completion, parse_chat
from mastichatch_core.errors import MastichatchError
from mastichatch_core.events import (
    DONE,
    TokenEvent,
    encode_error_event,
    encode_events,
)
from mastichatch_core.generated.manifest import ServiceKind
from mastichatch_core.generated.messages import ErrorKind, PermitRequest
from mastichatch_core.handles import (
    GenerationHandle,
    decode_handle,
    encode_handle,
)
from mastichatch_node.configuration import Configuration
from mastichatch_node.generations import Batch, Generations
from mastichatch_node.requests import JSON, Caller, error_json
from mastichatch_node.routing import DataCentreRouter

_EVENT_STREAM = b'text/event-stream'


class Chat:
    """Handle requests of the chat completion API."""

    def __init__(
        self,
        configuration: Configuration,
        generations: Generations,
        routing: DataCentreRouter,
        node: str,
        secret: bytes,
    ) -> None:
        """Keep the dependencies.

        :param configuration: current configuration
        :param generations: starts and resumes generations
        :param routing: acquires permits
        :param node: name of this host
        :param secret: secret shared by all nodes, which signs handles
        """
        self._configuration = configuration
        self._generations = generations
        self._routing = routing
        self._node = node
        self._secret = secret

    async def complete(self, caller: Caller, body: bytes) -> Response:
        """Handle ``POST /v1/chat/completions``.

        :param caller: values of the request headers
        :param body: body as received
        :raises MastichatchError: if the generation fails before the response
            has begun
        """
        chat = parse_chat(body)
        request = self._permit_request(caller, chat)
        catalogue = self._configuration.current
        if catalogue is None:
            raise MastichatchError(ErrorKind.not_ready)
        batches = self._generations.start(
            request,
            chat.engine_body,
            catalogue,
            self._routing.acquire,
            whole=not chat.stream,
        )
        if chat.stream:
            return await self._respond_streamed(caller, batches)
        return await self._respond_whole(batches)

    async def resume(
        self,
        caller: Caller,
        handle_text: str,
        last_event_id: str,
    ) -> Response:
        """Handle ``GET /v1/chat/completions/HANDLE`` by streaming the rest.

        :param caller: values of the request headers
        :param handle_text: handle from the path
        :param last_event_id: id of the last event received, or empty
        :raises MastichatchError: with ``not_found`` or ``generation_lost``
        """
        handle = self._checked_handle(caller, handle_text)
        catalogue = self._configuration.current
        if catalogue is None:
            raise MastichatchError(ErrorKind.not_ready)
        request = PermitRequest(
            request_id=caller.request_id,
            attempt=0,
            service=handle.service,
            workspace=handle.workspace,
            node=self._node,
            data_centre=_data_centre(catalogue, handle),
        )
        after = _parse_event_index(last_event_id, handle_text)
        batches = self._generations.resume(request, handle, after, catalogue)
        return await self._respond_streamed(caller, batches)

    async def cancel(self, caller: Caller, handle_text: str) -> Response:
        """Handle ``DELETE /v1/chat/completions/HANDLE``.

        :param caller: values of the request headers
        :param handle_text: handle from the path
        :raises MastichatchError: with ``not_found``
        """
        handle = self._checked_handle(caller, handle_text)
        catalogue = self._configuration.current
        if catalogue is not None:
            await self._generations.cancel(handle, catalogue)
        return Response(204)

    def _checked_handle(self, caller: Caller, text: str) -> GenerationHandle:
        handle = decode_handle(text, self._secret)
        if handle.workspace != caller.workspace:
            raise MastichatchError(ErrorKind.not_found)
        return handle

    def _permit_request(
        self,
        caller: Caller,
        chat: ChatRequest,
    ) -> PermitRequest:
        catalogue = self._configuration.current
        if catalogue is None:
            raise MastichatchError(ErrorKind.not_ready)
        service = catalogue.service(chat.model)
        if service.kind is not ServiceKind.model:
            raise MastichatchError(
                ErrorKind.unknown_service,
                f'{chat.model!r} is not a model',
            )
        catalogue.workspace(caller.workspace, service.name)
        return PermitRequest(
            request_id=caller.request_id,
            attempt=0,
            service=service.name,
            workspace=caller.workspace,
            node=self._node,
            request_class=caller.request_class,
            prompt_tokens=chat.prompt_tokens,
            max_tokens=chat.max_tokens,
            prefix_hash=chat.prefix_hash,
            deadline_ms=caller.deadline_ms or service.queue_deadline_ms,
        )

    async def _respond_whole(self, batches: AsyncIterator[Batch]) -> Response:
        """Return the complete response of the generation that finished.

        Events of a generation that was lost and restarted are discarded.
        """
        handle: GenerationHandle | None = None
        events: list[TokenEvent] = []
        async for batch in batches:
            if batch.handle != handle:
                handle = batch.handle
                events = []
            events.extend(batch.events)
        if handle is None:
            raise MastichatchError(ErrorKind.endpoint_failed, 'no event came')
        answer = build_completion(encode_handle(handle, self._secret), events)
        return Response(200, content=Content(JSON, answer))

    async def _respond_streamed(
        self,
        caller: Caller,
        batches: AsyncIterator[Batch],
    ) -> Response:
        """Return a streamed response once the first events have arrived.

        A failure before that gives an ordinary error response.
        """
        first = await anext(batches, None)
        handle_text = (
            ''
            if first is None
            else encode_handle(
                first.handle,
                self._secret,
            )
        )

        provide = _stream_body(first, batches, handle_text, caller)
        response = Response(
            200, content=StreamedContent(_EVENT_STREAM, provide)
        )
        response.add_header(b'Cache-Control', b'no-store')
        response.add_header(b'Request-Id', caller.request_id.encode())
        response.add_header(b'Generation', handle_text.encode())
        return response


def _stream_body(
    first: Batch | None,
    batches: AsyncIterator[Batch],
    handle_text: str,
    caller: Caller,
) -> Callable[[], AsyncIterator[bytes]]:
    """Return a generator function of a stream's bytes.

    The stream ends with the end marker or with an error event.
    """
    handle = handle_text.encode()

    async def provide() -> AsyncIterator[bytes]:
        try:
            if first is not None:
                yield encode_events(first.events, handle)
            async for batch in batches:
                yield encode_events(batch.events, handle)
            yield b'%b\n\n' % DONE
        except MastichatchError as error:
            yield encode_error_event(error_json(error, caller.request_id))

    return provide


def _data_centre(catalogue: Catalogue, handle: GenerationHandle) -> str:
    endpoint = catalogue.endpoints.get(handle.endpoint)
    return '' if endpoint is None else endpoint.data_centre


def _parse_event_index(last_event_id: str, handle_text: str) -> int:
    if not last_event_id:
        return -1
    handle, _, index = last_event_id.rpartition(':')
    if handle != handle_text or not index.isdigit():
        raise MastichatchError(
            ErrorKind.bad_request,
            'Last-Event-ID is not of this generation',
        )
    return int(index)
