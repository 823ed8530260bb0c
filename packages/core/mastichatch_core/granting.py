"""Places waiting requests on endpoints, in the queue's order."""

import dataclasses
import functools
from collections.abc import Callable
from typing import Final

from mastichatch_core.admission import is_open, remember_prefix
from mastichatch_core.fairness import Waiting
from mastichatch_core.generated.messages import (
    CandidateScore,
    PermitGrant,
    PermitRequest,
)
from mastichatch_core.ledger import Permit
from mastichatch_core.memory import (
    MemoryDemand,
    add_demands,
    predict_demand,
    predict_peak,
    sum_demands,
)
from mastichatch_core.placement_score import Candidate, score
from mastichatch_core.prediction import expected_remaining
from mastichatch_core.scheduler_state import Room, Scheduler

RESERVE_AFTER_S: Final = 1.0
PROMPT_TOKEN_COST: Final = 0.1
LEAST_LEASE_SHARE: Final = 0.5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Grant:
    """A permit that was just granted, with what led to it.

    :param permit: the permit
    :param candidates: the endpoints weighed
    :param reason: why this one, in words
    """

    permit: Permit
    candidates: tuple[CandidateScore, ...]
    reason: str


def expected_cost(scheduler: Scheduler, request: PermitRequest) -> float:
    """Return the work to expect of a request, in tokens.

    :param scheduler: the scheduler
    :param request: the request
    """
    lengths = scheduler.lengths.lengths(
        request.workspace, request.request_class
    )
    output = expected_remaining(lengths, 0)
    if request.max_tokens:
        output = min(output, request.max_tokens)
    return actual_cost(request.prompt_tokens, output)


def wanted_memory(scheduler: Scheduler, request: PermitRequest) -> MemoryDemand:
    """Return the memory to expect of a request.

    :param scheduler: the scheduler
    :param request: the request
    """
    return predict_demand(
        scheduler.lengths.lengths(request.workspace, request.request_class),
        request.prompt_tokens,
        0,
        request.max_tokens,
    )


def actual_cost(prompt_tokens: int, output_tokens: float) -> float:
    """Return the work of a request, in tokens of output.

    :param prompt_tokens: length of its prompt
    :param output_tokens: length of its output
    """
    return 1 + PROMPT_TOKEN_COST * prompt_tokens + output_tokens


def grant_ready(scheduler: Scheduler, now: float) -> tuple[Grant, ...]:
    """Grant what can be granted now.

    :param scheduler: the scheduler
    :param now: time in seconds
    """
    if not scheduler.waiting_count:
        # Most events find nothing that waits, and need no look at endpoints.
        return ()
    if scheduler.superseded or not scheduler.reach.is_registration_complete(
        now
    ):
        return ()
    room = scheduler.room(now)
    grants: list[Grant] = []
    while any(places > 0 for places in room.free.values()):
        grant = _grant_next(scheduler, room, now)
        if grant is None:
            break
        room.free[grant.permit.endpoint] -= 1
        grants.append(grant)
    return tuple(grants)


def grant_message(scheduler: Scheduler, grant: Grant) -> PermitGrant:
    """Return the message that tells a node of its permit.

    :param scheduler: the scheduler
    :param grant: the permit
    """
    return PermitGrant(
        request_id=grant.permit.key[0],
        attempt=grant.permit.key[1],
        service=scheduler.service,
        endpoint=grant.permit.endpoint,
        term=scheduler.term,
        lease_ms=scheduler.timing.permit_lease * 1000,
        registration=grant.permit.registration,
        candidates=grant.candidates,
        reason=grant.reason,
    )


def renew_lease(scheduler: Scheduler, permit: Permit, now: float) -> bool:
    """Let a permit's lease run from its node's newest registration.

    :param scheduler: the scheduler
    :param permit: the permit
    :param now: time in seconds
    :returns: whether enough of the lease is left for it to be used
    """
    registration = scheduler.reach.latest_registration(permit.node)
    if registration is None or not _enough_left(scheduler, permit.node, now):
        return False
    sequence, registered_at = registration
    permit.registration = sequence
    permit.expires_at = registered_at + scheduler.timing.permit_lease
    return True


def _enough_left(scheduler: Scheduler, node: str, now: float) -> bool:
    """Return whether a permit could be used by a node before it lapses."""
    registration = scheduler.reach.latest_registration(node)
    if registration is None:
        return False
    _, registered_at = registration
    usable = scheduler.timing.permit_lease * (1 - LEAST_LEASE_SHARE)
    return registered_at + usable >= now


