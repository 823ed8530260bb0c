"""Keeps standby copies of this node's generations on other engines."""

import asyncio
import dataclasses
import random
from typing import Final

from mastichatch_core.relay.model import Endpoint, Engine
from mastichatch_core.relay.standby_copies import choose_standby, is_crowded
from mastichatch_core.units import MS_PER_S
from mastichatch_node.clock import loop_time
from mastichatch_node.relay.context import RelayContext
from mastichatch_node.relay.dialect import MoveOrder
from mastichatch_node.relay.engine_placement import EnginePlacer, require_engine
from mastichatch_node.relay.relay import Relay
from mastichatch_node.relay.run_transfer import RunLocation
from mastichatch_node.relay.streaming import Generation

REVIEW_INTERVAL_S: Final = 0.25
# Share of the time until an engine frees an unused copy, after which the copy
# is transferred again. That transfers only new output.
REFRESH_SHARE: Final = 0.5

_OK: Final = 200


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Standby:
    """A standby copy and the generation that it belongs to.

    :param generation: the generation
    :param source: engine that ran it when the copy was made
    :param location: location of the copy
    :param copied_at: loop time of the last transfer, in seconds
    """

    generation: Generation
    source: Endpoint
    location: RunLocation
    copied_at: float


class StandbyCopier:
    """Makes, refreshes and drops standby copies, one transfer at a time."""

    def __init__(
        self, context: RelayContext, placer: EnginePlacer, relay: Relay
    ) -> None:
        """Start without copies.

        :param context: shared components of the relay
        :param placer: tells which engines accept runs
        :param relay: generations in progress
        """
        self._context = context
        self._placer = placer
        self._relay = relay
        self._copies: dict[str, _Standby] = {}

    async def review_periodically(self) -> None:
        """Review the copies until cancelled."""
        while True:
            await asyncio.sleep(REVIEW_INTERVAL_S * random.uniform(0.5, 1.5))
            await self._drop_unusable()
            await self._refresh_oldest()
            await self._add_one()

    async def _drop_unusable(self) -> None:
        for request_id, standby in tuple(self._copies.items()):
            transfer = standby.generation.transfer
            if self._is_outdated(standby):
                self._copies.pop(request_id)
                await self._free(standby)
            elif not transfer.is_departing and self._must_drop(standby):
                self._copies.pop(request_id)
                standby.generation.record_standby(None)
                await self._free(standby)

    def _is_outdated(self, standby: _Standby) -> bool:
        """Return whether the run ended or continues on another engine."""
        generation = standby.generation
        is_running = generation in self._relay.generations
        is_current = generation.transfer.standby is standby.location
        return not is_running or not is_current

    def _must_drop(self, standby: _Standby) -> bool:
        destination = standby.location.endpoint
        job = standby.generation.job
        accepts = self._placer.accepts_runs(destination, standby.source)
        return not accepts or is_crowded(
            destination.instance,
            self._placer.runs_of_service(job.service.name),
            require_engine(job),
        )

    async def _refresh_oldest(self) -> None:
        """Transfer the new output of the copy that would expire first."""
        if not self._copies:
            return
        standby = min(self._copies.values(), key=lambda one: one.copied_at)
        engine = require_engine(standby.generation.job)
        refresh_at = standby.copied_at + engine.copy_lifetime_s * REFRESH_SHARE
        if (
            loop_time() >= refresh_at
            and not standby.generation.transfer.is_departing
        ):
            await self._transfer(
                standby.generation, standby.source, standby.location.endpoint
            )

    async def _add_one(self) -> None:
        generations = {
            one.job.request_id: one
            for one in self._relay.generations
            if one.endpoint is not None and not one.transfer.is_departing
        }
        services = {
            one.job.service.name: require_engine(one.job)
            for one in generations.values()
        }
        for service, engine in services.items():
            if not engine.can_move or not engine.copy_lifetime_s:
                continue
            await self._add_to(service, engine, generations)

    async def _add_to(
        self, service: str, engine: Engine, generations: dict[str, Generation]
    ) -> None:
        """Add a copy of a run of a service, on an engine where it may go on."""
        rollouts = self._context.rollouts
        usable = self._placer.usable_engines(service)
        for endpoints in rollouts.group_by_version(service, usable):
            own_ids = {
                request_id
                for request_id, one in generations.items()
                if endpoints
                and one.endpoint is not None
                and rollouts.may_continue(one.endpoint, endpoints[0])
            }
            others = {one.instance for one in usable} - {
                one.instance for one in endpoints
            }
            choice = choose_standby(
                own_ids,
                [
                    run
                    for run in self._placer.runs_of_service(service)
                    if run.endpoint not in others
                ],
                endpoints,
                engine,
            )
            if choice is None:
                continue
            generation = generations[choice.request_id]
            by_instance = {one.instance: one for one in endpoints}
            if generation.endpoint is not None:
                await self._transfer(
                    generation,
                    generation.endpoint,
                    by_instance[choice.instance],
                )

    async def _transfer(
        self, generation: Generation, source: Endpoint, destination: Endpoint
    ) -> None:
        """Copy what the destination lacks, while the run continues."""
        request_id = generation.job.request_id
        started_at = loop_time()
        if generation.transfer.standby is None:
            generation.announce_destination(destination)
        answer = await self._context.dialect.move_run(
            MoveOrder(
                address=source.address,
                request_id=request_id,
                target=destination.address,
            )
        )
        self._context.telemetry.log_decision(
            'standby_copied',
            request_id,
            source=source.instance,
            destination=destination.instance,
            status=answer.status,
            last_event=generation.order.last,
            took_ms=round((loop_time() - started_at) * MS_PER_S),
        )
        location = RunLocation(
            endpoint=destination, address=source.address, handle=answer.handle
        )
        standby = _Standby(
            generation=generation,
            source=source,
            location=location,
            copied_at=loop_time(),
        )
        if answer.status != _OK:
            self._copies.pop(request_id, None)
            if self._runs_on(generation, source):
                generation.record_standby(None)
            return
        if not self._runs_on(generation, source):
            await self._free(standby)
            return
        self._copies[request_id] = standby
        generation.record_standby(location)

    def _runs_on(self, generation: Generation, source: Endpoint) -> bool:
        """Return whether a generation still runs and is not being moved."""
        endpoint = generation.endpoint
        return (
            generation in self._relay.generations
            and not generation.transfer.is_departing
            and endpoint is not None
            and endpoint.instance == source.instance
        )

    async def _free(self, standby: _Standby) -> None:
        """Free a copy, unless the run continued from it."""
        location = standby.location
        endpoint = standby.generation.endpoint
        is_used = (
            endpoint is not None
            and endpoint.instance == location.endpoint.instance
        )
        transfer = standby.generation.transfer
        if not is_used and transfer.may_free(location.address, location.handle):
            await self._context.dialect.drop_copy(
                location.address, location.handle
            )
