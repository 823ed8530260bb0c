"""Metrics of requests that nodes pass on to each other."""

import contextlib
from collections.abc import Iterator

from prometheus_client import CollectorRegistry, Counter, Gauge


class ProxyMetrics:
    """Metrics of passed-on requests, as the sending and the receiving node."""

    def __init__(self, registry: CollectorRegistry) -> None:
        """Create the metrics, whose names OPERATIONS.md lists.

        :param registry: metrics of the node
        """
        self._sent = Counter(
            'mastichatch_relay_proxied',
            'Requests passed on to other nodes, by outcome.',
            ('outcome',),
            registry=registry,
        )
        self._refused = Counter(
            'mastichatch_relay_proxied_refusals',
            'Requests of other nodes that were not accepted, by reason.',
            ('reason',),
            registry=registry,
        )
        self._active = Gauge(
            'mastichatch_relay_proxied_active',
            'Requests in progress that were passed on, by direction.',
            ('direction',),
            registry=registry,
        )

    def count_sent(self, outcome: str) -> None:
        """Count a request that was passed on to another node.

        :param outcome: what became of it
        """
        self._sent.labels(outcome).inc()

    def count_refusal(self, reason: str) -> None:
        """Count a request of another node that was not accepted.

        :param reason: why
        """
        self._refused.labels(reason).inc()

    @contextlib.contextmanager
    def in_progress(self, direction: str) -> Iterator[None]:
        """Count a request as in progress during the block.

        :param direction: ``out`` to another node, ``in`` from one
        """
        gauge = self._active.labels(direction)
        with gauge.track_inprogress():
            yield
