"""The configuration of real processes: in force everywhere, never reverting."""

import asyncio
import contextlib
import functools
import json
import pathlib
from collections.abc import AsyncIterator

import pytest

from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.records import (
    ConfigurationRoot,
    Drain,
    DrainKind,
)
from mastichatch_node import changes
from mastichatch_node.platform import Platform, open_platform
from tests.fleet_status import read_status, until_all
from tests.processes import Fleet, FleetPlan, Node, open_fleet, poll_until

PLAN = FleetPlan(
    engines=0,
    proxied=True,
    proxied_peers=True,
    node_flags=('--log-level=info',),
)
IN_FORCE_S = 5.0


class Revisions:
    """The revisions seen on each node, by incarnation."""

    def __init__(self, fleet: Fleet) -> None:
        """Start with none."""
        self._fleet = fleet
        self.seen: dict[str, list[int]] = {}

    async def follow(self) -> None:
        """Read the nodes' revisions until cancelled."""
        while True:
            for name in self._fleet.nodes:
                status = await read_status(self._fleet, name)
                if status:
                    seen = self.seen.setdefault(status['incarnation'], [])
                    seen.append(status['revision'])
            await asyncio.sleep(0.02)

    def check(self) -> None:
        """Fail if a revision fell on any node."""
        assert self.seen
        for revisions in self.seen.values():
            assert revisions == sorted(revisions)


@pytest.fixture
async def fleet(tmp_path: pathlib.Path) -> AsyncIterator[Fleet]:
    """Start two data centres of two nodes; no revision may fall meanwhile."""
    async with open_fleet(tmp_path, PLAN) as started:
        revisions = Revisions(started)
        task = asyncio.create_task(revisions.follow())
        yield started
        task.cancel()
        revisions.check()


@contextlib.asynccontextmanager
async def open_direct(fleet: Fleet) -> AsyncIterator[Platform]:
    """Open the platform as an operator does, not through a proxy."""
    async with open_platform(fleet.platform.address, 1000) as platform:
        yield platform


def drain_of(name: str) -> Drain:
    """Return a drain of an endpoint, whether it exists or not."""
    return Drain(kind=DrainKind.endpoint, name=name)


async def is_live(node: Node) -> bool:
    """Return whether a process of a node answers."""
    return await node.status_of('/health/live') == 200


async def until_in_force(fleet: Fleet, revision: int) -> float:
    """Wait until every node has a revision, at most the time allowed."""
    return await until_all(
        fleet,
        fleet.nodes,
        lambda status: status.get('revision', 0) >= revision,
        f'revision {revision} in force',
        IN_FORCE_S,
    )


class TestOperators:
    async def test_racing_changes_are_kept_or_told_and_in_force_everywhere(
        self, fleet: Fleet
    ) -> None:
        content = json.dumps(fleet.manifest()).encode()

        async def apply(platform: Platform, operator: str) -> ConfigurationRoot:
            return await changes.apply_manifest(platform, content, operator)

        async with open_direct(fleet) as platform:
            # Some answers are lost after the write took effect.
            await fleet.platform.control(lose_answers=3)
            outcomes = await asyncio.gather(
                *(apply(platform, f'operator-{index}') for index in range(5)),
                *(
                    changes.set_drain(platform, drain_of(f'e{i}'), True, 'o')
                    for i in range(10)
                ),
                return_exceptions=True,
            )
            accepted = [
                each for each in outcomes if isinstance(each, ConfigurationRoot)
            ]
            for each in outcomes:
                assert isinstance(each, ConfigurationRoot | MastichatchError)
            root = await changes.read_root(platform)
            assert root is not None
            kept = {change.change_id for change in root.history}
            assert {each.change_id for each in accepted} <= kept
            assert set(root.drains) == {drain_of(f'e{i}') for i in range(10)}
            took = await until_in_force(fleet, root.revision)
            print(f'{len(accepted)} accepted, in force after {took:.2f} s')

    async def test_changes_through_short_outages_are_settled(
        self, fleet: Fleet
    ) -> None:
        async with open_direct(fleet) as platform:

            async def flap() -> None:
                for _ in range(4):
                    await fleet.platform.control(
                        available=False, mode='hang', lose_answers=1
                    )
                    await asyncio.sleep(0.3)
                    await fleet.platform.control(available=True)
                    await asyncio.sleep(0.2)

            async def change(index: int) -> ConfigurationRoot | None:
                try:
                    return await changes.set_drain(
                        platform, drain_of(f'e{index}'), True, 'o'
                    )
                except MastichatchError:
                    return None

            *roots, _ = await asyncio.gather(
                *(change(index) for index in range(8)), flap()
            )
            root = await changes.read_root(platform)
            assert root is not None
            for index, accepted in enumerate(roots):
                if accepted is not None:
                    assert drain_of(f'e{index}') in root.drains
            await until_in_force(fleet, root.revision)


