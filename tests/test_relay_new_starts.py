"""Tests that nothing known of one start of an endpoint is used for the next.

It comes back under the id and at the address that it had, before its entry has
expired.
"""

import asyncio

import pytest

from mastichatch_core.generated.messages import Run, RunState
from mastichatch_core.relay.engine_choice import measure_loads
from mastichatch_core.relay.model import Endpoint, EndpointState
from mastichatch_core.relay.process_signs import (
    UNREAD_LIMIT_S,
    OpenConnection,
    ProcessSigns,
)
from mastichatch_node.clock import loop_time
from tests.relay_nodes import RelayFixture, known_endpoints, open_relay, until
from tests.standins import house_endpoints as endpoints
from tests.standins.house_endpoints import (
    HouseEndpoint,
    ReceivedRequest,
    Script,
    build_response,
    signature_headers,
)


def known(relay: RelayFixture) -> Endpoint:
    """Return the endpoint as the node knows it."""
    return known_endpoints(relay.node)['i-a']


async def start_again(
    relay: RelayFixture, endpoint: HouseEndpoint, service: str
) -> None:
    """Let an endpoint start again under its id, and register."""
    endpoint.born += 1
    started = endpoint.born
    await relay.store.put('servers/i-a', endpoint.entry(service, 'north'))
    await until(lambda: known(relay).started_ms == started)


class TestNewStartUnderTheSameId:
    async def test_its_failures_and_open_breaker_are_forgotten(self) -> None:
        app = HouseEndpoint('i-a', endpoints.reset)
        async with open_relay((app,)) as relay:
            for number in range(6):
                await relay.call('/book/x', request_id=f'r{number}')
            records = relay.node.relay._context.records
            assert records.get(known(relay).instance).failure_share > 0.5
            app.script = endpoints.respond_ok
            await start_again(relay, app, 'app')
            assert records.get(known(relay).instance).failure_share == 0
            assert (await relay.call('/book/x')).status == 200

    async def test_it_is_not_avoided_for_the_earlier_one(self) -> None:
        engine = HouseEndpoint('i-a', endpoints.stream(3))
        async with open_relay((), (engine,)) as relay:
            records = relay.node.relay._context.records
            records.get(known(relay).instance).avoid(loop_time() + 60)
            await start_again(relay, engine, 'llm')
            stats = records.get(known(relay).instance)
            assert not stats.is_avoided(loop_time())

    async def test_what_a_peer_tells_of_the_earlier_one_is_ignored(
        self,
    ) -> None:
        app = HouseEndpoint('i-a', endpoints.respond_ok)
        async with open_relay((app,)) as relay:
            earlier = known(relay).instance
            await start_again(relay, app, 'app')
            assert not relay.node.belief.mark_draining(earlier)
            assert known(relay).state is EndpointState.ready

    async def test_the_earlier_one_left_and_this_one_has_not(self) -> None:
        app = HouseEndpoint('i-a', endpoints.respond_ok)
        async with open_relay((app,)) as relay:
            assert relay.node.belief.mark_draining(known(relay).instance)
            await start_again(relay, app, 'app')
            assert (await relay.call('/book/x')).status == 200

    async def test_it_has_none_of_the_load_of_the_earlier_one(self) -> None:
        engine = HouseEndpoint('i-a', endpoints.stream(3))
        async with open_relay((), (engine,)) as relay:
            earlier = known(relay).instance
            await start_again(relay, engine, 'llm')
            run = Run(
                request_id='r',
                service='llm',
                state=RunState.running,
                endpoint=earlier,
                prompt_tokens=100,
                expected_tokens=100,
            )
            assert known(relay).instance not in measure_loads((run,))

    @pytest.mark.parametrize('is_silent', [True, False])
    async def test_it_is_used_while_the_store_is_away(
        self, is_silent: bool
    ) -> None:
        """Requests name the id alone, which the next start has as well."""
        app = HouseEndpoint('i-a', endpoints.respond_ok)
        async with open_relay((app,)) as relay:
            relay.store.is_silent = is_silent
            relay.store.refuse_status = 0 if is_silent else 503
            app.crash()
            assert (await relay.call('/book/x')).status >= 500
            await app.restart(keeps_id=True)
            assert (await relay.call('/book/x')).status == 200


