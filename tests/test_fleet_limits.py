"""Retries, circuits, queues and fairness hold their limits under failure.

Real processes; the stand-ins' own records say what came to them, and when.
"""

import asyncio
import dataclasses
import itertools
import pathlib
import zlib
from collections.abc import AsyncIterator, Callable
from typing import Any, Final

import pytest

from mastichatch_core.breaker import FAILURES_TO_OPEN, INITIAL_BACKOFF_S
from mastichatch_core.retries import BURST_RETRIES
from mastichatch_core.scheduler_state import BATCH_BURST_RETRIES
from tests.callers import TIMEOUT, messages_of
from tests.processes import (
    MODEL,
    OPERATIONS,
    PLAIN,
    Fleet,
    FleetPlan,
    open_fleet,
    poll_until,
)

Json = dict[str, Any]
RETRY_PERCENT: Final = 5
CALLERS: Final = 40
SPELLS: Final = 12
PLACES: Final = 4
QUEUE_LIMIT: Final = 150
PLAIN_QUEUE_LIMIT: Final = 10
BURST: Final = 300
SMALL: Final = 30
LONG: Final = 200
WAIT_S: Final = 90.0


def plan_of(places: int, fields: Json, **parts: Any) -> FleetPlan:
    """Return a plan whose endpoints bear the same, cold or warm.

    :param fields: further fields of both services
    """
    kinds: tuple[Json, ...] = (
        {'name': MODEL, 'kind': 'model', 'token_gap_target_ms': 1e6},
        {'name': PLAIN, 'kind': 'plain', 'operations': OPERATIONS},
    )
    return FleetPlan(
        endpoint={'cold_limit': places, 'batch_limit': places},
        manifest={
            'services': [kind | fields for kind in kinds],
            'workspaces': [
                {'name': 'large', 'waiting_limit': 2 * BURST},
                {'name': 'small'},
                {'name': 'other'},
                {'name': 'tight', 'running_limit': 1, 'waiting_limit': 3},
            ],
        },
        **parts,
    )


STORM_PLAN = plan_of(
    16,
    {'queue_deadline_ms': 1000, 'retry_budget_percent': RETRY_PERCENT},
    engines=2,
    services=2,
    proxied=True,
)
NORTH_PLAN = plan_of(
    PLACES,
    {},
    data_centres=('north',),
    engines=0,
    services=3,
)
QUEUE_PLAN = plan_of(
    2,
    {'queue_deadline_ms': 60_000, 'queue_limit': QUEUE_LIMIT},
    data_centres=('north',),
)


@pytest.fixture
async def fleet(
    tmp_path: pathlib.Path, plan: FleetPlan
) -> AsyncIterator[Fleet]:
    async with open_fleet(tmp_path, plan) as opened:
        yield opened


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """What a caller was told."""

    status: int
    retry_after: str | None
    error: Json

    @property
    def refused(self) -> bool:
        """Whether it says that the request was not run, and to try later."""
        ran = self.error.get('ran') == 'no'
        return self.status == 429 and ran and bool(self.retry_after)


class Callers:
    """Callers that note every answer by the id of its request."""

    def __init__(self, fleet: Fleet) -> None:
        """Call the fleet's nodes in turn."""
        self.answers: dict[str, Answer] = {}
        self._fleet = fleet
        self._turns = itertools.count()

    def count(self, accept: Callable[[Answer], bool]) -> int:
        """Return how many answers are accepted."""
        return sum(map(accept, self.answers.values()))

    async def until(
        self, number: int, accept: Callable[[Answer], bool], what: str
    ) -> None:
        """Wait until so many answers are accepted."""

        async def come() -> bool:
            return self.count(accept) >= number

        await poll_until(come, what, WAIT_S)

    async def until_more(
        self, number: int, accept: Callable[[Answer], bool], what: str
    ) -> None:
        """Wait for so many more."""
        await self.until(self.count(accept) + number, accept, what)

    async def ask(
        self, name: str, workspace: str = 'small', length: int = 20
    ) -> None:
        """Ask a model for a whole answer."""
        body = {'model': MODEL, 'messages': messages_of(name, length)}
        await self._post('/v1/chat/completions', name, workspace, body)

    async def look_up(self, name: str) -> None:
        """Make an idempotent call."""
        path = f'/v1/services/{PLAIN}/lookup'
        await self._post(path, name, 'small', {})

    async def book(self, name: str) -> None:
        """Make a call that may run once only."""
        path = f'/v1/services/{PLAIN}/book'
        await self._post(path, name, 'small', {})

    async def call_in_turn(self, call: Callable[[str], Any]) -> None:
        """Make one call after the other, with a pause after a failure."""
        while True:
            name = f'turn-{next(self._turns)}'
            await call(name)
            if not served(self.answers[name]):
                await asyncio.sleep(0.05)

    async def _post(
        self, path: str, name: str, workspace: str, body: Json
    ) -> None:
        nodes = tuple(self._fleet.nodes.values())
        node = nodes[zlib.crc32(name.encode()) % len(nodes)]
        headers = {
            'Workspace': workspace,
            'Request-Id': name,
            'Idempotency-Key': name,
        }
        async with self._fleet.session.post(
            node.url + path, json=body, headers=headers, timeout=TIMEOUT
        ) as answer:
            told = await answer.json()
        self.answers[name] = Answer(
            status=answer.status,
            retry_after=answer.headers.get('Retry-After'),
            error=told.get('error', {}),
        )


