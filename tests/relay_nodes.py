"""Run a relay node in the test process against stand-ins of the platform."""

import asyncio
import contextlib
import dataclasses
import time
from collections.abc import AsyncIterator, Callable
from typing import Any

import h11
from mastichatch_platform.dialect import create_dialect
from mastichatch_platform.engines import EngineClient
from mastichatch_platform.program import create_adapter

from mastichatch_core.relay.model import Endpoint
from mastichatch_node.clock import loop_time
from mastichatch_node.relay.http_client import AnswerMatching, ConnectionPool
from mastichatch_node.relay.program import open_node
from mastichatch_node.relay.relay_node import RelayNode
from mastichatch_node.relay.resources import Resources, create_resources
from mastichatch_node.relay.settings import RelaySettings
from mastichatch_node.relay.telemetry import Telemetry
from tests.processes import free_address
from tests.standins.house_endpoints import HouseEndpoint, open_endpoints
from tests.standins.house_store import HouseStore, open_store

KEY = 'secret-key'
HOST = 'front.example'
WAIT_S = 20.0
MEMORY_MB = 150


def route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    """Return a route of the operators' configuration."""
    return {
        'name': name,
        'host': HOST,
        'prefix': f'/{name}/',
        'kind': kind,
        'timeout_ms': 5000,
        'goal_ms': 1000,
        'priority': 1,
        'service': service,
        'attempts': 2 if kind == 'safe' else 1,
        'public': False,
        **more,
    }


def configuration(version: int = 1, **more: Any) -> dict[str, Any]:
    """Return the operators' configuration."""
    engine = {
        'slots': 8,
        'kv_capacity': 20000,
        'kv_bytes': 100,
        'link_mbps': 1000.0,
        'moves': True,
        'backups': False,
        'stride': 4,
        'models': [{'name': 'm'}],
    }
    return {
        'version': version,
        'routes': [
            route('lookup', 'safe', 'app'),
            route('book', 'non_idempotent', 'app'),
            route('plan', 'streaming', 'llm', gap_aim_ms=180),
        ],
        'services': [
            {'name': 'app', 'health_path': '/health', 'max_conns': 50},
            {'name': 'llm', 'max_conns': 50, 'engine': engine},
        ],
        'limits': {
            'max_header_bytes': 4096,
            'max_body_bytes': 10000,
            'header_timeout_ms': 1000,
            'idle_timeout_ms': 5000,
        },
        'tenants': [{'name': 'depots', 'api_keys': [KEY]}],
        **more,
    }


