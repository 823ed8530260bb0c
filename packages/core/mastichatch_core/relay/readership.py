"""Chooses the nodes that follow the store for others.

Load pattern: some eighty nodes before a store whose calls are dear, and a
change of the store for every endpoint that comes or goes.
"""

from collections.abc import Collection
from typing import Final

from mastichatch_core import rendezvous

# In a data centre of so few nodes each follows the store itself: the loss of
# a reader is then never felt, and the calls are few.
NODES_WITHOUT_READER: Final = 4


def choose_reader(
    own: str, members: Collection[str], answering: Collection[str]
) -> str | None:
    """Return the node that follows the store for this one.

    :param own: name of this node
    :param members: names of the data centre's other nodes
    :param answering: names of nodes that were heard of late and whose last
        answer was current
    :returns: ``None`` where this node follows the store itself
    """
    if len(members) < NODES_WITHOUT_READER:
        return None
    candidates = {own, *(name for name in members if name in answering)}
    chosen = rendezvous.pick(candidates, 'reader')
    return None if chosen == own else chosen
