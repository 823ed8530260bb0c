"""Grant permits for the endpoints of one service in one data centre.

Each function that handles an event returns the messages to send. The state is
soft: it is rebuilt from the registrations in which nodes list the permits that
they hold and the requests that wait. Nodes register at short intervals and
whenever a scheduler opens. See docs/design/03-scheduler.md.
"""

import dataclasses
from collections.abc import Iterable, Iterator, Mapping
from typing import Final

from mastichatch_core.admission import (
    EndpointState,
    raise_limit_floor,
    record_observation,
    record_release,
    record_token_gap,
    restore_limit,
)
from mastichatch_core.catalogue import Catalogue
from mastichatch_core.endpoint_pool import EndpointPool
from mastichatch_core.errors import MastichatchError
from mastichatch_core.fair_queue import QueuedRequest
from mastichatch_core.generated.messages import (
    EndpointObservation,
    ErrorKind,
    HeldPermit,
    HeldSummary,
    PermitCancel,
    PermitGrant,
    PermitOutcome,
    PermitRecall,
    PermitRefusal,
    PermitRelease,
    PermitRequest,
    Registration,
    Term,
)
from mastichatch_core.ledger import Permit, PermitKey
from mastichatch_core.permit_grants import (
    Grant,
    actual_cost,
    expected_cost,
    expected_memory,
    grant_message,
    grant_ready,
    renew_lease,
)
from mastichatch_core.prediction import LengthModel
from mastichatch_core.ramp import record_success
from mastichatch_core.renewal import renewed_tokens
from mastichatch_core.scheduler_state import Scheduler, Timing
from mastichatch_core.terms import term_rank

GRANT_REPEAT_INTERVAL_S: Final = 0.25


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Outgoing:
    """A message to be sent by the host of the scheduler.

    :param node: name of the receiving node
    :param message: content of the message
    """

    node: str
    message: PermitGrant | PermitRefusal | PermitRecall


def open_scheduler(
    term: Term,
    catalogue: Catalogue,
    service: str,
    data_centre: str,
    now: float,
    *,
    timing: Timing | None = None,
    lengths: LengthModel | None = None,
) -> Scheduler:
    """Return a scheduler that has no registrations yet.

    :param term: term one higher than the highest seen
    :param catalogue: configuration in force
    :param service: name of the service
    :param data_centre: name of the data centre
    :param now: time in seconds
    :param timing: leases and timeouts
    :param lengths: output lengths observed by its node so far
    """
    return Scheduler(
        term,
        service,
        EndpointPool(catalogue, service, data_centre, now),
        timing or Timing(),
        lengths or LengthModel(),
        now,
    )


def set_catalogue(
    scheduler: Scheduler, catalogue: Catalogue, now: float
) -> tuple[Outgoing, ...]:
    """Apply a new configuration.

    :param scheduler: the scheduler
    :param catalogue: configuration in force
    :param now: time in seconds
    :returns: recalls of unused permits for endpoints out of service, followed
        by the messages of :func:`advance`
    """
    scheduler.pool.apply_catalogue(catalogue, now)
    return _advance_after(scheduler, _recall_unused(scheduler), now)


def set_leaving_hosts(
    scheduler: Scheduler, hosts: frozenset[str], now: float
) -> tuple[Outgoing, ...]:
    """Set the hosts that the host list marks as leaving.

    :param scheduler: the scheduler
    :param hosts: names of the hosts
    :param now: time in seconds
    :returns: recalls of unused permits for endpoints on these hosts, followed
        by the messages of :func:`advance`
    """
    scheduler.pool.set_leaving_hosts(hosts, now)
    return _advance_after(scheduler, _recall_unused(scheduler), now)


def set_members(
    scheduler: Scheduler,
    expected: frozenset[str],
    heard: frozenset[str],
    now: float,
) -> tuple[Outgoing, ...]:
    """Set the nodes of the data centre.

    :param scheduler: the scheduler
    :param expected: names of the nodes that are not known to have left
    :param heard: names of the nodes that recently answered a heartbeat
    :param now: time in seconds
    """
    scheduler.term_members.update_members(expected, heard)
    return advance(scheduler, now)


