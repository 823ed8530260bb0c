"""Keeps track of the endpoints that say that they are brittle."""

import math
from collections.abc import Callable, Collection

from mastichatch_core.generated.messages import EndpointLimit, RunChanges
from mastichatch_core.relay.brittle_services import BrittleServices
from mastichatch_core.relay.model import Endpoint
from mastichatch_core.relay.store_cache import StoreCache
from mastichatch_node.clock import loop_time
from mastichatch_node.relay.dialect import Dialect
from mastichatch_node.relay.http_client import ConnectionPool
from mastichatch_node.relay.run_broadcast import RunBroadcaster
from mastichatch_node.relay.telemetry import Telemetry
from mastichatch_node.relay.value_tracking import ValueTracker


class BrittleTracker(ValueTracker):
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
        # The rate of a limit stands for rejections a second.
        super().__init__(cache, sharing, telemetry)
        self._services = BrittleServices()
        self._subscribers: list[Callable[[], None]] = []

    def attach(self, pool: ConnectionPool, dialect: Dialect) -> None:
        """Read the answers of endpoints.

        :param pool: connections to endpoints
        :param dialect: decodes the answers
        """

        def announce(brittle: EndpointLimit) -> None:
            self._sharing.announce_outcomes(brittle=(brittle,))

        self._read_answers(pool, dialect.read_brittle, announce)

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

    def _record_change(self, known: EndpointLimit, teller: str) -> None:
        self._telemetry.log_state_change(
            'endpoint_brittle_changed',
            instance=known.instance,
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
