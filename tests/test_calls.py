"""Tests of calls with fakes that pause, kill, drop and delay."""

import asyncio
import contextlib
import itertools
from collections.abc import AsyncIterator, Coroutine
from typing import Any

import looptime
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.messages import (
    Envelope,
    ErrorKind,
    MessageKind,
    PermitOutcome,
    Ran,
)
from tests.call_fakes import (
    RETENTION_S,
    Answer,
    Node,
    World,
    ask_node,
    forward_of,
    now,
)

pytestmark = pytest.mark.looptime
ADDRESSES = ('127.0.0.1:11', '127.0.0.1:12', '127.0.0.1:13')
NUMBERS = itertools.count()
SETTLE_S = 120
TICKET_LIFETIME_S = 600


@contextlib.asynccontextmanager
async def fleet(count: int = 2) -> AsyncIterator[tuple[World, list[Node]]]:
    """Run several nodes that share a world."""
    world = World()
    nodes = [
        await Node(world, address, f'i{address}').open()
        for address in ADDRESSES[:count]
    ]
    try:
        yield world, nodes
    finally:
        for node in nodes:
            node.calls = None  # type: ignore[assignment]
            await node.stack.aclose()
        for task in world.tasks:
            task.cancel()
    assert not world.violations


async def ask(
    node: Node, key: str = 'k', body: bytes = b'1', operation: str = 'book'
) -> Answer:
    """Make a call and return the caller's answer."""
    answer = Answer(
        request_id=f'r{next(NUMBERS)}', key=key, body=body, began_at=now()
    )
    await ask_node(node, answer, operation)
    return answer


class TestClaimedKey:
    """Retries of a call with the same key."""

    async def test_retry_elsewhere_replays_the_whole_answer(self) -> None:
        async with fleet() as (world, nodes):
            first = await ask(nodes[0])
            second = await ask(nodes[1])
            assert first.outcome is not None
            assert first.outcome == second.outcome
            assert len(world.executions) == 1

    async def test_tries_at_one_moment_run_once_and_share_the_answer(
        self,
    ) -> None:
        async with fleet(3) as (world, nodes):
            world.endpoint = 'slow'
            answers = await asyncio.gather(*(ask(node) for node in nodes * 3))
            assert {answer.ran for answer in answers} == {Ran.yes}
            assert len(world.executions) == 1

    async def test_key_with_another_body_is_refused_everywhere(self) -> None:
        async with fleet() as (world, nodes):
            await ask(nodes[0])
            for node in nodes:
                answer = await ask(node, body=b'2')
                assert answer.error is ErrorKind.key_reused
            assert len(world.executions) == 1

    async def test_lost_answer_of_the_claim_is_read_back(self) -> None:
        async with fleet() as (world, nodes):
            world.platform.lost_answers = 1
            assert (await ask(nodes[0])).ran is Ran.yes
            assert len(world.executions) == 1

    async def test_dead_owner_leaves_the_outcome_unknown(self) -> None:
        async with fleet() as (world, nodes):
            world.endpoint = 'silent'
            world.spawn(ask(nodes[0]))
            await asyncio.sleep(1)
            nodes[0].kill()
            await Node(world, ADDRESSES[0], 'restarted').open()
            answer = await ask(nodes[1])
            assert answer.error is ErrorKind.outcome_unknown
            assert answer.ran is Ran.unknown
            assert len(world.executions) == 1

    async def test_silence_of_a_dead_owner_does_not_keep_the_caller(
        self,
    ) -> None:
        async with fleet() as (world, nodes):
            world.endpoint = 'silent'
            world.spawn(ask(nodes[0]))
            await asyncio.sleep(1)
            nodes[0].kill()
            answer = await ask(nodes[1])
            assert answer.error is ErrorKind.outcome_unknown
            assert answer.ended_at - answer.began_at < 5

    async def test_recorded_answer_outlives_its_node(self) -> None:
        async with fleet() as (world, nodes):
            await ask(nodes[0])
            await asyncio.sleep(1)
            nodes[0].kill()
            assert (await ask(nodes[1])).ran is Ran.yes
            assert len(world.executions) == 1

    async def test_refusal_by_the_endpoint_lets_another_node_run_it(
        self,
    ) -> None:
        async with fleet() as (world, nodes):
            world.endpoint = 'refusing'
            refused = await ask(nodes[0])
            assert refused.error is ErrorKind.endpoint_refused
            assert refused.ran is Ran.no
            world.endpoint = 'healthy'
            assert (await ask(nodes[1])).ran is Ran.yes
            assert len(world.executions) == 1

    async def test_failure_status_is_never_tried_again(self) -> None:
        async with fleet() as (world, nodes):
            world.endpoint = 'failing'
            first = await ask(nodes[0])
            world.endpoint = 'healthy'
            second = await ask(nodes[1])
            assert first.error is second.error is ErrorKind.endpoint_failed
            assert first.ran is second.ran is Ran.unknown
            assert len(world.executions) == 1

    async def test_unreachable_endpoint_is_left_out_of_the_next_try(
        self,
    ) -> None:
        async with fleet(1) as (world, nodes):
            world.endpoint = 'unreachable'
            answer = await ask(nodes[0])
            assert answer.error is ErrorKind.endpoint_unreachable
            assert answer.ran is Ran.no
            assert nodes[0].excluded[:2] == [(), ('dispatch-1',)]
            assert set(nodes[0].outcomes) == {PermitOutcome.unreachable}

    async def test_key_is_kept_for_its_retention(self) -> None:
        async with fleet() as (world, nodes):
            await ask(nodes[0])
            await asyncio.sleep(RETENTION_S - 1)
            assert (await ask(nodes[1])).ran is Ran.yes
            assert len(world.executions) == 1

    async def test_refusal_after_a_wait_sees_a_claim_made_meanwhile(
        self,
    ) -> None:
        async with fleet() as (world, nodes):
            world.permit_refused = True
            world.permit_delay_s = 1
            late = asyncio.create_task(ask(nodes[1]))
            await asyncio.sleep(0.5)
            world.permit_refused = False
            world.permit_delay_s = 0
            assert (await ask(nodes[0])).ran is Ran.yes
            world.permit_refused = True
            assert (await late).ran is Ran.yes

    async def test_missing_key_is_refused(self) -> None:
        async with fleet(1) as (world, nodes):
            answer = await ask(nodes[0], key='')
            assert answer.error is ErrorKind.key_missing
            assert not world.executions


