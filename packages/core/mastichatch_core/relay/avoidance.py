"""Decides for how long an engine gets no requests after a failed attempt.

Load pattern: all engines of a data centre crash at once. Their runs have ended,
so each of them looks like the emptiest engine of the fleet, and every node
sends its next requests there: connections are refused, and once the engines
have started again, as new instances, they refuse requests for the old ones. The
store removes an engine that crashed only after several seconds.

The first node that notices tells all others.
"""

from typing import Final

# Time after a refused connection: an engine that started again registers as a
# new instance, and one that refused a connection for its limit is tried again.
REFUSED_CONNECTION_S: Final = 1.5
# Time after a refusal by another instance at the engine's address: by the
# specification of the platform the store removes the old entry after three
# intervals of 1.2 s.
REPLACED_INSTANCE_S: Final = 5.0
# Time after a connection that was not established in time. The link between
# this node and the engine may be cut, so the other nodes are not told.
NO_CONNECTION_S: Final = 1.0

MISDIRECTED_STATUS: Final = 421


def shared_avoidance_s(*, is_connection_refused: bool, status: int) -> float:
    """Return for how long all nodes should avoid an engine, in seconds.

    :param is_connection_refused: whether its host refused the connection
    :param status: HTTP status of its answer; zero without one
    :returns: time in seconds; zero if it need not be avoided
    """
    if status == MISDIRECTED_STATUS:
        return REPLACED_INSTANCE_S
    return REFUSED_CONNECTION_S if is_connection_refused else 0
