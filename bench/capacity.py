"""Works out what the target size takes, from slopes measured here.

The page docs/CAPACITY.md is written from what this prints.
"""

import asyncio
import dataclasses
import sys
from collections.abc import Iterable, Mapping
from typing import Final

from bench.costs import RENEWALS_A_SECOND, measure_costs
from bench.datapath import measure_datapath
from bench.slopes import Slope, write_slopes
from mastichatch_core.renewal import LIST_INTERVAL_S
from mastichatch_core.units import MS_PER_S

US_PER_S: Final = 1_000_000
RESULT_FILE: Final = 'capacity.csv'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Target:
    """The size that the system has to carry.

    :param nodes: entry hosts
    :param servers: model servers
    :param data_centres: data centres
    :param models: models, each with a scheduler in every data centre
    :param workspaces: customers
    :param requests: requests a second
    :param tokens: tokens a second
    :param token_gap_s: time between the tokens of one stream, in seconds
    :param changes: configuration changes a day
    """

    nodes: int = 340
    servers: int = 1500
    data_centres: int = 23
    models: int = 4
    workspaces: int = 39_000
    requests: int = 14_000
    tokens: int = 3_100_000
    token_gap_s: float = 0.036
    changes: int = 4400

    @property
    def streams_a_node(self) -> float:
        """Streams in progress at one node."""
        return self.tokens * self.token_gap_s / self.nodes

    @property
    def requests_a_scheduler(self) -> float:
        """Requests a second at one scheduler."""
        return self.requests / (self.data_centres * self.models)

    @property
    def endpoints_a_scheduler(self) -> float:
        """Endpoints of one scheduler."""
        return self.servers / (self.data_centres * self.models)

    @property
    def nodes_a_data_centre(self) -> float:
        """Nodes that send each other heartbeats."""
        return self.nodes / self.data_centres


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Row:
    """One line of what the target takes.

    :param role: part of a node
    :param figure: the figure
    :param unit: unit of the figure
    """

    role: str
    figure: float
    unit: str


def rows(slopes: Mapping[str, Slope], target: Target) -> Iterable[Row]:
    """Yield what each part of a node takes at the target.

    :param slopes: measured lines by name
    :param target: the size
    """
    tokens = target.tokens / target.nodes
    token_ms = slopes['stream token'].slope
    yield Row(
        role='data path, tokens',
        figure=tokens * token_ms / MS_PER_S,
        unit='cores',
    )
    cycle_us = slopes['scheduler request'].at(target.endpoints_a_scheduler)
    yield Row(
        role='scheduler, requests of one while nothing runs',
        figure=target.requests_a_scheduler * cycle_us / US_PER_S,
        unit='cores',
    )
    held = target.streams_a_node / target.models
    yield Row(
        role='scheduler, all of one at the load of the target',
        figure=slopes['scheduler second'].at(held * target.nodes_a_data_centre)
        / MS_PER_S,
        unit='cores',
    )
    yield Row(
        role='scheduler, renewals of all nodes',
        figure=RENEWALS_A_SECOND
        * target.nodes_a_data_centre
        * slopes['scheduler renewal'].at(held)
        / US_PER_S,
        unit='cores',
    )
    yield Row(
        role='permits, renewals sent',
        figure=target.models
        * RENEWALS_A_SECOND
        * slopes['renewal size'].at(held),
        unit='B/s',
    )
    yield Row(
        role='permits, lists sent',
        figure=target.models
        * slopes['registration size'].at(held)
        / LIST_INTERVAL_S,
        unit='B/s',
    )
    yield Row(
        role='scheduler, memory of one',
        figure=slopes['scheduler memory'].at(held * target.nodes_a_data_centre)
        / MS_PER_S,
        unit='MB',
    )
    yield from _state_rows(slopes, target)


def _state_rows(slopes: Mapping[str, Slope], target: Target) -> Iterable[Row]:
    yield Row(
        role='configuration, memory',
        figure=slopes['catalogue memory'].at(target.workspaces) / MS_PER_S,
        unit='MB',
    )
    yield Row(
        role='configuration, decoding at a start',
        figure=slopes['catalogue decoding'].at(target.workspaces) / US_PER_S,
        unit='s',
    )
    yield Row(
        role='membership, heartbeat size',
        figure=slopes['heartbeat size'].at(target.nodes_a_data_centre),
        unit='B',
    )
    yield Row(
        role='digest, size',
        figure=slopes['digest size'].at(target.models),
        unit='B',
    )
    yield Row(
        role='decision log, memory of 20,000',
        figure=slopes['decision memory'].at(20_000) / MS_PER_S,
        unit='MB',
    )
    yield Row(
        role='tickets, one',
        figure=slopes['ticket'].slope,
        unit='us',
    )
    yield Row(
        role='idle node',
        figure=slopes['idle node'].slope / 10,
        unit='% of a core',
    )


def main() -> int:
    """Measure, print, and write the slopes."""
    slopes = [*measure_costs(), *asyncio.run(measure_datapath())]
    for slope in slopes:
        sys.stdout.write(
            f'{slope.name}: {slope.slope:.4g} {slope.cost_unit} a'
            f' {slope.size_unit}, at zero {slope.intercept:.4g},'
            f' residual {slope.residual:.1%}\n',
        )
    by_name = {line.name: line for line in slopes}
    sys.stdout.write('\nat the target:\n')
    for row in rows(by_name, Target()):
        sys.stdout.write(f'{row.role}: {row.figure:.4g} {row.unit}\n')
    write_slopes(slopes, RESULT_FILE)
    return 0


if __name__ == '__main__':
    sys.exit(main())
