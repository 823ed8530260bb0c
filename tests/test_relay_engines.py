"""Tests of how generations are placed, queued and moved between engines."""

import dataclasses
import itertools
from collections.abc import Mapping
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from mastichatch_core.generated.messages import Run, RunChanges, RunState
from mastichatch_core.relay import departure
from mastichatch_core.relay.engine_choice import (
    GROWTH_SHARE,
    MOVED_MEMORY_SHARE,
    NEW_MEMORY_SHARE,
    Candidate,
    PlacementRequest,
    estimate_output_tokens,
    measure_loads,
    expected_memory_tokens,
    rank_engines,
)
from mastichatch_core.relay.engine_queue import (
    FIRST_EVENT_MS,
    PREFILL_TOKENS_PER_MS,
    QueueOptions,
    max_queue_wait_s,
    assign_engines,
)
from mastichatch_core.relay.model import (
    Endpoint,
    EndpointState,
    Engine,
    RequestMetadata,
)
from mastichatch_core.relay.runs import FORMER_SILENCE_S, RunTable

# An engine of the specified load.
ENGINE = Engine(
    batch_limit=64,
    memory_tokens=34406,
    bytes_per_token=18432,
    link_bytes_per_ms=337500,
    can_move=True,
    can_back_up=True,
    tokens_per_event=4,
)
# Longest pause of a stream that callers allow.
MAX_PAUSE_S = 0.18
# Time between the notice of an engine's removal and the removal.
REMOVAL_NOTICE_S = 1.8


def endpoint(name: str, data_centre: str = 'north') -> Endpoint:
    return Endpoint(
        instance=name,
        service='llm',
        address='10.0.0.1:80',
        data_centre=data_centre,
        slots=64,
        state=EndpointState.ready,
    )


def run(name: str, **more: object) -> Run:
    fields: dict[str, Any] = {
        'prompt_tokens': 3000,
        'expected_tokens': 900,
        **more,
    }
    return Run(request_id=name, service='llm', **fields)


def requirements(tokens: int = 3000) -> PlacementRequest:
    return PlacementRequest(
        memory_tokens=tokens + GROWTH_SHARE * 900, part='', data_centre='north'
    )


class TestChoice:
    def test_least_loaded_engine_is_first(self) -> None:
        loads = measure_loads((run('a', endpoint='e', output_tokens=4),))
        found = rank_engines(
            (endpoint('e'), endpoint('f')), loads, ENGINE, requirements(), 1
        )
        assert [one.instance for one in found] == ['f', 'e']

    def test_local_engine_is_first_if_all_else_is_equal(self) -> None:
        engines = (endpoint('e', 'south'), endpoint('f'))
        found = rank_engines(engines, {}, ENGINE, requirements(), 1)
        assert found[0].instance == 'f'

    def test_full_engine_is_no_candidate(self) -> None:
        runs = [
            run(str(number), endpoint='e', output_tokens=400)
            for number in range(9)
        ]
        loads = measure_loads(runs)
        new = rank_engines(
            (endpoint('e'),), loads, ENGINE, requirements(), NEW_MEMORY_SHARE
        )
        moved = rank_engines(
            (endpoint('e'),),
            measure_loads(runs[:8]),
            ENGINE,
            requirements(),
            MOVED_MEMORY_SHARE,
        )
        assert not new
        assert moved

    def test_copies_count_on_the_engine_that_holds_them(self) -> None:
        loads = measure_loads((run('a', endpoint='e', copy_at='f'),))
        assert loads['f'].memory_tokens == loads['e'].memory_tokens

    def test_hint_changes_the_expected_output(self) -> None:
        metadata = RequestMetadata(
            request_id='a', timeout_ms=None, api_key='', output_limit=2184
        )
        hinted = dataclasses.replace(metadata, output_hint=8000)
        low, high = (
            estimate_output_tokens(metadata, 900),
            estimate_output_tokens(hinted, 900),
        )
        assert low == 900
        assert 900 < high < 2184


