"""Tests of the requests that reach a server which names a limit in its answers.

The limit is what the server takes from all nodes together. Nodes that know
nothing of it, that each send as much, or that forget it too early overload the
server; nodes that never forget it leave it idle.
"""

import asyncio
import contextlib
import dataclasses
import itertools
import math
import time
from collections.abc import AsyncIterator
from typing import cast

import pytest

from tests.relay_nodes import (
    RelayFixture,
    Response,
    open_nodes,
    open_relay,
    until,
)
from tests.standins.house_endpoints import (
    AnnouncingWriter,
    HouseEndpoint,
    ReceivedRequest,
    Script,
    build_response,
    refuse,
    respond_after,
    respond_ok,
    signature_headers,
    stream,
)

# The users' rule: from this time after a limit was first named, each window has
# at most so many times the requests of the limit, and some more.
REACTION_S = 3.0
WINDOW_S = 4.0
WINDOW_SHARE = 1.5
WINDOW_SLACK = 5
# Time in which a server that has dropped its limit gets its usual share again.
RETURN_S = 6.0
# Longest time until a call is refused, and the least share of a limit in use.
REFUSAL_S = 1.0
USED_SHARE = 0.7
CALLS_PER_S = 40.0
# Half of the calls, the share of each of two servers.
USUAL_PER_S = CALLS_PER_S / 2
# Time that a server works on a call, so that calls in progress are balanced.
WORK_S = 0.1
# Time for the reaction, a window and some later windows.
PLAY_S = REACTION_S + WINDOW_S + 1.5
PLAN = ('Mastichatch-Model: m', 'Mastichatch-Token-Counts: 100,400')
EVENTS = 5


@dataclasses.dataclass
class Callers:
    """Answers to calls, and the time that each took in seconds."""

    answers: list[Response] = dataclasses.field(default_factory=list)
    took_s: list[float] = dataclasses.field(default_factory=list)

    @property
    def statuses(self) -> set[int]:
        """Statuses of all answers."""
        return {one.status for one in self.answers}


@contextlib.asynccontextmanager
async def calling(
    relays: tuple[RelayFixture, ...],
    path: str = '/lookup/x',
    headers: tuple[str, ...] = (),
    calls_per_s: float = CALLS_PER_S,
) -> AsyncIterator[Callers]:
    """Call the nodes in turn, and wait for the answers after the block."""
    callers = Callers()
    tasks = set[asyncio.Task[None]]()

    async def call(relay: RelayFixture, request_id: str) -> None:
        started_at = time.monotonic()
        answer = await relay.call(path, request_id=request_id, headers=headers)
        callers.took_s.append(time.monotonic() - started_at)
        callers.answers.append(answer)

    async def repeat() -> None:
        for number in itertools.count():
            relay = relays[number % len(relays)]
            tasks.add(asyncio.create_task(call(relay, f'r{number}')))
            await asyncio.sleep(1 / calls_per_s)

    repeating = asyncio.create_task(repeat())
    try:
        yield callers
    finally:
        repeating.cancel()
        await asyncio.gather(*tasks)


def servers(
    count: int, script: Script = respond_after(WORK_S)
) -> list[HouseEndpoint]:
    return [HouseEndpoint(f'i-{number}', script) for number in range(count)]


def received(server: HouseEndpoint, start: float, end: float) -> int:
    """Return how many requests arrived between two times."""
    return sum(start <= one.at < end for one in server.received)


def first_after(server: HouseEndpoint, start: float) -> float:
    """Return the time of the first arrival after another time."""
    later = (one.at for one in server.received if one.at >= start)
    return next(later, math.inf)


def check_windows(server: HouseEndpoint, limit: float, start: float) -> None:
    """Check the rule, on requests of all nodes.

    :param start: time from which the server names the limit
    """
    begins = first_after(server, start) + REACTION_S
    allowed = WINDOW_SHARE * WINDOW_S * limit + WINDOW_SLACK
    counts = [
        received(server, one.at, one.at + WINDOW_S)
        for one in server.received
        if one.at >= begins
    ]
    assert max(counts, default=0) <= allowed


