"""Keeps a node's view of the store current and its registration alive."""

import asyncio
import contextlib
import random
import time
from collections.abc import (
    AsyncIterator,
    Awaitable,
    Callable,
    Collection,
    Container,
    Iterable,
    Mapping,
)
from typing import Final, Protocol

from absl import logging

from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.messages import (
    Envelope,
    MessageKind,
    RunChanges,
    ViewAnswer,
    ViewEntry,
    ViewQuery,
)
from mastichatch_core.generated.records import NodeRecord
from mastichatch_core.relay.forwarder_choice import NodeLink
from mastichatch_core.relay.known_configuration import NO_VERSION
from mastichatch_core.relay.store_cache import StoreCache
from mastichatch_core.relay.packing import (
    PackingError,
    pack,
    pack_together,
    unpack,
    unpack_together,
)
from mastichatch_core.relay.reader_choice import (
    MAX_READERS_TRIED,
    MIN_OTHERS_FOR_READER,
    order_readers,
)
from mastichatch_core.relay.store_backoff import StoreBackoff
from mastichatch_core.relay.store import (
    HistoryGoneError,
    Lease,
    LeaseLapsedError,
    StoreUnavailableError,
    StoreView,
    Transaction,
)
from mastichatch_core.units import MS_PER_S
from mastichatch_node import codec
from mastichatch_node.clock import loop_time
from mastichatch_node.peers import Peers, Reply
from mastichatch_node.relay.kept_configuration import KeptConfiguration
from mastichatch_node.relay.store_eras import Signal, StoreEras
from mastichatch_node.relay.telemetry import (
    Telemetry,
    create_malformed_logger,
)

# Two long polls with their answers must fit into the time for which a revoked
# key may still be accepted (5 s, by the users' requirements).
WATCH_WAIT_MS: Final = 1500
# Interval of queries to other nodes while the store is unavailable.
PEER_QUERY_INTERVAL_S: Final = 0.4
PEER_QUERY_TIMEOUT_MS: Final = 300
# With the query timeout, a failed reader is detected within 1 s: half of the
# shortest time limit for applying a change, by the users' requirements.
READER_WAIT_MS: Final = 700
# Time for which a reader that failed to answer, or has lost the store, is not
# chosen.
READER_EXCLUSION_S: Final = 4.0
# Number of nodes that a node asks whether they have contact.
MAX_READERS_ASKED: Final = 6
# Changes reach all nodes within tens of milliseconds, plus the watch delay of a
# reader, so a node that lags longer than this asks another one.
LAG_TOLERANCE_S: Final = 0.3
# Delay between watches, which batches changes: endpoints come and go in groups,
# and all nodes register at start-up.
WATCH_DELAY_S: Final = 0.05
# Many nodes of a data centre watch the store at once after a reader has failed,
# so each of them does so less often.
FALLBACK_WATCH_DELAY_S: Final = 0.25
STARTUP_PERIOD_S: Final = 6.0
STARTUP_WATCH_DELAY_S: Final = 0.4
# Three renewals fit into a lease, so two may be lost.
LEASE_MS: Final = 6000
RENEWAL_INTERVAL_S: Final = 2.0
# The same while the store does not answer: renewals may still reach it, and a
# lease must not end because only their answers are lost.
UNANSWERED_RENEWAL_S: Final = 4.0
# Longest time for which a node waits for the return of a store that refused a
# renewal. Its lease has ended by then.
REFUSED_RENEWAL_S: Final = 12.0
# Time after the store's return over which the nodes spread their renewals.
RENEWAL_SPREAD_S: Final = 0.5
# Delay until a background task that failed is started again.
RESTART_DELAY_S: Final = 0.5
Worker = Callable[[], Awaitable[None]]
NODE_PREFIX: Final = 'mastichatch/nodes/'


