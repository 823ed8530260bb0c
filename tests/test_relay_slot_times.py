"""Tests of shared slots with slow and faulty nodes and links, in virtual time.

Guards against slots that stay unused since a message was lost, or since a node
answers late.
"""

import asyncio

import pytest

from mastichatch_node.clock import loop_time
from tests.slot_model import SLOTS, WORK_S, Fleet, open_fleet

pytestmark = pytest.mark.looptime(noop_cycles=1)

NODES = 4
SERVERS = 3
# By the users' rule, in one time in which the servers are brittle.
ALLOWED_FALLS = 2 + SERVERS // 10
ROOM_PER_S = SERVERS * SLOTS / WORK_S
# Half as much again as the servers have room for.
CALLS_PER_S = ROOM_PER_S * 1.5
USED_SHARE = 50 / 60
REFUSAL_S = 1.5
PLAY_S = 8.0
# Time until nodes have adapted to a fault.
ADAPT_S = 3.0


def check_answers(fleet: Fleet) -> None:
    """Check that no call is refused late."""
    refused = [one.took_s for one in fleet.answers if one.outcome is None]
    assert max(refused, default=0) < REFUSAL_S


@pytest.mark.parametrize('rejections', [0, 0.5, 2, 4])
@pytest.mark.parametrize('nodes', [1, 4, 8])
async def test_brittle_servers_stay_up_and_their_slots_are_used(
    nodes: int, rejections: float
) -> None:
    async with open_fleet(nodes, rejections=rejections) as fleet:
        begin = loop_time()
        await fleet.send(CALLS_PER_S, PLAY_S)
    assert not fleet.falls
    check_answers(fleet)
    used = fleet.served_per_s(begin + 1, begin + PLAY_S) / ROOM_PER_S
    assert used >= USED_SHARE


@pytest.mark.parametrize('delay_s', [0.1, 0.35, 0.5, 0.9])
async def test_slow_granter_costs_no_room_of_other_servers(
    delay_s: float,
) -> None:
    async with open_fleet(NODES) as fleet:
        begin = loop_time()
        sending = asyncio.create_task(fleet.send(CALLS_PER_S, PLAY_S))
        await asyncio.sleep(1)
        fleet.granter_of(fleet.servers[0]).peers.delay_s = delay_s
        await sending
    assert fleet.falls <= ALLOWED_FALLS
    check_answers(fleet)
    for second in range(1, int(PLAY_S)):
        served = fleet.served_per_s(begin + second, begin + second + 1)
        assert served / ROOM_PER_S >= (SERVERS - 1) / SERVERS


async def test_granter_that_is_cut_off_is_replaced() -> None:
    async with open_fleet(NODES) as fleet:
        lost = fleet.granter_of(fleet.servers[0])
        others = tuple(one for one in fleet.nodes if one is not lost)
        begin = loop_time()
        sending = asyncio.create_task(fleet.send(CALLS_PER_S, PLAY_S, others))
        await asyncio.sleep(1)
        lost.peers.is_cut = True
        await sending
    assert fleet.falls <= ALLOWED_FALLS
    check_answers(fleet)
    # As much as in real time, and all once the granter is not heard any more.
    used = fleet.served_per_s(begin, begin + PLAY_S) / ROOM_PER_S
    assert used >= 0.7
    after = fleet.served_per_s(begin + 1 + ADAPT_S, begin + PLAY_S)
    assert after / ROOM_PER_S >= USED_SHARE


@pytest.mark.parametrize('number', [0, 1, 2])
async def test_node_that_is_cut_off_from_the_others_exceeds_no_slots(
    number: int,
) -> None:
    async with open_fleet(3) as fleet:
        begin = loop_time()
        sending = asyncio.create_task(fleet.send(CALLS_PER_S, PLAY_S))
        await asyncio.sleep(1)
        fleet.nodes[number].peers.is_cut = True
        await sending
    assert fleet.falls <= ALLOWED_FALLS
    check_answers(fleet)
    used = fleet.served_per_s(begin, begin + PLAY_S) / ROOM_PER_S
    assert used >= 0.5


async def test_granters_that_start_again_exceed_no_slots_for_long() -> None:
    async with open_fleet(NODES) as fleet:
        begin = loop_time()
        sending = asyncio.create_task(fleet.send(CALLS_PER_S, PLAY_S))
        await asyncio.sleep(1)
        for node in fleet.nodes:
            node.granter.forget()
        await sending
    assert fleet.falls <= ALLOWED_FALLS
    check_answers(fleet)
    used = fleet.served_per_s(begin + 1, begin + PLAY_S) / ROOM_PER_S
    assert used >= 0.7


@pytest.mark.parametrize('loss', [0.01, 0.05])
async def test_lost_messages_cost_no_slots(loss: float) -> None:
    async with open_fleet(NODES) as fleet:
        for node in fleet.nodes:
            node.peers.loss = loss
        begin = loop_time()
        await fleet.send(CALLS_PER_S, PLAY_S)
    assert fleet.falls <= ALLOWED_FALLS
    used = fleet.served_per_s(begin + ADAPT_S, begin + PLAY_S) / ROOM_PER_S
    assert used >= USED_SHARE


async def test_slots_of_a_node_that_has_no_more_calls_are_free() -> None:
    async with open_fleet(NODES) as fleet:
        last, *others = fleet.nodes
        async with asyncio.TaskGroup() as group:
            group.create_task(fleet.send(CALLS_PER_S, 2, (last,)))
            # Its slots are returned while its messages are lost.
            await asyncio.sleep(2)
            last.peers.loss = 1
        last.peers.loss = 0
        begin = loop_time()
        await fleet.send(CALLS_PER_S, PLAY_S, tuple(others))
    used = fleet.served_per_s(begin + 1, begin + ADAPT_S) / ROOM_PER_S
    assert used >= USED_SHARE
