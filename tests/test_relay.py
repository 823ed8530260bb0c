"""Tests of a relay node against simulated platform services."""

import asyncio
import contextlib
import itertools
from collections.abc import AsyncIterator

import pytest
from mastichatch_platform.documents import decode_configuration
from mastichatch_platform.program import create_adapter

from mastichatch_core.relay.known_configuration import KnownConfiguration
from mastichatch_node.relay.program import open_node
from mastichatch_node.relay.relay_node import DRAIN_NOTICE_S
from mastichatch_node.relay.telemetry import Telemetry
from tests.relay_nodes import (
    known_endpoints,
    WAIT_S,
    Response,
    RelayFixture,
    call,
    configuration,
    create_settings,
    open_relay,
    read_answer,
    request_bytes,
    route,
    until,
)
from tests.standins import house_endpoints as endpoints
from tests.standins.house_endpoints import HouseEndpoint, respond_ok


def app(
    name: str = 'i-a', script: endpoints.Script = respond_ok
) -> HouseEndpoint:
    return HouseEndpoint(instance=name, script=script)


class TestForwarding:
    async def test_request_and_answer_are_forwarded_unchanged(self) -> None:
        one = app()
        async with open_relay((one,)) as relay:
            answer = await relay.call('/book/x?a=1', body=b'{"load": 4}')
        assert answer.status == 200
        assert answer.body == b'done by i-a'
        assert answer.headers['mastichatch-server-seal'] == '3e1b.07'
        seen = one.received[0]
        assert (seen.method, seen.target) == ('POST', '/book/x?a=1')
        assert seen.body == b'{"load": 4}'
        assert seen.headers['mastichatch-expect-instance'] == 'i-a'
        assert seen.headers['mastichatch-tenant'] == 'depots'
        assert 2000 < int(seen.headers['mastichatch-deadline-ms']) <= 3000
        assert 'authorization' not in seen.headers

    async def test_system_headers_from_callers_are_removed(
        self,
    ) -> None:
        one = app()
        forged = (
            'Mastichatch-Tenant: other',
            'Mastichatch-Hold: h',
            'Mastichatch-Pin-Ms: 900',
            'Mastichatch-Kv-Backup: 10.0.0.1:80',
            'Kv-From: 10.0.0.1:80/x',
            'Mastichatch-Request-Urgency: 0',
        )
        async with open_relay((one,)) as relay:
            await relay.call('/book/x', headers=forged)
        headers = one.received[0].headers
        assert headers['mastichatch-tenant'] == 'depots'
        assert not {
            'mastichatch-hold',
            'mastichatch-pin-ms',
            'mastichatch-kv-backup',
            'kv-from',
            'mastichatch-request-urgency',
        }.intersection(headers)

    async def test_chunked_body_is_forwarded_complete(self) -> None:
        one = app()
        async with open_relay((one,)) as relay:
            head = request_bytes('/book/x').replace(
                b'Content-Length: 0', b'Transfer-Encoding: chunked'
            )
            reader, writer = await _connect(relay)
            for part in (head, b'3\r\nabc\r\n', b'2\r\nde\r\n0\r\n\r\n'):
                writer.write(part)
                await asyncio.sleep(0.01)
            answer = await read_answer(reader)
            writer.close()
        assert answer.status == 200
        assert one.received[0].body == b'abcde'

    async def test_caller_connection_is_reused(self) -> None:
        async with open_relay((app(),)) as relay:
            reader, writer = await _connect(relay)
            for number in range(3):
                writer.write(request_bytes('/book/x', request_id=str(number)))
                assert (await read_answer(reader)).status == 200
            writer.close()


