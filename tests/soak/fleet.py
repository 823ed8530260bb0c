"""Nodes as processes, before stand-ins whose links pass through proxies."""

import asyncio
import contextlib
import dataclasses
import pathlib
import random
import sys
import time
from collections.abc import AsyncIterator
from typing import Final

from tests.processes import Process, free_address
from tests.relay_nodes import configuration
from tests.soak.promises import STREAM_EVENTS
from tests.soak.records import EndpointRun, Records
from tests.standins import house_endpoints as endpoints
from tests.standins.house_endpoints import HouseEndpoint, ReceivedRequest
from tests.standins.house_store import HouseStore, open_store
from tests.standins.proxy import Proxy, open_proxy

NODES: Final = ('north-1', 'north-2', 'north-3')
SERVICES: Final = {
    'app-1': 'app',
    'app-2': 'app',
    'llm-1': 'llm',
    'llm-2': 'llm',
}
EVENT_GAP_S: Final = 0.02
# Shares of calls that an endpoint refuses, fails, and runs without an answer.
SHED_SHARE: Final = 0.04
FAIL_SHARE: Final = 0.04
LOSE_SHARE: Final = 0.04

_START_NODE: Final = (
    "import sys; sys.path.insert(0, 'platform');"
    'from mastichatch_platform.__main__ import main; sys.exit(main())'
)


@dataclasses.dataclass(kw_only=True)
class NodeUnderTest:
    """One node, and its own way to the store.

    :param name: its name
    :param addresses: its settings that are addresses, by flag
    :param store: proxy between it and the store
    :param process: its process
    :param is_wanted: whether it should run at the moment
    """

    name: str
    addresses: dict[str, str]
    store: Proxy
    process: Process
    is_wanted: bool = True
    starts: int = 1

    @property
    def has_started(self) -> bool:
        """Whether its process has come as far as to say so."""
        return self.process.log.count('"event":"started"') >= self.starts


class Fleet:
    """Nodes, endpoints and the store of one run."""

    def __init__(self, folder: pathlib.Path, draws: random.Random) -> None:
        """Start empty.

        :param folder: where nodes write their logs
        :param draws: chance of how endpoints answer
        """
        self._folder = folder
        self._draws = draws
        self._version = 1
        self.store = HouseStore()
        self.records = Records()
        self.nodes: dict[str, NodeUnderTest] = {}
        self.endpoints: dict[str, tuple[HouseEndpoint, Proxy]] = {}
        self.is_calm = False

    async def add_endpoint(self, name: str, proxy: Proxy) -> None:
        """Register an endpoint whose callers come through a proxy."""
        endpoint, _ = self.endpoints[name]
        endpoint.address = proxy.address
        self.endpoints[name] = (endpoint, proxy)
        await self.register(name)

    async def register(self, name: str, state: str = 'ready') -> None:
        """Write an endpoint's entry into the store."""
        endpoint, _ = self.endpoints[name]
        entry = endpoint.entry(SERVICES[name], 'north', state)
        await self.store.put(f'servers/{endpoint.instance}', entry)

    async def change_configuration(self, *, with_key: bool = True) -> None:
        """Put a new version of the operators' configuration in force."""
        self._version += 1
        document = configuration(self._version)
        if not with_key:
            document['tenants'] = [{'name': 'depots', 'api_keys': ['other']}]
        await self.store.put('op/config', document)

    def create_endpoint(self, name: str) -> HouseEndpoint:
        """Return an endpoint that notes each request it begins to run."""
        endpoint = HouseEndpoint(f'{name}-0', self._answer)
        self.endpoints[name] = (endpoint, Proxy('', 0))
        return endpoint

    def start_process(self, name: str, addresses: dict[str, str]) -> Process:
        """Start a node's process."""
        flags = [
            word
            for flag, address in addresses.items()
            for word in (f'--{flag}-address', address)
        ]
        command = [sys.executable, '-c', _START_NODE, *flags]
        command.extend(('--name', name, '--data-centre', 'north'))
        return Process(name, command, self._folder / f'{name}.log')

    def restart(self, name: str) -> None:
        """Start a node anew at the same addresses."""
        node = self.nodes[name]
        node.process = self.start_process(name, node.addresses)
        node.starts += 1
        node.is_wanted = True

    def note_ended(self) -> None:
        """Record the nodes that ended although nobody told them to."""
        for node in self.nodes.values():
            code = node.process.exit_code
            if node.is_wanted and code is not None:
                node.is_wanted = False
                self.records.ended.append(f'{node.name} (exit code {code})')

    async def _answer(
        self,
        endpoint: HouseEndpoint,
        seen: ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> None:
        draw = 1.0 if self.is_calm else self._draws.random()
        if draw < SHED_SHARE:
            await endpoints.refuse(endpoint, seen, writer)
            return
        self.records.runs.append(
            EndpointRun(
                request_id=seen.request_id,
                endpoint=endpoint.instance,
                started_at=time.monotonic(),
                is_resumed='kv-from' in seen.headers,
            )
        )
        if seen.target.startswith('/plan/'):
            script = endpoints.stream(STREAM_EVENTS, EVENT_GAP_S)
            await script(endpoint, seen, writer)
            return
        await asyncio.sleep(EVENT_GAP_S)
        if draw < SHED_SHARE + FAIL_SHARE:
            await endpoints.fail(endpoint, seen, writer)
        elif draw < SHED_SHARE + FAIL_SHARE + LOSE_SHARE:
            await endpoints.reset(endpoint, seen, writer)
        else:
            body = seen.request_id.encode()
            writer.write(
                endpoints.build_response(
                    200, body, endpoints.signature_headers(seen)
                )
            )


@contextlib.asynccontextmanager
async def open_fleet(
    folder: pathlib.Path, draws: random.Random
) -> AsyncIterator[Fleet]:
    """Run nodes and stand-ins until the end of the block.

    Only processes that were started here are ended, by their ids.

    :param folder: where nodes write their logs
    :param draws: chance of how endpoints answer
    """
    fleet = Fleet(folder, draws)
    created = [fleet.create_endpoint(name) for name in SERVICES]
    async with contextlib.AsyncExitStack() as stack:
        enter = stack.enter_async_context
        store_address = await enter(open_store(fleet.store))
        await enter(endpoints.open_endpoints(*created))
        await fleet.store.put('op/config', configuration())
        for name, endpoint in zip(SERVICES, created, strict=True):
            proxy, _ = await enter(open_proxy(endpoint.address))
            await fleet.add_endpoint(name, proxy)
        for name in NODES:
            proxy, _ = await enter(open_proxy(store_address))
            addresses = {
                flag: free_address()
                for flag in ('callers', 'ready', 'peers', 'metrics')
            }
            addresses['store'] = proxy.address
            fleet.nodes[name] = NodeUnderTest(
                name=name,
                addresses=addresses,
                store=proxy,
                process=fleet.start_process(name, addresses),
            )
            stack.callback(_end, fleet.nodes[name])
        yield fleet


def _end(node: NodeUnderTest) -> None:
    node.process.wake()
    node.process.kill()