class TestQueue:
    def test_lowest_rank_is_first_and_then_the_oldest(self) -> None:
        waiting = [
            run('late', state=RunState.waiting, rank=0),
            run('low_rank', state=RunState.waiting, rank=2),
            run('early', state=RunState.waiting, rank=0),
        ]
        arrived = {'late': 3, 'low_rank': 1, 'early': 2}
        small = dataclasses.replace(ENGINE, memory_tokens=8000)
        found = assign_engines(
            waiting,
            (endpoint('e'),),
            small,
            lambda one: arrived[one.request_id],
            'north',
        )
        assert set(found) == {'early', 'late'}

    @given(
        sizes=st.lists(st.integers(100, 9000), min_size=1, max_size=30),
        busy=st.lists(st.integers(100, 9000), max_size=10),
        data=st.data(),
    )
    def test_all_nodes_agree_and_no_engine_exceeds_its_memory(
        self, sizes: list[int], busy: list[int], data: st.DataObject
    ) -> None:
        engines = (endpoint('e'), endpoint('f'))
        running = [
            run(f'r{number}', endpoint='ef'[number % 2], prompt_tokens=size)
            for number, size in enumerate(busy)
        ]
        waiting = [
            run(f'w{number}', state=RunState.waiting, prompt_tokens=size)
            for number, size in enumerate(sizes)
        ]
        runs = [*running, *waiting]
        shuffled = data.draw(st.permutations(runs))
        found, same = (
            assign_engines(view, engines, ENGINE, lambda one: 0, 'north')
            for view in (runs, shuffled)
        )
        assert found == same
        for name in 'ef':
            placed = [
                one
                for one in waiting
                if one.request_id in found
                and found[one.request_id].instance == name
            ]
            before = [one for one in running if one.endpoint == name]
            used = sum(map(expected_memory_tokens, [*before, *placed]))
            alone = len(placed) + len(before) <= 1
            limit = ENGINE.memory_tokens * NEW_MEMORY_SHARE
            assert not placed or alone or used <= limit + 1e-6


def simulate_moves(runs: list[Run], *, is_sequential: bool) -> dict[str, float]:
    """Simulate moves of runs on one link, and return their pauses in seconds.

    Runs that have not left the engine at the end of the notice are left out.
    """
    rate = ENGINE.link_bytes_per_ms * 1000 / ENGINE.bytes_per_token
    rate /= departure.REMOTE_TRANSFER_FACTOR
    link_free_at = 0.0
    left: dict[str, float] = {}
    pauses: dict[str, float] = {}
    if is_sequential:
        for one in sorted(
            runs,
            key=lambda each: len(departure.runs_leaving_before(each, runs)),
        ):
            link_free_at += (one.prompt_tokens + one.output_tokens) / rate
            link_free_at += 60 / rate
            left[one.request_id] = link_free_at
            pauses[one.request_id] = 60 / rate
    else:
        copied: list[tuple[float, str]] = []
        for one in runs:
            link_free_at += (one.prompt_tokens + one.output_tokens) / rate
            copied.append((link_free_at, one.request_id))
        for paused_at, name in copied:
            # The last part waits behind the first copies of all other runs.
            link_free_at += 60 / rate
            left[name] = link_free_at
            pauses[name] = link_free_at - paused_at
    return {
        name: pause
        for name, pause in pauses.items()
        if left[name] <= REMOVAL_NOTICE_S
    }


class TestDeparture:
    runs = [
        run(f'r{number}', endpoint='e', output_tokens=100 * number + 4)
        for number in range(6)
    ]

    def test_sequential_moves_pause_less_than_callers_allow(self) -> None:
        pauses = simulate_moves(self.runs, is_sequential=True)
        assert len(pauses) >= 4
        assert max(pauses.values()) < MAX_PAUSE_S

    def test_concurrent_moves_pause_longer_than_callers_allow(self) -> None:
        pauses = simulate_moves(self.runs[:4], is_sequential=False)
        assert max(pauses.values()) > MAX_PAUSE_S

    def test_order_is_total(self) -> None:
        ranks = [
            len(departure.runs_leaving_before(one, self.runs))
            for one in self.runs
        ]
        assert sorted(ranks) == list(range(len(self.runs)))

    def test_order_does_not_depend_on_the_output_so_far(self) -> None:
        later = [
            dataclasses.replace(one, output_tokens=one.output_tokens + 300)
            for one in self.runs
        ]
        for one, two in itertools.pairwise(self.runs):
            before = departure.runs_leaving_before(two, self.runs)
            after = departure.runs_leaving_before(
                next(x for x in later if x.request_id == two.request_id), later
            )
            assert (one in before) == (
                one.request_id in {x.request_id for x in after}
            )

    def test_run_near_its_end_or_in_prefill_delays_no_other(self) -> None:
        own = run('own', endpoint='e', output_tokens=8)
        done = run('done', endpoint='e', output_tokens=880)
        in_prefill = run('prefill', endpoint='e')
        elsewhere = run('far', endpoint='f', output_tokens=8)
        assert not departure.runs_leaving_before(
            own, (own, done, in_prefill, elsewhere)
        )

    def test_run_whose_memory_is_being_copied_leaves_first(self) -> None:
        first, *others = sorted(
            self.runs,
            key=lambda one: len(departure.runs_leaving_before(one, self.runs)),
        )
        last = dataclasses.replace(others[-1], copy_at='f')
        assert departure.runs_leaving_before(first, (first, last)) == (last,)
        assert not departure.runs_leaving_before(last, (last,))

    def test_moving_run_near_its_end_still_leaves_first(self) -> None:
        own = run('own', endpoint='e', output_tokens=8)
        ending = run('ending', endpoint='e', output_tokens=880, copy_at='f')
        assert departure.runs_leaving_before(own, (own, ending)) == (ending,)

    def test_wait_is_limited_if_a_node_has_failed(self) -> None:
        wait_s = departure.max_departure_wait_s(self.runs[:2], ENGINE)
        assert 0.5 < wait_s < REMOVAL_NOTICE_S


