"""Tells engines how urgent a generation is.

Load pattern: short urgent requests and long generations share engines whose
memory runs out. Without being told, an engine admits requests in the order of
their arrival, and preempts the newest one.
"""

from typing import Final

# Least urgent rank that is told apart from others, so that late requests of any
# rank come after those in time.
MAX_RANK: Final = 4
# Urgency of a late request of the most urgent rank.
LATE_URGENCY: Final = MAX_RANK + 1


def engine_urgency(rank: int, age_ms: float, objective_ms: float) -> int:
    """Return how urgent a request is to an engine.

    A request that has missed its objective has lost most of its value, and
    comes after all that can still meet theirs.

    :param rank: rank of the request; zero is the most urgent
    :param age_ms: time since its arrival, in milliseconds
    :param objective_ms: objective for the time to its first event, in
        milliseconds; zero if there is none
    :returns: a number from 0, the most urgent, to 9
    """
    level = max(0, min(rank, MAX_RANK))
    is_late = 0 < objective_ms < age_ms
    return level + LATE_URGENCY if is_late else level
