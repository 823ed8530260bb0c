"""Tests of how the speed of engines is measured, and of its use."""

import asyncio
import dataclasses
import random
from collections.abc import Mapping, Sequence
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mastichatch_core.generated.messages import Run, RunChanges, RunState
from mastichatch_core.relay.engine_choice import (
    Candidate,
    measure_loads,
    placement_request,
    rank_engines,
)
from mastichatch_core.relay.engine_queue import QueueOptions, assign_engines
from mastichatch_core.relay.load_control import LoadControl
from mastichatch_core.relay.model import Endpoint, EndpointState, Engine
from mastichatch_core.relay.placement.costs import PlacementCosts
from mastichatch_core.relay.placement.speeds import (
    FIRST_EVENT_STEPS_MS,
    MIN_SAMPLES,
    READ_TOKENS_PER_MS,
    EngineSpeeds,
    SpeedClass,
    classify_speed,
)
from mastichatch_core.relay.runs import RunTable
from tests.relay_nodes import call, open_relay
from tests.standins.house_endpoints import (
    HouseEndpoint,
    ReceivedRequest,
    Script,
    stream,
)

ENGINE = Engine(
    batch_limit=24,
    memory_tokens=26914,
    bytes_per_token=18432,
    link_bytes_per_ms=337500,
    can_move=True,
    can_back_up=False,
    tokens_per_event=4,
)
SERVICE = 'llm'
NAMES = tuple(f'e{number:02}' for number in range(29))
ENGINES = tuple(
    Endpoint(
        instance=name,
        service=SERVICE,
        address='10.0.0.1:80',
        data_centre='north',
        slots=24,
        state=EndpointState.ready,
    )
    for name in NAMES
)
SHORT_OBJECTIVE_MS = 1509.0
LONG_OBJECTIVE_MS = 1813.0
TICK_S = 0.01


def placed(name: str, engine: str, tokens: int = 3000) -> Run:
    return Run(
        request_id=name, service=SERVICE, endpoint=engine, prompt_tokens=tokens
    )


def read_prompt(
    speeds: EngineSpeeds,
    engine: str,
    at: float,
    factor: float,
    tokens: int = 3000,
) -> float:
    """Let an engine read a prompt, and return the time afterwards."""
    run = placed(f'{engine}@{at}', engine, tokens)
    speeds.update(run, at)
    took_ms = factor * (tokens / READ_TOKENS_PER_MS + FIRST_EVENT_STEPS_MS)
    ended_at = at + took_ms / 1000
    speeds.update(dataclasses.replace(run, output_tokens=4), ended_at)
    return ended_at


def read_prompts(
    speeds: EngineSpeeds, factors: Mapping[str, float], rounds: int
) -> float:
    """Let engines read prompts one after another."""
    ends = dict.fromkeys(factors, 0.0)
    for _ in range(rounds):
        for engine, factor in factors.items():
            ends[engine] = read_prompt(speeds, engine, ends[engine], factor)
    return max(ends.values())


