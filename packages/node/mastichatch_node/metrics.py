"""Sends metrics to a statsd server; docs/METRICS.md lists their names."""

from typing import Final

import statsd

METRIC_PREFIX: Final = 'mastichatch'


class Metrics:
    """Counts, times and gauges of one node.

    :param client: statsd client; ``None`` sends nothing
    """

    def __init__(self, client: statsd.StatsClient | None) -> None:
        """Keep the client."""
        self._client = client

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter.

        :param name: name of the counter
        :param amount: what is added
        """
        if self._client is not None:
            self._client.incr(name, amount)

    def timing(self, name: str, value_ms: float) -> None:
        """Send one measured time.

        :param name: name of the timer
        :param value_ms: the time in milliseconds
        """
        if self._client is not None:
            self._client.timing(name, value_ms)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge.

        :param name: name of the gauge
        :param value: the value that it now has
        """
        if self._client is not None:
            self._client.gauge(name, value)


def create_metrics(address: str) -> Metrics:
    """Return the metrics of this node.

    A statsd server that is away costs nothing: datagrams are not answered.

    :param address: ``IP:PORT`` of the statsd server; empty sends nothing
    """
    if not address:
        return Metrics(None)
    host, _, port = address.rpartition(':')
    client = statsd.StatsClient(host, int(port), prefix=METRIC_PREFIX)
    return Metrics(client)
