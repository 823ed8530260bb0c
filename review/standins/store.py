"""Stand-in of the platform's metadata store, by PROTOCOL.md."""

import asyncio
import base64
import json
from urllib.parse import parse_qs, urlsplit

from standins.http import Closed, read_message, response


class Store:
    """A linearizable store of keys with revisions, leases and watches."""

    def __init__(self) -> None:
        self.items: dict[str, tuple[bytes, int, int, int]] = {}
        self.events: list[dict[str, object]] = []
        self.revision = 100
        self.leases: dict[int, tuple[float, float]] = {}
        self.next_lease = 7000
        self.changed = asyncio.Event()
        self.server: asyncio.Server | None = None

    async def open(self, ip: str) -> str:
        """Listen on a free port, and return the address."""
        self.server = await asyncio.start_server(self._accept, ip, 0)
        self._expiry = asyncio.ensure_future(self._expire())
        return f'{ip}:{self.server.sockets[0].getsockname()[1]}'

    def close(self) -> None:
        """Stop listening."""
        self._expiry.cancel()
        if self.server is not None:
            self.server.close()

    def put(self, key: str, content: object, lease: int = 0) -> None:
        """Write a key."""
        if not isinstance(content, bytes):
            content = json.dumps(content).encode()
        self.revision += 1
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (content, self.revision, created, lease)
        self._publish(self._row(key))

    def remove(self, key: str) -> None:
        """Delete a key."""
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self._publish({'key': key, 'revision': self.revision, 'deleted': True})

    def _publish(self, event: dict[str, object]) -> None:
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def _row(self, key: str) -> dict[str, object]:
        content, revision, created, lease = self.items[key]
        return {
            'key': key,
            'value': base64.b64encode(content).decode(),
            'revision': revision,
            'created': created,
            'lease_id': lease,
        }

    def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key in [k for k, one in self.items.items() if one[3] == lease]:
            self.remove(key)

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            now = asyncio.get_running_loop().time()
            for lease, (ends_at, _) in tuple(self.leases.items()):
                if now >= ends_at:
                    self._end_lease(lease)

    async def _accept(self, reader, writer) -> None:
        try:
            while True:
                request = await read_message(reader)
                status, document = await self._answer(request)
                body = json.dumps(document).encode()
                kind = 'Content-Type: application/json\r\n'
                writer.write(response(status, body, kind))
                await writer.drain()
        except (Closed, OSError):
            pass
        finally:
            writer.close()

    async def _answer(self, request) -> tuple[int, dict[str, object]]:
        method, target = request.start[0], urlsplit(request.start[1])
        query = {k: v[0] for k, v in parse_qs(target.query).items()}
        path = target.path.removeprefix('/mastichatch/')
        body = json.loads(request.body or b'{}')
        now = asyncio.get_running_loop().time()
        if path == 'kv-range':
            keys = sorted(
                key
                for key in self.items
                if key.startswith(query.get('prefix', ''))
                and key > query.get('after', '')
            )
            rows = [self._row(key) for key in keys[:500]]
            return 200, {
                'entries': rows,
                'has_more': len(keys) > 500,
                'at': self.revision,
            }
        if path == 'kv-watch':
            return 200, await self._watch(query)
        if path == 'kv-txn':
            return self._commit(body)
        if path == 'kv-lease':
            self.next_lease += 1
            ttl_s = body['ttl_ms'] / 1000
            self.leases[self.next_lease] = (now + ttl_s, ttl_s)
            return 200, {'lease_id': self.next_lease, 'ttl_ms': body['ttl_ms']}
        name, _, number = path.partition('/')
        if name == 'kv-keep' and int(number) in self.leases:
            ttl_s = self.leases[int(number)][1]
            self.leases[int(number)] = (now + ttl_s, ttl_s)
            return 200, {'ttl_ms': ttl_s * 1000}
        if name == 'kv-lease-end' and method == 'DELETE':
            self._end_lease(int(number))
            return 200, {}
        return 404, {}

    async def _watch(self, query: dict[str, str]) -> dict[str, object]:
        after, prefix = int(query['after']), query.get('prefix', '')
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + int(query['wait_ms']) / 1000
        while True:
            events = [
                one
                for one in self.events
                if one['revision'] > after and one['key'].startswith(prefix)
            ]
            left_s = ends_at - loop.time()
            if events or left_s <= 0:
                return {'events': events, 'at': self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left_s)
            except TimeoutError:
                continue

    def _commit(self, body) -> tuple[int, dict[str, object]]:
        for row in body['expected_rev']:
            known = self.items.get(row['key'])
            if (known[1] if known else 0) != row['revision']:
                return 412, {'entries': []}
        for put in body['puts']:
            if put['lease_id'] and put['lease_id'] not in self.leases:
                return 404, {}
        for put in body['puts']:
            value = base64.b64decode(put['value'])
            self.put(put['key'], value, put['lease_id'])
        for key in body['remove']:
            self.remove(key)
        return 200, {'revision': self.revision}
