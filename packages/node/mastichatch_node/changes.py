"""Operators' changes of the configuration, usable without a node.

Chunks are written before the root that names them. The root is changed by
compare-and-swap only, so of two racing changes one is accepted and the other
is told. A lost answer is settled by sending the same conditional write again:
whichever of the two took effect, the change happens once.
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

ATTEMPTS: Final = 8
CONFLICT_ATTEMPTS: Final = 50
RETRY_PAUSE_S: Final = 0.25
CONFLICT_PAUSE_S: Final = 0.05
# The listing of all chunks is large, so not each change asks for it.
COLLECT_EVERY_REVISIONS: Final = 16


class ChangeConflictError(MastichatchError):
    """Another change was accepted first."""

    def __init__(self, proposed: ConfigurationRoot) -> None:
        """Name the revision that the other change took."""
        super().__init__(
            ErrorKind.conflict,
            f'another change took revision {proposed.revision}',
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Base:
    """The root that a change starts from.

    :param stored_revision: the key's revision in the platform; zero for none
    """

    root: ConfigurationRoot | None
    stored_revision: int


async def read_root(platform: Platform) -> ConfigurationRoot | None:
    """Return the root in force, or nothing before the first change.

    :param platform: where the configuration is kept
    :raises MastichatchError: with ``platform_unavailable``
    """
    return (await _read_base(platform)).root


async def read_newest_root(platform: Platform) -> ConfigurationRoot | None:
    """Return the root in force, never one from a replica that lags.

    It costs a write, so :func:`read_root` does where an old root leads to
    nothing worse than a conflict.

    :param platform: where the configuration is kept
    :raises MastichatchError: with ``platform_unavailable``, or with
        ``conflict`` if only old roots were read
    """
    for _ in range(CONFLICT_ATTEMPTS):
        base = await _read_base(platform)
        if await _is_newest(platform, base):
            return base.root
        await _pause(CONFLICT_PAUSE_S)
    raise MastichatchError(ErrorKind.conflict, 'only old roots were read')


async def read_manifest(
    platform: Platform,
    root: ConfigurationRoot,
) -> Manifest:
    """Return the manifest that a root names.

    :param platform: where the configuration is kept
    :param root: a root that was read a moment ago
    :raises MastichatchError: with ``platform_unavailable``, or with
        ``conflict`` if a newer change has removed its chunks
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

    :param platform: where the configuration is kept
    :param manifest_bytes: the manifest as JSON
    :param operator: who makes the change
    :param base_revision: revision that the change was made from; without it
        the revision now in force
    :returns: the accepted root
    :raises ManifestError: naming every fault; nothing is written
    :raises MastichatchError: with ``conflict`` if another change was accepted
        first, ``platform_unavailable`` if nothing was accepted, or
        ``outcome_unknown`` if that could not be learned
    """
    parts = chunks.split_manifest(manifest.validate(manifest_bytes))
    base = await _read_base(platform)
    configuration.check_base_revision(base.root, base_revision)
    references = tuple(part.reference for part in parts)
    proposed = configuration.with_manifest(
        base.root,
        references,
        _intent(operator, f'apply manifest {chunks.digest_of(manifest_bytes)}'),
    )
    await _write_chunks(platform, base, parts)
    await _swap(platform, base, proposed)
    await _collect_garbage(platform, base, proposed)
    return proposed


async def set_drain(
    platform: Platform,
    drain: Drain,
    drained: bool,
    operator: str,
) -> ConfigurationRoot:
    """Take a data centre or endpoint out of service, or bring it back.

    Another operator's change in between is kept; this one goes on top.

    :param platform: where the configuration is kept
    :param drain: the data centre or endpoint
    :param drained: whether it is taken out
    :param operator: who makes the change
    :returns: the accepted root; the one in force if nothing has to change
    :raises MastichatchError: with ``not_found`` before the first manifest,
        ``platform_unavailable`` if nothing was accepted, ``conflict`` if
        others always came first, or ``outcome_unknown`` if that could not be
        learned
    """
    verb = 'drain' if drained else 'restore'
    intent = _intent(operator, f'{verb} {drain.kind} {drain.name}')
    for _ in range(CONFLICT_ATTEMPTS):
        base = await _read_base(platform)
        proposed = _propose_drain(base.root, drain, drained, intent)
        with contextlib.suppress(ChangeConflictError):
            await _accept(platform, base, proposed)
            return proposed
        await _pause(CONFLICT_PAUSE_S)
    raise MastichatchError(
        ErrorKind.conflict, 'other changes kept coming first'
    )


def _propose_drain(
    current: ConfigurationRoot | None,
    drain: Drain,
    drained: bool,
    intent: configuration.ChangeMetadata,
) -> ConfigurationRoot:
    if current is None:
        raise MastichatchError(
            ErrorKind.not_found,
            'there is no configuration yet',
        )
    if (drain in current.drains) is drained:
        return current
    return configuration.with_drain(current, drain, drained, intent)


async def _read_base(platform: Platform) -> _Base:
    stored = await platform.read(configuration.ROOT_KEY)
    if stored is None:
        return _Base(root=None, stored_revision=0)
    return _Base(
        root=codec.decode_json(stored.value, ConfigurationRoot),
        stored_revision=stored.revision,
    )


async def _is_newest(platform: Platform, base: _Base) -> bool:
    """Return whether a root is in force, by writing it again as it is.

    A read may come from a replica that lags; a conditional write may not.
    """
    if base.root is None:
        return True
    try:
        await platform.write(
            configuration.ROOT_KEY,
            codec.encode_json(base.root),
            expect=base.stored_revision,
        )
    except RevisionMismatchError:
        return False
    return True


async def _accept(
    platform: Platform,
    base: _Base,
    proposed: ConfigurationRoot,
) -> None:
    """Return once a root is known to be in force, changed or not."""
    if proposed != base.root:
        await _swap(platform, base, proposed)
    elif not await _is_newest(platform, base):
        raise ChangeConflictError(proposed)


async def _write_chunks(
    platform: Platform,
    base: _Base,
    parts: Iterable[chunks.Chunk],
) -> None:
    # A chunk outside the base may be about to be deleted as garbage, although
    # it is there; writing it again raises its revision and so keeps it.
    kept = set() if base.root is None else set(base.root.chunks)
    for part in parts:
        if part.reference not in kept:
            await platform.write(
                configuration.chunk_key(part.digest),
                part.content,
            )


async def _swap(
    platform: Platform,
    base: _Base,
    proposed: ConfigurationRoot,
) -> None:
    """Return once the root is known to have been swapped."""
    content = codec.encode_json(proposed)
    for attempt in range(ATTEMPTS):
        try:
            await platform.write(
                configuration.ROOT_KEY,
                content,
                expect=base.stored_revision,
            )
        except RevisionMismatchError as mismatch:
            if attempt == 0:
                raise ChangeConflictError(proposed) from None
            await _settle(platform, proposed, mismatch.current)
            return
        except MastichatchError as error:
            await _pause_if_unavailable(error)
        else:
            return
    raise _unsettled(proposed)


async def _settle(
    platform: Platform,
    proposed: ConfigurationRoot,
    current_revision: int,
) -> None:
    """Return if the change was accepted, although no answer said so."""
    found = await _read_back(platform, proposed, current_revision)
    settlement = configuration.determine_outcome(proposed, found)
    if settlement is configuration.ChangeOutcome.refused:
        raise ChangeConflictError(proposed)
    if settlement is configuration.ChangeOutcome.unknown:
        raise _unsettled(proposed)


async def _read_back(
    platform: Platform,
    proposed: ConfigurationRoot,
    current_revision: int,
) -> ConfigurationRoot | None:
    for _ in range(ATTEMPTS):
        try:
            base = await _read_base(platform)
        except MastichatchError as error:
            await _pause_if_unavailable(error)
            continue
        if base.stored_revision >= current_revision:
            return base.root
        # A replica that lags behind the write answered.
        await _pause(RETRY_PAUSE_S)
    raise _unsettled(proposed)


async def _pause_if_unavailable(error: MastichatchError) -> None:
    if error.kind is not ErrorKind.platform_unavailable:
        raise error
    await _pause(RETRY_PAUSE_S)


async def _collect_garbage(
    platform: Platform,
    base: _Base,
    accepted: ConfigurationRoot,
) -> None:
    """Delete chunks that no root names and no change in progress counts on.

    A change in progress has either an older base, and will lose its swap, or
    this root as its base, and has written its chunks after it.
    """
    if accepted.revision % COLLECT_EVERY_REVISIONS:
        return
    roots = (accepted,) if base.root is None else (accepted, base.root)
    named = {
        configuration.chunk_key(reference.digest)
        for root in roots
        for reference in root.chunks
    }
    # What a failure leaves over is found again by a later change.
    with contextlib.suppress(MastichatchError):
        listing = await platform.list_entries(configuration.CHUNK_PREFIX)
        for entry in listing.entries:
            old = entry.revision < base.stored_revision
            if old and entry.key not in named:
                await platform.delete(entry.key, expect=entry.revision)


def _intent(operator: str, summary: str) -> configuration.ChangeMetadata:
    return configuration.ChangeMetadata(
        change_id=uuid.uuid4().hex,
        operator=operator,
        summary=summary,
        at_epoch_ms=int(time.time() * MS_PER_S),
    )


async def _pause(mean_s: float) -> None:
    await asyncio.sleep(random.uniform(0, 2 * mean_s))  # noqa: S311


def _unsettled(proposed: ConfigurationRoot) -> MastichatchError:
    return MastichatchError(
        ErrorKind.outcome_unknown,
        f'change {proposed.change_id} may have been accepted as revision '
        f'{proposed.revision}; the history tells',
    )
