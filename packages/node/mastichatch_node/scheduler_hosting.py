"""Runs the schedulers assigned to this node and announces them to other nodes.

``mastichatch_core.scheduler`` makes the decisions. This module passes it
messages, membership changes, endpoint reports and the time, and sends the
resulting messages.
"""

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Final

from mastichatch_core import rendezvous
from mastichatch_core import scheduler as core
from mastichatch_core.admission import NODE_REPORT_TIMEOUT_S
from mastichatch_core.catalogue import Catalogue
from mastichatch_core.generated.manifest import Endpoint
from mastichatch_core.generated.messages import (
    EndpointObservation,
    Envelope,
    MessageKind,
    PermitCancel,
    PermitRelease,
    PermitRequest,
    Registration,
    SchedulerOpen,
    ServiceLoad,
    Term,
)
from mastichatch_core.prediction import LengthModel
from mastichatch_core.scheduler_state import Timing
from mastichatch_core.service_times import ServiceTimes
from mastichatch_core.terms import term_rank
from mastichatch_core.units import MS_PER_S
from mastichatch_node.clock import loop_time
from mastichatch_node.configuration import Configuration
from mastichatch_node.hosted_scheduler import HostedScheduler, SchedulerContext
from mastichatch_node.membership import Membership
from mastichatch_node.peers import Peers

ANNOUNCE_INTERVAL_S: Final = 0.5
ADVANCE_INTERVAL_S: Final = 0.05
REPORT_INTERVAL_S: Final = 0.5

Report = Callable[[Endpoint], Awaitable[EndpointObservation]]


@dataclasses.dataclass(frozen=True, slots=True)
class _TimedObservation:
    observation: EndpointObservation
    received_at: float

    def at(self, now: float) -> EndpointObservation:
        """Return the observation with its age brought up to a given time."""
        aged_ms = (now - self.received_at) * MS_PER_S
        return dataclasses.replace(
            self.observation, age_ms=self.observation.age_ms + aged_ms
        )


