"""Tests of hand-overs with delays and faults at each step, in virtual time."""

import itertools
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Any, Final

import pytest

from tests.handover_model import EVENTS, NEVER_S, Scenario, play

pytestmark = pytest.mark.looptime(noop_cycles=1)

# By the rules of the platform, two engines may work on a run for this time.
MAX_DOUBLED_S = 0.4
HEAD_DELAYS_S = (0.005, 0.05, 0.065, 0.105, 0.2, 0.35, 0.6, 1.3, NEVER_S)
LISTENER_DELAYS_S = (0, 0.001, 0.004, 0.02, 0.05, 0.3)
STOP_DELAYS_S = (0.1, 0.3, 0.8, 1.6, 2.9)
ORDER_FAULTS = (
    (),
    ('full',),
    ('reset', 'reset'),
    ('conflict', 'conflict', 'conflict'),
    ('no_room',),
)
LOST_ANSWERS = (
    ('lost',),
    ('lost', 'reset'),
    ('conflict', 'lost', 'conflict'),
    ('hang',),
    ('hang', 'reset'),
)
FAILED_ORDER_AXES: Final[Mapping[str, Iterable[Any]]] = {
    'head_delay_s': HEAD_DELAYS_S,
    'drops_closed': (True, False),
    'has_copy': (True, False),
    'is_unframed': (True, False),
}


def scenarios(
    axes: Mapping[str, Iterable[Any]], **same: Any
) -> Iterator[Scenario]:
    """Yield all combinations of some parts of a scenario.

    :param axes: values of the parts that differ, by their names
    :param same: values of the parts that are the same in all
    """
    for chosen in itertools.product(*axes.values()):
        yield Scenario(**dict(zip(axes, chosen, strict=True)), **same)


@pytest.mark.parametrize('latency_s', [0.001, 0.02])
@pytest.mark.parametrize('order_faults', ORDER_FAULTS)
@pytest.mark.parametrize('trouble', ['drain', 'reset', 'stall', 'crash'])
class TestAllDelays:
    """Guards against runs at work on two engines, whatever answers late."""

    async def test_one_engine_is_at_work_and_the_stream_is_whole(
        self, trouble: str, order_faults: tuple[str, ...], latency_s: float
    ) -> None:
        doubled, broken = await play_all(
            scenarios(
                {
                    'head_delay_s': HEAD_DELAYS_S,
                    'drops_closed': (True, False),
                    'has_copy': (True, False),
                    'queues': (True, False),
                },
                trouble=trouble,
                latency_s=latency_s,
                order_faults=order_faults,
            ),
            has_place,
        )
        assert not doubled
        assert not broken


@pytest.mark.parametrize('trouble', ['drain', 'reset', 'stall', 'crash'])
class TestLostAnswersToOrders:
    """Guards against a part of a stream that is passed on as complete.

    An engine stops a run on order, and an unframed stream ends like a complete
    one. The order's answer is lost, or the order is not that of the last move.
    """

    @pytest.mark.parametrize('order_faults', LOST_ANSWERS)
    async def test_stream_goes_on_whoever_stopped_it(
        self, trouble: str, order_faults: tuple[str, ...]
    ) -> None:
        doubled, broken = await play_all(
            scenarios(
                {
                    'head_delay_s': HEAD_DELAYS_S,
                    'drops_closed': (True, False),
                    'has_copy': (True, False),
                    'is_unframed': (True, False),
                },
                trouble=trouble,
                order_faults=order_faults,
            ),
            has_known_copy,
        )
        assert not doubled
        assert not broken

    @pytest.mark.parametrize('order_faults', ORDER_FAULTS)
    async def test_unframed_stream_is_whole(
        self, trouble: str, order_faults: tuple[str, ...]
    ) -> None:
        doubled, broken = await play_all(
            scenarios(
                {
                    'head_delay_s': HEAD_DELAYS_S,
                    'drops_closed': (True, False),
                    'has_copy': (True, False),
                    'stop_delay_s': (0, 0.1, 0.8),
                },
                trouble=trouble,
                order_faults=order_faults,
                is_unframed=True,
            ),
            has_place,
        )
        assert not doubled
        assert not broken


@pytest.mark.parametrize('is_unframed', [True, False])
async def test_orders_without_effect_leave_a_stream_complete(
    is_unframed: bool,
) -> None:
    """An engine with an unframed stream refuses all orders to stop it."""
    doubled, broken = await play_all(
        scenarios(
            {
                'head_delay_s': HEAD_DELAYS_S,
                'drops_closed': (True, False),
                'has_copy': (True, False),
            },
            trouble='drain',
            order_faults=('conflict',) * 1000,
            is_unframed=is_unframed,
        ),
        has_place,
    )
    assert not doubled
    assert EVENTS not in broken.values()


