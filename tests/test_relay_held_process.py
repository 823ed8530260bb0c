"""Tests of connections that a node opens while its process is held up.

The kernel establishes a connection although the event loop stands still. If the
time limit ends in the turn in which the loop goes on, the connection was taken
for failed, and the caller got 503.
"""

import asyncio
import contextlib
import socket
import time
from collections.abc import AsyncIterator

import pytest

from mastichatch_node.relay.http_client import (
    Connection,
    ExchangeError,
    connect,
)
from tests.relay_nodes import new_resources

LIMIT_S = 0.25
HELD_S = 0.4
# Length of turns of a loop that never gets enough of the processor.
TURN_S = 0.15
# How much later than its limit a connection may be given up.
SLACK_S = 0.2


@contextlib.asynccontextmanager
async def open_listener() -> AsyncIterator[socket.socket]:
    """Listen on loopback without accepting connections."""
    with socket.create_server(('127.0.0.1', 0), backlog=0) as listener:
        yield listener


def address(listener: socket.socket) -> str:
    host, port = listener.getsockname()
    return f'{host}:{port}'


async def start(listener: socket.socket) -> asyncio.Task[Connection]:
    opening = asyncio.create_task(
        connect(address(listener), LIMIT_S, new_resources())
    )
    # The task starts to connect.
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    return opening


async def test_connection_that_was_established_meanwhile_is_used() -> None:
    async with open_listener() as listener:
        opening = await start(listener)
        time.sleep(HELD_S)  # noqa: ASYNC251
        (await opening).close()


async def test_connection_is_established_in_long_turns() -> None:
    async with open_listener() as listener:
        opening = await start(listener)
        while not opening.done():
            time.sleep(TURN_S)  # noqa: ASYNC251
            await asyncio.sleep(0)
        (await opening).close()


async def test_peer_that_does_not_answer_is_given_up_in_time() -> None:
    async with open_listener() as listener:
        # The kernel answers no further connection.
        with contextlib.ExitStack() as stack:
            for _ in range(4):
                filler = stack.enter_context(socket.socket())
                filler.setblocking(False)
                filler.connect_ex(listener.getsockname())
            opening = await start(listener)
            began_at = time.monotonic()
            with pytest.raises(ExchangeError):
                await opening
    assert time.monotonic() - began_at < LIMIT_S + SLACK_S
