"""Chooses endpoints of plain calls, with their slots if they are brittle."""

import contextlib
import dataclasses
import functools
import random
from collections.abc import Iterator, Sequence
from typing import Final

from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.messages import ErrorKind, SlotOutcome
from mastichatch_core.relay.limit_turns import return_delay_s
from mastichatch_core.relay.model import Endpoint
from mastichatch_core.relay.store_cache import usable_endpoints
from mastichatch_core.units import MS_PER_S
from mastichatch_node.clock import loop_time
from mastichatch_node.relay.context import Job, RelayContext
from mastichatch_node.relay.endpoint_attempt import (
    AttemptOutcome,
    AttemptResult,
)
from mastichatch_node.relay.engine_placement import (
    RETRY_AFTER_S,
    EngineUnavailableError,
)
from mastichatch_node.relay.limited_choice import choose_with_turn
from mastichatch_node.relay.slot_keeping import Slot, SlotNeed

# Share of the time until its deadline, and of its objective, that a call waits
# for a slot. The rest is for the call itself.
SLOT_WAIT_SHARE: Final = 0.5
# Time after its deadline within which a call returns its slot.
RETURN_SLACK_S: Final = 1.0
NO_SLOT: Final = 'no endpoint has a slot in time'
FULL_STATUS: Final = 503


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Choice:
    """The endpoint of a call.

    :param endpoint: the endpoint
    :param slot: its slot; ``None`` unless it is brittle
    """

    endpoint: Endpoint
    slot: Slot | None = None


async def choose_before_stop(
    context: RelayContext,
    job: Job,
    ranked: Sequence[Endpoint],
    *,
    may_have_run: bool,
) -> Choice | None:
    """Return the endpoint of a call that ends before a planned stop.

    :param context: shared components of the relay
    :param job: the call
    :param ranked: endpoints that it may be sent to, the best one first
    :param may_have_run: whether an earlier attempt may have run it
    :returns: ``None`` without an endpoint that may get it in time
    :raises MastichatchError: with ``draining`` if it has not run, and would not
        end before the stop
    """
    try:
        async with context.stop.limit_wait(_fastest_s(context, ranked)):
            return await choose_endpoint(context, job, ranked)
    except MastichatchError as error:
        if error.kind is not ErrorKind.draining or not may_have_run:
            raise
        return None


async def choose_endpoint(
    context: RelayContext, job: Job, ranked: Sequence[Endpoint]
) -> Choice | None:
    """Return the endpoint of a call, with its turn and its slot.

    :param context: shared components of the relay
    :param job: the call
    :param ranked: endpoints that it may be sent to, the best one first
    :returns: ``None`` without an endpoint that may get it in time
    """
    slot: Slot | None = None
    if context.slots.brittle.is_brittle(job.service.name):
        slot = await _acquire(context, job, ranked)
        if slot is None:
            return None
        ranked = (slot.endpoint,)
    endpoint: Endpoint | None = None
    try:
        endpoint = await choose_with_turn(context, job, ranked)
    finally:
        if slot is not None and endpoint is None:
            context.slots.give_back(slot, SlotOutcome.unused)
    return None if endpoint is None else Choice(endpoint=endpoint, slot=slot)


@contextlib.contextmanager
def returned_slot(
    context: RelayContext, choice: Choice, results: Sequence[AttemptResult]
) -> Iterator[None]:
    """Return the slot of a request after the block.

    :param context: shared components of the relay
    :param choice: the endpoint of the request
    :param results: the block appends the result of the attempt
    """
    known = len(results)
    try:
        with context.slots.in_progress(choice.endpoint):
            yield
    finally:
        _give_back(context, choice, results[known:])


def refuse_if_no_slot(context: RelayContext, job: Job) -> None:
    """Refuse a call that was not run, if the endpoints are brittle.

    :param context: shared components of the relay
    :param job: the call
    :raises EngineUnavailableError: with the time until one of them is expected
        to have room
    """
    slots = context.slots
    service = job.service.name
    if not slots.brittle.is_brittle(service):
        return
    usable = usable_endpoints(context.belief, service, loop_time())
    opens_in_s = max(slots.opens_in_s(usable), RETRY_AFTER_S)
    context.telemetry.slots.count_refusal()
    context.telemetry.log_decision(
        'call_kept_back',
        job.request_id,
        brittle={one.instance: slots.brittle.rejections(one) for one in usable},
        opens_in_ms=round(opens_in_s * MS_PER_S),
        left_ms=round(job.left_ms()),
    )
    draw = random.random()  # noqa: S311
    raise EngineUnavailableError(NO_SLOT, return_delay_s(opens_in_s, draw))


def _fastest_s(context: RelayContext, ranked: Sequence[Endpoint]) -> float:
    """Return the time that a call takes at the fastest endpoint, in seconds."""
    times = [context.records.get(one.instance).mean_ms for one in ranked]
    return min(times, default=0) / MS_PER_S


async def _acquire(
    context: RelayContext, job: Job, ranked: Sequence[Endpoint]
) -> Slot | None:
    now = loop_time()
    records = context.records
    accepting = [one for one in ranked if records.accepts(one.instance, now)]
    left_s = job.left_ms() / MS_PER_S
    objective_s = job.route.objective_ms / MS_PER_S
    longest_s = min(left_s, objective_s) if objective_s > 0 else left_s
    need = SlotNeed(
        rank=job.rank,
        longest_s=max(0, longest_s * SLOT_WAIT_SHARE),
        hold_s=left_s + RETURN_SLACK_S,
    )
    return await context.slots.acquire(accepting or ranked, need)


def _give_back(
    context: RelayContext, choice: Choice, results: Sequence[AttemptResult]
) -> None:
    slots, endpoint = context.slots, choice.endpoint
    outcome = _slot_outcome(results[0]) if results else None
    is_lost = outcome is SlotOutcome.lost
    if is_lost and slots.brittle.is_brittle(endpoint.service):
        # The way of this node to all endpoints may be the reason.
        context.isolation.contact.call_when_reached(
            functools.partial(slots.report_failure, endpoint, SlotOutcome.lost)
        )
    if choice.slot is None:
        is_rejected = outcome is SlotOutcome.rejected
        if is_rejected and slots.brittle.is_brittle(endpoint.service):
            slots.report_failure(endpoint, SlotOutcome.rejected)
    elif outcome is None:
        slots.give_back_later(choice.slot)
    else:
        slots.give_back(choice.slot, outcome)


def _slot_outcome(result: AttemptResult) -> SlotOutcome | None:
    """Return what became of a request; ``None`` if it may be in progress."""
    if result.fate is AttemptOutcome.answered:
        return SlotOutcome.done
    if result.fate is AttemptOutcome.refused:
        is_full = result.status == FULL_STATUS
        return SlotOutcome.rejected if is_full else SlotOutcome.unused
    if result.is_connection_refused or result.is_closed_by_peer:
        return SlotOutcome.lost
    is_sent = result.fate is AttemptOutcome.unknown
    return None if is_sent else SlotOutcome.unused
