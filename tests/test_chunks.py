"""Tests of splitting a manifest into chunks."""

import dataclasses
import zlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mastichatch_core import chunks
from mastichatch_core.generated.manifest import (
    DataCentre,
    Manifest,
    Workspace,
)

NAMES = st.text('abcdefghij-0123456789', min_size=1, max_size=8)
WORKSPACES = st.lists(
    st.builds(Workspace, name=NAMES, weight=st.integers(1, 99)),
    max_size=200,
    unique_by=lambda workspace: workspace.name,
)


def create_manifest(workspaces: list[Workspace]) -> Manifest:
    """Return a manifest with the workspaces, sorted by name."""
    return Manifest(
        data_centres=(DataCentre(name='north'),),
        services=(),
        endpoints=(),
        workspaces=tuple(sorted(workspaces, key=lambda each: each.name)),
    )


class TestChunks:
    @given(WORKSPACES)
    def test_manifest_is_reassembled_from_its_chunks(
        self, workspaces: list[Workspace]
    ) -> None:
        manifest = create_manifest(workspaces)
        parts = [
            chunks.unpack(chunk.reference, chunk.content)
            for chunk in chunks.split_manifest(manifest)
        ]
        assert chunks.assemble(reversed(parts)) == manifest

    @given(WORKSPACES.filter(bool), st.data())
    def test_changing_one_workspace_changes_one_chunk(
        self, workspaces: list[Workspace], data: st.DataObject
    ) -> None:
        index = data.draw(st.integers(0, len(workspaces) - 1))
        changed = list(workspaces)
        changed[index] = dataclasses.replace(changed[index], weight=100)
        before = chunks.split_manifest(create_manifest(workspaces))
        after = chunks.split_manifest(create_manifest(changed))
        assert len(set(after) - set(before)) == 1

    @given(st.data())
    def test_damaged_chunk_is_rejected(self, data: st.DataObject) -> None:
        chunk = chunks.split_manifest(create_manifest([Workspace(name='a')]))[0]
        index = data.draw(st.integers(0, len(chunk.content) - 1))
        content = bytearray(chunk.content)
        content[index] ^= 1
        with pytest.raises(chunks.ChunkError):
            chunks.unpack(chunk.reference, bytes(content))

    def test_chunk_of_another_manifest_is_rejected(self) -> None:
        chunk = chunks.split_manifest(create_manifest([]))[0]
        other = chunks.split_manifest(
            dataclasses.replace(
                create_manifest([]),
                data_centres=(DataCentre(name='south'),),
            )
        )[0]
        with pytest.raises(chunks.ChunkError):
            chunks.unpack(chunk.reference, other.content)

    def test_malformed_content_with_a_matching_digest_is_rejected(self) -> None:
        for content in (b'noise', zlib.compress(b'{}'), zlib.compress(b'[[')):
            reference = dataclasses.replace(
                chunks.split_manifest(create_manifest([]))[0].reference,
                digest=chunks.digest_of(content),
            )
            with pytest.raises(chunks.ChunkError):
                chunks.unpack(reference, content)

    def test_manifest_without_topology_is_rejected(self) -> None:
        with pytest.raises(chunks.ChunkError):
            chunks.assemble([])
