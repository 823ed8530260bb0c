"""Tells the services whose servers are brittle.

Load pattern: brittle servers fall over and start again, and a new process says
nothing until its first answer. By then it may have got more requests than it
bears. While a server of a service is brittle, and for some time after the last
one is gone, all servers of the service count as brittle.
"""

import math
from collections.abc import Collection, Mapping
from typing import Final

# Time for which a service counts as brittle after its brittle servers are gone
# from the store. They are back after some seconds.
GONE_KEPT_S: Final = 10.0


class BrittleServices:
    """The services with brittle servers."""

    def __init__(self) -> None:
        """Start without such services."""
        self._rejections: dict[str, float] = {}
        # Time until which a service counts as brittle.
        self._until: dict[str, float] = {}

    def update(
        self, named: Mapping[str, float], ended: Collection[str], now: float
    ) -> None:
        """Set the services with brittle servers.

        :param named: fewest rejections a second that the brittle servers of a
            service bear, by its name
        :param ended: services of which a server has ceased to be brittle
        :param now: time in seconds
        """
        for service in tuple(self._until):
            if service in named:
                continue
            if service in ended or now >= self._until[service]:
                self._until.pop(service)
                self._rejections.pop(service)
            elif math.isinf(self._until[service]):
                self._until[service] = now + GONE_KEPT_S
        for service, rejections in named.items():
            self._until[service] = math.inf
            self._rejections[service] = rejections

    def is_brittle(self, service: str, now: float) -> bool:
        """Return whether a service counts as brittle.

        :param service: name of the service
        :param now: time in seconds
        """
        until = self._until.get(service)
        return until is not None and now < until

    def rejections(self, service: str, now: float) -> float:
        """Return how many requests a server may reject in a second.

        :param service: name of the service
        :param now: time in seconds
        :returns: infinity unless the service counts as brittle
        """
        if not self.is_brittle(service, now):
            return math.inf
        return self._rejections[service]