class TestMeasurement:
    def test_slow_third_is_told_from_the_others(self) -> None:
        speeds = EngineSpeeds()
        factors = {'a': 0.7, 'b': 0.7, 'c': 1.7, 'd': 0.7, 'e': 0.7, 'f': 1.7}
        now = read_prompts(speeds, factors, 4)
        found = speeds.speeds(SERVICE, now)
        slow = {name for name, speed in found.items() if speed < 1}
        assert slow == {'c', 'f'}
        assert found['c'] == pytest.approx(0.7 / 1.7, rel=0.12)

    def test_fast_third_is_told_from_the_others(self) -> None:
        speeds = EngineSpeeds()
        now = read_prompts(speeds, {'a': 0.7, 'b': 1.7, 'c': 1.7, 'd': 1.7}, 4)
        review = speeds.review(SERVICE, now)
        assert review.relative.keys() == {'a'}
        assert classify_speed(review.relative['a']) is SpeedClass.fast
        # The others are slower than specified.
        assert review.speeds['a'] == pytest.approx(1 / 0.7, rel=0.15)
        assert review.speeds['b'] == pytest.approx(1 / 1.7, rel=0.15)

    @given(
        factors=st.lists(st.floats(0.85, 1.18), min_size=1, max_size=12),
        common=st.floats(0.2, 5),
    )
    def test_alike_engines_are_nominal_however_loaded_they_are(
        self, factors: list[float], common: float
    ) -> None:
        speeds = EngineSpeeds()
        alike = {
            name: factor * common
            for name, factor in zip(NAMES, factors, strict=False)
        }
        now = read_prompts(speeds, alike, 5)
        assert not speeds.speeds(SERVICE, now)

    @given(order=st.permutations(range(4)))
    def test_order_in_which_prompts_are_read_makes_no_difference(
        self, order: list[int]
    ) -> None:
        """Engines may read prompts in chunks or by urgency, so in any order.

        Each engine has four prompts at once, and takes the same time for all.
        """
        speeds = EngineSpeeds()
        for repetition in range(MIN_SAMPLES):
            start = repetition * 4.0
            for engine, sequence in (('a', range(4)), ('b', order)):
                runs = [
                    placed(f'{engine}{repetition}-{number}', engine, 1500)
                    for number in range(4)
                ]
                for run in runs:
                    speeds.update(run, start)
                for position, number in enumerate(sequence):
                    read = dataclasses.replace(runs[number], output_tokens=4)
                    speeds.update(read, start + 0.25 * (position + 1))
            read_prompt(speeds, 'c', start, 1)
        assert not speeds.speeds(SERVICE, 10)

    def test_single_slow_answer_changes_nothing(self) -> None:
        speeds = EngineSpeeds()
        now = read_prompts(speeds, dict.fromkeys('abcd', 1.0), 4)
        now = read_prompt(speeds, 'a', now, 8)
        assert not speeds.speeds(SERVICE, now)

    def test_engine_without_news_becomes_nominal(self) -> None:
        speeds = EngineSpeeds()
        now = read_prompts(speeds, {'a': 1, 'b': 1, 'c': 1, 'd': 2.5}, 4)
        assert 'd' in speeds.speeds(SERVICE, now)
        assert not speeds.speeds(SERVICE, now + 20)

    def test_engine_that_recovers_gets_requests_within_three_seconds(
        self,
    ) -> None:
        speeds = EngineSpeeds()
        factors = {'a': 1.0, 'b': 1.0, 'c': 1.0, 'd': 2.5}
        now = read_prompts(speeds, factors, 6)
        assert 'd' in speeds.speeds(SERVICE, now)
        recovered_at = now
        while now < recovered_at + 3:
            for engine in 'abcd':
                read_prompt(speeds, engine, now, 1)
            now += 0.6
        assert not speeds.speeds(SERVICE, now)

    def test_new_start_of_an_engine_is_nominal(self) -> None:
        speeds = EngineSpeeds()
        now = read_prompts(speeds, {'a': 1, 'b': 1, 'c': 1, 'd': 2.5}, 4)
        speeds.update(placed('under way', 'd'), now)
        speeds.keep_only(('a', 'b', 'c', 'd-again'))
        assert not speeds.speeds(SERVICE, now)
        # Late news of the former start changes nothing.
        ended = Run(
            request_id='under way', service=SERVICE, state=RunState.ended
        )
        speeds.update(ended, now + 1)
        assert not speeds.speeds(SERVICE, now + 1)