class TestOutage:
    """The platform is unavailable, slow, or applies writes late."""

    async def test_outage_in_mid_claim_does_not_burn_the_key(self) -> None:
        for late_write_s in (5, 30):
            async with fleet() as (world, nodes):
                world.platform.late_write_s = late_write_s
                refused = await ask(nodes[0])
                assert refused.error is ErrorKind.platform_unavailable
                assert refused.ran is Ran.no
                world.platform.late_write_s = 0
                await asyncio.sleep(60)
                assert world.platform.values
                assert (await ask(nodes[1])).ran is Ran.yes
                assert len(world.executions) == 1

    async def test_owner_itself_takes_its_closed_attempt_over(self) -> None:
        async with fleet(1) as (world, nodes):
            world.platform.late_write_s = 30
            await ask(nodes[0])
            world.platform.late_write_s = 0
            await asyncio.sleep(60)
            assert (await ask(nodes[0])).ran is Ran.yes
            assert len(world.executions) == 1

    async def test_refusal_without_the_platform_does_not_deny_a_run_elsewhere(
        self,
    ) -> None:
        async with fleet() as (world, nodes):
            await ask(nodes[0])
            world.platform.unavailable = True
            answer = await ask(nodes[1])
            assert answer.error is ErrorKind.platform_unavailable
            assert answer.ran is Ran.unknown

    async def test_caller_that_joins_is_not_told_what_held_before_it_came(
        self,
    ) -> None:
        async with fleet() as (world, nodes):
            world.permit_delay_s = 3
            first = asyncio.create_task(ask(nodes[0]))
            await asyncio.sleep(1)
            world.permit_delay_s = 0
            assert (await ask(nodes[1])).ran is Ran.yes
            world.platform.unavailable = True
            joined = await ask(nodes[0])
            assert joined.error is ErrorKind.platform_unavailable
            assert joined.ran is Ran.unknown
            assert (await first).ran is Ran.no

    async def test_tickets_are_served_where_claimed_keys_are_refused(
        self,
    ) -> None:
        async with fleet() as (world, nodes):
            tickets = await nodes[0].calls.mint_tickets(
                'depot', 'dispatch', 'book', 4
            )
            world.platform.unavailable = True
            served = [await ask(nodes[1], key=text) for text in tickets]
            claimed = [await ask(nodes[1], key=str(key)) for key in range(4)]
            assert {answer.ran for answer in served} == {Ran.yes}
            assert {answer.error for answer in claimed} == {
                ErrorKind.platform_unavailable
            }
            assert len(world.executions) == 4


