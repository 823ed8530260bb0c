"""Keeps track of a value that endpoints name in their answers.

Nodes tell each other of it, and what was named last is in force.
"""

from collections.abc import Callable

from mastichatch_core.generated.messages import EndpointLimit
from mastichatch_core.relay.server_limits import (
    LimitNotice,
    LimitTable,
    ToldLimit,
)
from mastichatch_core.relay.store_cache import StoreCache, endpoint_at
from mastichatch_core.units import MS_PER_S
from mastichatch_node.clock import loop_time
from mastichatch_node.relay.http_client import ConnectionPool, ResponseHead
from mastichatch_node.relay.run_broadcast import RunBroadcaster
from mastichatch_node.relay.telemetry import Telemetry


class ValueTracker:
    """The values of endpoints, as answers and other nodes tell them."""

    def __init__(
        self,
        cache: StoreCache,
        sharing: RunBroadcaster,
        telemetry: Telemetry,
    ) -> None:
        """Start without values.

        :param cache: cached entries of the store
        :param sharing: tells other nodes of values
        :param telemetry: log and metrics of the node
        """
        self._cache = cache
        self._sharing = sharing
        self._telemetry = telemetry
        self._table = LimitTable()

    @property
    def current(self) -> tuple[EndpointLimit, ...]:
        """What is known of all values, for other nodes."""
        return tuple(map(_encode, self._table.all_told(loop_time())))

    @property
    def telemetry(self) -> Telemetry:
        """Log and metrics of the node."""
        return self._telemetry

    def tell(self, instance: str) -> EndpointLimit:
        """Return what is known of an endpoint's value, for other nodes.

        :param instance: instance id of the endpoint
        """
        told = self._table.find_told(instance, loop_time())
        if told is None:
            return EndpointLimit(instance=instance)
        return _encode(told)

    def record_told(self, named: EndpointLimit, teller: str) -> None:
        """Record what another node knows of an endpoint's value.

        :param named: what it knows
        :param teller: name or address of the node
        """
        told = ToldLimit(
            instance=named.instance,
            per_s=named.per_s,
            age_s=named.age_ms / MS_PER_S,
        )
        if self._table.record_told(told, loop_time()):
            self._record_change(self.tell(named.instance), teller)

    def _read_answers(
        self,
        pool: ConnectionPool,
        read: Callable[[ResponseHead], LimitNotice | None],
        announce: Callable[[EndpointLimit], None],
    ) -> None:
        """Record what the answers of endpoints say.

        :param pool: connections to endpoints
        :param read: returns what an answer says of the value
        :param announce: tells other nodes of a change
        """

        def read_answer(address: str, head: ResponseHead) -> None:
            notice = read(head)
            names_none = notice is None or notice.per_s is None
            if names_none and self._table.is_empty:
                return
            now = loop_time()
            endpoint = endpoint_at(self._cache, address, now)
            if endpoint is None:
                return
            instance = endpoint.instance
            if self._table.record_answer(instance, notice, head.sent_at, now):
                self._record_change(self.tell(instance), 'its answer')
                announce(self.tell(instance))

        pool.observe_heads(read_answer)

    def _record_change(self, known: EndpointLimit, teller: str) -> None:
        """Act on a value that has changed."""
        raise NotImplementedError


def _encode(told: ToldLimit) -> EndpointLimit:
    return EndpointLimit(
        instance=told.instance,
        per_s=told.per_s,
        age_ms=told.age_s * MS_PER_S,
    )