class Store(Protocol):
    """Operations of the platform's store that the relay uses."""

    async def read_range(self, prefix: str) -> StoreView:
        """Return all entries under a prefix."""

    async def watch(self, prefix: str, after: int, wait_ms: int) -> StoreView:
        """Wait for changes under a prefix, and return them."""

    async def put(self, key: str, content: bytes, lease: int) -> None:
        """Write a key that is deleted when its lease ends, if it has one."""

    async def remove(self, key: str) -> None:
        """Delete a key."""

    async def commit(self, transaction: Transaction) -> None:
        """Write keys together, if some keys have the expected revisions."""

    async def grant_lease(self, ttl_ms: int) -> Lease:
        """Return a new lease."""

    async def renew_lease(self, lease: int) -> None:
        """Restart the lifetime of a lease."""

    async def end_lease(self, lease: int) -> None:
        """End a lease."""

    def confirm_era(self, era: int) -> None:
        """Record the era of the store, as a listing has shown it."""


def boottime_clock() -> float:
    """Return the time of a clock that includes host suspension, in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class NodeRegistry:
    """Registrations of the other nodes."""

    def __init__(
        self, own_name: str, data_centre: str, link_mbps: float = 0
    ) -> None:
        """Start without registrations.

        :param own_name: name of this node
        :param data_centre: data centre of this node
        :param link_mbps: rate of its network link, in Mbit/s
        """
        self._own_name = own_name
        self._data_centre = data_centre
        self._link_mbps = link_mbps
        self._log_malformed = create_malformed_logger()
        self._records: dict[str, NodeRecord] = {}
        self._known: dict[str, str] = {}
        self._data_centres: dict[str, str] = {}

    @property
    def own_name(self) -> str:
        """Name of this node."""
        return self._own_name

    @property
    def addresses(self) -> tuple[str, ...]:
        """Peer addresses of the other nodes."""
        return tuple(one.peer_address for one in self._records.values())

    @property
    def same_data_centre(self) -> tuple[str, ...]:
        """Names of the other nodes in the same data centre."""
        return tuple(
            name
            for name, record in self._records.items()
            if record.data_centre == self._data_centre
        )

    @property
    def data_centres(self) -> Mapping[str, str]:
        """Data centres of the other nodes, by node name."""
        return self._data_centres

    @property
    def without_eras(self) -> frozenset[str]:
        """Names of the other nodes that do not tell the store's era."""
        return frozenset(
            name
            for name, record in self._records.items()
            if not record.knows_eras
        )

    @property
    def links(self) -> dict[str, float]:
        """Link rates of all nodes in Mbit/s, by node name."""
        rates = {
            name: record.link_mbps for name, record in self._records.items()
        }
        return {self._own_name: self._link_mbps, **rates}

    def link(self) -> NodeLink:
        """Return this node, as input to the choice of receivers."""
        return NodeLink(
            name=self._own_name,
            data_centre=self._data_centre,
            link_mbps=self._link_mbps,
            can_forward=True,
        )

    def other_links(self, heard: Container[str]) -> tuple[NodeLink, ...]:
        """Return the other nodes, as input to the choice of receivers.

        :param heard: names of the nodes that recently sent a message
        """
        return tuple(
            NodeLink(
                name=name,
                data_centre=record.data_centre,
                link_mbps=record.link_mbps,
                can_forward=record.forwards_runs and name in heard,
                accepts_forwarded=record.forwards_runs,
                grants_turns=record.grants_turns,
                grants_slots=record.grants_slots,
            )
            for name, record in self._records.items()
        )

    def take_newcomers(self) -> tuple[str, ...]:
        """Return the nodes of the same data centre that are new since then.

        A node that has started again counts as new.
        """
        present = {
            name: self._records[name].incarnation
            for name in self.same_data_centre
        }
        newcomers = tuple(
            name
            for name, incarnation in present.items()
            if self._known.get(name) != incarnation
        )
        self._known = present
        return newcomers

    def addresses_of(self, names: Iterable[str]) -> tuple[str, ...]:
        """Return the peer addresses of those nodes that are registered.

        :param names: names of nodes
        """
        return tuple(
            self._records[name].peer_address
            for name in names
            if name in self._records
        )

    def address(self, name: str) -> str:
        """Return the peer address of a node.

        :param name: name of a registered node
        """
        return self._records[name].peer_address

    def is_near(self, record: NodeRecord) -> bool:
        """Return whether a node is in the data centre of this one.

        :param record: registration of the node
        """
        return record.data_centre == self._data_centre

    def record(self, name: str) -> NodeRecord | None:
        """Return the registration of another node, if it is registered.

        :param name: name of the node
        """
        return self._records.get(name)

    def addresses_in(self, entries: Iterable[ViewEntry]) -> tuple[str, ...]:
        """Return the peer addresses of the other nodes in a listing.

        :param entries: entries of the store
        """
        records = (
            self._decode(one.key, one.value)
            for one in entries
            if one.key.startswith(NODE_PREFIX) and one.value is not None
        )
        return tuple(
            record.peer_address
            for record in records
            if record is not None and record.name != self._own_name
        )

    def update(self, belief: StoreCache) -> None:
        """Replace the registrations by those in the store.

        :param belief: local view of the platform's store
        """
        entries = belief.entries_under(NODE_PREFIX)
        records = (
            self._decode(key, content) for key, content in entries.items()
        )
        self._records = {
            record.name: record
            for record in records
            if record is not None and record.name != self._own_name
        }
        self._data_centres = {
            name: record.data_centre for name, record in self._records.items()
        }

    def _decode(self, key: str, content: bytes) -> NodeRecord | None:
        try:
            return codec.decode_json(content, NodeRecord)
        except codec.DecodeError as error:
            self._log_malformed(key, str(error))
            return None


