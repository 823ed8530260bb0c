"""In-memory fakes around ``Calls``: platform, peers, permits, endpoint.

Each node awaits ``Node.step`` before and after every external operation, so
that a test can pause or kill it between any two of them.
"""

import asyncio
import contextlib
import dataclasses
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar, cast

from mastichatch_core.catalogue import Catalogue
from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.manifest import (
    DataCentre,
    Endpoint,
    Manifest,
    Operation,
    Service,
    ServiceKind,
    Workspace,
)
from mastichatch_core.generated.messages import (
    CallOutcome,
    Envelope,
    ErrorKind,
    ForwardCall,
    MessageKind,
    PermitGrant,
    PermitOutcome,
    PermitRequest,
    Ran,
    Term,
)
from mastichatch_core.generated.settings import Settings
from mastichatch_node.calls import Calls, open_calls
from mastichatch_node.decisions import create_decision_log
from mastichatch_node.metrics import create_metrics
from mastichatch_node.peers import Reply
from mastichatch_node.plain_client import Guard, PlainAnswer, PlainRequest
from mastichatch_node.platform import (
    LeaseGoneError,
    RevisionMismatchError,
    StoredValue,
)

T = TypeVar('T')

REFUSED_STATUS = 409
RETENTION_S = 3600
PLATFORM_TIMEOUT_S = 1.0
PERMIT_LEASE_S = 2.0
HOP_S = 0.002
CATALOGUE = Catalogue(
    revision=1,
    manifest=Manifest(
        data_centres=(DataCentre(name='north'),),
        services=(
            Service(
                name='dispatch',
                kind=ServiceKind.plain,
                queue_deadline_ms=10000,
                operations=(
                    Operation(
                        name='book',
                        timeout_ms=2000,
                        not_run_statuses=(REFUSED_STATUS,),
                        key_retention_ms=RETENTION_S * 1000,
                    ),
                    Operation(name='status', idempotent=True, timeout_ms=2000),
                ),
            ),
        ),
        endpoints=tuple(
            Endpoint(
                name=f'dispatch-{number}',
                service='dispatch',
                data_centre='north',
                host=f'host-{number}',
                address=f'127.0.0.1:{number}',
            )
            for number in range(1, 4)
        ),
        workspaces=(Workspace(name='depot'),),
    ),
)


def now() -> float:
    """Return the virtual time."""
    return asyncio.get_running_loop().time()


@dataclasses.dataclass
class Platform:
    """The platform's key-value service, with faults set by tests."""

    values: dict[str, tuple[bytes, int, str]] = dataclasses.field(
        default_factory=dict
    )
    leases: dict[str, float] = dataclasses.field(default_factory=dict)
    revision: int = 0
    unavailable: bool = False
    lost_answers: int = 0
    late_write_s: float = 0

    def delete_expired(self) -> None:
        """Delete expired keys."""
        for lease, until in tuple(self.leases.items()):
            if until <= now():
                del self.leases[lease]
        for key, stored in tuple(self.values.items()):
            if stored[2] not in self.leases:
                del self.values[key]

    def put(self, key: str, value: bytes, expect: int, lease: str) -> int:
        """Write a key under a lease."""
        self.delete_expired()
        if lease not in self.leases:
            raise LeaseGoneError
        current = self.values.get(key, (b'', 0, ''))[1]
        if current != expect:
            raise RevisionMismatchError(current)
        self.revision += 1
        self.values[key] = (value, self.revision, lease)
        return self.revision


@dataclasses.dataclass
class Execution:
    """An execution of a call at the endpoint."""

    request_id: str
    body: bytes
    sent_at: float


