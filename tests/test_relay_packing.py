"""Tests of the compression of large store entries sent between nodes."""

import zlib

import msgspec
import pytest

from mastichatch_core.generated.messages import ViewEntry
from mastichatch_core.relay.packing import (
    MIN_COMPRESSED_BYTES,
    DECOMPRESSED_LIMIT_BYTES,
    PackingError,
    pack,
    unpack,
)
from tests.relay_nodes import configuration, route

# Bytes that a reader with the slowest specified link (5 Mbit/s) can send to
# each of thirty nodes within half of the shortest time in which a change must
# be in force (2 s).
BYTES_PER_NODE = 5e6 / 8 * 1.0 / 30


def _grown_configuration() -> bytes:
    routes = [
        route(f'added-{number}', 'safe', 'app', host=f'h{number % 7}.example')
        for number in range(1400)
    ]
    return msgspec.json.encode(configuration(routes=routes))


def _entry(content: bytes | None) -> ViewEntry:
    return ViewEntry(key='op/config', revision=7, value=content)


class TestPacking:
    def test_grown_configuration_fits_a_slow_link(self) -> None:
        content = _grown_configuration()
        packed = pack(_entry(content))
        assert packed.value is not None
        assert len(content) > 10 * BYTES_PER_NODE
        assert len(packed.value) < BYTES_PER_NODE

    def test_content_is_restored(self) -> None:
        entry = _entry(_grown_configuration())
        assert unpack(pack(entry)) == entry

    @pytest.mark.parametrize(
        'content', [None, b'', b'x' * (MIN_COMPRESSED_BYTES - 1)]
    )
    def test_small_entries_are_not_compressed(
        self, content: bytes | None
    ) -> None:
        entry = _entry(content)
        assert pack(entry) == entry
        assert unpack(entry) == entry

    @pytest.mark.parametrize(
        'content',
        [
            b'no such format',
            zlib.compress(b'x' * 9000)[:-5],
            zlib.compress(bytes(DECOMPRESSED_LIMIT_BYTES + 1)),
        ],
    )
    def test_malformed_value_is_an_error(self, content: bytes) -> None:
        entry = ViewEntry(
            key='op/config', revision=7, value=content, is_compressed=True
        )
        with pytest.raises(PackingError):
            unpack(entry)
