"""Nodes as real processes lose and find each other."""

import asyncio
import contextlib
import pathlib
import time
from collections.abc import AsyncIterator

import pytest

from mastichatch_core import rendezvous
from tests.callers import Caller
from tests.fleet_status import (
    heard,
    known,
    read_answered_status,
    read_status,
    until_all,
)
from tests.processes import PLAIN, Fleet, FleetPlan, open_fleet, poll_until

NORTH = ('north-node-0', 'north-node-1', 'north-node-2')
PLAN = FleetPlan(
    nodes=3,
    engines=0,
    proxied=True,
    proxied_peers=True,
    node_flags=('--node-lease-ms', '3000'),
)
# Four announcements of each scheduler.
SETTLED_S = 2
# More than a cut and its end need.
HANDOVERS = 15


@pytest.fixture
async def fleet(tmp_path: pathlib.Path) -> AsyncIterator[Fleet]:
    """Start two data centres of three nodes and wait until they meet."""
    async with open_fleet(tmp_path, PLAN) as started:
        await until_all(
            started, NORTH, lambda status: heard(status) == set(NORTH), 'start'
        )
        yield started


async def until_whole(fleet: Fleet, what: str) -> float:
    """Wait until every node of the north hears all the others."""
    return await until_all(
        fleet,
        NORTH,
        lambda status: heard(status) == known(status) == set(NORTH),
        what,
    )


class TestSilence:
    async def test_connections_gone_silent_are_dialled_again(
        self, fleet: Fleet
    ) -> None:
        for name in NORTH:
            await fleet.links[f'peer-{name}'].control(blackhole_existing=True)
        await until_all(
            fleet, NORTH, lambda status: len(heard(status)) < 3, 'silence'
        )
        took = await until_whole(fleet, 'found again')
        print(f'whole again after {took:.2f} s')

    async def test_a_one_way_cut_is_silence_at_both_ends_until_it_ends(
        self, fleet: Fleet
    ) -> None:
        link = fleet.links[f'peer-{NORTH[0]}']
        sender = fleet.nodes[NORTH[1]].options.flags[1]
        await link.control(block_senders=[sender])
        await until_all(
            fleet,
            NORTH[:1],
            lambda status: heard(status) == {NORTH[0], NORTH[2]},
            'the end that is not reached',
        )
        await until_all(
            fleet,
            NORTH[1:2],
            lambda status: heard(status) == {NORTH[1], NORTH[2]},
            'the end that still hears',
        )
        status = await read_status(fleet, NORTH[2])
        assert heard(status) == set(NORTH)
        await link.control(restore=True)
        print(f'whole again after {await until_whole(fleet, "mended"):.2f} s')

    async def test_a_node_cut_off_from_its_peers_only_stays_expected(
        self, fleet: Fleet
    ) -> None:
        await fleet.cut_off(NORTH[0])
        await until_all(
            fleet,
            NORTH[1:],
            lambda status: heard(status) == set(NORTH[1:]),
            'cut',
        )
        # Its lease is alive for more than one length.
        for _ in range(50):
            for name in NORTH:
                status = await read_answered_status(fleet, name)
                assert known(status) == set(NORTH)

    async def test_in_an_outage_one_heard_elsewhere_stays_expected(
        self, fleet: Fleet
    ) -> None:
        # Cut off from its neighbours only; the other data centre hears both
        # sides.
        await fleet.platform.control(available=False)
        addresses = {name: fleet.nodes[name].options.flags[1] for name in NORTH}
        alone, *others = NORTH
        for name in others:
            await fleet.links[f'peer-{name}'].control(
                block_senders=[addresses[alone]]
            )
        await fleet.links[f'peer-{alone}'].control(
            block_senders=[addresses[name] for name in others]
        )
        await until_all(
            fleet, others, lambda status: heard(status) == set(others), 'cut'
        )
        ends_at = time.monotonic() + 15
        while time.monotonic() < ends_at:
            for name in NORTH:
                status = await read_answered_status(fleet, name)
                assert known(status) == set(NORTH)

    async def test_node_that_does_not_answer_has_no_empty_view(
        self, fleet: Fleet
    ) -> None:
        """Its missing answer was taken for a node that knows nobody."""
        process = fleet.nodes[NORTH[0]].process
        process.freeze()
        assert known(await read_status(fleet, NORTH[0])) == set()
        process.wake()
        status = await read_answered_status(fleet, NORTH[0])
        assert known(status) == set(NORTH)


async def read_terms(fleet: Fleet) -> dict[str, int]:
    """Return the term of each node of the north that runs the scheduler."""
    return {
        name: scheduler['term']
        for name in NORTH
        for scheduler in (await read_status(fleet, name)).get('schedulers', ())
    }


async def until_settled(fleet: Fleet) -> dict[str, int]:
    """Wait until the terms stay as they are, and return them."""
    terms = await read_terms(fleet)
    since = time.monotonic()

    async def settled() -> bool:
        nonlocal terms, since
        before, terms = terms, await read_terms(fleet)
        if terms != before:
            since = time.monotonic()
        return time.monotonic() - since > SETTLED_S

    await poll_until(settled, 'terms that settle')
    return terms


async def cut_one_way(fleet: Fleet, sender: str, receiver: str) -> None:
    """Hold what one node sends to another one."""
    address = fleet.nodes[sender].options.flags[1]
    await fleet.links[f'peer-{receiver}'].control(block_senders=[address])


