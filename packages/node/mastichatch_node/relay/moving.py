"""Moves this node's generations off engines that leave."""

import asyncio
import dataclasses
from collections.abc import Coroutine, Mapping
from typing import Final

from mastichatch_core.relay.departure import copy_after_s, is_worth_moving
from mastichatch_core.relay.model import Endpoint, EndpointState
from mastichatch_node.clock import loop_time
from mastichatch_node.relay.dialect import MoveAnswer
from mastichatch_node.relay.job import Tools
from mastichatch_node.relay.placing import Placing, require_engine
from mastichatch_node.relay.relay import Relay
from mastichatch_node.relay.streaming import Generation, Moved

# Engines that are tried as the destination of one run.
DESTINATION_LIMIT: Final = 3
# A run whose prompt is still being read cannot be copied yet.
NOT_BEGUN_RETRY_S: Final = 0.1
# Engines are gone about two seconds after their notice; copies that were lost
# with them are made again after that.
RENEWAL_DELAY_S: Final = 2.2
# Copies are kept for 5 s by the users' sheets, and a copy of what is new
# takes some hundredths of a second.
REFRESH_S: Final = 3.5

_OK: Final = 200
_NOT_FOUND: Final = 404


def _stays(known: Mapping[str, Endpoint], endpoint: Endpoint) -> bool:
    current = known.get(endpoint.instance)
    return current is not None and current.state is EndpointState.ready


def _can_move(generation: Generation) -> bool:
    return require_engine(generation.job).can_move