@dataclasses.dataclass
class World:
    """State that the nodes share, with faults of the endpoint and links."""

    platform: Platform = dataclasses.field(default_factory=Platform)
    nodes: dict[str, 'Node'] = dataclasses.field(default_factory=dict)
    executions: list[Execution] = dataclasses.field(default_factory=list)
    tasks: set[asyncio.Task[Any]] = dataclasses.field(default_factory=set)
    endpoint: str = 'healthy'
    permit_delay_s: float = 0
    permit_refused: bool = False
    duplicate_messages: bool = False
    violations: list[str] = dataclasses.field(default_factory=list)
    peers_disconnected: bool = False

    def spawn(self, coroutine: Any) -> asyncio.Task[Any]:
        """Run a coroutine in a task that no node waits for."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        return task

    def executions_of(self, body: bytes) -> list[Execution]:
        """Return the executions of a body."""
        return [run for run in self.executions if run.body == body]


class Node:
    """A node: real ``Calls`` over fakes that await ``step``."""

    def __init__(self, world: World, address: str, incarnation: str) -> None:
        """Start running, without calls."""
        self.world = world
        self.address = address
        self.incarnation = incarnation
        self.running = asyncio.Event()
        self.running.set()
        self.killed = asyncio.Event()
        self.handlers: dict[MessageKind, tuple[Any, Any]] = {}
        self.expiries: dict[tuple[str, int], float] = {}
        self.used: set[tuple[str, int]] = set()
        self.outcomes: list[PermitOutcome] = []
        self.excluded: list[tuple[str, ...]] = []
        self.stack = contextlib.AsyncExitStack()
        self.calls: Calls = cast(Calls, None)
        world.nodes[address] = self

    async def open(self) -> 'Node':
        """Start the node."""
        settings = Settings(
            name=self.address.replace(':', '-'),
            data_centre='north',
            platform='127.0.0.1:1',
        )
        configuration = cast(Any, self)
        self.calls = await self.stack.enter_async_context(
            open_calls(
                settings,
                cast(Any, FakePlatform(self)),
                cast(Any, self),
                cast(Any, self),
                configuration,
                cast(Any, self),
                create_decision_log('node', 1000),
                create_metrics(''),
                self.send_plain,
            )
        )
        return self

    async def step(self) -> None:
        """Take one step: wait while paused, and forever once killed."""
        await asyncio.sleep(HOP_S)
        while not self.running.is_set() or self.killed.is_set():
            await self.running.wait()
            if self.killed.is_set():
                await asyncio.Event().wait()

    def kill(self) -> None:
        """Stop this node forever; it takes no further step."""
        self.killed.set()
        if self.world.nodes.get(self.address) is self:
            del self.world.nodes[self.address]

    # Configuration and membership.

    leaving_hosts: frozenset[str] = frozenset()

    current = CATALOGUE
    revision = 1
    data_centre = 'north'

    @property
    def own(self) -> 'Node':
        """This node as a member."""
        return self

    def digests(self) -> tuple[Any, ...]:
        """Return no digest: no other data centre is known."""
        return ()

    # Peers.

    def on(self, kind: MessageKind, message_type: Any, handler: Any) -> None:
        """Register a message handler."""
        self.handlers[kind] = (message_type, handler)

    async def ask(
        self,
        address: str,
        kind: MessageKind,
        message: Any,
        answer_type: type[T],
        *,
        timeout_ms: float,
        recipient: str = '',
    ) -> T:
        """Send a query to another node and return its answer."""
        await self.step()
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                reply = await self._deliver(address, kind, message, recipient)
        except TimeoutError:
            raise MastichatchError(ErrorKind.peer_unreachable) from None
        await self.step()
        return cast(T, reply.message)

    async def _deliver(
        self, address: str, kind: MessageKind, message: Any, recipient: str
    ) -> Reply:
        peer = self.world.nodes.get(address)
        if peer is None or self.world.peers_disconnected:
            await asyncio.Event().wait()
            raise AssertionError
        if peer.incarnation != recipient:
            raise MastichatchError(ErrorKind.peer_unreachable)
        envelope = Envelope(
            kind=kind, sender=self.address, incarnation='', body=b''
        )
        handler: Callable[[Any, Envelope], Awaitable[Reply]]
        handler = peer.handlers[kind][1]
        deliveries = 2 if self.world.duplicate_messages else 1
        tasks = [
            self.world.spawn(peer.handle(handler, message, envelope))
            for _ in range(deliveries)
        ]
        reply = cast(Reply, await asyncio.shield(tasks[0]))
        if self.world.peers_disconnected:
            await asyncio.Event().wait()
        return reply

    async def handle(self, handler: Any, message: Any, envelope: Any) -> Reply:
        """Handle a message in this node."""
        await self.step()
        reply = await handler(message, envelope)
        await self.step()
        return cast(Reply, reply)

    # Permits.

    async def acquire(self, request: PermitRequest) -> PermitGrant:
        """Grant a permit, unless the test refuses permits."""
        await self.step()
        await asyncio.sleep(self.world.permit_delay_s)
        if self.world.permit_refused:
            raise MastichatchError(ErrorKind.queue_full)
        self.excluded.append(request.excluded)
        self.expiries[request.request_id, request.attempt] = (
            now() + PERMIT_LEASE_S
        )
        await self.step()
        names = [f'dispatch-{number}' for number in range(1, 4)]
        free = [name for name in names if name not in request.excluded]
        return PermitGrant(
            request_id=request.request_id,
            attempt=request.attempt,
            service=request.service,
            endpoint=(free or names)[0],
            term=Term(number=1, incarnation='i'),
            lease_ms=PERMIT_LEASE_S * 1000,
        )

    def still_valid(self, grant: PermitGrant) -> bool:
        """Return whether the permit has not expired."""
        return now() < self.expiries[grant.request_id, grant.attempt]

    def mark_used(self, grant: PermitGrant) -> None:
        """Record the first use."""
        if (grant.request_id, grant.attempt) in self.used:
            self.world.violations.append('a permit was used twice')
        self.used.add((grant.request_id, grant.attempt))

    def release(self, grant: PermitGrant, outcome: PermitOutcome) -> None:
        """Record the outcome of the permit."""
        unused = {PermitOutcome.unused, PermitOutcome.unreachable}
        if ((grant.request_id, grant.attempt) in self.used) != (
            outcome not in unused
        ):
            self.world.violations.append(f'released as {outcome}')
        self.outcomes.append(outcome)

    def highest_term(self, service: str, data_centre: str) -> int:
        """Return the only term."""
        return 1

    def load(self, service: str, data_centre: str) -> None:
        """Return no load: none is known."""

    # Endpoint.

    async def send_plain(
        self, address: str, request: PlainRequest, guard: Guard
    ) -> PlainAnswer:
        """Send a call to the endpoint, with the fault set by the test."""
        await self.step()
        if self.world.endpoint == 'unreachable':
            raise MastichatchError(ErrorKind.endpoint_unreachable)
        await self.step()
        guard()
        sent_at = now()
        # The node may pause here; the bytes are sent once it resumes.
        delivery = self.world.spawn(self._execute(request, sent_at))
        try:
            async with asyncio.timeout(request.timeout_s):
                answer = await asyncio.shield(delivery)
        except TimeoutError:
            raise MastichatchError(ErrorKind.endpoint_unreachable) from None
        await self.step()
        return cast(PlainAnswer, answer)

    async def _execute(
        self, request: PlainRequest, sent_at: float
    ) -> PlainAnswer:
        await self.step()
        mode = self.world.endpoint
        if mode == 'late':
            await asyncio.sleep(30)
        if mode == 'lost':
            await asyncio.Event().wait()
        if mode == 'refusing':
            return PlainAnswer(status=REFUSED_STATUS, content_type='', body=b'')
        self.world.executions.append(
            Execution(request.request_id, request.body, sent_at)
        )
        if mode == 'silent':
            await asyncio.Event().wait()
        if mode == 'slow':
            await asyncio.sleep(1)
        status = 500 if mode == 'failing' else 200
        return PlainAnswer(
            status=status, content_type='application/json', body=request.body
        )


class FakePlatform:
    """A node's client of the platform."""

    def __init__(self, node: Node) -> None:
        """Use the steps of a node."""
        self._node = node
        self._platform = node.world.platform

    async def read(self, key: str) -> StoredValue | None:
        """Read a key."""
        await self._arrive()
        self._platform.delete_expired()
        stored = self._platform.values.get(key)
        await self._node.step()
        if stored is None:
            return None
        return StoredValue(value=stored[0], revision=stored[1])

    async def write(
        self, key: str, value: bytes, *, expect: int, lease: str
    ) -> int:
        """Write a key; the answer may be lost and the write delayed."""
        await self._arrive()
        if self._platform.late_write_s:
            self._node.world.spawn(self._write_late(key, value, expect, lease))
            await self._fail()
        revision = self._platform.put(key, value, expect, lease)
        if self._platform.lost_answers:
            self._platform.lost_answers -= 1
            await self._fail()
        await self._node.step()
        return revision

    async def grant_lease(self, ttl_ms: int) -> str:
        """Grant a lease."""
        await self._arrive()
        lease = f'lease-{len(self._platform.leases)}-{now()}'
        self._platform.leases[lease] = now() + ttl_ms / 1000
        await self._node.step()
        return lease

    async def _write_late(
        self, key: str, value: bytes, expect: int, lease: str
    ) -> None:
        await asyncio.sleep(self._platform.late_write_s)
        with contextlib.suppress(MastichatchError):
            self._platform.put(key, value, expect, lease)

    async def _arrive(self) -> None:
        await self._node.step()
        if self._platform.unavailable:
            await self._fail()

    async def _fail(self) -> None:
        await asyncio.sleep(PLATFORM_TIMEOUT_S)
        await self._node.step()
        raise MastichatchError(ErrorKind.platform_unavailable)


@dataclasses.dataclass(eq=False)
class Answer:
    """A caller's answer, with the times when the call began and ended."""

    request_id: str
    key: str
    body: bytes
    began_at: float
    ended_at: float = 0
    ran: Ran | None = None
    error: ErrorKind | None = None
    outcome: CallOutcome | None = None


async def ask_node(node: Node, answer: Answer, operation: str = 'book') -> None:
    """Make a call and record the answer, unless the node is killed."""
    try:
        outcome = await node.calls.call(
            answer.request_id,
            'depot',
            'dispatch',
            operation,
            answer.key,
            answer.body,
        )
    except MastichatchError as error:
        answer.ran = error.ran
        answer.error = error.kind
    else:
        answer.ran = outcome.ran
        answer.outcome = outcome
    answer.ended_at = now()


def forward_of(key: str, body: bytes) -> ForwardCall:
    """Return a forwarded call of ``book``."""
    return ForwardCall(
        request_id='forwarded',
        service='dispatch',
        operation='book',
        workspace='depot',
        key=key,
        body=body,
    )
