"""Applies operators' changes to the configuration; needs no running node.

Chunks are written before the root that references them. The root is changed
by compare-and-swap only, so of two concurrent changes one is accepted and the
other fails with a conflict. When the answer to a write is lost, the same
conditional write is sent again: at most one of the two takes effect, so the
change is made at most once.
"""

import asyncio
import contextlib
import dataclasses
import random
import time
import uuid
from collections.abc import Iterable
from typing import Final

from mastichatch_core import chunks, configuration, manifest
from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.manifest import Manifest
from mastichatch_core.generated.messages import ErrorKind
from mastichatch_core.generated.records import ConfigurationRoot, Drain
from mastichatch_core.units import MS_PER_S
from mastichatch_node import codec
from mastichatch_node.platform import Platform, RevisionMismatchError

MAX_ATTEMPTS: Final = 8
MAX_CONFLICT_ATTEMPTS: Final = 50
MEAN_RETRY_DELAY_S: Final = 0.25
MEAN_CONFLICT_DELAY_S: Final = 0.05
# Garbage collection lists all chunks, which is too large to do on each change.
COLLECTION_INTERVAL_REVISIONS: Final = 16


class ChangeConflictError(MastichatchError):
    """Another change took the proposed revision."""

    def __init__(self, proposed: ConfigurationRoot) -> None:
        """Create the error.

        :param proposed: root whose revision was taken
        """
        super().__init__(
            ErrorKind.conflict,
            f'another change took revision {proposed.revision}',
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _BaseRoot:
    """The root that a change is based on.

    :param root: the root, ``None`` before the first change
    :param key_revision: revision of the root key in the platform; zero if
        the key does not exist
    """

    root: ConfigurationRoot | None
    key_revision: int


async def read_root(platform: Platform) -> ConfigurationRoot | None:
    """Return the root in force, or ``None`` before the first change.

    A lagging replica may return an older root.

    :param platform: where the configuration is stored
    :raises MastichatchError: with ``platform_unavailable``
    """
    return (await _read_base(platform)).root


async def read_newest_root(platform: Platform) -> ConfigurationRoot | None:
    """Return the root in force, never an older one from a lagging replica.

    This costs a write. :func:`read_root` suffices where an older root leads to
    a conflict at worst.

    :param platform: where the configuration is stored
    :raises MastichatchError: with ``platform_unavailable``, or with
        ``conflict`` if only old roots were read
    """
    for _ in range(MAX_CONFLICT_ATTEMPTS):
        base = await _read_base(platform)
        if await _is_in_force(platform, base):
            return base.root
        await _sleep_with_jitter(MEAN_CONFLICT_DELAY_S)
    raise MastichatchError(ErrorKind.conflict, 'only old roots were read')


async def read_manifest(
    platform: Platform,
    root: ConfigurationRoot,
) -> Manifest:
    """Return the manifest that a root references.

    :param platform: where the configuration is stored
    :param root: a recently read root
    :raises MastichatchError: with ``platform_unavailable``, or with
        ``conflict`` if a newer change has deleted the chunks of the root
    """
    parts = []
    for reference in root.chunks:
        stored = await platform.read(configuration.chunk_key(reference.digest))
        if stored is None:
            raise MastichatchError(
                ErrorKind.conflict,
                f'revision {root.revision} is no longer kept',
            )
        parts.append(chunks.unpack(reference, stored.value))
    return chunks.assemble(parts)


async def apply_manifest(
    platform: Platform,
    manifest_bytes: bytes,
    operator: str,
    *,
    base_revision: int | None = None,
) -> ConfigurationRoot:
    """Put a manifest into force.

    :param platform: where the configuration is stored
    :param manifest_bytes: the manifest as JSON
    :param operator: name of the operator, kept in the history
    :param base_revision: revision that the change is based on; without it
        the revision now in force
    :returns: the accepted root
    :raises ManifestError: listing every fault; nothing is written
    :raises MastichatchError: with ``conflict`` if another change was accepted
        first, ``platform_unavailable`` if nothing was accepted, or
        ``outcome_unknown`` if the outcome could not be determined
    """
    parts = chunks.split_manifest(manifest.validate(manifest_bytes))
    base = await _read_base(platform)
    configuration.check_base_revision(base.root, base_revision)
    references = tuple(part.reference for part in parts)
    proposed = configuration.with_manifest(
        base.root,
        references,
        _create_metadata(
            operator, f'apply manifest {chunks.digest_of(manifest_bytes)}'
        ),
    )
    await _write_chunks(platform, base, parts)
    await _compare_and_swap(platform, base, proposed)
    await _collect_garbage(platform, base, proposed)
    return proposed


async def set_drain(
    platform: Platform,
    drain: Drain,
    drained: bool,
    operator: str,
) -> ConfigurationRoot:
    """Take a data centre or endpoint out of service, or bring it back.

    Concurrent changes of other operators are kept: the drain is applied to
    the newest root.

    :param platform: where the configuration is stored
    :param drain: the data centre or endpoint
    :param drained: ``True`` to drain, ``False`` to restore
    :param operator: name of the operator, kept in the history
    :returns: the accepted root, or the root in force if it needs no change
    :raises MastichatchError: with ``not_found`` before the first manifest,
        ``platform_unavailable`` if nothing was accepted, ``conflict`` if
        each attempt lost to another change, or ``outcome_unknown`` if the
        outcome could not be determined
    """
    verb = 'drain' if drained else 'restore'
    metadata = _create_metadata(operator, f'{verb} {drain.kind} {drain.name}')
    for _ in range(MAX_CONFLICT_ATTEMPTS):
        base = await _read_base(platform)
        proposed = _propose_drain(base.root, drain, drained, metadata)
        with contextlib.suppress(ChangeConflictError):
            await _ensure_in_force(platform, base, proposed)
            return proposed
        await _sleep_with_jitter(MEAN_CONFLICT_DELAY_S)
    raise MastichatchError(
        ErrorKind.conflict, 'other changes kept coming first'
    )


def _propose_drain(
    current: ConfigurationRoot | None,
    drain: Drain,
    drained: bool,
    metadata: configuration.ChangeMetadata,
) -> ConfigurationRoot:
    if current is None:
        raise MastichatchError(
            ErrorKind.not_found,
            'there is no configuration yet',
        )
    if (drain in current.drains) is drained:
        return current
    return configuration.with_drain(current, drain, drained, metadata)


async def _read_base(platform: Platform) -> _BaseRoot:
    stored = await platform.read(configuration.ROOT_KEY)
    if stored is None:
        return _BaseRoot(root=None, key_revision=0)
    return _BaseRoot(
        root=codec.decode_json(stored.value, ConfigurationRoot),
        key_revision=stored.revision,
    )


async def _is_in_force(platform: Platform, base: _BaseRoot) -> bool:
    """Return whether a root is in force, by rewriting it unchanged.

    A lagging replica may serve a read, but never a conditional write.
    """
    if base.root is None:
        return True
    try:
        await platform.write(
            configuration.ROOT_KEY,
            codec.encode_json(base.root),
            expect=base.key_revision,
        )
    except RevisionMismatchError:
        return False
    return True


async def _ensure_in_force(
    platform: Platform,
    base: _BaseRoot,
    proposed: ConfigurationRoot,
) -> None:
    """Return once the proposed root is known to be in force."""
    if proposed != base.root:
        await _compare_and_swap(platform, base, proposed)
    elif not await _is_in_force(platform, base):
        raise ChangeConflictError(proposed)


async def _write_chunks(
    platform: Platform,
    base: _BaseRoot,
    parts: Iterable[chunks.Chunk],
) -> None:
    # A stored chunk that the base does not reference may be about to be
    # deleted as garbage. Writing it again raises its revision, which makes
    # the conditional delete fail.
    base_references = set() if base.root is None else set(base.root.chunks)
    for part in parts:
        if part.reference not in base_references:
            await platform.write(
                configuration.chunk_key(part.digest),
                part.content,
            )


async def _compare_and_swap(
    platform: Platform,
    base: _BaseRoot,
    proposed: ConfigurationRoot,
) -> None:
    """Replace the base by the proposed root, and return once confirmed."""
    content = codec.encode_json(proposed)
    for attempt in range(MAX_ATTEMPTS):
        try:
            await platform.write(
                configuration.ROOT_KEY,
                content,
                expect=base.key_revision,
            )
        except RevisionMismatchError as mismatch:
            if attempt == 0:
                raise ChangeConflictError(proposed) from None
            await _confirm_accepted(platform, proposed, mismatch.current)
            return
        except MastichatchError as error:
            await _sleep_if_unavailable(error)
        else:
            return
    raise _outcome_unknown_error(proposed)


async def _confirm_accepted(
    platform: Platform,
    proposed: ConfigurationRoot,
    current_revision: int,
) -> None:
    """Return if the change was accepted although the answer was lost."""
    found = await _read_written_root(platform, proposed, current_revision)
    outcome = configuration.determine_outcome(proposed, found)
    if outcome is configuration.ChangeOutcome.refused:
        raise ChangeConflictError(proposed)
    if outcome is configuration.ChangeOutcome.unknown:
        raise _outcome_unknown_error(proposed)


async def _read_written_root(
    platform: Platform,
    proposed: ConfigurationRoot,
    current_revision: int,
) -> ConfigurationRoot | None:
    for _ in range(MAX_ATTEMPTS):
        try:
            base = await _read_base(platform)
        except MastichatchError as error:
            await _sleep_if_unavailable(error)
            continue
        if base.key_revision >= current_revision:
            return base.root
        # A replica that lags behind the write served the read.
        await _sleep_with_jitter(MEAN_RETRY_DELAY_S)
    raise _outcome_unknown_error(proposed)


async def _sleep_if_unavailable(error: MastichatchError) -> None:
    if error.kind is not ErrorKind.platform_unavailable:
        raise error
    await _sleep_with_jitter(MEAN_RETRY_DELAY_S)


async def _collect_garbage(
    platform: Platform,
    base: _BaseRoot,
    accepted: ConfigurationRoot,
) -> None:
    """Delete chunks that no recent root or change in progress references.

    The recent roots are the accepted one and the one that it replaced.

    A change in progress is either based on an older root, and its
    compare-and-swap will fail, or based on this root, and its chunks were
    written after this root.
    """
    if accepted.revision % COLLECTION_INTERVAL_REVISIONS:
        return
    roots = (accepted,) if base.root is None else (accepted, base.root)
    referenced_keys = {
        configuration.chunk_key(reference.digest)
        for root in roots
        for reference in root.chunks
    }
    # A later collection deletes the chunks that a failure leaves behind.
    with contextlib.suppress(MastichatchError):
        listing = await platform.list_entries(configuration.CHUNK_PREFIX)
        for entry in listing.entries:
            is_older = entry.revision < base.key_revision
            if is_older and entry.key not in referenced_keys:
                await platform.delete(entry.key, expect=entry.revision)


def _create_metadata(
    operator: str, summary: str
) -> configuration.ChangeMetadata:
    return configuration.ChangeMetadata(
        change_id=uuid.uuid4().hex,
        operator=operator,
        summary=summary,
        at_epoch_ms=int(time.time() * MS_PER_S),
    )


async def _sleep_with_jitter(mean_s: float) -> None:
    await asyncio.sleep(random.uniform(0, 2 * mean_s))  # noqa: S311


def _outcome_unknown_error(proposed: ConfigurationRoot) -> MastichatchError:
    return MastichatchError(
        ErrorKind.outcome_unknown,
        f'change {proposed.change_id} may have been accepted as revision '
        f'{proposed.revision}; the history tells',
    )
