"""Requests with a deadly part, and servers that return under their ids."""

import asyncio
import os
import pathlib
import tempfile

from standins.client import HOST, KEY, read_stream
from standins.deadly import MortalEngine
from standins.deployment import TROUBLE, Machine, free_ip, run_case, sys
from standins.store import Store

EVENTS = 60
GAP_S = 0.05
# For comparison only: six servers, as at the site, under a light load.
IS_LIGHT = os.environ.get('LIGHT') == '1'
SERVERS = 'abcdef' if IS_LIGHT else 'ab'
LENGTH_S = 85.0 if IS_LIGHT else 52.0
SOUND_INTERVAL_S = 3.1 if IS_LIGHT else 0.8
DEADLY_INTERVAL_S = 4.0
DOWN_S = 2.0
USERS = 40
# Rule BUDGET: more than three such requests reach servers later than
# ``contact_ms`` after the fifth crash.
CONTACT_S = 3.0
CRASHES = 5
MOST_REACHED = 3
DEADLY_PART = '5c1e07a2'
# For comparison only: servers come back under new ids.
TAKES_NEW_IDS = os.environ.get('NEW_IDS') == '1'
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


async def _send(machine, request_id, parts, record) -> object:
    prefix = ','.join(f'{part}:20' for part in (*parts, request_id))
    record.write(f'client {request_id}: sent with parts {" ".join(parts)}')
    stream = await read_stream(
        machine.front, '/brief/2f', request_id, '60,600', 39000, prefix
    )
    record.write(
        f'client {request_id}: status {stream.status}, {len(stream.ids)} '
        f'events, complete: {stream.is_complete}'
    )
    return stream


async def _load(machine, record) -> tuple[list[object], int]:
    """Send sound requests, and ones with the deadly part among them."""
    loop = asyncio.get_running_loop()
    starts_at = loop.time()
    sound, deadly = [], []
    while loop.time() < starts_at + LENGTH_S:
        now_s = loop.time() - starts_at
        number = len(sound)
        # Sound requests share the other parts of the deadly ones.
        other = f'a{(number + USERS // 4) % USERS:07x}'
        sound.append(
            asyncio.ensure_future(
                _send(machine, f'0{number:015x}', (other,), record)
            )
        )
        if now_s >= 4.0 + len(deadly) * DEADLY_INTERVAL_S:
            other = f'a{len(deadly) % USERS:07x}'
            deadly.append(
                asyncio.ensure_future(
                    _send(
                        machine,
                        f'd{len(deadly):015x}',
                        (other, DEADLY_PART),
                        record,
                    )
                )
            )
        await asyncio.sleep(SOUND_INTERVAL_S)
    await asyncio.gather(*deadly)
    return list(await asyncio.gather(*sound)), len(deadly)


async def play(record) -> tuple[bool, str]:
    """Play the load, and count the deadly requests that reach servers."""
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
            takes_new_ids=TAKES_NEW_IDS,
        )
        for name in SERVERS
    ]
    if TROUBLE:
        MortalEngine.deadly_part = DEADLY_PART
    store.put('op/config', configuration())
    for engine in engines:
        await engine.open(ip)
        engine.register()
    bounds = {'revoke_ms': 5000, 'budget_slack': 58}
    machine = Machine('edge-kathmandu-a-1', ZONE, address, bounds)
    with tempfile.TemporaryDirectory() as folder:
        try:
            await machine.start(pathlib.Path(folder) / 'log')
            sound, deadly = await _load(machine, record)
        finally:
            await machine.stop()
            for engine in engines:
                engine.close()
            store.close()
    crashes = MortalEngine.crashed_at
    late = []
    if len(crashes) >= CRASHES:
        since = crashes[CRASHES - 1] + CONTACT_S
        late = [one for at, one in MortalEngine.reached if at > since]
    broken_off = sum(not one.is_complete for one in sound)
    return len(late) > MOST_REACHED, (
        f'{len(crashes)} crashes; {len(late)} of {deadly} requests with the '
        f'deadly part reached servers later than {CONTACT_S:.0f} s after the '
        f'fifth (rule BUDGET); {broken_off} of {len(sound)} sound streams were '
        'broken off or refused'
    )


if __name__ == '__main__':
    sys.exit(run_case(str(pathlib.Path(__file__).parent), play))
