"""Queues generations until an engine has room, and assigns the engine."""

import asyncio
import dataclasses
import functools
import random
from collections.abc import Callable, Iterable, Mapping
from typing import Final

from mastichatch_core import breaker as breakers
from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.messages import (
    ErrorKind,
    Run,
    RunChanges,
    RunState,
)
from mastichatch_core.relay.store_cache import usable_endpoints
from mastichatch_core.relay.avoidance import (
    NO_CONNECTION_S,
    NO_CONNECTION_TO_SILENT_S,
    shared_avoidance_s,
    unreachable_engines,
)
from mastichatch_core.relay.destination import choose_destination
from mastichatch_core.relay.engine_choice import (
    Candidate,
    estimate_output_tokens,
    measure_loads,
    rank_engines,
    placement_request,
)
from mastichatch_core.relay.engine_queue import (
    QueueOptions,
    QueuePlan,
    plan_queue,
)
from mastichatch_core.relay.limit_turns import return_delay_s
from mastichatch_core.relay.load_control import LoadControl, LoadControls
from mastichatch_core.relay.model import Endpoint, Engine
from mastichatch_core.relay.placement.costs import (
    NOMINAL_COSTS,
    PlacementCosts,
)
from mastichatch_core.relay.plain_choice import split_paused
from mastichatch_core.relay.prompt_quarantine import Verdict
from mastichatch_core.units import MS_PER_S
from mastichatch_node.clock import loop_time
from mastichatch_node.relay.admission_forecasting import (
    AdmissionForecaster,
    waits_until,
)
from mastichatch_node.relay.context import Job, RelayContext
from mastichatch_node.relay.endpoint_attempt import (
    AttemptOutcome,
    AttemptResult,
)
from mastichatch_node.relay.proxy_decision import (
    PassOnError,
    may_pass_on_unsent,
    must_pass_on,
)
from mastichatch_node.relay.speed_tracking import SpeedTracker

# Shorter outputs finish before a copy of their KV cache is of any use.
COPY_MIN_OUTPUT_TOKENS: Final = 100
# Copies occupy memory that runs need, so an engine accepts a copy only while
# its memory use stays below this share.
COPY_MEMORY_SHARE_LIMIT: Final = 0.2
# Expected time until capacity is free: an engine that left is replaced, or a
# generation ends (under load, 1.6 end per second, by the users' requirements).
RETRY_AFTER_S: Final = 0.5
# Most queued requests that are tried on a version on trial at a time: those
# that fit none of its engines must not keep the others from it.
MAX_EXPOSURE_TRIES: Final = 3
# Jitter added to Retry-After, so that refused callers do not retry together.
RETRY_AFTER_JITTER_S: Final = 1.0
# Reason of a refusal.
NO_ROOM: Final = 'no engine has room in time'


class EngineUnavailableError(MastichatchError):
    """No engine may run the request now.

    :param retry_after_s: delay until one is expected to, in seconds
    """

    def __init__(
        self,
        reason: str,
        retry_after_s: float,
        kind: ErrorKind = ErrorKind.no_capacity,
    ) -> None:
        """Store the reason and the retry delay."""
        super().__init__(kind, reason)
        self.retry_after_s = retry_after_s


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EnginePlacement:
    """The engines assigned to a generation.

    :param endpoint: engine that runs it
    :param copy: engine that keeps a copy of its KV cache, if any
    :param suspects: parts of its prompt that may crash the engine
    """

    endpoint: Endpoint
    copy: Endpoint | None
    suspects: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _QueuedRequest:
    """A request that waits for an engine.

    :param job: the request
    :param excluded: instances that refused it
    :param future: future that resolves to the assigned engine
    :param suspects: parts of its prompt that may crash an engine
    """

    job: Job
    excluded: frozenset[str]
    future: asyncio.Future[Candidate]
    suspects: tuple[str, ...] = ()


