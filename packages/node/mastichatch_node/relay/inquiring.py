"""Asks engines themselves whether they leave, while the store is away."""

import asyncio
from typing import Final

from mastichatch_core.relay.model import Endpoint, EndpointState
from mastichatch_node.clock import loop_time
from mastichatch_node.relay.following import Follower
from mastichatch_node.relay.job import Tools
from mastichatch_node.relay.moving import Moving
from mastichatch_node.relay.relay import Relay

# Engines are gone 1.5 s after their notice and later, and their reports are
# half a second old.
INQUIRY_INTERVAL_S: Final = 0.4


async def inquire(
    tools: Tools, follower: Follower, relay: Relay, moving: Moving
) -> None:
    """Ask the engines of this node's generations until cancelled.

    While the store answers, it tells of engines that leave, and no engine is
    asked.

    :param tools: what the relay works with
    :param follower: knows whether the store answers
    :param relay: generations in progress
    :param moving: moves them off engines that leave
    """
    while True:
        await asyncio.sleep(INQUIRY_INTERVAL_S)
        if follower.in_contact:
            continue
        asked = _engines_in_use(tools, relay)
        answers = await asyncio.gather(
            *(tools.dialect.says_it_leaves(one.address) for one in asked)
        )
        for endpoint, leaves in zip(asked, answers, strict=True):
            if leaves and tools.belief.note_leaving(endpoint.instance):
                tools.telemetry.believe(
                    'engine_says_it_leaves', instance=endpoint.instance
                )
                moving.review()


def _engines_in_use(tools: Tools, relay: Relay) -> tuple[Endpoint, ...]:
    known = tools.belief.endpoints(loop_time())
    used = {
        one.endpoint.instance
        for one in relay.generations
        if one.endpoint is not None
    }
    return tuple(
        known[instance]
        for instance in used
        if instance in known and known[instance].state is EndpointState.ready
    )