@dataclasses.dataclass
class Response:
    """A response to a caller; ``is_whole`` is false if it was truncated."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool


@dataclasses.dataclass
class RelayFixture:
    """A running relay node and the stand-in of its store."""

    store: HouseStore
    node: RelayNode
    settings: RelaySettings

    async def call(self, path: str, **options: Any) -> Response:
        """Send a request on a new connection, and return the response."""
        return await call(self.settings.callers_address, path, **options)


@contextlib.asynccontextmanager
async def open_relay(
    apps: tuple[HouseEndpoint, ...] = (),
    engines: tuple[HouseEndpoint, ...] = (),
    document: dict[str, Any] | None = None,
    **settings: Any,
) -> AsyncIterator[RelayFixture]:
    """Run a node with a store and endpoints, and wait until it is ready."""
    store = HouseStore()
    async with contextlib.AsyncExitStack() as stack:
        enter = stack.enter_async_context
        address = await enter(open_store(store))
        await enter(open_endpoints(*apps, *engines))
        await store.put('op/config', document or configuration())
        for endpoint in apps:
            entry = endpoint.entry('app', 'north')
            await store.put(f'servers/{endpoint.instance}', entry)
        for endpoint in engines:
            entry = endpoint.entry('llm', 'north')
            await store.put(f'servers/{endpoint.instance}', entry)
        node_settings = create_settings(address, **settings)
        node = await enter(
            open_node(node_settings, create_adapter(), Telemetry())
        )
        await until(lambda: node.is_ready)
        yield RelayFixture(store=store, node=node, settings=node_settings)


def create_settings(store_address: str, **more: Any) -> RelaySettings:
    """Return settings with unused ports."""
    names = ('callers', 'ready', 'peers', 'metrics', 'proxy')
    addresses = {f'{name}_address': free_address() for name in names}
    return RelaySettings(
        **{
            'name': 'north-1',
            'data_centre': 'north',
            'store_address': store_address,
            **addresses,
            **more,
        }
    )


def new_resources() -> Resources:
    """Return the shared state of connections, with the default budget."""
    return create_resources(MEMORY_MB, Telemetry())


def engine_client(pool: ConnectionPool) -> EngineClient:
    """Return a client whose pool reads the ids of answers."""
    client = EngineClient(pool)
    read_id = create_dialect(client).read_response_id
    pool.match_answers(
        AnswerMatching(read_id=read_id, on_stale=lambda *_: None)
    )
    return client


def known_endpoints(node: RelayNode) -> dict[str, Endpoint]:
    """Return the endpoints that a node knows, by the id that they register."""
    known = node.belief.endpoints(0).values()
    return {one.registered_id: one for one in known}


@contextlib.asynccontextmanager
async def open_nodes(
    count: int,
    *engines: HouseEndpoint,
    apps: tuple[HouseEndpoint, ...] = (),
    document: dict[str, Any] | None = None,
    **options: Any,
) -> AsyncIterator[tuple[RelayFixture, ...]]:
    """Run nodes that have heard of each other."""
    async with contextlib.AsyncExitStack() as stack:
        enter = stack.enter_async_context
        first = await enter(open_relay(apps, engines, document, **options))
        relays = [first]
        for number in range(2, count + 1):
            settings = create_settings(
                first.settings.store_address,
                **{**options, 'name': f'north-{number}'},
            )
            node = await enter(
                open_node(settings, create_adapter(), Telemetry())
            )
            relays.append(
                dataclasses.replace(first, node=node, settings=settings)
            )
        for relay in relays:
            await until(lambda: relay.node.is_ready)
        # A node knows another one once that is registered.
        for relay in relays:
            await until(lambda: len(registered(relay.node)) == count)
        for relay in relays:
            await until(lambda: len(heard(relay.node)) == count - 1)
        yield tuple(relays)


@contextlib.asynccontextmanager
async def open_two_nodes(
    *engines: HouseEndpoint,
    apps: tuple[HouseEndpoint, ...] = (),
    document: dict[str, Any] | None = None,
    **options: Any,
) -> AsyncIterator[tuple[RelayFixture, str, RelayNode]]:
    """Run two nodes that have heard of each other."""
    opened = open_nodes(2, *engines, apps=apps, document=document, **options)
    async with opened as (relay, second):
        yield relay, second.settings.callers_address, second.node


def heard(node: RelayNode) -> frozenset[str]:
    """Return the names of the nodes whose messages arrive."""
    return node.broadcaster.table.heard(loop_time())


def registered(node: RelayNode) -> list[str]:
    return list(node.belief.entries_under('mastichatch/nodes/'))


async def until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds.

    :raises TimeoutError: if it does not hold in time
    """
    ends_at = time.monotonic() + WAIT_S
    while not condition():
        if time.monotonic() > ends_at:
            raise TimeoutError
        await asyncio.sleep(0.01)


async def call(address: str, path: str, **options: Any) -> Response:
    """Send a request on a new connection, and return the response.

    Options are ``method``, ``key``, ``request_id``, ``timeout_ms``, ``body``,
    ``host`` and ``headers``.
    """
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(request_bytes(path, **options))
        return await read_answer(reader)
    finally:
        writer.close()


def request_bytes(path: str, **options: Any) -> bytes:
    """Return the bytes of a caller's request."""
    body: bytes = options.get('body', b'')
    lines = [
        f'{options.get("method", "POST")} {path} HTTP/1.1',
        f'Host: {options.get("host", HOST)}',
        f'Mastichatch-Attempt-Id: {options.get("request_id", "r1")}',
        f'Mastichatch-Deadline-Ms: {options.get("timeout_ms", 3000)}',
        f'Content-Length: {len(body)}',
    ]
    key = options.get('key', KEY)
    if key:
        lines.append(f'Authorization: Token {key}')
    lines.extend(options.get('headers', ()))
    return '\r\n'.join([*lines, '', '']).encode() + body


async def read_answer(reader: asyncio.StreamReader) -> Response:
    """Return the next response of a connection."""
    protocol = h11.Connection(h11.CLIENT)
    protocol.send(
        h11.Request(method='GET', target='/', headers=[('Host', 'x')])
    )
    protocol.send(h11.EndOfMessage())
    response = Response(status=0, headers={}, body=b'', is_whole=False)
    parts: list[bytes] = []
    with contextlib.suppress(h11.RemoteProtocolError, OSError):
        while not response.is_whole:
            event = protocol.next_event()
            if event is h11.NEED_DATA:
                protocol.receive_data(await reader.read(65536))
            elif isinstance(event, h11.ConnectionClosed):
                break
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
            else:
                _apply_event(response, event)
    response.body = b''.join(parts)
    return response


def _apply_event(response: Response, event: object) -> None:
    if isinstance(event, h11.Response):
        response.status = event.status_code
        response.headers = {
            name.decode(): content.decode() for name, content in event.headers
        }
    elif isinstance(event, h11.EndOfMessage):
        response.is_whole = True
