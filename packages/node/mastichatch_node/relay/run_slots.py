"""Slots of the brittle engines that a generation uses."""

import contextlib
from collections.abc import Callable, Iterator
from typing import Final

from mastichatch_core.generated.messages import SlotOutcome
from mastichatch_core.relay.admission.room import expected_answer_s
from mastichatch_core.relay.model import Endpoint
from mastichatch_core.units import MS_PER_S
from mastichatch_node.relay.context import Job, RelayContext
from mastichatch_node.relay.endpoint_attempt import (
    AttemptResult,
    result_of_error,
)
from mastichatch_node.relay.engine_placement import (
    EnginePlacement,
    EnginePlacer,
)
from mastichatch_node.relay.http_client import ExchangeError
from mastichatch_node.relay.slot_choice import (
    RETURN_SLACK_S,
    Choice,
    refuse_if_no_slot,
    returned_slot,
)
from mastichatch_node.relay.slot_keeping import MAX_TRIES, Slot, SlotNeed

# Longest time that a run waits for a slot of one engine.
MAX_WAIT_S: Final = 1.0


class RunSlots:
    """The slot of one generation.

    Engines are assigned by the runs of all nodes, which are some time old: two
    nodes that assign at the same time may exceed the slots of an engine.
    """

    def __init__(
        self, context: RelayContext, job: Job, placer: EnginePlacer
    ) -> None:
        """Start without a slot.

        :param context: shared components of the relay
        :param job: the request
        :param placer: assigns engines
        """
        self._context = context
        self._job = job
        self._placer = placer
        self._slot: Slot | None = None

    async def place(self, excluded: frozenset[str]) -> EnginePlacement:
        """Return the engine of a new run, and hold its slot if it is brittle.

        :param excluded: instances that refused the run
        :raises MastichatchError: if no engine has room in time, or in time
            before a planned stop of this node
        """
        duration_s = expected_answer_s(self._job.facts)
        async with self._context.stop.limit_wait(duration_s):
            return await self._place(excluded)

    async def _place(self, excluded: frozenset[str]) -> EnginePlacement:
        for _ in range(MAX_TRIES):
            placement = await self._placer.place(self._job, excluded)
            endpoint = placement.endpoint
            slots = self._context.slots
            if not slots.brittle.is_brittle(endpoint.service):
                return placement
            self._slot = await slots.acquire((endpoint,), self._need())
            if self._slot is not None:
                return placement
            excluded |= {endpoint.instance}
        refuse_if_no_slot(self._context, self._job)
        return placement

    @contextlib.contextmanager
    def used(
        self,
        endpoint: Endpoint,
        results: list[AttemptResult],
        was_ordered_off: Callable[[], bool],
    ) -> Iterator[None]:
        """Use the slot for an attempt, and return it after the block.

        :param endpoint: engine of the attempt
        :param results: the block appends the result of the attempt, unless it
            fails
        :param was_ordered_off: returns whether the run was to leave its engine
        """
        choice = Choice(endpoint=endpoint, slot=self._slot)
        self._slot = None
        told: list[AttemptResult] = []
        with returned_slot(self._context, choice, told):
            try:
                yield
            except ExchangeError as error:
                results.append(result_of_error(error))
            # An engine that stops a run on order has not failed.
            if not was_ordered_off():
                told.extend(results)

    def close(self) -> None:
        """Return a slot that was not used."""
        if self._slot is not None:
            self._context.slots.give_back(self._slot, SlotOutcome.unused)
            self._slot = None

    def _need(self) -> SlotNeed:
        left_s = self._job.left_ms() / MS_PER_S
        return SlotNeed(
            rank=self._job.rank,
            longest_s=max(0, min(left_s, MAX_WAIT_S)),
            hold_s=left_s + RETURN_SLACK_S,
        )