class TestOverdue:
    def test_overdue_first_event_lowers_the_speed_until_it_comes(self) -> None:
        speeds = EngineSpeeds()
        for engine in 'abc':
            speeds.update(placed(engine, engine), 0)
        for engine in 'ab':
            read = dataclasses.replace(placed(engine, engine), output_tokens=4)
            speeds.update(read, 0.5)
        assert not speeds.speeds(SERVICE, 1)
        assert speeds.speeds(SERVICE, 2).keys() == {'c'}
        read = dataclasses.replace(placed('c', 'c'), output_tokens=4)
        speeds.update(read, 2)
        assert not speeds.speeds(SERVICE, 2)

    def test_node_that_hears_of_no_engine_blames_none(self) -> None:
        speeds = EngineSpeeds()
        for engine in 'abcdef':
            speeds.update(placed(engine, engine), 0)
        assert not speeds.speeds(SERVICE, 3)

    def test_runs_of_a_vanished_host_are_given_up(self) -> None:
        """The first event of such a run is never announced."""
        speeds = EngineSpeeds()
        now = read_prompts(speeds, dict.fromkeys('abcd', 1.0), 4)
        speeds.update(placed('of a vanished host', 'd'), now)
        read_prompt(speeds, 'd', now, 1)
        assert not speeds.speeds(SERVICE, now + 10)
        read_prompts(speeds, dict.fromkeys('abcd', 1.0), 4)
        assert not speeds.speeds(SERVICE, now + 10.5)

    def test_lost_first_event_does_not_count_as_slowness(self) -> None:
        """The next full list of runs tells of it, up to seconds later."""
        table, speeds = RunTable(), EngineSpeeds()
        table.attach(speeds)
        now = read_prompts(speeds, dict.fromkeys('abcd', 1.0), MIN_SAMPLES)
        for number in range(5):
            run = placed(f'r{number}', 'a')
            later = dataclasses.replace(run, output_tokens=40)
            changes = RunChanges(
                node='n', sequence=2 * number + 1, runs=(run,), interval_ms=3000
            )
            table.apply_changes(changes, 'x', now)
            now += 2
            whole = dataclasses.replace(
                changes,
                sequence=2 * number + 2,
                runs=(later,),
                is_whole=True,
            )
            table.apply_changes(whole, 'x', now)
        assert not speeds.speeds(SERVICE, now)


class TestFailures:
    """An engine that fails requests at once looks like the emptiest one."""

    def play(
        self, shares: Mapping[str, float], duration_s: float
    ) -> EngineSpeeds:
        draws = random.Random(3)  # noqa: S311
        speeds = EngineSpeeds()
        for tick in range(round(duration_s / 0.5)):
            for engine, share in shares.items():
                now = tick * 0.5
                if draws.random() >= share:
                    read_prompt(speeds, engine, now, 1)
                    continue
                run = placed(f'{engine}{tick}', engine)
                speeds.update(run, now)
                ended = dataclasses.replace(run, state=RunState.ended)
                speeds.update(ended, now + 0.02)
        return speeds

    def test_failing_engine_gets_less_and_more_again_in_three_seconds(
        self,
    ) -> None:
        speeds = self.play({**dict.fromkeys('abcdef', 0.0), 'g': 1}, 2)
        assert speeds.speeds(SERVICE, 2)['g'] < 0.3
        assert not speeds.speeds(SERVICE, 5)

    def test_callers_that_leave_all_engines_alike_lower_none(self) -> None:
        speeds = self.play(dict.fromkeys('abcdefgh', 1.0), 3)
        assert not speeds.speeds(SERVICE, 3)


