"""Weighs whether a version or only some of its endpoints are bad.

Load pattern: see :mod:`mastichatch_core.relay.rollouts.verdict`.

The Bayes factor (Kass and Raftery, "Bayes factors", JASA 90, 1995) compares two
models of the answers, both beta-binomial. In the first, the version is good: an
endpoint has the share of bad answers that is expected, or more if it alone is
faulty. In the second, the version spoils a share of the answers of all its
endpoints, on all routes or on one, from the order or from a later part of the
period on. As a mixture sequential probability ratio test (Robbins, 1970) it
exceeds 1/a at any time with a probability of at most a if the first model holds
(Ville's inequality), so that looking often does no harm.
"""

import itertools
import math
from collections.abc import Collection, Iterable, Iterator
from typing import Final, NamedTuple, TypeVar

from mastichatch_core.relay.rollouts.strata import Comparison

# Shares of the answers that a bad version or endpoint spoils; the first stands
# for none.
SPOILED_SHARES: Final = (0, 0.25, 0.4, 0.55, 0.7, 0.85, 0.99)
# Probability that an endpoint is faulty whatever its version.
FAULTY_ENDPOINT: Final = 0.1
# Fewest answers from a part on for which the version may be bad from there on.
MIN_LATE_ANSWERS: Final = 5
# Keeps the sums of likelihoods within the range of a float.
MAX_LOGARITHM: Final = 300.0
# Weight of all routes among the routes, and of the whole period among the parts
# from which on a version is bad.
WHOLE_WEIGHT: Final = 0.5

_BAD_LEVELS: Final = range(1, len(SPOILED_SHARES))
_Choice = TypeVar('_Choice')


class Extent(NamedTuple):
    """Requests that a bad version spoils.

    :param route: name of the route; empty for all
    :param first_part: part of the period from which on it is bad
    """

    route: str = ''
    first_part: int = 0


class Weight(NamedTuple):
    """Weight of the evidence for a bad version.

    :param factor: Bayes factor; above one speaks for a bad version
    :param extent: most likely extent
    """

    factor: float
    extent: Extent


def weigh(comparisons: Iterable[Comparison], last_part: int) -> Weight:
    """Weigh the evidence.

    :param comparisons: answers of the target, with what is expected
    :param last_part: latest part of the period
    """
    comparisons = tuple(comparisons)
    endpoints: dict[str, _Likelihoods] = {}
    for one in comparisons:
        likelihoods = endpoints.setdefault(
            one.instance, _Likelihoods(last_part)
        )
        likelihoods.add(one)
    good = math.fsum(
        each.log_mixture(Extent(), 0) for each in endpoints.values()
    )
    weights = {
        extent: prior * _factor(extent, tuple(endpoints.values()), good)
        for extent, prior in _extents(
            endpoints.values(), _latest_start(comparisons, last_part)
        )
    }
    return Weight(
        factor=sum(weights.values()),
        extent=max(weights, key=lambda extent: weights[extent]),
    )


class _Likelihoods:
    """Logarithms of the likelihood of an endpoint's answers.

    They are kept by route, level of spoiled answers and part of the period, and
    added up over the parts.
    """

    def __init__(self, last_part: int) -> None:
        self._last_part = last_part
        self._by_route: dict[str, list[list[float]]] = {}

    @property
    def routes(self) -> Iterable[str]:
        return self._by_route

    def add(self, one: Comparison) -> None:
        levels = self._by_route.get(one.route)
        if levels is None:
            levels = [self._zeros() for _ in SPOILED_SHARES]
            self._by_route[one.route] = levels
        part = min(one.part, self._last_part)
        for level, share in enumerate(SPOILED_SHARES):
            likelihood = _log_likelihood(one, share)
            levels[level] = [
                total + likelihood * (later > part)
                for later, total in enumerate(levels[level])
            ]

    def log_mixture(self, extent: Extent, level: int) -> float:
        """Return the logarithm of the likelihood for a spoiled extent.

        The endpoint may be faulty by itself besides.

        :param extent: what the version spoils
        :param level: level of the share that it spoils
        """
        return _mix(
            self._log_likelihood(extent, level, 0),
            [self._log_likelihood(extent, level, own) for own in _BAD_LEVELS],
        )

    def _zeros(self) -> list[float]:
        return list(itertools.repeat(0, self._last_part + 2))

    def _log_likelihood(self, extent: Extent, level: int, own: int) -> float:
        total: float = 0
        for route, levels in self._by_route.items():
            if extent.route in {'', route}:
                first = extent.first_part
                spoiled = levels[max(level, own)]
                total += levels[own][first] + spoiled[-1] - spoiled[first]
            else:
                total += levels[own][-1]
        return total


def _latest_start(comparisons: Collection[Comparison], last_part: int) -> int:
    """Return the latest part from which on there are enough answers.

    What a version does later than it was tried cannot be judged.

    :param comparisons: answers of the target
    :param last_part: latest part of the period
    """
    for part in range(last_part, 0, -1):
        answers = sum(
            one.tally.answers for one in comparisons if one.part >= part
        )
        if answers >= MIN_LATE_ANSWERS:
            return part
    return 0


def _extents(
    endpoints: Iterable[_Likelihoods], latest_start: int
) -> Iterator[tuple[Extent, float]]:
    routes = sorted({route for one in endpoints for route in one.routes})
    route_weights = _spread('', routes if len(routes) > 1 else ())
    part_weights = _spread(0, range(1, latest_start + 1))
    for (route, by_route), (part, by_part) in itertools.product(
        route_weights, part_weights
    ):
        yield Extent(route, part), by_route * by_part


def _spread(
    whole: _Choice, others: Collection[_Choice]
) -> Iterator[tuple[_Choice, float]]:
    if not others:
        yield whole, 1.0
        return
    yield whole, WHOLE_WEIGHT
    for other in others:
        yield other, (1 - WHOLE_WEIGHT) / len(others)


def _factor(
    extent: Extent, endpoints: tuple[_Likelihoods, ...], good: float
) -> float:
    factors = (
        _exp(
            math.fsum(one.log_mixture(extent, level) for one in endpoints)
            - good
        )
        for level in _BAD_LEVELS
    )
    return math.fsum(factors) / len(_BAD_LEVELS)


def _mix(sound: float, faulty: list[float]) -> float:
    highest = max(sound, *faulty)
    mean = math.fsum(_exp(one - highest) for one in faulty) / len(faulty)
    return highest + math.log(
        (1 - FAULTY_ENDPOINT) * _exp(sound - highest) + FAULTY_ENDPOINT * mean
    )


def _exp(logarithm: float) -> float:
    return math.exp(min(MAX_LOGARITHM, logarithm))


def _log_likelihood(one: Comparison, share: float) -> float:
    bad_share = one.expected + (1 - one.expected) * share
    alpha = bad_share * one.precision
    beta = one.precision - alpha
    bad, answers = one.tally.bad, one.tally.answers
    return _log_beta(alpha + bad, beta + answers - bad) - _log_beta(alpha, beta)


def _log_beta(alpha: float, beta: float) -> float:
    return math.lgamma(alpha) + math.lgamma(beta) - math.lgamma(alpha + beta)