class EnginePlacer:
    """Assigns engines to the queued generations of this node."""

    def __init__(self, context: RelayContext) -> None:
        """Start with an empty queue.

        :param context: shared components of the relay
        """
        self._context = context
        self._waiting: dict[str, _QueuedRequest] = {}
        self._tracker = SpeedTracker(context)
        self._forecaster = AdmissionForecaster(context)

    async def place(
        self, job: Job, excluded: frozenset[str]
    ) -> EnginePlacement:
        """Queue a request until an engine has room, and return the engine.

        The run is announced to all nodes as running on that engine. A request
        that would crash every engine is refused at once.

        :param job: the request
        :param excluded: instances that refused it
        :raises EngineUnavailableError: if no engine has room in time, or if the
            prompt would crash it
        """
        engine = require_engine(job)
        is_unsent = bool(excluded) and may_pass_on_unsent(self._context, job)
        if is_unsent or must_pass_on(self._context, job):
            raise PassOnError
        if job.facts.prompt_tokens > engine.memory_tokens:
            # The prompt exceeds the memory of every engine.
            raise self._unavailable(job)
        refuse_if_all_paused(self._context, job)
        _refuse_if_all_limited(
            self._context, job, self.usable_engines(job.service.name)
        )
        future: asyncio.Future[Candidate] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiting[job.request_id] = _QueuedRequest(
            job=job, excluded=excluded, future=future
        )
        run = new_run(job, self._context.controls)
        self._context.sharing.table.update_own(run, loop_time())
        try:
            candidate = await self._wait_for_engine(job, run, future)
        except BaseException:
            self._forecaster.record_end(job.request_id, is_placed=False)
            ended = dataclasses.replace(run, state=RunState.ended)
            self._context.sharing.record(ended)
            raise
        finally:
            self._waiting.pop(job.request_id, None)
        self._forecaster.record_end(job.request_id, is_placed=True)
        if not excluded:
            self._context.rollouts.record_request(job.service.name)
        return self._record_placement(job, engine, candidate)

    def reconcile(self) -> None:
        """Assign engines to the queued requests that are next in order."""
        _release_isolated(self._context, self._waiting.values())
        services = {one.job.service.name for one in self._waiting.values()}
        for service in services:
            self._assign_engines(service)

    def usable_engines(self, service: str) -> tuple[Endpoint, ...]:
        """Return the engines of a service that accept requests or runs.

        A roll-out may keep some of them from new requests.

        :param service: name of the service
        """
        now = loop_time()
        usable, _ = split_paused(
            usable_endpoints(self._context.belief, service, now),
            self._context.records,
            now,
        )
        healthy = tuple(
            one for one in usable if _is_healthy(self._context, one, now)
        )
        # If all circuit breakers are open, some engine must still be tried.
        return healthy or usable

    def record_attempt(self, endpoint: Endpoint, result: AttemptResult) -> None:
        """Avoid an engine that is gone, and tell all other nodes.

        :param endpoint: engine of an attempt
        :param result: result of the attempt
        """
        instance = endpoint.instance
        shared_s = shared_avoidance_s(
            is_connection_refused=result.is_connection_refused,
            status=result.status,
        )
        is_known = self._context.records.get(instance).is_avoided(loop_time())
        if shared_s:
            self.avoid((instance,), shared_s)
        elif result.fate is AttemptOutcome.not_sent:
            usable = usable_endpoints(
                self._context.belief, endpoint.service, loop_time()
            )
            self.avoid(
                unreachable_engines(
                    endpoint, usable, self._context.data_centre
                ),
                _no_connection_s(self._context, endpoint),
            )
        if shared_s and not is_known:
            announce = functools.partial(
                _announce_avoidance, self._context, endpoint, result, shared_s
            )
            if result.is_connection_refused:
                self._context.isolation.contact.call_when_reached(announce)
            else:
                announce()

    def handle_changes(self, message: RunChanges) -> None:
        """Avoid the engines that another node found to be gone.

        :param message: message with their instance ids
        """
        if not message.is_cut_off:
            self.avoid(message.avoided, message.avoided_ms / MS_PER_S)

    def avoid(self, instances: Iterable[str], duration_s: float) -> None:
        """Send no requests to some engines for a while.

        :param instances: instance ids of the engines
        :param duration_s: time in seconds
        """
        for instance in instances:
            self._context.records.get(instance).avoid(loop_time() + duration_s)

    def accepts_runs(self, endpoint: Endpoint, source: Endpoint) -> bool:
        """Return whether a run may continue on an engine.

        :param endpoint: the engine; the state given in it may be out of date
        :param source: engine that runs or ran it
        """
        now = loop_time()
        if not self._context.rollouts.may_continue(source, endpoint):
            return False
        if self._context.records.get(endpoint.instance).is_paused(now):
            return False
        usable = usable_endpoints(self._context.belief, endpoint.service, now)
        return any(one.instance == endpoint.instance for one in usable)

    def runs_of_service(self, service: str) -> tuple[Run, ...]:
        """Return the runs of a service on all nodes.

        :param service: name of the service
        """
        runs = self._context.sharing.table.iter_runs(loop_time())
        return tuple(run for run in runs if run.service == service)

    def costs(self, service: str) -> PlacementCosts:
        """Return what was measured of the engines of a service.

        :param service: name of the service
        """
        remote = self._context.remotes.costs.get(service, NOMINAL_COSTS)
        speeds = self._tracker.speeds(service)
        return dataclasses.replace(remote, speeds=speeds) if speeds else remote

    async def _wait_for_engine(
        self, job: Job, run: Run, future: 'asyncio.Future[Candidate]'
    ) -> Candidate:
        self._assign_engines(job.service.name)
        if future.done():
            return future.result()
        # The run may have become a trial.
        self._context.sharing.record(
            dataclasses.replace(
                run, suspects=self._waiting[job.request_id].suspects
            )
        )
        try:
            async with asyncio.timeout_at(waits_until(self._context, job)):
                return await future
        except TimeoutError:
            raise self._unavailable(job) from None

    def _unavailable(self, job: Job) -> EngineUnavailableError:
        service = job.service.name
        opened = self._context.rollouts.split(
            service, self.usable_engines(service)
        )
        reason = NO_ROOM if opened.proven else 'no engine is in use'
        return_s = self._forecaster.return_s(job)
        if return_s is None:
            jitter_s = random.random() * RETRY_AFTER_JITTER_S  # noqa: S311
            return_s = RETRY_AFTER_S + jitter_s
        return EngineUnavailableError(reason, return_s)

    def _assign_engines(self, service: str) -> None:
        opened = self._context.rollouts.split(
            service, self.usable_engines(service)
        )
        queued, options = self._judge_queued(service, opened.proven)
        if not queued:
            return
        engine = require_engine(next(iter(queued.values())).job)
        runs = self.runs_of_service(service)
        if opened.trial:
            queued, runs = self._expose(
                queued, runs, _Engines(opened.trial, engine), options
            )
        queued, runs = _use_turns(
            self._context, queued, runs, _Engines(opened.free, engine), options
        )
        free = _without_limit(self._context, opened.free)
        plan = _assign(
            self._context, queued, runs, _Engines(free, engine), options
        )
        if free:
            _refuse_hopeless(self._forecaster, queued, plan, free, options)

    def _judge_queued(
        self, service: str, usable: tuple[Endpoint, ...]
    ) -> tuple[dict[str, _QueuedRequest], QueueOptions]:
        """Return the queued requests of a service that may run.

        :param service: name of the service
        :param usable: engines that accept new requests
        :returns: the requests by id, and what their assignment depends on
        """
        queued: dict[str, _QueuedRequest] = {}
        excluded: dict[str, frozenset[str]] = {}
        for request_id, one in tuple(self._waiting.items()):
            if one.job.service.name == service and not one.future.done():
                refused = self._apply_verdicts(one, usable)
                excluded[request_id] = one.excluded | refused
                queued[request_id] = self._waiting[request_id]
        options = dataclasses.replace(
            _queue_options(self._context, self._forecaster, service),
            excluded=excluded,
            costs=self.costs(service),
        )
        return queued, options

    def _expose(
        self,
        queued: Mapping[str, _QueuedRequest],
        runs: tuple[Run, ...],
        trial: '_Engines',
        options: QueueOptions,
    ) -> tuple[dict[str, _QueuedRequest], tuple[Run, ...]]:
        """Assign engines on trial to queued requests, as far as is allowed.

        Requests that may crash an engine would tell nothing of the version.

        :returns: the requests that are left, and the runs without the others
        """
        left = _still_waiting(queued)
        ranked = sorted(
            (item for item in left.items() if not item[1].suspects),
            key=lambda item: item[1].job.rank,
        )
        self._context.turns.request_beside(trial.endpoints)
        for own_id, queued_request in ranked[:MAX_EXPOSURE_TRIES]:
            # Other waiting requests do not use the allowance of this node.
            visible = _without_other_waiting(runs, own_id)
            own = {own_id: queued_request}
            if not _try_expose(self._context, own, visible, trial, options):
                break
        waiting = _still_waiting(left)
        exposed = left.keys() - waiting.keys()
        return waiting, tuple(
            run for run in runs if run.request_id not in exposed
        )

    def _apply_verdicts(
        self, queued: _QueuedRequest, usable: tuple[Endpoint, ...]
    ) -> frozenset[str]:
        """Refuse a queued request, or make it a trial, as its prompt demands.

        :param queued: the request
        :param usable: engines of its service that accept new requests
        :returns: instances of the versions that must not run it
        """
        verdict = self._context.crashes.judge_fleet(queued.job.parts, usable)
        if verdict.refusal is not None:
            queued.future.set_exception(quarantine_error(verdict.refusal))
        elif verdict.suspects != queued.suspects:
            self._update_suspects(queued, verdict.suspects)
        return frozenset(
            one.instance
            for one in usable
            if one.version in verdict.refused_versions
        )

    def _update_suspects(
        self, queued: _QueuedRequest, suspects: tuple[str, ...]
    ) -> None:
        job = queued.job
        self._waiting[job.request_id] = dataclasses.replace(
            queued, suspects=suspects
        )
        self._context.sharing.record(
            dataclasses.replace(
                new_run(job, self._context.controls), suspects=suspects
            )
        )

    def _record_placement(
        self, job: Job, engine: Engine, candidate: Candidate
    ) -> EnginePlacement:
        run = new_run(job, self._context.controls)
        endpoint = self._context.belief.endpoints(loop_time())[
            candidate.instance
        ]
        verdict = self._context.crashes.judge(job.parts, endpoint)
        suspects = tuple(sorted(verdict.suspects))
        copy = self._choose_copy(job, engine, run, endpoint)
        placed = dataclasses.replace(
            run,
            state=RunState.running,
            endpoint=endpoint.instance,
            copy_at='' if copy is None else copy.instance,
            suspects=suspects,
        )
        self._context.sharing.record(placed)
        self._context.telemetry.placement.count_placement(
            is_remote=candidate.is_remote
        )
        self._context.telemetry.log_decision(
            'generation_placed',
            job.request_id,
            endpoint=endpoint.instance,
            copy_at=placed.copy_at,
            parts=[one.part for one in job.facts.parts],
            suspects=suspects,
            cost=round(candidate.cost),
            remote=candidate.is_remote,
            reluctance=round(candidate.reluctance),
            memory_share=round(candidate.memory_share, 3),
            expected_tokens=run.expected_tokens,
            revision=self._context.belief.revision,
            waited_ms=round((loop_time() - job.request.arrived_at) * MS_PER_S),
        )
        return EnginePlacement(endpoint=endpoint, copy=copy, suspects=suspects)

    def _choose_copy(
        self, job: Job, engine: Engine, run: Run, endpoint: Endpoint
    ) -> Endpoint | None:
        if (
            not engine.can_back_up
            or run.expected_tokens < COPY_MIN_OUTPUT_TOKENS
        ):
            return None
        return self.choose_destination_engine(
            job,
            dataclasses.replace(run, endpoint=endpoint.instance),
            frozenset((endpoint.instance,)),
            endpoint,
            COPY_MEMORY_SHARE_LIMIT,
        )

    def choose_destination_engine(
        self,
        job: Job,
        run: Run,
        excluded: frozenset[str],
        source: Endpoint,
        memory_share: float,
    ) -> Endpoint | None:
        """Return an engine with room for a copy of a run's KV cache, if any.

        :param job: the run's request
        :param run: current state of the run
        :param excluded: instances that must not be chosen
        :param source: engine that holds the KV cache; a transfer to another
            data centre has half the rate
        :param memory_share: highest share of an engine's memory in use after
            the copy
        """
        endpoints = {
            one.instance: one
            for one in self.usable_engines(job.service.name)
            if one.instance not in excluded
            and self._context.rollouts.may_continue(source, one)
            and self._context.turns.limits.limit(one) is None
        }
        criteria = dataclasses.replace(
            placement_request(run, self._context.data_centre), part=''
        )
        runs = self.runs_of_service(job.service.name)
        loads = measure_loads(runs)
        engine = require_engine(job)
        candidates = rank_engines(
            endpoints.values(),
            loads,
            engine,
            criteria,
            memory_share,
            self.costs(job.service.name),
        )
        if not candidates:
            return None
        chosen = choose_destination(
            candidates, endpoints, runs, run, source.data_centre
        )
        return endpoints[chosen]


