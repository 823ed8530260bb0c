"""Limit an endpoint's requests by the measured time between tokens."""

import dataclasses
from typing import Final

GAP_SMOOTHING_FACTOR: Final = 0.3
DECREASE_FACTOR: Final = 0.9
ADJUST_INTERVAL_S: Final = 1.0
TARGET_SHARE: Final = 0.95


@dataclasses.dataclass(slots=True, kw_only=True)
class TokenGapLimit:
    """Limit that depends on the time between tokens, and its measurements.

    :param limit: largest number of requests in progress; ``None`` until the
        time between tokens has exceeded its target
    :param gap_ms: smoothed time between tokens, in milliseconds
    :param adjusted_at: when the limit was last changed, in seconds
    """

    limit: float | None = None
    gap_ms: float = 0
    adjusted_at: float = 0


def record_gap_sample(
    gap_limit: TokenGapLimit,
    gap_ms: float,
    target_ms: float,
    running: int,
    now: float,
) -> None:
    """Record a time between tokens and adjust the limit.

    Once the smoothed time exceeds ``TARGET_SHARE`` of its target, the limit
    falls to ``DECREASE_FACTOR`` of the requests in progress. Otherwise it rises
    by one request at a time, and only while the endpoint uses all of it.

    :param gap_limit: the endpoint's limit
    :param gap_ms: mean time between tokens since the last call, in
        milliseconds
    :param target_ms: target for the time between tokens, in milliseconds
    :param running: requests in progress at the endpoint
    :param now: time in seconds
    """
    average_ms = gap_limit.gap_ms or gap_ms
    gap_limit.gap_ms = average_ms + (gap_ms - average_ms) * GAP_SMOOTHING_FACTOR
    if now - gap_limit.adjusted_at < ADJUST_INTERVAL_S:
        return
    if gap_limit.gap_ms > target_ms * TARGET_SHARE:
        gap_limit.limit = max(1.0, running * DECREASE_FACTOR)
        gap_limit.adjusted_at = now
    elif gap_limit.limit is not None and running >= int(gap_limit.limit):
        gap_limit.limit += 1
        gap_limit.adjusted_at = now


def reset_token_gap_limit(gap_limit: TokenGapLimit) -> None:
    """Discard the measurements after a restart of the endpoint.

    :param gap_limit: the endpoint's limit
    """
    gap_limit.limit = None
    gap_limit.gap_ms = 0
