"""Runs calls in tasks of their own and keeps the outcomes."""

import asyncio
import contextlib
import dataclasses
from collections.abc import Awaitable, Callable, Iterator
from typing import Final

from absl import logging

from mastichatch_core.attempts import Attempt, AttemptState, outcome_from_error
from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.messages import CallOutcome, ErrorKind, Ran
from mastichatch_core.outcomes import OutcomeRetention

RECORD_OVERHEAD_BYTES: Final = 1024


@dataclasses.dataclass(eq=False, slots=True, kw_only=True)
class Run:
    """A call that this node runs or has run.

    :param name: claim key or ticket of the call
    :param digest: digest of operation and body
    :param attempt: the attempt that may send the call
    :param outcome_retention_s: time for which its outcome is kept, in seconds
    :param may_be_claimed: whether a claim of this attempt may have been
        written, so that another node may have read it
    :param is_key_known: whether this run has checked, since the call came in,
        if an earlier attempt had sent the call
    :param waiters: number of callers that wait for the outcome
    :param is_abandoned: whether the last caller left before the call was sent
    :param task: task that runs the call
    """

    name: str
    digest: str
    attempt: Attempt
    outcome_retention_s: float
    may_be_claimed: bool = False
    is_key_known: bool = False
    waiters: int = 0
    is_abandoned: bool = False
    task: asyncio.Task[CallOutcome] | None = None


Work = Callable[[Run], Awaitable[CallOutcome]]


class Runs:
    """Keep all runs of this node, by key and by attempt.

    :param retention: limits of the outcomes that are kept
    """

    def __init__(self, retention: OutcomeRetention) -> None:
        """Start with no run."""
        self._retention = retention
        self._by_name: dict[str, Run] = {}
        self._by_attempt: dict[str, Run] = {}
        self._open: set[Run] = set()

    @property
    def pending(self) -> int:
        """Number of calls in progress."""
        return len(self._open)

    @property
    def has_room(self) -> bool:
        """Whether the outcome of one more call can be kept."""
        return self._retention.has_room(len(self._open))

    def by_name(self, name: str) -> Run | None:
        """Return the run of a key, if there is one.

        :param name: claim key or ticket
        :returns: a run in progress, or one whose call was sent and may have run
        """
        run = self._by_name.get(name)
        return None if run is None or run.is_abandoned else run

    def by_attempt(self, attempt_id: str) -> Run | None:
        """Return the run of an attempt, if there is one.

        :param attempt_id: id of the attempt
        """
        return self._by_attempt.get(attempt_id)

    def start(self, run: Run, work: Work) -> None:
        """Run a call in a new task.

        :param run: the run, with a new attempt
        :param work: coroutine function that returns the outcome
        """
        self._expire()
        self._by_name[run.name] = run
        self._by_attempt[run.attempt.attempt_id] = run
        self._open.add(run)
        run.task = asyncio.get_running_loop().create_task(
            self._complete(run, work),
        )

    async def join(self, run: Run) -> CallOutcome:
        """Wait for a run's outcome.

        A caller that disconnects does not stop a call that was sent. If the
        last caller disconnects before the send, the attempt is cancelled.

        :param run: the run
        """
        if run.task is None:
            raise MastichatchError(ErrorKind.internal, 'the run has no task')
        with _registered_waiter(run):
            return await asyncio.shield(run.task)

    async def close(self) -> None:
        """Cancel all runs; calls that were sent end with an unknown outcome."""
        tasks = [run.task for run in self._open if run.task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _complete(self, run: Run, work: Work) -> CallOutcome:
        try:
            outcome = await work(run)
        except MastichatchError as error:
            closed = run.attempt.close(error.kind, str(error))
            outcome = (
                closed if run.attempt.was_sent else outcome_from_error(error)
            )
        except asyncio.CancelledError:
            outcome = run.attempt.close(ErrorKind.cancelled)
        except Exception as error:
            logging.exception('call failed')
            outcome = run.attempt.close(ErrorKind.internal, repr(error))
        # An attempt that is no longer needed must not be sent later.
        run.attempt.close(ErrorKind.cancelled, 'another attempt ran the call')
        self._store_outcome(run, outcome)
        return _with_certain_ran(run, outcome)

    def _store_outcome(self, run: Run, outcome: CallOutcome) -> None:
        self._open.discard(run)
        if run.attempt.is_proven_not_run:
            self._forget_name(run)
        if not run.attempt.was_sent and not run.may_be_claimed:
            self._by_attempt.pop(run.attempt.attempt_id, None)
            return
        self._retention.keep(
            run.attempt.attempt_id,
            len(outcome.body) + RECORD_OVERHEAD_BYTES,
            asyncio.get_running_loop().time() + run.outcome_retention_s,
        )

    def _expire(self) -> None:
        now = asyncio.get_running_loop().time()
        for attempt_id in self._retention.expire(now):
            self._forget_name(self._by_attempt.pop(attempt_id))

    def _forget_name(self, run: Run) -> None:
        if self._by_name.get(run.name) is run:
            self._by_name.pop(run.name)


@contextlib.contextmanager
def _registered_waiter(run: Run) -> Iterator[None]:
    run.waiters += 1
    try:
        yield
    finally:
        run.waiters -= 1
        if not run.waiters and run.task is not None:
            _abandon(run, run.task)


def _with_certain_ran(run: Run, outcome: CallOutcome) -> CallOutcome:
    # This attempt was not sent, but one of another node may have been.
    if outcome.ran is Ran.no and not run.is_key_known:
        return dataclasses.replace(outcome, ran=Ran.unknown)
    return outcome


def _abandon(run: Run, task: asyncio.Task[CallOutcome]) -> None:
    if task.done() or run.attempt.state is not AttemptState.not_sent:
        return
    run.is_abandoned = True
    # A closed attempt cannot be sent, whatever step its task has reached.
    run.attempt.close(ErrorKind.cancelled)
    task.cancel()
