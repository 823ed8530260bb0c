"""Fits a straight line to a cost measured at several sizes."""

import csv
import dataclasses
import pathlib
import statistics
import time
import tracemalloc
from collections.abc import Callable, Iterable, Sequence
from typing import Final

RESULTS: Final = pathlib.Path(__file__).parent / 'results'
REPEATS: Final = 3


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Slope:
    """A cost as a line over a size.

    :param name: what was measured
    :param size_unit: unit of the size
    :param cost_unit: unit of the cost
    :param sizes: sizes measured
    :param costs: cost at each size
    :param slope: cost for one more unit of size
    :param intercept: cost at size zero
    :param residual: largest distance from the line, as a share of the
        largest cost
    """

    name: str
    size_unit: str
    cost_unit: str
    sizes: tuple[float, ...]
    costs: tuple[float, ...]
    slope: float
    intercept: float
    residual: float

    def at(self, size: float) -> float:
        """Return the cost on the line.

        :param size: size in the slope's unit
        """
        return self.intercept + self.slope * size


def fit(
    name: str,
    size_unit: str,
    cost_unit: str,
    sizes: Sequence[float],
    costs: Sequence[float],
) -> Slope:
    """Return the line of least squares through the measurements.

    :param name: what was measured
    :param size_unit: unit of the size
    :param cost_unit: unit of the cost
    :param sizes: sizes measured, at least four
    :param costs: cost at each size
    """
    line = statistics.linear_regression(sizes, costs)
    distances = [
        abs(cost - line.intercept - line.slope * size)
        for size, cost in zip(sizes, costs, strict=True)
    ]
    return Slope(
        name=name,
        size_unit=size_unit,
        cost_unit=cost_unit,
        sizes=tuple(sizes),
        costs=tuple(costs),
        slope=line.slope,
        intercept=line.intercept,
        residual=max(distances) / max(max(costs), 1e-12),
    )


def measure(
    name: str,
    size_unit: str,
    cost_unit: str,
    sizes: Sequence[int],
    cost: Callable[[int], float],
) -> Slope:
    """Measure a cost at each size, taking the least of a few repeats.

    :param name: what is measured
    :param size_unit: unit of the size
    :param cost_unit: unit of the cost
    :param sizes: sizes to measure, at least four
    :param cost: measures once at one size
    """
    costs = [min(cost(size) for _ in range(REPEATS)) for size in sizes]
    return fit(name, size_unit, cost_unit, sizes, costs)


def processor_us(work: Callable[[], object]) -> float:
    """Return the processor time of some work, in microseconds.

    :param work: what to run once
    """
    start = time.process_time_ns()
    work()
    return (time.process_time_ns() - start) / 1000


def memory_kb(work: Callable[[], object]) -> float:
    """Return the memory that the result of some work holds, in kilobytes.

    :param work: builds what is weighed
    """
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    kept = work()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return (after - before) / 1000


def write_slopes(slopes: Iterable[Slope], name: str) -> pathlib.Path:
    """Write measurements and lines as CSV, and return the file.

    :param slopes: what was measured
    :param name: name of the file
    """
    RESULTS.mkdir(exist_ok=True)
    path = RESULTS / name
    with path.open('w', newline='') as stream:
        writer = csv.writer(stream)
        writer.writerow(
            ('name', 'per', 'unit', 'slope', 'intercept', 'residual', 'points'),
        )
        for line in slopes:
            points = ' '.join(
                f'{size:g}:{cost:.4g}'
                for size, cost in zip(line.sizes, line.costs, strict=True)
            )
            writer.writerow(
                (
                    line.name,
                    line.size_unit,
                    line.cost_unit,
                    f'{line.slope:.5g}',
                    f'{line.intercept:.5g}',
                    f'{line.residual:.3f}',
                    points,
                ),
            )
    return path
