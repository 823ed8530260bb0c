"""Tests of the budget of bytes that a process holds."""

import pytest

from mastichatch_core.relay.byte_budget import (
    BudgetExceededError,
    ByteBudget,
    HeldBuffer,
    Purpose,
    Shortage,
)
from mastichatch_node.relay.http_client import ExchangeError, connect
from tests.processes import free_address
from tests.relay_nodes import new_resources

LIMIT = 1_000_000
# Buffers of other sizes than small ones may use this much.
ROOM = 800_000


def open_buffers(
    budget: ByteBudget, owner: str, sizes: tuple[int, ...]
) -> tuple[HeldBuffer, ...]:
    """Hold buffers of one owner, which may be cut."""
    buffers = tuple(
        budget.open(Purpose.answer, owner, lambda: None) for _ in sizes
    )
    for buffer, size in zip(buffers, sizes, strict=True):
        buffer.grow(size)
    return buffers


class TestConnections:
    """Guards against buffers that outlive their connections."""

    async def test_failed_connection_leaves_no_buffer(self) -> None:
        resources = new_resources()
        with pytest.raises(ExchangeError):
            await connect(free_address(), 1, resources)
        assert not resources.budget.buffers


class TestByteBudget:
    def test_bytes_are_returned_after_the_block(self) -> None:
        budget = ByteBudget(LIMIT)
        with budget.hold(Purpose.store, 'a') as buffer:
            buffer.grow(300)
            buffer.shrink(100)
            assert budget.total == budget.held(Purpose.store) == 200
        assert budget.total == 0

    def test_bytes_are_returned_once(self) -> None:
        budget = ByteBudget(LIMIT)
        with budget.hold(Purpose.store, 'a') as buffer:
            buffer.grow(300)
            buffer.close()
        assert budget.total == 0
        with pytest.raises(BudgetExceededError):
            buffer.grow(1)

    def test_who_takes_most_is_cut_for_others(self) -> None:
        lost: list[Shortage] = []
        budget = ByteBudget(LIMIT, lost.append)
        small, large = open_buffers(budget, 'greedy', (300_000, 400_000))
        (other,) = open_buffers(budget, 'modest', (50_000,))
        other.grow(150_000)
        assert (small.size, large.size, other.size) == (300_000, 0, 200_000)
        assert [(one.owner, one.size) for one in lost] == [('greedy', 400_000)]
        assert budget.total == 500_000

    def test_who_takes_most_is_refused(self) -> None:
        budget = ByteBudget(LIMIT)
        (mine,) = open_buffers(budget, 'greedy', (500_000,))
        (other,) = open_buffers(budget, 'modest', (200_000,))
        with pytest.raises(BudgetExceededError):
            mine.grow(200_000)
        assert (mine.size, other.size) == (0, 200_000)

    def test_buffer_that_is_kept_is_not_cut(self) -> None:
        budget = ByteBudget(LIMIT)
        (kept,) = open_buffers(budget, 'greedy', (700_000,))
        kept.keep()
        (other,) = open_buffers(budget, 'modest', (50_000,))
        with pytest.raises(BudgetExceededError):
            other.grow(100_000)
        assert kept.size == 700_000

    def test_small_buffers_have_room_beside_large_ones(self) -> None:
        budget = ByteBudget(LIMIT)
        (kept,) = open_buffers(budget, 'greedy', (ROOM,))
        kept.keep()
        for number in range(10):
            open_buffers(budget, f'small {number}', (20_000,))
        assert budget.total == LIMIT
        with pytest.raises(BudgetExceededError):
            open_buffers(budget, 'last', (20_000,))

    def test_total_never_exceeds_the_limit(self) -> None:
        budget = ByteBudget(LIMIT)
        for number in range(500):
            buffer = budget.open(Purpose.unread, f'o{number % 7}', lambda: None)
            try:
                buffer.grow(number * 97 % 60_000)
            except BudgetExceededError:
                buffer.close()
            assert budget.total <= LIMIT
