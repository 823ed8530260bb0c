"""Tokens come once, in order and from one generation, whatever fails.

Real processes, with fault proxies between nodes and endpoints.
"""

import asyncio
import functools
import pathlib
from collections.abc import AsyncIterator

import pytest

from tests.callers import Caller, Reading, answer_of, text_of
from tests.processes import Fleet, FleetPlan, Node, open_fleet, poll_until

CANCEL_DELAY_S = 4.0
# Takes twice as long as the cancel is on its way.
NEW_LENGTH = 400
ENGINES = ('north-engine-0', 'south-engine-0')
PLAN = FleetPlan(
    proxied=True,
    engine_flags=('--cold-ms', '0', '--step-ms', '20'),
    endpoint={'cold_limit': 16},
    manifest={
        'services': [
            {
                'name': 'rota',
                'kind': 'model',
                'idle_timeout_ms': 500,
                'queue_limit': 4000,
                'queue_deadline_ms': 200_000,
            },
            {
                'name': 'bookings',
                'kind': 'plain',
                'operations': [{'name': 'book'}],
            },
        ],
        'workspaces': [
            {'name': 'large', 'waiting_limit': 4000},
            {'name': 'small', 'waiting_limit': 4000},
        ],
    },
)


@pytest.fixture
async def fleet(tmp_path: pathlib.Path) -> AsyncIterator[Fleet]:
    async with open_fleet(tmp_path, PLAN) as opened:
        yield opened


@pytest.fixture
def node(fleet: Fleet) -> Node:
    return fleet.nodes['north-node-0']


async def running_engine(fleet: Fleet) -> str:
    """Return the engine where something runs."""
    while True:
        for name, endpoint in fleet.endpoints.items():
            if 'engine' in name:
                shown = await endpoint.show('generations')
                if shown['running']:
                    return name
        await asyncio.sleep(0.02)


async def until_read(reading: Reading, count: int) -> None:
    """Wait until a caller has read some events."""
    while len(reading.indexes) < count:
        await asyncio.sleep(0.01)


class TestWithoutFaults:
    async def test_streams_and_whole_answers_are_the_callers_own(
        self, fleet: Fleet, node: Node
    ) -> None:
        caller = Caller(fleet)
        streamed = await caller.stream(node, 'plan', 30)
        streamed.check_order()
        assert streamed.done
        assert streamed.text == answer_of('plan', 30)
        assert text_of(await caller.whole(node, 'swap', 9)) == answer_of(
            'swap', 9
        )

    async def test_bad_requests_are_refused_with_nothing_sent_on(
        self, fleet: Fleet, node: Node
    ) -> None:
        caller = Caller(fleet)
        path = '/v1/chat/completions'
        unknown = {
            'model': 'none',
            'messages': [{'role': 'user', 'content': 'x'}],
        }
        for options, status in (
            ({'data': b'{'}, 400),
            ({'json': {'model': 'rota'}}, 400),
            ({'json': unknown}, 404),
            ({'json': unknown | {'model': 'rota'}, 'headers': {}}, 403),
            ({'data': b' ' * 2_000_000}, 413),
        ):
            answer = await caller.post(node, path, **options)
            assert answer['status'] == status
            assert answer['body']['error']['ran'] == 'no'
        for name, endpoint in fleet.endpoints.items():
            if 'engine' in name:
                assert (await endpoint.show('generations'))['started'] == 0


class TestBrokenLinks:
    async def test_cut_and_silent_connections_are_resumed_unseen(
        self, fleet: Fleet, node: Node
    ) -> None:
        reading = asyncio.create_task(Caller(fleet).stream(node, 'long', 120))
        name = await running_engine(fleet)
        await asyncio.sleep(0.3)
        await fleet.links[name].control(blackhole_existing=True)
        await asyncio.sleep(1.2)
        await fleet.links[name].control(cut=True)
        await asyncio.sleep(0.15)
        await fleet.links[name].control(restore=True)
        streamed = await reading
        streamed.check_order()
        assert streamed.done, streamed.error
        assert streamed.text == answer_of('long', 120)


