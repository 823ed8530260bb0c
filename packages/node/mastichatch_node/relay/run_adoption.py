"""Lets runs go on at another node when theirs has lost the way to engines."""

import dataclasses

from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.messages import (
    ErrorKind,
    ProxyHop,
    ProxyRun,
    RunCopy,
    RunState,
)
from mastichatch_core.relay.engine_choice import MOVED_MEMORY_SHARE
from mastichatch_core.relay.events import EventOrder
from mastichatch_core.relay.model import Endpoint, Service
from mastichatch_core.relay.run_engines import Ending, RunEngines
from mastichatch_node.clock import loop_time
from mastichatch_node.relay.context import Job, RelayContext
from mastichatch_node.relay.engine_exchange import AttemptSource, resume_at
from mastichatch_node.relay.engine_placement import (
    EnginePlacer,
    new_run,
    require_engine,
)
from mastichatch_node.relay.proxy_decision import LeftRun, PassOnError
from mastichatch_node.relay.run_stopping import Handover
from mastichatch_node.relay.run_transfer import RunLocation


@dataclasses.dataclass(frozen=True, slots=True)
class RunControl:
    """What a generation uses to hand its run over.

    :param engines: engines that may be at work on it
    :param handover: orders engines to stop it
    """

    engines: RunEngines
    handover: Handover


def leave(
    source: Endpoint,
    engines: RunEngines,
    order: EventOrder,
    copy: RunLocation | None,
    earlier: tuple[RunLocation, ...],
    request_id: str,
) -> PassOnError:
    """Return the error with which another node goes on with a run.

    :param source: engine of the last attempt
    :param engines: engines that may be at work on it
    :param order: events that the caller has
    :param copy: location of a copy, if there is one
    :param earlier: copies made before an order to stop it, oldest first
    :param request_id: id of its request
    """
    works = engines.except_for(None)
    run = ProxyRun(
        source=source.instance,
        engines=tuple(work.endpoint.instance for work in works),
        begun=tuple(work.endpoint.instance for work in works if work.has_begun),
        last_event=order.last,
        events=order.count,
        earlier=tuple(
            RunCopy(
                endpoint=one.endpoint.instance,
                address=one.address,
                handle=one.handle,
            )
            for one in earlier
        ),
    )
    if copy is not None:
        run = dataclasses.replace(
            run,
            copy_at=copy.endpoint.instance,
            copy_address=copy.address,
            copy_handle=copy.handle,
        )
    copies = earlier
    if copy is not None and copy.handle != request_id:
        copies = (copy, *earlier)
    return PassOnError(1, LeftRun(run, order, copies))


def service_of(context: RelayContext, hop: ProxyHop) -> Service | None:
    """Return the service of a run that another node has left.

    Its route may lead to several services, of which one is drawn for each
    request.

    :param context: shared components of the relay
    :param hop: what the other node told of its request
    :returns: ``None`` if no run is in progress, or its service is not known
    """
    configuration = context.belief.configuration
    if hop.run is None or configuration is None:
        return None
    source = context.belief.endpoints(loop_time()).get(hop.run.source)
    return (
        None if source is None else configuration.services.get(source.service)
    )


async def adopt(
    context: RelayContext,
    placer: EnginePlacer,
    job: Job,
    run: ProxyRun,
    control: RunControl,
) -> AttemptSource:
    """Return where a run goes on that another node has left.

    :param context: shared components of the relay
    :param placer: chooses engines
    :param job: request of the run
    :param run: what the other node told of it
    :param control: used to hand it over
    :raises MastichatchError: if it cannot go on, or may be at work elsewhere
    """
    handover = control.handover
    _record_copies(context, job, run, handover)
    source = _record_engines(context, run, control.engines)
    for work in control.engines.except_for(None):
        # The other node may have ordered it to stop without an answer.
        handover.orders.record_late(work.endpoint)
    copy = _find_copy(context, placer, run, source, handover)
    if copy is None:
        destination = _choose_destination(context, placer, job, run, source)
        copy = await handover.take(handover.order_stop(source, destination))
    if copy is None:
        raise MastichatchError(ErrorKind.generation_lost)
    is_alone = False
    try:
        is_alone = await handover.ensure_alone(copy.endpoint, source)
    finally:
        if not is_alone and copy.handle != job.request_id:
            # It is freed with the rest once the run has ended.
            handover.copies.add(copy)
    if not is_alone:
        raise MastichatchError(ErrorKind.generation_lost)
    return resume_at(handover.orders.newest_copy(copy), run.last_event)


def _record_engines(
    context: RelayContext, run: ProxyRun, engines: RunEngines
) -> Endpoint:
    """Record the engines that may be at work on a run, and return its last.

    :raises MastichatchError: if one of them is not known, so that nothing can
        prove that it has stopped
    """
    now = loop_time()
    known = context.belief.endpoints(now)
    for instance in (run.source, *run.engines):
        if instance not in known:
            raise MastichatchError(
                ErrorKind.generation_lost, f'no engine {instance}'
            )
    for instance in run.engines:
        engines.record_request(known[instance], now)
        if instance in run.begun:
            engines.record_answer(known[instance])
        engines.record_disconnect(known[instance], Ending.by_node)
    return known[run.source]


def _record_copies(
    context: RelayContext, job: Job, run: ProxyRun, handover: Handover
) -> None:
    """Record the copies that are freed unless the run uses them.

    Engines keep backups under the id of the request, and free them themselves.
    """
    known = context.belief.endpoints(loop_time())
    told = RunCopy(
        endpoint=run.copy_at, address=run.copy_address, handle=run.copy_handle
    )
    for copy in (told, *run.earlier):
        if copy.endpoint in known and copy.handle != job.request_id:
            handover.copies.add(
                RunLocation(
                    endpoint=known[copy.endpoint],
                    address=copy.address,
                    handle=copy.handle,
                )
            )


def _find_copy(
    context: RelayContext,
    placer: EnginePlacer,
    run: ProxyRun,
    source: Endpoint,
    handover: Handover,
) -> RunLocation | None:
    """Return the best copy that the other node told of, if one is usable."""

    def accepts_runs(endpoint: Endpoint) -> bool:
        return placer.accepts_runs(endpoint, source)

    found = handover.copies.take(accepts_runs)
    if found is not None:
        return found
    endpoint = context.belief.endpoints(loop_time()).get(run.copy_at)
    if endpoint is None or not accepts_runs(endpoint):
        return None
    return RunLocation(
        endpoint=endpoint, address=run.copy_address, handle=run.copy_handle
    )


def _choose_destination(
    context: RelayContext,
    placer: EnginePlacer,
    job: Job,
    run: ProxyRun,
    source: Endpoint,
) -> Endpoint:
    """Return the engine to which a run is moved, which may be its own."""
    tokens = require_engine(job).tokens_per_event
    state = dataclasses.replace(
        new_run(job, context.controls),
        state=RunState.running,
        endpoint=source.instance,
        output_tokens=run.events * tokens,
    )
    destination = placer.choose_destination_engine(
        job,
        state,
        frozenset((source.instance,)),
        source,
        MOVED_MEMORY_SHARE,
    )
    return destination or source
