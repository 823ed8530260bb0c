"""Chooses the node of a data centre that watches the store for the others.

Load pattern: about eighty nodes use a store whose calls are expensive, and the
store changes whenever an endpoint is added or removed. Most hosts have links
of 10 Mbit/s, and some of 200 Mbit/s.
"""

from collections.abc import Collection, Mapping
from types import MappingProxyType
from typing import Final

from mastichatch_core import rendezvous

# With fewer other nodes in the data centre, each node watches the store itself:
# that needs few calls, and no node depends on a reader that may fail.
MIN_OTHERS_FOR_READER: Final = 4
# After this many failed readers a node watches the store itself. Each failure
# takes a second, and changes must be in force within two seconds by the
# requirements.
MAX_READERS_TRIED: Final = 2
# Lowest rate of a reader's link, as a share of the fastest link.
MIN_LINK_SHARE: Final = 0.5

_NO_LINKS: Final[Mapping[str, float]] = MappingProxyType({})


def choose_reader(
    own: str,
    members: Collection[str],
    answering: Collection[str],
    links: Mapping[str, float] = _NO_LINKS,
) -> str | None:
    """Return the node that watches the store on behalf of this node.

    :param own: name of this node
    :param members: names of the data centre's other nodes
    :param answering: names of nodes that sent a message recently and whose
        last answer was current
    :param links: rates of the nodes' network links, in Mbit/s
    :returns: name of the node; ``None`` if this node watches the store itself
    """
    if len(members) < MIN_OTHERS_FOR_READER:
        return None
    chosen = order_readers(own, members, answering, links)[0]
    return None if chosen == own else chosen


def order_readers(
    own: str,
    members: Collection[str],
    answering: Collection[str],
    links: Mapping[str, float] = _NO_LINKS,
) -> tuple[str, ...]:
    """Return the nodes that may watch the store, first choice first.

    :param own: name of this node
    :param members: names of the data centre's other nodes
    :param answering: names of nodes that sent a message recently and that
        answer
    :param links: rates of the nodes' network links, in Mbit/s
    """
    candidates = {own, *(name for name in members if name in answering)}
    highest_rate = max(links.get(name, 0) for name in candidates)
    eligible = {
        name
        for name in candidates
        if links.get(name, 0) >= MIN_LINK_SHARE * highest_rate
    }
    return rendezvous.ranked(eligible, 'reader')
