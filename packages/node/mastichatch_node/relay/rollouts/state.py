"""What a node knows of the roll-outs of its services, and its settings."""

import dataclasses
from typing import Final

from mastichatch_core.generated.messages import ViewEntry
from mastichatch_core.relay.model import Endpoint
from mastichatch_core.relay.rollouts.evidence import (
    RolloutCounts,
    RolloutEvidence,
)
from mastichatch_core.relay.rollouts.exposure import ExposureAllowance
from mastichatch_core.relay.rollouts.order import (
    Phase,
    RolloutOrder,
    RolloutView,
    current_phase,
    is_open,
)
from mastichatch_core.units import MS_PER_S

# A node that has not heard of the store for longer sends nothing to a version
# on trial: the order to revert it may have been missed. The margin is what the
# decision and its spread take.
VIEW_MARGIN_MS: Final = 2000.0
MIN_VIEW_LIMIT_MS: Final = 500.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RolloutOptions:
    """The settings of a node that concern roll-outs.

    :param share: share of a service's requests that a version on trial may
        get; zero if roll-outs are not followed
    :param slack: requests that it may get beyond, from all nodes together
    :param rollback_ms: longest time in which a bad version may still get
        requests, in milliseconds
    """

    share: float = 0
    slack: float = 0
    rollback_ms: float = 5000

    @property
    def view_limit_s(self) -> float:
        """Greatest age of the store view at which requests are exposed."""
        limit_ms = max(MIN_VIEW_LIMIT_MS, self.rollback_ms - VIEW_MARGIN_MS)
        return limit_ms / MS_PER_S


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OpenEndpoints:
    """Endpoints of a service, by the requests that they may get.

    :param free: those that may get all
    :param trial: those that may get what the node's allowance is enough for
    """

    free: tuple[Endpoint, ...]
    trial: tuple[Endpoint, ...] = ()

    @property
    def proven(self) -> tuple[Endpoint, ...]:
        """Endpoints by which to judge what becomes of a request.

        Few requests get to a version on trial, unless there is no other.
        """
        return self.free or self.trial


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WaitingRequest:
    """A request that has no answer yet, while a roll-out is open.

    :param route: name of its route
    :param endpoint: endpoint that it was sent to
    :param since: loop time at which it was sent, in seconds
    """

    route: str
    endpoint: Endpoint
    since: float


@dataclasses.dataclass(slots=True, kw_only=True)
class ServiceRollout:
    """What a node knows of the roll-outs of one service.

    :param service: name of the service
    :param view: order and record, as in the store
    :param order_entry: entry of the store with the order
    :param record_revision: revision of the record's key; zero without one
    :param seen_at: loop time at which the node first saw the order, in seconds
    :param phase_at: loop time at which it first saw the phase, in seconds
    :param allowance: limits requests to the target
    :param counts: what the node's own attempts tell of the versions
    :param evidence: what all nodes have reported to this one
    :param is_vetoed: whether the node's own counts speak against the target
    :param waiting: requests without an answer, by a number
    :param era: era of the store in which the view was read
    :param is_lost: whether the store has lost the record, which is to be
        written again
    """

    service: str
    view: RolloutView
    order_entry: ViewEntry | None
    record_revision: int
    seen_at: float
    phase_at: float
    allowance: ExposureAllowance
    counts: RolloutCounts
    evidence: RolloutEvidence
    is_vetoed: bool = False
    waiting: dict[int, 'WaitingRequest'] = dataclasses.field(
        default_factory=dict
    )
    era: int = 0
    is_lost: bool = False

    @property
    def order(self) -> RolloutOrder | None:
        """The order in the store, if any."""
        return self.view.order

    @property
    def phase(self) -> Phase | None:
        """Phase of the ordered roll-out, once it is recorded."""
        return current_phase(self.view)

    @property
    def is_open(self) -> bool:
        """Whether a decision on the order is still due."""
        return is_open(self.view)

    def is_target(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint runs the version that is rolled out.

        :param endpoint: an endpoint of the service
        """
        return self.order is not None and endpoint.version == self.order.target

    def age_s(self, now: float) -> float:
        """Return the time since any known node first saw the order.

        :param now: time in seconds
        """
        return max(now - self.seen_at, self.evidence.age_s(now))

    def progress(self, now: float) -> float:
        """Return the time since the order, as a share of its period.

        :param now: time in seconds
        """
        return self.age_s(now) / self.order.period_s if self.order else 0
