"""Judges plain endpoints by the outcomes of all nodes' calls.

Load pattern: ninety nodes send a call to three endpoints less than once a
second each, and one of the endpoints fails half of its calls for some seconds,
although its health checks pass. A node that learns of it by its own calls alone
does so after it has lost some, and forgets it until the next one. Calls that
may run only once are lost at their first failure.

Where calls fail at all endpoints alike, a route or a request is at fault, and
no endpoint gets less for it. All nodes know the same outcomes. A share of the
calls leaves an endpoint that gets less, and not all nodes at once.
"""

import dataclasses
import math
import statistics
from collections.abc import Iterable, Mapping
from typing import Final

from mastichatch_core.generated.messages import EndpointOutcomes

# Time in which the weight of an outcome halves: an endpoint that has recovered
# must get calls again within 3 s, by the requirements.
HALF_LIFE_S: Final = 1.5
# Shares of failures differ by chance. Only a difference beyond this many
# standard deviations is the endpoint's.
DEVIATIONS: Final = 2.0
# Difference of the shares of failures from which on an endpoint gets only calls
# that show whether it has recovered.
CERTAIN_DIFFERENCE: Final = 0.1
MAX_SUSPICION: Final = 0.95
# Time without a failure in which an endpoint is trusted again, and time before
# that begins: by the requirements it must get calls again within 3 s. As more
# calls go there, failures show at once that it has not recovered.
TRUST_S: Final = 2.0
TRUST_DELAY_S: Final = 1.0
# Calls that must be known of an endpoint to compare others with it.
MIN_CALLS: Final = 5.0
# Weight of this node's own outcomes, in calls of all nodes.
OWN_CALLS: Final = 5.0
# Endpoints within this factor of the median duration count as equally fast.
EQUAL_DURATION_FACTOR: Final = 1.4
# Age of successes that are not told any more. Told late, they would hide
# failures.
MAX_UNTOLD_S: Final = 3.0
# Most endpoints whose outcomes are told in one message.
MAX_TOLD: Final = 128


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EndpointVerdict:
    """What the calls of all nodes tell of an endpoint.

    :param suspicion: share of the calls that should go to other endpoints
    :param slowdown: duration of its calls, as a multiple of the median of the
        endpoints, where it is much longer
    :param confidence: weight against a node's own outcomes, from zero to one
    """

    suspicion: float = 0
    slowdown: float = 1
    confidence: float = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class _Counts:
    """Outcomes of calls at one endpoint; earlier ones have less weight.

    :param calls: number of calls
    :param failures: number of those that failed
    :param total_ms: duration of those that did not, in milliseconds
    :param updated_at: time of the last outcome, in seconds
    :param failed_at: time of the last failure, in seconds
    """

    calls: float = 0
    failures: float = 0
    total_ms: float = 0
    updated_at: float = 0
    failed_at: float = -math.inf

    def decay(self, now: float) -> None:
        """Reduce the weight of the outcomes by their age."""
        weight = math.pow(0.5, max(0, now - self.updated_at) / HALF_LIFE_S)
        self.calls *= weight
        self.failures *= weight
        self.total_ms *= weight
        self.updated_at = now

    def add(self, calls: float, failures: float, total_ms: float) -> None:
        """Add outcomes."""
        self.calls += calls
        self.failures += failures
        self.total_ms += total_ms
        if failures:
            self.failed_at = self.updated_at

    def trust(self, now: float) -> float:
        """Return how far failures are forgotten, from zero to one."""
        return min(1, max(0, now - self.failed_at - TRUST_DELAY_S) / TRUST_S)

    def others(self, total: '_Counts') -> '_Counts | None':
        """Return the outcomes at all other endpoints, if enough are known."""
        calls = total.calls - self.calls
        if calls < MIN_CALLS:
            return None
        return _Counts(
            calls=calls, failures=max(0, total.failures - self.failures)
        )

    @property
    def failure_share(self) -> float:
        """Share of calls that failed, between zero and one."""
        return (self.failures + 1 / 2) / (self.calls + 1)

    @property
    def variance(self) -> float:
        """Variance of the share of failures."""
        share = self.failure_share
        return share * (1 - share) / (self.calls + 1)

    @property
    def mean_ms(self) -> float | None:
        """Mean duration of calls that did not fail, if enough are known."""
        answered = self.calls - self.failures
        return self.total_ms / answered if answered >= MIN_CALLS else None


