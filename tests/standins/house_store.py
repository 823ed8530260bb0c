"""Stand-in of the house platform's store, with fault injection."""

import asyncio
import base64
import contextlib
import dataclasses
import json
from collections.abc import AsyncIterator
from typing import Any

from aiohttp import web

from tests.standins.serving import create_application, serve


@dataclasses.dataclass
class Item:
    """Content and metadata of a key."""

    content: bytes
    revision: int
    created: int
    lease: int


@dataclasses.dataclass(frozen=True)
class Copy:
    """State of a store at one time, from which it may come back."""

    items: dict[str, Item]
    revision: int
    events: tuple[dict[str, Any], ...]
    leases: dict[int, float]
    next_lease: int
    first_revision: int


class HouseStore:
    """Store of keys with revisions, leases and watches.

    Attributes inject faults: ``refuse_status`` is the status of every response
    unless it is zero, ``resets`` closes each connection without executing its
    call, ``lose_answers`` executes calls but closes without a response, and
    ``is_silent`` never responds.

    ``is_endless`` adds further pages of 1 MB without end to each answer.
    ``first_revision`` is the first revision that a watch can start at, and
    ``page_size`` the number of entries in a page.

    ``era`` is the number of the era, counted from one, and zero if it is not
    named in the answers. The header counts from zero. ``era_values`` replaces
    its values, and ``odd_eras`` does so for the next answers, one after the
    other.
    """

    def __init__(self) -> None:
        """Start empty, at a revision above zero."""
        self.items: dict[str, Item] = {}
        self.revision = 100
        self.events: list[dict[str, Any]] = []
        self.leases: dict[int, float] = {}
        self.refuse_status = 0
        self.resets = False
        self.lose_answers = False
        self.is_silent = False
        self.first_revision = 0
        self.page_size = 500
        self.is_endless = False
        self.calls: list[str] = []
        self.era = 1
        self.era_values: tuple[str, ...] | None = None
        self.odd_eras: list[str] = []
        self.gone_answers = 0
        self._transports: set[asyncio.Transport] = set()
        self._changed = asyncio.Condition()
        self._next_lease = 7000

    async def put(self, key: str, content: bytes | Any, lease: int = 0) -> int:
        """Write a key, and return its revision."""
        if not isinstance(content, bytes):
            content = json.dumps(content).encode()
        self.revision += 1
        existing = self.items.get(key)
        created = existing.created if existing else self.revision
        self.items[key] = Item(content, self.revision, created, lease)
        await self._publish(self._row(key))
        return self.revision

    async def remove(self, key: str) -> None:
        """Delete a key."""
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        row = {'key': key, 'revision': self.revision, 'deleted': True}
        await self._publish(row)

    async def end_lease(self, lease: int) -> None:
        """End a lease and delete its keys."""
        self.leases.pop(lease, None)
        for key, item in tuple(self.items.items()):
            if item.lease == lease:
                await self.remove(key)

    def copy(self) -> Copy:
        """Return a copy of the present state."""
        return Copy(
            items=dict(self.items),
            revision=self.revision,
            events=tuple(self.events),
            leases=dict(self.leases),
            next_lease=self._next_lease,
            first_revision=self.first_revision,
        )

    def go_away(self) -> None:
        """Close all connections, and execute no call until it is restored."""
        self.resets = True
        for transport in tuple(self._transports):
            transport.abort()

    def restore(self, copy: Copy) -> None:
        """Come back from a copy, in the next era.

        Revisions and ids of leases are given out again.
        """
        self.items = dict(copy.items)
        self.revision = copy.revision
        self.events = list(copy.events)
        self.leases = dict(copy.leases)
        self._next_lease = copy.next_lease
        self.first_revision = copy.first_revision
        self.era += 1
        self.resets = False

    @property
    def _fault_middleware(self) -> Any:
        async def inject_faults(request: web.Request, handler: Any) -> Any:
            return await self._inject_faults(request, handler)

        return web.middleware(inject_faults)

    def application(self) -> web.Application:
        """Return the store's HTTP interface."""
        return create_application(
            web.get('/mastichatch/kv-range', self._get_range),
            web.get('/mastichatch/kv-watch', self._watch),
            web.post('/mastichatch/kv-txn', self._commit_transaction),
            web.post('/mastichatch/kv-lease', self._grant_lease),
            web.post('/mastichatch/kv-keep/{lease}', self._renew_lease),
            web.delete('/mastichatch/kv-lease-end/{lease}', self._end_lease),
            middlewares=[self._fault_middleware],
        )

    async def _inject_faults(self, request: web.Request, handler: Any) -> Any:
        self.calls.append(f'{request.method} {request.path}')
        transport = request.transport
        if isinstance(transport, asyncio.Transport):
            self._transports.add(transport)
        try:
            response = await self._answer(request, handler)
        finally:
            self._transports.discard(transport)
        default = (str(self.era - 1),) if self.era else ()
        if self.odd_eras:
            default = (self.odd_eras.pop(0),)
        for era in default if self.era_values is None else self.era_values:
            response.headers.add('Store-Era', era)
        return response

    async def _answer(self, request: web.Request, handler: Any) -> Any:
        if self.is_silent:
            await asyncio.Event().wait()
        if self.resets and request.transport is not None:
            request.transport.abort()
            return web.Response()
        if self.refuse_status:
            return web.Response(status=self.refuse_status)
        response = await handler(request)
        if self.lose_answers and request.transport is not None:
            request.transport.abort()
        return response

    def _endless_page(self, prefix: str, after: str) -> dict[str, Any]:
        """Return a page of entries that is never the last."""
        number = int(after.rpartition('/')[2] or 0) + 1 if after else 1
        content = base64.b64encode(b'x' * 1_000_000).decode()
        row = {
            'key': f'{prefix}/{number:09d}',
            'value': content,
            'revision': self.revision,
            'created': self.revision,
            'lease_id': 0,
        }
        return {'entries': [row], 'has_more': True, 'at': self.revision}

    async def _get_range(self, request: web.Request) -> web.Response:
        prefix = request.query['prefix']
        after = request.query.get('after', '')
        if self.is_endless:
            return web.json_response(self._endless_page(prefix, after))
        keys = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        rows = [self._row(key) for key in keys[: self.page_size]]
        return web.json_response(
            {
                'entries': rows,
                'has_more': len(keys) > self.page_size,
                'at': self.revision,
            }
        )

    async def _watch(self, request: web.Request) -> web.Response:
        after = int(request.query['after'])
        prefix = request.query['prefix']
        wait_s = int(request.query['wait_ms']) / 1000

        def find_changes() -> list[dict[str, Any]]:
            return [
                event
                for event in self.events
                if event['revision'] > after and event['key'].startswith(prefix)
            ]

        if after < self.first_revision or after > self.revision:
            self.gone_answers += 1
            return web.json_response({}, status=410)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(find_changes)
        return web.json_response(
            {'events': find_changes(), 'at': self.revision}
        )

    async def _commit_transaction(self, request: web.Request) -> web.Response:
        body = await request.json()
        keys = [row['key'] for row in body['expected_rev']]
        for row in body['expected_rev']:
            existing = self.items.get(row['key'])
            if (existing.revision if existing else 0) != row['revision']:
                rows = [self._row(key) for key in keys if key in self.items]
                return web.json_response({'entries': rows}, status=412)
        for put in body['puts']:
            if put['lease_id'] and put['lease_id'] not in self.leases:
                return web.json_response({}, status=404)
        for put in body['puts']:
            content = base64.b64decode(put['value'])
            await self.put(put['key'], content, put['lease_id'])
        for key in body['remove']:
            await self.remove(key)
        return web.json_response({'revision': self.revision})

    async def _grant_lease(self, request: web.Request) -> web.Response:
        body = await request.json()
        self._next_lease += 1
        self.leases[self._next_lease] = body['ttl_ms']
        return web.json_response(
            {
                'lease_id': self._next_lease,
                'ttl_ms': body['ttl_ms'],
            }
        )

    async def _renew_lease(self, request: web.Request) -> web.Response:
        lease = int(request.match_info['lease'])
        if lease not in self.leases:
            return web.json_response({}, status=404)
        return web.json_response({'ttl_ms': self.leases[lease]})

    async def _end_lease(self, request: web.Request) -> web.Response:
        await self.end_lease(int(request.match_info['lease']))
        return web.json_response({})

    async def _publish(self, event: dict[str, Any]) -> None:
        self.events.append(event)
        async with self._changed:
            self._changed.notify_all()

    def _row(self, key: str) -> dict[str, Any]:
        item = self.items[key]
        return {
            'key': key,
            'value': base64.b64encode(item.content).decode(),
            'revision': item.revision,
            'created': item.created,
            'lease_id': item.lease,
        }


@contextlib.asynccontextmanager
async def open_store(store: HouseStore) -> AsyncIterator[str]:
    """Serve a store on loopback, and yield its address."""
    async with serve(store.application(), 0) as address:
        yield address
