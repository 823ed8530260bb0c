"""Asks engines themselves whether they leave.

The store tells of it too, but may be silent for seconds before that shows, and
an engine's notice is shorter.
"""

import asyncio
from typing import Final

from mastichatch_core import rendezvous
from mastichatch_core.generated.messages import RunChanges
from mastichatch_core.relay.model import Endpoint, EndpointState
from mastichatch_node.clock import loop_time
from mastichatch_node.relay.following import Follower
from mastichatch_node.relay.job import Tools
from mastichatch_node.relay.moving import Moving
from mastichatch_node.relay.relay import Relay

# Engines are gone 1.5 s after their notice and later, and their reports are
# half a second old.
INQUIRY_INTERVAL_S: Final = 0.4


class Inquiry:
    """What engines say of themselves, and what other nodes heard of them."""

    def __init__(
        self, tools: Tools, follower: Follower, relay: Relay, moving: Moving
    ) -> None:
        """Keep the parts.

        :param tools: what the relay works with
        :param follower: knows whether the store answers
        :param relay: generations in progress
        :param moving: moves them off engines that leave
        """
        self._tools = tools
        self._follower = follower
        self._relay = relay
        self._moving = moving

    async def repeat(self) -> None:
        """Ask the engines of this node's generations until cancelled.

        While the store answers, one of the nodes with runs at an engine asks
        it for all of them; while it does not, each asks by itself.
        """
        while True:
            await asyncio.sleep(INQUIRY_INTERVAL_S)
            asked = self._engines_to_ask()
            answers = await asyncio.gather(
                *(
                    self._tools.dialect.says_it_leaves(one.address)
                    for one in asked
                )
            )
            for endpoint, leaves in zip(asked, answers, strict=True):
                if leaves and self._note(endpoint.instance, 'itself'):
                    self._tools.sharing.tell_leaving(endpoint.instance)

    def on_changes(self, message: RunChanges) -> None:
        """Take what another node heard of engines.

        :param message: what the node told
        """
        for instance in message.leaving:
            self._note(instance, message.node)

    def _note(self, instance: str, teller: str) -> bool:
        if not self._tools.belief.mark_draining(instance):
            return False
        self._tools.telemetry.believe(
            'engine_says_it_leaves', instance=instance, told_by=teller
        )
        self._moving.review()
        return True

    def _engines_to_ask(self) -> tuple[Endpoint, ...]:
        known = self._tools.belief.endpoints(loop_time())
        used = {
            one.endpoint.instance
            for one in self._relay.generations
            if one.endpoint is not None
        }
        return tuple(
            known[instance]
            for instance in sorted(used)
            if instance in known
            and known[instance].state is EndpointState.ready
            and self._has_to_ask(instance)
        )

    def _has_to_ask(self, instance: str) -> bool:
        if not self._follower.in_contact:
            return True
        others = self._tools.sharing.table.nodes_with_runs_on(instance)
        own = self._tools.node
        return rendezvous.pick({own, *others}, instance) == own
