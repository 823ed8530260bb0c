"""Chooses the node that sends changes of runs on for a node with a slow link.

Load pattern: some two hundred nodes tell each other of every generation that
starts, gets its first event, moves or ends. Most hosts have links of 10 Mbit/s,
where one message to all others takes as long as the longest pause that a
caller's stream may have. The streams of the host wait behind these messages.
"""

from collections.abc import Collection, Mapping
from typing import Final

from mastichatch_core import rendezvous
from mastichatch_core.units import MS_PER_S

# A message with one change of a run, with the headers of TCP and IP.
CHANGE_BYTES: Final = 350
# Longest time for which one message to all nodes may occupy a link. Callers
# notice pauses of 180 ms, by the users' requirements, and a generation that
# moves announces four changes within a few milliseconds.
MAX_BURST_MS: Final = 8.0
BITS_PER_BYTE: Final = 8
BITS_PER_MBIT: Final = 1_000_000


def burst_ms(node_count: int, link_mbps: float) -> float:
    """Return how long one message to all other nodes occupies a link.

    :param node_count: number of the other nodes
    :param link_mbps: rate of the link, in Mbit/s; zero if unknown
    :returns: time in milliseconds; zero for an unknown rate
    """
    if not link_mbps:
        return 0
    bits = node_count * CHANGE_BYTES * BITS_PER_BYTE
    return bits / (link_mbps * BITS_PER_MBIT) * MS_PER_S


def choose_forwarder(
    own: str,
    forwarders: Collection[str],
    links: Mapping[str, float],
) -> str | None:
    """Return the node that forwards this node's changes to all others.

    Each node chooses by itself, so that the work spreads over all nodes with
    fast links. If the chosen one fails, its messages are lost until it is no
    longer heard; the next full list corrects the others' view.

    :param own: name of this node
    :param forwarders: names of the nodes that forward changes and that were
        heard recently, preferably of the same data centre
    :param links: rates of the links of all nodes, in Mbit/s
    :returns: name of the node; ``None`` if this node sends its changes itself
    """
    others = len(links) - 1
    own_burst_ms = burst_ms(others, links.get(own, 0))
    if own_burst_ms <= MAX_BURST_MS:
        return None
    fast = {
        name
        for name in forwarders
        if name != own and links.get(name, 0) > links.get(own, 0)
    }
    fastest = max((links[name] for name in fast), default=0)
    eligible = {
        name
        for name in fast
        if burst_ms(others, links[name]) <= MAX_BURST_MS
        or links[name] >= fastest
    }
    return rendezvous.pick(eligible, own) if eligible else None