class StoreFollower:
    """Follows the store directly, or through a reader node that watches it."""

    def __init__(
        self,
        store: Store,
        belief: StoreCache,
        peers: Peers,
        neighbours: NodeRegistry,
        recently_heard: Callable[[], Collection[str]],
        telemetry: Telemetry,
    ) -> None:
        """Start without a connection to the store.

        :param store: the platform's store
        :param belief: local view of the store, which is kept current
        :param peers: connections to other nodes
        :param neighbours: registrations of the other nodes
        :param recently_heard: returns the names of the nodes that recently
            sent a message
        :param telemetry: event log and metrics
        """
        self._store = store
        self._belief = belief
        self._peers = peers
        self._neighbours = neighbours
        self._recently_heard = recently_heard
        self._telemetry = telemetry
        self._in_contact = False
        self._needs_listing = True
        self._eras = StoreEras(
            store, belief, telemetry, lambda: 1 + len(neighbours.addresses)
        )
        self._learn = KeptConfiguration(self._query_node)
        self._updated = Signal()
        self._excluded_until: dict[str, float] = {}
        self._without_store: dict[str, float] = {}
        self._backoff = StoreBackoff(random.uniform)
        self._contact = asyncio.Event()
        self._confirmed: str | None = None
        self._reader: str | None = None
        self._started_at = loop_time()
        self._is_catching_up = False
        self._subscribers: list[Callable[[tuple[str, ...]], None]] = []

    @property
    def in_contact(self) -> bool:
        """Whether the store is in contact, directly or through a reader.

        A failed call to the store ends the contact, and the next current
        answer of the store or of a reader restores it.
        """
        return self._in_contact

    @property
    def eras(self) -> StoreEras:
        """The store's eras, as this node follows them."""
        return self._eras

    def subscribe(self, callback: Callable[[tuple[str, ...]], None]) -> None:
        """Register a callback that is called after changes.

        :param callback: called with the keys that changed
        """
        self._subscribers.append(callback)

    async def wait_for_contact(self, timeout_s: float) -> bool:
        """Wait until the store is in contact, and return whether it is.

        :param timeout_s: longest wait, in seconds
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._contact.wait()
        return self._in_contact

    def take_entries(
        self, entries: tuple[ViewEntry, ...], era: int = 0
    ) -> None:
        """Apply entries that the store returned with an answer to a write.

        A watch may be late to bring them. They do not show that the rest of
        the view is current.

        :param entries: entries of the store, as they are now
        :param era: era of the store that their revisions belong to
        """
        view = StoreView(revision=0, entries=entries, era=era)
        self._notify(self._belief.apply(view, boottime_clock(), loop_time()))

    async def follow(self) -> None:
        """Follow the store or a reader until cancelled.

        While no reader has contact, the nodes call the store themselves, the
        less often the further back they are in the order of the readers.
        """
        while True:
            readers, rank = self._find_readers()
            now = loop_time()
            reader = next(
                (
                    one
                    for one in readers
                    if now >= self._without_store.get(one, now)
                ),
                None,
            )
            self._log_reader(reader)
            if reader is not None:
                # One that has lost the store says so at once.
                is_known = reader == self._confirmed
                wait_ms = READER_WAIT_MS if is_known else 0
                has_contact = await self._follow_reader(reader, wait_ms)
                self._confirmed = reader if has_contact else None
                continue
            if not self._backoff.has_begun:
                self._backoff.begin(rank, now)
            self._backoff.limit(rank, now)
            left_s = self._backoff.left_s(now)
            if left_s:
                await self._wait_for_readers(readers, left_s)
            else:
                await self._call_store(rank)

    async def _call_store(self, rank: int) -> None:
        try:
            await self._follow_store()
        except HistoryGoneError:
            self._telemetry.log_state_change(
                'store_history_gone', revision=self._belief.revision
            )
            self._needs_listing = True
            await self._eras.pause_listing()
        except StoreUnavailableError as error:
            self._record_contact_lost(str(error))
            self._backoff.record_failure(rank, loop_time())
        else:
            self._backoff.record_success()

    async def _wait_for_readers(
        self, readers: tuple[str, ...], left_s: float
    ) -> None:
        """Ask the nodes that call the store before this one for its return."""
        self._record_contact_lost('no node before this one has contact')
        if not readers:
            await asyncio.sleep(min(left_s, READER_WAIT_MS / MS_PER_S))
            return
        for other in readers[1:]:
            if await self._follow_reader(other, 0):
                return
        wait_ms = min(READER_WAIT_MS, left_s * MS_PER_S)
        await self._follow_reader(readers[0], wait_ms)

    async def poll_other_nodes(self) -> None:
        """Query other nodes while the store is unavailable, until cancelled."""
        query_count = 0
        while True:
            await asyncio.sleep(PEER_QUERY_INTERVAL_S)
            known = self._neighbours.addresses
            is_current = self._in_contact and self._learn.has_learned(
                self._belief.era
            )
            if is_current or not known:
                continue
            query_count += 1
            await self._learn.ask_one(
                known[query_count % len(known)], self._belief.era
            )

    async def handle_changes(
        self, message: RunChanges, envelope: Envelope
    ) -> None:
        """Query a node with a higher revision, if this node keeps lagging.

        An open connection to the store may be dead, which is detected only
        when the long poll times out.

        :param message: changed runs and revision of the sender
        :param envelope: envelope that identifies the sender
        """
        place = (message.era, message.revision)
        if place <= self._eras.place or self._is_catching_up:
            return
        self._is_catching_up = True
        try:
            await asyncio.sleep(LAG_TOLERANCE_S)
            if place > self._eras.place:
                self._telemetry.log_state_change(
                    'behind_another_node',
                    revision=self._belief.revision,
                    known=message.revision,
                )
                await self._query_node(envelope.sender, 0)
        finally:
            self._is_catching_up = False

    async def answer_query(self, query: ViewQuery, envelope: Envelope) -> Reply:
        """Return the changes that another node lacks, once there are any.

        If there are none within the wait, the answer has no entries.

        :param query: revision of the other node, and its longest wait
        :param envelope: envelope that identifies the other node
        """
        asked_at = loop_time()
        # A node of an earlier release does not tell its era.
        known = (query.era or self._belief.era, query.after)
        if query.wait_ms and self._eras.place <= known:
            await self._updated.wait(query.wait_ms / MS_PER_S)
        is_whole = not query.after or 0 < query.era < self._belief.era
        after = 0 if is_whole else query.after
        changes = self._belief.changes_after(
            after, known_version=_known_version(query)
        )
        entries = tuple(map(pack, changes))
        packed = None
        if is_whole and query.era:
            entries, packed = pack_together(entries)
        answer = ViewAnswer(
            revision=self._belief.revision,
            age_ms=self._belief.age(boottime_clock()) * MS_PER_S,
            held_ms=(loop_time() - asked_at) * MS_PER_S,
            is_current=self._in_contact,
            entries=entries,
            era=self._belief.era,
            is_whole=is_whole,
            packed=packed,
        )
        return Reply(kind=MessageKind.view_answer, message=answer)

    def _find_readers(self) -> tuple[tuple[str, ...], int]:
        """Return the nodes that call the store before this one.

        :returns: the first of them, if this node may follow one, and its place
            in the order of all
        """
        now = loop_time()
        excluded = {
            name for name, end in self._excluded_until.items() if now < end
        }
        neighbours = self._neighbours
        own = neighbours.own_name
        order = order_readers(
            own,
            neighbours.same_data_centre,
            set(self._recently_heard()) - excluded - neighbours.without_eras,
            neighbours.links,
        )
        rank = order.index(own) if own in order else len(order)
        if len(neighbours.same_data_centre) < MIN_OTHERS_FOR_READER:
            # Each node watches the store itself.
            return (), 0
        if self._needs_listing or len(excluded) >= MAX_READERS_TRIED:
            return (), min(rank, 1)
        return order[: min(rank, MAX_READERS_ASKED)], rank

    def _log_reader(self, reader: str | None) -> None:
        if reader != self._reader:
            self._reader = reader
            self._telemetry.log_state_change(
                'reader_changed', reader=reader or 'self'
            )

    async def _follow_reader(self, reader: str, wait_ms: float) -> bool:
        """Apply the view of a reader, and return whether it has contact."""
        address = self._neighbours.address(reader)
        has_contact = await self._query_node(address, wait_ms)
        until = loop_time() + READER_EXCLUSION_S
        if has_contact:
            self._without_store.pop(reader, None)
            self._record_contact()
            self._backoff.reset()
        elif has_contact is None:
            self._excluded_until[reader] = until
            self._telemetry.log_state_change('reader_distrusted', reader=reader)
        else:
            self._without_store[reader] = until
            self._telemetry.log_state_change(
                'reader_without_store', reader=reader
            )
        return bool(has_contact)

    async def _follow_store(self) -> None:
        """Apply one listing, or the answer to one watch."""
        sent_at = boottime_clock()
        if self._needs_listing:
            listing = await self._store.read_range('')
            self._record_contact()
            self._needs_listing = False
            self._eras.record_listing()
            if not self._belief.revision or listing.era > self._belief.era:
                # The store may have been restored from an older copy. Its view
                # is not used before others have told what they have kept.
                others = (
                    *self._neighbours.addresses,
                    *self._neighbours.addresses_in(listing.entries),
                )
                await self._learn.ask(tuple(set(others)), listing.era)
            self._notify(self._eras.apply_listing(listing, sent_at))
            return
        # A store that is back answers at once, so that others learn of it.
        wait_ms = WATCH_WAIT_MS if self._in_contact else 0
        view = await self._store.watch('', self._belief.revision, wait_ms)
        self._record_contact()
        if view.era > self._belief.era:
            # Changes that it does not tell of may have been lost or made.
            self._needs_listing = True
            await self._eras.pause_listing()
            return
        self._eras.record_watch()
        self._notify(self._belief.apply(view, sent_at, loop_time()))
        if view.entries:
            # Changes that follow within the delay are read with one call.
            await asyncio.sleep(
                _watch_delay_s(self._started_at, self._excluded_until.values())
            )

    async def _query_node(self, address: str, wait_ms: float) -> bool | None:
        """Apply the view of another node, and return whether it has contact.

        :returns: ``None`` if it does not tell a view that can be used
        """
        asked_at = boottime_clock()
        era, revision = self._eras.place
        try:
            answer = await self._peers.ask(
                address,
                MessageKind.view_query,
                ViewQuery(
                    after=revision,
                    wait_ms=wait_ms,
                    era=era,
                    version=_version(self._belief),
                ),
                ViewAnswer,
                timeout_ms=PEER_QUERY_TIMEOUT_MS + wait_ms,
            )
        except MastichatchError as error:
            logging.info(
                'a node did not tell its view',
                extra={'address': address, 'reason': str(error)},
            )
            return None
        if answer.era > era and not answer.is_whole:
            self._needs_listing = True
            return None
        entries = _unpacked(answer, address)
        if entries is None or answer.age_ms == float('inf'):
            return None
        view = StoreView(
            revision=answer.revision, entries=entries, era=answer.era
        )
        if (answer.era, answer.revision) < (era, revision):
            # It is of no use but for what the node has kept.
            self.take_entries(entries, answer.era)
            return None
        # The node answered after holding the query for at least ``held_ms``, so
        # this is the earliest time at which its view can have been verified.
        verified_at = asked_at + (answer.held_ms - answer.age_ms) / MS_PER_S
        if answer.era > self._belief.era:
            self._notify(self._eras.apply_listing(view, verified_at))
        else:
            self._notify(self._belief.apply(view, verified_at, loop_time()))
        return answer.is_current

    def _notify(self, changed: tuple[str, ...]) -> None:
        self._updated.notify()
        # Entries of a former era that nobody has written again in time.
        changed = (*changed, *self._belief.release_entries(loop_time()))
        if not changed:
            return
        configuration = self._belief.configuration
        self._telemetry.log_state_change(
            'view_changed',
            revision=self._belief.revision,
            version=configuration.version if configuration else None,
            keys=changed[:8],
            count=len(changed),
        )
        for subscriber in self._subscribers:
            subscriber(changed)

    def _record_contact(self) -> None:
        self._belief.record_contact(loop_time())
        if not self._in_contact:
            self._in_contact = True
            self._contact.set()
            self._telemetry.log_state_change(
                'store_regained', revision=self._belief.revision
            )

    def _record_contact_lost(self, reason: str) -> None:
        self._belief.record_contact_lost()
        if self._in_contact:
            self._in_contact = False
            self._contact.clear()
            self._updated.notify()
            self._telemetry.log_state_change(
                'store_lost',
                reason=reason,
                revision=self._belief.revision,
                age_s=round(self._belief.age(boottime_clock()), 3),
            )


def _unpacked(answer: ViewAnswer, address: str) -> tuple[ViewEntry, ...] | None:
    """Return the entries of an answer; ``None`` if they cannot be decoded."""
    try:
        return (*map(unpack, answer.entries), *unpack_together(answer.packed))
    except PackingError as error:
        logging.warning(
            'view of another node cannot be decoded',
            extra={'address': address, 'reason': str(error)},
        )
        return None


def _known_version(query: ViewQuery) -> int | None:
    """Return with which version a node's own configuration is compared.

    Nodes of an earlier build tell none. Those that do not wait may have started
    after the store's return.
    """
    if query.version is None and not query.wait_ms:
        return NO_VERSION
    return query.version


def _version(belief: StoreCache) -> int:
    configuration = belief.configuration
    return NO_VERSION if configuration is None else configuration.version


def _watch_delay_s(started_at: float, exclusions: Iterable[float]) -> float:
    """Return the delay until the next watch, in seconds.

    :param started_at: time at which this node started, in seconds
    :param exclusions: times until which readers are not chosen, in seconds
    """
    now = loop_time()
    if now - started_at < STARTUP_PERIOD_S:
        return STARTUP_WATCH_DELAY_S
    if any(now < end for end in exclusions):
        return FALLBACK_WATCH_DELAY_S
    return WATCH_DELAY_S


async def keep_registered(
    store: Store, key: str, content: bytes, follower: StoreFollower
) -> None:
    """Keep a key registered under a lease until cancelled.

    :param store: the platform's store
    :param key: key of this node
    :param content: encoded registration of this node
    :param follower: tells whether the store is in contact
    """
    while True:
        try:
            await _register(store, key, content, follower)
        except LeaseLapsedError:
            logging.warning(
                'registration lease of this node expired; registering again'
            )
        except _StoreRestoredError:
            await follower.eras.pause_writes()
        except StoreUnavailableError as error:
            logging.info(
                'registration of this node failed; trying again',
                extra={'reason': str(error)},
            )
            await _pause_renewals(follower, error)


class _StoreRestoredError(Exception):
    """The store came back from an older copy, which may lack a lease."""


async def _register(
    store: Store, key: str, content: bytes, follower: StoreFollower
) -> None:
    async with _granted_lease(store, follower.eras) as lease:
        was_repeated = await _write(store, key, content, lease, follower)
        era = lease.era
        pause_s = 0 if was_repeated else RENEWAL_INTERVAL_S
        while True:
            if await follower.eras.wait_for_next(era, pause_s):
                raise _StoreRestoredError
            era = era or follower.eras.current
            is_renewed = await _renew(store, lease.number, follower)
            pause_s = RENEWAL_INTERVAL_S if is_renewed else 0


@contextlib.asynccontextmanager
async def _granted_lease(store: Store, eras: StoreEras) -> AsyncIterator[Lease]:
    """Grant a lease, which ends when the block is cancelled."""
    lease = await store.grant_lease(LEASE_MS)
    try:
        yield lease
    except asyncio.CancelledError:
        # In a later era, the id may be that of another node's lease.
        if not 0 < lease.era < eras.current:
            with contextlib.suppress(StoreUnavailableError):
                await store.end_lease(lease.number)
        raise


async def _write(
    store: Store,
    key: str,
    content: bytes,
    lease: Lease,
    follower: StoreFollower,
) -> bool:
    """Write a key until the store acknowledges it.

    A write without an answer may be executed late. With another lease, it would
    take the key away from the one that is renewed.

    :returns: whether it was repeated, so that the lease may end soon
    :raises _StoreRestoredError: if the store came back from an older copy, in
        which the lease may be that of another node
    """
    was_repeated = False
    while True:
        try:
            await store.put(key, content, lease.number)
        except StoreUnavailableError as error:
            logging.info(
                'registration of this node failed; trying again',
                extra={'reason': str(error)},
            )
            await _pause_renewals(follower, error)
            was_repeated = True
        else:
            return was_repeated
        if await follower.eras.wait_for_next(lease.era, 0):
            raise _StoreRestoredError


async def _renew(store: Store, lease: int, follower: StoreFollower) -> bool:
    """Renew a lease, or wait until that may be tried again.

    :returns: whether it was renewed
    """
    try:
        await store.renew_lease(lease)
    except StoreUnavailableError as error:
        await _pause_renewals(follower, error)
        return False
    return True


async def _pause_renewals(
    follower: StoreFollower, error: StoreUnavailableError
) -> None:
    """Wait until the next renewal after one that failed.

    :param follower: tells whether the store is in contact
    :param error: how it failed
    """
    longest_s = REFUSED_RENEWAL_S if error.is_refusal else UNANSWERED_RENEWAL_S
    if follower.in_contact:
        # The follower may not have noticed yet.
        await asyncio.sleep(RENEWAL_INTERVAL_S)
        longest_s -= RENEWAL_INTERVAL_S
    if follower.in_contact:
        return
    if await follower.wait_for_contact(longest_s):
        # Not all nodes at once.
        await asyncio.sleep(random.uniform(0, RENEWAL_SPREAD_S))  # noqa: S311


async def _run_again_after_errors(worker: Worker) -> None:
    """Run a background task, and start it again if it fails.

    Its input comes from other processes, one of which may cause an error that
    nobody has foreseen. That must not end the task for good.
    """
    while True:
        try:
            await worker()
        except Exception:
            logging.exception('a background task failed; starting it again')
        await asyncio.sleep(RESTART_DELAY_S)


@contextlib.asynccontextmanager
async def run_in_background(
    *workers: Worker,
) -> AsyncIterator[None]:
    """Run background tasks until the end of the block.

    :param workers: functions whose coroutines run until they are cancelled;
        one that fails is started again
    """
    tasks = [
        asyncio.ensure_future(_run_again_after_errors(one)) for one in workers
    ]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
