"""Assemble the parts of a relay node, and run it until it is stopped."""

import asyncio
import contextlib
import dataclasses
import signal
import uuid
from collections.abc import AsyncIterator
from typing import Final

from absl import logging

from mastichatch_core.relay.store_cache import StoreCache
from mastichatch_core.relay.model import ClientLimits
from mastichatch_core.units import MS_PER_S
from mastichatch_node.clock import loop_time
from mastichatch_node.peers import Peers, open_peers
from mastichatch_node.relay import crash_store, quarantine_orders, resources
from mastichatch_node.relay.crash_tracking import CrashTracker
from mastichatch_node.relay.adapter import Adapter
from mastichatch_node.relay.http_client import ConnectionPool, open_pool
from mastichatch_node.relay.store_following import (
    NODE_PREFIX,
    StoreFollower,
    NodeRegistry,
    run_in_background,
    keep_registered,
    boottime_clock,
)
from mastichatch_node.relay.http_server import (
    HttpServer,
    IncomingRequest,
    ResponseWriter,
    open_http_server,
)
from mastichatch_node.relay.departure_polling import DeparturePoller
from mastichatch_node.relay.endpoint_notices import NoticeSources, read_notices
from mastichatch_node.relay.context import RetryAllowance, RelayContext
from mastichatch_node.relay.node_record import create_node_record
from mastichatch_node.relay.message_handling import register_handlers
from mastichatch_node.relay.run_migration import RunMigrator
from mastichatch_node.relay.run_stopping import RunStopper
from mastichatch_node.relay.rate_limiting import rate_limited
from mastichatch_node.relay.engine_placement import EnginePlacer
from mastichatch_node.relay.relay import Relay
from mastichatch_node.relay.remote_sharing import RemoteReviewer
from mastichatch_node.relay.rollouts import assembly, keeper as rollouts
from mastichatch_node.relay.settings import RelaySettings
from mastichatch_node.relay.standby_copying import StandbyCopier
from mastichatch_node.relay.run_broadcast import RunBroadcaster
from mastichatch_node.relay.telemetry import Telemetry

# A handshake takes 1 ms by the users' specification. A lost packet is
# retransmitted after 1 s, which is too late for most requests.
CONNECT_TIMEOUT_S: Final = 0.25
# The load balancer checks readiness once a second, and removes a node after
# two failed checks.
DRAIN_NOTICE_S: Final = 2.5
# Part of the grace time of a stop that is reserved for closing connections.
CLOSE_RESERVE_S: Final = 0.5
DRAIN_POLL_INTERVAL_S: Final = 0.05
MAINTENANCE_INTERVAL_S: Final = 0.25
# Assigning sixty waiting requests to thirty engines takes a few ms on half a
# core, and latency objectives are at least 1.5 s.
PLACEMENT_INTERVAL_S: Final = 0.05
# Runs leave a departing engine one after another, at least 0.2 s apart.
DEPARTURE_NOTIFY_INTERVAL_S: Final = 0.01
IDLE_CONNECTION_LIMIT_S: Final = 10.0
# Share of the common retry allowance that is used. The rest covers nodes that
# do not know of each other.
RETRY_ALLOWANCE_SHARE: Final = 0.7
# Share of ``key_limit_ms`` up to which an outdated view of the API keys is
# used.
KEY_AGE_SHARE: Final = 0.9


