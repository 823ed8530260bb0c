"""Requests and grants turns at endpoints that name a limit.

Each request to such an endpoint uses a turn, which one node grants to all.
While other endpoints have room, requests go there, and turns are requested
beside them.
"""

import asyncio
import math
import random
from collections.abc import Callable, Collection, Iterable
from typing import Final

from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.messages import (
    Envelope,
    MessageKind,
    TurnAnswer,
    TurnRequest,
)
from mastichatch_core.relay.limit_turns import (
    HeldTurns,
    Turn,
    TurnLedger,
    choose_granters,
    granted_share,
)
from mastichatch_core.relay.model import Endpoint
from mastichatch_core.relay.store_cache import StoreCache
from mastichatch_core.units import MS_PER_S
from mastichatch_node.clock import loop_time
from mastichatch_node.peers import Peers, Reply
from mastichatch_node.relay.granter_ranking import GranterRanking
from mastichatch_node.relay.limit_metrics import TurnOutcome
from mastichatch_node.relay.limit_tracking import LimitTracker
from mastichatch_node.relay.store_following import NodeRegistry

# Two nodes answer each other within a few milliseconds.
ASK_TIMEOUT_MS: Final = 150.0
# After no granter has answered, none is asked for this time.
UNANSWERED_S: Final = 1.0
# Longest time until a turn that is requested beside other requests.
BACKGROUND_WAIT_S: Final = 0.25
# Longest time for which a request waits for its turn. A granter that starts
# again does not know which turns are reserved, and those of a longer time would
# exceed the limit together with its own.
MAX_WAIT_S: Final = 0.5


