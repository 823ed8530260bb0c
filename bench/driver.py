"""Drives a policy and the stand-in engines through one run, in virtual time.

There is no network: messages arrive at once.
"""

import dataclasses
import functools
from collections.abc import Iterable, Iterator
from typing import Final

from bench.events import Events
from bench.fleet import ENGINE, Fleet
from bench.measures import Figures, Measures
from bench.policies import SERVICE, Decider, Opening, Policy
from bench.streams import (
    PATIENCE_S,
    Stream,
    held_permit,
    permit_release,
    permit_request,
)
from bench.workloads import Arrival, Workload
from mastichatch_core.catalogue import Catalogue
from mastichatch_core.generated.manifest import (
    DataCentre,
    Endpoint,
    Manifest,
    Service,
    ServiceKind,
    Workspace,
)
from mastichatch_core.generated.messages import (
    EndpointObservation,
    PermitGrant,
    PermitOutcome,
    PermitRefusal,
    Registration,
    RequestClass,
    ServiceLoad,
)
from mastichatch_core.generated.records import Drain, DrainKind
from mastichatch_core.prediction import LengthModel
from mastichatch_core.routing import (
    OVERFLOW_KINDS,
    DataCentreLoad,
    rank_data_centres,
    usable_data_centres,
)
from tests.standins.engine_model import TokenEvent

RETRY_LIMIT: Final = 4
REGISTER_INTERVAL_S: Final = 0.5
ADVANCE_INTERVAL_S: Final = 0.05
TAKE_OVER_S: Final = 1.75
DRAIN_OUT_S: Final = 120.0
NODES_A_DATA_CENTRE: Final = 2

PRIORITIES: Final[dict[RequestClass, int]] = {
    RequestClass.interactive: 0,
    RequestClass.standard: 1,
    RequestClass.batch: 2,
}


