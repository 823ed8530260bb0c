"""Compares two manifests item by item."""

import dataclasses
from typing import Final

from mastichatch_core.differences import compare_entries
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
        Difference(
            section=section.name,
            name=change.name,
            effect=change.effect,
            fields=change.fields,
        )
        for section in dataclasses.fields(Manifest)
        for change in compare_entries(
            {each.name: each for each in getattr(old, section.name)},
            {each.name: each for each in getattr(new, section.name)},
            _describe,
        )
    )


def _describe(name: str, before: object, after: object) -> str:
    return f'{name}: {_text(before)} -> {_text(after)}'


def _text(value: object) -> str:
    if not isinstance(value, tuple):
        return str(value)
    names = (str(getattr(each, 'name', each)) for each in value)
    return '[{0}]'.format(', '.join(names))