def _grant_next(scheduler: Scheduler, room: Room, now: float) -> Grant | None:
    """Grant to the first request in the queue's order that fits."""
    reserved: set[str] = set()
    ways = _ways(scheduler, room, now)
    heads = scheduler.queue.heads(lambda entry: bool(ways(entry)))
    for entry in heads:
        permit = _draft(scheduler, entry, now)
        if permit is None:
            continue
        candidates = tuple(
            _candidate(scheduler, entry, name, room)
            for name in sorted(ways(entry) - reserved)
        )
        fitting = [one for one in candidates if one.peak_share <= 1]
        if fitting:
            return _place(scheduler, entry, permit, fitting, now)
        if candidates and now - entry.queued_at > RESERVE_AFTER_S:
            # Younger requests must not take the room that it waits for.
            best = min(candidates, key=lambda one: one.peak_share)
            reserved.add(best.endpoint)
    return None


def _ways(
    scheduler: Scheduler, room: Room, now: float
) -> Callable[[Waiting], frozenset[str]]:
    """Return what tells the endpoints with room that a request may go to.

    One whose node is silent, or whose endpoints failed it or are not open,
    may wait for long, and others of its workspace need not wait with it.
    """

    @functools.cache
    def open_to(node: str) -> frozenset[str]:
        if not _enough_left(scheduler, node, now):
            return frozenset()
        return frozenset(
            name
            for name, places in room.free.items()
            if places > 0
            and is_open(
                scheduler.pool.states[name],
                node,
                scheduler.pool.ledger.count_at_endpoint(name),
                now,
            )
        )

    return lambda entry: open_to(entry.request.node).difference(
        entry.request.excluded
    )


def _draft(scheduler: Scheduler, entry: Waiting, now: float) -> Permit | None:
    """Return a permit without an endpoint, if the request may have one."""
    request = entry.request
    workspace = scheduler.pool.workspace(request.workspace)
    if workspace is None:
        return None
    if (
        scheduler.pool.ledger.count_of_workspace(workspace.name)
        >= workspace.running_limit
    ):
        return None
    permit = Permit(
        key=entry.key,
        node=request.node,
        endpoint='',
        workspace=request.workspace,
        request_class=request.request_class,
        prompt_tokens=request.prompt_tokens,
        max_tokens=request.max_tokens,
        cost=entry.cost,
        memory_demand=entry.wanted,
        granted_at=now,
        renewed_at=now,
        expires_at=now,
    )
    return permit if renew_lease(scheduler, permit, now) else None


def _place(
    scheduler: Scheduler,
    entry: Waiting,
    permit: Permit,
    fitting: list[Candidate],
    now: float,
) -> Grant:
    scores = tuple(score(one) for one in fitting)
    choice = max(scores, key=lambda one: one.score)
    permit.endpoint = choice.endpoint
    scheduler.queue.remove(entry.key)
    scheduler.queue.note_start(entry)
    workspace = scheduler.pool.workspace(permit.workspace)
    scheduler.queue.charge(
        permit.workspace,
        permit.request_class,
        permit.cost,
        workspace.weight if workspace else 1,
    )
    scheduler.pool.add_permit(permit, now)
    remember_prefix(
        scheduler.pool.states[choice.endpoint], entry.request.prefix_hash
    )
    return Grant(
        permit=permit,
        candidates=scores,
        reason=choice.reason or 'most room',
    )


def _candidate(
    scheduler: Scheduler, entry: Waiting, name: str, room: Room
) -> Candidate:
    state = scheduler.pool.states[name]
    running = scheduler.pool.load(name)
    together = add_demands(_demand_at(scheduler, name), entry.wanted)
    memory = predict_peak(together, state.safety.deviations)
    if state.foreign:
        memory *= running / max(1, running - state.foreign)
    budget = state.described.memory_tokens * room.share
    share = memory / max(1.0, budget)
    return Candidate(
        endpoint=name,
        running=running,
        limit=int(room.limits[name]),
        peak_share=share if running else min(share, 1.0),
        prefix_known=entry.request.prefix_hash in state.prefixes,
    )


def _demand_at(scheduler: Scheduler, name: str) -> MemoryDemand:
    """Return what an endpoint's permits want, worked out when they change."""
    state = scheduler.pool.states[name]
    if state.demand is None:
        permits = scheduler.pool.ledger.at_endpoint(name)
        state.demand = sum_demands(
            [one.memory_demand or _demand_of(scheduler, one) for one in permits]
        )
    return state.demand


def _demand_of(scheduler: Scheduler, permit: Permit) -> MemoryDemand:
    """Return what a permit wants, and keep it until its tokens change."""
    wanted = predict_demand(
        scheduler.lengths.lengths(permit.workspace, permit.request_class),
        permit.prompt_tokens,
        permit.output_tokens,
        permit.max_tokens,
    )
    permit.memory_demand = wanted
    return wanted
