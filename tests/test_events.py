"""Tests of the server-sent events of a generation."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mastichatch_core.errors import MastichatchError
from mastichatch_core.events import (
    EventParser,
    TokenEvent,
    encode_error_event,
    encode_events,
    undelivered_events,
)


def stream_of(count: int, generation: str = 'g1') -> bytes:
    events = ''.join(
        f'id: {generation}:{index}\ndata: {{"n": {index}}}\n\n'
        for index in range(count)
    )
    return f'{events}data: [DONE]\n\n'.encode()


class TestParsing:
    @given(count=st.integers(0, 8), cuts=st.lists(st.integers(0, 300)))
    def test_events_do_not_depend_on_read_boundaries(
        self, count: int, cuts: list[int]
    ) -> None:
        data = stream_of(count)
        ends = sorted({min(cut, len(data)) for cut in cuts} | {len(data)})
        parser = EventParser('g1')
        events: list[TokenEvent] = []
        start = 0
        for end in ends:
            events.extend(parser.feed(data[start:end]))
            start = end
        assert [event.index for event in events] == list(range(count))
        assert parser.done

    def test_stream_is_not_done_before_the_done_event(self) -> None:
        parser = EventParser('g1')
        parser.feed(stream_of(2).removesuffix(b'data: [DONE]\n\n'))
        assert not parser.done

    @pytest.mark.parametrize(
        'data',
        [
            stream_of(1, generation='g2'),
            b'id: g1:x\ndata: {}\n\n',
            b'data: {}\n\n',
            b'id: g1:0\ndata: {}\ndata: {}\n\n',
            # ``int`` refuses to convert more than 4,300 digits.
            b'id: g1:' + b'9' * 5000 + b'\ndata: {}\n\n',
        ],
    )
    def test_rejects_foreign_and_malformed_events(self, data: bytes) -> None:
        with pytest.raises(MastichatchError):
            EventParser('g1').feed(data)


class TestOrder:
    @given(
        next_index=st.integers(0, 5),
        indexes=st.lists(st.integers(0, 10), max_size=12),
    )
    def test_delivers_each_index_once_without_gaps(
        self, next_index: int, indexes: list[int]
    ) -> None:
        events = [TokenEvent(index, b'data: {}') for index in indexes]
        try:
            delivered = undelivered_events(events, next_index)
        except MastichatchError:
            assert any(index > next_index for index in indexes)
            return
        numbers = [event.index for event in delivered]
        assert numbers == list(range(next_index, next_index + len(numbers)))

    def test_rejects_a_missing_event(self) -> None:
        with pytest.raises(MastichatchError):
            undelivered_events([TokenEvent(2, b'data: {}')], 1)


class TestEncoding:
    def test_event_id_holds_the_handle_and_the_index(self) -> None:
        encoded = encode_events([TokenEvent(7, b'data: {}')], b'h')
        assert encoded == b'id: h:7\ndata: {}\n\n'

    def test_failed_stream_ends_with_an_error_event(self) -> None:
        assert encode_error_event(b'{}') == b'data: {"error": {}}\n\n'