def _release_isolated(
    context: RelayContext, waiting: Iterable[_QueuedRequest]
) -> None:
    """Let other nodes go on with the queued requests of a partitioned node."""
    if not context.isolation.is_isolated or not context.proxy_peers.has_any:
        return
    for queued in waiting:
        if not queued.future.done():
            queued.future.set_exception(PassOnError())


def _is_healthy(context: RelayContext, endpoint: Endpoint, now: float) -> bool:
    record = context.records.get(endpoint.instance)
    if record.is_avoided(now):
        return False
    return breakers.allows_request(record.breaker, record.running, now)


def _refuse(
    queued: Mapping[str, _QueuedRequest], hopeless: Mapping[str, float]
) -> None:
    """Refuse queued requests that will not be placed in time.

    :param queued: requests that wait, by id
    :param hopeless: time after which each should come back, in seconds, by id
    """
    for request_id, return_s in hopeless.items():
        error = EngineUnavailableError(NO_ROOM, return_s)
        queued[request_id].future.set_exception(error)


def _refuse_hopeless(
    forecaster: AdmissionForecaster,
    queued: Mapping[str, _QueuedRequest],
    plan: QueuePlan,
    engines: tuple[Endpoint, ...],
    options: QueueOptions,
) -> None:
    """Refuse the queued requests that will not be placed in time."""
    left = _still_waiting(queued)
    jobs = {request_id: one.job for request_id, one in left.items()}
    _refuse(
        left, forecaster.refuse_hopeless(jobs, plan, engines, options.costs)
    )


