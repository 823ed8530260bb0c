"""Chooses the engine on which a generation is placed.

Load pattern: a few engines, one of which is removed every few seconds, run
generations of several thousand tokens for ten seconds each. An engine that
runs out of memory preempts runs and later processes their whole prompts again.
"""

import dataclasses
import math
from collections.abc import Iterable, Mapping
from typing import Final

from mastichatch_core.generated.messages import Run, RunState
from mastichatch_core.relay.model import Endpoint, Engine, RequestMetadata
from mastichatch_core.relay.placement.costs import (
    NOMINAL_COSTS,
    PlacementCosts,
)

# Share of an engine's memory that new runs may fill. The rest is reserved for
# runs that must leave another engine, about one in ten by the specified load.
NEW_MEMORY_SHARE: Final = 0.85
# Share of an engine's memory that a run may fill if it leaves another engine:
# the run is lost if no engine has room for it.
MOVED_MEMORY_SHARE: Final = 1.0
# Share of a run's remaining output that is reserved as memory. Runs end at
# different times, so memory released by one run is available to others.
GROWTH_SHARE: Final = 0.35
# Runs in one batch slow each other down: each delays a step about as much as
# prefilling this many prompt tokens (0.12 ms at 14 tokens per ms by the
# specification of the engines, over the prefill steps of a mean prompt).
RUN_COST_TOKENS: Final = 60
# Discount for an engine with a run whose prompt has the same last shared part:
# prefill of a part that the engine has processed before is a little faster.
SHARED_PART_DISCOUNT_TOKENS: Final = 40
# Mean output as a share of its limit (231 of 546 events in the specified
# load), for requests of a route without a known mean output.
DEFAULT_OUTPUT_SHARE: Final = 0.42
# Weight of a caller's hint against the mean of its route, on a logarithmic
# scale: the spread of output lengths is 0.84 and that of the hints 1.2, and
# 0.84**2 / (0.84**2 + 1.2**2) is 0.33.
HINT_WEIGHT: Final = 0.33


@dataclasses.dataclass(slots=True, kw_only=True)
class EngineLoad:
    """The runs on one engine and the memory that they are expected to need.

    :param running: number of runs on the engine, and of copies of other runs
    :param memory_tokens: expected memory of the runs and copies, in tokens
    :param pending_prefill_tokens: prompt tokens of runs without a first event
    :param parts: ids of the last shared prompt part of each run
    :param has_trial: whether a run whose prompt may crash the engine has no
        event yet
    """

    running: int = 0
    memory_tokens: float = 0
    pending_prefill_tokens: float = 0
    parts: set[str] = dataclasses.field(default_factory=set)
    has_trial: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """One engine with room for a request.

    :param instance: instance id of the engine
    :param cost: work queued before the request, in prompt tokens
    :param memory_share: share of the engine's memory in use, including the
        request
    :param running: number of runs and copies on the engine
    :param has_trial: whether a run on it may crash it
    :param prefill_excess: what the request's own prompt costs beyond its length
        because of the engine's speed, in prompt tokens
    :param is_remote: whether it is in another data centre than the request
    :param reluctance: what else speaks against that, in prompt tokens; it
        delays nothing
    """

    instance: str
    cost: float
    memory_share: float
    running: int = 0
    has_trial: bool = False
    prefill_excess: float = 0
    is_remote: bool = False
    reluctance: float = 0

    @property
    def delay_tokens(self) -> float:
        """Work until the first event, besides an idle engine's, in tokens."""
        return self.cost + self.prefill_excess


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlacementRequest:
    """The requirements of a run that is to be placed on an engine.

    :param memory_tokens: expected memory of the run, in tokens
    :param part: id of the last shared part of the prompt
    :param data_centre: data centre that received the request
    :param prefill_tokens: length of the prompt, if it is still to be read
    :param request_id: id of the request
    :param output_tokens: output that is still expected, in tokens
    """

    memory_tokens: float
    part: str
    data_centre: str
    prefill_tokens: float = 0
    request_id: str = ''
    output_tokens: float = 0


def estimate_output_tokens(
    metadata: RequestMetadata, mean_tokens: float | None
) -> int:
    """Return the expected output of a request, in tokens.

    :param metadata: metadata from the head of the request
    :param mean_tokens: mean output of its route; ``None`` if unknown
    """
    limit = metadata.output_limit
    expected = mean_tokens or limit * DEFAULT_OUTPUT_SHARE
    if metadata.output_hint and expected:
        hint = metadata.output_hint
        expected *= math.pow(hint / expected, HINT_WEIGHT)
    return int(min(expected, limit) if limit else expected)


