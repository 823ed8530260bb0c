"""Tests of requests that wait in a node while it is stopped as planned.

Guards against connections that are closed without an answer at the end of the
grace time: requests could wait for room until then, and the close of the server
cancelled them.
"""

import asyncio
import contextlib
import itertools
import pathlib
import time
from collections.abc import AsyncIterator
from typing import Any

import pytest

from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.messages import ErrorKind
from mastichatch_node.clock import loop_time
from mastichatch_node.relay import slot_choice
from mastichatch_node.relay.planned_stop import (
    ANSWER_RESERVE_S,
    RETURN_S,
    PlannedStop,
)
from tests.isolated_nodes import open_isolated
from tests.relay_nodes import (
    RelayFixture,
    Response,
    call,
    configuration,
    open_relay,
    read_answer,
    request_bytes,
    route,
    until,
)
from tests.relay_process import RelayProcess, open_relay_process
from tests.standins import house_endpoints as endpoints
from tests.standins.house_endpoints import HouseEndpoint

GRACE_S = 8.0
# A refusal that needs no waiting comes within this time.
AT_ONCE_S = 0.5
# The engine's memory holds one request with such a prompt.
LARGE_PROMPT = 15000
# 1,000 output tokens take 15 s, and 24 take 0.4 s.
LONG, SHORT = 2400, 60
EVENTS = 40


def tokens(output: int, prompt: int = LARGE_PROMPT) -> tuple[str, ...]:
    return (
        'Mastichatch-Model: m',
        f'Mastichatch-Token-Counts: {prompt},{output}',
    )


def document(aim_ms: int) -> dict[str, Any]:
    """Return a configuration with a long aim, so that requests may wait."""
    return configuration(
        routes=[
            route(
                'plan',
                'streaming',
                'llm',
                goal_ms=aim_ms,
                timeout_ms=60000,
                gap_aim_ms=180,
            ),
            route('book', 'non_idempotent', 'app', goal_ms=aim_ms),
        ]
    )


def engine(gap_s: float) -> HouseEndpoint:
    """Return an engine whose run takes ``EVENTS`` times a gap."""
    return HouseEndpoint(instance='i-e', script=endpoints.stream(EVENTS, gap_s))


class Caller:
    """A request in progress, and when its answer came."""

    def __init__(self, address: str, request_id: str, **options: Any) -> None:
        self.request_id = request_id
        self.ended_at = float()
        self._task = asyncio.ensure_future(
            self._call(address, request_id=request_id, **options)
        )

    async def answer(self) -> Response:
        return await self._task

    async def _call(self, address: str, **options: Any) -> Response:
        path = options.pop('path', '/plan/x')
        answer = await call(address, path, timeout_ms=60000, **options)
        self.ended_at = loop_time()
        return answer


@contextlib.asynccontextmanager
async def open_full(
    server: HouseEndpoint, aim_ms: int = 20000, **settings: Any
) -> AsyncIterator[tuple[RelayFixture, Caller]]:
    """Run a node whose engine has room for none but the first request."""
    opened = open_relay((), (server,), document(aim_ms), **settings)
    async with opened as relay:
        first = Caller(
            relay.settings.callers_address, 'r0', headers=tokens(LONG)
        )
        await until(lambda: server.ran == ['r0'])
        yield relay, first


async def wait_for_room(relay: RelayFixture, *waiting: Caller) -> None:
    """Wait until requests are queued for an engine."""
    names = {one.request_id for one in waiting}
    table = relay.node.broadcaster.table
    await until(lambda: names <= {one.request_id for one in table.own})


def check_refusal(answer: Response) -> None:
    """Check that a caller is told to come back soon, at another node."""
    assert answer.status == 503
    assert answer.is_whole
    assert answer.headers['connection'] == 'close'
    shortest, longest = RETURN_S
    assert shortest <= float(answer.headers['retry-after']) <= longest


