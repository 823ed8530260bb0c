"""Tests changes of the configuration and how nodes activate them."""

import asyncio
import contextlib
import json
import random
from collections.abc import AsyncIterator
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mastichatch_core import configuration as rules
from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.messages import ErrorKind
from mastichatch_core.generated.records import (
    ChunkReference,
    ConfigurationRoot,
    Drain,
    DrainKind,
)
from mastichatch_core.generated.settings import Settings
from mastichatch_core.manifest import ManifestError
from mastichatch_ctl import configuration as ctl_configuration
from mastichatch_node import changes
from mastichatch_node.configuration import Configuration, open_configuration
from mastichatch_node.peers import Peers, open_peers
from mastichatch_node.platform import Listing, Platform, open_platform
from tests.membership_nodes import (
    set_platform_faults,
    start_platform_standin,
    wait_until,
)

NORTH = Drain(kind=DrainKind.data_centre, name='north')
SOUTH = Drain(kind=DrainKind.data_centre, name='south')


def manifest_bytes(weight: int = 1, workspaces: int = 20) -> bytes:
    """Return a manifest in which workspace w0 has the given weight."""
    document: dict[str, Any] = {
        'data_centres': [{'name': 'north'}, {'name': 'south'}],
        'services': [{'name': 'rota', 'kind': 'model'}],
        'endpoints': [],
        'workspaces': [
            {'name': f'w{index}', 'weight': weight if index == 0 else 1}
            for index in range(workspaces)
        ],
    }
    return json.dumps(document).encode()


def create_metadata(number: int) -> rules.ChangeMetadata:
    """Return the metadata of a change by an operator."""
    return rules.ChangeMetadata(
        change_id=f'change-{number}',
        operator='operator',
        summary='a change',
        at_epoch_ms=0,
    )


STEPS = st.lists(
    st.sampled_from(['manifest', 'drain-north', 'drain-south', 'restore']),
    min_size=1,
    max_size=3 * rules.HISTORY_LIMIT,
)


def create_roots(steps: list[str]) -> list[ConfigurationRoot]:
    """Return the root after each step."""
    roots = [rules.with_manifest(None, (), create_metadata(0))]
    for number, step in enumerate(steps, 1):
        current = roots[-1]
        if step == 'manifest':
            root = rules.with_manifest(current, (), create_metadata(number))
        else:
            drain = SOUTH if step == 'drain-south' else NORTH
            drained = step != 'restore'
            root = rules.with_drain(
                current, drain, drained, create_metadata(number)
            )
        roots.append(root)
    return roots


class TestRules:
    @given(STEPS)
    def test_each_change_raises_the_revision_and_bounds_the_history(
        self, steps: list[str]
    ) -> None:
        roots = create_roots(steps)
        revisions = [root.revision for root in roots]
        assert revisions == list(range(1, len(roots) + 1))
        for root in roots:
            assert len(root.history) <= rules.HISTORY_LIMIT
            assert root.history[-1].change_id == root.change_id

    @given(STEPS)
    def test_drains_are_active_until_restored(self, steps: list[str]) -> None:
        expected = set()
        for step in steps:
            if step == 'drain-north':
                expected.add(NORTH)
            elif step == 'drain-south':
                expected.add(SOUTH)
            elif step == 'restore':
                expected.discard(NORTH)
        assert set(create_roots(steps)[-1].drains) == expected

    @given(STEPS, st.data())
    def test_a_node_never_goes_back_in_any_order_of_roots(
        self, steps: list[str], data: st.DataObject
    ) -> None:
        revision = 0
        seen = []
        for root in data.draw(st.permutations(create_roots(steps))):
            if rules.is_newer(revision, root):
                revision = root.revision
            seen.append(revision)
        assert seen == sorted(seen)
        assert revision == len(steps) + 1

    @given(STEPS, st.data())
    def test_outcome_of_a_lost_answer_follows_the_history(
        self, steps: list[str], data: st.DataObject
    ) -> None:
        roots = create_roots(steps)
        proposed = data.draw(st.sampled_from(roots))
        found = data.draw(st.sampled_from(roots))
        outcome = rules.determine_outcome(proposed, found)
        if found.revision < proposed.revision:
            assert outcome is rules.ChangeOutcome.unknown
        elif found.revision - proposed.revision < rules.HISTORY_LIMIT:
            assert outcome is rules.ChangeOutcome.accepted
        else:
            assert outcome is rules.ChangeOutcome.unknown
        competing = rules.with_manifest(None, (), create_metadata(-1))
        competing = ConfigurationRoot(
            revision=proposed.revision,
            change_id='lost',
            chunks=competing.chunks,
        )
        assert (
            rules.determine_outcome(competing, found)
            is not rules.ChangeOutcome.accepted
        )


