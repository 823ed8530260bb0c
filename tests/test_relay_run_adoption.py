"""Tests of runs that go on at another node than the one of their caller.

A node that is cut off from all engines hands its streams over. What it knows of
copies and of orders to stop went no further, so that the stream was lost, or
two nodes disposed of the same copy.
"""

import asyncio
import contextlib
import dataclasses
import time
from collections.abc import AsyncIterator, Iterable
from typing import Any

import pytest

from mastichatch_core.relay.events import MIN_STALL_MS
from mastichatch_core.relay.model import EndpointState
from mastichatch_core.units import MS_PER_S
from mastichatch_node.clock import loop_time
from mastichatch_node.relay.http_client import ExchangeError
from mastichatch_node.relay.relay import (
    ISOLATED_SILENCE_S,
    SILENCE_CHECK_INTERVAL_S,
)
from tests.isolated_nodes import (
    context_of,
    cut_off,
    isolation_of,
    open_isolated,
    reconnect,
    refuse_connections,
)
from tests.relay_nodes import (
    RelayFixture,
    Response,
    call,
    configuration,
    known_endpoints,
    until,
)
from tests.standins import house_endpoints as endpoints
from tests.standins.house_endpoints import HouseEndpoint

TOKENS = ('Mastichatch-Model: m', 'Mastichatch-Token-Counts: 100,2000')
EVENTS = 200
GAP_S = 0.01
# At 1 Gbit/s, a run of 100 tokens takes two seconds to transfer, so that it
# gets a standby copy.
SLOW_BYTES = 2.5e6


def engine(name: str, **options: Any) -> HouseEndpoint:
    """Return an engine that streams ``EVENTS`` events."""
    return HouseEndpoint(
        instance=name,
        script=endpoints.stream(EVENTS, GAP_S, resets_on_stop=False),
        **options,
    )


def event_ids(answer: Response) -> list[int]:
    lines = answer.body.decode().splitlines()
    return [int(line[4:]) for line in lines if line.startswith('id: ')]


def copies_used(server: HouseEndpoint) -> list[str]:
    return [one.headers['kv-from'] for one in server.received]


@contextlib.asynccontextmanager
async def open_plan(
    first: HouseEndpoint,
    second: HouseEndpoint,
    *,
    count: int = 2,
    is_cut_off: bool = False,
    **engine_settings: Any,
) -> AsyncIterator[tuple[tuple[RelayFixture, ...], 'asyncio.Task[Response]']]:
    """Run a plan on the first engine, by order of the first node's caller."""
    document = configuration()
    document['services'][1]['engine'].update(engine_settings)
    opened = open_isolated(count, first, document=document)
    async with opened as relays, endpoints.open_endpoints(second):
        if not is_cut_off:
            reconnect(relays[0])
        entry = second.entry('llm', 'south')
        await relays[0].store.put(f'servers/{second.instance}', entry)
        await until(
            lambda: all(len(known_endpoints(one.node)) == 2 for one in relays)
        )
        address = relays[0].settings.callers_address
        work = asyncio.ensure_future(
            call(address, '/plan/x', headers=TOKENS, timeout_ms=8000)
        )
        await until(lambda: bool(first.ran))
        await asyncio.sleep(GAP_S * 10)
        yield relays, work


def lose_connection(relay: RelayFixture) -> None:
    """End a node's connection to an engine, which does not notice."""
    (generation,) = relay.node.relay.generations
    assert generation.connection is not None
    generation.connection._writer.transport.abort()


async def order_stop(relay: RelayFixture, leaving: HouseEndpoint) -> None:
    """Let an engine leave, and wait for the order to stop its run."""
    entry = leaving.entry('llm', 'north', 'draining')
    await relay.store.put(f'servers/{leaving.instance}', entry)
    await until(lambda: any(one['final'] for one in leaving.moves))


