"""Tests of prompts with a part that crashes the engines that answer them."""

import asyncio
import contextlib
import itertools
import json
from collections.abc import AsyncIterator
from typing import Any

import pytest
from mastichatch_platform.program import create_adapter

from mastichatch_ctl.main import run
from mastichatch_node.relay.program import open_node
from mastichatch_node.relay.relay_node import RelayNode
from mastichatch_node.relay.telemetry import Telemetry
from tests.relay_nodes import (
    RelayFixture,
    Response,
    call,
    configuration,
    create_settings,
    open_relay,
    until,
)
from tests.standins import house_endpoints as endpoints
from tests.standins.house_endpoints import HouseEndpoint, ReceivedRequest

# Requests that may reach engines after the fifth crash, and that crash, by the
# rules of the users.
CRASHES_BEFORE_BOUND = 5
REQUESTS_AFTER_BOUND = 3
RESTART_S = 0.2
# Time for messages between nodes, and for changes in the store.
EXCHANGE_S = 0.6
DEADLY = 'dead'
SHARED = 'cafe'


def plan_headers(*parts: str) -> tuple[str, ...]:
    """Return the headers of a plan, given the shared parts of its prompt."""
    own = f'{next(_numbers):x}'
    prefix = ','.join(f'{part}:20' for part in (*parts, own))
    return (
        'Mastichatch-Model: m',
        'Mastichatch-Token-Counts: 100,400',
        f'Mastichatch-Prompt-Prefix: {prefix}',
    )


_numbers = itertools.count(1)


class Fleet:
    """Two nodes before engines that come back after a crash."""

    def __init__(
        self,
        relay: RelayFixture,
        second: tuple[str, RelayNode],
        engines: tuple[HouseEndpoint, ...],
        *,
        keep_ids: bool = False,
    ) -> None:
        """Start with both nodes."""
        self._keep_ids = keep_ids
        self.relay = relay
        self.second_node = second[1]
        self.engines = engines
        self._addresses = (relay.settings.callers_address, second[0])

    @property
    def crashes(self) -> int:
        """Number of crashes of all engines."""
        return sum(engine.crashes for engine in self.engines)

    def arrivals(self, part: str) -> int:
        """Return how many requests with a part reached an engine."""
        return sum(
            part in request.parts
            for engine in self.engines
            for request in engine.received
        )

    async def plan(self, *parts: str, node: int = 0) -> Response:
        """Send a plan to one of the nodes."""
        number = next(_numbers)
        return await call(
            self._addresses[node],
            '/plan/x',
            request_id=f'plan-{number}',
            headers=plan_headers(*parts),
        )

    async def restart_crashed(self) -> None:
        """Start engines that crashed again, until cancelled."""
        seen = [0 for _ in self.engines]
        while True:
            await asyncio.sleep(RESTART_S)
            for number, engine in enumerate(self.engines):
                if engine.crashes == seen[number]:
                    continue
                if not self._keep_ids:
                    await self.relay.store.remove(f'servers/{engine.instance}')
                await engine.restart(keeps_id=self._keep_ids)
                seen[number] = engine.crashes
                await self.relay.store.put(
                    f'servers/{engine.instance}',
                    engine.entry('llm', 'north' if number % 2 else 'south'),
                )


@contextlib.asynccontextmanager
async def open_fleet(
    script: endpoints.Script, engine_count: int = 4, *, keep_ids: bool = False
) -> AsyncIterator[Fleet]:
    """Run two nodes in different data centres before the same engines."""
    engines = tuple(
        HouseEndpoint(f'e{number}', script) for number in range(engine_count)
    )
    async with open_relay(engines=engines) as relay:
        settings = create_settings(
            relay.settings.store_address, name='south-1', data_centre='south'
        )
        async with open_node(settings, create_adapter(), Telemetry()) as second:
            await until(lambda: second.is_ready)
            await _until_acquainted(relay, second)
            fleet = Fleet(
                relay,
                (settings.callers_address, second),
                engines,
                keep_ids=keep_ids,
            )
            restarting = asyncio.ensure_future(fleet.restart_crashed())
            try:
                yield fleet
            finally:
                restarting.cancel()


async def _until_acquainted(relay: RelayFixture, second: RelayNode) -> None:
    await until(
        lambda: all(
            len(node.belief.entries_under('mastichatch/nodes/')) == 2
            for node in (relay.node, second)
        )
    )


class TestDeadlyPart:
    async def test_its_requests_stop_reaching_engines(self) -> None:
        """Each new request with the part used to crash one more engine."""
        script = endpoints.crash_on_part(DEADLY, endpoints.stream(5))
        async with open_fleet(script) as fleet:
            for number in range(4):
                sound = await fleet.plan(SHARED, node=number % 2)
                assert sound.is_whole
            for number in range(16):
                await fleet.plan(SHARED, DEADLY, node=number % 2)
                await fleet.plan(SHARED, node=number % 2)
                await asyncio.sleep(RESTART_S / 2)
            assert fleet.arrivals(DEADLY) <= (
                CRASHES_BEFORE_BOUND + REQUESTS_AFTER_BOUND
            )
            sound = await fleet.plan(SHARED)
            assert sound.is_whole