class TestNodes:
    async def test_nodes_cut_off_from_the_platform_learn_from_a_peer(
        self, fleet: Fleet
    ) -> None:
        one, *others = fleet.nodes
        for name in others:
            await fleet.links[f'platform-{name}'].control(blackhole=True)
        async with open_direct(fleet) as platform:
            root = await changes.set_drain(
                platform, drain_of('e'), True, 'operator'
            )
        took = await until_in_force(fleet, root.revision)
        print(f'in force after {took:.2f} s, one node at the platform: {one}')

    async def test_watches_gone_silent_are_replaced(self, fleet: Fleet) -> None:
        for name in fleet.nodes:
            link = fleet.links[f'platform-{name}']
            await link.control(blackhole_existing=True)
        async with open_direct(fleet) as platform:
            root = await changes.set_drain(
                platform, drain_of('e'), True, 'operator'
            )
        took = await until_in_force(fleet, root.revision)
        print(f'in force after {took:.2f} s')

    async def test_a_restart_in_an_outage_takes_the_revision_of_peers(
        self, fleet: Fleet
    ) -> None:
        async with open_direct(fleet) as platform:
            root = await changes.set_drain(
                platform, drain_of('e'), True, 'operator'
            )
            await until_in_force(fleet, root.revision)
        await fleet.platform.control(available=False)
        first = next(iter(fleet.nodes))
        fleet.nodes[first].process.kill()
        # Ready means that it has a configuration.
        await fleet.restart(first)
        status = await read_status(fleet, first)
        assert status['revision'] == root.revision

    async def test_a_stale_replica_holds_nobody_back_nor_reverts(
        self, fleet: Fleet
    ) -> None:
        first, *others = fleet.nodes
        await fleet.platform.control(stale_reads=True)
        fleet.nodes[first].process.kill()
        await fleet.restart(first)
        async with open_direct(fleet) as platform:
            with contextlib.suppress(MastichatchError):
                await changes.set_drain(platform, drain_of('e'), True, 'o')
        await fleet.platform.control(stale_reads=False)
        async with open_direct(fleet) as platform:
            root = await changes.set_drain(platform, drain_of('f'), True, 'o')
        await until_in_force(fleet, root.revision)
        assert others

    async def test_a_start_of_all_nodes_in_an_outage_waits_for_its_end(
        self, fleet: Fleet
    ) -> None:
        async with open_direct(fleet) as platform:
            root = await changes.set_drain(platform, drain_of('e'), True, 'o')
        await until_in_force(fleet, root.revision)
        await fleet.platform.control(available=False, mode='hang')
        for node in fleet.nodes.values():
            node.process.kill()
        for name, node in fleet.nodes.items():
            fleet.nodes[name] = fleet.processes.node(node.options)
        for node in fleet.nodes.values():
            await poll_until(functools.partial(is_live, node), 'live')
            assert await node.status_of('/health/ready') == 503
            assert await node.status_of('/v1/models') == 503
        await fleet.platform.control(available=True)
        await until_in_force(fleet, root.revision)
        for node in fleet.nodes.values():
            await node.wait_ready()

    async def test_a_rolling_restart_under_changes_loses_none(
        self, fleet: Fleet
    ) -> None:
        async with open_direct(fleet) as platform:
            roots = []
            for index, name in enumerate(tuple(fleet.nodes)):
                fleet.nodes[name].process.terminate()
                roots.append(
                    await changes.set_drain(
                        platform, drain_of(f'e{index}'), True, 'operator'
                    )
                )
                assert await fleet.nodes[name].process.wait() == 0
                await fleet.restart(name)
                await until_in_force(fleet, roots[-1].revision)
            root = await changes.read_root(platform)
        assert root is not None
        assert set(root.drains) == {drain_of(f'e{i}') for i in range(4)}