def refuse_frees(relay: RelayFixture) -> None:
    """Let no order of a node to free a copy arrive."""

    async def lose(address: str, handle: str) -> None:
        """Ask nothing of the engine."""

    context_of(relay.node).stopper._dialect = dataclasses.replace(
        context_of(relay.node).dialect, drop_copy=lose
    )


class TestLostAnswerToAnOrder:
    """Guards against runs that are lost although an earlier copy is left.

    The order to stop is carried out and its answer is lost, and the node is cut
    off before the run goes on.
    """

    async def test_run_goes_on_from_the_earlier_copy_at_a_peer(self) -> None:
        first, second = engine('i-e', stop_delay_s=0.1), engine('i-f')
        first.lost_answers = ['close']
        async with open_plan(first, second) as (relays, work):
            await order_stop(relays[0], first)
            isolation_of(relays[0]).set('north-2')
            answer = await work
        assert event_ids(answer) == list(range(1, EVENTS + 1))
        assert answer.is_whole
        assert copies_used(second) == [f'{first.address}/h-r1']

    async def test_run_goes_on_before_the_caller_leaves(self) -> None:
        """No answer to the order comes while the node is cut off."""
        first, second = engine('i-e', stop_delay_s=0.1), engine('i-f')
        first.lost_answers = ['hang']
        async with open_plan(first, second) as (relays, work):
            await order_stop(relays[0], first)
            cut_off(relays[0], 'north-2')
            stopped_at = time.monotonic()
            await until(lambda: bool(second.received))
            paused_s = time.monotonic() - stopped_at
            answer = await work
        assert paused_s < MIN_STALL_MS / MS_PER_S
        assert event_ids(answer) == list(range(1, EVENTS + 1))
        assert answer.is_whole

    async def test_peer_frees_a_copy_that_it_cannot_use(self) -> None:
        # The peer learns of the leaving engine before the run stops.
        first, second = engine('i-e', stop_delay_s=1), engine('i-f')
        first.lost_answers = ['close']
        async with open_plan(first, second) as (relays, work):
            await order_stop(relays[0], first)
            entry = second.entry('llm', 'south', 'draining')
            await relays[0].store.put(f'servers/{second.instance}', entry)
            peer = relays[1].node
            await until(
                lambda: (
                    known_endpoints(peer)[second.instance].state
                    is EndpointState.draining
                )
            )
            assert first.lost_answers
            refuse_frees(relays[0])
            isolation_of(relays[0]).set('north-2')
            answer = await work
            await until(lambda: first.freed == ['h-r1'])
        assert not answer.is_whole

    async def test_peer_frees_the_copy_of_a_run_that_it_cannot_take(
        self,
    ) -> None:
        """The run may be at work on an engine that is not known any more."""
        first, second = engine('i-e'), engine('i-f')
        opened = open_plan(first, second, kv_bytes=SLOW_BYTES, handle_s=5)
        async with opened as (relays, work):
            (generation,) = relays[0].node.relay.generations
            await until(lambda: generation.transfer.standby is not None)
            assert generation.endpoint is not None
            gone = dataclasses.replace(generation.endpoint, instance='i-gone')
            generation._engines.record_request(gone, loop_time())
            lose_connection(relays[0])
            isolation_of(relays[0]).set('north-2')
            answer = await work
            await until(lambda: first.freed == ['h-r1'])
        assert not answer.is_whole
        assert second.received == []

    async def test_copy_is_freed_if_no_peer_accepts_the_run(self) -> None:
        first, second = engine('i-e', stop_delay_s=0.1), engine('i-f')
        first.lost_answers = ['close']
        async with open_plan(first, second) as (relays, work):
            await order_stop(relays[0], first)
            relays[1].node.set_draining()
            isolation_of(relays[0]).set('north-2')
            answer = await work
            await until(lambda: first.freed == ['h-r1'])
        assert not answer.is_whole


def end_process(relay: RelayFixture, others: Iterable[RelayFixture]) -> None:
    """End the connections of a node that tells nobody anything from now on."""
    context_of(relay.node).sharing._peers.send_all = lambda *_: None
    refuse_connections(relay)
    for other in others:
        refuse_hops(other, relay.settings.proxy_address)
    relay.node.proxy_server.close()


