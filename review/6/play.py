"""A planned stop while generations wait for a model server."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins-2'))

import house

# Requests come one after the other; the servers' memory holds five of them.
REQUESTS = 10
SPACING_S = 0.7
# From the first request to SIGTERM.
STOP_AT_S = 5.0
DEADLINE_MS = 39126
# `loss_slack_ms` of the sheets.
LOSS_SLACK_S = 0.2


async def play(record, has_trouble, stack, scratch):
    store = house.Store()
    await store.open()
    engines = [
        house.Engine(f'i-{number}', record, events=442, gap_s=0.03)
        for number in (1, 2)
    ]
    for engine in engines:
        await engine.open()
        engine.peers = {one.address: one for one in engines}
        engine.peers.pop(engine.address)
    await store.put(
        'op/config',
        house.configuration(
            [
                # The long requests rank first, as at the small sites.
                house.streaming_route('r-1', '/lohu930/', 'model'),
                house.streaming_route(
                    'r-2',
                    '/pufi791/',
                    'model',
                    goal_ms=1509,
                    timeout_ms=6037,
                    priority=1,
                ),
            ],
            [house.model_service('model')],
        ),
    )
    for engine, zone in zip(engines, ('zagreb-a', 'split-b'), strict=True):
        await store.put(f'servers/{engine.name}', engine.entry('model', zone))
    nodes = [
        house.Node(f'edge-{zone}-1', zone, store, scratch)
        for zone in ('zagreb-a', 'split-b')
    ]
    for node in nodes:
        stack.callback(node.kill)
        node.start()
    for node in nodes:
        await node.wait_ready()
    # The nodes hear of each other.
    await asyncio.sleep(3)
    node = nodes[0]
    first_at = house.clock()

    async def send(number):
        await asyncio.sleep(number * SPACING_S)
        return await house.ask(
            node,
            record,
            '/lohu930/2f',
            f'{number:016x}',
            DEADLINE_MS,
            headers=(
                'Mastichatch-Model: m',
                'Mastichatch-Token-Counts: 6000,1768',
                f'Mastichatch-Prompt-Prefix: 5c1e07a2:40,{number:08x}:5960',
            ),
        )

    async def stop():
        await asyncio.sleep(STOP_AT_S)
        if has_trouble:
            record(f'SIGTERM to {node.name}')
            node.terminate()
        return house.clock()

    stopping = asyncio.ensure_future(stop())
    answers = await asyncio.gather(*(send(one) for one in range(REQUESTS)))
    stopped_at = await stopping
    record(f'SIGTERM came {stopped_at - first_at:.3f} s after the first')
    lost = [
        one
        for one in answers
        # Requests of planned work: sent before the end of `grace_s` + 1 s.
        if one.status == 0 and one.ended_at - one.sent_at > LOSS_SLACK_S
    ]
    reached = {
        request_id
        for request_id in (one.id for one in lost)
        if any(request_id in engine.seen for engine in engines)
    }
    for one in lost:
        record(
            f'{one.id}: no answer; sent {one.sent_at - stopped_at:+.3f} s, '
            f'closed {one.ended_at - stopped_at:+.3f} s from SIGTERM; '
            f'{"reached" if one.id in reached else "reached no"} server'
        )
    # A server still at work in the last sixth of the grace time excuses.
    return any(one.id not in reached for one in lost)


house.run_case(FOLDER, play)
