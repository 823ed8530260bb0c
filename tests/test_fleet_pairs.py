"""Each caller gets its own answer, whatever fails and whatever is crossed.

Real processes, with fault proxies between nodes, and before endpoints.
"""

import asyncio
import contextlib
import itertools
import pathlib
import random
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, Final

import aiohttp
import pytest

from tests.callers import Caller, Json, Reading, answer_of, text_of
from tests.fleet_status import heard, until_all
from tests.processes import (
    MODEL,
    PLAIN,
    Fleet,
    FleetPlan,
    open_fleet,
    poll_until,
)

ENGINES: Final = ('north-engine-0', 'south-engine-0')
SERVICES: Final = ('north-service-0', 'south-service-0')
ENGINE_FLAGS: Final = ('--cold-ms', '0', '--step-ms', '20')


def create_plan(idle_timeout_ms: int, deadline_ms: int) -> FleetPlan:
    """Return a fleet of two data centres, with proxies on every link."""
    return FleetPlan(
        proxied=True,
        proxied_peers=True,
        engine_flags=ENGINE_FLAGS,
        endpoint={'cold_limit': 16},
        manifest={
            'services': [
                {
                    'name': MODEL,
                    'kind': 'model',
                    'idle_timeout_ms': idle_timeout_ms,
                    'queue_limit': 4000,
                    'queue_deadline_ms': deadline_ms,
                },
                {
                    'name': PLAIN,
                    'kind': 'plain',
                    'operations': [
                        {'name': 'book'},
                        {'name': 'lookup', 'idempotent': True},
                    ],
                },
            ],
            'workspaces': [{'name': 'small', 'waiting_limit': 4000}],
        },
    )


STREAM: Final = 'POST /v1/chat/completions'
RESUME: Final = 'GET /v1/generations'
CALL: Final = 'POST /v1/operations'


@pytest.fixture
async def fleet(tmp_path: pathlib.Path) -> AsyncIterator[Fleet]:
    async with open_fleet(tmp_path, create_plan(500, 60_000)) as opened:
        yield opened


@pytest.fixture
async def patient(tmp_path: pathlib.Path) -> AsyncIterator[Fleet]:
    """Start a fleet that waits long for bytes, and not long for permits."""
    async with open_fleet(tmp_path, create_plan(10_000, 5000)) as opened:
        yield opened


async def running(fleet: Fleet, count: int, state: str = 'running') -> None:
    """Wait until a number of generations run, at any engines.

    :param state: ``running``, or ``started`` for those that have ended, too
    """

    async def run() -> bool:
        shown = [
            await fleet.endpoints[name].show('generations') for name in ENGINES
        ]
        return bool(sum(each[state] for each in shown) >= count)

    await poll_until(run, f'{count} generations {state}')


class Asker:
    """Callers that go to another node where theirs has gone.

    :ivar told: what became of each answer
    """

    def __init__(self, fleet: Fleet, chance: random.Random) -> None:
        """Ask on behalf of one workspace."""
        self.told: Counter[str] = Counter()
        self._fleet = fleet
        self._chance = chance
        self._caller = Caller(fleet)

    async def stream(self, question: str, length: int) -> None:
        """Stream an answer to its end, and check every event."""
        text, start, event_id = '', 0, ''
        while True:
            node = self._fleet.nodes[self._pick()]
            if event_id:
                reading = await self._caller.resume(node, event_id)
            else:
                reading = await self._caller.stream(node, question, length)
            reading.check_order(start)
            text += reading.text
            start += len(reading.indexes)
            if reading.indexes:
                event_id = reading.last_event_id
            if not reading.broken:
                break
            await asyncio.sleep(0.1)
        if reading.done:
            assert text == answer_of(question, length)
        else:
            assert answer_of(question, length).startswith(text)
            check_error(reading, start)
        self.told['done' if reading.done else 'error'] += 1

    async def whole(self, question: str, length: int) -> None:
        """Ask for a whole answer until a node gives it."""
        body: Any = None
        while body is None:
            node = self._fleet.nodes[self._pick()]
            try:
                body = await self._caller.whole(node, question, length)
            except aiohttp.ClientError:
                await asyncio.sleep(0.1)
        assert text_of(body) == answer_of(question, length)

    def _pick(self) -> str:
        return self._chance.choice(list(self._fleet.nodes))


