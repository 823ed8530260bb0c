"""Runs the ``mastichatch`` program, one node of the system."""

import asyncio
import contextlib
import dataclasses
import os
import signal
import sys
import uuid
from typing import Final

import pynng
from absl import logging

from mastichatch_core.generated.messages import ServiceLoad
from mastichatch_core.generated.settings import Settings
from mastichatch_core.scheduler_state import Timing
from mastichatch_core.units import MS_PER_S
from mastichatch_node.admin import Admin
from mastichatch_node.calls import Calls, open_calls
from mastichatch_node.chat import Chat
from mastichatch_node.configuration import Configuration, open_configuration
from mastichatch_node.decisions import DecisionLog, create_decision_log
from mastichatch_node.engines import Engines, open_engines
from mastichatch_node.generations import Generations
from mastichatch_node.health import open_endpoint_reader
from mastichatch_node.hosted_scheduler import SchedulerContext
from mastichatch_node.logs import set_up_logging
from mastichatch_node.membership import Membership, open_membership
from mastichatch_node.metrics import Metrics, create_metrics
from mastichatch_node.peers import Peers, open_peers
from mastichatch_node.permits import Permits, open_permits
from mastichatch_node.placement import open_placement
from mastichatch_node.platform import Platform, open_platform
from mastichatch_node.requests import ActiveRequests
from mastichatch_node.routing import DataCentreRouter
from mastichatch_node.scheduler_hosting import SchedulerHost, open_scheduling
from mastichatch_node.server import ServerComponents, open_server
from mastichatch_node.settings import SettingsError, read_settings

DEVELOPMENT_SECRET: Final = 'development-only-secret'
EXIT_OK: Final = 0
EXIT_FAILED: Final = 1
EXIT_WRONG_SETTINGS: Final = 2
# Time without requests that ends the drain. The load balancer needs this long
# to notice that a node is no longer ready.
DRAIN_IDLE_TIME_S: Final = 2.0
DRAIN_POLL_INTERVAL_S: Final = 0.1


async def run_node(settings: Settings, stop: asyncio.Event) -> None:
    """Run a node until a stop is requested, then drain it and shut it down.

    :param settings: settings of the node
    :param stop: event that requests the planned stop
    """
    active = ActiveRequests()
    async with contextlib.AsyncExitStack() as stack:
        components, membership, scheduler_host = await _open_components(
            stack,
            settings,
            active,
        )
        await stack.enter_async_context(open_server(components))
        logging.info('node started', extra={'address': settings.http_address})
        await stop.wait()
        membership.set_draining()
        logging.info('draining', extra={'requests': active.count})
        await _wait_until_drained(settings, components, scheduler_host)
    logging.info('node stopped')


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _SharedComponents:
    """The components that all other components of a node depend on."""

    settings: Settings
    metrics: Metrics
    decisions: DecisionLog
    platform: Platform
    peers: Peers
    configuration: Configuration


async def _open_shared_components(
    stack: contextlib.AsyncExitStack,
    settings: Settings,
) -> _SharedComponents:
    enter = stack.enter_async_context
    platform = await enter(
        open_platform(settings.platform, settings.platform_timeout_ms),
    )
    peers = await enter(
        open_peers(
            settings.peer_address,
            uuid.uuid4().hex,
            settings.advertised_peer_address,
        ),
    )
    return _SharedComponents(
        settings=settings,
        metrics=create_metrics(settings.statsd),
        decisions=create_decision_log(settings.name, settings.explain_limit),
        platform=platform,
        peers=peers,
        configuration=await enter(
            open_configuration(settings, platform, peers),
        ),
    )


async def _open_membership(
    stack: contextlib.AsyncExitStack,
    shared: _SharedComponents,
    opened_scheduler_hosts: list[SchedulerHost],
) -> Membership:
    """Open the membership.

    Its heartbeats and digests report the loads of the schedulers that this node
    hosts. The schedulers are opened later and depend on the membership, so the
    loads are looked up on each call.
    """

    def collect_loads() -> tuple[ServiceLoad, ...]:
        return (
            opened_scheduler_hosts[0].loads() if opened_scheduler_hosts else ()
        )

    return await stack.enter_async_context(
        open_membership(
            shared.settings,
            shared.platform,
            shared.peers,
            shared.configuration,
            collect_loads,
        ),
    )