class RelayNode:
    """A running relay node."""

    def __init__(
        self,
        components: '_Components',
        context: RelayContext,
        relay: Relay,
    ) -> None:
        """Create the HTTP servers of the node.

        :param components: settings and shared state of the node
        :param context: shared components of the node
        :param relay: handler of callers' requests
        """
        settings = components.settings
        budget = components.shared.budget
        self._orders = components.orders
        self._settings = settings
        self._context = context
        self._relay = relay
        body_timeout_s = settings.body_timeout_ms / MS_PER_S
        self._caller_server = HttpServer(
            relay.handle, self._limits, body_timeout_s, budget
        )
        self._admin_server = HttpServer(
            self._answer_admin, ClientLimits, body_timeout_s, budget
        )

    @property
    def belief(self) -> StoreCache:
        """Local copy of the platform's store."""
        return self._context.belief

    @property
    def relay(self) -> Relay:
        """Handler of callers' requests, with the generations in progress."""
        return self._relay

    @property
    def broadcaster(self) -> RunBroadcaster:
        """Exchange of runs with the other nodes."""
        return self._context.sharing

    @property
    def rollouts(self) -> rollouts.RolloutKeeper:
        """Roll-outs of versions, as this node knows them."""
        return self._context.rollouts

    @property
    def caller_server(self) -> HttpServer:
        """HTTP server for callers."""
        return self._caller_server

    @property
    def admin_server(self) -> HttpServer:
        """HTTP server for readiness checks and metrics."""
        return self._admin_server

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should send connections to this node."""
        cache = self._context.belief
        if self._caller_server.is_draining or cache.configuration is None:
            return False
        age_ms = cache.age(boottime_clock()) * MS_PER_S
        return age_ms < self._settings.key_limit_ms * KEY_AGE_SHARE

    def set_draining(self) -> None:
        """Begin to drain the node for a planned stop."""
        self._caller_server.set_draining()
        grace_s = self._settings.grace_ms / MS_PER_S
        self._relay.begin_draining(
            notice_ends_at=loop_time() + DRAIN_NOTICE_S,
            stops_at=loop_time() + grace_s - CLOSE_RESERVE_S,
        )

    def _limits(self) -> ClientLimits:
        configuration = self._context.belief.configuration
        return ClientLimits() if configuration is None else configuration.limits

    async def _answer_admin(
        self, request: IncomingRequest, reply: ResponseWriter
    ) -> None:
        if request.path == '/metrics':
            self._context.telemetry.update_active(
                self._caller_server.active_requests
            )
            headers = ((b'Content-Type', b'text/plain; version=0.0.4'),)
            await reply.send(200, headers, self._context.telemetry.text())
            return
        if request.path == quarantine_orders.QUARANTINE_PATH:
            await self._orders.answer(request, reply)
            return
        status = 200 if self.is_ready else 503
        await reply.send(status, (), b'')


async def run_relay(
    settings: RelaySettings, adapter: Adapter, telemetry: Telemetry
) -> None:
    """Run a node until it receives SIGTERM or SIGINT, and then drain it.

    :param settings: settings of the node
    :param adapter: implementation of the platform's protocols
    :param telemetry: log and metrics of the node
    """
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, _log_ignored_reload)
    async with open_node(settings, adapter, telemetry) as node:
        telemetry.log_state_change('started', address=settings.callers_address)
        await stop_requested.wait()
        stopped_at = loop_time()
        node.set_draining()
        telemetry.log_state_change(
            'stopping', requests=node.caller_server.active_requests
        )
        await _drain(
            node.caller_server, stopped_at, settings.grace_ms / MS_PER_S
        )
        telemetry.log_state_change(
            'stopped', requests=node.caller_server.active_requests
        )


def _log_ignored_reload() -> None:
    logging.info('SIGHUP ignored: settings are read only at startup')


async def _drain(server: HttpServer, stopped_at: float, grace_s: float) -> None:
    """Wait until requests have ended, or until the grace time is almost over.

    New requests are still served, because the load balancer notices the stop
    with a delay.
    """
    while True:
        elapsed = loop_time() - stopped_at
        if elapsed >= grace_s - CLOSE_RESERVE_S:
            return
        if elapsed >= DRAIN_NOTICE_S and not server.active_requests:
            return
        await asyncio.sleep(DRAIN_POLL_INTERVAL_S)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Components:
    """Components of a node that exist before its ``RelayContext``."""

    settings: RelaySettings
    adapter: Adapter
    telemetry: Telemetry
    cache: StoreCache
    peers: Peers
    registry: NodeRegistry
    broadcaster: RunBroadcaster
    crashes: CrashTracker
    shared: resources.Resources
    orders: quarantine_orders.QuarantineOrders
    rollouts: rollouts.RolloutKeeper


@contextlib.asynccontextmanager
async def open_node(
    settings: RelaySettings, adapter: Adapter, telemetry: Telemetry
) -> AsyncIterator[RelayNode]:
    """Run a node until the end of the block.

    :param settings: settings of the node
    :param adapter: implementation of the platform's protocols
    :param telemetry: log and metrics of the node
    """
    shared = resources.create_resources(settings.memory_mb, telemetry)
    async with open_peers(
        settings.peers_address, uuid.uuid4().hex, '', shared.budget
    ) as peers:
        components = _create_components(
            settings, adapter, telemetry, peers, shared
        )
        with open_pool(CONNECT_TIMEOUT_S, shared) as pool:
            context = _create_context(components, pool)
            placer = EnginePlacer(context)
            relay = _create_relay(settings, context, placer)
            migrator = RunMigrator(context, placer, relay)
            _attach_evidence(components, context, placer, relay)
            node = RelayNode(components, context, relay)
            async with contextlib.AsyncExitStack() as stack:
                stack.callback(context.stopper.close)
                stack.callback(context.turns.close)
                stack.callback(migrator.close)
                await stack.enter_async_context(
                    _run_updates(components, context, placer, migrator, relay)
                )
                await stack.enter_async_context(_listen(settings, node))
                yield node


def _create_components(
    settings: RelaySettings,
    adapter: Adapter,
    telemetry: Telemetry,
    peers: Peers,
    shared: resources.Resources,
) -> _Components:
    registry = NodeRegistry(
        settings.name, settings.data_centre, settings.link_mbps
    )
    cache = StoreCache(adapter.decoders)
    broadcaster = RunBroadcaster(
        peers, registry, lambda: cache.revision, lambda: cache.era
    )
    crashes = CrashTracker(cache, broadcaster, telemetry, shared)
    return _Components(
        settings=settings,
        adapter=adapter,
        telemetry=telemetry,
        cache=cache,
        peers=peers,
        registry=registry,
        broadcaster=broadcaster,
        crashes=crashes,
        shared=shared,
        orders=quarantine_orders.QuarantineOrders(crashes),
        rollouts=assembly.create_keeper(settings, cache, telemetry, registry),
    )


def _create_context(
    components: _Components, pool: ConnectionPool
) -> RelayContext:
    notices = read_notices(
        NoticeSources(
            cache=components.cache,
            registry=components.registry,
            broadcaster=components.broadcaster,
            peers=components.peers,
            telemetry=components.telemetry,
        ),
        pool,
        components.adapter.open_dialect(pool),
    )
    dialect = notices.dialect
    percent = int(components.settings.retry_percent * RETRY_ALLOWANCE_SHARE)
    return RelayContext(
        node=components.settings.name,
        data_centre=components.settings.data_centre,
        belief=components.cache,
        sharing=components.broadcaster,
        records=notices.records,
        turns=notices.turns,
        retries=RetryAllowance(percent, burst=0),
        pool=pool,
        dialect=dialect,
        telemetry=components.telemetry,
        crashes=components.crashes,
        stopper=RunStopper(dialect, components.telemetry, pool),
        rollouts=components.rollouts,
        controls=components.settings.load_controls,
    )


def _create_relay(
    settings: RelaySettings, context: RelayContext, placer: EnginePlacer
) -> Relay:
    return Relay(
        context,
        placer,
        settings.key_limit_ms * KEY_AGE_SHARE / MS_PER_S,
        settings.denial_limit_ms / MS_PER_S,
    )


@contextlib.asynccontextmanager
async def _run_updates(
    components: _Components,
    context: RelayContext,
    placer: EnginePlacer,
    migrator: RunMigrator,
    relay: Relay,
) -> AsyncIterator[None]:
    """Follow the store and other nodes, and update the components."""
    cache, registry = components.cache, components.registry

    def update_components(changed: tuple[str, ...]) -> None:
        registry.update(cache)
        components.rollouts.read_changes(changed, components.adapter.decoders)
        # A node reads the store through a neighbour once it has heard it.
        components.broadcaster.greet(registry.take_newcomers())
        nodes = 1 + len(registry.addresses)
        allowance = components.settings.retry_burst * RETRY_ALLOWANCE_SHARE
        context.retries.set_burst(allowance / nodes)
        _forget_former_endpoints(context)
        crash_store.read_evidence(
            components.crashes, cache, components.adapter.decoders.on_malformed
        )
        placer.reconcile()
        migrator.reconcile()

    with open_pool(CONNECT_TIMEOUT_S, components.shared) as pool:
        store = components.adapter.open_store(
            components.settings.store_address, pool
        )
        components.orders.attach_store(store)
        follower = StoreFollower(
            store,
            cache,
            components.peers,
            registry,
            lambda: components.broadcaster.table.heard(loop_time()),
            components.telemetry,
        )
        follower.subscribe(update_components)
        for react, interval_s in (
            (placer.reconcile, PLACEMENT_INTERVAL_S),
            (migrator.notify_waiting, DEPARTURE_NOTIFY_INTERVAL_S),
        ):
            components.broadcaster.subscribe(rate_limited(react, interval_s))
        reviewer = RemoteReviewer(context, registry, components.settings)
        departures = DeparturePoller(context, follower, relay, migrator)
        context.pool.observe_heads(departures.read_answer)
        register_handlers(
            components.peers,
            components.broadcaster,
            follower,
            (
                departures.handle_changes,
                placer.handle_changes,
                components.crashes.handle_changes,
                context.turns.limits.handle_changes,
            ),
        )
        async with run_in_background(
            follower.follow,
            follower.poll_other_nodes,
            lambda: keep_registered(
                store,
                NODE_PREFIX + components.settings.name,
                create_node_record(components.settings, components.peers),
                follower,
            ),
            components.broadcaster.broadcast_periodically,
            departures.poll_periodically,
            reviewer.review_periodically,
            lambda: _maintain_periodically(context.pool, placer, migrator),
            StandbyCopier(context, placer, relay).review_periodically,
            lambda: crash_store.write_evidence(components.crashes, store),
            lambda: crash_store.write_lost_entries(
                store,
                cache,
                follower.eras,
                crash_store.create_rank(
                    components.broadcaster, components.settings.name
                ),
            ),
            components.telemetry.watch_event_loop,
            *assembly.create_workers(components, store, follower),
        ):
            yield


def _forget_former_endpoints(context: RelayContext) -> None:
    known = context.belief.endpoints(loop_time())
    context.records.keep_only(known)
    context.turns.keep_only(known)
    context.sharing.outcomes.keep_only(known)
    context.stopper.gate.keep_only(known)
    signs = context.pool.signs
    by_start = sorted(known.values(), key=lambda one: one.started_ms)
    signs.record_processes({one.address: one.instance for one in by_start})
    signs.keep_only({one.address for one in by_start})


def _attach_evidence(
    components: _Components,
    context: RelayContext,
    placer: EnginePlacer,
    relay: Relay,
) -> None:
    """Apply new evidence on crashes, and turns, to queued requests and runs."""
    crashes = components.crashes
    components.broadcaster.attach_evidence(
        crashes.current_evidence, lambda: context.turns.limits.current
    )
    context.turns.subscribe(placer.reconcile)
    for react in (placer.reconcile, relay.withdraw_quarantined):
        crashes.subscribe(react)


@contextlib.asynccontextmanager
async def _listen(
    settings: RelaySettings, node: RelayNode
) -> AsyncIterator[None]:
    """Accept connections of callers, of the load balancer and for metrics."""
    async with (
        open_http_server(node.caller_server, settings.callers_address),
        open_http_server(node.admin_server, settings.ready_address),
        open_http_server(node.admin_server, settings.metrics_address),
    ):
        yield


async def _maintain_periodically(
    pool: ConnectionPool, placer: EnginePlacer, migrator: RunMigrator
) -> None:
    """Close idle connections, and review runs in case of missed events."""
    while True:
        await asyncio.sleep(MAINTENANCE_INTERVAL_S)
        pool.close_idle(IDLE_CONNECTION_LIMIT_S)
        pool.signs.review_former(loop_time())
        placer.reconcile()
        migrator.reconcile()
