"""Grants permits for the endpoints of one service in one data centre."""

import dataclasses
from collections.abc import Iterable

from mastichatch_core.admission import (
    EndpointState,
    admits,
    create_endpoint_state,
    free_places,
    note_observation,
    note_release,
)
from mastichatch_core.catalogue import Catalogue
from mastichatch_core.errors import MastichatchError
from mastichatch_core.fairness import FairQueue, PermitKey, Waiting
from mastichatch_core.generated.messages import (
    CandidateScore,
    EndpointObservation,
    ErrorKind,
    HeldPermit,
    PermitCancel,
    PermitGrant,
    PermitRecall,
    PermitRefusal,
    PermitRelease,
    PermitRequest,
    Registration,
    RequestClass,
    Term,
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Outgoing:
    """A message that the scheduler wants sent.

    :param node: name of the receiving node
    :param message: what it is told
    """

    node: str
    message: PermitGrant | PermitRefusal | PermitRecall


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Timing:
    """Times that the scheduler keeps to, in seconds.

    :param permit_lease: time within which a granted permit must be used
    :param member_timeout: silence after which a node counts as unreachable
    """

    permit_lease: float = 2.0
    member_timeout: float = 1.5


@dataclasses.dataclass(slots=True, kw_only=True)
class Permit:
    """A permit that counts against an endpoint.

    :param key: request id and attempt
    :param node: node that holds it
    :param endpoint: endpoint that it allows
    :param workspace: workspace of the request
    :param request_class: class of the request
    :param prompt_tokens: length of the prompt
    :param output_tokens: tokens generated so far
    :param used: whether the request was sent to the endpoint
    :param granted_at: when it was granted, in seconds
    :param expires_at: when it lapses unless it is renewed, in seconds
    """

    key: PermitKey
    node: str
    endpoint: str
    workspace: str
    request_class: RequestClass
    prompt_tokens: int
    output_tokens: int = 0
    used: bool = False
    granted_at: float
    expires_at: float


class Scheduler:
    """All that one scheduler knows; changed by this module's functions."""

    def __init__(
        self,
        term: Term,
        catalogue: Catalogue,
        service: str,
        data_centre: str,
        timing: Timing,
        now: float,
    ) -> None:
        """Start without members, permits or requests."""
        self._term = term
        self._catalogue = catalogue
        self._service = service
        self._data_centre = data_centre
        self._timing = timing
        self._opened_at = now
        self._queue = FairQueue()
        self._permits: dict[PermitKey, Permit] = {}
        self._endpoints: dict[str, EndpointState] = {}
        self._leaving: frozenset[str] = frozenset()
        self._expected: frozenset[str] = frozenset()
        self._heard: frozenset[str] = frozenset()
        self._registered: dict[str, float] = {}

    @property
    def service(self) -> str:
        """Name of the service."""
        return self._service

    @property
    def data_centre(self) -> str:
        """Name of the data centre."""
        return self._data_centre

    @property
    def term(self) -> Term:
        """Term that grants carry."""
        return self._term

    @property
    def waiting_count(self) -> int:
        """Number of waiting requests."""
        return len(self._queue)

    @property
    def permit_count(self) -> int:
        """Number of permits that count against endpoints."""
        return len(self._permits)

    @property
    def free_count(self) -> int:
        """Number of permits that could be granted now."""
        return sum(
            free_places(state, self._running(name))
            for name, state in self._endpoints.items()
            if self._in_use(name)
        )

    def oldest_wait_ms(self, now: float) -> float:
        """Return the wait of the oldest request.

        :param now: time in seconds
        :returns: the wait in milliseconds; zero without a request
        """
        oldest = min((entry.queued_at for entry in self._queue), default=now)
        return (now - oldest) * 1000

    def _running(self, endpoint: str) -> int:
        return sum(
            permit.endpoint == endpoint for permit in self._permits.values()
        )

    def _in_use(self, endpoint: str) -> bool:
        described = self._catalogue.endpoints[endpoint]
        return (
            not self._catalogue.is_drained(described)
            and described.host not in self._leaving
        )


def open_scheduler(
    term: Term,
    catalogue: Catalogue,
    service: str,
    data_centre: str,
    now: float,
    *,
    timing: Timing | None = None,
) -> Scheduler:
    """Return a scheduler that waits for registrations.

    :param term: term that is higher than any seen
    :param catalogue: configuration in force
    :param service: name of the service
    :param data_centre: name of the data centre
    :param now: time in seconds
    :param timing: times that it keeps to
    """
    scheduler = Scheduler(
        term, catalogue, service, data_centre, timing or Timing(), now
    )
    set_catalogue(scheduler, catalogue, now)
    return scheduler


def set_catalogue(
    scheduler: Scheduler, catalogue: Catalogue, now: float
) -> tuple[Outgoing, ...]:
    """Take over a configuration.

    :param scheduler: the scheduler
    :param catalogue: configuration in force
    :param now: time in seconds
    :returns: recalls of unused permits for endpoints out of service, grants
    """
    scheduler._catalogue = catalogue
    described = catalogue.endpoints_of(
        scheduler._service, scheduler._data_centre
    )
    scheduler._endpoints = {
        endpoint.name: create_endpoint_state(
            endpoint, scheduler._endpoints.get(endpoint.name), now
        )
        for endpoint in described
    }
    return (*_recall(scheduler), *advance(scheduler, now))


def set_leaving(
    scheduler: Scheduler, hosts: frozenset[str], now: float
) -> tuple[Outgoing, ...]:
    """Note the hosts that the host list calls leaving.

    :param scheduler: the scheduler
    :param hosts: names of the hosts
    :param now: time in seconds
    :returns: recalls of unused permits for endpoints on them, grants
    """
    scheduler._leaving = hosts
    return (*_recall(scheduler), *advance(scheduler, now))


def set_members(
    scheduler: Scheduler,
    expected: frozenset[str],
    heard: frozenset[str],
    now: float,
) -> tuple[Outgoing, ...]:
    """Note the nodes of the data centre.

    :param scheduler: the scheduler
    :param expected: names of the nodes that should be there
    :param heard: names of the nodes that answer
    :param now: time in seconds
    """
    scheduler._expected = expected
    scheduler._heard = heard
    return _grant_ready(scheduler, now)


def register(
    scheduler: Scheduler, registration: Registration, now: float
) -> tuple[Outgoing, ...]:
    """Take over what a node holds and waits for, and renew its permits.

    :param scheduler: the scheduler
    :param registration: all that the node holds
    :param now: time in seconds
    """
    scheduler._registered[registration.node] = now
    for held in registration.held:
        _hold(scheduler, registration.node, held, now)
    kept = {(item.request_id, item.attempt) for item in registration.held}
    kept.update(
        (asked.request_id, asked.attempt) for asked in registration.waiting
    )
    for key, permit in tuple(scheduler._permits.items()):
        gone = permit.node == registration.node and key not in kept
        if gone and permit.used:
            scheduler._permits.pop(key)
    outgoing: list[Outgoing] = []
    for item in registration.waiting:
        outgoing.extend(_enqueue(scheduler, item, now))
    for observation in registration.observations:
        _observe(scheduler, observation, now)
    outgoing.extend(advance(scheduler, now))
    return tuple(outgoing)


def request(
    scheduler: Scheduler, request: PermitRequest, now: float
) -> tuple[Outgoing, ...]:
    """Queue a request, or refuse it.

    :param scheduler: the scheduler
    :param request: what a node asks for
    :param now: time in seconds
    """
    refusals = _enqueue(scheduler, request, now)
    return (*refusals, *advance(scheduler, now))


def release(
    scheduler: Scheduler, release: PermitRelease, now: float
) -> tuple[Outgoing, ...]:
    """End a permit and learn from its outcome.

    :param scheduler: the scheduler
    :param release: how the permit ended
    :param now: time in seconds
    """
    scheduler._permits.pop((release.request_id, release.attempt), None)
    state = scheduler._endpoints.get(release.endpoint)
    if state is not None:
        note_release(state, release, now)
    return advance(scheduler, now)


def cancel(
    scheduler: Scheduler, cancel: PermitCancel, now: float
) -> tuple[Outgoing, ...]:
    """Withdraw a request, waiting or granted.

    :param scheduler: the scheduler
    :param cancel: which request
    :param now: time in seconds
    """
    key = (cancel.request_id, cancel.attempt)
    scheduler._queue.remove(key)
    permit = scheduler._permits.get(key)
    if permit is not None and not permit.used:
        scheduler._permits.pop(key)
    return advance(scheduler, now)


def observe(
    scheduler: Scheduler, observation: EndpointObservation, now: float
) -> tuple[Outgoing, ...]:
    """Note what a node saw of an endpoint.

    :param scheduler: the scheduler
    :param observation: the report
    :param now: time in seconds
    """
    _observe(scheduler, observation, now)
    return advance(scheduler, now)


def advance(scheduler: Scheduler, now: float) -> tuple[Outgoing, ...]:
    """Let leases and deadlines run out, and grant what can be granted.

    :param scheduler: the scheduler
    :param now: time in seconds
    """
    for key, permit in tuple(scheduler._permits.items()):
        if permit.expires_at <= now:
            scheduler._permits.pop(key)
    refusals = tuple(
        _refuse(scheduler, entry.request, ErrorKind.queue_deadline)
        for entry in scheduler._queue
        if entry.deadline_at <= now
    )
    return (*refusals, *_grant_ready(scheduler, now))


def _grant_ready(scheduler: Scheduler, now: float) -> tuple[Outgoing, ...]:
    return tuple(_grant_all(scheduler, now)) if _ready(scheduler, now) else ()


def _ready(scheduler: Scheduler, now: float) -> bool:
    """Return whether every heard member has registered, or time is up."""
    if now - scheduler._opened_at >= scheduler._timing.member_timeout:
        return True
    members = scheduler._heard
    return bool(members) and members <= scheduler._registered.keys()


def _observe(
    scheduler: Scheduler, observation: EndpointObservation, now: float
) -> None:
    state = scheduler._endpoints.get(observation.endpoint)
    if state is not None:
        note_observation(state, observation, now)


def _hold(
    scheduler: Scheduler, node: str, held: HeldPermit, now: float
) -> None:
    """Count a permit that a node says it holds."""
    key = (held.request_id, held.attempt)
    scheduler._queue.remove(key)
    known = scheduler._permits.get(key)
    scheduler._permits[key] = Permit(
        key=key,
        node=node,
        endpoint=held.endpoint,
        workspace=held.workspace,
        request_class=held.request_class,
        prompt_tokens=held.prompt_tokens,
        output_tokens=held.output_tokens,
        used=held.used,
        granted_at=now if known is None else known.granted_at,
        expires_at=now + scheduler._timing.permit_lease,
    )


def _enqueue(
    scheduler: Scheduler, request: PermitRequest, now: float
) -> Iterable[Outgoing]:
    """Queue a request unless it is known or over a limit."""
    key = (request.request_id, request.attempt)
    permit = scheduler._permits.get(key)
    if permit is not None:
        return (_grant_again(scheduler, permit, now),)
    if key in scheduler._queue:
        return ()
    kind = _limit_reached(scheduler, request)
    if kind is not None:
        return (_refuse(scheduler, request, kind),)
    scheduler._queue.add(
        Waiting(
            request=request,
            queued_at=now - request.waited_ms / 1000,
            deadline_at=now + request.deadline_ms / 1000,
            cost=1.0,
        )
    )
    return ()


def _limit_reached(
    scheduler: Scheduler, request: PermitRequest
) -> ErrorKind | None:
    try:
        workspace = scheduler._catalogue.workspace(
            request.workspace, scheduler._service
        )
    except MastichatchError as error:
        return error.kind
    service = scheduler._catalogue.services.get(scheduler._service)
    if service is None or not scheduler._endpoints:
        return ErrorKind.no_endpoint
    if scheduler._queue.count(workspace.name) >= workspace.waiting_limit:
        return ErrorKind.workspace_limit
    if len(scheduler._queue) >= service.queue_limit:
        return ErrorKind.queue_full
    return None


def _grant_all(scheduler: Scheduler, now: float) -> Iterable[Outgoing]:
    outgoing: list[Outgoing] = []
    granted = True
    while granted:
        granted = False
        for entry in scheduler._queue.heads():
            grant = _grant(scheduler, entry, now)
            if grant is not None:
                outgoing.append(grant)
                granted = True
                break
    return outgoing


def _grant(scheduler: Scheduler, entry: Waiting, now: float) -> Outgoing | None:
    request = entry.request
    workspace = scheduler._catalogue.workspaces.get(request.workspace)
    if workspace is None:
        return None
    held = sum(
        permit.workspace == workspace.name
        for permit in scheduler._permits.values()
    )
    if held >= workspace.running_limit:
        return None
    candidates = _candidates(scheduler, request, now)
    if not candidates:
        return None
    choice = max(candidates, key=lambda candidate: candidate.score)
    scheduler._queue.remove(entry.key)
    scheduler._queue.charge(entry, workspace.weight)
    permit = Permit(
        key=entry.key,
        node=request.node,
        endpoint=choice.endpoint,
        workspace=request.workspace,
        request_class=request.request_class,
        prompt_tokens=request.prompt_tokens,
        granted_at=now,
        expires_at=now + scheduler._timing.permit_lease,
    )
    scheduler._permits[entry.key] = permit
    return _outgoing_grant(scheduler, permit, candidates)


def _candidates(
    scheduler: Scheduler, request: PermitRequest, now: float
) -> tuple[CandidateScore, ...]:
    return tuple(
        CandidateScore(
            endpoint=name,
            score=float(free_places(state, scheduler._running(name))),
        )
        for name, state in scheduler._endpoints.items()
        if name not in request.excluded
        and scheduler._in_use(name)
        and admits(state, scheduler._running(name), now)
    )


def _grant_again(scheduler: Scheduler, permit: Permit, now: float) -> Outgoing:
    """Repeat a grant that the node may not have received."""
    permit.expires_at = now + scheduler._timing.permit_lease
    return _outgoing_grant(scheduler, permit, ())


def _outgoing_grant(
    scheduler: Scheduler,
    permit: Permit,
    candidates: tuple[CandidateScore, ...],
) -> Outgoing:
    return Outgoing(
        node=permit.node,
        message=PermitGrant(
            request_id=permit.key[0],
            attempt=permit.key[1],
            service=scheduler._service,
            endpoint=permit.endpoint,
            term=scheduler._term,
            lease_ms=scheduler._timing.permit_lease * 1000,
            candidates=candidates,
            reason='most free places',
        ),
    )


def _refuse(
    scheduler: Scheduler, request: PermitRequest, kind: ErrorKind
) -> Outgoing:
    scheduler._queue.remove((request.request_id, request.attempt))
    return Outgoing(
        node=request.node,
        message=PermitRefusal(
            request_id=request.request_id,
            attempt=request.attempt,
            service=scheduler._service,
            kind=kind,
        ),
    )


def _recall(scheduler: Scheduler) -> Iterable[Outgoing]:
    """Recall unused permits for endpoints that are out of service."""
    outgoing: list[Outgoing] = []
    for permit in scheduler._permits.values():
        known = permit.endpoint in scheduler._endpoints
        if permit.used or (known and scheduler._in_use(permit.endpoint)):
            continue
        outgoing.append(
            Outgoing(
                node=permit.node,
                message=PermitRecall(
                    request_id=permit.key[0],
                    attempt=permit.key[1],
                    service=scheduler._service,
                    term=scheduler._term,
                ),
            )
        )
    return outgoing