PLATFORM_TIMEOUT_MS = 300
# Longer than any pause of a busy machine, for tests of what does not depend on
# time-outs.
PATIENT_TIMEOUT_MS = 60_000


@contextlib.asynccontextmanager
async def open_platform_standin(
    timeout_ms: int = PLATFORM_TIMEOUT_MS,
) -> AsyncIterator[tuple[Platform, str]]:
    """Serve a stand-in of the platform and open a client."""
    async with start_platform_standin() as address:
        async with open_platform(address, timeout_ms) as platform:
            yield platform, address


async def apply_concurrently(
    platform: Platform,
) -> list[ConfigurationRoot | BaseException]:
    """Apply eight manifests at once, and return how each change ended."""
    return await asyncio.gather(
        *(
            changes.apply_manifest(
                platform, manifest_bytes(weight), f'o{weight}'
            )
            for weight in range(1, 9)
        ),
        return_exceptions=True,
    )


class TestChanges:
    async def test_an_applied_manifest_is_read_back(self) -> None:
        async with open_platform_standin() as (platform, _):
            assert await changes.read_root(platform) is None
            root = await changes.apply_manifest(
                platform, manifest_bytes(7), 'one'
            )
            assert root == await changes.read_root(platform)
            manifest = await changes.read_manifest(platform, root)
            assert manifest.workspaces[0].weight == 7

    async def test_a_bad_manifest_writes_nothing(self) -> None:
        async with open_platform_standin() as (platform, _):
            with pytest.raises(ManifestError):
                await changes.apply_manifest(platform, b'{}', 'one')
            listing = await platform.list_entries('configuration/')
            assert not listing.entries

    async def test_a_change_of_an_older_revision_is_a_conflict(self) -> None:
        async with open_platform_standin() as (platform, _):
            await changes.apply_manifest(platform, manifest_bytes(), 'one')
            await changes.set_drain(platform, NORTH, True, 'two')
            with pytest.raises(MastichatchError) as caught:
                await changes.apply_manifest(
                    platform, manifest_bytes(9), 'one', base_revision=1
                )
            assert caught.value.kind is ErrorKind.conflict
            root = await changes.read_root(platform)
            assert root is not None
            assert root.drains == (NORTH,)

    async def test_each_concurrent_apply_is_accepted_or_refused(self) -> None:
        async with open_platform_standin(PATIENT_TIMEOUT_MS) as (platform, _):
            outcomes = await apply_concurrently(platform)
            accepted = [
                each for each in outcomes if isinstance(each, ConfigurationRoot)
            ]
            refused = [
                each for each in outcomes if isinstance(each, MastichatchError)
            ]
            assert accepted
            assert len(accepted) + len(refused) == 8
            assert {each.kind for each in refused} <= {ErrorKind.conflict}
            root = await changes.read_root(platform)
            assert root is not None
            assert [change.change_id for change in root.history] == [
                each.change_id
                for each in sorted(accepted, key=lambda each: each.revision)
            ]

    async def test_changes_on_a_platform_that_is_too_slow_are_unavailable(
        self,
    ) -> None:
        async with open_platform_standin() as (platform, address):
            delay_ms = PLATFORM_TIMEOUT_MS + 100
            await set_platform_faults(address, delay_ms=delay_ms)
            outcomes = await apply_concurrently(platform)
            kinds = {getattr(each, 'kind', None) for each in outcomes}
            assert kinds == {ErrorKind.platform_unavailable}
            await set_platform_faults(address, delay_ms=0)
            assert await changes.read_root(platform) is None

    async def test_concurrent_drains_are_all_kept(self) -> None:
        async with open_platform_standin() as (platform, _):
            await changes.apply_manifest(platform, manifest_bytes(), 'one')
            drains = [
                Drain(kind=DrainKind.endpoint, name=f'e{index}')
                for index in range(12)
            ]
            await asyncio.gather(
                *(
                    changes.set_drain(platform, drain, True, drain.name)
                    for drain in drains
                )
            )
            root = await changes.read_root(platform)
            assert root is not None
            assert set(root.drains) == set(drains)
            assert root.revision == 13

    async def test_a_lagging_replica_leads_to_no_false_answer(self) -> None:
        async with open_platform_standin() as (platform, standin):
            await changes.apply_manifest(platform, manifest_bytes(), 'one')
            await changes.set_drain(platform, NORTH, True, 'one')
            await set_platform_faults(standin, stale_reads=True)
            await changes.set_drain(platform, NORTH, False, 'two')
            # From here on, reads return the root before the restore.
            repeated = asyncio.create_task(
                changes.set_drain(platform, NORTH, True, 'three')
            )
            refused = asyncio.create_task(
                ctl_configuration.restore(platform, SOUTH, 'four')
            )
            await asyncio.sleep(0.2)
            assert not repeated.done()
            assert not refused.done()
            await set_platform_faults(standin, stale_reads=False)
            assert (await repeated).drains == (NORTH,)
            with pytest.raises(MastichatchError) as caught:
                await refused
            assert caught.value.kind is ErrorKind.not_found
            root = await changes.read_root(platform)
            assert root is not None
            assert root.drains == (NORTH,)

    async def test_a_repeated_drain_changes_nothing(self) -> None:
        async with open_platform_standin() as (platform, _):
            await changes.apply_manifest(platform, manifest_bytes(), 'one')
            first = await changes.set_drain(platform, NORTH, True, 'one')
            assert (
                await changes.set_drain(platform, NORTH, True, 'two') == first
            )

    async def test_a_change_with_a_lost_answer_is_made_once(self) -> None:
        async with open_platform_standin() as (platform, address):
            await changes.apply_manifest(platform, manifest_bytes(), 'one')
            await set_platform_faults(address, lose_answers=1)
            root = await changes.set_drain(platform, NORTH, True, 'one')
            assert root.revision == 2
            assert await changes.read_root(platform) == root

    async def test_a_lost_answer_followed_by_another_change_is_found(
        self,
    ) -> None:
        async with open_platform_standin() as (platform, address):
            await changes.apply_manifest(platform, manifest_bytes(), 'one')
            await set_platform_faults(address, lose_answers=1)
            one, two = await asyncio.gather(
                changes.set_drain(platform, NORTH, True, 'one'),
                changes.set_drain(platform, SOUTH, True, 'two'),
            )
            assert {one.revision, two.revision} == {2, 3}

    async def test_a_change_during_an_outage_is_unavailable(self) -> None:
        async with open_platform_standin() as (platform, address):
            await changes.apply_manifest(platform, manifest_bytes(), 'one')
            await set_platform_faults(address, available=False)
            with pytest.raises(MastichatchError) as caught:
                await changes.set_drain(platform, NORTH, True, 'one')
            assert caught.value.kind is ErrorKind.platform_unavailable

    async def test_a_change_without_any_answer_has_an_unknown_outcome(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(changes, 'MEAN_RETRY_DELAY_S', 0.001)
        async with open_platform_standin() as (platform, address):
            await changes.apply_manifest(platform, manifest_bytes(), 'one')
            await set_platform_faults(address, lose_answers=1000)
            with pytest.raises(MastichatchError) as caught:
                await changes.set_drain(platform, NORTH, True, 'one')
            assert caught.value.kind is ErrorKind.outcome_unknown

    async def test_collection_keeps_referenced_chunks_under_concurrency(
        self,
    ) -> None:
        # With few distinct manifests, chunks become garbage and are used again.
        generator = random.Random(1)

        async with open_platform_standin() as (platform, _):

            async def apply_manifests() -> None:
                for _ in range(40):
                    with contextlib.suppress(MastichatchError):
                        await changes.apply_manifest(
                            platform,
                            manifest_bytes(generator.randrange(1, 6), 3),
                            'one',
                        )

            await asyncio.gather(*(apply_manifests() for _ in range(4)))
            root = await changes.read_root(platform)
            assert root is not None
            assert root.revision > changes.COLLECTION_INTERVAL_REVISIONS
            await changes.read_manifest(platform, root)
            while root.revision % changes.COLLECTION_INTERVAL_REVISIONS:
                root = await changes.apply_manifest(
                    platform, manifest_bytes(99, 3), 'one'
                )
            listing = await platform.list_entries(rules.CHUNK_PREFIX)
            assert len(listing.entries) <= 2 * len(root.chunks)

    async def test_a_chunk_written_for_a_change_in_progress_is_kept(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(changes, 'COLLECTION_INTERVAL_REVISIONS', 1)
        written, collected = asyncio.Event(), asyncio.Event()
        async with open_platform_standin() as (platform, address):
            for weight in (1, 2):
                await changes.apply_manifest(
                    platform, manifest_bytes(weight), 'one'
                )
            async with open_platform(address, 300) as other:
                write, list_entries = other.write, platform.list_entries

                async def write_after_collection(
                    key: str, value: bytes, **options: Any
                ) -> int:
                    if key == rules.ROOT_KEY:
                        written.set()
                        await collected.wait()
                    return await write(key, value, **options)

                async def list_after_write(prefix: str) -> Listing:
                    # The other operator applies the first manifest again,
                    # whose chunk is garbage by now.
                    tasks.append(
                        asyncio.create_task(
                            changes.apply_manifest(
                                other, manifest_bytes(1), 'two'
                            )
                        )
                    )
                    await written.wait()
                    return await list_entries(prefix)

                tasks: list[asyncio.Task[ConfigurationRoot]] = []
                monkeypatch.setattr(other, 'write', write_after_collection)
                monkeypatch.setattr(platform, 'list_entries', list_after_write)
                await changes.apply_manifest(platform, manifest_bytes(3), 'one')
                collected.set()
                root = await tasks[0]
            manifest = await changes.read_manifest(platform, root)
            assert manifest.workspaces[0].weight == 1


def raise_error() -> None:
    """Fail, as a faulty subscriber does."""
    raise ValueError


@contextlib.asynccontextmanager
async def open_node_configuration(
    platform_address: str,
) -> AsyncIterator[tuple[Configuration, Peers]]:
    """Open the configuration of a node, and its peer connections."""
    settings = Settings(
        name='n',
        data_centre='north',
        platform=platform_address,
        watch_wait_ms=1000,
    )
    async with (
        open_platform(platform_address, 300) as platform,
        open_peers('127.0.0.1:0', 'n') as peers,
        open_configuration(settings, platform, peers) as configuration,
    ):
        yield configuration, peers


class TestActivation:
    async def test_changes_are_activated_and_the_revision_never_falls(
        self,
    ) -> None:
        async with open_platform_standin() as (platform, address):
            async with open_node_configuration(address) as (configuration, _):
                seen: list[int] = []
                configuration.subscribe(lambda each: seen.append(each.revision))
                assert configuration.current is None
                await changes.apply_manifest(platform, manifest_bytes(), 'one')
                await wait_until(lambda: configuration.revision == 1)
                stale = await platform.read(rules.ROOT_KEY)
                assert stale is not None
                await changes.apply_manifest(platform, manifest_bytes(5), 'one')
                await wait_until(lambda: configuration.revision == 2)
                # The platform reverts to the older root.
                await platform.write(rules.ROOT_KEY, stale.value)
                await asyncio.sleep(0.3)
                assert configuration.current is not None
                workspace = configuration.current.workspaces['w0']
                assert (seen, workspace.weight) == ([1, 2], 5)

    async def test_a_subscriber_that_fails_does_not_end_the_watch(
        self,
    ) -> None:
        async with open_platform_standin() as (platform, address):
            async with open_node_configuration(address) as (configuration, _):
                configuration.subscribe(lambda _catalogue: raise_error())
                await changes.apply_manifest(platform, manifest_bytes(), 'one')
                await wait_until(lambda: configuration.revision == 1)
                await changes.set_drain(platform, NORTH, True, 'one')
                await wait_until(lambda: configuration.revision == 2)

    async def test_a_stalled_watch_times_out(self) -> None:
        async with open_platform_standin() as (platform, address):
            async with open_node_configuration(address) as (configuration, _):
                await changes.apply_manifest(platform, manifest_bytes(), 'one')
                await wait_until(lambda: configuration.revision == 1)
                await set_platform_faults(address, available=False, mode='hang')
                await asyncio.sleep(1.5)
                await set_platform_faults(address, available=True)
                await changes.set_drain(platform, NORTH, True, 'one')
                await wait_until(lambda: configuration.revision == 2)

    async def test_a_node_started_in_an_outage_fetches_from_a_peer(
        self,
    ) -> None:
        async with open_platform_standin() as (platform, address):
            await changes.apply_manifest(platform, manifest_bytes(3), 'one')
            async with open_node_configuration(address) as (first, first_peers):
                await wait_until(lambda: first.revision == 1)
                await set_platform_faults(address, available=False)
                async with open_node_configuration(address) as (second, _):
                    await asyncio.sleep(0.1)
                    assert second.current is None
                    second.record_peer_revision(1, first_peers.address)
                    await wait_until(lambda: second.revision == 1)
                    assert second.current == first.current

    async def test_a_false_revision_or_missing_chunk_changes_nothing(
        self,
    ) -> None:
        async with open_platform_standin() as (platform, address):
            await changes.apply_manifest(platform, manifest_bytes(3), 'one')
            async with open_node_configuration(address) as (first, first_peers):
                await wait_until(lambda: first.revision == 1)
                first.record_peer_revision(9, first_peers.address)
                first.record_peer_revision(10, '127.0.0.1:1')
                await asyncio.sleep(1)
                assert first.revision == 1
                assert not await first.activate_root(
                    ConfigurationRoot(
                        revision=11,
                        change_id='x',
                        chunks=(
                            ChunkReference(name='topology', digest='0' * 32),
                        ),
                    ),
                    first_peers.address,
                )
                await changes.set_drain(platform, NORTH, True, 'one')
                await wait_until(lambda: first.revision == 2)
