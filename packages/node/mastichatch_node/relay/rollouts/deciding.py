"""Decides on roll-outs, and writes the decisions to the platform's store.

Load pattern: an order is open, and any host may be stopped, paused or cut off
in the middle of it. Hosts act in an order that all of them compute; each write
holds only if neither the record nor the order has changed, so that two hosts
that act at once cannot disagree, nor a write that is late.
"""

import asyncio
from collections.abc import Callable
from typing import Final

from mastichatch_core.generated.messages import ViewEntry
from mastichatch_core.generated.records import RolloutRecord
from mastichatch_core.relay.rollouts.order import (
    Phase,
    changes_status,
    next_record,
)
from mastichatch_core.relay.rollouts.verdict import (
    Verdict,
    judge,
    may_finish,
)
from mastichatch_core.relay.store import (
    ConflictError,
    StoreUnavailableError,
    Transaction,
)
from mastichatch_core.relay.store_cache import StoreCache
from mastichatch_node import codec
from mastichatch_node.clock import loop_time
from mastichatch_node.relay.rollouts.keeper import (
    RECORD_PREFIX,
    RolloutKeeper,
)
from mastichatch_node.relay.rollouts.reporting import (
    DECIDER_COUNT,
    Directory,
)
from mastichatch_node.relay.rollouts.state import ServiceRollout
from mastichatch_node.relay.run_broadcast import RunBroadcaster
from mastichatch_node.relay.store_following import Store, StoreFollower
from mastichatch_node.relay.telemetry import Telemetry

DECISION_INTERVAL_S: Final = 0.2
# A node acts if a decision has been due for this time for each of the nodes
# before it.
TAKEOVER_S: Final = 1.0
# Time for which a written record is awaited before it is written again.
WRITTEN_WAIT_S: Final = 1.0
RETRY_DELAY_S: Final = 0.3

StatusEncoder = Callable[[Phase, ViewEntry], tuple[str, bytes]]


