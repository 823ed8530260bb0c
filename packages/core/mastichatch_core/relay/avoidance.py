"""Decides for how long an engine gets no requests after a failed attempt.

Load pattern: all engines of a data centre crash at once. Their runs have ended,
so each of them looks like the emptiest engine of the fleet, and every node
sends its next requests there: connections are refused, and once the engines
have started again, as new instances, they refuse requests for the old ones. The
store removes an engine that crashed only after several seconds.

The first node that notices tells all others.

A second pattern: a data centre is cut off. New connections to each of its
engines time out one after the other, and requests that other engines could
still answer in time are spent on them.
"""

from collections.abc import Iterable
from typing import Final

from mastichatch_core.relay.model import Endpoint

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
# The same for an engine in a data centre whose nodes are silent as well: it is
# probably cut off, and each attempt costs a request the time of a connection.
NO_CONNECTION_TO_SILENT_S: Final = 2.0

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


def unreachable_engines(
    endpoint: Endpoint, endpoints: Iterable[Endpoint], data_centre: str
) -> tuple[str, ...]:
    """Return the engines to avoid after a connection that timed out.

    If it is in another data centre, all engines there are probably out of this
    node's reach. The engines of its own data centre are tried one by one.

    :param endpoint: engine to which no connection was established in time
    :param endpoints: engines of the service
    :param data_centre: data centre of this node
    :returns: instance ids
    """
    if endpoint.data_centre == data_centre:
        return (endpoint.instance,)
    beyond = {
        other.instance
        for other in endpoints
        if other.data_centre == endpoint.data_centre
    }
    return tuple(sorted(beyond | {endpoint.instance}))