def respond_once(started: asyncio.Event, status: int, headers: str) -> Script:
    """Return a script that waits for the next start before it answers."""

    async def write(
        endpoint: HouseEndpoint,
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> None:
        await started.wait()
        head = f'{signature_headers(request)}{headers}'
        writer.write(build_response(status, b'', head))

    return write


class TestLateAnswerOfAnEarlierStart:
    """A process that leaves in order serves what it has to the end.

    By then the next one may listen at the same address, and be registered.
    """

    async def test_it_does_not_mark_the_next_start_as_leaving(self) -> None:
        started = asyncio.Event()
        script = respond_once(started, 200, 'Server-Leaving: 1\r\n')
        app = HouseEndpoint('i-a', script)
        async with open_relay((app,)) as relay:
            call = asyncio.create_task(relay.call('/book/x'))
            await until(lambda: bool(app.received))
            await start_again(relay, app, 'app')
            started.set()
            assert (await call).status == 200
            assert known(relay).state is EndpointState.ready

    async def test_it_does_not_pause_the_next_start(self) -> None:
        started = asyncio.Event()
        headers = 'Mastichatch-Not-Executed: 1\r\nRetry-After: 30\r\n'
        app = HouseEndpoint('i-a', respond_once(started, 503, headers))
        async with open_relay((app,)) as relay:
            call = asyncio.create_task(relay.call('/book/x'))
            await until(lambda: bool(app.received))
            await start_again(relay, app, 'app')
            app.script = endpoints.respond_ok
            started.set()
            await call
            records = relay.node.relay._context.records
            stats = records.get(known(relay).instance)
            assert not stats.is_paused(loop_time())


class TestAnswerOfTheNextStart:
    """It may need time at once, while connections to the earlier one live."""

    @pytest.mark.parametrize(
        ('status', 'headers'),
        [
            (503, 'Mastichatch-Not-Executed: 1\r\nRetry-After: 30\r\n'),
            (200, 'Server-Leaving: 1\r\n'),
        ],
    )
    async def test_it_is_left_alone_when_it_says_so(
        self, status: int, headers: str
    ) -> None:
        ended, answers = asyncio.Event(), asyncio.Event()
        app = HouseEndpoint('i-a', respond_once(ended, 200, ''))
        async with open_relay((app,)) as relay:
            call = asyncio.create_task(relay.call('/book/x'))
            await until(lambda: bool(app.received))
            await start_again(relay, app, 'app')
            answers.set()
            app.script = respond_once(answers, status, headers)
            await relay.call('/book/x', request_id='r2')
            records = relay.node.relay._context.records
            stats = records.get(known(relay).instance)
            is_leaving = known(relay).state is not EndpointState.ready
            assert is_leaving or stats.is_paused(loop_time())
            ended.set()
            await call


class TestFormerProcess:
    def open_signs(self) -> tuple[ProcessSigns, OpenConnection]:
        """Return signs of a process that has started again."""
        signs = ProcessSigns()
        signs.record_processes({'a:1': 'i@1'})
        connection = OpenConnection('a:1', lambda: True)
        signs.record_connect(connection)
        signs.record_processes({'a:1': 'i@2'})
        return signs, connection

    def test_may_answer_while_a_connection_to_it_is_open(self) -> None:
        signs, _ = self.open_signs()
        signs.record_connect(OpenConnection('a:1', lambda: True))
        signs.review_former(100)
        signs.review_former(200)
        assert signs.may_be_former('a:1')

    def test_may_have_answered_just_before_its_connection_ended(self) -> None:
        signs, connection = self.open_signs()
        signs.record_end(connection)
        signs.review_former(100)
        assert signs.may_be_former('a:1')
        signs.review_former(100 + UNREAD_LIMIT_S)
        assert not signs.may_be_former('a:1')

    def test_connections_to_the_next_start_do_not_count(self) -> None:
        signs, connection = self.open_signs()
        signs.record_connect(OpenConnection('a:1', lambda: True))
        signs.record_end(connection)
        signs.review_former(100)
        signs.review_former(100 + UNREAD_LIMIT_S)
        assert not signs.may_be_former('a:1')

    def test_does_not_answer_on_a_connection_opened_since(self) -> None:
        signs, connection = self.open_signs()
        since = OpenConnection('a:1', lambda: True)
        signs.record_connect(since)
        assert signs.may_be_former('a:1', connection)
        assert not signs.may_be_former('a:1', since)

    def test_same_start_is_not_its_own_former_one(self) -> None:
        signs = ProcessSigns()
        signs.record_processes({'a:1': 'i@1'})
        signs.record_processes({'a:1': 'i@1'})
        assert not signs.may_be_former('a:1')