def _queue_options(
    context: RelayContext, forecaster: AdmissionForecaster, service: str
) -> QueueOptions:
    """Return what was decided for a service's queue."""
    return QueueOptions(
        home_of=_home_lookup(context),
        held=forecaster.held_by_flow(service),
        first_rank=forecaster.first_rank(service),
    )


def _announce_avoidance(
    context: RelayContext,
    endpoint: Endpoint,
    result: AttemptResult,
    duration_s: float,
) -> None:
    """Tell all other nodes to avoid an engine that is gone."""
    context.telemetry.log_state_change(
        'engine_avoided', instance=endpoint.instance, reason=result.reason
    )
    context.sharing.announce_avoidance(endpoint.instance, duration_s)


def _no_connection_s(context: RelayContext, endpoint: Endpoint) -> float:
    """Return for how long an engine that was not reached is avoided."""
    if endpoint.data_centre in context.remotes.silent:
        return NO_CONNECTION_TO_SILENT_S
    return NO_CONNECTION_S


def _home_lookup(context: RelayContext) -> Callable[[Run], str] | None:
    """Return a function that returns the data centre of a run's request.

    Where leaving is not decided by measurements, it makes no difference.
    """
    data_centres = context.remotes.data_centres
    if not data_centres:
        return None
    table = context.sharing.table
    return lambda run: data_centres.get(table.node_of(run), context.data_centre)


