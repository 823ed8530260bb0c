"""Reads the state of endpoints for the schedulers that this node runs."""

import contextlib
from collections.abc import AsyncIterator
from typing import Final

import aiohttp
import msgspec

from mastichatch_core.generated.manifest import Endpoint, ServiceKind
from mastichatch_core.generated.messages import EndpointObservation
from mastichatch_node.configuration import Configuration
from mastichatch_node.engines import Engines
from mastichatch_node.scheduling import Report

_TIMEOUT: Final = aiohttp.ClientTimeout(total=1)


class _Health(msgspec.Struct, frozen=True):
    """What a plain service says of itself."""

    boot_id: str


@contextlib.asynccontextmanager
async def open_reports(
    engines: Engines,
    configuration: Configuration,
) -> AsyncIterator[Report]:
    """Give the function that reads one endpoint's state.

    :param engines: adapter for model engines
    :param configuration: tells a service's kind
    """
    connector = aiohttp.TCPConnector(force_close=True, limit=0)
    async with aiohttp.ClientSession(
        connector=connector,
        timeout=_TIMEOUT,
    ) as session:

        async def report(endpoint: Endpoint) -> EndpointObservation:
            catalogue = configuration.current
            services = {} if catalogue is None else catalogue.services
            service = services.get(endpoint.service)
            if service is not None and service.kind is ServiceKind.plain:
                return await _plain_report(session, endpoint)
            return await engines.load(endpoint.name, endpoint.address)

        yield report


async def _plain_report(
    session: aiohttp.ClientSession,
    endpoint: Endpoint,
) -> EndpointObservation:
    try:
        async with session.get(
            f'http://{endpoint.address}/v1/health',
        ) as response:
            response.raise_for_status()
            health = msgspec.json.decode(await response.read(), type=_Health)
    except (aiohttp.ClientError, TimeoutError, msgspec.MsgspecError):
        return EndpointObservation(
            endpoint=endpoint.name,
            boot_id='',
            reachable=False,
        )
    return EndpointObservation(endpoint=endpoint.name, boot_id=health.boot_id)
