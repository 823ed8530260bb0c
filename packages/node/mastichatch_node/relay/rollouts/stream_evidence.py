"""Records how the stream of one attempt goes, for the roll-out of its version.

Load pattern: each event of each stream while a roll-out is open. Streams last
longer than a trial, so that their pace is recorded while they run.
"""

import functools
from typing import Final

from mastichatch_core.relay.model import Endpoint
from mastichatch_core.units import MS_PER_S
from mastichatch_node.clock import loop_time
from mastichatch_node.relay.context import Job, RelayContext
from mastichatch_node.relay.endpoint_attempt import (
    AttemptOutcome,
    AttemptResult,
    is_endpoint_failure,
    is_suspected,
)

# Events over which the pace of a stream is measured.
PACE_EVENTS: Final = 8


class StreamEvidence:
    """The times of the first event and of those that follow it."""

    def __init__(
        self,
        context: RelayContext,
        job: Job,
        endpoint: Endpoint,
        *,
        is_resumed: bool,
    ) -> None:
        """Start when the request is sent.

        :param context: shared components of the relay
        :param job: the request
        :param endpoint: engine that the request is sent to
        :param is_resumed: whether a run goes on that has begun elsewhere; its
            first event tells nothing of how fast prompts are read
        """
        self._context = context
        self._job = job
        self._endpoint = endpoint
        self._is_resumed = is_resumed
        self._started_at = loop_time()
        self._measured_at: float | None = None
        self._events = 0
        self._wait = 0
        if is_resumed:
            context.rollouts.record_resumption(endpoint)
        else:
            self._wait = context.rollouts.observer.begin_waiting(
                job.route.name, endpoint
            )

    def record_events(self, count: int) -> None:
        """Record events that have arrived together.

        :param count: number of events
        """
        now = loop_time()
        if self._measured_at is None:
            self._measured_at = now
            self.close()
            if not self._is_resumed:
                self._record(
                    self._started_at,
                    duration_ms=(now - self._started_at) * MS_PER_S,
                )
            return
        self._events += count
        if self._events < PACE_EVENTS:
            return
        elapsed_ms = (now - self._measured_at) * MS_PER_S
        self._record(now, duration_ms=elapsed_ms / self._events, is_pace=True)
        self._measured_at = now
        self._events = 0

    def record_end(self, result: AttemptResult, *, was_ordered: bool) -> None:
        """Record whether the engine has failed, or has broken the stream off.

        :param result: result of the attempt
        :param was_ordered: whether this node has ended it itself
        """
        context = self._context
        if context.rollouts.find(self._endpoint.service) is None:
            return
        if result.fate is AttemptOutcome.not_sent:
            context.rollouts.return_exposure(self._endpoint)
        elif is_endpoint_failure(result) and not was_ordered:
            if is_suspected(context, self._job, self._endpoint):
                return
            record = functools.partial(
                self._record, self._started_at, is_failed=True
            )
            if result.is_closed_by_peer:
                context.isolation.contact.call_when_reached(record)
            else:
                record()

    def close(self) -> None:
        """End the wait for the first event."""
        self._context.rollouts.observer.end_waiting(self._endpoint, self._wait)

    def _record(
        self,
        sent_at: float,
        *,
        duration_ms: float | None = None,
        is_failed: bool = False,
        is_pace: bool = False,
    ) -> None:
        self._context.rollouts.observer.record(
            self._job.route.name,
            self._endpoint,
            sent_at,
            duration_ms=duration_ms,
            is_failed=is_failed,
            is_pace=is_pace,
        )
