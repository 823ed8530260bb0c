"""Track since when each endpoint of a data centre has accepted new work.

A node keeps these times outside its schedulers. A scheduler that it opens later
then knows which endpoints returned to service long ago and no longer need a
ramped limit.
"""

from collections.abc import Set as AbstractSet

from mastichatch_core.catalogue import Catalogue
from mastichatch_core.generated.manifest import Endpoint


def takes_work(
    endpoint: Endpoint, catalogue: Catalogue, leaving: AbstractSet[str]
) -> bool:
    """Return whether an endpoint accepts new work.

    :param endpoint: the endpoint's manifest entry
    :param catalogue: current configuration
    :param leaving: names of the hosts that the host list marks as leaving
    """
    return endpoint.host not in leaving and not catalogue.is_drained(endpoint)


class ServiceTimes:
    """Times at which this node saw each endpoint come into service.

    An endpoint that is in service when it is first seen may have returned just
    before, so its time starts at that moment.
    """

    def __init__(self, data_centre: str) -> None:
        """Start without endpoints.

        :param data_centre: name of the data centre
        """
        self._data_centre = data_centre
        self._since: dict[str, float] = {}

    def update(
        self, catalogue: Catalogue, leaving: AbstractSet[str], now: float
    ) -> None:
        """Update which endpoints are in service.

        :param catalogue: current configuration
        :param leaving: names of the hosts that the host list marks as leaving
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
