"""Compresses store entries that a node sends to other nodes.

Load pattern: the configuration grows by a thousand routes, and one node with a
link of 10 Mbit/s sends it to about thirty other nodes within seconds. When the
store comes back from an older copy, they all need the whole view, with hundreds
of small entries that are much alike.
"""

import dataclasses
import functools
import zlib
from typing import Final

import msgspec

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
    content = _decompress(entry.value)
    return dataclasses.replace(entry, value=content, is_compressed=False)


def pack_together(
    entries: tuple[ViewEntry, ...],
) -> tuple[tuple[ViewEntry, ...], bytes]:
    """Return a whole view in the form in which it is sent to other nodes.

    :param entries: results of ``pack``
    :returns: the entries that are compressed already, and the other ones
    """
    large = tuple(one for one in entries if one.is_compressed)
    small = tuple(one for one in entries if not one.is_compressed)
    return large, _compressed_together(small)


def unpack_together(content: bytes | None) -> tuple[ViewEntry, ...]:
    """Return the entries that ``pack_together`` has compressed.

    :param content: compressed entries that another node sent, if any
    :raises PackingError: if they are malformed, truncated or too large
    """
    if content is None:
        return ()
    try:
        return _ENTRIES.decode(_decompress(content))
    except msgspec.MsgspecError as error:
        raise PackingError(str(error)) from error


_ENTRIES: Final = msgspec.msgpack.Decoder(tuple[ViewEntry, ...])


def _decompress(content: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        decompressed = decompressor.decompress(
            content, DECOMPRESSED_LIMIT_BYTES
        )
    except zlib.error as error:
        raise PackingError(str(error)) from error
    if not decompressor.eof:
        raise PackingError('the compressed value is truncated or too large')
    return decompressed


@functools.lru_cache(maxsize=1)
def _compressed_together(entries: tuple[ViewEntry, ...]) -> bytes:
    return zlib.compress(msgspec.msgpack.encode(entries), ZLIB_LEVEL)


@functools.lru_cache(maxsize=CACHED_VALUES)
def _compressed(content: bytes) -> bytes:
    return zlib.compress(content, ZLIB_LEVEL)
