"""Requests, holds, renews and releases permits on behalf of a node.

A permit allows one attempt at one endpoint. The scheduler of the endpoint's
service and data centre grants it. This module keeps the node's waiting
requests and held permits, and registers them with the scheduler that has the
highest term.
"""

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator, Callable, Iterable
from typing import Final

from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.messages import (
    EndpointObservation,
    Envelope,
    ErrorKind,
    HeldPermit,
    MessageKind,
    PermitCancel,
    PermitGrant,
    PermitOutcome,
    PermitRecall,
    PermitRefusal,
    PermitRelease,
    PermitRequest,
    Registration,
    SchedulerOpen,
    ServiceLoad,
    Term,
)
from mastichatch_core.renewal import ReportedPermits
from mastichatch_core.units import MS_PER_S
from mastichatch_node.clock import loop_time
from mastichatch_node.links import (
    SchedulerScope,
    SchedulerLinks,
    scheduler_scope,
)
from mastichatch_node.membership import Membership
from mastichatch_node.peers import Peers

_ANSWER_GRACE_S: Final = 1.0
SEARCH_INTERVAL_S: Final = 0.5
_UNKNOWN_TERM: Final = Term(number=0, incarnation='')


@dataclasses.dataclass(frozen=True, slots=True)
class _PermitKey:
    request_id: str
    attempt: int


@dataclasses.dataclass(slots=True)
class _Waiting:
    request: PermitRequest
    future: asyncio.Future[PermitGrant]
    since: float


@dataclasses.dataclass(slots=True)
class _Held:
    request: PermitRequest
    grant: PermitGrant
    expires_at: float
    used: bool = False
    output_tokens: int = 0


