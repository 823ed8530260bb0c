"""Reviews twice a second which requests may leave this host's data centre."""

import asyncio
from collections.abc import Iterator
from typing import Final

from mastichatch_core import rendezvous
from mastichatch_core.generated.messages import Run
from mastichatch_core.relay.load_control import is_controlled
from mastichatch_core.relay.model import (
    Configuration,
    Endpoint,
    Engine,
    Service,
)
from mastichatch_core.relay.placement.costs import PlacementCosts
from mastichatch_core.relay.placement.leaving import (
    DataCentreLoad,
    LeavingOptions,
    RemoteShares,
    ShareChange,
    is_link_full,
    leaving_costs,
    measure_data_centres,
    remote_call_ms,
)
from mastichatch_core.relay.placement.ways import Peering, Ways
from mastichatch_core.relay.store_cache import endpoint_at, usable_endpoints
from mastichatch_node.clock import loop_time
from mastichatch_node.relay.context import RelayContext
from mastichatch_node.relay.settings import RelaySettings
from mastichatch_node.relay.store_following import NodeRegistry, boottime_clock

REVIEW_INTERVAL_S: Final = 0.5
# After a longer time between two reviews this host was held up itself, and
# messages of other nodes may still be unread.
HELD_UP_S: Final = 1.0


class RemoteReviewer:
    """Decides for each controlled service what may leave the data centre."""

    def __init__(
        self,
        context: RelayContext,
        registry: NodeRegistry,
        settings: RelaySettings,
    ) -> None:
        """Start with all requests at home.

        :param context: shared components of the relay
        :param registry: registrations of the other nodes
        :param settings: settings of the node
        """
        self._context = context
        self._registry = registry
        self._settings = settings
        self._ways = Ways(settings.data_centre)
        self._shares: dict[str, RemoteShares] = {}
        self._reviewed_at = loop_time()
        self._configuration: Configuration | None = None
        self._services: tuple[Service, ...] = ()
        context.pool.observe_connects(self.record_connect)

    async def review_periodically(self) -> None:
        """Review the shares until cancelled.

        Nodes do so at different times, so that they don't all react at once.
        """
        name = self._settings.name
        await asyncio.sleep(
            REVIEW_INTERVAL_S * rendezvous.unit_weight(name, 'review')
        )
        while True:
            self.review()
            await asyncio.sleep(REVIEW_INTERVAL_S)

    def record_connect(self, address: str, round_trip_s: float) -> None:
        """Record the round trip of a new connection to an endpoint.

        :param address: IP address and port
        :param round_trip_s: time in seconds
        """
        if not self._services:
            # Nobody asks for the ways, and finding the endpoint takes a search.
            return
        endpoint = endpoint_at(self._context.belief, address, loop_time())
        if endpoint is not None:
            self._ways.record_connect(endpoint.data_centre, round_trip_s)

    def review(self) -> None:
        """Update the ways, and the shares and costs of each service."""
        remotes = self._context.remotes
        services = self._controlled_services()
        if not services:
            remotes.clear()
            return
        now = loop_time()
        self._review_ways(now)
        data_centres = self._registry.data_centres
        remotes.silent = self._ways.silent
        remotes.data_centres = data_centres
        known = self._context.belief.endpoints(now).values()
        remotes.call_ms = remote_call_ms(
            self._ways,
            {endpoint.data_centre for endpoint in known},
            self._settings.remote_mb_ms,
        )
        remotes.costs = {
            service.name: self._review_service(service, service.engine, now)
            for service in services
            if service.engine is not None
        }

    def _controlled_services(self) -> tuple[Service, ...]:
        configuration = self._context.belief.configuration
        if (
            configuration is not None
            and configuration is not self._configuration
        ):
            setting = self._context.controls.remote_share
            self._configuration = configuration
            self._services = tuple(
                service
                for service in configuration.services.values()
                if is_controlled(setting, configuration, service.name)
            )
        return self._services

    def _review_ways(self, now: float) -> None:
        was_held_up = now - self._reviewed_at > HELD_UP_S
        self._reviewed_at = now
        if was_held_up:
            return
        nodes: dict[str, list[str]] = {}
        for name, data_centre in self._registry.data_centres.items():
            if data_centre != self._settings.data_centre:
                nodes.setdefault(data_centre, []).append(name)
        sharing = self._context.sharing
        peerings = {
            other: Peering(
                nodes=len(names),
                heard_at=sharing.table.heard_at(names),
                interval_s=sharing.interval_s,
            )
            for other, names in nodes.items()
        }
        for changed in self._ways.review(peerings, now):
            is_silent = changed in self._ways.silent
            self._context.telemetry.log_state_change(
                'data_centre_silent' if is_silent else 'data_centre_heard',
                data_centre=changed,
                silence_s=round(self._ways.silence_s(changed, now), 3),
                nodes=peerings[changed].nodes,
            )

    def _review_service(
        self, service: Service, engine: Engine, now: float
    ) -> PlacementCosts:
        own = self._settings.data_centre
        usable = usable_endpoints(self._context.belief, service.name, now)
        loads = measure_data_centres(
            usable, engine, self._runs(service.name, now)
        )
        shares = self._shares.setdefault(service.name, RemoteShares(own))
        for change in shares.update(loads, self._ways.silent):
            self._report(service.name, change, now)
        options = LeavingOptions(
            mb_ms=self._settings.remote_mb_ms,
            is_link_full=is_link_full(
                self._context.sharing.table.own,
                _instances_elsewhere(usable, own),
                engine,
                self._settings.link_mbps,
            ),
        )
        return leaving_costs(
            shares, loads, self._ways, engine, own, options, now
        )

    def _runs(self, service: str, now: float) -> Iterator[tuple[str, Run]]:
        """Yield the runs of a service with the data centres of their nodes."""
        own = self._settings.data_centre
        table = self._context.sharing.table
        for run in table.own:
            if run.service == service:
                yield own, run
        data_centres = self._registry.data_centres
        for name, other_run in table.iter_node_runs(now):
            if other_run.service == service:
                yield data_centres.get(name, own), other_run

    def _report(self, service: str, change: ShareChange, now: float) -> None:
        other = change.data_centre
        telemetry = self._context.telemetry
        telemetry.placement.update_remote_share(service, other, change.after)
        telemetry.log_state_change(
            'remote_share_changed',
            service=service,
            data_centre=other,
            share_before=round(change.before, 3),
            share=round(change.after, 3),
            home=_described(change.home),
            other=_described(change.other),
            silent=sorted(self._ways.silent),
            silence_s=round(self._ways.silence_s(other, now), 3),
            view_age_s=round(self._context.belief.age(boottime_clock()), 3),
            revision=self._context.belief.revision,
        )


def _described(load: DataCentreLoad | None) -> dict[str, float]:
    """Return a load for the log; empty if there is none."""
    if load is None:
        return {}
    return {'engines': load.engines, 'demand': round(load.demand, 2)}


def _instances_elsewhere(
    endpoints: tuple[Endpoint, ...], data_centre: str
) -> frozenset[str]:
    return frozenset(
        one.instance for one in endpoints if one.data_centre != data_centre
    )
