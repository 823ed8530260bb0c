"""Predict the peak memory of an engine until its running outputs end.

Every generation of an engine grows by one token per step, so the memory after
``u`` more steps is the sum over the generations that still run then. Only the
distributions of output lengths are known. The peak is therefore the largest,
over all steps, of the mean plus a number of standard deviations.
"""

import dataclasses
import math
from collections.abc import Iterable
from typing import Final

from mastichatch_core.prediction import LengthQuantiles, survival

STEPS_AHEAD: Final = (0, 32, 64, 128, 256, 512, 1024, 2048, 4096, 8192)
MIN_DEVIATIONS: Final = 2.5
MAX_DEVIATIONS: Final = 4.0
DEVIATIONS_PER_PREEMPTION: Final = 0.25
DEVIATIONS_DECAY: Final = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class MemoryDemand:
    """Memory needed after each number of steps in ``STEPS_AHEAD``.

    :param means: expected memory, in tokens
    :param variances: variance of the memory, in tokens squared
    """

    means: tuple[float, ...]
    variances: tuple[float, ...]


@dataclasses.dataclass(slots=True, kw_only=True)
class MemoryMargin:
    """Margin of memory that is reserved above the expected need.

    :param deviations: standard deviations above the mean
    :param preemptions: preemption count that the endpoint last reported;
        ``None`` before the first report
    """

    deviations: float = MIN_DEVIATIONS
    preemptions: int | None = None


def predict_demand(
    lengths: LengthQuantiles,
    prompt_tokens: int,
    output_tokens: int,
    max_tokens: int,
) -> MemoryDemand:
    """Return the memory that one generation is expected to need.

    :param lengths: distribution of output lengths
    :param prompt_tokens: length of the prompt
    :param output_tokens: tokens generated so far
    :param max_tokens: largest number of output tokens; zero means unknown
    """
    running_share = survival(lengths, output_tokens)
    means: list[float] = []
    variances: list[float] = []
    for steps in STEPS_AHEAD:
        output = output_tokens + steps
        share = survival(lengths, output) / running_share
        if max_tokens and output > max_tokens:
            share = 0
        size = prompt_tokens + output
        means.append(share * size)
        variances.append(share * (1 - share) * size * size)
    return MemoryDemand(tuple(means), tuple(variances))


def sum_demands(demands: Iterable[MemoryDemand]) -> MemoryDemand:
    """Return the sum of the demands of any number of generations.

    :param demands: demand of each generation
    """
    parts = tuple(demands)
    if not parts:
        zeros = tuple(float() for _ in STEPS_AHEAD)
        return MemoryDemand(zeros, zeros)
    return MemoryDemand(
        tuple(map(sum, zip(*[one.means for one in parts], strict=True))),
        tuple(map(sum, zip(*[one.variances for one in parts], strict=True))),
    )


def add_demands(
    first_demand: MemoryDemand, second_demand: MemoryDemand
) -> MemoryDemand:
    """Return the sum of two demands.

    :param first_demand: first demand
    :param second_demand: second demand
    """
    means = zip(first_demand.means, second_demand.means, strict=True)
    variances = zip(
        first_demand.variances, second_demand.variances, strict=True
    )
    return MemoryDemand(
        tuple([first + second for first, second in means]),
        tuple([first + second for first, second in variances]),
    )


def predict_peak(total_demand: MemoryDemand, deviations: float) -> float:
    """Return the predicted peak memory.

    :param total_demand: demand of all generations of the engine
    :param deviations: standard deviations above the mean
    :returns: memory in tokens
    """
    steps = zip(total_demand.means, total_demand.variances, strict=True)
    return max(
        [mean + deviations * math.sqrt(variance) for mean, variance in steps]
    )


def record_preemptions(margin: MemoryMargin, preemptions: int) -> None:
    """Widen the margin after preemptions, and narrow it slowly otherwise.

    :param margin: the endpoint's memory margin
    :param preemptions: reported number of preemptions since the endpoint
        started
    """
    previous = margin.preemptions
    margin.preemptions = preemptions
    if previous is None or preemptions < previous:
        return
    change = (preemptions - previous) * DEVIATIONS_PER_PREEMPTION
    change = change or -DEVIATIONS_DECAY
    margin.deviations = min(
        MAX_DEVIATIONS, max(MIN_DEVIATIONS, margin.deviations + change)
    )
