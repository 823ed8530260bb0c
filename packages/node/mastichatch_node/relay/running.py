"""Runs a relay node until it is stopped."""

import asyncio
import signal
from typing import Final

from absl import logging

from mastichatch_core.units import MS_PER_S
from mastichatch_node.clock import loop_time
from mastichatch_node.relay.adapter import Adapter
from mastichatch_node.relay.program import open_node
from mastichatch_node.relay.relay_node import (
    CLOSE_RESERVE_S,
    DRAIN_NOTICE_S,
    RelayNode,
)
from mastichatch_node.relay.settings import RelaySettings
from mastichatch_node.relay.telemetry import Telemetry

DRAIN_POLL_INTERVAL_S: Final = 0.05


async def run_relay(
    settings: RelaySettings, adapter: Adapter, telemetry: Telemetry
) -> None:
    """Run a node until it receives SIGTERM or SIGINT, and then drain it.

    :param settings: settings of the node
    :param adapter: implementation of the platform's protocols
    :param telemetry: log and metrics of the node
    """
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, _log_ignored_reload)
    async with open_node(settings, adapter, telemetry) as node:
        telemetry.log_state_change('started', address=settings.callers_address)
        await stop_requested.wait()
        stopped_at = loop_time()
        node.set_draining()
        telemetry.log_state_change('stopping', requests=node.active_requests)
        await _drain(node, stopped_at, settings.grace_ms / MS_PER_S)
        telemetry.log_state_change('stopped', requests=node.active_requests)


def _log_ignored_reload() -> None:
    logging.info('SIGHUP ignored: settings are read only at startup')


async def _drain(node: RelayNode, stopped_at: float, grace_s: float) -> None:
    """Wait until requests have ended, or until the grace time is almost over.

    New requests are still served, because the load balancer notices the stop
    with a delay.
    """
    while True:
        elapsed = loop_time() - stopped_at
        if elapsed >= grace_s - CLOSE_RESERVE_S:
            return
        if elapsed >= DRAIN_NOTICE_S and not node.active_requests:
            return
        await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
