"""Stand-in for the platform: key-value service and host list."""

import asyncio
import base64
import collections
import contextlib
import dataclasses
import time
from typing import Any, Final

from aiohttp import web

from tests.standins import serving

SWEEP_INTERVAL_S: Final = 0.01
VALUE_LIMIT_BYTES: Final = 1024 * 1024
KINDS: Final = ('reads', 'writes', 'watches')


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
    lapses_at: float = 0

    def renew(self) -> None:
        """Start its time again."""
        self.lapses_at = time.monotonic() + self.ttl_s


@dataclasses.dataclass(slots=True, kw_only=True)
class Faults:
    """What control calls set.

    :param available: whether calls are answered
    :param mode: `refuse` answers 503 while away, `hang` never answers
    :param delay_ms: time before a call takes effect
    :param answer_delay_ms: time between a write's effect and its answer
    :param lose_answers: number of writes to come that get no answer
    :param hosts: the host list
    :param hosts_lag_ms: time until reads show a new host list
    :param freeze_leases: whether leases no longer lapse
    :param stale_reads: whether reads show the store as it was when this was set
    """

    available: bool = True
    mode: str = 'refuse'
    delay_ms: float = 0
    answer_delay_ms: float = 0
    lose_answers: int = 0
    hosts: list[serving.Body] = dataclasses.field(default_factory=list)
    hosts_lag_ms: float = 0
    freeze_leases: bool = False
    stale_reads: bool = False


class Store:
    """Keys, leases and the faults that tests set."""

    def __init__(self) -> None:
        """Start empty and without faults."""
        self.faults = Faults()
        self.records: dict[str, Record] = {}
        self.stale_records: dict[str, Record] = {}
        self.leases: dict[str, Lease] = {}
        self.revision = 0
        self.granted = 0
        self.hosts_shown: list[serving.Body] = []
        self.counts: collections.Counter[str] = collections.Counter()
        self.prefixes: collections.defaultdict[
            str, collections.Counter[str]
        ] = collections.defaultdict(collections.Counter)
        self.seconds: collections.Counter[tuple[str, int]] = (
            collections.Counter()
        )
        self.changed = asyncio.Event()
        self.restored = asyncio.Event()

    def put(self, key: str, value: bytes | None, lease: str = '') -> int:
        """Write or delete a key, wake the watches, return the new revision."""
        self.revision += 1
        self.records[key] = Record(
            value=value, revision=self.revision, lease=lease
        )
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    def revision_of(self, key: str) -> int:
        """Return the revision of a key, zero where it is absent."""
        record = self.records.get(key)
        return 0 if record is None or record.value is None else record.revision

    def visible(self, prefix: str) -> list[tuple[str, Record]]:
        """Return what reads see, deleted keys included."""
        stale = self.faults.stale_reads
        records = self.stale_records if stale else self.records
        return [pair for pair in records.items() if pair[0].startswith(prefix)]

    def drop_lease(self, lease: str) -> None:
        """End a lease and delete its keys."""
        self.leases.pop(lease, None)
        for key, record in tuple(self.records.items()):
            if record.lease == lease and record.value is not None:
                self.put(key, None)

    async def sweep(self) -> None:
        """End the leases that lapsed, for ever."""
        while True:
            now = time.monotonic()
            for name, lease in tuple(self.leases.items()):
                if lease.lapses_at <= now and not self.faults.freeze_leases:
                    self.drop_lease(name)
            await asyncio.sleep(SWEEP_INTERVAL_S)

    def count(self, kind: str, key: str) -> None:
        """Count a call, in all, by first part of the key and by second."""
        self.counts[kind] += 1
        self.prefixes[key.split('/')[0]][kind] += 1
        self.seconds[kind, int(time.monotonic())] += 1

    def calls(self) -> serving.Body:
        """Return the counts of calls and the most of a kind in one second."""
        shown: serving.Body = {'prefixes': self.prefixes}
        for kind in KINDS:
            shown[kind] = self.counts[kind]
            shown[f'peak_{kind}_per_s'] = max(
                (
                    count
                    for key, count in self.seconds.items()
                    if key[0] == kind
                ),
                default=0,
            )
        return shown

    def change(self, body: serving.Body) -> None:
        """Apply a control call."""
        self.faults = dataclasses.replace(self.faults, **body)
        if body.get('stale_reads'):
            self.stale_records = dict(self.records)
        if 'hosts' in body:
            asyncio.get_running_loop().call_later(
                self.faults.hosts_lag_ms / 1000, self.show_hosts, body['hosts']
            )
        if self.faults.available:
            self.restored.set()
        else:
            self.restored.clear()

    def show_hosts(self, hosts: list[serving.Body]) -> None:
        """Let the host list follow, after its lag."""
        self.hosts_shown = hosts


