"""Decides how runs leave an engine that is about to be taken away.

Load pattern: one of a few engines leaves every few seconds with less than two
seconds of notice, and its generations have many seconds to go. Their memory
takes a part of a second each on the engine's link, one after the other.
"""

from collections.abc import Collection, Iterable
from typing import Final

from mastichatch_core.generated.messages import Run, RunState
from mastichatch_core.relay.model import Engine
from mastichatch_core.units import MS_PER_S

# A run with fewer tokens to go ends before its move would.
LEAST_REMAINING_TOKENS: Final = 60
# An output token is worth this many prompt tokens, by the users' pages.
OUTPUT_WORTH: Final = 10
# Memory moves between data centres at half the rate, by the platform's pages.
REMOTE_FACTOR: Final = 2.0
# Time for the last part of a move and for its news to reach other nodes.
LAST_PART_S: Final = 0.04
# What other runs generate meanwhile is copied too.
WAIT_FACTOR: Final = 1.1


def is_worth_moving(run: Run) -> bool:
    """Return whether a run has enough to go.

    :param run: a run at an engine that leaves
    """
    if run.expected_tokens < LEAST_REMAINING_TOKENS:
        return False
    remaining = run.expected_tokens - run.output_tokens
    # Past its expected length nothing is known of a run's end.
    return remaining >= LEAST_REMAINING_TOKENS or remaining <= 0


def runs_before(run: Run, runs: Iterable[Run]) -> tuple[Run, ...]:
    """Return the runs that leave an engine before a run does.

    Moves share the engine's link one after the other, and a run stands still
    for the last part of its move. All nodes put the runs in the same order,
    those worth most for their memory first, so that nothing is queued
    before a last part, and what the notice does not suffice for is worth least.

    :param run: a run at the engine
    :param runs: runs of all nodes
    """
    return tuple(
        one
        for one in runs
        if one.endpoint == run.endpoint
        and (bool(one.copy_at) or _can_move(one))
        and one.request_id != run.request_id
        and _goes_before(one, run)
    )


def longest_wait_s(before: Iterable[Run], engine: Engine) -> float:
    """Return how long a run waits, at most, for others to leave before it.

    :param before: the runs before it
    :param engine: capacity of one engine
    :returns: time in seconds
    """
    rate = max(1.0, engine.link_bytes_per_ms)
    copied_s = sum(
        REMOTE_FACTOR * _size(one) * engine.bytes_per_token / rate / MS_PER_S
        + LAST_PART_S
        for one in before
    )
    return copied_s * WAIT_FACTOR


class Turn:
    """Whether a run's turn to leave an engine has come."""

    def __init__(self) -> None:
        """Start without knowing the runs before it."""
        self._before: frozenset[str] | None = None
        self._changed_at = float()

    def has_come(
        self, before: Collection[Run], engine: Engine, now: float
    ) -> bool:
        """Return whether the runs before have left, or none of them does.

        The node of a run before may be silent. While one after the other
        leaves, the rest wait, however long that takes: a transfer beside
        theirs would only let a caller's stream stand still.

        :param before: runs that leave before this one
        :param engine: capacity of one engine
        :param now: time in seconds
        """
        if not before:
            return True
        names = frozenset(run.request_id for run in before)
        if names != self._before:
            self._before = names
            self._changed_at = now
        longest_s = max(longest_wait_s((run,), engine) for run in before)
        return now - self._changed_at >= longest_s


def _goes_before(one: Run, other: Run) -> bool:
    # One whose memory is on its way is first, whatever its rank.
    return bool(one.copy_at) or _order(one) < _order(other)


def _can_move(run: Run) -> bool:
    # A prompt that is still being read cannot be copied.
    has_begun = run.state is RunState.running and run.output_tokens > 0
    return has_begun and is_worth_moving(run)


def _size(run: Run) -> int:
    return run.prompt_tokens + run.output_tokens


def _order(run: Run) -> tuple[float, str]:
    """Return a rank that every node works out alike, from what never changes.

    What a run is worth grows with its output, and its time on the link with
    its memory.
    """
    worth = run.prompt_tokens + OUTPUT_WORTH * run.expected_tokens
    return -worth / max(1, run.prompt_tokens), run.request_id
