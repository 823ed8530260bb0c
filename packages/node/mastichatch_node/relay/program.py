"""Assemble the parts of a relay node, and run it until it is stopped."""

import asyncio
import contextlib
import dataclasses
import uuid
from collections.abc import AsyncIterator, Iterator
from typing import Final

from mastichatch_core.relay.store_cache import StoreCache
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
)
from mastichatch_node.relay.departure_polling import DeparturePoller
from mastichatch_node.relay.endpoint_notices import NoticeSources, read_notices
from mastichatch_node.relay.context import RetryAllowance, RelayContext
from mastichatch_node.relay.node_record import create_node_record
from mastichatch_node.relay.message_handling import register_handlers
from mastichatch_node.relay.proxy_peers import ProxyPeers
from mastichatch_node.relay.proxying import (
    IDLE_LIMIT_S as PROXY_IDLE_LIMIT_S,
    PeerProxy,
)
from mastichatch_node.relay.run_migration import RunMigrator
from mastichatch_node.relay.run_stopping import RunStopper
from mastichatch_node.relay.rate_limiting import rate_limited
from mastichatch_node.relay.engine_placement import EnginePlacer
from mastichatch_node.relay.relay import Relay
from mastichatch_node.relay.relay_node import (
    KEY_AGE_SHARE,
    RelayNode,
    listen,
)
from mastichatch_node.relay.remote_sharing import RemoteReviewer
from mastichatch_node.relay.rollouts import assembly, keeper as rollouts
from mastichatch_node.relay.settings import RelaySettings
from mastichatch_node.relay.standby_copying import StandbyCopier
from mastichatch_node.relay.run_broadcast import RunBroadcaster
from mastichatch_node.relay.telemetry import Telemetry

# A handshake takes 1 ms by the users' specification. A lost packet is
# retransmitted after 1 s, which is too late for most requests.
CONNECT_TIMEOUT_S: Final = 0.25
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
    proxy_token: str


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
        with _open_pools(shared) as pools:
            context = _create_context(components, *pools)
            placer = EnginePlacer(context)
            relay = _create_relay(components, context, placer)
            migrator = RunMigrator(context, placer, relay)
            _attach_evidence(components, context, placer, relay)
            node = RelayNode(
                settings,
                components.orders,
                relay,
                components.registry,
                components.proxy_token,
            )
            async with contextlib.AsyncExitStack() as stack:
                stack.callback(context.stopper.close)
                stack.callback(context.turns.close)
                stack.callback(context.isolation.contact.checker.close)
                stack.callback(migrator.close)
                stack.callback(relay.close)
                await stack.enter_async_context(
                    _run_updates(components, context, placer, migrator, relay)
                )
                await stack.enter_async_context(listen(settings, node))
                yield node


@contextlib.contextmanager
def _open_pools(
    shared: resources.Resources,
) -> Iterator[tuple[ConnectionPool, ConnectionPool]]:
    """Provide the pools of connections to endpoints and to other nodes."""
    with (
        open_pool(CONNECT_TIMEOUT_S, shared) as pool,
        open_pool(CONNECT_TIMEOUT_S, shared) as proxy_pool,
    ):
        yield pool, proxy_pool


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
        proxy_token=uuid.uuid4().hex,
    )


def _create_context(
    components: _Components, pool: ConnectionPool, proxy_pool: ConnectionPool
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
        slots=notices.slots,
        retries=RetryAllowance(percent, burst=0),
        pool=pool,
        dialect=dialect,
        telemetry=components.telemetry,
        crashes=components.crashes,
        stopper=RunStopper(dialect, components.telemetry, pool),
        rollouts=components.rollouts,
        isolation=notices.isolation,
        proxy_peers=ProxyPeers(
            components.registry,
            notices.isolation,
            components.broadcaster.table,
        ),
        proxy_pool=proxy_pool,
        controls=components.settings.load_controls,
    )


def _create_relay(
    components: _Components, context: RelayContext, placer: EnginePlacer
) -> Relay:
    settings = components.settings
    return Relay(
        context,
        placer,
        settings.key_limit_ms * KEY_AGE_SHARE / MS_PER_S,
        settings.denial_limit_ms / MS_PER_S,
        PeerProxy(context, components.proxy_token),
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
                context.isolation.handle_changes,
                departures.handle_changes,
                placer.handle_changes,
                components.crashes.handle_changes,
                context.turns.limits.handle_changes,
                context.slots.brittle.handle_changes,
            ),
        )
        async with run_in_background(
            follower.follow,
            follower.poll_other_nodes,
            lambda: keep_registered(
                store,
                NODE_PREFIX + components.settings.name,
                create_node_record(
                    components.settings,
                    components.peers,
                    components.proxy_token,
                ),
                follower,
            ),
            components.broadcaster.broadcast_periodically,
            departures.poll_periodically,
            reviewer.review_periodically,
            lambda: _maintain_periodically(context, placer, migrator),
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
            context.isolation.contact.review_periodically,
            *assembly.create_workers(components, store, follower),
        ):
            yield


def _forget_former_endpoints(context: RelayContext) -> None:
    known = context.belief.endpoints(loop_time())
    context.records.keep_only(known)
    context.turns.keep_only(known)
    context.slots.keep_only(known)
    context.sharing.outcomes.keep_only(known)
    context.stopper.gate.keep_only(known)
    signs = context.pool.signs
    by_start = sorted(known.values(), key=lambda one: one.started_ms)
    signs.record_processes({one.address: one.instance for one in by_start})
    signs.keep_only({one.address for one in by_start})
    context.isolation.contact.checker.replace_endpoints(
        known.values(), context.data_centre
    )


def _attach_evidence(
    components: _Components,
    context: RelayContext,
    placer: EnginePlacer,
    relay: Relay,
) -> None:
    """Apply new evidence on crashes, and turns, to queued requests and runs."""
    crashes = components.crashes
    components.broadcaster.attach_evidence(
        crashes.current_evidence,
        lambda: context.turns.limits.current,
        context.isolation.contact,
        lambda: context.slots.brittle.current,
    )
    context.isolation.contact.discard_with(
        lambda: context.stopper.gate.keep_only(())
    )
    context.rollouts.observer.attach_contact(
        lambda: context.isolation.contact.is_cut_off
    )
    context.turns.subscribe(placer.reconcile)
    for notice in (placer.reconcile, relay.watch_isolation):
        context.isolation.subscribe(notice)
    for react in (placer.reconcile, relay.withdraw_quarantined):
        crashes.subscribe(react)


async def _maintain_periodically(
    context: RelayContext, placer: EnginePlacer, migrator: RunMigrator
) -> None:
    """Close idle connections, and review runs in case of missed events."""
    while True:
        await asyncio.sleep(MAINTENANCE_INTERVAL_S)
        context.pool.close_idle(IDLE_CONNECTION_LIMIT_S)
        context.proxy_pool.close_idle(PROXY_IDLE_LIMIT_S)
        context.pool.signs.review_former(loop_time())
        placer.reconcile()
        migrator.reconcile()
