"""Rolls out a good or a bad version of a service while faults strike."""

import asyncio
import base64
import contextlib
import json
import random
import time
from collections.abc import AsyncIterator, Iterator
from typing import Final

from tests.soak.fleet import ROLLOUT_SHARE, ROLLOUT_SLACK, Fleet
from tests.standins.house_endpoints import HouseEndpoint, open_endpoints

SERVICE: Final = 'app'
TARGET: Final = 'v2'
ENDPOINTS: Final = 3
PERIOD_S: Final = 6.0
# Time until hosts have learned of a state in the calm, and their requests have
# arrived.
SPREAD_S: Final = 2.0
ORDER_KEY: Final = f'op/rollout/{SERVICE}'
STATUS_KEY: Final = f'status/rollout/{SERVICE}'


class Rollout:
    """One roll-out, and what must hold of it."""

    def __init__(self, fleet: Fleet, *, is_bad: bool) -> None:
        """Start before the order.

        :param fleet: whose service is moved
        :param is_bad: whether the target fails all requests
        """
        self._fleet = fleet
        self._is_bad = is_bad
        self._ordered_at = time.monotonic()

    @property
    def is_bad(self) -> bool:
        """Whether the target fails all requests."""
        return self._is_bad

    async def order(self, endpoints: tuple[HouseEndpoint, ...]) -> None:
        """Write the order, and register the endpoints of the target.

        :param endpoints: endpoints of the target
        """
        store = self._fleet.store
        document = {
            'service': SERVICE,
            'target': TARGET,
            'period_s': PERIOD_S,
        }
        await store.put(ORDER_KEY, document)
        self._ordered_at = time.monotonic()
        for endpoint in endpoints:
            entry = endpoint.entry(SERVICE, 'north')
            await store.put(f'servers/{endpoint.instance}', entry)

    def broken_promises(self) -> Iterator[str]:
        """Yield a line for each promise that was broken."""
        states = self._states()
        if states not in (
            [],
            ['serving'],
            ['serving', 'completed'],
            ['serving', 'reverted'],
        ):
            yield f'the states of the roll-out were {states}'
        if not self._is_bad:
            return
        if 'completed' in states:
            yield 'a bad version was completed'
        exposed, others = self._runs()
        limit = ROLLOUT_SHARE * (exposed + others) + ROLLOUT_SLACK
        if exposed > limit:
            yield f'a bad version got {exposed} requests of {limit} allowed'

    async def end(self) -> AsyncIterator[str]:
        """Yield a line for each promise that is broken once faults are over."""
        await asyncio.sleep(SPREAD_S)
        states = self._states()
        if states[-1:] not in (['completed'], ['reverted']):
            yield f'the roll-out is still {states} in the calm'
        exposed, _ = self._runs()
        await asyncio.sleep(SPREAD_S)
        if states[-1:] == ['reverted'] and self._runs()[0] > exposed:
            yield 'a version got requests long after it was reverted'

    def _states(self) -> list[str]:
        rows = [one for one in self._fleet.store.events if 'value' in one]
        return [
            json.loads(base64.b64decode(one['value']))['state']
            for one in rows
            if one['key'] == STATUS_KEY
        ]

    def _runs(self) -> tuple[int, int]:
        """Return the runs since the order: of the target, and of the others."""
        instances = [
            run.endpoint
            for run in self._fleet.records.runs
            if run.started_at >= self._ordered_at
        ]
        exposed = sum(one.startswith(f'{TARGET}-') for one in instances)
        others = sum(one.startswith('app-') for one in instances)
        return exposed, others


@contextlib.asynccontextmanager
async def open_rollout(
    fleet: Fleet, draws: random.Random
) -> AsyncIterator[Rollout]:
    """Order a roll-out, and serve the endpoints of its target.

    :param fleet: whose service is moved
    :param draws: decides whether the target is good
    """
    rollout = Rollout(fleet, is_bad=draws.choice((True, False)))
    fleet.bad_version = TARGET if rollout.is_bad else ''
    endpoints = tuple(
        HouseEndpoint(f'{TARGET}-{number}', fleet.answer, version=TARGET)
        for number in range(ENDPOINTS)
    )
    async with open_endpoints(*endpoints):
        await rollout.order(endpoints)
        yield rollout
