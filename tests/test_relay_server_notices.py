"""Tests of what endpoints announce in the headers of their answers."""

import asyncio
import math

import pytest

from mastichatch_core.relay.model import EndpointState
from mastichatch_core.relay.server_pauses import (
    MAX_PAUSE_S,
    MAX_RETURN_SPREAD_S,
    RETURN_SPREAD_SHARE,
    calls_after_pause,
    pause_s,
)
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

    async def test_it_stays_away_if_the_store_had_said_so_before(self) -> None:
        leaving, other = app('a-1'), app('a-2')
        async with open_relay((leaving, other)) as relay:
            entry = leaving.entry('app', 'north', 'draining')
            await relay.store.put('servers/a-1', entry)
            await until(
                lambda: state_of(relay, 'a-1') is EndpointState.draining
            )
            instance = known_endpoints(relay.node)['a-1'].instance
            assert not relay.node.belief.mark_draining(instance)
            await rewrite_entry(relay, leaving)
            assert state_of(relay, 'a-1') is EndpointState.draining

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


def refusing(name: str, retry_after: str) -> HouseEndpoint:
    """Return an endpoint that refuses all calls, and asks for time."""
    endpoint = HouseEndpoint(instance=name, script=endpoints.refuse)
    endpoint.said_headers = f'Retry-After: {retry_after}\r\n'
    return endpoint


class TestEndpointThatAsksForTime:
    """Guards against requests to an endpoint that has asked for time.

    It turns requests away with 503 and Retry-After, and each further one adds
    to the load that it wants to be rid of.
    """

    async def test_it_gets_no_calls_for_that_time(self) -> None:
        busy, other = refusing('a-1', '1.2'), app('a-2')
        async with open_relay((busy, other)) as relay:
            await call_often(relay, 'a')
            await asyncio.sleep(0.6)
            await call_often(relay, 'b')
            assert len(busy.received) == 1
            busy.script, busy.said_headers = endpoints.respond_ok, ''
            other.said_headers = LEAVING
            await asyncio.sleep(1)
            await call_often(relay, 'c')
            assert len(busy.received) > 10

    async def test_callers_learn_at_once_when_there_is_room_again(self) -> None:
        busy = refusing('a-1', '3')
        async with open_relay((busy,)) as relay:
            for _ in range(5):
                answer = await relay.call('/lookup/x')
                assert answer.status == 503
                assert 2.5 < float(answer.headers['retry-after']) < 5
            assert len(busy.received) == 1

    async def test_an_engine_gets_neither_runs_nor_reports_for_that_time(
        self,
    ) -> None:
        engine = HouseEndpoint('e-1', endpoints.stream(110, 0.025))
        async with open_relay((), (engine,)) as relay:
            # The stream lasts for 2.75 s at least, and longer beside load.
            work = asyncio.ensure_future(
                relay.call('/plan/x', headers=PLAN, timeout_ms=5000)
            )
            await until(lambda: engine.reports > 1)
            engine.script = endpoints.refuse
            engine.said_headers = 'Retry-After: 1.5\r\n'
            refused = await relay.call('/plan/x', headers=PLAN, request_id='r2')
            assert refused.status == 503
            received, reports = len(engine.received), engine.reports
            again = await relay.call('/plan/x', headers=PLAN, request_id='r3')
            assert again.status == 503
            assert float(again.headers['retry-after']) > 1
            await asyncio.sleep(1)
            assert len(engine.received) == received
            assert engine.reports == reports
            assert (await work).is_whole

    async def test_its_next_start_has_not_asked_for_time(self) -> None:
        endpoint = refusing('a-1', '60')
        async with open_relay((endpoint,)) as relay:
            assert (await relay.call('/lookup/x')).status == 503
            endpoint.script, endpoint.said_headers = endpoints.respond_ok, ''
            endpoint.born += 1
            await rewrite_entry(relay, endpoint)
            assert (await relay.call('/lookup/x')).status == 200

    @pytest.mark.parametrize(
        'said',
        ['-5', 'nan', 'soon', '', 'Wed, 21 Oct 2026 07:28:00 GMT', '0', '1 2'],
    )
    async def test_odd_values_ask_for_nothing(self, said: str) -> None:
        endpoint = refusing('a-1', said)
        async with open_relay((endpoint,)) as relay:
            await relay.call('/lookup/x')
            endpoint.script, endpoint.said_headers = endpoints.respond_ok, ''
            assert (await relay.call('/lookup/x')).status == 200

    async def test_several_headers_end_no_connection(self) -> None:
        endpoint = refusing('a-1', '0.3\r\nRetry-After: 7')
        async with open_relay((endpoint,)) as relay:
            assert (await relay.call('/lookup/x')).status == 503
            endpoint.script, endpoint.said_headers = endpoints.respond_ok, ''
            await asyncio.sleep(0.5)
            assert (await relay.call('/lookup/x')).status == 200


class TestPauses:
    @pytest.mark.parametrize('requested_s', [1e9, math.inf])
    def test_no_endpoint_is_left_alone_for_good(
        self, requested_s: float
    ) -> None:
        longest_s = pause_s(requested_s, 1)
        assert longest_s == MAX_PAUSE_S + MAX_RETURN_SPREAD_S

    @pytest.mark.parametrize('requested_s', [0.05, 1, 8, 120])
    def test_nodes_return_one_after_the_other(self, requested_s: float) -> None:
        first_s, last_s = pause_s(requested_s, 0), pause_s(requested_s, 1)
        assert first_s == requested_s
        assert last_s - first_s == pytest.approx(
            min(requested_s * RETURN_SPREAD_SHARE, MAX_RETURN_SPREAD_S)
        )

    def test_an_endpoint_gets_its_slots_back_step_by_step(self) -> None:
        allowed = [calls_after_pause(8, since) for since in (-1, 0, 1, 2)]
        assert allowed == [0, 1, 5, math.inf]
