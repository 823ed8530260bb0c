"""Tests of roll-outs with real nodes and stand-ins of two versions."""

import asyncio
import time

import pytest

from mastichatch_core.relay.rollouts.verdict import Decision, Verdict
from mastichatch_core.units import MS_PER_S
from mastichatch_node.relay.rollouts import deciding
from tests.relay_nodes import (
    RelayFixture,
    configuration,
    open_relay,
    until,
)
from tests.rollout_fleet import (
    SHARE,
    SLACK,
    open_rollout_fleet,
    ran_on,
)
from tests.standins.house_endpoints import (
    HouseEndpoint,
    Script,
    fail,
    respond_ok,
    stall_after,
    stream,
)

PERIOD_S = 4.0
RATE = 60.0
ROLLBACK_MS = 5000.0
LOOKUP = '/lookup/a'


def _endpoints(new: Script = respond_ok) -> tuple[HouseEndpoint, ...]:
    old = (HouseEndpoint(f'old-{number}', respond_ok) for number in range(3))
    fresh = (
        HouseEndpoint(f'new-{number}', new, version='v2') for number in range(3)
    )
    return (*old, *fresh)


class TestGoodVersion:
    async def test_it_is_completed_before_the_deadline(self) -> None:
        endpoints = _endpoints()
        async with open_rollout_fleet(endpoints) as fleet:
            async with fleet.load(RATE, LOOKUP):
                await fleet.order('v2', PERIOD_S)
                started_at = time.monotonic()
                await fleet.state_is('completed')
                assert time.monotonic() - started_at < PERIOD_S
                await fleet.phase_is('completed')
                # Requests that were sent before have arrived by then.
                await asyncio.sleep(0.2)
                served = ran_on(endpoints, 'v1')
                await asyncio.sleep(0.5)
            assert fleet.states == ['serving', 'completed']
            assert ran_on(endpoints, 'v1') == served
            assert set(fleet.statuses) == {200}

    async def test_a_repeated_order_is_carried_out_again(self) -> None:
        endpoints = _endpoints()
        async with open_rollout_fleet(endpoints) as fleet:
            async with fleet.load(RATE, LOOKUP):
                for target in ('v2', 'v1', 'v1'):
                    await fleet.order(target, PERIOD_S)
                    await until(lambda: fleet.states[-1:] == ['serving'])
                    await fleet.state_is('completed')
            assert fleet.states == ['serving', 'completed'] * 3
            assert set(fleet.statuses) == {200}


class TestBadVersion:
    async def test_it_is_reverted_and_gets_few_requests(self) -> None:
        endpoints = _endpoints(fail)
        async with open_rollout_fleet(endpoints) as fleet:
            await fleet.order('v2', PERIOD_S)
            await fleet.phase_is('serving')
            async with fleet.load(RATE, LOOKUP):
                took_s = await fleet.state_is('reverted', 'completed')
                limit = SHARE * fleet.sent + SLACK
                await fleet.phase_is('reverted')
                await asyncio.sleep(0.2)
                exposed = ran_on(endpoints, 'v2')
                await asyncio.sleep(0.5)
            assert fleet.states == ['serving', 'reverted']
            assert took_s * MS_PER_S < ROLLBACK_MS
            assert ran_on(endpoints, 'v2') == exposed
            assert 0 < exposed <= limit

    async def test_its_crashes_are_not_held_against_the_calls(self) -> None:
        async def crash(
            endpoint: HouseEndpoint, request: object, writer: object
        ) -> None:
            endpoint.crash()

        endpoints = _endpoints(crash)
        async with open_rollout_fleet(endpoints) as fleet:
            await fleet.order('v2', PERIOD_S)
            await fleet.phase_is('serving')
            async with fleet.load(RATE, LOOKUP):
                await fleet.state_is('reverted')
            assert sum(one.crashes for one in endpoints) >= 2
            assert not [
                key
                for key in fleet.store.items
                if key.startswith('mastichatch/crashes/')
            ]