class TestRefusals:
    @pytest.mark.parametrize(
        ('options', 'status'),
        [
            ({'path': '/nowhere/'}, 404),
            ({'path': '/book/x', 'host': 'other.example'}, 404),
            ({'path': '/book/x', 'key': ''}, 401),
            ({'path': '/book/x', 'key': 'wrong'}, 401),
            ({'path': '/book/x', 'body': b'x' * 10001}, 413),
            ({'path': '/book/x', 'headers': ('X-Long: ' + 'x' * 5000,)}, 431),
            (
                {'path': '/book/x', 'headers': ('Transfer-Encoding: chunked',)},
                400,
            ),
            ({'path': '/book/x', 'headers': ('Host: two.example',)}, 400),
        ],
    )
    async def test_invalid_request_is_rejected(
        self, options: dict[str, str], status: int
    ) -> None:
        one = app()
        async with open_relay((one,)) as relay:
            answer = await relay.call(**options)
        assert answer.status == status
        assert not one.received

    async def test_service_without_endpoints_answers_503(self) -> None:
        async with open_relay() as relay:
            answer = await relay.call('/book/x')
        assert answer.status == 503
        assert float(answer.headers['retry-after']) > 0

    async def test_node_without_configuration_answers_503(self) -> None:
        async with open_relay((app(),)) as relay:
            relay.node.belief._configuration = KnownConfiguration(
                decode_configuration
            )
            answer = await relay.call('/book/x')
        assert answer.status == 503


class TestAttempts:
    async def test_refused_call_is_sent_to_another_endpoint(
        self,
    ) -> None:
        first, second = app('i-a', endpoints.refuse), app('i-b')
        async with open_relay((first, second)) as relay:
            answers = [
                await relay.call('/book/x', request_id=str(number))
                for number in range(4)
            ]
        assert [answer.status for answer in answers] == [200] * 4
        assert len(second.ran) == 4

    async def test_reused_address_of_another_instance_runs_nothing(
        self,
    ) -> None:
        first, second = app('i-a'), app('i-b')
        async with open_relay((first, second)) as relay:
            first.instance = 'i-new'
            answers = [
                await relay.call('/book/x', request_id=str(number))
                for number in range(3)
            ]
        assert [answer.status for answer in answers] == [200] * 3
        assert not first.ran

    async def test_refusal_by_all_endpoints_answers_503(self) -> None:
        async with open_relay((app('i-a', endpoints.refuse),)) as relay:
            answer = await relay.call('/book/x')
        assert answer.status == 503

    @pytest.mark.parametrize('script', [endpoints.reset, endpoints.fail])
    async def test_call_that_may_have_run_is_never_retried(
        self, script: endpoints.Script
    ) -> None:
        pair = app('i-a', script), app('i-b', script)
        async with open_relay(pair) as relay:
            answer = await relay.call('/book/x')
        assert answer.status in {500, 502}
        assert sum(len(one.ran) for one in pair) == 1

    async def test_idempotent_call_is_retried_after_a_failure(self) -> None:
        scripts = itertools.cycle((endpoints.fail, respond_ok))

        async def alternate(
            endpoint: HouseEndpoint,
            seen: endpoints.ReceivedRequest,
            writer: asyncio.StreamWriter,
        ) -> None:
            await next(scripts)(endpoint, seen, writer)

        pair = app('i-a', alternate), app('i-b', alternate)
        async with open_relay(pair) as relay:
            answer = await relay.call('/lookup/x', method='GET')
        assert answer.status == 200

    async def test_idempotent_call_is_retried_at_most_as_configured(
        self,
    ) -> None:
        trio = tuple(app(f'i-{name}', endpoints.fail) for name in 'abc')
        async with open_relay(trio) as relay:
            answer = await relay.call('/lookup/x', method='GET')
        assert answer.status == 500
        assert sum(len(one.ran) for one in trio) == 2

    async def test_call_to_a_hanging_endpoint_is_retried_elsewhere(
        self,
    ) -> None:
        pair = app('i-a', endpoints.hang), app('i-b', endpoints.hang)
        async with open_relay(pair) as relay:
            pair[1].script = pair[0].script = _hang_once()
            answer = await relay.call('/lookup/x', timeout_ms=1000)
        assert answer.status == 200

    async def test_timeout_after_sending_does_not_claim_not_run(self) -> None:
        async with open_relay((app('i-a', endpoints.hang),)) as relay:
            answer = await relay.call('/book/x', timeout_ms=200)
        assert answer.status in {502, 504}

    async def test_503_without_proof_is_not_forwarded(self) -> None:
        script = endpoints.raw(
            lambda seen: endpoints.build_response(
                503, b'', endpoints.signature_headers(seen)
            )
        )
        async with open_relay((app('i-a', script),)) as relay:
            answer = await relay.call('/book/x')
        assert answer.status == 502