def create_key_routes(store: Store) -> list[web.RouteDef]:
    """Return the calls for one key."""

    async def get_key(request: web.Request) -> web.Response:
        key = request.match_info['key']
        record = dict(store.visible(key)).get(key)
        if record is None or record.value is None:
            return web.Response(status=404)
        return web.Response(
            body=record.value, headers={'Revision': str(record.revision)}
        )

    def change_key(
        request: web.Request, value: bytes | None, lease: str = ''
    ) -> web.Response:
        key = request.match_info['key']
        current = store.revision_of(key)
        if request.query.get('expect') not in {None, str(current)}:
            return web.json_response({'revision': current}, status=409)
        return web.json_response({'revision': store.put(key, value, lease)})

    async def put_key(request: web.Request) -> web.Response:
        value = await request.read()
        lease = request.query.get('lease', '')
        if len(value) > VALUE_LIMIT_BYTES:
            return web.Response(status=413)
        if lease and lease not in store.leases:
            return web.Response(status=410)
        return change_key(request, value, lease)

    async def delete_key(request: web.Request) -> web.Response:
        if not store.revision_of(request.match_info['key']):
            return web.Response(status=404)
        return change_key(request, None)

    return [
        web.get('/v1/kv/{key:.+}', get_key),
        web.put('/v1/kv/{key:.+}', put_key),
        web.delete('/v1/kv/{key:.+}', delete_key),
    ]


def create_prefix_routes(store: Store) -> list[web.RouteDef]:
    """Return the calls for all keys under a prefix."""

    async def list_keys(request: web.Request) -> web.Response:
        entries = [
            {
                'key': key,
                'value': base64.b64encode(record.value).decode(),
                'revision': record.revision,
            }
            for key, record in sorted(store.visible(request.query['prefix']))
            if record.value is not None
        ]
        return web.json_response(
            {'revision': store.revision, 'entries': entries}
        )

    async def watch(request: web.Request) -> web.Response:
        query = request.query
        keys: list[serving.Body] = []
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(query['wait_ms']) / 1000):
                while not keys:
                    changed = store.changed
                    keys = changes(query['prefix'], int(query['after']))
                    if not keys:
                        await changed.wait()
        return web.json_response({'revision': store.revision, 'keys': keys})

    def changes(prefix: str, after: int) -> list[serving.Body]:
        return [
            {
                'key': key,
                'revision': record.revision,
                'deleted': record.value is None,
            }
            for key, record in store.visible(prefix)
            if record.revision > after
        ]

    return [web.get('/v1/list', list_keys), web.get('/v1/watch', watch)]


def create_lease_routes(store: Store) -> list[web.RouteDef]:
    """Return the calls for leases."""

    async def grant_lease(request: web.Request) -> web.Response:
        lease = Lease(ttl_s=(await request.json())['ttl_ms'] / 1000)
        lease.renew()
        store.granted += 1
        name = f'lease-{store.granted}'
        store.leases[name] = lease
        return web.json_response({'lease': name})

    async def renew_lease(request: web.Request) -> web.Response:
        lease = store.leases.get(request.match_info['lease'])
        if lease is None:
            return web.Response(status=404)
        lease.renew()
        return web.json_response({})

    async def revoke_lease(request: web.Request) -> web.Response:
        store.drop_lease(request.match_info['lease'])
        return web.json_response({})

    return [
        web.post('/v1/leases', grant_lease),
        web.post('/v1/leases/{lease}/renew', renew_lease),
        web.delete('/v1/leases/{lease}', revoke_lease),
    ]


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
        request: web.Request, handler: serving.Handler, kind: str
    ) -> web.StreamResponse:
        await asyncio.sleep(store.faults.delay_ms / 1000)
        if not store.faults.available:
            if store.faults.mode == 'hang':
                await store.restored.wait()
                serving.cut(request)
            return web.Response(status=503)
        response = await handler(request)
        if kind == 'watches' and not store.faults.available:
            return web.Response(status=503)
        if kind == 'writes':
            await asyncio.sleep(store.faults.answer_delay_ms / 1000)
        if kind == 'writes' and store.faults.lose_answers > 0:
            store.faults.lose_answers -= 1
            serving.cut(request)
        return response

    @web.middleware
    async def inject(
        request: web.Request, handler: serving.Handler
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


def create_platform() -> web.Application:
    """Return the stand-in; needs a running loop."""
    store = Store()

    async def sweep(_application: web.Application) -> Any:
        task = asyncio.create_task(store.sweep())
        yield
        task.cancel()

    application = serving.create_application(
        *create_key_routes(store),
        *create_prefix_routes(store),
        *create_lease_routes(store),
        serving.show('/v1/hosts', lambda: {'hosts': store.hosts_shown}),
        serving.control(store.change),
        serving.show('/control/calls', store.calls),
        middlewares=(create_faults(store),),
    )
    application.cleanup_ctx.append(sweep)
    return application


def main() -> None:
    """Run the stand-in."""
    arguments = serving.create_parser('Platform stand-in').parse_args()
    serving.run(create_platform, arguments.port)


if __name__ == '__main__':
    main()
