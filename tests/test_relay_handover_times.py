"""Tests of hand-overs with delays and faults at each step, in virtual time."""

import itertools
from collections.abc import Callable, Iterable, Iterator

import pytest

from tests.handover_model import EVENTS, NEVER_S, Scenario, play

pytestmark = pytest.mark.looptime(noop_cycles=1)

# By the rules of the platform, two engines may work on a run for this time.
MAX_DOUBLED_S = 0.4
HEAD_DELAYS_S = (0.005, 0.05, 0.065, 0.105, 0.2, 0.35, 0.6, 1.3, NEVER_S)
ORDER_FAULTS = (
    (),
    ('full',),
    ('reset', 'reset'),
    ('conflict', 'conflict', 'conflict'),
    ('no_room',),
)


def scenarios(
    trouble: str, latency_s: float, order_faults: tuple[str, ...]
) -> Iterator[Scenario]:
    """Yield all combinations of the other delays and outcomes."""
    for head_delay_s, drops_closed, has_copy, queues in itertools.product(
        HEAD_DELAYS_S, (True, False), (True, False), (True, False)
    ):
        yield Scenario(
            trouble=trouble,
            head_delay_s=head_delay_s,
            latency_s=latency_s,
            drops_closed=drops_closed,
            has_copy=has_copy,
            order_faults=order_faults,
            queues=queues,
        )


@pytest.mark.parametrize('latency_s', [0.001, 0.02])
@pytest.mark.parametrize('order_faults', ORDER_FAULTS)
@pytest.mark.parametrize('trouble', ['drain', 'reset', 'stall', 'crash'])
class TestAllDelays:
    """Guards against runs at work on two engines, whatever answers late."""

    async def test_one_engine_is_at_work_and_the_stream_is_whole(
        self, trouble: str, order_faults: tuple[str, ...], latency_s: float
    ) -> None:
        doubled, broken = await play_all(
            scenarios(trouble, latency_s, order_faults), has_place
        )
        assert not doubled
        assert not broken


class TestSignsThatProveNothing:
    """Guards against signs that are taken for the end of a run.

    A listener closes, an order is obeyed late, or an entry is lost, while the
    engine works on.
    """

    @pytest.mark.parametrize('trouble', ['drain', 'live'])
    async def test_run_stays_at_an_engine_whose_listener_has_closed(
        self, trouble: str
    ) -> None:
        faults = [
            Scenario(
                trouble=trouble,
                head_delay_s=head_delay_s,
                drops_closed=drops_closed,
                has_copy=has_copy,
                listener_delay_s=listener_delay_s,
                is_entry_lost=is_entry_lost,
            )
            for (
                head_delay_s,
                drops_closed,
                has_copy,
                listener_delay_s,
                is_entry_lost,
            ) in itertools.product(
                HEAD_DELAYS_S,
                (True, False),
                (True, False),
                (0, 0.001, 0.004, 0.02, 0.05, 0.3),
                (True, False),
            )
        ]
        doubled, broken = await play_all(faults, lambda _: True)
        assert not doubled
        assert not broken

    @pytest.mark.parametrize('trouble', ['reset', 'stall'])
    async def test_run_behind_a_closed_listener_is_not_taken_for_ended(
        self, trouble: str
    ) -> None:
        faults = [
            Scenario(
                trouble=trouble,
                head_delay_s=head_delay_s,
                drops_closed=drops_closed,
                listener_delay_s=listener_delay_s,
                is_entry_lost=is_entry_lost,
            )
            for (
                head_delay_s,
                drops_closed,
                listener_delay_s,
                is_entry_lost,
            ) in itertools.product(
                HEAD_DELAYS_S,
                (True, False),
                (0, 0.001, 0.004, 0.02, 0.05, 0.3),
                (True, False),
            )
        ]
        # The run may break off: nothing shows that it has ended.
        doubled, _ = await play_all(faults, lambda _: False)
        assert not doubled

    @pytest.mark.parametrize('trouble', ['drain', 'reset'])
    async def test_run_waits_for_an_engine_that_stops_late(
        self, trouble: str
    ) -> None:
        faults = [
            Scenario(
                trouble=trouble,
                head_delay_s=head_delay_s,
                drops_closed=drops_closed,
                has_copy=has_copy,
                stop_delay_s=stop_delay_s,
                is_entry_lost=is_entry_lost,
            )
            for (
                head_delay_s,
                drops_closed,
                has_copy,
                stop_delay_s,
                is_entry_lost,
            ) in itertools.product(
                HEAD_DELAYS_S,
                (True, False),
                (True, False),
                (0.1, 0.3, 0.8, 1.6, 2.9),
                (True, False),
            )
        ]
        doubled, broken = await play_all(faults, has_place)
        assert not doubled
        assert not broken


async def play_all(
    faults: Iterable[Scenario], must_be_whole: Callable[[Scenario], bool]
) -> tuple[dict[Scenario, float], dict[Scenario, int]]:
    """Play scenarios, and return what went wrong in which of them.

    :returns: the time for which two engines were at work, and the number of
        events of streams that broke off
    """
    doubled, broken = {}, {}
    for scenario in faults:
        async with play(scenario) as (fleet, caller):
            if fleet.doubled_s() > MAX_DOUBLED_S:
                doubled[scenario] = fleet.doubled_s()
            is_complete = caller.events == list(range(1, EVENTS + 1))
            if must_be_whole(scenario) and not (
                is_complete and caller.is_whole
            ):
                broken[scenario] = len(caller.events)
    return doubled, broken


def has_place(scenario: Scenario) -> bool:
    """Return whether the run can go on somewhere in any case."""
    if scenario.trouble == 'drain':
        return True
    # The engine has dropped the run, or crashed, and only the copy is left.
    return scenario.has_copy and scenario.head_delay_s < 2
