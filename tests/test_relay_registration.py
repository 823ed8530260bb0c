"""Tests of the registration of a node in the platform's store."""

import asyncio
from typing import Any, cast

import pytest

from mastichatch_platform.program import create_adapter

from mastichatch_core.relay.store import (
    Lease,
    LeaseLapsedError,
    StoreUnavailableError,
    StoreView,
)
from mastichatch_core.relay.store_cache import StoreCache
from mastichatch_node.clock import loop_time
from mastichatch_node.relay.store_eras import StoreEras
from mastichatch_node.relay.store_following import LEASE_MS, keep_registered
from mastichatch_node.relay.telemetry import Telemetry

pytestmark = pytest.mark.looptime

LATE_S = 3.0
REFUSAL_S = 0.5


class LateStore:
    """A store that loses the answer to a write, and executes it late."""

    def __init__(self) -> None:
        """Start empty."""
        self.refuses_until = 0.0
        self.expires_at: dict[int, float] = {}
        self.owner = 0
        self.writes = 0

    async def grant_lease(self, ttl_ms: int) -> Lease:
        """Grant a lease."""
        lease = len(self.expires_at) + 1
        self.expires_at[lease] = loop_time() + ttl_ms / 1000
        return Lease(number=lease)

    async def put(self, key: str, content: bytes, lease: int) -> None:
        """Write the key, at once but for the first time."""
        self._check(lease)
        if loop_time() < self.refuses_until:
            await asyncio.sleep(REFUSAL_S)
            raise StoreUnavailableError('no response')
        self.writes += 1
        if self.writes == 1 and not self.refuses_until:
            loop = asyncio.get_running_loop()
            loop.call_later(LATE_S, setattr, self, 'owner', lease)
            raise StoreUnavailableError('no response')
        self.owner = lease

    async def renew_lease(self, lease: int) -> None:
        """Renew a lease."""
        self._check(lease)
        self.expires_at[lease] = loop_time() + LEASE_MS / 1000

    async def end_lease(self, lease: int) -> None:
        """End a lease."""
        self.expires_at[lease] = 0

    @property
    def is_registered(self) -> bool:
        """Whether the key is there."""
        return self.expires_at.get(self.owner, 0) > loop_time()

    def _check(self, lease: int) -> None:
        if self.expires_at[lease] <= loop_time():
            raise LeaseLapsedError


class ReusedLeases:
    """A store whose ids of leases are those of other nodes after a restore."""

    def __init__(self) -> None:
        """Start in the first era."""
        self.era = 1
        self.granted_in: list[int] = []
        self.ended: list[int] = []

    async def grant_lease(self, ttl_ms: int) -> Lease:
        """Grant a lease."""
        self.granted_in.append(self.era)
        return Lease(number=len(self.granted_in), era=self.era)

    async def put(self, key: str, content: bytes, lease: int) -> None:
        """Write the key."""

    async def renew_lease(self, lease: int) -> None:
        """Renew a lease, be it of another node."""

    async def end_lease(self, lease: int) -> None:
        """End a lease."""
        self.ended.append(lease)

    def confirm_era(self, era: int) -> None:
        """Take no notice."""


class _Follower:
    in_contact = True

    def __init__(self, store: object = None) -> None:
        """Know no era of the store yet."""
        self.eras = StoreEras(
            cast(Any, store),
            StoreCache(create_adapter().decoders),
            Telemetry(),
            lambda: 1,
        )


async def test_late_write_does_not_end_the_registration() -> None:
    """The store may execute a write seconds after its answer was lost.

    The key must not move to a lease that nobody renews.
    """
    store = LateStore()
    work = asyncio.ensure_future(
        keep_registered(
            cast(Any, store), 'mastichatch/nodes/x', b'', cast(Any, _Follower())
        )
    )
    await asyncio.sleep(3 * LEASE_MS / 1000)
    assert store.writes > 1
    assert store.is_registered
    work.cancel()


async def test_lease_does_not_end_after_a_write_that_was_repeated() -> None:
    """The write may be acknowledged shortly before its lease ends."""
    store = LateStore()
    store.refuses_until = loop_time() + LEASE_MS / 1000 - 2
    work = asyncio.ensure_future(
        keep_registered(
            cast(Any, store), 'mastichatch/nodes/x', b'', cast(Any, _Follower())
        )
    )
    while not store.is_registered:
        await asyncio.sleep(REFUSAL_S)
    for _ in range(2 * LEASE_MS // 1000):
        await asyncio.sleep(REFUSAL_S)
        assert store.is_registered
    work.cancel()


@pytest.mark.parametrize('listed', ((2,), (1, 2)))
async def test_node_that_starts_while_the_store_is_restored_takes_a_new_lease(
    listed: tuple[int, ...],
) -> None:
    """Its lease was granted before it knew any era of the store.

    The id is given out again in the next era, so that renewals succeed for
    ever while the node is not registered.
    """
    store = ReusedLeases()
    follower = _Follower(store)
    work = asyncio.ensure_future(
        keep_registered(
            cast(Any, store), 'mastichatch/nodes/x', b'', cast(Any, follower)
        )
    )
    await asyncio.sleep(LATE_S / 10)
    store.era = 2
    for era in listed:
        follower.eras.apply_listing(
            StoreView(revision=100, entries=(), era=era), 0
        )
    await asyncio.sleep(2 * LEASE_MS / 1000)
    assert store.granted_in == [1, 2]
    work.cancel()
    await asyncio.wait((work,))
    assert store.ended == [2]


async def test_lease_of_an_era_that_is_not_listed_yet_is_kept() -> None:
    store = ReusedLeases()
    store.era = 2
    follower = _Follower(store)
    follower.eras.apply_listing(StoreView(revision=9, entries=(), era=1), 0)
    work = asyncio.ensure_future(
        keep_registered(
            cast(Any, store), 'mastichatch/nodes/x', b'', cast(Any, follower)
        )
    )
    await asyncio.sleep(LATE_S / 10)
    follower.eras.apply_listing(StoreView(revision=9, entries=(), era=2), 0)
    await asyncio.sleep(2 * LEASE_MS / 1000)
    assert store.granted_in == [2]
    work.cancel()
    await asyncio.wait((work,))
    assert store.ended == [1]
