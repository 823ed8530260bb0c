"""Tests of when requests leave their data centre, and how many."""

import dataclasses
import itertools
import math
from collections.abc import Callable, Mapping

import pytest

from mastichatch_core.generated.messages import Run, RunState
from mastichatch_core.relay.engine_choice import NEW_MEMORY_SHARE
from mastichatch_core.relay.engine_queue import QueueOptions, assign_engines
from mastichatch_core.relay.model import Endpoint, EndpointState, Engine
from mastichatch_core.relay.placement.costs import (
    HELD_FACTOR,
    NOMINAL_COSTS,
    PlacementCosts,
    Reluctance,
)
from mastichatch_core.relay.placement.leaving import (
    ACCEPTED_PRESSURE,
    REMOTE_MEMORY_SHARE,
    SHARE_STEP,
    START_PRESSURE,
    DataCentreLoad,
    LeavingOptions,
    RemoteShares,
    is_link_full,
    leaving_costs,
    measure_data_centres,
    remote_call_ms,
)
from mastichatch_core.relay.placement.ways import Peering, Ways
from mastichatch_core.relay.plain_choice import (
    EndpointStatsTable,
    rank_endpoints,
)
from mastichatch_core.relay.runs import RunTable

ENGINE = Engine(
    batch_limit=24,
    memory_tokens=26_900,
    bytes_per_token=100,
    link_bytes_per_ms=1000,
    can_move=True,
    can_back_up=False,
    tokens_per_event=4,
)
PLACES = ('north', 'east', 'south')
REVIEW_S = 0.5
# Time that a generation occupies its engine.
STAY_S = 8.0
# A wave of demand around its mean, as a share of it.
WAVE = 0.55
PERIOD_S = 80.0
MEAN = 0.75


def endpoint(name: str, place: str) -> Endpoint:
    return Endpoint(
        instance=name,
        service='llm',
        address='10.0.0.1:80',
        data_centre=place,
        slots=24,
        state=EndpointState.ready,
    )


def run(name: str, tokens: int = 3000, output: int = 750, at: str = '') -> Run:
    return Run(
        request_id=name,
        service='llm',
        state=RunState.running if at else RunState.waiting,
        endpoint=at,
        prompt_tokens=tokens,
        expected_tokens=output,
        output_tokens=1 if at else 0,
        objective_ms=1800,
    )


def load(pressure: float, engines: int = 9) -> DataCentreLoad:
    return DataCentreLoad(engines=engines, demand=pressure * engines)


def settled(
    loads: Mapping[str, DataCentreLoad], silent: frozenset[str] = frozenset()
) -> RemoteShares:
    """Return the shares after twenty seconds of the same load."""
    shares = RemoteShares('north')
    for _ in range(40):
        shares.update(loads, silent)
    return shares


def costs(
    shares: RemoteShares, ways: Ways, *, is_full: bool = False
) -> PlacementCosts:
    options = LeavingOptions(mb_ms=2500, is_link_full=is_full)
    loads = {name: load(0.5) for name in PLACES}
    return leaving_costs(shares, loads, ways, ENGINE, 'north', options, 0)


class Waves:
    """Demand that rises and falls, served where the shares send it.

    Each data centre decides by what the requests of all took up at its last
    review. Requests keep their engines for a while.
    """

    def __init__(self, demand: Callable[[str, float], float]) -> None:
        self.demand = demand
        self.may_leave = True
        self.now = 0.0
        self.shares = {name: RemoteShares(name) for name in PLACES}
        self.taken = {
            (home, place): 0.5 * (home == place)
            for home, place in itertools.product(PLACES, PLACES)
        }
        self.abroad: list[float] = []
        self.highest: list[float] = []

    def play(self, duration_s: float) -> None:
        for _ in range(int(duration_s / REVIEW_S)):
            self.now += REVIEW_S
            self._step()

    def at(self, place: str) -> float:
        """Return the share of a data centre's engines that is taken up."""
        return sum(self.taken[home, place] for home in PLACES)

    def _step(self) -> None:
        loads = {
            home: load(sum(self.taken[home, place] for place in PLACES))
            for home in PLACES
        }
        for home, decided in self.shares.items():
            if self.may_leave:
                decided.update(loads)
            sent = dict(decided.shares)
            sent[home] = 1 - sum(sent.values())
            demand = self.demand(home, self.now)
            for place in PLACES:
                level = demand * sent.get(place, 0)
                change = (level - self.taken[home, place]) * REVIEW_S / STAY_S
                self.taken[home, place] += change
        self.abroad.append(sum(self.shares['north'].shares.values()))
        self.highest.append(max(map(self.at, PLACES)))


