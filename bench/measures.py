"""What is measured of one run."""

import dataclasses
from collections import Counter
from typing import Final

STALL_S: Final = 0.25
LONGEST_GAP_MS: Final = 60_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Figures:
    """The figures of one run.

    :param stall_s: time by which gaps between tokens exceed a quarter second,
        in seconds a 1000 requests
    :param preemptions: generations put out of a batch, a 1000 requests
    :param gap_p95_ms: time between tokens that 95 in 100 stay under
    :param gap_p99_ms: time between tokens that 99 in 100 stay under
    :param first_token_p95_ms: time to the first token
    :param short_first_token_p95_ms: that of interactive requests alone
    :param tokens_a_second: tokens handed out while requests arrived
    :param served: share of requests that were answered whole
    :param worst_workspace: the lowest such share of one workspace
    :param lost: share of requests whose generation was lost after a token
    :param falls: engines that fell over while cold
    """

    stall_s: float
    preemptions: float
    gap_p95_ms: float
    gap_p99_ms: float
    first_token_p95_ms: float
    short_first_token_p95_ms: float
    tokens_a_second: float
    served: float
    worst_workspace: float
    lost: float
    falls: int


class Measures:
    """Collects the tokens and ends of one run."""

    def __init__(self, duration: float) -> None:
        """Start with nothing seen.

        :param duration: time of arrivals, in seconds
        """
        self._duration = duration
        self._gaps = [0 for _ in range(LONGEST_GAP_MS + 1)]
        self._stall: float = 0
        self._tokens = 0
        self._first: list[float] = []
        self._short_first: list[float] = []
        self._asked: Counter[str] = Counter()
        self._served: Counter[str] = Counter()
        self._lost = 0

    def note_request(self, workspace: str) -> None:
        """Count a request.

        :param workspace: its workspace
        """
        self._asked[workspace] += 1

    def note_token(self, at: float) -> None:
        """Count a token.

        :param at: time in seconds
        """
        self._tokens += at < self._duration

    def note_gap(self, gap: float) -> None:
        """Count the time between two tokens of one generation.

        :param gap: that time in seconds
        """
        self._gaps[min(LONGEST_GAP_MS, int(gap * 1000))] += 1
        if gap > STALL_S:
            self._stall += gap - STALL_S

    def note_first(self, wait: float, *, short: bool) -> None:
        """Count the time to a first token.

        :param wait: time since the request came, in seconds
        :param short: whether the request is interactive
        """
        self._first.append(wait)
        if short:
            self._short_first.append(wait)

    def note_served(self, workspace: str) -> None:
        """Count a request that was answered whole.

        :param workspace: its workspace
        """
        self._served[workspace] += 1

    def note_lost(self) -> None:
        """Count a generation that was lost after its first token."""
        self._lost += 1

    def figures(self, preemptions: int, falls: int) -> Figures:
        """Return the figures of the run.

        :param preemptions: by all engines
        :param falls: engines that fell over while cold
        """
        asked = max(1, self._asked.total())
        return Figures(
            stall_s=self._stall * 1000 / asked,
            preemptions=preemptions * 1000 / asked,
            gap_p95_ms=self._gap_percentile(95),
            gap_p99_ms=self._gap_percentile(99),
            first_token_p95_ms=_percentile(self._first, 95) * 1000,
            short_first_token_p95_ms=_percentile(self._short_first, 95) * 1000,
            tokens_a_second=self._tokens / self._duration,
            served=self._served.total() / asked,
            worst_workspace=min(
                self._served[name] / count
                for name, count in self._asked.items()
            ),
            lost=self._lost / asked,
            falls=falls,
        )

    def _gap_percentile(self, percent: int) -> float:
        left = sum(self._gaps) * (100 - percent) / 100
        for gap_ms in range(LONGEST_GAP_MS, -1, -1):
            left -= self._gaps[gap_ms]
            if left < 0:
                return float(gap_ms)
        return 0


def _percentile(values: list[float], percent: int) -> float:
    if not values:
        return 0
    rank = min(len(values) - 1, len(values) * percent // 100)
    return sorted(values)[rank]
