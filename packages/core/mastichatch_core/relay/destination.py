"""Chooses the engine to which a run moves.

Load pattern: five of thirty engines are removed at once, each with several
runs. An engine's link carries one transfer after the other. The last part of a
move can wait behind the whole memory of another run that moves to the same
engine, and the caller's stream is stalled in the meantime.
"""

from collections import Counter
from collections.abc import Collection, Container, Iterable, Mapping
from typing import Final

from mastichatch_core.generated.messages import Run, RunState
from mastichatch_core.relay.departure import is_being_copied
from mastichatch_core.relay.engine_choice import Candidate
from mastichatch_core.relay.model import Endpoint

# Cost of an engine in another data centre, as a share of its memory: a move
# within a data centre takes half the time. An engine in another data centre is
# preferred only if the free share of its memory is larger by this much.
REMOTE_MEMORY_SHARE: Final = 1.0
# Cost of each other run that moves to the same engine, as a share of memory.
# Its transfer delays a run about as much as a move to another data centre, and
# delays the last part of the move too.
INCOMING_MEMORY_SHARE: Final = 1.2
# Engines whose cost differs by less than this share of memory count as equally
# good. The share is about the difference between a new engine and one in use.
SIMILAR_MEMORY_SHARE: Final = 0.5


def choose_destination(
    candidates: Iterable[Candidate],
    endpoints: Mapping[str, Endpoint],
    runs: Collection[Run],
    run: Run,
    data_centre: str,
) -> str:
    """Return the instance of the engine to which a run should move.

    If several engines are removed at once, nodes choose in the same millisecond
    without knowing each other's choice. All nodes know the same engines. Of
    those that are about equally good, the runs of each removed engine therefore
    choose a different one.

    :param candidates: engines with room for the run; at least one
    :param endpoints: engines that accept new requests, by instance
    :param runs: runs of all nodes, on any engine
    :param run: the run that moves
    :param data_centre: data centre that holds the run's memory
    """
    incoming = Counter(
        other.copy_at
        for other in runs
        if is_being_copied(other)
        and other.state is RunState.running
        and other.request_id != run.request_id
    )

    def cost(candidate: Candidate) -> float:
        instance = candidate.instance
        is_remote = endpoints[instance].data_centre != data_centre
        return (
            candidate.memory_share
            + REMOTE_MEMORY_SHARE * is_remote
            + INCOMING_MEMORY_SHARE * incoming[instance]
        )

    ordered = sorted(candidates, key=lambda item: (cost(item), item.instance))
    limit = cost(ordered[0]) + SIMILAR_MEMORY_SHARE
    similar = [item for item in ordered if cost(item) < limit]
    position = _leaving_engine_index(run, runs, endpoints)
    return similar[position % len(similar)].instance


def _leaving_engine_index(
    run: Run, runs: Iterable[Run], in_use: Container[str]
) -> int:
    """Return the index of a run's engine among the engines being removed."""
    leaving = {
        other.endpoint
        for other in runs
        if other.state is RunState.running and other.endpoint not in in_use
    }
    return sorted(leaving | {run.endpoint}).index(run.endpoint)
