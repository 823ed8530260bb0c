"""Nodes that are partitioned from all endpoints, by order of a test."""

import contextlib
from collections.abc import AsyncIterator, Callable, Iterator
from typing import Any, NoReturn

import pytest

from mastichatch_node.relay import program
from mastichatch_node.relay.http_client import ExchangeError
from mastichatch_node.relay.isolation_tracking import IsolationTracker
from mastichatch_node.relay.relay_node import RelayNode
from tests.relay_nodes import RelayFixture, open_nodes


class ManualIsolation(IsolationTracker):
    """Isolation that a test sets."""

    def __init__(self, *arguments: Any, **options: Any) -> None:
        """Start as a node that reaches all endpoints."""
        super().__init__(*arguments, **options)
        self._is_isolated = False
        self._peers: tuple[str, ...] = ()
        self._unreached: set[str] = set()
        self._observers: list[Callable[[], None]] = []

    @property
    def is_isolated(self) -> bool:
        """Whether the test has partitioned the node."""
        return self._is_isolated

    def reachable_peers(self) -> tuple[str, ...]:
        """Return the nodes that the test names."""
        return self._peers

    def reaches(self, service: str) -> bool:
        """Return whether the test has not excluded a service."""
        return service not in self._unreached

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call a function whenever the test changes the state."""
        self._observers.append(callback)

    def set(
        self, *peers: str, is_isolated: bool = True, unreached: str = ''
    ) -> None:
        """Change the state: which peers reach endpoints, and what is not."""
        self._peers = peers
        self._is_isolated = is_isolated
        self._unreached = {unreached}
        for observe in self._observers:
            observe()


def isolation_of(relay: RelayFixture) -> ManualIsolation:
    """Return what a test sets of a node."""
    isolation = context_of(relay.node).isolation
    assert isinstance(isolation, ManualIsolation)
    return isolation


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


@contextlib.contextmanager
def manual_isolation() -> Iterator[None]:
    """Let tests set the isolation of the nodes that start in the block."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(program, 'IsolationTracker', ManualIsolation)
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
