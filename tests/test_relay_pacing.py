"""Tests of the rate limit on callbacks."""

import asyncio

from mastichatch_node.clock import loop_time
from mastichatch_node.relay.rate_limiting import rate_limited

INTERVAL_S = 0.05


class TestRateLimit:
    async def test_first_call_runs_the_callback_at_once(self) -> None:
        calls: list[float] = []
        request = rate_limited(lambda: calls.append(loop_time()), 60)
        request()
        await asyncio.sleep(0.01)
        assert len(calls) == 1

    async def test_callback_runs_once_per_interval(self) -> None:
        """Under load, each message caused the run order to be computed."""
        calls: list[float] = []
        request = rate_limited(lambda: calls.append(loop_time()), INTERVAL_S)
        started_at = loop_time()
        while loop_time() - started_at < 4 * INTERVAL_S:
            request()
            await asyncio.sleep(0.001)
        call_limit = (loop_time() - started_at) / INTERVAL_S + 1
        assert 1 < len(calls) <= call_limit

    async def test_callback_follows_the_last_call(self) -> None:
        seen: list[int] = []
        update = 0
        request = rate_limited(lambda: seen.append(update), INTERVAL_S)
        for update in range(1, 6):
            request()
            await asyncio.sleep(0.001)
        await asyncio.sleep(2 * INTERVAL_S)
        assert seen[-1] == 5
