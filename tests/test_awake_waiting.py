"""Tests of waits that leave out time in which the event loop did not run.

Guards against a busy process that takes its own delay for that of another one.
"""

import asyncio
import time

from mastichatch_node.clock import loop_time
from mastichatch_node.relay.awake_waiting import wait_awake

TIMEOUT_S = 0.3


async def test_answer_that_follows_a_blocked_loop_is_waited_for() -> None:
    loop = asyncio.get_running_loop()
    answer = loop.create_future()

    def block() -> None:
        time.sleep(2 * TIMEOUT_S)  # noqa: ASYNC251
        loop.call_later(TIMEOUT_S / 3, answer.set_result, None)

    loop.call_later(TIMEOUT_S / 3, block)
    assert await wait_awake((answer,), TIMEOUT_S)


async def test_wait_without_an_answer_ends() -> None:
    began_at = loop_time()
    answer = asyncio.get_running_loop().create_future()
    assert not await wait_awake((answer,), TIMEOUT_S)
    assert loop_time() - began_at >= TIMEOUT_S
