"""Chooses the endpoint of a plain call by the outcomes of earlier calls.

Load pattern: many times more slots than calls in progress, and endpoints that
are slow, fail some of their calls or do not answer although their health
checks pass. Each node keeps its own statistics, so a call needs no messages
between nodes.
"""

import dataclasses
import math
from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import Final

from mastichatch_core import breaker as breakers
from mastichatch_core.breaker import Breaker
from mastichatch_core.relay.endpoint_outcomes import EndpointVerdict
from mastichatch_core.relay.model import Endpoint
from mastichatch_core.relay.server_pauses import calls_after_pause

# Weight of one call in the moving averages, which cover about five calls.
MEAN_WEIGHT: Final = 0.2
# Half-life of the weight of past outcomes: a recovered endpoint must get calls
# again within 3 s, by the requirements.
HALF_LIFE_S: Final = 3.0
# Round-trip time between two data centres, by the specification of the hosts.
REMOTE_ROUND_TRIP_MS: Final = 1.8
# Assumed duration of a call before any was measured.
DEFAULT_CALL_MS: Final = 20.0
# Cost of a failed call to its caller, in durations of a call.
FAILURE_COST_CALLS: Final = 8.0

_NO_TIMES: Final[Mapping[str, float]] = MappingProxyType({})
_UNKNOWN: Final = EndpointVerdict()


@dataclasses.dataclass(slots=True, kw_only=True)
class EndpointStats:
    """A node's statistics of one endpoint.

    :param running: this node's calls in progress at the endpoint
    :param mean_ms: moving average of the time to its answers, in milliseconds;
        failures do not count
    :param failure_share: moving average of the share of calls that failed
    :param updated_at: time of the last outcome, in seconds
    :param breaker: circuit breaker, which opens after consecutive failures
    :param avoided_until: time until which the endpoint gets no requests, in
        seconds
    :param paused_until: end of the time that the endpoint asked for, in seconds
    """

    running: int = 0
    mean_ms: float = DEFAULT_CALL_MS
    failure_share: float = 0
    updated_at: float = -math.inf
    breaker: Breaker = dataclasses.field(default_factory=Breaker)
    avoided_until: float = -math.inf
    paused_until: float = -math.inf

    def avoid(self, until: float) -> None:
        """Send no requests to the endpoint for a while.

        :param until: end of that time, in seconds
        """
        self.avoided_until = max(self.avoided_until, until)

    def pause(self, until: float) -> None:
        """Leave the endpoint alone, since it asked for time.

        :param until: end of that time, in seconds
        """
        self.paused_until = max(self.paused_until, until)

    def is_paused(self, now: float) -> bool:
        """Return whether the endpoint wants nothing from this node.

        :param now: time in seconds
        """
        return now < self.paused_until

    def is_avoided(self, now: float) -> bool:
        """Return whether the endpoint gets no requests.

        :param now: time in seconds
        """
        return now < self.avoided_until