def check_error(reading: Reading, count: int) -> None:
    """Assert that an error is clear, and counts the tokens that came."""
    assert reading.error is not None
    assert reading.error['kind'], reading.error
    assert (reading.error.get('tokens_delivered') or 0) == count


Fault = Callable[[Fleet, random.Random, str], Awaitable[None]]


async def cut_link(fleet: Fleet, chance: random.Random, name: str) -> None:
    """Cut the link to an engine for a while."""
    await fleet.links[name].control(cut=True)
    await asyncio.sleep(chance.choice((0.05, 0.3)))
    await fleet.links[name].control(restore=True)


async def silence_link(fleet: Fleet, _chance: random.Random, name: str) -> None:
    """Let the open connections to an engine go silent for good."""
    await fleet.links[name].control(blackhole_existing=True)


async def kill_engine(fleet: Fleet, _chance: random.Random, name: str) -> None:
    """Kill an engine and start it again at its address."""
    engine = fleet.endpoints[name]
    engine.process.kill()
    fleet.endpoints[name] = await fleet.processes.stand_in(
        name, 'engine', *ENGINE_FLAGS, address=engine.address
    )


async def stall_engine(fleet: Fleet, chance: random.Random, name: str) -> None:
    """Let an engine send nothing for a while."""
    await fleet.endpoints[name].control(stall=True)
    await asyncio.sleep(chance.choice((0.2, 1)))
    await fleet.endpoints[name].control(stall=False)


async def restart_engine(
    fleet: Fleet, _chance: random.Random, name: str
) -> None:
    """Start an engine again, so that it gives the same ids once more."""
    await fleet.endpoints[name].control(restart=True)


async def kill_node(fleet: Fleet, chance: random.Random, _name: str) -> None:
    """Kill a node and start it again."""
    name = chance.choice(list(fleet.nodes))
    fleet.nodes[name].process.kill()
    await fleet.restart(name)


FAULTS: Final[tuple[Fault, ...]] = (
    cut_link,
    silence_link,
    kill_engine,
    stall_engine,
    restart_engine,
    kill_node,
)
PAIRS: Final = tuple(itertools.combinations(FAULTS, 2))


class TestPairs:
    @pytest.mark.parametrize('seed', range(2))
    async def test_tokens_come_once_and_whole_answers_survive(
        self, fleet: Fleet, seed: int
    ) -> None:
        chance = random.Random(seed)
        asker = Asker(fleet, chance)

        async def strike(fault: Fault, name: str) -> None:
            await asyncio.sleep(0.2 + chance.random() / 2)
            # The engine may just have been killed.
            with contextlib.suppress(aiohttp.ClientError):
                await fault(fleet, chance, name)

        for number, pair in enumerate(chance.sample(PAIRS, len(PAIRS))):
            names = [f'{seed}-{number}-{caller}' for caller in range(6)]
            engine = chance.choice(ENGINES)
            await asyncio.gather(
                *(asker.stream(name, 40) for name in names),
                *(asker.whole(f'{name}-whole', 30) for name in names[:3]),
                *(strike(fault, engine) for fault in pair),
            )
        print(asker.told)
        assert asker.told['done'] > asker.told['error']


async def held(
    fleet: Fleet, names: tuple[str, ...], begin: str, count: int
) -> None:
    """Wait until connections began that way, while nothing comes down them."""

    async def begun() -> bool:
        counts = [await fleet.links[name].show('counts') for name in names]
        begins = [each for shown in counts for each in shown['begins']]
        return sum(str(each).startswith(begin) for each in begins) >= count

    await poll_until(begun, f'{count} of {begin}')


async def set_links(
    fleet: Fleet, names: tuple[str, ...], **faults: Any
) -> None:
    """Set faults of the links to some endpoints."""
    for name in names:
        await fleet.links[name].control(**faults)


