"""Pure functions that create and compare configuration roots.

A root references the chunks of the manifest and lists drains and changes.
"""

import dataclasses
import enum
from typing import Final

from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.messages import ErrorKind
from mastichatch_core.generated.records import (
    Change,
    ChunkReference,
    ConfigurationRoot,
    Drain,
)

ROOT_KEY: Final = 'configuration/root'
CHUNK_PREFIX: Final = 'configuration/chunks/'
# Number of changes that a root lists.
HISTORY_LIMIT: Final = 32


class ChangeOutcome(enum.Enum):
    """The outcome of a change whose response was lost."""

    accepted = 'accepted'
    refused = 'refused'
    unknown = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChangeMetadata:
    """Metadata of a change that an operator requests.

    :param change_id: unique id that identifies the change in the history, so
        that its outcome can be determined after a lost response
    :param operator: name of the operator who makes the change
    :param summary: description of the change for people
    :param at_epoch_ms: wall-clock time, in milliseconds since the epoch
    """

    change_id: str
    operator: str
    summary: str
    at_epoch_ms: int


def chunk_key(digest: str) -> str:
    """Return the platform key of a chunk.

    :param digest: digest of the chunk
    """
    return f'{CHUNK_PREFIX}{digest}'


def is_newer(revision: int, root: ConfigurationRoot) -> bool:
    """Return whether a root is newer than a revision.

    :param revision: revision in force; zero if there is none
    :param root: root received from the platform or a peer
    """
    return root.revision > revision


def check_base_revision(
    current: ConfigurationRoot | None,
    base_revision: int | None,
) -> None:
    """Check that a change is based on the revision in force.

    :param current: root in force; ``None`` if there is none
    :param base_revision: revision that the change is based on; ``None``
        skips the check
    :raises MastichatchError: with ``conflict`` if the revisions differ
    """
    revision = 0 if current is None else current.revision
    if base_revision not in {None, revision}:
        raise MastichatchError(
            ErrorKind.conflict,
            f'made from revision {base_revision}, now at {revision}',
        )


def with_manifest(
    current: ConfigurationRoot | None,
    references: tuple[ChunkReference, ...],
    metadata: ChangeMetadata,
) -> ConfigurationRoot:
    """Return the successor root with another manifest and the same drains.

    :param current: root in force; ``None`` if there is none
    :param references: references to the chunks of the manifest
    :param metadata: metadata of the change
    """
    drains = () if current is None else current.drains
    return _successor(current, references, drains, metadata)


def with_drain(
    current: ConfigurationRoot,
    drain: Drain,
    drained: bool,
    metadata: ChangeMetadata,
) -> ConfigurationRoot:
    """Return the successor root with a drain added or removed.

    :param current: root in force
    :param drain: data centre or endpoint to drain or restore
    :param drained: whether the drain is added; otherwise it is removed
    :param metadata: metadata of the change
    """
    others = tuple(each for each in current.drains if each != drain)
    drains = (*others, drain) if drained else others
    return _successor(current, current.chunks, drains, metadata)


def determine_outcome(
    proposed: ConfigurationRoot,
    found: ConfigurationRoot | None,
) -> ChangeOutcome:
    """Return the outcome of a change according to a root read afterwards.

    A root older than the proposed one leaves the outcome unknown, because
    the write may still be in progress. So does a root whose history no
    longer reaches back to the proposed revision.

    :param proposed: root whose write received no response
    :param found: root that was read afterwards; ``None`` if there is none
    """
    if found is None or found.revision < proposed.revision:
        return ChangeOutcome.unknown
    known = {change.change_id for change in found.history}
    if proposed.change_id in known | {found.change_id}:
        return ChangeOutcome.accepted
    oldest = min(
        (change.revision for change in found.history),
        default=found.revision,
    )
    if oldest <= proposed.revision:
        return ChangeOutcome.refused
    return ChangeOutcome.unknown


def _successor(
    current: ConfigurationRoot | None,
    references: tuple[ChunkReference, ...],
    drains: tuple[Drain, ...],
    metadata: ChangeMetadata,
) -> ConfigurationRoot:
    revision = 1 if current is None else current.revision + 1
    change = Change(
        revision=revision,
        change_id=metadata.change_id,
        operator=metadata.operator,
        summary=metadata.summary,
        at_epoch_ms=metadata.at_epoch_ms,
    )
    history = () if current is None else current.history
    return ConfigurationRoot(
        revision=revision,
        change_id=metadata.change_id,
        chunks=references,
        drains=drains,
        history=(*history, change)[-HISTORY_LIMIT:],
    )