class TestInvalidAnswers:
    @pytest.mark.parametrize(
        ('answer', 'closes'),
        [
            (lambda seen: b'not http at all\r\n\r\n', True),
            (lambda seen: endpoints.build_response(200, b'x'), False),
            (
                lambda seen: endpoints.build_response(
                    200,
                    b'x',
                    'Mastichatch-Attempt-Id: other\r\n'
                    'Mastichatch-Server-Seal: s\r\n',
                ),
                False,
            ),
            (
                lambda seen: endpoints.build_response(
                    200, b'x' * 50, endpoints.signature_headers(seen)
                )[:-20],
                True,
            ),
            (
                lambda seen: endpoints.build_response(
                    200,
                    b'x',
                    endpoints.signature_headers(seen)
                    + 'Content-Encoding: gzip\r\n',
                ),
                False,
            ),
        ],
    )
    async def test_invalid_answer_is_not_forwarded(
        self, answer: object, closes: bool
    ) -> None:
        script = endpoints.raw(answer, closes=closes)  # type: ignore[arg-type]
        async with open_relay((app('i-a', script),)) as relay:
            got = await relay.call('/book/x')
        assert got.status == 502

    async def test_answer_without_a_length_ends_with_its_connection(
        self,
    ) -> None:
        def unframed(seen: endpoints.ReceivedRequest) -> bytes:
            head = f'HTTP/1.1 200 OK\r\n{endpoints.signature_headers(seen)}\r\n'
            return head.encode() + b'whole body'

        script = endpoints.raw(unframed, closes=True)
        async with open_relay((app('i-a', script),)) as relay:
            answer = await relay.call('/book/x')
        assert (answer.status, answer.body) == (200, b'whole body')

    @pytest.mark.parametrize('is_serving', [True, False])
    async def test_answer_without_a_length_is_whole_behind_a_closed_listener(
        self, is_serving: bool
    ) -> None:
        """A refusal is no sign of a crash while other calls are served."""

        async def answer(
            endpoint: HouseEndpoint,
            request: endpoints.ReceivedRequest,
            writer: asyncio.StreamWriter,
        ) -> None:
            endpoint.ran.append(request.request_id)
            sign = endpoints.signature_headers(request)
            writer.write(f'HTTP/1.1 200 OK\r\n{sign}\r\n'.encode())
            if request.request_id == 'slow':
                for _ in range(60):
                    writer.write(b'x')
                    await asyncio.sleep(0.02)
            elif not is_serving:
                endpoint.crash()
            else:
                endpoint.close()
                writer.write(b'whole body')
            writer.close()

        async with open_relay((app('i-a', answer),)) as relay:
            slow = asyncio.ensure_future(
                relay.call('/book/x', request_id='slow')
            )
            await asyncio.sleep(0.2)
            got = await relay.call('/book/x')
            await slow
        assert got.status == (200 if is_serving else 502)

    async def test_caller_that_does_not_read_is_no_failure_of_the_endpoint(
        self,
    ) -> None:
        body = b'x' * 30_000_000

        async def answer(
            endpoint: HouseEndpoint,
            request: endpoints.ReceivedRequest,
            writer: asyncio.StreamWriter,
        ) -> None:
            endpoint.ran.append(request.request_id)
            sign = endpoints.signature_headers(request)
            writer.write(endpoints.build_response(200, body, sign))
            await writer.drain()

        async with open_relay((app('i-a', answer),)) as relay:
            host, _, port = relay.settings.callers_address.rpartition(':')
            reader, writer = await asyncio.open_connection(
                host, int(port), limit=1024
            )
            writer.write(request_bytes('/book/x', timeout_ms=700))
            await asyncio.sleep(1.5)
            metrics = await call(
                relay.settings.metrics_address, '/metrics', method='GET'
            )
            assert not (await read_answer(reader)).is_whole
            writer.close()
        assert b'attempts_total{outcome="unknown"}' not in metrics.body
        assert b'relay_active 0.0' in metrics.body

    async def test_surplus_answer_is_discarded(self) -> None:
        def send_twice(seen: endpoints.ReceivedRequest) -> bytes:
            ok = endpoints.build_response(
                200, b'mine', endpoints.signature_headers(seen)
            )
            return ok + endpoints.build_response(
                200, b'extra', endpoints.signature_headers(seen)
            )

        script = endpoints.raw(send_twice)
        async with open_relay((app('i-a', script),)) as relay:
            reader, writer = await _connect(relay)
            for number in range(3):
                writer.write(request_bytes('/book/x', request_id=str(number)))
                assert (await read_answer(reader)).body == b'mine'
            writer.close()

    async def test_refused_head_request_is_answered_without_a_body(
        self,
    ) -> None:
        """The body of the error used to end the connection instead."""
        async with open_relay((app(),)) as relay:
            reader, writer = await _connect(relay)
            writer.write(request_bytes('/nowhere/', method='HEAD'))
            head = await reader.readuntil(b'\r\n\r\n')
            assert head.startswith(b'HTTP/1.1 404 ')
            writer.write(request_bytes('/book/x', request_id='r2'))
            assert (await read_answer(reader)).status == 200
            writer.close()

    async def test_early_error_keeps_the_caller_connection_open(self) -> None:
        async with open_relay((app(),)) as relay:
            reader, writer = await _connect(relay)
            writer.write(request_bytes('/nowhere/', body=b'x' * 900))
            writer.write(request_bytes('/book/x', request_id='r2'))
            assert (await read_answer(reader)).status == 404
            writer.close()


