"""Limit the load on an endpoint incarnation while it warms up."""

import dataclasses
from typing import Final

SLOW_FIRST_TOKEN_FACTOR: Final = 4.0
SLOW_FIRST_TOKEN_MARGIN_MS: Final = 500.0
FIRST_TOKEN_SMOOTHING_FACTOR: Final = 0.1
SLOW_FIRST_TOKENS_TO_RESET: Final = 2


@dataclasses.dataclass(slots=True, kw_only=True)
class Ramp:
    """Warm-up state of an endpoint incarnation.

    :param started_at: when the warm-up began, in seconds
    :param successes: successful requests since then
    :param reached_limit: limit that the incarnation has already reached
    :param first_token_ms: smoothed time to the first token, in milliseconds
    :param slow_first_tokens: consecutive first tokens that took far longer than
        usual
    """

    started_at: float
    successes: int = 0
    reached_limit: float = 0
    first_token_ms: float = 0
    slow_first_tokens: int = 0


def ramp_limit(
    ramp: Ramp, cold_limit: int, batch_limit: int, warm_up_s: float, now: float
) -> float:
    """Return the number of requests that the warm-up state allows.

    The cold limit applies until the shortest warm-up time has passed. After
    that, each success since the start of the warm-up raises the limit by one.

    :param ramp: warm-up state of the endpoint
    :param cold_limit: largest number of requests at a cold endpoint
    :param batch_limit: largest number of requests at a warm endpoint
    :param warm_up_s: shortest warm-up time, in seconds
    :param now: time in seconds
    """
    warm = now - ramp.started_at >= warm_up_s
    gained = ramp.successes if warm else 0
    limit = max(ramp.reached_limit, cold_limit + gained)
    return min(float(max(batch_limit, cold_limit)), limit)


def restart_ramp(ramp: Ramp, now: float) -> None:
    """Restart the warm-up at the cold limit.

    :param ramp: warm-up state of the endpoint
    :param now: time in seconds
    """
    ramp.started_at = now
    ramp.successes = 0
    ramp.reached_limit = 0
    ramp.slow_first_tokens = 0


def record_success(ramp: Ramp) -> None:
    """Count a request that returned tokens or an answer.

    :param ramp: warm-up state of the endpoint
    """
    ramp.successes += 1


def record_first_token(ramp: Ramp, first_token_ms: float, now: float) -> None:
    """Record a time to first token; restart the warm-up if it rises sharply.

    :param ramp: warm-up state of the endpoint
    :param first_token_ms: time from send to first token, in milliseconds
    :param now: time in seconds
    """
    average_ms = ramp.first_token_ms
    threshold_ms = (
        average_ms * SLOW_FIRST_TOKEN_FACTOR + SLOW_FIRST_TOKEN_MARGIN_MS
    )
    if average_ms and first_token_ms > threshold_ms:
        ramp.slow_first_tokens += 1
        if ramp.slow_first_tokens >= SLOW_FIRST_TOKENS_TO_RESET:
            restart_ramp(ramp, now)
        return
    ramp.slow_first_tokens = 0
    step = (first_token_ms - average_ms) * FIRST_TOKEN_SMOOTHING_FACTOR
    ramp.first_token_ms = average_ms + step if average_ms else first_token_ms