class TestLimit:
    @pytest.mark.parametrize(
        ('limit', 'nodes'), [('2', 1), ('1.1', 4), ('0.5', 4)]
    )
    async def test_other_servers_take_what_is_above_it(
        self, limit: str, nodes: int
    ) -> None:
        apps = servers(3)
        apps[0].limit = limit
        async with open_nodes(nodes, apps=tuple(apps)) as relays:
            async with calling(relays) as callers:
                await asyncio.sleep(PLAY_S)
        check_windows(apps[0], float(limit), 0)
        assert callers.statuses == {200}

    async def test_only_server_gets_it_and_other_calls_are_refused(
        self,
    ) -> None:
        app = HouseEndpoint('i-0', respond_ok, limit='2')
        async with open_nodes(2, apps=(app,)) as relays:
            async with calling(relays) as callers:
                await asyncio.sleep(PLAY_S)
                ended_at = time.monotonic()
        check_windows(app, 2, 0)
        begins = first_after(app, 0) + REACTION_S
        used = received(app, begins, ended_at)
        assert used >= USED_SHARE * 2 * (ended_at - begins)
        assert callers.statuses == {200, 503}
        for answer, took_s in zip(callers.answers, callers.took_s, strict=True):
            if answer.status == 503:
                assert float(answer.headers['retry-after']) > 0
                assert took_s < REFUSAL_S

    async def test_it_is_read_from_refusals_too(self) -> None:
        app = HouseEndpoint('i-0', refuse, limit='1')
        async with open_relay((app,)) as relay:
            async with calling((relay,)) as callers:
                await asyncio.sleep(PLAY_S)
        check_windows(app, 1, 0)
        assert callers.statuses == {503}

    async def test_streams_go_to_the_other_engine(self) -> None:
        engines = servers(2, stream(EVENTS, 0.01))
        engines[0].limit = '1'
        async with open_relay((), tuple(engines)) as relay:
            async with calling((relay,), '/plan/x', PLAN, 15) as callers:
                await asyncio.sleep(PLAY_S)
        check_windows(engines[0], 1, 0)
        assert callers.statuses == {200}
        assert all(
            one.is_whole and one.body.count(b'id: ') == EVENTS
            for one in callers.answers
        )


class TestChangeOfLimit:
    @pytest.mark.parametrize('nodes', [1, 3])
    async def test_without_it_the_traffic_returns_step_by_step(
        self, nodes: int
    ) -> None:
        apps = servers(2)
        apps[0].limit = '2'
        async with open_nodes(nodes, apps=tuple(apps)) as relays:
            async with calling(relays) as callers:
                await asyncio.sleep(REACTION_S)
                apps[0].limit = None
                lifted_at = time.monotonic()
                await asyncio.sleep(RETURN_S + 2)
        # The nodes read the answer to this one first.
        returns_at = first_after(apps[0], lifted_at)
        assert received(apps[0], lifted_at - 1, lifted_at) < USUAL_PER_S / 2
        assert received(apps[0], returns_at, returns_at + 0.5) < (
            USUAL_PER_S / 3
        )
        assert received(apps[0], returns_at, returns_at + 1) < (
            USUAL_PER_S * 0.75
        )
        full_at = lifted_at + RETURN_S
        assert received(apps[0], full_at, full_at + 2) > USUAL_PER_S * 1.2
        assert callers.statuses == {200}

    async def test_lower_value_takes_the_place_of_the_earlier_one(
        self,
    ) -> None:
        apps = servers(2)
        apps[0].limit = '8'
        async with open_relay(tuple(apps)) as relay:
            async with calling((relay,)) as callers:
                await asyncio.sleep(1)
                apps[0].limit = '1'
                changed_at = time.monotonic()
                await asyncio.sleep(PLAY_S)
        check_windows(apps[0], 1, changed_at)
        assert callers.statuses == {200}

    async def test_higher_value_takes_the_place_of_the_earlier_one(
        self,
    ) -> None:
        apps = servers(2)
        apps[0].limit = '1'
        async with open_relay(tuple(apps)) as relay:
            async with calling((relay,)) as callers:
                await asyncio.sleep(REACTION_S)
                apps[0].limit = '8'
                changed_at = time.monotonic()
                await asyncio.sleep(RETURN_S + 2)
        assert received(apps[0], changed_at - 1, changed_at) < USUAL_PER_S / 2
        used_at = changed_at + RETURN_S
        used = received(apps[0], used_at, used_at + 2)
        assert USED_SHARE * 8 * 2 <= used <= WINDOW_SHARE * 8 * 2 + WINDOW_SLACK
        assert callers.statuses == {200}

    async def test_new_start_under_the_same_id_has_none(self) -> None:
        apps = servers(2)
        apps[0].limit = '1'
        async with open_relay(tuple(apps)) as relay:
            async with calling((relay,)) as callers:
                await asyncio.sleep(REACTION_S)
                stopped_at = time.monotonic()
                apps[0].crash()
                apps[0].limit = None
                await apps[0].restart(keeps_id=True)
                await relay.store.put(
                    'servers/i-0', apps[0].entry('app', 'north')
                )
                await asyncio.sleep(4)
        assert received(apps[0], stopped_at - 1, stopped_at) < USUAL_PER_S / 2
        assert received(apps[0], stopped_at + 1, stopped_at + 4) > USUAL_PER_S
        assert callers.statuses == {200}

    @pytest.mark.parametrize(('earlier', 'limit'), [(None, '1'), ('1', None)])
    async def test_late_copy_of_an_earlier_answer_brings_none_back(
        self, earlier: str | None, limit: str | None
    ) -> None:
        apps = servers(2, respond_after(3 * WORK_S))
        apps[0].script = copy_first(earlier)
        apps[0].limit = limit
        async with open_relay(tuple(apps)) as relay:
            async with calling((relay,)) as callers:
                await asyncio.sleep(PLAY_S)
                ended_at = time.monotonic()
        if limit is None:
            assert received(apps[0], ended_at - 2, ended_at) > USUAL_PER_S
        else:
            check_windows(apps[0], float(limit), 0)
        assert callers.statuses == {200}


