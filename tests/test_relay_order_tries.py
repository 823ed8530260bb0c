"""Tests of orders to stop a run that are sent again while answers are awaited.

A later try finds no run, since the first one has stopped it. Its answer, which
names the copy, comes afterwards. Counted as lost, it made the end of every
stream from that engine doubtful.
"""

import asyncio
from types import SimpleNamespace
from typing import Any, cast

import pytest

from mastichatch_core.relay.model import Endpoint, EndpointState
from mastichatch_core.relay.run_engines import RunEngines
from mastichatch_core.relay.run_stops import (
    FIRST_ANSWER_WAIT_S,
    LATE_ANSWER_WAIT_S,
)
from mastichatch_node.clock import loop_time
from mastichatch_node.relay.dialect import MoveOrder, MoveResponse
from mastichatch_node.relay.run_stopping import RunStopper, StoppedRun
from mastichatch_node.relay.run_transfer import StopOrder

pytestmark = pytest.mark.looptime(noop_cycles=1)

GONE = MoveResponse(status=404)
COPIED = MoveResponse(status=503, handle='h')


def endpoint_of(name: str) -> Endpoint:
    return Endpoint(
        instance=name,
        service='llm',
        address=name,
        data_centre='north',
        slots=8,
        state=EndpointState.ready,
    )


def order_stop(*answers: tuple[float, MoveResponse]) -> StopOrder:
    """Order an engine to stop a run, which answers each try after a time."""
    left = list(answers)

    async def move_run(order: MoveOrder) -> MoveResponse:
        delay_s, answer = left.pop(0)
        await asyncio.sleep(delay_s)
        return answer

    signs = SimpleNamespace(
        is_open=lambda address: True, has_ended=lambda address: False
    )
    stopper = RunStopper(
        cast(Any, SimpleNamespace(move_run=move_run)),
        cast(Any, SimpleNamespace(log_decision=lambda *_, **known: None)),
        cast(Any, SimpleNamespace(signs=signs)),
    )
    source, engines = endpoint_of('i-e'), RunEngines()
    engines.record_request(source, loop_time())
    engines.record_answer(source)
    run = StoppedRun(request_id='r', last_event=1, ends_at=loop_time() + 60)
    return stopper.stop(run, source, endpoint_of('i-f'), engines)


async def test_late_answer_that_names_the_copy_counts_as_answered() -> None:
    late_s = FIRST_ANSWER_WAIT_S + LATE_ANSWER_WAIT_S / 2
    order = order_stop((late_s, COPIED), (0, GONE))
    outcome = await order.result()
    assert outcome.location is not None
    assert outcome.location.handle == 'h'
    assert order.unanswered == 0


async def test_late_refusal_leaves_the_proof_of_the_end() -> None:
    """No try has stopped the run, which had ended by itself."""
    late_s = FIRST_ANSWER_WAIT_S + LATE_ANSWER_WAIT_S / 2
    order = order_stop((late_s, GONE), (0, GONE))
    outcome = await order.result()
    assert outcome.had_ended


async def test_absence_proves_no_end_while_another_try_is_unanswered() -> None:
    order = order_stop((60, GONE), (0, GONE))
    outcome = await order.result()
    assert outcome.has_stopped
    assert not outcome.had_ended


@pytest.mark.parametrize(('transfer_s', 'most'), ((1, 3), (2, 4), (3.9, 5)))
async def test_order_that_is_being_carried_out_is_seldom_repeated(
    transfer_s: float, most: int
) -> None:
    """Other tries are answered with a conflict until the run has moved."""
    conflicts = ((0, MoveResponse(status=409)),) * 20
    order = order_stop((transfer_s, COPIED), *conflicts)
    outcome = await order.result()
    assert outcome.location is not None
    assert order.sent <= most