class Permits:
    """The node's waiting requests and held permits at every scheduler."""

    def __init__(
        self,
        peers: Peers,
        membership: Membership,
    ) -> None:
        """Start with no waiting request and no held permit.

        :param peers: connections to other nodes
        :param membership: live nodes, which tell who hosts a scheduler
        """
        self._membership = membership
        self._waiting: dict[_PermitKey, _Waiting] = {}
        self._held: dict[_PermitKey, _Held] = {}
        self._repeats = 0
        self._links = SchedulerLinks(peers, membership)
        self._listeners: list[Callable[[SchedulerOpen], None]] = []
        self._observations: Callable[
            [str],
            tuple[EndpointObservation, ...],
        ] = _no_observations

    def set_observation_source(
        self,
        observations: Callable[[str], tuple[EndpointObservation, ...]],
    ) -> None:
        """Set the source of the endpoint observations in registrations.

        :param observations: returns this node's latest observations of a
            service's endpoints
        """
        self._observations = observations

    def add_listener(self, listener: Callable[[SchedulerOpen], None]) -> None:
        """Add a listener for scheduler announcements.

        :param listener: called with each announcement, before it is answered
        """
        self._listeners.append(listener)

    def highest_term(self, service: str, data_centre: str) -> int:
        """Return the highest term number seen, or zero if none was.

        :param service: name of the service
        :param data_centre: data centre of the scheduler
        """
        known = self._links.get(SchedulerScope(service, data_centre))
        return 0 if known is None else known.term.number

    def load(self, service: str, data_centre: str) -> ServiceLoad | None:
        """Return the load that a scheduler last announced, if any.

        :param service: name of the service
        :param data_centre: data centre of the scheduler
        """
        known = self._links.get(SchedulerScope(service, data_centre))
        return None if known is None else known.load

    async def acquire(self, request: PermitRequest) -> PermitGrant:
        """Wait for a permit.

        The grant names the request by another id if the node has one of the
        same id in progress: callers choose ids, and may send one twice.

        :param request: the request; its ``data_centre`` selects the scheduler
        :raises MastichatchError: if the scheduler refuses or does not answer
            within the request's deadline; nothing has run in that case
        """
        request = self._distinguish(request)
        key = _PermitKey(request.request_id, request.attempt)
        loop = asyncio.get_running_loop()
        future: asyncio.Future[PermitGrant] = loop.create_future()
        self._waiting[key] = _Waiting(request, future, loop.time())
        self._links.send_to_scheduler(
            scheduler_scope(request),
            MessageKind.permit_request,
            request,
        )
        timeout_s = request.deadline_ms / MS_PER_S + _ANSWER_GRACE_S
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            raise MastichatchError(ErrorKind.queue_deadline) from None
        finally:
            del self._waiting[key]
            self._withdraw_unless_granted(request, future)

    def still_valid(self, grant: PermitGrant) -> bool:
        """Return whether a permit may still be used.

        A permit in use stays valid; an unused one expires with its lease.

        :param grant: what :meth:`acquire` returned
        """
        held = self._held.get(_PermitKey(grant.request_id, grant.attempt))
        if held is None or held.grant is not grant:
            return False
        return held.used or loop_time() < held.expires_at

    def mark_used(self, grant: PermitGrant) -> None:
        """Mark a permit as used, just before the request is sent.

        :param grant: what :meth:`acquire` returned
        """
        held = self._held.get(_PermitKey(grant.request_id, grant.attempt))
        if held is not None:
            held.used = True

    def note_progress(self, grant: PermitGrant, output_tokens: int) -> None:
        """Record the progress of a generation.

        :param grant: what :meth:`acquire` returned
        :param output_tokens: tokens generated so far
        """
        held = self._held.get(_PermitKey(grant.request_id, grant.attempt))
        if held is not None:
            held.output_tokens = output_tokens

    def adopt(self, request: PermitRequest, endpoint: str) -> PermitGrant:
        """Hold a permit for work that runs already, without a grant.

        The next registration reports it to the scheduler, which then counts it.

        :param request: the request that continues
        :param endpoint: name of the endpoint where it runs
        """
        request = self._distinguish(request)
        grant = PermitGrant(
            request_id=request.request_id,
            attempt=request.attempt,
            service=request.service,
            endpoint=endpoint,
            term=_UNKNOWN_TERM,
            lease_ms=0,
            reason='adopted',
        )
        key = _PermitKey(request.request_id, request.attempt)
        self._held[key] = _Held(request, grant, loop_time(), used=True)
        self._register(scheduler_scope(request))
        return grant

    def release(
        self,
        grant: PermitGrant,
        outcome: PermitOutcome,
        *,
        output_tokens: int = 0,
        first_token_ms: float = 0,
        gap_ms: float = 0,
    ) -> None:
        """Release a permit; a second release has no effect.

        :param grant: what :meth:`acquire` returned
        :param outcome: outcome of the attempt
        :param output_tokens: number of tokens generated
        :param first_token_ms: time from send to first token, in milliseconds
        :param gap_ms: mean time between tokens, in milliseconds
        """
        key = _PermitKey(grant.request_id, grant.attempt)
        held = self._held.get(key)
        if held is None or held.grant is not grant:
            return
        del self._held[key]
        release = dataclasses.replace(
            _build_release(grant, outcome),
            output_tokens=output_tokens,
            first_token_ms=first_token_ms,
            gap_ms=gap_ms,
        )
        self._links.send_to_scheduler(
            scheduler_scope(held.request), MessageKind.permit_release, release
        )

    async def on_open(self, message: SchedulerOpen, envelope: Envelope) -> None:
        """Register with an announced scheduler, or correct its outdated term.

        :param message: the announcement
        :param envelope: envelope with the sender's address
        """
        for listener in self._listeners:
            listener(message)
        scope = SchedulerScope(message.service, message.data_centre)
        if self._links.record_announcement(message, envelope.sender):
            self._register(scope, summarized=not message.list_wanted)
        elif self._links.is_announcement_overdue(scope):
            # The node of a scheduler does not know the highest term in use if
            # it has been restarted.
            self._links.report_higher_term(
                envelope.sender, self._build_registration(scope)
            )

    def find_schedulers(self) -> None:
        """Search for needed schedulers that have stopped announcing themselves.

        A new scheduler knows only the nodes of its own data centre, and a
        message to a scheduler that no longer runs is lost.
        """
        requests = (
            *(waiting.request for waiting in self._waiting.values()),
            *(held.request for held in self._held.values()),
        )
        needed = {scheduler_scope(request) for request in requests}
        for scope in needed:
            if self._links.is_announcement_overdue(scope):
                self._links.register_through_any_node(
                    scope, self._build_registration(scope)
                )

    async def on_grant(self, message: PermitGrant, envelope: Envelope) -> None:
        """Accept a grant of the highest term, or release an unwanted one.

        :param message: the grant
        :param envelope: envelope with the sender's address
        """
        key = _PermitKey(message.request_id, message.attempt)
        waiting = self._waiting.get(key)
        if key in self._held:
            return
        if waiting is None or waiting.future.done():
            release = _build_release(message, PermitOutcome.unused)
            self._links.release_unused_grant(envelope.sender, release)
            return
        expires_at = self._links.lease_end(waiting.request, message)
        if expires_at is None:
            return
        self._held[key] = _Held(waiting.request, message, expires_at)
        waiting.future.set_result(message)

    async def on_refusal(
        self,
        message: PermitRefusal,
        envelope: Envelope,
    ) -> None:
        """Fail a waiting request that the scheduler refused.

        A duplicated refusal must not fail the same request while it waits at
        the next data centre, so only the current scheduler's refusal counts.

        :param message: the refusal
        :param envelope: envelope with the sender's address
        """
        waiting = self._waiting.get(
            _PermitKey(message.request_id, message.attempt)
        )
        if waiting is None or waiting.future.done():
            return
        if self._links.is_from_scheduler(
            scheduler_scope(waiting.request), envelope.sender
        ):
            waiting.future.set_exception(MastichatchError(message.kind))

    async def on_recall(
        self,
        message: PermitRecall,
        envelope: Envelope,
    ) -> None:
        """Release a recalled permit that has not been used yet.

        :param message: the permit to release
        :param envelope: envelope with the sender's address
        """
        held = self._held.get(_PermitKey(message.request_id, message.attempt))
        if held is None or held.used:
            return
        if self._links.is_from_scheduler(
            scheduler_scope(held.request), envelope.sender
        ):
            self.release(held.grant, PermitOutcome.unused)

    def _distinguish(self, request: PermitRequest) -> PermitRequest:
        """Return a request with an id that no other one in progress has."""
        key = _PermitKey(request.request_id, request.attempt)
        if key not in self._waiting and key not in self._held:
            return request
        self._repeats += 1
        return dataclasses.replace(
            request, request_id=f'{request.request_id}/{self._repeats}'
        )

    def _withdraw_unless_granted(
        self,
        request: PermitRequest,
        future: asyncio.Future[PermitGrant],
    ) -> None:
        key = _PermitKey(request.request_id, request.attempt)
        if not future.done() or future.cancelled():
            cancel = PermitCancel(
                request_id=request.request_id,
                attempt=request.attempt,
                service=request.service,
            )
            self._links.send_to_scheduler(
                scheduler_scope(request), MessageKind.permit_cancel, cancel
            )
        elif future.exception() is None and _is_task_cancelled():
            self.release(self._held[key].grant, PermitOutcome.unused)

    def _register(
        self, scope: SchedulerScope, *, summarized: bool = False
    ) -> None:
        if self._links.get(scope) is not None:
            registration = self._build_registration(
                scope, summarized=summarized
            )
            self._links.send_to_scheduler(
                scope, MessageKind.registration, registration
            )

    def _build_registration(
        self, scope: SchedulerScope, *, summarized: bool = False
    ) -> Registration:
        """Build a registration of held permits and waiting requests.

        :param scope: service and data centre of the scheduler
        :param summarized: whether a summary of the held permits suffices,
            because the scheduler knows the list reported before
        """
        link = self._links.get(scope)
        now = loop_time()
        held = _held_in_scope(self._held.values(), scope)
        reported = ReportedPermits() if link is None else link.reported_permits
        summary = reported.summarize(held, now) if summarized else None
        registration = Registration(
            service=scope.service,
            node=self._membership.own.name,
            term=_UNKNOWN_TERM if link is None else link.term,
            sequence=0 if link is None else link.next_sequence(now),
            announced_at=None if link is None else link.announced_at,
            summary=summary,
            waiting=_waiting_in_scope(self._waiting.values(), scope),
        )
        if summary is not None:
            return registration
        reported.record_list(held, now)
        return dataclasses.replace(
            registration,
            held=held,
            observations=self._observations(scope.service),
        )


