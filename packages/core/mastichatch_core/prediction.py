"""Estimate output lengths for each workspace and request class."""

import bisect
import math
from typing import Final

from ddsketch import DDSketch

from mastichatch_core.generated.messages import RequestClass

RELATIVE_ACCURACY: Final = 0.02
QUANTILE_COUNT: Final = 48
MIN_SAMPLES: Final = 24
SAMPLES_PER_WINDOW: Final = 2000
MAX_SKETCHES: Final = 1024
DEFAULT_MEDIAN_TOKENS: Final = 256.0
DEFAULT_SPREAD: Final = 1.2
_MIN_GAP_TOKENS: Final = 1e-9

LengthQuantiles = tuple[float, ...]


def survival(lengths: LengthQuantiles, tokens: float) -> float:
    """Return the share of outputs that are longer than a length.

    Beyond the largest quantile, the share falls with the square of the length.

    :param lengths: evenly spaced quantiles in tokens, ascending
    :param tokens: a length in tokens
    """
    longest = lengths[-1]
    size = len(lengths)
    if tokens >= longest:
        return (longest / max(tokens, 1.0)) ** 2 / (2 * size)
    above = bisect.bisect_right(lengths, tokens)
    lower = lengths[above - 1] if above else 0
    # A comparison is cheaper than max(), and this function is called very
    # often.
    gap = lengths[above] - lower
    if gap < _MIN_GAP_TOKENS:
        gap = _MIN_GAP_TOKENS
    fraction = (tokens - lower) / gap
    rank = above - 0.5 + fraction if above else fraction / 2
    share = 1.0 - rank / size
    min_share = 1 / (2 * size)
    return share if share > min_share else min_share


def expected_remaining(lengths: LengthQuantiles, output_tokens: int) -> float:
    """Return the expected number of tokens that remain to be generated.

    :param lengths: evenly spaced quantiles in tokens, ascending
    :param output_tokens: tokens generated so far
    """
    longer = lengths[bisect.bisect_right(lengths, output_tokens) :]
    if not longer:
        return float(max(output_tokens, 1))
    return sum(longer) / len(longer) - output_tokens


def default_lengths() -> LengthQuantiles:
    """Return the lengths that are assumed before any output was recorded."""
    # The distribution is log-logistic, because its quantiles need no error
    # function.
    return tuple(
        DEFAULT_MEDIAN_TOKENS * math.pow(rank / (1 - rank), DEFAULT_SPREAD / 2)
        for rank in _ranks()
    )


class LengthModel:
    """Quantile sketches of the output lengths of one service."""

    def __init__(self) -> None:
        """Start without samples."""
        self._sketches: dict[tuple[str, str], _Sketch] = {}
        self._default_lengths = default_lengths()

    def record(
        self, workspace: str, request_class: RequestClass, tokens: int
    ) -> None:
        """Add the length of a finished output.

        :param workspace: workspace of the request
        :param request_class: class of the request
        :param tokens: length of the output in tokens
        """
        for key in _fallback_keys(workspace, request_class):
            sketch = self._sketches.pop(key, None) or _Sketch()
            sketch.add(float(max(1, tokens)))
            # Insert at the end, so that the least recently updated sketch is
            # evicted first.
            self._sketches[key] = sketch
        while len(self._sketches) > MAX_SKETCHES:
            self._sketches.pop(next(iter(self._sketches)))

    def lengths(
        self, workspace: str, request_class: RequestClass
    ) -> LengthQuantiles:
        """Return the expected distribution of output lengths.

        If a workspace has too few samples in the request class, the samples of
        the class in the whole service are used, and then those of the service.

        :param workspace: workspace of the request
        :param request_class: class of the request
        :returns: evenly spaced quantiles in tokens, ascending
        """
        for key in _fallback_keys(workspace, request_class):
            sketch = self._sketches.get(key)
            if sketch is not None and sketch.count >= MIN_SAMPLES:
                return sketch.lengths()
        return self._default_lengths


class _Sketch:
    """A quantile sketch over the current and previous window of samples."""

    def __init__(self) -> None:
        self._current = DDSketch(RELATIVE_ACCURACY)
        self._previous: DDSketch | None = None
        self._cached_lengths: LengthQuantiles = ()
        self._cached_until_count = 0
        self._count = 0

    @property
    def count(self) -> int:
        return self._count

    def add(self, tokens: float) -> None:
        self._current.add(tokens)
        self._count += 1
        if self._current.count >= SAMPLES_PER_WINDOW:
            self._previous = self._current
            self._current = DDSketch(RELATIVE_ACCURACY)

    def lengths(self) -> LengthQuantiles:
        if self._count >= self._cached_until_count:
            merged = DDSketch(RELATIVE_ACCURACY)
            merged.merge(self._current)
            if self._previous is not None:
                merged.merge(self._previous)
            self._cached_lengths = tuple(
                merged.get_quantile_value(rank) or 1.0 for rank in _ranks()
            )
            self._cached_until_count = self._count + max(4, self._count // 10)
        return self._cached_lengths


def _ranks() -> tuple[float, ...]:
    return tuple(
        (number + 0.5) / QUANTILE_COUNT for number in range(QUANTILE_COUNT)
    )


def _fallback_keys(
    workspace: str, request_class: RequestClass
) -> tuple[tuple[str, str], ...]:
    return (
        (workspace, request_class.value),
        ('', request_class.value),
        ('', ''),
    )
