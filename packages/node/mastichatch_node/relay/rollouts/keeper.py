"""Keeps what a node knows of roll-outs, and tells which versions are open.

Load pattern: each request, move and copy of a service while an operator's
order or the record of a roll-out of it exists. Without one, nothing is looked
up but an empty mapping.
"""

import dataclasses
import random
from collections.abc import Callable, Collection
from typing import Final

from mastichatch_core.generated.messages import ViewEntry
from mastichatch_core.generated.records import RolloutRecord
from mastichatch_core.relay.model import Endpoint, MalformedError
from mastichatch_core.relay.rollouts.evidence import (
    RolloutCounts,
    RolloutEvidence,
)
from mastichatch_core.relay.rollouts.exposure import (
    ExposureAllowance,
    start_tokens,
)
from mastichatch_core.relay.rollouts.order import (
    Phase,
    RolloutOrder,
    RolloutView,
    is_written_again,
    restored_view,
)
from mastichatch_core.relay.rollouts.versions import (
    Access,
    endpoint_access,
    may_continue_at,
    trial_endpoints,
)
from mastichatch_core.relay.store_cache import Decoders, StoreCache
from mastichatch_core.relay.store_entries import Loss
from mastichatch_node import codec
from mastichatch_node.clock import loop_time
from mastichatch_node.relay.rollouts.lost_orders import LostOrders
from mastichatch_node.relay.rollouts.observing import RolloutObserver
from mastichatch_node.relay.rollouts.state import (
    OpenEndpoints,
    RolloutOptions,
    ServiceRollout,
)
from mastichatch_node.relay.store_following import boottime_clock
from mastichatch_node.relay.telemetry import Telemetry

RECORD_PREFIX: Final = 'mastichatch/rollouts/'


