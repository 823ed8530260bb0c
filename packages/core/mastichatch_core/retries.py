"""Limit retries to a share of first attempts."""

import dataclasses
from typing import Final

BURST_RETRIES: Final = 10.0
PERCENT: Final = 100


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RetryBudget:
    """A token bucket that first attempts fill and retries drain.

    :param percent: retries allowed, in percent of first attempts
    :param burst: largest number of retries that can accumulate
    :param tokens: retries allowed now
    """

    percent: int
    burst: float = BURST_RETRIES
    tokens: float = BURST_RETRIES


def deposit(budget: RetryBudget) -> RetryBudget:
    """Return the budget after one more first attempt.

    :param budget: budget before the attempt
    """
    tokens = min(budget.burst, budget.tokens + budget.percent / PERCENT)
    return dataclasses.replace(budget, tokens=tokens)


def withdraw(budget: RetryBudget) -> RetryBudget | None:
    """Return the budget after one retry, or ``None`` if none is allowed.

    :param budget: budget before the retry
    """
    if budget.tokens < 1:
        return None
    return dataclasses.replace(budget, tokens=budget.tokens - 1)
