"""Starts nodes and stand-ins as processes of their own, for tests.

All that was started is ended with the context that started it. Ports are taken
from below the range that the kernel gives to outgoing connections, so that a
process can be started again at the same address.
"""

import asyncio
import contextlib
import dataclasses
import itertools
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time
from collections.abc import AsyncIterator, Container
from typing import Any, Final

import aiohttp

Json = dict[str, Any]

ROOT: Final = pathlib.Path(__file__).parent.parent
PORTS: Final = (12000, 32000)
BLOCK_PORTS: Final = 500
READY_TIMEOUT_S: Final = 60.0
POLL_INTERVAL_S: Final = 0.02
SETTINGS_PREFIX: Final = 'MASTICHATCH_'


class StartError(Exception):
    """A process ended or did not become ready; carries its log."""


def _claim_ports() -> tuple[socket.socket, range]:
    """Return the ports of this process, and the socket that claims them.

    The socket is bound to the first port of a block for as long as the process
    lives, so that no other worker, of this run or of another one, takes it.
    """
    blocks = list(range(*PORTS, BLOCK_PORTS))
    random.SystemRandom().shuffle(blocks)
    for first in blocks:
        claim = socket.socket()
        try:
            claim.bind(('127.0.0.1', first))
        except OSError:
            claim.close()
            continue
        return claim, range(first + 1, first + BLOCK_PORTS)
    raise StartError('every block of ports is taken')


_CLAIM, _PORTS = _claim_ports()
# A port that was given out is not given again soon: whoever got it may not
# listen yet.
_PORT_NUMBERS: Final = itertools.cycle(_PORTS)


def free_port() -> int:
    """Return a TCP port that nothing listens on."""
    while True:
        port = next(_PORT_NUMBERS)
        with socket.socket() as probe:
            # Connections that were just closed do not hold a port.
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            with contextlib.suppress(OSError):
                probe.bind(('127.0.0.1', port))
                return port


def free_address() -> str:
    """Return a loopback address that nothing listens on."""
    return f'127.0.0.1:{free_port()}'


async def poll_until(
    predicate: Any, what: str, timeout_s: float = READY_TIMEOUT_S
) -> None:
    """Wait until an asynchronous predicate holds.

    :param predicate: called without arguments until its result is true
    :param what: what is waited for, for the error
    :param timeout_s: longest wait, in seconds
    :raises StartError: when it does not come to hold
    """
    ends_at = time.monotonic() + timeout_s
    while not await predicate():
        if time.monotonic() > ends_at:
            raise StartError(f'timeout: {what}')
        await asyncio.sleep(POLL_INTERVAL_S)


