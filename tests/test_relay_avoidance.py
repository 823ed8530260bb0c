"""Tests of engines that crashed and look empty until the store removes them."""

import pytest

from mastichatch_core.relay.avoidance import (
    REFUSED_CONNECTION_S,
    REPLACED_INSTANCE_S,
    shared_avoidance_s,
    unreachable_engines,
)
from mastichatch_core.relay.model import Endpoint, EndpointState
from tests.processes import free_address
from tests.relay_nodes import call, known_endpoints, open_two_nodes, until
from tests.standins import house_endpoints as endpoints
from tests.standins.house_endpoints import HouseEndpoint

TOKENS = ('Mastichatch-Model: m', 'Mastichatch-Token-Counts: 100,400')


class TestDecision:
    def test_refused_connection_and_replaced_instance_are_shared(self) -> None:
        refused_s = shared_avoidance_s(is_connection_refused=True, status=0)
        replaced_s = shared_avoidance_s(is_connection_refused=False, status=421)
        assert refused_s == REFUSED_CONNECTION_S
        assert replaced_s == REPLACED_INSTANCE_S

    @pytest.mark.parametrize('status', [0, 200, 429, 500, 503])
    def test_other_failures_are_not_shared(self, status: int) -> None:
        found = shared_avoidance_s(is_connection_refused=False, status=status)
        assert found == 0


class TestCutDataCentre:
    engines = tuple(
        Endpoint(
            instance=f'{data_centre}-{number}',
            service='llm',
            address='10.0.0.1:80',
            data_centre=data_centre,
            slots=64,
            state=EndpointState.ready,
        )
        for data_centre in ('north', 'south', 'west')
        for number in range(10)
    )

    def test_one_time_out_is_enough_for_a_data_centre(self) -> None:
        """Ten engines one by one would take 2.5 s of a request."""
        found = unreachable_engines(self.engines[10], self.engines, 'north')
        assert found == tuple(sorted(f'south-{n}' for n in range(10)))

    def test_silent_engine_of_the_own_data_centre_counts_alone(self) -> None:
        found = unreachable_engines(self.engines[3], self.engines, 'north')
        assert found == ('north-3',)

    def test_engine_that_left_meanwhile_is_avoided_too(self) -> None:
        found = unreachable_engines(self.engines[10], (), 'north')
        assert found == ('south-0',)


def engine(name: str) -> HouseEndpoint:
    return HouseEndpoint(instance=name, script=endpoints.stream(3))


class TestCrashedEngines:
    async def test_replaced_engine_is_tried_once_by_all_nodes(self) -> None:
        gone, sound = engine('i-e'), engine('i-f')
        async with open_two_nodes(gone, sound) as (relay, second, _node):
            # Another instance answers at the address of the crashed one.
            gone.instance = 'i-new'
            answers = [
                await call(
                    address, '/plan/x', request_id=f'{n}', headers=TOKENS
                )
                for n in range(4)
                for address in (relay.settings.callers_address, second)
            ]
        assert all(answer.is_whole for answer in answers)
        assert len(gone.received) == 1
        assert len(sound.received) == len(answers)

    async def test_refused_connections_cost_no_retry(self) -> None:
        gone, sound = engine('i-e'), engine('i-f')
        async with open_two_nodes(gone, sound) as (relay, second, node):
            crashed = gone.entry('llm', 'north') | {'address': free_address()}
            await relay.store.put('servers/i-e', crashed)
            await until(
                lambda: (
                    known_endpoints(node)['i-e'].address == crashed['address']
                )
            )
            for number in range(10):
                answer = await call(
                    second, '/plan/x', request_id=f'{number}', headers=TOKENS
                )
                assert answer.is_whole
        assert len(sound.received) == 10

    async def test_only_engine_is_tried_although_it_is_avoided(self) -> None:
        one = engine('i-e')
        async with open_two_nodes(one) as (relay, _second, _node):
            one.instance = 'i-new'
            refused = await relay.call('/plan/x', headers=TOKENS)
            assert refused.status == 503
            one.instance = 'i-e'
            answer = await relay.call('/plan/x', headers=TOKENS)
            assert answer.is_whole
