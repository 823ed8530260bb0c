"""Asks nodes for their state and their decisions, over HTTP."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Mapping, Sequence
from typing import Final, TypeVar
from urllib.parse import quote, urlencode

import aiohttp
import msgspec
import yarl

from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.messages import (
    ErrorBody,
    ErrorKind,
    ExplainAnswer,
    NodeStatus,
    SuspectedListing,
)
from mastichatch_core.units import MS_PER_S
from mastichatch_ctl.results import (
    Explanation,
    FleetStatus,
    InForce,
    NodeAnswer,
)

POLL_INTERVAL_S: Final = 0.1
_HTTP_OK: Final = 200

_Answer = TypeVar('_Answer')


class NodeClient:
    """Connections to the nodes' interface for operators.

    :param session: HTTP client
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        """Keep the client."""
        self._session = session

    async def read_status(self, address: str) -> NodeStatus:
        """Return a node's state.

        :param address: HTTP address of the node
        :raises MastichatchError: with ``peer_unreachable``
        """
        return await self._get(address, '/admin/status', NodeStatus)

    async def explain(self, address: str, request_id: str) -> Explanation:
        """Return a request's decisions as a node gathers them.

        :param address: HTTP address of the node that is asked
        :param request_id: id of the request
        :raises MastichatchError: with ``peer_unreachable``, or ``not_found``
            where no node remembers the request
        """
        path = '/admin/explain/{0}'.format(quote(request_id, safe=''))
        answer = await self._get(address, path, ExplainAnswer)
        if not answer.decisions:
            raise MastichatchError(
                ErrorKind.not_found,
                f'no node remembers the request {request_id!r}',
            )
        return Explanation(request_id=request_id, decisions=answer.decisions)

    async def order_quarantine(
        self, address: str, order: Mapping[str, str]
    ) -> SuspectedListing:
        """Give an order on suspected parts, and return what is suspected then.

        :param address: HTTP address of the node
        :param order: action, service and part; empty to give no order
        :raises MastichatchError: with ``peer_unreachable``, or with
            ``platform_unavailable`` where a pin could not be stored
        """
        query = f'?{urlencode(order)}' if order else ''
        return await self._call(
            'POST' if order else 'GET',
            address,
            f'/admin/quarantine{query}',
            SuspectedListing,
        )

    async def _get(
        self,
        address: str,
        path: str,
        answer_type: type[_Answer],
    ) -> _Answer:
        return await self._call('GET', address, path, answer_type)

    async def _call(
        self,
        method: str,
        address: str,
        path: str,
        answer_type: type[_Answer],
    ) -> _Answer:
        url = yarl.URL(f'http://{address}{path}', encoded=True)
        try:
            async with self._session.request(method, url) as answer:
                content = await answer.read()
                status = answer.status
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise _unreachable(address, error) from error
        if status != _HTTP_OK:
            raise _refused(address, status, content)
        try:
            return msgspec.json.decode(content, type=answer_type)
        except msgspec.MsgspecError as error:
            raise _unreachable(address, error) from error


@contextlib.asynccontextmanager
async def open_nodes(timeout_ms: int) -> AsyncIterator[NodeClient]:
    """Open connections to nodes, and close them at the end.

    :param timeout_ms: time allowed for one call, in milliseconds
    """
    timeout = aiohttp.ClientTimeout(total=timeout_ms / MS_PER_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        yield NodeClient(session)


async def read_fleet(
    client: NodeClient,
    addresses: Sequence[str],
) -> FleetStatus:
    """Return the state of several nodes; one that is away is listed too.

    :param client: connections to nodes
    :param addresses: HTTP addresses of the nodes
    """

    async def ask(address: str) -> NodeAnswer:
        try:
            status = await client.read_status(address)
        except MastichatchError as error:
            return NodeAnswer(address=address, failure=str(error))
        return NodeAnswer(address=address, status=status)

    answers = await asyncio.gather(*(ask(address) for address in addresses))
    return FleetStatus(nodes=tuple(answers))


async def explain(
    client: NodeClient,
    addresses: Sequence[str],
    request_id: str,
) -> Explanation:
    """Return a request's decisions from the first node that answers.

    :param client: connections to nodes
    :param addresses: HTTP addresses of the nodes
    :param request_id: id of the request
    :raises MastichatchError: with ``peer_unreachable`` where no node answers,
        or ``not_found`` where none remembers the request
    """
    failure = MastichatchError(ErrorKind.peer_unreachable, 'no node is known')
    for address in addresses:
        try:
            return await client.explain(address, request_id)
        except MastichatchError as error:
            failure = error
            if error.kind is ErrorKind.not_found:
                break
    raise failure


async def order_quarantine(
    client: NodeClient, addresses: Sequence[str], order: Mapping[str, str]
) -> SuspectedListing:
    """Give an order to the first node that answers; it tells all others.

    :param client: connections to nodes
    :param addresses: addresses of the nodes' metrics
    :param order: action, service and part; empty to give no order
    :raises MastichatchError: with ``peer_unreachable`` where no node answers
    """
    failure = MastichatchError(ErrorKind.peer_unreachable, 'no node is known')
    for address in addresses:
        try:
            return await client.order_quarantine(address, order)
        except MastichatchError as error:
            failure = error
            if error.kind is not ErrorKind.peer_unreachable:
                break
    raise failure


async def wait_for_revision(
    client: NodeClient,
    addresses: Sequence[str],
    revision: int,
    timeout_ms: int,
) -> InForce:
    """Wait until every node has a revision or a later one in force.

    :param client: connections to nodes
    :param addresses: HTTP addresses of the nodes
    :param revision: revision to wait for
    :param timeout_ms: longest wait, in milliseconds
    :raises MastichatchError: with ``not_ready`` at the timeout, naming the
        nodes that lag behind
    """
    loop = asyncio.get_running_loop()
    began = loop.time()
    ends = began + timeout_ms / MS_PER_S
    while True:
        fleet = await read_fleet(client, addresses)
        behind = tuple(
            filter(None, (_lag(node, revision) for node in fleet.nodes))
        )
        if not behind:
            waited_ms = int((loop.time() - began) * MS_PER_S)
            return InForce(
                revision=revision,
                nodes=len(fleet.nodes),
                waited_ms=waited_ms,
            )
        if loop.time() >= ends:
            raise MastichatchError(ErrorKind.not_ready, '; '.join(behind))
        await asyncio.sleep(POLL_INTERVAL_S)


def _lag(node: NodeAnswer, revision: int) -> str:
    if node.status is None:
        return node.failure
    if node.status.revision < revision:
        return (
            f'{node.status.name} ({node.address}) is at revision '
            f'{node.status.revision}'
        )
    return ''


def _unreachable(address: str, error: Exception) -> MastichatchError:
    reason = str(error) or type(error).__name__
    return MastichatchError(
        ErrorKind.peer_unreachable,
        f'the node at {address} did not answer: {reason}',
    )


def _refused(address: str, status: int, content: bytes) -> MastichatchError:
    try:
        body = msgspec.json.decode(content, type=ErrorBody)
    except msgspec.MsgspecError:
        return MastichatchError(
            ErrorKind.peer_unreachable,
            f'the node at {address} answered {status}',
        )
    return MastichatchError(body.kind, body.message)
