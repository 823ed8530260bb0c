"""Grant permits to waiting requests, in the order of the fair queue."""

import dataclasses
import functools
from collections.abc import Callable
from typing import Final

from mastichatch_core.admission import is_available, remember_prefix
from mastichatch_core.fair_queue import QueuedRequest
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
from mastichatch_core.scheduler_state import Capacity, Scheduler

RESERVE_AFTER_S: Final = 1.0
PROMPT_TOKEN_COST: Final = 0.1
MIN_LEASE_FRACTION: Final = 0.5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Grant:
    """A permit that was just granted, with the reasons for its endpoint.

    :param permit: the permit
    :param candidates: scores of the endpoints considered
    :param reason: why the endpoint was chosen, as text
    """

    permit: Permit
    candidates: tuple[CandidateScore, ...]
    reason: str


def expected_cost(scheduler: Scheduler, request: PermitRequest) -> float:
    """Return the expected cost of a request, in output tokens.

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


def expected_memory(
    scheduler: Scheduler, request: PermitRequest
) -> MemoryDemand:
    """Return the expected memory demand of a request.

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
    """Return the cost of a request, in output tokens.

    :param prompt_tokens: length of its prompt, in tokens
    :param output_tokens: length of its output, in tokens
    """
    return 1 + PROMPT_TOKEN_COST * prompt_tokens + output_tokens


def grant_ready(scheduler: Scheduler, now: float) -> tuple[Grant, ...]:
    """Grant permits to the requests that fit now.

    :param scheduler: the scheduler
    :param now: time in seconds
    """
    if not scheduler.waiting_count:
        # Most events find an empty queue; skip the scan of the endpoints.
        return ()
    if (
        scheduler.superseded
        or not scheduler.term_members.is_registration_complete(now)
    ):
        return ()
    capacity = scheduler.available_capacity(now)
    grants: list[Grant] = []
    while any(permits > 0 for permits in capacity.free.values()):
        grant = _grant_next(scheduler, capacity, now)
        if grant is None:
            break
        capacity.free[grant.permit.endpoint] -= 1
        grants.append(grant)
    return tuple(grants)


def grant_message(scheduler: Scheduler, grant: Grant) -> PermitGrant:
    """Return the message that grants a permit to its node.

    :param scheduler: the scheduler
    :param grant: the permit and its reasons
    """
    return PermitGrant(
        request_id=grant.permit.key[0],
        attempt=grant.permit.key[1],
        service=scheduler.service,
        endpoint=grant.permit.endpoint,
        term=scheduler.term,
        lease_ms=scheduler.timing.permit_lease * 1000,
        registration=grant.permit.registration,
        boot_id=_boot_id(scheduler, grant.permit.endpoint),
        candidates=grant.candidates,
        reason=grant.reason,
    )


def _boot_id(scheduler: Scheduler, endpoint: str) -> str:
    state = scheduler.pool.states.get(endpoint)
    return '' if state is None else state.boot_id


def renew_lease(scheduler: Scheduler, permit: Permit, now: float) -> bool:
    """Start a permit's lease at the newest registration of its node.

    :param scheduler: the scheduler
    :param permit: the permit
    :param now: time in seconds
    :returns: whether enough of the lease remains to use the permit
    """
    registration = scheduler.term_members.latest_registration(permit.node)
    if registration is None or not _has_usable_lease(
        scheduler, permit.node, now
    ):
        return False
    sequence, registered_at = registration
    permit.registration = sequence
    permit.expires_at = registered_at + scheduler.timing.permit_lease
    return True


def _has_usable_lease(scheduler: Scheduler, node: str, now: float) -> bool:
    """Return whether a node could use a new permit before it expires."""
    registration = scheduler.term_members.latest_registration(node)
    if registration is None:
        return False
    _, registered_at = registration
    usable = scheduler.timing.permit_lease * (1 - MIN_LEASE_FRACTION)
    return registered_at + usable >= now


