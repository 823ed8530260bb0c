"""Tests of the compression of large store entries sent between nodes."""

import uuid
import zlib

import msgspec
import pytest

from mastichatch_core.generated.messages import ViewEntry
from mastichatch_core.generated.records import NodeRecord
from mastichatch_core.relay.packing import (
    MIN_COMPRESSED_BYTES,
    DECOMPRESSED_LIMIT_BYTES,
    PackingError,
    pack,
    pack_together,
    unpack,
    unpack_together,
)
from tests.relay_nodes import configuration, route
from tests.standins.house_endpoints import HouseEndpoint, respond_ok

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


def _whole_view() -> tuple[ViewEntry, ...]:
    """Return entries of eighty nodes, 220 endpoints and a configuration."""
    servers = [HouseEndpoint(f'i-{one:08x}', respond_ok) for one in range(220)]
    entries: dict[str, object] = {
        f'servers/{one.instance}': one.entry('app', 'north') for one in servers
    }
    for number in range(80):
        entries[f'mastichatch/nodes/north-{number}'] = NodeRecord(
            name=f'north-{number}',
            incarnation=uuid.uuid4().hex,
            data_centre='north',
            peer_address=f'10.0.0.{number}:9000',
            http_address=f'10.0.0.{number}:9001',
            proxy_address=f'10.0.0.{number}:9002',
            proxy_token=uuid.uuid4().hex,
            forwards_runs=True,
            knows_eras=True,
        )
    rows = tuple(
        ViewEntry(key=key, revision=9, value=msgspec.json.encode(one))
        for key, one in entries.items()
    )
    document = ViewEntry(
        key='op/config', revision=9, value=_grown_configuration()
    )
    return (*rows, document, ViewEntry(key='gone', revision=8))


class TestPacking:
    def test_grown_configuration_fits_a_slow_link(self) -> None:
        content = _grown_configuration()
        packed = pack(_entry(content))
        assert packed.value is not None
        assert len(content) > 10 * BYTES_PER_NODE
        assert len(packed.value) < BYTES_PER_NODE

    def test_whole_view_fits_a_slow_link(self) -> None:
        """All nodes need it at once when the store has lost some seconds."""
        entries = tuple(map(pack, _whole_view()))
        large, packed = pack_together(entries)
        assert len(msgspec.msgpack.encode(entries)) > 4 * BYTES_PER_NODE
        assert len(msgspec.msgpack.encode((large, packed))) < BYTES_PER_NODE

    def test_whole_view_is_restored(self) -> None:
        entries = _whole_view()
        large, packed = pack_together(tuple(map(pack, entries)))
        restored = (*map(unpack, large), *unpack_together(packed))
        assert {one.key: one for one in restored} == {
            one.key: one for one in entries
        }
        assert not unpack_together(None)

    @pytest.mark.parametrize(
        'content',
        [
            b'',
            b'x',
            zlib.compress(b'x'),
            zlib.compress(msgspec.msgpack.encode([1])),
            zlib.compress(b'x' * 2 * DECOMPRESSED_LIMIT_BYTES),
            pack_together((ViewEntry(key='a', revision=1),))[1][:-1],
        ],
    )
    def test_malformed_whole_view_is_an_error(self, content: bytes) -> None:
        with pytest.raises(PackingError):
            unpack_together(content)

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