class World:
    """The state of one run."""

    def __init__(
        self,
        workload: Workload,
        arrivals: tuple[Arrival, ...],
        policy: Policy,
        duration: float,
    ) -> None:
        """Start with warm engines and open schedulers.

        :param workload: whose requests these are
        :param arrivals: the requests, in order of time
        :param policy: what decides
        :param duration: time of arrivals, in seconds
        """
        self._policy = policy
        self._duration = duration
        self._measures = Measures(duration)
        self._events = Events()
        self._leaving: frozenset[str] = frozenset()
        self._catalogue = describe(workload)
        self._fleet = Fleet(
            self._events,
            self._catalogue.endpoints,
            self._token,
            self._lose,
        )
        self._lengths: dict[str, LengthModel] = {}
        self._deciders: dict[str, Decider] = {}
        self._loads: dict[str, ServiceLoad] = {}
        self._streams: dict[str, Stream] = {}
        self._waiting: dict[str, Stream] = {}
        self._open_all()
        for arrival in arrivals:
            arrive = functools.partial(self._arrive, arrival)
            self._events.at(arrival.at, arrive)
        self._events.repeat(ADVANCE_INTERVAL_S, self._advance)
        self._events.repeat(REGISTER_INTERVAL_S, self._report)

    @property
    def fleet(self) -> Fleet:
        """The engines."""
        return self._fleet

    def run(self) -> Figures:
        """Run until every request ended, or for long enough.

        :returns: what was measured
        """
        self._events.run_until(
            self._duration + DRAIN_OUT_S,
            lambda: (
                self._events.now > self._duration
                and not self._streams
                and not self._waiting
            ),
        )
        return self._measures.figures(
            self._fleet.preemptions, self._fleet.falls
        )

    def configure(
        self, drains: tuple[Drain, ...], leaving: frozenset[str]
    ) -> None:
        """Take data centres or hosts out of service, or bring them back.

        :param drains: what operators took out
        :param leaving: hosts that the host list calls leaving
        """
        self._leaving = leaving
        self._catalogue = dataclasses.replace(
            self._catalogue,
            revision=self._catalogue.revision + 1,
            drains=drains,
        )
        for decider in _unique(self._deciders):
            self._take(
                decider.configure(
                    self._catalogue, self._leaving, self._events.now
                )
            )

    def kill_scheduler(self, data_centre: str) -> None:
        """Lose a scheduler's state; another opens after the member timeout.

        :param data_centre: name of the data centre
        """
        old = self._deciders[data_centre]
        if old.shared:
            return
        del self._deciders[data_centre]
        number = old.term().number + 1
        self._events.at(
            self._events.now + TAKE_OVER_S,
            lambda: self._open(data_centre, number),
        )

    def _open_all(self) -> None:
        for name in self._catalogue.data_centres:
            self._lengths[name] = LengthModel()
            known = next(iter(self._deciders.values()), None)
            if known is not None and known.shared:
                self._deciders[name] = known
            else:
                self._open(name, 2)
            _hand_over(self._deciders[name], self._catalogue, self._fleet)

    def _open(self, name: str, number: int) -> None:
        opening = Opening(
            catalogue=self._catalogue,
            data_centre=name,
            nodes=frozenset(_nodes(name)),
            term=number,
            now=self._events.now,
            lengths=self._lengths[name],
        )
        decider = self._policy(opening)
        self._deciders[name] = decider
        self._take(
            decider.configure(self._catalogue, self._leaving, self._events.now)
        )
        self._tell(name, decider)

    def _advance(self) -> None:
        now = self._events.now
        for decider in _unique(self._deciders):
            self._take(decider.advance(now))
        for stream in tuple(self._waiting.values()):
            if now - stream.arrival.at > PATIENCE_S:
                del self._waiting[stream.key]
        for stream in tuple(self._streams.values()):
            late = now - stream.arrival.at > PATIENCE_S
            if stream.first_at is None and late:
                self._abandon(stream)

    def _abandon(self, stream: Stream) -> None:
        """Let the caller hang up: no token came in time."""
        model = self._fleet.get(stream.endpoint).model
        if model is not None:
            model.cancel(stream.key)
        del self._streams[stream.key]
        self._release(stream, PermitOutcome.cancelled)

    def _report(self) -> None:
        """Let nodes register, and schedulers read their endpoints."""
        for name, decider in tuple(self._deciders.items()):
            self._tell(name, decider)
            self._loads[name] = decider.load(self._events.now)

    def _tell(self, name: str, decider: Decider) -> None:
        """Let a decider read its endpoints and hear its nodes."""
        now = self._events.now
        for endpoint in self._catalogue.endpoints_of(SERVICE, name):
            seen = self._fleet.report(endpoint.name)
            self._take(decider.observe(seen, now))
        if decider.shared:
            return
        for home in self._catalogue.data_centres:
            for node in _nodes(home):
                message = Registration(
                    service=SERVICE,
                    node=node,
                    term=decider.term(),
                    sequence=int(now * 1000),
                    held=tuple(
                        held_permit(stream)
                        for stream in _theirs(self._streams, node, name)
                    ),
                    waiting=tuple(
                        permit_request(stream, now, exact=decider.exact)
                        for stream in _theirs(self._waiting, node, name)
                    ),
                )
                self._take(decider.register(message, now))

    def _arrive(self, arrival: Arrival) -> None:
        self._measures.note_request(arrival.workspace)
        home = _nodes(f'd{arrival.data_centre}')
        self._ask(Stream(arrival, home[len(arrival.name) % len(home)]))

    def _ask(self, stream: Stream) -> None:
        """Ask the scheduler of the data centre with the shortest wait."""
        ranked = rank_data_centres(
            f'd{stream.arrival.data_centre}',
            [
                DataCentreLoad(data_centre=name, load=self._loads.get(name))
                for name in usable_data_centres(self._catalogue, SERVICE)
                if name not in stream.tried
            ],
        )
        now = self._events.now
        if not ranked or now - stream.arrival.at > PATIENCE_S:
            return
        stream.data_centre = ranked[0].endpoint
        self._waiting[stream.key] = stream
        decider = self._deciders.get(stream.data_centre)
        if decider is not None:
            asked = permit_request(stream, now, exact=decider.exact)
            self._take(decider.request(asked, now))

    def _take(self, outgoing: Iterable[object]) -> None:
        for item in outgoing:
            message = getattr(item, 'message', None)
            if isinstance(message, PermitGrant | PermitRefusal):
                self._answer(message)

    def _answer(self, message: PermitGrant | PermitRefusal) -> None:
        key = f'{message.request_id}.{message.attempt}'
        stream = self._waiting.pop(key, None)
        if stream is None:
            return
        if isinstance(message, PermitGrant):
            self._start(stream, message)
        elif message.kind in OVERFLOW_KINDS:
            stream.tried |= {stream.data_centre}
            self._ask(stream)

    def _start(self, stream: Stream, grant: PermitGrant) -> None:
        stream.endpoint = grant.endpoint
        stream.sent_at = self._events.now
        engine = self._fleet.get(grant.endpoint)
        if engine.model is None:
            self._retry(stream, PermitOutcome.unreachable)
            return
        arrival = stream.arrival
        taken = engine.model.submit(
            stream.key,
            prompt_tokens=arrival.prompt_tokens,
            output_tokens=arrival.output_tokens,
            now=self._events.now,
            priority=PRIORITIES[arrival.request_class],
            prefix_hash=str(arrival.prefix),
            prefix_tokens=arrival.prefix_tokens,
        )
        if taken:
            self._streams[stream.key] = stream
            self._fleet.schedule(engine)
        else:
            self._retry(stream, PermitOutcome.failed)

    def _token(self, event: TokenEvent) -> None:
        stream = self._streams.get(event.generation)
        if stream is None:
            return
        self._measures.note_token(event.at)
        stream.produced += 1
        if stream.first_at is None:
            stream.first_at = event.at
            arrival = stream.arrival
            self._measures.note_first(
                event.at - arrival.at,
                short=arrival.request_class is RequestClass.interactive,
            )
        else:
            self._measures.note_gap(event.at - stream.last_at)
        stream.last_at = event.at
        if event.finished:
            del self._streams[event.generation]
            self._measures.note_served(stream.arrival.workspace)
            self._release(stream, PermitOutcome.completed)

    def _lose(self, endpoint: str) -> None:
        """End the streams of an engine; those without tokens start again."""
        for stream in tuple(self._streams.values()):
            if stream.endpoint != endpoint:
                continue
            del self._streams[stream.key]
            if stream.first_at is None:
                self._retry(stream, PermitOutcome.unreachable)
            else:
                self._measures.note_lost()
                self._release(stream, PermitOutcome.unreachable)

    def _retry(self, stream: Stream, outcome: PermitOutcome) -> None:
        fresh = dataclasses.replace(
            stream,
            attempt=stream.attempt + 1,
            excluded=(*stream.excluded, stream.endpoint),
        )
        self._release(stream, outcome)
        if fresh.attempt <= RETRY_LIMIT:
            self._ask(fresh)

    def _release(self, stream: Stream, outcome: PermitOutcome) -> None:
        decider = self._deciders.get(stream.data_centre)
        if decider is not None:
            message = permit_release(stream, outcome)
            self._take(decider.release(message, self._events.now))


