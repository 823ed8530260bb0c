"""Tests of the retry budget."""

from hypothesis import given
from hypothesis import strategies as st

from mastichatch_core.retries import (
    BURST_RETRIES,
    PERCENT,
    RetryBudget,
    deposit,
    withdraw,
)


class TestBudget:
    """Retries are limited to a share of first attempts."""

    @given(st.integers(1, 100), st.lists(st.booleans(), max_size=300))
    def test_retries_stay_under_their_share_and_the_burst(
        self, percent: int, events: list[bool]
    ) -> None:
        budget = RetryBudget(percent=percent)
        firsts = 0
        retries = 0
        for is_first in events:
            if is_first:
                firsts += 1
                budget = deposit(budget)
                continue
            remaining = withdraw(budget)
            retries += remaining is not None
            budget = remaining or budget
        allowed = BURST_RETRIES + firsts * percent / PERCENT
        assert retries <= allowed + 1e-6
