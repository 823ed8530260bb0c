"""Tests of the limits on requests a second that servers name.

A late answer from before a limit, or a message of a host that has not heard of
its end, brings an old value back; the server then gets too many requests, or
too few for as long as hosts tell each other so.
"""

import math
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mastichatch_core.relay.server_limits import (
    LIFTED_KEPT_S,
    MAX_LIMIT_PER_S,
    RAMP_DOUBLING_S,
    RAMP_FIRST_PER_S,
    RAMP_S,
    TOLD_TOLERANCE_S,
    LimitNotice,
    LimitTable,
    ToldLimit,
    read_notice,
)

# Largest head of an answer, and time in which a node must have read it.
HEAD_BYTES = 65536
LONGEST_READ_S = 0.5
NO_LIMIT = LimitNotice(per_s=None)
PER_S = st.none() | st.sampled_from([0.0, 0.3, 2.0, 20.0])


def limited(per_s: float = 2, sent_at: float = 10) -> LimitTable:
    table = LimitTable()
    assert table.record_answer('i', LimitNotice(per_s=per_s), sent_at, 100)
    return table


def told(per_s: float | None, age_s: float) -> ToldLimit:
    return ToldLimit(instance='i', per_s=per_s, age_s=age_s)


class TestNotice:
    @pytest.mark.parametrize(
        ('texts', 'per_s'),
        [
            ([], None),
            (['1.2'], 1.2),
            ([' \t0.25 '], 0.25),
            (['0'], 0),
            (['.5'], 0.5),
            (['25e-1'], 2.5),
            (['1e9'], None),
            (['1000'], MAX_LIMIT_PER_S),
            (['1000.1'], None),
            (['3', '1.5', '2'], 1.5),
            (['nan', '7', '-1', ''], 7),
            (['1e9', '4'], 4),
        ],
    )
    def test_lowest_valid_value_counts(
        self, texts: list[str], per_s: float | None
    ) -> None:
        assert read_notice(texts) == LimitNotice(per_s=per_s)

    @pytest.mark.parametrize(
        'text',
        ['', ' ', '-1', 'nan', 'inf', '-inf', '1e999', 'two', '1_0', '0x1']
        + ['1 2', '٣', '1,5', '.', 'e1'],
    )
    def test_invalid_values_alone_say_nothing(self, text: str) -> None:
        assert read_notice([text]) is None
        assert read_notice([text, 'x']) is None

    def test_long_invalid_value_is_read_within_a_short_time(self) -> None:
        started_s = time.process_time()
        assert read_notice(['9' * HEAD_BYTES + 'x']) is None
        assert time.process_time() - started_s < LONGEST_READ_S


class TestAnswers:
    def test_limit_stays_until_it_is_changed_or_lifted(self) -> None:
        table = limited(2, 10)
        assert table.limit('i', 1e6) == 2
        assert table.in_force(100) == {'i': 2}
        assert not table.record_answer('i', LimitNotice(per_s=2), 11, 100)
        assert not table.record_answer('i', None, 50, 100)
        assert table.all_told(100) == (told(2, 89),)
        assert table.record_answer('i', LimitNotice(per_s=0), 12, 100)
        assert table.limit('i', 100) == 0
        assert table.record_answer('i', NO_LIMIT, 13, 100)
        assert table.limit('i', 100) is None
        assert not table.in_force(100)
        assert not table.record_answer('i', NO_LIMIT, 14, 100)

    @pytest.mark.parametrize('per_s', [None, 1.0, 3.0])
    def test_answer_to_an_earlier_request_changes_nothing(
        self, per_s: float | None
    ) -> None:
        table = limited(2, 10)
        assert not table.record_answer('i', LimitNotice(per_s=per_s), 9, 200)
        assert table.find_told('i', 200) == told(2, 190)

    def test_answer_from_before_the_end_does_not_bring_a_limit_back(
        self,
    ) -> None:
        table = limited(2, 10)
        table.record_answer('i', NO_LIMIT, 20, 100)
        table.record_answer('i', NO_LIMIT, 22, 100)
        assert not table.record_answer('i', LimitNotice(per_s=2), 21, 101)
        assert table.record_answer('i', LimitNotice(per_s=2), 23, 101)

    def test_answer_without_a_limit_leaves_no_state(self) -> None:
        table = LimitTable()
        assert not table.record_answer('i', NO_LIMIT, 10, 11)
        assert not table.record_told(told(None, 1), 11)
        assert not table.all_told(11)
        assert table.record_answer('i', LimitNotice(per_s=2), 9, 12)

    def test_servers_are_told_apart_and_forgotten(self) -> None:
        table = limited(2, 10)
        table.record_answer('k', LimitNotice(per_s=3), 10, 100)
        assert table.in_force(100) == {'i': 2, 'k': 3}
        table.keep_only(['k', 'other'])
        assert table.in_force(100) == {'k': 3}
        assert table.rate('i', 100) is None

    def test_request_of_the_future_does_not_block_evidence(self) -> None:
        table = limited(2, 1e9)
        assert table.record_answer('i', NO_LIMIT, 101, 102)


