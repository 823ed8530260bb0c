"""Stand-ins of the platform's store, model servers and clients.

Only the standard library is used. Everything listens on loopback.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time
from urllib.parse import parse_qs, urlsplit

ROOT = pathlib.Path(__file__).resolve().parents[2]
KEY = 'xd9dnn2ctnfzs989anu6'
HOST = 'ficu95.example'
STARTED = time.monotonic()


def clock():
    """Return the seconds since the start of the script."""
    return time.monotonic() - STARTED


class Record:
    """Lines of record.txt, each with its time."""

    def __init__(self, folder):
        self._file = (pathlib.Path(folder) / 'record.txt').open('w')

    def __call__(self, text):
        self._file.write(f'{clock():8.3f}  {text}\n')
        self._file.flush()


# HTTP/1.1


async def read_head(reader):
    """Return the first line and the headers of a message, or ``None``."""
    try:
        block = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, OSError):
        return None
    first, *lines = block.decode('latin-1').split('\r\n')[:-2]
    headers = {}
    for line in lines:
        name, _, content = line.partition(':')
        headers.setdefault(name.strip().lower(), content.strip())
    return first, headers


async def read_body(reader, headers, *, until_end=False):
    """Return the parts of a body as they come."""
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        while True:
            size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
            chunk = await reader.readexactly(size + 2)
            if not size:
                return
            yield chunk[:-2]
    elif 'content-length' in headers:
        left = int(headers['content-length'])
        while left:
            part = await reader.read(min(left, 65536))
            if not part:
                raise asyncio.IncompleteReadError(b'', left)
            left -= len(part)
            yield part
    elif until_end:
        while part := await reader.read(65536):
            yield part


def message(status, body=b'', headers=()):
    """Return an answer with a length."""
    lines = [f'HTTP/1.1 {status} X', *headers, f'Content-Length: {len(body)}']
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body


class Request:
    """A request that a stand-in has received."""

    def __init__(self, first, headers, body):
        self.method, self.target, _ = first.split(' ')
        self.headers = headers
        self.body = body

    @property
    def id(self):
        return self.headers.get('mastichatch-attempt-id', '')


class Server:
    """Serves connections on loopback; subclasses answer the requests."""

    def __init__(self):
        self.port = 0
        self._server = None
        self._writers = set()

    @property
    def address(self):
        return f'127.0.0.1:{self.port}'

    async def open(self, port=0):
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', port, backlog=1024
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def crash(self):
        """End like a killed process: all connections close, none opens."""
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while not writer.is_closing():
                head = await read_head(reader)
                if head is None:
                    break
                first, headers = head
                parts = [part async for part in read_body(reader, headers)]
                request = Request(first, headers, b''.join(parts))
                await self.answer(request, reader, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            # The script ends.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def answer(self, request, reader, writer):
        raise NotImplementedError


# The platform's store


class Store(Server):
    """Keys with revisions, leases that expire, and watches."""

    def __init__(self):
        super().__init__()
        self.era = 1
        self.items = {}
        self.events = []
        self.revision = 100
        self.leases = {}
        self.is_silent = False
        # Returns whether a write is done late, and never answered.
        self.is_late = lambda body: False
        self.late_s = 5.0
        self._late = set()
        self._last_lease = 7000
        self._changed = asyncio.Condition()

    async def put(self, key, content, lease=0):
        """Write a key as its writer would; returns the time of the answer."""
        if not isinstance(content, bytes):
            content = json.dumps(content).encode()
        self.revision += 1
        created = self.items.get(key, {}).get('created', self.revision)
        self.items[key] = {
            'key': key,
            'value': base64.b64encode(content).decode(),
            'revision': self.revision,
            'created': created,
            'lease_id': lease,
        }
        await self._publish(self.items[key])
        return clock()

    async def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            await self._publish(
                {'key': key, 'revision': self.revision, 'deleted': True}
            )

    async def _publish(self, event):
        self.events.append(event)
        async with self._changed:
            self._changed.notify_all()

    async def return_from_silence(self):
        """Answer again; leases have run out meanwhile."""
        await self._expire()
        self.is_silent = False

    def copy(self):
        """Return a copy of the present state."""
        return {
            'items': dict(self.items),
            'events': list(self.events),
            'revision': self.revision,
            'leases': dict(self.leases),
            '_last_lease': self._last_lease,
        }

    async def restore(self, copy):
        """Come back from a copy after a crash, in the next era.

        Leases that the copy has begin anew.
        """
        vars(self).update(copy)
        now = time.monotonic()
        self.leases = {
            number: (ttl_s, now + ttl_s)
            for number, (ttl_s, _) in self.leases.items()
        }
        self.era += 1
        await self.open(self.port)

    async def _expire(self):
        now = time.monotonic()
        for number, (_, ends_at) in tuple(self.leases.items()):
            if now >= ends_at:
                await self._end_lease(number)

    async def _end_lease(self, number):
        self.leases.pop(number, None)
        for key, item in tuple(self.items.items()):
            if item['lease_id'] == number:
                await self.remove(key)

    async def answer(self, request, reader, writer):
        await self._expire()
        url = urlsplit(request.target)
        found = parse_qs(url.query, keep_blank_values=True)
        query = {name: one[0] for name, one in found.items()}
        name, _, rest = url.path.removeprefix('/mastichatch/').partition('/')
        body = json.loads(request.body or b'{}')
        if self.is_silent:
            # The connection stays open, and nothing is done.
            await reader.read()
            return
        if name == 'kv-txn' and self.is_late(body):
            task = asyncio.ensure_future(self._commit_late(body))
            self._late.add(task)
            task.add_done_callback(self._late.discard)
            await reader.read()
            return
        status, document = await self._call(name, rest, query, body)
        if self.is_silent:
            await reader.read()
            return
        content = json.dumps(document).encode()
        era = f'Store-Era: {self.era}'
        headers = ('Content-Type: application/json', era)
        writer.write(message(status, content, headers))

    async def _call(self, name, rest, query, body):
        if name == 'kv-key':
            item = self.items.get(query['key'])
            return (200, {**item, 'at': self.revision}) if item else (404, {})
        if name == 'kv-range':
            return self._range(query)
        if name == 'kv-watch':
            return await self._watch(query)
        if name == 'kv-txn':
            return await self._commit(body)
        if name == 'kv-lease':
            self._last_lease += 1
            number = self._last_lease
            ttl_s = body['ttl_ms'] / 1000
            self.leases[number] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {'lease_id': number, 'ttl_ms': body['ttl_ms']}
        number = int(rest)
        if number not in self.leases:
            return 404, {}
        if name == 'kv-keep':
            ttl_s, _ = self.leases[number]
            self.leases[number] = (ttl_s, time.monotonic() + ttl_s)
        else:
            await self._end_lease(number)
        return 200, {}

    def _range(self, query):
        keys = sorted(
            key
            for key in self.items
            if key.startswith(query['prefix']) and key > query.get('after', '')
        )
        return 200, {
            'entries': [self.items[key] for key in keys],
            'has_more': False,
            'at': self.revision,
        }

    async def _watch(self, query):
        after, prefix = int(query['after']), query['prefix']

        def find():
            return [
                one
                for one in self.events
                if one['revision'] > after and one['key'].startswith(prefix)
            ]

        if after > self.revision:
            return 410, {}
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(query['wait_ms']) / 1000):
                async with self._changed:
                    await self._changed.wait_for(find)
        return 200, {'events': find(), 'at': self.revision}

    async def _commit_late(self, body):
        await asyncio.sleep(self.late_s)
        await self._expire()
        await self._commit(body)

    async def _commit(self, body):
        expected = body['expected_rev']
        for row in expected:
            known = self.items.get(row['key'], {}).get('revision', 0)
            if known != row['revision']:
                rows = [
                    self.items[one['key']]
                    for one in expected
                    if one['key'] in self.items
                ]
                return 412, {'entries': rows}
        for one in body['puts']:
            if one['lease_id'] and one['lease_id'] not in self.leases:
                return 404, {}
        for one in body['puts']:
            content = base64.b64decode(one['value'])
            await self.put(one['key'], content, one['lease_id'])
        for key in body['remove']:
            await self.remove(key)
        return 200, {'revision': self.revision}


# Model servers


class Run:
    """A request at a model server."""

    def __init__(self, request):
        self.request = request
        self.begun = False
        self.made = 0


class Engine(Server):
    """A model server with slots, a queue, moves and backups.

    It drops a request whose connection closes. A run begins with its first
    event, after ``prefill_s``, and continues after ``Last-Event-Id``.
    """

    def __init__(self, name, record, **options):
        super().__init__()
        self.name = name
        self.record = record
        self.slots = options.get('slots', 24)
        self.prefill_s = options.get('prefill_s', 0.4)
        self.gap_s = options.get('gap_s', 0.03)
        self.events = options.get('events', 100)
        self.peers = options.get('peers', {})
        self.born = int(time.time() * 1000)
        self.runs = {}
        self.seen = set()
        self.copies = set()
        self.queue = asyncio.Semaphore(self.slots)
        self._handles = itertools.count(1)

    def entry(self, service, zone, state='ready'):
        return {
            'service': service,
            'address': self.address,
            'zone': zone,
            'version': '1',
            'slots': self.slots,
            'state': state,
            'cold_left_ms': 0,
            'sequence': 1,
            'born': self.born,
        }

    async def answer(self, request, reader, writer):
        path = request.target.partition('?')[0]
        if path == '/mastichatch/report':
            writer.write(message(200, self._report()))
        elif path == '/mastichatch/kv-move':
            await self._move(json.loads(request.body), writer)
        elif path.startswith('/mastichatch/kv-handle/'):
            self.copies.discard(path.rpartition('/')[2])
            writer.write(message(200, b'{}'))
        else:
            await self._generate(request, reader, writer)

    def _report(self):
        return json.dumps(
            {
                'stage': 'colocated',
                'models': [{'name': 'm', 'version': 1, 'adapters': []}],
                'busy': False,
                'sequence': 0,
                'queued': 0,
                'in_flight': len(self.runs),
                'kv_used': 0,
                'kv_total': 0,
                'handle_count': len(self.copies),
                'state': 'ready',
            }
        ).encode()

    def _refusal(self, status, request):
        return message(
            status,
            b'',
            (
                f'Mastichatch-Attempt-Id: {request.id}',
                f'Mastichatch-Server-Seal: {self.name}.{request.id}',
                'Mastichatch-Not-Executed: 1',
            ),
        )

    async def _generate(self, request, reader, writer):
        headers = request.headers
        shown = ' '.join(
            f'{name}={headers[name]}'
            for name in ('last-event-id', 'kv-from', 'mastichatch-kv-backup')
            if name in headers
        )
        self.seen.add(request.id)
        self.record(f'{self.name} gets {request.id} {shown}'.rstrip())
        if not request.id:
            writer.write(self._refusal(400, request))
            return
        if headers.get('mastichatch-expect-instance', self.name) != self.name:
            writer.write(self._refusal(421, request))
            return
        handle = headers.get('kv-from', '').rpartition('/')[2]
        if handle and handle not in self.copies:
            self.record(f'{self.name} has no copy for {request.id}: 503')
            writer.write(self._refusal(503, request))
            return
        self.copies.discard(handle)
        run = Run(request)
        work = asyncio.ensure_future(self._work(run, bool(handle), writer))
        # Nothing follows on the connection before the end of the answer.
        closed = asyncio.ensure_future(reader.read(1))
        await asyncio.wait((work, closed), return_when='FIRST_COMPLETED')
        if not work.done():
            self.record(f'{self.name} drops {request.id} after {run.made}')
            work.cancel()
        closed.cancel()
        await asyncio.gather(work, closed, return_exceptions=True)

    async def _work(self, run, is_resumed, writer):
        request = run.request
        async with self.queue:
            self.runs[request.id] = run
            try:
                await self._stream(run, is_resumed, writer)
            finally:
                self.runs.pop(request.id, None)

    async def _stream(self, run, is_resumed, writer):
        request = run.request
        backup = self.peers.get(
            request.headers.get('mastichatch-kv-backup', '')
        )
        if backup is not None:
            backup.copies.add(request.id)
        await asyncio.sleep(0.05 if is_resumed else self.prefill_s)
        writer.write(
            (
                'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
                f'Mastichatch-Attempt-Id: {request.id}\r\n'
                f'Mastichatch-Server-Seal: {self.name}.{request.id}\r\n'
                'Mastichatch-Weight-Versions: 1\r\n'
                'Transfer-Encoding: chunked\r\n\r\n'
            ).encode()
        )
        run.begun = True
        first = int(request.headers.get('last-event-id', '0')) + 1
        self.record(f'{self.name} runs {request.id} from event {first}')
        for number in range(first, self.events + 1):
            event = f'id: {number}\ndata: piece {number}\n\n'.encode()
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await writer.drain()
            run.made = number
            await asyncio.sleep(self.gap_s)
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        if backup is not None:
            backup.copies.discard(request.id)
        self.record(f'{self.name} has ended {request.id}')

    async def _move(self, order, writer):
        run = self.runs.get(order['id'])
        target = self.peers.get(order['target'])
        if run is None or not run.begun:
            writer.write(message(404, b'{}'))
            return
        if target is None:
            writer.write(message(503, b'{}'))
            return
        await asyncio.sleep(0.05)
        handle = f'h{next(self._handles)}-{order["id"]}'
        target.copies.add(handle)
        answer = {'kv_handle': handle, 'created': run.made}
        writer.write(message(200, json.dumps(answer).encode()))


class App(Server):
    """A server of plain calls, which may name a limit in its answers."""

    def __init__(self, name, record, **options):
        super().__init__()
        self.name = name
        self.record = record
        self.born = options.get('born', int(time.time() * 1000))
        self.work_s = options.get('work_s', 0.02)
        self.slots = 64
        self.limit = None
        self.arrivals = []

    def entry(self, service, zone, state='ready'):
        return Engine.entry(self, service, zone, state)

    async def answer(self, request, reader, writer):
        said = [f'Mastichatch-Attempt-Id: {request.id}']
        if self.limit is not None:
            said.append(f'Server-Limit: {self.limit}')
        named = request.headers.get('mastichatch-expect-instance', self.name)
        if not request.id or named != self.name:
            said.append('Mastichatch-Not-Executed: 1')
            writer.write(message(421 if request.id else 400, b'', said))
            return
        self.arrivals.append((clock(), request.id, self.limit))
        await asyncio.sleep(self.work_s)
        said.append(f'Mastichatch-Server-Seal: {self.name}.{request.id}')
        writer.write(message(200, request.id.encode(), said))


# The programs under test


_given = set()


def free_port():
    """Return a port that nothing uses, below those of outgoing connections."""
    while True:
        port = random.randrange(12000, 32000)
        if port in _given:
            continue
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(('127.0.0.1', port))
            _given.add(port)
            return port


class Node:
    """A process of the deploy file's role."""

    def __init__(self, name, zone, store, folder):
        self.name = name
        self._zone = zone
        self._store = store
        self._log = pathlib.Path(folder) / f'{name}.log'
        self.process = None

    def _choose_ports(self):
        ports = {
            one: f'127.0.0.1:{free_port()}'
            for one in ('callers', 'ready', 'peers', 'metrics', 'proxy')
        }
        self.callers = ports['callers']
        self.ready = ports['ready']
        # As in deploy/system.toml, with the bounds of the users' sheets.
        settings = {
            'NAME': self.name,
            'DATA_CENTRE': self._zone,
            'STORE_ADDRESS': self._store.address,
            'KEY_LIMIT_MS': '5000',
            'RETRY_BURST': '58',
            'LINK_MBPS': '1000',
            'GRACE_MS': '8000',
            'ROLLOUT_SHARE': '',
            'ROLLOUT_SLACK': '',
            'ROLLBACK_MS': '',
            'ENGINE_SPEEDS': 'ranked',
            'ADMISSION_FORECAST': 'ranked',
            'REMOTE_SHARE': 'ranked',
            'ENGINE_URGENCY': 'ranked',
            'FAIR_SHARES': 'ranked',
            **{f'{one.upper()}_ADDRESS': ports[one] for one in ports},
        }
        self._environment = {
            'PATH': os.environ['PATH'],
            'HOME': os.environ.get('HOME', '/'),
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
            **{
                f'MASTICHATCH_RELAY_{one}': text
                for one, text in settings.items()
            },
        }

    def start(self):
        self._choose_ports()
        with self._log.open('ab') as output:
            self.process = subprocess.Popen(
                ['python3', '-m', 'mastichatch_platform'],
                cwd=ROOT,
                env=self._environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def terminate(self):
        self.process.send_signal(signal.SIGTERM)

    def kill(self):
        if self.process is not None:
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            host, _, port = self.ready.rpartition(':')
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(
                    b'GET /mastichatch/ready HTTP/1.1\r\nHost: x\r\n\r\n'
                )
                head = await read_head(reader)
                return head is not None and ' 200 ' in head[0]
            finally:
                writer.close()
        return False

    async def wait_ready(self, limit_s=30, tries=3):
        """Wait until it serves; another process may have taken a port."""
        async with asyncio.timeout(limit_s):
            while not await self.is_ready():
                if self.process.poll() is not None:
                    tries -= 1
                    if not tries:
                        tail = self._log.read_text(errors='replace')[-400:]
                        raise RuntimeError(f'{self.name} has ended: {tail}')
                    self.start()
                await asyncio.sleep(0.05)


# Clients


def request_bytes(path, request_id, deadline_ms, headers=(), body=b'x' * 300):
    lines = [
        f'POST {path} HTTP/1.1',
        f'Host: {HOST}',
        f'Mastichatch-Attempt-Id: {request_id}',
        f'Mastichatch-Deadline-Ms: {deadline_ms}',
        f'Authorization: Token {KEY}',
        *headers,
        f'Content-Length: {len(body)}',
    ]
    return '\r\n'.join([*lines, '', '']).encode() + body


class Answer:
    """What a client has got for a request."""

    def __init__(self, request_id):
        self.id = request_id
        self.sent_at = 0.0
        self.ended_at = 0.0
        self.status = 0
        self.headers = {}
        self.ids = []
        self.is_whole = False


async def ask(node, record, path, request_id, deadline_ms, **options):
    """Send a request on a new connection, and read its answer.

    With ``stop_after`` events the client's own connection ends.
    """
    got = Answer(request_id)
    host, _, port = node.callers.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    rest = b''
    try:
        writer.write(
            request_bytes(
                path, request_id, deadline_ms, options.get('headers', ())
            )
        )
        await writer.drain()
        got.sent_at = clock()
        record(f'client sends {request_id} to {node.name}')
        async with asyncio.timeout(deadline_ms / 1000 + 2):
            head = await read_head(reader)
            if head is None:
                return got
            got.status, got.headers = int(head[0].split(' ')[1]), head[1]
            async for part in read_body(reader, got.headers):
                rest += part
                *events, rest = rest.split(b'\n\n')
                for event in events:
                    for line in event.split(b'\n'):
                        if line.startswith(b'id: '):
                            got.ids.append(int(line[4:]))
                if len(got.ids) >= options.get('stop_after', 10**9):
                    return got
            got.is_whole = True
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        pass
    finally:
        got.ended_at = clock()
        writer.close()
        span = f'{got.ids[0]}..{got.ids[-1]}' if got.ids else 'none'
        record(
            f'client has {request_id}: status {got.status}, whole '
            f'{got.is_whole}, {len(got.ids)} events ({span}), after '
            f'{got.ended_at - got.sent_at:.3f} s'
        )
    return got


# Running a case


def run_case(folder, play):
    """Play a case, and exit with its verdict.

    :param play: coroutine function of the record, whether there is trouble,
        and a stack of clean-ups; it returns whether the rule was broken
    """
    record = Record(folder)
    has_trouble = os.environ['TROUBLE'] != '0'
    scratch = os.environ['CASE_SCRATCH']

    async def main():
        with contextlib.ExitStack() as stack:
            async with asyncio.timeout(110):
                return await play(record, has_trouble, stack, scratch)

    try:
        is_broken = asyncio.run(main())
    except Exception as error:  # any failure of the case itself
        record(f'the case could not run: {error!r}')
        sys.exit(2)
    record('BROKEN' if is_broken else 'held')
    # Other ends of the interpreter have the status 1.
    sys.exit(10 if is_broken else 0)


def configuration(routes, services, version=7):
    return {
        'version': version,
        'routes': routes,
        'services': services,
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [{'name': 'huka270', 'api_keys': [KEY], 'priority': 1}],
    }


def model_service(name, **changes):
    """Return a service of model servers, with the figures of the sheets."""
    engine = {
        'slots': 24,
        'kv_capacity': 26970,
        'kv_bytes': 163840,
        'link_mbps': 24000.0,
        'moves': True,
        'backups': True,
        'stride': 4,
        'most': 12,
        'pin_ms': 4000.0,
        'hold_ms': 2000.0,
        'handle_s': 5.0,
        'models': [{'name': 'm'}],
        **changes,
    }
    return {
        'name': name,
        'health_path': '/health',
        'max_conns': 572,
        'protocol': 'h1',
        'tls': False,
        'cold_s': 1.0,
        'cold_per_s': 30.0,
        'engine': engine,
    }


def streaming_route(name, prefix, service, **changes):
    return {
        'name': name,
        'host': HOST,
        'prefix': prefix,
        'kind': 'streaming',
        'timeout_ms': 39126,
        'goal_ms': 4013,
        'priority': 0,
        'service': service,
        'attempts': 1,
        'public': False,
        'sticky': True,
        'resumable': False,
        'gap_aim_ms': 180,
        **changes,
    }