class RolloutKeeper:
    """Follows the roll-outs of all services, as the store has them."""

    def __init__(
        self,
        options: RolloutOptions,
        cache: StoreCache,
        telemetry: Telemetry,
        data_centre: str,
        count_nodes: Callable[[], int],
    ) -> None:
        """Start without roll-outs.

        :param options: settings of the node
        :param cache: local view of the platform's store
        :param telemetry: event log and metrics
        :param data_centre: data centre of this node
        :param count_nodes: returns the number of registered nodes
        """
        self._options = options
        self._cache = cache
        self._telemetry = telemetry
        self._count_nodes = count_nodes
        self._rollouts: dict[str, ServiceRollout] = {}
        self._lost = LostOrders()
        self._was_filled = False
        self._observer = RolloutObserver(self.find, telemetry, data_centre)

    @property
    def observer(self) -> RolloutObserver:
        """Records what the attempts of this node tell of versions."""
        return self._observer

    @property
    def is_followed(self) -> bool:
        """Whether this node follows roll-outs at all."""
        return self._options.share > 0

    def open_rollouts(self) -> tuple[ServiceRollout, ...]:
        """Return the roll-outs of which a record is still to be written."""
        return tuple(
            one for one in self._rollouts.values() if one.is_open or one.is_lost
        )

    def find(self, service: str) -> ServiceRollout | None:
        """Return what is known of a service's roll-outs, if there are any.

        :param service: name of the service
        """
        return self._rollouts.get(service)

    def read_changes(
        self, changed: Collection[str], decoders: Decoders
    ) -> None:
        """Take in the orders and records that changed in the store.

        :param changed: keys that changed
        :param decoders: key layout and decoders of the store
        """
        if not self.is_followed:
            return
        for prefix in (decoders.rollout_prefix, RECORD_PREFIX):
            for key in changed:
                if key.startswith(prefix):
                    self._refresh(key.removeprefix(prefix), decoders)
        self._was_filled = True

    def split(
        self,
        service: str,
        endpoints: tuple[Endpoint, ...],
        is_healthy: Callable[[Endpoint], bool] | None = None,
    ) -> OpenEndpoints:
        """Return which endpoints of a service may get new requests.

        :param service: name of the service
        :param endpoints: endpoints of the service that could be used
        :param is_healthy: tells which of them a trial is worth it on; one that
            refuses connections would keep it from the others
        """
        rollout = self._rollouts.get(service)
        if rollout is None:
            return OpenEndpoints(free=endpoints)
        by_access: dict[Access, list[Endpoint]] = {one: [] for one in Access}
        for endpoint in endpoints:
            access = endpoint_access(rollout.view, endpoint.version)
            by_access[access].append(endpoint)
        tried = by_access[Access.trial]
        names: frozenset[str] = frozenset()
        if tried and self._may_expose(rollout):
            names = trial_endpoints(
                rollout.view,
                filter(is_healthy, tried),
                self._options.share,
                rollout.progress(loop_time()),
            )
        return OpenEndpoints(
            free=tuple(by_access[Access.free]),
            trial=tuple(one for one in tried if one.instance in names),
        )

    def record_request(self, service: str) -> None:
        """Count a new request that is sent to an endpoint of a service.

        :param service: name of the service
        """
        rollout = self._rollouts.get(service)
        if rollout is not None and rollout.is_open:
            rollout.allowance.record_request(rollout.progress(loop_time()))

    def try_expose(self, service: str) -> bool:
        """Take the allowance for one request to a version on trial.

        :param service: name of the service
        :returns: whether there was any
        """
        rollout = self._rollouts.get(service)
        return (
            rollout is not None
            and self._may_expose(rollout)
            and rollout.allowance.try_expose()
        )

    def cancel_exposure(self, service: str) -> None:
        """Give back the allowance of a request that got no endpoint.

        :param service: name of the service
        """
        rollout = self._rollouts.get(service)
        if rollout is not None:
            rollout.allowance.return_exposure()

    def return_exposure(self, endpoint: Endpoint) -> None:
        """Give back the allowance of a request that was proven not to be sent.

        :param endpoint: endpoint of the attempt, of any version
        """
        if self.is_on_trial(endpoint):
            self.cancel_exposure(endpoint.service)

    def record_resumption(self, endpoint: Endpoint) -> None:
        """Count a run that goes on at an endpoint.

        :param endpoint: the endpoint
        """
        if self.is_on_trial(endpoint):
            self._rollouts[endpoint.service].allowance.record_exposure()

    def is_on_trial(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint runs a version that is not proven yet.

        :param endpoint: the endpoint
        """
        rollout = self._rollouts.get(endpoint.service)
        return (
            rollout is not None
            and rollout.is_open
            and rollout.is_target(endpoint)
        )

    def may_continue(self, source: Endpoint, destination: Endpoint) -> bool:
        """Return whether a run of one endpoint may go on at another one.

        That it goes on at a version on trial takes from the allowance, like a
        new request.

        :param source: endpoint that runs or ran the request
        :param destination: endpoint that would go on
        """
        rollout = self._rollouts.get(source.service)
        if rollout is None:
            return True
        access = endpoint_access(rollout.view, destination.version)
        if access is Access.trial and (
            not self._may_expose(rollout) or rollout.allowance.tokens < 1
        ):
            return False
        return may_continue_at(rollout.view, source, destination)

    def group_by_version(
        self, service: str, endpoints: tuple[Endpoint, ...]
    ) -> tuple[tuple[Endpoint, ...], ...]:
        """Return the endpoints of a service, apart where versions matter.

        :param service: name of the service
        :param endpoints: endpoints of the service
        """
        if service not in self._rollouts:
            return (endpoints,)
        versions = sorted({one.version for one in endpoints})
        return tuple(
            tuple(one for one in endpoints if one.version == version)
            for version in versions
        )

    def must_leave(self, endpoint: Endpoint) -> bool:
        """Return whether the runs of an endpoint are to leave it.

        :param endpoint: the endpoint
        """
        rollout = self._rollouts.get(endpoint.service)
        return (
            rollout is not None
            and rollout.phase in _LEAVING_PHASES
            and endpoint_access(rollout.view, endpoint.version) is Access.closed
        )

    def _may_expose(self, rollout: ServiceRollout) -> bool:
        order = rollout.order
        if order is None or rollout.phase is not Phase.serving:
            return False
        if rollout.is_vetoed or rollout.age_s(loop_time()) >= order.period_s:
            return False
        return self._cache.age(boottime_clock()) <= self._options.view_limit_s

    def _refresh(self, service: str, decoders: Decoders) -> None:
        order_entry = self._cache.entry(decoders.rollout_prefix + service)
        record_entry = self._cache.entry(RECORD_PREFIX + service)
        view = RolloutView(
            order=_decode_order(order_entry, decoders),
            record=_decode_record(record_entry, decoders),
        )
        former = self._lost.take(service, view.order)
        former = former or self._rollouts.get(service)
        found, is_repeated = view, False
        if former is not None and former.era != self._cache.era:
            self._lost.keep(former, view.order)
            view = restored_view(former.view, found)
            is_repeated = is_written_again(former.order, view.order)
        if view.order is None and view.record is None:
            self._rollouts.pop(service, None)
            self._telemetry.show_rollout_phase(service, None)
            return
        if former is not None and is_repeated:
            former = _continue_order(former, view)
        elif former is None or former.order != view.order:
            self._observer.forget()
            former = self._begin(service, view, former)
        record_revision = _stored_revision(self._cache, record_entry)
        is_order_lost = not _stored_revision(self._cache, order_entry)
        is_lost = _is_record_lost(view, found, record_revision)
        rollout = dataclasses.replace(
            former,
            view=view,
            order_entry=order_entry,
            record_revision=record_revision,
            era=former.era if is_order_lost or is_lost else self._cache.era,
            is_lost=is_lost and not is_order_lost,
        )
        self._telemetry.show_rollout_phase(service, rollout.phase)
        if rollout.phase is not former.phase:
            rollout.phase_at = loop_time()
            self._log_phase(rollout)
        self._rollouts[service] = rollout

    def _begin(
        self, service: str, view: RolloutView, former: ServiceRollout | None
    ) -> ServiceRollout:
        """Return the state with which a new order starts."""
        now = loop_time()
        order = view.order
        target = '' if order is None else order.target
        revision = 0 if order is None else order.revision
        allowance = ExposureAllowance(
            self._options.share,
            start_tokens(
                self._options.slack,
                self._count_nodes(),
                random.random(),  # noqa: S311
                is_order_new=self._was_filled,
            ),
        )
        if (
            former is not None
            and former.order is not None
            and former.order.target == target
        ):
            # A repeated order brings no further slack.
            allowance = former.allowance
        return ServiceRollout(
            service=service,
            view=RolloutView(order=order),
            order_entry=None,
            record_revision=0,
            seen_at=now,
            phase_at=now,
            allowance=allowance,
            counts=RolloutCounts(
                target, 0 if order is None else order.period_s
            ),
            evidence=RolloutEvidence(service, revision),
            era=self._cache.era,
        )

    def _log_phase(self, rollout: ServiceRollout) -> None:
        record, phase = rollout.view.record, rollout.phase
        if record is None or phase is None:
            return
        self._telemetry.log_state_change(
            f'rollout_{_PHASE_EVENTS[phase]}',
            service=rollout.service,
            target=record.target,
            previous=record.previous,
            reason=record.reason,
            decided_by=record.decided_by,
            order_revision=record.order_revision,
            age_s=round(loop_time() - rollout.seen_at, 3),
        )


_LEAVING_PHASES: Final = frozenset(
    (Phase.completing, Phase.completed, Phase.reverted)
)
_PHASE_EVENTS: Final = {
    Phase.serving: 'started',
    Phase.completing: 'completing',
    Phase.completed: 'completed',
    Phase.reverted: 'reverted',
}


def _stored_revision(cache: StoreCache, entry: ViewEntry | None) -> int:
    """Return the revision of an entry; zero if the store does not have it."""
    if entry is None:
        return 0
    lost = cache.entries_under(entry.key, lost=Loss.writing)
    return 0 if entry.key in lost else entry.revision


def _is_record_lost(
    view: RolloutView, found: RolloutView, record_revision: int
) -> bool:
    """Return whether the store lacks the record that a node knows."""
    is_same = view.record is found.record and record_revision > 0
    return view.is_current and not is_same


def _continue_order(
    former: ServiceRollout, view: RolloutView
) -> ServiceRollout:
    """Return the state of an order that was written again."""
    if view.order is None or view.order == former.order:
        return former
    return dataclasses.replace(
        former,
        view=view,
        evidence=RolloutEvidence(former.service, view.order.revision),
    )


def _decode_order(
    entry: ViewEntry | None, decoders: Decoders
) -> RolloutOrder | None:
    """Return an order; ``None`` without one, or if it is malformed."""
    if entry is None:
        return None
    try:
        return decoders.rollout_order(entry)
    except MalformedError as error:
        decoders.on_malformed(entry.key, str(error))
    except Exception as error:
        # Another writer may have made an entry of an unforeseen kind.
        decoders.on_malformed(entry.key, repr(error))
    return None


def _decode_record(
    entry: ViewEntry | None, decoders: Decoders
) -> RolloutRecord | None:
    """Return a record; ``None`` without one, or if it is malformed."""
    if entry is None or entry.value is None:
        return None
    try:
        return codec.decode_json(entry.value, RolloutRecord)
    except codec.DecodeError as error:
        decoders.on_malformed(entry.key, str(error))
        return None
