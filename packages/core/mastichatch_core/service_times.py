"""Since when each endpoint of a data centre has taken new work.

A node keeps this beside its schedulers, so that one which it opens later knows
which endpoints returned to service long ago and need no ramp any more.
"""

from collections.abc import Set as AbstractSet

from mastichatch_core.catalogue import Catalogue
from mastichatch_core.generated.manifest import Endpoint


def takes_work(
    endpoint: Endpoint, catalogue: Catalogue, leaving: AbstractSet[str]
) -> bool:
    """Return whether an endpoint takes new work.

    :param endpoint: the manifest's entry
    :param catalogue: configuration in force
    :param leaving: names of the hosts that the host list calls leaving
    """
    return endpoint.host not in leaving and not catalogue.is_drained(endpoint)


class ServiceTimes:
    """When each endpoint last came into service, as this node saw it.

    What is in service when it is first seen may have returned just before, so
    its time starts then.
    """

    def __init__(self, data_centre: str) -> None:
        """Start with no endpoint seen.

        :param data_centre: name of the data centre
        """
        self._data_centre = data_centre
        self._since: dict[str, float] = {}

    def update(
        self, catalogue: Catalogue, leaving: AbstractSet[str], now: float
    ) -> None:
        """Note which endpoints are in service now.

        :param catalogue: configuration in force
        :param leaving: names of the hosts that the host list calls leaving
        :param now: time in seconds
        """
        self._since = {
            endpoint.name: self._since.get(endpoint.name, now)
            for endpoint in catalogue.endpoints.values()
            if endpoint.data_centre == self._data_centre
            and takes_work(endpoint, catalogue, leaving)
        }

    def since(self, endpoint: str) -> float | None:
        """Return when an endpoint last came into service.

        :param endpoint: name of the endpoint
        :returns: a time in seconds; ``None`` while it is out of service
        """
        return self._since.get(endpoint)
