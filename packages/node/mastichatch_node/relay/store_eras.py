"""Follows the platform's store into another era, after it lost some seconds."""

import asyncio
import contextlib
import random
from collections.abc import Callable
from typing import Final, Protocol

from mastichatch_core.relay.store import StoreView
from mastichatch_core.relay.store_cache import StoreCache
from mastichatch_node.clock import loop_time
from mastichatch_node.relay.telemetry import Telemetry

# Time over which the nodes spread what they write again, at least, and for each
# node.
LEAST_SPREAD_S: Final = 0.5
NODE_SPREAD_S: Final = 0.01
# Pause before a listing that follows others without a successful watch in
# between; each is twice as long as the one before.
LISTING_PAUSE_S: Final = 0.2
LONGEST_LISTING_PAUSE_S: Final = 12.8
# The first listing after a start or an error is made at once, and another one
# as well, since the store may be restored just then.
FREE_LISTINGS: Final = 2


class Signal:
    """Wakes the tasks that wait for something to happen."""

    def __init__(self) -> None:
        """Start without waiting tasks."""
        self._event = asyncio.Event()

    def notify(self) -> None:
        """Wake the tasks that wait now."""
        self._event.set()
        self._event = asyncio.Event()

    async def wait(self, timeout_s: float) -> None:
        """Wait until the next notification.

        :param timeout_s: longest wait, in seconds
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._event.wait()


class EraStore(Protocol):
    """Operation of the store that depends on its era."""

    def confirm_era(self, era: int) -> None:
        """Record the era of the store, as a listing has shown it."""


class StoreEras:
    """Leads a node's cache from one era of the store to the next."""

    def __init__(
        self,
        store: EraStore,
        cache: StoreCache,
        telemetry: Telemetry,
        count_nodes: Callable[[], int],
    ) -> None:
        """Start with the era of the cache.

        :param store: the platform's store
        :param cache: local view of the store
        :param telemetry: event log and metrics
        :param count_nodes: returns the number of nodes
        """
        self._store = store
        self._cache = cache
        self._telemetry = telemetry
        self._count_nodes = count_nodes
        self._began = Signal()
        self._listings = 0

    @property
    def current(self) -> int:
        """Era of the store that this node knows; zero if it names none."""
        return self._cache.era

    @property
    def place(self) -> tuple[int, int]:
        """Era and revision up to which the cache is complete."""
        return self._cache.era, self._cache.revision

    async def wait_for_next(self, known: int, timeout_s: float) -> bool:
        """Wait until the store has come back from an older copy.

        :param known: era that is known; zero if none is
        :param timeout_s: longest wait, in seconds
        :returns: whether a later era than a known one has begun
        """
        if not 0 < known < self.current:
            await self._began.wait(timeout_s)
        return 0 < known < self.current

    async def pause_writes(self) -> None:
        """Pause so that not all nodes write again at the same time."""
        longest_s = max(LEAST_SPREAD_S, self._count_nodes() * NODE_SPREAD_S)
        await asyncio.sleep(random.uniform(0, longest_s))  # noqa: S311

    async def pause_listing(self) -> None:
        """Pause if the last listings have not led to a successful watch."""
        doublings = self._listings - FREE_LISTINGS
        if doublings < 0:
            return
        pause_s = min(LISTING_PAUSE_S * 2**doublings, LONGEST_LISTING_PAUSE_S)
        await asyncio.sleep(random.uniform(pause_s / 2, pause_s))  # noqa: S311

    def record_listing(self) -> None:
        """Count a listing of the store."""
        self._listings += 1

    def record_watch(self) -> None:
        """Record that a watch was successful."""
        self._listings = 0

    def apply_listing(
        self, listing: StoreView, verified_at: float
    ) -> tuple[str, ...]:
        """Apply a listing, which may begin another era.

        :param listing: all entries of the store
        :param verified_at: time at which the first call was sent, as for
            ``StoreCache.apply``
        :returns: the keys that changed
        """
        former, former_revision = self.place
        changed = self._cache.apply_listing(listing, verified_at, loop_time())
        self._store.confirm_era(self.current)
        if former < self.current:
            self._began.notify()
            self._telemetry.update_store_era(self.current)
        if 0 < former < self.current:
            self._telemetry.log_state_change(
                'store_era_changed',
                era=self.current,
                revision=self._cache.revision,
                former_era=former,
                former_revision=former_revision,
                keys=changed[:8],
                count=len(changed),
            )
        return changed
