"""Decides for how long an endpoint that asks for time gets no requests.

Load pattern: an overloaded endpoint turns requests away with ``Retry-After``.
All nodes that hold back until then return at the same moment, and overload it
again.
"""

import math
from typing import Final

# Longest time for which an endpoint is left alone, whatever it asks for.
MAX_PAUSE_S: Final = 300.0
# Nodes return over this share of the time that was asked for, and over this
# many seconds at most.
RETURN_SPREAD_SHARE: Final = 0.25
MAX_RETURN_SPREAD_S: Final = 2.0
# Time after its pause within which an endpoint gets all its slots back.
RETURN_RAMP_S: Final = 2.0


def pause_s(requested_s: float | None, draw: float) -> float:
    """Return for how long an endpoint gets no requests, in seconds.

    :param requested_s: time that it asked for, in seconds; ``None`` without a
        valid one
    :param draw: random number of this node, from 0 to 1
    :returns: zero if it has not asked for any
    """
    if requested_s is None or math.isnan(requested_s) or requested_s <= 0:
        return 0
    bounded_s = min(requested_s, MAX_PAUSE_S)
    spread_s = min(bounded_s * RETURN_SPREAD_SHARE, MAX_RETURN_SPREAD_S)
    return bounded_s + draw * spread_s


def calls_after_pause(slots: int, since_s: float) -> float:
    """Return how many calls an endpoint may have in progress after its pause.

    :param slots: highest number of requests that it processes at once
    :param since_s: time since its pause, in seconds; negative during it
    """
    if since_s < 0:
        return 0
    if since_s >= RETURN_RAMP_S:
        return math.inf
    return 1 + slots * since_s / RETURN_RAMP_S
