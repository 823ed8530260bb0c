"""OpenAI-style chat requests and responses."""

import dataclasses
from collections.abc import Iterable
from typing import Any, Final

import msgspec
import xxhash

from mastichatch_core.errors import MastichatchError
from mastichatch_core.events import TokenEvent
from mastichatch_core.generated.messages import ErrorKind

_CHARACTERS_PER_TOKEN: Final = 4
_HASH_MASK: Final = (1 << 63) - 1

# Only the fields of the structs below are read from a chat request. All other
# fields are forwarded to the engine unchanged.
JsonObject = dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChatRequest:
    """The fields of a chat request that affect routing and scheduling.

    :param model: name of the model service
    :param stream: whether the caller requested a streamed response
    :param prompt_tokens: estimated length of the prompt, in tokens
    :param max_tokens: limit on output tokens; zero if unknown
    :param prefix_hash: hash of model and first message, for cache affinity
    :param engine_body: request body for the engine, always with ``stream`` set
    """

    model: str
    stream: bool
    prompt_tokens: int
    max_tokens: int
    prefix_hash: int
    engine_body: bytes


class _Message(msgspec.Struct):
    role: str
    content: str | list[JsonObject] | None = None


class _Body(msgspec.Struct):
    model: str
    messages: list[_Message]
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    n: int | None = None  # noqa: WPS111 - named by the OpenAI API


class _Delta(msgspec.Struct):
    role: str | None = None
    content: str | None = None


class _Choice(msgspec.Struct):
    delta: _Delta = msgspec.field(default_factory=_Delta)
    finish_reason: str | None = None


class _Chunk(msgspec.Struct):
    created: int = 0
    model: str = ''
    choices: list[_Choice] = msgspec.field(default_factory=list)
    usage: JsonObject | None = None


def parse_chat(body: bytes) -> ChatRequest:
    """Return the parsed chat request of a caller.

    :param body: JSON as received
    :raises MastichatchError: with ``bad_request`` if the body is invalid
    """
    try:
        parsed = msgspec.json.decode(body, type=_Body)
    except msgspec.MsgspecError as error:
        raise _bad_request(str(error)) from None
    if not parsed.messages:
        raise _bad_request('messages is empty')
    if parsed.n not in {None, 1}:
        raise _bad_request('n must be 1: a stream carries one generation')
    max_tokens = parsed.max_completion_tokens or parsed.max_tokens or 0
    if max_tokens < 0:
        raise _bad_request('max_tokens is negative')
    raw: JsonObject = msgspec.json.decode(body)
    raw['stream'] = True
    return ChatRequest(
        model=parsed.model,
        stream=parsed.stream,
        prompt_tokens=max(len(body) // _CHARACTERS_PER_TOKEN, 1),
        max_tokens=max_tokens,
        prefix_hash=_prefix_hash(parsed),
        engine_body=msgspec.json.encode(raw),
    )


def build_completion(handle: str, events: Iterable[TokenEvent]) -> bytes:
    """Return the JSON response to a request that is not streamed.

    :param handle: handle of the generation, used as the response id
    :param events: all events of one generation
    """
    chunks = [
        msgspec.json.decode(event.line.removeprefix(b'data:'), type=_Chunk)
        for event in events
    ]
    choices = [choice for chunk in chunks for choice in chunk.choices]
    finish_reasons = [choice.finish_reason for choice in choices]
    answer: JsonObject = {
        'id': f'chatcmpl-{handle}',
        'object': 'chat.completion',
        'created': chunks[0].created if chunks else 0,
        'model': chunks[0].model if chunks else '',
        'choices': [
            {
                'index': 0,
                'message': {
                    'role': 'assistant',
                    'content': ''.join(
                        choice.delta.content or '' for choice in choices
                    ),
                },
                'finish_reason': finish_reasons[-1]
                if finish_reasons
                else 'stop',
            },
        ],
    }
    usages = [chunk.usage for chunk in chunks if chunk.usage is not None]
    if usages:
        answer['usage'] = usages[-1]
    return msgspec.json.encode(answer)


def _prefix_hash(body: _Body) -> int:
    first = body.messages[0]
    digest = xxhash.xxh3_64_intdigest(
        msgspec.json.encode((body.model, first.role, first.content)),
    )
    return digest & _HASH_MASK


def _bad_request(message: str) -> MastichatchError:
    return MastichatchError(ErrorKind.bad_request, message)
