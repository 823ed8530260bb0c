"""Chooses endpoints of plain calls within the limits that they name."""

import random
from collections.abc import Sequence
from typing import Final

from mastichatch_core.relay.limit_turns import return_delay_s
from mastichatch_core.relay.model import Endpoint
from mastichatch_core.units import MS_PER_S
from mastichatch_node.clock import loop_time
from mastichatch_node.relay.context import Job, RelayContext
from mastichatch_node.relay.engine_placement import (
    RETRY_AFTER_S,
    EngineUnavailableError,
)

# Share of the time until its deadline that a call waits for a turn. The rest is
# for the call itself.
TURN_WAIT_SHARE: Final = 0.5
ALL_LIMITED: Final = 'all endpoints have reached the limits that they name'


async def choose_with_turn(
    context: RelayContext, job: Job, ranked: Sequence[Endpoint]
) -> Endpoint | None:
    """Return the endpoint of a call, and use up a turn if it needs one.

    While other endpoints have room, no call waits for a turn.

    :param context: shared components of the relay
    :param job: the call
    :param ranked: endpoints that it may be sent to, the best one first
    :returns: ``None`` without an endpoint that may get it in time
    """
    turns = context.turns
    accepting = tuple(filter(turns.accepts, ranked))
    if accepting[:1] != tuple(ranked[:1]):
        turns.request_beside(ranked[:1])
    now = loop_time()
    for endpoint in accepting:
        if context.records.accepts(endpoint.instance, now):
            turns.take(endpoint)
            return endpoint
    names = {one.instance for one in accepting}
    limited = [one for one in ranked if one.instance not in names]
    if limited:
        longest_s = job.left_ms() / MS_PER_S * TURN_WAIT_SHARE
        waited_for = await turns.wait_for_turn(limited, longest_s)
        if waited_for is not None:
            return waited_for
    # Some endpoint must be tried, even if all seem to fail.
    for endpoint in accepting:
        if turns.take(endpoint):
            return endpoint
    return None


def refuse_if_all_limited(
    context: RelayContext, job: Job, ranked: Sequence[Endpoint]
) -> None:
    """Refuse a call if no endpoint may get it within its limit.

    :param context: shared components of the relay
    :param job: the call
    :param ranked: endpoints that it might have been sent to
    :raises EngineUnavailableError: with the time until one of them is expected
        to have room
    """
    if not ranked:
        return
    turns = context.turns
    opens_in_s = max(turns.opens_in_s(ranked), RETRY_AFTER_S)
    context.telemetry.limits.count_refusal()
    context.telemetry.log_decision(
        'call_kept_back',
        job.request_id,
        limits={one.instance: turns.limits.limit(one) for one in ranked},
        opens_in_ms=round(opens_in_s * MS_PER_S),
        left_ms=round(job.left_ms()),
    )
    draw = random.random()  # noqa: S311
    raise EngineUnavailableError(ALL_LIMITED, return_delay_s(opens_in_s, draw))
