"""Tests of refusals by forecast, on a replayed load in virtual time."""

import asyncio
import dataclasses
import math
from typing import Any, Final

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mastichatch_core.generated.messages import Run, RunChanges, RunState
from mastichatch_core.relay.admission.forecast import (
    HORIZON_S,
    Forecast,
    forecast_waits,
    measure_supply,
    return_delay_s,
)
from mastichatch_core.relay.admission.room import RoomTracker
from mastichatch_core.relay.engine_queue import QueueOptions, plan_queue
from mastichatch_core.relay.load_control import LoadControl
from mastichatch_core.relay.model import Endpoint, EndpointState
from mastichatch_core.relay.runs import MAX_MISSED_INTERVALS, RunTable
from tests.load_replay import ENGINE, LONG, SHORT, TICK_S, Kind, Load, Replay
from tests.relay_nodes import open_relay, until
from tests.standins import house_endpoints as endpoints
from tests.standins.house_endpoints import HouseEndpoint

ENDPOINT: Final = Endpoint(
    instance='e0',
    service='llm',
    address='',
    data_centre='north',
    slots=24,
    state=EndpointState.ready,
)


def new_run(name: str, kind: Kind, **more: Any) -> Run:
    return Run(
        **{
            'request_id': name,
            'service': 'llm',
            'state': RunState.waiting,
            'rank': kind.rank,
            'prompt_tokens': kind.prompt_tokens,
            'expected_tokens': kind.output_tokens,
            'objective_ms': kind.objective_s * 1000,
            **more,
        }
    )


def running(count: int, output_tokens: int) -> list[Run]:
    """Return long runs on the engine; seven of them fill it."""
    return [
        new_run(
            f'r{number}',
            LONG,
            state=RunState.running,
            endpoint='e0',
            output_tokens=output_tokens,
        )
        for number in range(count)
    ]


def waiting(count: int, kind: Kind) -> list[Run]:
    return [new_run(f'{kind.name}{number:02}', kind) for number in range(count)]


def forecast(runs: list[Run]) -> dict[str, Forecast]:
    """Return the forecasts for all waiting runs, on one engine."""
    room = RoomTracker()
    for run in runs:
        room.update(run, 0)
    plan = plan_queue(runs, [ENDPOINT], ENGINE, lambda run: 0, 'north')
    supply = measure_supply([ENDPOINT], ENGINE, plan, room, 0)
    wanted = {run.request_id for run in runs}
    return dict(forecast_waits(plan, supply, lambda run: 0, 0, wanted))


class TestForecast:
    def test_full_engine_whose_runs_have_just_begun_has_no_room(self) -> None:
        found = forecast([*running(7, 8), *waiting(1, SHORT)])
        assert found['short00'].wait_s > SHORT.objective_s * 2

    def test_room_is_expected_when_a_run_ends(self) -> None:
        found = forecast([*running(7, 728), *waiting(1, SHORT)])
        assert found['short00'].wait_s < SHORT.objective_s / 2
        assert not found['short00'].is_late

    def test_each_request_waits_for_those_ahead(self) -> None:
        found = forecast([*running(7, 700), *waiting(8, LONG)])
        waits = [found[f'long{number:02}'].wait_s for number in range(8)]
        assert waits == sorted(waits)
        assert waits[0] < waits[-1]

    @given(st.integers(1, 40), st.integers(8, 740))
    def test_less_urgent_requests_do_not_delay_more_urgent_ones(
        self, less_urgent: int, output_tokens: int
    ) -> None:
        urgent = [*running(7, output_tokens), *waiting(4, SHORT)]
        alone = forecast(urgent)
        together = forecast([*urgent, *waiting(less_urgent, LONG)])
        assert {name: together[name].wait_s for name in alone} == {
            name: one.wait_s for name, one in alone.items()
        }

    def test_refused_requests_return_in_the_order_of_the_queue(self) -> None:
        found = forecast([*running(7, 300), *waiting(8, SHORT)])
        returns = [
            return_delay_s(found[f'short{number:02}'], 300, 0)
            for number in range(8)
        ]
        assert returns == sorted(returns)

    @given(st.floats(0, 1), st.floats(1, 30), st.floats(0.1, 30))
    def test_callers_with_less_time_return_first_and_within_a_third(
        self, chance: float, left_s: float, more_s: float
    ) -> None:
        hopeless = Forecast(
            wait_s=math.inf, return_s=math.inf, ahead=0, is_late=True
        )
        first_s = return_delay_s(hopeless, left_s, chance)
        assert first_s <= left_s / 3
        assert first_s < return_delay_s(hopeless, left_s + more_s, chance)


class TestShortQueues:
    """Guards against urgent requests that wait behind long prompts.

    Less urgent requests have time enough to be placed behind several prompts
    of one engine. Urgent ones then found no engine that met their objective.
    """

    def place(self, runs: list[Run], first_rank: int | None = 0) -> set[str]:
        plan = plan_queue(
            runs,
            [ENDPOINT],
            ENGINE,
            lambda run: 0,
            'north',
            0,
            QueueOptions(first_rank=first_rank),
        )
        return set(plan.found)

    def test_less_urgent_ones_wait_for_the_prompt_before_them(self) -> None:
        assert self.place(waiting(3, LONG)) == {'long00'}
        assert len(self.place(waiting(3, LONG), first_rank=None)) == 3

    def test_next_one_is_placed_once_the_prompt_is_prefilled(self) -> None:
        pending, done = running(1, 0), running(1, 4)
        assert not self.place([*pending, *waiting(1, LONG)])
        assert self.place([*done, *waiting(1, LONG)]) == {'long00'}

    def test_urgent_ones_do_not_wait(self) -> None:
        found = self.place([*running(1, 0), *waiting(1, SHORT)])
        assert found == {'short00'}


