"""Shows operators the suspected parts of prompts, and carries out orders."""

from typing import Final
from urllib.parse import parse_qsl

import msgspec

from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.messages import (
    ErrorKind,
    SuspectedListing,
)
from mastichatch_core.relay.prompt_quarantine import list_suspected
from mastichatch_core.relay.store import StoreUnavailableError
from mastichatch_node.clock import loop_time
from mastichatch_node.relay.crash_store import pin_key
from mastichatch_node.relay.crash_tracking import CrashTracker
from mastichatch_node.relay.http_server import (
    IncomingRequest,
    ResponseWriter,
    error_headers,
)
from mastichatch_node.relay.store_following import Store

QUARANTINE_PATH: Final = '/admin/quarantine'

_JSON: Final = ((b'Content-Type', b'application/json'),)


class QuarantineOrders:
    """The operators' interface to the evidence on crashes."""

    def __init__(self, crashes: CrashTracker) -> None:
        """Start without the store.

        :param crashes: the evidence
        """
        self._crashes = crashes
        self._store: Store | None = None

    def attach_store(self, store: Store) -> None:
        """Set the store, which keeps pinned parts.

        :param store: the platform's store
        """
        self._store = store

    async def answer(
        self, request: IncomingRequest, reply: ResponseWriter
    ) -> None:
        """Carry out an order, and send the listing of suspected parts.

        :param request: ``GET``, or ``POST`` with ``action`` (``clear``, ``pin``
            or ``unpin``), ``service`` and ``part`` in its query
        :param reply: writer of the response
        """
        try:
            if request.method == b'POST':
                query = request.target.partition(b'?')[2].decode('latin-1')
                await self._carry_out(dict(parse_qsl(query)))
        except MastichatchError as error:
            body = msgspec.json.encode(error.body(''))
            await reply.send(error.status, error_headers(error, None), body)
            return
        entries = list_suspected(self._crashes.evidence, loop_time())
        listing = msgspec.json.encode(SuspectedListing(entries=entries))
        await reply.send(200, _JSON, listing)

    async def _carry_out(self, order: dict[str, str]) -> None:
        service, part = order.get('service', ''), order.get('part', '')
        action = order.get('action', '')
        if not service or not part or action not in {'clear', 'pin', 'unpin'}:
            raise MastichatchError(
                ErrorKind.bad_request,
                'give action=clear, pin or unpin, and service and part',
            )
        if action == 'clear':
            self._crashes.clear(service, part)
            return
        try:
            await self._write_pin(pin_key(service, part), action)
        except StoreUnavailableError as error:
            raise MastichatchError(
                ErrorKind.platform_unavailable, str(error)
            ) from error

    async def _write_pin(self, key: str, action: str) -> None:
        if self._store is None:
            raise StoreUnavailableError('the store is not attached yet')
        if action == 'pin':
            await self._store.put(key, b'{}', 0)
        else:
            await self._store.remove(key)
