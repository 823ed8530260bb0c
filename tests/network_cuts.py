"""Cuts the connections of one of several nodes in this process to endpoints."""

import asyncio
import contextlib
from collections.abc import Collection, Iterator
from enum import StrEnum
from typing import Any, cast

import pytest

from mastichatch_node.relay import http_client
from mastichatch_node.relay.relay_node import RelayNode


class Cut(StrEnum):
    """What becomes of connections: kept ones live on with ``refuse``."""

    hang = 'hang'
    reset = 'reset'
    refuse = 'refuse'


@contextlib.contextmanager
def cut_off(
    nodes: Collection[RelayNode], addresses: Collection[str], how: Cut
) -> Iterator[None]:
    """Cut nodes off from endpoints in the block.

    :param nodes: the nodes
    :param addresses: IP addresses and ports of the endpoints
    :param how: what becomes of connections
    """
    pools = [cast(Any, node)._context.pool for node in nodes]
    budgets = [pool.budget for pool in pools]
    open_stream = http_client._open_stream

    async def open_unless_cut(
        reader: Any, host: str, port: int
    ) -> asyncio.StreamWriter:
        is_cut = reader._held._budget in budgets
        if not is_cut or f'{host}:{port}' not in addresses:
            return await open_stream(reader, host, port)
        if how is Cut.hang:
            await asyncio.Event().wait()
        raise ConnectionRefusedError

    transports = [
        connection._writer.transport
        for pool in pools
        for connection in (*pool._taken, *sum(pool._idle.values(), []))
    ]
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(http_client, '_open_stream', open_unless_cut)
        for transport in transports:
            if how is Cut.hang:
                transport.pause_reading()
            elif how is Cut.reset:
                transport.abort()
        yield
    for transport in transports:
        if how is Cut.hang and not transport.is_closing():
            transport.resume_reading()
