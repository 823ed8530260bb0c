"""Tests of requests that pass through other nodes to the endpoints.

A node that is partitioned from all endpoints failed nearly all requests of its
callers, while the nodes beside it had room for them.
"""

import asyncio
import contextlib
import json
import re
from typing import Any

import pytest

from mastichatch_core.generated.messages import ProxyHop, ProxyOutcome
from mastichatch_core.relay import proxy_choice
from mastichatch_core.relay.proxy_hop import request_proof
from mastichatch_node import codec
from mastichatch_node.clock import loop_time
from mastichatch_node.relay.proxy_peers import AVOIDED_S
from tests.isolated_nodes import (
    PeerScript,
    answer_with,
    context_of,
    cut_off,
    hang_up,
    isolation_of,
    open_isolated,
    open_peer,
    reconnect,
    record_of,
    refuse_connections,
    register,
    write_raw,
)
from tests.relay_nodes import (
    RelayFixture,
    Response,
    call,
    configuration,
    read_answer,
    request_bytes,
    until,
)
from tests.standins import house_endpoints as endpoints
from tests.standins.house_endpoints import HouseEndpoint

TOKENS = ('Mastichatch-Token-Counts: 100,40', 'Mastichatch-Model: m')
LONG = ('Mastichatch-Token-Counts: 100,400', 'Mastichatch-Model: m')
EVENTS = 12
# Calls of which some reach each of two nodes.
TRIES = 16


def app(script: endpoints.Script = endpoints.respond_ok) -> HouseEndpoint:
    return HouseEndpoint(instance='i-a', script=script)


async def call_cut(relay: RelayFixture, path: str, **options: Any) -> Response:
    """Call a node as its callers do."""
    return await call(relay.settings.callers_address, path, **options)


def engine(script: endpoints.Script | None = None) -> HouseEndpoint:
    return HouseEndpoint(
        instance='i-e', script=script or endpoints.stream(EVENTS, 0.01)
    )


class TestService:
    """Callers of a partitioned node are served as those of other nodes."""

    @pytest.mark.parametrize('path', ['/lookup/x', '/book/x'])
    async def test_calls_are_answered_by_endpoints(self, path: str) -> None:
        server = app()
        async with open_isolated(2, apps=(server,)) as (cut, _):
            answers = [
                await call(
                    cut.settings.callers_address, path, request_id=f'r{number}'
                )
                for number in range(5)
            ]
        assert [one.status for one in answers] == [200] * 5
        assert {one.body for one in answers} == {b'done by i-a'}
        for number, answer in enumerate(answers):
            assert answer.headers['mastichatch-server-seal'] == '3e1b.07'
            assert answer.headers['mastichatch-attempt-id'] == f'r{number}'
        assert server.ran == [f'r{number}' for number in range(5)]

    async def test_streams_are_whole(self) -> None:
        server = engine()
        async with open_isolated(2, server) as (cut, _):
            answer = await call(
                cut.settings.callers_address, '/plan/x', headers=TOKENS
            )
        assert answer.status == 200
        assert answer.is_whole
        assert answer.headers['mastichatch-server-seal'] == '3e1b.07'
        events = [f'id: {n}\ndata: r1\n\n' for n in range(1, EVENTS + 1)]
        assert answer.body == ''.join(events).encode()
        assert server.ran == ['r1']

    async def test_bodies_methods_and_queries_arrive_unchanged(self) -> None:
        server = app()
        async with open_isolated(2, apps=(server,)) as (cut, _):
            answer = await call_cut(
                cut, '/lookup/x?a=1&b=x-y', body=b'z' * 9000, method='PUT'
            )
        assert answer.status == 200
        (received,) = server.received
        assert received.body == b'z' * 9000
        assert (received.method, received.target) == (
            'PUT',
            '/lookup/x?a=1&b=x-y',
        )

    async def test_failure_of_an_endpoint_keeps_its_status_and_seal(
        self,
    ) -> None:
        server = app(endpoints.fail)
        async with open_isolated(2, apps=(server,)) as (cut, _):
            answer = await call_cut(cut, '/book/x')
        assert (answer.status, answer.body) == (500, b'broken')
        assert answer.headers['mastichatch-server-seal'] == '3e1b.07'
        assert server.ran == ['r1']

    async def test_long_answers_are_whole(self) -> None:
        body = b'x' * 300_000

        def long(request: endpoints.ReceivedRequest) -> bytes:
            headers = endpoints.signature_headers(request)
            return endpoints.build_response(200, body, headers)

        server = app(endpoints.raw(long))
        async with open_isolated(2, apps=(server,)) as (cut, _):
            answer = await call_cut(cut, '/lookup/x')
        assert (answer.body, answer.is_whole) == (body, True)

    async def test_events_arrive_as_they_are_made(self) -> None:
        server = engine(endpoints.stream(4, 0.3))
        async with open_isolated(2, server) as (cut, _):
            reader, writer = await _open(cut.settings.callers_address)
            writer.write(request_bytes('/plan/x', headers=TOKENS))
            await reader.readuntil(b'id: 1')
            assert not server.cancelled
            assert 'r1' in server.working
            writer.close()

    async def test_service_that_is_not_reached_is_asked_of_a_peer(self) -> None:
        """A call that was never sent need not wait for certainty."""
        server = app()
        async with open_isolated(2, apps=(server,)) as (cut, _):
            isolation_of(cut).set('north-2', is_isolated=False, unreached='app')
            answer = await call_cut(cut, '/book/x')
        assert answer.status == 200
        assert server.ran == ['r1']

    async def test_queued_generation_leaves_a_node_that_is_cut_off(
        self,
    ) -> None:
        server = engine(endpoints.stream(6, 0.1))
        document = configuration()
        document['services'][1]['engine']['slots'] = 1
        async with open_isolated(2, server, document=document) as relays:
            cut, other = relays
            reconnect(cut)
            first = asyncio.create_task(
                call_cut(other, '/plan/x', headers=TOKENS, request_id='r0')
            )
            await until(lambda: server.ran == ['r0'])
            second = asyncio.create_task(
                call_cut(cut, '/plan/x', headers=TOKENS)
            )
            table = cut.node.broadcaster.table
            await until(lambda: bool(table.own))
            cut_off(cut, 'north-2')
            answers = await asyncio.gather(first, second)
        assert [one.status for one in answers] == [200, 200]
        assert server.ran == ['r0', 'r1']

    async def test_requests_go_direct_once_the_node_is_back(self) -> None:
        server = app()
        async with open_isolated(2, apps=(server,)) as (cut, other):
            assert (await call_cut(cut, '/book/x')).status == 200
            reconnect(cut)
            other.node.proxy_server.close()
            answer = await call_cut(cut, '/book/x', request_id='r2')
        assert answer.status == 200
        assert server.ran == ['r1', 'r2']