class TestStoreView:
    async def test_draining_endpoint_gets_no_new_requests(self) -> None:
        first, second = app('i-a'), app('i-b')
        async with open_relay((first, second)) as relay:
            entry = first.entry('app', 'north', 'draining')
            await relay.store.put('servers/i-a', entry)
            await until(lambda: _revision(relay) == relay.store.revision)
            for number in range(4):
                await relay.call('/book/x', request_id=str(number))
        assert not first.ran
        assert len(second.ran) == 4

    async def test_evacuated_data_centre_gets_no_new_requests(self) -> None:
        one = app()
        async with open_relay((one,)) as relay:
            await relay.store.put('op/evacuate/north', {})
            await until(lambda: _revision(relay) == relay.store.revision)
            assert (await relay.call('/book/x')).status == 503
            await relay.store.remove('op/evacuate/north')
            await until(lambda: _revision(relay) == relay.store.revision)
            assert (await relay.call('/book/x')).status == 200

    async def test_malformed_entries_are_ignored(self) -> None:
        one = app()
        async with open_relay((one,)) as relay:
            for number, content in enumerate(
                (
                    b'\xff\xfe',
                    b'[]',
                    {'service': 'app'},
                    _entry(one, state='odd'),
                    _entry(one, address=7),
                )
            ):
                await relay.store.put(f'servers/i-{number}', content)
            await until(lambda: _revision(relay) == relay.store.revision)
            assert (await relay.call('/book/x')).status == 200
            assert tuple(known_endpoints(relay.node)) == ('i-a',)

    async def test_compacted_history_causes_a_new_listing(self) -> None:
        one, two = app('i-a'), app('i-b')
        async with open_relay((one,)) as relay:
            async with endpoints.open_endpoints(two):
                relay.store.first_revision = relay.store.revision + 100
                await relay.store.put('servers/i-b', two.entry('app', 'north'))
                await relay.store.remove('servers/i-a')
                relay.store.events.clear()
                await until(
                    lambda: tuple(known_endpoints(relay.node)) == ('i-b',)
                )

    async def test_keys_are_refused_once_the_view_is_too_old(self) -> None:
        async with open_relay((app(),), key_limit_ms=2500) as relay:
            assert (await relay.call('/book/x')).status == 200
            relay.store.is_silent = True
            await until(lambda: not relay.node.is_ready)
            answer = await relay.call('/book/x')
            assert answer.status == 503
            relay.store.is_silent = False
            await until(lambda: relay.node.is_ready)
            assert (await relay.call('/book/x')).status == 200

    async def test_view_comes_from_other_nodes_while_store_is_unreachable(
        self,
    ) -> None:
        async with _open_two_nodes() as (relay, second_address):
            second = await call(second_address, '/book/x', request_id='r2')
            assert second.status == 200
            # A view that is not renewed allows API keys for at most 5 s.
            await asyncio.sleep(6)
            third = await call(second_address, '/book/x', request_id='r3')
            assert third.status == 200

    async def test_lagging_node_queries_other_nodes(self) -> None:
        """Connections of one node to the store stay open but carry no data."""
        async with _open_two_nodes(disconnects=False) as (
            relay,
            second_address,
        ):
            await relay.store.remove('servers/i-a')
            # A watch on a dead connection times out only after 2.5 s.
            await asyncio.sleep(1.9)
            answer = await call(second_address, '/book/x', request_id='r2')
            assert answer.status == 503

    async def test_lagging_node_queries_others_while_its_link_is_silent(
        self,
    ) -> None:
        """New connections of one node to the store carry no data either."""
        async with _open_two_nodes(
            disconnects=False, is_silent_for_new=True
        ) as (relay, second_address):
            await relay.store.remove('servers/i-a')
            await asyncio.sleep(1.9)
            answer = await call(second_address, '/book/x', request_id='r2')
            assert answer.status == 503