class RolloutDecider:
    """Decides on the open roll-outs where it is this node's turn."""

    def __init__(
        self,
        keeper: RolloutKeeper,
        cache: StoreCache,
        directory: Directory,
        sharing: RunBroadcaster,
        telemetry: Telemetry,
        encode_status: StatusEncoder,
    ) -> None:
        """Start without decisions.

        :param keeper: what the node knows of roll-outs
        :param cache: local view of the platform's store
        :param directory: the nodes
        :param sharing: generations in progress on all nodes
        :param telemetry: event log and metrics
        :param encode_status: returns the key and the document that tell
            operators of a phase of an order
        """
        self._keeper = keeper
        self._cache = cache
        self._directory = directory
        self._sharing = sharing
        self._telemetry = telemetry
        self._encode_status = encode_status
        # Loop times, by service and revision of the record.
        self._due_since: dict[tuple[str, int], float] = {}
        self._next_write_at: dict[tuple[str, int], float] = {}

    async def decide_periodically(
        self, store: Store, follower: StoreFollower
    ) -> None:
        """Decide on open roll-outs until cancelled.

        :param store: the platform's store
        :param follower: tells whether the store is in contact, and takes in
            what another node has written
        """
        while True:
            await asyncio.sleep(DECISION_INTERVAL_S)
            rollouts = self._keeper.open_rollouts()
            if not rollouts:
                self._due_since.clear()
                self._next_write_at.clear()
            for rollout in rollouts:
                record = self._due_record(rollout)
                if record is not None and follower.in_contact:
                    await self._write(store, follower, rollout, record)

    def _due_record(self, rollout: ServiceRollout) -> RolloutRecord | None:
        """Return the record that this node is to write now, if any."""
        ranked = self._directory.rank(rollout.service)
        position = ranked.index(self._directory.own_name)
        if position >= DECIDER_COUNT and _is_on_trial(rollout):
            # It knows only what it has counted itself.
            return None
        record = self._next_record(rollout)
        now = loop_time()
        key = (rollout.service, rollout.record_revision)
        if record is None:
            self._due_since.pop(key, None)
            return None
        due_at = self._due_since.setdefault(key, now) + position * TAKEOVER_S
        is_due = now >= max(due_at, self._next_write_at.get(key, now))
        return record if is_due else None

    def _next_record(self, rollout: ServiceRollout) -> RolloutRecord | None:
        if rollout.is_lost:
            return rollout.view.record
        known = self._cache.endpoints(loop_time()).values()
        return next_record(
            rollout.view,
            self._judge(rollout),
            {one.version for one in known if one.service == rollout.service},
            node=self._directory.own_name,
            may_finish=self._may_finish(rollout),
        )

    def _judge(self, rollout: ServiceRollout) -> Verdict | None:
        order = rollout.order
        if order is None or rollout.phase is None:
            return None
        return judge(
            rollout.evidence.cells(),
            rollout.age_s(loop_time()),
            order.period_s,
            self._has_engines(rollout.service),
        )

    def _may_finish(self, rollout: ServiceRollout) -> bool:
        order, record = rollout.order, rollout.view.record
        if order is None or record is None:
            return False
        if rollout.phase is not Phase.completing:
            return False
        now = loop_time()
        return may_finish(
            rollout.age_s(now),
            order.period_s,
            now - rollout.phase_at,
            has_engines=self._has_engines(rollout.service),
            runs_left=self._count_runs(rollout.service, record.previous),
        )

    def _has_engines(self, service: str) -> bool:
        configuration = self._cache.configuration
        if configuration is None or service not in configuration.services:
            return False
        return configuration.services[service].engine is not None

    def _count_runs(self, service: str, versions: tuple[str, ...]) -> int:
        """Return the number of runs on engines of some versions."""
        now = loop_time()
        known = self._cache.endpoints(now)
        former = {
            instance
            for instance, one in known.items()
            if one.service == service and one.version in versions
        }
        return sum(
            run.endpoint in former for run in self._sharing.table.iter_runs(now)
        )

    def _create_transaction(
        self, rollout: ServiceRollout, record: RolloutRecord
    ) -> Transaction | None:
        order, order_entry = rollout.order, rollout.order_entry
        if order is None or order_entry is None:
            return None
        record_key = RECORD_PREFIX + rollout.service
        puts = {record_key: codec.encode_json(record)}
        if changes_status(record):
            key, status = self._encode_status(record.phase, order_entry)
            puts[key] = status
        return Transaction(
            expected={
                record_key: rollout.record_revision,
                order_entry.key: order.revision,
            },
            puts=puts,
        )

    async def _write(
        self,
        store: Store,
        follower: StoreFollower,
        rollout: ServiceRollout,
        record: RolloutRecord,
    ) -> None:
        transaction = self._create_transaction(rollout, record)
        if transaction is None:
            return
        result, delay_s = 'written', WRITTEN_WAIT_S
        known: tuple[ViewEntry, ...] = ()
        era = 0
        try:
            await store.commit(transaction)
        except ConflictError as error:
            result, delay_s = str(error), RETRY_DELAY_S
            known, era = error.entries, error.era
        except StoreUnavailableError as error:
            # It may have been written; writing it again does no harm.
            result, delay_s = str(error), RETRY_DELAY_S
        self._next_write_at[(rollout.service, rollout.record_revision)] = (
            loop_time() + delay_s
        )
        self._telemetry.log_state_change(
            'rollout_decided',
            service=record.service,
            target=record.target,
            phase=record.phase,
            rule=record.reason,
            result=result,
            order_revision=record.order_revision,
            age_s=round(rollout.age_s(loop_time()), 3),
        )
        if known:
            # Another node has written, which the watch may bring later.
            follower.take_entries(known, era)


def _is_on_trial(rollout: ServiceRollout) -> bool:
    """Return whether a verdict on the target can still be other than late."""
    order = rollout.order
    if order is None or rollout.phase is not Phase.serving:
        return False
    return rollout.age_s(loop_time()) < order.period_s
