"""Metrics of brittle endpoints and their slots."""

from collections.abc import Mapping

from prometheus_client import CollectorRegistry, Counter, Gauge


class SlotMetrics:
    """Metrics of brittle endpoints, as one node knows them."""

    def __init__(self, registry: CollectorRegistry) -> None:
        """Create the metrics, whose names OPERATIONS.md lists.

        :param registry: metrics of the node
        """
        self._brittle = Gauge(
            'mastichatch_relay_brittle_endpoint',
            'Rejections a second from which on a brittle endpoint falls over.',
            ('endpoint',),
            registry=registry,
        )
        self._slots = Counter(
            'mastichatch_relay_slots',
            'Requests for slots of brittle endpoints, by answer.',
            ('answer',),
            registry=registry,
        )
        self._returned = Counter(
            'mastichatch_relay_slots_returned',
            'Slots of brittle endpoints that were returned, by outcome.',
            ('outcome',),
            registry=registry,
        )
        self._kept_back = Counter(
            'mastichatch_relay_slot_refusals',
            'Requests refused since no brittle endpoint had a slot in time.',
            registry=registry,
        )

    def show_brittle(self, rejections: Mapping[str, float]) -> None:
        """Show the brittle endpoints.

        :param rejections: rejections a second that they bear, by endpoint
        """
        self._brittle.clear()
        for instance, per_s in rejections.items():
            self._brittle.labels(instance).set(per_s)

    def count_answer(self, answer: str) -> None:
        """Count a request for a slot.

        :param answer: its answer; ``unanswered`` without one
        """
        self._slots.labels(answer).inc()

    def count_returned(self, outcome: str) -> None:
        """Count a slot that was returned.

        :param outcome: what became of its request
        """
        self._returned.labels(outcome).inc()

    def count_refusal(self) -> None:
        """Count a request that was refused."""
        self._kept_back.inc()