async def _open_scheduler_host(
    stack: contextlib.AsyncExitStack,
    shared: _SharedComponents,
    membership: Membership,
    engines: Engines,
) -> SchedulerHost:
    context = SchedulerContext(
        peers=shared.peers,
        decisions=shared.decisions,
        metrics=shared.metrics,
        node=shared.settings.name,
        data_centre=shared.settings.data_centre,
    )
    timing = Timing(
        permit_lease=shared.settings.permit_lease_ms / MS_PER_S,
        member_timeout=shared.settings.member_timeout_ms / MS_PER_S,
    )
    scheduler_host = SchedulerHost(
        context, membership, shared.configuration, timing
    )
    read_endpoint = await stack.enter_async_context(
        open_endpoint_reader(engines, shared.configuration),
    )
    await stack.enter_async_context(
        open_scheduling(
            scheduler_host,
            shared.peers,
            membership,
            shared.configuration,
            read_endpoint,
        ),
    )
    return scheduler_host


async def _open_calls(
    stack: contextlib.AsyncExitStack,
    shared: _SharedComponents,
    membership: Membership,
    permits: Permits,
) -> Calls:
    return await stack.enter_async_context(
        open_calls(
            shared.settings,
            shared.platform,
            shared.peers,
            membership,
            shared.configuration,
            permits,
            shared.decisions,
            shared.metrics,
        ),
    )


async def _open_components(
    stack: contextlib.AsyncExitStack,
    settings: Settings,
    active: ActiveRequests,
) -> tuple[ServerComponents, Membership, SchedulerHost]:
    """Open all components that the HTTP interface depends on."""
    shared = await _open_shared_components(stack, settings)
    opened_scheduler_hosts: list[SchedulerHost] = []
    membership = await _open_membership(stack, shared, opened_scheduler_hosts)
    engines = await stack.enter_async_context(
        open_engines(settings.connect_timeout_ms),
    )
    permits = await stack.enter_async_context(
        open_permits(shared.peers, membership),
    )
    scheduler_host = await _open_scheduler_host(
        stack, shared, membership, engines
    )
    opened_scheduler_hosts.append(scheduler_host)
    await stack.enter_async_context(
        open_placement(
            settings,
            shared.platform,
            membership,
            shared.configuration,
            shared.decisions,
        ),
    )
    permits.set_observation_source(scheduler_host.observations)
    permits.add_listener(scheduler_host.record_announcement)
    components = ServerComponents(
        settings=settings,
        configuration=shared.configuration,
        chat=Chat(
            shared.configuration,
            Generations(engines, permits, shared.decisions, shared.metrics),
            DataCentreRouter(
                permits, membership, shared.configuration, shared.decisions
            ),
            settings.name,
            settings.ticket_secret.encode(),
        ),
        calls=await _open_calls(stack, shared, membership, permits),
        admin=Admin(
            shared.peers,
            membership,
            shared.configuration,
            scheduler_host,
            shared.decisions,
            active,
        ),
        active=active,
    )
    return components, membership, scheduler_host


async def _wait_until_drained(
    settings: Settings,
    components: ServerComponents,
    scheduler_host: SchedulerHost,
) -> None:
    """Wait until no request is in progress, or until the drain timeout.

    Requests that still arrive are served, because the load balancer notices
    the drain late and a planned stop refuses no request. Requests waiting at
    a local scheduler count too: when all nodes of a data centre stop, requests
    of other data centres may wait at a scheduler that has no successor host.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + settings.drain_timeout_ms / MS_PER_S
    idle_since = loop.time()
    while loop.time() < deadline:
        waiting = sum(
            hosted.scheduler.waiting_count for hosted in scheduler_host.hosted
        )
        if components.active.count or components.calls.pending or waiting:
            idle_since = loop.time()
        elif loop.time() - idle_since >= DRAIN_IDLE_TIME_S:
            return
        await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
    logging.warning(
        'drain timed out with requests in progress',
        extra={'requests': components.active.count},
    )


async def _run_until_signalled(settings: Settings) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    await run_node(settings, stop)


def main() -> int:
    """Run the program and return its exit code."""
    try:
        settings = read_settings(sys.argv[1:], os.environ)
    except SettingsError as error:
        sys.stderr.write(f'{error}\n')
        return EXIT_WRONG_SETTINGS
    set_up_logging(settings.name, settings.log_level)
    if settings.ticket_secret == DEVELOPMENT_SECRET:
        logging.warning('the ticket secret is the development default')
    try:
        asyncio.run(_run_until_signalled(settings))
    except (OSError, pynng.NNGException) as error:
        logging.error('the node could not start: %s', error)
        return EXIT_FAILED
    return EXIT_OK


if __name__ == '__main__':
    sys.exit(main())
