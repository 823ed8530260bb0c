"""Assigns engines to waiting generations, in the same order on every node.

Every node knows the running and waiting requests of all nodes, with the delay
of one message, and computes by itself which waiting requests are next. The
failure of a node affects only its own requests, and there is no coordinator.

Load pattern: for seconds, more generations than fit into the engines' memory;
and a new, empty engine while all others are full. All waiting requests would
be placed on it at once and then wait for the prefill of each other's prompts.
"""

import dataclasses
from collections.abc import (
    Callable,
    Iterable,
    Iterator,
    Mapping,
    Sequence,
)
from typing import Final

from mastichatch_core.generated.messages import Run, RunState
from mastichatch_core.relay.admission.shares import Flow, in_fair_order
from mastichatch_core.relay.engine_choice import (
    NEW_MEMORY_SHARE,
    Candidate,
    EngineLoad,
    measure_loads,
    expected_memory_tokens,
    rank_engines,
    placement_request,
)
from mastichatch_core.relay.model import Endpoint, Engine
from mastichatch_core.relay.placement.costs import (
    NOMINAL_COSTS,
    UNLIMITED_MEMORY_SHARE,
    PlacementCosts,
    empty_mapping,
)
from mastichatch_core.units import MS_PER_S


# Prefill rate of an engine that also generates tokens for other runs: a chunk
# of 112 tokens in each step of 15 ms, by the specification of the engines.
PREFILL_TOKENS_PER_MS: Final = 7.0
# Time from the end of a prompt's prefill until its first event reaches the
# caller. The engine generates the event in four steps.
FIRST_EVENT_MS: Final = 150.0
# Limits of the wait for an engine, as a multiple of the objective and as a
# share of the caller's timeout. A late answer still has some value, but callers
# give up at four times their objective, and the remaining time must suffice for
# the answer or for a retry.
MAX_WAIT_OBJECTIVES: Final = 2.0
MAX_WAIT_TIMEOUT_SHARE: Final = 0.4
# Share of an engine's memory that requests past their objective may fill. The
# rest is reserved for requests that can still meet theirs.
LATE_MEMORY_SHARE: Final = 0.7
# Most work, in prompt tokens, that may be queued at an engine that gets a late
# request, or another one that is not among the most urgent. It is about one
# prompt of the specified load: with more, the next request to arrive would be
# late too.
LATE_QUEUED_TOKENS: Final = 3000.0

# Time after which all nodes know of a waiting request, so that only the first
# one with a suspected part is placed.
TRIAL_DELAY_MS: Final = 50.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QueueOptions:
    """What the assignment of engines depends on besides runs and engines.

    :param excluded: instances that refused a request, by request id
    :param costs: what was measured of the engines
    :param home_of: returns the data centre that received a request; ``None`` if
        all count as received in the data centre of this node
    :param held: tokens that runs hold, by those who share scarce room; ``None``
        if requests are served in the order of their arrival
    :param first_rank: most urgent rank, for which engines keep their queues
        short; ``None`` if they do not
    """

    excluded: Mapping[str, frozenset[str]] = dataclasses.field(
        default_factory=empty_mapping
    )
    costs: PlacementCosts = NOMINAL_COSTS
    home_of: Callable[[Run], str] | None = None
    held: Mapping[Flow, float] | None = None
    first_rank: int | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QueuePlan:
    """The assignment of engines to the waiting requests.

    :param found: the chosen engines, by request id
    :param ordered: all waiting requests, in the order of the queue
    :param unplaced: requests that can still meet their objective and were not
        placed, in the order of the queue
    :param late: requests past their objective that were not placed, in the
        order of the queue
    :param without_room: ids of those in ``unplaced`` that fit no engine's
        memory or batch
    :param loads: load of each engine with the requests assigned to it
    """

    found: Mapping[str, Candidate]
    ordered: tuple[Run, ...]
    unplaced: tuple[Run, ...]
    late: tuple[Run, ...]
    without_room: frozenset[str]
    loads: Mapping[str, EngineLoad]


def assign_engines(
    runs: Iterable[Run],
    endpoints: Sequence[Endpoint],
    engine: Engine,
    arrived_at: Callable[[Run], float],
    data_centre: str,
    now: float = 0,
    options: QueueOptions | None = None,
) -> Mapping[str, Candidate]:
    """Return the engine of each waiting request that can be placed now.

    See ``plan_queue`` for the parameters.

    :returns: the chosen engines, by request id
    """
    return plan_queue(
        runs, endpoints, engine, arrived_at, data_centre, now, options
    ).found