@contextlib.asynccontextmanager
async def _open_running_plan(
    events: int,
) -> AsyncIterator[
    tuple[RelayFixture, HouseEndpoint, HouseEndpoint, asyncio.Task[Response]]
]:
    """Run a plan on one engine, and add a second one after it has begun."""
    first = app('i-e', endpoints.stream(events, 0.02))
    second = app('i-f', endpoints.stream(events, 0.005))
    async with open_relay((), (first, second)) as relay:
        second_entry = second.entry('llm', 'north')
        await relay.store.remove('servers/i-f')
        await until(lambda: len(relay.node.belief.endpoints(0)) == 1)
        work = asyncio.ensure_future(
            relay.call('/plan/x', headers=_tokens(100, 2000))
        )
        await until(lambda: bool(first.ran))
        await asyncio.sleep(0.2)
        await relay.store.put('servers/i-f', second_entry)
        yield relay, first, second, work


class TestGenerations:
    async def test_events_are_forwarded_in_order(self) -> None:
        engine = app('i-e', endpoints.stream(5))
        async with open_relay((), (engine,)) as relay:
            answer = await relay.call('/plan/x', headers=_tokens(100, 400))
        assert answer.is_whole
        assert _ids(answer.body) == [1, 2, 3, 4, 5]

    async def test_engine_failure_truncates_the_answer(self) -> None:
        engine = app('i-e', endpoints.stream(9, break_after=4))
        async with open_relay((), (engine,)) as relay:
            answer = await relay.call('/plan/x', headers=_tokens(100, 400))
        assert answer.status == 200
        assert not answer.is_whole
        assert _ids(answer.body) == [1, 2, 3]

    async def test_run_migrates_off_a_draining_engine(self) -> None:
        async with _open_running_plan(60) as (relay, first, second, work):
            entry = first.entry('llm', 'north', 'draining')
            await relay.store.put('servers/i-e', entry)
            answer = await work
        assert answer.is_whole
        assert _ids(answer.body) == list(range(1, 61))
        assert [move['final'] for move in first.moves] == [False, True]
        resumed = second.received[0].headers
        assert resumed['kv-from'] == f'{first.address}/h-r1'

    async def test_run_migrates_off_an_engine_that_reports_its_departure(
        self,
    ) -> None:
        """The store may not report a departure: it can hang for 2.5 s."""
        async with _open_running_plan(120) as (_house, first, _second, work):
            first.leaves_ms = 1500
            answer = await work
        assert answer.is_whole
        assert _ids(answer.body) == list(range(1, 121))
        assert [move['final'] for move in first.moves] == [False, True]

    async def test_run_is_not_resumed_in_an_evacuated_data_centre(
        self,
    ) -> None:
        """A run was resumed from its copy 7.1 s after the evacuation."""
        first = app('i-e', endpoints.stream(60, 0.02, break_after=50))
        second = app('i-f', endpoints.stream(60, 0.005))
        document = configuration()
        document['services'][1]['engine']['backups'] = True
        async with open_relay((), (first, second), document) as relay:
            await relay.store.put('servers/i-f', second.entry('llm', 'south'))
            work = asyncio.ensure_future(
                relay.call('/plan/x', headers=_tokens(100, 2000))
            )
            await until(lambda: bool(first.ran))
            await relay.store.put('op/evacuate/south', {})
            answer = await work
        copied_to = first.received[0].headers['mastichatch-kv-backup']
        assert copied_to == second.address
        assert not answer.is_whole
        assert not second.received

    async def test_refused_resumption_never_claims_not_run(
        self,
    ) -> None:
        """A lost run was reported as not run after a refused resumption."""
        first = app('i-e', endpoints.reset)
        second = app('i-f', endpoints.refuse)
        document = configuration()
        document['services'][1]['engine']['backups'] = True
        async with open_relay((), (first, second), document) as relay:
            answers = [
                await relay.call(
                    '/plan/x',
                    request_id=str(number),
                    headers=_tokens(100, 2000),
                )
                for number in range(6)
            ]
        assert first.ran
        reported_not_run = {
            number
            for number, answer in enumerate(answers)
            if answer.status in {429, 503}
        }
        assert not reported_not_run.intersection(map(int, first.ran))

    async def test_disconnected_caller_cancels_the_run(self) -> None:
        engine = app('i-e', endpoints.stream(500, 0.02))
        async with open_relay((), (engine,)) as relay:
            reader, writer = await _connect(relay)
            writer.write(request_bytes('/plan/x', headers=_tokens(100, 2000)))
            await reader.read(100)
            writer.close()
            await until(lambda: engine.cancelled == ['r1'])

    async def test_prompt_larger_than_any_engine_is_refused_at_once(
        self,
    ) -> None:
        engine = app('i-e', endpoints.stream(5))
        # Queueing for an engine would take half of the objective.
        document = configuration(
            routes=[
                route(
                    'plan', 'streaming', 'llm', goal_ms=90000, timeout_ms=90000
                )
            ]
        )
        async with open_relay((), (engine,), document) as relay:
            async with asyncio.timeout(WAIT_S):
                answer = await relay.call(
                    '/plan/x', headers=_tokens(30000, 100), timeout_ms=90000
                )
        assert answer.status == 503
        assert not engine.received

    async def test_generation_without_capacity_is_refused_in_time(self) -> None:
        engine = app('i-e', endpoints.stream(500, 0.02))
        document = configuration(
            routes=[route('plan', 'streaming', 'llm', goal_ms=400)]
        )
        async with open_relay((), (engine,), document) as relay:
            first = asyncio.ensure_future(
                relay.call('/plan/x', headers=_tokens(16000, 2000))
            )
            await until(lambda: bool(engine.ran))
            answer = await relay.call(
                '/plan/x', request_id='r2', headers=_tokens(16000, 2000)
            )
            first.cancel()
        assert answer.status == 503
        assert len(engine.ran) == 1


