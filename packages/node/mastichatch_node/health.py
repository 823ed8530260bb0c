"""Reads endpoint states for the schedulers that this node hosts."""

import contextlib
from collections.abc import AsyncIterator

import msgspec

from mastichatch_core.generated.manifest import Endpoint, ServiceKind
from mastichatch_core.generated.messages import EndpointObservation
from mastichatch_node.configuration import Configuration
from mastichatch_node.engines import Engines
from mastichatch_node.reports import (
    ReadReport,
    open_report_reader,
    unreachable,
)
from mastichatch_node.scheduler_hosting import Report


class _HealthReport(msgspec.Struct, frozen=True):
    """The health report of an endpoint of a plain service."""

    boot_id: str


@contextlib.asynccontextmanager
async def open_endpoint_reader(
    engines: Engines,
    configuration: Configuration,
) -> AsyncIterator[Report]:
    """Open an HTTP client and yield a function that reads endpoint states.

    :param engines: adapter for model engines
    :param configuration: configuration that holds the kind of each service
    """
    async with open_report_reader() as read:

        async def read_endpoint(endpoint: Endpoint) -> EndpointObservation:
            catalogue = configuration.current
            services = {} if catalogue is None else catalogue.services
            service = services.get(endpoint.service)
            if service is not None and service.kind is ServiceKind.plain:
                return await _read_plain_service(read, endpoint)
            return await engines.load(endpoint.name, endpoint.address)

        yield read_endpoint


async def _read_plain_service(
    read: ReadReport,
    endpoint: Endpoint,
) -> EndpointObservation:
    body = await read(f'http://{endpoint.address}/v1/health')
    try:
        health = msgspec.json.decode(body, type=_HealthReport)
    except msgspec.MsgspecError:
        return unreachable(endpoint.name)
    return EndpointObservation(endpoint=endpoint.name, boot_id=health.boot_id)