def register(
    scheduler: Scheduler, registration: Registration, now: float
) -> tuple[Outgoing, ...]:
    """Apply a node's registration and renew the permits that it holds.

    Only a registration under the scheduler's own term shows that the node
    follows this scheduler. A registration under a lower term is still used to
    learn what is running, if it lists permits.

    :param scheduler: the scheduler
    :param registration: permits that the node holds and requests that wait
    :param now: time in seconds
    """
    outgoing = advance(scheduler, now)
    if term_rank(registration.term) > term_rank(scheduler.term):
        scheduler.mark_superseded()
        return outgoing
    own_term = registration.term == scheduler.term
    if own_term and not _accept_registration(scheduler, registration, now):
        return outgoing
    for observation in registration.observations:
        _record_report(scheduler, observation, registration.node, now)
    _update_held_permits(scheduler, registration, now, own_term=own_term)
    if not own_term:
        return outgoing
    _drop_withdrawn(scheduler, registration)
    answers = [
        answer
        for waiting_request in registration.waiting
        for answer in _enqueue(scheduler, waiting_request, now)
    ]
    return (*outgoing, *_advance_after(scheduler, answers, now))


def needs_permit_list(scheduler: Scheduler, registration: Registration) -> bool:
    """Return whether a node must send the full list of its permits.

    :param scheduler: the scheduler
    :param registration: the node's registration, just applied
    """
    if registration.summary is None or registration.term != scheduler.term:
        return False
    return not scheduler.term_members.knows_permits(registration.node)


def request(
    scheduler: Scheduler, request: PermitRequest, now: float
) -> tuple[Outgoing, ...]:
    """Queue a request, refuse it, or repeat its grant.

    :param scheduler: the scheduler
    :param request: a node's request for a permit
    :param now: time in seconds
    """
    outgoing = advance(scheduler, now)
    kind = _count_attempt(scheduler, request)
    if kind is not None:
        return (*outgoing, _refuse(scheduler, request, kind))
    answers = tuple(_enqueue(scheduler, request, now))
    return (*outgoing, *_advance_after(scheduler, answers, now))


def release(
    scheduler: Scheduler, release: PermitRelease, now: float
) -> tuple[Outgoing, ...]:
    """End a permit and update the estimates from its outcome.

    :param scheduler: the scheduler
    :param release: outcome of the permit
    :param now: time in seconds
    """
    permit = scheduler.pool.return_permit(
        (release.request_id, release.attempt), now
    )
    state = scheduler.pool.states.get(release.endpoint)
    if permit is not None and state is not None:
        record_release(state, release, now)
        _record_short_generation(scheduler, state, permit, release, now)
        _record_completion(scheduler, permit, release, now)
    return advance(scheduler, now)


def cancel(
    scheduler: Scheduler, cancel: PermitCancel, now: float
) -> tuple[Outgoing, ...]:
    """Withdraw a request that waits or whose grant may be in transit.

    :param scheduler: the scheduler
    :param cancel: request to withdraw
    :param now: time in seconds
    """
    key = (cancel.request_id, cancel.attempt)
    scheduler.queue.remove(key)
    permit = scheduler.pool.ledger.get(key)
    if permit is not None and not permit.used:
        scheduler.pool.return_permit(key, now)
    return advance(scheduler, now)


def observe(
    scheduler: Scheduler, observation: EndpointObservation, now: float
) -> tuple[Outgoing, ...]:
    """Record a report on an endpoint by the scheduler's own node.

    :param scheduler: the scheduler
    :param observation: the report
    :param now: time in seconds
    """
    _record_report(scheduler, observation, '', now)
    return advance(scheduler, now)


