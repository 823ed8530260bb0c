"""Tests of prompts with a part that crashes the engines that answer them."""

import asyncio
import contextlib
import itertools
from collections.abc import AsyncIterator

from mastichatch_platform.__main__ import create_adapter

from mastichatch_node.relay.program import RelayNode, open_node
from mastichatch_node.relay.telemetry import Telemetry
from tests.relay_nodes import (
    RelayFixture,
    Response,
    call,
    create_settings,
    open_relay,
    until,
)
from tests.standins import house_endpoints as endpoints
from tests.standins.house_endpoints import HouseEndpoint

# Requests that may reach engines after the fifth crash, and that crash, by the
# rules of the users.
CRASHES_BEFORE_BOUND = 5
REQUESTS_AFTER_BOUND = 3
RESTART_S = 0.2
DEADLY = 'dead'
SHARED = 'cafe'


def plan_headers(*parts: str) -> tuple[str, ...]:
    """Return the headers of a plan, given the shared parts of its prompt."""
    own = f'{next(_numbers):x}'
    prefix = ','.join(f'{part}:20' for part in (*parts, own))
    return (
        'Mastichatch-Model: m',
        'Mastichatch-Token-Counts: 100,400',
        f'Mastichatch-Prompt-Prefix: {prefix}',
    )


_numbers = itertools.count(1)


class Fleet:
    """Two nodes before engines that come back after a crash."""

    def __init__(
        self,
        relay: RelayFixture,
        second: tuple[str, RelayNode],
        engines: tuple[HouseEndpoint, ...],
    ) -> None:
        """Start with both nodes."""
        self.relay = relay
        self.second_node = second[1]
        self.engines = engines
        self._addresses = (relay.settings.callers_address, second[0])

    @property
    def crashes(self) -> int:
        """Number of crashes of all engines."""
        return sum(engine.crashes for engine in self.engines)

    def arrivals(self, part: str) -> int:
        """Return how many requests with a part reached an engine."""
        return sum(
            part in request.parts
            for engine in self.engines
            for request in engine.received
        )

    async def plan(self, *parts: str, node: int = 0) -> Response:
        """Send a plan to one of the nodes."""
        number = next(_numbers)
        return await call(
            self._addresses[node],
            '/plan/x',
            request_id=f'plan-{number}',
            headers=plan_headers(*parts),
        )

    async def restart_crashed(self) -> None:
        """Start engines that crashed again, until cancelled."""
        seen = {engine.instance: 0 for engine in self.engines}
        while True:
            await asyncio.sleep(RESTART_S)
            for number, engine in enumerate(self.engines):
                name = engine.instance
                if engine.crashes == seen.get(name, 0):
                    continue
                await self.relay.store.remove(f'servers/{name}')
                await engine.restart()
                seen[engine.instance] = engine.crashes
                await self.relay.store.put(
                    f'servers/{engine.instance}',
                    engine.entry('llm', 'north' if number % 2 else 'south'),
                )


@contextlib.asynccontextmanager
async def open_fleet(
    script: endpoints.Script, engine_count: int = 4
) -> AsyncIterator[Fleet]:
    """Run two nodes in different data centres before the same engines."""
    engines = tuple(
        HouseEndpoint(f'e{number}', script) for number in range(engine_count)
    )
    async with open_relay(engines=engines) as relay:
        settings = create_settings(
            relay.settings.store_address, name='south-1', data_centre='south'
        )
        async with open_node(settings, create_adapter(), Telemetry()) as second:
            await until(lambda: second.is_ready)
            await _until_acquainted(relay, second)
            fleet = Fleet(relay, (settings.callers_address, second), engines)
            restarting = asyncio.ensure_future(fleet.restart_crashed())
            try:
                yield fleet
            finally:
                restarting.cancel()


async def _until_acquainted(relay: RelayFixture, second: RelayNode) -> None:
    await until(
        lambda: all(
            len(node.belief.entries_under('mastichatch/nodes/')) == 2
            for node in (relay.node, second)
        )
    )


class TestDeadlyPart:
    async def test_its_requests_stop_reaching_engines(self) -> None:
        """Each new request with the part used to crash one more engine."""
        script = endpoints.crash_on_part(DEADLY, endpoints.stream(5))
        async with open_fleet(script) as fleet:
            for number in range(4):
                sound = await fleet.plan(SHARED, node=number % 2)
                assert sound.is_whole
            for number in range(16):
                await fleet.plan(SHARED, DEADLY, node=number % 2)
                await fleet.plan(SHARED, node=number % 2)
                await asyncio.sleep(RESTART_S / 2)
            assert fleet.arrivals(DEADLY) <= (
                CRASHES_BEFORE_BOUND + REQUESTS_AFTER_BOUND
            )
            sound = await fleet.plan(SHARED)
            assert sound.is_whole
