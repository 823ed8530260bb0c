"""Metrics of this node's way to the endpoints."""

from enum import StrEnum

from prometheus_client import CollectorRegistry, Counter, Gauge


class ContactState(StrEnum):
    """Whether this node reaches endpoints; ``isolated`` if only peers do."""

    cut_off = 'cut_off'
    isolated = 'isolated'


class IsolationMetrics:
    """Metrics of whether one node reaches endpoints."""

    def __init__(self, registry: CollectorRegistry) -> None:
        """Create the metrics, whose names OPERATIONS.md lists.

        :param registry: metrics of the node
        """
        self._state = Gauge(
            'mastichatch_relay_endpoint_contact_lost',
            'Whether the node is in that state: it reaches no endpoint.',
            ('state',),
            registry=registry,
        )
        self._changes = Counter(
            'mastichatch_relay_endpoint_contact_changes',
            'Times that the node came into that state.',
            ('state',),
            registry=registry,
        )
        self._checks = Counter(
            'mastichatch_relay_endpoint_contact_checks',
            'Checks of whether endpoints are reached, by their results.',
            ('is_reached',),
            registry=registry,
        )
        self._dropped = Counter(
            'mastichatch_relay_evidence_dropped',
            'Failures of endpoints that were not told to other nodes.',
            registry=registry,
        )
        for state in ContactState:
            self._state.labels(state).set(0)

    def record_state(self, state: ContactState, *, is_begun: bool) -> None:
        """Show that a state has begun or ended.

        :param state: the state
        :param is_begun: whether it has begun
        """
        self._state.labels(state).set(int(is_begun))
        if is_begun:
            self._changes.labels(state).inc()

    def count_check(self, *, is_reached: bool) -> None:
        """Count a check.

        :param is_reached: whether an endpoint was reached at once
        """
        self._checks.labels('yes' if is_reached else 'no').inc()

    def count_dropped(self, count: int) -> None:
        """Count failures of endpoints that were not told.

        :param count: number of them
        """
        self._dropped.inc(count)
