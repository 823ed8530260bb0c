"""Counts the answers of both versions of a service during a roll-out.

Load pattern: every answer of a service while an order is open, on all hosts,
and reports of the cells that changed from each host to two others several
times a second. Counts are since the order and the latest ones hold, so that a
report that is lost, repeated or late does no harm, and a host that begins to
decide needs no history.
"""

import dataclasses
import itertools
import math
from collections import Counter
from collections.abc import Iterable
from typing import Final, NamedTuple

from mastichatch_core.generated.messages import RolloutCell, RolloutReport
from mastichatch_core.units import MS_PER_S

# Number of parts of the period, by when requests were sent, that are counted
# apart: a version may go bad while it is tried.
PARTS: Final = 10
# Bins of the histograms of durations: four for each doubling, from 1 ms.
BINS_PER_DOUBLING: Final = 4
MAX_BIN: Final = 72
# Limits of what is kept, so that memory stays bounded.
MAX_CELLS: Final = 512
MAX_REPORTED_CELLS: Final = 64
MAX_SENDERS: Final = 1024


class CellKey(NamedTuple):
    """What the answers of a cell have in common.

    :param route: name of the requests' route
    :param part: part of the period
    :param is_remote: whether the endpoint is in another data centre
    :param is_target: whether the endpoint runs the target
    :param instance: endpoint of the target; empty for other versions
    """

    route: str
    part: int
    is_remote: bool
    is_target: bool
    instance: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Observation:
    """One answer of an endpoint, or the pace of a stream.

    Only what an endpoint answered counts. A stream is recorded as answered
    with its first event, again as failed if it is broken off by the endpoint,
    and its pace every few events.

    :param version: version of the endpoint
    :param instance: instance id of the endpoint
    :param route: name of the request's route
    :param is_remote: whether the endpoint is in another data centre
    :param is_failed: whether the answer is a failure of the endpoint
    :param duration_ms: time until the answer or the first event, or mean time
        between events, in milliseconds; the limit of an attempt that timed
        out; ``None`` if unknown, and for endpoints that are cold
    :param is_pace: whether the duration is the mean time between events; then
        no answer is counted
    """

    version: str
    instance: str
    route: str
    is_remote: bool = False
    is_failed: bool = False
    duration_ms: float | None = None
    is_pace: bool = False


class _Cell:
    def __init__(self) -> None:
        self.sequence = 0
        self.good = 0
        self.failed = 0
        self.durations: Counter[int] = Counter()
        self.paces: Counter[int] = Counter()
        self.waiting: Counter[int] = Counter()

    def record(self, observation: Observation) -> None:
        if observation.duration_ms is not None and not observation.is_failed:
            bins = self.paces if observation.is_pace else self.durations
            bins[bin_of(observation.duration_ms)] += 1
        if not observation.is_pace:
            self.failed += observation.is_failed
            self.good += not observation.is_failed

    def add(self, cell: RolloutCell, sign: int = 1) -> None:
        self.good += sign * cell.good
        self.failed += sign * cell.failed
        for bins, pairs in (
            (self.durations, cell.durations),
            (self.paces, cell.paces),
            (self.waiting, cell.waiting),
        ):
            for number, count in decode_bins(pairs).items():
                bins[number] += sign * count


class RolloutCounts:
    """Counts of one host for one order, since the host saw the order."""

    def __init__(self, target: str, period_s: float) -> None:
        """Start without counts.

        :param target: version that is rolled out
        :param period_s: period of the order, in seconds
        """
        self._target = target
        self._period_s = period_s
        self._cells: dict[CellKey, _Cell] = {}
        self._changed: dict[CellKey, None] = {}

    def record(self, observation: Observation, age_s: float) -> None:
        """Count an answer, unless the request was sent before the order.

        :param observation: the answer
        :param age_s: time from when the host saw the order until the request
            was sent (until the events came, for their pace), in seconds
        """
        if age_s < 0:
            return
        key = self._key(observation, age_s)
        cell = self._cell(key)
        if cell is not None:
            cell.record(observation)
            self._mark(key, cell)

    def replace_waiting(
        self, waiting: Iterable[Observation], age_s: float
    ) -> None:
        """Replace the requests that have no answer yet, to all versions.

        A version may be so slow that its answers come after the decision.

        :param waiting: each request, with the time since it was sent
        :param age_s: time since the host saw the order, in seconds
        """
        bins: dict[CellKey, Counter[int]] = {
            key: Counter() for key, cell in self._cells.items() if cell.waiting
        }
        for observation in waiting:
            waited_ms = observation.duration_ms
            if waited_ms is not None and waited_ms <= age_s * MS_PER_S:
                key = self._key(observation, age_s - waited_ms / MS_PER_S)
                number = bin_of(waited_ms)
                bins.setdefault(key, Counter())[number] += 1
        for key, counts in bins.items():
            cell = self._cell(key)
            if cell is not None and cell.waiting != counts:
                cell.waiting = counts
                self._mark(key, cell)

    def cells(self) -> tuple[RolloutCell, ...]:
        """Return all counts."""
        return tuple(itertools.starmap(_encode, self._cells.items()))

    def take_changed(self) -> tuple[RolloutCell, ...]:
        """Return counts that changed and were not returned since then.

        What does not fit into one report is returned by the next call.
        """
        keys = tuple(self._changed)[:MAX_REPORTED_CELLS]
        for key in keys:
            self._changed.pop(key)
        return tuple(_encode(one, self._cells[one]) for one in keys)

    def _key(self, observation: Observation, age_s: float) -> CellKey:
        is_target = observation.version == self._target
        return CellKey(
            route=observation.route,
            part=part_of(age_s, self._period_s),
            is_remote=observation.is_remote,
            is_target=is_target,
            instance=observation.instance if is_target else '',
        )

    def _cell(self, key: CellKey) -> _Cell | None:
        if key not in self._cells and len(self._cells) < MAX_CELLS:
            self._cells[key] = _Cell()
        return self._cells.get(key)

    def _mark(self, key: CellKey, cell: _Cell) -> None:
        cell.sequence += 1
        self._changed[key] = None