class TurnKeeper:
    """The turns that this node holds and grants."""

    def __init__(
        self,
        cache: StoreCache,
        registry: NodeRegistry,
        peers: Peers,
        limits: LimitTracker,
    ) -> None:
        """Start without turns, and answer the requests of other nodes.

        :param cache: cached entries of the store
        :param registry: registrations of the other nodes
        :param peers: connections to other nodes
        :param limits: the limits of endpoints
        """
        self._cache = cache
        self._registry = registry
        self._peers = peers
        self._limits = limits
        self._metrics = limits.telemetry.limits
        self._ledger = TurnLedger()
        self._held = HeldTurns()
        self._asking: dict[str, asyncio.Task[Turn]] = {}
        self._ranking = GranterRanking(registry, choose_granters)
        self._subscribers: list[Callable[[], None]] = []
        limits.subscribe(self._handle_changed_limit)
        peers.on(MessageKind.turn_request, TurnRequest, self._answer_request)

    @property
    def limits(self) -> LimitTracker:
        """The limits of endpoints."""
        return self._limits

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Register a callback for turns that become usable.

        :param callback: called without arguments
        """
        self._subscribers.append(callback)

    def close(self) -> None:
        """Cancel the requests for turns in progress."""
        for task in self._asking.values():
            task.cancel()

    def keep_only(self, instances: Collection[str]) -> None:
        """Forget endpoints that no longer exist.

        :param instances: instance ids of the endpoints that exist
        """
        for kept in (self._limits, self._ledger, self._held):
            kept.keep_only(instances)

    def accepts(self, endpoint: Endpoint) -> bool:
        """Return whether a request may be sent to an endpoint now.

        :param endpoint: the endpoint
        """
        if self._limits.limit(endpoint) is None:
            return True
        return self._held.is_usable(endpoint.instance, loop_time())

    def take(self, endpoint: Endpoint) -> bool:
        """Use up a turn, and return whether a request may be sent.

        :param endpoint: endpoint of the request
        """
        if self._limits.limit(endpoint) is None:
            return True
        return self._held.take(endpoint.instance, loop_time())

    def charge(self, endpoint: Endpoint) -> None:
        """Account for a request that is sent whether or not there is a turn.

        :param endpoint: endpoint of the request
        """
        if self.take(endpoint):
            return
        self._metrics.count_turn(TurnOutcome.charged)
        request = TurnRequest(
            limit=self._limits.tell(endpoint.instance), is_charge=True
        )
        granter = self._ranking.granters(endpoint)[0]
        if granter == self._registry.own_name:
            self._grant(request, endpoint)
            return
        self._peers.send_all(
            self._registry.addresses_of((granter,)),
            MessageKind.turn_request,
            request,
        )

    def opens_in_s(self, endpoints: Iterable[Endpoint]) -> float:
        """Return the time until one of some endpoints may have a turn.

        :param endpoints: endpoints with a limit
        :returns: time in seconds; zero if that is not known
        """
        now = loop_time()
        times = [self._held.opens_at(one.instance) for one in endpoints]
        return max(0, min(times, default=now) - now)

    def request_beside(self, endpoints: Iterable[Endpoint]) -> None:
        """Request turns for later requests, without waiting for them.

        :param endpoints: endpoints that requests would use
        """
        now = loop_time()
        for endpoint in endpoints:
            instance = endpoint.instance
            is_needed = (
                self._limits.limit(endpoint) is not None
                and instance not in self._asking
                and not self._held.has(instance, now)
            )
            if is_needed and self._held.opens_at(instance) <= now:
                self._start_request(endpoint)

    async def wait_for_turn(
        self, endpoints: Iterable[Endpoint], longest_s: float
    ) -> Endpoint | None:
        """Wait for a turn at one of some endpoints, and use it up.

        :param endpoints: endpoints with a limit, the preferred ones first
        :param longest_s: longest time to wait, in seconds
        :returns: ``None`` if there is no turn in time, which is known at once
        """
        ends_at = loop_time() + min(longest_s, MAX_WAIT_S)
        for endpoint in endpoints:
            now = loop_time()
            if now >= ends_at:
                break
            if self._held.opens_at(endpoint.instance) > now:
                continue
            turn = await self._request(endpoint, ends_at - now)
            if turn.is_granted:
                await asyncio.sleep(turn.delay_s)
                return endpoint
        return None

    def _start_request(self, endpoint: Endpoint) -> None:
        instance = endpoint.instance

        def hold_turn(done: asyncio.Task[Turn]) -> None:
            self._asking.pop(instance, None)
            if done.cancelled() or not done.result().is_granted:
                return
            delay_s = done.result().delay_s
            self._held.add(instance, loop_time() + delay_s)
            asyncio.get_running_loop().call_later(delay_s, self._notify)

        task = asyncio.ensure_future(self._request(endpoint, BACKGROUND_WAIT_S))
        self._asking[instance] = task
        task.add_done_callback(hold_turn)

    async def _request(self, endpoint: Endpoint, longest_s: float) -> Turn:
        """Request a turn from the nodes that grant those of an endpoint."""
        answer: TurnAnswer | None = None
        request = TurnRequest(
            limit=self._limits.tell(endpoint.instance),
            wait_ms=longest_s * MS_PER_S,
        )
        for granter in self._ranking.granters(endpoint):
            if answer is None:
                answer = await self._request_from(granter, endpoint, request)
        now = loop_time()
        if answer is None:
            self._metrics.count_turn(TurnOutcome.unanswered)
            self._held.close(endpoint.instance, now + UNANSWERED_S)
            return Turn(is_granted=False, delay_s=UNANSWERED_S)
        turn = Turn(
            is_granted=answer.is_granted,
            delay_s=max(0, answer.delay_ms / MS_PER_S),
        )
        draw = random.random()  # noqa: S311
        self._held.record_answer(endpoint.instance, turn, now, draw)
        return turn

    async def _request_from(
        self, granter: str, endpoint: Endpoint, request: TurnRequest
    ) -> TurnAnswer | None:
        """Return the answer of a node; ``None`` if it does not answer."""
        if granter == self._registry.own_name:
            answer = self._grant(request, endpoint)
        else:
            # It may have stopped while another one was asked.
            addresses = self._registry.addresses_of((granter,))
            if not addresses:
                return None
            try:
                answer = await self._peers.ask(
                    addresses[0],
                    MessageKind.turn_request,
                    request,
                    TurnAnswer,
                    timeout_ms=ASK_TIMEOUT_MS,
                )
            except MastichatchError:
                return None
            self._limits.record_told(answer.limit, granter)
        self._metrics.count_turn(
            TurnOutcome.granted if answer.is_granted else TurnOutcome.denied
        )
        return answer

    async def _answer_request(
        self, request: TurnRequest, envelope: Envelope
    ) -> Reply | None:
        """Grant a turn to another node, or deny it."""
        self._limits.record_told(request.limit, envelope.sender)
        known = self._cache.endpoints(loop_time())
        endpoint = known.get(request.limit.instance)
        if endpoint is None:
            answer = TurnAnswer(
                limit=request.limit, delay_ms=UNANSWERED_S * MS_PER_S
            )
        else:
            answer = self._grant(request, endpoint)
        if request.is_charge:
            return None
        return Reply(kind=MessageKind.turn_answer, message=answer)

    def _grant(self, request: TurnRequest, endpoint: Endpoint) -> TurnAnswer:
        """Return this node's answer to a request for a turn."""
        instance = endpoint.instance
        limit = self._limits.tell(instance)
        per_s = self._limits.limit(endpoint)
        if per_s is None:
            return TurnAnswer(limit=limit, is_granted=True)
        now = loop_time()
        share = granted_share(
            self._ranking.granters(endpoint), self._registry.own_name
        )
        if request.is_charge:
            self._ledger.charge(instance, per_s, now, share)
            return TurnAnswer(limit=limit)
        turn = self._ledger.request(
            instance, per_s, request.wait_ms / MS_PER_S, now, share
        )
        return TurnAnswer(
            limit=limit,
            is_granted=turn.is_granted,
            delay_ms=turn.delay_s * MS_PER_S,
        )

    def _handle_changed_limit(self, instance: str) -> None:
        # What was known of the next turn rested on the earlier limit.
        self._held.close(instance, -math.inf)
        self._notify()

    def _notify(self) -> None:
        for subscriber in self._subscribers:
            subscriber()
