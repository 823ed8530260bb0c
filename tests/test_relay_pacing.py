"""How often news is acted on."""

import asyncio

from mastichatch_node.clock import loop_time
from mastichatch_node.relay.pacing import paced

INTERVAL_S = 0.05


class TestPaced:
    async def test_acts_at_once_after_a_quiet_time(self) -> None:
        calls: list[float] = []
        request = paced(lambda: calls.append(loop_time()), 60)
        request()
        await asyncio.sleep(0.01)
        assert len(calls) == 1

    async def test_acts_once_an_interval_on_many_messages(self) -> None:
        """Found on a grown day: each message had all turns worked out."""
        calls: list[float] = []
        request = paced(lambda: calls.append(loop_time()), INTERVAL_S)
        started_at = loop_time()
        while loop_time() - started_at < 4 * INTERVAL_S:
            request()
            await asyncio.sleep(0.001)
        most = (loop_time() - started_at) / INTERVAL_S + 1
        assert 1 < len(calls) <= most

    async def test_acts_on_the_last_message(self) -> None:
        seen: list[int] = []
        news = 0
        request = paced(lambda: seen.append(news), INTERVAL_S)
        for news in range(1, 6):
            request()
            await asyncio.sleep(0.001)
        await asyncio.sleep(2 * INTERVAL_S)
        assert seen[-1] == 5
