"""Run several relay nodes and two versions of endpoints, with steady load."""

import asyncio
import base64
import contextlib
import dataclasses
import itertools
import json
import time
from collections.abc import AsyncIterator
from typing import Any

from mastichatch_platform.program import create_adapter

from mastichatch_node.relay.program import open_node
from mastichatch_node.relay.relay_node import RelayNode
from mastichatch_node.relay.telemetry import Telemetry
from tests.relay_nodes import (
    call,
    configuration,
    create_settings,
    until,
)
from tests.standins.house_endpoints import HouseEndpoint, open_endpoints
from tests.standins.house_store import HouseStore, open_store

STATUS_KEY = 'status/rollout/app'
SHARE = 0.2
SLACK = 12


@dataclasses.dataclass
class RolloutFleet:
    """Relay nodes, the stand-in of their store, and what the load counted.

    ``sent`` is the number of requests sent to the service so far.
    """

    store: HouseStore
    nodes: dict[str, RelayNode]
    stacks: dict[str, contextlib.AsyncExitStack]
    addresses: dict[str, str]
    sent: int = 0
    statuses: list[int] = dataclasses.field(default_factory=list)
    running: set['asyncio.Task[None]'] = dataclasses.field(default_factory=set)

    @property
    def states(self) -> list[str]:
        """States that were written to the status document, in order."""
        rows = [
            one
            for one in self.store.events
            if one['key'] == STATUS_KEY and not one.get('deleted')
        ]
        return [_decode(one)['state'] for one in rows]

    async def order(self, target: str, period_s: float) -> None:
        """Write an operator's order."""
        document = {'service': 'app', 'target': target, 'period_s': period_s}
        await self.store.put('op/rollout/app', document)

    async def state_is(self, *states: str) -> float:
        """Wait for a state, and return the time it took in seconds."""
        started_at = time.monotonic()
        await until(lambda: bool(self.states) and self.states[-1] in states)
        return time.monotonic() - started_at

    async def phase_is(self, phase: str) -> None:
        """Wait until all nodes know a phase."""
        await until(
            lambda: all(
                _phase(self.nodes[name]) == phase for name in self.addresses
            )
        )

    async def close_node(self, name: str) -> None:
        """Stop a node."""
        self.addresses.pop(name)
        await self.stacks[name].aclose()

    async def _load(self, rate: float, path: str) -> None:
        for number in itertools.count():
            names = sorted(self.addresses)
            address = self.addresses[names[number % len(names)]]
            self.sent += 1
            task = asyncio.ensure_future(self._call(address, path, number))
            self.running.add(task)
            task.add_done_callback(self.running.discard)
            await asyncio.sleep(1 / rate)

    async def _call(self, address: str, path: str, number: int) -> None:
        with contextlib.suppress(OSError):
            response = await call(address, path, request_id=f'load-{number}')
            self.statuses.append(response.status)

    @contextlib.asynccontextmanager
    async def load(self, rate: float, path: str) -> AsyncIterator[None]:
        """Send requests to the nodes in turn, until the end of the block."""
        task = asyncio.ensure_future(self._load(rate, path))
        try:
            yield
        finally:
            task.cancel()
            await asyncio.gather(*self.running, return_exceptions=True)


@contextlib.asynccontextmanager
async def open_rollout_fleet(
    endpoints: tuple[HouseEndpoint, ...],
    names: tuple[str, ...] = ('north-1', 'north-2', 'north-3'),
    **settings: Any,
) -> AsyncIterator[RolloutFleet]:
    """Run nodes that follow roll-outs, with endpoints of a plain service."""
    store = HouseStore()
    async with contextlib.AsyncExitStack() as stack:
        enter = stack.enter_async_context
        store_address = await enter(open_store(store))
        await enter(open_endpoints(*endpoints))
        await store.put('op/config', configuration())
        for endpoint in endpoints:
            entry = endpoint.entry('app', 'north')
            await store.put(f'servers/{endpoint.instance}', entry)
        fleet = RolloutFleet(store, {}, {}, {})
        for name in names:
            own = await enter(contextlib.AsyncExitStack())
            options = {'rollout_share': SHARE, 'rollout_slack': SLACK}
            node_settings = create_settings(
                store_address, name=name, **(options | settings)
            )
            fleet.nodes[name] = await own.enter_async_context(
                open_node(node_settings, create_adapter(), Telemetry())
            )
            fleet.stacks[name] = own
            fleet.addresses[name] = node_settings.callers_address
        await until(
            lambda: all(_knows(one, names) for one in fleet.nodes.values())
        )
        yield fleet


def ran_on(endpoints: tuple[HouseEndpoint, ...], version: str) -> int:
    """Return the number of requests that reached a version."""
    return sum(len(one.received) for one in endpoints if one.version == version)


def _knows(node: RelayNode, names: tuple[str, ...]) -> bool:
    others = node.broadcaster.table.heard(asyncio.get_running_loop().time())
    return node.is_ready and len(others) == len(names) - 1


def _phase(node: RelayNode) -> str | None:
    rollout = node.rollouts.find('app')
    return None if rollout is None else rollout.phase


def _decode(row: dict[str, Any]) -> dict[str, Any]:
    document: dict[str, Any] = json.loads(base64.b64decode(row['value']))
    return document
