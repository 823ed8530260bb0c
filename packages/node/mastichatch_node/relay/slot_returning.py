"""Returns the slots of brittle endpoints to their granters.

Load pattern: a busy node loses messages. A slot whose return is lost stays
unused until it expires, and a few such slots are all that an endpoint has.
"""

import asyncio
import dataclasses
import itertools
from collections.abc import Awaitable, Callable, Collection
from typing import Final

from mastichatch_core.generated.messages import (
    MessageKind,
    SlotAnswer,
    SlotOutcome,
    SlotRequest,
)
from mastichatch_core.relay.model import Endpoint
from mastichatch_node.peers import Peers
from mastichatch_node.relay.brittle_tracking import BrittleTracker
from mastichatch_node.relay.slot_granting import SlotGranter
from mastichatch_node.relay.store_following import NodeRegistry

# Interval at which slots that were returned are named again until a granter has
# confirmed them, how often at most, and how many in one message.
CONFIRM_S: Final = 0.5
MAX_CONFIRMATIONS: Final = 8
MAX_NAMED: Final = 64

Ask = Callable[[str, Endpoint, SlotRequest], Awaitable[SlotAnswer | None]]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SlotSources:
    """What slots are returned with.

    :param registry: registrations of the other nodes
    :param peers: connections to other nodes
    :param brittle: the brittle endpoints
    :param granter: the slots that this node grants
    """

    registry: NodeRegistry
    peers: Peers
    brittle: BrittleTracker
    granter: SlotGranter


class SlotReturns:
    """Slots that were returned, until their granters have confirmed it."""

    def __init__(self, sources: SlotSources, ask: Ask) -> None:
        """Start without slots.

        :param sources: what slots are returned with
        :param ask: asks a node, and returns its answer, if there is one
        """
        self._sources = sources
        self._ask = ask
        # Unconfirmed slots, by granter and endpoint.
        self._returned: dict[tuple[str, str], dict[str, None]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def send(
        self,
        granter: str,
        endpoint: Endpoint,
        ticket: str,
        outcome: SlotOutcome = SlotOutcome.unused,
    ) -> None:
        """Return a slot, or a request from the queue.

        :param granter: name of the node that has granted it
        :param endpoint: endpoint of the slot
        :param ticket: id of the slot; empty if there is none
        :param outcome: what became of its request
        """
        request = self._create_request(endpoint, ticket, outcome)
        if granter == self._sources.registry.own_name:
            self._sources.granter.take_back(request)
            return
        self._sources.peers.send_all(
            self._sources.registry.addresses_of((granter,)),
            MessageKind.slot_request,
            request,
        )
        if ticket:
            self._add(granter, endpoint, ticket)

    def unconfirmed(self, granter: str, endpoint: Endpoint) -> tuple[str, ...]:
        """Return ids of slots whose return is not confirmed.

        :param granter: name of their granter
        :param endpoint: their endpoint
        """
        tickets = self._returned.get((granter, endpoint.instance), ())
        return tuple(itertools.islice(tickets, MAX_NAMED))

    def confirm(
        self, granter: str, endpoint: Endpoint, tickets: Collection[str]
    ) -> None:
        """Forget slots whose return is confirmed, or that are asked for again.

        :param granter: name of their granter
        :param endpoint: their endpoint
        :param tickets: ids of the slots
        """
        unconfirmed = self._returned.get((granter, endpoint.instance), {})
        for ticket in tickets:
            unconfirmed.pop(ticket, None)

    def _add(self, granter: str, endpoint: Endpoint, ticket: str) -> None:
        key = granter, endpoint.instance
        if key not in self._returned:
            self._returned[key] = {}
            task = asyncio.get_running_loop().create_task(
                self._name_until_confirmed(granter, endpoint)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        self._returned[key][ticket] = None

    async def _name_until_confirmed(
        self, granter: str, endpoint: Endpoint
    ) -> None:
        """Name returned slots again that no question has named."""
        unconfirmed = self._returned[granter, endpoint.instance]
        request = self._create_request(endpoint, '', SlotOutcome.unused)
        attempts = 0
        while attempts < MAX_CONFIRMATIONS:
            before = self.unconfirmed(granter, endpoint)
            await asyncio.sleep(CONFIRM_S)
            if not unconfirmed:
                break
            if unconfirmed.keys() & set(before):
                answer = await self._ask(granter, endpoint, request)
                attempts = 0 if answer else attempts + 1
        self._returned.pop((granter, endpoint.instance))

    def _create_request(
        self, endpoint: Endpoint, ticket: str, outcome: SlotOutcome
    ) -> SlotRequest:
        return SlotRequest(
            brittle=self._sources.brittle.tell(endpoint.instance),
            ticket=ticket,
            is_return=True,
            outcome=outcome,
        )
