"""The configuration in force, indexed for request handling."""

import dataclasses
import functools
from collections.abc import Mapping
from types import MappingProxyType
from typing import TypeVar

from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.manifest import (
    DataCentre,
    Endpoint,
    Manifest,
    Operation,
    Service,
    Workspace,
)
from mastichatch_core.generated.messages import ErrorKind
from mastichatch_core.generated.records import Drain, DrainKind

_Named = TypeVar('_Named', DataCentre, Endpoint, Service, Workspace)


@dataclasses.dataclass(frozen=True)
class Catalogue:
    """One revision of the configuration, with lookups by name.

    :param revision: number of the revision
    :param manifest: manifest that the operators applied
    :param drains: data centres and endpoints that operators drained
    """

    revision: int
    manifest: Manifest
    drains: tuple[Drain, ...] = ()

    @functools.cached_property
    def services(self) -> Mapping[str, Service]:
        """Services by name."""
        return _by_name(self.manifest.services)

    @functools.cached_property
    def workspaces(self) -> Mapping[str, Workspace]:
        """Workspaces by name."""
        return _by_name(self.manifest.workspaces)

    @functools.cached_property
    def endpoints(self) -> Mapping[str, Endpoint]:
        """Endpoints by name."""
        return _by_name(self.manifest.endpoints)

    @functools.cached_property
    def data_centres(self) -> Mapping[str, DataCentre]:
        """Data centres by name."""
        return _by_name(self.manifest.data_centres)

    @functools.cached_property
    def _drained(self) -> frozenset[Drain]:
        return frozenset(self.drains)

    def service(self, name: str) -> Service:
        """Return the service with the given name.

        :param name: name of the service
        :raises MastichatchError: with ``unknown_service`` if it does not exist
        """
        try:
            return self.services[name]
        except KeyError:
            raise MastichatchError(
                ErrorKind.unknown_service,
                f'there is no service {name!r}',
            ) from None

    def operation(self, service: str, name: str) -> Operation:
        """Return an operation of a plain service.

        :param service: name of the service
        :param name: name of the operation
        :raises MastichatchError: with ``unknown_service`` or
            ``unknown_operation`` if one of them does not exist
        """
        for operation in self.service(service).operations:
            if operation.name == name:
                return operation
        raise MastichatchError(
            ErrorKind.unknown_operation,
            f'service {service!r} has no operation {name!r}',
        )

    def workspace(self, name: str, service: str) -> Workspace:
        """Return a workspace after checking that it may call a service.

        :param name: name of the workspace
        :param service: name of the service to call
        :raises MastichatchError: with ``unknown_workspace`` if it does
            not exist, or ``workspace_not_allowed``
        """
        workspace = self.workspaces.get(name)
        if workspace is None:
            raise MastichatchError(
                ErrorKind.unknown_workspace,
                f'there is no workspace {name!r}',
            )
        if workspace.services and service not in workspace.services:
            raise MastichatchError(
                ErrorKind.workspace_not_allowed,
                f'workspace {name!r} may not call {service!r}',
            )
        return workspace

    def endpoints_of(
        self,
        service: str,
        data_centre: str,
    ) -> tuple[Endpoint, ...]:
        """Return a service's endpoints in a data centre, drained or not.

        :param service: name of the service
        :param data_centre: name of the data centre
        """
        return self._endpoints_by_location.get((service, data_centre), ())

    @functools.cached_property
    def _endpoints_by_location(
        self,
    ) -> Mapping[tuple[str, str], tuple[Endpoint, ...]]:
        endpoints_by_location: dict[tuple[str, str], tuple[Endpoint, ...]] = {}
        for endpoint in self.manifest.endpoints:
            location = (endpoint.service, endpoint.data_centre)
            endpoints_by_location[location] = (
                *endpoints_by_location.get(location, ()),
                endpoint,
            )
        return MappingProxyType(endpoints_by_location)

    def in_service(self, data_centre: str) -> bool:
        """Return whether a data centre is not drained.

        :param data_centre: name of the data centre
        """
        drain = Drain(kind=DrainKind.data_centre, name=data_centre)
        return drain not in self._drained

    def is_drained(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint or its data centre is drained.

        :param endpoint: the endpoint
        """
        drain = Drain(kind=DrainKind.endpoint, name=endpoint.name)
        return drain in self._drained or not self.in_service(
            endpoint.data_centre,
        )


def _by_name(items: tuple[_Named, ...]) -> Mapping[str, _Named]:
    return MappingProxyType({item.name: item for item in items})
