"""Rendezvous hashing: nodes that see the same names choose the same one."""

from collections.abc import Iterable

from typing import Final

import xxhash

_SCORES: Final = 2**64


def ranked(names: Iterable[str], key: str) -> tuple[str, ...]:
    """Return the names in the order of their claim to a key.

    Removing a name leaves the order of the others as it was.

    :param names: names to choose from
    :param key: what they are chosen for
    """
    return tuple(
        sorted(
            set(names),
            key=lambda name: (_score(name, key), name),
            reverse=True,
        ),
    )


def pick(names: Iterable[str], key: str) -> str:
    """Return the name with the highest claim to a key.

    :param names: names to choose from
    :param key: what one is chosen for
    :raises ValueError: without names
    """
    return max(names, key=lambda name: (_score(name, key), name))


def share(name: str, key: str) -> float:
    """Return a name's claim to a key, evenly distributed from zero to one.

    :param name: the name
    :param key: the key
    """
    return _score(name, key) / _SCORES


def _score(name: str, key: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{key}\0{name}'.encode())
