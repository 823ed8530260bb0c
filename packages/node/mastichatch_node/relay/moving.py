"""Moves this node's generations off engines that leave."""

import asyncio
import contextlib
from collections.abc import Mapping
from typing import Final

from mastichatch_core.relay.departure import (
    DepartureGate,
    is_worth_moving,
    runs_leaving_before,
)
from mastichatch_core.relay.engine_choice import MOVED_MEMORY_SHARE
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
# By this many events, a second and a half, the copy of a prompt is complete.
COPIED_EVENTS: Final = 40
# A turn is looked at again after news of other nodes, and after this time.
TURN_POLL_S: Final = 0.05

_OK: Final = 200
_NOT_FOUND: Final = 404


def _stays(known: Mapping[str, Endpoint], endpoint: Endpoint) -> bool:
    current = known.get(endpoint.instance)
    return current is not None and current.state is EndpointState.ready


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
        self._moves: dict[str, asyncio.Task[None]] = {}
        self._news = asyncio.Event()

    def review(self) -> None:
        """Look after the generations whose engines, or copies, leave."""
        now = loop_time()
        known = self._tools.belief.endpoints(now)
        for generation in self._relay.generations:
            if generation.endpoint is not None and not generation.is_moving:
                self._review_one(generation, generation.endpoint, known)

    def _review_one(
        self,
        generation: Generation,
        endpoint: Endpoint,
        known: Mapping[str, Endpoint],
    ) -> None:
        copy = generation.copy
        if copy is not None and not self._placing.takes_runs(copy):
            generation.drop_copy()
        if _stays(known, endpoint):
            return
        events = generation.last_event or 0
        if generation.copy is not None and events >= COPIED_EVENTS:
            self._switch(generation, endpoint, generation.copy)
        else:
            self._start(generation, endpoint)

    def note_news(self) -> None:
        """Let the runs that wait for their turn look again."""
        self._news.set()
        self._news = asyncio.Event()

    def close(self) -> None:
        """End all moves."""
        for task in self._moves.values():
            task.cancel()

    def _switch(
        self, generation: Generation, endpoint: Endpoint, copy: Endpoint
    ) -> None:
        """Let a run go on where its copy is, which takes no more transfer."""
        if not is_worth_moving(generation.run):
            return
        self._decide(
            generation.job.request_id,
            'run_switched_to_copy',
            source=endpoint.instance,
            destination=copy.instance,
            last_event=generation.last_event,
        )
        generation.switch_to_copy()

    def _start(self, generation: Generation, source: Endpoint) -> None:
        """Move a generation; a second move is not begun beside it."""
        key = generation.job.request_id
        if key in self._moves or not require_engine(generation.job).can_move:
            return
        task = asyncio.ensure_future(self._move(generation, source))
        self._moves[key] = task
        task.add_done_callback(lambda done: self._finish(key, done))

    def _finish(self, key: str, task: 'asyncio.Task[None]') -> None:
        self._moves.pop(key, None)
        if not task.cancelled() and task.exception() is not None:
            self._decide(key, 'move_failed', reason=repr(task.exception()))

    async def _move(self, generation: Generation, source: Endpoint) -> None:
        await self._wait_for_turn(generation, source)
        copied = await self._copy(generation, source)
        if copied is None:
            return
        if not self._is_at(generation, source):
            await self._tools.dialect.drop_copy(source.address, copied.handle)
            return
        await self._stop(generation, source, copied)

    async def _wait_for_turn(
        self, generation: Generation, source: Endpoint
    ) -> None:
        """Wait until the runs before this one have left the engine."""
        engine = require_engine(generation.job)
        turn = DepartureGate()
        while self._is_at(generation, source):
            run = generation.run
            now = loop_time()
            before = runs_leaving_before(
                run, self._tools.sharing.table.iter_runs(now)
            )
            has_come = turn.is_open(before, engine, now)
            if has_come and run.output_tokens and is_worth_moving(run):
                return
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(TURN_POLL_S):
                    await self._news.wait()

    async def _copy(
        self, generation: Generation, source: Endpoint
    ) -> Moved | None:
        """Copy a run's memory while it goes on."""
        excluded = {source.instance}
        tried = 0
        while tried < DESTINATION_LIMIT and self._is_at(generation, source):
            run = generation.run
            destination = self._placing.move_engine(
                generation.job,
                run,
                frozenset(excluded),
                source.data_centre,
                MOVED_MEMORY_SHARE,
            )
            if destination is None:
                self._decide(run.request_id, 'copy_without_destination')
                return None
            generation.note_destination(destination)
            answer = await self._call(generation, source, destination, False)
            if answer.status == _OK:
                return Moved(
                    endpoint=destination,
                    address=source.address,
                    handle=answer.handle,
                )
            generation.note_destination(None)
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
            answer = await self._call(generation, source, copied.endpoint, True)
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
            last_event=generation.last_event,
            took_ms=round((loop_time() - started_at) * 1000),
        )
        return answer

    def _is_at(self, generation: Generation, source: Endpoint) -> bool:
        endpoint = generation.endpoint
        return (
            generation in self._relay.generations
            and endpoint is not None
            and endpoint.instance == source.instance
        )

    def _decide(self, request_id: str, event: str, **inputs: object) -> None:
        self._tools.telemetry.decide(event, request_id, **inputs)
