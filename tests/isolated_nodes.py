"""Nodes that are partitioned from all endpoints, by order of a test."""

import asyncio
import contextlib
import dataclasses
import re
import weakref
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from typing import Any, NoReturn

import pytest

from mastichatch_core.generated.messages import ProxyHop, ProxyOutcome
from mastichatch_core.generated.records import NodeRecord
from mastichatch_core.relay.proxy_hop import answer_proof
from mastichatch_node import codec
from mastichatch_node.relay.http_client import ExchangeError
from mastichatch_node.relay.isolation_tracking import IsolationTracker
from mastichatch_node.relay.relay_node import RelayNode
from mastichatch_node.relay.store_following import NodeRegistry
from tests.relay_nodes import RelayFixture, open_nodes, until
from tests.standins.house_endpoints import build_response, open_server


class ManualIsolation:
    """Isolation of a node that a test sets, in place of what it detects."""

    def __init__(self) -> None:
        """Start as a node that reaches all endpoints."""
        self.is_isolated = False
        self.peers: tuple[str, ...] = ()
        self.unreached = ''
        self.observers: list[Callable[[], None]] = []

    def set(
        self, *peers: str, is_isolated: bool = True, unreached: str = ''
    ) -> None:
        """Change the state: which peers reach endpoints, and what is not."""
        self.peers = peers
        self.is_isolated = is_isolated
        self.unreached = unreached
        for observe in self.observers:
            observe()


_STATES: weakref.WeakKeyDictionary[IsolationTracker, ManualIsolation] = (
    weakref.WeakKeyDictionary()
)


def _state(tracker: IsolationTracker) -> ManualIsolation:
    return _STATES.setdefault(tracker, ManualIsolation())


def isolation_of(relay: RelayFixture) -> ManualIsolation:
    """Return what a test sets of a node."""
    return _state(context_of(relay.node).isolation)


def context_of(node: RelayNode) -> Any:
    """Return the shared components of a node."""
    return node.relay.context


def cut_off(relay: RelayFixture, *peers: str) -> None:
    """Let a node reach no endpoint, and know which peers do."""
    refuse_connections(relay)
    isolation_of(relay).set(*peers)


def refuse_connections(relay: RelayFixture) -> None:
    """Let a node reach no endpoint from now on."""

    async def refuse(*_: Any, **options: Any) -> NoReturn:
        raise ExchangeError('no connection', was_sent=False)

    context_of(relay.node).pool.take = refuse


def reconnect(relay: RelayFixture) -> None:
    """Let a node reach endpoints again, and know that it does."""
    del context_of(relay.node).pool.take
    isolation_of(relay).set(is_isolated=False)


@contextlib.contextmanager
def manual_isolation() -> Iterator[None]:
    """Let tests set the isolation of the nodes that start in the block."""
    settle_unset = IsolationTracker.settle

    async def settle(tracker: IsolationTracker) -> None:
        if not _state(tracker).is_isolated:
            await settle_unset(tracker)

    members = {
        'is_isolated': property(lambda tracker: _state(tracker).is_isolated),
        'reachable_peers': lambda tracker: _state(tracker).peers,
        'reaches': lambda tracker, name: _state(tracker).unreached != name,
        'settle': settle,
        'subscribe': lambda tracker, callback: _state(tracker).observers.append(
            callback
        ),
    }
    with pytest.MonkeyPatch.context() as patch:
        for name, member in members.items():
            patch.setattr(IsolationTracker, name, member)
        yield


@contextlib.asynccontextmanager
async def open_isolated(
    count: int, *engines: Any, **options: Any
) -> AsyncIterator[tuple[RelayFixture, ...]]:
    """Run nodes, the first of which reaches no endpoint, while others do."""
    with manual_isolation():
        async with open_nodes(count, *engines, **options) as relays:
            others = tuple(one.settings.name for one in relays[1:])
            cut_off(relays[0], *others)
            yield relays


@dataclasses.dataclass
class FakePeer:
    """A registered node, whose ``script`` responds to passed-on requests."""

    script: 'PeerScript'
    token: str = 'token-of-the-fake'
    hops: list[ProxyHop] = dataclasses.field(default_factory=list)

    def proof(self, outcome: ProxyOutcome) -> str:
        """Return the headers that prove an outcome of the last request."""
        proof = answer_proof(self.token, self.hops[-1], outcome).decode()
        return (
            f'Mastichatch-Proxy-Outcome: {outcome}\r\n'
            f'Mastichatch-Proxy-Proof: {proof}\r\n'
        )

    async def answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Respond to the requests of one connection."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while not writer.is_closing():
                head = await reader.readuntil(b'\r\n\r\n')
                found = HOP.search(head)
                assert found is not None
                self.hops.append(codec.decode_json(found[1], ProxyHop))
                await self.script(self, writer)
                await writer.drain()


PeerScript = Callable[[FakePeer, asyncio.StreamWriter], Awaitable[None]]
HOP = re.compile(rb'mastichatch-proxy-hop: ([^\r]*)\r\n')


@contextlib.asynccontextmanager
async def open_peer(
    relay: RelayFixture, script: PeerScript
) -> AsyncIterator[FakePeer]:
    """Register a fake node, and let a node know only that one."""
    peer = FakePeer(script)
    async with open_server(peer.answer) as address:
        await register(relay, 'fake', address, peer.token)
        isolation_of(relay).set('fake')
        yield peer


async def register(
    relay: RelayFixture, name: str, address: str, token: str
) -> None:
    """Register a node that serves passed-on requests at an address."""
    record = {
        'name': name,
        'incarnation': 'x',
        'data_centre': 'north',
        'peer_address': '127.0.0.1:9',
        'http_address': '127.0.0.1:9',
        'proxy_address': address,
        'proxy_token': token,
    }
    await relay.store.put(f'mastichatch/nodes/{name}', record)
    await until(lambda: record_of(relay, name) is not None)


def record_of(relay: RelayFixture, name: str) -> NodeRecord | None:
    """Return the registration of another node, as a node knows it."""
    registry: NodeRegistry = context_of(relay.node).proxy_peers._registry
    return registry.record(name)


def answer_with(
    status: int, outcome: ProxyOutcome | None, headers: str = ''
) -> PeerScript:
    """Return a script that answers, and proves an outcome if there is one."""

    async def write(peer: FakePeer, writer: asyncio.StreamWriter) -> None:
        proof = '' if outcome is None else peer.proof(outcome)
        writer.write(build_response(status, b'fake', proof + headers))

    return write


def write_raw(
    text: str, outcome: ProxyOutcome = ProxyOutcome.answered
) -> PeerScript:
    """Return a script that writes bytes after the proof, and closes."""

    async def write(peer: FakePeer, writer: asyncio.StreamWriter) -> None:
        head = f'HTTP/1.1 200 OK\r\n{peer.proof(outcome)}{text}'
        writer.write(head.encode())
        await writer.drain()
        writer.close()

    return write


async def hang_up(peer: FakePeer, writer: asyncio.StreamWriter) -> None:
    """Close the connection instead of an answer."""
    writer.close()
