"""Emulates engines around one generation, in virtual time.

The generation, its hand-overs and its migration are the product's own; the
connections and the engines are emulated. An engine at work on the run notes
from when to when, so that a test can tell how long two of them were.
"""

import asyncio
import contextlib
import dataclasses
import itertools
from collections.abc import AsyncIterator, Callable, Iterator
from types import MappingProxyType
from typing import Any, Final, cast

from mastichatch_core.relay.byte_budget import (
    ByteBudget,
    HeldBuffer,
    Purpose,
)
from mastichatch_core.relay.model import (
    Endpoint,
    EndpointState,
    Engine,
    RequestKind,
    RequestMetadata,
    Route,
    Service,
)
from mastichatch_core.relay.plain_choice import EndpointStatsTable
from mastichatch_core.relay.process_signs import OpenConnection, ProcessSigns
from mastichatch_core.relay.prompt_quarantine import Verdict
from mastichatch_node.clock import loop_time
from mastichatch_node.peers import UNLIMITED_BYTES
from mastichatch_node.relay.context import Job, RelayContext, RetryAllowance
from mastichatch_node.relay.dialect import (
    ForwardingContext,
    MoveOrder,
    MoveResponse,
)
from mastichatch_node.relay.engine_placement import EnginePlacement
from mastichatch_node.relay.http_client import (
    ExchangeError,
    Headers,
    OutgoingRequest,
    ResponseHead,
)
from mastichatch_node.relay.http_server import IncomingRequest
from mastichatch_node.relay.rollouts.keeper import RolloutKeeper
from mastichatch_node.relay.rollouts.state import RolloutOptions
from mastichatch_node.relay.run_migration import RunMigrator
from mastichatch_node.relay.run_stopping import RunStopper
from mastichatch_node.relay.streaming import Generation

