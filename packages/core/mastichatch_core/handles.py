"""Signed handles that identify a generation at any node."""

import base64
import dataclasses
import hashlib
import hmac
from typing import Final

import msgspec

from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.messages import ErrorKind

_MAC_BYTES: Final = 12


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GenerationHandle:
    """Location and owner of a generation.

    :param endpoint: name of the endpoint
    :param boot_id: boot id of the engine; generation ids repeat across boots
    :param generation: id that the engine assigned to the generation
    :param service: name of the service
    :param workspace: name of the workspace that owns the generation
    """

    endpoint: str
    boot_id: str
    generation: str
    service: str
    workspace: str


def encode_handle(handle: GenerationHandle, secret: bytes) -> str:
    """Return the signed text form of a handle.

    :param handle: the handle
    :param secret: secret that all nodes share
    """
    payload = msgspec.msgpack.encode(handle)
    signed = _mac(payload, secret) + payload
    return base64.urlsafe_b64encode(signed).decode().rstrip('=')


def decode_handle(text: str, secret: bytes) -> GenerationHandle:
    """Return the decoded handle after verifying its signature.

    :param text: text form, as :func:`encode_handle` returns it
    :param secret: secret that all nodes share
    :raises MastichatchError: with ``not_found`` if the text is malformed
        or its signature is wrong
    """
    try:
        signed = base64.urlsafe_b64decode(text + '=' * (-len(text) % 4))
    except ValueError:
        raise _not_found_error() from None
    mac, payload = signed[:_MAC_BYTES], signed[_MAC_BYTES:]
    if not hmac.compare_digest(mac, _mac(payload, secret)):
        raise _not_found_error()
    return msgspec.msgpack.decode(payload, type=GenerationHandle)


def _mac(payload: bytes, secret: bytes) -> bytes:
    return hmac.digest(secret, payload, hashlib.sha256)[:_MAC_BYTES]


def _not_found_error() -> MastichatchError:
    return MastichatchError(
        ErrorKind.not_found,
        'no generation has this id',
    )
