"""Keeps track of the endpoints that say that they are brittle."""

import math
from collections.abc import Callable, Collection

from mastichatch_core.generated.messages import EndpointLimit, RunChanges
from mastichatch_core.relay.brittle_services import BrittleServices
from mastichatch_core.relay.model import Endpoint
from mastichatch_core.relay.server_limits import LimitTable, ToldLimit
from mastichatch_core.relay.store_cache import StoreCache, endpoint_at
from mastichatch_core.units import MS_PER_S
from mastichatch_node.clock import loop_time
from mastichatch_node.relay.dialect import Dialect
from mastichatch_node.relay.http_client import ConnectionPool, ResponseHead
from mastichatch_node.relay.run_broadcast import RunBroadcaster
from mastichatch_node.relay.telemetry import Telemetry


class BrittleTracker:
    """The brittle endpoints, as answers and other nodes tell of them."""

    def __init__(
        self,
        cache: StoreCache,
        sharing: RunBroadcaster,
        telemetry: Telemetry,
    ) -> None:
        """Start without brittle endpoints.

        :param cache: cached entries of the store
        :param sharing: tells other nodes of brittle endpoints
        :param telemetry: log and metrics of the node
        """
        self._cache = cache
        self._sharing = sharing
        self._telemetry = telemetry
        # The rate of a limit stands for rejections a second.
        self._table = LimitTable()
        self._services = BrittleServices()
        self._subscribers: list[Callable[[], None]] = []

    @property
    def current(self) -> tuple[EndpointLimit, ...]:
        """What is known of brittle endpoints, for other nodes."""
        return tuple(map(_encode, self._table.all_told(loop_time())))

    @property
    def telemetry(self) -> Telemetry:
        """Log and metrics of the node."""
        return self._telemetry

    def attach(self, pool: ConnectionPool, dialect: Dialect) -> None:
        """Read the answers of endpoints.

        :param pool: connections to endpoints
        :param dialect: decodes the answers
        """

        def read_answer(address: str, head: ResponseHead) -> None:
            notice = dialect.read_brittle(head)
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
                told = (self.tell(instance),)
                self._sharing.announce_outcomes(brittle=told)

        pool.observe_heads(read_answer)

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Register a callback for endpoints that become brittle, or end that.

        :param callback: called without arguments
        """
        self._subscribers.append(callback)

    def keep_only(self, instances: Collection[str]) -> None:
        """Forget endpoints that no longer exist.

        :param instances: instance ids of the endpoints that exist
        """
        if not self._table.is_empty:
            self._table.keep_only(instances)
            self._update()

    def handle_changes(self, message: RunChanges) -> None:
        """Apply what another node knows of brittle endpoints.

        :param message: message with the endpoints
        """
        for brittle in message.brittle:
            self.record_told(brittle, message.node)

    def is_brittle(self, service: str) -> bool:
        """Return whether an endpoint of a service is brittle, or was lately.

        :param service: name of the service
        """
        return self._services.is_brittle(service, loop_time())

    def rejections(self, endpoint: Endpoint) -> float:
        """Return how many requests an endpoint may reject in a second.

        An endpoint that has not said so is taken to be like the others of its
        service.

        :param endpoint: the endpoint
        """
        now = loop_time()
        named = self._table.limit(endpoint.instance, now)
        if named is not None:
            return named
        return self._services.rejections(endpoint.service, now)

    def tell(self, instance: str) -> EndpointLimit:
        """Return what is known of an endpoint, for other nodes.

        :param instance: instance id of the endpoint
        """
        told = self._table.find_told(instance, loop_time())
        if told is None:
            return EndpointLimit(instance=instance)
        return _encode(told)

    def record_told(self, brittle: EndpointLimit, teller: str) -> None:
        """Record what another node knows of an endpoint.

        :param brittle: what it knows
        :param teller: name or address of the node
        """
        told = ToldLimit(
            instance=brittle.instance,
            per_s=brittle.per_s,
            age_s=brittle.age_ms / MS_PER_S,
        )
        if self._table.record_told(told, loop_time()):
            self._record_change(brittle.instance, teller)

    def _record_change(self, instance: str, teller: str) -> None:
        known = self.tell(instance)
        self._telemetry.log_state_change(
            'endpoint_brittle_changed',
            instance=instance,
            rejections_per_s=known.per_s,
            age_ms=round(known.age_ms),
            told_by=teller,
        )
        self._update()
        for subscriber in self._subscribers:
            subscriber()

    def _update(self) -> None:
        now = loop_time()
        endpoints = self._cache.endpoints(now)
        in_force = self._table.in_force(now)
        named: dict[str, float] = {}
        for instance, rejections in in_force.items():
            endpoint = endpoints.get(instance)
            if endpoint is not None:
                fewest = named.get(endpoint.service, math.inf)
                named[endpoint.service] = min(rejections, fewest)
        ended = {
            endpoint.service
            for told in self._table.all_told(now)
            if told.per_s is None
            and (endpoint := endpoints.get(told.instance)) is not None
        }
        self._services.update(named, ended, now)
        self._telemetry.slots.show_brittle(in_force)


def _encode(told: ToldLimit) -> EndpointLimit:
    return EndpointLimit(
        instance=told.instance,
        per_s=told.per_s,
        age_ms=told.age_s * MS_PER_S,
    )
