"""Keeps track of the limits that endpoints name in their answers."""

import dataclasses
from collections.abc import Callable, Collection

from mastichatch_core.generated.messages import EndpointLimit, RunChanges
from mastichatch_core.relay.model import Endpoint
from mastichatch_core.relay.server_limits import LimitTable, ToldLimit
from mastichatch_core.relay.store_cache import StoreCache, endpoint_at
from mastichatch_core.units import MS_PER_S
from mastichatch_node.clock import loop_time
from mastichatch_node.relay.dialect import Dialect, MoveOrder, MoveResponse
from mastichatch_node.relay.http_client import ConnectionPool, ResponseHead
from mastichatch_node.relay.run_broadcast import RunBroadcaster
from mastichatch_node.relay.telemetry import Telemetry


class LimitTracker:
    """The limits of endpoints, as answers and other nodes tell them."""

    def __init__(
        self,
        cache: StoreCache,
        sharing: RunBroadcaster,
        telemetry: Telemetry,
    ) -> None:
        """Start without limits.

        :param cache: cached entries of the store
        :param sharing: tells other nodes of limits
        :param telemetry: log and metrics of the node
        """
        self._cache = cache
        self._sharing = sharing
        self._telemetry = telemetry
        self._table = LimitTable()
        self._subscribers: list[Callable[[str], None]] = []

    @property
    def current(self) -> tuple[EndpointLimit, ...]:
        """What is known of all limits, for other nodes."""
        return tuple(map(_encode, self._table.all_told(loop_time())))

    @property
    def telemetry(self) -> Telemetry:
        """Log and metrics of the node."""
        return self._telemetry

    def attach(self, pool: ConnectionPool, dialect: Dialect) -> Dialect:
        """Read the answers of endpoints.

        :param pool: connections to endpoints
        :param dialect: decodes the answers, and sends control calls
        :returns: a dialect that sends only necessary control calls to
            endpoints with a limit
        """

        def read_answer(address: str, head: ResponseHead) -> None:
            notice = dialect.read_limit(head)
            names_none = notice is None or notice.per_s is None
            if names_none and self._table.is_empty:
                return
            now = loop_time()
            endpoint = endpoint_at(self._cache, address, now)
            if endpoint is None:
                return
            instance = endpoint.instance
            if self._table.record_answer(instance, notice, head.sent_at, now):
                self._record_change(instance, 'its answer')
                self._sharing.announce_outcomes((self.tell(instance),))

        pool.observe_heads(read_answer)
        return _without_spare_calls(dialect, self.is_limited_at)

    def subscribe(self, callback: Callable[[str], None]) -> None:
        """Register a callback for limits that change.

        :param callback: called with the instance id of the endpoint
        """
        self._subscribers.append(callback)

    def keep_only(self, instances: Collection[str]) -> None:
        """Forget endpoints that no longer exist.

        :param instances: instance ids of the endpoints that exist
        """
        if not self._table.is_empty:
            self._table.keep_only(instances)
            self._show_limits()

    def handle_changes(self, message: RunChanges) -> None:
        """Apply the limits that another node knows.

        :param message: message with the limits
        """
        for limit in message.limits:
            self.record_told(limit, message.node)

    def limit(self, endpoint: Endpoint) -> float | None:
        """Return the limit of an endpoint, in requests a second.

        :param endpoint: the endpoint
        :returns: ``None`` without one
        """
        if self._table.is_empty:
            return None
        return self._table.limit(endpoint.instance, loop_time())

    def share(self, endpoint: Endpoint) -> float:
        """Return the share of requests that may use an endpoint.

        :param endpoint: the endpoint
        :returns: one, or less for some time after its limit has ended
        """
        if self._table.is_empty:
            return 1
        return self._table.share(endpoint.instance, loop_time())

    def is_limited_at(self, address: str) -> bool:
        """Return whether the endpoint at an address has a limit.

        :param address: IP address and port
        """
        if self._table.is_empty:
            return False
        endpoint = endpoint_at(self._cache, address, loop_time())
        return endpoint is not None and self.limit(endpoint) is not None

    def tell(self, instance: str) -> EndpointLimit:
        """Return what is known of an endpoint's limit, for other nodes.

        :param instance: instance id of the endpoint
        """
        told = self._table.find_told(instance, loop_time())
        if told is None:
            return EndpointLimit(instance=instance)
        return _encode(told)

    def record_told(self, limit: EndpointLimit, teller: str) -> None:
        """Record what another node knows of an endpoint's limit.

        :param limit: what it knows
        :param teller: name or address of the node
        """
        told = ToldLimit(
            instance=limit.instance,
            per_s=limit.per_s,
            age_s=limit.age_ms / MS_PER_S,
        )
        if self._table.record_told(told, loop_time()):
            self._record_change(limit.instance, teller)

    def _record_change(self, instance: str, teller: str) -> None:
        self._show_limits()
        known = self.tell(instance)
        self._telemetry.log_state_change(
            'endpoint_limit_changed',
            instance=instance,
            limit_per_s=known.per_s,
            age_ms=round(known.age_ms),
            told_by=teller,
        )
        for subscriber in self._subscribers:
            subscriber(instance)

    def _show_limits(self) -> None:
        self._telemetry.limits.show_limits(self._table.in_force(loop_time()))


def _encode(told: ToldLimit) -> EndpointLimit:
    return EndpointLimit(
        instance=told.instance,
        per_s=told.per_s,
        age_ms=told.age_s * MS_PER_S,
    )


def _without_spare_calls(
    dialect: Dialect, is_limited: Callable[[str], bool]
) -> Dialect:
    """Return a dialect that sends only necessary calls to limited endpoints.

    An order to stop a run is sent all the same: the run goes on elsewhere.

    :param dialect: sends the calls
    :param is_limited: returns whether the endpoint at an address has a limit
    """

    async def query_departure(address: str) -> bool | None:
        if is_limited(address):
            return None
        return await dialect.query_departure(address)

    async def move_run(order: MoveOrder) -> MoveResponse:
        if not order.is_final and is_limited(order.address):
            return MoveResponse(status=0)
        return await dialect.move_run(order)

    return dataclasses.replace(
        dialect, query_departure=query_departure, move_run=move_run
    )
