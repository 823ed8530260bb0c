"""Grants the slots of brittle endpoints to all nodes."""

import math
import secrets
from collections.abc import Callable, Collection
from typing import Final

from mastichatch_core.generated.messages import (
    Envelope,
    MessageKind,
    SlotAnswer,
    SlotOutcome,
    SlotRequest,
)
from mastichatch_core.relay.model import Endpoint
from mastichatch_core.relay.slot_grants import (
    ServerRoom,
    SlotClaim,
    SlotDecision,
    SlotTable,
    choose_slot_granters,
    granted_slot_share,
)
from mastichatch_core.relay.store_cache import StoreCache
from mastichatch_core.units import MS_PER_S
from mastichatch_node.clock import loop_time
from mastichatch_node.peers import Peers, Reply
from mastichatch_node.relay.brittle_tracking import BrittleTracker
from mastichatch_node.relay.granter_ranking import GranterRanking
from mastichatch_node.relay.run_broadcast import RunBroadcaster
from mastichatch_node.relay.store_following import NodeRegistry

# Time for which an endpoint that appeared may be a new process.
NEW_S: Final = 10.0
LEDGER_BYTES: Final = 6
# Time after which a request for a slot of an unknown endpoint is repeated.
UNKNOWN_S: Final = 1.0


class SlotGranter:
    """The slots of brittle endpoints that this node grants."""

    def __init__(
        self,
        cache: StoreCache,
        registry: NodeRegistry,
        peers: Peers,
        brittle: BrittleTracker,
        sharing: RunBroadcaster,
    ) -> None:
        """Start without slots, and answer the requests of other nodes.

        :param cache: cached entries of the store
        :param registry: registrations of the other nodes
        :param peers: connections to other nodes
        :param brittle: the brittle endpoints
        :param sharing: tells which nodes are heard
        """
        self._cache = cache
        self._registry = registry
        self._peers = peers
        self._brittle = brittle
        self._sharing = sharing
        self._table = SlotTable()
        self._ledger = secrets.token_hex(LEDGER_BYTES)
        self._appeared_at: dict[str, float] = {}
        self._ranking = GranterRanking(registry, choose_slot_granters)
        self._apply_own: Callable[[SlotAnswer], None] = _ignore
        peers.on(MessageKind.slot_request, SlotRequest, self._answer_request)

    def subscribe(self, callback: Callable[[SlotAnswer], None]) -> None:
        """Register a callback for this node's requests that change.

        :param callback: called with the answer to a request
        """
        self._apply_own = callback

    def forget(self) -> None:
        """Begin a new ledger, as after a start of the node."""
        self._table = SlotTable()
        self._ledger = secrets.token_hex(LEDGER_BYTES)

    def keep_only(self, instances: Collection[str]) -> None:
        """Forget endpoints that no longer exist.

        :param instances: instance ids of the endpoints that exist
        """
        self._table.keep_only(instances)
        # Those that are there at the start of this node may be older.
        now = loop_time() if self._appeared_at else -math.inf
        self._appeared_at = {
            instance: self._appeared_at.get(instance, now)
            for instance in instances
        }

    def granters(self, endpoint: Endpoint) -> tuple[str, ...]:
        """Return the names of the nodes that grant the slots of an endpoint.

        :param endpoint: the endpoint
        """
        return self._ranking.granters(endpoint)

    def grant(
        self, request: SlotRequest, endpoint: Endpoint, holder: str = ''
    ) -> SlotAnswer:
        """Return this node's answer to a request for a slot.

        :param request: the request
        :param endpoint: endpoint of the slot
        :param holder: peer address of the node that asks; empty for this one
        """
        instance = endpoint.instance
        now = loop_time()
        decision = self._table.request(
            instance,
            self._room(endpoint, now),
            _claim(request, holder, self._ledger),
            now,
        )
        self._push(instance)
        return self._encode(instance, decision)

    def take_back(self, request: SlotRequest) -> None:
        """Take a slot back, or a request for one from the queue.

        :param request: the request, with what became of it
        """
        instance = request.brittle.instance
        self._table.give_back(
            instance, request.ticket, request.outcome, loop_time()
        )
        self._push(instance)

    async def _answer_request(
        self, request: SlotRequest, envelope: Envelope
    ) -> Reply | None:
        """Answer another node's request for a slot, or take one back."""
        self._brittle.record_told(request.brittle, envelope.sender)
        instance = request.brittle.instance
        for ticket in request.returned:
            self._table.give_back(
                instance, ticket, SlotOutcome.unused, loop_time()
            )
        if request.is_return:
            self.take_back(request)
            # Only sent if the returned slots are to be confirmed.
            return Reply(
                kind=MessageKind.slot_answer,
                message=SlotAnswer(
                    brittle=request.brittle,
                    ticket=request.ticket,
                    ledger=self._ledger,
                ),
            )
        endpoint = self._cache.endpoints(loop_time()).get(instance)
        if endpoint is None:
            answer = SlotAnswer(
                brittle=request.brittle,
                ticket=request.ticket,
                delay_ms=UNKNOWN_S * MS_PER_S,
            )
        else:
            answer = self.grant(request, endpoint, envelope.sender)
        return Reply(kind=MessageKind.slot_answer, message=answer)

    def _push(self, instance: str) -> None:
        """Tell the holders of requests whose state has changed."""
        for decision in self._table.grant_queued(instance, loop_time()):
            answer = self._encode(instance, decision)
            if decision.holder:
                self._peers.send(
                    decision.holder, MessageKind.slot_answer, answer
                )
            else:
                self._apply_own(answer)

    def _encode(self, instance: str, decision: SlotDecision) -> SlotAnswer:
        return SlotAnswer(
            brittle=self._brittle.tell(instance),
            ticket=decision.ticket,
            state=decision.state,
            delay_ms=decision.delay_s * MS_PER_S,
            ledger=self._ledger,
        )

    def _room(self, endpoint: Endpoint, now: float) -> ServerRoom:
        appeared_at = self._appeared_at.get(endpoint.instance, -math.inf)
        return ServerRoom(
            slots=endpoint.slots,
            rejections=self._brittle.rejections(endpoint),
            share=granted_slot_share(
                self.granters(endpoint),
                self._registry.own_name,
                self._sharing.table.heard(now),
                len(self._registry.addresses),
            ),
            is_new=now - appeared_at < NEW_S,
        )


def _claim(request: SlotRequest, holder: str, ledger: str) -> SlotClaim:
    # Slots of an earlier ledger are not in this one.
    former = 0 if request.ledger == ledger else request.held
    return SlotClaim(
        ticket=request.ticket,
        holder=holder,
        rank=request.rank,
        wait_s=max(0, request.wait_ms / MS_PER_S),
        hold_s=max(0, request.hold_ms / MS_PER_S),
        others=request.others + former,
    )


def _ignore(answer: SlotAnswer) -> None:
    """Ignore a request that changed."""
