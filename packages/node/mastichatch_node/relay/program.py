"""Runs a relay node from its start to its planned stop."""

import asyncio
import contextlib
import dataclasses
import signal
import uuid
from collections.abc import AsyncIterator, Callable
from typing import Final

from absl import logging

from mastichatch_core.generated.messages import (
    Envelope,
    MessageKind,
    RunChanges,
    ViewQuery,
)
from mastichatch_core.generated.records import NodeRecord
from mastichatch_core.relay.store_cache import StoreCache, Decoders
from mastichatch_core.relay.model import ClientLimits
from mastichatch_core.relay.plain_choice import EndpointStatsTable
from mastichatch_core.units import MS_PER_S
from mastichatch_node import codec
from mastichatch_node.clock import loop_time
from mastichatch_node.peers import Peers, open_peers
from mastichatch_node.relay.dialect import Dialect
from mastichatch_node.relay.exchange import ConnectionPool, open_pool
from mastichatch_node.relay.store_following import (
    NODE_PREFIX,
    StoreFollower,
    NodeRegistry,
    Store,
    run_in_background,
    keep_registered,
    boottime_clock,
)
from mastichatch_node.relay.front import Front, Incoming, Reply, open_front
from mastichatch_node.relay.departure_polling import DeparturePoller
from mastichatch_node.relay.context import RetryAllowance, RelayContext
from mastichatch_node.relay.run_migration import RunMigrator
from mastichatch_node.relay.rate_limiting import rate_limited
from mastichatch_node.relay.engine_placement import EnginePlacer
from mastichatch_node.relay.relay import Relay
from mastichatch_node.relay.settings import RelaySettings
from mastichatch_node.relay.run_broadcast import RunBroadcaster
from mastichatch_node.relay.telemetry import Telemetry

# Handshakes take 1 ms by the users' sheets; a lost packet is sent again
# after a second, which is too late for most requests.
CONNECT_TIMEOUT_S: Final = 0.25
# The balancer asks once a second and takes a node out after two misses.
NOTICE_S: Final = 2.5
# Time kept for closing connections at the end of a planned stop.
CLOSING_S: Final = 0.5
DRAIN_POLL_S: Final = 0.05
UPKEEP_INTERVAL_S: Final = 0.25
# Working out whose turn it is among sixty requests that wait for thirty engines
# takes some ms of half a core, and objectives are 1.5 s and more.
PLACING_INTERVAL_S: Final = 0.05
# A run's turn to leave an engine comes every 0.2 s and more.
TURN_INTERVAL_S: Final = 0.01
IDLE_CONNECTION_S: Final = 10.0
# Part of the shared retry allowance that is used; the rest covers nodes that
# are not known to each other.
RETRY_SHARE: Final = 0.7
# Part of the time for which an old view of the keys may be used.
KEY_MARGIN: Final = 0.9
# Lines on malformed entries that a node writes in its life.
MALFORMED_LIMIT: Final = 200


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Adapter:
    """The platform's protocols, as functions.

    :param decoders: how entries of the store are understood
    :param open_store: creates the store's client, given its address
    :param open_dialect: creates the wire's names and calls
    """

    decoders: Decoders
    open_store: Callable[[str, ConnectionPool], Store]
    open_dialect: Callable[[ConnectionPool], Dialect]