def expected_memory_tokens(run: Run) -> float:
    """Return the memory to reserve for a run, in tokens.

    The remaining output counts only by ``GROWTH_SHARE``.

    :param run: a waiting or running run
    """
    remaining = max(0, run.expected_tokens - run.output_tokens)
    return run.prompt_tokens + run.output_tokens + GROWTH_SHARE * remaining


def placement_request(run: Run, data_centre: str) -> PlacementRequest:
    """Return the requirements that a run has of an engine.

    :param run: a waiting or running run
    :param data_centre: data centre that received the request
    """
    return PlacementRequest(
        memory_tokens=expected_memory_tokens(run),
        part=run.part,
        data_centre=data_centre,
        prefill_tokens=0 if run.output_tokens else run.prompt_tokens,
        request_id=run.request_id,
        output_tokens=max(0, run.expected_tokens - run.output_tokens),
    )


def measure_loads(runs: Iterable[Run]) -> Mapping[str, EngineLoad]:
    """Return the load of each engine that has runs or copies of runs.

    :param runs: runs of all nodes
    """
    loads: dict[str, EngineLoad] = {}
    for run in runs:
        if run.state is not RunState.running:
            continue
        memory_tokens = expected_memory_tokens(run)
        load = loads.setdefault(run.endpoint, EngineLoad())
        load.running += 1
        load.memory_tokens += memory_tokens
        load.parts.add(run.part)
        if not run.output_tokens:
            load.pending_prefill_tokens += run.prompt_tokens
            load.has_trial |= bool(run.suspects)
        if run.copy_at:
            copy_load = loads.setdefault(run.copy_at, EngineLoad())
            copy_load.running += 1
            copy_load.memory_tokens += memory_tokens
    return loads


def rank_engines(
    endpoints: Iterable[Endpoint],
    loads: Mapping[str, EngineLoad],
    engine: Engine,
    request: PlacementRequest,
    memory_share: float,
    costs: PlacementCosts = NOMINAL_COSTS,
) -> tuple[Candidate, ...]:
    """Return the engines that have room for a run, cheapest first.

    Engines that a run may crash come last.

    :param endpoints: engines that accept new requests
    :param loads: load of each engine, by instance
    :param engine: capacity of one engine
    :param request: requirements of the run
    :param memory_share: share of an engine's memory that may be filled
    :param costs: what was measured of the engines
    """
    candidates: list[Candidate] = []
    reluctance = costs.reluctance_tokens(
        request.request_id, request.data_centre, request.output_tokens
    )
    for endpoint in endpoints:
        load = loads.get(endpoint.instance) or EngineLoad()
        share = (load.memory_tokens + request.memory_tokens) / max(
            1, engine.memory_tokens
        )
        # An engine without runs accepts a run of any size.
        fits = share <= memory_share or not load.running
        if not fits or load.running >= engine.batch_limit:
            continue
        candidates.append(
            Candidate(
                instance=endpoint.instance,
                cost=_cost(endpoint, load, request, costs),
                memory_share=share,
                running=load.running,
                has_trial=load.has_trial,
                prefill_excess=_prefill_excess(endpoint, request, costs),
                is_remote=endpoint.data_centre != request.data_centre,
                reluctance=reluctance.get(endpoint.data_centre, 0),
            )
        )
    return tuple(sorted(candidates, key=_preference))


def _preference(candidate: Candidate) -> tuple[bool, float, str]:
    cost = candidate.delay_tokens + candidate.reluctance
    return (candidate.has_trial, cost, candidate.instance)


def _cost(
    endpoint: Endpoint,
    load: EngineLoad,
    request: PlacementRequest,
    costs: PlacementCosts,
) -> float:
    cost = load.pending_prefill_tokens + load.running * RUN_COST_TOKENS
    cost /= costs.speed(endpoint.instance)
    if endpoint.data_centre != request.data_centre:
        cost += costs.remote_cost(endpoint.data_centre)
    if request.part and request.part in load.parts:
        cost -= SHARED_PART_DISCOUNT_TOKENS
    return cost


def _prefill_excess(
    endpoint: Endpoint, request: PlacementRequest, costs: PlacementCosts
) -> float:
    speed = costs.speed(endpoint.instance)
    return request.prefill_tokens / speed - request.prefill_tokens