class TestFaults:
    async def test_decision_is_taken_over_from_a_node_that_stops(self) -> None:
        endpoints = _endpoints()
        async with open_rollout_fleet(endpoints) as fleet:
            async with fleet.load(RATE, LOOKUP):
                await fleet.order('v2', 6)
                await fleet.phase_is('serving')
                await asyncio.sleep(1)
                record = fleet.store.items['mastichatch/rollouts/app'].content
                decider = next(
                    name
                    for name in fleet.nodes
                    if f'"decided_by":"{name}"'.encode() in record
                )
                await fleet.close_node(decider)
                await fleet.state_is('completed', 'reverted')
            assert fleet.states == ['serving', 'completed']

    async def test_decision_waits_for_a_store_that_is_away(self) -> None:
        endpoints = _endpoints(fail)
        async with open_rollout_fleet(endpoints, rollback_ms=4000) as fleet:
            await fleet.order('v2', 2 * PERIOD_S)
            await fleet.phase_is('serving')
            async with fleet.load(RATE, LOOKUP):
                fleet.store.refuse_status = 503
                # A bad version gets nothing later than it would otherwise.
                await asyncio.sleep(2.3)
                exposed = ran_on(endpoints, 'v2')
                await asyncio.sleep(0.5)
                assert ran_on(endpoints, 'v2') == exposed
                fleet.store.refuse_status = 0
                await fleet.state_is('reverted', 'completed')
            assert fleet.states == ['serving', 'reverted']

    async def test_lost_answers_of_the_store_do_no_harm(self) -> None:
        endpoints = _endpoints(fail)
        async with open_rollout_fleet(endpoints) as fleet:
            async with fleet.load(RATE, LOOKUP):
                fleet.store.lose_answers = True
                await fleet.order('v2', PERIOD_S)
                await asyncio.sleep(1)
                fleet.store.lose_answers = False
                await fleet.state_is('reverted')
            assert fleet.states == ['serving', 'reverted']

    async def test_a_node_without_the_store_exposes_nothing(self) -> None:
        endpoints = _endpoints()
        async with open_rollout_fleet(
            endpoints, names=('north-1',), rollback_ms=4000
        ) as fleet:
            async with fleet.load(RATE, LOOKUP):
                await fleet.order('v2', 60)
                await until(lambda: ran_on(endpoints, 'v2') > 2)
                fleet.store.is_silent = True
                await asyncio.sleep(2.2)
                exposed = ran_on(endpoints, 'v2')
                await asyncio.sleep(1)
                assert ran_on(endpoints, 'v2') == exposed

    async def test_deciders_that_act_at_once_agree(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(deciding, 'TAKEOVER_S', 0)
        decisions = iter((Decision.complete, Decision.revert) * 1000)

        def judge(*_args: object) -> Verdict:
            return Verdict(decision=next(decisions), rule='at odds')

        monkeypatch.setattr(deciding, 'judge', judge)
        endpoints = _endpoints()
        async with open_rollout_fleet(endpoints) as fleet:
            for _ in range(3):
                await fleet.order('v2', PERIOD_S)
                await until(lambda: fleet.states[-1:] == ['serving'])
                await fleet.state_is('reverted', 'completed')
            await asyncio.sleep(0.5)
            pairs = list(
                zip(fleet.states[::2], fleet.states[1::2], strict=True)
            )
        assert len(pairs) == 3
        assert {first for first, _ in pairs} == {'serving'}


class TestOrders:
    @pytest.mark.parametrize(
        'document',
        [b'{', {'service': 'app'}, {'service': 'x', 'target': 'v2'}],
    )
    async def test_malformed_order_changes_nothing(
        self, document: object
    ) -> None:
        endpoints = _endpoints()
        async with open_rollout_fleet(endpoints, names=('north-1',)) as fleet:
            await fleet.store.put('op/rollout/app', document)
            async with fleet.load(RATE, LOOKUP):
                await until(lambda: ran_on(endpoints, 'v2') > 5)
            assert not fleet.states
            assert set(fleet.statuses) == {200}

    async def test_without_the_setting_orders_are_not_followed(self) -> None:
        endpoints = _endpoints()
        async with open_rollout_fleet(
            endpoints, names=('north-1',), rollout_share=0
        ) as fleet:
            await fleet.order('v2', 1)
            async with fleet.load(RATE, LOOKUP):
                await until(lambda: ran_on(endpoints, 'v2') > 5)
                await asyncio.sleep(1)
            assert not fleet.states

    async def test_an_order_that_is_removed_closes_the_trial(self) -> None:
        endpoints = _endpoints()
        async with open_rollout_fleet(endpoints, names=('north-1',)) as fleet:
            async with fleet.load(RATE, LOOKUP):
                await fleet.order('v2', 60)
                await until(lambda: ran_on(endpoints, 'v2') > 2)
                await fleet.store.remove('op/rollout/app')
                await asyncio.sleep(0.8)
                exposed = ran_on(endpoints, 'v2')
                await asyncio.sleep(0.5)
                assert ran_on(endpoints, 'v2') == exposed


class TestGenerations:
    async def test_run_is_not_resumed_on_a_version_on_trial(self) -> None:
        """The engine of the run ends, and only the new version is left."""
        document = configuration()
        engine = document['services'][1]['engine']
        document['services'][1]['engine'] = engine | {'backups': True}
        old = HouseEndpoint(
            'old', stream(80, gap_s=0.05, break_after=30), slots=8
        )
        new = HouseEndpoint('new', stream(80), slots=8, version='v2')
        async with open_relay(
            engines=(old, new), document=document, rollout_share=0.001
        ) as relay:
            order = {'service': 'llm', 'target': 'v2', 'period_s': 30}
            await relay.store.put('op/rollout/llm', order)
            await until(lambda: 'status/rollout/llm' in relay.store.items)
            await asyncio.sleep(0.6)
            response = await relay.call(
                '/plan/a',
                headers=('Mastichatch-Token-Counts: 100,320',),
                timeout_ms=9000,
            )
        assert not response.is_whole
        assert old.received[0].headers.get('mastichatch-kv-backup') is None
        assert not new.received

    async def test_runs_leave_the_previous_version_as_it_is_completed(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        def judge(*args: object) -> Verdict:
            return Verdict(decision=Decision.complete, rule='test')

        monkeypatch.setattr(deciding, 'judge', judge)
        old = HouseEndpoint('old', stream(200, gap_s=0.05), slots=8)
        new = HouseEndpoint(
            'new', stream(200, gap_s=0.01), slots=8, version='v2'
        )
        async with open_relay(engines=(old, new), rollout_share=0.001) as relay:
            models = [{'name': 'm', 'version': 1}]
            for one in (old, new):
                entry = one.entry('llm', 'north') | {'models': models}
                await relay.store.put(f'servers/{one.instance}', entry)
            new_entry = new.entry('llm', 'north') | {'models': models}
            await relay.store.remove('servers/new')
            await asyncio.sleep(0.6)
            running = asyncio.ensure_future(
                relay.call(
                    '/plan/a',
                    headers=('Mastichatch-Token-Counts: 100,800',),
                    timeout_ms=15000,
                )
            )
            await until(lambda: bool(old.ran))
            await asyncio.sleep(0.5)
            await relay.store.put('servers/new', new_entry)
            order = {'service': 'llm', 'target': 'v2', 'period_s': 6}
            await relay.store.put('op/rollout/llm', order)
            response = await running
            status = relay.store.items['status/rollout/llm'].content
        assert response.is_whole
        assert new.ran
        assert b'completed' in status

    @pytest.mark.parametrize('new', [fail, stall_after(0)])
    async def test_bad_engines_are_reverted_and_get_few_requests(
        self, new: Script
    ) -> None:
        engines = tuple(
            HouseEndpoint(
                f'{version}-{number}',
                stream(6, gap_s=0.02) if version == 'v1' else new,
                slots=8,
                version=version,
            )
            for version in ('v1', 'v2')
            for number in range(3)
        )
        sent = 0
        calls: list['asyncio.Task[object]'] = []
        async with open_relay(
            engines=engines, rollout_share=SHARE, rollout_slack=SLACK
        ) as relay:
            order = {'service': 'llm', 'target': 'v2', 'period_s': PERIOD_S}
            await relay.store.put('op/rollout/llm', order)
            await until(lambda: 'status/rollout/llm' in relay.store.items)
            await asyncio.sleep(0.6)
            while not _is_decided(relay):
                sent += 1
                headers = ('Mastichatch-Token-Counts: 20,24',)
                call = relay.call(
                    '/plan/a', request_id=f's{sent}', headers=headers
                )
                calls.append(asyncio.ensure_future(call))
                await asyncio.sleep(1 / RATE)
            status = relay.store.items['status/rollout/llm'].content
            for one in calls:
                one.cancel()
            await asyncio.gather(*calls, return_exceptions=True)
        assert b'reverted' in status
        assert 0 < ran_on(engines, 'v2') <= SHARE * sent + SLACK


def _is_decided(relay: RelayFixture) -> bool:
    status = relay.store.items['status/rollout/llm'].content
    return b'serving' not in status


class TestRestoredStore:
    """The store comes back from a copy that lacks what was decided."""

    @pytest.mark.parametrize('lost', ('order', 'late', 'record', 'decision'))
    async def test_reported_decision_is_not_taken_otherwise(
        self, lost: str
    ) -> None:
        async with open_rollout_fleet(_endpoints()) as fleet:
            store = fleet.store
            copies = {'order': store.copy()}
            async with fleet.load(RATE, LOOKUP):
                await fleet.order('v2', PERIOD_S)
                copies['record'] = store.copy()
                await fleet.phase_is('serving')
                copies['decision'] = store.copy()
                await fleet.state_is('completed', 'reverted')
            decided = fleet.states[-1]
            await fleet.phase_is(decided)
            store.go_away()
            await asyncio.sleep(0.5)
            store.restore(copies.get(lost, copies['order']))
            if lost == 'late':
                await asyncio.sleep(1.5)
            if lost in {'order', 'late'}:
                # Other writers come first, so that its revision differs.
                await store.put('other/a', b'x')
                await fleet.order('v2', PERIOD_S)
            # Without requests, a trial that begins again is reverted.
            await asyncio.sleep(2 * PERIOD_S)
            assert set(fleet.states) <= {'serving', decided}
            assert fleet.states[-1] == decided
            await fleet.phase_is(decided)

    @pytest.mark.parametrize('away_s', (0.1, 1.5))
    async def test_decision_holds_if_the_copy_has_an_earlier_order(
        self, away_s: float
    ) -> None:
        async with open_rollout_fleet(_endpoints()) as fleet:
            store = fleet.store
            async with fleet.load(RATE, LOOKUP):
                for target in ('v2', 'v1'):
                    copy = store.copy()
                    await fleet.order(target, PERIOD_S)
                    await until(lambda: fleet.states[-1:] == ['serving'])
                    await fleet.state_is('completed')
                    await fleet.phase_is('completed')
            store.go_away()
            await asyncio.sleep(0.5)
            store.restore(copy)
            known = len(fleet.states)
            await asyncio.sleep(away_s)
            await fleet.order('v1', PERIOD_S)
            # Without requests, a trial that begins again is reverted.
            await asyncio.sleep(2 * PERIOD_S)
            assert set(fleet.states[known:]) == {'completed'}
            await fleet.phase_is('completed')
