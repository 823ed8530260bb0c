"""Engines are told how urgent a generation is, where that is switched on."""

from typing import Any

import pytest

from mastichatch_core.relay.admission.urgency import engine_urgency
from mastichatch_core.relay.load_control import LoadControl
from tests.relay_nodes import open_relay
from tests.standins import house_endpoints as endpoints
from tests.standins.house_endpoints import HouseEndpoint

URGENCY = 'mastichatch-request-urgency'


@pytest.mark.parametrize('rank', [-3, 0, 1, 4, 99])
@pytest.mark.parametrize('other', [0, 2, 10**9])
def test_request_in_time_comes_before_any_late_one(
    rank: int, other: int
) -> None:
    in_time = engine_urgency(rank, 100, 1500)
    late = engine_urgency(other, 1501, 1500)
    assert 0 <= in_time < late <= 9


def test_request_without_an_objective_is_never_late() -> None:
    assert engine_urgency(2, 10**9, 0) == 2


@pytest.mark.parametrize(
    ('settings', 'is_told'),
    [({}, False), ({'engine_urgency': LoadControl.on}, True)],
)
async def test_engine_is_told_by_the_node_and_not_by_callers(
    settings: dict[str, Any], is_told: bool
) -> None:
    engine = HouseEndpoint('e', endpoints.stream(3, 0.01))
    async with open_relay(engines=(engine,), **settings) as relay:
        headers = (f'{URGENCY}: 9', 'Mastichatch-Token-Counts: 100,20')
        answer = await relay.call('/plan/x', headers=headers)
    assert answer.status == 200
    told = engine.received[0].headers.get(URGENCY)
    assert told == ('1' if is_told else None)
