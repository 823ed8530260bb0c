"""Shares the outcomes of calls at plain endpoints with the other nodes."""

import asyncio
from collections.abc import Iterable, Mapping
from typing import Final

from mastichatch_core.relay.endpoint_outcomes import EndpointVerdict
from mastichatch_core.relay.load_control import is_any_controlled
from mastichatch_core.relay.model import Endpoint
from mastichatch_core.units import MS_PER_S
from mastichatch_node.clock import loop_time
from mastichatch_node.relay.context import RelayContext
from mastichatch_node.relay.endpoint_attempt import (
    AttemptOutcome,
    AttemptResult,
    is_failure,
)

# Outcomes are sent with changes of runs, which most nodes have once a second.
# A failure is told after this time at the latest.
TELL_DELAY_S: Final = 0.3


def shares_outcomes(context: RelayContext) -> bool:
    """Return whether endpoints are chosen by what all nodes saw of them.

    :param context: shared components of the relay
    """
    return is_any_controlled(
        context.controls.engine_speeds, context.belief.configuration
    )


def judge_endpoints(
    context: RelayContext, endpoints: Iterable[Endpoint]
) -> Mapping[str, EndpointVerdict]:
    """Return what the calls of all nodes tell of endpoints, by instance.

    :param context: shared components of the relay
    :param endpoints: all usable endpoints of a service
    """
    if not shares_outcomes(context):
        return {}
    instances = [one.instance for one in endpoints]
    return context.sharing.outcomes.judge(instances, loop_time())


def record_outcome(
    context: RelayContext,
    endpoint: Endpoint,
    result: AttemptResult,
    started_at: float,
) -> None:
    """Record the outcome of a call, to be told to other nodes.

    :param context: shared components of the relay
    :param endpoint: endpoint of the call
    :param result: result of the call
    :param started_at: loop time of its start, in seconds
    """
    is_unreached = (
        result.fate is AttemptOutcome.not_sent
        and not result.is_connection_refused
    )
    # The way of one node to an endpoint does not concern the others.
    if is_unreached or not shares_outcomes(context):
        return
    if result.fate is AttemptOutcome.not_sent or result.is_closed_by_peer:
        context.isolation.contact.checker.start()
    now = loop_time()
    outcomes = context.sharing.outcomes
    was_untold = outcomes.has_untold_failures
    outcomes.record(
        endpoint.instance,
        (now - started_at) * MS_PER_S,
        now,
        failed=is_failure(result),
    )
    if outcomes.has_untold_failures and not was_untold:
        asyncio.get_running_loop().call_later(
            TELL_DELAY_S, _tell_failures, context
        )


def _tell_failures(context: RelayContext) -> None:
    """Tell other nodes of failures, unless a change of runs has."""
    if not context.sharing.outcomes.has_untold_failures:
        return
    if context.isolation.contact.may_tell:
        context.sharing.announce_outcomes()
    elif not context.isolation.contact.is_cut_off:
        asyncio.get_running_loop().call_later(
            TELL_DELAY_S, _tell_failures, context
        )
