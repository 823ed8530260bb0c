"""Migrates this node's generations away from departing engines."""

import asyncio
import contextlib
import dataclasses
from collections.abc import Mapping
from typing import Final

from mastichatch_core.relay.departure import (
    DepartureGate,
    is_worth_moving,
    runs_leaving_before,
)
from mastichatch_core.relay.engine_choice import MOVED_MEMORY_SHARE
from mastichatch_core.relay.model import Endpoint, EndpointState
from mastichatch_core.relay.switch_gate import Leaving
from mastichatch_node.clock import loop_time
from mastichatch_node.relay.dialect import MoveOrder, MoveResponse
from mastichatch_node.relay.context import RelayContext
from mastichatch_node.relay.engine_placement import EnginePlacer, require_engine
from mastichatch_node.relay.relay import Relay
from mastichatch_node.relay.run_transfer import RunLocation
from mastichatch_node.relay.streaming import Generation

# Maximum number of destination engines tried for one run.
DESTINATION_LIMIT: Final = 3
# A run cannot be copied before its prompt is processed; the copy is retried
# after this delay.
COPY_RETRY_DELAY_S: Final = 0.1
# The copy of a run's prompt is complete after this many events, or about 1.5 s.
COPY_COMPLETE_EVENTS: Final = 40
# A waiting run checks its turn after each update from other nodes, and at least
# this often.
TURN_POLL_S: Final = 0.05

_OK: Final = 200
_NOT_FOUND: Final = 404


def _is_ready(known: Mapping[str, Endpoint], endpoint: Endpoint) -> bool:
    current = known.get(endpoint.instance)
    return current is not None and current.state is EndpointState.ready


