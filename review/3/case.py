"""A server that is to leave, and that works on after its caller has closed."""

import asyncio
import pathlib
import tempfile

from standins.client import HOST, KEY, read_stream
from standins.deployment import TROUBLE, Machine, free_ip, run_case, sys
from standins.engine import Engine
from standins.store import Store

EVENTS = 130
GAP_S = 0.1
STREAMS = 84
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
            }
        ],
        'services': [
            {'name': 'brief-llm', 'max_conns': 322, 'engine': engine}
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [{'name': 'huka270', 'api_keys': [KEY]}],
    }


async def play(record) -> tuple[bool, str]:
    """Read streams while one server is emptied, and check their ends."""
    ip = free_ip(())
    store = Store()
    address = await store.open(ip)
    engines = [
        Engine(f'i-{name}', EVENTS, GAP_S, record.write) for name in 'abcdef'
    ]
    store.put('op/config', configuration())
    for engine in engines:
        await engine.open(ip)
        store.put(f'servers/{engine.instance}', engine.entry('brief-llm', ZONE))
    engines[0].is_dropping = False
    bounds = {'revoke_ms': 5000, 'budget_slack': 58}
    machine = Machine('edge-kathmandu-a-1', ZONE, address, bounds)
    with tempfile.TemporaryDirectory() as folder:
        try:
            await machine.start(pathlib.Path(folder) / 'log')
            streams = await _load(machine, store, engines, record)
        finally:
            await machine.stop()
            for engine in engines:
                engine.close()
            store.close()
    for stream in streams:
        record.write(
            f'client {stream.request_id}: status {stream.status}, '
            f'{len(stream.ids)} of {EVENTS} events, '
            f'complete: {stream.is_complete}'
        )
    doubled = set(Engine.doubled)
    return bool(doubled), (
        f'{len(doubled)} of {len(streams)} requests went on at another server '
        'while the one before still worked on them 400 ms later (rule TWICE)'
    )


async def _load(machine, store, engines, record) -> list[object]:
    tasks = []
    for number in range(STREAMS):
        request_id = f'{number:016x}'
        record.write(f'client {request_id}: sent')
        tasks.append(
            asyncio.ensure_future(
                read_stream(
                    machine.front, '/brief/2f', request_id, '60,900', 39000
                )
            )
        )
        await asyncio.sleep(0.03)
    await asyncio.sleep(4.5)
    if TROUBLE:
        leaving = engines[0]
        leaving.state = 'draining'
        store.put(
            f'servers/{leaving.instance}', leaving.entry('brief-llm', ZONE)
        )
        record.write(f'{leaving.instance} reports that it is draining')
    return list(await asyncio.gather(*tasks))


if __name__ == '__main__':
    sys.exit(run_case(str(pathlib.Path(__file__).parent), play))