def _without_other_waiting(runs: Iterable[Run], own_id: str) -> tuple[Run, ...]:
    return tuple(
        run
        for run in runs
        if run.state is RunState.running or run.request_id == own_id
    )


def _most_urgent(queued: Mapping[str, _QueuedRequest]) -> str:
    return min(queued, key=lambda request_id: queued[request_id].job.rank)


def _still_waiting(
    queued: Mapping[str, _QueuedRequest],
) -> dict[str, _QueuedRequest]:
    return {
        request_id: one
        for request_id, one in queued.items()
        if not one.future.done()
    }


@dataclasses.dataclass(frozen=True, slots=True)
class _Engines:
    """Engines to which requests may be assigned.

    :param endpoints: the engines
    :param engine: capacity of one engine
    """

    endpoints: tuple[Endpoint, ...]
    engine: Engine


def _without_limit(
    context: RelayContext, engines: Iterable[Endpoint]
) -> tuple[Endpoint, ...]:
    """Return the engines that need no turn."""
    limits = context.turns.limits
    return tuple(one for one in engines if limits.limit(one) is None)


def _try_expose(
    context: RelayContext,
    own: Mapping[str, _QueuedRequest],
    visible: tuple[Run, ...],
    trial: _Engines,
    options: QueueOptions,
) -> bool:
    """Assign an engine on trial to one request, if one has room for it.

    :returns: whether another request may be tried
    """
    service = trial.endpoints[0].service
    rollouts, turns = context.rollouts, context.turns
    accepting = tuple(filter(turns.accepts, trial.endpoints))
    if not accepting or not rollouts.try_expose(service):
        return False
    opened = _Engines(accepting, trial.engine)
    plan = _assign(context, own, visible, opened, options)
    assigned = {
        plan.found[one].instance
        for one, queued in own.items()
        if queued.future.done()
    }
    if not assigned:
        rollouts.cancel_exposure(service)
    for endpoint in accepting:
        if endpoint.instance in assigned:
            turns.take(endpoint)
    return True


