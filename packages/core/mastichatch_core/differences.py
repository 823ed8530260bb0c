"""Compares two versions of a set of named entries."""

import dataclasses
from collections.abc import Callable, Iterator, Mapping
from typing import Any


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EntryChange:
    """One entry that differs.

    :param name: name of the entry
    :param effect: ``added``, ``removed`` or ``changed``
    :param fields: what changed, as ``field: old -> new``
    """

    name: str
    effect: str
    fields: tuple[str, ...] = ()


def compare_entries(
    old: Mapping[str, Any],
    new: Mapping[str, Any],
    describe: Callable[[str, Any, Any], str],
) -> Iterator[EntryChange]:
    """Return the entries that differ, in the order of their names.

    :param old: entries to start from, data classes by name
    :param new: entries to arrive at
    :param describe: returns the text of a field's change, given its name and
        both values
    """
    for name in sorted(old.keys() | new.keys()):
        if name not in old:
            yield EntryChange(name=name, effect='added')
        elif name not in new:
            yield EntryChange(name=name, effect='removed')
        elif old[name] != new[name]:
            yield EntryChange(
                name=name,
                effect='changed',
                fields=tuple(_changed_fields(old[name], new[name], describe)),
            )


def _changed_fields(
    old: Any, new: Any, describe: Callable[[str, Any, Any], str]
) -> Iterator[str]:
    for field in dataclasses.fields(old):
        before, after = getattr(old, field.name), getattr(new, field.name)
        if before != after:
            yield describe(field.name, before, after)