def advance(scheduler: Scheduler, now: float) -> tuple[Outgoing, ...]:
    """Expire leases and deadlines, and grant permits where possible.

    :param scheduler: the scheduler
    :param now: time in seconds
    """
    if scheduler.advance_clock(now):
        return ()
    _expire(scheduler, now)
    refusals = tuple(_refuse_unservable(scheduler, now))
    grants = grant_ready(scheduler, now)
    return (*refusals, *(_send_grant(scheduler, grant) for grant in grants))


def export_limits(
    scheduler: Scheduler, now: float
) -> tuple[EndpointObservation, ...]:
    """Return the current limits of the endpoints, for the next scheduler.

    The node sends them when it registers with its successor.

    :param scheduler: the scheduler
    :param now: time in seconds
    """
    return tuple(
        EndpointObservation(
            endpoint=name,
            boot_id=state.boot_id,
            limit=scheduler.pool.limit(name, now),
            limit_term=scheduler.term.number,
        )
        for name, state in scheduler.pool.states.items()
        if state.boot_id and scheduler.term_members.had_full_share
    )


def _advance_after(
    scheduler: Scheduler, answers: Iterable[Outgoing], now: float
) -> tuple[Outgoing, ...]:
    return (*answers, *advance(scheduler, now))


def _record_report(
    scheduler: Scheduler,
    observation: EndpointObservation,
    node: str,
    now: float,
) -> None:
    state = scheduler.pool.states.get(observation.endpoint)
    if state is None:
        return
    # Only the scheduler of the preceding term knew the limit for certain.
    follows = observation.limit_term == scheduler.term.number - 1
    if observation.limit_term and follows:
        restore_limit(state, observation)
    elif not observation.limit_term:
        granted = tuple(
            permit.granted_at
            for permit in scheduler.pool.ledger.at_endpoint(
                observation.endpoint
            )
        )
        record_observation(state, observation, node, granted, now)


def _accept_registration(
    scheduler: Scheduler, registration: Registration, now: float
) -> bool:
    """Record a registration; return whether it is accepted."""
    record_sequence = (
        scheduler.term_members.record_registration
        if registration.summary is None
        else scheduler.term_members.record_renewal
    )
    announced_at = registration.announced_at
    return record_sequence(
        registration.node,
        registration.sequence,
        now,
        now if announced_at is None else min(now, announced_at),
    )


def _update_held_permits(
    scheduler: Scheduler,
    registration: Registration,
    now: float,
    *,
    own_term: bool,
) -> None:
    """Update the permits of a node from its list or its summary."""
    if registration.summary is None:
        _apply_permit_list(scheduler, registration, now)
    elif own_term:
        matches = _apply_summary(
            scheduler, registration.node, registration.summary, now
        )
        scheduler.term_members.record_summary(
            registration.node, matches=matches
        )
    for name, state in scheduler.pool.states.items():
        _raise_limit_floor(scheduler, name, state)


def _apply_permit_list(
    scheduler: Scheduler, registration: Registration, now: float
) -> None:
    """Update the ledger from a node's full list of permits."""
    for permit in scheduler.pool.ledger.of_node(registration.node).values():
        permit.reported_tokens = None
    for held in registration.held:
        if held.endpoint in scheduler.pool.states:
            _apply_held_permit(scheduler, registration.node, held, now)


def _apply_held_permit(
    scheduler: Scheduler, node: str, held: HeldPermit, now: float
) -> None:
    key = (held.request_id, held.attempt)
    scheduler.queue.remove(key)
    permit = scheduler.pool.ledger.get(key)
    if permit is None or permit.endpoint != held.endpoint:
        permit = Permit(
            key=key,
            node=node,
            endpoint=held.endpoint,
            workspace=held.workspace,
            request_class=held.request_class,
            prompt_tokens=held.prompt_tokens,
            output_tokens=held.output_tokens,
            inherited=True,
            granted_at=now,
            renewed_at=now,
            expires_at=now,
        )
        scheduler.pool.add_permit(permit, now)
    elif held.used and permit.node != node:
        # Another node has taken over the generation.
        scheduler.pool.ledger.move(permit, node)
    _renew_permit(scheduler, permit, held.output_tokens, now, used=held.used)
    if held.used:
        permit.reported_tokens = held.output_tokens


