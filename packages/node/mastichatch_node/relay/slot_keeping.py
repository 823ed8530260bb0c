"""Requests and returns the slots of brittle endpoints.

Each request to such an endpoint has a slot, which one node grants to all. A
request without one waits at its own node, in a queue of the granter.
"""

import asyncio
import collections
import contextlib
import dataclasses
import functools
import itertools
import math
from collections.abc import Collection, Iterator, Sequence
from typing import Final

from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.messages import (
    Envelope,
    MessageKind,
    SlotAnswer,
    SlotOutcome,
    SlotRequest,
    SlotState,
)
from mastichatch_core.relay.model import Endpoint
from mastichatch_core.units import MS_PER_S
from mastichatch_node.clock import loop_time
from mastichatch_node.peers import Peers
from mastichatch_node.relay.awake_waiting import wait_awake
from mastichatch_node.relay.brittle_tracking import BrittleTracker
from mastichatch_node.relay.slot_granting import SlotGranter
from mastichatch_node.relay.slot_returning import SlotReturns, SlotSources
from mastichatch_node.relay.store_following import NodeRegistry

# Two nodes answer each other within a few milliseconds, unless one is busy.
ASK_TIMEOUT_S: Final = 0.3
# Answers count up to this time.
LATE_S: Final = 1.0
# A granter that has not answered is not asked again for this time.
SILENT_S: Final = 0.5
# Interval at which a request that is queued is repeated, in case its granter
# has stopped or the grant was lost.
REPEAT_S: Final = 0.25
# Shorter waits are not worth another question.
MIN_WAIT_S: Final = 0.001
# Endpoints of which a request asks for a slot, at most.
MAX_TRIES: Final = 3
# Time for which an endpoint may go on with a request whose connection has
# closed.
LINGER_S: Final = 0.5
# Differences of expected waits below this do not change the order.
WAIT_STEP_S: Final = 0.05


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SlotNeed:
    """What a request needs of a slot.

    :param rank: priority; zero is the highest
    :param longest_s: longest time to wait for it, in seconds
    :param hold_s: longest time for which the request uses it, in seconds
    """

    rank: int
    longest_s: float
    hold_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Slot:
    """A slot of an endpoint.

    :param endpoint: the endpoint
    :param ticket: id of the slot
    :param granter: name of the node that granted it
    :param ledger: its ledger
    """

    endpoint: Endpoint
    ticket: str
    granter: str
    ledger: str


