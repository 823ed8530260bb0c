"""Collects announcements of endpoints that they are about to leave.

They make them in each of their answers, and engines in their reports. The store
reports departures too, but it may be unresponsive for seconds before that is
detected, and the notice that an engine gives is shorter.
"""

import asyncio
from typing import Final

from mastichatch_core import rendezvous
from mastichatch_core.generated.messages import RunChanges
from mastichatch_core.relay.model import Endpoint, EndpointState
from mastichatch_core.relay.store_cache import endpoint_at
from mastichatch_node.clock import loop_time
from mastichatch_node.relay.store_following import StoreFollower
from mastichatch_node.relay.context import RelayContext
from mastichatch_node.relay.http_client import ResponseHead
from mastichatch_node.relay.run_migration import RunMigrator
from mastichatch_node.relay.relay import Relay

# Engines leave 1.5 s or more after their notice, and their reports are up to
# 0.5 s old.
POLL_INTERVAL_S: Final = 0.4


class DeparturePoller:
    """Collects departure notices from endpoints and from other nodes."""

    def __init__(
        self,
        context: RelayContext,
        follower: StoreFollower,
        relay: Relay,
        migrator: RunMigrator,
    ) -> None:
        """Create a poller that does not poll yet.

        :param context: shared components of the relay
        :param follower: reports whether the view of the store is current
        :param relay: generations in progress
        :param migrator: migrates generations off departing engines
        """
        self._context = context
        self._follower = follower
        self._relay = relay
        self._migrator = migrator

    async def poll_periodically(self) -> None:
        """Poll the engines of this node's generations until cancelled.

        While the store answers, one of the nodes with runs on an engine polls
        it for all of them; otherwise, each of these nodes polls it.
        """
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            polled = self._engines_to_poll()
            answers = await asyncio.gather(
                *(
                    self._context.dialect.query_departure(one.address)
                    for one in polled
                )
            )
            for endpoint, is_leaving in zip(polled, answers, strict=True):
                if is_leaving and self._record_departure(
                    endpoint.instance, 'itself'
                ):
                    self._context.sharing.announce_departure(endpoint.instance)

    def read_answer(self, address: str, head: ResponseHead) -> None:
        """Record an announcement in an answer of an endpoint.

        :param address: address of the endpoint
        :param head: status and headers of the answer
        """
        if not self._context.dialect.says_leaving(head):
            return
        signs = self._context.pool.signs
        if signs.may_be_former(address, head.connection):
            return
        endpoint = endpoint_at(self._context.belief, address, loop_time())
        if endpoint is not None and self._record_departure(
            endpoint.instance, 'its answer'
        ):
            self._context.sharing.announce_departure(endpoint.instance)

    def handle_changes(self, message: RunChanges) -> None:
        """Apply the departure notices that another node received.

        :param message: message with the departing instances
        """
        for instance in message.leaving:
            self._record_departure(instance, message.node)

    def _record_departure(self, instance: str, reporter: str) -> bool:
        if not self._context.belief.mark_draining(instance):
            return False
        self._context.telemetry.log_state_change(
            'engine_says_it_leaves', instance=instance, told_by=reporter
        )
        self._migrator.reconcile()
        return True

    def _engines_to_poll(self) -> tuple[Endpoint, ...]:
        known = self._context.belief.endpoints(loop_time())
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
            and self._must_poll(instance)
        )

    def _must_poll(self, instance: str) -> bool:
        if not self._follower.in_contact:
            return True
        others = self._context.sharing.table.nodes_with_runs_on(instance)
        others -= self._context.isolation.cut_off_peers()
        own = self._context.node
        return rendezvous.pick({own, *others}, instance) == own
