"""Refuses queued generations that no engine will have room for in time."""

import dataclasses
import math
import random
from collections.abc import Mapping

from mastichatch_core.relay.admission.forecast import (
    Forecast,
    Supply,
    forecast_waits,
    measure_supply,
    return_delay_s,
)
from mastichatch_core.relay.admission.room import (
    RoomTracker,
    expected_answer_s,
)
from mastichatch_core.relay.admission.shares import Flow
from mastichatch_core.relay.engine_queue import QueuePlan, max_queue_wait_s
from mastichatch_core.relay.load_control import (
    LoadControl,
    is_controlled,
    most_urgent_rank,
)
from mastichatch_core.relay.model import Endpoint
from mastichatch_core.relay.placement.costs import PlacementCosts
from mastichatch_core.units import MS_PER_S
from mastichatch_node.clock import loop_time
from mastichatch_node.relay.context import Job, RelayContext
from mastichatch_node.relay.planned_stop import draw_return_s


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Expectation:
    """What was forecast for a queued request.

    :param latest: latest forecast
    :param placed_at: time at which the first forecast expected its placement,
        in seconds
    """

    latest: Forecast
    placed_at: float


class AdmissionForecaster:
    """Forecasts for the queued generations of this node."""

    def __init__(self, context: RelayContext) -> None:
        """Follow the runs of all nodes, if forecasts are made at all.

        :param context: shared components of the relay
        """
        self._context = context
        self._room = RoomTracker()
        self._expected: dict[str, _Expectation] = {}
        controls = context.controls
        self._is_attached = {
            controls.admission_forecast,
            controls.fair_shares,
        } != {LoadControl.off}
        if self._is_attached:
            context.sharing.table.attach(self._room)

    def held_by_flow(self, service: str) -> Mapping[Flow, float] | None:
        """Return what runs hold of the room that is shared, if it is.

        :param service: name of the service
        :returns: tokens by those who share; ``None`` without shares
        """
        is_shared = is_controlled(
            self._context.controls.fair_shares,
            self._context.belief.configuration,
            service,
        )
        return self._room.held(service) if is_shared else None

    def first_rank(self, service: str) -> int | None:
        """Return the rank for which engines keep their queues short.

        :param service: name of the service
        :returns: the rank; ``None`` without forecasts
        """
        if not self._is_on(service):
            return None
        return most_urgent_rank(self._context.belief.configuration, service)

    def refuse_hopeless(
        self,
        jobs: Mapping[str, Job],
        plan: QueuePlan,
        usable: tuple[Endpoint, ...],
        costs: PlacementCosts,
    ) -> Mapping[str, float]:
        """Return which requests are refused because they would wait too long.

        :param jobs: queued requests of this node for one service, by id
        :param plan: assignment of engines to the requests of all nodes
        :param usable: engines of the service that accept new requests
        :param costs: what was measured of the engines
        :returns: time after which each should come back, in seconds, by id
        """
        waiting = tuple(
            run.request_id
            for run in (*plan.unplaced, *plan.late)
            if run.request_id in jobs
        )
        # Without an engine in use, nothing can be forecast.
        if not waiting or not usable or not self._is_made(usable[0].service):
            return {}
        now = loop_time()
        supply = measure_supply(
            usable,
            jobs[waiting[0]].service.engine,
            plan,
            self._room,
            now,
            costs,
        )
        forecasts = forecast_waits(
            plan, supply, self._context.sharing.table.arrived_at, now, jobs
        )
        refused: dict[str, float] = {}
        for request_id in waiting:
            job, forecast = jobs[request_id], forecasts[request_id]
            if now + forecast.wait_s > waits_until(self._context, job):
                refused[request_id] = self._draw_return_s(job, forecast)
                self._log_refusal(job, forecast, supply, refused[request_id])
            else:
                self._expect(request_id, forecast)
        return refused

    def return_s(self, job: Job) -> float | None:
        """Return when a request that has waited in vain should come back.

        :param job: the request
        :returns: time in seconds; ``None`` without a forecast
        """
        expected = self._expected.get(job.request_id)
        if expected is None:
            return None
        return self._draw_return_s(job, expected.latest)

    def record_end(self, request_id: str, *, is_placed: bool) -> None:
        """Record that a request no longer waits.

        :param request_id: id of the request
        :param is_placed: whether an engine was assigned to it
        """
        expected = self._expected.pop(request_id, None)
        if expected is not None and is_placed:
            self._context.telemetry.placement.observe_forecast_error(
                expected.placed_at - loop_time()
            )

    def _is_made(self, service: str) -> bool:
        """Return whether forecasts are made for a service.

        Before a planned stop, no request waits for room that comes too late.
        """
        is_stopping = self._is_attached and self._context.stop.is_planned
        return is_stopping or self._is_on(service)

    def _is_on(self, service: str) -> bool:
        return is_controlled(
            self._context.controls.admission_forecast,
            self._context.belief.configuration,
            service,
        )

    def _draw_return_s(self, job: Job, forecast: Forecast) -> float:
        if self._context.stop.is_planned and (
            not self._is_on(job.service.name)
            or loop_time() + forecast.wait_s <= _longest_wait_until(job)
        ):
            # Another node lets it wait.
            return draw_return_s()
        return return_delay_s(
            forecast,
            job.left_ms() / MS_PER_S,
            random.random(),  # noqa: S311
        )

    def _expect(self, request_id: str, forecast: Forecast) -> None:
        known = self._expected.get(request_id)
        if known is None:
            placed_at = loop_time() + forecast.wait_s
        else:
            placed_at = known.placed_at
        self._expected[request_id] = _Expectation(
            latest=forecast, placed_at=placed_at
        )

    def _log_refusal(
        self, job: Job, forecast: Forecast, supply: Supply, return_s: float
    ) -> None:
        demand = tuple(supply.demand.values())
        wait_s = forecast.wait_s
        self._context.telemetry.log_decision(
            'generation_refused',
            job.request_id,
            rank=job.rank,
            waited_ms=round((loop_time() - job.request.arrived_at) * MS_PER_S),
            wait_ms=None if math.isinf(wait_s) else round(wait_s * MS_PER_S),
            late=forecast.is_late,
            ahead=forecast.ahead,
            engines=supply.engines,
            used_tokens=round(supply.used_tokens),
            pending_tokens=round(supply.pending_tokens),
            memory_demand=round(sum(one.memory for one in demand)),
            prompt_demand=round(sum(one.prompt for one in demand)),
            retry_after_ms=round(return_s * MS_PER_S),
        )


def waits_until(context: RelayContext, job: Job) -> float:
    """Return until which time a request may wait for an engine, in seconds.

    Its answer must end before a planned stop of this node.

    :param context: shared components of the relay
    :param job: the request
    """
    latest = _longest_wait_until(job)
    if not context.stop.is_planned:
        return latest
    duration_s = expected_answer_s(job.facts)
    return min(latest, context.stop.latest_start(duration_s))


def _longest_wait_until(job: Job) -> float:
    """Return until when a request waits at nodes that do not stop."""
    arrived_at = job.request.arrived_at
    return arrived_at + max_queue_wait_s(
        job.route.objective_ms / MS_PER_S, job.ends_at - arrived_at
    )
