"""Changes and reads the configuration that the platform holds."""

from typing import Final

import msgspec

from mastichatch_core import manifest as manifests
from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.manifest import Manifest
from mastichatch_core.generated.messages import ErrorKind
from mastichatch_core.generated.records import (
    ConfigurationRoot,
    Drain,
    DrainKind,
    NodeRecord,
)
from mastichatch_core.manifest_check import find_ineffective
from mastichatch_ctl.differences import EMPTY_MANIFEST, compare
from mastichatch_ctl.results import (
    Accepted,
    Checked,
    Comparison,
    History,
    Validated,
)
from mastichatch_node import changes
from mastichatch_node.platform import Platform

NODE_PREFIX: Final = 'nodes/'


def validate(content: bytes) -> Validated:
    """Check a manifest without asking the platform.

    :param content: the manifest as JSON
    :raises ManifestError: naming every fault with its place
    """
    checked = manifests.validate(content)
    return Validated(
        data_centres=len(checked.data_centres),
        services=len(checked.services),
        endpoints=len(checked.endpoints),
        workspaces=len(checked.workspaces),
    )


def check(content: bytes, current: bytes | None = None) -> Checked:
    """Check a manifest before it is applied.

    :param content: the manifest as JSON
    :param current: manifest to compare with, as JSON, if any
    :raises ManifestError: naming every fault with its place, of either
    """
    new = manifests.validate(content)
    comparison = None
    if current is not None:
        differences = compare(manifests.validate(current), new)
        comparison = Comparison(revision=0, differences=differences)
    return Checked(
        counts=validate(content),
        warnings=find_ineffective(new),
        comparison=comparison,
    )


async def apply(
    platform: Platform,
    content: bytes,
    operator: str,
    base_revision: int | None = None,
) -> Accepted:
    """Put a manifest into force.

    :param platform: where the configuration is kept
    :param content: the manifest as JSON
    :param operator: who makes the change
    :param base_revision: revision that the change was made from; without it
        the revision now in force
    :raises ManifestError: naming every fault; nothing is written
    :raises MastichatchError: with ``conflict`` where another change was
        accepted first
    """
    manifests.validate(content)
    root = await changes.apply_manifest(
        platform,
        content,
        operator,
        base_revision=base_revision,
    )
    return _accepted(root)


async def compare_with_current(
    platform: Platform,
    content: bytes,
) -> Comparison:
    """Return how a manifest differs from the one in force.

    :param platform: where the configuration is kept
    :param content: the manifest as JSON
    :raises ManifestError: naming every fault with its place
    """
    new = manifests.validate(content)
    root = await changes.read_root(platform)
    if root is None:
        return Comparison(revision=0, differences=compare(EMPTY_MANIFEST, new))
    old = await changes.read_manifest(platform, root)
    return Comparison(revision=root.revision, differences=compare(old, new))


async def read_history(platform: Platform) -> History:
    """Return the newest changes.

    :param platform: where the configuration is kept
    """
    root = await changes.read_root(platform)
    if root is None:
        return History(revision=0)
    return History(
        revision=root.revision,
        changes=root.history,
        drains=root.drains,
    )


async def drain(platform: Platform, target: Drain, operator: str) -> Accepted:
    """Take a data centre or endpoint out of service.

    :param platform: where the configuration is kept
    :param target: what is taken out
    :param operator: who makes the change
    :raises MastichatchError: with ``not_found`` where the manifest does not
        name the target
    """
    if not await _is_named(platform, target):
        raise MastichatchError(
            ErrorKind.not_found,
            f'the manifest has no {target.kind} {target.name!r}',
        )
    return _accepted(
        await changes.set_drain(platform, target, True, operator),
    )


async def restore(platform: Platform, target: Drain, operator: str) -> Accepted:
    """Bring a data centre or endpoint back into service.

    :param platform: where the configuration is kept
    :param target: what is brought back
    :param operator: who makes the change
    :raises MastichatchError: with ``not_found`` where it was not taken out
    """
    if not await _is_drained(platform, target):
        raise MastichatchError(
            ErrorKind.not_found,
            f'{target.kind} {target.name!r} is in service',
        )
    return _accepted(
        await changes.set_drain(platform, target, False, operator),
    )


async def _is_named(platform: Platform, target: Drain) -> bool:
    """Return whether the manifest in force names a target."""
    for read in (changes.read_root, changes.read_newest_root):
        root = _existing(await read(platform))
        current = await changes.read_manifest(platform, root)
        if target.name in _names(current, target.kind):
            return True
    return False


async def _is_drained(platform: Platform, target: Drain) -> bool:
    """Return whether a target is out of service."""
    for read in (changes.read_root, changes.read_newest_root):
        if target in _existing(await read(platform)).drains:
            return True
    return False


def _existing(root: ConfigurationRoot | None) -> ConfigurationRoot:
    if root is None:
        raise MastichatchError(
            ErrorKind.not_found,
            'there is no configuration yet',
        )
    return root


def _names(manifest: Manifest, kind: DrainKind) -> set[str]:
    if kind is DrainKind.data_centre:
        return {centre.name for centre in manifest.data_centres}
    return {endpoint.name for endpoint in manifest.endpoints}


def _accepted(root: ConfigurationRoot) -> Accepted:
    return Accepted(revision=root.revision, change_id=root.change_id)


async def read_nodes(platform: Platform) -> tuple[NodeRecord, ...]:
    """Return the nodes that are registered with the platform, by name.

    :param platform: where the nodes register
    """
    listing = await platform.list_entries(NODE_PREFIX)
    records = (
        msgspec.json.decode(entry.value, type=NodeRecord)
        for entry in listing.entries
    )
    return tuple(sorted(records, key=lambda record: record.name))
