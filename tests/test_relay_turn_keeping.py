"""Tests of how a node requests turns from the nodes that grant them.

Nodes stop one after the other in a restart of a data centre. A request for a
turn that fails with them would fail the caller's request. Nodes of an earlier
release answer none, and the server would get no requests while they grant its
turns.
"""

import asyncio
import dataclasses
import time
from typing import Any, cast

import pytest

from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.messages import EndpointLimit, ErrorKind
from mastichatch_core.generated.records import NodeRecord
from mastichatch_core.relay.model import Endpoint, EndpointState
from mastichatch_core.units import MS_PER_S
from mastichatch_node import codec
from mastichatch_node.peers import Peers
from mastichatch_node.relay.limit_tracking import LimitTracker
from mastichatch_node.relay.store_following import NodeRegistry
from mastichatch_node.relay.telemetry import Telemetry
from mastichatch_node.relay.turn_keeping import (
    ASK_TIMEOUT_MS,
    TurnKeeper,
)

ENDPOINT = Endpoint(
    instance='i-0',
    service='app',
    address='127.0.0.1:1',
    data_centre='south',
    slots=1,
    state=EndpointState.ready,
)


WAIT_S = 0.2
SCHEDULING_S = 0.3


class Entries:
    """Entries of nodes in the store."""

    def __init__(self) -> None:
        self.names: tuple[str, ...] = ()
        self.grants_turns = True

    def entries_under(self, prefix: str) -> dict[str, bytes]:
        return {
            f'{prefix}{name}': codec.encode_json(
                NodeRecord(
                    name=name,
                    incarnation=name,
                    data_centre='south',
                    peer_address=f'{name}:1',
                    http_address=f'{name}:2',
                    grants_turns=self.grants_turns,
                )
            )
            for name in self.names
        }


class SilentPeers:
    """Peers that do not answer."""

    def on(self, *_: object) -> None:
        """Ignore handlers."""

    async def ask(self, *_: object, timeout_ms: float, **__: object) -> None:
        await asyncio.sleep(timeout_ms / MS_PER_S)
        raise MastichatchError(ErrorKind.peer_unreachable)


class StoppingPeers:
    """Peers that do not answer, and are gone from the store then."""

    def __init__(self, registry: NodeRegistry) -> None:
        self._registry = registry
        self.asked: list[str] = []

    def on(self, *_: object) -> None:
        """Ignore handlers."""

    async def ask(self, address: str, *_: object, **__: object) -> None:
        self.asked.append(address)
        self._registry.update(cast(Any, Entries()))
        raise MastichatchError(ErrorKind.peer_unreachable)


@pytest.mark.parametrize('names', [('a', 'b'), ('a',)])
async def test_no_turn_is_had_while_all_granters_stop(
    names: tuple[str, ...],
) -> None:
    asked, _ = await request_turn(names, grants_turns=True)
    assert len(asked) == 1


async def test_nodes_of_an_earlier_release_are_not_asked() -> None:
    asked, endpoint = await request_turn(('a', 'b'), grants_turns=False)
    assert not asked
    assert endpoint == ENDPOINT


async def test_wait_for_silent_granters_of_many_endpoints_is_short() -> None:
    """A call with a short deadline may be sent to any of the endpoints."""
    registry = NodeRegistry('own', 'north')
    entries = Entries()
    entries.names = ('a', 'b')
    registry.update(cast(Any, entries))
    limits = LimitTracker(cast(Any, None), cast(Any, None), Telemetry())
    turns = TurnKeeper(
        cast(Any, None), registry, cast(Any, SilentPeers()), limits
    )
    endpoints = [
        dataclasses.replace(ENDPOINT, instance=f'i-{number}')
        for number in range(8)
    ]
    for one in endpoints:
        limits.record_told(EndpointLimit(instance=one.instance, per_s=1), 'a')
    started_at = time.monotonic()
    assert await turns.wait_for_turn(endpoints, WAIT_S) is None
    # The last two questions may end later.
    longest_s = WAIT_S + 2 * ASK_TIMEOUT_MS / MS_PER_S
    assert time.monotonic() - started_at < longest_s + SCHEDULING_S


async def request_turn(
    names: tuple[str, ...], *, grants_turns: bool
) -> tuple[list[str], Endpoint | None]:
    """Return the nodes that were asked, and the endpoint with a turn."""
    registry = NodeRegistry('own', 'north')
    entries = Entries()
    entries.names = names
    entries.grants_turns = grants_turns
    registry.update(cast(Any, entries))
    assert len(registry.addresses) == len(names)
    peers = StoppingPeers(registry)
    limits = LimitTracker(cast(Any, None), cast(Any, None), Telemetry())
    turns = TurnKeeper(cast(Any, None), registry, cast(Peers, peers), limits)
    limits.record_told(EndpointLimit(instance='i-0', per_s=1), 'a')
    return peers.asked, await turns.wait_for_turn((ENDPOINT,), 0.5)