class Process:
    """One process and its log."""

    def __init__(
        self, name: str, command: list[str], log: pathlib.Path
    ) -> None:
        """Start it."""
        environment = {
            key: value
            for key, value in os.environ.items()
            if not key.startswith(SETTINGS_PREFIX)
        }
        self.name = name
        self._log = log
        with log.open('ab') as output:
            self._popen = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._popen.pid

    @property
    def exit_code(self) -> int | None:
        """Return the exit code, or none while it runs."""
        return self._popen.poll()

    @property
    def log(self) -> str:
        """Return all that it has written."""
        return self._log.read_text(errors='replace')

    def freeze(self) -> None:
        """Stop it in its tracks (SIGSTOP)."""
        self._popen.send_signal(signal.SIGSTOP)

    def wake(self) -> None:
        """Let a frozen process go on (SIGCONT)."""
        self._popen.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Begin a planned stop (SIGTERM)."""
        self._popen.send_signal(signal.SIGTERM)

    def kill(self) -> None:
        """End it at once (SIGKILL), frozen or not."""
        self._popen.kill()
        self._popen.wait()

    async def wait(self, timeout_s: float = READY_TIMEOUT_S) -> int:
        """Wait for its end and return the exit code.

        :param timeout_s: longest wait, in seconds
        """

        async def ended() -> bool:
            return self.exit_code is not None

        await poll_until(ended, f'end of {self.name}', timeout_s)
        return self._popen.wait()

    def check(self) -> None:
        """Raise with the log if it has ended.

        :raises StartError: when it has ended
        """
        if self.exit_code is not None:
            raise StartError(f'{self.name} ended: {self.log}')


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StandIn:
    """A running stand-in or proxy.

    :param process: its process
    :param address: where it serves, as IP:PORT
    :param control_address: where its control calls go, as IP:PORT
    """

    process: Process
    address: str
    control_address: str
    _session: aiohttp.ClientSession

    async def control(self, **faults: Any) -> None:
        """Set faults."""
        async with self._session.post(
            f'http://{self.control_address}/control', json=faults
        ) as answer:
            answer.raise_for_status()

    async def show(self, name: str) -> Json:
        """Return what it recorded.

        :param name: last part of a path under `/control/`
        """
        async with self._session.get(
            f'http://{self.control_address}/control/{name}'
        ) as answer:
            shown: Json = await answer.json()
            return shown


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodeOptions:
    """How a node is started; again with the same to restart it.

    :param flags: further flags, such as `--member-timeout-ms`, with values
    """

    name: str
    data_centre: str
    platform: str
    http_address: str = dataclasses.field(default_factory=free_address)
    peer_address: str = dataclasses.field(default_factory=free_address)
    seeds: tuple[str, ...] = ()
    flags: tuple[str, ...] = ()

    @property
    def arguments(self) -> list[str]:
        """Return the command line without the program."""
        named = {
            '--name': self.name,
            '--data-centre': self.data_centre,
            '--platform': self.platform,
            '--http-address': self.http_address,
            '--peer-address': self.peer_address,
        }
        if self.seeds:
            named['--seeds'] = ','.join(self.seeds)
        pairs = [part for pair in named.items() for part in pair]
        return [*pairs, *self.flags]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Node:
    """A running node."""

    process: Process
    options: NodeOptions
    _session: aiohttp.ClientSession

    @property
    def url(self) -> str:
        """Return the base of its URLs for callers."""
        return f'http://{self.options.http_address}'

    async def status_of(self, path: str) -> int:
        """Return the HTTP status of a path, or zero without an answer."""
        try:
            async with self._session.get(
                self.url + path, timeout=aiohttp.ClientTimeout(total=2)
            ) as answer:
                return answer.status
        except (aiohttp.ClientError, TimeoutError):
            return 0

    async def wait_ready(self, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Wait until it serves callers.

        :param timeout_s: longest wait, in seconds
        :raises StartError: when it ends or is not ready in time
        """

        async def ready() -> bool:
            self.process.check()
            return await self.status_of('/health/ready') == 200

        try:
            await poll_until(ready, f'{self.options.name} ready', timeout_s)
        except StartError as error:
            raise StartError(f'{error}\n{self.process.log}') from None


class Processes:
    """Starts processes; `open_processes` ends them."""

    def __init__(
        self, directory: pathlib.Path, session: aiohttp.ClientSession
    ) -> None:
        """Keep logs and manifests in a directory."""
        self.session = session
        self._directory = directory
        self._started: list[Process] = []

    def start(self, name: str, module: str, *arguments: str) -> Process:
        """Start a module of Python.

        :param name: names the log
        :param module: module to run
        :param arguments: its command line
        """
        log = self._directory / f'{name}-{len(self._started)}.log'
        command = [sys.executable, '-m', module, *arguments]
        process = Process(name, command, log)
        self._started.append(process)
        return process

    async def stand_in(
        self, name: str, kind: str, *flags: str, address: str = ''
    ) -> StandIn:
        """Start a stand-in and wait until it serves.

        :param name: names the log
        :param kind: `platform`, `engine` or `service`
        :param flags: further flags, with their values
        :param address: where to serve; any free one by default
        """
        port = address.rpartition(':')[2] or str(free_port())
        process = self.start(
            name, f'tests.standins.{kind}', '--port', port, *flags
        )
        ready = await self._wait_line(process)
        return StandIn(
            process=process,
            address=ready[0],
            control_address=ready[-1],
            _session=self.session,
        )

    async def proxy(self, name: str, target: str, address: str = '') -> StandIn:
        """Start a proxy and wait until it listens.

        :param name: names the log
        :param target: address that it passes connections on to
        :param address: where to listen; any free one by default
        """
        flags = ('--target', target, '--control-port', str(free_port()))
        return await self.stand_in(name, 'proxy', *flags, address=address)

    def node(self, options: NodeOptions) -> Node:
        """Start a node; `Node.wait_ready` waits for it.

        :param options: how it is started
        """
        process = self.start(
            options.name, 'mastichatch_node.main', *options.arguments
        )
        return Node(process=process, options=options, _session=self.session)

    async def ctl(self, *arguments: str) -> str:
        """Run the operators' command line to its end and return its output.

        :param arguments: its arguments
        :raises StartError: for an exit code other than zero
        """
        process = self.start('ctl', 'mastichatch_ctl.main', *arguments)
        if await process.wait():
            raise StartError(f'{arguments}: {process.log}')
        return process.log

    async def apply(self, manifest: Json, platform: str) -> None:
        """Put a manifest into force.

        :param manifest: the manifest
        :param platform: address of the platform
        """
        path = self._directory / 'manifest.json'
        path.write_text(json.dumps(manifest))
        await self.ctl('apply', str(path), '--platform', platform)

    async def _wait_line(self, process: Process) -> list[str]:
        async def ready() -> bool:
            process.check()
            return process.log.startswith('ready') and '\n' in process.log

        await poll_until(ready, f'{process.name} ready')
        return process.log.split()[1:]

    def end(self) -> None:
        """Kill what still runs."""
        for process in self._started:
            process.kill()


