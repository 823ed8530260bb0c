"""Handles by which a caller names its own generation at any node."""

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
    """Where a generation runs, and whose it is.

    :param endpoint: name of the endpoint
    :param boot_id: boot of the engine; generation ids repeat across boots
    :param generation: id that the engine gave
    :param service: name of the service
    :param workspace: name of the workspace that asked
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
    """Return the handle that a caller presented.

    :param text: what :func:`encode_handle` gave
    :param secret: secret that all nodes share
    :raises MastichatchError: with ``not_found`` when it was not signed here
    """
    try:
        signed = base64.urlsafe_b64decode(text + '=' * (-len(text) % 4))
    except ValueError:
        raise _unknown() from None
    mac, payload = signed[:_MAC_BYTES], signed[_MAC_BYTES:]
    if not hmac.compare_digest(mac, _mac(payload, secret)):
        raise _unknown()
    return msgspec.msgpack.decode(payload, type=GenerationHandle)


def _mac(payload: bytes, secret: bytes) -> bytes:
    return hmac.digest(secret, payload, hashlib.sha256)[:_MAC_BYTES]


def _unknown() -> MastichatchError:
    return MastichatchError(
        ErrorKind.not_found,
        'no generation has this id',
    )
