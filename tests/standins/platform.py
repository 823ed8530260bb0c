"""Stand-in for the platform: key-value service and host list."""

import asyncio
import base64
import collections
import dataclasses
import time
from collections.abc import Awaitable, Callable
from typing import Any, Final

from aiohttp import web

from tests.standins.serving import (
    Body,
    control,
    create_application,
    create_parser,
    cut,
    run,
)

SWEEP_INTERVAL_S: Final = 0.01
VALUE_LIMIT_BYTES: Final = 1024 * 1024

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Record:
    """One key: its latest value, or none once it is deleted."""

    value: bytes | None
    revision: int
    lease: str = ''


@dataclasses.dataclass(slots=True, kw_only=True)
class Lease:
    """A lease and the time at which it lapses."""

    ttl_s: float
    lapses_at: float


class Store:
    """Keys, leases and the faults that tests set."""

    def __init__(self) -> None:
        """Start empty and without faults."""
        self.records: dict[str, Record] = {}
        self.stale_records: dict[str, Record] | None = None
        self.leases: dict[str, Lease] = {}
        self.revision = 0
        self.granted = 0
        self.hosts: list[Body] = []
        self.hosts_shown: list[Body] = []
        self.faults: Body = {
            'available': True,
            'mode': 'refuse',
            'delay_ms': 0,
            'lose_answers': 0,
            'hosts_lag_ms': 0,
            'freeze_leases': False,
        }
        self.counts: collections.Counter[str] = collections.Counter()
        self.prefixes: dict[str, collections.Counter[str]] = {}
        self.seconds: collections.Counter[tuple[str, int]] = (
            collections.Counter()
        )
        self.changed = asyncio.Event()
        self.restored = asyncio.Event()

    def put(self, key: str, value: bytes | None, lease: str = '') -> int:
        """Write or delete a key and wake the watchers.

        :returns: the new revision
        """
        self.revision += 1
        self.records[key] = Record(
            value=value, revision=self.revision, lease=lease
        )
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    def get(self, key: str) -> Record | None:
        """Return a key that is present, as writes see it."""
        record = self.records.get(key)
        return None if record is None or record.value is None else record

    def visible(self, prefix: str) -> dict[str, Record]:
        """Return what reads see, deleted keys included."""
        records = self.records
        if self.stale_records is not None:
            records = self.stale_records
        return {
            key: record
            for key, record in records.items()
            if key.startswith(prefix)
        }

    def drop_lease(self, lease: str) -> None:
        """End a lease and delete its keys."""
        self.leases.pop(lease, None)
        for key, record in tuple(self.records.items()):
            if record.lease == lease and record.value is not None:
                self.put(key, None)

    def sweep(self, now: float) -> None:
        """End the leases that lapsed."""
        if self.faults['freeze_leases']:
            return
        for name, lease in tuple(self.leases.items()):
            if lease.lapses_at <= now:
                self.drop_lease(name)

    def count(self, kind: str, key: str) -> None:
        """Count a call, in all, by first part of the key and by second."""
        self.counts[kind] += 1
        prefix = key.split('/')[0]
        self.prefixes.setdefault(prefix, collections.Counter())[kind] += 1
        self.seconds[kind, int(time.monotonic())] += 1

    def peak(self, kind: str) -> int:
        """Return the most calls of a kind in one second."""
        return max(
            (count for key, count in self.seconds.items() if key[0] == kind),
            default=0,
        )

    def change(self, body: Body) -> None:
        """Apply a control call."""
        if 'stale_reads' in body:
            stale = body.pop('stale_reads')
            self.stale_records = dict(self.records) if stale else None
        hosts = body.pop('hosts', None)
        self.faults.update(body)
        if hosts is not None:
            self.hosts = hosts
            asyncio.get_running_loop().call_later(
                self.faults['hosts_lag_ms'] / 1000, self.show_hosts, hosts
            )
        if self.faults['available']:
            self.restored.set()
        else:
            self.restored.clear()

    def show_hosts(self, hosts: list[Body]) -> None:
        """Let the host list follow, after its lag."""
        self.hosts_shown = hosts


def revision_answer(status: int, revision: int) -> web.Response:
    """Return an answer that carries a revision."""
    return web.json_response({'revision': revision}, status=status)


def find_conflict(store: Store, request: web.Request, key: str) -> int | None:
    """Return the present revision where it is not the expected one."""
    expect = request.query.get('expect')
    record = store.get(key)
    current = 0 if record is None else record.revision
    return None if expect in {None, str(current)} else current


def create_key_routes(store: Store) -> list[web.RouteDef]:
    """Return the calls for one key."""

    async def get_key(request: web.Request) -> web.Response:
        key = request.match_info['key']
        record = store.visible(key).get(key)
        if record is None or record.value is None:
            return web.Response(status=404)
        return web.Response(
            body=record.value, headers={'Revision': str(record.revision)}
        )

    async def put_key(request: web.Request) -> web.Response:
        key = request.match_info['key']
        value = await request.read()
        lease = request.query.get('lease', '')
        if len(value) > VALUE_LIMIT_BYTES:
            return web.Response(status=413)
        if lease and lease not in store.leases:
            return web.Response(status=410)
        current = find_conflict(store, request, key)
        if current is not None:
            return revision_answer(409, current)
        return revision_answer(200, store.put(key, value, lease))

    async def delete_key(request: web.Request) -> web.Response:
        key = request.match_info['key']
        if store.get(key) is None:
            return web.Response(status=404)
        current = find_conflict(store, request, key)
        if current is not None:
            return revision_answer(409, current)
        return revision_answer(200, store.put(key, None))

    return [
        web.get('/v1/kv/{key:.+}', get_key),
        web.put('/v1/kv/{key:.+}', put_key),
        web.delete('/v1/kv/{key:.+}', delete_key),
    ]