class TestGenerations:
    """Generations that wait for an engine when the stop begins."""

    @pytest.mark.parametrize('aim_ms', [4000, 9000, 20000])
    async def test_those_that_would_be_cut_off_are_refused_at_once(
        self, aim_ms: int
    ) -> None:
        server = engine(0.3)
        async with open_full(server, aim_ms) as (relay, _):
            waiting = [
                Caller(
                    relay.settings.callers_address,
                    f'w{number}',
                    headers=tokens(LONG),
                )
                for number in range(4)
            ]
            await wait_for_room(relay, *waiting)
            relay.node.set_draining()
            stopped_at = loop_time()
            answers = [await one.answer() for one in waiting]
        for caller, answer in zip(waiting, answers, strict=True):
            check_refusal(answer)
            assert caller.ended_at - stopped_at < AT_ONCE_S
        assert server.ran == ['r0']

    async def test_one_that_will_end_before_the_stop_is_served(self) -> None:
        server = engine(0.05)
        async with open_full(server) as (relay, first):
            short = Caller(
                relay.settings.callers_address,
                'w',
                headers=tokens(SHORT),
            )
            await wait_for_room(relay, short)
            relay.node.set_draining()
            answers = [await first.answer(), await short.answer()]
        assert [one.status for one in answers] == [200, 200]
        assert all(one.is_whole for one in answers)

    async def test_one_that_finds_no_room_is_refused_before_the_stop(
        self,
    ) -> None:
        server = engine(0.3)
        opened = open_full(server, grace_ms=3500, memory_mb=150)
        async with opened as (relay, _):
            short = Caller(
                relay.settings.callers_address, 'w', headers=tokens(SHORT)
            )
            await wait_for_room(relay, short)
            relay.node.set_draining()
            stopped_at = loop_time()
            answer = await short.answer()
        check_refusal(answer)
        assert short.ended_at - stopped_at < 3.0 - ANSWER_RESERVE_S

    @pytest.mark.parametrize('is_full', [False, True])
    async def test_one_that_comes_before_the_stop_is_noticed_is_judged_too(
        self, is_full: bool
    ) -> None:
        server = engine(0.3)
        async with open_full(server) as (relay, first):
            if not is_full:
                first._task.cancel()
                await until(lambda: server.cancelled == ['r0'])
            relay.node.set_draining()
            caller = Caller(
                relay.settings.callers_address, 'n', headers=tokens(LONG)
            )
            sent_at = loop_time()
            answer = await caller.answer()
        check_refusal(answer)
        assert caller.ended_at - sent_at < AT_ONCE_S
        assert server.ran == ['r0']

    async def test_forecast_refuses_what_would_be_placed_too_late(
        self,
    ) -> None:
        """The engine's room is known to be taken for longer than the grace."""
        server = engine(0.3)
        opened = open_full(server, admission_forecast='ranked')
        async with opened as (relay, _):
            short = Caller(
                relay.settings.callers_address, 'w', headers=tokens(SHORT)
            )
            await wait_for_room(relay, short)
            relay.node.set_draining()
            stopped_at = loop_time()
            answer = await short.answer()
        check_refusal(answer)
        assert short.ended_at - stopped_at < AT_ONCE_S