class TestEngineDeath:
    async def test_before_the_first_token_another_engine_serves(
        self, fleet: Fleet, node: Node
    ) -> None:
        engine = fleet.endpoints['north-engine-0']
        await engine.control(stall=True)
        reading = asyncio.create_task(Caller(fleet).stream(node, 'early', 10))
        while not (await engine.show('generations'))['started']:
            await asyncio.sleep(0.02)
        engine.process.kill()
        streamed = await reading
        streamed.check_order()
        assert streamed.done, streamed.error
        assert streamed.text == answer_of('early', 10)

    async def test_after_the_first_token_the_caller_is_told_how_many_came(
        self, fleet: Fleet, node: Node
    ) -> None:
        reading = asyncio.create_task(Caller(fleet).stream(node, 'late', 200))
        name = await running_engine(fleet)
        await asyncio.sleep(0.5)
        fleet.endpoints[name].process.kill()
        streamed = await reading
        streamed.check_order()
        assert not streamed.done
        assert streamed.error is not None
        assert streamed.error['kind'] == 'generation_lost'
        assert streamed.error['tokens_delivered'] == len(streamed.indexes)
        assert answer_of('late', 200).startswith(streamed.text)

    async def test_a_whole_answer_survives_it(
        self, fleet: Fleet, node: Node
    ) -> None:
        asked = asyncio.create_task(Caller(fleet).whole(node, 'whole', 60))
        name = await running_engine(fleet)
        await asyncio.sleep(0.4)
        fleet.endpoints[name].process.kill()
        assert text_of(await asked) == answer_of('whole', 60)

    async def test_an_engine_that_reuses_ids_is_not_taken_for_the_old_one(
        self, fleet: Fleet, node: Node
    ) -> None:
        caller = Caller(fleet)
        reading = asyncio.create_task(caller.stream(node, 'old', 200))
        name = await running_engine(fleet)
        await asyncio.sleep(0.4)
        await fleet.endpoints[name].control(restart=True)
        other = fleet.nodes['north-node-1']
        fresh = await caller.stream(other, 'new', 20)
        assert fresh.text == answer_of('new', 20)
        streamed = await reading
        streamed.check_order()
        assert answer_of('old', 200).startswith(streamed.text)
        assert streamed.error is not None


class TestNodeDeath:
    async def test_the_caller_resumes_at_another_node(
        self, fleet: Fleet, node: Node
    ) -> None:
        caller = Caller(fleet)
        reading = asyncio.create_task(caller.stream(node, 'moved', 100))
        await running_engine(fleet)
        await asyncio.sleep(0.5)
        node.process.kill()
        first = await reading
        assert first.broken
        other = fleet.nodes['south-node-0']
        second = await caller.resume(other, first.last_event_id)
        second.check_order(start=len(first.indexes))
        assert second.done, second.error
        assert first.text + second.text == answer_of('moved', 100)

    async def test_another_workspace_cannot_read_the_rest(
        self, fleet: Fleet, node: Node
    ) -> None:
        first = await Caller(fleet).stream(node, 'mine', 100, stop_at=5)
        other = await Caller(fleet, 'large').resume(node, first.last_event_id)
        assert other.status == 404


class TestFrozenNode:
    async def test_the_caller_resumes_elsewhere_while_it_wakes(
        self, fleet: Fleet, node: Node
    ) -> None:
        caller = Caller(fleet)
        late = Reading()
        reading = asyncio.create_task(
            caller.stream(node, 'frozen', 150, reading=late)
        )
        await until_read(late, 20)
        node.process.freeze()
        # What was on its way may still come.
        await asyncio.sleep(0.5)
        text, event_id = late.text, late.last_event_id
        start = len(late.indexes)
        other = fleet.nodes['south-node-0']
        rest = Reading()
        resuming = asyncio.create_task(caller.resume(other, event_id, rest))
        await until_read(rest, 5)
        node.process.wake()
        await asyncio.gather(reading, resuming)
        rest.check_order(start)
        assert rest.done, rest.error
        assert text + rest.text == answer_of('frozen', 150)
        late.check_order()
        assert answer_of('frozen', 150).startswith(late.text)
        counts = [
            await fleet.endpoints[name].show('generations') for name in ENGINES
        ]
        assert sum(count['started'] for count in counts) == 1
        assert sum(count['cancelled'] for count in counts) == 0