class RunMigrator:
    """Starts and tracks the migrations of this node's generations."""

    def __init__(
        self, context: RelayContext, placing: EnginePlacer, relay: Relay
    ) -> None:
        """Start without migrations.

        :param context: shared components of the relay
        :param placing: chooses destination engines
        :param relay: generations in progress
        """
        self._context = context
        self._placer = placing
        self._relay = relay
        self._moves: dict[str, asyncio.Task[None]] = {}
        self._updated = asyncio.Event()

    def reconcile(self) -> None:
        """Migrate generations off departing engines; drop unusable copies."""
        now = loop_time()
        known = self._context.belief.endpoints(now)
        for generation in self._relay.generations:
            if (
                generation.endpoint is not None
                and generation.transfer.may_leave
            ):
                self._reconcile_generation(
                    generation, generation.endpoint, known
                )

    def _reconcile_generation(
        self,
        generation: Generation,
        endpoint: Endpoint,
        known: Mapping[str, Endpoint],
    ) -> None:
        copy = generation.copy
        if copy is not None and not self._placer.accepts_runs(copy, endpoint):
            generation.drop_copy()
        if _is_ready(known, endpoint):
            if self._context.rollouts.must_leave(endpoint):
                self._leave_version(generation, endpoint)
            return
        gate = self._context.stopper.gate
        now = loop_time()
        leaving = gate.judge(endpoint.instance, now)
        is_complete = generation.order.count >= COPY_COMPLETE_EVENTS
        copy = generation.copy if is_complete else None
        if copy is not None and leaving is Leaving.switch:
            self._switch_to_copy(generation, endpoint, copy)
        elif (copy is None or leaving is Leaving.move) and not gate.is_refusing(
            endpoint.instance, now
        ):
            self._start_move(generation, endpoint)

    def _leave_version(
        self, generation: Generation, endpoint: Endpoint
    ) -> None:
        """Move a run off a version that is replaced, if another may go on."""
        engines = self._placer.usable_engines(endpoint.service)
        rollouts = self._context.rollouts
        if any(rollouts.may_continue(endpoint, one) for one in engines):
            self._start_move(generation, endpoint)

    def notify_waiting(self) -> None:
        """Wake the runs that wait for their turn, so that they check again."""
        self._updated.set()
        self._updated = asyncio.Event()

    def close(self) -> None:
        """Cancel all migrations."""
        for task in self._moves.values():
            task.cancel()

    def _switch_to_copy(
        self, generation: Generation, endpoint: Endpoint, copy: Endpoint
    ) -> None:
        """Continue a run on the engine with its copy, without a transfer."""
        if not is_worth_moving(generation.run):
            return
        self._log_decision(
            generation.job.request_id,
            'run_switched_to_copy',
            source=endpoint.instance,
            destination=copy.instance,
            last_event=generation.order.last,
        )
        generation.switch_to(copy)

    def _start_move(self, generation: Generation, source: Endpoint) -> None:
        """Start a migration, if possible and not already in progress."""
        key = generation.job.request_id
        if key in self._moves or not require_engine(generation.job).can_move:
            return
        if self._context.records.get(source.instance).is_paused(loop_time()):
            return
        task = asyncio.ensure_future(self._move(generation, source))
        self._moves[key] = task
        task.add_done_callback(lambda done: self._finish_move(key, done))

    def _finish_move(self, key: str, task: 'asyncio.Task[None]') -> None:
        self._moves.pop(key, None)
        if not task.cancelled() and task.exception() is not None:
            self._log_decision(
                key, 'move_failed', reason=repr(task.exception())
            )

    async def _move(self, generation: Generation, source: Endpoint) -> None:
        await self._wait_for_turn(generation, source)
        copied = await self._copy_run(generation, source)
        if copied is None:
            return
        if not self._runs_on(generation, source):
            if generation.transfer.may_free(source.address, copied.handle):
                await self._context.dialect.drop_copy(
                    source.address, copied.handle
                )
            return
        await generation.move_to(copied)

    async def _wait_for_turn(
        self, generation: Generation, source: Endpoint
    ) -> None:
        """Wait until a run may leave its engine, or no longer runs on it.

        The runs ahead of it must have left, or have stopped making progress.
        """
        engine = require_engine(generation.job)
        gate = DepartureGate()
        while self._runs_on(generation, source):
            run = generation.run
            now = loop_time()
            preceding = runs_leaving_before(
                run, self._context.sharing.table.iter_runs(now)
            )
            is_open = gate.is_open(preceding, engine, now)
            if is_open and run.output_tokens and is_worth_moving(run):
                return
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(TURN_POLL_S):
                    await self._updated.wait()

    async def _copy_run(
        self, generation: Generation, source: Endpoint
    ) -> RunLocation | None:
        """Copy a run's KV cache while the run continues."""
        excluded = {source.instance}
        standby = generation.transfer.standby
        if standby is not None and self._placer.accepts_runs(
            standby.endpoint, source
        ):
            # Only what was generated since the last transfer is copied.
            generation.announce_destination(standby.endpoint, is_departing=True)
            answer = await self._request_copy(
                generation, source, standby.endpoint
            )
            if answer.status == _OK:
                return dataclasses.replace(standby, handle=answer.handle)
            excluded.add(standby.endpoint.instance)
        tried = 0
        while tried < DESTINATION_LIMIT and self._runs_on(generation, source):
            run = generation.run
            destination = self._placer.choose_destination_engine(
                generation.job,
                run,
                frozenset(excluded),
                source,
                MOVED_MEMORY_SHARE,
            )
            if destination is None:
                self._log_decision(run.request_id, 'copy_without_destination')
                return None
            generation.announce_destination(destination, is_departing=True)
            answer = await self._request_copy(generation, source, destination)
            if answer.status == _OK:
                return RunLocation(
                    endpoint=destination,
                    address=source.address,
                    handle=answer.handle,
                )
            generation.announce_destination(None)
            if answer.status == _NOT_FOUND:
                await asyncio.sleep(COPY_RETRY_DELAY_S)
                continue
            tried += 1
            excluded.add(destination.instance)
        return None

    async def _request_copy(
        self,
        generation: Generation,
        source: Endpoint,
        destination: Endpoint,
    ) -> MoveResponse:
        started_at = loop_time()
        answer = await self._context.dialect.move_run(
            MoveOrder(
                address=source.address,
                request_id=generation.job.request_id,
                target=destination.address,
            )
        )
        if answer.is_connection_refused:
            self._context.stopper.gate.record_refusal(
                source.instance, loop_time()
            )
        self._log_decision(
            generation.job.request_id,
            'run_copied',
            source=source.instance,
            destination=destination.instance,
            status=answer.status,
            last_event=generation.order.last,
            took_ms=round((loop_time() - started_at) * 1000),
        )
        return answer

    def _runs_on(self, generation: Generation, source: Endpoint) -> bool:
        endpoint = generation.endpoint
        return (
            generation in self._relay.generations
            and endpoint is not None
            and endpoint.instance == source.instance
        )

    def _log_decision(
        self, request_id: str, event: str, **inputs: object
    ) -> None:
        self._context.telemetry.log_decision(event, request_id, **inputs)