class TestEnginesThatKeepTheirIds:
    """Guards against evidence that is kept by the id of an engine alone.

    Two engines that come back under their ids were taken for two crashes,
    however often they crashed, and each new request became a trial.
    """

    async def test_requests_with_the_part_stop_reaching_two_engines(
        self,
    ) -> None:
        script = endpoints.crash_on_part(DEADLY, endpoints.stream(5))
        async with open_fleet(script, 2, keep_ids=True) as fleet:
            for number in range(4):
                sound = await fleet.plan(SHARED, node=number % 2)
                assert sound.is_whole
            for number in range(16):
                # No two requests with the part are alike.
                await fleet.plan(DEADLY, f'caller-{number}', node=number % 2)
                await fleet.plan(SHARED, node=number % 2)
                await asyncio.sleep(RESTART_S * 1.5)
            assert fleet.arrivals(DEADLY) <= (
                CRASHES_BEFORE_BOUND + REQUESTS_AFTER_BOUND
            )
            sound = await fleet.plan(SHARED)
            assert sound.is_whole


class TestRefusal:
    async def test_it_says_when_to_come_back_and_that_nothing_ran(self) -> None:
        script = endpoints.crash_on_part(DEADLY, endpoints.stream(5))
        async with open_fleet(script) as fleet:
            assert (await fleet.plan(SHARED)).is_whole
            await fleet.plan(SHARED, DEADLY)
            refused = await fleet.plan(SHARED, DEADLY)
            assert refused.status == 503
            body = json.loads(refused.body)
            assert body['kind'] == 'prompt_quarantined'
            assert body['ran'] == 'no'
            assert body['retry_after_ms'] > 1000
            assert float(refused.headers['retry-after']) > 1
            assert fleet.arrivals(DEADLY) == 1

    async def test_other_nodes_refuse_too_while_the_store_is_away(self) -> None:
        script = endpoints.crash_on_part(DEADLY, endpoints.stream(5))
        async with open_fleet(script) as fleet:
            assert (await fleet.plan(SHARED)).is_whole
            fleet.relay.store.refuse_status = 503
            await fleet.plan(SHARED, DEADLY, node=0)
            await asyncio.sleep(EXCHANGE_S)
            refused = await fleet.plan(SHARED, DEADLY, node=1)
            assert refused.status == 503
            assert fleet.arrivals(DEADLY) == 1

    async def test_node_that_starts_later_learns_it_from_the_store(
        self,
    ) -> None:
        """After a restart of all nodes, only the store knows of the crash."""
        script = endpoints.crash_on_part(DEADLY, endpoints.stream(5))
        engines = (HouseEndpoint('e1', script), HouseEndpoint('e2', script))
        async with open_relay(engines=engines) as relay:
            plan = (SHARED, DEADLY)
            await relay.call('/plan/x', headers=plan_headers(SHARED))
            await relay.call('/plan/x', headers=plan_headers(*plan))
            await until(
                lambda: any('crashes/' in key for key in relay.store.items)
            )
            lone = create_settings(relay.settings.store_address, name='south-9')
            # The new node is cut off from the old one.
            await relay.store.remove('mastichatch/nodes/north-1')
            async with open_node(lone, create_adapter(), Telemetry()) as node:
                await until(lambda: node.is_ready)
                refused = await call(
                    lone.callers_address,
                    '/plan/x',
                    headers=plan_headers(*plan),
                )
        assert refused.status == 503
        assert json.loads(refused.body)['kind'] == 'prompt_quarantined'


class TestNoRepeat:
    async def test_run_without_an_event_is_not_resumed_from_its_copy(
        self,
    ) -> None:
        """The engine with the copy used to get the same prompt, and crash."""
        script = endpoints.crash_on_part(DEADLY, endpoints.stream(5))
        document = configuration()
        document['services'][1]['engine']['backups'] = True
        engines = (HouseEndpoint('e1', script), HouseEndpoint('e2', script))
        async with open_relay(engines=engines, document=document) as relay:
            await relay.call('/plan/x', headers=plan_headers(SHARED))
            lost = await relay.call(
                '/plan/x', headers=plan_headers(SHARED, DEADLY)
            )
            copies = [
                request.headers.get('mastichatch-kv-backup')
                for engine in engines
                for request in engine.received
            ]
            assert any(copies)
            assert sum(engine.crashes for engine in engines) == 1
        assert lost.status == 502


