"""Tests of what answers to orders to stop a run prove, and of their pace."""

import pytest

from mastichatch_core.relay.run_stops import (
    ORDER_LIMIT_S,
    OVERLAP_LIMIT_S,
    SWITCH_PROOF_LIMIT_S,
    StopProof,
    read_stop_answer,
    repeat_delay_s,
    shows_no_effect,
)

# Orders for one run in the time for which they are repeated.
MAX_ORDERS = 50


@pytest.mark.parametrize('status', [0, 409, 500])
def test_orders_for_a_run_are_repeated_ever_less_often(status: int) -> None:
    """An engine that carries out a lost order answers 409 all the while."""
    elapsed_s, tries = 0.0, 0
    pause_s: float | None = 0.0
    while pause_s is not None:
        elapsed_s += pause_s
        tries += 1
        pause_s = repeat_delay_s(
            StopProof.none, status, tries, elapsed_s, left_s=100
        )
    assert elapsed_s >= ORDER_LIMIT_S
    assert tries < MAX_ORDERS


@pytest.mark.parametrize('copied_s', [0.05, 0.1, 0.15, 0.2])
def test_end_of_a_conflict_is_noticed_before_a_switch_is_undone(
    copied_s: float,
) -> None:
    """The engine copies the run for another call, and stops it afterwards."""
    elapsed_s, tries = 0.0, 0
    while elapsed_s < copied_s:
        tries += 1
        pause_s = repeat_delay_s(
            StopProof.none, 409, tries, elapsed_s, left_s=100
        )
        assert pause_s is not None
        elapsed_s += pause_s
    assert elapsed_s < SWITCH_PROOF_LIMIT_S - OVERLAP_LIMIT_S


@pytest.mark.parametrize('status', [400, 404, 409, 421, 429, 503])
def test_refused_order_leaves_a_later_proof_of_the_end(status: int) -> None:
    assert shows_no_effect(status, has_handle=False)


@pytest.mark.parametrize(
    ('status', 'has_handle'),
    [(0, False), (200, True), (200, False), (500, False), (503, True)],
)
def test_order_without_a_refusal_may_have_been_carried_out(
    status: int, has_handle: bool
) -> None:
    assert not shows_no_effect(status, has_handle=has_handle)


def test_absence_after_a_lost_order_is_no_end_of_the_run() -> None:
    proof = read_stop_answer(
        404,
        has_handle=False,
        has_process_ended=False,
        has_begun=True,
        may_have_stopped=True,
    )
    assert proof is StopProof.absent
    assert proof.allows_resumption