class TestEnd:
    def test_rate_grows_after_a_limit_was_lifted(self) -> None:
        table = limited(2, 10)
        table.record_answer('i', NO_LIMIT, 50, 100)
        table.record_answer('i', NO_LIMIT, 101, 101)
        assert table.rate('i', 100) == 2
        assert table.rate('i', 100 + RAMP_DOUBLING_S) == 4
        assert table.rate('i', 100 + 2 * RAMP_DOUBLING_S) == 8
        assert table.rate('i', 100 + RAMP_S) is None
        assert table.record_answer('i', LimitNotice(per_s=0.5), 102, 102)
        assert table.rate('i', 102) == 0.5
        assert table.record_answer('i', NO_LIMIT, 103, 103)
        assert table.rate('i', 103) == RAMP_FIRST_PER_S

    def test_lifted_limit_is_told_for_some_time(self) -> None:
        table = limited(2, 10)
        table.record_answer('i', NO_LIMIT, 90, 100)
        table.record_answer('i', NO_LIMIT, 101, 101)
        before, after = 99 + LIFTED_KEPT_S, 100 + LIFTED_KEPT_S
        assert table.all_told(before) == (told(None, before - 101),)
        assert not table.all_told(after)
        assert table.rate('i', after) is None


class TestTold:
    def test_told_limit_is_kept_with_its_age_and_lifted(self) -> None:
        table = LimitTable()
        assert table.record_told(told(2, 5), 100)
        assert table.find_told('i', 101) == told(2, 6)
        assert not table.record_answer('i', NO_LIMIT, 94, 101)
        assert not table.record_told(told(None, 6.5), 101)
        assert table.record_told(told(None, 5.5), 101)
        assert table.rate('i', 101) == 2

    @pytest.mark.parametrize(
        ('per_s', 'age_s'),
        [(value, 1) for value in (math.nan, math.inf, -math.inf, -1)]
        + [(3, value) for value in (math.nan, math.inf, -math.inf, -1)],
    )
    def test_malformed_values_are_ignored(
        self, per_s: float, age_s: float
    ) -> None:
        table = limited(2, 10)
        assert not table.record_told(told(per_s, age_s), 100)
        assert table.all_told(100) == (told(2, 90),)

    def test_limit_above_the_highest_is_told_as_its_end(self) -> None:
        table = limited(2, 10)
        assert table.record_told(told(MAX_LIMIT_PER_S + 1, 0), 100)
        assert table.limit('i', 100) is None

    @pytest.mark.parametrize('age_s', [0, 1e300])
    def test_wrong_age_does_not_block_later_evidence(
        self, age_s: float
    ) -> None:
        table = LimitTable()
        assert table.record_told(told(2, age_s), 100)
        assert table.record_answer('i', NO_LIMIT, 100.1, 101)

    def test_evidence_told_in_circles_does_not_become_newer(self) -> None:
        """Each message takes 50 ms, and hosts answer each other at once."""
        hosts = [LimitTable() for _ in range(9)]
        hosts[0].record_answer('i', LimitNotice(per_s=2), 0, 0)
        for number in range(9000):
            sender, now = hosts[number % 9], 0.05 * number
            message = sender.find_told('i', now)
            assert message is not None
            hosts[(number + 1) % 9].record_told(message, now + 0.05)
        assert all(
            host.record_answer('i', NO_LIMIT, TOLD_TOLERANCE_S, 460)
            for host in hosts
        )


class TestOrders:
    @given(st.lists(st.tuples(st.floats(1, 99), PER_S)))
    def test_any_order_of_answers_ends_in_the_latest_sent(
        self, answers: list[tuple[float, float | None]]
    ) -> None:
        """Of answers to requests sent at the same time the lowest counts."""
        table = limited(7, 0)
        for sent_at, per_s in answers:
            table.record_answer('i', LimitNotice(per_s=per_s), sent_at, 100)
        latest = max((at for at, _ in answers), default=0)
        values = [per_s for at, per_s in answers if at == latest] or [7]
        named = [per_s for per_s in values if per_s is not None]
        assert table.limit('i', 100) == min(named, default=None)

    @given(per_s=st.lists(PER_S, min_size=1, max_size=6), data=st.data())
    def test_any_order_of_answers_and_messages_ends_in_the_latest_sent(
        self, per_s: list[float | None], data: st.DataObject
    ) -> None:
        """Requests are sent 1 s apart, and messages take up to 50 ms."""
        hosts = [limited(7, 0) for _ in range(4)]
        now = 100.0
        steps: list[int | None] = [*range(len(per_s)), *[None] * 6]
        for step in data.draw(st.permutations(steps)):
            one, other = data.draw(st.permutations(hosts))[:2]
            if step is None:
                message = one.find_told('i', now)
                now += data.draw(st.floats(0, 0.05))
                assert message is not None
                other.record_told(message, now)
            else:
                notice = LimitNotice(per_s=per_s[step])
                one.record_answer('i', notice, step + 1, now)
        for _ in range(2):
            for host in hosts:
                for message in host.all_told(now):
                    for other in hosts:
                        other.record_told(message, now)
        assert [host.limit('i', now) for host in hosts] == [per_s[-1]] * 4
