"""Tests of signed generation handles."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.messages import ErrorKind
from mastichatch_core.handles import (
    GenerationHandle,
    decode_handle,
    encode_handle,
)

SECRET = b'a secret of the tests'
HANDLES = st.builds(
    GenerationHandle,
    endpoint=st.text(),
    boot_id=st.text(),
    generation=st.text(),
    service=st.text(),
    workspace=st.text(),
)


@given(HANDLES)
def test_handle_round_trips(handle: GenerationHandle) -> None:
    assert decode_handle(encode_handle(handle, SECRET), SECRET) == handle


@given(HANDLES, st.integers(0, 200), st.characters(max_codepoint=122))
def test_changed_handle_is_rejected(
    handle: GenerationHandle, position: int, character: str
) -> None:
    text = encode_handle(handle, SECRET)
    at = position % (len(text) - 1)
    changed = text[:at] + character + text[at + 1 :]
    try:
        assert decode_handle(changed, SECRET) == handle
    except MastichatchError as error:
        assert error.kind is ErrorKind.not_found


def test_handle_signed_with_another_secret_is_rejected() -> None:
    handle = GenerationHandle(
        endpoint='e', boot_id='b', generation='g', service='s', workspace='w'
    )
    with pytest.raises(MastichatchError):
        decode_handle(encode_handle(handle, SECRET), b'another')
