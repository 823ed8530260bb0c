"""The ``mastichatch`` program: one node of the system."""

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
from mastichatch_node.health import open_reports
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
from mastichatch_node.server import Parts, open_server
from mastichatch_node.settings import SettingsError, read_settings

DEVELOPMENT_SECRET: Final = 'development-only-secret'
EXIT_OK: Final = 0
EXIT_FAILED: Final = 1
EXIT_WRONG_SETTINGS: Final = 2
# The balancer needs this long to see that a node is no longer ready.
DRAIN_GRACE_S: Final = 2.0
DRAIN_POLL_S: Final = 0.1


async def run_node(settings: Settings, stop: asyncio.Event) -> None:
    """Run a node until it is told to stop, and then until it is drained.

    :param settings: settings of the node
    :param stop: set when a planned stop begins
    """
    active = ActiveRequests()
    async with contextlib.AsyncExitStack() as stack:
        parts, membership, scheduling = await _open_parts(
            stack,
            settings,
            active,
        )
        await stack.enter_async_context(open_server(parts))
        logging.info('node started', extra={'address': settings.http_address})
        await stop.wait()
        membership.set_draining()
        logging.info('draining', extra={'requests': active.count})
        await _drain(settings, parts, scheduling)
    logging.info('node stopped')


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Base:
    """What the other parts stand on."""

    settings: Settings
    metrics: Metrics
    decisions: DecisionLog
    platform: Platform
    peers: Peers
    configuration: Configuration


async def _open_base(
    stack: contextlib.AsyncExitStack,
    settings: Settings,
) -> _Base:
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
    return _Base(
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
    base: _Base,
    schedulings: list[SchedulerHost],
) -> Membership:
    """Open the membership, whose digests tell of schedulers opened later."""

    def loads() -> tuple[ServiceLoad, ...]:
        return schedulings[0].loads() if schedulings else ()

    return await stack.enter_async_context(
        open_membership(
            base.settings,
            base.platform,
            base.peers,
            base.configuration,
            loads,
        ),
    )


async def _open_scheduling(
    stack: contextlib.AsyncExitStack,
    base: _Base,
    membership: Membership,
    engines: Engines,
) -> SchedulerHost:
    tools = SchedulerContext(
        peers=base.peers,
        decisions=base.decisions,
        metrics=base.metrics,
        node=base.settings.name,
        data_centre=base.settings.data_centre,
    )
    timing = Timing(
        permit_lease=base.settings.permit_lease_ms / MS_PER_S,
        member_timeout=base.settings.member_timeout_ms / MS_PER_S,
    )
    scheduling = SchedulerHost(tools, membership, base.configuration, timing)
    report = await stack.enter_async_context(
        open_reports(engines, base.configuration),
    )
    await stack.enter_async_context(
        open_scheduling(
            scheduling,
            base.peers,
            membership,
            base.configuration,
            report,
        ),
    )
    return scheduling


async def _open_calls(
    stack: contextlib.AsyncExitStack,
    base: _Base,
    membership: Membership,
    permits: Permits,
) -> Calls:
    return await stack.enter_async_context(
        open_calls(
            base.settings,
            base.platform,
            base.peers,
            membership,
            base.configuration,
            permits,
            base.decisions,
            base.metrics,
        ),
    )


async def _open_parts(
    stack: contextlib.AsyncExitStack,
    settings: Settings,
    active: ActiveRequests,
) -> tuple[Parts, Membership, SchedulerHost]:
    """Open everything that the HTTP interface needs."""
    base = await _open_base(stack, settings)
    schedulings: list[SchedulerHost] = []
    membership = await _open_membership(stack, base, schedulings)
    engines = await stack.enter_async_context(
        open_engines(settings.connect_timeout_ms),
    )
    permits = await stack.enter_async_context(
        open_permits(base.peers, membership),
    )
    scheduling = await _open_scheduling(stack, base, membership, engines)
    schedulings.append(scheduling)
    await stack.enter_async_context(
        open_placement(
            settings,
            base.platform,
            membership,
            base.configuration,
            base.decisions,
        ),
    )
    permits.set_observation_source(scheduling.observations)
    permits.add_listener(scheduling.record_announcement)
    parts = Parts(
        settings=settings,
        configuration=base.configuration,
        chat=Chat(
            base.configuration,
            Generations(engines, permits, base.decisions, base.metrics),
            DataCentreRouter(
                permits, membership, base.configuration, base.decisions
            ),
            settings.name,
            settings.ticket_secret.encode(),
        ),
        calls=await _open_calls(stack, base, membership, permits),
        admin=Admin(
            base.peers,
            membership,
            base.configuration,
            scheduling,
            base.decisions,
            active,
        ),
        active=active,
    )
    return parts, membership, scheduling


async def _drain(
    settings: Settings,
    parts: Parts,
    scheduling: SchedulerHost,
) -> None:
    """Wait until no request is in progress, or the drain timeout is over.

    Requests that still arrive are served: the balancer learns of the drain
    late, and a planned stop refuses nothing. Where all nodes of a data centre
    stop, requests of other data centres may wait at a scheduler that has no
    next host.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + settings.drain_timeout_ms / MS_PER_S
    quiet_since = loop.time()
    while loop.time() < deadline:
        waiting = sum(
            hosted.scheduler.waiting_count for hosted in scheduling.hosted
        )
        if parts.active.count or parts.calls.pending or waiting:
            quiet_since = loop.time()
        elif loop.time() - quiet_since >= DRAIN_GRACE_S:
            return
        await asyncio.sleep(DRAIN_POLL_S)
    logging.warning(
        'the drain timeout ended with requests in progress',
        extra={'requests': parts.active.count},
    )


async def _run_until_signalled(settings: Settings) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
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
        logging.warning('the ticket secret is the one for development')
    try:
        asyncio.run(_run_until_signalled(settings))
    except (OSError, pynng.NNGException) as error:
        logging.error('the node could not start: %s', error)
        return EXIT_FAILED
    return EXIT_OK


if __name__ == '__main__':
    sys.exit(main())
