"""Compresses large store entries that a node sends to other nodes.

Load pattern: the configuration grows by a thousand routes, and one node with a
link of 10 Mbit/s sends it to about thirty other nodes within seconds.
"""

import dataclasses
import functools
import zlib
from typing import Final

from mastichatch_core.generated.messages import ViewEntry

# Smaller values fit into a few packets without compression.
MIN_COMPRESSED_BYTES: Final = 4096
# Limits the memory that a malformed message can use. The platform's store holds
# values of up to one megabyte, so a larger result cannot be a copy of one.
DECOMPRESSED_LIMIT_BYTES: Final = 8 * 1024 * 1024
# Number of recently packed values whose compressed form is cached.
CACHED_VALUES: Final = 4
# The fastest level; JSON shrinks to about a tenth at any level.
ZLIB_LEVEL: Final = 1


class PackingError(Exception):
    """A compressed value cannot be decompressed."""


def pack(entry: ViewEntry) -> ViewEntry:
    """Return an entry in the form in which it is sent to other nodes.

    :param entry: an entry of the store
    """
    content = entry.value
    if content is None or len(content) < MIN_COMPRESSED_BYTES:
        return entry
    return dataclasses.replace(
        entry, value=_compressed(content), is_compressed=True
    )


def unpack(entry: ViewEntry) -> ViewEntry:
    """Return the original entry of a result of ``pack``.

    :param entry: an entry that another node sent
    :raises PackingError: if its value is malformed, truncated or too large
    """
    if not entry.is_compressed or entry.value is None:
        return entry
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(entry.value, DECOMPRESSED_LIMIT_BYTES)
    except zlib.error as error:
        raise PackingError(str(error)) from error
    if not decompressor.eof:
        raise PackingError('the compressed value is truncated or too large')
    return dataclasses.replace(entry, value=content, is_compressed=False)


@functools.lru_cache(maxsize=CACHED_VALUES)
def _compressed(content: bytes) -> bytes:
    return zlib.compress(content, ZLIB_LEVEL)