def plan_queue(
    runs: Iterable[Run],
    endpoints: Sequence[Endpoint],
    engine: Engine,
    arrived_at: Callable[[Run], float],
    data_centre: str,
    now: float = 0,
    options: QueueOptions | None = None,
) -> QueuePlan:
    """Choose the engine of each waiting request that can be placed now.

    Requests are ordered by rank and then by arrival, or by the shares of
    workspaces while room is scarce. A request that fits no engine is skipped,
    so that smaller requests behind it can be placed.

    Under overload, strict first-in-first-out order would make every request
    late. Requests that can no longer meet their objective are skipped. They are
    placed in the remaining room, and only if every request that can still meet
    its objective has been placed.

    If the most urgent rank is known, less urgent requests wait here rather than
    in the queue of an engine, where urgent ones would wait behind them.

    Of the requests with a part that may crash engines, one runs at a time until
    its first event.

    :param runs: waiting and running requests of one service, on all nodes
    :param endpoints: engines that accept new requests
    :param engine: capacity of one engine
    :param arrived_at: returns the arrival time of a request, in seconds
    :param data_centre: data centre of this node
    :param now: time in seconds
    :param options: what was measured, and which engines are left out
    :returns: the chosen engines, and the requests that were not placed
    """
    all_runs = tuple(runs)
    options = options or QueueOptions()
    assignment = _Assignment(all_runs, endpoints, engine, data_centre, options)
    late: list[Run] = []
    unplaced: list[Run] = []
    ordered: Sequence[Run] = _in_queue_order(all_runs, arrived_at)
    if options.held is not None:
        ordered = in_fair_order(ordered, options.held, arrived_at, now)
    for run in _without_blocked(ordered, all_runs, arrived_at, now):
        age_ms = (now - arrived_at(run)) * MS_PER_S
        if not meets_objective(run, age_ms, 0):
            late.append(run)
        elif not assignment.place_on_time(run, age_ms):
            unplaced.append(run)
    for late_run in () if unplaced else late:
        assignment.place_late(late_run)
    found = assignment.found
    return QueuePlan(
        found=found,
        ordered=tuple(ordered),
        unplaced=tuple(unplaced),
        late=tuple(one for one in late if one.request_id not in found),
        without_room=frozenset(assignment.without_room),
        loads=assignment.loads,
    )


class _Assignment:
    """The engines assigned to waiting requests, and the resulting loads."""

    def __init__(
        self,
        runs: Iterable[Run],
        endpoints: Sequence[Endpoint],
        engine: Engine,
        data_centre: str,
        options: QueueOptions,
    ) -> None:
        self.found: dict[str, Candidate] = {}
        self.without_room: set[str] = set()
        self.loads = dict(measure_loads(runs))
        self._endpoints = endpoints
        self._engine = engine
        self._data_centre = data_centre
        self._excluded = options.excluded
        self._costs = options.costs
        self._home_of = options.home_of
        self._first_rank = options.first_rank

    def place_on_time(self, run: Run, age_ms: float) -> bool:
        """Place a request if an engine can meet its objective.

        :param run: the waiting request
        :param age_ms: time since its arrival, in milliseconds
        :returns: whether the request was placed
        """
        candidates = self._rank(run, NEW_MEMORY_SHARE)
        if not candidates:
            self.without_room.add(run.request_id)
        best = _first_in_time(run, age_ms, candidates)
        if best is None or self._is_behind_prompts(run, best):
            return False
        self._place(run, best)
        return True

    def place_late(self, run: Run) -> None:
        """Place a late request on an engine with spare capacity, if any.

        :param run: the waiting request
        """
        ranked = self._rank(run, LATE_MEMORY_SHARE)
        best = next(
            (
                one
                for one in ranked
                if one.cost <= LATE_QUEUED_TOKENS
                and one.has_trial == ranked[0].has_trial
            ),
            None,
        )
        if best is not None:
            self._place(run, best)

    def _is_behind_prompts(self, run: Run, best: Candidate) -> bool:
        """Return whether a less urgent request would lengthen a queue.

        :param run: the waiting request
        :param best: the engine with the least work before it
        """
        if self._first_rank is None or run.rank <= self._first_rank:
            return False
        load = self.loads.get(best.instance) or EngineLoad()
        return load.pending_prefill_tokens > LATE_QUEUED_TOKENS

    def _rank(self, run: Run, memory_share: float) -> tuple[Candidate, ...]:
        """Return the engines that a request may be placed on, best first."""
        home = self._home_of(run) if self._home_of else self._data_centre
        request = placement_request(run, home)
        excluded = self._excluded.get(run.request_id, ())
        endpoints = (
            endpoint
            for endpoint in self._endpoints
            if endpoint.instance not in excluded
        )
        candidates = rank_engines(
            endpoints,
            self.loads,
            self._engine,
            request,
            memory_share,
            self._costs,
        )
        if self._costs.remote_memory_share < UNLIMITED_MEMORY_SHARE:
            candidates = tuple(filter(self._may_use, candidates))
        if run.suspects and candidates:
            # If it crashes the engine, the fewest other runs are lost.
            return (min(candidates, key=lambda one: one.running),)
        return candidates

    def _may_use(self, candidate: Candidate) -> bool:
        """Return whether an engine has room for requests from elsewhere."""
        highest = self._costs.remote_memory_share
        if not candidate.is_remote or candidate.memory_share <= highest:
            return True
        # An engine without runs accepts a run of any size.
        return highest > 0 and not candidate.running

    def _place(self, run: Run, candidate: Candidate) -> None:
        self.found[run.request_id] = candidate
        _add_to_load(self.loads, candidate.instance, run)