def served(answer: Answer) -> bool:
    return answer.status == 200


def failed(answer: Answer) -> bool:
    return answer.status != 200


async def tries(fleet: Fleet) -> list[str]:
    """Return the request id of each try that came to an endpoint."""
    ids: list[str] = []
    for name, endpoint in fleet.endpoints.items():
        if 'engine' in name:
            ids += (await endpoint.show('generations'))['asked_ids']
        else:
            shown = await endpoint.show('executions')
            ids += [run['request_id'] for run in shown['executions']]
    return ids


async def control_all(fleet: Fleet, kind: str, **faults: Any) -> None:
    """Set faults of all endpoints of a kind."""
    chosen = [one for name, one in fleet.endpoints.items() if kind in name]
    await asyncio.gather(*(one.control(**faults) for one in chosen))


class TestRetryStorm:
    @pytest.fixture
    def plan(self) -> FleetPlan:
        return STORM_PLAN

    @pytest.mark.parametrize('kind', ['engine', 'service'])
    async def test_retries_stay_within_the_budget(
        self, fleet: Fleet, kind: str
    ) -> None:
        """All endpoints fail together, in spells and then for longer."""
        callers = Callers(fleet)
        if kind == 'engine':
            call: Callable[[str], Any] = callers.ask
            faults, healed = {'refuse': True}, {'refuse': False}
            allowed = 2 * BATCH_BURST_RETRIES
        else:
            call = callers.look_up
            faults, healed = {'fail_after_run': True}, {'fail_after_run': False}
            allowed = len(fleet.nodes) * BURST_RETRIES
            await control_all(fleet, kind, answer_delay_ms=100)
        tasks = [
            asyncio.create_task(callers.call_in_turn(call))
            for _ in range(CALLERS)
        ]
        for _ in range(SPELLS):
            await callers.until_more(CALLERS, served, 'served')
            if kind == 'engine':
                # Loses all that is in progress.
                await control_all(fleet, kind, restart=True)
            else:
                await control_all(fleet, kind, **faults)
                await callers.until_more(1, failed, 'failed')
                await control_all(fleet, kind, **healed)
        await control_all(fleet, kind, **faults)
        await callers.until_more(2 * CALLERS, failed, 'failing')
        links = [fleet.links[name] for name in fleet.endpoints]
        for link in links:
            await link.control(cut=True)
        await callers.until_more(2 * CALLERS, failed, 'refused connections')
        await control_all(fleet, kind, **healed)
        for link in links:
            await link.control(restore=True)
        await callers.until_more(5 * CALLERS, served, 'served again')
        for task in tasks:
            task.cancel()
        came = await tries(fleet)
        firsts = len(set(came))
        assert 0 < len(came) - firsts <= allowed + firsts * RETRY_PERCENT / 100