@contextlib.asynccontextmanager
async def open_permits(
    peers: Peers,
    membership: Membership,
) -> AsyncIterator[Permits]:
    """Open the node's permits and handle messages from schedulers.

    :param peers: connections to other nodes
    :param membership: live nodes, which tell who hosts a scheduler
    """
    permits = Permits(peers, membership)
    peers.on(MessageKind.scheduler_open, SchedulerOpen, permits.on_open)
    peers.on(MessageKind.permit_grant, PermitGrant, permits.on_grant)
    peers.on(MessageKind.permit_refusal, PermitRefusal, permits.on_refusal)
    peers.on(MessageKind.permit_recall, PermitRecall, permits.on_recall)
    task = asyncio.create_task(_find_schedulers_regularly(permits))
    try:
        yield permits
    finally:
        task.cancel()


async def _find_schedulers_regularly(permits: Permits) -> None:
    while True:
        await asyncio.sleep(SEARCH_INTERVAL_S)
        permits.find_schedulers()


def _build_release(grant: PermitGrant, outcome: PermitOutcome) -> PermitRelease:
    return PermitRelease(
        request_id=grant.request_id,
        attempt=grant.attempt,
        service=grant.service,
        endpoint=grant.endpoint,
        outcome=outcome,
    )


def _held_in_scope(
    all_held: Iterable[_Held],
    scope: SchedulerScope,
) -> tuple[HeldPermit, ...]:
    return tuple(
        HeldPermit(
            request_id=held.request.request_id,
            attempt=held.request.attempt,
            endpoint=held.grant.endpoint,
            workspace=held.request.workspace,
            request_class=held.request.request_class,
            prompt_tokens=held.request.prompt_tokens,
            output_tokens=held.output_tokens,
            used=held.used,
        )
        for held in all_held
        if scheduler_scope(held.request) == scope
    )


def _waiting_in_scope(
    all_waiting: Iterable[_Waiting],
    scope: SchedulerScope,
) -> tuple[PermitRequest, ...]:
    return tuple(
        _with_elapsed_wait(waiting)
        for waiting in all_waiting
        if scheduler_scope(waiting.request) == scope
        and not waiting.future.done()
    )


def _with_elapsed_wait(waiting: _Waiting) -> PermitRequest:
    """Return a waiting request with its wait and deadline updated."""
    waited_ms = (loop_time() - waiting.since) * MS_PER_S
    return dataclasses.replace(
        waiting.request,
        waited_ms=waiting.request.waited_ms + waited_ms,
        deadline_ms=max(waiting.request.deadline_ms - waited_ms, 0),
    )


def _is_task_cancelled() -> bool:
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


def _no_observations(service: str) -> tuple[EndpointObservation, ...]:
    return ()
