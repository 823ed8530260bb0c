"""Chooses the node that a partitioned node passes a request on to.

Load pattern: most nodes of a data centre, or all, are partitioned from the
endpoints at the same moment. What they pass on must not all go to the nearest
nodes, nor to the one that was idle a moment ago, and must leave the others room
for their own callers.
"""

import dataclasses
from collections.abc import Callable, Container, Iterator, Sequence
from typing import Final

# Two random nodes are compared: load then stays close to even, although what
# is known of it is old.
_COMPARED: Final = 2
# A node of another data centre is chosen if the near one has more than this
# multiple of its load, and this many requests more.
NEAR_LOAD_FACTOR: Final = 1.5
NEAR_LOAD_MARGIN: Final = 4
# Requests of other nodes that a node has in progress at once, for each MB of
# its memory.
PROXIED_PER_MB: Final = 1.0
# Share of the bytes that a node may hold above which it accepts no requests of
# other nodes.
MAX_HELD_SHARE: Final = 0.5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerGroups:
    """Names of the nodes that may accept a request.

    :param near: nodes of the own data centre
    :param far: nodes of other data centres
    """

    near: tuple[str, ...] = ()
    far: tuple[str, ...] = ()


def choose_peer(
    groups: PeerGroups,
    excluded: Container[str],
    load_of: Callable[[str], float],
    draw: Callable[[int], int],
) -> str | None:
    """Return the node that gets a request; ``None`` if there is none.

    :param groups: the nodes
    :param excluded: names of those that do not get it
    :param load_of: returns the number of requests of a node, as far as known
    :param draw: returns a random number from zero to below its argument
    """
    near = _less_loaded(groups.near, excluded, load_of, draw)
    far = _less_loaded(groups.far, excluded, load_of, draw)
    if near is None or far is None:
        return near or far
    limit = load_of(far) * NEAR_LOAD_FACTOR + NEAR_LOAD_MARGIN
    return near if load_of(near) <= limit else far


def has_room(in_progress: int, memory_mb: float, held_share: float) -> bool:
    """Return whether a node accepts another request of other nodes.

    :param in_progress: such requests that it has in progress
    :param memory_mb: memory of the node, in MB
    :param held_share: bytes that it holds for peers, as a share of its limit
    """
    if held_share > MAX_HELD_SHARE:
        return False
    return in_progress < memory_mb * PROXIED_PER_MB


def _less_loaded(
    names: Sequence[str],
    excluded: Container[str],
    load_of: Callable[[str], float],
    draw: Callable[[int], int],
) -> str | None:
    """Return the less loaded one of two random nodes."""
    found: list[str] = []
    if names:
        start = draw(len(names))
        step = 1 + draw(max(1, len(names) - 1))
        for name in _cycle(names, start, step):
            if name not in excluded and name not in found:
                found.append(name)
            if len(found) == _COMPARED:
                break
    return min(found, key=load_of, default=None)


def _cycle(names: Sequence[str], start: int, step: int) -> Iterator[str]:
    """Iterate over two names at a random distance, and then all in order."""
    count = len(names)
    yield names[start]
    yield names[(start + step) % count]
    for index in range(start + 1, start + count):
        yield names[index % count]
