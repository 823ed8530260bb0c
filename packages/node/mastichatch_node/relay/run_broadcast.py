"""Exchanges the runs in progress with the other nodes."""

import asyncio
import dataclasses
import math
from collections.abc import Callable, Container, Iterable
from typing import Final, Protocol

from mastichatch_core.generated.messages import (
    CrashReport,
    EndpointLimit,
    Envelope,
    ForwardScope,
    MessageKind,
    Run,
    RunChanges,
    RunState,
    SoundParts,
)
from mastichatch_core.relay.endpoint_outcomes import FleetOutcomes
from mastichatch_core.relay.forwarder_choice import (
    NodeLink,
    Receivers,
    choose_forwarded_receivers,
    choose_receivers,
)
from mastichatch_core.relay.runs import RunTable
from mastichatch_core.units import MS_PER_S
from mastichatch_node.clock import loop_time
from mastichatch_node.peers import Peers

# Full lists correct the errors that lost messages cause. Their number grows
# with the square of the number of nodes, so larger fleets send them less often:
# beyond ``NODES_PER_INTERVAL`` nodes, the interval grows with their number.
FULL_LIST_INTERVAL_S: Final = 1.0
NODES_PER_INTERVAL: Final = 30
# A full list is sent to this many nodes at a time, spread over the interval, so
# that callers' streams do not wait for all of them on a slow link.
NODES_PER_SLICE: Final = 8
# Time for which the list of the other nodes is kept. Building it takes about a
# millisecond in a large fleet.
LINKS_LIFETIME_S: Final = 0.2


Evidence = tuple[tuple[CrashReport, ...], tuple[SoundParts, ...]]
Limits = tuple[EndpointLimit, ...]


