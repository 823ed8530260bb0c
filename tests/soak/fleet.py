"""Nodes as processes, before stand-ins whose links pass through proxies."""

import asyncio
import contextlib
import dataclasses
import pathlib
import random
import time
from collections.abc import AsyncIterator
from typing import Final

from tests.processes import Process, free_address
from tests.relay_nodes import configuration, route
from tests.relay_process import start_relay
from tests.soak.promises import STREAM_EVENTS
from tests.soak.records import Arrival, EndpointRun, Records
from tests.standins import house_endpoints as endpoints
from tests.standins.house_endpoints import HouseEndpoint, ReceivedRequest
from tests.standins.house_store import Copy, HouseStore, open_store
from tests.standins.proxy import Proxy, open_proxy

NODES: Final = ('north-1', 'north-2', 'north-3')
SERVICES: Final = {
    'app-1': 'app',
    'app-2': 'app',
    'llm-1': 'llm',
    'llm-2': 'llm',
}
EVENT_GAP_S: Final = 0.02
# Part of prompts that crashes engines while the fault lasts, and the time until
# a crashed engine is back.
DEADLY_PART: Final = 'dead'
DOWN_S: Final = 1.0
# Shares of calls that an endpoint refuses, fails, and runs without an answer.
SHED_SHARE: Final = 0.04
FAIL_SHARE: Final = 0.04
LOSE_SHARE: Final = 0.04
# Share of crashed engines that come back under the id that they had.
KEPT_ID_SHARE: Final = 0.5
# What versions on trial may get, by the nodes' settings.
ROLLOUT_SHARE: Final = 0.2
ROLLOUT_SLACK: Final = 12.0
# Time within which endpoints write again what the store has lost.
WRITE_AGAIN_S: Final = 1.0
# Limits that endpoints name, in requests a second.
LIMITS: Final = ('0.5', '1.1', '2')
# Share of calls that are answered oddly while that fault lasts.
ODD_SHARE: Final = 0.3
# Share of calls that are refused while refusals are copied, and the latest time
# of a copy: the next request on its connection comes sooner or later than it.
# Calls run longer meanwhile, so that copies come before their answers.
COPIED_SHARE: Final = 0.3
LATEST_COPY_S: Final = 1.5
COPIED_RUN_S: Final = 0.2


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
        self.has_deadly_part = False
        self.has_odd_answers = False
        self.has_copied_refusals = False
        # Time that endpoints ask for in refusals, in seconds, by instance.
        self.asking: dict[str, float] = {}
        self.bad_version = ''
        self._restarts: set[asyncio.Task[None]] = set()

    @property
    def version_prefix(self) -> str:
        """Prefix of the route that only the newest configuration has."""
        return f'/version-{self._version}/'

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
        document['routes'].append(
            route('version', 'safe', 'app', prefix=self.version_prefix)
        )
        if not with_key:
            document['tenants'] = [{'name': 'depots', 'api_keys': ['other']}]
        await self.store.put('op/config', document)

    async def restore_store(self, copy: Copy) -> None:
        """Let the store come back from a copy, and its writers write again.

        The operator writes at once, and the endpoints within a second. What a
        writer changes meanwhile is left as it is.
        """
        lost = dict(self.store.items)
        self.store.restore(copy)
        keys = sorted(
            key
            for key in {*lost, *copy.items}
            if key.startswith(('op/', 'servers/'))
            and lost.get(key) != copy.items.get(key)
        )
        for key in keys:
            if key.startswith('servers/'):
                await asyncio.sleep(WRITE_AGAIN_S / len(keys))
            if self.store.items.get(key) != copy.items.get(key):
                continue
            if key in lost:
                await self.store.put(key, lost[key].content)
            else:
                await self.store.remove(key)

    def draw_limit(self) -> str:
        """Return a limit for an endpoint to name."""
        return self._draws.choice(LIMITS)

    def create_endpoint(self, name: str) -> HouseEndpoint:
        """Return an endpoint that notes each request it begins to run."""
        endpoint = HouseEndpoint(f'{name}-0', self.answer)
        self.endpoints[name] = (endpoint, Proxy('', 0))
        return endpoint

    def start_process(self, name: str, addresses: dict[str, str]) -> Process:
        """Start a node's process."""
        settings = {
            'rollout-share': ROLLOUT_SHARE,
            'rollout-slack': ROLLOUT_SLACK,
        }
        return start_relay(name, addresses, self._folder, settings)

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

    async def answer(
        self,
        endpoint: HouseEndpoint,
        seen: ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Run a request, refuse it, or let it fail as the fleet is to."""
        draw = 1.0 if self.is_calm else self._draws.random()
        pause_s = self.asking.get(endpoint.instance, 0)
        self.records.arrivals.append(
            Arrival(
                request_id=seen.request_id,
                endpoint=f'{endpoint.instance}@{endpoint.born}',
                at=time.monotonic(),
                pause_s=pause_s,
                is_leaving='Server-Leaving' in endpoint.said_headers,
                limit=_limit_per_s(endpoint),
            )
        )
        if pause_s or draw < SHED_SHARE:
            await endpoints.refuse(endpoint, seen, writer)
            return
        if self.has_copied_refusals and self._draws.random() < COPIED_SHARE:
            copy_after_s = LATEST_COPY_S * self._draws.random() ** 3
            await endpoints.refuse_and_copy(
                endpoint, seen, writer, copy_after_s
            )
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
            if self.has_deadly_part and DEADLY_PART in seen.parts:
                await self._crash(endpoint, seen, writer)
                return
            script = endpoints.stream(
                STREAM_EVENTS,
                EVENT_GAP_S,
                is_framed=not self.has_odd_answers,
                resets_on_stop=False,
            )
            await script(endpoint, seen, writer)
            return
        run_s = COPIED_RUN_S if self.has_copied_refusals else EVENT_GAP_S
        await asyncio.sleep(run_s)
        if endpoint.version == self.bad_version:
            await endpoints.fail(endpoint, seen, writer)
            return
        if self.has_odd_answers and self._draws.random() < ODD_SHARE:
            self._answer_oddly(seen, writer)
            return
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

    def _answer_oddly(
        self, seen: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Stop inside the head of an answer, or write an old refusal again."""
        head = endpoints.signature_headers(seen)
        if self._draws.random() < 0.5:
            writer.write(f'HTTP/1.1 200 OK\r\n{head}'.encode())
            writer.close()
            return
        body = seen.request_id.encode()
        writer.write(endpoints.build_response(200, body, head))
        refusal = endpoints.build_response(
            503, b'', 'Mastichatch-Not-Executed: 1\r\n'
        )
        asyncio.get_running_loop().call_later(
            self._draws.uniform(0, 0.1), writer.write, refusal
        )

    async def _crash(
        self,
        endpoint: HouseEndpoint,
        seen: ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Begin an answer and crash; come back as a new instance."""
        head = endpoints.signature_headers(seen)
        framing = 'Transfer-Encoding: chunked\r\n\r\n'
        writer.write(f'HTTP/1.1 200 OK\r\n{head}{framing}'.encode())
        await writer.drain()
        await asyncio.sleep(EVENT_GAP_S)
        task = asyncio.ensure_future(self._restart_endpoint(endpoint))
        self._restarts.add(task)
        task.add_done_callback(self._restarts.discard)

    async def _restart_endpoint(self, endpoint: HouseEndpoint) -> None:
        name = next(
            name
            for name, (known, _) in self.endpoints.items()
            if known is endpoint
        )
        keeps_id = self._draws.random() < KEPT_ID_SHARE
        await self.restart_endpoint(name, DOWN_S, keeps_id=keeps_id)

    async def restart_endpoint(
        self, name: str, down_s: float, *, keeps_id: bool
    ) -> None:
        """Let an endpoint lose all connections, and start again.

        :param name: the endpoint
        :param down_s: time until it is back, in seconds
        :param keeps_id: whether it registers under the id that it had
        """
        endpoint, proxy = self.endpoints[name]
        await proxy.change({'cut': True})
        await asyncio.sleep(down_s)
        endpoint.born += 1
        if not keeps_id:
            await self.store.remove(f'servers/{endpoint.instance}')
            stem, _, number = endpoint.instance.rpartition('-')
            endpoint.instance = f'{stem}-{int(number) + 1}'
        await proxy.change({'restore': True})
        await self.register(name)


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


def _limit_per_s(endpoint: HouseEndpoint) -> float:
    return float(endpoint.limit) if isinstance(endpoint.limit, str) else 0


def _end(node: NodeUnderTest) -> None:
    node.process.wake()
    node.process.kill()