EVENTS: Final = 110
GAP_S: Final = 0.05
TRANSFER_S: Final = 0.2
# Time after which a node gives up an order that has no answer.
MOVE_TIMEOUT_S: Final = 4.0
RECONCILE_INTERVAL_S: Final = 0.05
# Event of the run at which the trouble begins.
TROUBLE_AT: Final = 42
NEVER_S: Final = 1000.0
# Status of an order that has no effect, by the fault.
FAILED_ORDERS: Final = MappingProxyType(
    {'conflict': 409, 'no_room': 503, 'error': 500}
)
PLAY_S: Final = 20.0
ROUTE: Final = Route(
    name='plan',
    host='front',
    prefix='/',
    kind=RequestKind.streaming,
    timeout_ms=PLAY_S * 1000,
    objective_ms=300,
    priority=0,
    services=(),
    attempts=1,
    is_public=True,
    pause_ms=180,
)
SERVICE: Final = Service(
    name='llm',
    health_path='',
    connection_limit=50,
    engine=Engine(
        batch_limit=8,
        memory_tokens=100000,
        bytes_per_token=1,
        link_bytes_per_ms=1,
        can_move=True,
        can_back_up=True,
        tokens_per_event=4,
    ),
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Scenario:
    """What happens to a run.

    :param trouble: ``drain``, ``reset``, ``stall`` or ``crash`` of its engine
    :param head_delay_s: time until the engine with the copy answers
    :param latency_s: one way between the node and each engine
    :param drops_closed: whether engines drop a run whose connection closed
    :param has_copy: whether the copy can be used
    :param order_faults: answers to the first orders to stop, instead of the
        true one: ``reset``, ``conflict``, ``no_room``, ``full`` or ``error``,
        which has no effect and shows none; ``lost``: it is carried out, and its
        answer is lost; ``hang``: the same, and the connection stays open
    :param queues: whether the engine with the copy does not know a run before
        it begins its answer
    :param listener_delay_s: time after the trouble at which the first engine
        stops listening, and serves what it has; ``None`` if it does not
    :param stop_delay_s: time until the first engine obeys an order to stop
    :param is_entry_lost: whether the first engine's entry is lost in the
        trouble, besides
    :param is_unframed: whether a stream ends with its connection, so that a
        stopped run looks like a complete one
    :param trouble_at: event of the run at which the trouble begins
    """

    trouble: str
    head_delay_s: float = 0.015
    latency_s: float = 0.001
    drops_closed: bool = True
    has_copy: bool = True
    order_faults: tuple[str, ...] = ()
    queues: bool = False
    listener_delay_s: float | None = None
    stop_delay_s: float = 0
    is_entry_lost: bool = False
    is_unframed: bool = False
    trouble_at: int = TROUBLE_AT


class EmulatedRun:
    """Work of one engine on the run."""

    def __init__(self, engine: 'EmulatedEngine', first: int) -> None:
        """Start to work now."""
        self.engine = engine
        self.last = first - 1
        self.began_at = loop_time()
        self.ended_at: float | None = None
        self.has_head = False

    @property
    def is_working(self) -> bool:
        """Whether the engine is at work."""
        return self.ended_at is None

    def end(self) -> None:
        """End the work."""
        self.ended_at = self.ended_at or loop_time()


class EmulatedEngine:
    """An engine."""

    def __init__(self, name: str, scenario: Scenario) -> None:
        """Create an engine without a run."""
        self.scenario = scenario
        self.endpoint = Endpoint(
            instance=name,
            service='llm',
            address=name,
            data_centre='north',
            slots=8,
            state=EndpointState.ready,
        )
        self.head_delay_s = 0.005
        self.runs: list[EmulatedRun] = []
        self.copies: set[str] = set()
        self.order_faults: list[str] = []
        self.trouble = ''
        self.is_gone = False
        self.is_listening = True
        self.stop_delay_s = 0.0
        self.connections: list[EmulatedConnection] = []

    @property
    def run(self) -> EmulatedRun | None:
        """The run on which it is at work, if any."""
        return next((one for one in self.runs if one.is_working), None)

    def stop_listening(self) -> None:
        """Accept no new connections, and serve the open ones."""
        self.is_listening = False

    def crash(self) -> None:
        """End at once."""
        self.is_gone = True
        for run in self.runs:
            run.end()
        for connection in self.connections:
            connection.reset()

    async def answer(self, order: MoveOrder, fleet: 'Fleet') -> MoveResponse:
        """Carry out an order to move the run."""
        fault = ''
        if order.is_final and self.order_faults:
            fault = self.order_faults.pop(0)
        if fault == 'reset':
            return MoveResponse(status=0)
        if fault in FAILED_ORDERS:
            return MoveResponse(status=FAILED_ORDERS[fault])
        if order.is_final:
            await asyncio.sleep(self.stop_delay_s)
        run = self.run
        if run is None or (self.scenario.queues and not run.has_head):
            return MoveResponse(status=404)
        handle = f'{self.endpoint.instance}/h{next(fleet.handles)}'
        if order.is_final:
            run.end()
        if fault == 'hang':
            await asyncio.sleep(MOVE_TIMEOUT_S)
        if fault in {'lost', 'hang'}:
            return MoveResponse(status=0)
        if fault == 'full':
            self.copies.add(handle)
            return MoveResponse(status=503, handle=handle.split('/')[1])
        await asyncio.sleep(TRANSFER_S)
        fleet.engines[order.target].copies.add(handle)
        return MoveResponse(status=200, handle=handle.split('/')[1])


class EmulatedConnection:
    """A connection of the node to an engine, as the client provides it."""

    is_new = True

    def __init__(self, engine: EmulatedEngine) -> None:
        """Open a connection."""
        self.address = engine.endpoint.address
        self.is_unframed = engine.scenario.is_unframed
        self.engine = engine
        self.run: EmulatedRun | None = None
        self.task: asyncio.Task[None] | None = None
        self.queue: asyncio.Queue[ResponseHead | bytes | None] = asyncio.Queue()
        self.is_closed = False
        self.is_reset = False
        engine.connections.append(self)

    def set_silence_timeout(self, timeout_ms: int) -> None:
        """Do nothing: no emulated link is silent."""

    def close(self) -> None:
        """Close the connection, which the engine may notice."""
        self.is_closed = True
        self.queue.put_nowait(None)
        if self.run is not None and self.engine.scenario.drops_closed:
            asyncio.get_running_loop().call_later(
                self.engine.scenario.latency_s, self.run.end
            )

    def reset(self) -> None:
        """Let the connection be reset on the way, unnoticed by the engine."""
        self.is_reset = True
        self.queue.put_nowait(None)

    async def send(self, request: OutgoingRequest) -> None:
        """Send the request."""
        await asyncio.sleep(self.engine.scenario.latency_s)
        self.task = asyncio.ensure_future(self._serve(dict(request.headers)))

    async def read_head(self) -> ResponseHead:
        """Return the head of the answer."""
        head = await self._next()
        assert isinstance(head, ResponseHead)
        return head

    async def read_part(self) -> bytes | None:
        """Return the next event, or ``None`` at the end."""
        part = await self._next()
        assert isinstance(part, bytes)
        return part or None

    def hold(
        self, purpose: Purpose
    ) -> contextlib.AbstractContextManager[HeldBuffer]:
        """Provide a buffer without a limit."""
        return ByteBudget(UNLIMITED_BYTES).hold(purpose, self.address)

    async def read_body(self, limit: int, purpose: Purpose) -> bytes:
        """Return the empty body of a refusal."""
        return b''

    async def _next(self) -> ResponseHead | bytes:
        item = await self.queue.get()
        if item is None:
            reason = 'closed' if self.is_closed else 'reset'
            raise ExchangeError(
                reason, was_sent=True, is_closed_by_peer=not self.is_closed
            )
        return item

    async def _put(self, item: ResponseHead | bytes | None) -> None:
        await asyncio.sleep(self.engine.scenario.latency_s)
        self.queue.put_nowait(item)

    async def _serve(self, headers: dict[bytes, bytes]) -> None:
        engine = self.engine
        source = headers.get(b'from', b'').decode()
        if source and source not in engine.copies:
            await self._put(ResponseHead(status=503, headers=()))
            return
        engine.copies.discard(source)
        run = EmulatedRun(engine, int(headers[b'after']) + 1)
        engine.runs.append(run)
        self.run = run
        await asyncio.sleep(engine.head_delay_s if source else 0)
        run.has_head = True
        if engine.scenario.queues:
            run.began_at = loop_time()
        has_begun = run.is_working
        if has_begun:
            await self._put(ResponseHead(status=200, headers=()))
        while run.is_working and run.last < EVENTS:
            await asyncio.sleep(GAP_S)
            run.last += 1
            if not run.is_working:
                break
            if engine.trouble != 'stall':
                await self._put(b'id: %d\ndata: x\n\n' % run.last)
        is_whole = run.is_working or (
            has_begun
            and self.is_unframed
            and not (engine.is_gone or self.is_closed)
        )
        run.end()
        if engine.trouble != 'stall':
            await self._put(b'' if is_whole else None)


class Fleet:
    """Three engines, and the pool of connections to them."""

    def __init__(self, scenario: Scenario) -> None:
        """Create the engines."""
        self.scenario = scenario
        self.handles = itertools.count()
        self.reusable: set[str] = set()
        self.signs = ProcessSigns()
        names = ('first', 'copy', 'third')
        self.engines = {name: EmulatedEngine(name, scenario) for name in names}
        self.first, self.copy, self.third = self.engines.values()
        self.copy.head_delay_s = scenario.head_delay_s
        self.first.order_faults = list(scenario.order_faults)
        self.first.stop_delay_s = scenario.stop_delay_s
        if scenario.has_copy:
            self.copy.copies.add('copy/r1')
        # Another run of this node, whose connection only a crash closes.
        self.signs.record_connect(
            OpenConnection(
                self.first.endpoint.address, lambda: not self.first.is_gone
            )
        )

    async def take(
        self, address: str, idle_limit_s: float, request: object = None
    ) -> Any:
        """Open a connection."""
        await self._connect(address)
        return EmulatedConnection(self.engines[address])

    def release(self, connection: EmulatedConnection) -> None:
        """Close a connection, or keep it for an order."""
        if connection.task is None:
            self.reusable.add(connection.address)
        connection.close()

    async def move_run(self, order: MoveOrder) -> MoveResponse:
        """Send an order to an engine."""
        try:
            if order.address not in self.reusable:
                await self._connect(order.address)
        except ExchangeError:
            return MoveResponse(status=0, is_connection_refused=True)
        self.reusable.discard(order.address)
        if order.on_connect is not None:
            order.on_connect()
        await asyncio.sleep(self.scenario.latency_s)
        answer = await self.engines[order.address].answer(order, self)
        await asyncio.sleep(self.scenario.latency_s)
        if order.is_final and answer.status:
            self.reusable.add(order.address)
        return answer

    async def drop_copy(self, address: str, handle: str) -> None:
        """Free a copy."""
        for engine in self.engines.values():
            engine.copies.discard(f'{address}/{handle}')

    def begin_trouble(self) -> None:
        """Let the trouble of the scenario happen to the first engine."""
        self.first.trouble = self.scenario.trouble
        if self.scenario.listener_delay_s is not None:
            asyncio.get_running_loop().call_later(
                self.scenario.listener_delay_s, self.first.stop_listening
            )
        if self.scenario.trouble == 'crash':
            self.first.crash()
        elif self.scenario.trouble == 'reset':
            for connection in self.first.connections:
                connection.reset()
        elif self.scenario.trouble == 'drain':
            self.first.endpoint = dataclasses.replace(
                self.first.endpoint, state=EndpointState.draining
            )

    def doubled_s(self) -> float:
        """Return the longest time for which two engines were at work."""
        runs = [
            run
            for engine in self.engines.values()
            for run in engine.runs
            # A run in the queue of an engine is not at work.
            if run.has_head or not self.scenario.queues
        ]
        now = loop_time()
        overlaps = [
            min(one.ended_at or now, other.ended_at or now)
            - max(one.began_at, other.began_at)
            for one, other in itertools.combinations(runs, 2)
        ]
        return max(overlaps, default=0)

    async def _connect(self, address: str) -> None:
        await asyncio.sleep(2 * self.scenario.latency_s)
        engine = self.engines[address]
        if engine.is_gone or not engine.is_listening:
            self.signs.record_refusal(address, loop_time())
            raise ExchangeError(
                'refused', was_sent=False, is_connection_refused=True
            )


class Caller:
    """The answer to the caller."""

    def __init__(self) -> None:
        """Start without an answer."""
        self.status = 0
        self.body = b''
        self.is_whole = False

    async def start(self, status: int, headers: Headers) -> None:
        """Begin the answer."""
        self.status = status

    async def write(self, part: bytes) -> None:
        """Add events."""
        self.body += part

    async def finish(self) -> None:
        """End the answer."""
        self.is_whole = True

    async def send(self, status: int, headers: Headers, body: bytes) -> None:
        """Answer at once."""
        self.status = status

    @property
    def events(self) -> list[int]:
        """Numbers of the events."""
        lines = self.body.decode().splitlines()
        return [int(line[4:]) for line in lines if line.startswith('id: ')]


class _NoSlots:
    """Engines that are not brittle."""

    @property
    def brittle(self) -> '_NoSlots':
        return self

    def is_brittle(self, _: str) -> bool:
        return False

    def in_progress(self, _: object) -> contextlib.AbstractContextManager[None]:
        return contextlib.nullcontext()


class _Quiet:
    """Takes the place of components that only record."""

    def __getattr__(self, name: str) -> Any:
        return lambda *positional, **named: None


class _Contact(_Quiet):
    def tell(self, callback: Callable[[], None]) -> None:
        callback()


class _Isolation(_Quiet):
    is_isolated = False
    contact = _Contact()

    async def settle(self) -> None:
        """Return at once: other endpoints are reached."""


class _Placer(_Quiet):
    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet

    async def place(self, job: Job, excluded: frozenset[str]) -> Any:
        return EnginePlacement(
            endpoint=self._fleet.first.endpoint,
            copy=self._fleet.copy.endpoint,
        )

    def accepts_runs(self, endpoint: Endpoint, source: Endpoint) -> bool:
        return self._fleet.engines[endpoint.instance].trouble != 'drain'

    def choose_destination_engine(
        self,
        job: Job,
        run: object,
        excluded: frozenset[str],
        source: Endpoint,
        memory_share: float,
    ) -> Endpoint | None:
        found = (self._fleet.third.endpoint, self._fleet.copy.endpoint)
        return next(
            (one for one in found if one.instance not in excluded), None
        )


class _Crashes(_Quiet):
    def judge(self, parts: object, endpoint: object) -> Verdict:
        return Verdict()

    async def report_crash(self, *positional: object, **named: object) -> None:
        """Do nothing."""


@dataclasses.dataclass
class _View:
    """Takes the place of the node's view of runs and endpoints."""

    fleet: Fleet
    generations: list[Generation] = dataclasses.field(default_factory=list)

    @property
    def configuration(self) -> None:
        """None, so that no decision is made for hard load."""
        return None

    @property
    def table(self) -> '_View':
        return self

    def iter_runs(self, now: float) -> tuple[()]:
        return ()

    def record(self, run: object, *, announce: bool = True) -> None:
        """Do nothing."""

    def endpoints(self, now: float) -> MappingProxyType[str, Endpoint]:
        engines = self.fleet.engines.items()
        return MappingProxyType(
            {
                name: engine.endpoint
                for name, engine in engines
                if not (engine.trouble and self.fleet.scenario.is_entry_lost)
            }
        )


class _Dialect(_Quiet):
    def __init__(self, fleet: Fleet) -> None:
        self.move_run = fleet.move_run
        self.drop_copy = fleet.drop_copy

    def relayed_headers(
        self, headers: Headers, forwarding: ForwardingContext
    ) -> Headers:
        resumption = forwarding.resumption
        if resumption is None:
            return ((b'after', b'0'),)
        source = f'{resumption.address}/{resumption.handle}'
        return (
            (b'from', source.encode()),
            (b'after', str(resumption.last_event or 0).encode()),
        )

    def read_response_id(self, head: ResponseHead) -> str:
        return 'r1'

    def is_genuine(self, head: ResponseHead) -> bool:
        return True

    def proves_not_run(self, head: ResponseHead) -> bool:
        return head.status == 503


def _create_context(fleet: Fleet, view: _View) -> RelayContext:
    dialect = cast(Any, _Dialect(fleet))
    return RelayContext(
        node='north-1',
        data_centre='north',
        belief=cast(Any, view),
        sharing=cast(Any, view),
        records=EndpointStatsTable(),
        turns=cast(Any, _Quiet()),
        slots=cast(Any, _NoSlots()),
        retries=RetryAllowance(100, 1000),
        pool=cast(Any, fleet),
        dialect=dialect,
        telemetry=cast(Any, _Quiet()),
        crashes=cast(Any, _Crashes()),
        stopper=RunStopper(dialect, cast(Any, _Quiet()), cast(Any, fleet)),
        rollouts=RolloutKeeper(
            RolloutOptions(),
            cast(Any, view),
            cast(Any, _Quiet()),
            'north',
            lambda: 1,
        ),
        proxy_peers=cast(Any, _Quiet()),
        proxy_pool=cast(Any, fleet),
        isolation=cast(Any, _Isolation()),
    )


def _create_job() -> Job:
    now = loop_time()
    return Job(
        request=IncomingRequest(
            method=b'POST',
            target=b'/',
            host='front',
            headers=(),
            body=b'',
            arrived_at=now,
        ),
        facts=RequestMetadata(
            request_id='r1',
            timeout_ms=PLAY_S * 1000,
            api_key='',
            prompt_tokens=100,
            output_limit=2000,
        ),
        route=ROUTE,
        workspace=None,
        service=SERVICE,
        ends_at=now + PLAY_S,
    )


@contextlib.contextmanager
def _migrating(
    context: RelayContext, placer: _Placer, view: _View
) -> Iterator[None]:
    migrator = RunMigrator(context, cast(Any, placer), cast(Any, view))

    async def reconcile() -> None:
        while True:
            migrator.reconcile()
            await asyncio.sleep(RECONCILE_INTERVAL_S)

    task = asyncio.ensure_future(reconcile())
    try:
        yield
    finally:
        task.cancel()
        migrator.close()


@contextlib.asynccontextmanager
async def play(scenario: Scenario) -> AsyncIterator[tuple[Fleet, Caller]]:
    """Play a scenario to its end, and provide what came of it."""
    fleet, caller = Fleet(scenario), Caller()
    view = _View(fleet)
    context = _create_context(fleet, view)
    placer = _Placer(fleet)
    generation = Generation(
        context, cast(Any, placer), _create_job(), cast(Any, caller)
    )
    view.generations.append(generation)
    work = asyncio.ensure_future(generation.relay())
    with _migrating(context, placer, view):
        while (generation.order.last or 0) < scenario.trouble_at:
            await asyncio.sleep(GAP_S / 4)
        fleet.begin_trouble()
        await asyncio.wait((work,), timeout=PLAY_S)
        work.cancel()
        await asyncio.gather(work, return_exceptions=True)
        # What goes on unnoticed after the end counts as well.
        await asyncio.sleep(EVENTS * GAP_S)
    yield fleet, caller
    context.stopper.close()
