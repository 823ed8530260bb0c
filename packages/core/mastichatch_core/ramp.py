"""The limit of an endpoint incarnation while it warms up."""

import dataclasses
from typing import Final

FIRST_TOKEN_JUMP_FACTOR: Final = 4.0
FIRST_TOKEN_JUMP_MS: Final = 500.0
FIRST_TOKEN_SMOOTHING: Final = 0.1
JUMPS_TO_COLD: Final = 2


@dataclasses.dataclass(slots=True, kw_only=True)
class Ramp:
    """How warm an endpoint incarnation is known to be.

    :param cold_since: when the ramp began, in seconds
    :param successes: requests that brought tokens since then
    :param floor: limit that it is known to bear already
    :param first_token_ms: smoothed time to the first token, in milliseconds
    :param jumps: first tokens in a row that took far longer
    """

    cold_since: float
    successes: int = 0
    floor: float = 0
    first_token_ms: float = 0
    jumps: int = 0


def ramp_limit(
    ramp: Ramp, cold_limit: int, batch_limit: int, warm_after: float, now: float
) -> float:
    """Return the limit that the ramp allows.

    Until the warm-up time is over it stays cold, whatever succeeds; after it,
    each success since the start has added one.

    :param ramp: the endpoint's ramp
    :param cold_limit: requests that a cold endpoint bears
    :param batch_limit: requests that a warm endpoint bears
    :param warm_after: shortest warm-up time, in seconds
    :param now: time in seconds
    """
    warm = now - ramp.cold_since >= warm_after
    gained = ramp.successes if warm else 0
    limit = max(ramp.floor, cold_limit + gained)
    return min(float(max(batch_limit, cold_limit)), limit)


def turn_cold(ramp: Ramp, now: float) -> None:
    """Start the ramp again from the cold limit.

    :param ramp: the endpoint's ramp
    :param now: time in seconds
    """
    ramp.cold_since = now
    ramp.successes = 0
    ramp.floor = 0
    ramp.jumps = 0


def note_success(ramp: Ramp) -> None:
    """Count a request that brought tokens or an answer.

    :param ramp: the endpoint's ramp
    """
    ramp.successes += 1


def note_first_token(ramp: Ramp, first_token_ms: float, now: float) -> None:
    """Turn cold when first tokens suddenly take far longer.

    :param ramp: the endpoint's ramp
    :param first_token_ms: time from send to first token, in milliseconds
    :param now: time in seconds
    """
    usual = ramp.first_token_ms
    jump = usual * FIRST_TOKEN_JUMP_FACTOR + FIRST_TOKEN_JUMP_MS
    if usual and first_token_ms > jump:
        ramp.jumps += 1
        if ramp.jumps >= JUMPS_TO_COLD:
            turn_cold(ramp, now)
        return
    ramp.jumps = 0
    step = (first_token_ms - usual) * FIRST_TOKEN_SMOOTHING
    ramp.first_token_ms = usual + step if usual else first_token_ms
