"""Tracks whether this node is cut off from endpoints that its peers reach.

Evidence of failed endpoints is withheld until a connection to another one shows
that this node's own way is not the reason.
"""

import asyncio
import collections
import dataclasses
import math
import random
from collections.abc import Callable, Collection, Iterable
from typing import Final

from mastichatch_core.generated.messages import RunChanges
from mastichatch_core.relay.isolation import (
    ContactEvidence,
    PeerContact,
    choose_checked,
    is_isolated,
    is_silent,
    reaching_peers,
)
from mastichatch_core.relay.model import Endpoint
from mastichatch_core.units import MS_PER_S
from mastichatch_node.clock import loop_time
from mastichatch_node.relay.http_client import ConnectionPool, ExchangeError
from mastichatch_node.relay.isolation_metrics import ContactState
from mastichatch_node.relay.telemetry import Telemetry

# Connections that a check opens at a time, one after the other unless the
# first of them fails.
CHECKED_ENDPOINTS: Final = 3
CHECK_STAGGER_S: Final = 0.05
# Pauses between the rounds of a check.
FIRST_PAUSE_S: Final = 0.05
MAX_PAUSE_S: Final = 0.4
# Time between checks that only signs at kept connections call for.
FIRST_SIGN_PAUSE_S: Final = 0.5
MAX_SIGN_PAUSE_S: Final = 8.0
REVIEW_INTERVAL_S: Final = 0.1
# Shortest time between two checks.
CHECK_INTERVAL_S: Final = 0.1
# Time for which the list of peers that reach endpoints is kept.
PEERS_LIFETIME_S: Final = 0.1
# Most failures of endpoints that are withheld at a time.
MAX_WITHHELD: Final = 256
# Number of peers that tell a node that is cut off of their contact, and the
# age from which on they check it first.
ANSWERING_PEERS: Final = 4
FRESH_CONTACT_S: Final = 1.0
ANSWER_INTERVAL_S: Final = 1.0

Callback = Callable[[], None]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class IsolationSources:
    """What a tracker reads, and whom it tells.

    :param pool: connections to endpoints
    :param heard: returns the names of the peers whose messages arrive
    :param announce: tells all peers of a change
    :param answer: tells one peer, by its name
    :param discard: forgets what failed while this node was cut off
    :param telemetry: log and metrics of the node
    """

    pool: ConnectionPool
    heard: Callable[[], Collection[str]]
    announce: Callback
    answer: Callable[[str], None]
    discard: Callback
    telemetry: Telemetry