class Node:
    """The parts of a relay node."""

    def __init__(
        self, settings: RelaySettings, tools: RelayContext, relay: Relay
    ) -> None:
        """Keep the parts.

        :param settings: settings of the node
        :param tools: what the relay works with
        :param relay: requests in progress
        """
        self._settings = settings
        self._tools = tools
        self._relay = relay
        self._front = Front(relay.handle, self._limits)
        self._admin = Front(self._answer_admin, ClientLimits)

    @property
    def belief(self) -> StoreCache:
        """What is known of the platform's store."""
        return self._tools.belief

    @property
    def front(self) -> Front:
        """Connections of callers."""
        return self._front

    @property
    def admin(self) -> Front:
        """Connections of the balancer and of the metrics' readers."""
        return self._admin

    @property
    def is_ready(self) -> bool:
        """Whether the balancer should send connections here."""
        belief = self._tools.belief
        if self._front.is_draining or belief.configuration is None:
            return False
        age_ms = belief.age(boottime_clock()) * MS_PER_S
        return age_ms < self._settings.key_limit_ms * KEY_MARGIN

    def set_draining(self) -> None:
        """Begin a planned stop."""
        self._front.set_draining()
        self._relay.refuse_after(loop_time() + NOTICE_S)

    def _limits(self) -> ClientLimits:
        configuration = self._tools.belief.configuration
        return ClientLimits() if configuration is None else configuration.limits

    async def _answer_admin(self, request: Incoming, reply: Reply) -> None:
        if request.path == '/metrics':
            self._tools.telemetry.note_active(self._front.active)
            headers = ((b'Content-Type', b'text/plain; version=0.0.4'),)
            await reply.send(200, headers, self._tools.telemetry.text())
            return
        status = 200 if self.is_ready else 503
        await reply.send(status, (), b'')


