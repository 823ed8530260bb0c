"""Decides which versions of a service may get which requests.

Load pattern: every new request and every move of a run while a service has an
order or a record of a roll-out. With neither, versions do not matter.
"""

import math
from collections.abc import Iterable
from enum import StrEnum
from typing import Final

from mastichatch_core import rendezvous
from mastichatch_core.relay.model import Endpoint
from mastichatch_core.relay.rollouts.evidence import PARTS
from mastichatch_core.relay.rollouts.order import (
    Phase,
    RolloutView,
    closed_versions,
    current_phase,
)

# Endpoints on trial at a time, as a multiple of the share of requests that they
# get: the starting tokens come on top of the share.
CONCENTRATION: Final = 2


class Access(StrEnum):
    """Which new requests a version may get.

    ``free`` allows all; ``trial`` allows those for which the host's allowance
    has a token, at the endpoints on trial; ``closed`` allows none.
    """

    free = 'free'
    trial = 'trial'
    closed = 'closed'


def endpoint_access(view: RolloutView | None, version: str) -> Access:
    """Return which new requests a version of a service may get.

    The caller adds what it alone knows: a host whose view of the store is old,
    or whose own counts speak against the target, treats trial as closed.

    :param view: what the host knows of the service; ``None`` if it has neither
        an order nor a record
    :param version: version of an endpoint of the service
    """
    if view is None or (view.order is None and view.record is None):
        return Access.free
    if view.is_current:
        return _access_of_phase(view, version)
    order, record = view.order, view.record
    if version in closed_versions(record):
        return Access.closed
    if order is None or order.target != version:
        return Access.free
    # The order is not recorded yet. A version that serves already goes on.
    if record is not None and version in _serving_versions(view):
        return Access.free
    return Access.closed


def may_continue_at(
    view: RolloutView | None, from_endpoint: Endpoint, to_endpoint: Endpoint
) -> bool:
    """Return whether a run of one endpoint may go on at another one.

    This holds for moves, copies, standby copies and resumptions. A run stays
    with its version, except when the roll-out takes that version's traffic
    away and the other one has loaded the same models.

    :param view: what the host knows of the service
    :param from_endpoint: endpoint that runs or ran the request
    :param to_endpoint: endpoint that would go on
    """
    if view is None or (view.order is None and view.record is None):
        return True
    access = endpoint_access(view, to_endpoint.version)
    if access is Access.closed:
        return False
    if from_endpoint.version == to_endpoint.version:
        return True
    is_leaving = endpoint_access(view, from_endpoint.version) is Access.closed
    return (
        is_leaving
        and access is Access.free
        and bool(from_endpoint.weights)
        and from_endpoint.weights == to_endpoint.weights
    )


def trial_endpoints(
    view: RolloutView,
    endpoints: Iterable[Endpoint],
    share: float,
    progress: float = 0,
) -> frozenset[str]:
    """Return the instances of the target that get the requests of the trial.

    Few endpoints at a time are tried, so that they carry about the load that
    each will carry later; and different ones by turns, since one alone may be
    slow or failing for a reason of its own. All hosts that know the same
    endpoints choose the same ones.

    :param view: what the host knows of the service
    :param endpoints: endpoints of the service that could be used
    :param share: share of the service's requests that the trial may get
    :param progress: time since the order, as a share of its period
    """
    if view.order is None:
        return frozenset()
    target = view.order.target
    names = [one.instance for one in endpoints if one.version == target]
    if not names:
        return frozenset()
    key = f'rollout/{view.order.service}/{view.order.revision}'
    ranked = rendezvous.ranked(names, key)
    count = math.ceil(CONCENTRATION * share * len(names))
    first = int(progress * PARTS) * count
    turns = range(first, first + count)
    return frozenset(ranked[turn % len(ranked)] for turn in turns)


def _serving_versions(view: RolloutView) -> frozenset[str]:
    record = view.record
    if record is None:
        return frozenset()
    if record.phase is Phase.completed:
        return frozenset((record.target,))
    if record.phase is Phase.completing:
        return frozenset((record.target, *record.previous))
    return frozenset(record.previous)


def _access_of_phase(view: RolloutView, version: str) -> Access:
    record = view.record
    phase = current_phase(view)
    assert record is not None  # noqa: S101 - the view is current
    if version in record.closed:
        return Access.closed
    if phase is Phase.serving:
        # Without another version there is nothing to keep requests for.
        is_tried = version == record.target and record.previous
        return Access.trial if is_tried else Access.free
    if phase is Phase.reverted:
        return Access.closed if version == record.target else Access.free
    return Access.closed if version in record.previous else Access.free