class TestTicket:
    """Tickets, which only one incarnation may run."""

    async def test_ticket_runs_once_at_its_holder_wherever_it_is_brought(
        self,
    ) -> None:
        async with fleet(3) as (world, nodes):
            (text,) = await nodes[0].calls.mint_tickets(
                'depot', 'dispatch', 'book', 1
            )
            world.duplicate_messages = True
            answers = await asyncio.gather(
                *(ask(node, key=text) for node in nodes * 2)
            )
            assert {answer.ran for answer in answers} == {Ran.yes}
            assert len(world.executions) == 1

    async def test_ticket_of_an_old_incarnation_is_not_run(self) -> None:
        async with fleet() as (world, nodes):
            (text,) = await nodes[0].calls.mint_tickets(
                'depot', 'dispatch', 'book', 1
            )
            nodes[0].kill()
            successor = await Node(world, ADDRESSES[0], 'restarted').open()
            for node in (nodes[1], successor):
                answer = await ask(node, key=text)
                assert answer.error is ErrorKind.outcome_unknown
            assert not world.executions

    async def test_silence_of_a_dead_holder_does_not_keep_the_caller(
        self,
    ) -> None:
        async with fleet() as (world, nodes):
            (text,) = await nodes[0].calls.mint_tickets(
                'depot', 'dispatch', 'book', 1
            )
            nodes[0].kill()
            answer = await ask(nodes[1], key=text)
            assert answer.error is ErrorKind.outcome_unknown
            assert answer.ended_at - answer.began_at < 5

    async def test_unused_ticket_expires_and_a_used_one_is_replayed(
        self,
    ) -> None:
        async with fleet(1) as (world, nodes):
            used, unused = await nodes[0].calls.mint_tickets(
                'depot', 'dispatch', 'book', 2
            )
            await ask(nodes[0], key=used)
            await asyncio.sleep(TICKET_LIFETIME_S + 1)
            assert (await ask(nodes[0], key=used)).ran is Ran.yes
            expired = await ask(nodes[0], key=unused)
            assert expired.error is ErrorKind.ticket_expired
            assert expired.ran is Ran.no
            await asyncio.sleep(RETENTION_S)
            late = await ask(nodes[0], key=unused)
            assert late.ran is Ran.unknown
            assert len(world.executions) == 1

    async def test_ticket_with_another_body_is_refused(self) -> None:
        async with fleet(1) as (_, nodes):
            (text,) = await nodes[0].calls.mint_tickets(
                'depot', 'dispatch', 'book', 1
            )
            await ask(nodes[0], key=text)
            answer = await ask(nodes[0], key=text, body=b'2')
            assert answer.error is ErrorKind.key_reused

    async def test_forwarded_ticket_of_another_incarnation_is_not_run(
        self,
    ) -> None:
        async with fleet() as (world, nodes):
            (text,) = await nodes[0].calls.mint_tickets(
                'depot', 'dispatch', 'book', 1
            )
            envelope = Envelope(
                kind=MessageKind.forward_call,
                sender='',
                incarnation='',
                body=b'',
            )
            reply = await nodes[1].calls.on_forward(
                forward_of(text, b'1'), envelope
            )
            outcome: Any = reply.message
            assert outcome.error is ErrorKind.outcome_unknown
            assert not world.executions