@contextlib.asynccontextmanager
async def open_processes(directory: pathlib.Path) -> AsyncIterator[Processes]:
    """Start processes and end them with the context.

    :param directory: for logs and manifests, such as pytest's `tmp_path`
    """
    connector = aiohttp.TCPConnector(limit=0, force_close=True)
    async with aiohttp.ClientSession(connector=connector) as session:
        processes = Processes(directory, session)
        try:
            yield processes
        finally:
            processes.end()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FleetPlan:
    """What a fleet consists of.

    :param data_centres: their names
    :param nodes: number in each data centre
    :param engines: number of model engines in each data centre
    :param services: number of plain services in each data centre
    :param engine_flags: flags of the engine stand-ins
    :param node_flags: flags of all nodes
    :param proxied: whether proxies stand before endpoints and, one for each
        node, before the platform
    :param proxied_peers: whether proxies stand before nodes, for other nodes
    :param endpoint: further fields of each endpoint in the manifest
    :param manifest: parts of the manifest that replace the usual ones
    """

    data_centres: tuple[str, ...] = ('north', 'south')
    nodes: int = 2
    engines: int = 1
    services: int = 1
    engine_flags: tuple[str, ...] = ('--cold-ms', '0', '--step-ms', '5')
    node_flags: tuple[str, ...] = ()
    proxied: bool = False
    proxied_peers: bool = False
    endpoint: Json = dataclasses.field(default_factory=dict)
    manifest: Json = dataclasses.field(default_factory=dict)


MODEL: Final = 'rota'
PLAIN: Final = 'bookings'
OPERATIONS: Final = (
    {'name': 'book', 'idempotent': False, 'not_run_statuses': [503]},
    {'name': 'lookup', 'idempotent': True},
)