def _apply_summary(
    scheduler: Scheduler, node: str, summary: HeldSummary, now: float
) -> bool:
    """Renew the permits of a node whose summary matches the ledger.

    On a mismatch only the permits that the summary names are renewed, and no
    permit is dropped.
    """
    known = scheduler.pool.ledger.of_node(node)
    permits = {
        fingerprint: permit
        for fingerprint, permit in known.items()
        if permit.endpoint in scheduler.pool.states
    }
    for unused in permits.keys() & summary.unused:
        _renew_permit(scheduler, permits[unused], 0, now, used=False)
    tokens = _summary_tokens(scheduler, node, permits, summary)
    if tokens is None:
        for started in permits.keys() & summary.started:
            _renew_permit(scheduler, permits[started], 0, now, used=True)
        return False
    for fingerprint, output_tokens in tokens.items():
        permits[fingerprint].reported_tokens = output_tokens
        _renew_permit(
            scheduler, permits[fingerprint], output_tokens, now, used=True
        )
    return True


def _summary_tokens(
    scheduler: Scheduler,
    node: str,
    permits: Mapping[int, Permit],
    summary: HeldSummary,
) -> Mapping[int, int] | None:
    """Return the output tokens of permits in use; ``None`` on a mismatch."""
    started = frozenset(summary.started)
    named = started.union(summary.unused)
    if (
        not scheduler.term_members.knows_permits(node)
        or not named <= permits.keys()
    ):
        return None
    listed = {
        fingerprint: permit.reported_tokens or 0
        for fingerprint, permit in permits.items()
        if permit.reported_tokens is not None or fingerprint in started
    }
    return renewed_tokens(listed, summary)


def _renew_permit(
    scheduler: Scheduler,
    permit: Permit,
    output_tokens: int,
    now: float,
    *,
    used: bool,
) -> None:
    """Extend a permit that its node still holds by another lease."""
    _record_progress(scheduler, permit, output_tokens, now)
    permit.used = used or permit.used
    permit.renewed_at = now
    expires_at = now + scheduler.timing.permit_lease
    if permit.used:
        expires_at += scheduler.timing.orphan_lifetime
    scheduler.pool.ledger.set_expiry(permit, expires_at)


def _record_progress(
    scheduler: Scheduler, permit: Permit, output_tokens: int, now: float
) -> None:
    """Record the tokens generated since a permit was last reported."""
    new_tokens = output_tokens - permit.output_tokens
    state = scheduler.pool.states[permit.endpoint]
    service = scheduler.pool.service
    if new_tokens <= 0 or service is None:
        return
    state.memory_demand = None
    permit.memory_demand = None
    if permit.output_tokens:
        record_token_gap(
            state,
            (now - permit.renewed_at) * 1000 / new_tokens,
            service.token_gap_target_ms,
            scheduler.pool.ledger.count_at_endpoint(permit.endpoint),
            now,
        )
    else:
        record_success(state.ramp)
    permit.output_tokens = output_tokens


def _raise_limit_floor(
    scheduler: Scheduler, name: str, state: EndpointState
) -> None:
    """Keep the limit at or above the load inherited from earlier terms."""
    if scheduler.term_members.had_full_share:
        return
    raise_limit_floor(
        state,
        sum(
            permit.inherited and permit.output_tokens > 0
            for permit in scheduler.pool.ledger.at_endpoint(name)
        ),
    )


def _drop_withdrawn(scheduler: Scheduler, registration: Registration) -> None:
    """Remove queued requests that their node no longer waits for.

    Permits that the node no longer lists are left to expire: the grant may have
    crossed the registration, or the node has restarted and its engine still
    runs the request for a while.
    """
    waiting = {
        (waiting_request.request_id, waiting_request.attempt)
        for waiting_request in registration.waiting
    }
    for entry in scheduler.queue:
        of_node = entry.request.node == registration.node
        if of_node and entry.key not in waiting:
            scheduler.queue.remove(entry.key)


