"""On a seeded overload the scheduler does better than every baseline."""

import pytest

from bench.main import run_one
from bench.measures import Figures
from bench.policies import POLICIES
from bench.workloads import PLANS


def overload(policy: str, fault: str = 'none') -> Figures:
    row = run_one(PLANS, 160, fault, policy, seed=1, duration=30)
    return row.figures


@pytest.fixture(scope='module')
def ours() -> Figures:
    return overload('ours')


@pytest.mark.parametrize(
    'policy', [name for name in POLICIES if name != 'ours']
)
def test_stalls_and_preempts_less_than(policy: str, ours: Figures) -> None:
    theirs = overload(policy)
    assert ours.preemptions < theirs.preemptions
    assert ours.stall_s < theirs.stall_s


def test_no_workspace_is_starved(ours: Figures) -> None:
    assert ours.worst_workspace > ours.served * 0.8


def test_cold_engines_stay_up_after_a_death() -> None:
    assert not overload('ours', 'engine dies').falls
