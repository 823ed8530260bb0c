"""Holds an endpoint's batch by the measured time between tokens."""

import dataclasses
from typing import Final

SMOOTHING: Final = 0.3
DECREASE: Final = 0.9
ADJUST_INTERVAL_S: Final = 1.0
TARGET_SHARE: Final = 0.95


@dataclasses.dataclass(slots=True, kw_only=True)
class Batching:
    """The batch limit that the time between tokens allows.

    :param limit: requests in progress; ``None`` until a gap was too long
    :param gap_ms: smoothed time between tokens, in milliseconds
    :param adjusted_at: when the limit was last changed, in seconds
    """

    limit: float | None = None
    gap_ms: float = 0
    adjusted_at: float = 0


def note_gap(
    batching: Batching,
    gap_ms: float,
    target_ms: float,
    running: int,
    now: float,
) -> None:
    """Lower the limit when tokens come too slowly, and raise it again.

    :param batching: the endpoint's batching
    :param gap_ms: mean time between tokens since the last one noted
    :param target_ms: target for the time between tokens, in milliseconds
    :param running: requests in progress at the endpoint
    :param now: time in seconds
    """
    usual = batching.gap_ms or gap_ms
    batching.gap_ms = usual + (gap_ms - usual) * SMOOTHING
    if now - batching.adjusted_at < ADJUST_INTERVAL_S:
        return
    if batching.gap_ms > target_ms * TARGET_SHARE:
        batching.limit = max(1.0, running * DECREASE)
        batching.adjusted_at = now
    elif batching.limit is not None and running >= int(batching.limit):
        batching.limit += 1
        batching.adjusted_at = now


def forget_gaps(batching: Batching) -> None:
    """Start again with an endpoint that restarted.

    :param batching: the endpoint's batching
    """
    batching.limit = None
    batching.gap_ms = 0