def _enqueue(
    scheduler: Scheduler, request: PermitRequest, now: float
) -> Iterator[Outgoing]:
    """Queue a request unless it is known or over a limit."""
    key = (request.request_id, request.attempt)
    permit = scheduler.pool.ledger.get(key)
    if permit is not None:
        yield from _repeat_grant(scheduler, permit, now)
        return
    if key in scheduler.queue:
        return
    kind = _refusal_kind(scheduler, request)
    if kind is not None:
        yield _refuse(scheduler, request, kind)
        return
    yield from _shed_newest(scheduler)
    scheduler.queue.add(
        QueuedRequest(
            request=request,
            queued_at=now - request.waited_ms / 1000,
            deadline_at=now + request.deadline_ms / 1000,
            cost=expected_cost(scheduler, request),
            memory_demand=expected_memory(scheduler, request),
        )
    )


def _refusal_kind(
    scheduler: Scheduler, request: PermitRequest
) -> ErrorKind | None:
    """Return why a request cannot be queued; ``None`` if it can."""
    try:
        workspace = scheduler.pool.catalogue.workspace(
            request.workspace, scheduler.service
        )
    except MastichatchError as error:
        return error.kind
    service = scheduler.pool.service
    if service is None or not _has_eligible_endpoint(scheduler, request):
        return ErrorKind.no_endpoint
    waiting = scheduler.queue.count(workspace.name)
    if waiting >= workspace.waiting_limit:
        return ErrorKind.workspace_limit
    if _is_queue_full(scheduler):
        newest = scheduler.queue.newest_of_largest_workspace()
        largest_count = newest and scheduler.queue.count(
            newest.request.workspace
        )
        if waiting + 1 >= (largest_count or 0):
            return ErrorKind.queue_full
    return None


def _count_attempt(
    scheduler: Scheduler, request: PermitRequest
) -> ErrorKind | None:
    """Count a new attempt in the service's retry budget.

    Returns the error kind of the refusal if the budget does not cover a retry.
    """
    service = scheduler.pool.service
    key = (request.request_id, request.attempt)
    known = key in scheduler.queue or scheduler.pool.ledger.get(key) is not None
    if service is None or known:
        return None
    if not request.attempt:
        scheduler.earn_retry(service.retry_budget_percent)
    elif not scheduler.spend_retry(service.retry_budget_percent):
        return ErrorKind.queue_full
    return None


def _is_queue_full(scheduler: Scheduler) -> bool:
    service = scheduler.pool.service
    return service is not None and len(scheduler.queue) >= service.queue_limit


def _shed_newest(scheduler: Scheduler) -> Iterator[Outgoing]:
    """Refuse the newest request of the largest workspace if the queue is full.

    The largest workspace is the one with the most requests waiting.
    """
    newest = scheduler.queue.newest_of_largest_workspace()
    if newest is not None and _is_queue_full(scheduler):
        yield _refuse(scheduler, newest.request, ErrorKind.queue_full)


def _has_eligible_endpoint(
    scheduler: Scheduler, request: PermitRequest
) -> bool:
    return any(
        name not in request.excluded for name in scheduler.pool.names_in_service
    )


def _refuse_unservable(scheduler: Scheduler, now: float) -> Iterator[Outgoing]:
    """Refuse requests past their deadline or without an endpoint in service."""
    for entry in scheduler.queue:
        if entry.deadline_at <= now:
            yield _refuse(scheduler, entry.request, ErrorKind.queue_deadline)
        elif not _has_eligible_endpoint(scheduler, entry.request):
            yield _refuse(scheduler, entry.request, ErrorKind.no_endpoint)