class TestRoom:
    @given(
        st.lists(
            st.tuples(
                st.integers(0, 9),
                st.sampled_from(list(RunState)),
                st.integers(0, 900),
            ),
            max_size=60,
        )
    )
    def test_sums_agree_with_those_of_the_last_states(
        self, changes: list[tuple[int, RunState, int]]
    ) -> None:
        room, table = RoomTracker(), RunTable()
        table.attach(room)
        last: dict[str, tuple[Run, float]] = {}
        for number, (name, state, tokens) in enumerate(changes):
            run = new_run(
                f'r{name}',
                LONG,
                state=state,
                endpoint='' if state is RunState.waiting else 'e0',
                output_tokens=tokens,
            )
            table.update_own(run, number / 10)
            last[run.request_id] = (run, number / 10)
        rebuilt = RoomTracker()
        for run, at in last.values():
            rebuilt.update(run, at)
        assert room.released('llm', 6, HORIZON_S) == pytest.approx(
            rebuilt.released('llm', 6, HORIZON_S), abs=len(changes) + 1
        )

    def test_runs_of_a_lost_list_release_nothing(self) -> None:
        """Guards against forecasts that rest on runs of a failed node."""
        room, table = RoomTracker(), RunTable()
        table.attach(room)
        message = RunChanges(
            node='n', sequence=1, runs=tuple(running(6, 700)), is_whole=True
        )
        table.apply_changes(message, 'first', 0)
        assert room.released('llm', 0, HORIZON_S)[-1] > 0
        shorter = dataclasses.replace(
            message, sequence=2, runs=tuple(running(2, 700))
        )
        table.apply_changes(shorter, 'first', 0.5)
        two = room.released('llm', 0.5, HORIZON_S)[-1]
        assert 0 < two < ENGINE.memory_tokens / 2
        list(table.iter_runs(1 + MAX_MISSED_INTERVALS))
        assert not any(room.released('llm', 1, HORIZON_S))


class TestReplay:
    """Bursts of 2.3 times the load, in which engines may go."""

    def test_burst_of_long_requests_makes_no_short_one_late(self) -> None:
        late = {False: 0, True: 0}
        for keeps_queues_short in (False, True):
            for seed in range(1, 5):
                replay = Replay(
                    Load(seed=seed),
                    is_forecast=True,
                    keeps_queues_short=keeps_queues_short,
                ).play()
                late[keeps_queues_short] += sum(
                    not one.is_on_time for one in replay.of_kind(SHORT)
                )
        assert late[True] < late[False] / 2

    @pytest.mark.parametrize('seed', [1, 2, 3])
    def test_nothing_is_refused_without_a_burst(self, seed: int) -> None:
        load = Load(seed=seed, burst=0.8, burst_s=(0, 30))
        replay = Replay(load, is_forecast=True).play()
        assert all(one.is_on_time for one in replay.callers)
        assert not any(one.refused_after for one in replay.callers)

    def test_burst_costs_less_waiting_in_vain_and_few_answers(self) -> None:
        on_time = {False: 0, True: 0}
        vain_s = {False: 0.0, True: 0.0}
        for is_forecast in (False, True):
            for seed in range(1, 5):
                replay = Replay(Load(seed=seed), is_forecast=is_forecast).play()
                on_time[is_forecast] += sum(
                    one.is_on_time for one in replay.callers
                )
                vain_s[is_forecast] += sum(
                    sum(one.refused_after) for one in replay.callers
                )
        assert on_time[True] >= on_time[False] * 0.99
        assert vain_s[True] < vain_s[False] / 2

    def test_engines_that_go_leave_no_request_without_an_answer(self) -> None:
        """Requests wait for room that is lost while they wait."""

        def check(replay: Replay, found: dict[str, Forecast]) -> None:
            for name, caller in replay.waiting.items():
                assert name in found
                limit_s = 2 * caller.kind.objective_s + TICK_S
                assert replay.now - caller.attempt_at <= limit_s

        load = Load(leaves={'e1': 11, 'e2': 12, 'e3': 13})
        replay = Replay(load, is_forecast=True, observe=check).play()
        twice = [one for one in replay.callers if len(one.refused_after) > 1]
        assert all(one.is_served or one in twice for one in replay.callers)


class TestNode:
    async def test_hopeless_request_is_refused_before_it_has_waited(
        self,
    ) -> None:
        engine = HouseEndpoint('e-1', endpoints.stream(400, 0.05))
        headers = (
            'Mastichatch-Model: m',
            'Mastichatch-Token-Counts: 9000,9000',
        )
        async with open_relay(
            (), (engine,), admission_forecast=LoadControl.on
        ) as relay:
            work = asyncio.ensure_future(
                relay.call('/plan/x', headers=headers, timeout_ms=4800)
            )
            await until(lambda: bool(engine.received))
            refused = await relay.call(
                '/plan/x', headers=headers, request_id='r2', timeout_ms=3000
            )
            assert refused.status == 503
            assert float(refused.headers['retry-after']) <= 1
            assert [one.request_id for one in engine.received] == ['r1']
            work.cancel()