class Fleet:
    """A whole fleet of processes; `open_fleet` starts it."""

    def __init__(self, processes: Processes, plan: FleetPlan) -> None:
        """Start nothing yet."""
        self.processes = processes
        self.plan = plan
        self.platform: StandIn
        self.nodes: dict[str, Node] = {}
        self.endpoints: dict[str, StandIn] = {}
        self.links: dict[str, StandIn] = {}

    @property
    def session(self) -> aiohttp.ClientSession:
        """Return a session that opens a connection for each call."""
        return self.processes.session

    def manifest(self) -> Json:
        """Return a manifest for all that was started."""
        parts: Json = {
            'data_centres': [{'name': name} for name in self.plan.data_centres],
            'services': [
                {'name': MODEL, 'kind': 'model'},
                {'name': PLAIN, 'kind': 'plain', 'operations': OPERATIONS},
            ],
            'endpoints': [
                {
                    'name': name,
                    'service': MODEL if 'engine' in name else PLAIN,
                    'data_centre': name.partition('-')[0],
                    'host': f'host-{name}',
                    'address': self.links.get(name, endpoint).address,
                }
                | self.plan.endpoint
                for name, endpoint in self.endpoints.items()
            ],
            'workspaces': [{'name': 'large'}, {'name': 'small'}],
        }
        return parts | self.plan.manifest

    async def start(self) -> None:
        """Start the stand-ins, apply the manifest, start the nodes."""
        self.platform = await self.processes.stand_in('platform', 'platform')
        names = [
            (f'{data_centre}-{kind}-{number}', kind)
            for data_centre in self.plan.data_centres
            for kind, count in (
                ('engine', self.plan.engines),
                ('service', self.plan.services),
            )
            for number in range(count)
        ]
        await asyncio.gather(*(self._start_endpoint(*name) for name in names))
        await self.set_hosts()
        await self.processes.apply(self.manifest(), self.platform.address)
        await self._start_nodes()

    async def set_hosts(
        self, *, leaving: Container[str] = (), gone: Container[str] = ()
    ) -> None:
        """Set the host list: the nodes and the endpoints' hosts.

        :param leaving: hosts that are leaving
        :param gone: hosts that the list no longer shows
        """
        hosts = [
            *self.node_names(),
            *(f'host-{name}' for name in self.endpoints),
        ]
        await self.platform.control(
            hosts=[
                {
                    'host': host,
                    'data_centre': host.removeprefix('host-').partition('-')[0],
                    'state': 'leaving' if host in leaving else 'live',
                }
                for host in hosts
                if host not in gone
            ]
        )

    def node_names(self) -> list[str]:
        """Return the names of all nodes of the plan."""
        return [
            f'{data_centre}-node-{number}'
            for data_centre in self.plan.data_centres
            for number in range(self.plan.nodes)
        ]

    async def cut_off(self, *names: str) -> None:
        """Hold all messages between some nodes and all others.

        Needs `proxied_peers`; without names, everything passes again.

        :param names: nodes on one side of the cut
        """
        for name in self.nodes:
            senders = [
                self.links[f'peer-{other}'].address
                for other in self.nodes
                if names and (other in names) != (name in names)
            ]
            await self.links[f'peer-{name}'].control(block_senders=senders)

    async def restart(self, name: str) -> Node:
        """Start a node that has ended again, with the same settings.

        :param name: name of the node
        """
        node = self.processes.node(self.nodes[name].options)
        self.nodes[name] = node
        await node.wait_ready()
        return node

    async def ctl(self, *arguments: str) -> str:
        """Run the operators' command line against this fleet's platform.

        :param arguments: its arguments
        """
        return await self.processes.ctl(
            *arguments, '--platform', self.platform.address
        )

    async def _start_endpoint(self, name: str, kind: str) -> None:
        flags = self.plan.engine_flags if kind == 'engine' else ()
        endpoint = await self.processes.stand_in(name, kind, *flags)
        self.endpoints[name] = endpoint
        if self.plan.proxied:
            self.links[name] = await self.processes.proxy(
                f'link-{name}', endpoint.address
            )

    async def _start_nodes(self) -> None:
        peers = {name: free_address() for name in self.node_names()}
        for name, address in peers.items():
            self.nodes[name] = self.processes.node(
                NodeOptions(
                    name=name,
                    data_centre=name.partition('-')[0],
                    platform=await self._platform_for(name),
                    seeds=tuple(set(peers.values()) - {address}),
                    flags=(
                        '--advertised-peer-address',
                        address,
                        *self.plan.node_flags,
                    ),
                    peer_address=await self._listen_address(name, address),
                )
            )
        await asyncio.gather(
            *(node.wait_ready() for node in self.nodes.values())
        )

    async def _listen_address(self, name: str, advertised: str) -> str:
        if not self.plan.proxied_peers:
            return advertised
        address = free_address()
        self.links[f'peer-{name}'] = await self.processes.proxy(
            f'link-peer-{name}', address, advertised
        )
        return address

    async def _platform_for(self, name: str) -> str:
        if not self.plan.proxied:
            return self.platform.address
        link = await self.processes.proxy(
            f'link-platform-{name}', self.platform.address
        )
        self.links[f'platform-{name}'] = link
        return link.address


@contextlib.asynccontextmanager
async def open_fleet(
    directory: pathlib.Path, plan: FleetPlan | None = None
) -> AsyncIterator[Fleet]:
    """Start a fleet and end it with the context.

    :param directory: for logs and manifests, such as pytest's `tmp_path`
    :param plan: what it consists of; two data centres of two nodes by default
    """
    async with open_processes(directory) as processes:
        fleet = Fleet(processes, plan or FleetPlan())
        await fleet.start()
        yield fleet
