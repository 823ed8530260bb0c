"""Tracks when running generations release memory, and the demand for it.

Load pattern: about 2,000 generations on 90 engines, of which some hundred start
and end each second, while requests wait. Going through all of them for each
arrival would take milliseconds, so each change updates the sums that forecasts
need.
"""

import dataclasses
import itertools
import math
from collections.abc import Iterable, Mapping
from typing import Final, TypeVar

from mastichatch_core.generated.messages import Run, RunState
from mastichatch_core.relay.admission.shares import (
    Flow,
    cost_tokens,
    flow_of,
)
from mastichatch_core.relay.engine_choice import (
    estimate_output_tokens,
    expected_memory_tokens,
)
from mastichatch_core.relay.engine_queue import (
    FIRST_EVENT_MS,
    PREFILL_TOKENS_PER_MS,
)
from mastichatch_core.relay.model import RequestMetadata
from mastichatch_core.units import MS_PER_S

# Releases are summed by intervals of this length.
INTERVAL_S: Final = 0.1
# Time of one step of an engine that also prefills prompts, by the specification
# of the engines. Each step generates one token of each run.
STEP_MS: Final = 15.0
# Share of the expected output that is assumed to remain of a run that has
# generated more than was expected.
RESIDUAL_SHARE: Final = 0.25
# Time in which runs end that should have ended already.
OVERDUE_S: Final = 2.0
# Time over which the demand is averaged. Bursts last a few seconds.
DEMAND_WINDOW_S: Final = 2.0
# Time after which a refused request has come back, or does not come back.
RETURN_S: Final = 2.0


_Key = TypeVar('_Key', int, Flow)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Tokens:
    """An amount, or a rate by the second, of what engines provide.

    :param memory: tokens of the key-value cache
    :param prompt: prompt tokens to prefill
    """

    memory: float = 0
    prompt: float = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Demand:
    """What new requests of one rank take.

    :param memory: tokens of the key-value cache, a second
    :param prompt: prompt tokens, a second
    :param held: memory that they hold if the demand goes on, in tokens: they
        release it again when they end
    """

    memory: float = 0
    prompt: float = 0
    held: float = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _TrackedRun:
    """What the sums contain of a run.

    :param service: name of its service
    :param rank: its priority
    :param interval: interval in which it is expected to end; ``None`` while it
        waits
    :param memory_tokens: memory that it releases then
    :param flow: those to whose share it belongs
    :param held_tokens: what it holds of that share
    """

    service: str
    rank: int
    interval: int | None
    memory_tokens: float
    flow: Flow
    held_tokens: float