class TestCaller:
    """Callers that disconnect, and nodes that stop."""

    async def test_caller_that_leaves_does_not_stop_a_sent_call(self) -> None:
        async with fleet() as (world, nodes):
            world.endpoint = 'slow'
            caller = asyncio.create_task(ask(nodes[0]))
            await asyncio.sleep(0.5)
            assert world.executions
            caller.cancel()
            await asyncio.sleep(0)
            assert nodes[0].calls.pending == 1
            answer = await ask(nodes[1])
            assert answer.ran is Ran.yes
            assert len(world.executions) == 1

    async def test_caller_that_leaves_the_queue_stops_its_call(self) -> None:
        async with fleet() as (world, nodes):
            world.permit_delay_s = 1
            caller = asyncio.create_task(ask(nodes[0]))
            await asyncio.sleep(0.5)
            caller.cancel()
            await asyncio.sleep(5)
            assert not world.executions
            assert nodes[0].calls.pending == 0
            assert (await ask(nodes[0])).ran is Ran.yes

    async def test_planned_stop_leaves_answers_in_the_platform(self) -> None:
        async with fleet() as (world, nodes):
            await asyncio.gather(
                *(
                    ask(nodes[0], key=str(key), body=b'%d' % key)
                    for key in range(1200)
                )
            )
            await nodes[0].stack.aclose()
            nodes[0].kill()
            for key in range(1200):
                answer = await ask(nodes[1], key=str(key), body=b'%d' % key)
                assert answer.ran is Ran.yes
            assert len(world.executions) == 1200


class TestFrozenNode:
    """A node that resumes after a pause uses nothing that has expired."""

    async def test_call_whose_deadline_passed_is_not_sent(self) -> None:
        async with fleet() as (world, nodes):
            world.permit_delay_s = 1
            caller = asyncio.create_task(ask(nodes[0]))
            await asyncio.sleep(0.5)
            nodes[0].running.clear()
            await asyncio.sleep(60)
            nodes[0].running.set()
            answer = await caller
            assert answer.ran is Ran.no
            assert not world.executions
            assert (await ask(nodes[1])).ran is Ran.yes

    async def test_frozen_owner_stays_the_only_one_that_may_run_it(
        self,
    ) -> None:
        async with fleet() as (world, nodes):
            caller = asyncio.create_task(ask(nodes[0]))
            while not world.platform.values:
                await asyncio.sleep(0.0005)
            nodes[0].running.clear()
            retry = await ask(nodes[1])
            assert retry.ran is Ran.unknown
            nodes[0].running.set()
            first = await caller
            assert len(world.executions) == (first.ran is Ran.yes)


class TestIdempotent:
    """Operations that may run more than once."""

    async def test_failed_lookup_is_tried_again_within_the_budget(
        self,
    ) -> None:
        async with fleet(1) as (world, nodes):
            world.endpoint = 'failing'
            for _ in range(100):
                answer = await ask(nodes[0], key='', operation='status')
                assert answer.error is ErrorKind.endpoint_failed
            assert 100 < len(world.executions) <= 121

    async def test_failed_lookup_goes_to_another_endpoint(self) -> None:
        async with fleet(1) as (world, nodes):
            world.endpoint = 'silent'
            await ask(nodes[0], key='', operation='status')
            assert nodes[0].excluded[:2] == [(), ('dispatch-1',)]

    async def test_answer_that_a_frozen_node_held_is_not_handed_out(
        self,
    ) -> None:
        async with fleet(1) as (world, nodes):
            caller = asyncio.create_task(ask(nodes[0], '', b'1', 'status'))
            while not world.executions:
                await asyncio.sleep(0.0005)
            nodes[0].running.clear()
            await asyncio.sleep(60)
            nodes[0].running.set()
            assert (await caller).error is ErrorKind.endpoint_failed

    async def test_lookup_needs_no_platform(self) -> None:
        async with fleet(1) as (world, nodes):
            world.platform.unavailable = True
            assert (await ask(nodes[0], '', b'1', 'status')).ran is Ran.yes


