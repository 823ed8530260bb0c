"""Rules by which the configuration changes: pure, without I/O."""

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
HISTORY_LIMIT: Final = 32


class Settlement(enum.Enum):
    """What is known of a change whose answer was lost."""

    accepted = 'accepted'
    refused = 'refused'
    unknown = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Intent:
    """A change that an operator asks for.

    :param change_id: unique id that settles a lost answer
    :param operator: who makes the change
    :param summary: what is changed, in words
    :param at_epoch_ms: wall-clock time, in milliseconds since the epoch
    """

    change_id: str
    operator: str
    summary: str
    at_epoch_ms: int


def chunk_key(digest: str) -> str:
    """Return the platform's key of a chunk.

    :param digest: digest of the chunk
    """
    return f'{CHUNK_PREFIX}{digest}'


def accepts(revision: int, root: ConfigurationRoot) -> bool:
    """Return whether a root takes the place of a revision.

    :param revision: revision in force; zero for none
    :param root: root from the platform or a peer
    """
    return root.revision > revision


def check_base(
    current: ConfigurationRoot | None,
    base_revision: int | None,
) -> None:
    """Refuse a change that was made from another revision.

    :param current: root in force
    :param base_revision: revision that the change was made from; without it
        any will do
    :raises MastichatchError: with ``conflict``
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
    intent: Intent,
) -> ConfigurationRoot:
    """Return the root that puts a manifest into force; drains stay.

    :param current: root in force
    :param references: chunks of the manifest
    :param intent: who asks for it
    """
    drains = () if current is None else current.drains
    return _succeed(current, references, drains, intent)


def with_drain(
    current: ConfigurationRoot,
    drain: Drain,
    drained: bool,
    intent: Intent,
) -> ConfigurationRoot:
    """Return the root that takes something out or back; the manifest stays.

    :param current: root in force
    :param drain: what is taken out or back
    :param drained: whether it is taken out
    :param intent: who asks for it
    """
    others = tuple(each for each in current.drains if each != drain)
    drains = (*others, drain) if drained else others
    return _succeed(current, current.chunks, drains, intent)


def settle(
    proposed: ConfigurationRoot,
    found: ConfigurationRoot | None,
) -> Settlement:
    """Return what a root read back says of a change.

    A root older than the proposed one settles nothing: the write may still
    be under way.

    :param proposed: root that was written without an answer
    :param found: root that was read afterwards
    """
    if found is None or found.revision < proposed.revision:
        return Settlement.unknown
    known = {change.change_id for change in found.history}
    if proposed.change_id in known | {found.change_id}:
        return Settlement.accepted
    oldest = min(
        (change.revision for change in found.history),
        default=found.revision,
    )
    if oldest <= proposed.revision:
        return Settlement.refused
    return Settlement.unknown


def _succeed(
    current: ConfigurationRoot | None,
    references: tuple[ChunkReference, ...],
    drains: tuple[Drain, ...],
    intent: Intent,
) -> ConfigurationRoot:
    revision = 1 if current is None else current.revision + 1
    change = Change(
        revision=revision,
        change_id=intent.change_id,
        operator=intent.operator,
        summary=intent.summary,
        at_epoch_ms=intent.at_epoch_ms,
    )
    history = () if current is None else current.history
    return ConfigurationRoot(
        revision=revision,
        change_id=intent.change_id,
        chunks=references,
        drains=drains,
        history=(*history, change)[-HISTORY_LIMIT:],
    )
