"""Encodes generated messages as msgpack or JSON, and decodes them."""

import dataclasses
import functools
from collections.abc import Hashable
from typing import Any, TypeVar, cast

import msgspec

_Message = TypeVar('_Message')


class DecodeError(Exception):
    """The bytes do not hold a message of the expected type."""


def encode(message: object) -> bytes:
    """Encode a message as msgpack, omitting fields with default values.

    :param message: instance of a generated data class
    """
    return msgspec.msgpack.encode(_without_defaults(message))


def decode(content: bytes, message_type: type[_Message]) -> _Message:
    """Decode a message from msgpack.

    :param content: bytes that ``encode`` returned
    :param message_type: generated data class
    :raises DecodeError: if the bytes do not hold such a message
    """
    return cast(
        _Message,
        _decode_with(_msgpack_decoder(cast(Hashable, message_type)), content),
    )


def encode_json(message: object) -> bytes:
    """Encode a message as JSON, for stored values that people also read.

    :param message: instance of a generated data class
    """
    return msgspec.json.encode(message)


def decode_json(content: bytes, message_type: type[_Message]) -> _Message:
    """Decode a message from JSON.

    :param content: JSON text in UTF-8
    :param message_type: generated data class
    :raises DecodeError: if the text does not hold such a message
    """
    return cast(
        _Message,
        _decode_with(_json_decoder(cast(Hashable, message_type)), content),
    )


def _without_defaults(value: object) -> object:
    if isinstance(value, tuple):
        return [_without_defaults(item) for item in value]
    if not dataclasses.is_dataclass(value):
        return value
    fields = {}
    for name, default in _field_defaults(cast(Hashable, type(value))):
        field = getattr(value, name)
        if field != default:
            fields[name] = _without_defaults(field)
    return fields


def _decode_with(decoder: Any, content: bytes) -> Any:
    try:
        return decoder.decode(content)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        raise DecodeError(str(error)) from error


@functools.cache
def _field_defaults(message_type: Any) -> tuple[tuple[str, object], ...]:
    return tuple(
        (field.name, field.default)
        for field in dataclasses.fields(message_type)
    )


@functools.cache
def _msgpack_decoder(message_type: Any) -> Any:
    return msgspec.msgpack.Decoder(message_type)


@functools.cache
def _json_decoder(message_type: Any) -> Any:
    return msgspec.json.Decoder(message_type)
