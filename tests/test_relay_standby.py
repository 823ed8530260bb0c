"""Tests of copies of runs that are made before their engine is removed."""

import asyncio
import contextlib
import dataclasses
import itertools
from collections.abc import AsyncIterator, Sequence
from typing import Any

from mastichatch_core.generated.messages import Run, RunState
from mastichatch_core.relay import departure, standby_copies
from mastichatch_core.relay.destination import choose_destination
from mastichatch_core.relay.engine_choice import Candidate
from mastichatch_core.relay.model import Endpoint, EndpointState, Engine
from mastichatch_core.relay.standby_copies import (
    StandbyChoice,
    choose_standby,
    is_crowded,
)
from tests.relay_nodes import (
    RelayFixture,
    Response,
    configuration,
    open_relay,
    until,
)
from tests.standins import house_endpoints as endpoints
from tests.standins.house_endpoints import HouseEndpoint

# An engine of the users' sheets.
ENGINE = Engine(
    batch_limit=64,
    memory_tokens=34406,
    bytes_per_token=163840,
    link_bytes_per_ms=3_000_000,
    can_move=True,
    can_back_up=True,
    tokens_per_event=4,
    copy_lifetime_s=5,
)
# Time between the notice of an engine's removal and the removal, and the time
# that nodes need to learn of it.
REMOVAL_NOTICE_S = 1.5
LEARNING_S = 0.3


def endpoint(name: str, data_centre: str) -> Endpoint:
    return Endpoint(
        instance=name,
        service='llm',
        address='10.0.0.1:80',
        data_centre=data_centre,
        slots=64,
        state=EndpointState.ready,
    )


# Five engines in three data centres.
ENGINES = (
    endpoint('e1', 'north'),
    endpoint('e2', 'north'),
    endpoint('e3', 'south'),
    endpoint('e4', 'south'),
    endpoint('e5', 'west'),
)


def run(name: str, engine: str, **more: Any) -> Run:
    fields: dict[str, Any] = {
        'prompt_tokens': 3000,
        'expected_tokens': 900,
        'output_tokens': 100,
        **more,
    }
    return Run(request_id=name, service='llm', endpoint=engine, **fields)


def crowd(engine: str, count: int) -> list[Run]:
    """Return runs on one engine with descending remaining output."""
    return [
        run(f'{engine}-{number}', engine, output_tokens=100 + 10 * number)
        for number in range(count)
    ]


def choose_all(runs: Sequence[Run]) -> tuple[Run, ...]:
    """Return the runs after each standby copy that is wanted was made."""
    current = list(runs)
    ids = {one.request_id for one in runs}
    while (choice := choose_standby(ids, current, ENGINES, ENGINE)) is not None:
        current = [
            dataclasses.replace(one, copy_at=choice.instance, has_standby=True)
            if one.request_id == choice.request_id
            else one
            for one in current
        ]
    return tuple(current)


def count_saved(runs: Sequence[Run], engine: str) -> int:
    """Return how many runs leave an engine within the notice.

    One after the other; a run with a standby copy transfers only new output.
    """
    left_s = REMOVAL_NOTICE_S - LEARNING_S
    saved = 0
    present = [one for one in runs if one.endpoint == engine]
    for one in sorted(
        present,
        key=lambda each: len(departure.runs_leaving_before(each, present)),
    ):
        left_s -= departure.LAST_TRANSFER_S
        if not one.has_standby:
            left_s -= departure.transfer_s(one, ENGINE, is_remote=True)
        saved += left_s >= 0
    return saved


class TestDepartureOfACrowdedEngine:
    """The load pattern: more runs than can leave between notice and removal."""

    def test_more_runs_are_saved_than_without_standby_copies(self) -> None:
        runs = crowd('e5', 6)
        assert count_saved(runs, 'e5') <= 3
        assert count_saved(choose_all(runs), 'e5') == 6

    def test_runs_that_can_leave_in_time_get_no_copy(self) -> None:
        runs = crowd('e5', 2)
        assert choose_all(runs) == tuple(runs)

    def test_copies_leave_room_for_new_requests(self) -> None:
        runs = [
            one
            for name in ('e1', 'e2', 'e3', 'e4', 'e5')
            for one in crowd(name, 7)
        ]
        assert choose_all(runs) == tuple(runs)

    def test_copies_spread_over_the_emptiest_engines(self) -> None:
        after = choose_all(crowd('e5', 6))
        places = [one.copy_at for one in after if one.copy_at]
        assert 'e5' not in places
        assert max(map(places.count, places)) == 1