def _use_turns(
    context: RelayContext,
    queued: Mapping[str, _QueuedRequest],
    runs: tuple[Run, ...],
    engines: _Engines,
    options: QueueOptions,
) -> tuple[dict[str, _QueuedRequest], tuple[Run, ...]]:
    """Assign engines that name limits, as far as this node has turns.

    New turns are requested for later requests: those that are queued go to
    other engines, if these have room.

    :returns: the requests that are left, and the runs without the others
    """
    turns = context.turns
    waiting = dict(queued)
    for endpoint in engines.endpoints:
        if turns.limits.limit(endpoint) is None:
            continue
        turns.request_beside((endpoint,))
        if waiting and turns.accepts(endpoint):
            own_id = _most_urgent(waiting)
            # The turn is for requests of this node only.
            visible = _without_other_waiting(runs, own_id)
            single = _Engines((endpoint,), engines.engine)
            own = {own_id: waiting[own_id]}
            _assign(context, own, visible, single, options)
            if waiting[own_id].future.done():
                turns.take(endpoint)
                waiting = _still_waiting(waiting)
    assigned = queued.keys() - waiting.keys()
    return waiting, tuple(run for run in runs if run.request_id not in assigned)


def _assign(
    context: RelayContext,
    queued: Mapping[str, _QueuedRequest],
    runs: tuple[Run, ...],
    engines: _Engines,
    options: QueueOptions,
) -> QueuePlan:
    """Assign engines to the queued requests that are next in order."""
    plan = plan_queue(
        runs,
        engines.endpoints,
        engines.engine,
        context.sharing.table.arrived_at,
        context.data_centre,
        loop_time(),
        options,
    )
    for request_id, candidate in plan.found.items():
        placed = queued.get(request_id)
        if placed is not None and not placed.future.done():
            placed.future.set_result(candidate)
    return plan