class Moving:
    """Moves in progress at this node."""

    def __init__(self, tools: Tools, placing: Placing, relay: Relay) -> None:
        """Start without moves.

        :param tools: what the relay works with
        :param placing: finds engines with room
        :param relay: generations in progress
        """
        self._tools = tools
        self._placing = placing
        self._relay = relay
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._noticed_at: dict[str, float] = {}

    def review(self) -> None:
        """Look after the generations whose engines, or copies, leave."""
        now = loop_time()
        known = self._tools.belief.endpoints(now)
        for generation in self._relay.generations:
            if generation.endpoint is not None and not generation.is_moving:
                self._review_one(generation, generation.endpoint, known)
        for instance in tuple(self._noticed_at):
            if instance not in known and not self._is_used(instance):
                self._noticed_at.pop(instance)

    def _review_one(
        self,
        generation: Generation,
        endpoint: Endpoint,
        known: Mapping[str, Endpoint],
    ) -> None:
        copy, renewed = generation.copy, generation.renewed_copy
        if renewed is not None and not _stays(known, renewed.endpoint):
            generation.set_renewed_copy(None)
        if copy is not None and not _stays(known, copy):
            generation.drop_first_copy()
        if _stays(known, endpoint):
            if copy is not None and generation.copy is None:
                self._start(generation, self._renew_copy(generation, endpoint))
            return
        noticed_at = self._noticed_at.setdefault(
            endpoint.instance, loop_time()
        )
        if generation.renewed_copy is None and generation.copy is not None:
            self._switch(generation, endpoint, generation.copy)
        else:
            self._start(
                generation, self._move(generation, endpoint, noticed_at)
            )

    def close(self) -> None:
        """End all moves."""
        for task in self._tasks.values():
            task.cancel()

    def _is_used(self, instance: str) -> bool:
        return any(
            one.endpoint is not None and one.endpoint.instance == instance
            for one in self._relay.generations
        )

    def _switch(
        self, generation: Generation, endpoint: Endpoint, copy: Endpoint
    ) -> None:
        """Let a run go on where its copy is, which takes no more transfer."""
        if not generation.events or not is_worth_moving(generation.run):
            return
        self._decide(
            generation.job.request_id,
            'run_switched_to_copy',
            source=endpoint.instance,
            destination=copy.instance,
            events=generation.events,
        )
        generation.switch_to_copy()

    def _start(
        self, generation: Generation, work: Coroutine[None, None, None]
    ) -> None:
        """Run one work for a generation; a second one is not begun."""
        key = generation.job.request_id
        if key in self._tasks or not _can_move(generation):
            work.close()
            return
        task = asyncio.ensure_future(work)
        self._tasks[key] = task
        task.add_done_callback(lambda done: self._finish(key, done))

    def _finish(self, key: str, task: 'asyncio.Task[None]') -> None:
        self._tasks.pop(key, None)
        if not task.cancelled() and task.exception() is not None:
            self._decide(key, 'move_failed', reason=repr(task.exception()))

    async def _renew_copy(
        self, generation: Generation, source: Endpoint
    ) -> None:
        """Copy a run again whose first copy is gone, and keep that fresh."""
        # The link of an engine that leaves is needed for what moves.
        await asyncio.sleep(RENEWAL_DELAY_S)
        while self._is_settled_at(generation, source):
            renewed = generation.renewed_copy
            if renewed is None:
                copied = await self._copy(generation, source)
            else:
                copied = await self._refresh(generation, source, renewed)
            if copied is None or not self._is_settled_at(generation, source):
                return
            generation.set_renewed_copy(copied)
            await asyncio.sleep(REFRESH_S)

    async def _refresh(
        self, generation: Generation, source: Endpoint, renewed: Moved
    ) -> Moved | None:
        answer = await self._call(generation, source, renewed.endpoint, False)
        if answer.status == _OK:
            return dataclasses.replace(renewed, handle=answer.handle)
        return None

    async def _move(
        self, generation: Generation, source: Endpoint, noticed_at: float
    ) -> None:
        run = generation.run
        if not is_worth_moving(run):
            return
        copied = generation.renewed_copy
        if copied is None:
            await asyncio.sleep(
                noticed_at + self._copy_after_s(generation, source) - loop_time()
            )
            copied = await self._copy(generation, source)
        if copied is None:
            return
        if not self._is_at(generation, source):
            await self._tools.dialect.drop_copy(source.address, copied.handle)
            return
        await self._stop(generation, source, copied)

    async def _copy(
        self, generation: Generation, source: Endpoint
    ) -> Moved | None:
        """Copy a run's memory while it goes on."""
        excluded = {source.instance}
        tried = 0
        while tried < DESTINATION_LIMIT and self._is_at(
            generation, source
        ):
            run = generation.run
            destination = self._placing.move_engine(
                generation.job,
                run.expected_tokens,
                frozenset(excluded),
                source.data_centre,
            )
            if destination is None:
                self._decide(run.request_id, 'move_without_destination')
                return None
            answer = await self._call(generation, source, destination, False)
            if answer.status == _OK:
                return Moved(
                    endpoint=destination,
                    address=source.address,
                    handle=answer.handle,
                )
            if answer.status == _NOT_FOUND:
                await asyncio.sleep(NOT_BEGUN_RETRY_S)
                continue
            tried += 1
            excluded.add(destination.instance)
        return None

    async def _stop(
        self, generation: Generation, source: Endpoint, copied: Moved
    ) -> None:
        """Stop a run, copy the rest of its memory, and say where it goes on."""
        promise = generation.begin_move()
        moved: Moved | None = None
        try:
            answer = await self._call(
                generation, source, copied.endpoint, True
            )
            if answer.handle:
                # Without room at the destination it can go on where it was.
                went = answer.status == _OK
                moved = Moved(
                    endpoint=copied.endpoint if went else source,
                    address=source.address,
                    handle=answer.handle,
                )
        finally:
            if not promise.done():
                promise.set_result(moved)

    async def _call(
        self,
        generation: Generation,
        source: Endpoint,
        destination: Endpoint,
        final: bool,
    ) -> MoveAnswer:
        started_at = loop_time()
        answer = await self._tools.dialect.move_run(
            source.address,
            generation.job.request_id,
            destination.address,
            final,
        )
        self._decide(
            generation.job.request_id,
            'run_stopped_and_copied' if final else 'run_copied',
            source=source.instance,
            destination=destination.instance,
            status=answer.status,
            events=generation.last_event,
            took_ms=round((loop_time() - started_at) * 1000),
        )
        return answer

    def _copy_after_s(
        self, generation: Generation, source: Endpoint
    ) -> float:
        run = generation.run
        near = self._placing.move_engine(
            generation.job,
            run.expected_tokens,
            frozenset((source.instance,)),
            source.data_centre,
        )
        is_remote = near is None or near.data_centre != source.data_centre
        return copy_after_s(
            run,
            self._tools.sharing.table.each(loop_time()),
            require_engine(generation.job),
            is_remote=is_remote,
        )

    def _is_settled_at(self, generation: Generation, source: Endpoint) -> bool:
        """Return whether a run is at an engine that stays."""
        known = self._tools.belief.endpoints(loop_time())
        return self._is_at(generation, source) and _stays(known, source)

    def _is_at(self, generation: Generation, source: Endpoint) -> bool:
        endpoint = generation.endpoint
        return (
            generation in self._relay.generations
            and endpoint is not None
            and endpoint.instance == source.instance
        )

    def _decide(self, request_id: str, event: str, **inputs: object) -> None:
        self._tools.telemetry.decide(event, request_id, **inputs)
