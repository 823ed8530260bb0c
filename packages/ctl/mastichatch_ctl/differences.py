"""Compares two manifests item by item."""

import dataclasses
from collections.abc import Iterator
from typing import Any, Final

from mastichatch_core.generated.manifest import Manifest
from mastichatch_ctl.results import Difference

EMPTY_MANIFEST: Final = Manifest(
    data_centres=(),
    services=(),
    endpoints=(),
    workspaces=(),
)


def compare(old: Manifest, new: Manifest) -> tuple[Difference, ...]:
    """Return every item that differs, by section and name.

    :param old: manifest to start from
    :param new: manifest to arrive at
    """
    return tuple(
        difference
        for section in dataclasses.fields(Manifest)
        for difference in _compare_section(
            section.name,
            {each.name: each for each in getattr(old, section.name)},
            {each.name: each for each in getattr(new, section.name)},
        )
    )


def _compare_section(
    section: str,
    old: dict[str, Any],
    new: dict[str, Any],
) -> Iterator[Difference]:
    for name in sorted(old.keys() | new.keys()):
        if name not in old:
            yield Difference(section=section, name=name, effect='added')
        elif name not in new:
            yield Difference(section=section, name=name, effect='removed')
        elif old[name] != new[name]:
            yield Difference(
                section=section,
                name=name,
                effect='changed',
                fields=_changed_fields(old[name], new[name]),
            )


def _changed_fields(old: Any, new: Any) -> tuple[str, ...]:
    changed = []
    for field in dataclasses.fields(old):
        before, after = getattr(old, field.name), getattr(new, field.name)
        if before != after:
            changed.append(f'{field.name}: {_text(before)} -> {_text(after)}')
    return tuple(changed)


def _text(value: object) -> str:
    if not isinstance(value, tuple):
        return str(value)
    names = (str(getattr(each, 'name', each)) for each in value)
    return '[{0}]'.format(', '.join(names))