class TestOverload:
    """Tests with prompts of 3,000 tokens and an objective of 1.8 s."""

    def waiting(self, count: int, age_s: float) -> list[Run]:
        return [
            dataclasses.replace(
                run(f'w{age_s}-{number}'),
                state=RunState.waiting,
                objective_ms=1800,
                age_ms=age_s * 1000,
            )
            for number in range(count)
        ]

    def assign(self, runs: list[Run], names: str) -> Mapping[str, Candidate]:
        return assign_engines(
            runs,
            [endpoint(name) for name in names],
            ENGINE,
            lambda one: -one.age_ms / 1000,
            'north',
        )

    def test_new_engine_gets_only_requests_that_meet_the_objective(
        self,
    ) -> None:
        """Guards against overloading a new engine with waiting requests.

        A new engine once got 17,000 prompt tokens at once, and the requests
        waited for each other's prefill.
        """
        found = self.assign(self.waiting(8, 0.2), 'e')
        prefill_ms = len(found) * 3000 / PREFILL_TOKENS_PER_MS
        assert found
        assert 200 + prefill_ms + FIRST_EVENT_MS <= 1800

    def test_requests_within_the_objective_precede_late_ones(self) -> None:
        late, fresh = self.waiting(3, 1.7), self.waiting(2, 0.1)
        found = self.assign([*late, *fresh], 'e')
        order = list(found)
        assert order[:2] == [one.request_id for one in fresh]

    def test_late_request_waits_while_a_timely_one_has_no_room(self) -> None:
        full = [
            run(f'r{number}', endpoint='e', output_tokens=100)
            for number in range(9)
        ]
        late, fresh = self.waiting(1, 1.7), self.waiting(1, 0.1)
        small = [dataclasses.replace(late[0], prompt_tokens=10)]
        assert not self.assign([*full, *small, *fresh], 'e')

    def test_objective_that_no_engine_meets_makes_no_request_late(self) -> None:
        """The assumed prefill rate may not describe the engines or prompts."""
        waiting = [
            dataclasses.replace(one, objective_ms=400)
            for one in self.waiting(4, 0.3)
        ]
        assert len(self.assign(waiting, 'e')) == 4

    def test_wait_leaves_time_for_an_answer_or_a_retry(self) -> None:
        """Guards against a refusal after the caller has given up.

        It occurs if the longest wait exceeds the caller's timeout.
        """
        assert max_queue_wait_s(1.8, 39) == 3.6
        assert max_queue_wait_s(1.5, 1.6) < 0.8

    def test_request_skips_an_engine_that_refused_it(self) -> None:
        waiting = self.waiting(1, 0.1)
        name = waiting[0].request_id
        for refusing, left in (('e', 'f'), ('f', 'e')):
            found = assign_engines(
                waiting,
                [endpoint('e'), endpoint('f')],
                ENGINE,
                lambda one: 0,
                'north',
                0.1,
                QueueOptions(excluded={name: frozenset((refusing,))}),
            )
            assert found[name].instance == left

    def test_late_request_is_served_where_there_is_room(self) -> None:
        late = self.waiting(1, 1.7)
        assert list(self.assign(late, 'e')) == [late[0].request_id]