class TestCrossed:
    """Bytes for one connection, handed to another one."""

    @pytest.mark.parametrize('at', ['start', 'middle'])
    async def test_no_stream_gets_tokens_of_another(
        self, patient: Fleet, at: str
    ) -> None:
        fleet = patient
        caller = Caller(fleet)
        node = fleet.nodes['north-node-0']
        if at == 'start':
            # Reports pass. Engines that do not report get no streams after a
            # second, and the scheduler of a new fleet may need longer.
            await set_links(
                fleet, ENGINES, one_way='down', one_way_begin=STREAM
            )
        readings = [
            asyncio.create_task(caller.stream(node, f'mine {number}', 100))
            for number in range(4)
        ]
        if at == 'start':
            await held(fleet, ENGINES, STREAM, 4)
            await running(fleet, 4, 'started')
        else:
            await running(fleet, 4)
            await asyncio.sleep(0.3)
        await set_links(fleet, ENGINES, swap=STREAM)
        if at == 'middle':
            # Those that resume the generations are crossed before they begin.
            await held(fleet, ENGINES, RESUME, 4)
            await set_links(fleet, ENGINES, cut=True)
            await set_links(fleet, ENGINES, restore=True, one_way='down')
            await held(fleet, ENGINES, RESUME, 8)
            await set_links(fleet, ENGINES, swap=RESUME)
        await set_links(fleet, ENGINES, one_way='')
        for number, reading in enumerate(await asyncio.gather(*readings)):
            reading.check_order()
            assert reading.done, reading.error
            assert reading.text == answer_of(f'mine {number}', 100)

    async def test_no_call_gets_the_answer_of_another(
        self, fleet: Fleet
    ) -> None:
        await set_links(fleet, SERVICES, one_way='down')
        caller = Caller(fleet)

        async def call(number: int) -> Json:
            return await caller.post(
                fleet.nodes['north-node-0'],
                f'/v1/services/{PLAIN}/' + ('book', 'lookup')[number % 2],
                json={'number': number},
                headers={
                    'Workspace': 'small',
                    'Idempotency-Key': f'key-{number}',
                },
            )

        calls = [asyncio.create_task(call(number)) for number in range(6)]
        await held(fleet, SERVICES, CALL, 6)
        await set_links(fleet, SERVICES, swap=CALL)
        await set_links(fleet, SERVICES, one_way='')
        told = await asyncio.gather(*calls)
        for number, answer in enumerate(told):
            if answer['status'] == 200:
                assert answer['body']['body'] == {'number': number}
            else:
                assert answer['body']['error']['ran'] == 'unknown'
        assert any(answer['status'] != 200 for answer in told)

    async def test_messages_for_another_node_harm_nobody(
        self, patient: Fleet
    ) -> None:
        fleet = patient
        asker = Asker(fleet, random.Random(0))
        names = {'north-node-0', 'north-node-1'}
        one, other = (fleet.nodes[name] for name in sorted(names))
        link = fleet.links[f'peer-{one.options.name}']
        await link.control(target=other.options.peer_address, cut=True)
        await link.control(restore=True)
        await asyncio.gather(
            *(asker.stream(f'crossed {number}', 40) for number in range(40))
        )
        # Its callers were told at the deadline, and those of others served.
        print(asker.told)
        assert asker.told['done']
        await link.control(target=one.options.peer_address, cut=True)
        await link.control(restore=True)
        await until_all(
            fleet, names, lambda status: heard(status) == names, 'whole'
        )
        await asyncio.gather(
            *(asker.whole(f'mended {number}', 9) for number in range(8))
        )


class TestManyStreams:
    async def test_each_of_two_thousand_gets_its_own(
        self, fleet: Fleet
    ) -> None:
        asker = Asker(fleet, random.Random(0))
        half = asyncio.Event()

        async def ask(number: int) -> None:
            await asker.stream(f'question {number}', 1 + number % 5)
            if asker.told.total() > 500:
                half.set()

        async def strike() -> None:
            await half.wait()
            fleet.nodes['south-node-1'].process.kill()
            fleet.nodes.pop('south-node-1')
            await cut_link(fleet, random.Random(0), ENGINES[0])

        async with asyncio.timeout(240):
            await asyncio.gather(strike(), *map(ask, range(2000)))
        print(asker.told)
        assert asker.told.total() == 2000
        assert asker.told['done'] > 1900
