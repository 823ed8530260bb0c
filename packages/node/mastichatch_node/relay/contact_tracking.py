"""Tracks whether this node reaches endpoints, by its own connections.

Failures of endpoints are told to other nodes only once a connection to another
endpoint shows that this node's own way is not the reason.
"""

import asyncio
import collections
import math
from collections.abc import Callable
from typing import Final

from mastichatch_core.relay.isolation import ContactEvidence, is_silent
from mastichatch_core.units import MS_PER_S
from mastichatch_node.clock import loop_time
from mastichatch_node.relay.contact_checking import ContactChecker
from mastichatch_node.relay.http_client import ConnectionPool
from mastichatch_node.relay.isolation_metrics import ContactState
from mastichatch_node.relay.telemetry import Telemetry

# Time between checks that only silence or broken connections call for.
FIRST_SIGN_PAUSE_S: Final = 0.5
MAX_SIGN_PAUSE_S: Final = 8.0
REVIEW_INTERVAL_S: Final = 0.2
# Most failures of endpoints that are withheld at a time.
MAX_WITHHELD: Final = 256

Callback = Callable[[], None]


class ContactTracker:
    """Whether this node's connections to endpoints are established."""

    def __init__(self, pool: ConnectionPool, telemetry: Telemetry) -> None:
        """Follow the connections of a pool.

        :param pool: connections to endpoints
        :param telemetry: log and metrics of the node
        """
        self._pool = pool
        self._telemetry = telemetry
        self._evidence = ContactEvidence()
        self._checker = ContactChecker(
            pool, self._evidence, telemetry.isolation, self._update
        )
        self._subscribers: list[Callback] = []
        self._discards: list[Callback] = []
        self._withheld: collections.deque[tuple[float, Callback]] = (
            collections.deque(maxlen=MAX_WITHHELD)
        )
        self._sign_pause_s = FIRST_SIGN_PAUSE_S
        self._next_sign_at = -math.inf
        self._was_cut_off = False
        pool.observe_outcomes(self._record_outcome)
        pool.signs.attach_contact(self._has_reached_since)

    @property
    def checker(self) -> ContactChecker:
        """Checks whether endpoints are reached."""
        return self._checker

    @property
    def is_cut_off(self) -> bool:
        """Whether connections fail at all endpoints that were tried."""
        return self._evidence.is_cut_off

    @property
    def began_at(self) -> float:
        """Loop time of the first failure since the last connection."""
        return self._evidence.began_at

    @property
    def may_tell(self) -> bool:
        """Whether failures of endpoints may be told to other nodes."""
        return not (self._evidence.is_cut_off or self._checker.is_running)

    @property
    def contact_ms(self) -> float | None:
        """Time since the last connection to an endpoint, in milliseconds."""
        age_ms = (loop_time() - self._evidence.reached_at) * MS_PER_S
        return round(age_ms) if age_ms < math.inf else None

    def subscribe(self, callback: Callback) -> None:
        """Call a function whenever ``is_cut_off`` changes.

        :param callback: the function
        """
        self._subscribers.append(callback)

    def discard_with(self, callback: Callback) -> None:
        """Call a function when endpoints are reached again.

        :param callback: forgets the failures of endpoints
        """
        self._discards.append(callback)

    def record_break(self, address: str) -> None:
        """Record a connection that ended before its answer.

        :param address: IP address and port of the endpoint
        """
        now = loop_time()
        self._evidence.record_break(address, now)
        if self._evidence.is_suspicious(now):
            self._check_sign(now)

    def call_when_reached(self, callback: Callback) -> None:
        """Call a function once an endpoint is reached.

        It is not called if none is: the failure that it tells of may then be
        due to this node's own way.

        :param callback: tells of a failure of an endpoint
        """
        if not self._checker.is_possible:
            callback()
        elif not self._evidence.is_cut_off:
            self._withheld.append((loop_time(), callback))
            self._checker.start()

    async def review_periodically(self) -> None:
        """Look for silence of all endpoints until cancelled."""
        while True:
            await asyncio.sleep(REVIEW_INTERVAL_S)
            if self._evidence.is_cut_off:
                # The check ended if there were no endpoints for a while.
                self._checker.start()
            now = loop_time()
            waiting_since, last_byte_at = self._pool.waiting()
            if is_silent(waiting_since, now, last_byte_at):
                self._check_sign(now)

    def _record_outcome(self, address: str, *, is_established: bool) -> None:
        now = loop_time()
        if is_established:
            self._evidence.record_connect(now)
        else:
            self._evidence.record_unreached(address, now)
            if self._evidence.is_suspicious(now):
                self._checker.start()
        self._update()

    def _has_reached_since(self, since: float) -> bool:
        """Return whether an endpoint was reached, and check it if none was."""
        if not self._checker.is_possible:
            return True
        if self._evidence.is_cut_off:
            return False
        if self._evidence.reached_at >= since:
            return True
        self._checker.start()
        return False

    def _check_sign(self, now: float) -> None:
        """Check after a sign that may have other causes, ever less often."""
        if now < self._next_sign_at:
            return
        if now - self._next_sign_at > MAX_SIGN_PAUSE_S:
            self._sign_pause_s = FIRST_SIGN_PAUSE_S
        self._next_sign_at = now + self._sign_pause_s
        self._sign_pause_s = min(self._sign_pause_s * 2, MAX_SIGN_PAUSE_S)
        self._checker.start()

    def _update(self) -> None:
        """Tell what was withheld, or discard it."""
        if self._evidence.is_cut_off != self._was_cut_off:
            self._was_cut_off = self._evidence.is_cut_off
            self._change()
        reached_at = self._evidence.reached_at
        while self._withheld and self._withheld[0][0] <= reached_at:
            _, callback = self._withheld.popleft()
            callback()

    def _change(self) -> None:
        is_cut_off = self._was_cut_off
        metrics = self._telemetry.isolation
        metrics.record_state(ContactState.cut_off, is_begun=is_cut_off)
        self._telemetry.log_state_change(
            'endpoints_lost' if is_cut_off else 'endpoints_regained',
            tried=len(self._evidence.unreached),
            withheld=len(self._withheld),
        )
        if is_cut_off:
            metrics.count_dropped(len(self._withheld))
            self._withheld.clear()
        else:
            for discard in self._discards:
                discard()
        for subscriber in self._subscribers:
            subscriber()