def copy_first(limit: str | None) -> Script:
    """Return a script that answers late, and before that copies an answer.

    The copy is of the answer to the request before on the connection, and
    names its limit.
    """
    earlier: dict[object, ReceivedRequest] = {}
    named = '' if limit is None else f'Server-Limit: {limit}\r\n'
    respond = respond_after(3 * WORK_S)

    async def write(
        endpoint: HouseEndpoint,
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> None:
        connection = writer.get_extra_info('peername')
        before = earlier.get(connection)
        earlier[connection] = request
        if before is not None:
            headers = signature_headers(before) + named
            copy = build_response(200, b'copy', headers)
            cast(AnnouncingWriter, writer).write_unchanged(copy)
        await respond(endpoint, request, writer)

    return write


class TestOddValues:
    @pytest.mark.parametrize(
        'limit',
        [
            *('-3', 'nan', 'inf', '1e9', 'soon', ''),
            pytest.param(('30', '40'), id='two'),
        ],
    )
    async def test_they_limit_nothing_and_end_no_connection(
        self, limit: str | tuple[str, ...]
    ) -> None:
        app = HouseEndpoint('i-0', respond_ok, limit=limit)
        async with open_relay((app,)) as relay:
            for number in range(60):
                if number == 40:
                    app.limit = None
                answer = await relay.call('/book/x', request_id=f'r{number}')
                assert answer.status == 200
                await asyncio.sleep(0.05)
        assert {one.connection for one in app.received} == {0}

    async def test_server_that_names_zero_gets_requests_when_it_stops(
        self,
    ) -> None:
        apps = servers(2)
        apps[0].limit = '0'
        async with open_relay(tuple(apps)) as relay:
            async with calling((relay,)) as callers:
                await asyncio.sleep(REACTION_S)
                apps[0].limit = None
                lifted_at = time.monotonic()
                await asyncio.sleep(RETURN_S + 1)
        full_at = lifted_at + RETURN_S
        assert received(apps[0], full_at, math.inf) > USUAL_PER_S * 0.6
        assert callers.statuses == {200}


class TestVersionOnTrial:
    """A server of a version on trial gets requests without a turn, or none."""

    @pytest.mark.parametrize('service', ['app', 'llm'])
    async def test_it_gets_what_its_limit_allows(self, service: str) -> None:
        is_plain = service == 'app'
        script = respond_after(WORK_S) if is_plain else stream(EVENTS, 0.01)
        olds = servers(2, script)
        new = HouseEndpoint('new', script, version='v2', limit='2')
        endpoints = (*olds, new)
        async with open_relay(
            endpoints if is_plain else (),
            () if is_plain else endpoints,
            rollout_share=0.5,
            rollout_slack=1000,
        ) as relay:
            order = {'service': service, 'target': 'v2', 'period_s': 60}
            await relay.store.put(f'op/rollout/{service}', order)
            path, headers = ('/lookup/x', ()) if is_plain else ('/plan/x', PLAN)
            async with calling((relay,), path, headers, 20) as callers:
                await until(lambda: bool(new.received))
                await asyncio.sleep(PLAY_S)
                ended_at = time.monotonic()
        check_windows(new, 2, 0)
        begins = first_after(new, 0) + REACTION_S
        assert received(new, begins, ended_at) >= (ended_at - begins) / 2
        assert callers.statuses == {200}
