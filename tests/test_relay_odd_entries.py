"""Tests of entries in the store, and answers, that another writer made."""

import asyncio
import base64
import json
from typing import Any

import pytest
from mastichatch_platform.documents import decode_endpoint
from mastichatch_platform.store import StoreClient

from mastichatch_core.generated.messages import CrashedRun, CrashReport
from mastichatch_core.relay.model import MalformedError
from mastichatch_core.relay.prompt_evidence import (
    CRASH_LIFETIME_S,
    PromptEvidence,
)
from mastichatch_core.relay.store import StoreUnavailableError
from mastichatch_node.relay import engine_exchange, service_call
from mastichatch_node.relay.http_client import (
    ExchangeError,
    connect,
    open_pool,
)
from mastichatch_node.relay.store_following import run_in_background
from tests.relay_nodes import (
    known_endpoints,
    new_resources,
    open_relay,
    until,
)
from tests.standins import house_endpoints as endpoints
from tests.standins.house_endpoints import HouseEndpoint, build_response

TOKENS = ('Mastichatch-Model: m', 'Mastichatch-Token-Counts: 100,400')
CALLS = 12


def app(name: str) -> HouseEndpoint:
    return HouseEndpoint(instance=name, script=endpoints.respond_ok)


def engine(name: str) -> HouseEndpoint:
    return HouseEndpoint(instance=name, script=endpoints.stream(5))


def entry(service: str, **fields: Any) -> dict[str, Any]:
    """Return the entry of an endpoint that does not exist."""
    found = HouseEndpoint(instance='i-odd', script=endpoints.respond_ok)
    found.address = '127.0.0.1:9'
    return {**found.entry(service, 'north'), **fields}


class TestAddress:
    """Guards against an address that ends the callers' connections.

    Connecting to a port above 65535 raised an error that was not counted as a
    failure of the endpoint, which looked idle and so drew nearly all calls.
    """

    @pytest.mark.parametrize(
        'address',
        [
            '127.0.0.1:99999',
            '127.0.0.1:0',
            '127.0.0.1:-1',
            '127.0.0.1:',
            '127.0.0.1',
            ':80',
            '',
            '127.0.0.1:\u0664\u0662',
            '127.0.0.1:1' + '0' * 5000,
        ],
        ids=range(9),
    )
    def test_entry_with_an_impossible_address_names_no_endpoint(
        self, address: str
    ) -> None:
        content = json.dumps(entry('app', address=address)).encode()
        with pytest.raises(MalformedError):
            decode_endpoint('servers/i', content)

    @pytest.mark.parametrize(
        'address',
        ['127.0.0.1:99999', 'a\0b:80', '[::1]:0x50', 'x' * 999],
        ids=['port', 'nul', 'hex', 'long'],
    )
    async def test_connecting_to_it_is_a_failed_exchange(
        self, address: str
    ) -> None:
        with pytest.raises(ExchangeError) as caught:
            await connect(address, 0.2, new_resources())
        assert not caught.value.was_sent

    @pytest.mark.parametrize('port', [99999, 70000])
    async def test_calls_and_plans_are_served_beside_such_entries(
        self, port: int
    ) -> None:
        async with open_relay((app('i-a'),), (engine('i-e'),)) as relay:
            for service in ('app', 'llm'):
                await relay.store.put(
                    f'servers/i-0-{service}',
                    entry(service, address=f'127.0.0.1:{port}'),
                )
            await relay.store.put('servers/i-last', entry('none'))
            await until(lambda: 'i-last' in known_endpoints(relay.node))
            for number in range(CALLS):
                for path in ('/book/x', '/plan/x'):
                    answer = await relay.call(
                        path, request_id=f'{number}', headers=TOKENS
                    )
                    assert answer.is_whole
                    assert answer.status == 200