def wave(name: str, now: float) -> float:
    phase = PLACES.index(name) / len(PLACES)
    return MEAN * (1 + WAVE * math.sin(2 * math.pi * (now / PERIOD_S + phase)))


def turns(series: list[float]) -> int:
    """Return how often a series changes its direction."""
    steps = [b - a for a, b in itertools.pairwise(series) if b != a]
    return sum(a * b < 0 for a, b in itertools.pairwise(steps))


class TestShares:
    def test_nobody_leaves_while_home_has_room(self) -> None:
        loads = {'north': load(0.75), 'east': load(0.1), 'south': load(0.1)}
        assert not settled(loads).shares

    @pytest.mark.parametrize('pressure', (0.5, 0.9, 1.5))
    def test_equal_data_centres_keep_their_requests(
        self, pressure: float
    ) -> None:
        assert not settled({name: load(pressure) for name in PLACES}).shares

    def test_overload_leaves_to_where_room_is(self) -> None:
        loads = {'north': load(1.2), 'east': load(0.2), 'south': load(0.7)}
        shares = settled(loads).shares
        assert shares['east'] > 5 * shares.get('south', 0)
        assert 0.3 < sum(shares.values()) < 0.5

    def test_share_grows_by_one_step_at_a_time(self) -> None:
        shares = RemoteShares('north')
        loads = {'north': load(1.2), 'east': load(0.2)}
        for number in range(1, 4):
            shares.update(loads)
            assert shares.shares['east'] <= number * SHARE_STEP

    def test_data_centre_without_room_takes_in_nothing(self) -> None:
        loads = {'north': load(1.5), 'east': load(ACCEPTED_PRESSURE)}
        assert not settled(loads).shares

    def test_everything_leaves_an_evacuated_data_centre_by_free_room(
        self,
    ) -> None:
        shares = RemoteShares('north')
        shares.update({'east': load(0.2), 'south': load(0.6)})
        assert sum(shares.shares.values()) == pytest.approx(1)
        assert shares.shares['east'] == pytest.approx(2 / 3)

    def test_nothing_leaves_to_a_data_centre_that_is_cut_off(self) -> None:
        loads = {'north': load(1.2), 'east': load(0.2), 'south': load(0.2)}
        shares = settled(loads)
        shares.update(loads, frozenset(('east',)))
        assert 'east' not in shares.shares
        assert shares.shares['south']
        evacuated = {'east': load(0.2), 'south': load(0.6)}
        lost = settled(evacuated, frozenset(('east',)))
        assert lost.shares == {'south': 1}


class TestWaves:
    def test_waves_even_out_without_swinging(self) -> None:
        alone, together = Waves(wave), Waves(wave)
        alone.may_leave = False
        for day in (alone, together):
            day.play(4 * PERIOD_S)
        relieved = max(together.highest) - MEAN
        assert relieved < (max(alone.highest) - MEAN) / 2
        # Up and down with each of four waves, with one correction between.
        assert turns(together.abroad) <= 4 * 4

    def test_requests_stay_again_within_seconds_after_a_wave(self) -> None:
        day = Waves(
            lambda name, now: 1.6 if name == 'north' and now < 40 else 0.4
        )
        day.play(40)
        assert turns(day.abroad) <= 2
        assert day.at('north') < START_PRESSURE + 0.1
        day.play(15)
        assert not day.abroad[-1]

    def test_several_senders_do_not_overfill_one_data_centre(self) -> None:
        day = Waves(lambda name, now: 0.3 if name == 'south' else 1.5)
        day.play(120)
        assert day.at('south') < ACCEPTED_PRESSURE + 0.1
        assert day.abroad[-1] > 0.1
        assert turns(day.abroad[-80:]) <= 2