def describe(workload: Workload) -> Catalogue:
    """Return the configuration that a workload runs under.

    :param workload: the workload
    """
    endpoints = tuple(
        Endpoint(
            name=f'e{place}{number}',
            service=SERVICE,
            data_centre=f'd{place}',
            host=f'h{place}{number}',
            address='127.0.0.1:1',
            batch_limit=64,
            cold_limit=ENGINE.cold_limit,
            warm_after_ms=int(ENGINE.cold_ms * 1.25),
            memory_tokens=ENGINE.memory_tokens,
        )
        for place, count in enumerate(workload.data_centres)
        for number in range(count)
    )
    manifest = Manifest(
        data_centres=tuple(
            DataCentre(name=f'd{place}')
            for place in range(len(workload.data_centres))
        ),
        services=(Service(name=SERVICE, kind=ServiceKind.model),),
        endpoints=endpoints,
        workspaces=tuple(
            Workspace(name=f'w{number}')
            for number in range(len(workload.workspaces))
        ),
    )
    return Catalogue(1, manifest)


def drain_of(data_centre: str) -> Drain:
    """Return what takes a data centre out of service.

    :param data_centre: its name
    """
    return Drain(kind=DrainKind.data_centre, name=data_centre)


def _nodes(data_centre: str) -> tuple[str, ...]:
    return tuple(
        f'{data_centre}-{number}' for number in range(NODES_A_DATA_CENTRE)
    )


def _unique(deciders: dict[str, Decider]) -> Iterable[Decider]:
    return {id(one): one for one in deciders.values()}.values()


def _hand_over(decider: Decider, catalogue: Catalogue, fleet: Fleet) -> None:
    """Let a first scheduler know that its endpoints are warm."""
    for endpoint in catalogue.manifest.endpoints:
        told = EndpointObservation(
            endpoint=endpoint.name,
            boot_id=fleet.get(endpoint.name).boot_id,
            limit=endpoint.batch_limit,
            limit_term=decider.term().number - 1,
        )
        decider.observe(told, 0)


def _theirs(
    streams: dict[str, Stream], node: str, data_centre: str
) -> Iterator[Stream]:
    return (
        stream
        for stream in streams.values()
        if stream.node == node and stream.data_centre == data_centre
    )
