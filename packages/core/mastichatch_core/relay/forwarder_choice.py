"""Decides to which nodes a change of a run is sent, and who sends it on.

Load pattern: some two hundred nodes in five data centres tell each other of
every generation that starts, gets its first event, moves or ends. Most hosts
have links of 10 Mbit/s, which one message to all others occupies for 55 ms, and
the streams of the host wait behind it. Bytes between data centres are
expensive.

One message crosses to each other data centre, where a node with a fast link
sends it on to its neighbours. A node with a slow link sends its changes to a
node with a fast link in its own data centre only.
"""

import dataclasses
from collections.abc import Iterable
from typing import Final

from mastichatch_core import rendezvous
from mastichatch_core.units import MS_PER_S

# A message with one change of a run, with the headers of TCP and IP.
CHANGE_BYTES: Final = 350
# Longest time for which one change may occupy a link. Callers notice pauses of
# 180 ms, by the users' requirements, and a generation that moves announces four
# changes within a few milliseconds.
MAX_BURST_MS: Final = 8.0
# Smaller data centres get each change directly: few messages are saved, and no
# node depends on another one.
MIN_FORWARDED_NODES: Final = 8
# Lowest rate of a forwarder's link, as a share of the fastest of its data
# centre.
MIN_LINK_SHARE: Final = 0.5
BITS_PER_BYTE: Final = 8
BITS_PER_MBIT: Final = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodeLink:
    """What the choice needs to know of a node.

    :param name: name of the node
    :param data_centre: its data centre
    :param link_mbps: rate of its network link, in Mbit/s; zero if unknown
    :param can_forward: whether it forwards changes and was heard recently
    :param accepts_forwarded: whether it knows the node that a forwarded change
        comes from; earlier releases do not
    :param grants_turns: whether it grants turns at endpoints that name limits;
        earlier releases do not
    :param grants_slots: whether it grants slots of brittle endpoints; earlier
        releases do not
    """

    name: str
    data_centre: str
    link_mbps: float
    can_forward: bool
    accepts_forwarded: bool = True
    grants_turns: bool = True
    grants_slots: bool = True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Receivers:
    """The nodes that a change is sent to.

    :param final: nodes that do not send it on
    :param for_data_centre: nodes that send it on within their data centre
    :param for_all: node that sends it on to all others; ``None`` if the sender
        reaches all of them
    """

    final: tuple[str, ...] = ()
    for_data_centre: tuple[str, ...] = ()
    for_all: str | None = None


def burst_ms(message_count: int, link_mbps: float) -> float:
    """Return how long copies of one message occupy a link.

    :param message_count: number of copies
    :param link_mbps: rate of the link, in Mbit/s; zero if unknown
    :returns: time in milliseconds; zero for an unknown rate
    """
    if not link_mbps:
        return 0
    bits = message_count * CHANGE_BYTES * BITS_PER_BYTE
    return bits / (link_mbps * BITS_PER_MBIT) * MS_PER_S


def choose_receivers(own: NodeLink, others: Iterable[NodeLink]) -> Receivers:
    """Return the nodes that this node sends one of its changes to.

    Each node chooses its forwarders by itself, so that the work spreads over
    the nodes with fast links. If a forwarder fails, its messages are lost until
    it is no longer heard; full lists, which nodes send directly, correct the
    others' view.

    :param own: this node
    :param others: all other nodes
    """
    nodes = tuple(others)
    if not all(node.accepts_forwarded for node in nodes):
        # Until all nodes run this release, none of them forwards.
        return Receivers(final=tuple(node.name for node in nodes))
    direct = choose_forwarded_receivers(own, nodes, own.name)
    count = len(direct.final) + len(direct.for_data_centre)
    if burst_ms(count, own.link_mbps) <= MAX_BURST_MS:
        return direct
    faster = [
        node
        for node in nodes
        if node.data_centre == own.data_centre
        and node.can_forward
        and node.link_mbps > own.link_mbps
    ]
    chosen = _pick_fast(faster, own.name)
    return direct if chosen is None else Receivers(for_all=chosen)


def choose_forwarded_receivers(
    own: NodeLink, others: Iterable[NodeLink], origin: str
) -> Receivers:
    """Return the nodes that a change must be sent to, to reach all nodes.

    :param own: the node that sends it, for itself or for another node
    :param others: all other nodes
    :param origin: name of the node whose change it is
    """
    by_data_centre: dict[str, list[NodeLink]] = {}
    for other in others:
        if other.name != origin:
            by_data_centre.setdefault(other.data_centre, []).append(other)
    final: list[str] = []
    for_data_centre: list[str] = []
    for data_centre, nodes in by_data_centre.items():
        chosen = None
        if data_centre != own.data_centre and len(nodes) >= MIN_FORWARDED_NODES:
            chosen = _pick_fast(filter(_can_forward, nodes), origin)
        if chosen is None:
            final.extend([node.name for node in nodes])
        else:
            for_data_centre.append(chosen)
    return Receivers(final=tuple(final), for_data_centre=tuple(for_data_centre))


def _can_forward(node: NodeLink) -> bool:
    return node.can_forward


def _pick_fast(nodes: Iterable[NodeLink], key: str) -> str | None:
    """Return one of the nodes with the fastest links, if there is any."""
    links = {node.name: node.link_mbps for node in nodes}
    if not links:
        return None
    lowest_mbps = MIN_LINK_SHARE * max(links.values())
    fast = [name for name, rate in links.items() if rate >= lowest_mbps]
    return rendezvous.pick(fast, key)