def refuse_hops(relay: RelayFixture, refused: str) -> None:
    """Let no process listen at an address to which a node passes requests."""
    pool = context_of(relay.node).proxy_pool
    take = pool.take

    async def refuse(address: str, *options: Any) -> Any:
        if address == refused:
            raise ExchangeError(
                'refused', was_sent=False, is_connection_refused=True
            )
        return await take(address, *options)

    pool.take = refuse


def announced_copies(
    relay: RelayFixture, *, is_standby: bool = False
) -> list[str]:
    """Return the engines with a copy of a run, as other nodes announce them."""
    runs = context_of(relay.node).sharing.table.iter_runs(loop_time())
    return [
        one.copy_at
        for one in runs
        if one.output_tokens and (one.standby_handle or not is_standby)
    ]


class TestHelperThatDies:
    """Guards against streams that end with the node that helped with them."""

    @pytest.mark.parametrize('is_back', [False, True])
    @pytest.mark.parametrize('keeps_backups', [False, True])
    async def test_run_goes_on_from_its_copy(
        self, keeps_backups: bool, is_back: bool
    ) -> None:
        # The first engine drops the run when its connection closes.
        first, second = engine('i-e', stop_status=404), engine('i-f')
        settings: dict[str, Any] = {'backups': True}
        if not keeps_backups:
            settings = {'kv_bytes': SLOW_BYTES, 'handle_s': 5}
        opened = open_plan(first, second, count=3, is_cut_off=True, **settings)
        async with opened as (relays, work):
            await until(
                lambda: bool(
                    announced_copies(relays[0], is_standby=not keeps_backups)
                )
            )
            if is_back:
                reconnect(relays[0])
            helper = next(one for one in relays[1:] if one.node.active_requests)
            end_process(helper, relays)
            answer = await work
        assert event_ids(answer) == list(range(1, EVENTS + 1))
        assert answer.is_whole
        handle = (
            f'{second.address}/r1' if keeps_backups else f'{first.address}/h-r1'
        )
        assert copies_used(second) == [handle]

    async def test_run_leaves_an_engine_that_works_on(self) -> None:
        first, second = engine('i-e', drops_closed=False), engine('i-f')
        opened = open_plan(
            first, second, count=3, is_cut_off=True, backups=True
        )
        async with opened as (relays, work):
            await until(lambda: bool(announced_copies(relays[0])))
            helper = next(one for one in relays[1:] if one.node.active_requests)
            end_process(helper, relays)
            await until(lambda: bool(second.received))
            assert first.stopped == {'r1'}
            answer = await work
        assert event_ids(answer) == list(range(1, EVENTS + 1))
        assert answer.is_whole

    async def test_run_that_is_being_moved_goes_on_from_its_copy(self) -> None:
        first = engine('i-e', stop_delay_s=0.5, stop_status=404)
        second = engine('i-f')
        opened = open_plan(
            first,
            second,
            count=3,
            is_cut_off=True,
            kv_bytes=SLOW_BYTES,
            handle_s=5,
        )
        async with opened as (relays, work):
            await until(
                lambda: bool(announced_copies(relays[0], is_standby=True))
            )
            await order_stop(relays[0], first)
            helper = next(one for one in relays[1:] if one.node.active_requests)
            end_process(helper, relays)
            answer = await work
        assert event_ids(answer) == list(range(1, EVENTS + 1))
        assert answer.is_whole
        assert copies_used(second) == [f'{first.address}/h-r1']

    async def test_copy_is_freed_if_the_run_cannot_go_on(self) -> None:
        """The node has announced nothing, and the way to engines is back."""
        first = engine(
            'i-e', drops_closed=False, stop_delay_s=1, stop_status=404
        )
        opened = open_plan(
            first, engine('i-f'), count=3, kv_bytes=SLOW_BYTES, handle_s=5
        )
        async with opened as (relays, work):
            (generation,) = relays[0].node.relay.generations
            await until(lambda: generation.transfer.standby is not None)
            lose_connection(relays[0])
            isolation_of(relays[0]).set('north-2', 'north-3')
            await until(lambda: any(one['final'] for one in first.moves))
            isolation_of(relays[0]).set(is_isolated=False)
            helper = next(one for one in relays[1:] if one.node.active_requests)
            end_process(helper, relays)
            answer = await work
            await until(lambda: first.freed == ['h-r1'])
        assert not answer.is_whole

    async def test_run_of_a_helper_that_lives_on_ends(self) -> None:
        """It may know of engines at work on the run that others do not."""
        first, second = engine('i-e'), engine('i-f')
        opened = open_plan(
            first, second, count=3, is_cut_off=True, backups=True
        )
        async with opened as (relays, work):
            await until(lambda: bool(announced_copies(relays[0])))
            for helper in relays[1:]:
                helper.node.proxy_server.close()
            answer = await work
        assert not answer.is_whole
        assert second.received == []


