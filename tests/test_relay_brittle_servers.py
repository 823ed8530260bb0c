"""Tests of how often servers that say they are brittle fall over.

Such a server falls if it has to reject more than a few requests in a second.
Nodes that each keep only their own requests within its slots exceed these
together, and the load of a server that fell makes the others fall too.
"""

import asyncio
import collections
import dataclasses
import itertools
import time

import pytest

from tests.relay_nodes import RelayFixture, open_nodes
from tests.standins.brittle_servers import BrittleServer
from tests.standins.house_endpoints import HouseEndpoint, respond_ok

SERVERS = 3
SLOTS = 6
WORK_S = 0.3
CALM_S = 1.0
# Time after which a server that has become brittle queues nothing more.
ROOM_S = 1.0
# By the users' rule, in one time in which the servers are brittle.
ALLOWED_FALLS = 2 + SERVERS // 10
# Share of the slots that is used, and longest time until a call is refused.
USED_SHARE = 50 / 60
REFUSAL_S = 1.5
CALLS_PER_S = 90.0


@dataclasses.dataclass
class Play:
    """The answers to calls, with the times at which they were sent."""

    servers: tuple[BrittleServer, ...]
    answers: list[tuple[float, float, int, dict[str, str]]] = dataclasses.field(
        default_factory=list
    )
    begins_at: float = 0
    ends_at: float = 0

    @property
    def falls(self) -> int:
        """How often servers fell."""
        return sum(len(one.falls) for one in self.servers)

    @property
    def statuses(self) -> collections.Counter[int]:
        """Statuses of calls sent while the servers queue nothing."""
        return collections.Counter(
            status
            for sent_at, _, status, _ in self.answers
            if self.begins_at <= sent_at < self.ends_at
        )

    @property
    def served_per_s(self) -> float:
        """Calls that are served in a second of that time."""
        return self.statuses[200] / (self.ends_at - self.begins_at)


def create_servers(**options: object) -> tuple[BrittleServer, ...]:
    return tuple(
        BrittleServer(
            HouseEndpoint(f'i-{number}', respond_ok, slots=SLOTS),
            work_s=WORK_S,
            **options,  # type: ignore[arg-type]
        )
        for number in range(SERVERS)
    )


async def call_regularly(
    relays: tuple[RelayFixture, ...],
    play: Play,
    calls_per_s: float,
    path: str,
) -> None:
    """Call the nodes in turn until cancelled, then wait for the answers."""
    tasks = set[asyncio.Task[None]]()

    async def call(number: int) -> None:
        sent_at = time.monotonic()
        relay = relays[number % len(relays)]
        answer = await relay.call(path, request_id=f'r{number}')
        took_s = time.monotonic() - sent_at
        play.answers.append((sent_at, took_s, answer.status, answer.headers))

    start = time.monotonic()
    try:
        for number in itertools.count():
            tasks.add(asyncio.create_task(call(number)))
            due_at = start + number / calls_per_s
            await asyncio.sleep(max(0, due_at - time.monotonic()))
    finally:
        await asyncio.gather(*tasks)


async def play_brittle(
    relays: tuple[RelayFixture, ...],
    servers: tuple[BrittleServer, ...],
    brittle: str,
    *,
    brittle_s: float = 7.0,
    calls_per_s: float = CALLS_PER_S,
    path: str = '/lookup/x',
) -> Play:
    """Call servers that become brittle, and later end that."""
    play = Play(servers)
    for server in servers:
        server.store = relays[0].store
    calling = asyncio.create_task(
        call_regularly(relays, play, calls_per_s, path)
    )
    await asyncio.sleep(CALM_S)
    for server in servers:
        server.turn_brittle(brittle)
    await asyncio.sleep(ROOM_S)
    for server in servers:
        server.room = 0
    play.begins_at = time.monotonic()
    await asyncio.sleep(brittle_s - ROOM_S)
    play.ends_at = time.monotonic()
    calling.cancel()
    await asyncio.gather(calling, return_exceptions=True)
    return play


def check_play(play: Play) -> None:
    """Check the users' rule, and that the slots are used."""
    assert play.falls <= ALLOWED_FALLS
    room_per_s = SERVERS * SLOTS / WORK_S
    assert play.served_per_s >= USED_SHARE * room_per_s
    assert set(play.statuses) <= {200, 503}
    for _, took_s, status, headers in play.answers:
        if status == 503:
            assert float(headers['retry-after']) > 0
            assert took_s < REFUSAL_S


@pytest.mark.parametrize(('brittle', 'nodes'), [('4', 1), ('4', 4), ('2', 8)])
async def test_brittle_servers_stay_up_and_their_slots_are_used(
    brittle: str, nodes: int
) -> None:
    servers = create_servers()
    apps = tuple(one.endpoint for one in servers)
    async with open_nodes(nodes, apps=apps) as relays:
        play = await play_brittle(relays, servers, brittle)
    check_play(play)
