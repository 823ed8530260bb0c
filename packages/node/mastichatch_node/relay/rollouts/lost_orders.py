"""Keeps roll-outs whose order the platform's store lost.

A store that comes back from an older copy may have an earlier order of the
service until the operator writes the lost one again. A decision that was
reported on the lost one is not taken again then.
"""

from mastichatch_core.relay.rollouts.order import (
    RolloutOrder,
    is_written_again,
)
from mastichatch_core.relay.store_cache import REWRITE_GRACE_S
from mastichatch_node.clock import loop_time
from mastichatch_node.relay.rollouts.state import ServiceRollout


class LostOrders:
    """Roll-outs by service, for as long as their orders may be back."""

    def __init__(self) -> None:
        """Start without roll-outs."""
        self._kept: dict[str, tuple[ServiceRollout, float]] = {}

    def keep(self, rollout: ServiceRollout, found: RolloutOrder | None) -> None:
        """Keep a roll-out with a record, if its order was lost.

        :param rollout: what was known before the store was restored
        :param found: order of the service that the store has now
        """
        is_lost = not is_written_again(rollout.order, found)
        if is_lost and rollout.view.is_current:
            until = loop_time() + REWRITE_GRACE_S
            self._kept[rollout.service] = (rollout, until)

    def take(
        self, service: str, found: RolloutOrder | None
    ) -> ServiceRollout | None:
        """Return the roll-out of a lost order that was written again.

        :param service: name of the service
        :param found: order of the service that the store has now
        :returns: the roll-out, as it was before the store was restored
        """
        rollout, until = self._kept.get(service, (None, 0))
        if rollout is None or not is_written_again(rollout.order, found):
            return None
        self._kept.pop(service)
        return rollout if loop_time() < until else None