class TestNoCrash:
    @pytest.mark.parametrize('script', [endpoints.reset, endpoints.hang])
    async def test_broken_connection_of_a_living_engine_suspects_nobody(
        self, script: endpoints.Script
    ) -> None:
        engines = (HouseEndpoint('e1', script),)
        async with open_relay(engines=engines) as relay:
            await relay.call(
                '/plan/x', headers=plan_headers(SHARED), timeout_ms=300
            )
            engines[0].script = endpoints.stream(3)
            answer = await relay.call('/plan/x', headers=plan_headers(SHARED))
            assert answer.is_whole

    async def test_end_of_a_leaving_engine_suspects_nobody(self) -> None:
        engine = HouseEndpoint('e1', endpoints.hang)
        async with open_relay(engines=(engine,)) as relay:
            calling = asyncio.ensure_future(
                relay.call('/plan/x', headers=plan_headers(SHARED, DEADLY))
            )
            await until(lambda: bool(engine.ran))
            leaving = engine.entry('llm', 'north', 'draining')
            await relay.store.put('servers/e1', leaving)
            await asyncio.sleep(EXCHANGE_S)
            engine.crash()
            await calling
            await asyncio.sleep(EXCHANGE_S)
            assert not any('crashes/' in key for key in relay.store.items)
            second = HouseEndpoint('e2', endpoints.stream(3))
            async with endpoints.open_endpoints(second):
                entry = second.entry('llm', 'north')
                await relay.store.put('servers/e2', entry)
                await asyncio.sleep(EXCHANGE_S)
                answer = await relay.call(
                    '/plan/x', headers=plan_headers(SHARED, DEADLY)
                )
        assert answer.is_whole


class TestTrial:
    async def test_first_event_of_a_trial_lets_the_others_go_on(self) -> None:
        """An engine died for another reason while it read a rare prompt."""
        engines = tuple(
            HouseEndpoint(f'e{number}', endpoints.hang) for number in range(2)
        )
        async with open_relay(engines=engines) as relay:
            calling = asyncio.ensure_future(
                relay.call('/plan/x', headers=plan_headers(SHARED, 'abc'))
            )
            await until(lambda: any(engine.ran for engine in engines))
            dying = next(engine for engine in engines if engine.ran)
            for engine in engines:
                engine.script = endpoints.stream(3, 0.05)
            dying.crash()
            await calling
            answers = await asyncio.gather(
                *(
                    relay.call(
                        '/plan/x',
                        request_id=f'r{number}',
                        headers=plan_headers(SHARED, 'abc'),
                    )
                    for number in range(4)
                )
            )
        assert all(answer.is_whole for answer in answers)


class TestDeadlyCall:
    async def test_call_that_crashes_each_server_stops_reaching_them(
        self,
    ) -> None:
        """Each repetition by its caller used to crash two more servers."""

        async def crash(
            endpoint: HouseEndpoint,
            request: ReceivedRequest,
            writer: asyncio.StreamWriter,
        ) -> None:
            if request.body == b'deadly':
                endpoint.crash()
            else:
                await endpoints.respond_ok(endpoint, request, writer)

        apps = tuple(HouseEndpoint(f'a{number}', crash) for number in range(6))
        async with open_relay(apps) as relay:
            statuses = [
                (
                    await relay.call(
                        '/lookup/x', request_id=f'd{number}', body=b'deadly'
                    )
                ).status
                for number in range(4)
            ]
            sound = await relay.call('/lookup/x', body=b'other')
            assert sum(app.crashes for app in apps) == 2
        assert statuses == [502, 503, 503, 503]
        assert sound.status == 200


class TestOperators:
    async def test_part_is_listed_cleared_and_pinned(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        script = endpoints.crash_on_part(DEADLY, endpoints.stream(5))
        async with open_fleet(script) as fleet:

            async def control(*words: str) -> list[dict[str, Any]]:
                address = fleet.relay.settings.metrics_address
                code = await asyncio.to_thread(
                    run, ('--json', '--node', address, 'quarantine', *words)
                )
                assert not code
                found: list[dict[str, Any]] = json.loads(
                    capsys.readouterr().out
                )['entries']
                return found

            assert (await fleet.plan(SHARED)).is_whole
            await fleet.plan(SHARED, DEADLY)
            (entry,) = await control('list')
            assert (entry['service'], entry['parts']) == ('llm', [DEADLY])
            assert len(entry['crashes']) == 1
            assert await control('clear', 'llm', DEADLY) == []
            await asyncio.sleep(EXCHANGE_S)
            for engine in fleet.engines:
                engine.script = endpoints.stream(5)
            assert (await fleet.plan(SHARED, DEADLY, node=1)).is_whole
            await control('pin', 'llm', DEADLY)
            await asyncio.sleep(EXCHANGE_S)
            assert (await fleet.plan(SHARED, DEADLY, node=1)).status == 503
            await control('unpin', 'llm', DEADLY)
            await asyncio.sleep(EXCHANGE_S)
            assert (await fleet.plan(SHARED, DEADLY, node=1)).is_whole