class TestShutdown:
    async def test_draining_node_answers_received_requests(self) -> None:
        slow = app('i-a', _slow)
        async with open_relay((slow,)) as relay:
            work = asyncio.ensure_future(relay.call('/book/x'))
            await until(lambda: bool(slow.ran))
            relay.node.set_draining()
            assert not relay.node.is_ready
            answer = await work
        assert answer.status == 200
        assert answer.headers['connection'] == 'close'

    async def test_generation_is_refused_late_in_a_shutdown(self) -> None:
        """A generation accepted late was cut off by the end of the shutdown."""
        engine = app('i-e', endpoints.stream(5))
        async with open_relay((app(),), (engine,)) as relay:
            relay.node.set_draining()
            early = await relay.call('/plan/x', headers=_tokens(100, 400))
            await asyncio.sleep(DRAIN_NOTICE_S)
            late = await relay.call('/plan/x', headers=_tokens(100, 400))
            short = await relay.call('/book/x')
        assert (early.status, late.status, short.status) == (200, 503, 200)
        assert len(engine.ran) == 1


async def _slow(
    endpoint: HouseEndpoint,
    seen: endpoints.ReceivedRequest,
    writer: asyncio.StreamWriter,
) -> None:
    endpoint.ran.append(seen.request_id)
    await asyncio.sleep(0.3)
    writer.write(
        endpoints.build_response(
            200, b'slow', endpoints.signature_headers(seen)
        )
    )