class TestCosts:
    def test_long_requests_stay_home_longer_than_short_ones(self) -> None:
        found = costs(RemoteShares('north'), Ways('north'))
        short = found.reluctance_tokens('r1', 'north', 8)['east']
        long = found.reluctance_tokens('r1', 'north', 750)['east']
        assert long > 5 * short

    def test_requests_outside_the_share_stay_home_longer(self) -> None:
        one = Reluctance(request_tokens=10, first_draw=0.2, last_draw=0.5)
        draws = (0.1, 0.2, 0.4, 0.5)
        held = 10 * HELD_FACTOR
        assert [one.tokens(0, draw) for draw in draws] == [held, 10, 10, held]

    def test_cut_makes_long_requests_stay_for_some_minutes(self) -> None:
        ways = Ways('north')
        before = costs(RemoteShares('north'), ways)
        heard = Peering(nodes=9, heard_at=-5, interval_s=1)
        ways.review({'east': heard}, -5)
        ways.review({'east': heard}, 0)
        silent = costs(RemoteShares('north'), ways)
        ways.review({'east': Peering(nodes=9, heard_at=1, interval_s=1)}, now=1)
        after = costs(RemoteShares('north'), ways)

        def tokens(found: PlacementCosts) -> float:
            return found.reluctance_tokens('r1', 'north', 750)['east']

        assert tokens(before) < tokens(after) < tokens(silent)

    def test_measured_round_trip_delays_a_request(self) -> None:
        ways = Ways('north')
        ways.record_connect('north', 0.001)
        for duration_s in (0.2, 0.011, 0.3):
            ways.record_connect('east', duration_s)
        # One slow connection says little of the way.
        assert 10 <= ways.round_trip_ms('east') < 30
        found = costs(RemoteShares('north'), ways)
        assert found.remote_cost('east') > found.remote_cost('south')


def assigned(
    runs: list[Run],
    found: PlacementCosts,
    homes: Mapping[str, str] | None = None,
) -> dict[str, str]:
    engines = [endpoint('n1', 'north'), endpoint('e1', 'east')]
    candidates = assign_engines(
        runs,
        engines,
        ENGINE,
        lambda one: 0,
        'north',
        0,
        QueueOptions(
            costs=found,
            home_of=lambda one: (homes or {}).get(one.request_id, 'north'),
        ),
    )
    return {name: one.instance for name, one in candidates.items()}


