"""Sends metrics to a statsd server; docs/METRICS.md lists their names."""

from typing import Final

import statsd

METRIC_PREFIX: Final = 'mastichatch'


class Metrics:
    """Counters, timers and gauges of one node.

    :param client: statsd client; with ``None``, no metrics are sent
    """

    def __init__(self, client: statsd.StatsClient | None) -> None:
        """Send metrics through the client."""
        self._client = client

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter.

        :param name: name of the counter
        :param amount: value to add
        """
        if self._client is not None:
            self._client.incr(name, amount)

    def timing(self, name: str, value_ms: float) -> None:
        """Record a duration.

        :param name: name of the timer
        :param value_ms: duration in milliseconds
        """
        if self._client is not None:
            self._client.timing(name, value_ms)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge.

        :param name: name of the gauge
        :param value: new value of the gauge
        """
        if self._client is not None:
            self._client.gauge(name, value)


def create_metrics(address: str) -> Metrics:
    """Return the metrics of this node.

    An unavailable statsd server delays no caller, since UDP datagrams need no
    answer.

    :param address: ``IP:PORT`` of the statsd server; if empty, no metrics are
        sent
    """
    if not address:
        return Metrics(None)
    host, _, port = address.rpartition(':')
    client = statsd.StatsClient(host, int(port), prefix=METRIC_PREFIX)
    return Metrics(client)
