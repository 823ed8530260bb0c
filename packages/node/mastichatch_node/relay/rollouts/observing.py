"""Counts what the attempts of a node tell of a version on trial.

Load pattern: each answer and each few events of a stream while a roll-out is
open. Answers of a slow version may come after the decision on it, so that
requests that still wait are counted as well.
"""

import contextlib
from collections.abc import Callable, Iterator

from mastichatch_core.relay.model import Endpoint
from mastichatch_core.relay.rollouts.evidence import Observation
from mastichatch_core.relay.rollouts.verdict import judge_alone
from mastichatch_core.units import MS_PER_S
from mastichatch_node.clock import loop_time
from mastichatch_node.relay.rollouts.state import (
    ServiceRollout,
    WaitingRequest,
)
from mastichatch_node.relay.telemetry import Telemetry


class RolloutObserver:
    """Records the results of a node's attempts for the open roll-outs."""

    def __init__(
        self,
        find: Callable[[str], ServiceRollout | None],
        telemetry: Telemetry,
        data_centre: str,
    ) -> None:
        """Start without anything recorded.

        :param find: returns what is known of a service's roll-outs
        :param telemetry: event log and metrics
        :param data_centre: data centre of this node
        """
        self._find = find
        self._telemetry = telemetry
        self._data_centre = data_centre
        self._waits = 0
        self._is_cut_off: Callable[[], bool] = bool
        # When an endpoint is no longer cold, by instance and registered time.
        self._cold_until: dict[tuple[str, float], float] = {}

    def attach_contact(self, is_cut_off: Callable[[], bool]) -> None:
        """Count nothing while this node reaches no endpoint.

        :param is_cut_off: returns whether it reaches none
        """
        self._is_cut_off = is_cut_off

    def forget(self) -> None:
        """Forget which endpoints were cold."""
        self._cold_until.clear()

    def record(
        self,
        route: str,
        endpoint: Endpoint,
        sent_at: float,
        *,
        is_failed: bool = False,
        duration_ms: float | None = None,
        is_pace: bool = False,
    ) -> None:
        """Count what an endpoint answered, while a decision is due.

        :param route: name of the request's route
        :param endpoint: the endpoint
        :param sent_at: loop time at which the request was sent, or at which
            the events came, in seconds
        :param is_failed: whether the answer is a failure of the endpoint
        :param duration_ms: time until the answer or first event, or mean time
            between events, in milliseconds
        :param is_pace: whether the duration is the time between events
        """
        rollout = self._find(endpoint.service)
        if rollout is None or not rollout.is_open or self._is_cut_off():
            return
        observation = self._observe(
            route,
            endpoint,
            is_failed=is_failed,
            duration_ms=duration_ms,
            is_pace=is_pace,
        )
        rollout.counts.record(observation, sent_at - rollout.seen_at)
        if not is_pace:
            self._telemetry.count_rollout_answer(
                endpoint.service,
                is_target=rollout.is_target(endpoint),
                is_failed=is_failed,
            )

    @contextlib.contextmanager
    def waiting(self, route: str, endpoint: Endpoint) -> Iterator[None]:
        """Count a request as waiting for its answer in the block.

        :param route: name of the request's route
        :param endpoint: endpoint that it is sent to
        """
        number = self.begin_waiting(route, endpoint)
        try:
            yield
        finally:
            self.end_waiting(endpoint, number)

    def begin_waiting(self, route: str, endpoint: Endpoint) -> int:
        """Count a request as waiting for its answer, while a decision is due.

        :param route: name of the request's route
        :param endpoint: endpoint that it is sent to
        :returns: number by which the wait is ended; zero if it is not counted
        """
        rollout = self._find(endpoint.service)
        if rollout is None or not rollout.is_open:
            return 0
        self._waits += 1
        rollout.waiting[self._waits] = WaitingRequest(
            route=route, endpoint=endpoint, since=loop_time()
        )
        return self._waits

    def end_waiting(self, endpoint: Endpoint, number: int) -> None:
        """End the wait of a request, once it is answered or has failed.

        :param endpoint: endpoint that it was sent to
        :param number: number of the wait; unknown ones are ignored
        """
        rollout = self._find(endpoint.service)
        if rollout is not None:
            rollout.waiting.pop(number, None)

    def review(self, rollout: ServiceRollout) -> None:
        """Count the waiting requests, and stop exposing any to a bad version.

        :param rollout: an open roll-out
        """
        now = loop_time()
        rollout.counts.replace_waiting(
            [
                self._observe(
                    one.route,
                    one.endpoint,
                    duration_ms=(now - one.since) * MS_PER_S,
                )
                for one in rollout.waiting.values()
                if not self._is_cut_off()
            ],
            now - rollout.seen_at,
        )
        if not rollout.is_vetoed and judge_alone(rollout.counts.cells()):
            rollout.is_vetoed = True
            self._telemetry.log_state_change(
                'rollout_vetoed',
                service=rollout.service,
                target=rollout.order.target if rollout.order else '',
                age_s=round(loop_time() - rollout.seen_at, 3),
            )

    def _observe(
        self,
        route: str,
        endpoint: Endpoint,
        *,
        duration_ms: float | None,
        is_failed: bool = False,
        is_pace: bool = False,
    ) -> Observation:
        return Observation(
            version=endpoint.version,
            instance=endpoint.instance,
            route=route,
            is_remote=endpoint.data_centre != self._data_centre,
            is_failed=is_failed,
            duration_ms=None if self._is_cold(endpoint) else duration_ms,
            is_pace=is_pace,
        )

    def _is_cold(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint is slow since it has just started.

        Its entry tells for how much longer, as of the time it was written.
        """
        if not endpoint.cold_ms:
            return False
        now = loop_time()
        key = (endpoint.instance, endpoint.cold_ms)
        until = self._cold_until.setdefault(
            key, now + endpoint.cold_ms / MS_PER_S
        )
        return now < until