class RolloutEvidence:
    """Counts of all hosts for one order, as a deciding host knows them."""

    def __init__(self, service: str, order_revision: int) -> None:
        """Start without reports.

        :param service: name of the service
        :param order_revision: revision of the order
        """
        self._service = service
        self._revision = order_revision
        self._cells: dict[tuple[str, str], dict[CellKey, RolloutCell]] = {}
        self._totals: dict[CellKey, _Cell] = {}
        self._seen_at = math.inf

    def apply(
        self, report: RolloutReport, incarnation: str, now: float
    ) -> bool:
        """Add what a host reports, also of itself.

        :param report: counts of the host; other orders are ignored
        :param incarnation: incarnation of the host's process
        :param now: time in seconds
        :returns: whether it was of this order
        """
        order = (report.service, report.order_revision)
        if order != (self._service, self._revision):
            return False
        age_s = max(0, report.age_ms) / MS_PER_S
        self._seen_at = min(self._seen_at, now - age_s)
        sender = (report.node, incarnation)
        if sender not in self._cells and len(self._cells) >= MAX_SENDERS:
            return True
        known = self._cells.setdefault(sender, {})
        for cell in report.cells:
            self._replace(known, cell)
        return True

    def cells(self) -> tuple[RolloutCell, ...]:
        """Return the counts of all hosts, added up."""
        return tuple(itertools.starmap(_encode, self._totals.items()))

    def age_s(self, now: float) -> float:
        """Return the time since the first host saw the order, in seconds.

        :param now: time in seconds
        """
        return max(0, now - self._seen_at)

    def _replace(
        self, known: dict[CellKey, RolloutCell], cell: RolloutCell
    ) -> None:
        key = CellKey(
            route=cell.route,
            part=cell.part,
            is_remote=cell.is_remote,
            is_target=cell.is_target,
            instance=cell.instance,
        )
        earlier = known.get(key)
        if earlier is None and len(known) >= MAX_CELLS:
            return
        if earlier is None or earlier.sequence < cell.sequence:
            known[key] = cell
            total = self._totals.setdefault(key, _Cell())
            total.add(cell)
            if earlier is not None:
                total.add(earlier, -1)


def part_of(age_s: float, period_s: float) -> int:
    """Return the part of an order's period.

    :param age_s: time since the order, in seconds
    :param period_s: period of the order, in seconds
    """
    if period_s <= 0:
        return PARTS - 1
    return min(PARTS - 1, max(0, int(age_s / period_s * PARTS)))


def bin_of(duration_ms: float) -> int:
    """Return the number of a duration's bin.

    :param duration_ms: the duration, in milliseconds
    """
    if duration_ms <= 1:
        return 0
    return min(MAX_BIN, round(math.log2(duration_ms) * BINS_PER_DOUBLING))


def bin_ms(number: int) -> float:
    """Return the duration in the middle of a bin, in milliseconds.

    :param number: number of the bin
    """
    return float(2 ** (number / BINS_PER_DOUBLING))


def decode_bins(pairs: tuple[int, ...]) -> dict[int, int]:
    """Return the counts by bin.

    :param pairs: numbers of bins, each followed by its count
    """
    return dict(zip(pairs[::2], pairs[1::2], strict=False))


def _encode(key: CellKey, cell: _Cell) -> RolloutCell:
    return RolloutCell(
        route=key.route,
        part=key.part,
        is_remote=key.is_remote,
        is_target=key.is_target,
        instance=key.instance,
        sequence=cell.sequence,
        good=cell.good,
        failed=cell.failed,
        durations=_encode_bins(cell.durations),
        paces=_encode_bins(cell.paces),
        waiting=_encode_bins(cell.waiting),
    )


def _encode_bins(bins: Counter[int]) -> tuple[int, ...]:
    pairs = sorted(item for item in bins.items() if item[1] > 0)
    return tuple(itertools.chain.from_iterable(pairs))