async def run_relay(
    settings: RelaySettings, adapter: Adapter, telemetry: Telemetry
) -> None:
    """Run a node until it is told to stop, and then until it is drained.

    :param settings: settings of the node
    :param adapter: the platform's protocols
    :param telemetry: decision lines and metrics
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, _note_reload)
    async with open_node(settings, adapter, telemetry) as node:
        telemetry.believe('started', address=settings.callers_address)
        await stop.wait()
        stopped_at = loop_time()
        node.set_draining()
        telemetry.believe('stopping', requests=node.front.active)
        await _drain(node.front, stopped_at, settings.grace_ms / MS_PER_S)
        telemetry.believe('stopped', requests=node.front.active)


def _note_reload() -> None:
    logging.info('settings are read at the start only; nothing was reloaded')


async def _drain(front: Front, stopped_at: float, grace_s: float) -> None:
    """Wait for the requests in progress.

    What arrives meanwhile is served: the balancer learns of the stop late.
    """
    while True:
        elapsed = loop_time() - stopped_at
        if elapsed >= grace_s - CLOSING_S:
            return
        if elapsed >= NOTICE_S and not front.active:
            return
        await asyncio.sleep(DRAIN_POLL_S)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Base:
    """What the other parts of a node stand on."""

    settings: RelaySettings
    adapter: Adapter
    telemetry: Telemetry
    belief: StoreCache
    peers: Peers
    neighbours: NodeRegistry
    sharing: RunBroadcaster


@contextlib.asynccontextmanager
async def open_node(
    settings: RelaySettings, adapter: Adapter, telemetry: Telemetry
) -> AsyncIterator[Node]:
    """Run the parts of a node until the end of the block.

    :param settings: settings of the node
    :param adapter: the platform's protocols
    :param telemetry: decision lines and metrics
    """
    async with open_peers(
        settings.peers_address, uuid.uuid4().hex, ''
    ) as peers:
        neighbours = NodeRegistry(
            settings.name, settings.data_centre, settings.link_mbps
        )
        belief = StoreCache(adapter.decoders)
        base = _Base(
            settings=settings,
            adapter=adapter,
            telemetry=telemetry,
            belief=belief,
            peers=peers,
            neighbours=neighbours,
            sharing=RunBroadcaster(
                settings.name,
                peers,
                lambda: neighbours.addresses,
                lambda: belief.revision,
            ),
        )
        with open_pool(CONNECT_TIMEOUT_S) as pool:
            tools = _create_tools(base, pool)
            placing = EnginePlacer(tools)
            relay = _create_relay(settings, tools, placing)
            moving = RunMigrator(tools, placing, relay)
            node = Node(settings, tools, relay)
            async with _following(base, tools, placing, moving, relay):
                async with _listening(settings, node):
                    yield node
            moving.close()


def _create_tools(base: _Base, pool: ConnectionPool) -> RelayContext:
    percent = int(base.settings.retry_percent * RETRY_SHARE)
    return RelayContext(
        node=base.settings.name,
        data_centre=base.settings.data_centre,
        belief=base.belief,
        sharing=base.sharing,
        records=EndpointStatsTable(),
        retries=RetryAllowance(percent, burst=0),
        pool=pool,
        dialect=base.adapter.open_dialect(pool),
        telemetry=base.telemetry,
    )


def _create_relay(
    settings: RelaySettings, tools: RelayContext, placing: EnginePlacer
) -> Relay:
    return Relay(
        tools,
        placing,
        settings.key_limit_ms * KEY_MARGIN / MS_PER_S,
        settings.denial_limit_ms / MS_PER_S,
    )


@contextlib.asynccontextmanager
async def _following(
    base: _Base,
    tools: RelayContext,
    placing: EnginePlacer,
    moving: RunMigrator,
    relay: Relay,
) -> AsyncIterator[None]:
    """Keep the belief current, and let the other parts act on it."""
    belief, neighbours = base.belief, base.neighbours

    def review(changed: tuple[str, ...]) -> None:
        neighbours.update(belief)
        nodes = 1 + len(neighbours.addresses)
        burst = base.settings.retry_burst * RETRY_SHARE / nodes
        tools.retries.set_burst(burst)
        tools.records.keep_only(belief.endpoints(loop_time()))
        placing.reconcile()
        moving.reconcile()

    with open_pool(CONNECT_TIMEOUT_S) as pool:
        store = base.adapter.open_store(base.settings.store_address, pool)
        follower = StoreFollower(
            store,
            belief,
            base.peers,
            neighbours,
            lambda: base.sharing.table.heard(loop_time()),
            base.telemetry,
        )
        follower.subscribe(review)
        base.sharing.subscribe(
            rate_limited(placing.reconcile, PLACING_INTERVAL_S)
        )
        base.sharing.subscribe(
            rate_limited(moving.notify_waiting, TURN_INTERVAL_S)
        )
        base.peers.on(MessageKind.view_query, ViewQuery, follower.answer_query)

        inquiry = DeparturePoller(tools, follower, relay, moving)

        async def on_changes(message: RunChanges, envelope: Envelope) -> None:
            await base.sharing.handle_changes(message, envelope)
            inquiry.handle_changes(message)
            await follower.handle_changes(message, envelope)

        base.peers.on(MessageKind.run_changes, RunChanges, on_changes)
        async with run_in_background(
            follower.follow(),
            follower.poll_other_nodes(),
            keep_registered(
                store,
                NODE_PREFIX + base.settings.name,
                _own_record(base.settings, base.peers),
            ),
            base.sharing.broadcast_periodically(),
            inquiry.poll_periodically(),
            _keep_up(tools.pool, placing, moving),
        ):
            yield


@contextlib.asynccontextmanager
async def _listening(
    settings: RelaySettings, node: Node
) -> AsyncIterator[None]:
    """Listen to callers, to the balancer and to readers of metrics."""
    async with (
        open_front(node.front, settings.callers_address),
        open_front(node.admin, settings.ready_address),
        open_front(node.admin, settings.metrics_address),
    ):
        yield


def _own_record(settings: RelaySettings, peers: Peers) -> bytes:
    return codec.encode_json(
        NodeRecord(
            name=settings.name,
            incarnation=peers.incarnation,
            data_centre=settings.data_centre,
            peer_address=peers.address,
            http_address=settings.callers_address,
            link_mbps=settings.link_mbps,
        )
    )


async def _keep_up(
    pool: ConnectionPool, placing: EnginePlacer, moving: RunMigrator
) -> None:
    """Look again at what events may have left undone, until cancelled."""
    while True:
        await asyncio.sleep(UPKEEP_INTERVAL_S)
        pool.close_idle(IDLE_CONNECTION_S)
        placing.reconcile()
        moving.reconcile()


def malformed_noter() -> Callable[[str, str], None]:
    """Return what logs malformed entries, each fault of a key once."""
    noted: set[tuple[str, str]] = set()

    def note(key: str, fault: str) -> None:
        if (key, fault) in noted or len(noted) >= MALFORMED_LIMIT:
            return
        noted.add((key, fault))
        logging.warning(
            'a malformed entry of the store is passed over',
            extra={'key': key, 'reason': fault},
        )

    return note