class TestStandbyCopy:
    """Guards against copies that are freed while a peer is about to use them.

    The way to the engines is back before the node that was cut off knows it.
    """

    async def test_former_node_does_not_free_the_copy_of_a_run_it_left(
        self,
    ) -> None:
        first, second = engine('i-e', stop_delay_s=1), engine('i-f')
        opened = open_plan(first, second, kv_bytes=SLOW_BYTES, handle_s=5)
        async with opened as (relays, work):
            (generation,) = relays[0].node.relay.generations
            await until(lambda: generation.transfer.standby is not None)
            lose_connection(relays[0])
            isolation_of(relays[0]).set('north-2')
            await until(lambda: bool(second.received))
            assert first.freed == []
            answer = await work
        assert event_ids(answer) == list(range(1, EVENTS + 1))
        assert answer.is_whole
        assert copies_used(second) == [f'{first.address}/h-r1']


class TestCallerThatLeaves:
    """Guards against copies that are held though nobody can use them.

    The caller leaves while a peer waits for the proof that its run has stopped.
    """

    async def test_copy_is_freed(self) -> None:
        first = engine(
            'i-e', drops_closed=False, stop_delay_s=0.5, stop_status=404
        )
        second = engine('i-f')
        opened = open_plan(first, second, kv_bytes=SLOW_BYTES, handle_s=5)
        async with opened as (relays, work):
            (generation,) = relays[0].node.relay.generations
            await until(lambda: generation.transfer.standby is not None)
            lose_connection(relays[0])
            isolation_of(relays[0]).set('north-2')
            await until(lambda: any(one['final'] for one in first.moves))
            work.cancel()
            await until(lambda: first.freed == ['h-r1'])
        assert second.received == []

    async def test_copy_that_is_still_being_made_is_freed(self) -> None:
        first, second = engine('i-e', transfer_s=1), engine('i-f')
        async with open_plan(first, second) as (relays, work):
            lose_connection(relays[0])
            isolation_of(relays[0]).set('north-2')
            await until(lambda: any(one['final'] for one in first.moves))
            work.cancel()
            await until(lambda: first.freed == ['h-r1'])
        assert second.received == []


class TestHelperThatIsCutOff:
    """Guards against runs that are given up though no other node goes on.

    A run that was passed on stays where it is, also while that node is cut off.
    """

    async def test_order_to_stop_is_awaited(self) -> None:
        """Its connection lives on, and the way is back before the answer."""
        first, second = engine('i-e', transfer_s=2), engine('i-f')
        async with open_plan(first, second, is_cut_off=True) as (relays, work):
            await order_stop(relays[0], first)
            cut_off(relays[1], 'north-1')
            await asyncio.sleep(
                ISOLATED_SILENCE_S + 2 * SILENCE_CHECK_INTERVAL_S
            )
            reconnect(relays[1])
            answer = await work
        assert event_ids(answer) == list(range(1, EVENTS + 1))
        assert answer.is_whole
