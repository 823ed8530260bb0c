"""Split a manifest into content-addressed chunks and reassemble it.

The topology is one chunk. Workspaces are distributed over buckets by a hash
of their name, so that a change to one workspace replaces one small chunk.
"""

import dataclasses
import hashlib
import operator
import zlib
from collections.abc import Iterable
from typing import Any, Final

import msgspec
import xxhash

from mastichatch_core.generated.manifest import Manifest, Workspace
from mastichatch_core.generated.records import ChunkReference

TOPOLOGY: Final = 'topology'
BUCKET_COUNT: Final = 64
BUCKET_PREFIX: Final = 'workspaces-'
DIGEST_BYTES: Final = 16
# Limits the memory that a damaged or malicious chunk takes when decompressed.
UNPACKED_LIMIT_BYTES: Final = 32 * 1024 * 1024


class ChunkError(Exception):
    """Raised if a chunk is missing, damaged or of the wrong kind."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Chunk:
    """One part of a manifest.

    :param name: ``topology`` or the name of a bucket
    :param digest: hash of the content, in hexadecimal
    :param content: JSON compressed with zlib
    """

    name: str
    digest: str
    content: bytes

    @property
    def reference(self) -> ChunkReference:
        """Reference to the chunk for the configuration root."""
        return ChunkReference(name=self.name, digest=self.digest)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChunkContent:
    """The decoded content of one chunk.

    :param topology: manifest without workspaces; ``None`` for a bucket
    :param workspaces: workspaces of a bucket
    """

    topology: Manifest | None = None
    workspaces: tuple[Workspace, ...] = ()


def digest_of(content: bytes) -> str:
    """Return the digest that identifies a chunk's content.

    :param content: bytes of the chunk
    """
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES).hexdigest()


def split_manifest(manifest: Manifest) -> tuple[Chunk, ...]:
    """Return the chunks of a manifest, without empty buckets.

    :param manifest: a valid manifest
    """
    buckets: dict[int, list[Workspace]] = {}
    for workspace in manifest.workspaces:
        buckets.setdefault(_bucket(workspace.name), []).append(workspace)
    topology = dataclasses.replace(manifest, workspaces=())
    chunks = [_pack(TOPOLOGY, topology)]
    for number, workspaces in sorted(buckets.items()):
        workspaces.sort(key=operator.attrgetter('name'))
        chunks.append(_pack(f'{BUCKET_PREFIX}{number}', workspaces))
    return tuple(chunks)


def unpack(reference: ChunkReference, content: bytes) -> ChunkContent:
    """Return the decoded content of a chunk.

    :param reference: reference to the chunk from the configuration root
    :param content: bytes of the chunk
    :raises ChunkError: if the digest differs or the content is malformed
    """
    if digest_of(content) != reference.digest:
        raise ChunkError(f'chunk {reference.name} has another digest')
    try:
        if reference.name == TOPOLOGY:
            return ChunkContent(topology=_decode(content, Manifest))
        return ChunkContent(workspaces=_decode(content, tuple[Workspace, ...]))
    except (zlib.error, msgspec.MsgspecError, RecursionError) as error:
        raise ChunkError(f'chunk {reference.name}: {error}') from error


def assemble(parts: Iterable[ChunkContent]) -> Manifest:
    """Return the manifest assembled from parts, workspaces sorted by name.

    :param parts: one topology and any number of buckets
    :raises ChunkError: if there is not exactly one topology
    """
    found = tuple(parts)
    topologies = [part.topology for part in found if part.topology is not None]
    if len(topologies) != 1:
        raise ChunkError(f'{len(topologies)} topologies in place of one')
    workspaces = [each for part in found for each in part.workspaces]
    workspaces.sort(key=operator.attrgetter('name'))
    return dataclasses.replace(topologies[0], workspaces=tuple(workspaces))


def _bucket(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode()) % BUCKET_COUNT


def _pack(name: str, content: Any) -> Chunk:
    packed = zlib.compress(msgspec.json.encode(content))
    return Chunk(name=name, digest=digest_of(packed), content=packed)


def _decode(content: bytes, kind: Any) -> Any:
    unpacker = zlib.decompressobj()
    text = unpacker.decompress(content, UNPACKED_LIMIT_BYTES)
    return msgspec.json.decode(text, type=kind)
