"""What it costs to place a request on an engine, by what was measured."""

import dataclasses
import math
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, Final

from mastichatch_core import rendezvous

# Cost of an engine in another data centre, equal to two and a half runs. A
# stream between data centres stalls when they are partitioned. The preference
# is limited because only five or six runs can leave a local engine in the time
# between the notice of its removal and the removal.
REMOTE_COST_TOKENS: Final = 150.0
# Speed of an engine that processes what its specification says.
NOMINAL_SPEED: Final = 1.0
# Factor of the reluctance of a request outside the share that may leave. With
# it, a long generation rather waits for the prefill of one prompt at home.
HELD_FACTOR: Final = 3.0
# Share of an engine's memory that requests of other data centres may fill,
# where nothing limits them.
UNLIMITED_MEMORY_SHARE: Final = math.inf


def empty_mapping() -> Mapping[str, Any]:
    """Return a mapping without entries that nobody can change."""
    return MappingProxyType({})


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reluctance:
    """Why a request prefers its own data centre to another one.

    Reluctance orders the engines. It delays nothing, so it does not count
    against the objective of a request.

    :param request_tokens: cost of any request, in prompt tokens
    :param output_cost: cost of each expected output token, in prompt tokens
    :param first_draw: lower end of the requests that may leave, as drawn by
        their ids from zero to one
    :param last_draw: upper end, not included
    """

    request_tokens: float = 0
    output_cost: float = 0
    first_draw: float = 0
    last_draw: float = 1

    def least_tokens(self, output_tokens: float) -> float:
        """Return the reluctance of a request that may leave, in prompt tokens.

        :param output_tokens: output that is still expected, in tokens
        """
        return self.request_tokens + self.output_cost * output_tokens

    def tokens(self, output_tokens: float, draw: float) -> float:
        """Return the reluctance of a request, in prompt tokens.

        :param output_tokens: output that is still expected, in tokens
        :param draw: number from zero to one, drawn by the request's id
        """
        cost = self.least_tokens(output_tokens)
        may_leave = self.first_draw <= draw < self.last_draw
        return cost if may_leave else cost * HELD_FACTOR


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlacementCosts:
    """Measurements that the choice of an engine depends on.

    :param speeds: speed of engines by instance, relative to their
        specification; engines that are not named have the nominal speed
    :param remote_tokens: cost of a data centre other than the request's own, in
        prompt tokens, by its name
    :param data_centre: data centre that the costs are measured in; empty if
        they are not measured
    :param reluctance: what else speaks against another data centre, by its name
    :param remote_memory_share: share of an engine's memory that requests of
        other data centres may fill; zero if none may leave
    """

    speeds: Mapping[str, float] = dataclasses.field(
        default_factory=empty_mapping
    )
    remote_tokens: Mapping[str, float] = dataclasses.field(
        default_factory=empty_mapping
    )
    data_centre: str = ''
    reluctance: Mapping[str, Reluctance] = dataclasses.field(
        default_factory=empty_mapping
    )
    remote_memory_share: float = UNLIMITED_MEMORY_SHARE

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

    def reluctance_tokens(
        self, request_id: str, home: str, output_tokens: float
    ) -> Mapping[str, float]:
        """Return a request's reluctance by data centre, in prompt tokens.

        All nodes of a data centre draw the same number for a request. A request
        that waits elsewhere is taken to leave as willingly for any data centre
        as one of this data centre would leave for that one.

        :param request_id: id of the request
        :param home: data centre that received the request
        :param output_tokens: output that is still expected, in tokens
        """
        if not self.reluctance:
            return empty_mapping()
        there = self.reluctance.get(home)
        if there is not None:
            tokens = there.least_tokens(output_tokens)
            others = {self.data_centre, *self.reluctance} - {home}
            return dict.fromkeys(others, tokens)
        draw = rendezvous.unit_weight(request_id, 'leaving')
        return {
            name: one.tokens(output_tokens, draw)
            for name, one in self.reluctance.items()
        }


NOMINAL_COSTS: Final = PlacementCosts()