class IsolationTracker:
    """Whether this node is cut off from endpoints that its peers reach."""

    def __init__(self) -> None:
        """Start as a node that reaches all endpoints; ``attach`` follows."""
        self._sources: IsolationSources | None = None
        self._evidence = ContactEvidence()
        self._contacts: dict[str, PeerContact] = {}
        self._services: dict[str, tuple[str, ...]] = {}
        self._endpoint_count = 0
        self._callbacks: list[Callback] = []
        self._withheld: collections.deque[tuple[float, Callback]] = (
            collections.deque(maxlen=MAX_WITHHELD)
        )
        self._check: asyncio.Task[None] | None = None
        self._sign_pause_s = FIRST_SIGN_PAUSE_S
        self._next_sign_at = 0.0
        self._checked_at = -math.inf
        self._peers: tuple[str, ...] = ()
        self._peers_expire_at = -math.inf
        self._answered_at: dict[str, float] = {}
        self._is_isolated = False
        self._was_cut_off = False

    @property
    def is_isolated(self) -> bool:
        """Whether this node reaches no endpoint, while peers do."""
        return self._is_isolated

    @property
    def is_cut_off(self) -> bool:
        """Whether connections fail at all endpoints, as far as is known."""
        return self._evidence.is_cut_off

    @property
    def contact_ms(self) -> float | None:
        """Time since the last connection to an endpoint, in milliseconds."""
        age_ms = (loop_time() - self._evidence.reached_at) * MS_PER_S
        return round(age_ms) if age_ms < math.inf else None

    @property
    def may_tell(self) -> bool:
        """Whether failures of endpoints may be told to other nodes."""
        return self._check is None and not self._evidence.is_cut_off

    @property
    def _can_check(self) -> bool:
        """Whether one endpoint can be told from all of them."""
        return self._sources is not None and self._endpoint_count > 1

    def reachable_peers(self) -> tuple[str, ...]:
        """Return the names of live peers that lately reached endpoints."""
        if self._sources is None:
            return ()
        now = loop_time()
        if now >= self._peers_expire_at:
            self._peers = reaching_peers(
                self._contacts, self._sources.heard(), now
            )
            self._peers_expire_at = now + PEERS_LIFETIME_S
        return self._peers

    def cut_off_peers(self) -> frozenset[str]:
        """Return the names of the peers that reach no endpoint."""
        return frozenset(
            name for name, one in self._contacts.items() if one.is_cut_off
        )

    def reaches(self, service: str) -> bool:
        """Return whether this node lately reached an endpoint of a service.

        It is assumed to unless there are signs against it.

        :param service: name of the service
        """
        if not self._evidence.is_cut_off:
            return True
        return not self._services.get(service)

    def subscribe(self, callback: Callback) -> None:
        """Call a function whenever ``is_isolated`` changes.

        :param callback: the function
        """
        self._callbacks.append(callback)

    def attach(self, sources: IsolationSources) -> None:
        """Begin to follow the connections of a pool.

        :param sources: what is read, and who is told
        """
        self._sources = sources
        sources.pool.observe_outcomes(self._record_outcome)
        sources.pool.signs.attach_contact(self.reached_since)

    def close(self) -> None:
        """End a check in progress."""
        if self._check is not None:
            self._check.cancel()

    def record_endpoints(self, endpoints: Iterable[Endpoint]) -> None:
        """Replace the endpoints that checks connect to.

        :param endpoints: all registered endpoints
        """
        services: dict[str, list[str]] = {}
        for endpoint in endpoints:
            services.setdefault(endpoint.service, []).append(endpoint.address)
        self._services = {
            name: tuple(addresses) for name, addresses in services.items()
        }
        self._endpoint_count = sum(map(len, services.values()))

    def record_break(self, address: str) -> None:
        """Record a connection that ended before its answer.

        :param address: IP address and port of the endpoint
        """
        now = loop_time()
        self._evidence.record_break(address, now)
        if self._evidence.is_suspicious(now):
            self._check_sign()

    def check(self) -> None:
        """Check whether an endpoint is reached, unless none is known to be."""
        if self._can_check and not self._evidence.is_cut_off:
            self._start_check()

    def tell(self, callback: Callback) -> None:
        """Call a function once this node is known to reach endpoints.

        It is not called if this node is cut off: what it would tell of an
        endpoint may then be due to that.

        :param callback: tells of a failure
        """
        if not self._can_check:
            callback()
        elif not self._evidence.is_cut_off:
            self._withheld.append((loop_time(), callback))
            self._start_check()

    def reached_since(self, since: float) -> bool:
        """Return whether an endpoint was reached, and check it if none was.

        :param since: loop time, in seconds
        """
        if not self._can_check:
            return True
        if self._evidence.is_cut_off:
            return False
        if self._evidence.reached_at >= since:
            return True
        self._start_check()
        return False

    def handle_changes(self, message: RunChanges) -> None:
        """Record what a peer tells of its contact with endpoints.

        :param message: message of the peer
        """
        now = loop_time()
        known = self._contacts.get(message.node)
        if known is not None and message.sequence < known.sequence:
            # Messages may overtake each other, and numbers begin anew with
            # each start of a node.
            if now - known.received_at < FRESH_CONTACT_S:
                return
        reached_at = -math.inf
        if message.contact_ms is not None:
            reached_at = now - max(0, message.contact_ms) / MS_PER_S
        self._contacts[message.node] = PeerContact(
            reached_at=reached_at,
            is_cut_off=message.is_cut_off,
            interval_s=message.interval_ms / MS_PER_S,
            sequence=message.sequence,
            received_at=now,
        )
        if message.is_cut_off:
            self._answer(message.node, now)
        if self._evidence.is_cut_off:
            self._update()

    async def review_periodically(self) -> None:
        """Look for silence of all endpoints until cancelled."""
        while True:
            await asyncio.sleep(REVIEW_INTERVAL_S)
            self._update()
            sources = self._sources
            if sources is None or self._check is not None:
                continue
            now = loop_time()
            waiting, last_byte_at = sources.pool.waiting()
            if is_silent(waiting, now, last_byte_at):
                self._check_sign()

    def _record_outcome(self, address: str, *, is_established: bool) -> None:
        now = loop_time()
        endpoints = self._endpoint_count
        if is_established:
            self._evidence.record_connect(now, endpoints)
        else:
            self._evidence.record_unreached(address, now, endpoints)
            if self._evidence.is_suspicious(now):
                self._start_check()
        self._update()

    def _check_sign(self) -> None:
        """Check for a sign that may have other causes, at growing intervals."""
        now = loop_time()
        if now < self._next_sign_at or self._check is not None:
            return
        if now - self._next_sign_at > MAX_SIGN_PAUSE_S:
            self._sign_pause_s = FIRST_SIGN_PAUSE_S
        self._next_sign_at = now + self._sign_pause_s
        self._sign_pause_s = min(self._sign_pause_s * 2, MAX_SIGN_PAUSE_S)
        self._start_check()

    def _start_check(self) -> None:
        if self._check is None and self._sources is not None:
            self._check = asyncio.ensure_future(self._run_check())
            self._check.add_done_callback(self._end_check)

    def _end_check(self, task: 'asyncio.Task[None]') -> None:
        self._check = None
        if not task.cancelled():
            task.result()
            self._update()

    async def _run_check(self) -> None:
        """Connect to endpoints until one accepts, or none is left to try."""
        started_at = loop_time()
        pause_s = FIRST_PAUSE_S
        is_first = True
        await asyncio.sleep(self._checked_at + CHECK_INTERVAL_S - started_at)
        if self._evidence.reached_at >= started_at:
            return
        self._checked_at = loop_time()
        while self._services:
            is_cut_off = self._evidence.is_cut_off
            count = 1 if is_cut_off else CHECKED_ENDPOINTS
            checked = choose_checked(
                self._services,
                () if is_cut_off else self._evidence.unreached,
                random.random(),  # noqa: S311
                count,
            )
            await self._connect_to_any(checked)
            is_reached = self._evidence.reached_at >= started_at
            if is_first and self._sources is not None:
                self._sources.telemetry.isolation.count_check(
                    is_reached=is_reached
                )
            is_first = False
            if is_reached and not self._evidence.is_cut_off:
                return
            if is_reached and is_cut_off and self._evidence.is_returning:
                continue
            await asyncio.sleep(pause_s)
            pause_s = min(pause_s * 2, MAX_PAUSE_S)

    async def _connect_to_any(self, addresses: Iterable[str]) -> None:
        """Connect to endpoints at short intervals until one accepts."""
        pending: set[asyncio.Task[bool]] = set()
        try:
            for address in addresses:
                pending.add(asyncio.ensure_future(self._connect(address)))
                done, pending = await asyncio.wait(
                    pending,
                    timeout=CHECK_STAGGER_S,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if any(one.result() for one in done):
                    return
            while pending:
                done, pending = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED
                )
                if any(one.result() for one in done):
                    return
        finally:
            for one in pending:
                one.cancel()

    async def _connect(self, address: str) -> bool:
        """Return whether an endpoint accepts a connection."""
        if self._sources is None:
            return False
        pool = self._sources.pool
        try:
            connection = await pool.take(address, 0)
        except ExchangeError:
            return False
        pool.release(connection)
        return True

    def _answer(self, name: str, now: float) -> None:
        """Tell a peer that is cut off of this node's contact."""
        sources = self._sources
        if sources is None or self._evidence.is_cut_off:
            return
        if now - self._answered_at.get(name, -ANSWER_INTERVAL_S) < (
            ANSWER_INTERVAL_S
        ):
            return
        share = ANSWERING_PEERS / max(1, len(self._contacts))
        if random.random() > share:  # noqa: S311
            return
        self._answered_at[name] = now
        if now - self._evidence.reached_at < FRESH_CONTACT_S:
            sources.answer(name)
        else:
            self.tell(lambda: sources.answer(name))

    def _update(self) -> None:
        """Act on what has changed, and tell other nodes and subscribers."""
        sources = self._sources
        if sources is None:
            return
        is_cut_off = self._evidence.is_cut_off
        if is_cut_off != self._was_cut_off:
            self._was_cut_off = is_cut_off
            if is_cut_off:
                self._start_check()
            else:
                sources.discard()
            sources.telemetry.isolation.record_state(
                ContactState.cut_off, is_begun=is_cut_off
            )
            sources.telemetry.log_state_change(
                'endpoints_lost' if is_cut_off else 'endpoints_regained',
                tried=len(self._evidence.unreached),
                withheld=len(self._withheld),
            )
            sources.announce()
        if is_cut_off and self._withheld:
            sources.telemetry.isolation.count_dropped(len(self._withheld))
            self._withheld.clear()
        self._release_withheld()
        self._update_isolation(sources)

    def _release_withheld(self) -> None:
        reached_at = self._evidence.reached_at
        while self._withheld and self._withheld[0][0] <= reached_at:
            _, callback = self._withheld.popleft()
            callback()

    def _update_isolation(self, sources: IsolationSources) -> None:
        isolated = False
        if self._evidence.is_cut_off:
            peers = self.reachable_peers()
            isolated = is_isolated(
                self._evidence, [self._contacts[name] for name in peers]
            )
        if isolated == self._is_isolated:
            return
        self._is_isolated = isolated
        sources.telemetry.isolation.record_state(
            ContactState.isolated, is_begun=isolated
        )
        sources.telemetry.log_state_change(
            'isolated' if isolated else 'no_longer_isolated',
            peers=len(self.reachable_peers()),
            since_s=round(loop_time() - self._evidence.began_at, 3)
            if isolated
            else 0,
        )
        for callback in self._callbacks:
            callback()
