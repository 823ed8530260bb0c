"""Circuit breaker that stops requests to a failing endpoint and probes it."""

import dataclasses
from typing import Final

FAILURES_TO_OPEN: Final = 3
INITIAL_BACKOFF_S: Final = 0.5
MAX_BACKOFF_S: Final = 15.0


@dataclasses.dataclass(slots=True, kw_only=True)
class Breaker:
    """State of one endpoint's circuit breaker.

    :param failures: consecutive failures
    :param open_until: when a probe is allowed, in seconds; ``None`` when
        closed
    :param was_reachable: whether the endpoint was reachable at the last failure
    :param backoff_s: time until the next probe after a failure, in seconds
    """

    failures: int = 0
    open_until: float | None = None
    was_reachable: bool = True
    backoff_s: float = INITIAL_BACKOFF_S


def allows_request(breaker: Breaker, running: int, now: float) -> bool:
    """Return whether one more request may be sent to the endpoint.

    :param breaker: the endpoint's breaker
    :param running: requests in progress there
    :param now: time in seconds
    """
    if breaker.open_until is None:
        return True
    return now >= breaker.open_until and running == 0


def record_failure(breaker: Breaker, *, reached: bool, now: float) -> None:
    """Count a failure and open the breaker if necessary.

    :param breaker: the endpoint's breaker
    :param reached: whether the endpoint was reachable
    :param now: time in seconds
    """
    breaker.failures += 1
    breaker.was_reachable = reached
    was_open = breaker.open_until is not None
    if was_open and now < (breaker.open_until or now):
        return
    if was_open:
        breaker.backoff_s = min(breaker.backoff_s * 2, MAX_BACKOFF_S)
    if was_open or not reached or breaker.failures >= FAILURES_TO_OPEN:
        breaker.open_until = now + breaker.backoff_s


def record_reachable(breaker: Breaker, now: float) -> None:
    """Allow a probe at once when an unreachable endpoint answers again.

    :param breaker: the endpoint's breaker
    :param now: time in seconds
    """
    if breaker.open_until is not None and not breaker.was_reachable:
        breaker.open_until = min(breaker.open_until, now)


def close_breaker(breaker: Breaker) -> None:
    """Close the breaker after a success or a restart of the endpoint.

    :param breaker: the endpoint's breaker
    """
    breaker.failures = 0
    breaker.open_until = None
    breaker.backoff_s = INITIAL_BACKOFF_S
