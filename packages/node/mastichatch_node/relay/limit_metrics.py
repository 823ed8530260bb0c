"""Metrics of the limits that endpoints name."""

from collections.abc import Mapping
from enum import StrEnum

from prometheus_client import CollectorRegistry, Counter, Gauge


class TurnOutcome(StrEnum):
    """What became of a request for a turn.

    ``charged`` stands for a request that was sent without a turn.
    """

    granted = 'granted'
    denied = 'denied'
    unanswered = 'unanswered'
    charged = 'charged'


class LimitMetrics:
    """Metrics of the limits that endpoints name, as one node knows them."""

    def __init__(self, registry: CollectorRegistry) -> None:
        """Create the metrics, whose names OPERATIONS.md lists.

        :param registry: metrics of the node
        """
        self._limits = Gauge(
            'mastichatch_relay_endpoint_limit',
            'Requests a second that an endpoint takes from all nodes.',
            ('endpoint',),
            registry=registry,
        )
        self._turns = Counter(
            'mastichatch_relay_turns',
            'Turns at endpoints with a limit, by outcome.',
            ('outcome',),
            registry=registry,
        )
        self._kept_back = Counter(
            'mastichatch_relay_limit_refusals',
            'Requests refused since all endpoints had reached their limits.',
            registry=registry,
        )

    def show_limits(self, limits: Mapping[str, float]) -> None:
        """Show the limits in force.

        :param limits: requests a second, by endpoint
        """
        self._limits.clear()
        for instance, per_s in limits.items():
            self._limits.labels(instance).set(per_s)

    def count_turn(self, outcome: TurnOutcome) -> None:
        """Count a request for a turn.

        :param outcome: what became of it
        """
        self._turns.labels(outcome).inc()

    def count_refusal(self) -> None:
        """Count a request that was refused."""
        self._kept_back.inc()
