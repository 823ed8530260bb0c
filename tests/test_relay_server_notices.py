"""Tests of what endpoints announce in the headers of their answers."""

import asyncio

import pytest

from mastichatch_core.relay.model import EndpointState
from tests.relay_nodes import RelayFixture, known_endpoints, open_relay, until
from tests.standins import house_endpoints as endpoints
from tests.standins.house_endpoints import HouseEndpoint

LEAVING = 'Server-Leaving: 1\r\n'
PLAN = ('Mastichatch-Model: m', 'Mastichatch-Token-Counts: 100,2000')


def app(name: str) -> HouseEndpoint:
    return HouseEndpoint(instance=name, script=endpoints.respond_ok)


async def rewrite_entry(relay: RelayFixture, endpoint: HouseEndpoint) -> None:
    """Let the store say that an endpoint is ready, and wait for that."""
    entry = {**endpoint.entry('app', 'north'), 'slots': 7}
    await relay.store.put(f'servers/{endpoint.instance}', entry)
    await until(
        lambda: known_endpoints(relay.node)[endpoint.instance].slots == 7
    )


async def call_often(relay: RelayFixture, prefix: str) -> None:
    """Call until each of two endpoints has had several chances."""
    for number in range(12):
        request_id = f'{prefix}{number}'
        answer = await relay.call('/lookup/x', request_id=request_id)
        assert answer.status == 200


def state_of(relay: RelayFixture, name: str) -> EndpointState:
    return known_endpoints(relay.node)[name].state


class TestEndpointThatSaysItLeaves:
    """Guards against requests to an endpoint that has announced its shutdown.

    The store may say for seconds more that it is ready.
    """

    @pytest.mark.parametrize(
        'script', [endpoints.respond_ok, endpoints.refuse, endpoints.fail]
    )
    async def test_it_gets_no_more_calls(
        self, script: endpoints.Script
    ) -> None:
        leaving, other = app('a-1'), app('a-2')
        leaving.script = script
        leaving.said_headers = LEAVING
        async with open_relay((leaving, other)) as relay:
            await call_often(relay, 'a')
            received = len(leaving.received)
            assert received <= 1
            await rewrite_entry(relay, leaving)
            assert state_of(relay, 'a-1') is EndpointState.draining
            await call_often(relay, 'b')
            assert len(leaving.received) == received

    async def test_it_is_used_again_once_it_has_started_anew(self) -> None:
        leaving = app('a-1')
        leaving.said_headers = LEAVING
        async with open_relay((leaving,)) as relay:
            await relay.call('/lookup/x')
            assert (await relay.call('/lookup/x')).status == 503
            leaving.said_headers = ''
            leaving.born += 1
            await rewrite_entry(relay, leaving)
            assert (await relay.call('/lookup/x')).status == 200

    async def test_its_runs_leave_when_the_head_of_a_stream_says_so(
        self,
    ) -> None:
        leaving = HouseEndpoint('e-1', endpoints.stream(60, 0.02))
        other = HouseEndpoint('e-2', endpoints.stream(60, 0.02))
        leaving.said_headers = LEAVING
        async with open_relay((), (leaving, other)) as relay:
            answers = [
                await relay.call(
                    '/plan/x', headers=PLAN, request_id=f'r{number}'
                )
                for number in range(2)
            ]
            assert all(one.is_whole for one in answers)
            assert len(leaving.received) <= 1

    async def test_the_answer_to_a_report_says_so(self) -> None:
        leaving = HouseEndpoint('e-1', endpoints.stream(100, 0.02))
        async with open_relay((), (leaving,)) as relay:
            work = asyncio.ensure_future(relay.call('/plan/x', headers=PLAN))
            await until(lambda: bool(leaving.received))
            leaving.said_headers = LEAVING
            await until(
                lambda: state_of(relay, 'e-1') is EndpointState.draining
            )
            await work

    @pytest.mark.parametrize('said', ['0', 'yes', ''])
    async def test_other_values_announce_nothing(self, said: str) -> None:
        endpoint = app('a-1')
        endpoint.said_headers = f'Server-Leaving: {said}\r\n'
        async with open_relay((endpoint,)) as relay:
            await relay.call('/lookup/x')
            assert state_of(relay, 'a-1') is EndpointState.ready