class FleetOutcomes:
    """Outcomes of the calls of all nodes at plain endpoints, by instance."""

    def __init__(self) -> None:
        """Start without outcomes."""
        self._counts: dict[str, _Counts] = {}
        self._untold: dict[str, _Counts] = {}
        self._untold_since = -math.inf
        self._has_untold_failures = False

    @property
    def has_untold_failures(self) -> bool:
        """Whether a call failed of which other nodes do not know."""
        return self._has_untold_failures

    def record(
        self, instance: str, duration_ms: float, now: float, *, failed: bool
    ) -> None:
        """Record the outcome of a call of this node.

        :param instance: instance id of the endpoint
        :param duration_ms: duration of the call, in milliseconds
        :param now: time in seconds
        :param failed: whether the endpoint failed
        """
        if not self._has_untold_failures:
            if now - self._untold_since > MAX_UNTOLD_S:
                self._untold.clear()
            if not self._untold:
                self._untold_since = now
        self._has_untold_failures |= failed
        counts = self._decayed(instance, now)
        untold = self._untold.setdefault(instance, _Counts())
        for one in (counts, untold):
            one.add(1, int(failed), 0 if failed else duration_ms)

    def apply(self, outcomes: Iterable[EndpointOutcomes], now: float) -> None:
        """Add the outcomes of calls of another node.

        :param outcomes: outcomes since its last message
        :param now: time in seconds
        """
        for one in outcomes:
            if 0 <= one.failures <= one.calls and one.total_ms >= 0:
                self._decayed(one.instance, now).add(
                    one.calls, one.failures, one.total_ms
                )

    def take_untold(self) -> tuple[EndpointOutcomes, ...]:
        """Return this node's outcomes since the last call of this method."""
        told = tuple(
            EndpointOutcomes(
                instance=instance,
                calls=int(one.calls),
                failures=int(one.failures),
                total_ms=round(one.total_ms),
            )
            for instance, one in tuple(self._untold.items())[:MAX_TOLD]
        )
        self._untold.clear()
        self._has_untold_failures = False
        return told

    def discard(self) -> None:
        """Forget all outcomes, most of which may be due to a cut network."""
        self._counts.clear()
        self._untold.clear()
        self._has_untold_failures = False

    def keep_only(self, instances: Iterable[str]) -> None:
        """Forget the endpoints that no longer exist.

        :param instances: instance ids of the endpoints that exist
        """
        for instance in self._counts.keys() - set(instances):
            self._counts.pop(instance)

    def judge(
        self, instances: Iterable[str], now: float
    ) -> Mapping[str, EndpointVerdict]:
        """Return what is known of the endpoints of a service, by instance.

        :param instances: instance ids of the endpoints
        :param now: time in seconds
        """
        known = {
            instance: self._decayed(instance, now)
            for instance in instances
            if instance in self._counts
        }
        best = min(
            (one for one in known.values() if one.calls >= MIN_CALLS),
            key=lambda one: one.failure_share,
            default=None,
        )
        means = [
            one.mean_ms for one in known.values() if one.mean_ms is not None
        ]
        median_ms = statistics.median(means) if means else 0
        return {
            instance: EndpointVerdict(
                suspicion=_suspicion(counts, best) * (1 - counts.trust(now)),
                slowdown=_slowdown(counts, median_ms),
                confidence=counts.calls / (counts.calls + OWN_CALLS),
            )
            for instance, counts in known.items()
        }

    def suspicions(
        self, instances: Iterable[str], now: float
    ) -> Mapping[str, float]:
        """Return the suspected endpoints, compared with all others together.

        That is for services with many endpoints, none of which has many calls.

        :param instances: instance ids of the endpoints
        :param now: time in seconds
        :returns: share of the calls that should go to others, by instance
        """
        known = {
            instance: self._decayed(instance, now)
            for instance in instances
            if instance in self._counts
        }
        total = _Counts()
        for one in known.values():
            total.add(one.calls, one.failures, 0)
        found = {
            instance: _suspicion(counts, counts.others(total))
            * (1 - counts.trust(now))
            for instance, counts in known.items()
            if counts.trust(now) < 1
        }
        return {name: share for name, share in found.items() if share > 0}

    def _decayed(self, instance: str, now: float) -> _Counts:
        counts = self._counts.setdefault(instance, _Counts(updated_at=now))
        counts.decay(now)
        return counts


def _suspicion(counts: _Counts, best: _Counts | None) -> float:
    """Return the share of calls that should go to other endpoints.

    :param counts: outcomes at the endpoint
    :param best: outcomes at the endpoint with the lowest share of failures
    """
    if best is None or best is counts:
        return 0
    difference = counts.failure_share - best.failure_share
    difference -= DEVIATIONS * math.sqrt(counts.variance + best.variance)
    return min(MAX_SUSPICION, max(0, difference / CERTAIN_DIFFERENCE))


def _slowdown(counts: _Counts, median_ms: float) -> float:
    mean_ms = counts.mean_ms
    if mean_ms is None or mean_ms <= EQUAL_DURATION_FACTOR * median_ms:
        return 1
    return mean_ms / max(1, median_ms)
