"""Interprets answers to orders to stop a run, and paces their repetition.

An order is repeated if its answer is lost. The answer to a repetition says how
the engine found the run, and not who ended it: that may be an earlier order.

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
# A run that has resumed from its copy leaves it if its former engine has not
# proved by then that it has stopped, in seconds since the resumption was sent.
SWITCH_PROOF_LIMIT_S: Final = 0.33
# A run waits this long for an engine to which no connection can be established,
# and that no order can reach.
UNREACHABLE_WAIT_S: Final = 0.2
# While an engine does not answer an order, the way to it is checked this often.
REACH_CHECK_INTERVAL_S: Final = 0.5
# An order is repeated for this time. A run whose engine has proved nothing by
# then ends as broken off, since callers do not wait for longer.
ORDER_LIMIT_S: Final = 10.0
FIRST_REPEAT_DELAY_S: Final = 0.02
MAX_REPEAT_DELAY_S: Final = 1.0
MAX_CONFLICT_DELAY_S: Final = 0.3
# The end of a conflict is noticed after this share of its time at most.
CONFLICT_DELAY_SHARE: Final = 1 / 3
QUEUED_REPEAT_DELAY_S: Final = 0.25
# An order without an answer for this time is sent again, while the answer is
# still awaited. Callers leave after two seconds without an event, and engines
# stop less than that after their notice.
FIRST_ANSWER_WAIT_S: Final = 0.5
MAX_ANSWER_WAIT_S: Final = 2.0
# The answer that names the copy may arrive after one that finds no run.
LATE_ANSWER_WAIT_S: Final = 0.2

_OK: Final = 200
_NOT_FOUND: Final = 404
_CONFLICT: Final = 409
_NO_ROOM: Final = 503
_REFUSALS: Final = frozenset(
    (400, 408, 421, 429, _NOT_FOUND, _CONFLICT, _NO_ROOM)
)


class Reach(StrEnum):
    """What the last attempt to connect to an engine has shown.

    ``none``: nothing answers, or the attempt has not ended. ``refused``: its
    host answers, and nobody listens. ``accepted``: a connection is established.
    """

    none = 'none'
    refused = 'refused'
    accepted = 'accepted'


class StopProof(StrEnum):
    """What the answer to an order to stop says of the engine.

    ``stopped``: it was at work, and is no longer. ``ended``: it is not at work,
    and no order has stopped it. ``absent``: it is not at work, and an earlier
    order may have stopped it. ``gone``: its process has ended. ``not_begun``:
    it is not at work, but may begin. ``none``: it may be at work.
    """

    stopped = 'stopped'
    ended = 'ended'
    absent = 'absent'
    gone = 'gone'
    not_begun = 'not_begun'
    none = 'none'

    @property
    def is_final(self) -> bool:
        """Whether the engine is not at work, and will not be."""
        return self not in {self.not_begun, self.none}

    @property
    def allows_resumption(self) -> bool:
        """Whether the run may go on at another engine."""
        return self is not self.none


def shows_no_effect(status: int, *, has_handle: bool) -> bool:
    """Return whether an answer shows that its order has not stopped a run.

    :param status: HTTP status of the answer; zero without one
    :param has_handle: whether it names the copy that the engine has made
    """
    return status in _REFUSALS and not has_handle


def read_stop_answer(
    status: int,
    *,
    has_handle: bool,
    has_process_ended: bool,
    has_begun: bool,
    may_have_stopped: bool = False,
) -> StopProof:
    """Return what an answer to an order to stop proves.

    :param status: HTTP status of the answer; zero without one
    :param has_handle: whether it names the copy that the engine has made
    :param has_process_ended: whether the engine's process has ended; that a
        connection is refused does not show it
    :param has_begun: whether the engine had begun its answer to the request
    :param may_have_stopped: whether an earlier order, whose answer is unknown,
        may have stopped the run
    """
    if has_process_ended:
        return StopProof.gone
    if has_handle and status in {_OK, _NO_ROOM}:
        return StopProof.stopped
    if status == _NOT_FOUND and has_begun:
        return StopProof.absent if may_have_stopped else StopProof.ended
    if status == _NOT_FOUND:
        return StopProof.not_begun
    return StopProof.none


def answer_wait_s(tries: int) -> float:
    """Return how long an answer is awaited before an order is sent again.

    :param tries: number of orders sent so far
    :returns: the time in seconds
    """
    return min(MAX_ANSWER_WAIT_S, FIRST_ANSWER_WAIT_S * 2.0 ** (tries - 1))


def repeat_delay_s(
    proof: StopProof,
    status: int,
    tries: int,
    elapsed_s: float,
    left_s: float,
) -> float | None:
    """Return the delay before an order is repeated, in seconds.

    :param proof: what the last answer proves
    :param status: HTTP status of the last answer; zero without one
    :param tries: number of orders sent so far
    :param elapsed_s: time since the first order, in seconds
    :param left_s: time until the run's deadline, in seconds
    :returns: ``None`` if it is not repeated
    """
    if proof is StopProof.not_begun:
        # The engine may have the request in its queue up to its deadline.
        return QUEUED_REPEAT_DELAY_S if left_s > 0 else None
    if proof.is_final or elapsed_s >= ORDER_LIMIT_S:
        return None
    if status == _CONFLICT:
        # The engine copies the run for another call, which takes a fraction of
        # a second.
        return min(
            MAX_CONFLICT_DELAY_S,
            max(FIRST_REPEAT_DELAY_S, elapsed_s * CONFLICT_DELAY_SHARE),
        )
    return min(MAX_REPEAT_DELAY_S, FIRST_REPEAT_DELAY_S * 2.0 ** (tries - 1))