@dataclasses.dataclass(slots=True, kw_only=True)
class _RecentDemand:
    """Exponentially decaying sums over new requests."""

    memory: float = 0
    prompt: float = 0
    held: float = 0
    updated_at: float = 0

    def add(self, run: Run, now: float, sign: int) -> None:
        """Add a new request, or take it out again."""
        decay = math.exp((self.updated_at - now) / DEMAND_WINDOW_S)
        memory = sign * expected_memory_tokens(run)
        prompt = sign * run.prompt_tokens
        held = memory * expected_time_s(run)
        self.memory = max(0, self.memory * decay + memory)
        self.prompt = max(0, self.prompt * decay + prompt)
        self.held = max(0, self.held * decay + held)
        self.updated_at = now

    def rate(self, now: float) -> Demand:
        """Return the demand by the second."""
        decay = math.exp((self.updated_at - now) / DEMAND_WINDOW_S)
        return Demand(
            memory=self.memory * decay / DEMAND_WINDOW_S,
            prompt=self.prompt * decay / DEMAND_WINDOW_S,
            held=self.held * decay / DEMAND_WINDOW_S,
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Refusal:
    """A refused request, and the time of the refusal in seconds."""

    refused_at: float
    tokens: Tokens


@dataclasses.dataclass(slots=True, kw_only=True)
class _ServiceRoom:
    """Sums over the runs of one service.

    :param releases: memory released, in tokens, by interval
    :param held: tokens that runs hold, by those who share room
    :param demand: demand of new requests by rank
    :param refused: refused requests that may come back, oldest first
    """

    releases: dict[int, float] = dataclasses.field(default_factory=dict)
    held: dict[Flow, float] = dataclasses.field(default_factory=dict)
    demand: dict[int, _RecentDemand] = dataclasses.field(default_factory=dict)
    refused: dict[str, _Refusal] = dataclasses.field(default_factory=dict)


class RoomTracker:
    """Sums over the runs of all nodes, kept up to date by their changes."""

    def __init__(self) -> None:
        """Start without runs."""
        self._runs: dict[str, _TrackedRun] = {}
        self._services: dict[str, _ServiceRoom] = {}

    def update(self, run: Run, now: float, *, is_timely: bool = True) -> None:
        """Add, update or remove a run.

        :param run: current state of the run
        :param now: time in seconds
        :param is_timely: not used: sums hold for repeated states too
        """
        known = self._runs.get(run.request_id)
        if run.state is RunState.ended:
            self._end(run, known, now)
            return
        room = self._services.setdefault(run.service, _ServiceRoom())
        if known is None:
            demand = room.demand.setdefault(run.rank, _RecentDemand())
            demand.add(run, now, 1)
        else:
            self._withdraw(known)
        interval: int | None = None
        memory_tokens = expected_memory_tokens(run)
        held_tokens = float()
        flow = flow_of(run)
        if run.state is RunState.running:
            interval = int((now + expected_time_s(run)) / INTERVAL_S)
            _add(room.releases, interval, memory_tokens)
            held_tokens = cost_tokens(run)
            _add(room.held, flow, held_tokens)
        self._runs[run.request_id] = _TrackedRun(
            service=run.service,
            rank=run.rank,
            interval=interval,
            memory_tokens=memory_tokens,
            flow=flow,
            held_tokens=held_tokens,
        )

    def forget(self, request_ids: Iterable[str]) -> None:
        """Remove runs of which nothing more is known.

        :param request_ids: ids of their requests
        """
        for request_id in request_ids:
            known = self._runs.pop(request_id, None)
            if known is not None:
                self._withdraw(known)

    def released(
        self, service: str, now: float, horizon_s: float
    ) -> tuple[float, ...]:
        """Return the memory released until the end of each interval.

        :param service: name of the service
        :param now: time in seconds
        :param horizon_s: time from now on that is considered, in seconds
        :returns: cumulative tokens, beginning with the interval after ``now``
        """
        first = int(now / INTERVAL_S)
        count = max(1, round(horizon_s / INTERVAL_S))
        overdue = float()
        by_interval: dict[int, float] = {}
        releases = self._services.get(service, _ServiceRoom()).releases
        for interval, tokens in releases.items():
            if interval < first:
                overdue += tokens
            else:
                by_interval[interval - first] = tokens
        rest = min(count, round(OVERDUE_S / INTERVAL_S))
        for soon in range(rest):
            by_interval[soon] = by_interval.get(soon, 0) + overdue / rest
        return tuple(
            itertools.accumulate(
                by_interval.get(offset, 0) for offset in range(count)
            )
        )

    def held(self, service: str) -> Mapping[Flow, float]:
        """Return the tokens that runs hold, by those who share room.

        :param service: name of the service
        """
        return self._services.get(service, _ServiceRoom()).held

    def demand(self, service: str, now: float) -> dict[int, Demand]:
        """Return the demand of new requests, by rank.

        :param service: name of the service
        :param now: time in seconds
        """
        room = self._services.get(service, _ServiceRoom())
        return {rank: one.rate(now) for rank, one in room.demand.items()}

    def returning(self, service: str, now: float) -> Tokens:
        """Return the demand of refused requests that may come back soon.

        :param service: name of the service
        :param now: time in seconds
        """
        refused = self._services.get(service, _ServiceRoom()).refused
        for request_id, refusal in tuple(refused.items()):
            if now - refusal.refused_at < RETURN_S:
                break
            refused.pop(request_id)
        amounts = [known.tokens for known in refused.values()]
        return Tokens(
            memory=sum(one.memory for one in amounts),
            prompt=sum(one.prompt for one in amounts),
        )

    def _end(self, run: Run, known: _TrackedRun | None, now: float) -> None:
        self.forget((run.request_id,))
        # A request that was refused on arrival is announced by its end alone.
        if known is None:
            was_waiting = run.prompt_tokens > 0 and not run.endpoint
        else:
            was_waiting = known.interval is None
        if not was_waiting:
            return
        room = self._services.setdefault(run.service, _ServiceRoom())
        if known is not None:
            # Refused requests are no demand until they come back.
            room.demand[known.rank].add(run, now, -1)
        room.refused.setdefault(
            run.request_id,
            _Refusal(
                refused_at=now,
                tokens=Tokens(
                    memory=expected_memory_tokens(run),
                    prompt=run.prompt_tokens,
                ),
            ),
        )

    def _withdraw(self, known: _TrackedRun) -> None:
        if known.interval is None:
            return
        room = self._services[known.service]
        _add(room.releases, known.interval, -known.memory_tokens)
        _add(room.held, known.flow, -known.held_tokens)


def _add(sums: dict[_Key, float], key: _Key, tokens: float) -> None:
    """Add to a sum, and remove it once it is zero but for rounding."""
    total = sums.get(key, 0) + tokens
    if total < 1:
        sums.pop(key, None)
    else:
        sums[key] = total


def expected_answer_s(facts: RequestMetadata) -> float:
    """Return the time that a generation takes on an idle engine, in seconds.

    :param facts: metadata of its request
    """
    run = Run(
        request_id=facts.request_id,
        service='',
        prompt_tokens=facts.prompt_tokens,
        expected_tokens=estimate_output_tokens(facts, None),
    )
    return expected_time_s(run)


def expected_time_s(run: Run) -> float:
    """Return the time until a run is expected to end, in seconds.

    :param run: a run that is on an engine, or is placed on an idle one now
    """
    remaining: float = run.expected_tokens - run.output_tokens
    if remaining <= 0:
        remaining = RESIDUAL_SHARE * run.expected_tokens
    time_ms = remaining * STEP_MS
    if not run.output_tokens:
        time_ms += run.prompt_tokens / PREFILL_TOKENS_PER_MS + FIRST_EVENT_MS
    return time_ms / MS_PER_S