class TestOrdersThatFail:
    """Guards against runs on two engines where orders to stop have no effect.

    The answers are errors, which do not show whether the engine has stopped.
    """

    @pytest.mark.parametrize('trouble', ['drain', 'reset', 'stall'])
    async def test_stream_is_whole_once_an_order_is_carried_out(
        self, trouble: str
    ) -> None:
        doubled, broken = await play_all(
            scenarios(
                FAILED_ORDER_AXES,
                trouble=trouble,
                order_faults=('error', 'error'),
            ),
            has_place,
        )
        assert not doubled
        assert not broken

    async def test_stream_is_whole_if_its_copy_ends_before_it_is_left(
        self,
    ) -> None:
        doubled, broken = await play_all(
            scenarios(
                {
                    **FAILED_ORDER_AXES,
                    'head_delay_s': (0.005, 0.05),
                    'has_copy': (True,),
                },
                trouble='drain',
                order_faults=('error',) * 1000,
                trouble_at=EVENTS - 4,
            ),
            lambda _: True,
        )
        assert not doubled
        assert not broken

    async def test_stream_that_stays_is_whole_if_its_end_is_known(self) -> None:
        doubled, broken = await play_all(
            scenarios(
                {**FAILED_ORDER_AXES, 'has_copy': (False,)},
                trouble='drain',
                order_faults=('error',) * 1000,
            ),
            lambda scenario: not scenario.is_unframed,
        )
        assert not doubled
        assert not broken

    async def test_stream_whose_end_is_unknown_is_not_complete(self) -> None:
        faults = scenarios(
            {
                **FAILED_ORDER_AXES,
                'is_unframed': (True,),
                'has_copy': (False,),
            },
            trouble='drain',
            order_faults=('error',) * 1000,
        )
        for scenario in faults:
            async with play(scenario) as (_, caller):
                assert caller.events == list(range(1, EVENTS + 1))
                assert not caller.is_whole

    @pytest.mark.parametrize('trouble', ['drain', 'reset', 'stall'])
    async def test_run_is_broken_off_rather_than_generated_twice(
        self, trouble: str
    ) -> None:
        doubled, cut = await play_all(
            scenarios(
                FAILED_ORDER_AXES,
                trouble=trouble,
                order_faults=('error',) * 1000,
            ),
            lambda _: False,
        )
        assert not doubled
        assert not cut


class TestSignsThatProveNothing:
    """Guards against signs that are taken for the end of a run.

    A listener closes, an order is obeyed late, or an entry is lost, while the
    engine works on.
    """

    @pytest.mark.parametrize('trouble', ['drain', 'live'])
    async def test_run_stays_at_an_engine_whose_listener_has_closed(
        self, trouble: str
    ) -> None:
        faults = scenarios(
            {
                'head_delay_s': HEAD_DELAYS_S,
                'drops_closed': (True, False),
                'has_copy': (True, False),
                'listener_delay_s': LISTENER_DELAYS_S,
                'is_entry_lost': (True, False),
            },
            trouble=trouble,
        )
        doubled, broken = await play_all(faults, lambda _: True)
        assert not doubled
        assert not broken

    @pytest.mark.parametrize('trouble', ['reset', 'stall'])
    async def test_run_behind_a_closed_listener_is_not_taken_for_ended(
        self, trouble: str
    ) -> None:
        faults = scenarios(
            {
                'head_delay_s': HEAD_DELAYS_S,
                'drops_closed': (True, False),
                'listener_delay_s': LISTENER_DELAYS_S,
                'is_entry_lost': (True, False),
            },
            trouble=trouble,
        )
        # The run may break off: nothing shows that it has ended.
        doubled, _ = await play_all(faults, lambda _: False)
        assert not doubled

    @pytest.mark.parametrize('trouble', ['drain', 'reset'])
    async def test_run_waits_for_an_engine_that_stops_late(
        self, trouble: str
    ) -> None:
        faults = scenarios(
            {
                'head_delay_s': HEAD_DELAYS_S,
                'drops_closed': (True, False),
                'has_copy': (True, False),
                'stop_delay_s': STOP_DELAYS_S,
                'is_entry_lost': (True, False),
            },
            trouble=trouble,
        )
        doubled, broken = await play_all(faults, has_place)
        assert not doubled
        assert not broken


async def play_all(
    faults: Iterable[Scenario], must_be_whole: Callable[[Scenario], bool]
) -> tuple[dict[Scenario, float], dict[Scenario, int]]:
    """Play scenarios, and return what went wrong in which of them.

    :returns: the time for which two engines were at work, and the number of
        events of streams that broke off, or ended as complete too early
    """
    doubled, broken = {}, {}
    for scenario in faults:
        async with play(scenario) as (fleet, caller):
            if fleet.doubled_s() > MAX_DOUBLED_S:
                doubled[scenario] = fleet.doubled_s()
            is_complete = caller.events == list(range(1, EVENTS + 1))
            is_whole = is_complete and caller.is_whole
            is_cut = caller.is_whole and not is_complete
            if is_cut or (must_be_whole(scenario) and not is_whole):
                broken[scenario] = len(caller.events)
    return doubled, broken


def has_place(scenario: Scenario) -> bool:
    """Return whether the run can go on somewhere in any case."""
    if scenario.trouble == 'drain':
        return True
    # The engine has dropped the run, or crashed, and only the copy is left.
    return scenario.has_copy and scenario.head_delay_s < 2


def has_known_copy(scenario: Scenario) -> bool:
    """Return whether the run can go on although an order's answer is lost.

    A copy whose engine never answers is used up by the attempt to resume.
    """
    is_used_up = scenario.has_copy and scenario.head_delay_s == NEVER_S
    return has_place(scenario) and not is_used_up