class TestUnforeseenErrors:
    """Guards against errors of a kind that nobody has foreseen.

    They must count against the endpoint that they came from, and requests must
    go on elsewhere where their kind allows that.
    """

    @pytest.mark.parametrize('path', ['/lookup/x', '/book/x', '/plan/x'])
    async def test_error_before_sending_goes_on_at_another_endpoint(
        self, path: str, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        module = engine_exchange if path == '/plan/x' else service_call
        original = module.build_outgoing

        def fail(context: Any, job: Any, endpoint: Any, **more: Any) -> Any:
            if endpoint.registered_id == 'i-bad':
                raise ZeroDivisionError('unforeseen')
            return original(context, job, endpoint, **more)

        monkeypatch.setattr(module, 'build_outgoing', fail)
        make = engine if path == '/plan/x' else app
        bad, sound = make('i-bad'), make('i-sound')
        pair = (bad, sound)
        apps, engines = ((), pair) if path == '/plan/x' else (pair, ())
        async with open_relay(apps, engines) as relay:
            for number in range(CALLS):
                answer = await relay.call(
                    path, request_id=f'{number}', headers=TOKENS
                )
                assert answer.is_whole
                assert answer.status == 200

    @pytest.mark.parametrize(
        ('path', 'is_served'),
        [('/lookup/x', True), ('/book/x', False), ('/plan/x', False)],
    )
    async def test_error_after_sending_is_an_answer_and_a_failure(
        self, path: str, is_served: bool, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        module = engine_exchange if path == '/plan/x' else service_call
        original = module.read_answer_head

        async def fail(context: Any, job: Any, connection: Any) -> Any:
            if connection.address == bad.address:
                raise ZeroDivisionError('unforeseen')
            return await original(context, job, connection)

        monkeypatch.setattr(module, 'read_answer_head', fail)
        make = engine if path == '/plan/x' else app
        bad = make('i-bad')
        sound = make('i-sound')
        apps, engines = (
            ((), (bad,)) if path == '/plan/x' else ((bad, sound), ())
        )
        async with open_relay(apps, engines) as relay:
            answers = [
                await relay.call(path, request_id=f'{number}', headers=TOKENS)
                for number in range(CALLS)
            ]
        statuses = [answer.status for answer in answers]
        assert 0 not in statuses
        assert (statuses == [200] * CALLS) or not is_served
        if path == '/book/x':
            # It looks like a failing endpoint, and no longer like an idle one.
            assert statuses.count(200) >= CALLS / 2

    async def test_event_with_a_number_of_any_length_is_answered(self) -> None:
        """Converting very long numbers raises an error of its own kind."""
        digits = '9' * 6000

        def answer(request: Any) -> bytes:
            event = f'id: {digits}\ndata: x\n\n'.encode()
            return build_response(
                200, event, endpoints.signature_headers(request)
            )

        bad = HouseEndpoint(instance='i-e', script=endpoints.raw(answer))
        async with open_relay((), (bad,)) as relay:
            answered = await relay.call('/plan/x', headers=TOKENS)
        assert answered.status in {200, 502}


class TestOwnKinds:
    """Guards against odd entries under the keys of this project."""

    @pytest.mark.parametrize(
        'fields',
        [
            {'peer_address': '127.0.0.1:99999'},
            {'peer_address': 'x\0y:1'},
            {'peer_address': ''},
            {'peer_address': 'x' * 5000},
            {'link_mbps': 1e308},
            {'link_mbps': -1},
            {'data_centre': '\u2603' * 100},
            {'incarnation': 'i' * 5000},
        ],
        ids=range(8),
    )
    async def test_odd_registration_of_a_node_stops_nothing(
        self, fields: dict[str, Any]
    ) -> None:
        record = {
            'name': 'odd',
            'incarnation': 'x',
            'data_centre': 'north',
            'peer_address': '127.0.0.1:9',
            'http_address': '127.0.0.1:9',
            'link_mbps': 1,
            'forwards_runs': True,
        }
        async with open_relay((), (engine('i-e'),)) as relay:
            await relay.store.put('mastichatch/nodes/odd', record | fields)
            await until(
                lambda: bool(
                    relay.node.belief.entries_under('mastichatch/nodes/odd')
                )
            )
            answer = await relay.call('/plan/x', headers=TOKENS)
            assert answer.status == 200
            # The view is followed still.
            await relay.store.put('servers/i-new', entry('none'))
            await until(lambda: 'i-new' in known_endpoints(relay.node))
            answer = await relay.call(
                '/plan/x', headers=TOKENS, request_id='r2'
            )
            assert answer.status == 200

    @pytest.mark.parametrize('age_ms', [-1e308, 1e308, -1])
    def test_crash_of_an_odd_age_ends(self, age_ms: float) -> None:
        evidence = PromptEvidence()
        run = CrashedRun(request_id='r', parts=('a',), has_begun=True)
        report = CrashReport(
            instance='i', service='s', version='v', age_ms=age_ms, runs=(run,)
        )
        evidence.record_crash(report, 100)
        assert not evidence.crashes(100 + CRASH_LIFETIME_S)

    async def test_odd_entry_is_logged_once(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        async with open_relay() as relay:
            for number in range(10):
                await relay.store.put(f'mastichatch/nodes/n{number}', number)
                await relay.store.put(f'mastichatch/crashes/n{number}', number)
            for number in range(5):
                name = f'i-new-{number}'
                await relay.store.put(f'servers/{name}', entry('none'))
                await until(lambda: name in known_endpoints(relay.node))
        lines = [one for one in caplog.records if 'malformed' in one.message]
        assert len(lines) <= 20


class TestStoreAnswers:
    @pytest.mark.parametrize(
        'page',
        [
            {'entries': ['x'], 'at': 5},
            {'entries': [{'key': 'k', 'revision': 1e400, 'value': ''}]},
            {'entries': [], 'at': 10**400},
            {'entries': [{'key': 'k', 'revision': 10**30, 'value': ''}]},
            {'entries': [{'key': 'k', 'revision': 1, 'value': 7}], 'at': 5},
        ],
        ids=range(5),
    )
    async def test_odd_answer_is_an_outage(self, page: dict[str, Any]) -> None:
        async with _answering(page) as address:
            with open_pool(0.5, new_resources()) as pool:
                client = StoreClient(address, pool)
                with pytest.raises(StoreUnavailableError):
                    await client.read_range('')

    async def test_page_that_is_repeated_without_end_is_an_outage(self) -> None:
        row = {
            'key': 'k',
            'revision': 1,
            'value': base64.b64encode(b'x').decode(),
        }
        page = {'entries': [row], 'at': 5, 'has_more': True}
        async with _answering(page) as address:
            with open_pool(0.5, new_resources()) as pool:
                client = StoreClient(address, pool)
                with pytest.raises(StoreUnavailableError):
                    async with asyncio.timeout(5):
                        await client.read_range('')


class TestBackgroundTasks:
    async def test_task_that_fails_is_started_again(self) -> None:
        """One odd entry must not end what follows the store for good."""
        starts = 0

        async def fail_once() -> None:
            nonlocal starts
            starts += 1
            if starts == 1:
                raise ZeroDivisionError('unforeseen')
            await asyncio.Event().wait()

        async with run_in_background(fail_once):
            await until(lambda: starts == 2)


def _answering(page: dict[str, Any]) -> Any:
    """Serve a page of the store at an address."""
    content = json.dumps(page).encode()

    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while not reader.at_eof():
            try:
                await reader.readuntil(b'\r\n\r\n')
            except asyncio.IncompleteReadError:
                break
            writer.write(build_response(200, content))
        writer.close()

    return endpoints.open_server(answer)
