"""A model server crashes while a resumed stream waits for its first event."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins-2'))

import house

EVENTS = 60
# Events that the client has when its own connection ends.
RECEIVED = 20
DEADLINE_MS = 39126
PROMPT = (
    'Mastichatch-Model: m',
    'Mastichatch-Token-Counts: 3000,240',
    'Mastichatch-Prompt-Prefix: 5c1e07a2:48,91bd3f06:2952',
)


async def play(record, has_trouble, stack, scratch):
    store = house.Store()
    await store.open()
    engines = [
        house.Engine(f'i-{number}', record, events=EVENTS, prefill_s=0.6)
        for number in (1, 2, 3)
    ]
    for engine in engines:
        await engine.open()
    for engine in engines:
        engine.peers = {
            one.address: one for one in engines if one is not engine
        }
    route = house.streaming_route(
        'r-1', '/lohu930/', 'model', resumable=True, attempts=2
    )
    await store.put(
        'op/config',
        house.configuration([route], [house.model_service('model')]),
    )
    zones = ('zagreb-a', 'split-b', 'rijeka-c')
    for engine, zone in zip(engines, zones, strict=True):
        await store.put(f'servers/{engine.name}', engine.entry('model', zone))
    node = house.Node('edge-zagreb-a-1', 'zagreb-a', store, scratch)
    stack.callback(node.kill)
    node.start()
    await node.wait_ready()

    first = await house.ask(
        node,
        record,
        '/lohu930/2f',
        'a' * 16,
        DEADLINE_MS,
        headers=PROMPT,
        stop_after=RECEIVED,
    )
    if first.ids != list(range(1, len(first.ids) + 1)) or not first.ids:
        raise RuntimeError('the first part of the stream is not in order')
    last = first.ids[-1]

    async def crash():
        while not (at := [one for one in engines if 'b' * 16 in one.seen]):
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.3)
        if has_trouble:
            record(f'{at[0].name} crashes')
            at[0].crash()

    crashing = asyncio.ensure_future(crash())
    second = await house.ask(
        node,
        record,
        '/lohu930/2f',
        'b' * 16,
        DEADLINE_MS,
        headers=(*PROMPT, f'Last-Event-Id: {last}'),
    )
    await crashing
    due = list(range(last + 1, EVENTS + 1))
    twice = sorted(set(second.ids) & set(first.ids))
    record(
        f'asked for the events after {last}, got {second.ids[:3]}...; '
        f'{len(twice)} events came twice'
    )
    # What came is in order after the last event that the client had, and a
    # whole answer has all events.
    is_in_order = second.ids == due[: len(second.ids)]
    is_complete = second.ids == due or not (
        second.is_whole and second.status == 200
    )
    return not (is_in_order and is_complete)


house.run_case(FOLDER, play)
