"""Chooses the hosts that grant what a server has to all hosts."""

from collections.abc import Iterable
from typing import Final

from mastichatch_core import rendezvous
from mastichatch_core.relay.forwarder_choice import NodeLink
from mastichatch_core.relay.model import Endpoint

# The second one is asked where the first one does not answer.
GRANTERS: Final = 2


def rank_granters(
    endpoint: Endpoint, nodes: Iterable[NodeLink]
) -> tuple[str, ...]:
    """Return the names of the hosts that grant at a server.

    They are hosts of the server's data centre if it has any, since these are
    cut off from most hosts only together with the server.

    :param endpoint: the server
    :param nodes: all nodes that are able to grant
    :returns: the first- and second-ranked host, as far as there are any
    """
    near: list[str] = []
    far: list[str] = []
    for node in nodes:
        is_near = node.data_centre == endpoint.data_centre
        (near if is_near else far).append(node.name)
    ranked = rendezvous.ranked(near, endpoint.instance)
    if len(ranked) < GRANTERS:
        ranked += rendezvous.ranked(far, endpoint.instance)
    return ranked[:GRANTERS]
