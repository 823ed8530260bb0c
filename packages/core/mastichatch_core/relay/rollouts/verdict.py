"""Judges from the answers of both versions whether a new version is good.

Load pattern: an order is open; a decider judges the counts of all hosts
several times a second, over a few tens to some thousand answers. Each host
judges its own counts as well, and stops exposing requests to a bad version.
"""

import dataclasses
from collections.abc import Iterable
from enum import StrEnum
from typing import Final

from mastichatch_core.generated.messages import RolloutCell

# Points of the period: a trial lasts at least until the first, and the status
# is written by the second, in time for a slow store.
DECIDE_AT: Final = 0.7
FINISH_BY: Final = 0.9
# Time in which requests to previous versions end, in seconds. Runs of engines
# are waited for longer, as long as the period allows.
PLAIN_DRAIN_S: Final = 0.7


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
    :param route: route on which it decided; empty for all
    :param answers: answers of the target that were compared
    :param bad: those that failed or were slow
    :param other_answers: answers of the other versions
    :param other_bad: those that failed or were slow
    """

    decision: Decision
    rule: str
    route: str = ''
    answers: int = 0
    bad: int = 0
    other_answers: int = 0
    other_bad: int = 0

    @property
    def summary(self) -> str:
        """Rule, route and counts, for logs and the record."""
        return (
            f'{self.rule} route={self.route or "all"}'
            f' target={self.bad}/{self.answers}'
            f' others={self.other_bad}/{self.other_answers}'
        )


def judge(
    cells: Iterable[RolloutCell],
    elapsed_s: float,
    period_s: float,
    has_engines: bool,
) -> Verdict:
    """Judge a version that is rolled out.

    :param cells: counts of all hosts, added up
    :param elapsed_s: time since the order, in seconds
    :param period_s: time from the order to its deadline, in seconds
    :param has_engines: whether the service has engines, whose runs are long
    """
    return Verdict(decision=Decision.hold, rule='too early')


def judge_alone(cells: Iterable[RolloutCell]) -> bool:
    """Return whether one host's own counts speak against a version.

    :param cells: counts of the host
    """
    return False


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
