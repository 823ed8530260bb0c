"""Waits for the turn of a generation, and finds it an engine."""

import asyncio
import dataclasses
import random
from typing import Final

from mastichatch_core import breaker as breakers
from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.messages import ErrorKind, Run, RunState
from mastichatch_core.relay.belief import usable_endpoints
from mastichatch_core.relay.destination import choose_destination
from mastichatch_core.relay.engine_choice import (
    Candidate,
    expected_output,
    measure_loads,
    weigh,
    wish_of,
)
from mastichatch_core.relay.engine_queue import longest_wait_s, turns
from mastichatch_core.relay.model import Endpoint, Engine
from mastichatch_core.units import MS_PER_S
from mastichatch_node.clock import loop_time
from mastichatch_node.relay.job import Job, Tools

# Outputs shorter than this end before a copy of their memory could help.
COPIED_OUTPUT_TOKENS: Final = 100
# Copies take room from runs, so that they are made only below this share.
COPY_MEMORY_SHARE: Final = 0.2
# An engine that left is replaced, or a generation ends, about this long after
# a refusal (1.6 generations a second end at load, by the users' sheets).
FIRST_RETURN_S: Final = 0.5
# Refused callers come back spread over this time, so as not to meet again.
RETURN_SPREAD_S: Final = 1.0


class EngineUnavailableError(MastichatchError):
    """No engine has room in time.

    :param retry_after_s: when there may be room, in seconds
    """

    def __init__(self, reason: str, retry_after_s: float) -> None:
        """Keep when to come back."""
        super().__init__(ErrorKind.no_capacity, reason)
        self.retry_after_s = retry_after_s


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Place:
    """Where a generation goes.

    :param endpoint: its engine
    :param copy: engine that is to keep a copy of its memory, if any
    """

    endpoint: Endpoint
    copy: Endpoint | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Waiting:
    """A request that waits for an engine.

    :param job: the request
    :param excluded: engines that refused it
    :param found: is given its engine
    """

    job: Job
    excluded: frozenset[str]
    found: asyncio.Future[Candidate]


