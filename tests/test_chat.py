"""Tests of chat request parsing and of responses without streaming."""

import msgspec
import pytest

from mastichatch_core.chat import build_completion, parse_chat
from mastichatch_core.errors import MastichatchError
from mastichatch_core.events import TokenEvent
from mastichatch_core.generated.messages import ErrorKind

MESSAGES = [{'role': 'user', 'content': 'hello'}]


def parse(**fields: object) -> object:
    body = {'model': 'm', 'messages': MESSAGES, **fields}
    return parse_chat(msgspec.json.encode(body))


class TestRequests:
    def test_keeps_unknown_fields_and_sets_stream(self) -> None:
        chat = parse_chat(
            msgspec.json.encode(
                {'model': 'm', 'messages': MESSAGES, 'temperature': 0.5},
            ),
        )
        engine_body = msgspec.json.decode(chat.engine_body)
        assert engine_body['temperature'] == 0.5
        assert engine_body['stream'] is True
        assert not chat.stream

    @pytest.mark.parametrize(
        'fields',
        [
            {'model': 5},
            {'messages': []},
            {'messages': 'hello'},
            {'messages': [{'content': 'no role'}]},
            {'stream': 'yes'},
            {'n': 2},
            {'max_tokens': -1},
        ],
    )
    def test_rejects_invalid_fields(self, fields: dict[str, object]) -> None:
        with pytest.raises(MastichatchError) as caught:
            parse(**fields)
        assert caught.value.kind is ErrorKind.bad_request

    @pytest.mark.parametrize('body', [b'', b'{', b'[]', b'\xff\xfe'])
    def test_rejects_a_body_that_is_no_json_object(self, body: bytes) -> None:
        with pytest.raises(MastichatchError):
            parse_chat(body)

    def test_equal_prefixes_have_equal_hashes(self) -> None:
        def prefix(question: str) -> int:
            messages = [{'role': 'system', 'content': 'same'}]
            messages.append({'role': 'user', 'content': question})
            body = {'model': 'm', 'messages': messages}
            return parse_chat(msgspec.json.encode(body)).prefix_hash

        assert prefix('one') == prefix('two')


def test_response_without_streaming_joins_all_events() -> None:
    def chunk(text: str, finish: str | None) -> bytes:
        choice = {'delta': {'content': text}, 'finish_reason': finish}
        return b'data: ' + msgspec.json.encode(
            {'model': 'm', 'created': 1, 'choices': [choice]},
        )

    events = [
        TokenEvent(0, chunk('a ', None)),
        TokenEvent(1, chunk('b', 'stop')),
    ]
    answer = msgspec.json.decode(build_completion('h', events))
    assert answer['choices'][0]['message']['content'] == 'a b'
    assert answer['choices'][0]['finish_reason'] == 'stop'
