"""Judges from the answers of both versions whether a new version is good.

Load pattern: an order is open; a decider judges the counts of all hosts a few
times a second, over a few tens to some thousand answers. Each host judges its
own counts as well, and stops exposing requests to a version that looks bad.

The method is a Bayes factor, see
:mod:`mastichatch_core.relay.rollouts.bayes_factor`. An answer is bad if it is a
failure, or slow when compared with those of the other versions in its stratum,
see :mod:`mastichatch_core.relay.rollouts.strata`.
"""

import dataclasses
import statistics
from collections.abc import Iterable
from enum import StrEnum
from typing import Final

from mastichatch_core.generated.messages import RolloutCell
from mastichatch_core.relay.rollouts.bayes_factor import weigh
from mastichatch_core.relay.rollouts.evidence import part_of
from mastichatch_core.relay.rollouts.strata import (
    Signal,
    Strata,
    Tally,
    sum_tallies,
)

# Points of the period: the earliest end of a trial; the end of a trial whose
# evidence is unclear; and the latest write of the status, in time for a slow
# store.
DECIDE_AT: Final = 0.7
DECIDE_BY: Final = 0.8
FINISH_BY: Final = 0.9
# Time in which requests to previous versions end, in seconds. Runs of engines
# are waited for longer, as long as the period allows.
PLAIN_DRAIN_S: Final = 0.7
# Bayes factors for a bad version: from the first on it is reverted at any time;
# up to the second it is good; and up to the third it is likely good, which is
# enough at the end of the trial.
REVERT_FACTOR: Final = 100.0
COMPLETE_FACTOR: Final = 0.05
UNCLEAR_FACTOR: Final = 0.5
# Bad answers from which a version is reverted on weaker evidence, since few
# more are allowed.
MANY_BAD: Final = 35
# Fewest answers after which a version may be completed.
MIN_ANSWERS: Final = 5


class Decision(StrEnum):
    """What the evidence asks for."""

    hold = 'hold'
    revert = 'revert'
    complete = 'complete'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Verdict:
    """Judgement on a version, and the counts it rests on.

    :param decision: what the evidence asks for
    :param rule: name of the rule that decided
    :param signal: what speaks most against the version
    :param route: route on which it is most likely bad; empty for all
    :param factor: Bayes factor for a bad version
    :param answers: answers of the target
    :param compared: answers of the target that were compared for the signal
    :param others: answers of the other versions
    """

    decision: Decision
    rule: str
    signal: Signal = Signal.failures
    route: str = ''
    factor: float = 1.0
    answers: float = 0
    compared: Tally = Tally()
    others: Tally = Tally()

    @property
    def summary(self) -> str:
        """Rule, route and counts, for logs and the record."""
        return (
            f'{self.rule}: {self.signal} on route {self.route or "any"},'
            f' Bayes factor {self.factor:.2g},'
            f' target {self.compared.bad:.0f} of {self.compared.answers:.0f},'
            f' others {self.others.bad:.0f} of {self.others.answers:.0f}'
        )


def judge(
    cells: Iterable[RolloutCell],
    elapsed_s: float,
    period_s: float,
    has_engines: bool,
) -> Verdict:
    """Judge a version that is rolled out.

    It never holds from the time on at which the status has to be written.

    :param cells: counts of all hosts, added up
    :param elapsed_s: time since the order, in seconds
    :param period_s: time from the order to its deadline, in seconds
    :param has_engines: whether the service has engines, whose runs are long
    """
    verdict = _weigh(tuple(cells), part_of(elapsed_s, period_s))
    decision, rule = _decide(verdict, elapsed_s / max(period_s, 1e-3))
    return dataclasses.replace(verdict, decision=decision, rule=rule)


def judge_alone(cells: Iterable[RolloutCell]) -> bool:
    """Return whether one host's own counts speak against a version.

    :param cells: counts of the host
    """
    return judge(cells, 0, 1, has_engines=False).decision is Decision.revert


def may_finish(
    elapsed_s: float,
    period_s: float,
    completing_s: float,
    *,
    has_engines: bool,
    runs_left: int,
) -> bool:
    """Return whether previous versions can be ended.

    :param elapsed_s: time since the order, in seconds
    :param period_s: time from the order to its deadline, in seconds
    :param completing_s: time for which this host knows that the roll-out is
        completing, in seconds
    :param has_engines: whether the service has engines
    :param runs_left: runs and requests that are known on previous versions
    """
    if elapsed_s >= FINISH_BY * period_s:
        return True
    if completing_s < PLAIN_DRAIN_S:
        return False
    return not (has_engines and runs_left)


def _decide(verdict: Verdict, progress: float) -> tuple[Decision, str]:
    if verdict.factor >= REVERT_FACTOR:
        return Decision.revert, 'bad'
    if verdict.compared.bad >= MANY_BAD and verdict.factor > 1:
        return Decision.revert, 'many bad answers'
    if progress < DECIDE_AT:
        return Decision.hold, 'trial'
    is_last = progress >= DECIDE_BY
    limit = UNCLEAR_FACTOR if is_last else COMPLETE_FACTOR
    if verdict.answers >= MIN_ANSWERS and verdict.factor <= limit:
        return Decision.complete, 'likely good' if is_last else 'good'
    if progress >= FINISH_BY:
        return Decision.revert, 'not proven good in time'
    return Decision.hold, 'unclear'


def _weigh(cells: tuple[RolloutCell, ...], last_part: int) -> Verdict:
    strata = {signal: Strata(cells, signal) for signal in Signal}
    compared = {signal: tuple(one.compare()) for signal, one in strata.items()}
    weights = {
        signal: weigh(comparisons, last_part)
        for signal, comparisons in compared.items()
        if comparisons
    }
    if not weights:
        return Verdict(decision=Decision.hold, rule='')
    worst = max(weights, key=lambda signal: weights[signal].factor)
    target = sum_tallies(one.tally for one in compared[worst])
    others = strata[worst].other_total
    failures = sum_tallies(one.tally for one in compared[Signal.failures])
    return Verdict(
        decision=Decision.hold,
        rule='',
        signal=worst,
        route=weights[worst].extent.route,
        factor=statistics.fmean(one.factor for one in weights.values()),
        answers=failures.answers,
        compared=target,
        others=others,
    )