def require_engine(job: Job) -> Engine:
    """Return the engine capacity of a request's service.

    :param job: the request
    :raises MastichatchError: with ``no_endpoint`` if the service has no engines
    """
    if job.service.engine is None:
        raise MastichatchError(ErrorKind.no_endpoint, 'no model service')
    return job.service.engine


def refuse_if_all_paused(context: RelayContext, job: Job) -> None:
    """Refuse a request if all endpoints of its service have asked for time.

    :param context: shared components of the relay
    :param job: the request
    :raises EngineUnavailableError: with the time until the first of them is
        expected to have room
    """
    now = loop_time()
    usable = usable_endpoints(context.belief, job.service.name, now)
    opened = context.rollouts.split(job.service.name, usable)
    active, left_s = split_paused(opened.proven, context.records, now)
    if active or left_s is None:
        return
    jitter_s = random.random() * RETRY_AFTER_JITTER_S  # noqa: S311
    raise EngineUnavailableError(
        'all endpoints have asked for time', left_s + jitter_s
    )


def _refuse_if_all_limited(
    context: RelayContext, job: Job, usable: tuple[Endpoint, ...]
) -> None:
    """Refuse a request if no engine will have a turn for it in time.

    :raises EngineUnavailableError: with the time until one may have
    """
    turns = context.turns
    if not usable or any(turns.limits.limit(one) is None for one in usable):
        return
    opens_in_s = turns.opens_in_s(usable)
    if loop_time() + opens_in_s < waits_until(context, job):
        return
    context.telemetry.limits.count_refusal()
    draw = random.random()  # noqa: S311
    raise EngineUnavailableError(
        'all engines have reached the limits that they name',
        return_delay_s(opens_in_s, draw),
    )


def quarantine_error(refusal: Verdict) -> EngineUnavailableError:
    """Return the error for a request that would crash every endpoint.

    :param refusal: verdict on the request
    """
    parts = ', '.join(sorted(refusal.suspects))
    left_s = max(0, refusal.until - loop_time())
    return EngineUnavailableError(
        f'endpoints crash on parts of the request: {parts} '
        f'({refusal.crashes} crashes, refused for {left_s:.0f} s)',
        left_s + random.random() * RETRY_AFTER_JITTER_S,  # noqa: S311
        ErrorKind.prompt_quarantined,
    )


def new_run(job: Job, controls: LoadControls) -> Run:
    """Return the run of a request, in the waiting state.

    :param job: the request
    :param controls: for which services each decision under load is made
    """
    facts = job.facts
    return Run(
        request_id=job.request_id,
        service=job.service.name,
        state=RunState.waiting,
        rank=job.rank,
        prompt_tokens=facts.prompt_tokens,
        expected_tokens=estimate_output_tokens(facts, None),
        objective_ms=job.route.objective_ms,
        age_ms=(loop_time() - job.request.arrived_at) * MS_PER_S,
        part=_shared_part(job),
        workspace=(
            ''
            if controls.fair_shares is LoadControl.off
            else job.workspace_name
        ),
    )


def _shared_part(job: Job) -> str:
    """Return the id of the last prompt part, shared within a session."""
    parts = job.facts.parts
    return parts[-1].part if parts else ''