class SchedulerHost:
    """Open, run and close this node's schedulers for its data centre."""

    def __init__(
        self,
        context: SchedulerContext,
        membership: Membership,
        configuration: Configuration,
        timing: Timing,
    ) -> None:
        """Create the host with no open scheduler.

        :param context: dependencies that all schedulers share
        :param membership: live nodes
        :param configuration: current configuration
        :param timing: timeouts and intervals of the schedulers
        """
        self._context = context
        self._membership = membership
        self._configuration = configuration
        self._timing = timing
        self._lengths: dict[str, LengthModel] = {}
        self._service_times = ServiceTimes(context.data_centre)
        self._hosted: dict[str, HostedScheduler] = {}
        self._terms: dict[str, int] = {}
        self._observations: dict[str, _TimedObservation] = {}
        self._exported_limits: dict[str, tuple[EndpointObservation, ...]] = {}

    @property
    def hosted(self) -> tuple[HostedScheduler, ...]:
        """The schedulers that this node currently runs."""
        return tuple(self._hosted.values())

    def loads(self) -> tuple[ServiceLoad, ...]:
        """Return the loads of the schedulers that this node runs."""
        now = loop_time()
        return tuple(hosted.load(now) for hosted in self.hosted)

    def observations(self, service: str) -> tuple[EndpointObservation, ...]:
        """Return the latest known observations of a service's endpoints.

        Observations older than ``NODE_REPORT_TIMEOUT_S`` are left out. The
        limits that a scheduler exported when it closed here are included.

        :param service: name of the service
        """
        catalogue = self._configuration.current
        if catalogue is None:
            return ()
        endpoints = catalogue.endpoints_of(service, self._context.data_centre)
        now = loop_time()
        seen = (
            self._observations[endpoint.name]
            for endpoint in endpoints
            if endpoint.name in self._observations
        )
        recent = tuple(
            latest.at(now)
            for latest in seen
            if now - latest.received_at < NODE_REPORT_TIMEOUT_S
        )
        return (*recent, *self._exported_limits.get(service, ()))

    def reconcile(self) -> None:
        """Open and close schedulers to match current members and services."""
        catalogue = self._configuration.current
        if catalogue is None:
            return
        self._service_times.update(
            catalogue,
            self._membership.leaving_hosts,
            loop_time(),
        )
        wanted = self._wanted_services(catalogue)
        for service in tuple(self._hosted):
            if service not in wanted:
                self._close(service)
        for service in wanted:
            if service not in self._hosted:
                self._open(service, catalogue)
        for hosted in self.hosted:
            _update_scheduler(hosted, catalogue, self._membership.leaving_hosts)

    def advance(self) -> None:
        """Advance all schedulers to the current time; announce those due."""
        now = loop_time()
        for hosted in self.hosted:
            if not hosted.is_advance_due(now):
                continue
            self._update_members(hosted, now)
            # A scheduler starts a new term after a pause of the process.
            self._record_term(hosted.scheduler.service, hosted.term)
            if hosted.scheduler.superseded:
                self._close(hosted.scheduler.service)
                self.reconcile()
                continue
            if now - hosted.last_announced >= ANNOUNCE_INTERVAL_S:
                self._announce(hosted, now)

    def record_observation(
        self, service: str, observation: EndpointObservation
    ) -> None:
        """Store an endpoint observation and pass it to its scheduler.

        :param service: name of the service
        :param observation: the observation
        """
        seen = _TimedObservation(observation, loop_time())
        self._observations[observation.endpoint] = seen
        hosted = self._hosted.get(service)
        if hosted is not None:
            hosted.send(
                core.observe(hosted.scheduler, observation, loop_time()),
            )

    def record_announcement(self, message: SchedulerOpen) -> None:
        """Record another node's term; close this node's scheduler if outranked.

        :param message: the announcement
        """
        if message.data_centre != self._context.data_centre:
            return
        self._record_term(message.service, message.term)
        hosted = self._hosted.get(message.service)
        if hosted is None or message.term == hosted.term:
            return
        if term_rank(message.term) > term_rank(hosted.term):
            self._close(message.service)
            self.reconcile()

    async def on_request(
        self,
        message: PermitRequest,
        envelope: Envelope,
    ) -> None:
        """Handle a permit request here, or forward it to the scheduler's node.

        :param message: the request
        :param envelope: envelope with the sender's address
        """
        hosted = self._hosted.get(message.service)
        if hosted is None:
            self._forward(MessageKind.permit_request, message, envelope)
            return
        if not hosted.is_client(message.node):
            # The node answers the announcement with a registration, which
            # lists this request.
            self._announce_to_unregistered(hosted, message.node, envelope)
            return
        hosted.send(
            core.request(hosted.scheduler, message, loop_time()),
        )

    async def on_registration(
        self,
        message: Registration,
        envelope: Envelope,
    ) -> None:
        """Record the permits that a node holds and the requests it waits for.

        :param message: the registration
        :param envelope: envelope with the sender's address
        """
        self._record_term(message.service, message.term)
        hosted = self._hosted.get(message.service)
        if hosted is None:
            self._forward(MessageKind.registration, message, envelope)
            return
        now = loop_time()
        if message.term == hosted.term:
            hosted.add_client(message, envelope.sender, now)
        elif not hosted.is_client(message.node):
            self._announce_to_unregistered(hosted, message.node, envelope)
        hosted.send(core.register(hosted.scheduler, message, now))
        if core.needs_permit_list(hosted.scheduler, message):
            hosted.announce_to(envelope.sender, now, list_wanted=True)

    async def on_release(
        self,
        message: PermitRelease,
        envelope: Envelope,
    ) -> None:
        """Release a permit.

        :param message: the permit and the outcome of its attempt
        :param envelope: envelope with the sender's address
        """
        hosted = self._hosted.get(message.service)
        if hosted is not None:
            hosted.send(
                core.release(hosted.scheduler, message, loop_time()),
            )

    async def on_cancel(
        self,
        message: PermitCancel,
        envelope: Envelope,
    ) -> None:
        """Cancel a waiting request.

        :param message: the request to cancel
        :param envelope: envelope with the sender's address
        """
        hosted = self._hosted.get(message.service)
        if hosted is not None:
            hosted.send(
                core.cancel(hosted.scheduler, message, loop_time()),
            )

    def _record_term(self, service: str, term: Term) -> None:
        known = self._terms.get(service, 0)
        self._terms[service] = max(known, term.number)

    def _wanted_services(self, catalogue: Catalogue) -> frozenset[str]:
        own = self._context.node
        return frozenset(
            service
            for service in catalogue.services
            if catalogue.endpoints_of(service, self._context.data_centre)
            and _host_name(self._membership, service) == own
        )

    def _open(self, service: str, catalogue: Catalogue) -> None:
        now = loop_time()
        number = self._terms.get(service, 0) + 1
        self._terms[service] = number
        term = Term(number=number, incarnation=self._context.peers.incarnation)
        scheduler = core.open_scheduler(
            term,
            catalogue,
            service,
            self._context.data_centre,
            now,
            timing=self._timing,
            lengths=self._lengths.setdefault(service, LengthModel()),
        )
        scheduler.pool.set_service_times(self._service_times)
        self._exported_limits.pop(service, None)
        hosted = HostedScheduler(scheduler, self._context, catalogue.revision)
        self._hosted[service] = hosted
        self._context.decisions.note(
            'scheduler_opened',
            f'service/{service}',
            choice=self._context.node,
            reason='first by rendezvous hashing among live nodes',
            term=number,
            revision=catalogue.revision,
        )
        self._update_members(hosted, now)
        self._announce(hosted, now)

    def _close(self, service: str) -> None:
        hosted = self._hosted.pop(service)
        now = loop_time()
        self._exported_limits[service] = core.export_limits(
            hosted.scheduler, now
        )
        # The node that takes over learns the highest term from this
        # announcement, even if it has just started.
        self._announce(hosted, now)
        self._context.decisions.note(
            'scheduler_closed',
            f'service/{service}',
            reason='another node hosts it, or the service left',
            term=hosted.term.number,
        )

    def _update_members(self, hosted: HostedScheduler, now: float) -> None:
        hosted.send(
            core.set_members(
                hosted.scheduler,
                self._membership.expected_names(),
                self._membership.reachable_names(),
                now,
            ),
        )

    def _announce(self, hosted: HostedScheduler, now: float) -> None:
        addresses = [
            member.peer_address
            for member in self._membership.all_known()
            if member.data_centre == self._context.data_centre
        ]
        hosted.announce((*addresses, self._context.peers.address), now)

    def _announce_to_unregistered(
        self,
        hosted: HostedScheduler,
        node: str,
        envelope: Envelope,
    ) -> None:
        """Announce a scheduler to an unregistered node.

        Its message may have been forwarded, so both the sender and the node's
        known address get the announcement.
        """
        addresses = {envelope.sender} | {
            member.peer_address
            for member in self._membership.all_known()
            if member.name == node
        }
        for address in addresses:
            hosted.announce_to(address, loop_time())

    def _forward(
        self,
        kind: MessageKind,
        message: PermitRequest | Registration,
        envelope: Envelope,
    ) -> None:
        """Forward a message to the scheduler's node, at most once.

        Two nodes may each take the other for the host; a message that was
        forwarded already is dropped, so that it does not loop.
        """
        already_forwarded = any(
            member.peer_address == envelope.sender
            for member in self._membership.all_known()
            if member.data_centre == self._context.data_centre
            and member.name != message.node
        )
        host = self._membership.scheduler_host(message.service)
        if host is None or host.name == self._context.node or already_forwarded:
            return
        self._context.peers.send(host.peer_address, kind, message)