def _hang_once() -> endpoints.Script:
    hung: list[str] = []

    async def script(
        endpoint: HouseEndpoint,
        seen: endpoints.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> None:
        if not hung:
            hung.append(endpoint.instance)
            await endpoints.hang(endpoint, seen, writer)
        await respond_ok(endpoint, seen, writer)

    return script


def _tokens(prompt: int, limit: int) -> tuple[str, ...]:
    return (
        'Mastichatch-Model: m',
        f'Mastichatch-Token-Counts: {prompt},{limit}',
    )


def _ids(body: bytes) -> list[int]:
    lines = body.decode().splitlines()
    return [int(line[4:]) for line in lines if line.startswith('id: ')]


def _entry(endpoint: HouseEndpoint, **more: object) -> dict[str, object]:
    return {**endpoint.entry('app', 'north'), **more}


def _revision(relay: RelayFixture) -> int:
    return relay.node.belief.revision


async def _connect(
    relay: RelayFixture,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, _, port = relay.settings.callers_address.rpartition(':')
    return await asyncio.open_connection(host, int(port))


@contextlib.asynccontextmanager
async def _open_two_nodes(
    *, disconnects: bool = True, is_silent_for_new: bool = False
) -> AsyncIterator[tuple[RelayFixture, str]]:
    """Run two nodes, and cut or stall the second one's store connection."""
    one = app()
    async with open_relay((one,)) as relay:
        proxy = _StoreProxy(relay.settings.store_address, is_silent_for_new)
        async with proxy.open() as proxy_address:
            settings = create_settings(proxy_address, name='north-2')
            adapter = create_adapter()
            async with open_node(settings, adapter, Telemetry()) as node:
                await until(lambda: node.is_ready)
                await until(lambda: _count_registered(relay) == 2)
                proxy.is_stalled = True
                if disconnects:
                    proxy.cut()
                yield relay, settings.callers_address


class _StoreProxy:
    """TCP proxy that stops forwarding data while it is stalled.

    It closes new connections then, unless it is silent for them as well.
    """

    def __init__(self, target: str, is_silent_for_new: bool) -> None:
        self.target = target
        self.is_silent_for_new = is_silent_for_new
        self.is_stalled = False
        self._writers: list[asyncio.StreamWriter] = []

    @contextlib.asynccontextmanager
    async def open(self) -> AsyncIterator[str]:
        server = await asyncio.start_server(self._accept, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        try:
            yield f'127.0.0.1:{port}'
        finally:
            server.close()
            self.cut()

    def cut(self) -> None:
        for writer in self._writers:
            writer.transport.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.is_stalled and not self.is_silent_for_new:
            writer.transport.abort()
            return
        host, _, port = self.target.rpartition(':')
        upstream_reader, upstream_writer = await asyncio.open_connection(
            host, int(port)
        )
        self._writers += [writer, upstream_writer]
        with contextlib.suppress(OSError):
            await asyncio.gather(
                self._pump(reader, upstream_writer),
                self._pump(upstream_reader, writer),
            )

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(65536):
            if not self.is_stalled:
                writer.write(data)
        writer.close()


def _count_registered(relay: RelayFixture) -> int:
    keys = relay.store.items
    return sum(key.startswith('mastichatch/nodes/') for key in keys)