class SlotKeeper:
    """The slots of brittle endpoints that this node holds."""

    def __init__(
        self,
        registry: NodeRegistry,
        peers: Peers,
        brittle: BrittleTracker,
        granter: SlotGranter,
    ) -> None:
        """Start without slots.

        :param registry: registrations of the other nodes
        :param peers: connections to other nodes
        :param brittle: the brittle endpoints
        :param granter: grants slots if this node is asked for them
        """
        self._registry = registry
        self._peers = peers
        self._brittle = brittle
        self._granter = granter
        # Requests of this node in progress, by endpoint.
        self._running: collections.Counter[str] = collections.Counter()
        self._metrics = brittle.telemetry.slots
        self._numbers = itertools.count(1)
        # Slots that this node holds, by endpoint, granter and ledger.
        self._held: collections.Counter[tuple[str, str, str]] = (
            collections.Counter()
        )
        # The last known ledger of each granter.
        self._ledgers: dict[str, str] = {}
        self._claims: dict[str, _Claim] = {}
        self._asking: set[asyncio.Task[bool]] = set()
        self._returns = SlotReturns(
            SlotSources(
                registry=registry, peers=peers, brittle=brittle, granter=granter
            ),
            self._exchange,
        )
        self._opens_at: dict[str, float] = {}
        self._silent_until: dict[str, float] = {}
        # When the last question was asked that a granter has answered.
        self._answered_at: dict[str, float] = {}
        granter.subscribe(functools.partial(self._settle, registry.own_name))
        peers.on(MessageKind.slot_answer, SlotAnswer, self._handle_pushed)

    @property
    def brittle(self) -> BrittleTracker:
        """The brittle endpoints."""
        return self._brittle

    @property
    def granter(self) -> SlotGranter:
        """The slots that this node grants."""
        return self._granter

    def keep_only(self, instances: Collection[str]) -> None:
        """Forget endpoints that no longer exist.

        :param instances: instance ids of the endpoints that exist
        """
        self._brittle.keep_only(instances)
        self._granter.keep_only(instances)
        for gone in self._opens_at.keys() - set(instances):
            self._opens_at.pop(gone)

    @contextlib.contextmanager
    def in_progress(self, endpoint: Endpoint) -> Iterator[None]:
        """Count a request as in progress at an endpoint during the block.

        :param endpoint: the endpoint
        """
        instance = endpoint.instance
        self._running[instance] += 1
        try:
            yield
        finally:
            self._running[instance] -= 1
            if not self._running[instance]:
                self._running.pop(instance)

    def opens_in_s(self, endpoints: Sequence[Endpoint]) -> float:
        """Return the time until one of some endpoints may have a slot.

        :param endpoints: brittle endpoints
        :returns: time in seconds; zero if that is not known
        """
        return min(map(self._delay_s, endpoints), default=0)

    async def acquire(
        self, endpoints: Sequence[Endpoint], need: SlotNeed
    ) -> Slot | None:
        """Wait for a slot of one of some endpoints.

        :param endpoints: endpoints, the preferred ones first
        :param need: what the request needs
        :returns: ``None`` if there is none in time, which is known at once
        """
        ends_at = loop_time() + need.longest_s
        left = list(endpoints)
        for _ in range(MAX_TRIES):
            if not left:
                break
            steps = [int(self._delay_s(one) / WAIT_STEP_S) for one in left]
            endpoint = left.pop(steps.index(min(steps)))
            slot = await self._obtain(endpoint, need, ends_at)
            if slot is not None:
                return slot
            if loop_time() >= ends_at:
                break
        return None

    def give_back(self, slot: Slot, outcome: SlotOutcome) -> None:
        """Return a slot.

        :param slot: the slot
        :param outcome: what became of its request
        """
        self._metrics.count_returned(outcome)
        instance = slot.endpoint.instance
        key = (instance, slot.granter, slot.ledger)
        self._held[key] -= 1
        if self._held[key] <= 0:
            self._held.pop(key)
        if outcome is SlotOutcome.rejected:
            self.report_failure(slot.endpoint, outcome, slot.ticket)
        if outcome in {SlotOutcome.rejected, SlotOutcome.lost}:
            # Its granter may be none of the present ones, and a fall is
            # reported apart.
            outcome = SlotOutcome.unused
        self._returns.send(slot.granter, slot.endpoint, slot.ticket, outcome)

    def report_failure(
        self, endpoint: Endpoint, outcome: SlotOutcome, ticket: str = ''
    ) -> None:
        """Tell the granters that an endpoint rejected a request, or fell.

        :param endpoint: the endpoint
        :param outcome: what became of the request
        :param ticket: its slot; empty without one
        """
        self._brittle.telemetry.log_state_change(
            'brittle_endpoint_failed',
            instance=endpoint.instance,
            outcome=outcome,
            in_progress=self._running[endpoint.instance],
        )
        for granter in self._granter.granters(endpoint):
            self._returns.send(granter, endpoint, ticket, outcome)

    def give_back_later(self, slot: Slot) -> None:
        """Return a slot of a request that its endpoint may still work on.

        :param slot: the slot
        """
        asyncio.get_running_loop().call_later(
            LINGER_S, self.give_back, slot, SlotOutcome.unused
        )

    def _delay_s(self, endpoint: Endpoint) -> float:
        opens_at = self._opens_at.get(endpoint.instance, -math.inf)
        return max(0, opens_at - loop_time())

    async def _obtain(
        self, endpoint: Endpoint, need: SlotNeed, ends_at: float
    ) -> Slot | None:
        """Wait for a slot of one endpoint."""
        claim = _Claim(
            ticket=f'{self._peers.incarnation}-{next(self._numbers)}',
            endpoint=endpoint,
            settled=asyncio.get_running_loop().create_future(),
        )
        self._claims[claim.ticket] = claim
        try:
            await self._claim(claim, need, ends_at)
        finally:
            self._claims.pop(claim.ticket)
            self._return_unused(claim)
        grant = claim.grant
        if grant is None:
            return None
        self._held[endpoint.instance, grant.granter, grant.ledger] += 1
        return Slot(
            endpoint=endpoint,
            ticket=claim.ticket,
            granter=grant.granter,
            ledger=grant.ledger,
        )

    def _return_unused(self, claim: '_Claim') -> None:
        """Return what the granters granted besides, or may grant later."""
        grant = claim.grant
        for granter in claim.asked.values():
            if grant is None or granter != grant.granter:
                self._returns.send(granter, claim.endpoint, claim.ticket)

    async def _claim(
        self, claim: '_Claim', need: SlotNeed, ends_at: float
    ) -> None:
        """Ask for a slot until it is granted or denied, or the time ends."""
        while True:
            left_s = max(0, ends_at - loop_time())
            request = SlotRequest(
                brittle=self._brittle.tell(claim.endpoint.instance),
                ticket=claim.ticket,
                rank=need.rank,
                wait_ms=left_s * MS_PER_S,
                hold_ms=(need.hold_s + left_s) * MS_PER_S,
            )
            await self._ask(claim, request)
            left_s = ends_at - loop_time()
            if claim.settled.done() or left_s < MIN_WAIT_S:
                return
            await wait_awake((claim.settled,), min(REPEAT_S, left_s))
            if claim.settled.done() or loop_time() >= ends_at:
                return

    async def _ask(self, claim: '_Claim', request: SlotRequest) -> None:
        """Ask a node that grants the slots of an endpoint, or both.

        Answers of both count, also if they arrive late. If a granter has
        answered a later question, only a message was lost.
        """
        for granter in self._audible_granters(claim.endpoint):
            asked_at = loop_time()
            asking = asyncio.get_running_loop().create_task(
                self._ask_one(granter, claim, request)
            )
            self._asking.add(asking)
            asking.add_done_callback(self._asking.discard)
            await wait_awake((asking, claim.settled), ASK_TIMEOUT_S)
            is_answered = asking.done() and asking.result()
            if claim.settled.done() or is_answered:
                return
            if self._answered_at.get(granter, -math.inf) >= asked_at:
                return
            self._silent_until[granter] = loop_time() + SILENT_S
        self._metrics.count_answer('unanswered')
        opens_at = loop_time() + SILENT_S
        self._opens_at[claim.endpoint.instance] = opens_at

    def _audible_granters(self, endpoint: Endpoint) -> tuple[str, ...]:
        """Return the granters that answered lately; else all of them."""
        now = loop_time()
        granters = self._granter.granters(endpoint)
        audible = tuple(
            one
            for one in granters
            if now >= self._silent_until.get(one, -math.inf)
        )
        return audible or granters

    async def _ask_one(
        self, granter: str, claim: '_Claim', request: SlotRequest
    ) -> bool:
        """Ask a node for a slot.

        :returns: whether it answered
        """
        answer = await self._exchange(granter, claim.endpoint, request, claim)
        if answer is None:
            return False
        delay_s = max(0, answer.delay_ms / MS_PER_S)
        self._opens_at[claim.endpoint.instance] = loop_time() + delay_s
        self._metrics.count_answer(answer.state)
        self._settle(granter, answer)
        return True

    async def _exchange(
        self,
        granter: str,
        endpoint: Endpoint,
        request: SlotRequest,
        claim: '_Claim | None' = None,
    ) -> SlotAnswer | None:
        """Return the answer of a node; ``None`` if it does not answer."""
        asked_at = loop_time()
        ledger = self._ledgers.get(granter, '')
        held = self._held[endpoint.instance, granter, ledger]
        self._returns.confirm(granter, endpoint, (request.ticket,))
        returned = self._returns.unconfirmed(granter, endpoint)
        question = dataclasses.replace(
            request,
            others=max(0, self._running[endpoint.instance] - held),
            held=held,
            ledger=ledger,
            returned=returned,
        )
        if granter == self._registry.own_name:
            if claim is not None:
                claim.asked[''] = granter
            own = self._granter.grant(question, endpoint)
            self._ledgers[granter] = own.ledger
            return own
        addresses = self._registry.addresses_of((granter,))
        if not addresses:
            return None
        if claim is not None:
            claim.asked[addresses[0]] = granter
        try:
            answer = await self._peers.ask(
                addresses[0],
                MessageKind.slot_request,
                question,
                SlotAnswer,
                timeout_ms=LATE_S * MS_PER_S,
            )
        except MastichatchError:
            return None
        latest = self._answered_at.get(granter, -math.inf)
        self._answered_at[granter] = max(asked_at, latest)
        self._brittle.record_told(answer.brittle, granter)
        self._ledgers[granter] = answer.ledger
        self._returns.confirm(granter, endpoint, returned)
        return answer

    async def _handle_pushed(
        self, answer: SlotAnswer, envelope: Envelope
    ) -> None:
        """Handle a request whose state changed at its granter."""
        self._brittle.record_told(answer.brittle, envelope.sender)
        claim = self._claims.get(answer.ticket)
        if claim is not None and envelope.sender in claim.asked:
            self._settle(claim.asked[envelope.sender], answer)

    def _settle(self, granter: str, answer: SlotAnswer) -> None:
        """Record that a request for a slot was granted or denied."""
        claim = self._claims.get(answer.ticket)
        if claim is None or claim.settled.done():
            return
        if answer.state is SlotState.queued:
            return
        claim.settled.set_result(
            _Grant(granter=granter, ledger=answer.ledger)
            if answer.state is SlotState.granted
            else None
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Grant:
    granter: str
    ledger: str


@dataclasses.dataclass(slots=True, kw_only=True)
class _Claim:
    """A request for a slot.

    :param ticket: its id
    :param endpoint: the endpoint
    :param settled: resolves to the grant; to ``None`` once it is denied
    :param asked: names of the nodes that were asked, by peer address
    """

    ticket: str
    endpoint: Endpoint
    settled: asyncio.Future[_Grant | None]
    asked: dict[str, str] = dataclasses.field(default_factory=dict)

    @property
    def grant(self) -> _Grant | None:
        """The slot, if it was granted."""
        is_known = self.settled.done() and not self.settled.cancelled()
        return self.settled.result() if is_known else None