def create_prefix_routes(store: Store) -> list[web.RouteDef]:
    """Return the calls for all keys under a prefix."""

    async def list_keys(request: web.Request) -> web.Response:
        records = store.visible(request.query['prefix'])
        entries = [
            {
                'key': key,
                'value': base64.b64encode(record.value).decode(),
                'revision': record.revision,
            }
            for key, record in sorted(records.items())
            if record.value is not None
        ]
        return web.json_response(
            {'revision': store.revision, 'entries': entries}
        )

    async def watch(request: web.Request) -> web.Response:
        prefix = request.query['prefix']
        after = int(request.query['after'])
        ends_at = time.monotonic() + int(request.query['wait_ms']) / 1000
        while True:
            changed = store.changed
            keys = [
                {
                    'key': key,
                    'revision': record.revision,
                    'deleted': record.value is None,
                }
                for key, record in store.visible(prefix).items()
                if record.revision > after
            ]
            left = ends_at - time.monotonic()
            if keys or left <= 0:
                break
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                continue
        return web.json_response({'revision': store.revision, 'keys': keys})

    return [web.get('/v1/list', list_keys), web.get('/v1/watch', watch)]


def create_lease_routes(store: Store) -> list[web.RouteDef]:
    """Return the calls for leases."""

    async def grant_lease(request: web.Request) -> web.Response:
        ttl_s = (await request.json())['ttl_ms'] / 1000
        store.granted += 1
        name = f'lease-{store.granted}'
        store.leases[name] = Lease(
            ttl_s=ttl_s, lapses_at=time.monotonic() + ttl_s
        )
        return web.json_response({'lease': name})

    async def renew_lease(request: web.Request) -> web.Response:
        lease = store.leases.get(request.match_info['lease'])
        if lease is None:
            return web.Response(status=404)
        lease.lapses_at = time.monotonic() + lease.ttl_s
        return web.json_response({})

    async def revoke_lease(request: web.Request) -> web.Response:
        store.drop_lease(request.match_info['lease'])
        return web.json_response({})

    return [
        web.post('/v1/leases', grant_lease),
        web.post('/v1/leases/{lease}/renew', renew_lease),
        web.delete('/v1/leases/{lease}', revoke_lease),
    ]


def create_platform() -> web.Application:
    """Return the stand-in; needs a running loop."""
    store = Store()

    async def list_hosts(_request: web.Request) -> web.Response:
        return web.json_response({'hosts': store.hosts_shown})

    async def list_calls(_request: web.Request) -> web.Response:
        kinds = ('reads', 'writes', 'watches')
        return web.json_response(
            {kind: store.counts[kind] for kind in kinds}
            | {f'peak_{kind}_per_s': store.peak(kind) for kind in kinds}
            | {'prefixes': store.prefixes}
        )

    async def sweep_leases() -> None:
        while True:
            store.sweep(time.monotonic())
            await asyncio.sleep(SWEEP_INTERVAL_S)

    async def run_sweep(_application: web.Application) -> Any:
        task = asyncio.create_task(sweep_leases())
        yield
        task.cancel()

    application = create_application(create_faults(store))
    application.add_routes(
        [
            *create_key_routes(store),
            *create_prefix_routes(store),
            *create_lease_routes(store),
            web.get('/v1/hosts', list_hosts),
            web.post('/control', control(store.change)),
            web.get('/control/calls', list_calls),
        ]
    )
    application.cleanup_ctx.append(run_sweep)
    return application


def classify(request: web.Request) -> tuple[str, str]:
    """Return the kind of a call and the key that it is counted under."""
    key = request.match_info.get('key') or request.query.get('prefix')
    if request.path == '/v1/watch':
        return 'watches', key or ''
    kind = 'reads' if request.method == 'GET' else 'writes'
    return kind, key or request.path.split('/')[2]


def create_faults(store: Store) -> Any:
    """Return the middleware that counts calls and brings about the faults.

    A delayed write takes effect after the delay, also when its caller has
    given up by then.
    """

    async def answer(
        request: web.Request, handler: Handler, kind: str
    ) -> web.StreamResponse:
        faults = store.faults
        if faults['delay_ms']:
            await asyncio.sleep(faults['delay_ms'] / 1000)
        if not faults['available']:
            if faults['mode'] == 'refuse':
                return web.Response(status=503)
            await store.restored.wait()
            cut(request)
            return web.Response(status=503)
        response = await handler(request)
        if kind == 'watches' and not faults['available']:
            return web.Response(status=503)
        if kind == 'writes' and faults['lose_answers'] > 0:
            faults['lose_answers'] -= 1
            cut(request)
        return response

    @web.middleware
    async def inject(
        request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        if not request.path.startswith('/v1/'):
            return await handler(request)
        kind, key = classify(request)
        store.count(kind, key)
        if kind == 'writes':
            await request.read()
            return await asyncio.shield(answer(request, handler, kind))
        return await answer(request, handler, kind)

    return inject


def main() -> None:
    """Run the stand-in."""
    arguments = create_parser('Platform stand-in').parse_args()
    run(create_platform, arguments.port)


if __name__ == '__main__':
    main()