class EndpointStatsTable:
    """A node's statistics of all endpoints, by instance."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._stats: dict[str, EndpointStats] = {}

    def get(self, instance: str) -> EndpointStats:
        """Return the statistics of an endpoint, and create them if missing.

        :param instance: instance id of the endpoint
        """
        return self._stats.setdefault(instance, EndpointStats())

    def keep_only(self, instances: Iterable[str]) -> None:
        """Remove the statistics of idle endpoints that no longer exist.

        :param instances: instance ids of the endpoints that exist
        """
        kept = set(instances)
        for instance, stats in tuple(self._stats.items()):
            if instance not in kept and not stats.running:
                self._stats.pop(instance)

    def forget_failures(self) -> None:
        """Forget all failures, but not what endpoints asked for."""
        for stats in self._stats.values():
            stats.failure_share = 0
            stats.avoided_until = -math.inf
            stats.breaker = Breaker()

    def accepts(self, instance: str, now: float) -> bool:
        """Return whether the circuit breaker of an endpoint lets a call pass.

        :param instance: instance id of the endpoint
        :param now: time in seconds
        """
        stats = self.get(instance)
        return breakers.allows_request(stats.breaker, stats.running, now)

    def record_answer(
        self, instance: str, duration_ms: float, now: float, *, failed: bool
    ) -> None:
        """Record an answer.

        :param instance: instance id of the endpoint
        :param duration_ms: time from sending the call to its answer, in
            milliseconds
        :param now: time in seconds
        :param failed: whether the answer was a failure of the endpoint
        """
        stats = self.get(instance)
        _decay(stats, now)
        if failed:
            stats.failure_share += MEAN_WEIGHT * (1 - stats.failure_share)
            return
        stats.failure_share *= 1 - MEAN_WEIGHT
        stats.mean_ms += MEAN_WEIGHT * (duration_ms - stats.mean_ms)
        breakers.close_breaker(stats.breaker)

    def record_unanswered(
        self, instance: str, now: float, *, reached: bool
    ) -> None:
        """Record a call that got no answer.

        :param instance: instance id of the endpoint
        :param now: time in seconds
        :param reached: whether a connection was established
        """
        stats = self.get(instance)
        _decay(stats, now)
        stats.failure_share += MEAN_WEIGHT * (1 - stats.failure_share)
        breakers.record_failure(stats.breaker, reached=reached, now=now)


def split_paused(
    endpoints: Iterable[Endpoint], table: EndpointStatsTable, now: float
) -> tuple[tuple[Endpoint, ...], float | None]:
    """Return the endpoints that may be called, and when the next one may.

    :param endpoints: endpoints that accept new requests
    :param table: statistics of the endpoints
    :param now: time in seconds
    :returns: the endpoints that have not asked for time, and the time in
        seconds until the first other one may be called; ``None`` without one
    """
    known = tuple(endpoints)
    paused_until = {
        one.instance: table.get(one.instance).paused_until for one in known
    }
    active = tuple(one for one in known if now >= paused_until[one.instance])
    left_s = [until - now for until in paused_until.values() if until > now]
    return active, min(left_s, default=None)


def rank_endpoints(
    endpoints: Iterable[Endpoint],
    table: EndpointStatsTable,
    data_centre: str,
    now: float,
    remote_ms: Mapping[str, float] = _NO_TIMES,
    verdicts: Mapping[str, EndpointVerdict] | None = None,
    draw: float = 0,
) -> tuple[Endpoint, ...]:
    """Return the endpoints in the order in which to try them.

    Endpoints with an open circuit breaker come last, and so do those that have
    all the calls that they may have after a pause. They are not left out,
    because some endpoint must be tried even if that holds for all. Before them
    come those that seem to fail at other nodes.

    :param endpoints: endpoints that accept new requests
    :param table: statistics of the endpoints
    :param data_centre: data centre that received the call
    :param now: time in seconds
    :param remote_ms: time that a call to another data centre takes longer, in
        milliseconds, by its name
    :param verdicts: what the calls of all nodes tell of endpoints, by instance
    :param draw: random number from zero to one; an endpoint that is suspected
        less is tried as if it were not
    """

    def way_ms(endpoint: Endpoint) -> float:
        if endpoint.data_centre == data_centre:
            return 0
        return remote_ms.get(endpoint.data_centre, REMOTE_ROUND_TRIP_MS)

    def cost(endpoint: Endpoint) -> tuple[bool, bool, float, str]:
        verdict = (verdicts or {}).get(endpoint.instance, _UNKNOWN)
        stats = table.get(endpoint.instance)
        is_allowed = breakers.allows_request(stats.breaker, stats.running, now)
        since_s = now - stats.paused_until
        is_allowed &= stats.running < calls_after_pause(endpoint.slots, since_s)
        return (
            not is_allowed,
            verdict.suspicion > draw,
            _expected_ms(endpoint, stats, verdict, way_ms(endpoint), now),
            endpoint.instance,
        )

    return tuple(sorted(endpoints, key=cost))


def _expected_ms(
    endpoint: Endpoint,
    stats: EndpointStats,
    verdict: EndpointVerdict,
    way_ms: float,
    now: float,
) -> float:
    """Return the expected duration of a call, with the cost of failures.

    The measured mean keeps at least a quarter of its weight, however old it
    is.
    """
    weight = _decay_weight(stats, now)
    usual_ms = DEFAULT_CALL_MS * verdict.slowdown
    mean_ms = usual_ms + (stats.mean_ms - usual_ms) * max(weight, 0.25)
    mean_ms += way_ms
    queue_factor = 1 + stats.running / max(1, endpoint.slots) * 2
    weight *= 1 - verdict.confidence
    failure_factor = 1 + FAILURE_COST_CALLS * stats.failure_share * weight
    return mean_ms * queue_factor * failure_factor


def _decay(stats: EndpointStats, now: float) -> None:
    stats.failure_share *= _decay_weight(stats, now)
    stats.updated_at = now


def _decay_weight(stats: EndpointStats, now: float) -> float:
    """Return the decayed weight of earlier outcomes, from zero to one."""
    return math.pow(0.5, (now - stats.updated_at) / HALF_LIFE_S)