class TestPromises:
    """What a peer did with a request is told truly, and done once."""

    @pytest.mark.parametrize(
        'script',
        [
            hang_up,
            answer_with(200, None),
            answer_with(503, None),
            answer_with(502, ProxyOutcome.unknown),
            # Nothing shows where these answers end, or that they do not.
            write_raw('\r\nfake'),
            write_raw('Content-Length: 9\r\n\r\nfake'),
            write_raw('Transfer-Encoding: chunked\r\n\r\n4\r\nfake\r\n'),
        ],
        ids=range(7),
    )
    async def test_call_that_may_have_run_is_not_repeated(
        self, script: PeerScript
    ) -> None:
        server = app()
        async with open_isolated(2, apps=(server,)) as (cut, _):
            async with open_peer(cut, script) as peer:
                isolation_of(cut).set('fake')
                answer = await call_cut(cut, '/book/x')
        assert answer.status == 502
        assert (len(peer.hops), server.ran) == (1, [])

    @pytest.mark.parametrize(
        'script', [hang_up, answer_with(200, None), answer_with(503, None)]
    )
    async def test_idempotent_call_is_repeated_at_another_peer(
        self, script: PeerScript
    ) -> None:
        server = app()
        # The calls are more than the retry budget allows for.
        opened = open_isolated(2, apps=(server,), retry_burst=500)
        async with opened as (cut, _):
            async with open_peer(cut, script) as peer:
                isolation_of(cut).set('fake', 'north-2')
                answers = [
                    await call_cut(cut, '/lookup/x') for _ in range(TRIES)
                ]
        assert {one.status for one in answers} == {200}
        assert peer.hops
        assert len(server.ran) == TRIES

    async def test_attempts_hold_for_all_nodes_together(self) -> None:
        servers = [
            HouseEndpoint(instance=f'i-{number}', script=endpoints.fail)
            for number in range(2)
        ]
        async with open_isolated(2, apps=tuple(servers)) as (cut, _):
            async with open_peer(cut, hang_up) as peer:
                isolation_of(cut).set('fake', 'north-2')
                for number in range(8):
                    await call_cut(cut, f'/lookup/{number}')
        # The route allows two; a broken peer may have used one of them.
        assert len(peer.hops) + sum(len(one.ran) for one in servers) == 16

    async def test_request_that_was_not_sent_goes_to_another_peer(self) -> None:
        server = app()
        async with open_isolated(2, apps=(server,)) as (cut, _):
            await register(cut, 'gone', '127.0.0.1:9', 'token')
            isolation_of(cut).set('gone', 'north-2')
            answers = [await call_cut(cut, '/book/x') for _ in range(TRIES)]
        assert {one.status for one in answers} == {200}
        assert len(server.ran) == TRIES

    async def test_request_that_was_not_run_goes_to_another_peer(self) -> None:
        server = app()
        script = answer_with(503, ProxyOutcome.elsewhere)
        async with open_isolated(2, apps=(server,)) as (cut, _):
            async with open_peer(cut, script) as peer:
                isolation_of(cut).set('fake', 'north-2')
                answers = [await call_cut(cut, '/book/x') for _ in range(TRIES)]
        assert {one.status for one in answers} == {200}
        assert peer.hops
        assert len(server.ran) == TRIES

    @pytest.mark.parametrize('path', ['/book/x', '/plan/x'])
    async def test_request_goes_on_from_a_peer_that_is_cut_off_itself(
        self, path: str
    ) -> None:
        """It does not know yet that others reach endpoints."""
        server, model = app(), engine()
        service = 'llm' if path == '/plan/x' else 'app'
        async with open_isolated(3, model, apps=(server,)) as relays:
            refuse_connections(relays[1])
            isolation_of(relays[1]).set(is_isolated=False, unreached=service)
            with context_of(relays[0].node).proxy_peers.counted('north-3'):
                answer = await call_cut(relays[0], path, headers=TOKENS)
        assert (answer.status, answer.is_whole) == (200, True)
        assert server.ran + model.ran == ['r1']

    async def test_refusal_of_a_peer_keeps_its_time(self) -> None:
        script = answer_with(503, ProxyOutcome.refused, 'Retry-After: 7\r\n')
        async with open_isolated(2) as (cut, _):
            async with open_peer(cut, script) as peer:
                answer = await call_cut(cut, '/book/x')
        assert (answer.status, answer.headers['retry-after']) == (503, '7')
        assert len(peer.hops) == 1

    async def test_refusal_after_an_attempt_proves_nothing(self) -> None:
        """Another node may have run the call that this one refuses."""
        scripts = [
            hang_up,
            answer_with(503, ProxyOutcome.refused, 'Retry-After: 7\r\n'),
        ]

        async def alternate(peer: Any, writer: asyncio.StreamWriter) -> None:
            await scripts[len(peer.hops) - 1](peer, writer)

        async with open_isolated(2) as (cut, _):
            async with open_peer(cut, alternate) as peer:
                # The same node under another name.
                record = record_of(cut, 'fake')
                assert record is not None
                await register(cut, 'same', record.proxy_address, peer.token)
                isolation_of(cut).set('fake', 'same')
                answer = await call_cut(cut, '/lookup/x')
        assert [one.attempts for one in peer.hops] == [0, 1]
        assert answer.status == 502

    async def test_call_that_may_have_run_is_unknown_if_no_peer_repeats_it(
        self,
    ) -> None:
        async with open_isolated(2) as (cut, _):
            async with open_peer(cut, hang_up) as peer:
                answer = await call_cut(cut, '/lookup/x')
        assert len(peer.hops) == 1
        assert answer.status == 502
        assert json.loads(answer.body)['ran'] == 'unknown'

    async def test_stream_that_is_cut_off_does_not_look_complete(self) -> None:
        server = engine(endpoints.stream(50, 0.05))
        async with open_isolated(2, server) as (cut, other):
            answer = asyncio.create_task(
                call_cut(cut, '/plan/x', headers=TOKENS)
            )
            await until(lambda: bool(server.ran))
            await asyncio.sleep(0.2)
            other.node.proxy_server.close()
            cut_answer = await answer
        assert cut_answer.status == 200
        assert not cut_answer.is_whole
        assert server.ran == ['r1']

    @pytest.mark.parametrize('path', ['/lookup/x', '/book/x', '/plan/x'])
    async def test_caller_that_leaves_ends_the_work(self, path: str) -> None:
        server, model = app(endpoints.hang), engine(endpoints.hang)
        async with open_isolated(2, model, apps=(server,)) as (cut, _):
            _, writer = await _open(cut.settings.callers_address)
            writer.write(request_bytes(path, headers=TOKENS))
            await until(lambda: bool(server.ran or model.ran))
            writer.close()
            await until(lambda: bool(server.cancelled or model.cancelled))

    async def test_time_that_is_left_is_handed_on(self) -> None:
        server = app()
        async with open_isolated(2, apps=(server,)) as (cut, _):
            await call_cut(cut, '/book/x', timeout_ms=900)
        (received,) = server.received
        left_ms = int(received.headers['mastichatch-deadline-ms'])
        assert 500 < left_ms <= 900

    async def test_first_attempt_is_counted_once(self) -> None:
        server = app()
        counts: list[str] = []
        async with open_isolated(2, apps=(server,)) as relays:
            for relay in relays:
                _count_first_attempts(relay, counts)
            await call_cut(relays[0], '/book/x')
            assert counts == ['north-2']
            # This one is counted before the node knows that it is cut off.
            isolation_of(relays[0]).set(
                'north-2', is_isolated=False, unreached='app'
            )
            await call_cut(relays[0], '/book/x', request_id='r2')
        assert counts == ['north-2', 'north-1']
        assert server.ran == ['r1', 'r2']


