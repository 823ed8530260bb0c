"""Tests of how long outcomes are kept."""

from hypothesis import given
from hypothesis import strategies as st

from mastichatch_core.outcomes import OutcomeRetention


class TestRetention:
    """No outcome is removed before it expires."""

    @given(
        st.lists(
            st.tuples(st.floats(0, 100), st.integers(0, 1000)), max_size=20
        ),
        st.floats(0, 100),
    )
    def test_outcomes_expire_at_their_time_and_not_before(
        self, outcomes: list[tuple[float, int]], now: float
    ) -> None:
        retention = OutcomeRetention()
        for number, (until, size) in enumerate(outcomes):
            retention.keep(str(number), size, until)
        removed = {int(name) for name in retention.expire(now)}
        due = {
            number for number, (until, _) in enumerate(outcomes) if until <= now
        }
        assert removed == due
        assert retention.size_bytes == sum(
            size
            for number, (_, size) in enumerate(outcomes)
            if number not in due
        )

    def test_full_store_has_no_room_until_something_expires(self) -> None:
        retention = OutcomeRetention(limit=2)
        retention.keep('a', 1, 10)
        assert retention.has_room(0)
        assert not retention.has_room(1)
        retention.expire(10)
        assert retention.has_room(1)

    def test_size_limit_counts_too(self) -> None:
        retention = OutcomeRetention(limit_bytes=10)
        retention.keep('a', 10, 10)
        assert not retention.has_room(0)
