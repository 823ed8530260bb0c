"""Compares the answers of a version on trial with those of the others.

Load pattern: see :mod:`mastichatch_core.relay.rollouts.verdict`.

Answers are compared within strata: of the same route, to endpoints on the same
side of the data centre's border, and in the same part of the period. A fault
that harms both versions alike then shows in what is expected, and not as a
difference. Failures, slow answers and slow streams are compared apart, since a
bad version may show in any one of them.
"""

import functools
from collections import Counter
from collections.abc import Iterable, Iterator
from enum import StrEnum
from typing import Final, NamedTuple

from mastichatch_core.generated.messages import RolloutCell
from mastichatch_core.relay.rollouts.evidence import (
    BINS_PER_DOUBLING,
    decode_bins,
)

# An answer is slow if it takes longer than twice the others' median, which is
# a doubling.
SLOW_BINS: Final = BINS_PER_DOUBLING
# Fewest durations from which a median is taken.
MIN_DURATIONS: Final = 5
# Fewest durations from which the median of one part is taken.
MIN_PART_DURATIONS: Final = 12
# Most answers for which those of a stratum's whole period, and those of all
# strata in the same part, count in each part of a stratum.
WHOLE_ANSWERS: Final = 4.0
SERVICE_ANSWERS: Final = 8.0
# Prior of the bad share: answers, and the bad ones among them.
PRIOR_ANSWERS: Final = 3.0
PRIOR_BAD: Final = 0.2
# Most answers that what is expected may rest on. Endpoints and times differ,
# so that more answers do not make it more certain.
MAX_PRECISION: Final = 40.0
# Weight of one mean time between events: a stream reports several, which
# depend on each other.
PACE_WEIGHT: Final = 0.1


class Signal(StrEnum):
    """What is bad about an answer."""

    failures = 'failures'
    slow_answers = 'slow answers'
    slow_streams = 'slow streams'


class Tally(NamedTuple):
    """Number of answers, and of the bad ones.

    :param answers: all answers
    :param bad: bad ones
    """

    answers: float = 0
    bad: float = 0

    def plus(self, other: 'Tally', factor: float = 1) -> 'Tally':
        """Return the sum with another tally.

        :param other: the other tally
        :param factor: weight of the other tally
        """
        return Tally(
            answers=self.answers + other.answers * factor,
            bad=self.bad + other.bad * factor,
        )


class Comparison(NamedTuple):
    """Answers of one endpoint of the target in one stratum.

    :param instance: the endpoint
    :param route: name of the route
    :param part: part of the period
    :param tally: its answers
    :param expected: share of bad answers that a good version would have
    :param precision: number of answers that the share rests on
    """

    instance: str
    route: str
    part: int
    tally: Tally
    expected: float
    precision: float


class Strata:
    """What is expected of a good version, by stratum."""

    def __init__(self, cells: Iterable[RolloutCell], signal: Signal) -> None:
        """Sort the answers.

        :param cells: counts of all hosts
        :param signal: what to compare
        """
        self._signal = signal
        self._target: list[RolloutCell] = []
        self._wholes: dict[tuple[str, bool | None], _Answers] = {}
        self._parts: dict[tuple[str, bool | None, int], _Answers] = {}
        for cell in cells:
            if cell.is_target:
                self._target.append(cell)
            else:
                self._add(cell)
        self._services = self._by_part()

    @property
    def other_total(self) -> Tally:
        """All answers of the other versions."""
        total = Tally()
        for (_, side), whole in self._wholes.items():
            if side is None:
                total = total.plus(whole.expected(whole.slow_bin))
        return total

    def compare(self) -> Iterator[Comparison]:
        """Compare the cells of the target that have answers."""
        for cell in self._target:
            slow_bin, known = self._expectation(cell)
            answers = _Answers(self._signal)
            answers.add(cell)
            tally = answers.known(slow_bin)
            if tally.answers:
                known = known.plus(Tally(PRIOR_ANSWERS, PRIOR_BAD))
                yield Comparison(
                    instance=cell.instance,
                    route=cell.route,
                    part=cell.part,
                    tally=tally,
                    expected=known.bad / known.answers,
                    precision=min(MAX_PRECISION, known.answers),
                )

    def _add(self, cell: RolloutCell) -> None:
        for side in (cell.is_remote, None):
            whole, part = (cell.route, side), (cell.route, side, cell.part)
            self._wholes.setdefault(whole, _Answers(self._signal)).add(cell)
            self._parts.setdefault(part, _Answers(self._signal)).add(cell)

    def _expectation(self, cell: RolloutCell) -> tuple[int | None, Tally]:
        side: bool | None = cell.is_remote
        whole = self._wholes.get((cell.route, side))
        if whole is None or whole.count < MIN_DURATIONS:
            side = None
            whole = self._wholes.get((cell.route, side))
        if whole is None:
            return None, Tally()
        part = self._parts.get((cell.route, side, cell.part))
        if part is None:
            part = _Answers(self._signal)
        is_enough = part.count >= MIN_PART_DURATIONS
        slow_bin = part.slow_bin if is_enough else whole.slow_bin
        known = part.expected(slow_bin)
        service = self._services.get(cell.part, Tally())
        for tally, most in (
            (whole.expected(slow_bin), WHOLE_ANSWERS),
            (service, SERVICE_ANSWERS),
        ):
            known = known.plus(tally, min(1, most / max(1, tally.answers)))
        return slow_bin, known

    def _by_part(self) -> dict[int, Tally]:
        services: dict[int, Tally] = {}
        for (route, side, number), part in self._parts.items():
            slow_bin = self._wholes[route, side].slow_bin
            if side is not None:
                earlier = services.get(number, Tally())
                services[number] = earlier.plus(part.expected(slow_bin))
        return services