@contextlib.asynccontextmanager
async def open_scheduling(
    scheduling: SchedulerHost,
    peers: Peers,
    membership: Membership,
    configuration: Configuration,
    report: Report,
) -> AsyncIterator[None]:
    """Run a node's schedulers until the end of the block.

    :param scheduling: the schedulers to run
    :param peers: connections to other nodes
    :param membership: live nodes
    :param configuration: current configuration
    :param report: function that reads the state of one endpoint
    """
    peers.on(
        MessageKind.permit_request,
        PermitRequest,
        scheduling.on_request,
    )
    peers.on(
        MessageKind.registration,
        Registration,
        scheduling.on_registration,
    )
    peers.on(MessageKind.permit_release, PermitRelease, scheduling.on_release)
    peers.on(MessageKind.permit_cancel, PermitCancel, scheduling.on_cancel)
    membership.subscribe(scheduling.reconcile)
    configuration.subscribe(lambda catalogue: scheduling.reconcile())
    scheduling.reconcile()
    async with asyncio.TaskGroup() as group:
        tasks = (
            group.create_task(_advance_regularly(scheduling)),
            group.create_task(
                _report_regularly(
                    scheduling,
                    configuration,
                    membership,
                    report,
                ),
            ),
        )
        yield
        for task in tasks:
            task.cancel()


async def _advance_regularly(scheduling: SchedulerHost) -> None:
    while True:
        scheduling.advance()
        await asyncio.sleep(ADVANCE_INTERVAL_S)


async def _report_regularly(
    scheduling: SchedulerHost,
    configuration: Configuration,
    membership: Membership,
    report: Report,
) -> None:
    """Poll the endpoints of the hosted schedulers at a fixed interval.

    Each endpoint is polled in its own task, so that one that does not answer
    does not delay the others.
    """
    in_progress: set[str] = set()

    async def read(endpoint: Endpoint) -> None:
        observation = await report(endpoint)
        in_progress.discard(endpoint.name)
        scheduling.record_observation(endpoint.service, observation)

    async with asyncio.TaskGroup() as group:
        while True:
            catalogue = configuration.current
            own = membership.own.data_centre
            for endpoint in _hosted_endpoints(scheduling, catalogue, own):
                if endpoint.name not in in_progress:
                    in_progress.add(endpoint.name)
                    group.create_task(read(endpoint))
            await asyncio.sleep(REPORT_INTERVAL_S)


def _hosted_endpoints(
    scheduling: SchedulerHost,
    catalogue: Catalogue | None,
    data_centre: str,
) -> tuple[Endpoint, ...]:
    """Return the endpoints served by the schedulers of this node."""
    if catalogue is None:
        return ()
    return tuple(
        endpoint
        for hosted in scheduling.hosted
        for endpoint in catalogue.endpoints_of(
            hosted.scheduler.service,
            data_centre,
        )
    )


def _update_scheduler(
    hosted: HostedScheduler,
    catalogue: Catalogue,
    leaving: frozenset[str],
) -> None:
    now = loop_time()
    hosted.record_revision(catalogue.revision)
    hosted.send(core.set_catalogue(hosted.scheduler, catalogue, now))
    hosted.send(core.set_leaving_hosts(hosted.scheduler, leaving, now))


def _host_name(membership: Membership, service: str) -> str:
    """Return the name of the node that should host a scheduler.

    If every node of the data centre is draining, one of them still hosts it.
    """
    host = membership.scheduler_host(service)
    if host is not None:
        return host.name
    own = membership.own
    names = [
        member.name
        for member in membership.all_known()
        if member.data_centre == own.data_centre
    ]
    return rendezvous.pick(names, service)
