"""Chooses the engine of a generation.

Load pattern: a few engines, one of which is taken away every few seconds,
hold generations of several thousand tokens for ten seconds each; an engine
that runs out of memory preempts and reads whole prompts again.
"""

import dataclasses
import math
from collections.abc import Iterable, Mapping
from typing import Final

from mastichatch_core.generated.messages import Run, RunState
from mastichatch_core.relay.model import Endpoint, Engine, RequestFacts

# Share of an engine's memory that new runs may fill: the rest is for those
# that must leave another engine, about one of ten by the users' sheets.
NEW_MEMORY_SHARE: Final = 0.85
# Share that a run which leaves another engine may fill: it is lost otherwise.
MOVED_MEMORY_SHARE: Final = 1.0
# Part of the output still to come that counts as memory. Runs end at different
# times, so that the memory of one that ends serves the growth of others.
GROWTH_SHARE: Final = 0.35
# Running generations slow each other's tokens: each delays a step about as
# much as this many prompt tokens read beside it (0.12 ms of 14 tokens a ms
# by the users' sheets, over the steps of a mean prompt's reading).
RUN_COST_TOKENS: Final = 60
# A near engine may have two and a half runs more than one elsewhere: a stream
# between data centres stalls when they are cut off from each other, but the
# notice of an engine that leaves suffices for five or six runs only.
REMOTE_COST_TOKENS: Final = 150
# A prompt whose last part was sent there before is read a little faster.
SHARED_PART_TOKENS: Final = 40
# Mean output as a share of its limit, by the users' sheets (231 of 546
# events), for requests whose route has shown no outputs yet.
UNKNOWN_OUTPUT_SHARE: Final = 0.42
# Weight of a caller's hint against the mean of its route, on a logarithmic
# scale: the spread of lengths is 0.84 and that of the hints 1.2.
HINT_WEIGHT: Final = 0.33


@dataclasses.dataclass(slots=True, kw_only=True)
class EngineLoad:
    """What runs at one engine, and what it will want.

    :param running: runs placed there
    :param memory_tokens: memory that runs and copies are expected to reach
    :param unread_tokens: prompt tokens of runs without a first event
    :param parts: ids of prompt parts that were sent there
    """

    running: int = 0
    memory_tokens: float = 0
    unread_tokens: float = 0
    parts: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """One engine that was weighed.

    :param instance: the engine
    :param cost: work ahead of the request, in prompt tokens
    :param memory_share: share of its memory filled with the request
    """

    instance: str
    cost: float
    memory_share: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Wish:
    """What is to be placed.

    :param memory_tokens: memory to expect of it
    :param part: last shared part of the prompt
    :param data_centre: where the request came in
    """

    memory_tokens: float
    part: str
    data_centre: str


def expected_output(facts: RequestFacts, mean_tokens: float | None) -> int:
    """Return the output to expect of a request, in tokens.

    :param facts: what the request states
    :param mean_tokens: mean output of its route; ``None`` while unknown
    """
    limit = facts.output_limit
    expected = mean_tokens or limit * UNKNOWN_OUTPUT_SHARE
    if facts.output_hint and expected:
        hint = facts.output_hint
        expected *= math.pow(hint / expected, HINT_WEIGHT)
    return int(min(expected, limit) if limit else expected)


def memory_of(run: Run) -> float:
    """Return the memory that a run is to be counted with, in tokens.

    :param run: the run
    """
    to_come = max(0, run.expected_tokens - run.output_tokens)
    return run.prompt_tokens + run.output_tokens + GROWTH_SHARE * to_come


def wish_of(run: Run, data_centre: str) -> Wish:
    """Return what a run, waiting or running, wants of an engine.

    :param run: the run
    :param data_centre: where its request came in
    """
    return Wish(
        memory_tokens=memory_of(run), part=run.part, data_centre=data_centre
    )


def measure_loads(runs: Iterable[Run]) -> Mapping[str, EngineLoad]:
    """Return the load of each engine that something runs at.

    :param runs: runs of all nodes
    """
    loads: dict[str, EngineLoad] = {}
    for run in runs:
        if run.state is not RunState.running:
            continue
        size = memory_of(run)
        load = loads.setdefault(run.endpoint, EngineLoad())
        load.running += 1
        load.memory_tokens += size
        load.parts.add(run.part)
        if not run.output_tokens:
            load.unread_tokens += run.prompt_tokens
        if run.copy_at:
            copied = loads.setdefault(run.copy_at, EngineLoad())
            copied.running += 1
            copied.memory_tokens += size
    return loads


def weigh(
    endpoints: Iterable[Endpoint],
    loads: Mapping[str, EngineLoad],
    engine: Engine,
    wish: Wish,
    memory_share: float,
) -> tuple[Candidate, ...]:
    """Return the engines with room, best first.

    :param endpoints: engines that take new requests
    :param loads: load of each
    :param engine: capacity of one
    :param wish: what is to be placed
    :param memory_share: share of the memory that may be filled
    """
    found: list[Candidate] = []
    for endpoint in endpoints:
        load = loads.get(endpoint.instance) or EngineLoad()
        share = (load.memory_tokens + wish.memory_tokens) / max(
            1, engine.memory_tokens
        )
        # An empty engine takes whatever fits it at all.
        fits = share <= memory_share or not load.running
        if not fits or load.running >= engine.batch_limit:
            continue
        found.append(
            Candidate(
                instance=endpoint.instance,
                cost=_cost(endpoint, load, wish),
                memory_share=share,
            )
        )
    return tuple(sorted(found, key=lambda one: (one.cost, one.instance)))


def _cost(endpoint: Endpoint, load: EngineLoad, wish: Wish) -> float:
    cost = load.unread_tokens + load.running * RUN_COST_TOKENS
    if endpoint.data_centre != wish.data_centre:
        cost += REMOTE_COST_TOKENS
    if wish.part and wish.part in load.parts:
        cost -= SHARED_PART_TOKENS
    return cost
