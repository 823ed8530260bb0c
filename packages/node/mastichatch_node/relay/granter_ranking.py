"""Remembers which nodes grant the turns or the slots of endpoints."""

import math
from collections.abc import Callable, Iterable
from typing import Final

from mastichatch_core.relay.forwarder_choice import NodeLink
from mastichatch_core.relay.model import Endpoint
from mastichatch_node.clock import loop_time
from mastichatch_node.relay.store_following import NodeRegistry

# Time for which a choice is kept. It takes half a millisecond among 195 nodes,
# and each request to such an endpoint depends on it.
RANKING_LIFETIME_S: Final = 0.5

ChooseGranters = Callable[[Endpoint, Iterable[NodeLink]], tuple[str, ...]]


class GranterRanking:
    """The granters of each endpoint, the preferred one first."""

    def __init__(self, registry: NodeRegistry, choose: ChooseGranters) -> None:
        """Start without a choice.

        :param registry: registrations of all nodes
        :param choose: returns the names of an endpoint's granters
        """
        self._registry = registry
        self._choose = choose
        self._ranked: dict[str, tuple[str, ...]] = {}
        self._expires_at = -math.inf

    def granters(self, endpoint: Endpoint) -> tuple[str, ...]:
        """Return the names of the nodes that grant at an endpoint.

        :param endpoint: the endpoint
        """
        now = loop_time()
        if now >= self._expires_at:
            self._ranked.clear()
            self._expires_at = now + RANKING_LIFETIME_S
        granters = self._ranked.get(endpoint.instance)
        if granters is None:
            nodes = (self._registry.link(), *self._registry.other_links(()))
            granters = self._choose(endpoint, nodes)
            self._ranked[endpoint.instance] = granters
        return granters
