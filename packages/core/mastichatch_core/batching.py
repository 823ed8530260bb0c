"""Adjust an endpoint's batch limit to the measured time between tokens."""

import dataclasses
from typing import Final

GAP_SMOOTHING_FACTOR: Final = 0.3
DECREASE_FACTOR: Final = 0.9
ADJUST_INTERVAL_S: Final = 1.0
TARGET_SHARE: Final = 0.95


@dataclasses.dataclass(slots=True, kw_only=True)
class BatchLimit:
    """State of the batch limit that depends on the time between tokens.

    :param limit: largest number of requests in progress; ``None`` until the
        time between tokens has exceeded its target
    :param gap_ms: smoothed time between tokens, in milliseconds
    :param adjusted_at: when the limit was last changed, in seconds
    """

    limit: float | None = None
    gap_ms: float = 0
    adjusted_at: float = 0


def record_gap_sample(
    batching: BatchLimit,
    gap_ms: float,
    target_ms: float,
    running: int,
    now: float,
) -> None:
    """Record a token gap; lower the limit if slow, or raise it if fast enough.

    The limit falls by a factor and rises by one request at a time, and it
    rises only while the endpoint uses all of it.

    :param batching: state of the endpoint's batch limit
    :param gap_ms: mean time between tokens since the last call, in
        milliseconds
    :param target_ms: target for the time between tokens, in milliseconds
    :param running: requests in progress at the endpoint
    :param now: time in seconds
    """
    average_ms = batching.gap_ms or gap_ms
    batching.gap_ms = average_ms + (gap_ms - average_ms) * GAP_SMOOTHING_FACTOR
    if now - batching.adjusted_at < ADJUST_INTERVAL_S:
        return
    if batching.gap_ms > target_ms * TARGET_SHARE:
        batching.limit = max(1.0, running * DECREASE_FACTOR)
        batching.adjusted_at = now
    elif batching.limit is not None and running >= int(batching.limit):
        batching.limit += 1
        batching.adjusted_at = now


def reset_batch_limit(batching: BatchLimit) -> None:
    """Discard the measurements after a restart of the endpoint.

    :param batching: state of the endpoint's batch limit
    """
    batching.limit = None
    batching.gap_ms = 0
