"""Encoding and decoding of messages."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mastichatch_core.generated.messages import Envelope, Heartbeat
from mastichatch_core.generated.records import Change, ConfigurationRoot
from mastichatch_node import codec

INTEGERS = st.integers(min_value=-(2**63), max_value=2**63 - 1)
ENVELOPES = st.builds(Envelope, correlation=INTEGERS)
CHANGES = st.builds(Change, revision=INTEGERS, at_epoch_ms=INTEGERS)
ROOTS = st.builds(
    ConfigurationRoot,
    revision=INTEGERS,
    history=st.lists(CHANGES).map(tuple),
)


class TestCodec:
    @given(ENVELOPES)
    def test_msgpack_round_trip_keeps_the_message(
        self, envelope: Envelope
    ) -> None:
        assert codec.decode(codec.encode(envelope), Envelope) == envelope

    @given(ROOTS)
    def test_json_round_trip_keeps_the_record(
        self, root: ConfigurationRoot
    ) -> None:
        assert codec.decode_json(codec.encode_json(root), type(root)) == root

    @given(st.binary())
    def test_random_bytes_raise_decode_error(self, content: bytes) -> None:
        for decode in (codec.decode, codec.decode_json):
            with pytest.raises(codec.DecodeError):
                decode(content, Heartbeat)
