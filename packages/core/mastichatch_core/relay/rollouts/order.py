"""Decides which phase a roll-out is in, and which phase comes next.

Load pattern: one order at a time for a service, and several hosts that may
decide on it at once. Each builds the next record from the latest one that it
knows, and writes it on condition that neither the record nor the order has
changed; so that hosts cannot disagree, and a phase never goes back.
"""

import dataclasses
from collections.abc import Iterable
from typing import Final, TypeAlias

from mastichatch_core.generated.records import RolloutPhase, RolloutRecord
from mastichatch_core.relay.rollouts.verdict import Decision, Verdict

Phase: TypeAlias = RolloutPhase

# Most versions that a record lists as closed; the oldest go first.
MAX_CLOSED: Final = 32

_NEXT_PHASES: Final = {
    (Phase.serving, Decision.complete): Phase.completing,
    (Phase.serving, Decision.revert): Phase.reverted,
    (Phase.completing, Decision.revert): Phase.reverted,
}


# How far a roll-out has come.
_PROGRESS: Final = {
    Phase.serving: 0,
    Phase.completing: 1,
    Phase.completed: 2,
    Phase.reverted: 2,
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RolloutOrder:
    """An operator's order to move a service's traffic to a version.

    :param service: name of the service
    :param target: version that is to get the traffic
    :param period_s: time from the order to its deadline, in seconds
    :param revision: revision of the order's key in the platform's store
    """

    service: str
    target: str
    period_s: float
    revision: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RolloutView:
    """What a host knows of the roll-outs of one service.

    :param order: the order that the platform's store has, if any
    :param record: the record that the platform's store has, if any
    """

    order: RolloutOrder | None = None
    record: RolloutRecord | None = None

    @property
    def is_current(self) -> bool:
        """Whether the record is of the order."""
        return (
            self.order is not None
            and self.record is not None
            and self.record.order_revision == self.order.revision
        )


def current_phase(view: RolloutView) -> Phase | None:
    """Return the phase of the roll-out that was ordered.

    :param view: what the host knows of the service
    :returns: the phase; ``None`` if there is no order, or no record of it yet
    """
    if view.record is None or not view.is_current:
        return None
    return view.record.phase


def is_open(view: RolloutView) -> bool:
    """Return whether a decision on an order is still due.

    :param view: what the host knows of the service
    """
    if view.order is None:
        return False
    return current_phase(view) in {None, Phase.serving, Phase.completing}


def changes_status(record: RolloutRecord) -> bool:
    """Return whether a record changes the status that operators read.

    They are told of no phase between serving and completed.

    :param record: a record that is about to be written
    """
    return record.phase is not Phase.completing


def next_record(
    view: RolloutView,
    verdict: Verdict | None,
    known_versions: Iterable[str],
    *,
    node: str,
    may_finish: bool = False,
) -> RolloutRecord | None:
    """Return the record that is to be written, if any.

    :param view: what the host knows of the service
    :param verdict: judgement on the evidence; ``None`` if there is none yet
    :param known_versions: versions of the endpoints that are registered
    :param node: name of this host
    :param may_finish: whether previous versions can be ended now, as
        :func:`mastichatch_core.relay.rollouts.verdict.may_finish` tells
    """
    order, record = view.order, view.record
    if order is None:
        return None
    if record is None or record.order_revision < order.revision:
        return _first_record(order, record, known_versions, node)
    if verdict is None or not view.is_current:
        return None
    phase = _NEXT_PHASES.get((record.phase, verdict.decision))
    if _completes(record, verdict) and may_finish:
        phase = Phase.completed
    if phase is None:
        return None
    return dataclasses.replace(
        record, phase=phase, reason=verdict.summary, decided_by=node
    )


def is_written_again(
    known: RolloutOrder | None, found: RolloutOrder | None
) -> bool:
    """Return whether an order of a restored store is one that is known.

    The operator writes again what the store lost, at another revision.

    :param known: order that was known before
    :param found: order that the store has now
    """
    if known is None or found is None:
        return False
    return dataclasses.replace(known, revision=found.revision) == found


def restored_view(known: RolloutView, found: RolloutView) -> RolloutView:
    """Return the view of a store that came back from an older copy.

    A phase that was known does not go back: its record is of the order that was
    written again, and is to be written again too.

    :param known: view before the store was restored
    :param found: what the store has now
    """
    order, record = found.order, known.record
    if order is None or record is None or not known.is_current:
        return _without_lost_order(found)
    if not is_written_again(known.order, order):
        return _without_lost_order(found)
    phase = current_phase(found)
    if phase is not None and _PROGRESS[phase] >= _PROGRESS[record.phase]:
        return found
    return dataclasses.replace(
        found, record=dataclasses.replace(record, order_revision=order.revision)
    )


def _without_lost_order(view: RolloutView) -> RolloutView:
    """Return a view whose record is of no order if the store lost that."""
    order, record = view.order, view.record
    if order is None or record is None:
        return view
    if record.order_revision <= order.revision:
        return view
    return dataclasses.replace(
        view, record=dataclasses.replace(record, order_revision=0)
    )


def closed_versions(record: RolloutRecord | None) -> tuple[str, ...]:
    """Return the versions that get nothing after a record, oldest first.

    The target of a roll-out that ended without a decision, because its order
    was replaced or removed, is unproven, and is closed.

    :param record: the latest record, if any
    """
    if record is None:
        return ()
    if record.phase in {Phase.serving, Phase.reverted}:
        return (*record.closed, record.target)
    if record.phase is Phase.completed:
        return (*record.closed, *record.previous)
    return record.closed


def _completes(record: RolloutRecord, verdict: Verdict) -> bool:
    return (
        record.phase is Phase.completing
        and verdict.decision is Decision.complete
    )


def _first_record(
    order: RolloutOrder,
    earlier: RolloutRecord | None,
    known_versions: Iterable[str],
    node: str,
) -> RolloutRecord:
    closed = dict.fromkeys(closed_versions(earlier))
    closed.pop(order.target, None)
    previous = set(known_versions) - set(closed) - {order.target}
    return RolloutRecord(
        service=order.service,
        target=order.target,
        order_revision=order.revision,
        phase=Phase.serving,
        previous=tuple(sorted(previous)),
        closed=tuple(closed)[-MAX_CLOSED:],
        reason='order recorded',
        decided_by=node,
    )
