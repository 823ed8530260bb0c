"""The fleet of the demonstration: two data centres of two nodes each."""

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import sys
from collections.abc import AsyncIterator
from typing import Any, Final

from tests.processes import (
    Node,
    NodeOptions,
    Processes,
    StandIn,
    StartError,
    open_processes,
    poll_until,
)
from tools.demo.caller import MODEL, WORKSPACE
from tools.demo.screen import Screen

DATA_CENTRES: Final = ('north', 'south')
NODES_PER_DATA_CENTRE: Final = 2
START_LIMIT: Final = 3
ENGINE_FLAGS: Final = ('--cold-ms=1000', '--step-ms=40')
_PYTHON_FOLDER: Final = pathlib.Path(sys.executable).parent
_HTTP_OK: Final = 200


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CommandResult:
    """What a command printed.

    :param code: exit code
    :param text: standard output and error
    """

    code: int
    text: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Fleet:
    """The running processes.

    :param folder: where logs and the manifest are
    :param platform: the platform's stand-in
    :param service: the plain service's stand-in
    :param engines: the engines' stand-ins, by data centre
    :param nodes: the nodes by name
    """

    folder: pathlib.Path
    platform: StandIn
    service: StandIn
    engines: dict[str, StandIn]
    nodes: dict[str, Node]

    def address(self, node: str) -> str:
        """Return a node's address for callers.

        :param node: name of the node
        """
        return self.nodes[node].options.http_address


@contextlib.asynccontextmanager
async def open_fleet(folder: pathlib.Path) -> AsyncIterator[Fleet]:
    """Start the platform, the endpoints and the nodes, and end them.

    :param folder: where logs and the manifest are put
    """
    async with open_processes(folder) as processes:
        platform = await processes.stand_in('platform', 'platform')
        engines = [
            await processes.stand_in(f'engine-{name}', 'engine', *ENGINE_FLAGS)
            for name in DATA_CENTRES
        ]
        fleet = Fleet(
            folder=folder,
            platform=platform,
            service=await processes.stand_in('dispatch', 'service'),
            engines=dict(zip(DATA_CENTRES, engines, strict=True)),
            nodes=await _start_nodes(processes, platform.address),
        )
        manifest = json.dumps(_manifest(fleet), indent=2)
        (folder / 'manifest.json').write_text(manifest)
        await _list_hosts(fleet)
        yield fleet


async def run_command(
    fleet: Fleet,
    screen: Screen,
    *arguments: str,
) -> CommandResult:
    """Run ``mastichatchctl``, and show it as an operator would type it.

    :param fleet: fleet that is operated
    :param screen: where it is shown
    :param arguments: arguments of the command
    """
    screen.command(' '.join(('mastichatchctl', *arguments)))
    operator = {
        'MASTICHATCH_PLATFORM': fleet.platform.address,
        'MASTICHATCH_OPERATOR': 'demo',
    }
    process = await asyncio.create_subprocess_exec(
        str(_PYTHON_FOLDER / 'mastichatchctl'),
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
        cwd=fleet.folder,
        env=os.environ | operator,
    )
    output, _ = await process.communicate()
    text = output.decode().rstrip()
    screen.line(text)
    return CommandResult(code=process.returncode or 0, text=text)


async def _start_nodes(
    processes: Processes,
    platform: str,
) -> dict[str, Node]:
    places = {
        f'{centre}-{number}': centre
        for centre in DATA_CENTRES
        for number in range(1, NODES_PER_DATA_CENTRE + 1)
    }
    nodes = await asyncio.gather(
        *(
            _start_node(processes, name, centre, platform)
            for name, centre in places.items()
        ),
    )
    return dict(zip(places, nodes, strict=True))


async def _start_node(
    processes: Processes,
    name: str,
    data_centre: str,
    platform: str,
) -> Node:
    """Start a node until it answers.

    Another program may take a free port before the node does, so an early end
    is followed by another start at other ports.
    """
    for _ in range(START_LIMIT):
        options = NodeOptions(
            name=name,
            data_centre=data_centre,
            platform=platform,
        )
        node = processes.node(options)
        if await _is_live(node):
            return node
    raise StartError(f'{name} did not start: {node.process.log}')


async def _is_live(node: Node) -> bool:
    """Return once the node answers, or has ended."""

    async def has_settled() -> bool:
        if node.process.exit_code is not None:
            return True
        return await node.status_of('/health/live') == _HTTP_OK

    await poll_until(has_settled, f'{node.options.name} live')
    return node.process.exit_code is None


async def _list_hosts(fleet: Fleet) -> None:
    hosts = [
        (name, node.options.data_centre) for name, node in fleet.nodes.items()
    ]
    hosts.extend((f'host-engine-{centre}', centre) for centre in fleet.engines)
    hosts.append(('host-dispatch-south', 'south'))
    await fleet.platform.control(
        hosts=[
            {'host': host, 'data_centre': centre, 'state': 'live'}
            for host, centre in hosts
        ],
    )


def _manifest(fleet: Fleet) -> dict[str, Any]:
    engines = [
        {
            'name': f'engine-{centre}',
            'service': MODEL,
            'data_centre': centre,
            'host': f'host-engine-{centre}',
            'address': engine.address,
            'cold_limit': 2,
            'warm_after_ms': 1000,
        }
        for centre, engine in fleet.engines.items()
    ]
    dispatch = {
        'name': 'dispatch-south',
        'service': 'dispatch',
        'data_centre': 'south',
        'host': 'host-dispatch-south',
        'address': fleet.service.address,
    }
    operations = [
        {'name': 'book-haul', 'idempotent': False},
        {'name': 'booking-status', 'idempotent': True},
    ]
    return {
        'data_centres': [{'name': centre} for centre in DATA_CENTRES],
        'services': [
            {'name': MODEL, 'kind': 'model'},
            {'name': 'dispatch', 'kind': 'plain', 'operations': operations},
        ],
        'endpoints': [*engines, dispatch],
        'workspaces': [{'name': WORKSPACE}],
    }
