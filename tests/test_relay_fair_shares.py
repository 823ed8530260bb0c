"""Tests of shares of scarce room, on a replayed load in virtual time."""

import asyncio
import collections
import random
import statistics
from typing import Any, Final

import pytest

from mastichatch_core.generated.messages import Run, RunChanges, RunState
from mastichatch_core.relay.admission.room import RoomTracker
from mastichatch_core.relay.admission.shares import (
    SCARCE_AFTER_MS,
    in_fair_order,
)
from mastichatch_core.relay.load_control import LoadControl
from mastichatch_core.relay.runs import MAX_MISSED_INTERVALS, RunTable
from tests.load_replay import LONG, SHORT, Load, Replay
from tests.relay_nodes import open_relay, until
from tests.standins import house_endpoints as endpoints
from tests.standins.house_endpoints import HouseEndpoint

SEEDS: Final = range(1, 5)
EVEN: Final = {f'w{number}': 1.0 for number in range(24)}
# One of 24 workspaces has 30 % of the requests.
LARGE: Final = {**EVEN, 'w0': 23 * 0.3 / 0.7}
# Value of an answer in time and of a late one, by the users' sheet.
WORTH: Final = {'short': (58, 3.5), 'long': (110, 26)}
SCARCE_S: Final = SCARCE_AFTER_MS / 1000


def new_run(name: str, workspace: str, **more: Any) -> Run:
    return Run(
        **{
            'request_id': name,
            'service': 'llm',
            'state': RunState.waiting,
            'rank': 1,
            'prompt_tokens': 3000,
            'expected_tokens': 700,
            'workspace': workspace,
            **more,
        }
    )


def order(
    waiting: list[Run], running: list[Run], now: float = SCARCE_S
) -> list[str]:
    """Return the ids of waiting requests, which arrived at zero, in order."""
    room = RoomTracker()
    for run in running:
        room.update(run, 0)
    found = in_fair_order(waiting, room.held('llm'), lambda run: 0, now)
    return [run.request_id for run in found]


def running(workspace: str, count: int) -> list[Run]:
    return [
        new_run(
            f'{workspace}-r{number}',
            workspace,
            state=RunState.running,
            endpoint='e0',
            output_tokens=11 + 7 * number,
        )
        for number in range(count)
    ]


def credit(load: dict[str, Any], *, is_shared: bool) -> dict[str, float]:
    """Return the share of its worth that each workspace gets."""
    earned: dict[str, float] = collections.defaultdict(float)
    owed: dict[str, float] = collections.defaultdict(float)
    for seed in SEEDS:
        replay = Replay(
            Load(seed=seed, **load), is_forecast=True, is_shared=is_shared
        ).play()
        for caller in replay.callers:
            in_time, late = WORTH[caller.kind.name]
            owed[caller.workspace] += in_time
            if caller.is_served:
                earned[caller.workspace] += (
                    in_time if caller.is_on_time else late
                )
    return {name: earned[name] / owed[name] for name in owed}


def others(credits_: dict[str, float]) -> float:
    """Return the mean of all workspaces but the first."""
    return statistics.mean(
        share for name, share in credits_.items() if name != 'w0'
    )


class TestOrder:
    waiting: Final = [
        *(new_run(f'a{number}', 'a') for number in range(3)),
        *(new_run(f'b{number}', 'b') for number in range(3)),
    ]

    def test_it_is_that_of_arrival_while_room_is_not_scarce(self) -> None:
        names = [run.request_id for run in self.waiting]
        held = running('a', 20)
        assert order(self.waiting, held, SCARCE_S / 2) == names
        assert order(self.waiting, held, SCARCE_S) != names

    def test_workspace_that_holds_most_comes_last(self) -> None:
        held = [*running('a', 20), *running('b', 2), *running('c', 2)]
        assert order(self.waiting, held)[:3] == ['b0', 'b1', 'b2']

    def test_workspaces_that_hold_the_same_take_turns(self) -> None:
        assert order(self.waiting, []) == ['a0', 'b0', 'a1', 'b1', 'a2', 'b2']

    def test_more_urgent_requests_stay_first(self) -> None:
        urgent = new_run('u', 'a', rank=0)
        held = running('a', 20)
        assert order([urgent, *self.waiting], held)[0] == 'u'

    def test_nodes_agree_however_the_runs_reached_them(self) -> None:
        """Guards against sums of fractions, which depend on their order."""
        # Most workspaces hold nothing, so that the others are above a share.
        waiting = [new_run(f'{name}0', name) for name in 'lkjihgfedcba']
        held = [run for name in 'abcd' for run in running(name, 9)]
        first = order(waiting, held)
        for seed in range(20):
            random.Random(seed).shuffle(held)
            assert order(waiting, held) == first

    def test_runs_of_a_lost_list_are_held_against_nobody(self) -> None:
        """The list of a failed node expires, and so do its shares."""
        room, table = RoomTracker(), RunTable()
        table.attach(room)
        message = RunChanges(node='n', sequence=1, runs=tuple(running('a', 9)))
        table.apply_changes(message, 'first', 0)
        assert room.held('llm')
        list(table.iter_runs(1 + MAX_MISSED_INTERVALS))
        assert not room.held('llm')


class TestReplay:
    """A burst of 2.3 times the load."""

    @pytest.mark.parametrize('shares', [EVEN, LARGE])
    def test_worst_tenth_of_workspaces_gets_most_of_the_mean(
        self, shares: dict[str, float]
    ) -> None:
        found = sorted(credit({'shares': shares}, is_shared=True).values())
        worst = statistics.mean(found[: len(found) // 10])
        assert worst >= 0.8 * statistics.mean(found)

    def test_workspace_with_much_of_the_load_costs_others_nothing(self) -> None:
        in_order = credit({'shares': LARGE}, is_shared=False)
        shared = credit({'shares': LARGE}, is_shared=True)
        assert others(shared) >= others(in_order)

    def test_caller_that_repeats_at_once_costs_others_nothing(self) -> None:
        patient = credit({'shares': LARGE}, is_shared=False)
        repeating = {'shares': LARGE, 'repeats': frozenset(('w0',))}
        assert others(credit(repeating, is_shared=True)) >= others(patient)

    def test_engine_that_goes_starves_no_kind(self) -> None:
        """Requests wait while an engine and its runs are lost."""
        load = Load(shares=LARGE, burst=1.5, leaves={'e1': 9, 'e2': 12})
        replay = Replay(load, is_forecast=True, is_shared=True).play()
        for kind in (SHORT, LONG):
            callers = replay.of_kind(kind)
            served = sum(one.is_served for one in callers)
            assert served >= 0.8 * len(callers)


class TestNode:
    @pytest.mark.parametrize(
        ('setting', 'workspace'),
        [(LoadControl.on, 'depots'), (LoadControl.off, '')],
    )
    async def test_runs_name_their_workspace_only_where_room_is_shared(
        self, setting: LoadControl, workspace: str
    ) -> None:
        engine = HouseEndpoint('e-1', endpoints.stream(8, 0.05))
        headers = ('Mastichatch-Model: m', 'Mastichatch-Token-Counts: 9,40')
        async with open_relay((), (engine,), fair_shares=setting) as relay:
            work = asyncio.ensure_future(relay.call('/plan/x', headers=headers))
            await until(lambda: bool(engine.received))
            (own,) = relay.node.broadcaster.table.own
            assert own.workspace == workspace
            assert (await work).is_whole
