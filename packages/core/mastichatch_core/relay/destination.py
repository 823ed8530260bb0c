"""Chooses the engine to which a run moves.

Load pattern: five of thirty engines leave at once, each with several runs.
An engine's link carries one transfer after the other, so that the last part of
a move waits behind the whole memory of another run that goes to the same
engine, and its caller's stream stands still meanwhile.
"""

from collections import Counter
from collections.abc import Collection, Container, Iterable, Mapping
from typing import Final

from mastichatch_core.generated.messages import Run, RunState
from mastichatch_core.relay.engine_choice import Candidate
from mastichatch_core.relay.model import Endpoint

# A move within a data centre takes half the time; an engine elsewhere must be
# emptier by this share of its memory.
REMOTE_MEMORY_SHARE: Final = 1.0
# A transfer to the same engine delays a run about as much as the way to
# another data centre, and its last part besides.
INCOMING_MEMORY_SHARE: Final = 1.2
# Engines whose memory differs by less than this share are equally good; the
# difference is about that between a new engine and one in use.
SIMILAR_MEMORY_SHARE: Final = 0.5


def choose_destination(
    candidates: Iterable[Candidate],
    endpoints: Mapping[str, Endpoint],
    runs: Collection[Run],
    run: Run,
    data_centre: str,
) -> str:
    """Return the engine to which a run should move.

    The nodes of several engines that leave choose in the same millisecond and
    do not know of each other's choice. They know the same engines, so that each
    takes another one of those that are about equally good.

    :param candidates: engines with room for it; at least one
    :param endpoints: engines in use, by instance
    :param runs: runs of all nodes, at any engine
    :param run: the run that moves
    :param data_centre: where its memory is
    """
    incoming = Counter(
        other.copy_at
        for other in runs
        if other.copy_at
        and other.state is RunState.running
        and other.request_id != run.request_id
    )

    def price(candidate: Candidate) -> float:
        instance = candidate.instance
        is_remote = endpoints[instance].data_centre != data_centre
        return (
            candidate.memory_share
            + REMOTE_MEMORY_SHARE * is_remote
            + INCOMING_MEMORY_SHARE * incoming[instance]
        )

    ordered = sorted(candidates, key=lambda one: (price(one), one.instance))
    limit = price(ordered[0]) + SIMILAR_MEMORY_SHARE
    similar = [one for one in ordered if price(one) < limit]
    position = _position(run, runs, endpoints)
    return similar[position % len(similar)].instance


def _position(run: Run, runs: Iterable[Run], in_use: Container[str]) -> int:
    """Return the place of a run's engine among those that leave."""
    leaving = {
        other.endpoint
        for other in runs
        if other.state is RunState.running and other.endpoint not in in_use
    }
    return sorted(leaving | {run.endpoint}).index(run.endpoint)