class TestChoice:
    def test_longest_remaining_run_is_copied_first(self) -> None:
        runs = crowd('e5', 6)
        choice = choose_standby({'e5-0', 'e5-4'}, runs, ENGINES, ENGINE)
        assert choice is not None
        assert choice.request_id == 'e5-0'

    def test_only_own_runs_are_copied(self) -> None:
        assert choose_standby((), crowd('e5', 6), ENGINES, ENGINE) is None

    def test_transfer_in_progress_is_not_delayed(self) -> None:
        moving = run('moving', 'e1', copy_at='e2')
        runs = [*crowd('e5', 6), moving]
        ids = {one.request_id for one in runs}
        assert choose_standby(ids, runs, ENGINES, ENGINE) is None

    def test_engine_that_is_being_removed_is_not_delayed(self) -> None:
        runs = [*crowd('e5', 6), run('leaving', 'removed')]
        ids = {one.request_id for one in runs}
        assert choose_standby(ids, runs, ENGINES, ENGINE) is None

    def test_large_fleet_copies_beside_the_transfers_of_other_engines(
        self,
    ) -> None:
        """There, some engine is being removed most of the time."""
        engines = [endpoint(f'f{number}', 'north') for number in range(7)]
        moving = run('moving', 'removed', copy_at='f0')
        runs = [*crowd('f5', 12), *crowd('f0', 12), moving]
        ids = {one.request_id for one in runs}
        choice = choose_standby(ids, runs, engines, ENGINE)
        assert choice is not None
        assert choice.request_id.startswith('f5')
        assert choice.instance not in {'f0', 'f5'}

    def test_run_near_its_end_or_in_prefill_is_not_copied(self) -> None:
        ending = [run(f'a{n}', 'e5', output_tokens=800) for n in range(6)]
        starting = [run(f'b{n}', 'e5', output_tokens=0) for n in range(6)]
        for runs in (ending, starting):
            ids = {one.request_id for one in runs}
            assert choose_standby(ids, runs, ENGINES, ENGINE) is None

    def test_waiting_requests_are_not_copied(self) -> None:
        runs = [
            dataclasses.replace(one, state=RunState.waiting, endpoint='')
            for one in crowd('e5', 6)
        ]
        ids = {one.request_id for one in runs}
        assert choose_standby(ids, runs, ENGINES, ENGINE) is None

    def test_engine_is_crowded_by_runs_and_copies(self) -> None:
        assert not is_crowded('e1', crowd('e1', 6), ENGINE)
        assert is_crowded('e1', crowd('e1', 7), ENGINE)
        copies = [
            dataclasses.replace(one, copy_at='e1', has_standby=True)
            for one in crowd('e5', 7)
        ]
        assert is_crowded('e1', copies, ENGINE)

    def test_copy_is_made_only_where_it_is_not_dropped_again(self) -> None:
        assert (
            standby_copies.MAX_MEMORY_SHARE < standby_copies.DROP_MEMORY_SHARE
        )


class TestOrder:
    runs = (
        run('a', 'e5'),
        run('b', 'e5', copy_at='e1', has_standby=True),
        run('c', 'e5', copy_at='e2', has_standby=True),
        run('d', 'e5', copy_at='e3'),
    )

    def test_copied_run_leaves_first_and_then_those_with_standby(self) -> None:
        ranks = {
            one.request_id: len(departure.runs_leaving_before(one, self.runs))
            for one in self.runs
        }
        assert ranks['d'] == 0
        assert {ranks['b'], ranks['c']} == {1, 2}
        assert ranks['a'] == 3

    def test_runs_with_standby_do_not_wait_for_each_other(self) -> None:
        for one, two in itertools.permutations(self.runs[1:3], 2):
            before = departure.runs_leaving_before(one, (one, two))
            after = departure.runs_leaving_before(two, (one, two))
            assert (two in before) != (one in after)

    def test_standby_copy_is_no_transfer_to_its_engine(self) -> None:
        candidates = [
            Candidate(instance=name, cost=0, memory_share=share)
            for name, share in (('e1', 0.1), ('e3', 0.9))
        ]
        known = {one.instance: one for one in ENGINES}
        chosen = choose_destination(
            candidates, known, self.runs[:2], self.runs[0], 'north'
        )
        assert chosen == 'e1'


def document(bytes_per_token: float, copy_lifetime_s: float) -> dict[str, Any]:
    """Return a configuration in which a run takes long to transfer."""
    found = configuration()
    engine = found['services'][1]['engine']
    engine |= {'kv_bytes': bytes_per_token, 'handle_s': copy_lifetime_s}
    return found


# At 1 Gbit/s, a run of 100 tokens takes two seconds to transfer.
SLOW_BYTES_PER_TOKEN = 2.5e6
TOKENS = ('Mastichatch-Model: m', 'Mastichatch-Token-Counts: 100,2000')