class _Answers:
    def __init__(self, signal: Signal) -> None:
        self._signal = signal
        self._good = 0
        self._failed = 0
        self._bins: Counter[int] = Counter()
        self._waiting: Counter[int] = Counter()

    @property
    def count(self) -> int:
        """Number of durations."""
        return self._bins.total()

    @property
    def slow_bin(self) -> int | None:
        """Last bin that is not slow; unknown with too few durations."""
        if self.count < MIN_DURATIONS:
            return None
        for number, survival in self._survival():
            if survival <= 1 / 2:
                return number + SLOW_BINS
        return None

    def add(self, cell: RolloutCell) -> None:
        """Add the answers of a cell.

        :param cell: the cell
        """
        self._good += cell.good
        self._failed += cell.failed
        if self._signal is Signal.slow_streams:
            self._bins.update(decode_bins(cell.paces))
        else:
            self._bins.update(decode_bins(cell.durations))
            self._waiting.update(decode_bins(cell.waiting))

    def known(self, slow_bin: int | None) -> Tally:
        """Count the answers, and the requests whose answers will be slow.

        :param slow_bin: last bin that is not slow, if known
        """
        if self._signal is Signal.failures:
            return Tally(answers=self._good + self._failed, bad=self._failed)
        if slow_bin is None:
            return Tally()
        waiting = _count_slow(self._waiting, slow_bin)
        slow = _count_slow(self._bins, slow_bin) + waiting
        return self._weighted(Tally(answers=self.count + waiting, bad=slow))

    def expected(self, slow_bin: int | None) -> Tally:
        """Count the answers, with the share of bad ones to be expected.

        Early on, the answers that came are the fast ones.

        :param slow_bin: last bin that is not slow, if known
        """
        if self._signal is Signal.failures or slow_bin is None:
            return self.known(slow_bin)
        share = 1.0
        for number, survival in self._survival():
            if number <= slow_bin:
                share = survival
        return self._weighted(Tally(self.count, share * self.count))

    def _weighted(self, tally: Tally) -> Tally:
        is_pace = self._signal is Signal.slow_streams
        return Tally().plus(tally, PACE_WEIGHT if is_pace else 1)

    def _survival(self) -> Iterator[tuple[int, float]]:
        """Estimate the share of answers that take longer than each bin.

        This is the estimator of Kaplan and Meier ("Nonparametric estimation
        from incomplete observations", JASA 53, 1958).
        """
        survival = 1.0
        at_risk = self.count + self._waiting.total()
        for number in sorted({*self._bins, *self._waiting}):
            survival *= 1 - self._bins[number] / at_risk
            at_risk -= self._bins[number] + self._waiting[number]
            yield number, survival


def sum_tallies(tallies: Iterable[Tally]) -> Tally:
    """Return the sum of tallies.

    :param tallies: the tallies
    """
    return functools.reduce(Tally.plus, tallies, Tally())


def _count_slow(bins: Counter[int], slow_bin: int) -> int:
    return sum(count for number, count in bins.items() if number > slow_bin)