class TestCalls:
    """Calls that wait for a turn or a slot when the stop begins."""

    async def test_one_that_has_not_run_is_refused(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        server = HouseEndpoint(instance='i-a', script=endpoints.respond_ok)
        wait_instead(monkeypatch, 1)
        async with open_relay((server,), grace_ms=1500) as relay:
            answer, took_s = await stop_during_call(relay, '/book/x')
        check_refusal(answer)
        assert took_s < 1
        assert not server.received

    async def test_one_that_may_have_run_is_not_reported_as_not_run(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        servers = tuple(
            HouseEndpoint(instance=name, script=endpoints.reset)
            for name in ('i-a', 'i-b')
        )
        wait_instead(monkeypatch, 2)
        async with open_relay(servers, grace_ms=1500) as relay:
            answer, took_s = await stop_during_call(relay, '/lookup/x')
        assert answer.status == 502
        assert answer.is_whole
        assert took_s < 1
        assert sum(len(one.ran) for one in servers) == 1


def wait_instead(monkeypatch: pytest.MonkeyPatch, number: int) -> None:
    """Let one of the choices of an endpoint wait without an end."""
    choose = slot_choice.choose_endpoint
    numbers = itertools.count(1)

    async def wait(*arguments: Any) -> slot_choice.Choice | None:
        if next(numbers) == number:
            await asyncio.Event().wait()
        return await choose(*arguments)

    monkeypatch.setattr(slot_choice, 'choose_endpoint', wait)


async def stop_during_call(
    relay: RelayFixture, path: str
) -> tuple[Response, float]:
    """Return the answer to a call, and its time after the stop began."""
    caller = Caller(relay.settings.callers_address, 'b', path=path)
    await until(lambda: relay.node.active_requests == 1)
    await asyncio.sleep(0.2)
    relay.node.set_draining()
    stopped_at = loop_time()
    answer = await caller.answer()
    return answer, caller.ended_at - stopped_at


class TestBodies:
    async def test_one_that_is_still_coming_is_refused_before_the_stop(
        self,
    ) -> None:
        async with open_relay(grace_ms=1500) as relay:
            host, _, port = relay.settings.callers_address.rpartition(':')
            reader, writer = await asyncio.open_connection(host, int(port))
            request = request_bytes('/book/x', body=b'x' * 1000)
            writer.write(request[:-500])
            await until(lambda: relay.node.active_requests == 1)
            relay.node.set_draining()
            stopped_at = loop_time()
            answer = await read_answer(reader)
            writer.close()
        assert answer.status == 503
        assert loop_time() - stopped_at < 1.5


class TestRequestsOfOtherNodes:
    async def test_one_that_waits_at_a_stopping_node_goes_elsewhere(
        self,
    ) -> None:
        server = engine(0.05)
        async with open_isolated(3, server, document=document(20000)) as (
            cut,
            *helpers,
        ):
            address = cut.settings.callers_address
            first = Caller(address, 'r0', headers=tokens(LONG))
            await until(lambda: server.ran == ['r0'])
            waiting = Caller(address, 'w', headers=tokens(LONG))
            await until(
                lambda: any(
                    run.request_id == 'w'
                    for one in helpers
                    for run in one.node.broadcaster.table.own
                )
            )
            (helper,) = (
                one
                for one in helpers
                if any(
                    run.request_id == 'w'
                    for run in one.node.broadcaster.table.own
                )
            )
            helper.node.set_draining()
            answers = [await first.answer(), await waiting.answer()]
        assert [one.status for one in answers] == [200, 200]
        assert all(one.is_whole for one in answers)


class TestProcess:
    """Guards against the failure as callers saw it, with a real process."""

    async def test_no_connection_closes_without_an_answer(
        self, tmp_path: pathlib.Path
    ) -> None:
        server = engine(0.5)
        async with open_relay_process(
            tmp_path, engines=(server,), document=document(4000)
        ) as relay:
            address = relay.addresses['callers']
            first = Caller(address, 'r0', headers=tokens(LONG))
            await until(lambda: server.ran == ['r0'])
            waiting = await send_every(relay, 'w', 5, 0.2)
            relay.process.terminate()
            stopped_at = time.monotonic()
            waiting += await send_every(relay, 'n', 5, 0.4)
            answers = [await one.answer() for one in waiting]
            took_s = time.monotonic() - stopped_at
            first._task.cancel()
        assert {one.status for one in answers} <= {200, 503}
        assert all(one.is_whole for one in answers)
        assert took_s < 3.0


async def send_every(
    relay: RelayProcess, prefix: str, count: int, gap_s: float
) -> list[Caller]:
    """Send requests one after the other, without waiting for answers."""
    sent: list[Caller] = []
    for number in range(count):
        address = relay.addresses['callers']
        sent.append(Caller(address, f'{prefix}{number}', headers=tokens(LONG)))
        await asyncio.sleep(gap_s)
    return sent


@pytest.mark.looptime(noop_cycles=1)
class TestPlan:
    """The limit of a wait, in virtual time."""

    async def test_wait_has_no_limit_without_a_plan(self) -> None:
        stop = PlannedStop()
        async with stop.limit_wait(5):
            await asyncio.sleep(1000)
        assert not stop.is_planned

    @pytest.mark.parametrize(
        ('duration_s', 'expected_s'), [(0, 7.25), (3, 4.25), (8, 0)]
    )
    async def test_wait_in_progress_ends_when_it_is_in_vain(
        self, duration_s: float, expected_s: float
    ) -> None:
        stop = PlannedStop()

        async def wait() -> float:
            with pytest.raises(MastichatchError) as caught:
                async with stop.limit_wait(duration_s):
                    await asyncio.sleep(1000)
            assert caught.value.kind is ErrorKind.draining
            return loop_time()

        waiting = asyncio.ensure_future(wait())
        await asyncio.sleep(20)
        begun_at = loop_time()
        stop.begin(begun_at + 2.5, begun_at + 7.5)
        assert await waiting - begun_at == pytest.approx(expected_s, abs=0.01)

    async def test_wait_that_is_in_vain_does_not_begin(self) -> None:
        stop = PlannedStop()
        stop.begin(loop_time() + 2.5, loop_time() + 7.5)
        with pytest.raises(MastichatchError):
            async with stop.limit_wait(7.5):
                pytest.fail('the block was entered')

    async def test_time_limit_within_the_wait_keeps_its_error(self) -> None:
        stop = PlannedStop()
        stop.begin(loop_time() + 2.5, loop_time() + 7.5)
        with pytest.raises(TimeoutError):
            async with stop.limit_wait(), asyncio.timeout(1):
                await asyncio.sleep(1000)

    async def test_caller_that_leaves_is_no_refusal(self) -> None:
        stop = PlannedStop()

        async def wait() -> None:
            async with stop.limit_wait():
                await asyncio.sleep(1000)

        waiting = asyncio.ensure_future(wait())
        await asyncio.sleep(1)
        waiting.cancel()
        with pytest.raises(asyncio.CancelledError):
            await waiting
        stop.begin(loop_time(), loop_time())
