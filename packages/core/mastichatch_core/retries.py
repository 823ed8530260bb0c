"""The retry budget: retries as a share of first attempts."""

import dataclasses
from typing import Final

BURST_RETRIES: Final = 10.0
PERCENT: Final = 100


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RetryBudget:
    """A token bucket that first attempts fill and retries empty.

    :param percent: retries allowed, in percent of first attempts
    :param burst: most retries that can be saved up
    :param tokens: retries allowed now
    """

    percent: int
    burst: float = BURST_RETRIES
    tokens: float = BURST_RETRIES


def deposit(budget: RetryBudget) -> RetryBudget:
    """Return the budget after one more first attempt.

    :param budget: the budget before it
    """
    tokens = min(budget.burst, budget.tokens + budget.percent / PERCENT)
    return dataclasses.replace(budget, tokens=tokens)


def withdraw(budget: RetryBudget) -> RetryBudget | None:
    """Return the budget after one retry; ``None`` where none is allowed.

    :param budget: the budget before it
    """
    if budget.tokens < 1:
        return None
    return dataclasses.replace(budget, tokens=budget.tokens - 1)