@contextlib.asynccontextmanager
async def open_plan(
    first: HouseEndpoint, second: HouseEndpoint, copy_lifetime_s: float = 0.8
) -> AsyncIterator[tuple[RelayFixture, 'asyncio.Task[Response]']]:
    """Run a plan on the first engine, and add the second one then."""
    async with open_relay(
        (), (first, second), document(SLOW_BYTES_PER_TOKEN, copy_lifetime_s)
    ) as relay:
        await relay.store.remove(f'servers/{second.instance}')
        await until(lambda: len(relay.node.belief.endpoints(0)) == 1)
        work = asyncio.ensure_future(
            relay.call('/plan/x', headers=TOKENS, timeout_ms=5000)
        )
        await until(lambda: bool(first.ran))
        await relay.store.put(
            f'servers/{second.instance}', second.entry('llm', 'south')
        )
        yield relay, work


def engine(name: str, script: endpoints.Script) -> HouseEndpoint:
    return HouseEndpoint(instance=name, script=script)


def event_ids(answer: Response) -> list[int]:
    lines = answer.body.decode().splitlines()
    return [int(line[4:]) for line in lines if line.startswith('id: ')]


class TestNode:
    async def test_run_goes_on_from_its_standby_copy_after_a_crash(
        self,
    ) -> None:
        script = endpoints.stream(80, 0.03, break_after=60, crashes=True)
        first = engine('i-e', script)
        second = engine('i-f', endpoints.stream(80, 0.005))
        async with open_plan(first, second) as (_relay, work):
            answer = await work
        assert answer.is_whole
        assert event_ids(answer) == list(range(1, 81))
        assert first.moves
        assert not any(move['final'] for move in first.moves)
        resumed = second.received[0].headers
        assert resumed['kv-from'] == f'{first.address}/h-r1'
        assert resumed['last-event-id'] == '59'

    async def test_engine_that_lives_on_is_stopped_before_its_run_goes_on(
        self,
    ) -> None:
        first = engine('i-e', endpoints.stream(80, 0.03, break_after=60))
        second = engine('i-f', endpoints.stream(80, 0.005))
        async with open_plan(first, second) as (_relay, work):
            answer = await work
        assert answer.is_whole
        assert event_ids(answer) == list(range(1, 81))
        assert [move['final'] for move in first.moves].count(True) == 1
        assert [move['target'] for move in first.moves][-1] == second.address
        resumed = second.received[0].headers
        assert resumed['kv-from'] == f'{first.address}/h-r1'
        assert resumed['last-event-id'] == '59'

    async def test_departure_transfers_to_the_standby_engine(self) -> None:
        first = engine('i-e', endpoints.stream(200, 0.02))
        second = engine('i-f', endpoints.stream(200, 0.002))
        async with open_plan(first, second) as (relay, work):
            await until(lambda: bool(first.moves))
            await asyncio.sleep(0.3)
            await relay.store.put(
                'servers/i-e', first.entry('llm', 'north', 'draining')
            )
            answer = await work
        assert answer.is_whole
        assert event_ids(answer) == list(range(1, 201))
        assert {move['target'] for move in first.moves} == {second.address}
        assert [move['final'] for move in first.moves].count(True) == 1

    async def test_copy_is_refreshed_before_its_engine_frees_it(self) -> None:
        first = engine('i-e', endpoints.stream(80, 0.03))
        second = engine('i-f', endpoints.stream(80))
        async with open_plan(first, second) as (_relay, work):
            answer = await work
        assert answer.is_whole
        assert len(first.moves) >= 3

    async def test_copy_is_freed_when_the_run_ends(self) -> None:
        first = engine('i-e', endpoints.stream(60, 0.02))
        second = engine('i-f', endpoints.stream(60))
        # The copy is not due for a refresh, which would find the run gone.
        async with open_plan(first, second, 60) as (_relay, work):
            answer = await work
            assert answer.is_whole
            assert len(first.moves) == 1
            await until(lambda: first.freed == ['h-r1'])
            assert len(first.moves) == 1
        assert not second.received

    async def test_copy_on_an_engine_that_leaves_is_dropped(self) -> None:
        first = engine('i-e', endpoints.stream(120, 0.02))
        second = engine('i-f', endpoints.stream(120))
        async with open_plan(first, second) as (relay, work):
            await until(lambda: bool(first.moves))
            await relay.store.put(
                'servers/i-f', second.entry('llm', 'south', 'draining')
            )
            await until(lambda: bool(first.freed))
            assert not work.done()
            answer = await work
        assert answer.is_whole
        assert not second.received


def test_choice_names_run_and_engine() -> None:
    runs = crowd('e5', 6)
    choice = choose_standby({'e5-0'}, runs, ENGINES, ENGINE)
    assert choice == StandbyChoice(request_id='e5-0', instance='e1')