class TestLateCancel:
    async def test_a_reused_id_is_not_cancelled(
        self, fleet: Fleet, node: Node
    ) -> None:
        caller = Caller(fleet)
        old = await caller.stream(node, 'old', 500, stop_at=5)
        (handle,) = old.handles
        name = await running_engine(fleet)
        engine, link = fleet.endpoints[name], fleet.links[name]
        began_at = asyncio.get_running_loop().time()
        await link.control(delay_ms=CANCEL_DELAY_S * 1000)
        cancelling = asyncio.create_task(caller.cancel(node, handle))

        async def on_its_way() -> bool:
            begins = (await link.show('counts'))['begins']
            return any(begin.startswith('DELETE') for begin in begins)

        await poll_until(on_its_way, 'the cancel')
        await link.control(delay_ms=0)
        await engine.control(restart=True)
        new, reading = await start_at(fleet, node, name)
        assert await cancelling == 204
        # The cancel comes while the new generation is in progress.
        assert asyncio.get_running_loop().time() < began_at + CANCEL_DELAY_S
        await asyncio.sleep(
            began_at + CANCEL_DELAY_S + 1 - asyncio.get_running_loop().time()
        )
        assert not new.done
        await reading
        new.check_order()
        assert new.done, new.error
        assert new.text == answer_of('new', NEW_LENGTH)
        shown = await engine.show('generations')
        assert (shown['started'], shown['cancelled']) == (2, 0)


async def start_at(
    fleet: Fleet, node: Node, name: str
) -> 'tuple[Reading, asyncio.Task[Reading]]':
    """Start a generation at an engine that was just started again.

    Permits name the boot of the engine, so that requests go elsewhere until the
    scheduler knows of the new one. These are given up.
    """
    caller = Caller(fleet)
    engine = fleet.endpoints[name]
    while True:
        reading = Reading()
        task = asyncio.create_task(
            caller.stream(node, 'new', NEW_LENGTH, reading=reading)
        )
        await poll_until(
            functools.partial(has_events, reading, task), 'a generation'
        )
        if (await engine.show('generations'))['started'] == 2:
            return reading, task
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


async def has_events(reading: Reading, task: 'asyncio.Task[Reading]') -> bool:
    return bool(reading.indexes) or task.done()


class TestAbandonment:
    async def test_an_abandoned_generation_is_cancelled_at_its_engine(
        self, fleet: Fleet, node: Node
    ) -> None:
        await Caller(fleet).stream(node, 'gone', 2000, stop_at=3)
        name = await running_engine(fleet)
        for _ in range(100):
            shown = await fleet.endpoints[name].show('generations')
            if not shown['running']:
                break
            await asyncio.sleep(0.1)
        assert shown['cancelled'] == 1


class TestManyCallers:
    async def test_each_of_two_thousand_gets_its_own_answer(
        self, fleet: Fleet
    ) -> None:
        for link in fleet.links.values():
            await link.control(delay_ms=3)
        nodes = list(fleet.nodes.values())
        caller = Caller(fleet)

        async def ask(number: int) -> bool:
            question = f'question {number}'
            length = 1 + number % 5
            place = nodes[number % len(nodes)]
            body = await caller.whole(place, question, length)
            return text_of(body) == answer_of(question, length)

        async with asyncio.timeout(240):
            kept = await asyncio.gather(*map(ask, range(2000)))
        assert all(kept)