def _refuse(
    scheduler: Scheduler, request: PermitRequest, kind: ErrorKind
) -> Outgoing:
    scheduler.queue.remove((request.request_id, request.attempt))
    return Outgoing(
        node=request.node,
        message=PermitRefusal(
            request_id=request.request_id,
            attempt=request.attempt,
            service=scheduler.service,
            kind=kind,
        ),
    )


def _repeat_grant(
    scheduler: Scheduler, permit: Permit, now: float
) -> Iterator[Outgoing]:
    """Repeat a grant that its node seems not to have received."""
    if permit.used or now - permit.granted_at < GRANT_REPEAT_INTERVAL_S:
        return
    if scheduler.pool.is_in_service(permit.endpoint) and renew_lease(
        scheduler, permit, now
    ):
        scheduler.pool.ledger.set_expiry(permit, permit.expires_at)
        yield _send_grant(
            scheduler, Grant(permit=permit, candidates=(), reason='repeated')
        )


def _send_grant(scheduler: Scheduler, grant: Grant) -> Outgoing:
    return Outgoing(
        node=grant.permit.node, message=grant_message(scheduler, grant)
    )


def _expire(scheduler: Scheduler, now: float) -> None:
    """Stop counting permits whose leases have expired.

    A node that went silent after a grant may have used the permit. The permit
    then counts for as long as an engine keeps running a request without its
    node.
    """
    for permit in scheduler.pool.ledger.expired_permits(now):
        covered = scheduler.term_members.covered_sequence(permit.node)
        silent = covered is None or covered <= permit.registration
        if silent and not permit.used:
            permit.used = True
            scheduler.pool.ledger.set_expiry(
                permit, now + scheduler.timing.orphan_lifetime
            )
        else:
            scheduler.pool.expire_permit(permit)


def _record_short_generation(
    scheduler: Scheduler,
    state: EndpointState,
    permit: Permit,
    release: PermitRelease,
    now: float,
) -> None:
    """Record the time between tokens of a short generation.

    Longer generations are measured from the registrations. A generation that
    ends between two registrations is measured here; otherwise a limit lowered
    by slow tokens could not rise again where all generations are short.
    """
    service = scheduler.pool.service
    if service is None or permit.output_tokens or not release.gap_ms:
        return
    record_token_gap(
        state,
        release.gap_ms,
        service.token_gap_target_ms,
        scheduler.pool.ledger.count_at_endpoint(release.endpoint) + 1,
        now,
    )


def _record_completion(
    scheduler: Scheduler, permit: Permit, release: PermitRelease, now: float
) -> None:
    """Record a completed output's length and charge its actual cost."""
    if release.outcome != PermitOutcome.completed:
        return
    scheduler.lengths.record(
        permit.workspace, permit.request_class, release.output_tokens
    )
    cost = actual_cost(permit.prompt_tokens, release.output_tokens)
    scheduler.pool.throughput.record(cost, now)
    workspace = scheduler.pool.workspace(permit.workspace)
    if workspace is None or permit.inherited:
        return
    scheduler.queue.charge(
        permit.workspace,
        permit.request_class,
        cost - permit.cost,
        workspace.weight,
    )


def _recall_unused(scheduler: Scheduler) -> Iterable[Outgoing]:
    """Recall unused permits for endpoints that are out of service."""
    return tuple(
        Outgoing(
            node=permit.node,
            message=PermitRecall(
                request_id=permit.key[0],
                attempt=permit.key[1],
                service=scheduler.service,
                term=scheduler.term,
            ),
        )
        for permit in scheduler.pool.ledger
        if not permit.used and not scheduler.pool.is_in_service(permit.endpoint)
    )


__all__ = [
    'Outgoing',
    'PermitKey',
    'Scheduler',
    'Timing',
    'advance',
    'cancel',
    'observe',
    'open_scheduler',
    'export_limits',
    'register',
    'release',
    'request',
    'set_catalogue',
    'set_leaving_hosts',
    'set_members',
    'needs_permit_list',
]
