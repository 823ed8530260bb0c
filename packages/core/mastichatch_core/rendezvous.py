"""Rendezvous hashing: nodes that know the same names choose the same one."""

from collections.abc import Iterable

from typing import Final

import xxhash

_SCORE_COUNT: Final = 2**64


def ranked(names: Iterable[str], key: str) -> tuple[str, ...]:
    """Return the names in descending order of their weight for a key.

    Removing a name does not change the order of the others.

    :param names: names to choose from
    :param key: key that a name is chosen for
    """
    return tuple(
        sorted(
            set(names),
            key=lambda name: (_score(name, key), name),
            reverse=True,
        ),
    )


def pick(names: Iterable[str], key: str) -> str:
    """Return the name with the highest weight for a key.

    :param names: names to choose from
    :param key: key that a name is chosen for
    :raises ValueError: if there are no names
    """
    return max(names, key=lambda name: (_score(name, key), name))


def unit_weight(name: str, key: str) -> float:
    """Return a name's weight for a key, uniformly distributed from 0 to 1.

    :param name: the name
    :param key: the key
    """
    return _score(name, key) / _SCORE_COUNT


def _score(name: str, key: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{key}\0{name}'.encode())
