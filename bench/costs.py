"""Costs of the pure decisions and of state, each measured at several sizes."""

import dataclasses
import itertools
from collections.abc import Callable, Iterator
from typing import Final

import msgspec

from bench.slopes import Slope, measure, memory_kb, processor_us
from mastichatch_core import scheduler as core
from mastichatch_core.catalogue import Catalogue
from mastichatch_core.events import (
    EventParser,
    encode_events,
    undelivered_events,
)
from mastichatch_core.generated.manifest import (
    DataCentre,
    Endpoint,
    Manifest,
    Service,
    ServiceKind,
    Workspace,
)
from mastichatch_core.generated.messages import (
    Digest,
    EndpointObservation,
    Envelope,
    Heartbeat,
    HeldPermit,
    MessageKind,
    PermitGrant,
    PermitOutcome,
    PermitRelease,
    PermitRequest,
    Registration,
    ServiceLoad,
    Term,
)
from mastichatch_core.generated.records import Claim
from mastichatch_core.renewal import ReportedPermits
from mastichatch_core.tickets import Ticket, read_ticket, sign_ticket
from mastichatch_node import codec
from mastichatch_node.decisions import create_decision_log

SERVICE: Final = 'model'
PLACE: Final = 'place'
NODE: Final = 'node'
TERM: Final = Term(number=1, incarnation='incarnation')
SIZES: Final = (250, 500, 1000, 2000)
ENDPOINT_SIZES: Final = (8, 16, 32, 65)
PERMIT_SIZES: Final = (300, 600, 1200, 2400)
NODE_PERMIT_SIZES: Final = (20, 40, 80, 160)
ENDPOINTS: Final = 16
NODES: Final = 15
REQUESTS_A_SECOND: Final = 152
REQUESTS_A_RENEWAL: Final = 5
REQUESTS_A_TICK: Final = 8
RENEWALS_A_SECOND: Final = 2
TOKENS_A_RENEWAL: Final = 14
US_PER_MS: Final = 1000
SECRET: Final = 'a secret for measuring'


def catalogue_of(endpoints: int, workspaces: int) -> Catalogue:
    """Return a catalogue of one service in one data centre.

    :param endpoints: number of endpoints
    :param workspaces: number of workspaces
    """
    return Catalogue(
        revision=1,
        manifest=Manifest(
            data_centres=(DataCentre(name=PLACE),),
            services=(
                Service(
                    name=SERVICE,
                    kind=ServiceKind.model,
                    queue_limit=100_000,
                ),
            ),
            endpoints=tuple(
                Endpoint(
                    name=f'endpoint-{number}',
                    service=SERVICE,
                    data_centre=PLACE,
                    host=f'host-{number}',
                    address='127.0.0.1:9000',
                    batch_limit=256,
                    cold_limit=256,
                    memory_tokens=4_000_000,
                )
                for number in range(endpoints)
            ),
            workspaces=tuple(
                Workspace(name=f'workspace-{number}', waiting_limit=100_000)
                for number in range(workspaces)
            ),
        ),
    )


def request_of(number: int, node: str = NODE) -> PermitRequest:
    """Return one of many permit requests.

    :param number: tells the requests apart
    :param node: name of the node that asks
    """
    return PermitRequest(
        request_id=f'{number:032x}',
        attempt=0,
        service=SERVICE,
        workspace=f'workspace-{number % 100}',
        node=node,
        data_centre=PLACE,
        prompt_tokens=500,
        deadline_ms=1e9,
    )


def ready_scheduler(
    endpoints: int, nodes: tuple[str, ...] = (NODE,)
) -> core.Scheduler:
    """Return a scheduler whose members have registered.

    :param endpoints: number of endpoints
    :param nodes: names of the members
    """
    scheduler = core.open_scheduler(
        TERM,
        catalogue_of(endpoints, 100),
        SERVICE,
        PLACE,
        0,
    )
    members = frozenset(nodes)
    core.set_members(scheduler, members, members, 0)
    for node in nodes:
        empty = Registration(service=SERVICE, node=node, term=TERM, sequence=1)
        core.register(scheduler, empty, 0.1)
    for number in range(endpoints):
        core.observe(
            scheduler,
            EndpointObservation(endpoint=f'endpoint-{number}', boot_id='b'),
            0.2,
        )
    return scheduler


