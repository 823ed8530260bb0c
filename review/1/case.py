"""One stream of bytes without end, beside calls of other clients."""

import asyncio
import pathlib
import tempfile

from standins.client import HOST, KEY, read_stream, request
from standins.deployment import TROUBLE, Machine, free_ip, run_case, sys
from standins.endless import EndlessEngine
from standins.http import Closed, read_message
from standins.service import Service
from standins.store import Store

ZONE = 'kathmandu-a'
# The figures of the site's kinds of request ``book-haul`` and ``route-brief``.
CALL_TIMEOUT_MS = 800
CALL_DEADLINE_MS = 1500
CALL_WORK_S = 0.06
STREAM_DEADLINE_MS = 39000
CLIENTS = 10
CALL_INTERVAL_S = 0.5
LENGTH_S = 30.0
TROUBLE_AT_S = 4.0
# Rule CONFIG: eight or more requests, and over a quarter of those that last
# longer than ``timeout_ms``, have no answer half a second after it.
MIN_UNANSWERED = 8
UNANSWERED_SHARE = 0.25
AFTER_TIMEOUT_MS = 500


def configuration() -> dict[str, object]:
    """Return a configuration like the site's."""
    engine = {
        'slots': 32,
        'kv_capacity': 34431,
        'kv_bytes': 18432.0,
        'link_mbps': 2700.0,
        'moves': False,
        'backups': False,
        'stride': 4,
        'models': [{'name': 'm'}],
    }

    def route(name: str, kind: str, service: str, **more) -> dict[str, object]:
        return {
            'name': name,
            'host': HOST,
            'prefix': f'/{name}/',
            'kind': kind,
            'priority': 2,
            'service': service,
            'attempts': 1,
            'public': False,
            **more,
        }

    return {
        'version': 1,
        'routes': [
            route(
                'brief',
                'streaming',
                'brief-llm',
                timeout_ms=STREAM_DEADLINE_MS,
                goal_ms=1800,
                gap_aim_ms=180,
            ),
            route(
                'book',
                'non_idempotent',
                'dispatch-app',
                timeout_ms=CALL_TIMEOUT_MS,
                goal_ms=300,
            ),
        ],
        'services': [
            {'name': 'brief-llm', 'max_conns': 322, 'engine': engine},
            {
                'name': 'dispatch-app',
                'max_conns': 110,
                'health_path': '/health',
            },
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [{'name': 'huka270', 'api_keys': [KEY]}],
    }


async def _call(front: str, request_id: str, record) -> float | None:
    """Send a call, and return the time to its answer in milliseconds."""
    loop = asyncio.get_running_loop()
    host, _, port = front.rpartition(':')
    sent_at = loop.time()
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(request('POST', '/book/2f', request_id, CALL_DEADLINE_MS))
        async with asyncio.timeout_at(sent_at + CALL_DEADLINE_MS / 1000):
            message = await read_message(reader)
        took_ms = (loop.time() - sent_at) * 1000
        record.write(
            f'call {request_id}: {message.start[1]} after {took_ms:.0f} ms'
        )
        return took_ms
    except (Closed, OSError, TimeoutError):
        record.write(f'call {request_id}: no answer in {CALL_DEADLINE_MS} ms')
        return None
    finally:
        writer.close()


async def _calls(
    machine: Machine, number: int, ends_at: float, record
) -> list[float | None]:
    """Send calls one after the other, as one client does."""
    await asyncio.sleep(number * CALL_INTERVAL_S / CLIENTS)
    loop = asyncio.get_running_loop()
    results = []
    while loop.time() < ends_at:
        next_at = loop.time() + CALL_INTERVAL_S
        request_id = f'{number:04x}{len(results):012x}'
        results.append(await _call(machine.front, request_id, record))
        await asyncio.sleep(max(0, next_at - loop.time()))
    return results


async def _check_ready(machine: Machine, ends_at: float, record) -> int:
    """Ask once a second whether the machine is ready; count the misses."""
    loop = asyncio.get_running_loop()
    misses = 0
    while loop.time() < ends_at:
        next_at = loop.time() + 1.0
        if not await machine.is_ready(1.0):
            misses += 1
            record.write('the readiness check got no 200')
        await asyncio.sleep(max(0, next_at - loop.time()))
    return misses


async def _streams(
    machine: Machine, engine: EndlessEngine, ends_at: float, record
) -> None:
    """Send a stream each second, one of which may get bytes without end."""
    loop = asyncio.get_running_loop()
    starts_at = loop.time()
    tasks = []
    is_marked = False
    while loop.time() < ends_at - 3.0:
        request_id = f'5{len(tasks):015x}'
        tasks.append(
            asyncio.ensure_future(
                read_stream(
                    machine.front, '/brief/2f', request_id, '60,200', 39000
                )
            )
        )
        record.write(f'stream {request_id}: sent')
        await asyncio.sleep(1.0)
        is_due = loop.time() - starts_at > TROUBLE_AT_S
        if TROUBLE and is_due and not is_marked:
            # The next answer of this server has no end.
            engine.is_endless = lambda request_id: not engine.endless
            is_marked = True
    for task in tasks:
        stream = await task
        record.write(
            f'stream {stream.request_id}: status {stream.status}, '
            f'{len(stream.ids)} events, complete: {stream.is_complete}'
        )


async def play(record) -> tuple[bool, str]:
    """Play the load, and count the calls without an answer."""
    ip = free_ip(())
    store = Store()
    address = await store.open(ip)
    engines = [
        EndlessEngine(f'i-{name}', 30, 0.03, record.write) for name in 'ab'
    ]
    services = [
        Service(f'i-{name}', CALL_WORK_S, record.write) for name in 'xyz'
    ]
    store.put('op/config', configuration())
    for kind, servers in (('brief-llm', engines), ('dispatch-app', services)):
        for server in servers:
            await server.open(ip)
            store.put(f'servers/{server.instance}', server.entry(kind, ZONE))
    bounds = {'revoke_ms': 5000, 'budget_slack': 58}
    machine = Machine('edge-kathmandu-a-1', ZONE, address, bounds)
    with tempfile.TemporaryDirectory() as folder:
        try:
            await machine.start(pathlib.Path(folder) / 'log')
            loop = asyncio.get_running_loop()
            ends_at = loop.time() + LENGTH_S
            *results, misses, _ = await asyncio.gather(
                *(
                    _calls(machine, number, ends_at, record)
                    for number in range(CLIENTS)
                ),
                _check_ready(machine, ends_at, record),
                _streams(machine, engines[0], ends_at, record),
            )
        finally:
            await machine.stop()
            for server in (*engines, *services):
                server.close()
            store.close()
    times = [one for result in results for one in result]
    lasting = [one for one in times if one is None or one > CALL_TIMEOUT_MS]
    limit_ms = CALL_TIMEOUT_MS + AFTER_TIMEOUT_MS
    unanswered = [one for one in lasting if one is None or one > limit_ms]
    is_broken = (
        len(unanswered) >= MIN_UNANSWERED
        and len(unanswered) > UNANSWERED_SHARE * len(lasting)
    )
    return is_broken, (
        f'{len(lasting)} of {len(times)} calls lasted longer than timeout_ms '
        f'({CALL_TIMEOUT_MS}), {len(unanswered)} of these had no answer '
        f'{AFTER_TIMEOUT_MS} ms later (rule CONFIG); {misses} readiness '
        'checks in a row of one a second got no 200'
    )


if __name__ == '__main__':
    sys.exit(run_case(str(pathlib.Path(__file__).parent), play))
