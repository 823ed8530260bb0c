"""What it costs to place a request on an engine, by what was measured."""

import dataclasses
from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

# Cost of an engine in another data centre, equal to two and a half runs. A
# stream between data centres stalls when they are partitioned. The preference
# is limited because only five or six runs can leave a local engine in the time
# between the notice of its removal and the removal.
REMOTE_COST_TOKENS: Final = 150.0
# Speed of an engine that processes what its specification says.
NOMINAL_SPEED: Final = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlacementCosts:
    """Measurements that the choice of an engine depends on.

    :param speeds: speed of engines by instance, relative to their
        specification; engines that are not named have the nominal speed
    :param remote_tokens: cost of a data centre other than the request's own, in
        prompt tokens, by its name
    """

    speeds: Mapping[str, float] = dataclasses.field(
        default_factory=lambda: MappingProxyType({})
    )
    remote_tokens: Mapping[str, float] = dataclasses.field(
        default_factory=lambda: MappingProxyType({})
    )

    def speed(self, instance: str) -> float:
        """Return the speed of an engine, relative to its specification.

        :param instance: instance id of the engine
        """
        return self.speeds.get(instance, NOMINAL_SPEED)

    def remote_cost(self, data_centre: str) -> float:
        """Return the cost of another data centre, in prompt tokens.

        :param data_centre: data centre of the engine
        """
        return self.remote_tokens.get(data_centre, REMOTE_COST_TOKENS)


NOMINAL_COSTS: Final = PlacementCosts()