def max_queue_wait_s(objective_s: float, timeout_s: float) -> float:
    """Return how long a request may wait for an engine, in seconds.

    A request that has waited longer is refused.

    :param objective_s: objective for the time to its first event, in seconds
    :param timeout_s: timeout of the caller for the whole answer, in seconds
    """
    return min(
        MAX_WAIT_OBJECTIVES * objective_s, MAX_WAIT_TIMEOUT_SHARE * timeout_s
    )


def meets_objective(run: Run, age_ms: float, work_tokens: float) -> bool:
    """Return whether a request's first event would meet its objective.

    If by ``PREFILL_TOKENS_PER_MS`` even an idle engine would miss the
    objective, the rate does not describe these engines, and the request does
    not count as late.

    :param run: the request
    :param age_ms: time since its arrival, in milliseconds
    :param work_tokens: work before its first event besides that of an idle
        engine of nominal speed, in prompt tokens
    """
    if not run.objective_ms:
        return True
    own_ms = run.prompt_tokens / PREFILL_TOKENS_PER_MS + FIRST_EVENT_MS
    if own_ms > run.objective_ms:
        return True
    work_ms = work_tokens / PREFILL_TOKENS_PER_MS
    return age_ms + work_ms + own_ms <= run.objective_ms


def _first_in_time(
    run: Run, age_ms: float, candidates: Sequence[Candidate]
) -> Candidate | None:
    """Return the best engine that can meet a request's objective.

    The best one by order has the least work, except for what speaks against
    its data centre.
    """
    if not candidates or meets_objective(
        run, age_ms, candidates[0].delay_tokens
    ):
        return candidates[0] if candidates else None
    first = candidates[0]
    for other in candidates:
        is_alike = other.has_trial == first.has_trial
        if (
            is_alike
            and other.delay_tokens < first.delay_tokens
            and meets_objective(run, age_ms, other.delay_tokens)
        ):
            return other
    return None


def _in_queue_order(
    runs: Iterable[Run], arrived_at: Callable[[Run], float]
) -> list[Run]:
    return sorted(
        (run for run in runs if run.state is RunState.waiting),
        key=lambda run: (run.rank, arrived_at(run), run.request_id),
    )


def _without_blocked(
    ordered: Iterable[Run],
    runs: Iterable[Run],
    arrived_at: Callable[[Run], float],
    now: float,
) -> Iterator[Run]:
    """Yield the waiting requests that are not held back by a trial.

    :param ordered: waiting requests, in the order of the queue
    :param runs: waiting and running requests
    :param arrived_at: returns the arrival time of a request, in seconds
    :param now: time in seconds
    """
    tried: set[str] = set()
    for running in runs:
        if running.state is RunState.running and not running.output_tokens:
            tried.update(running.suspects)
    for run in ordered:
        is_known = (now - arrived_at(run)) * MS_PER_S >= TRIAL_DELAY_MS
        if not run.suspects or (is_known and tried.isdisjoint(run.suspects)):
            yield run
        tried.update(run.suspects)


def _add_to_load(loads: dict[str, EngineLoad], instance: str, run: Run) -> None:
    load = loads.setdefault(instance, EngineLoad())
    load.running += 1
    load.memory_tokens += expected_memory_tokens(run)
    load.pending_prefill_tokens += run.prompt_tokens
    load.has_trial |= bool(run.suspects)
