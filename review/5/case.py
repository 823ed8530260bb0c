"""A server that starts again under its id, and later one that is to leave."""

import asyncio
import os
import pathlib
import tempfile

from standins.client import HOST, KEY, Stream, parse_ids, request
from standins.deadly import MortalEngine
from standins.deployment import TROUBLE, Machine, free_ip, run_case, sys
from standins.http import Closed, read_body_parts, read_head, read_message
from standins.service import Service
from standins.store import Store

EVENTS = 180
GAP_S = 0.1
STREAMS = 120
DOWN_S = 1.5
CRASH_AFTER_S = 3.0
LEAVE_AFTER_S = 4.0
# The site's days take one server in six away each 3.3 s.
LEAVE_GAP_S = 3.3
STREAM_DEADLINE_MS = 39000
# Rule LOST: more than three times.
MOST_LOST = 3
# For comparison only: the server starts again under a new id.
NEW_IDS = os.environ.get('NEW_IDS') == '1'
ZONE = 'kathmandu-a'


def configuration() -> dict[str, object]:
    """Return a configuration like the site's, with one streaming route."""
    engine = {
        'slots': 32,
        'kv_capacity': 34431,
        'kv_bytes': 18432.0,
        'link_mbps': 2700.0,
        'moves': True,
        'backups': True,
        'stride': 4,
        'handle_s': 4.0,
        'models': [{'name': 'm'}],
    }
    return {
        'version': 1,
        'routes': [
            {
                'name': 'route-brief',
                'host': HOST,
                'prefix': '/brief/',
                'kind': 'streaming',
                'timeout_ms': 39000,
                'goal_ms': 1800,
                'gap_aim_ms': 180,
                'priority': 0,
                'service': 'brief-llm',
                'attempts': 1,
                'public': False,
                'sticky': True,
            },
            {
                'name': 'book-haul',
                'host': HOST,
                'prefix': '/book/',
                'kind': 'non_idempotent',
                'timeout_ms': 800,
                'goal_ms': 300,
                'priority': 2,
                'service': 'dispatch-app',
                'attempts': 1,
                'public': False,
            },
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


async def _read_kept(front: str, number: int) -> Stream:
    """Send a call, and then a stream on the same connection."""
    host, _, port = front.rpartition(':')
    stream = Stream(f'{number:016x}')
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(request('POST', '/book/2f', f'c{number:015x}', 1500))
        await read_message(reader)
        more = (
            'Mastichatch-Model: m\r\nMastichatch-Token-Counts: 60,900\r\n'
            f'Mastichatch-Prompt-Prefix: {stream.request_id}:60\r\n'
        )
        writer.write(
            request(
                'POST',
                '/brief/2f',
                stream.request_id,
                STREAM_DEADLINE_MS,
                more,
            )
        )
        async with asyncio.timeout(STREAM_DEADLINE_MS / 1000):
            message = await read_head(reader)
            stream.status = int(message.start[1])
            async for part in read_body_parts(reader, message):
                stream.body += part
            stream.is_complete = message.is_whole
    except (Closed, OSError, TimeoutError):
        pass
    finally:
        writer.close()
    stream.ids = parse_ids(stream.body)
    return stream


async def _load(machine, engines, record) -> list[Stream]:
    tasks = []
    for number in range(STREAMS):
        record.write(f'client {number:016x}: sent')
        tasks.append(asyncio.ensure_future(_read_kept(machine.front, number)))
        await asyncio.sleep(0.03)
    await asyncio.sleep(CRASH_AFTER_S)
    if TROUBLE:
        engines[1].crash()
        await asyncio.sleep(LEAVE_AFTER_S)
        for leaving in (engines[0], engines[2]):
            leaving.state = 'draining'
            leaving.register()
            record.write(f'{leaving.instance} reports that it is draining')
            await asyncio.sleep(LEAVE_GAP_S)
    return list(await asyncio.gather(*tasks))


async def play(record) -> tuple[bool, str]:
    """Read streams on kept connections, and count those that were closed."""
    ip = free_ip(())
    store = Store()
    address = await store.open(ip)

    engines = [
        MortalEngine(
            f'i-{name}',
            EVENTS,
            GAP_S,
            record.write,
            down_s=DOWN_S,
            store=store,
            takes_new_ids=NEW_IDS,
        )
        for name in 'abcdef'
    ]
    service = Service('i-x', 0.02, record.write)
    await service.open(ip)
    store.put(f'servers/{service.instance}', service.entry('dispatch-app', ZONE))
    store.put('op/config', configuration())
    for engine in engines:
        await engine.open(ip)
        engine.register()
    bounds = {'revoke_ms': 5000, 'budget_slack': 58}
    machine = Machine('edge-kathmandu-a-1', ZONE, address, bounds)
    with tempfile.TemporaryDirectory() as folder:
        try:
            await machine.start(pathlib.Path(folder) / 'log')
            streams = await _load(machine, engines, record)
        finally:
            await machine.stop()
            for server in (*engines, service):
                server.close()
            store.close()
    # The server that crashed isn't sound, nor are the runs that it had.
    crashed = {request_id for request_id, _ in engines[1].ran}
    lost = 0
    for stream in streams:
        is_lost = not stream.is_complete and stream.request_id not in crashed
        lost += is_lost
        record.write(
            f'client {stream.request_id}: status {stream.status}, '
            f'{len(stream.ids)} of {EVENTS} events, '
            f'complete: {stream.is_complete}'
            + (', sent to sound servers only' if is_lost else '')
        )
    return lost > MOST_LOST, (
        f'{lost} of {len(streams)} requests from kept connections were passed '
        'on to sound servers only, and their connections closed without a '
        'whole answer (rule LOST)'
    )


if __name__ == '__main__':
    sys.exit(run_case(str(pathlib.Path(__file__).parent), play))