class TestChecks:
    """Calls that are refused before anything is sent."""

    @pytest.mark.parametrize(
        ('use', 'kind'),
        [
            (('nobody', 'dispatch', 'book', b'1'), 'unknown_workspace'),
            (('depot', 'nothing', 'book', b'1'), 'unknown_service'),
            (('depot', 'dispatch', 'nothing', b'1'), 'unknown_operation'),
            (('depot', 'dispatch', 'book', b'{'), 'bad_request'),
            (('depot', 'dispatch', 'book', b'1' * 2**21), 'body_too_large'),
        ],
    )
    async def test_wrong_call_is_refused_and_nothing_sent(
        self, use: tuple[str, str, str, bytes], kind: str
    ) -> None:
        workspace, service, operation, body = use
        async with fleet(1) as (world, nodes):
            with pytest.raises(MastichatchError) as raised:
                await nodes[0].calls.call(
                    'r', workspace, service, operation, 'k', body
                )
            assert raised.value.kind == kind
            assert raised.value.ran is Ran.no
            assert not world.executions


KEYS = ('a', 'b', 'c')
# Odd virtual times, which fall between the steps of a call: each step takes
# ``HOP_S``, 2 ms.
STEPS_MS = tuple(range(1, 40, 2))
NODES = st.sampled_from(range(len(ADDRESSES)))
ENDPOINTS = (
    'healthy',
    'unreachable',
    'refusing',
    'failing',
    'lost',
    'late',
    'silent',
    'slow',
)


