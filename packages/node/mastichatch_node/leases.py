"""Platform leases, and keys that are kept while their lease is renewed."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Final

from absl import logging

from mastichatch_core.errors import MastichatchError
from mastichatch_core.units import MS_PER_S
from mastichatch_node.platform import Platform

# Renewing at half the lease leaves time to retry a failed renewal.
RENEWALS_PER_LEASE: Final = 2
RETRY_DELAY_S: Final = 0.25
REVOKE_TIMEOUT_S: Final = 1.0


class Lease:
    """A platform lease, timed by the holder's own clock.

    The holder counts from when it sent the last renewal, so for the holder the
    lease ends earlier than for the platform.
    """

    def __init__(self, ttl_ms: int) -> None:
        """Create an object that holds no lease yet.

        :param ttl_ms: length of the lease, in milliseconds
        """
        self._ttl_ms = ttl_ms
        self._name = ''
        self._ends_at: float = 0

    @property
    def name(self) -> str:
        """Name that the platform assigned; empty if no lease is held."""
        return self._name

    @property
    def ends_at(self) -> float:
        """Loop time until which the lease is certain to be held, in seconds."""
        return self._ends_at

    @property
    def interval_s(self) -> float:
        """Time between renewals, in seconds."""
        return self._ttl_ms / MS_PER_S / RENEWALS_PER_LEASE

    async def renew(self, platform: Platform) -> bool:
        """Renew the lease, or acquire a new one if it has expired.

        :param platform: platform that grants the lease
        :returns: whether the lease is new and has no keys yet
        :raises MastichatchError: with ``platform_unavailable``
        """
        sent_at = asyncio.get_running_loop().time()
        is_kept = self._name and await platform.renew_lease(self._name)
        if not is_kept:
            self._name = ''
            sent_at = asyncio.get_running_loop().time()
            self._name = await platform.grant_lease(self._ttl_ms)
        self._ends_at = sent_at + self._ttl_ms / MS_PER_S
        return not is_kept

    async def revoke(self, platform: Platform) -> None:
        """Revoke the lease, which also deletes its keys.

        :param platform: platform that granted the lease
        """
        name = self._name
        self._name = ''
        self._ends_at = 0
        if not name:
            return
        with contextlib.suppress(MastichatchError, TimeoutError):
            async with asyncio.timeout(REVOKE_TIMEOUT_S):
                await platform.revoke_lease(name)


@contextlib.asynccontextmanager
async def keep_under_lease(
    platform: Platform,
    ttl_ms: int,
    write: Callable[[str], Awaitable[None]],
    on_renewal: Callable[[Lease], None],
) -> AsyncIterator[Lease]:
    """Keep an entry written under a lease until the context ends.

    :param platform: platform that grants the lease
    :param ttl_ms: length of the lease, in milliseconds
    :param write: writes the entry under the lease with the given name
    :param on_renewal: called after each renewal
    """
    lease = Lease(ttl_ms)
    task = asyncio.create_task(
        _renew_regularly(platform, lease, write, on_renewal)
    )
    try:
        yield lease
    finally:
        task.cancel()
        await lease.revoke(platform)


async def _renew_regularly(
    platform: Platform,
    lease: Lease,
    write: Callable[[str], Awaitable[None]],
    on_renewal: Callable[[Lease], None],
) -> None:
    is_written = False
    while True:
        try:
            is_new = await lease.renew(platform)
            if is_new or not is_written:
                is_written = False
                await write(lease.name)
                is_written = True
            on_renewal(lease)
        except MastichatchError as error:
            logging.warning('renewing a lease failed: %s', error)
            await asyncio.sleep(min(RETRY_DELAY_S, lease.interval_s))
        else:
            await asyncio.sleep(lease.interval_s)
