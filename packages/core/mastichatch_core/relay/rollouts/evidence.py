"""Counts the answers of both versions of a service during a roll-out.

Load pattern: every answer of a service while an order is open, on all hosts,
and reports of the cells that changed from each host to two others several
times a second. Counts only grow, so that a report that is lost, repeated or
late does no harm, and a host that begins to decide needs no history.
"""

import dataclasses
import itertools
import math
from collections.abc import Iterable
from typing import Final, NamedTuple

from mastichatch_core.generated.messages import RolloutCell, RolloutReport
from mastichatch_core.units import MS_PER_S

# Number of parts of the period that are counted apart: a version may go bad
# while it is tried.
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
        out; ``None`` if unknown
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
        self.good = 0
        self.failed = 0
        self.durations: dict[int, int] = {}
        self.paces: dict[int, int] = {}

    def record(self, observation: Observation) -> None:
        if observation.duration_ms is not None and not observation.is_failed:
            number = bin_of(observation.duration_ms)
            bins = self.paces if observation.is_pace else self.durations
            bins[number] = bins.get(number, 0) + 1
        if not observation.is_pace:
            self.failed += observation.is_failed
            self.good += not observation.is_failed


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
        """Count an answer.

        :param observation: the answer
        :param age_s: time since the host saw the order, in seconds
        """
        is_target = observation.version == self._target
        key = CellKey(
            route=observation.route,
            part=part_of(age_s, self._period_s),
            is_remote=observation.is_remote,
            is_target=is_target,
            instance=observation.instance if is_target else '',
        )
        cell = self._cells.get(key)
        if cell is None:
            if len(self._cells) >= MAX_CELLS:
                return
            cell = self._cells.setdefault(key, _Cell())
        cell.record(observation)
        self._changed[key] = None

    def cells(self) -> tuple[RolloutCell, ...]:
        """Return all counts."""
        return tuple(itertools.starmap(_encode, self._cells.items()))

    def take_changed(self) -> tuple[RolloutCell, ...]:
        """Return the counts that changed since the last call."""
        keys = tuple(self._changed)[:MAX_REPORTED_CELLS]
        for key in keys:
            self._changed.pop(key)
        return tuple(_encode(one, self._cells[one]) for one in keys)


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
        if (report.service, report.order_revision) != (
            self._service,
            self._revision,
        ):
            return False
        age_s = max(0, report.age_ms) / MS_PER_S
        self._seen_at = min(self._seen_at, now - age_s)
        sender = (report.node, incarnation)
        if sender not in self._cells and len(self._cells) >= MAX_SENDERS:
            return True
        cells = self._cells.setdefault(sender, {})
        for cell in report.cells:
            key = _key(cell)
            if weight(cell) > weight(cells.get(key)):
                cells[key] = cell
        return True

    def cells(self) -> tuple[RolloutCell, ...]:
        """Return the counts of all hosts, added up."""
        return merge(
            itertools.chain.from_iterable(
                cells.values() for cells in self._cells.values()
            )
        )

    def age_s(self, now: float) -> float:
        """Return the time since the first host saw the order, in seconds.

        :param now: time in seconds
        """
        return max(0, now - self._seen_at)


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


def merge(cells: Iterable[RolloutCell]) -> tuple[RolloutCell, ...]:
    """Add up cells of the same kind.

    :param cells: cells of any hosts
    """
    merged: dict[CellKey, _Cell] = {}
    for cell in cells:
        total = merged.setdefault(_key(cell), _Cell())
        total.good += cell.good
        total.failed += cell.failed
        for bins, pairs in (
            (total.durations, cell.durations),
            (total.paces, cell.paces),
        ):
            for number, count in decode_bins(pairs).items():
                bins[number] = bins.get(number, 0) + count
    return tuple(itertools.starmap(_encode, merged.items()))


def weight(cell: RolloutCell | None) -> int:
    """Return how much a cell has counted, which only grows.

    :param cell: a cell, if any
    """
    if cell is None:
        return 0
    return cell.good + cell.failed + sum(cell.paces[1::2])


def _key(cell: RolloutCell) -> CellKey:
    return CellKey(
        route=cell.route,
        part=cell.part,
        is_remote=cell.is_remote,
        is_target=cell.is_target,
        instance=cell.instance,
    )


def _encode(key: CellKey, cell: _Cell) -> RolloutCell:
    return RolloutCell(
        route=key.route,
        part=key.part,
        is_remote=key.is_remote,
        is_target=key.is_target,
        instance=key.instance,
        good=cell.good,
        failed=cell.failed,
        durations=_encode_bins(cell.durations),
        paces=_encode_bins(cell.paces),
    )


def _encode_bins(bins: dict[int, int]) -> tuple[int, ...]:
    return tuple(value for item in sorted(bins.items()) for value in item)