class FleetMachine(RuleBasedStateMachine):
    """Retries at any node, while nodes pause or die and the platform fails."""

    def __init__(self) -> None:
        """Start three nodes under virtual time."""
        super().__init__()
        self.loop = looptime.new_event_loop(start=0)
        asyncio.set_event_loop(self.loop)
        self.world = World()
        self.nodes: list[Node] = []
        self.answers: list[tuple[Node, Answer, asyncio.Task[None]]] = []
        self.tickets: list[str] = []
        self.boots = 0

    def finish(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        """Run the loop until a coroutine is done."""
        return self.loop.run_until_complete(coroutine)

    async def start_node(self, address: str) -> Node:
        """Start a node's next incarnation."""
        self.boots += 1
        return await Node(self.world, address, f'boot-{self.boots}').open()

    @initialize()
    def start(self) -> None:
        """Start the fleet and mint a ticket at each node."""
        for address in ADDRESSES:
            self.nodes.append(self.finish(self.start_node(address)))
        self.mint(0)

    @rule(node=NODES)
    def mint(self, node: int) -> None:
        """Mint a ticket."""
        minting = self.nodes[node].calls.mint_tickets(
            'depot', 'dispatch', 'book', 1
        )
        self.tickets.extend(self.finish(minting))

    @rule(node=NODES, key=st.sampled_from(KEYS))
    def call_with_key(self, node: int, key: str) -> None:
        """Call with a key; the body contains the key."""
        self._call(self.nodes[node], key)

    @rule(node=NODES, number=st.integers(0, 2))
    def call_with_ticket(self, node: int, number: int) -> None:
        """Call with one of the newest tickets."""
        self._call(self.nodes[node], self.tickets[-1 - number :][0])

    def _call(self, node: Node, key: str) -> None:
        answer = Answer(
            request_id=f'r{len(self.answers)}',
            key=key,
            body=b'"%s"' % key.encode(),
            began_at=self.loop.time(),
        )
        task = self.loop.create_task(ask_node(node, answer))
        self.answers.append((node, answer, task))

    @rule(
        node=NODES,
        other=NODES,
        key=st.sampled_from(KEYS),
        after_ms=st.sampled_from(STEPS_MS),
        fault=st.sampled_from(('kill', 'pause', 'none')),
    )
    def call_and_retry(
        self, node: int, other: int, key: str, after_ms: int, fault: str
    ) -> None:
        """Pause or kill a node during a call, and retry at another node."""
        self._call(self.nodes[node], key)
        self.advance(after_ms)
        if fault == 'kill':
            self.restart(node)
        elif fault == 'pause':
            self.pause(node)
        self._call(self.nodes[other], key)

    @rule(duration_ms=st.sampled_from((*STEPS_MS, 500, 1500, 3000, 40000)))
    def advance(self, duration_ms: int) -> None:
        """Advance the time by a few steps, or past deadlines."""
        self.finish(asyncio.sleep(duration_ms / 1000))

    @rule(node=NODES)
    def pause(self, node: int) -> None:
        """Pause a node at its current step."""
        self.nodes[node].running.clear()

    @rule(node=NODES)
    def resume(self, node: int) -> None:
        """Resume a paused node."""
        self.nodes[node].running.set()

    @rule(node=NODES)
    def restart(self, node: int) -> None:
        """Kill a node and start another at the same address."""
        self.nodes[node].kill()
        self.nodes[node] = self.finish(self.start_node(ADDRESSES[node]))

    @rule(unavailable=st.booleans())
    def switch_platform(self, unavailable: bool) -> None:
        """Make the platform unavailable or available."""
        self.world.platform.unavailable = unavailable

    @rule(count=st.integers(1, 2), late_write_s=st.sampled_from((0, 0.5, 20)))
    def lose_writes(self, count: int, late_write_s: float) -> None:
        """Drop answers to writes, or apply writes late."""
        self.world.platform.lost_answers = count
        self.world.platform.late_write_s = late_write_s

    @rule(endpoint=st.sampled_from(ENDPOINTS))
    def change_endpoint(self, endpoint: str) -> None:
        """Change how the endpoint handles calls."""
        self.world.endpoint = endpoint

    @rule(refused=st.booleans(), delay_s=st.sampled_from((0, 0.5, 4)))
    def change_permits(self, refused: bool, delay_s: float) -> None:
        """Refuse or delay permits."""
        self.world.permit_refused = refused
        self.world.permit_delay_s = delay_s

    @rule(cut=st.booleans(), doubled=st.booleans())
    def change_links(self, cut: bool, doubled: bool) -> None:
        """Disconnect the nodes from each other, or duplicate their messages."""
        self.world.peers_disconnected = cut
        self.world.duplicate_messages = doubled

    @invariant()
    def no_key_runs_twice(self) -> None:
        """Check that each key and ticket is executed at most once."""
        bodies = [run.body for run in self.world.executions]
        assert len(bodies) == len(set(bodies))

    @invariant()
    def every_not_run_is_true(self) -> None:
        """Check that an answer of "not run" is true.

        The body may only have been executed by another request, and only
        after this one began.
        """
        for _, answer, _ in self.answers:
            if answer.ran is not Ran.no:
                continue
            for run in self.world.executions_of(answer.body):
                assert run.sent_at >= answer.began_at
                assert run.request_id != answer.request_id

    def teardown(self) -> None:
        """End all faults; then every caller of a live node has its answer."""
        self.end_faults()
        self.finish(asyncio.sleep(SETTLE_S))
        self.no_key_runs_twice()
        self.every_not_run_is_true()
        assert not self.world.violations
        for node, answer, task in self.answers:
            assert task.done() or node.killed.is_set()
            assert answer.error is not ErrorKind.internal
            if answer.ran is Ran.yes:
                assert answer.outcome is not None
                assert answer.outcome.body == answer.body
        tasks = asyncio.all_tasks(self.loop)
        for task in tasks:
            task.cancel()
        self.finish(_gather(tasks))
        self.loop.close()

    def end_faults(self) -> None:
        """End all faults."""
        platform = self.world.platform
        platform.unavailable = False
        platform.lost_answers = 0
        platform.late_write_s = 0
        self.world.endpoint = 'healthy'
        self.world.permit_refused = False
        self.world.permit_delay_s = 0
        self.world.peers_disconnected = False
        for node in self.nodes:
            node.running.set()


async def _gather(tasks: set[asyncio.Task[Any]]) -> None:
    await asyncio.gather(*tasks, return_exceptions=True)


TestFleet = FleetMachine.TestCase
TestFleet.settings = settings(
    max_examples=200, stateful_step_count=25, deadline=None
)