class TestCircuit:
    @pytest.fixture
    def plan(self) -> FleetPlan:
        return NORTH_PLAN

    async def test_failing_endpoint_gets_probes_only_until_it_heals(
        self, fleet: Fleet
    ) -> None:
        callers = Callers(fleet)
        failing = fleet.endpoints['north-service-0']
        await control_all(fleet, 'service', answer_delay_ms=20)
        await failing.control(fail_after_run=True)
        tasks = [
            asyncio.create_task(callers.call_in_turn(callers.look_up))
            for _ in range(3 * PLACES)
        ]
        # These may have been in progress when it opened.
        before = FAILURES_TO_OPEN - 1 + PLACES

        async def runs() -> list[Json]:
            shown: list[Json] = (await failing.show('executions'))['executions']
            return shown

        async def probed() -> bool:
            return len(await runs()) >= before + 3

        await poll_until(probed, 'three probes')
        seen = await runs()
        probes = [run['at'] for run in seen[before:]]
        for first, second in itertools.pairwise(probes):
            assert second - first >= INITIAL_BACKOFF_S
        await failing.control(fail_after_run=False)

        async def busy() -> bool:
            return len(await runs()) >= len(seen) + 10 * PLACES

        await poll_until(busy, 'work again')
        for task in tasks:
            task.cancel()
        assert not callers.count(failed)


class TestQueue:
    @pytest.fixture
    def plan(self) -> FleetPlan:
        return QUEUE_PLAN

    async def test_a_burst_does_not_hold_up_a_small_workspace(
        self, fleet: Fleet
    ) -> None:
        engine = fleet.endpoints['north-engine-0']
        callers = Callers(fleet)
        async with asyncio.TaskGroup() as group:

            def send(workspace: str, count: int, length: int = 2) -> None:
                for number in range(count):
                    name = f'{workspace}-{number}'
                    group.create_task(callers.ask(name, workspace, length))

            await engine.control(token_delay_ms=1000)
            send('other', 2, LONG)
            await until_running(fleet, 2)
            send('large', BURST)
            shed = BURST - QUEUE_LIMIT
            await callers.until(shed, failed, 'a full queue')
            send('small', SMALL)
            await callers.until(shed + SMALL, failed, 'the burst is shed')
            await engine.control(token_delay_ms=0)
        refused = {name for name, one in callers.answers.items() if failed(one)}
        assert all(callers.answers[name].refused for name in refused)
        began = (await engine.show('generations'))['request_ids']
        assert sorted(began) == sorted(callers.answers.keys() - refused)
        small = [name for name in began if name.startswith('small')]
        assert len(small) == SMALL
        after = began[began.index(small[-1]) :]
        # As many of the burst as of the others went before.
        assert len(after) >= QUEUE_LIMIT - 3 * SMALL

    async def test_limits_of_a_workspace_hold(self, fleet: Fleet) -> None:
        engine = fleet.endpoints['north-engine-0']
        callers = Callers(fleet)
        async with asyncio.TaskGroup() as group:
            await engine.control(token_delay_ms=1000)
            group.create_task(callers.ask('tight', 'tight', LONG))
            await until_running(fleet, 1)
            for number in range(9):
                name = f'tight-{number}'
                group.create_task(callers.ask(name, 'tight'))
            await callers.until(6, failed, 'refused')
            assert (await engine.show('peak'))['peak'] == 1
            group.create_task(callers.ask('small'))
            await until_running(fleet, 2)
            await engine.control(token_delay_ms=0)
        assert callers.count(failed) == callers.count(lambda a: a.refused) == 6
        kinds = {
            one.error['kind'] for one in callers.answers.values() if one.error
        }
        assert kinds == {'workspace_limit'}
        began = (await engine.show('generations'))['request_ids']
        done = [name for name, one in callers.answers.items() if served(one)]
        assert sorted(began) == sorted(done)

    async def test_refused_bookings_never_ran(self, fleet: Fleet) -> None:
        service = fleet.endpoints['north-service-0']
        callers = Callers(fleet)
        await service.control(delay_ms=500)
        async with asyncio.TaskGroup() as group:
            for number in range(2 * QUEUE_LIMIT):
                group.create_task(callers.book(f'booking-{number}'))
            await callers.until(QUEUE_LIMIT // 2, failed, 'a full queue')
            await service.control(delay_ms=0)
        refused = callers.count(lambda answer: answer.refused)
        assert refused == callers.count(failed)
        ran = [name for name in await tries(fleet) if 'booking' in name]
        done = [name for name, one in callers.answers.items() if served(one)]
        assert sorted(ran) == sorted(done)


async def until_running(fleet: Fleet, number: int) -> None:
    """Wait until so many generations are in progress."""
    engine = fleet.endpoints['north-engine-0']

    async def running() -> bool:
        return int((await engine.show('generations'))['running']) == number

    await poll_until(running, f'{number} in progress')
