"""Forecasts when waiting generations find room on an engine.

Load pattern: for seconds, more than twice as many generations as the engines
bear, of which the urgent ones are short and the others hold memory for many
seconds. Who waits until a fixed limit and is refused then has lost the time in
which another attempt could have been served, and all who were refused come back
together.

The engines of a service count as one: memory is released as runs end, prompts
are prefilled at a constant rate, and requests that are ahead in the queue, or
that will be, take both first.
"""

import bisect
import dataclasses
import itertools
import math
import operator
from collections.abc import Callable, Container, Iterable, Mapping, Sequence
from typing import Final

from mastichatch_core.generated.messages import Run
from mastichatch_core.relay.admission.room import (
    INTERVAL_S,
    Demand,
    RoomTracker,
    Tokens,
)
from mastichatch_core.relay.engine_choice import expected_memory_tokens
from mastichatch_core.relay.engine_queue import (
    LATE_MEMORY_SHARE,
    LATE_QUEUED_TOKENS,
    PREFILL_TOKENS_PER_MS,
    QueuePlan,
    meets_objective,
)
from mastichatch_core.relay.model import Endpoint, Engine
from mastichatch_core.relay.placement.costs import (
    NOMINAL_COSTS,
    PlacementCosts,
)
from mastichatch_core.units import MS_PER_S

# Time ahead for which room is forecast.
HORIZON_S: Final = 10.0
# Highest share of the supply that the forecast gives to requests still to
# come. The demand of the last seconds need not go on.
FUTURE_SHARE: Final = 0.9
# Share of the waiting prompt that an engine has prefilled on average of the
# prompt that it works on. All of it is pending until the first event.
PREFILLED_SHARE: Final = 0.5
# Share of the forecast time after which room may be free already: runs end
# earlier or later than expected, and a refusal cannot be taken back.
EARLIEST_SHARE: Final = 0.5
# Share of the remaining time for which callers follow Retry-After.
RETURN_TIMEOUT_SHARE: Final = 1 / 3
# Shortest time after which a refused request should come back.
RETURN_MIN_S: Final = 0.1
# Share of the time to the return that is drawn at random: other nodes may
# refuse requests at the same time.
RETURN_JITTER_SHARE: Final = 0.1

