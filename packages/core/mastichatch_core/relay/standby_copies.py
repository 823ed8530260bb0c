"""Decides which runs get a copy on another engine before theirs is removed.

Load pattern: few engines, each with more runs than its link can transfer in the
time between the notice of its removal and the removal. The runs that are left
when the time is over are lost, although the links were idle before and other
engines had free memory.

A standby copy is transferred while the run continues. Once the engine is to be
removed, only what the run generated since then remains to be transferred. The
copy takes as much memory as the run, so it is made only for runs that could not
leave in time, only on engines with much free memory, and is dropped when new
requests need the memory.
"""

import dataclasses
from collections.abc import (
    Collection,
    Container,
    Iterable,
    Mapping,
    Sequence,
)
from typing import Final

from mastichatch_core.generated.messages import Run, RunState
from mastichatch_core.relay.departure import (
    is_being_copied,
    is_worth_moving,
    transfer_s,
)
from mastichatch_core.relay.engine_choice import (
    EngineLoad,
    expected_memory_tokens,
    measure_loads,
)
from mastichatch_core.relay.model import Endpoint, Engine

# Time in which runs without a standby copy can leave an engine: engines give
# notice 1.5 to 2 s before their removal, by the specification of the load, and
# nodes learn of it within 0.5 s.
DEPARTURE_TIME_S: Final = 1.0
# Highest share of an engine's memory in use after a standby copy is added to
# it. The rest is for new requests and for runs that leave other engines.
MAX_MEMORY_SHARE: Final = 0.45
# Share of an engine's memory in use at which its standby copies are dropped.
DROP_MEMORY_SHARE: Final = 0.65
# A run with less remaining output probably ends before its engine is removed.
MIN_REMAINING_TOKENS: Final = 150
# While runs leave an engine, standby copies are made only if this many engines
# take part in no transfer, so that those runs find a destination.
MIN_IDLE_ENGINES: Final = 4


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StandbyChoice:
    """A run that gets a standby copy.

    :param request_id: id of the run's request
    :param instance: engine that receives the copy
    """

    request_id: str
    instance: str


def choose_standby(
    own_ids: Collection[str],
    runs: Sequence[Run],
    endpoints: Iterable[Endpoint],
    engine: Engine,
) -> StandbyChoice | None:
    """Return the next run of this node that should get a standby copy, if any.

    On each engine, the runs with the longest remaining output get copies, until
    the others can leave within ``DEPARTURE_TIME_S``. All nodes compute the same
    runs, and each node copies its own.

    Engines that take part in another transfer are left alone. In a small fleet
    there is no choice during such a transfer: a standby copy would delay the
    runs that must leave in time.

    :param own_ids: request ids of this node's runs
    :param runs: runs of one service, on all nodes
    :param endpoints: engines of the service that accept requests
    :param engine: capacity of one engine
    """
    usable = {endpoint.instance: endpoint for endpoint in endpoints}
    busy = _busy_engines(runs, usable)
    idle = usable.keys() - busy
    if busy and len(idle) < MIN_IDLE_ENGINES + 2:
        return None
    loads = measure_loads(runs)
    for instance in sorted(idle):
        for run in _runs_left_behind(instance, runs, usable, engine):
            destination = _emptiest_engine(run, idle, loads, engine)
            if run.request_id in own_ids and destination is not None:
                return StandbyChoice(
                    request_id=run.request_id, instance=destination
                )
    return None


def is_crowded(instance: str, runs: Iterable[Run], engine: Engine) -> bool:
    """Return whether an engine needs the memory of its standby copies.

    :param instance: the engine
    :param runs: runs of its service, on all nodes
    :param engine: capacity of one engine
    """
    load = measure_loads(runs).get(instance) or EngineLoad()
    is_full = load.memory_tokens > DROP_MEMORY_SHARE * engine.memory_tokens
    return is_full or load.running >= engine.batch_limit


def _busy_engines(runs: Iterable[Run], usable: Container[str]) -> set[str]:
    """Return the engines that take part in a transfer, or are being removed."""
    busy: set[str] = set()
    for run in runs:
        if is_being_copied(run):
            busy |= {run.endpoint, run.copy_at}
        elif run.endpoint and run.endpoint not in usable:
            busy.add(run.endpoint)
    return busy


def _runs_left_behind(
    instance: str,
    runs: Iterable[Run],
    usable: Mapping[str, Endpoint],
    engine: Engine,
) -> list[Run]:
    """Return the runs that could not leave an engine in time."""
    is_remote = not _has_neighbour(usable[instance], usable.values())
    leaving = sorted(
        (run for run in runs if _must_transfer(run, instance)),
        key=lambda run: (-_remaining_tokens(run), run.request_id),
    )
    excess_s = sum(
        transfer_s(run, engine, is_remote=is_remote) for run in leaving
    )
    excess_s -= DEPARTURE_TIME_S
    chosen: list[Run] = []
    for run in leaving:
        if excess_s <= 0 or _remaining_tokens(run) < MIN_REMAINING_TOKENS:
            break
        chosen.append(run)
        excess_s -= transfer_s(run, engine, is_remote=is_remote)
    return chosen


def _must_transfer(run: Run, instance: str) -> bool:
    """Return whether a run on an engine needs a whole transfer to leave it."""
    is_running = run.state is RunState.running and run.output_tokens > 0
    is_present = run.endpoint == instance and not run.copy_at
    return is_running and is_present and is_worth_moving(run)


def _emptiest_engine(
    run: Run,
    usable: Iterable[str],
    loads: Mapping[str, EngineLoad],
    engine: Engine,
) -> str | None:
    """Return the engine with the most free memory that may get the copy."""
    shares: dict[str, float] = {}
    for instance in usable:
        load = loads.get(instance) or EngineLoad()
        memory_tokens = load.memory_tokens + expected_memory_tokens(run)
        share = memory_tokens / max(1, engine.memory_tokens)
        has_slot = load.running + 1 < engine.batch_limit
        if instance != run.endpoint and has_slot and share <= MAX_MEMORY_SHARE:
            shares[instance] = share
    return min(shares, key=lambda name: (shares[name], name), default=None)


def _has_neighbour(endpoint: Endpoint, others: Iterable[Endpoint]) -> bool:
    """Return whether another engine is in the same data centre."""
    return any(
        other.data_centre == endpoint.data_centre
        and other.instance != endpoint.instance
        for other in others
    )


def _remaining_tokens(run: Run) -> int:
    return run.expected_tokens - run.output_tokens