@contextlib.asynccontextmanager
async def asking(fleet: Fleet) -> AsyncIterator[list[int]]:
    """Call a service at every node of the north, and note the statuses."""
    statuses: list[int] = []

    async def ask(name: str) -> None:
        caller = Caller(fleet)
        while True:
            answer = await caller.post(
                fleet.nodes[name],
                f'/v1/services/{PLAIN}/lookup',
                json={},
            )
            statuses.append(answer['status'])
            await asyncio.sleep(0.1)

    tasks = [asyncio.create_task(ask(name)) for name in NORTH]
    try:
        yield statuses
    finally:
        for task in tasks:
            task.cancel()


class TestTerms:
    @pytest.mark.parametrize('rank', [0, 1])
    async def test_hosts_that_hear_different_nodes_settle(
        self, fleet: Fleet, rank: int
    ) -> None:
        ranked = rendezvous.ranked(NORTH, PLAIN)
        await cut_one_way(fleet, ranked[1 - rank], ranked[rank])
        async with asking(fleet) as statuses:
            await until_all(
                fleet, ranked[:2], lambda status: len(heard(status)) == 2, 'cut'
            )
            during = await until_settled(fleet)
            # The only one that both ends hear.
            assert list(during) == [ranked[2]]
            await fleet.links[f'peer-{ranked[rank]}'].control(restore=True)
            await until_whole(fleet, 'mended')
            after = await until_settled(fleet)
        assert set(statuses) == {200}
        print(f'{during}, then {after}, {len(statuses)} answers')
        assert list(after) == [ranked[0]]
        assert after[ranked[0]] < during[ranked[2]] + HANDOVERS


class TestPairs:
    """Two faults at once."""

    async def test_one_way_cut_and_a_kill(self, fleet: Fleet) -> None:
        killed, sender, receiver = NORTH
        await cut_one_way(fleet, sender, receiver)
        fleet.nodes[killed].process.kill()
        await until_all(
            fleet,
            NORTH[1:],
            lambda status: (
                heard(status) == {status.get('name')}
                and known(status) == set(NORTH[1:])
            ),
            'the killed node gone, the other end expected',
        )
        await fleet.links[f'peer-{receiver}'].control(restore=True)
        await fleet.restart(killed)
        print(f'whole again after {await until_whole(fleet, "mended"):.2f} s')

    async def test_silent_connections_while_the_platform_is_away(
        self, fleet: Fleet
    ) -> None:
        await fleet.platform.control(available=False, mode='hang')
        for name in NORTH:
            await fleet.links[f'peer-{name}'].control(blackhole_existing=True)
        await until_all(
            fleet, NORTH, lambda status: len(heard(status)) < 3, 'silence'
        )
        took = await until_whole(fleet, 'found again')
        await fleet.platform.control(available=True)
        print(f'whole again after {took:.2f} s')

        async def has_room() -> bool:
            statuses = [await read_status(fleet, name) for name in NORTH]
            return any(
                scheduler['free']
                for status in statuses
                for scheduler in status.get('schedulers', ())
            )

        # It has none before every node, its host too, has registered with it.
        await poll_until(has_room, 'a scheduler that may grant')


class TestLoss:
    async def test_a_killed_node_is_removed_and_returns_as_a_new_one(
        self, fleet: Fleet
    ) -> None:
        fleet.nodes[NORTH[0]].process.kill()
        unheard = await until_all(
            fleet,
            NORTH[1:],
            lambda status: heard(status) == set(NORTH[1:]),
            'silence',
        )
        removed = await until_all(
            fleet,
            NORTH[1:],
            lambda status: known(status) == set(NORTH[1:]),
            'proof',
        )
        await fleet.restart(NORTH[0])
        back = await until_whole(fleet, 'return')
        print(f'unheard {unheard:.2f} s, gone {removed:.2f}, back {back:.2f}')

    async def test_a_host_off_the_host_list_is_gone_without_the_lease(
        self, fleet: Fleet
    ) -> None:
        await fleet.platform.control(freeze_leases=True)
        fleet.nodes[NORTH[0]].process.kill()
        await fleet.set_hosts(gone=[NORTH[0]])
        await until_all(
            fleet,
            NORTH[1:],
            lambda status: known(status) == set(NORTH[1:]),
            'proof',
        )

    async def test_a_frozen_node_that_wakes_is_met_again(
        self, fleet: Fleet
    ) -> None:
        process = fleet.nodes[NORTH[0]].process
        process.freeze()
        await until_all(
            fleet,
            NORTH[1:],
            lambda status: known(status) == set(NORTH[1:]),
            'proof',
        )
        process.wake()
        print(f'whole again after {await until_whole(fleet, "woke"):.2f} s')

    async def test_a_killed_node_is_gone_by_word_of_the_others_in_an_outage(
        self, fleet: Fleet
    ) -> None:
        await fleet.platform.control(available=False)
        fleet.nodes[NORTH[0]].process.kill()
        took = await until_all(
            fleet,
            NORTH[1:],
            lambda status: known(status) == set(NORTH[1:]),
            'proof',
            40,
        )
        print(f'gone after {took:.2f} s')

    async def test_a_planned_stop_is_known_at_once(self, fleet: Fleet) -> None:
        fleet.nodes[NORTH[0]].process.terminate()
        await until_all(
            fleet,
            NORTH[1:],
            lambda status: any(
                member['name'] == NORTH[0] and member['draining']
                for member in status['members']
            ),
            'draining',
        )
        assert await fleet.nodes[NORTH[0]].process.wait() == 0
        await until_all(
            fleet,
            NORTH[1:],
            lambda status: known(status) == set(NORTH[1:]),
            'left',
        )


class TestStartInAnOutage:
    async def test_a_node_joins_by_its_seeds(self, fleet: Fleet) -> None:
        await fleet.platform.control(available=False)
        fleet.nodes[NORTH[0]].process.kill()
        await fleet.restart(NORTH[0])
        await until_whole(fleet, 'joined')