class Placing:
    """Requests of this node that wait for an engine."""

    def __init__(self, tools: Tools) -> None:
        """Start without requests.

        :param tools: what the relay works with
        """
        self._tools = tools
        self._waiting: dict[str, _Waiting] = {}

    async def place(self, job: Job, excluded: frozenset[str]) -> Place:
        """Wait for a request's turn and return its engine.

        The run is noted as running there for all nodes to see.

        :param job: the request
        :param excluded: engines that refused it
        :raises EngineUnavailableError: if none has room in time
        """
        engine = require_engine(job)
        if job.facts.prompt_tokens > engine.memory_tokens:
            # No engine will ever have room for it.
            raise self._unavailable(job)
        future: asyncio.Future[Candidate] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiting[job.request_id] = _Waiting(
            job=job, excluded=excluded, found=future
        )
        run = new_run(job)
        self._tools.sharing.table.note_own(run, loop_time())
        try:
            candidate = await self._wait(job, run, future)
        except BaseException:
            ended = dataclasses.replace(run, state=RunState.ended)
            self._tools.sharing.note(ended)
            raise
        finally:
            self._waiting.pop(job.request_id, None)
        return self._settle(job, engine, run, candidate)

    def review(self) -> None:
        """Give engines to the requests whose turn it is."""
        services = {one.job.service.name for one in self._waiting.values()}
        for service in services:
            self._review_service(service)

    def usable(self, service: str) -> tuple[Endpoint, ...]:
        """Return the engines of a service that take new requests.

        :param service: name of the service
        """
        now = loop_time()
        usable = usable_endpoints(self._tools.belief, service, now)
        sound = tuple(one for one in usable if self._is_sound(one, now))
        # Where all engines failed of late, some engine must still be tried.
        return sound or usable

    def takes_runs(self, endpoint: Endpoint) -> bool:
        """Return whether a run may go on at an engine.

        :param endpoint: the engine, as it was known at some time
        """
        belief = self._tools.belief
        usable = usable_endpoints(belief, endpoint.service, loop_time())
        return any(one.instance == endpoint.instance for one in usable)

    def _is_sound(self, endpoint: Endpoint, now: float) -> bool:
        record = self._tools.records.get(endpoint.instance)
        return breakers.allows_request(record.breaker, record.running, now)

    def _runs(self, service: str) -> tuple[Run, ...]:
        runs = self._tools.sharing.table.each(loop_time())
        return tuple(run for run in runs if run.service == service)

    async def _wait(
        self, job: Job, run: Run, future: 'asyncio.Future[Candidate]'
    ) -> Candidate:
        self._review_service(job.service.name)
        if future.done():
            return future.result()
        self._tools.sharing.note(run)
        arrived_at = job.request.arrived_at
        ends_at = arrived_at + longest_wait_s(
            job.route.objective_ms / MS_PER_S, job.ends_at - arrived_at
        )
        try:
            async with asyncio.timeout_at(ends_at):
                return await future
        except TimeoutError:
            raise self._unavailable(job) from None

    def _unavailable(self, job: Job) -> EngineUnavailableError:
        usable = self.usable(job.service.name)
        reason = (
            'no engine has room in time' if usable else 'no engine is in use'
        )
        spread = random.random() * RETURN_SPREAD_S  # noqa: S311
        return EngineUnavailableError(reason, FIRST_RETURN_S + spread)

    def _review_service(self, service: str) -> None:
        own = {
            request_id: one
            for request_id, one in self._waiting.items()
            if one.job.service.name == service
        }
        if not own:
            return
        found = turns(
            self._runs(service),
            self.usable(service),
            require_engine(next(iter(own.values())).job),
            self._tools.sharing.table.arrived_at,
            self._tools.data_centre,
            loop_time(),
            {name: one.excluded for name, one in own.items()},
        )
        for request_id, one in own.items():
            candidate = found.get(request_id)
            if candidate is not None and not one.found.done():
                one.found.set_result(candidate)

    def _settle(
        self, job: Job, engine: Engine, run: Run, candidate: Candidate
    ) -> Place:
        endpoint = self._tools.belief.endpoints(loop_time())[candidate.instance]
        copy = self._choose_copy(job, engine, run, endpoint)
        placed = dataclasses.replace(
            run,
            state=RunState.running,
            endpoint=endpoint.instance,
            copy_at='' if copy is None else copy.instance,
        )
        self._tools.sharing.note(placed)
        self._tools.telemetry.decide(
            'generation_placed',
            job.request_id,
            endpoint=endpoint.instance,
            copy_at=placed.copy_at,
            cost=round(candidate.cost),
            memory_share=round(candidate.memory_share, 3),
            expected_tokens=run.expected_tokens,
            revision=self._tools.belief.revision,
            waited_ms=round((loop_time() - job.request.arrived_at) * MS_PER_S),
        )
        return Place(endpoint=endpoint, copy=copy)

    def _choose_copy(
        self, job: Job, engine: Engine, run: Run, endpoint: Endpoint
    ) -> Endpoint | None:
        if not engine.can_back_up or run.expected_tokens < COPIED_OUTPUT_TOKENS:
            return None
        return self.move_engine(
            job,
            dataclasses.replace(run, endpoint=endpoint.instance),
            frozenset((endpoint.instance,)),
            endpoint.data_centre,
            COPY_MEMORY_SHARE,
        )

    def move_engine(
        self,
        job: Job,
        run: Run,
        excluded: frozenset[str],
        data_centre: str,
        memory_share: float,
    ) -> Endpoint | None:
        """Return the engine that a run's memory can go to, if any has room.

        :param job: the run's request
        :param run: the run as it is now
        :param excluded: engines that it must not be
        :param data_centre: where its memory is; it leaves that at half the
            rate
        :param memory_share: share of the memory that may then be in use
        """
        endpoints = {
            one.instance: one
            for one in self.usable(job.service.name)
            if one.instance not in excluded
        }
        wish = dataclasses.replace(
            wish_of(run, self._tools.data_centre), part=''
        )
        runs = self._runs(job.service.name)
        loads = measure_loads(runs)
        engine = require_engine(job)
        found = weigh(endpoints.values(), loads, engine, wish, memory_share)
        if not found:
            return None
        chosen = choose_destination(found, endpoints, runs, run, data_centre)
        return endpoints[chosen]


def require_engine(job: Job) -> Engine:
    """Return the capacity of the engines that a request needs.

    :param job: the request
    :raises MastichatchError: with ``no_endpoint`` where its service has none
    """
    if job.service.engine is None:
        raise MastichatchError(ErrorKind.no_endpoint, 'no model service')
    return job.service.engine


def new_run(job: Job) -> Run:
    """Return a request as one that waits for an engine.

    :param job: the request
    """
    facts = job.facts
    return Run(
        request_id=job.request_id,
        service=job.service.name,
        state=RunState.waiting,
        rank=job.rank,
        prompt_tokens=facts.prompt_tokens,
        expected_tokens=expected_output(facts, None),
        objective_ms=job.route.objective_ms,
        age_ms=(loop_time() - job.request.arrived_at) * MS_PER_S,
        part=_shared_part(job),
    )


def _shared_part(job: Job) -> str:
    """Return the last part of the prompt, which its session shares."""
    parts = job.facts.parts
    return parts[-1].part if parts else ''
