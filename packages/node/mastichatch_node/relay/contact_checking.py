"""Checks whether this node reaches endpoints, by connections without requests.

A connection may occupy a slot of an endpoint for a moment, so that a check
opens few of them, and stops at the first that is accepted.
"""

import asyncio
import math
import random
from collections.abc import Callable, Iterable
from typing import Final

from mastichatch_core.relay.isolation import CheckedEndpoints, ContactEvidence
from mastichatch_core.relay.model import Endpoint
from mastichatch_node.clock import loop_time
from mastichatch_node.relay.http_client import ConnectionPool, ExchangeError
from mastichatch_node.relay.isolation_metrics import IsolationMetrics

# Connections of one round, and the time between them unless one has failed.
CHECKED_ENDPOINTS: Final = 4
STAGGER_S: Final = 0.03
# Pauses between rounds.
FIRST_PAUSE_S: Final = 0.05
MAX_PAUSE_S: Final = 0.4
# Shortest time between two checks.
CHECK_INTERVAL_S: Final = 0.1


class ContactChecker:
    """Connects to endpoints until one accepts; one check runs at a time."""

    def __init__(
        self,
        pool: ConnectionPool,
        evidence: ContactEvidence,
        metrics: IsolationMetrics,
        on_result: Callable[[], None],
    ) -> None:
        """Start without a check.

        :param pool: connections to endpoints
        :param evidence: what they tell
        :param metrics: counts the checks
        :param on_result: called after each failed round, and at the end
        """
        self._pool = pool
        self._evidence = evidence
        self._metrics = metrics
        self._on_result = on_result
        self._endpoints = CheckedEndpoints()
        self._task: asyncio.Task[None] | None = None
        self._began_at = -math.inf

    @property
    def is_possible(self) -> bool:
        """Whether one endpoint can be told from all of them."""
        return self._endpoints.count > 1

    @property
    def is_running(self) -> bool:
        """Whether a check is in progress."""
        return self._task is not None

    def replace_endpoints(
        self, endpoints: Iterable[Endpoint], data_centre: str
    ) -> None:
        """Replace the endpoints that checks connect to.

        :param endpoints: all registered endpoints
        :param data_centre: data centre of this node
        """
        self._endpoints = CheckedEndpoints(endpoints, data_centre)

    def knows(self, service: str) -> bool:
        """Return whether a service has endpoints.

        :param service: name of the service
        """
        return service in self._endpoints.services

    def start(self) -> None:
        """Begin a check, unless one is in progress."""
        if self._task is None and self.is_possible:
            self._task = asyncio.ensure_future(self._run())
            self._task.add_done_callback(self._finish)

    def close(self) -> None:
        """End a check in progress."""
        if self._task is not None:
            self._task.cancel()

    def _finish(self, task: 'asyncio.Task[None]') -> None:
        self._task = None
        if not task.cancelled():
            task.result()
            self._on_result()

    async def _run(self) -> None:
        started_at = loop_time()
        await asyncio.sleep(self._began_at + CHECK_INTERVAL_S - started_at)
        if self._evidence.reached_at >= started_at:
            return
        self._began_at = loop_time()
        await self._connect_to_any()
        self._metrics.count_check(
            is_reached=self._evidence.reached_at >= started_at
        )
        pause_s = FIRST_PAUSE_S
        while not self._has_reached(started_at) and self.is_possible:
            if not self._evidence.is_returning:
                self._evidence.record_failed_check(self._endpoints)
                self._on_result()
                await asyncio.sleep(pause_s)
                pause_s = min(pause_s * 2, MAX_PAUSE_S)
            await self._connect_to_any()

    def _has_reached(self, since: float) -> bool:
        """Return whether endpoints are reached since a time."""
        evidence = self._evidence
        return evidence.reached_at >= since and not evidence.is_cut_off

    async def _connect_to_any(self) -> None:
        """Connect to endpoints at short intervals until one accepts.

        While the node is cut off, it tries one.
        """
        evidence = self._evidence
        addresses = self._endpoints.choose(
            () if evidence.is_cut_off else evidence.unreached,
            random.random(),  # noqa: S311
            CHECKED_ENDPOINTS,
        )
        if evidence.is_cut_off:
            addresses = (random.choice(addresses),)  # noqa: S311
        attempts: set[asyncio.Task[bool]] = set()
        try:
            for address in addresses:
                attempts.add(asyncio.ensure_future(self._connect(address)))
                if await _has_succeeded(attempts, STAGGER_S):
                    return
            while attempts:
                if await _has_succeeded(attempts, None):
                    return
        finally:
            for attempt in attempts:
                attempt.cancel()

    async def _connect(self, address: str) -> bool:
        """Return whether an endpoint accepts a connection."""
        try:
            connection = await self._pool.take(address, 0)
        except ExchangeError:
            return False
        self._pool.release(connection)
        return True


async def _has_succeeded(
    attempts: set['asyncio.Task[bool]'], timeout_s: float | None
) -> bool:
    """Wait for the first attempt to end, and remove those that have.

    :param attempts: attempts in progress
    :param timeout_s: longest time to wait, in seconds; ``None`` for no limit
    :returns: whether one has succeeded
    """
    done, _ = await asyncio.wait(
        attempts, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
    )
    attempts -= done
    return any(attempt.result() for attempt in done)