class Contact(Protocol):
    """What this node tells of its way to the endpoints."""

    @property
    def contact_ms(self) -> float | None:
        """Time since the last connection to an endpoint, in milliseconds."""

    @property
    def is_cut_off(self) -> bool:
        """Whether connections fail at all endpoints."""

    @property
    def may_tell(self) -> bool:
        """Whether failures of endpoints may be told to other nodes."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UnknownContact:
    """What a node tells that does not track its way to the endpoints."""

    contact_ms: float | None = None
    is_cut_off: bool = False
    may_tell: bool = True


class NodeDirectory(Protocol):
    """The other nodes, as far as they are registered."""

    @property
    def addresses(self) -> tuple[str, ...]:
        """Peer addresses of the other nodes."""

    def addresses_of(self, names: Iterable[str]) -> tuple[str, ...]:
        """Return the peer addresses of those nodes that are registered."""

    def link(self) -> NodeLink:
        """Return this node, as input to the choice of receivers."""

    def other_links(self, heard: Container[str]) -> tuple[NodeLink, ...]:
        """Return the other nodes, as input to the choice of receivers."""


def _no_era() -> int:
    """Return the era of a store that names none."""
    return 0


class RunBroadcaster:
    """Announces this node's runs, and records those of all nodes."""

    def __init__(
        self,
        peers: Peers,
        directory: NodeDirectory,
        revision: Callable[[], int],
        era: Callable[[], int] = _no_era,
    ) -> None:
        """Start without runs.

        :param peers: connections to other nodes
        :param directory: registrations of the other nodes
        :param revision: returns the latest store revision that this node has
        :param era: returns the era of the store that the revision belongs to
        """
        self._revision = revision
        self._era = era
        self._peers = peers
        self._directory = directory
        self._table = RunTable()
        self._outcomes = FleetOutcomes()
        self._sequence = 0
        self._subscribers: list[Callable[[], None]] = []
        self._links: tuple[NodeLink, ...] = ()
        self._links_expire_at = -math.inf
        self._current_evidence: Callable[[], Evidence] = _no_evidence
        self._current_limits: Callable[[], Limits] = tuple
        self._contact: Contact = UnknownContact()
        self._current_brittle: Callable[[], Limits] = tuple

    @property
    def table(self) -> RunTable:
        """Table of the known runs of all nodes."""
        return self._table

    @property
    def interval_s(self) -> float:
        """Interval between full lists to the same node, in seconds."""
        return _interval_s(self._directory)

    @property
    def outcomes(self) -> FleetOutcomes:
        """Outcomes of the calls of all nodes at plain endpoints."""
        return self._outcomes

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Register a callback for changes that are announced or received.

        :param callback: called without arguments
        """
        self._subscribers.append(callback)

    def record(self, run: Run, *, announce: bool = True) -> None:
        """Record the state of one of this node's runs.

        :param run: current state of the run
        :param announce: whether to send it to other nodes and call the
            subscribers at once; otherwise it is sent with the next full list
        """
        self._table.update_own(run, loop_time())
        if announce:
            keeps_size = self._table.is_observed and not run.endpoint
            announced = _announcement(run, keeps_size=keeps_size)
            self._send_to_all(self._create_message((announced,)))
            _call_all(self._subscribers)

    def announce_departure(self, instance: str) -> None:
        """Tell other nodes that an endpoint has reported its departure.

        :param instance: instance name of the endpoint
        """
        self._send_to_all(self._create_message((), leaving=(instance,)))

    def announce_avoidance(self, instance: str, duration_s: float) -> None:
        """Tell other nodes that an endpoint should get no requests for a while.

        :param instance: instance name of the endpoint
        :param duration_s: time in seconds
        """
        message = dataclasses.replace(
            self._create_message(()),
            avoided=(instance,),
            avoided_ms=duration_s * MS_PER_S,
        )
        self._send_to_all(message)

    def announce_evidence(
        self,
        crashes: tuple[CrashReport, ...],
        sound: tuple[SoundParts, ...],
    ) -> None:
        """Tell other nodes of crashes, and of parts that do not cause them.

        :param crashes: crashes of engines
        :param sound: parts of prompts on which engines answered
        """
        message = self._create_message(())
        self._send_to_all(
            dataclasses.replace(message, crashes=crashes, sound=sound)
        )

    def announce_outcomes(
        self, limits: Limits = (), brittle: Limits = ()
    ) -> None:
        """Tell other nodes of outcomes of calls that no change has told of.

        Like each message, it also tells whether this node reaches endpoints.

        :param limits: limits that endpoints have begun or ceased to name
        :param brittle: endpoints that have become brittle, or are no longer
        """
        message = self._create_message(())
        self._send_to_all(
            dataclasses.replace(message, limits=limits, brittle=brittle)
        )

    def attach_evidence(
        self,
        current_evidence: Callable[[], Evidence],
        current_limits: Callable[[], Limits],
        contact: Contact,
        current_brittle: Callable[[], Limits] = tuple,
    ) -> None:
        """Send what is known of endpoints with each full list of runs.

        :param current_evidence: returns the evidence on crashes
        :param current_limits: returns the limits that endpoints name
        :param contact: whether this node reaches endpoints, which is sent with
            each message
        :param current_brittle: returns the brittle endpoints
        """
        self._contact = contact
        self._current_evidence = current_evidence
        self._current_limits = current_limits
        self._current_brittle = current_brittle

    async def handle_changes(
        self, message: RunChanges, envelope: Envelope
    ) -> None:
        """Apply the changes of another node, and forward them if asked to.

        :param message: changed runs of a node
        :param envelope: envelope that identifies the sender
        """
        incarnation = message.origin or envelope.incarnation
        self._table.apply_changes(message, incarnation, loop_time())
        self._outcomes.apply(message.outcomes, loop_time())
        if message.forward_to is not ForwardScope.nobody:
            self._forward(message)
        _call_all(self._subscribers)

    async def broadcast_periodically(self) -> None:
        """Send the full list of runs to each node once in an interval.

        Runs until it is cancelled.
        """
        start = 0
        while True:
            slices = math.ceil(len(self._directory.addresses) / NODES_PER_SLICE)
            await asyncio.sleep(self.interval_s / max(1, slices))
            addresses = self._directory.addresses
            end = start + NODES_PER_SLICE
            self._send_full_list(addresses[start:end])
            start = end if end < len(addresses) else 0

    def greet(self, names: Iterable[str]) -> None:
        """Send the full list of runs to nodes that are new to this one.

        :param names: names of registered nodes
        """
        self._send_full_list(self._directory.addresses_of(names))

    def _send_full_list(self, receivers: Iterable[str]) -> None:
        crashes, sound = self._current_evidence()
        message = dataclasses.replace(
            self._create_message(self._table.own, is_whole=True),
            crashes=crashes,
            sound=sound,
            limits=self._current_limits(),
            brittle=self._current_brittle(),
        )
        self._peers.send_all(receivers, MessageKind.run_changes, message)

    def _send_to_all(self, message: RunChanges) -> None:
        own, others = self._directory.link(), self._other_links()
        self._send_to(
            choose_receivers(own, others),
            dataclasses.replace(
                message,
                origin=self._peers.incarnation,
                outcomes=self._outcomes.take_untold()
                if self._contact.may_tell
                else (),
            ),
        )

    def _forward(self, message: RunChanges) -> None:
        """Send another node's changes on."""
        own, others = self._directory.link(), self._other_links()
        if message.forward_to is ForwardScope.data_centre:
            others = tuple(
                one for one in others if one.data_centre == own.data_centre
            )
        receivers = choose_forwarded_receivers(own, others, message.node)
        self._send_to(receivers, message)

    def _other_links(self) -> tuple[NodeLink, ...]:
        now = loop_time()
        if now >= self._links_expire_at:
            heard = self._table.heard(now)
            self._links = self._directory.other_links(heard)
            self._links_expire_at = now + LINKS_LIFETIME_S
        return self._links

    def _send_to(self, receivers: Receivers, message: RunChanges) -> None:
        for_all = () if receivers.for_all is None else (receivers.for_all,)
        for names, scope in (
            (receivers.final, ForwardScope.nobody),
            (receivers.for_data_centre, ForwardScope.data_centre),
            (for_all, ForwardScope.everybody),
        ):
            self._peers.send_all(
                self._directory.addresses_of(names),
                MessageKind.run_changes,
                dataclasses.replace(message, forward_to=scope),
            )

    def _create_message(
        self,
        runs: tuple[Run, ...],
        *,
        is_whole: bool = False,
        leaving: tuple[str, ...] = (),
    ) -> RunChanges:
        self._sequence += 1
        return RunChanges(
            node=self._directory.link().name,
            sequence=self._sequence,
            interval_ms=self.interval_s * MS_PER_S,
            revision=self._revision(),
            era=self._era(),
            is_whole=is_whole,
            runs=runs,
            leaving=leaving,
            contact_ms=self._contact.contact_ms,
            is_cut_off=self._contact.is_cut_off,
        )


def _call_all(subscribers: Iterable[Callable[[], None]]) -> None:
    for subscriber in subscribers:
        subscriber()


def _interval_s(directory: NodeDirectory) -> float:
    """Return the time between full lists, in seconds."""
    nodes = len(directory.addresses)
    return FULL_LIST_INTERVAL_S * max(1, nodes / NODES_PER_INTERVAL)


def _no_evidence() -> Evidence:
    return ((), ())


def _announcement(run: Run, *, keeps_size: bool) -> Run:
    """Return what other nodes need to know of a run that changed.

    :param run: current state of the run
    :param keeps_size: whether they need the size of a refused request, which
        may come back
    """
    if run.state is not RunState.ended or keeps_size:
        return run
    return Run(request_id=run.request_id, service=run.service, state=run.state)
