"""Chooses the nodes that follow the store for others.

Load pattern: some eighty nodes before a store whose calls are dear, and a
change of the store for every endpoint that comes or goes. Most of their hosts
have links of 10 Mbit/s, some have 200.
"""

from collections.abc import Collection, Mapping
from types import MappingProxyType
from typing import Final

from mastichatch_core import rendezvous

# In a data centre of so few nodes each follows the store itself: the loss of
# a reader is then never felt, and the calls are few.
NODES_WITHOUT_READER: Final = 4
# After so many failed readers a node follows the store itself: each costs a
# second, and changes must be in force within two by the users' sheets.
READERS_TRIED: Final = 2
# A reader's link has at least this share of the fastest link.
LINK_SHARE: Final = 0.5

_NO_LINKS: Final[Mapping[str, float]] = MappingProxyType({})


def choose_reader(
    own: str,
    members: Collection[str],
    answering: Collection[str],
    links: Mapping[str, float] = _NO_LINKS,
) -> str | None:
    """Return the node that follows the store for this one.

    :param own: name of this node
    :param members: names of the data centre's other nodes
    :param answering: names of nodes that were heard of late and whose last
        answer was current
    :param links: rates of the nodes' network links, in Mbit/s
    :returns: ``None`` where this node follows the store itself
    """
    if len(members) < NODES_WITHOUT_READER:
        return None
    candidates = {own, *(name for name in members if name in answering)}
    fastest = max(links.get(name, 0) for name in candidates)
    able = {
        name
        for name in candidates
        if links.get(name, 0) >= LINK_SHARE * fastest
    }
    chosen = rendezvous.pick(able, 'reader')
    return None if chosen == own else chosen
