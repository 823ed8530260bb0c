"""Runs the membership of several nodes in one process, for tests."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Callable

import aiohttp

from mastichatch_core.generated.messages import ServiceLoad
from mastichatch_core.generated.settings import Settings
from mastichatch_node.configuration import Configuration, open_configuration
from mastichatch_node.membership import Membership, open_membership
from mastichatch_node.peers import Peers, open_peers
from mastichatch_node.platform import Platform, open_platform
from tests.standins.platform import create_platform
from tests.standins.serving import serve

MEMBER_TIMEOUT_MS = 400
NODE_LEASE_MS = 900


class Node:
    """The parts of one node up to its membership."""

    def __init__(
        self,
        platform: Platform,
        peers: Peers,
        configuration: Configuration,
        membership: Membership,
    ) -> None:
        """Store the parts."""
        self.platform = platform
        self.peers = peers
        self.configuration = configuration
        self.membership = membership

    def live(self) -> list[str]:
        """Return the names of the live nodes."""
        return [member.name for member in self.membership.live()]


@contextlib.asynccontextmanager
async def open_node(
    name: str,
    data_centre: str,
    platform_address: str,
    *,
    seeds: tuple[str, ...] = (),
    peer_address: str = '127.0.0.1:0',
    incarnation: str = '',
) -> AsyncIterator[Node]:
    """Open a node's parts up to its membership."""
    settings = Settings(
        name=name,
        data_centre=data_centre,
        platform=platform_address,
        seeds=seeds,
        heartbeat_interval_ms=50,
        member_timeout_ms=MEMBER_TIMEOUT_MS,
        node_lease_ms=NODE_LEASE_MS,
        platform_timeout_ms=300,
        watch_wait_ms=1000,
    )

    def loads() -> tuple[ServiceLoad, ...]:
        return (ServiceLoad(service='rota', free=1, waiting=0),)

    async with contextlib.AsyncExitStack() as stack:
        enter = stack.enter_async_context
        platform = await enter(open_platform(platform_address, 300))
        peers = await enter(
            open_peers(peer_address, incarnation or f'{name}-{time.time()}')
        )
        configuration = await enter(
            open_configuration(settings, platform, peers)
        )
        membership = await enter(
            open_membership(settings, platform, peers, configuration, loads)
        )
        yield Node(platform, peers, configuration, membership)


@contextlib.asynccontextmanager
async def start_platform_standin() -> AsyncIterator[str]:
    """Serve the stand-in of the platform on a free port."""
    async with serve(create_platform(), 0) as address:
        yield address


async def set_platform_faults(address: str, **faults: object) -> None:
    """Set the faults that the stand-in of the platform injects."""
    async with aiohttp.ClientSession() as session:
        async with session.post(f'http://{address}/control', json=faults):
            pass


async def wait_until(
    condition: Callable[[], bool], limit_s: float = 10
) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(limit_s):
        while not condition():
            await asyncio.sleep(0.01)
