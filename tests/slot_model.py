"""Emulates brittle servers and nodes that share their slots, in virtual time.

The nodes' keepers, granters and messages are the product's own; the network,
the servers and the registrations are emulated. Time passes only while all
nodes wait, so that results do not depend on the load of the machine.
"""

import asyncio
import collections
import contextlib
import dataclasses
import random
from collections.abc import AsyncIterator, Container, Iterable
from typing import Any, Final, cast

from mastichatch_core.generated.messages import (
    EndpointLimit,
    MessageKind,
    RunChanges,
    SlotOutcome,
)
from mastichatch_core.relay.forwarder_choice import NodeLink
from mastichatch_core.relay.model import Endpoint, EndpointState
from mastichatch_node.clock import loop_time
from mastichatch_node.peers import UNLIMITED_BYTES, Peers
from mastichatch_core.relay.byte_budget import ByteBudget
from mastichatch_node.relay.brittle_tracking import BrittleTracker
from mastichatch_node.relay.run_broadcast import RunBroadcaster
from mastichatch_node.relay.slot_granting import SlotGranter
from mastichatch_node.relay.slot_keeping import SlotKeeper, SlotNeed
from mastichatch_node.relay.telemetry import Telemetry

LATENCY_S: Final = 0.001
SLOTS: Final = 6
WORK_S: Final = 0.3
AWAY_S: Final = 3.0
WINDOW_S: Final = 1.0
# As for a call with an objective of one second and a deadline of five.
NEED: Final = SlotNeed(rank=0, longest_s=0.5, hold_s=6.0)


class VirtualServer:
    """A server that queues nothing, and falls if it rejects too much."""

    def __init__(self, number: int, rejections: float) -> None:
        """Start idle."""
        self.endpoint = Endpoint(
            instance=f'i-{number}',
            service='app',
            address=f'server:{number}',
            data_centre='north',
            slots=SLOTS,
            state=EndpointState.ready,
        )
        self.rejections = rejections
        self.falls: list[float] = []
        self.peak = 0
        self._running: set[asyncio.Future[None]] = set()
        self._rejected_at: collections.deque[float] = collections.deque()
        self._back_at = 0.0

    async def serve(self) -> SlotOutcome:
        """Work on a request, or reject it."""
        await asyncio.sleep(LATENCY_S)
        if loop_time() < self._back_at:
            return SlotOutcome.lost
        if len(self._running) >= SLOTS:
            self._reject()
            return SlotOutcome.rejected
        lost: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._running.add(lost)
        self.peak = max(self.peak, len(self._running))
        await asyncio.wait((lost,), timeout=WORK_S)
        self._running.discard(lost)
        await asyncio.sleep(LATENCY_S)
        return SlotOutcome.lost if lost.done() else SlotOutcome.done

    def _reject(self) -> None:
        now = loop_time()
        self._rejected_at.append(now)
        while self._rejected_at[0] <= now - WINDOW_S:
            self._rejected_at.popleft()
        if len(self._rejected_at) > self.rejections:
            self.falls.append(now)
            self._back_at = now + AWAY_S
            self._rejected_at.clear()
            for running in tuple(self._running):
                running.set_result(None)


class VirtualPeers(Peers):
    """Messages of a node over an emulated network."""

    def __init__(self, name: str, network: 'Network') -> None:
        """Join a network."""
        listener = cast(Any, None)
        super().__init__(name, name, listener, ByteBudget(UNLIMITED_BYTES))
        self._network = network
        self.delay_s = 0.0
        self.is_cut = False
        self.loss = 0.0
        self._random = random.Random(name)  # noqa: S311

    def _transmit(self, address: str, frame: bytes) -> None:
        receiver = self._network.peers[address]
        if self.is_cut or receiver.is_cut:
            return
        if self._random.random() < self.loss:
            return
        asyncio.get_running_loop().call_later(
            LATENCY_S + receiver.delay_s, receiver._handle_frame, frame
        )


class Network:
    """Registrations and connections of all nodes."""

    def __init__(self) -> None:
        """Start without nodes."""
        self.peers: dict[str, VirtualPeers] = {}


class Directory:
    """The nodes of a network as one of them knows them."""

    def __init__(self, own_name: str, network: Network) -> None:
        """Know all nodes."""
        self.own_name = own_name
        self._network = network

    @property
    def addresses(self) -> tuple[str, ...]:
        return tuple(
            name for name in self._network.peers if name != self.own_name
        )

    def addresses_of(self, names: Iterable[str]) -> tuple[str, ...]:
        return tuple(name for name in names if name in self._network.peers)

    def link(self) -> NodeLink:
        return _link(self.own_name)

    def other_links(self, heard: Container[str]) -> tuple[NodeLink, ...]:
        return tuple(map(_link, self.addresses))