# Middle of each interval for which room is forecast.
_TIMES_S: Final = tuple(
    (number + 1 / 2) * INTERVAL_S
    for number in range(round(HORIZON_S / INTERVAL_S))
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Supply:
    """What the engines of a service provide to waiting requests.

    :param engines: number of engines that accept requests
    :param busy: number of them that have prompts to prefill
    :param pending_tokens: prompt tokens of runs without a first event
    :param prefill_rate: prompt tokens prefilled in a second
    :param used_tokens: memory in use
    :param memory_tokens: memory of all engines
    :param released: memory released by the end of each interval, cumulative
    :param demand: demand of requests to come, by rank
    :param returning: demand of refused requests that may come back
    """

    engines: int
    busy: int
    pending_tokens: float
    prefill_rate: float
    used_tokens: float
    memory_tokens: float
    released: Sequence[float]
    demand: Mapping[int, Demand]
    returning: Tokens


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Forecast:
    """When a waiting request is expected to be placed.

    :param wait_s: time until then, in seconds; infinite beyond ``HORIZON_S``
    :param return_s: time after which a refused request should come back
    :param ahead: number of requests ahead of it
    :param is_late: whether it would miss its objective
    """

    wait_s: float
    return_s: float
    ahead: int
    is_late: bool


def measure_supply(
    endpoints: Sequence[Endpoint],
    engine: Engine | None,
    plan: QueuePlan,
    room: RoomTracker,
    now: float,
    costs: PlacementCosts = NOMINAL_COSTS,
) -> Supply:
    """Return what the engines of a service provide.

    :param endpoints: engines that accept new requests, of one service
    :param engine: capacity of one engine; ``None`` counts as no memory
    :param plan: assignment of engines to waiting requests
    :param room: sums over the runs of all nodes
    :param now: time in seconds
    :param costs: what was measured of the engines
    """
    service = endpoints[0].service
    memory_tokens = engine.memory_tokens if engine else 0
    names = {one.instance for one in endpoints}
    loads = [load for name, load in plan.loads.items() if name in names]
    pending = [load.pending_prefill_tokens for load in loads]
    speed = sum(map(costs.speed, names))
    return Supply(
        engines=len(names),
        busy=len(pending) - pending.count(0),
        pending_tokens=sum(pending),
        prefill_rate=speed * PREFILL_TOKENS_PER_MS * MS_PER_S,
        used_tokens=sum([load.memory_tokens for load in loads]),
        memory_tokens=len(names) * float(memory_tokens),
        released=room.released(service, now, HORIZON_S),
        demand=room.demand(service, now),
        returning=room.returning(service, now),
    )


def forecast_waits(
    plan: QueuePlan,
    supply: Supply,
    arrived_at: Callable[[Run], float],
    now: float,
    wanted: Container[str],
) -> Mapping[str, Forecast]:
    """Return the forecasts for requests that were not placed.

    Of the requests that can still meet their objective, only those count that
    are ahead in the order of the queue. The others get what these leave.

    :param plan: assignment of engines to waiting requests
    :param supply: what the engines provide
    :param arrived_at: returns the arrival time of a request, in seconds
    :param now: time in seconds
    :param wanted: ids of the requests whose forecasts are needed
    :returns: forecasts by request id
    """
    queue = _Queue(supply, plan.without_room)
    late = {run.request_id for run in plan.late}
    forecasts: dict[str, Forecast] = {}
    for number, run in enumerate(plan.unplaced):
        wait_s = queue.add_on_time(run, (now - arrived_at(run)) * MS_PER_S)
        if wait_s is None:
            late.add(run.request_id)
        elif run.request_id in wanted:
            forecasts[run.request_id] = Forecast(
                wait_s=wait_s, return_s=wait_s, ahead=number, is_late=False
            )
    in_order = (one for one in plan.ordered if one.request_id in late)
    for late_number, late_run in enumerate(in_order, len(plan.unplaced)):
        wait_s, return_s = queue.add_late(
            late_run, is_wanted=late_run.request_id in wanted
        )
        if late_run.request_id in wanted:
            forecasts[late_run.request_id] = Forecast(
                wait_s=wait_s,
                return_s=return_s,
                ahead=late_number,
                is_late=True,
            )
    return forecasts


def return_delay_s(forecast: Forecast, left_s: float, chance: float) -> float:
    """Return after which time a refused request should come back, in seconds.

    Requests come back in the order in which they were refused, and earlier the
    less time they have left.

    :param forecast: forecast for the request
    :param left_s: time until the caller's timeout, in seconds
    :param chance: random number from zero to one
    """
    latest_s = left_s * RETURN_TIMEOUT_SHARE
    jitter = 1 - RETURN_JITTER_SHARE * chance
    return max(RETURN_MIN_S, min(forecast.return_s, latest_s) * jitter)


def _available(
    released: Sequence[float], demand: Iterable[Demand]
) -> Sequence[float]:
    """Return the memory that requests to come leave, by the end of intervals.

    :param released: memory released by then, cumulative
    :param demand: demand of the requests to come
    """
    available = released
    for one in demand:
        rate, held = one.memory, one.held
        taken = [rate * time_s for time_s in _TIMES_S[: len(released)]]
        kept = [held if amount > held else amount for amount in taken]
        available = list(map(operator.sub, available, kept))
    if available is released:
        return released
    least = 1 - FUTURE_SHARE
    guaranteed = [least * total for total in released]
    return tuple(itertools.accumulate(map(max, available, guaranteed), max))


class _Room:
    """What is left for requests up to some rank.

    :param supply: what the engines provide
    :param last_rank: least urgent rank of the requests to come that take theirs
        first
    """

    def __init__(self, supply: Supply, last_rank: int) -> None:
        demand = [
            one for rank, one in supply.demand.items() if rank <= last_rank
        ]
        prompts = sum(one.prompt for one in demand)
        rate = supply.prefill_rate
        self._prefill_rate = max(1, rate - min(prompts, FUTURE_SHARE * rate))
        self._memory = _available(supply.released, demand)

    def memory_wait_s(self, tokens: float) -> float:
        """Return the time until an amount of memory has been released."""
        if tokens <= 0:
            return 0
        number = bisect.bisect_left(self._memory, tokens)
        return _TIMES_S[number] if number < len(self._memory) else math.inf

    def prefill_s(self, tokens: float) -> float:
        """Return the time until prompts have been prefilled."""
        return max(0, tokens) / self._prefill_rate


class _Queue:
    """The waiting requests seen so far, in the order of the queue.

    :param supply: what the engines provide
    :param without_room: ids of requests that fit no engine's memory or batch
    """

    def __init__(self, supply: Supply, without_room: Container[str]) -> None:
        self._supply = supply
        self._without_room = without_room
        self._rooms: dict[int, _Room] = {}
        self._memory = float()
        self._prompts = float()
        self._by_rank: dict[int, tuple[float, float]] = {}
        self._late_memory = float()
        self._late_prompts = float()

    def add_on_time(self, run: Run, age_ms: float) -> float | None:
        """Add a request that meets its objective, and return its wait.

        :param run: the waiting run
        :param age_ms: time since its arrival, in milliseconds
        :returns: time in seconds; ``None`` if it would miss its objective
        """
        supply = self._supply
        room = self._room(run.rank - 1)
        prefilled = supply.busy * run.prompt_tokens * PREFILLED_SHARE
        pending = max(0, supply.pending_tokens - prefilled)
        queue_ms = room.prefill_s(pending + self._prompts) * MS_PER_S
        if not meets_objective(run, age_ms, queue_ms * PREFILL_TOKENS_PER_MS):
            return None
        own_memory = expected_memory_tokens(run)
        wait_s = float()
        if run.request_id in self._without_room:
            wait_s = room.memory_wait_s(self._memory + own_memory)
            earliest_ms = age_ms + EARLIEST_SHARE * wait_s * MS_PER_S
            if not meets_objective(run, earliest_ms, 0):
                return None
        self._memory += own_memory
        self._prompts += run.prompt_tokens
        self._by_rank[run.rank] = (self._memory, self._prompts)
        return wait_s

    def add_late(self, run: Run, *, is_wanted: bool) -> tuple[float, float]:
        """Add a request that misses its objective.

        Less urgent requests do not count, although those that can still meet
        their objective may be placed first: no request is refused because of
        them.

        :param run: the waiting run
        :param is_wanted: whether its wait is needed
        :returns: time until it is placed, and time after which it should come
            back if it is refused, in seconds
        """
        memory, prompts = self._late_memory, self._late_prompts
        own_memory = expected_memory_tokens(run)
        self._late_memory += own_memory
        self._late_prompts += run.prompt_tokens
        if not is_wanted:
            return (math.inf, math.inf)
        ranks = [rank for rank in self._by_rank if rank <= run.rank]
        if ranks:
            memory += self._by_rank[max(ranks)][0]
            prompts += self._by_rank[max(ranks)][1]
        memory += own_memory
        returning = self._supply.returning
        return (
            self._late_wait_s(run.rank, memory, prompts),
            self._late_wait_s(
                run.rank, memory + returning.memory, prompts + returning.prompt
            ),
        )

    def _late_wait_s(self, rank: int, memory: float, prompts: float) -> float:
        """Return the time until there is room that no other request needs.

        :param rank: rank of the request
        :param memory: memory of the requests ahead and of its own, in tokens
        :param prompts: prompt tokens of the requests ahead
        """
        supply = self._supply
        room = self._room(rank)
        free = LATE_MEMORY_SHARE * supply.memory_tokens - supply.used_tokens
        queued = supply.pending_tokens - supply.engines * LATE_QUEUED_TOKENS
        return max(
            room.memory_wait_s(memory - free),
            room.prefill_s(queued + prompts),
        )

    def _room(self, last_rank: int) -> _Room:
        room = self._rooms.get(last_rank)
        if room is None:
            room = _Room(self._supply, last_rank)
            self._rooms[last_rank] = room
        return room
