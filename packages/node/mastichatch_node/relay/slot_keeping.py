"""Requests and returns the slots of brittle endpoints.

Each request to such an endpoint has a slot, which one node grants to all. A
request without one waits at its own node, in a queue of the granter.
"""

import asyncio
import collections
import contextlib
import dataclasses
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
from mastichatch_node.relay.brittle_tracking import BrittleTracker
from mastichatch_node.relay.slot_granting import SlotGranter
from mastichatch_node.relay.store_following import NodeRegistry

# Two nodes answer each other within a few milliseconds, unless one is busy.
ASK_TIMEOUT_MS: Final = 300.0
# A granter that has not answered is not asked again for this time.
SILENT_S: Final = 0.5
# Interval at which a request that is queued is repeated, in case its granter
# has stopped or the grant was lost.
REPEAT_S: Final = 0.25
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
        self._pushed: dict[str, asyncio.Future[SlotState]] = {}
        self._opens_at: dict[str, float] = {}
        self._silent_until: dict[str, float] = {}
        granter.subscribe(self._apply_pushed)
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
        if outcome in {SlotOutcome.rejected, SlotOutcome.lost}:
            self.report_failure(slot.endpoint, outcome, slot.ticket)
            # Its granter may be none of the present ones.
            outcome = SlotOutcome.unused
        self._return_to(slot.granter, slot.endpoint, slot.ticket, outcome)

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
            self._return_to(granter, endpoint, ticket, outcome)

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
        ticket = f'{self._peers.incarnation}-{next(self._numbers)}'
        granter = ''
        state: SlotState | None = SlotState.queued
        try:
            while state is SlotState.queued:
                left_s = max(0, ends_at - loop_time())
                pushed = asyncio.get_running_loop().create_future()
                self._pushed[ticket] = pushed
                granter, state = await self._ask(
                    endpoint, self._request(endpoint, ticket, need, left_s)
                )
                if state is SlotState.queued:
                    state = await self._wait_for_push(pushed, ends_at)
        finally:
            self._pushed.pop(ticket, None)
            if state in {None, SlotState.queued}:
                for asked in self._granter.granters(endpoint):
                    self._return_to(asked, endpoint, ticket)
        if state is not SlotState.granted:
            return None
        ledger = self._ledgers.get(granter, '')
        self._held[endpoint.instance, granter, ledger] += 1
        return Slot(
            endpoint=endpoint, ticket=ticket, granter=granter, ledger=ledger
        )

    async def _wait_for_push(
        self, pushed: asyncio.Future[SlotState], ends_at: float
    ) -> SlotState | None:
        """Return the state that the granter sends, for some time.

        :returns: ``None`` once the time to wait has ended
        """
        now = loop_time()
        if now >= ends_at:
            return None
        await asyncio.wait((pushed,), timeout=min(REPEAT_S, ends_at - now))
        return pushed.result() if pushed.done() else SlotState.queued

    def _request(
        self, endpoint: Endpoint, ticket: str, need: SlotNeed, left_s: float
    ) -> SlotRequest:
        return SlotRequest(
            brittle=self._brittle.tell(endpoint.instance),
            ticket=ticket,
            rank=need.rank,
            wait_ms=left_s * MS_PER_S,
            hold_ms=(need.hold_s + left_s) * MS_PER_S,
        )

    async def _ask(
        self, endpoint: Endpoint, request: SlotRequest
    ) -> tuple[str, SlotState]:
        """Ask the nodes that grant the slots of an endpoint."""
        for granter in self._audible_granters(endpoint):
            answer = await self._ask_one(granter, endpoint, request)
            if answer is None:
                self._silent_until[granter] = loop_time() + SILENT_S
                continue
            delay_s = max(0, answer.delay_ms / MS_PER_S)
            self._opens_at[endpoint.instance] = loop_time() + delay_s
            self._metrics.count_answer(answer.state)
            return granter, answer.state
        self._metrics.count_answer('unanswered')
        self._opens_at[endpoint.instance] = loop_time() + SILENT_S
        # It may be had later.
        return '', SlotState.queued

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
        self, granter: str, endpoint: Endpoint, request: SlotRequest
    ) -> SlotAnswer | None:
        """Return the answer of a node; ``None`` if it does not answer."""
        ledger = self._ledgers.get(granter, '')
        held = self._held[endpoint.instance, granter, ledger]
        question = dataclasses.replace(
            request,
            others=max(0, self._running[endpoint.instance] - held),
            held=held,
            ledger=ledger,
        )
        if granter == self._registry.own_name:
            own = self._granter.grant(question, endpoint)
            self._ledgers[granter] = own.ledger
            return own
        addresses = self._registry.addresses_of((granter,))
        if not addresses:
            return None
        try:
            answer = await self._peers.ask(
                addresses[0],
                MessageKind.slot_request,
                question,
                SlotAnswer,
                timeout_ms=ASK_TIMEOUT_MS,
            )
        except MastichatchError:
            # It may have granted the slot.
            self._return_to(granter, endpoint, request.ticket)
            return None
        self._brittle.record_told(answer.brittle, granter)
        self._ledgers[granter] = answer.ledger
        return answer

    def _return_to(
        self,
        granter: str,
        endpoint: Endpoint,
        ticket: str,
        outcome: SlotOutcome = SlotOutcome.unused,
    ) -> None:
        request = SlotRequest(
            brittle=self._brittle.tell(endpoint.instance),
            ticket=ticket,
            is_return=True,
            outcome=outcome,
        )
        if granter == self._registry.own_name:
            self._granter.take_back(request)
            return
        self._peers.send_all(
            self._registry.addresses_of((granter,)),
            MessageKind.slot_request,
            request,
        )

    async def _handle_pushed(
        self, answer: SlotAnswer, envelope: Envelope
    ) -> None:
        """Handle a request whose state changed at its granter."""
        self._brittle.record_told(answer.brittle, envelope.sender)
        self._apply_pushed(answer.ticket, answer.state)

    def _apply_pushed(self, ticket: str, state: SlotState) -> None:
        pushed = self._pushed.get(ticket)
        if pushed is not None and not pushed.done():
            pushed.set_result(state)