def _clock() -> Iterator[float]:
    return (0.4 + number * 0.0001 for number in itertools.count())


def cycle_cost(endpoints: int) -> float:
    """Return the cost of one request's life at a scheduler.

    :param endpoints: number of endpoints
    """
    scheduler = ready_scheduler(endpoints)
    clock = _clock()
    cycles = 200

    def work() -> None:
        for number in range(cycles):
            _live(scheduler, request_of(number), clock)

    return processor_us(work) / cycles


def _release_of(grant: PermitGrant) -> PermitRelease:
    return PermitRelease(
        request_id=grant.request_id,
        attempt=grant.attempt,
        service=grant.service,
        endpoint=grant.endpoint,
        outcome=PermitOutcome.completed,
        output_tokens=300,
        first_token_ms=100,
        gap_ms=20,
    )


def second_cost(held: int) -> float:
    """Return the cost of one second of a scheduler of the target's size.

    All its permits grow in that time, and each node renews them twice.

    :param held: number of permits in use
    """
    nodes = tuple(f'{NODE}-{number}' for number in range(NODES))
    scheduler = ready_scheduler(ENDPOINTS, nodes)
    renewals: list[Registration] = []
    for node in nodes:
        registration = registration_of(held // NODES, node)
        core.register(scheduler, registration, 0.3)
        renewals.extend(renewals_of(registration, RENEWALS_A_SECOND))
    clock = _clock()
    # What permits want is worked out before, as in any second but the first.
    _live(scheduler, request_of(REQUESTS_A_SECOND, nodes[0]), clock)

    def work() -> None:
        for number in range(REQUESTS_A_SECOND):
            _live(scheduler, request_of(number, nodes[number % NODES]), clock)
            if renewals and not number % REQUESTS_A_RENEWAL:
                core.register(scheduler, renewals.pop(0), next(clock))
            if not number % REQUESTS_A_TICK:
                core.advance(scheduler, next(clock))

    return processor_us(work) / US_PER_MS


def _live(
    scheduler: core.Scheduler, asked: PermitRequest, clock: Iterator[float]
) -> None:
    """Let a request be granted and end at once."""
    for outgoing in core.request(scheduler, asked, next(clock)):
        if isinstance(outgoing.message, PermitGrant):
            released = _release_of(outgoing.message)
            core.release(scheduler, released, next(clock))


def registration_of(held: int, node: str = NODE) -> Registration:
    """Return a registration that names permits in use.

    :param held: number of permits
    :param node: name of the node that holds them
    """
    return Registration(
        service=SERVICE,
        node=node,
        term=TERM,
        sequence=2,
        held=tuple(
            HeldPermit(
                request_id=f'{node}{number:x}'.rjust(32, '0'),
                attempt=0,
                endpoint=f'endpoint-{number % ENDPOINTS}',
                workspace=f'workspace-{number % 100}',
                prompt_tokens=500,
                output_tokens=number,
                used=True,
            )
            for number in range(held)
        ),
    )


def renewals_of(
    registration: Registration, count: int
) -> tuple[Registration, ...]:
    """Return the registrations that follow one and renew its permits.

    :param registration: names the permits
    :param count: number of registrations
    """
    told = ReportedPermits()
    told.record_list(registration.held, 0)
    return tuple(
        dataclasses.replace(
            registration,
            sequence=registration.sequence + turn,
            held=(),
            summary=told.summarize(_grown(registration, turn), 0),
        )
        for turn in range(1, count + 1)
    )


def _grown(registration: Registration, turn: int) -> tuple[HeldPermit, ...]:
    fresh = turn * TOKENS_A_RENEWAL
    return tuple(
        dataclasses.replace(one, output_tokens=one.output_tokens + fresh)
        for one in registration.held
    )


def renewal_cost(held: int) -> float:
    """Return the cost of taking in a renewal in short.

    :param held: number of permits that it renews
    """
    scheduler = ready_scheduler(ENDPOINTS)
    registration = registration_of(held)
    core.register(scheduler, registration, 0.3)
    renewal = renewals_of(registration, 1)[0]
    return processor_us(lambda: core.register(scheduler, renewal, 0.4))


def renewal_bytes(held: int) -> float:
    """Return the bytes of a renewal in short.

    :param held: number of permits that it renews
    """
    renewal = renewals_of(registration_of(held), 1)[0]
    return _envelope_bytes(MessageKind.registration, renewal)


def registration_cost(held: int) -> float:
    """Return the cost of taking in a registration.

    :param held: number of permits in it
    """
    scheduler = ready_scheduler(16)
    registration = registration_of(held)
    return processor_us(lambda: core.register(scheduler, registration, 0.3))


def waiting_cost(waiting: int) -> float:
    """Return the cost of one tick while requests wait.

    :param waiting: number of waiting requests
    """
    scheduler = ready_scheduler(1)
    for number in range(waiting + 256):
        core.request(scheduler, request_of(number), 0.3)
    clock = _clock()
    ticks = 10

    def work() -> None:
        for _ in range(ticks):
            core.advance(scheduler, next(clock))

    return processor_us(work) / ticks


def scheduler_memory(held: int) -> float:
    """Return the memory of a scheduler's permits.

    :param held: number of permits
    """

    def build() -> core.Scheduler:
        scheduler = ready_scheduler(16)
        core.register(scheduler, registration_of(held), 0.3)
        return scheduler

    return memory_kb(build)


def catalogue_memory(workspaces: int) -> float:
    """Return the memory of a catalogue decoded from its JSON.

    :param workspaces: number of workspaces
    """
    body = msgspec.json.encode(catalogue_of(60, workspaces).manifest)

    def build() -> Catalogue:
        manifest = msgspec.json.decode(body, type=Manifest)
        catalogue = Catalogue(revision=1, manifest=manifest)
        len(catalogue.workspaces)
        return catalogue

    return memory_kb(build)


def catalogue_cost(workspaces: int) -> float:
    """Return the cost of decoding a catalogue and its look-ups.

    :param workspaces: number of workspaces
    """
    body = msgspec.json.encode(catalogue_of(60, workspaces).manifest)

    def work() -> None:
        manifest = msgspec.json.decode(body, type=Manifest)
        len(Catalogue(revision=1, manifest=manifest).workspaces)

    return processor_us(work)


def token_cost(tokens: int) -> float:
    """Return the cost of parsing, checking and writing single tokens.

    :param tokens: number of tokens, each in a read of its own
    """
    parser = EventParser('generation')
    reads = [
        b'id: generation:%d\ndata: {"choices":[{"delta":{"content":"word "},'
        b'"index":0,"finish_reason":null}],"id":"c","model":"m"}\n\n' % index
        for index in range(tokens)
    ]

    def work() -> None:
        following = 0
        for data in reads:
            fresh = undelivered_events(parser.feed(data), following)
            following += len(fresh)
            encode_events(fresh, b'handle')

    return processor_us(work)


def ticket_cost(tickets: int) -> float:
    """Return the cost of minting and reading tickets.

    :param tickets: number of tickets
    """

    def work() -> None:
        for number in range(tickets):
            text = sign_ticket(_ticket(number), SECRET)
            read_ticket(text, SECRET)

    return processor_us(work)


def _ticket(number: int) -> Ticket:
    return Ticket(
        incarnation='i' * 32,
        peer_address='127.0.0.1:8081',
        counter=number,
        expires_at=1e6,
        workspace='workspace',
        service='service',
        operation='operation',
    )


def claim_bytes(claims: int) -> float:
    """Return the bytes that claims take in the platform.

    :param claims: number of claims
    """
    claim = Claim(
        incarnation='i' * 32,
        attempt=f'{"i" * 32}/1234567',
        body_digest='d' * 32,
        peer_address='127.0.0.1:8081',
    )
    return claims * len(msgspec.json.encode(claim))


def heartbeat_cost(members: int) -> float:
    """Return the cost of writing and reading heartbeats of all members.

    :param members: number of nodes in the data centre
    """
    heartbeat = Heartbeat(
        node=NODE,
        data_centre=PLACE,
        sequence=1,
        revision=1,
        heard=tuple(f'node-{number}' for number in range(members)),
    )

    def work() -> None:
        for _ in range(members):
            codec.decode(codec.encode(heartbeat), Heartbeat)

    return processor_us(work)


def heartbeat_bytes(members: int) -> float:
    """Return the bytes of one heartbeat.

    :param members: number of nodes in the data centre
    """
    heartbeat = Heartbeat(
        node=f'{PLACE}-{NODE}-1',
        data_centre=PLACE,
        sequence=100_000,
        revision=100_000,
        http_address='127.0.0.1:8080',
        heard=tuple(f'{PLACE}-{NODE}-{number}' for number in range(members)),
    )
    return _envelope_bytes(MessageKind.heartbeat, heartbeat)


def registration_bytes(held: int) -> float:
    """Return the bytes of one registration.

    :param held: number of permits in it
    """
    return _envelope_bytes(MessageKind.registration, registration_of(held))


def digest_bytes(services: int) -> float:
    """Return the bytes of one digest.

    :param services: number of services in it
    """
    digest = Digest(
        data_centre=PLACE,
        revision=100_000,
        loads=tuple(
            ServiceLoad(
                service=f'service-{number}',
                free=100,
                waiting=100,
                wait_ms=1234.5,
            )
            for number in range(services)
        ),
        nodes=tuple(f'127.0.0.{number}:8081' for number in range(15)),
    )
    return _envelope_bytes(MessageKind.digest, digest)


def _envelope_bytes(kind: MessageKind, message: object) -> float:
    envelope = Envelope(
        kind=kind,
        sender='127.0.0.1:8081',
        incarnation='i' * 32,
        body=codec.encode(message),
    )
    return len(codec.encode(envelope))


def decision_memory(decisions: int) -> float:
    """Return the memory of kept decisions.

    :param decisions: number of decisions
    """

    def build() -> object:
        log = create_decision_log(NODE, decisions)
        for number in range(decisions):
            log.note('permit_granted', f'{number:032x}', choice='endpoint-1')
        return log

    return memory_kb(build)


_MEASURES: Final[
    tuple[tuple[str, str, str, tuple[int, ...], Callable[[int], float]], ...]
] = (
    ('scheduler request', 'endpoint', 'us', ENDPOINT_SIZES, cycle_cost),
    ('scheduler registration', 'permit', 'us', SIZES, registration_cost),
    ('scheduler renewal', 'permit', 'us', NODE_PERMIT_SIZES, renewal_cost),
    ('scheduler second', 'permit', 'ms', PERMIT_SIZES, second_cost),
    ('scheduler tick', 'waiting request', 'us', SIZES, waiting_cost),
    ('scheduler memory', 'permit', 'kB', SIZES, scheduler_memory),
    ('catalogue memory', 'workspace', 'kB', SIZES, catalogue_memory),
    ('catalogue decoding', 'workspace', 'us', SIZES, catalogue_cost),
    ('token in and out', 'token', 'us', SIZES, token_cost),
    ('ticket', 'ticket', 'us', SIZES, ticket_cost),
    ('claim', 'claim', 'B', SIZES, claim_bytes),
    ('heartbeat', 'member', 'us', ENDPOINT_SIZES, heartbeat_cost),
    ('decision memory', 'decision', 'kB', SIZES, decision_memory),
    ('heartbeat size', 'member', 'B', ENDPOINT_SIZES, heartbeat_bytes),
    ('registration size', 'permit', 'B', SIZES, registration_bytes),
    ('renewal size', 'permit', 'B', NODE_PERMIT_SIZES, renewal_bytes),
    ('digest size', 'service', 'B', ENDPOINT_SIZES, digest_bytes),
)


def measure_costs() -> list[Slope]:
    """Measure everything that needs no other process."""
    return [
        measure(name, size_unit, cost_unit, sizes, cost)
        for name, size_unit, cost_unit, sizes, cost in _MEASURES
    ]
