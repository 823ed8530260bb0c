"""Tests of entries in the store, and answers, that another writer made."""

import asyncio
import base64
import json
from typing import Any

import pytest
from mastichatch_platform.documents import decode_endpoint
from mastichatch_platform.store import StoreClient

from mastichatch_core.relay.model import MalformedError
from mastichatch_core.relay.store import StoreUnavailableError
from mastichatch_node.relay import service_call, streaming
from mastichatch_node.relay.http_client import (
    ExchangeError,
    connect,
    open_pool,
)
from tests.relay_nodes import known_endpoints, open_relay, until
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
            await connect(address, 0.2)
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
        module = streaming if path == '/plan/x' else service_call
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
        module = streaming if path == '/plan/x' else service_call
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
            with open_pool(0.5) as pool:
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
            with open_pool(0.5) as pool:
                client = StoreClient(address, pool)
                with pytest.raises(StoreUnavailableError):
                    async with asyncio.timeout(5):
                        await client.read_range('')


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
