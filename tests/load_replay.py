"""Replays hard load on the product's own queue of generations, in virtual time.

All nodes see the same list of runs, and decide by the product's functions. An
engine prefills prompts one after the other and generates a token of each run in
a step. A refused caller comes back once, after the time that it was told.
"""

import dataclasses
import heapq
import math
import random
from collections.abc import Callable
from typing import Final

from mastichatch_core.generated.messages import Run, RunState
from mastichatch_core.relay.admission.forecast import (
    Forecast,
    forecast_waits,
    measure_supply,
    return_delay_s,
)
from mastichatch_core.relay.admission.room import STEP_MS, RoomTracker
from mastichatch_core.relay.engine_queue import (
    FIRST_EVENT_MS,
    PREFILL_TOKENS_PER_MS,
    QueueOptions,
    max_queue_wait_s,
    plan_queue,
)
from mastichatch_core.relay.model import Endpoint, EndpointState, Engine
from mastichatch_core.relay.runs import RunTable

SERVICE: Final = 'llm'
TICK_S: Final = 0.05
# Spread of the lengths of outputs, on a logarithmic scale.
OUTPUT_SPREAD: Final = 0.5
ENGINE: Final = Engine(
    batch_limit=24,
    memory_tokens=26970,
    bytes_per_token=18432,
    link_bytes_per_ms=125000,
    can_move=False,
    can_back_up=False,
    tokens_per_event=4,
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Kind:
    """One kind of request; rates are for eight engines."""

    name: str
    rank: int
    prompt_tokens: int
    output_tokens: int
    objective_s: float
    timeout_s: float
    per_s: float


SHORT: Final = Kind(
    name='short',
    rank=0,
    prompt_tokens=2550,
    output_tokens=8,
    objective_s=1.5,
    timeout_s=6,
    per_s=6.4,
)
LONG: Final = Kind(
    name='long',
    rank=1,
    prompt_tokens=3079,
    output_tokens=748,
    objective_s=4,
    timeout_s=39,
    per_s=3.3,
)


@dataclasses.dataclass(kw_only=True)
class Caller:
    """One request of a caller, over all its attempts.

    :param refused_after: time that each refused attempt had waited, in seconds
    :param returned_at: time at which it came back, in seconds
    :param first_event_at: time of the first event; infinite if not served
    """

    number: int
    kind: Kind
    workspace: str
    arrived_at: float
    attempt_at: float = 0
    attempts: int = 0
    refused_after: list[float] = dataclasses.field(default_factory=list)
    returned_at: float = math.inf
    first_event_at: float = math.inf

    @property
    def name(self) -> str:
        """Id of the present attempt."""
        return f'{self.number}-{self.attempts}'

    @property
    def is_on_time(self) -> bool:
        """Whether the first event met the objective."""
        return self.first_event_at - self.arrived_at <= self.kind.objective_s

    @property
    def is_served(self) -> bool:
        """Whether there was a first event."""
        return self.first_event_at < math.inf


@dataclasses.dataclass(kw_only=True)
class Load:
    """What callers do, and what happens to engines.

    :param burst: factor of the rates from ``burst_s[0]`` to ``burst_s[1]``
    :param shares: share of each workspace in the requests
    :param repeats: workspaces whose callers come back at once, and often
    :param leaves: time at which an engine goes with its runs, by its name
    """

    seed: int = 1
    seconds: float = 30
    burst: float = 2.3
    burst_s: tuple[float, float] = (10, 16)
    shares: dict[str, float] = dataclasses.field(
        default_factory=lambda: {f'w{number}': 1 for number in range(8)}
    )
    repeats: frozenset[str] = frozenset()
    leaves: dict[str, float] = dataclasses.field(default_factory=dict)

    def draw(self) -> list[Caller]:
        """Return the requests, by the time of their arrival."""
        chance = random.Random(self.seed)
        callers: list[Caller] = []
        for kind in (SHORT, LONG):
            now = 0.0
            while now < self.seconds:
                is_burst = self.burst_s[0] <= now < self.burst_s[1]
                rate = kind.per_s * (self.burst if is_burst else 1)
                now += chance.expovariate(rate)
                (workspace,) = chance.choices(
                    list(self.shares), list(self.shares.values())
                )
                callers.append(
                    Caller(
                        number=len(callers),
                        kind=kind,
                        workspace=workspace,
                        arrived_at=now,
                    )
                )
        return sorted(callers, key=lambda one: one.arrived_at)


@dataclasses.dataclass(kw_only=True)
class _EngineState:
    """An engine and its prompts."""

    endpoint: Endpoint
    prefilled_at: float = 0


class Replay:
    """One replay of a load.

    :param observe: called with the replay and the forecasts in each tick
    """

    def __init__(
        self,
        load: Load,
        *,
        is_forecast: bool,
        is_shared: bool = False,
        keeps_queues_short: bool = True,
        engines: int = 8,
        observe: Callable[['Replay', dict[str, Forecast]], None] | None = None,
    ) -> None:
        self.load = load
        self.now = 0.0
        self.table = RunTable()
        self.room = RoomTracker()
        self.table.attach(self.room)
        self.callers = load.draw()
        self.waiting: dict[str, Caller] = {}
        self.errors_s: list[float] = []
        self.refused_when_free = 0
        self._is_forecast = is_forecast
        self._is_shared = is_shared
        self._first_rank = (
            SHORT.rank if is_forecast and keeps_queues_short else None
        )
        self._observe = observe
        self._chance = random.Random(load.seed + 1)
        self._forecasts: dict[str, float] = {}
        self._arrivals = [
            (one.arrived_at, one.number, one) for one in self.callers
        ]
        heapq.heapify(self._arrivals)
        self._running: dict[str, tuple[Run, float, float]] = {}
        self._engines = {
            f'e{number}': _EngineState(
                endpoint=Endpoint(
                    instance=f'e{number}',
                    service=SERVICE,
                    address='',
                    data_centre='north',
                    slots=ENGINE.batch_limit,
                    state=EndpointState.ready,
                )
            )
            for number in range(engines)
        }

    def play(self) -> 'Replay':
        """Play the whole load, until the last request has ended."""
        while self._arrivals or self.waiting or self._running:
            self.now += TICK_S
            self._end_runs()
            self._arrive()
            self._decide()
        return self

    def of_kind(self, kind: Kind) -> list[Caller]:
        """Return the callers of one kind."""
        return [one for one in self.callers if one.kind is kind]

    def _end_runs(self) -> None:
        for name, leaves_at in self.load.leaves.items():
            if leaves_at <= self.now:
                self._engines.pop(name, None)
        for run, first_s, ends_at in tuple(self._running.values()):
            if ends_at <= self.now or run.endpoint not in self._engines:
                self._running.pop(run.request_id)
                self._end(run)
            elif self.now - TICK_S < first_s <= self.now:
                self._report_progress(run, first_s)
        if int(self.now) > int(self.now - TICK_S):
            for run, first_s, _ in self._running.values():
                self._report_progress(run, first_s)

    def _report_progress(self, run: Run, first_s: float) -> None:
        if first_s <= self.now:
            tokens = 4 + int((self.now - first_s) * 1000 / STEP_MS)
            self.table.update_own(
                dataclasses.replace(run, output_tokens=tokens), self.now
            )

    def _end(self, run: Run) -> None:
        self.table.update_own(
            dataclasses.replace(run, state=RunState.ended), self.now
        )

    def _arrive(self) -> None:
        while self._arrivals and self._arrivals[0][0] <= self.now:
            at, _, caller = heapq.heappop(self._arrivals)
            caller.attempts += 1
            caller.attempt_at = at
            self.waiting[caller.name] = caller
            self.table.update_own(self._waiting_run(caller), self.now)

    def _waiting_run(self, caller: Caller) -> Run:
        return Run(
            request_id=caller.name,
            service=SERVICE,
            state=RunState.waiting,
            rank=caller.kind.rank,
            prompt_tokens=caller.kind.prompt_tokens,
            expected_tokens=caller.kind.output_tokens,
            objective_ms=caller.kind.objective_s * 1000,
            workspace=caller.workspace,
            age_ms=(self.now - caller.attempt_at) * 1000,
        )

    def _decide(self) -> None:
        endpoints = [one.endpoint for one in self._engines.values()]
        plan = plan_queue(
            self.table.iter_runs(self.now),
            endpoints,
            ENGINE,
            self.table.arrived_at,
            'north',
            self.now,
            QueueOptions(
                held=self.room.held(SERVICE) if self._is_shared else None,
                first_rank=self._first_rank,
            ),
        )
        for name, candidate in plan.found.items():
            self._place(name, candidate.instance)
        forecasts: dict[str, Forecast] = {}
        if plan.unplaced or plan.late:
            supply = measure_supply(
                endpoints, ENGINE, plan, self.room, self.now
            )
            forecasts = dict(
                forecast_waits(
                    plan, supply, self.table.arrived_at, self.now, self.waiting
                )
            )
        if self._observe is not None:
            self._observe(self, forecasts)
        for name, caller in tuple(self.waiting.items()):
            self._review(name, caller, forecasts.get(name))

    def _place(self, name: str, instance: str) -> None:
        caller = self.waiting.pop(name)
        engine = self._engines[instance]
        begins_at = max(self.now, engine.prefilled_at)
        engine.prefilled_at = (
            begins_at + caller.kind.prompt_tokens / PREFILL_TOKENS_PER_MS / 1000
        )
        first_s = engine.prefilled_at + FIRST_EVENT_MS / 1000
        caller.first_event_at = first_s
        run = dataclasses.replace(
            self._waiting_run(caller),
            state=RunState.running,
            endpoint=instance,
        )
        self.table.update_own(run, self.now)
        length = caller.kind.output_tokens * math.exp(
            self._chance.gauss(-(OUTPUT_SPREAD**2) / 2, OUTPUT_SPREAD)
        )
        ends_at = first_s + length * STEP_MS / 1000
        self._running[name] = (run, first_s, ends_at)
        expected = self._forecasts.pop(name, None)
        if expected is not None:
            self.errors_s.append(expected - self.now)

    def _review(
        self, name: str, caller: Caller, forecast: Forecast | None
    ) -> None:
        waited_s = self.now - caller.attempt_at
        left_s = caller.arrived_at + caller.kind.timeout_s - self.now
        limit_s = max_queue_wait_s(caller.kind.objective_s, left_s + waited_s)
        if not self._is_forecast or forecast is None:
            if waited_s >= limit_s:
                self._refuse(name, 0.5 + self._chance.random())
            return
        self._forecasts.setdefault(name, self.now + forecast.wait_s)
        if waited_s + forecast.wait_s > limit_s or waited_s >= limit_s:
            self._refuse(
                name,
                return_delay_s(forecast, left_s, self._chance.random()),
            )

    def _refuse(self, name: str, return_s: float) -> None:
        caller = self.waiting.pop(name)
        self._forecasts.pop(name, None)
        self._end(self._waiting_run(caller))
        caller.refused_after.append(self.now - caller.attempt_at)
        left_s = caller.arrived_at + caller.kind.timeout_s - self.now
        may_repeat = caller.attempts <= 1
        if caller.workspace in self.load.repeats:
            return_s, may_repeat = 0, caller.attempts <= 8
        if may_repeat:
            caller.returned_at = self.now + min(return_s, left_s / 3)
            heapq.heappush(
                self._arrivals, (caller.returned_at, caller.number, caller)
            )
