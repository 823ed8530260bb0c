"""Compresses large entries of a view for other nodes.

Load pattern: the configuration grows by a thousand routes, and one node with a
link of 10 Mbit/s passes it on to some thirty others within seconds.
"""

import dataclasses
import functools
import zlib
from typing import Final

from mastichatch_core.generated.messages import ViewEntry

# Smaller contents fit into a few packets as they are.
PACKED_FROM_BYTES: Final = 4096
# The platform's store holds values of a megabyte; what unpacks to more than
# this is not a copy of one.
UNPACKED_LIMIT_BYTES: Final = 8 * 1024 * 1024
# The newest contents of which the compressed form is kept.
CONTENTS_KEPT: Final = 4
# The fastest level: JSON shrinks to about a tenth with any.
LEVEL: Final = 1


class PackingError(Exception):
    """A compressed content cannot be restored."""


def pack(entry: ViewEntry) -> ViewEntry:
    """Return an entry as it is sent to other nodes.

    :param entry: an entry of this node's view
    """
    content = entry.value
    if content is None or len(content) < PACKED_FROM_BYTES:
        return entry
    return dataclasses.replace(
        entry, value=_compressed(content), is_compressed=True
    )


def unpack(entry: ViewEntry) -> ViewEntry:
    """Return an entry as ``pack`` was given it.

    :param entry: an entry that another node sent
    :raises PackingError: if its content is not whole, or too large
    """
    if not entry.is_compressed or entry.value is None:
        return entry
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(entry.value, UNPACKED_LIMIT_BYTES)
    except zlib.error as error:
        raise PackingError(str(error)) from error
    if not decompressor.eof:
        raise PackingError('the content is cut off, or too large')
    return dataclasses.replace(entry, value=content, is_compressed=False)


@functools.lru_cache(maxsize=CONTENTS_KEPT)
def _compressed(content: bytes) -> bytes:
    return zlib.compress(content, LEVEL)
