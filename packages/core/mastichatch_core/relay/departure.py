"""Decides the order in which runs leave an engine that is being removed.

Load pattern: one of a few engines is removed every few seconds, with less than
two seconds of notice, while its generations need many more seconds. The
transfer of each run's memory takes a fraction of a second on the engine's
link, which carries one transfer after the other.
"""

from collections.abc import Collection, Iterable
from typing import Final

from mastichatch_core.generated.messages import Run, RunState
from mastichatch_core.relay.model import Engine
from mastichatch_core.units import MS_PER_S

# A run with fewer remaining tokens ends before its move would be complete.
MIN_REMAINING_TOKENS: Final = 60
# Value of an output token in prompt tokens, by the specification of the load.
OUTPUT_TOKEN_VALUE: Final = 10
# A transfer between data centres takes twice the time, by the specification of
# the platform.
REMOTE_TRANSFER_FACTOR: Final = 2.0
# Time to transfer the last part of a run's memory and to notify other nodes.
LAST_TRANSFER_S: Final = 0.04
# Margin for output that other runs generate in the meantime and that is copied
# as well.
WAIT_MARGIN_FACTOR: Final = 1.1


def is_worth_moving(run: Run) -> bool:
    """Return whether a run has enough remaining output to be moved.

    :param run: a run on an engine that is being removed
    """
    if run.expected_tokens < MIN_REMAINING_TOKENS:
        return False
    remaining = run.expected_tokens - run.output_tokens
    # The end of a run that exceeds its expected length cannot be predicted.
    return remaining >= MIN_REMAINING_TOKENS or remaining <= 0


def is_being_copied(run: Run) -> bool:
    """Return whether a run is being transferred to another engine.

    A complete standby copy is no transfer.

    :param run: a run on any engine
    """
    return bool(run.copy_at) and not run.has_standby


def runs_leaving_before(run: Run, runs: Iterable[Run]) -> tuple[Run, ...]:
    """Return the runs that leave an engine before a given run.

    The engine's link carries one transfer after the other, and a run is paused
    during the last part of its move. All nodes compute the same order: first
    the runs with standby copies, which take no time, then the others by
    descending value per token of memory. The last part of a move therefore
    does not wait behind other transfers, and the runs that cannot leave before
    the engine is removed are those of the least value.

    :param run: a run on the engine
    :param runs: runs of all nodes
    """
    return tuple(
        other
        for other in runs
        if other.endpoint == run.endpoint
        and (bool(other.copy_at) or _can_move(other))
        and other.request_id != run.request_id
        and _leaves_before(other, run)
    )


def max_departure_wait_s(before: Iterable[Run], engine: Engine) -> float:
    """Return the longest time that a run waits for others to leave first.

    :param before: the runs that leave first
    :param engine: capacity of one engine
    :returns: time in seconds
    """
    transfers_s = sum(
        transfer_s(run, engine, is_remote=True) + LAST_TRANSFER_S
        for run in before
    )
    return transfers_s * WAIT_MARGIN_FACTOR


def transfer_s(run: Run, engine: Engine, *, is_remote: bool) -> float:
    """Return how long the transfer of a run's memory takes, in seconds.

    :param run: the run
    :param engine: capacity of its engine
    :param is_remote: whether the destination is in another data centre
    """
    memory_bytes = _memory_tokens(run) * engine.bytes_per_token
    rate = max(1.0, engine.link_bytes_per_ms)
    factor = REMOTE_TRANSFER_FACTOR if is_remote else 1.0
    return factor * memory_bytes / rate / MS_PER_S


class DepartureGate:
    """Tracks whether a run may leave its engine."""

    def __init__(self) -> None:
        """Create the state before the runs that leave first are known."""
        self._preceding_ids: frozenset[str] | None = None
        self._changed_at = float()

    def is_open(
        self, before: Collection[Run], engine: Engine, now: float
    ) -> bool:
        """Return whether the preceding runs have left or made no progress.

        The node of a preceding run may have failed, so the wait is limited.
        The limit starts anew whenever the set of preceding runs changes. A run
        therefore waits as long as others leave one after the other, because a
        concurrent transfer would only stall a caller's stream.

        :param before: runs that leave before this one
        :param engine: capacity of one engine
        :param now: time in seconds
        """
        if not before:
            return True
        request_ids = frozenset(run.request_id for run in before)
        if request_ids != self._preceding_ids:
            self._preceding_ids = request_ids
            self._changed_at = now
        longest_s = max(max_departure_wait_s((run,), engine) for run in before)
        return now - self._changed_at >= longest_s


def _leaves_before(other: Run, run: Run) -> bool:
    return _order_key(other) < _order_key(run)


def _order_key(run: Run) -> tuple[bool, bool, tuple[float, str]]:
    """Return the sort key of a run among the runs that leave an engine.

    A run whose memory is already being copied leaves first, and then the runs
    with standby copies.
    """
    return not is_being_copied(run), not run.has_standby, _departure_key(run)


def _can_move(run: Run) -> bool:
    # The memory of a run cannot be copied during prefill.
    has_begun = run.state is RunState.running and run.output_tokens > 0
    return has_begun and is_worth_moving(run)


def _memory_tokens(run: Run) -> int:
    return run.prompt_tokens + run.output_tokens


def _departure_key(run: Run) -> tuple[float, str]:
    """Return the sort key of a run, which is the same on every node.

    The key uses only attributes that do not change during a run, so it counts
    the memory of the prompt alone. The value of a run grows with its output,
    and its transfer time with its memory.
    """
    value = run.prompt_tokens + OUTPUT_TOKEN_VALUE * run.expected_tokens
    return -value / max(1, run.prompt_tokens), run.request_id
