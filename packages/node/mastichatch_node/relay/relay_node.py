"""A running relay node, and the addresses that it serves."""

import contextlib
import dataclasses
from collections.abc import AsyncIterator
from typing import Final

from mastichatch_core.relay.model import ClientLimits
from mastichatch_core.relay.proxy_hop import PROXY_HEAD_BYTES
from mastichatch_core.relay.store_cache import StoreCache
from mastichatch_core.units import MS_PER_S
from mastichatch_node.clock import loop_time
from mastichatch_node.relay import quarantine_orders
from mastichatch_node.relay.http_server import (
    HttpServer,
    IncomingRequest,
    ResponseWriter,
    open_http_server,
)
from mastichatch_node.relay.proxy_serving import ProxyServer
from mastichatch_node.relay.relay import Relay
from mastichatch_node.relay.rollouts import keeper as rollouts
from mastichatch_node.relay.run_broadcast import RunBroadcaster
from mastichatch_node.relay.settings import RelaySettings
from mastichatch_node.relay.store_following import (
    NodeRegistry,
    boottime_clock,
)

# The load balancer checks readiness once a second, and removes a node after
# two failed checks.
DRAIN_NOTICE_S: Final = 2.5
# Part of the grace time of a stop that is reserved for closing connections.
CLOSE_RESERVE_S: Final = 0.5
# Time for which connections of other nodes stay open at least while they are
# idle, which is longer than other nodes use them.
PROXY_IDLE_TIMEOUT_MS: Final = 5000.0
# Share of ``key_limit_ms`` up to which an outdated view of the API keys is
# used.
KEY_AGE_SHARE: Final = 0.9


class RelayNode:
    """A running relay node."""

    def __init__(
        self,
        settings: RelaySettings,
        orders: quarantine_orders.QuarantineOrders,
        relay: Relay,
        registry: NodeRegistry,
        proxy_token: str,
    ) -> None:
        """Create the HTTP servers of the node.

        :param settings: settings of the node
        :param orders: operators' orders on quarantined prompts
        :param relay: handler of callers' requests
        :param registry: registrations of the other nodes
        :param proxy_token: secret of this process, which its registration names
        """
        context = relay.context
        budget = context.pool.budget
        self._orders = orders
        self._proxy = ProxyServer(
            relay, registry, proxy_token, settings.memory_mb
        )
        self._settings = settings
        self._context = context
        self._relay = relay
        body_timeout_s = settings.body_timeout_ms / MS_PER_S
        self._caller_server = HttpServer(
            relay.handle,
            self._limits,
            body_timeout_s,
            budget,
            stop=context.stop,
        )
        self._admin_server = HttpServer(
            self._answer_admin, ClientLimits, body_timeout_s, budget
        )
        self._proxy_server = HttpServer(
            self._proxy.handle,
            self._proxy_limits,
            body_timeout_s,
            budget,
            self._proxy.check_head,
            context.stop,
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
    def proxy_server(self) -> HttpServer:
        """HTTP server for requests that other nodes pass on."""
        return self._proxy_server

    @property
    def active_requests(self) -> int:
        """Number of requests in progress, of callers and of other nodes."""
        servers = (self._caller_server, self._proxy_server)
        return sum(server.active_requests for server in servers)

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
        self._proxy.set_draining()
        self._proxy_server.set_draining()
        grace_s = self._settings.grace_ms / MS_PER_S
        self._relay.begin_draining(
            notice_ends_at=loop_time() + DRAIN_NOTICE_S,
            closes_at=loop_time() + grace_s - CLOSE_RESERVE_S,
        )

    def _limits(self) -> ClientLimits:
        configuration = self._context.belief.configuration
        return ClientLimits() if configuration is None else configuration.limits

    def _proxy_limits(self) -> ClientLimits:
        limits = self._limits()
        return dataclasses.replace(
            limits,
            header_bytes=limits.header_bytes + PROXY_HEAD_BYTES,
            idle_timeout_ms=max(limits.idle_timeout_ms, PROXY_IDLE_TIMEOUT_MS),
        )

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


@contextlib.asynccontextmanager
async def listen(
    settings: RelaySettings, node: RelayNode
) -> AsyncIterator[None]:
    """Accept connections of callers, other nodes and the load balancer.

    :param settings: settings of the node, with its addresses
    :param node: the node
    """
    listeners = [
        (node.caller_server, settings.callers_address),
        (node.admin_server, settings.ready_address),
        (node.admin_server, settings.metrics_address),
    ]
    if settings.proxy_address:
        listeners.append((node.proxy_server, settings.proxy_address))
    async with contextlib.AsyncExitStack() as stack:
        for server, address in listeners:
            await stack.enter_async_context(open_http_server(server, address))
        yield
