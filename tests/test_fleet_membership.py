"""Nodes as real processes lose and find each other."""

import pathlib
import time
from collections.abc import AsyncIterator

import pytest

from tests.fleet_status import heard, known, read_status, until_all
from tests.processes import Fleet, FleetPlan, open_fleet

NORTH = ('north-node-0', 'north-node-1', 'north-node-2')
PLAN = FleetPlan(
    nodes=3,
    engines=0,
    proxied=True,
    proxied_peers=True,
    node_flags=('--node-lease-ms', '3000'),
)


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
                assert known(await read_status(fleet, name)) == set(NORTH)
        await fleet.cut_off()
        print(f'whole again after {await until_whole(fleet, "mended"):.2f} s')

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
                assert known(await read_status(fleet, name)) == set(NORTH)


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
