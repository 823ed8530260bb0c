"""Finds where runs were whose helping node has died.

Load pattern: a node that serves streams of nodes that are cut off dies, and
with it all that it knew of them, but for what it announced to all nodes.
"""

import asyncio
import dataclasses
from typing import Final

from mastichatch_core.generated.messages import ProxyRun
from mastichatch_core.generated.records import NodeRecord
from mastichatch_core.relay.events import EventOrder
from mastichatch_core.relay.model import Endpoint
from mastichatch_node.clock import loop_time
from mastichatch_node.relay.context import Job, RelayContext
from mastichatch_node.relay.http_client import ExchangeError

# Time for a process that ends to close its listener, too.
PROCESS_END_WAIT_S: Final = 0.05


async def has_ended(context: RelayContext, record: NodeRecord) -> bool:
    """Return whether the process of a helping node has ended.

    :param context: shared components of this node
    :param record: registration of the other node
    """
    await asyncio.sleep(PROCESS_END_WAIT_S)
    pool = context.proxy_pool
    try:
        connection = await pool.take(record.proxy_address, 0)
    except ExchangeError as error:
        return error.is_connection_refused
    pool.release(connection)
    return False


def find_run(
    context: RelayContext,
    name: str,
    job: Job,
    order: EventOrder,
    former: ProxyRun | None,
) -> ProxyRun | None:
    """Return what another node is told of the run of a node that has died.

    :param context: shared components of this node
    :param name: name of the node that has died
    :param job: the request
    :param order: events that the caller has
    :param former: what that node was told of the run, if anything
    :returns: ``None`` if it has announced no run on a known engine
    """
    announced = context.sharing.table.find(name, job.request_id)
    known = context.belief.endpoints(loop_time())
    engine = job.service.engine
    if announced is None or announced.endpoint not in known or engine is None:
        return None
    run = former or ProxyRun(source=announced.endpoint)
    begun = set(run.begun) - {announced.endpoint}
    # Without a later event, the run may have been sent to it just before.
    if order.count * engine.tokens_per_event > announced.output_tokens:
        begun.add(announced.endpoint)
    run = dataclasses.replace(
        run,
        source=announced.endpoint,
        engines=tuple({*run.engines, announced.endpoint}),
        begun=tuple(begun),
        last_event=order.last,
        events=order.count,
    )
    copy = known.get(announced.copy_at)
    if copy is None:
        return run
    if announced.standby_handle:
        source = known[announced.endpoint]
        return _with_copy(run, copy, source.address, announced.standby_handle)
    if engine.can_back_up:
        # Engines keep backups under the id of the request.
        return _with_copy(run, copy, copy.address, job.request_id)
    return run


def _with_copy(
    run: ProxyRun, copy: Endpoint, address: str, handle: str
) -> ProxyRun:
    """Return a run with a copy that replaces the older ones.

    :param run: the run
    :param copy: engine with the copy
    :param address: address of the engine that issued the handle
    :param handle: identifier of the copy on that engine
    """
    return dataclasses.replace(
        run,
        copy_at=copy.instance,
        copy_address=address,
        copy_handle=handle,
        earlier=(),
    )