class TestPlacement:
    def test_long_request_waits_for_a_prompt_at_home(self) -> None:
        prefilling = dataclasses.replace(
            run('r0', tokens=2500, at='n1'), output_tokens=0
        )
        found = costs(RemoteShares('north'), Ways('north'))
        runs = [prefilling, run('r1')]
        assert assigned(runs, NOMINAL_COSTS) == {'r1': 'e1'}
        assert assigned(runs, found) == {'r1': 'n1'}
        short = run('r2', tokens=2000, output=8)
        assert assigned([prefilling, short], found) == {'r2': 'e1'}

    def test_request_leaves_where_home_cannot_meet_its_objective(self) -> None:
        queued = dataclasses.replace(
            run('p', output=9, at='n1'), output_tokens=0
        )
        waiting = [
            dataclasses.replace(queued, request_id=f'p{number}')
            for number in range(4)
        ]
        found = costs(RemoteShares('north'), Ways('north'))
        held = PlacementCosts(
            data_centre='north',
            reluctance={'east': Reluctance(request_tokens=9e9)},
        )
        assert assigned([*waiting, run('r1')], found) == {'r1': 'e1'}
        assert assigned([*waiting, run('r1')], held) == {'r1': 'e1'}

    def test_engines_elsewhere_keep_room_for_their_own_callers(self) -> None:
        found = costs(RemoteShares('north'), Ways('north'))
        full = [
            run(
                'n', tokens=int(0.84 * ENGINE.memory_tokens), output=0, at='n1'
            ),
            run(
                'e', tokens=int(0.70 * ENGINE.memory_tokens), output=0, at='e1'
            ),
        ]
        share = 0.70 + 3000 / ENGINE.memory_tokens
        assert REMOTE_MEMORY_SHARE < share < 0.85
        request = run('r1', output=0)
        assert not assigned([*full, request], found)
        # All nodes know that the room is for the data centre's own requests.
        assert assigned([*full, request], found, {'r1': 'east'}) == {'r1': 'e1'}

    def test_no_stream_from_elsewhere_is_added_to_a_full_link(self) -> None:
        own = [run(f'r{number}', at='e1') for number in range(400)]
        assert is_link_full(own, {'e1'}, ENGINE, link_mbps=5)
        assert not is_link_full(own, {'n1'}, ENGINE, link_mbps=5)
        assert not is_link_full(own, {'e1'}, ENGINE, link_mbps=0)
        found = costs(RemoteShares('north'), Ways('north'), is_full=True)
        full = run('n', tokens=int(0.84 * ENGINE.memory_tokens), at='n1')
        assert not assigned([full, run('r1')], found)

    def test_evacuated_home_may_fill_the_others(self) -> None:
        loads = {'east': load(0.5)}
        found = leaving_costs(
            settled(loads),
            loads,
            Ways('north'),
            ENGINE,
            'north',
            LeavingOptions(mb_ms=2500),
            0,
        )
        full = run('e', tokens=int(0.72 * ENGINE.memory_tokens), at='e1')
        engines = [endpoint('e1', 'east')]
        request = run('r1', tokens=2900, output=0)
        options = QueueOptions(costs=found)
        assert assign_engines(
            [full, request], engines, ENGINE, lambda _: 0, 'north', 0, options
        )


class TestWays:
    def test_lost_lists_of_a_data_centre_rule_out_none_of_its_engines(
        self,
    ) -> None:
        table = RunTable()
        ways = Ways('north')
        heard_at = table.heard_at(('e-1', 'e-2'))
        peering = Peering(nodes=2, heard_at=heard_at, interval_s=1)
        assert not ways.review({'east': peering}, 0)
        assert not ways.review({'east': peering}, 1)
        assert ways.review({'east': peering}, 2) == ('east',)
        # Home is preferred now, however much is queued there.
        found = costs(RemoteShares('north'), ways)
        assert assigned([run('r1')], found) == {'r1': 'n1'}
        engines = [endpoint('e1', 'east')]
        assert assign_engines(
            [run('r1')],
            engines,
            ENGINE,
            lambda _: 0,
            'north',
            0,
            QueueOptions(costs=found),
        )

    def test_calls_avoid_a_data_centre_that_is_cut_off(self) -> None:
        ways = Ways('north')
        pair = [endpoint('e1', 'east'), endpoint('n1', 'north')]
        records = EndpointStatsTable()
        records.get('n1').running = 24

        def first() -> str:
            extra = remote_call_ms(ways, ('east',), 2500)
            return rank_endpoints(pair, records, 'north', 0, extra)[0].instance

        assert first() == 'e1'
        silent = Peering(nodes=9, heard_at=-math.inf, interval_s=1)
        ways.review({'east': silent}, -5)
        ways.review({'east': silent}, 0)
        assert first() == 'n1'


def test_demand_is_what_callers_take_up_wherever_it_runs() -> None:
    engines = [endpoint('n1', 'north'), endpoint('e1', 'east')]
    half = int(ENGINE.memory_tokens * NEW_MEMORY_SHARE / 2)
    runs = [
        ('north', run('r1', tokens=half, output=0, at='e1')),
        ('east', run('r2', tokens=1500, output=0)),
        ('south', run('r3')),
    ]
    found = measure_data_centres(engines, ENGINE, runs)
    assert found['north'].pressure == pytest.approx(0.5, rel=0.01)
    assert found['east'].pressure == pytest.approx(0.5)
    assert found['south'].engines == 0
    assert found['south'].demand > 0