class TestRunsInProgress:
    """Streams whose node is cut off go on in order, each at one engine."""

    @pytest.mark.parametrize('keeps_copies', [False, True])
    async def test_stream_goes_on_through_a_peer(
        self, keeps_copies: bool
    ) -> None:
        servers = [
            HouseEndpoint(
                instance=f'i-{number}',
                script=endpoints.stream(40, 0.02),
                drops_closed=False,
            )
            for number in range(2)
        ]
        document = configuration()
        document['services'][1]['engine']['backups'] = keeps_copies
        async with open_isolated(2, *servers, document=document) as relays:
            cut = relays[0]
            reconnect(cut)
            reader, writer = await _open(cut.settings.callers_address)
            writer.write(
                request_bytes('/plan/x', headers=LONG, timeout_ms=9000)
            )
            await reader.readuntil(b'id: 5')
            source = next(one for one in servers if one.ran)
            _lose_connection(cut)
            cut_off(cut, 'north-2')
            rest = await reader.readuntil(b'0\r\n\r\n')
            writer.close()
        numbers = [int(one) for one in re.findall(rb'id: (\d+)', rest)]
        assert numbers == list(range(6, 41))
        assert source.stopped == {'r1'}
        assert sorted(len(one.ran) for one in servers) == [1, 1]

    async def test_stream_whose_connection_hangs_goes_on(self) -> None:
        server = HouseEndpoint(
            instance='i-s', script=endpoints.stall_after(5), drops_closed=False
        )
        other = engine(endpoints.stream(9))
        document = configuration()
        document['services'][1]['engine']['slots'] = 1
        async with open_isolated(2, server, document=document) as relays:
            cut = relays[0]
            reconnect(cut)
            reader, writer = await _open(cut.settings.callers_address)
            writer.write(
                request_bytes('/plan/x', headers=LONG, timeout_ms=9000)
            )
            await reader.readuntil(b'id: 5')
            await other.open()
            for relay in relays:
                entry = other.entry('llm', 'north')
                await relay.store.put(f'servers/{other.instance}', entry)
            cut_off(cut, 'north-2')
            async with asyncio.timeout(4):
                rest = await reader.readuntil(b'0\r\n\r\n')
            writer.close()
            other.close()
        numbers = [int(one) for one in re.findall(rb'id: (\d+)', rest)]
        assert numbers == [6, 7, 8, 9]

    @pytest.mark.parametrize('is_reached', [False, True])
    async def test_stream_goes_on_if_the_first_peer_does_not_accept_it(
        self, is_reached: bool
    ) -> None:
        servers = [engine(endpoints.stream(40, 0.02)) for _ in range(2)]
        servers[1].instance = 'i-f'
        refuse = answer_with(503, ProxyOutcome.refused)
        async with contextlib.AsyncExitStack() as stack:
            enter = stack.enter_async_context
            cut, _ = await enter(open_isolated(2, *servers))
            peer = await enter(open_peer(cut, refuse))
            if not is_reached:
                await register(cut, 'fake', '127.0.0.1:9', 'token')
                await until(lambda: _address(cut, 'fake') == '127.0.0.1:9')
            reconnect(cut)
            answer = asyncio.create_task(call_cut(cut, '/plan/x', headers=LONG))
            await until(lambda: any(one.ran for one in servers))
            await asyncio.sleep(0.1)
            _lose_connection(cut)
            with context_of(cut.node).proxy_peers.counted('north-2'):
                cut_off(cut, 'fake', 'north-2')
                whole = await answer
        assert whole.is_whole
        assert len(peer.hops) == is_reached
        numbers = [int(one) for one in re.findall(rb'id: (\d+)', whole.body)]
        assert numbers == list(range(1, 41))

    async def test_stream_of_a_split_route_stays_with_its_service(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        server, other = engine(endpoints.stream(40, 0.02)), engine()
        other.instance = 'i-o'
        document = configuration()
        document['services'].append(
            {**document['services'][1], 'name': 'other'}
        )
        document['routes'][2]['split'] = [
            {'service': 'llm', 'weight': 1},
            {'service': 'other', 'weight': 1},
        ]
        async with contextlib.AsyncExitStack() as stack:
            enter = stack.enter_async_context
            await enter(endpoints.open_endpoints(other))
            cut, peer = await enter(open_isolated(2, server, document=document))
            await cut.store.put('servers/i-o', other.entry('other', 'north'))
            view = context_of(peer.node).belief
            await until(lambda: len(view.endpoints(loop_time())) == 2)
            reconnect(cut)
            monkeypatch.setattr('random.random', lambda: 0.0)
            answer = asyncio.create_task(call_cut(cut, '/plan/x', headers=LONG))
            await until(lambda: bool(server.ran))
            await asyncio.sleep(0.1)
            monkeypatch.setattr('random.random', lambda: 0.9)
            _lose_connection(cut)
            cut_off(cut, 'north-2')
            whole = await answer
        assert whole.is_whole
        assert (server.ran, other.ran) == (['r1', 'r1'], [])

    async def test_stream_ends_broken_off_if_no_engine_proves_its_end(
        self,
    ) -> None:
        server = HouseEndpoint(
            instance='i-e', script=endpoints.stream(40, 0.02), stop_status=404
        )
        async with open_isolated(2, server) as (cut, _):
            reconnect(cut)
            answer = asyncio.create_task(call_cut(cut, '/plan/x', headers=LONG))
            await until(lambda: bool(server.ran))
            await asyncio.sleep(0.1)
            _lose_connection(cut)
            cut_off(cut, 'north-2')
            lost = await answer
        assert (lost.status, lost.is_whole) == (200, False)
        assert server.ran == ['r1']


class TestRefusals:
    """A node accepts what it has room for, of nodes that it knows."""

    async def test_nodes_that_are_all_cut_off_refuse_without_circles(
        self,
    ) -> None:
        server = app()
        async with open_isolated(3, apps=(server,)) as relays:
            names = {one.settings.name for one in relays}
            for relay in relays:
                cut_off(relay, *(names - {relay.settings.name}))
            async with asyncio.timeout(2):
                answer = await call_cut(relays[0], '/book/x')
        assert answer.status == 503
        assert float(answer.headers['retry-after']) > 0
        assert server.received == []

    async def test_node_that_breaks_off_is_avoided_for_a_while(self) -> None:
        server = app()
        async with open_isolated(2, apps=(server,)) as (cut, _):
            async with open_peer(cut, hang_up) as peer:
                isolation_of(cut).set('fake', 'north-2')
                started_at = loop_time()
                for number in range(TRIES):
                    await call_cut(cut, f'/book/{number}')
                took_s = loop_time() - started_at
        assert len(peer.hops) <= 1 + took_s / AVOIDED_S
        assert len(server.ran) == TRIES - len(peer.hops)

    async def test_stopping_node_accepts_no_more(self) -> None:
        server = app()
        async with open_isolated(2, apps=(server,)) as (cut, other):
            other.node.set_draining()
            answer = await call_cut(cut, '/book/x')
        assert answer.status == 503
        assert server.received == []

    async def test_stopping_node_finishes_what_it_has(self) -> None:
        server = engine(endpoints.stream(12, 0.05))
        async with open_isolated(2, server) as (cut, other):
            answer = asyncio.create_task(
                call_cut(cut, '/plan/x', headers=TOKENS)
            )
            await until(lambda: bool(server.ran))
            other.node.set_draining()
            assert other.node.active_requests == 1
            assert (await answer).is_whole

    async def test_node_without_room_accepts_no_more(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        server = app()
        monkeypatch.setattr(proxy_choice, 'PROXIED_PER_MB', 0)
        async with open_isolated(2, apps=(server,)) as (cut, other):
            answer = await call_cut(cut, '/book/x')
            # Its own callers are served.
            own = await call_cut(other, '/book/x', request_id='r2')
        assert (answer.status, own.status) == (503, 200)
        assert server.ran == ['r2']

    async def test_node_with_an_older_configuration_accepts_nothing(
        self,
    ) -> None:
        server = app()
        async with open_isolated(2, apps=(server,)) as (cut, other):
            await _send_raw(other, _headers(cut, other, version=2))
            await _send_raw(other, _headers(cut, other, version=1))
        assert len(server.received) == 1

    async def test_nodes_of_an_earlier_release_are_not_asked(self) -> None:
        server = app()
        async with open_isolated(2, apps=(server,), proxy_address='') as relays:
            answer = await call_cut(relays[0], '/book/x')
        assert answer.status == 503
        assert server.received == []

    @pytest.mark.parametrize('fault', ['none', 'token', 'node', 'target'])
    async def test_request_without_a_proof_has_no_effect(
        self, fault: str
    ) -> None:
        server = app()
        async with open_isolated(2, apps=(server,)) as (cut, other):
            headers = _headers(cut, other, fault=fault)
            answer = await _send_raw(other, headers)
        assert answer.status == 0
        assert server.received == []

    async def test_callers_cannot_send_the_headers_of_nodes(self) -> None:
        server = app()
        async with open_isolated(2, apps=(server,)) as (cut, other):
            headers = _headers(cut, other)
            await call_cut(other, '/book/x', headers=headers)
            await call_cut(cut, '/book/x', headers=headers, request_id='r2')
        assert server.ran == ['r1', 'r2']
        for received in server.received:
            assert not [one for one in received.headers if 'proxy' in one]

    async def test_answers_bear_no_headers_of_nodes(self) -> None:
        async with open_isolated(2, apps=(app(),)) as (cut, _):
            answer = await call_cut(cut, '/book/x')
        assert not [one for one in answer.headers if 'proxy' in one]


async def _open(
    address: str,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, _, port = address.rpartition(':')
    return await asyncio.open_connection(host, int(port))


def _address(relay: RelayFixture, name: str) -> str:
    record = record_of(relay, name)
    return '' if record is None else record.proxy_address


def _lose_connection(relay: RelayFixture) -> None:
    """End a node's connection to an engine, which does not notice."""
    (generation,) = relay.node.relay.generations
    assert generation.connection is not None
    generation.connection._writer.transport.abort()


def _count_first_attempts(relay: RelayFixture, counts: list[str]) -> None:
    retries = context_of(relay.node).retries
    retries.record_first_attempt = lambda: counts.append(relay.settings.name)


def _headers(
    sender: RelayFixture,
    receiver: RelayFixture,
    version: int = 1,
    fault: str = '',
) -> tuple[str, ...]:
    """Return the headers of a request to ``/book/x`` that a node passes on."""
    own = record_of(receiver, sender.settings.name)
    other = record_of(sender, receiver.settings.name)
    assert own is not None and other is not None
    hop = ProxyHop(
        node='other' if fault == 'node' else sender.settings.name,
        nonce='n',
        age_ms=0,
        version=version,
    )
    encoded = codec.encode_json(hop)
    target = b'/lookup/x' if fault == 'target' else b'/book/x'
    proof = request_proof(
        'x' if fault == 'token' else own.proxy_token,
        other.proxy_token,
        (encoded, b'POST', target),
    )
    if fault == 'none':
        return (f'Mastichatch-Proxy-Hop: {encoded.decode()}',)
    return (
        f'Mastichatch-Proxy-Hop: {encoded.decode()}',
        f'Mastichatch-Proxy-Proof: {proof.decode()}',
    )


async def _send_raw(
    receiver: RelayFixture, headers: tuple[str, ...]
) -> Response:
    reader, writer = await _open(receiver.settings.proxy_address)
    with contextlib.closing(writer):
        writer.write(request_bytes('/book/x', headers=headers))
        return await read_answer(reader)
