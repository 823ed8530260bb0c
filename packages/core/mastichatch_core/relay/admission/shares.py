"""Orders waiting generations so that workspaces get equal shares of engines.

Load pattern: for seconds, more generations than the engines have room for, a
third of them by one workspace, or by a caller that repeats refused requests at
once. In the order of arrival, who sends most gets most.

The order is that of start-time fair queueing (Goyal, Vin and Cheng, 1996): each
request has a start tag, the finish tag of the request before it of the same
workspace, and those with the lowest tags are next. What is shared is the memory
that runs hold and the prompts to be prefilled. All nodes know the runs of a
workspace, so its first tag is what its runs hold now beyond what each may hold.
No virtual time is kept: a workspace has no claim for a time without requests.
"""

import collections
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Final

from mastichatch_core.generated.messages import Run
from mastichatch_core.relay.engine_choice import expected_memory_tokens
from mastichatch_core.units import MS_PER_S

# Time after which a request that still waits shows that room is scarce: all
# nodes have known it, and would have placed it.
SCARCE_AFTER_MS: Final = 100.0

# Even shares that a flow may hold before its requests are put behind those of
# others. Below, the order of arrival makes the fewest requests late.
EVEN_SHARES: Final = 2.0

# Rank and name of those who share.
Flow = tuple[int, str]


def flow_of(run: Run) -> Flow:
    """Return to whose share a run belongs.

    Each session counts for itself if its requests have no workspace.

    :param run: a waiting or running run
    """
    return (run.rank, run.workspace or run.part or run.request_id)


def cost_tokens(run: Run) -> int:
    """Return what a run takes of its engine now.

    Whole tokens have the same sum in any order, so that nodes agree.

    :param run: a waiting or running run
    :returns: tokens of memory, and of prompts that are not prefilled yet
    """
    pending = 0 if run.output_tokens else run.prompt_tokens
    return round(expected_memory_tokens(run)) + pending


def in_fair_order(
    waiting: Sequence[Run],
    held: Mapping[Flow, float],
    arrived_at: Callable[[Run], float],
    now: float,
) -> Sequence[Run]:
    """Return waiting requests in the order in which they get room.

    More urgent ranks stay first. Nothing changes while room is not scarce.

    :param waiting: waiting requests, by rank and then by arrival
    :param held: tokens that runs on engines hold, by flow
    :param arrived_at: returns the arrival time of a request, in seconds
    :param now: time in seconds
    """
    oldest = min(map(arrived_at, waiting), default=now)
    if (now - oldest) * MS_PER_S < SCARCE_AFTER_MS:
        return waiting
    allowed = _allowed_tokens(waiting, held)
    finish: dict[Flow, float] = {}
    starts: list[tuple[int, float, int]] = []
    for number, run in enumerate(waiting):
        flow = flow_of(run)
        start = finish.get(flow)
        if start is None:
            start = held.get(flow, 0) - allowed[run.rank]
        finish[flow] = start + cost_tokens(run)
        starts.append((run.rank, max(0, start), number))
    return [waiting[one] for _, _, one in sorted(starts)]


def _allowed_tokens(
    waiting: Iterable[Run], held: Mapping[Flow, float]
) -> Mapping[int, float]:
    """Return what a flow may hold before it is put behind others, by rank.

    :param waiting: waiting requests
    :param held: tokens that runs on engines hold, by flow
    """
    flows = {flow_of(run) for run in waiting} | held.keys()
    total: dict[int, float] = collections.defaultdict(float)
    count: dict[int, int] = collections.defaultdict(int)
    for flow in flows:
        count[flow[0]] += 1
        total[flow[0]] += held.get(flow, 0)
    return {
        rank: EVEN_SHARES * total[rank] / number
        for rank, number in count.items()
    }