class TestDepartureGate:
    runs = TestDeparture.runs

    def test_opens_when_all_preceding_runs_have_left(self) -> None:
        gate = departure.DepartureGate()
        assert not gate.is_open(self.runs[:2], ENGINE, 0)
        assert not gate.is_open(self.runs[:1], ENGINE, 0.1)
        assert gate.is_open((), ENGINE, 0.2)

    def test_waits_while_preceding_runs_leave_in_sequence(self) -> None:
        """Guards against concurrent transfers on one link.

        Runs once started their transfers before the preceding runs, which
        left one by one, had gone.
        """
        gate = departure.DepartureGate()
        longest_s = departure.max_departure_wait_s(self.runs[:1], ENGINE)
        for left in range(len(self.runs)):
            now = left * longest_s * 0.9
            assert not gate.is_open(self.runs[left:], ENGINE, now)

    def test_opens_if_the_node_of_a_preceding_run_has_failed(self) -> None:
        gate = departure.DepartureGate()
        longest_s = departure.max_departure_wait_s(self.runs[:1], ENGINE)
        assert not gate.is_open(self.runs[:1], ENGINE, 0)
        assert gate.is_open(self.runs[:1], ENGINE, longest_s)


class TestRunTable:
    def test_names_the_nodes_with_runs_at_an_endpoint(self) -> None:
        table = RunTable()
        table.apply_changes(self.changes(1, run('r1', endpoint='e')), 'one', 0)
        assert table.nodes_with_runs_on('e') == {self.changes(1).node}
        assert not table.nodes_with_runs_on('f')

    def changes(
        self, sequence: int, *runs: Run, whole: bool = False
    ) -> RunChanges:
        return RunChanges(
            node='n', sequence=sequence, is_whole=whole, runs=runs
        )

    def test_late_message_changes_nothing(self) -> None:
        table = RunTable()
        ended = run('a', state=RunState.ended)
        table.apply_changes(self.changes(2, ended), 'x', 0)
        table.apply_changes(self.changes(1, run('a')), 'x', 0)
        assert not tuple(table.iter_runs(0))

    def test_full_list_repairs_a_lost_message(self) -> None:
        table = RunTable()
        table.apply_changes(self.changes(1, run('a'), run('b')), 'x', 0)
        table.apply_changes(self.changes(3, run('b'), whole=True), 'x', 1)
        assert [one.request_id for one in table.iter_runs(1)] == ['b']

    def test_runs_of_a_silent_node_expire(self) -> None:
        table = RunTable()
        table.apply_changes(self.changes(1, run('a')), 'x', 0)
        assert tuple(table.iter_runs(2.9))
        assert not tuple(table.iter_runs(3))

    def test_new_incarnation_starts_without_runs(self) -> None:
        table = RunTable()
        table.apply_changes(self.changes(9, run('a')), 'x', 0)
        table.apply_changes(self.changes(1, run('b')), 'y', 0)
        assert [one.request_id for one in table.iter_runs(0)] == ['b']

    def test_late_message_of_a_former_incarnation_changes_nothing(
        self,
    ) -> None:
        """Other nodes forward changes, so that a restart may overtake them."""
        table = RunTable()
        table.apply_changes(self.changes(8, run('a')), 'x', 0)
        table.apply_changes(self.changes(1, run('b')), 'y', 1)
        table.apply_changes(self.changes(9, run('a')), 'x', 1.5)
        table.apply_changes(self.changes(2, run('c')), 'y', 1.6)
        assert [one.request_id for one in table.iter_runs(2)] == ['b', 'c']

    def test_incarnation_that_sends_on_counts_again(self) -> None:
        """A node that has just started may hear of two in the wrong order."""
        table = RunTable()
        table.apply_changes(self.changes(5, run('b')), 'y', 0)
        table.apply_changes(self.changes(9, run('a')), 'x', 0)
        table.apply_changes(
            self.changes(6, run('b'), whole=True), 'y', FORMER_SILENCE_S
        )
        assert [
            one.request_id for one in table.iter_runs(FORMER_SILENCE_S)
        ] == ['b']

    def test_arrival_time_is_set_by_the_first_message(self) -> None:
        table = RunTable()
        first = run('a', state=RunState.waiting, age_ms=500)
        table.apply_changes(self.changes(1, first), 'x', 10)
        table.apply_changes(self.changes(2, run('a', age_ms=700)), 'x', 12)
        assert table.arrived_at(first) == 9.5
