"""Metrics of where and when generations are placed on engines."""

import statistics
from collections.abc import Collection
from typing import Final

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

# Bounds of the error of a forecast: positive if a request was placed earlier
# than forecast.
FORECAST_ERROR_BUCKETS_S: Final = (
    -4,
    -2,
    -1,
    -0.5,
    -0.2,
    -0.05,
    0.05,
    0.2,
    0.5,
    1,
    2,
    4,
)


class PlacementMetrics:
    """Metrics of the choice of engines by one node."""

    def __init__(self, registry: CollectorRegistry) -> None:
        """Create the metrics, whose names OPERATIONS.md lists.

        :param registry: metrics of the node
        """
        self._placements = Counter(
            'mastichatch_relay_placements',
            'Generations placed on engines, by where: home or remote.',
            ('where',),
            registry=registry,
        )
        self._remote_share = Gauge(
            'mastichatch_relay_remote_share',
            'Share of new requests that may leave to another data centre.',
            ('service', 'data_centre'),
            registry=registry,
        )
        self._speeds = Gauge(
            'mastichatch_relay_engine_speed',
            'Measured speed of engines relative to their specification.',
            ('engine',),
            registry=registry,
        )

        self._forecast_error = Histogram(
            'mastichatch_relay_forecast_error_seconds',
            'Forecast time of the placement of a queued generation, minus the '
            'real time.',
            buckets=FORECAST_ERROR_BUCKETS_S,
            registry=registry,
        )

    def observe_forecast_error(self, error_s: float) -> None:
        """Record by how much the forecast of a queued generation was wrong.

        :param error_s: forecast minus real time of its placement, in seconds
        """
        self._forecast_error.observe(error_s)

    def update_speeds(self, speeds: Collection[float]) -> None:
        """Set the speeds of the slowest, the median and the fastest engine.

        :param speeds: measured speeds, relative to the specification
        """
        if speeds:
            self._speeds.labels('slowest').set(min(speeds))
            self._speeds.labels('median').set(statistics.median(speeds))
            self._speeds.labels('fastest').set(max(speeds))

    def count_placement(self, *, is_remote: bool) -> None:
        """Count a generation that is placed on an engine.

        :param is_remote: whether the engine is in another data centre
        """
        self._placements.labels('remote' if is_remote else 'home').inc()

    def update_remote_share(
        self, service: str, data_centre: str, share: float
    ) -> None:
        """Set the share of new requests that may leave to a data centre.

        :param service: name of the service
        :param data_centre: the other data centre
        :param share: the share, from zero to one
        """
        self._remote_share.labels(service, data_centre).set(share)