class TestUse:
    def candidates(
        self, runs: Sequence[Run], costs: PlacementCosts
    ) -> tuple[Candidate, ...]:
        request = placement_request(
            placed('new', '', 2200), ENGINES[0].data_centre
        )
        return rank_engines(
            ENGINES[:2], measure_loads(runs), ENGINE, request, 1, costs
        )

    def test_work_on_a_slow_engine_costs_more(self) -> None:
        costs = PlacementCosts(speeds={NAMES[0]: 0.5})
        runs = (placed('a', NAMES[0]), placed('b', NAMES[1]))
        fast, slow = self.candidates(runs, costs)
        assert slow.instance == NAMES[0]
        assert slow.cost == 2 * fast.cost
        assert slow.delay_tokens == slow.cost + 2200

    def test_slow_engine_gets_what_would_wait_longer_elsewhere(self) -> None:
        costs = PlacementCosts(speeds={NAMES[0]: 0.5})
        busy = (placed('b', NAMES[1]),)
        assert self.candidates((), costs)[0].instance == NAMES[1]
        assert self.candidates(busy, costs)[0].instance == NAMES[0]

    def test_short_request_waits_rather_than_be_late_on_a_slow_engine(
        self,
    ) -> None:
        short = waiting('s', 2200, SHORT_OBJECTIVE_MS)
        found = [
            assign_engines(
                (short,),
                ENGINES[:1],
                ENGINE,
                lambda _: 0,
                'north',
                0,
                QueueOptions(costs=PlacementCosts(speeds={NAMES[0]: speed})),
            )
            for speed in (0.5, 0.2)
        ]
        assert [bool(one) for one in found] == [True, False]

    def test_idle_slow_engine_gets_late_requests_before_busy_ones(self) -> None:
        late = dataclasses.replace(
            waiting('l', 2200, SHORT_OBJECTIVE_MS), age_ms=5000
        )
        busy = [placed(f'b{number}', NAMES[1], 2000) for number in range(2)]
        found = assign_engines(
            (late, *busy),
            ENGINES[:2],
            ENGINE,
            lambda _: -5,
            'north',
            0,
            QueueOptions(costs=PlacementCosts(speeds={NAMES[0]: 0.2})),
        )
        assert found['l'].instance == NAMES[0]

    @given(
        sizes=st.lists(st.integers(100, 9000), max_size=12),
        busy=st.lists(st.integers(100, 9000), max_size=12),
        ages=st.lists(st.floats(0, 3), min_size=12, max_size=12),
    )
    def test_nominal_engines_are_chosen_as_without_measurements(
        self, sizes: list[int], busy: list[int], ages: list[float]
    ) -> None:
        runs = [
            placed(f'r{number}', NAMES[number % 3], size)
            for number, size in enumerate(busy)
        ]
        age_of = dict(zip((f'w{one}' for one in range(12)), ages, strict=True))
        runs += [
            waiting(f'w{number}', size, SHORT_OBJECTIVE_MS)
            for number, size in enumerate(sizes)
        ]
        nominal = PlacementCosts(speeds=dict.fromkeys(NAMES[:3], 1.0))
        with_costs, without = (
            assign_engines(
                runs,
                ENGINES[:3],
                ENGINE,
                lambda one: -age_of[one.request_id],
                'north',
                0,
                options,
            )
            for options in (QueueOptions(costs=nominal), None)
        )
        assert with_costs == without


def waiting(name: str, tokens: int, objective_ms: float) -> Run:
    return Run(
        request_id=name,
        service=SERVICE,
        state=RunState.waiting,
        prompt_tokens=tokens,
        objective_ms=objective_ms,
    )


@dataclasses.dataclass
class Played:
    """A request, as far as it has come."""

    run: Run
    arrived_at: float
    outputs: int
    left: float
    engine: str = ''


