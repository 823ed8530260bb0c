"""Keeps a node's belief current and its registration alive."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from typing import Final, Protocol

from absl import logging

from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.messages import (
    Envelope,
    MessageKind,
    ViewAnswer,
    ViewQuery,
)
from mastichatch_core.relay.belief import Belief
from mastichatch_core.relay.store import (
    HistoryGoneError,
    LeaseLapsedError,
    StoreUnavailableError,
    StoreView,
)
from mastichatch_core.units import MS_PER_S
from mastichatch_node.clock import loop_time
from mastichatch_node.peers import Peers, Reply
from mastichatch_node.relay.telemetry import Telemetry

# Two waits and their answers must fit into the time within which a lost key
# may still be used (5 s by the users' sheets).
WATCH_WAIT_MS: Final = 1500
# Pause before the next call after one that failed.
RETRY_S: Final = 0.2
# While the store is away, others are asked this often for what they know.
PEER_QUERY_INTERVAL_S: Final = 0.4
PEER_QUERY_TIMEOUT_MS: Final = 300
# Three renewals fit into a lease, so that two may be lost.
LEASE_MS: Final = 4000
RENEWAL_S: Final = 1.3


class Store(Protocol):
    """The platform's store, as the relay uses it."""

    async def read_range(self, prefix: str) -> StoreView:
        """Return all entries under a prefix."""

    async def watch(self, prefix: str, after: int, wait_ms: int) -> StoreView:
        """Wait for changes under a prefix."""

    async def put(self, key: str, content: bytes, lease: int) -> None:
        """Write a key that goes with a lease."""

    async def grant_lease(self, ttl_ms: int) -> int:
        """Return the id of a new lease."""

    async def renew_lease(self, lease: int) -> None:
        """Let a lease run anew."""

    async def end_lease(self, lease: int) -> None:
        """End a lease."""


def suspension_clock() -> float:
    """Return seconds on a clock that also counts a host's suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Follower:
    """Follows the store, or other nodes while the store is away."""

    def __init__(
        self,
        store: Store,
        belief: Belief,
        peers: Peers,
        telemetry: Telemetry,
    ) -> None:
        """Start without contact.

        :param store: the platform's store
        :param belief: what is kept current
        :param peers: connections to other nodes
        :param telemetry: where changes are told
        """
        self._store = store
        self._belief = belief
        self._peers = peers
        self._telemetry = telemetry
        self._in_contact = False
        self._needs_listing = True
        self._subscribers: list[Callable[[tuple[str, ...]], None]] = []

    @property
    def in_contact(self) -> bool:
        """Whether the last call of the store was answered."""
        return self._in_contact

    def subscribe(self, callback: Callable[[tuple[str, ...]], None]) -> None:
        """Call back after changes.

        :param callback: is given the keys that changed
        """
        self._subscribers.append(callback)

    async def follow_store(self) -> None:
        """Follow the store until cancelled."""
        while True:
            try:
                await self._step()
            except HistoryGoneError:
                self._needs_listing = True
                self._telemetry.believe(
                    'store_history_gone', revision=self._belief.revision
                )
            except StoreUnavailableError as error:
                self._note_lost(str(error))
                await asyncio.sleep(RETRY_S)

    async def follow_peers(
        self, addresses: Callable[[], Iterable[str]]
    ) -> None:
        """Ask other nodes while the store is away, until cancelled.

        :param addresses: returns the peer addresses of other nodes
        """
        turn = 0
        while True:
            await asyncio.sleep(PEER_QUERY_INTERVAL_S)
            known = tuple(addresses())
            if self._in_contact or not known:
                continue
            turn += 1
            await self._ask(known[turn % len(known)])

    async def answer_query(self, query: ViewQuery, envelope: Envelope) -> Reply:
        """Tell another node what this one knows.

        :param query: what it knows already
        :param envelope: who asks
        """
        age_s = self._belief.age(suspension_clock())
        answer = ViewAnswer(
            revision=self._belief.revision,
            age_ms=age_s * MS_PER_S,
            entries=self._belief.changes_after(query.after),
        )
        return Reply(kind=MessageKind.view_answer, message=answer)

    async def _step(self) -> None:
        """Take over one listing or the answer to one watch."""
        sent_at = suspension_clock()
        if self._needs_listing:
            listing = await self._store.read_range('')
            self._note_contact()
            self._needs_listing = False
            self._tell(
                self._belief.apply_listing(listing, sent_at, loop_time())
            )
            return
        view = await self._store.watch('', self._belief.revision, WATCH_WAIT_MS)
        self._note_contact()
        self._tell(self._belief.apply(view, sent_at, loop_time()))

    async def _ask(self, address: str) -> None:
        asked_at = suspension_clock()
        known = self._belief.revision
        try:
            answer = await self._peers.ask(
                address,
                MessageKind.view_query,
                ViewQuery(after=known),
                ViewAnswer,
                timeout_ms=PEER_QUERY_TIMEOUT_MS,
            )
        except MastichatchError:
            return
        if answer.revision < known or answer.age_ms == float('inf'):
            return
        view = StoreView(revision=answer.revision, entries=answer.entries)
        verified_at = asked_at - answer.age_ms / MS_PER_S
        self._tell(self._belief.apply(view, verified_at, loop_time()))

    def _tell(self, changed: tuple[str, ...]) -> None:
        if not changed:
            return
        configuration = self._belief.configuration
        self._telemetry.believe(
            'view_changed',
            revision=self._belief.revision,
            version=configuration.version if configuration else None,
            keys=changed[:8],
            count=len(changed),
        )
        for subscriber in self._subscribers:
            subscriber(changed)

    def _note_contact(self) -> None:
        self._belief.note_contact(loop_time())
        if not self._in_contact:
            self._in_contact = True
            self._telemetry.believe(
                'store_regained', revision=self._belief.revision
            )

    def _note_lost(self, reason: str) -> None:
        self._belief.note_contact_lost()
        if self._in_contact:
            self._in_contact = False
            self._telemetry.believe(
                'store_lost',
                reason=reason,
                revision=self._belief.revision,
                age_s=round(self._belief.age(suspension_clock()), 3),
            )


async def keep_registered(store: Store, key: str, content: bytes) -> None:
    """Keep a key under a lease until cancelled.

    :param store: the platform's store
    :param key: key of this node
    :param content: what others are told
    """
    while True:
        try:
            await _register(store, key, content)
        except LeaseLapsedError:
            logging.warning('the lease of this node lapsed')
        except StoreUnavailableError as error:
            logging.info(
                'this node was not registered', extra={'reason': str(error)}
            )
            await asyncio.sleep(RENEWAL_S)


async def _register(store: Store, key: str, content: bytes) -> None:
    lease = await store.grant_lease(LEASE_MS)
    try:
        await store.put(key, content, lease)
        while True:
            await asyncio.sleep(RENEWAL_S)
            with contextlib.suppress(StoreUnavailableError):
                await store.renew_lease(lease)
    except asyncio.CancelledError:
        with contextlib.suppress(StoreUnavailableError):
            await store.end_lease(lease)
        raise


@contextlib.asynccontextmanager
async def background(*works: Awaitable[None]) -> AsyncIterator[None]:
    """Run works until the end of the block.

    :param works: coroutines that run until they are cancelled
    """
    tasks = [asyncio.ensure_future(work) for work in works]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
