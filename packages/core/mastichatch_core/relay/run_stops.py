"""Interprets answers to orders to stop a run, and paces their repetition.

Load pattern: engines that leave or lose their streams are asked to stop dozens
of runs at once, while they transfer others and refuse connections above their
limit. Each run waits for a proof before it goes on elsewhere, and a caller is
waiting for the next event meanwhile.
"""

from enum import StrEnum
from typing import Final

# Longest time for which two engines may work on a run: the source goes on until
# the engine with the copy answers, or for this time. The platform allows 0.4 s,
# and the order to stop takes a connection and a round trip.
OVERLAP_LIMIT_S: Final = 0.06
# A copy whose engine has not answered by then is given up if the run can go on
# elsewhere.
COPY_ANSWER_LIMIT_S: Final = 0.5
# Time for an engine to drop a run whose connection was closed: one that has
# done so answers the order at once and transfers nothing.
DROP_DELAY_S: Final = 0.02
# A run waits this long for an engine to which no connection can be established,
# and that no order can reach.
UNREACHABLE_WAIT_S: Final = 0.2
# A run waits this long for the answer of an engine that accepted a connection.
# Callers wait two seconds at least for the next event.
STOP_WAIT_S: Final = 1.0
# An engine that has not begun its answer may have the request in its queue.
LATE_START_S: Final = 3.0
# An order is repeated for this time.
ORDER_LIMIT_S: Final = 10.0
FIRST_REPEAT_DELAY_S: Final = 0.02
MAX_REPEAT_DELAY_S: Final = 1.0
QUEUED_REPEAT_DELAY_S: Final = 0.25

_OK: Final = 200
_NOT_FOUND: Final = 404
_CONFLICT: Final = 409
_NO_ROOM: Final = 503


class StopProof(StrEnum):
    """What the answer to an order to stop says of the engine.

    ``stopped``: it was at work, and is no longer. ``ended``: it is not at work.
    ``gone``: no process listens at its address. ``not_begun``: it is not at
    work, but may begin. ``none``: it may be at work.
    """

    stopped = 'stopped'
    ended = 'ended'
    gone = 'gone'
    not_begun = 'not_begun'
    none = 'none'

    @property
    def is_final(self) -> bool:
        """Whether the engine is not at work, and will not be."""
        return self in {self.stopped, self.ended, self.gone}

    @property
    def allows_resumption(self) -> bool:
        """Whether the run may go on at another engine."""
        return self is not self.none


def read_stop_answer(
    status: int,
    *,
    has_handle: bool,
    is_connection_refused: bool,
    has_begun: bool,
) -> StopProof:
    """Return what an answer to an order to stop proves.

    :param status: HTTP status of the answer; zero without one
    :param has_handle: whether it names the copy that the engine has made
    :param is_connection_refused: whether the engine's host refused the
        connection
    :param has_begun: whether the engine had begun its answer to the request
    """
    if is_connection_refused:
        return StopProof.gone
    if has_handle and status in {_OK, _NO_ROOM}:
        return StopProof.stopped
    if status == _NOT_FOUND:
        return StopProof.ended if has_begun else StopProof.not_begun
    return StopProof.none


def repeat_delay_s(
    proof: StopProof, status: int, tries: int, elapsed_s: float
) -> float | None:
    """Return the delay before an order is repeated, in seconds.

    :param proof: what the last answer proves
    :param status: HTTP status of the last answer; zero without one
    :param tries: number of orders sent so far
    :param elapsed_s: time since the first order, in seconds
    :returns: ``None`` if it is not repeated
    """
    if proof.is_final or elapsed_s >= ORDER_LIMIT_S:
        return None
    if proof is StopProof.not_begun:
        return QUEUED_REPEAT_DELAY_S if elapsed_s < LATE_START_S else None
    if status == _CONFLICT:
        # The engine copies the run for another call.
        return FIRST_REPEAT_DELAY_S
    return min(MAX_REPEAT_DELAY_S, FIRST_REPEAT_DELAY_S * 2.0 ** (tries - 1))
