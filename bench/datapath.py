"""Costs of a running node, read from its process: streams, calls, idling."""

import asyncio
import os
import pathlib
import tempfile
import time
from collections.abc import Awaitable, Callable
from typing import Final

import aiohttp

from bench.slopes import Slope, fit
from tests.processes import Fleet, FleetPlan, Node, open_fleet

STREAM_SIZES: Final = (10, 20, 40, 80)
REQUEST_SIZES: Final = (100, 200, 400, 800)
TOKENS_A_STREAM: Final = 150
CONCURRENT_REQUESTS: Final = 16
IDLE_S: Final = 5.0
IDLE_SIZES: Final = (1, 2, 3, 4)
CLOCK_TICKS: Final = os.sysconf('SC_CLK_TCK')
ENGINE_FLAGS: Final = ('--cold-ms', '0', '--step-ms', '20')
ENDPOINT: Final = {
    'cold_limit': 256,
    'batch_limit': 256,
    'memory_tokens': 4_000_000,
}

Work = Callable[[Fleet, int], Awaitable[None]]


def processor_ms(pid: int) -> float:
    """Return the processor time of a process so far, in milliseconds.

    :param pid: process id
    """
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) * 1000 / CLOCK_TICKS


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process, in megabytes.

    :param pid: process id
    """
    for line in pathlib.Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) / 1000
    return 0


async def stream_tokens(fleet: Fleet, streams: int) -> None:
    """Read streams of single tokens at the same time.

    :param fleet: a fleet with one node
    :param streams: number of streams
    """
    node = _only_node(fleet)
    async with asyncio.TaskGroup() as group:
        for number in range(streams):
            group.create_task(_read_stream(fleet, node, number))


def _only_node(fleet: Fleet) -> Node:
    return next(iter(fleet.nodes.values()))


async def _read_stream(fleet: Fleet, node: Node, number: int) -> None:
    question = f'question {number} length={TOKENS_A_STREAM}'
    async with fleet.session.post(
        f'{node.url}/v1/chat/completions',
        json={
            'model': 'rota',
            'stream': True,
            'messages': [{'role': 'user', 'content': question}],
        },
        headers={'Workspace': 'large'},
        timeout=aiohttp.ClientTimeout(total=120),
    ) as answer:
        body = await answer.read()
    if not body.endswith(b'data: [DONE]\n\n'):
        raise RuntimeError(f'a stream was cut: {body[-200:]!r}')


async def call_service(fleet: Fleet, calls: int) -> None:
    """Make idempotent calls of a plain service, a few at a time.

    :param fleet: a fleet with one node
    :param calls: number of calls
    """
    await _post_many(fleet, 'lookup', calls, {})


async def book(fleet: Fleet, calls: int) -> None:
    """Make calls with claimed keys, a few at a time.

    :param fleet: a fleet with one node
    :param calls: number of calls
    """
    await _post_many(fleet, 'book', calls, {'Idempotency-Key': 'measure'})


async def _post_many(
    fleet: Fleet,
    operation: str,
    calls: int,
    headers: dict[str, str],
) -> None:
    node = _only_node(fleet)
    free = asyncio.Semaphore(CONCURRENT_REQUESTS)

    async def post(number: int) -> None:
        own = {
            name: f'{value}-{number}-{time.monotonic_ns()}'
            for name, value in headers.items()
        }
        async with (
            free,
            fleet.session.post(
                f'{node.url}/v1/services/bookings/{operation}',
                json={'number': number},
                headers={'Workspace': 'large', **own},
            ) as answer,
        ):
            await answer.read()
            answer.raise_for_status()

    await asyncio.gather(*map(post, range(calls)))


async def idle(fleet: Fleet, seconds: int) -> None:
    """Do nothing.

    :param fleet: a fleet
    :param seconds: for how long
    """
    await asyncio.sleep(seconds)


async def _measure_one(fleet: Fleet, work: Work, size: int) -> float:
    node = _only_node(fleet)
    before = processor_ms(node.process.pid)
    await work(fleet, size)
    return processor_ms(node.process.pid) - before


async def measure_datapath() -> list[Slope]:
    """Start one node with its stand-ins and measure what it costs."""
    plan = FleetPlan(
        data_centres=('north',),
        nodes=1,
        engine_flags=ENGINE_FLAGS,
        endpoint=ENDPOINT,
        node_flags=('--log-level', 'warning'),
    )
    with tempfile.TemporaryDirectory() as folder:
        started = time.monotonic()
        async with open_fleet(pathlib.Path(folder), plan) as fleet:
            start_s = time.monotonic() - started
            await asyncio.sleep(2)
            node = _only_node(fleet)
            memory = resident_mb(node.process.pid)
            idling = await _slope(fleet, 'idle node', 's', idle)
            await stream_tokens(fleet, 10)
            slopes = [
                idling,
                await _slope(fleet, 'stream token', 'token', stream_tokens),
                await _slope(fleet, 'idempotent call', 'call', call_service),
                await _slope(fleet, 'claimed call', 'call', book),
            ]
            loaded = resident_mb(node.process.pid)
    print(f'start of the whole fleet {start_s:.2f} s')
    print(f'memory: idle {memory:.1f} MB, after the load {loaded:.1f} MB')
    return slopes


async def _slope(fleet: Fleet, name: str, unit: str, work: Work) -> Slope:
    sizes: tuple[int, ...] = REQUEST_SIZES
    units = 1
    if unit == 'token':
        sizes, units = STREAM_SIZES, TOKENS_A_STREAM
    elif unit == 's':
        sizes = IDLE_SIZES
    costs = [await _measure_one(fleet, work, size) for size in sizes]
    return fit(name, unit, 'ms', [size * units for size in sizes], costs)


if __name__ == '__main__':
    for line in asyncio.run(measure_datapath()):
        print(
            f'{line.name}: {line.slope:.5g} ms a {line.size_unit},'
            f' residual {line.residual:.3f}, points {line.costs}',
        )
