"""Chooses the endpoint of a plain call by what earlier calls showed.

Load pattern: many times more slots than calls in progress, and endpoints that
are slow, fail a part of their calls or are silent while their health checks
pass. Each node learns by itself, so that no message goes with a call.
"""

import dataclasses
import math
from collections.abc import Iterable
from typing import Final

from mastichatch_core import breaker as breakers
from mastichatch_core.breaker import Breaker
from mastichatch_core.relay.model import Endpoint

# Weight of one more call in the means; about the last five calls count.
MEAN_WEIGHT: Final = 0.2
# Evidence against an endpoint fades with this half-life, so that one that
# recovered is tried again within the contact time of the users' rules (3 s).
HALF_LIFE_S: Final = 3.0
# Both ways between two data centres, by the users' sheets.
REMOTE_MS: Final = 1.8
# Time that a call takes while none was measured.
UNKNOWN_MS: Final = 20.0
# A failed call costs a caller about as much as this many calls' time.
FAILURE_FACTOR: Final = 8.0


@dataclasses.dataclass(slots=True, kw_only=True)
class Record:
    """What a node learned of one endpoint.

    :param running: this node's calls in progress there
    :param mean_ms: mean time of its answers
    :param failure_share: mean share of calls that failed
    :param noted_at: time of the last outcome, in seconds
    :param breaker: keeps work away after failures in a row
    """

    running: int = 0
    mean_ms: float = UNKNOWN_MS
    failure_share: float = 0
    noted_at: float = -math.inf
    breaker: Breaker = dataclasses.field(default_factory=Breaker)


class Records:
    """What a node learned of all endpoints, by instance."""

    def __init__(self) -> None:
        """Know nothing."""
        self._records: dict[str, Record] = {}

    def get(self, instance: str) -> Record:
        """Return the record of an endpoint, a new one if it has none.

        :param instance: the endpoint
        """
        return self._records.setdefault(instance, Record())

    def keep_only(self, instances: Iterable[str]) -> None:
        """Forget endpoints that are gone.

        :param instances: endpoints that are known
        """
        kept = set(instances)
        for instance, record in tuple(self._records.items()):
            if instance not in kept and not record.running:
                self._records.pop(instance)

    def note_answer(
        self, instance: str, duration_ms: float, now: float, *, failed: bool
    ) -> None:
        """Learn from an answer.

        :param instance: the endpoint
        :param duration_ms: time from sending to the answer
        :param now: time in seconds
        :param failed: whether the answer was a failure of the endpoint
        """
        record = self.get(instance)
        _fade(record, now)
        if failed:
            record.failure_share += MEAN_WEIGHT * (1 - record.failure_share)
            return
        record.failure_share *= 1 - MEAN_WEIGHT
        record.mean_ms += MEAN_WEIGHT * (duration_ms - record.mean_ms)
        breakers.close_breaker(record.breaker)

    def note_lost(self, instance: str, now: float, *, reached: bool) -> None:
        """Learn from a call without an answer.

        :param instance: the endpoint
        :param now: time in seconds
        :param reached: whether a connection was there
        """
        record = self.get(instance)
        _fade(record, now)
        record.failure_share += MEAN_WEIGHT * (1 - record.failure_share)
        breakers.record_failure(record.breaker, reached=reached, now=now)


def rank(
    endpoints: Iterable[Endpoint],
    records: Records,
    data_centre: str,
    now: float,
) -> tuple[Endpoint, ...]:
    """Return the endpoints in the order in which to try them.

    Those with an open breaker come last: where all have one, some endpoint
    must still be tried.

    :param endpoints: endpoints that take new requests
    :param records: what this node learned
    :param data_centre: where the call came in
    :param now: time in seconds
    """

    def cost(endpoint: Endpoint) -> tuple[bool, float, str]:
        record = records.get(endpoint.instance)
        closed = breakers.allows_request(record.breaker, record.running, now)
        return (
            not closed,
            _expected_ms(endpoint, record, data_centre, now),
            endpoint.instance,
        )

    return tuple(sorted(endpoints, key=cost))


def _expected_ms(
    endpoint: Endpoint, record: Record, data_centre: str, now: float
) -> float:
    faded = _faded(record, now)
    mean_ms = UNKNOWN_MS + (record.mean_ms - UNKNOWN_MS) * max(faded, 0.25)
    if endpoint.data_centre != data_centre:
        mean_ms += REMOTE_MS
    waiting = 1 + record.running / max(1, endpoint.slots) * 2
    failures = 1 + FAILURE_FACTOR * record.failure_share * faded
    return mean_ms * waiting * failures


def _fade(record: Record, now: float) -> None:
    record.failure_share *= _faded(record, now)
    record.noted_at = now


def _faded(record: Record, now: float) -> float:
    """Return the weight that earlier outcomes still have."""
    return math.pow(0.5, (now - record.noted_at) / HALF_LIFE_S)