def _grant_next(
    scheduler: Scheduler, capacity: Capacity, now: float
) -> Grant | None:
    """Grant a permit to the first request in queue order that fits."""
    reserved: set[str] = set()
    eligible = _eligible_endpoints(scheduler, capacity, now)
    lane_heads = scheduler.queue.lane_heads(lambda entry: bool(eligible(entry)))
    for entry in lane_heads:
        permit = _draft_permit(scheduler, entry, now)
        if permit is None:
            continue
        candidates = tuple(
            _create_candidate(scheduler, entry, name, capacity)
            for name in sorted(eligible(entry) - reserved)
        )
        fitting = [
            candidate for candidate in candidates if candidate.peak_share <= 1
        ]
        if fitting:
            return _place_request(scheduler, entry, permit, fitting, now)
        if candidates and now - entry.queued_at > RESERVE_AFTER_S:
            # Younger requests must not take the capacity that it waits for.
            best = min(candidates, key=lambda candidate: candidate.peak_share)
            reserved.add(best.endpoint)
    return None


def _eligible_endpoints(
    scheduler: Scheduler, capacity: Capacity, now: float
) -> Callable[[QueuedRequest], frozenset[str]]:
    """Return a function that gives a request's eligible endpoints.

    A request may have none for a long time, because its node is silent or its
    endpoints have failed it or are unavailable. It must not block the requests
    behind it in its workspace.
    """

    @functools.cache
    def available_to(node: str) -> frozenset[str]:
        if not _has_usable_lease(scheduler, node, now):
            return frozenset()
        return frozenset(
            name
            for name, permits in capacity.free.items()
            if permits > 0
            and is_available(
                scheduler.pool.states[name],
                node,
                scheduler.pool.ledger.count_at_endpoint(name),
                now,
            )
        )

    return lambda entry: available_to(entry.request.node).difference(
        entry.request.excluded
    )


def _draft_permit(
    scheduler: Scheduler, entry: QueuedRequest, now: float
) -> Permit | None:
    """Return a permit without an endpoint, or ``None`` if none is allowed.

    The workspace's running limit and the node's lease must allow it.
    """
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
        memory_demand=entry.memory_demand,
        granted_at=now,
        renewed_at=now,
        expires_at=now,
    )
    return permit if renew_lease(scheduler, permit, now) else None


def _place_request(
    scheduler: Scheduler,
    entry: QueuedRequest,
    permit: Permit,
    fitting: list[Candidate],
    now: float,
) -> Grant:
    scores = tuple(score(candidate) for candidate in fitting)
    choice = max(scores, key=lambda candidate: candidate.score)
    permit.endpoint = choice.endpoint
    scheduler.queue.remove(entry.key)
    scheduler.queue.advance_virtual_time(entry)
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


def _create_candidate(
    scheduler: Scheduler, entry: QueuedRequest, name: str, capacity: Capacity
) -> Candidate:
    state = scheduler.pool.states[name]
    running = scheduler.pool.load(name)
    total_demand = add_demands(
        _endpoint_demand(scheduler, name), entry.memory_demand
    )
    memory = predict_peak(total_demand, state.memory_margin.deviations)
    if state.unattributed:
        # Unattributed requests are assumed to need as much as the others.
        memory *= running / max(1, running - state.unattributed)
    budget = state.manifest_entry.memory_tokens * capacity.share
    share = memory / max(1.0, budget)
    return Candidate(
        endpoint=name,
        running=running,
        limit=int(capacity.limits[name]),
        # An idle endpoint accepts any request, however large.
        peak_share=share if running else min(share, 1.0),
        prefix_known=entry.request.prefix_hash in state.prefixes,
    )


def _endpoint_demand(scheduler: Scheduler, name: str) -> MemoryDemand:
    """Return the memory demand of an endpoint's permits.

    It is cached until the permits or their tokens change.
    """
    state = scheduler.pool.states[name]
    if state.memory_demand is None:
        permits = scheduler.pool.ledger.at_endpoint(name)
        state.memory_demand = sum_demands(
            [
                permit.memory_demand or _permit_demand(scheduler, permit)
                for permit in permits
            ]
        )
    return state.memory_demand


def _permit_demand(scheduler: Scheduler, permit: Permit) -> MemoryDemand:
    """Return a permit's memory demand, cached until its tokens change."""
    memory_demand = predict_demand(
        scheduler.lengths.lengths(permit.workspace, permit.request_class),
        permit.prompt_tokens,
        permit.output_tokens,
        permit.max_tokens,
    )
    permit.memory_demand = memory_demand
    return memory_demand