class Fleet:
    """Engines that read prompts one after another, and generate for all."""

    def __init__(
        self, factors: Sequence[float], seed: int, load: float = 1
    ) -> None:
        self._factors = dict(zip(NAMES, factors, strict=True))
        self._load = load
        self._random = random.Random(seed)  # noqa: S311
        self._requests: dict[str, Played] = {}
        self._hindered: set[str] = set()
        self._speeds = EngineSpeeds()
        self.first_event_s: dict[str, float] = {}

    def play(self, duration_s: float, *, is_measured: bool) -> None:
        for tick in range(int(duration_s / TICK_S)):
            now = tick * TICK_S
            if tick % int(0.6 / TICK_S) == 0:
                self._hindered = {
                    name for name in NAMES if self._random.random() < 0.15
                }
            self._add_arrivals(now)
            self._assign(now, is_measured=is_measured)
            self._advance(now + TICK_S)

    def late_share(self) -> float:
        times = [
            after
            for name, after in self.first_event_s.items()
            if name.startswith('short')
        ]
        return sum(one > SHORT_OBJECTIVE_MS / 1000 for one in times) / len(
            times
        )

    def _add_arrivals(self, now: float) -> None:
        for kind, rate, tokens, objective_ms, rank, outputs in (
            ('short', 15.5, 2550, SHORT_OBJECTIVE_MS, 0, 3),
            ('long', 13.9, 3079, LONG_OBJECTIVE_MS, 1, 186),
        ):
            if self._random.random() < self._load * rate * TICK_S:
                name = f'{kind}{now}'
                run = dataclasses.replace(
                    waiting(name, tokens, objective_ms),
                    rank=rank,
                    expected_tokens=4 * outputs,
                )
                self._requests[name] = Played(run, now, outputs, tokens)

    def _assign(self, now: float, *, is_measured: bool) -> None:
        runs = [one.run for one in self._requests.values()]
        if all(run.state is not RunState.waiting for run in runs):
            return
        costs = PlacementCosts(
            speeds=self._speeds.speeds(SERVICE, now) if is_measured else {}
        )
        found = assign_engines(
            runs,
            ENGINES,
            ENGINE,
            lambda run: self._requests[run.request_id].arrived_at,
            'north',
            now,
            QueueOptions(costs=costs),
        )
        for name, candidate in found.items():
            self._update(
                name, now, state=RunState.running, endpoint=candidate.instance
            )

    def _update(self, name: str, now: float, **changes: Any) -> None:
        request = self._requests[name]
        request.run = dataclasses.replace(request.run, **changes)
        self._speeds.update(request.run, now)

    def _advance(self, now: float) -> None:
        reading: set[str] = set()
        for name, request in tuple(self._requests.items()):
            run = request.run
            if run.state is RunState.waiting:
                continue
            is_first = run.endpoint not in reading
            factor = self._factors[run.endpoint]
            if run.endpoint in self._hindered:
                factor *= 2.5
            if run.output_tokens:
                request.left -= TICK_S * 1000 / (45 * factor)
                if request.left <= 0:
                    self._update(name, now, state=RunState.ended)
                    self._requests.pop(name)
            elif is_first:
                reading.add(run.endpoint)
                request.left -= TICK_S * 1000 * READ_TOKENS_PER_MS / factor
                if request.left <= 0:
                    request.left = request.outputs
                    self.first_event_s[name] = now - request.arrived_at
                    self._update(name, now, output_tokens=4)


@pytest.mark.parametrize('factors', [(0.7, 0.7, 1.7), (1.7, 1.7, 0.7)])
def test_fewer_short_requests_are_late_on_uneven_engines(
    factors: tuple[float, ...],
) -> None:
    late = {False: 0.0, True: 0.0}
    for seed in range(2):
        for is_measured in late:
            fleet = Fleet((factors * len(NAMES))[: len(NAMES)], seed, load=2)
            fleet.play(20, is_measured=is_measured)
            late[is_measured] += fleet.late_share()
    assert late[False]
    assert late[True] <= 0.7 * late[False]


def _stream_after(delay_s: float) -> Script:
    """Return a script that streams after the time to read a prompt."""
    answer = stream(2)

    async def write(
        endpoint: HouseEndpoint,
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> None:
        await asyncio.sleep(delay_s)
        await answer(endpoint, request, writer)

    return write


@pytest.mark.parametrize('is_on', [False, True])
async def test_node_leaves_slow_engine_for_others(*, is_on: bool) -> None:
    engines = [HouseEndpoint(f'e{n}', _stream_after(0.1)) for n in range(3)]
    slow = HouseEndpoint('e0-slow', _stream_after(0.5))
    setting = LoadControl.on if is_on else LoadControl.off
    async with open_relay((), (*engines, slow), engine_speeds=setting) as relay:

        async def call_at_once(count: int, wave: str) -> None:
            calls = [
                relay.call(
                    '/plan/x',
                    request_id=f'{wave}-{number}',
                    headers=('Mastichatch-Token-Counts: 500,8',),
                )
                for number in range(count)
            ]
            answers = await asyncio.gather(*calls)
            assert [one.status for one in answers] == [200] * count

        for number in range(4):
            await call_at_once(4, f'first{number}')
        before = len(slow.ran)
        await call_at_once(3, 'then')
        metrics = await call(
            relay.settings.metrics_address, '/metrics', method='GET'
        )
    assert before >= MIN_SAMPLES
    is_used = len(slow.ran) > before
    assert is_used is not is_on
    name = b'mastichatch_relay_engine_speed{engine="slowest"}'
    assert (name in metrics.body) is is_on
