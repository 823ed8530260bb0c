"""Orders the generations that wait for an engine, on all nodes alike.

Every node knows, a message's time late, what runs and what waits everywhere,
and works out by itself which waiting requests have their turn. A node that is
gone takes only its own requests with it, and no node has to be asked.

Load pattern: more generations than the engines' memory holds, for seconds; and
a new engine, empty while all others are full, to which all that wait would go
at once and then wait for each other's prompts to be read.
"""

from collections.abc import Callable, Iterable, Mapping, Sequence
from types import MappingProxyType
from typing import Final

from mastichatch_core.generated.messages import Run, RunState
from mastichatch_core.relay.engine_choice import (
    NEW_MEMORY_SHARE,
    Candidate,
    EngineLoad,
    measure_loads,
    memory_of,
    weigh,
    wish_of,
)
from mastichatch_core.relay.model import Endpoint, Engine
from mastichatch_core.units import MS_PER_S


# An engine reads so many prompt tokens in a ms beside the tokens of other runs:
# a chunk of 112 with each step of 15 ms, by the users' sheets.
READING_TOKENS_PER_MS: Final = 7.0
# Time from the end of a prompt's reading to its first event, of four steps,
# and to the caller.
FIRST_EVENT_MS: Final = 150.0
# What is late is still worth something, but callers leave at four times their
# objective, and the rest of their time must do for the answer or for a retry.
WAIT_OBJECTIVES: Final = 2.0
WAIT_TIME_SHARE: Final = 0.4
# Share of an engine's memory that runs may fill which are late already. The
# rest is left to those that can still be on time.
LATE_MEMORY_SHARE: Final = 0.7
# Nor does such a run go where more than one prompt of the users' sheets is
# still to be read: the next to arrive would then be late too.
LATE_WORK_TOKENS: Final = 3000.0

_NOTHING_EXCLUDED: Final[Mapping[str, frozenset[str]]] = MappingProxyType({})


def turns(
    runs: Iterable[Run],
    endpoints: Sequence[Endpoint],
    engine: Engine,
    arrived_at: Callable[[Run], float],
    data_centre: str,
    now: float = 0,
    excluded: Mapping[str, frozenset[str]] = _NOTHING_EXCLUDED,
) -> Mapping[str, Candidate]:
    """Return the engine of each waiting request whose turn it is.

    The urgent go first, and among them those that came first. One that does
    not fit lets others pass, which are then smaller.

    Where load exceeds the engines, waiting in line would make all of them late.
    Requests that cannot be on time any more let the others pass, and get what
    room is left once none of those waits.

    :param runs: what waits and runs for one service, on all nodes
    :param endpoints: engines that take new requests
    :param engine: capacity of one engine
    :param arrived_at: returns when a request arrived
    :param data_centre: where this node stands
    :param now: time in seconds
    :param excluded: engines that refused a request, by its id
    """
    known = tuple(runs)
    places = _Places(known, endpoints, engine, data_centre, excluded)
    late: list[Run] = []
    is_crowded = False
    for run in _in_line(known, arrived_at):
        age_ms = (now - arrived_at(run)) * MS_PER_S
        if not is_in_time(run, age_ms, 0):
            late.append(run)
        elif not places.take_in_time(run, age_ms):
            is_crowded = True
    for late_run in () if is_crowded else late:
        places.take_late(late_run)
    return places.found


class _Places:
    """Engines given to waiting requests, and what that leaves of them."""

    def __init__(
        self,
        runs: Iterable[Run],
        endpoints: Sequence[Endpoint],
        engine: Engine,
        data_centre: str,
        excluded: Mapping[str, frozenset[str]],
    ) -> None:
        self.found: dict[str, Candidate] = {}
        self._loads = dict(measure_loads(runs))
        self._endpoints = endpoints
        self._engine = engine
        self._data_centre = data_centre
        self._excluded = excluded

    def take_in_time(self, run: Run, age_ms: float) -> bool:
        """Place a request where it is on time, and return whether it is."""
        best = self._best(run, NEW_MEMORY_SHARE)
        if best is None or not is_in_time(run, age_ms, best.cost):
            return False
        self._place(run, best)
        return True

    def take_late(self, run: Run) -> None:
        """Place a request that is late where nobody else needs the room."""
        best = self._best(run, LATE_MEMORY_SHARE)
        if best is not None and best.cost <= LATE_WORK_TOKENS:
            self._place(run, best)

    def _best(self, run: Run, memory_share: float) -> Candidate | None:
        wish = wish_of(run, self._data_centre)
        excluded = self._excluded.get(run.request_id, ())
        endpoints = (
            one for one in self._endpoints if one.instance not in excluded
        )
        candidates = weigh(
            endpoints, self._loads, self._engine, wish, memory_share
        )
        return candidates[0] if candidates else None

    def _place(self, run: Run, candidate: Candidate) -> None:
        self.found[run.request_id] = candidate
        _occupy(self._loads, candidate.instance, run)


def longest_wait_s(objective_s: float, timeout_s: float) -> float:
    """Return how long a request waits for an engine before it is refused.

    :param objective_s: time within which its first event is on time
    :param timeout_s: time within which its caller wants the whole answer
    """
    return min(WAIT_OBJECTIVES * objective_s, WAIT_TIME_SHARE * timeout_s)


def is_in_time(run: Run, age_ms: float, work_tokens: float) -> bool:
    """Return whether a request's first event would be on time.

    Where not even an idle engine would begin in time by the rate assumed here,
    the engines are others than those it is of, and no request counts as late.

    :param run: the request
    :param age_ms: time since it arrived, in milliseconds
    :param work_tokens: work ahead of it at its engine, in prompt tokens
    """
    if not run.objective_ms:
        return True
    own_ms = run.prompt_tokens / READING_TOKENS_PER_MS + FIRST_EVENT_MS
    if own_ms > run.objective_ms:
        return True
    work_ms = work_tokens / READING_TOKENS_PER_MS
    return age_ms + work_ms + own_ms <= run.objective_ms


def _in_line(
    runs: Iterable[Run], arrived_at: Callable[[Run], float]
) -> list[Run]:
    return sorted(
        (run for run in runs if run.state is RunState.waiting),
        key=lambda run: (run.rank, arrived_at(run), run.request_id),
    )


def _occupy(loads: dict[str, EngineLoad], instance: str, run: Run) -> None:
    load = loads.setdefault(instance, EngineLoad())
    load.running += 1
    load.memory_tokens += memory_of(run)
    load.unread_tokens += run.prompt_tokens
