"""Run a relay node as a process of its own against stand-ins."""

import asyncio
import contextlib
import dataclasses
import pathlib
import sys
from collections.abc import AsyncIterator, Mapping
from types import MappingProxyType
from typing import Any

from tests.processes import Process, free_address
from tests.relay_nodes import WAIT_S, Response, call, configuration
from tests.standins.house_endpoints import HouseEndpoint, open_endpoints
from tests.standins.house_store import HouseStore, open_store

START_NODE = (
    "import sys; sys.path.insert(0, 'platform');"
    'from mastichatch_platform.__main__ import main; sys.exit(main())'
)
BYTES_PER_KIB = 1024


@dataclasses.dataclass
class RelayProcess:
    """A running relay process, its addresses and the stand-in of its store."""

    process: Process
    addresses: dict[str, str]
    store: HouseStore

    @property
    def is_alive(self) -> bool:
        """Whether the process has not ended."""
        return self.process.exit_code is None

    def peak_bytes(self) -> int:
        """Return the largest memory in use by the process so far."""
        status = pathlib.Path(f'/proc/{self.process.pid}/status').read_text()
        line = next(
            one for one in status.splitlines() if one.startswith('VmHWM')
        )
        return int(line.split()[1]) * BYTES_PER_KIB

    async def call(self, path: str, **options: Any) -> Response:
        """Send a request on a new connection, and return the response."""
        return await call(self.addresses['callers'], path, **options)


def start_relay(
    name: str,
    addresses: dict[str, str],
    folder: pathlib.Path,
    settings: Mapping[str, object] = MappingProxyType({}),
) -> Process:
    """Start the process of a node.

    :param name: its name, also of its log
    :param addresses: its settings that are addresses, by flag
    :param folder: where it writes its log
    :param settings: its other settings, by flag
    """
    flags = [
        word
        for flag, address in addresses.items()
        for word in (f'--{flag}-address', address)
    ]
    for flag, setting in settings.items():
        flags.extend((f'--{flag}', str(setting)))
    command = [sys.executable, '-c', START_NODE, *flags]
    command.extend(('--name', name, '--data-centre', 'north'))
    return Process(name, command, folder / f'{name}.log')


@contextlib.asynccontextmanager
async def open_relay_process(
    folder: pathlib.Path,
    apps: tuple[HouseEndpoint, ...] = (),
    engines: tuple[HouseEndpoint, ...] = (),
    document: dict[str, Any] | None = None,
) -> AsyncIterator[RelayProcess]:
    """Run a process with a store and endpoints, and wait until it is ready."""
    store = HouseStore()
    names = ('callers', 'ready', 'peers', 'metrics')
    addresses = {name: free_address() for name in names}
    async with contextlib.AsyncExitStack() as stack:
        addresses['store'] = await stack.enter_async_context(open_store(store))
        await stack.enter_async_context(open_endpoints(*apps, *engines))
        await store.put('op/config', document or configuration())
        for service, endpoints in (('app', apps), ('llm', engines)):
            for endpoint in endpoints:
                await store.put(
                    f'servers/{endpoint.instance}',
                    endpoint.entry(service, 'north'),
                )
        process = start_relay('north-1', addresses, folder)
        stack.callback(process.kill)
        await _wait_until_ready(process, addresses['ready'])
        yield RelayProcess(process, addresses, store)


async def _wait_until_ready(process: Process, address: str) -> None:
    async with asyncio.timeout(WAIT_S):
        while True:
            process.check()
            with contextlib.suppress(OSError):
                answer = await call(address, '/mastichatch/ready', method='GET')
                if answer.status == 200:
                    return
            await asyncio.sleep(0.05)