def _link(name: str) -> NodeLink:
    return NodeLink(
        name=name, data_centre='north', link_mbps=1000, can_forward=True
    )


class FixedCache:
    """A cache of the store that names some servers."""

    def __init__(self, servers: Iterable[VirtualServer]) -> None:
        """Name the servers."""
        self._endpoints = {
            one.endpoint.instance: one.endpoint for one in servers
        }

    def endpoints(self, now: float) -> dict[str, Endpoint]:
        return self._endpoints


class VirtualNode:
    """A node that sends calls to brittle servers."""

    def __init__(
        self, name: str, network: Network, servers: tuple[VirtualServer, ...]
    ) -> None:
        """Know all servers and nodes."""
        self.name = name
        self.peers = network.peers[name] = VirtualPeers(name, network)
        directory = Directory(name, network)
        self.broadcaster = RunBroadcaster(self.peers, directory, lambda: 0)
        self.peers.on(
            MessageKind.run_changes,
            RunChanges,
            self.broadcaster.handle_changes,
        )
        cache = cast(Any, FixedCache(servers))
        brittle = BrittleTracker(cache, self.broadcaster, Telemetry())
        self.granter = SlotGranter(
            cache,
            cast(Any, directory),
            self.peers,
            brittle,
            self.broadcaster,
        )
        self.keeper = SlotKeeper(
            cast(Any, directory), self.peers, brittle, self.granter
        )
        self._servers = {one.endpoint.instance: one for one in servers}
        for server in servers:
            instance = server.endpoint.instance
            told = EndpointLimit(instance=instance, per_s=server.rejections)
            brittle.record_told(told, 'test')

    async def call(self, first: int) -> SlotOutcome | None:
        """Send a call; ``None`` if it is refused for want of a slot."""
        endpoints = [one.endpoint for one in self._servers.values()]
        turned = first % len(endpoints)
        ranked = endpoints[turned:] + endpoints[:turned]
        slot = await self.keeper.acquire(ranked, NEED)
        if slot is None:
            return None
        with self.keeper.in_progress(slot.endpoint):
            outcome = await self._servers[slot.endpoint.instance].serve()
        self.keeper.give_back(slot, outcome)
        return outcome


@dataclasses.dataclass
class Answer:
    """What became of a call, with the times in seconds."""

    sent_at: float
    took_s: float
    outcome: SlotOutcome | None


class Fleet:
    """Nodes that call servers in turn."""

    def __init__(
        self, nodes: tuple[VirtualNode, ...], servers: tuple[VirtualServer, ...]
    ) -> None:
        """Start without calls."""
        self.nodes = nodes
        self.servers = servers
        self.answers: list[Answer] = []

    @property
    def falls(self) -> int:
        """How often servers fell."""
        return sum(len(one.falls) for one in self.servers)

    def granter_of(self, server: VirtualServer) -> VirtualNode:
        """Return the node that grants the slots of a server."""
        name = self.nodes[0].granter.granters(server.endpoint)[0]
        return next(one for one in self.nodes if one.name == name)

    def served_per_s(self, begin: float, end: float) -> float:
        """Return the calls served in a second, of those sent in some time."""
        served = sum(
            begin <= one.sent_at < end and one.outcome is SlotOutcome.done
            for one in self.answers
        )
        return served / (end - begin)

    async def send(
        self,
        calls_per_s: float,
        duration_s: float,
        senders: tuple[VirtualNode, ...] = (),
    ) -> None:
        """Send calls to nodes in turn, and wait for the answers."""
        chosen = senders or self.nodes
        async with asyncio.TaskGroup() as group:
            for number in range(round(calls_per_s * duration_s)):
                node = chosen[number % len(chosen)]
                group.create_task(self._call(node, number))
                await asyncio.sleep(1 / calls_per_s)

    async def _call(self, node: VirtualNode, number: int) -> None:
        sent_at = loop_time()
        outcome = await node.call(number)
        took_s = loop_time() - sent_at
        self.answers.append(Answer(sent_at, took_s, outcome))


@contextlib.asynccontextmanager
async def open_fleet(
    nodes: int, *, servers: int = 3, rejections: float = 2
) -> AsyncIterator[Fleet]:
    """Run nodes that have heard of each other."""
    network = Network()
    virtual = tuple(VirtualServer(one, rejections) for one in range(servers))
    opened = tuple(
        VirtualNode(f'n-{one}', network, virtual) for one in range(nodes)
    )
    tasks = [
        asyncio.create_task(one.broadcaster.broadcast_periodically())
        for one in opened
    ]
    await asyncio.sleep(1.5)
    try:
        yield Fleet(opened, virtual)
    finally:
        for task in tasks:
            task.cancel()
