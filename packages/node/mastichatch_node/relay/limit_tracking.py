"""Keeps track of the limits that endpoints name in their answers."""

import dataclasses
from collections.abc import Callable, Collection

from mastichatch_core.generated.messages import EndpointLimit, RunChanges
from mastichatch_core.relay.model import Endpoint
from mastichatch_core.relay.store_cache import StoreCache, endpoint_at
from mastichatch_node.clock import loop_time
from mastichatch_node.relay.dialect import Dialect, MoveOrder, MoveResponse
from mastichatch_node.relay.http_client import ConnectionPool
from mastichatch_node.relay.run_broadcast import RunBroadcaster
from mastichatch_node.relay.telemetry import Telemetry
from mastichatch_node.relay.value_tracking import ValueTracker


class LimitTracker(ValueTracker):
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
        super().__init__(cache, sharing, telemetry)
        self._subscribers: list[Callable[[str], None]] = []

    def attach(self, pool: ConnectionPool, dialect: Dialect) -> Dialect:
        """Read the answers of endpoints.

        :param pool: connections to endpoints
        :param dialect: decodes the answers, and sends control calls
        :returns: a dialect that sends only necessary control calls to
            endpoints with a limit
        """

        def announce(limit: EndpointLimit) -> None:
            self._sharing.announce_outcomes((limit,))

        self._read_answers(pool, dialect.read_limit, announce)
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
        """Return the requests a second that an endpoint may get.

        After a limit has ended, that grows for some time.

        :param endpoint: the endpoint
        :returns: ``None`` without a limit
        """
        if self._table.is_empty:
            return None
        return self._table.rate(endpoint.instance, loop_time())

    def is_limited_at(self, address: str) -> bool:
        """Return whether the endpoint at an address has a limit.

        :param address: IP address and port
        """
        if self._table.is_empty:
            return False
        endpoint = endpoint_at(self._cache, address, loop_time())
        return endpoint is not None and self.limit(endpoint) is not None

    def _record_change(self, known: EndpointLimit, teller: str) -> None:
        self._show_limits()
        self._telemetry.log_state_change(
            'endpoint_limit_changed',
            instance=known.instance,
            limit_per_s=known.per_s,
            age_ms=round(known.age_ms),
            told_by=teller,
        )
        for subscriber in self._subscribers:
            subscriber(known.instance)

    def _show_limits(self) -> None:
        self._telemetry.limits.show_limits(self._table.in_force(loop_time()))


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
