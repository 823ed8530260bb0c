"""The endpoints of one service in one data centre, and their permits."""

from collections.abc import Mapping

from mastichatch_core.admission import (
    EndpointState,
    create_endpoint_state,
    current_limit,
    record_permit_return,
    set_in_service,
)
from mastichatch_core.catalogue import Catalogue
from mastichatch_core.generated.manifest import Service, Workspace
from mastichatch_core.ledger import Permit, PermitKey, PermitLedger
from mastichatch_core.memory import add_demands
from mastichatch_core.service_times import ServiceTimes, takes_work
from mastichatch_core.throughput import Throughput


class EndpointPool:
    """State of the configured endpoints, and the permits that count there."""

    def __init__(
        self, catalogue: Catalogue, service: str, data_centre: str, now: float
    ) -> None:
        """Start with cold endpoints.

        :param catalogue: configuration in force
        :param service: name of the service
        :param data_centre: name of the data centre
        :param now: time in seconds
        """
        self._names_in_service: tuple[str, ...] = ()
        self._service = service
        self._data_centre = data_centre
        self._states: dict[str, EndpointState] = {}
        self._leaving: frozenset[str] = frozenset()
        self._ledger = PermitLedger()
        self._throughput = Throughput()
        self.apply_catalogue(catalogue, now)

    @property
    def catalogue(self) -> Catalogue:
        """Configuration in force."""
        return self._catalogue

    @property
    def service(self) -> Service | None:
        """Manifest entry of the service; ``None`` once it is removed."""
        return self._catalogue.services.get(self._service)

    @property
    def states(self) -> Mapping[str, EndpointState]:
        """State of each endpoint in the manifest, by name."""
        return self._states

    @property
    def ledger(self) -> PermitLedger:
        """Permits that count against the endpoints."""
        return self._ledger

    @property
    def throughput(self) -> Throughput:
        """Cost of the requests that the endpoints completed recently."""
        return self._throughput

    def workspace(self, name: str) -> Workspace | None:
        """Return the manifest entry of a workspace.

        :param name: name of the workspace
        """
        return self._catalogue.workspaces.get(name)

    def load(self, name: str) -> int:
        """Return the number of requests at an endpoint, unattributed included.

        :param name: name of the endpoint
        """
        return (
            self._ledger.count_at_endpoint(name)
            + self._states[name].unattributed
        )

    def limit(self, name: str, now: float) -> float:
        """Return the limit on requests at an endpoint.

        :param name: name of the endpoint
        :param now: time in seconds
        """
        data_centre = self._catalogue.data_centres[self._data_centre]
        return current_limit(
            self._states[name], data_centre.return_ramp_ms / 1000, now
        )

    @property
    def names_in_service(self) -> tuple[str, ...]:
        """Names of the endpoints that accept new requests."""
        return self._names_in_service

    def is_in_service(self, name: str) -> bool:
        """Return whether an endpoint accepts new requests.

        :param name: name of an endpoint, known or not
        """
        state = self._states.get(name)
        return state is not None and state.in_service_since is not None

    def apply_catalogue(self, catalogue: Catalogue, now: float) -> None:
        """Apply a new configuration.

        :param catalogue: configuration in force
        :param now: time in seconds
        """
        self._catalogue = catalogue
        states: dict[str, EndpointState] = {}
        for endpoint in catalogue.endpoints_of(
            self._service, self._data_centre
        ):
            state = self._states.get(endpoint.name)
            if state is None:
                state = create_endpoint_state(endpoint, now)
            state.manifest_entry = endpoint
            states[endpoint.name] = state
        self._states = states
        self._update_service_states(now)

    def set_service_times(self, service_times: ServiceTimes) -> None:
        """Set the time since which each endpoint has been in service.

        :param service_times: times recorded by the node before the scheduler
            opened
        """
        for name, state in self._states.items():
            since = service_times.since(name)
            if since is not None:
                state.in_service_since = since

    def set_leaving_hosts(self, hosts: frozenset[str], now: float) -> None:
        """Set the hosts that the host list marks as leaving.

        :param hosts: names of the hosts
        :param now: time in seconds
        """
        self._leaving = hosts
        self._update_service_states(now)

    def add_permit(self, permit: Permit, now: float) -> None:
        """Count a permit against its endpoint.

        :param permit: the permit
        :param now: time in seconds
        """
        self.return_permit(permit.key, now)
        self._ledger.add(permit)
        state = self._states.get(permit.endpoint)
        if state is None:
            return
        if state.memory_demand is not None and permit.memory_demand is not None:
            state.memory_demand = add_demands(
                state.memory_demand, permit.memory_demand
            )
        else:
            state.memory_demand = None

    def return_permit(self, key: PermitKey, now: float) -> Permit | None:
        """Stop counting a permit that its node returned.

        :param key: request id and attempt
        :param now: time in seconds
        :returns: the permit, or ``None`` if there was none
        """
        permit = self._ledger.pop(key)
        state = self._states.get(permit.endpoint) if permit else None
        if permit is not None and state is not None:
            state.memory_demand = None
            record_permit_return(state, permit.granted_at, now)
        return permit

    def expire_permit(self, permit: Permit) -> None:
        """Stop counting a permit whose lease has expired.

        If it was used, its request may still be running and counts as
        unattributed until a report shows otherwise.

        :param permit: the permit
        """
        self._ledger.pop(permit.key)
        state = self._states.get(permit.endpoint)
        if state is not None:
            state.memory_demand = None
            state.unattributed += permit.used

    def _update_service_states(self, now: float) -> None:
        for state in self._states.values():
            in_service = takes_work(
                state.manifest_entry, self._catalogue, self._leaving
            )
            set_in_service(state, now, in_service=in_service)
        self._names_in_service = tuple(filter(self.is_in_service, self._states))
