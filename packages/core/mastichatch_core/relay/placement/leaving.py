"""Decides how many requests may leave their data centre, and at what cost.

Load pattern: demand of each data centre rises and falls by half in waves that
are out of phase, and a data centre may have fewer engines than its callers
need. At times one is evacuated or cut off while another serves for two.

Each node decides for itself by what all nodes know of all runs. Demand is what
the runs of a data centre's callers take up, wherever they run, so that it does
not depend on what leaves, and shares cannot swing with their own effect.

Engines elsewhere keep room for their own callers, as alternative routing in
telephone networks reserves trunks for direct calls (Gibbens, Kelly and Key,
"Dynamic alternative routing", 1988): without it, calls that take the long way
displace others, which then do the same.
"""

import dataclasses
import math
from collections import Counter
from collections.abc import Container, Iterable, Mapping
from types import MappingProxyType
from typing import Final

from mastichatch_core.generated.messages import Run
from mastichatch_core.relay.engine_choice import (
    NEW_MEMORY_SHARE,
    expected_memory_tokens,
)
from mastichatch_core.relay.engine_queue import (
    LATE_QUEUED_TOKENS,
    PREFILL_TOKENS_PER_MS,
)
from mastichatch_core.relay.forwarder_choice import BITS_PER_BYTE, BITS_PER_MBIT
from mastichatch_core.relay.model import Endpoint, Engine
from mastichatch_core.relay.placement.costs import (
    NOMINAL_COSTS,
    UNLIMITED_MEMORY_SHARE,
    PlacementCosts,
    Reluctance,
)
from mastichatch_core.relay.placement.ways import Ways
from mastichatch_core.units import MS_PER_S

# Pressure at which requests begin to leave, and up to which they stay then.
START_PRESSURE: Final = 0.8
KEPT_PRESSURE: Final = 0.7
# Highest pressure up to which another data centre takes in requests.
ACCEPTED_PRESSURE: Final = 0.75
# Weights of the latest measurement in the level and in the trend of the demand,
# which is measured twice a second: prompts come and go within that time.
LEVEL_WEIGHT: Final = 0.3
TREND_WEIGHT: Final = 0.1
# Horizon of the forecast, in reviews: four seconds, half of the time that a
# long generation takes by the users' specification.
FORECAST_REVIEWS: Final = 8.0
# Largest change of a share at once, and the smallest one that is made.
SHARE_STEP: Final = 0.125
SHARE_TOLERANCE: Final = 0.1
# Least room that counts where home has no engine and none has room.
MIN_ROOM: Final = 0.05
# Share of an engine's memory that requests of other data centres may fill. The
# rest of what new runs may fill is kept for callers of its own data centre.
REMOTE_MEMORY_SHARE: Final = 0.75
# Time of one step of an engine that also prefills prompts, by the specification
# of the engines; each step generates one token of a run.
STEP_MS: Final = 15.0
# Bytes of an event and of the heads of a request and its answer, with the
# headers of TCP and IP.
EVENT_BYTES: Final = 200.0
HEAD_BYTES: Final = 2000.0
BYTES_PER_MB: Final = 1_000_000.0
# Round trips before a request reaches an engine on a new connection.
ROUND_TRIPS: Final = 2.0
# Time that a caller loses whose stream is cut off: it waits for two seconds,
# and the generation is repeated, which takes ten seconds by the users'
# specification and longer while engines are missing.
CUT_LOSS_MS: Final = 20_000.0
# Reluctance for a data centre whose nodes are silent: more than the wait that
# any objective allows.
SILENT_TOKENS: Final = 50_000.0
# Expected extra time of a call to such a data centre: a connection that is not
# established, and another attempt.
SILENT_CALL_MS: Final = 250.0
# Share of a host's link that streams from other data centres may fill.
LINK_SHARE: Final = 0.5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DataCentreLoad:
    """The engines of one data centre, and what its callers demand.

    :param engines: number of engines that accept new requests
    :param demand: number of engines that the callers' requests would fill,
        wherever they run or wait; by the scarcest of memory, places and prefill
    """

    engines: int
    demand: float

    @property
    def pressure(self) -> float:
        """Demand as a share of what the engines may take up."""
        return self.demand / self.engines if self.engines else math.inf


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ShareChange:
    """One change of the share that may leave to a data centre.

    :param data_centre: the other data centre
    :param before: share before the change
    :param after: share after the change
    :param home: load at home, averaged; ``None`` if it has none
    :param other: load of the other data centre; ``None`` if it has none
    """

    data_centre: str
    before: float
    after: float
    home: DataCentreLoad | None
    other: DataCentreLoad | None


@dataclasses.dataclass(slots=True)
class _Sums:
    """What the callers of one data centre take up."""

    running: int = 0
    memory_tokens: float = 0
    prefill_tokens: float = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeavingOptions:
    """What the cost of leaving depends on besides the ways.

    :param mb_ms: waiting time that one MB between data centres is worth, in
        milliseconds
    :param is_link_full: whether streams from elsewhere fill their part of this
        host's link
    """

    mb_ms: float
    is_link_full: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class RemoteDecisions:
    """What a node has decided on leaving its data centre, for its requests.

    Everything is empty where that is not decided by measurements.

    :param costs: costs of engines by service
    :param call_ms: how much longer calls to other data centres take, in
        milliseconds by data centre
    :param silent: data centres that seem to be cut off
    :param data_centres: data centres of the other nodes, by their name
    """

    costs: Mapping[str, PlacementCosts] = dataclasses.field(
        default_factory=dict
    )
    call_ms: Mapping[str, float] = dataclasses.field(default_factory=dict)
    silent: frozenset[str] = dataclasses.field(default_factory=frozenset)
    data_centres: Mapping[str, str] = dataclasses.field(default_factory=dict)

    def clear(self) -> None:
        """Decide nothing from now on."""
        self.costs = {}
        self.call_ms = {}
        self.silent = frozenset()
        self.data_centres = {}


def measure_data_centres(
    endpoints: Iterable[Endpoint],
    engine: Engine,
    runs: Iterable[tuple[str, Run]],
) -> Mapping[str, DataCentreLoad]:
    """Return the load of each data centre with engines or callers.

    :param endpoints: engines of the service that accept new requests
    :param engine: capacity of one engine
    :param runs: runs of the service, each with the data centre of its node
    """
    engines = Counter(endpoint.data_centre for endpoint in endpoints)
    sums: dict[str, _Sums] = {name: _Sums() for name in engines}
    for data_centre, run in runs:
        found = sums.setdefault(data_centre, _Sums())
        copies = 2 if run.copy_at else 1
        found.running += copies
        found.memory_tokens += copies * expected_memory_tokens(run)
        if not run.output_tokens:
            found.prefill_tokens += run.prompt_tokens
    return {
        name: DataCentreLoad(
            engines=engines[name], demand=_demand(found, engine)
        )
        for name, found in sums.items()
    }


def _demand(sums: _Sums, engine: Engine) -> float:
    return max(
        sums.memory_tokens / max(1, engine.memory_tokens * NEW_MEMORY_SHARE),
        sums.running / max(1, engine.batch_limit),
        sums.prefill_tokens / LATE_QUEUED_TOKENS,
    )


class RemoteShares:
    """Shares of one data centre's new requests that may leave it."""

    def __init__(self, data_centre: str) -> None:
        """Start with all requests at home.

        :param data_centre: the data centre that the requests arrive in
        """
        self._home = data_centre
        self._shares: dict[str, float] = {}
        self._loads: dict[str, DataCentreLoad] = {}
        self._levels: dict[str, tuple[float, float]] = {}
        self._relieved: set[str] = set()

    @property
    def shares(self) -> Mapping[str, float]:
        """Share of the new requests that may leave, by destination."""
        return MappingProxyType(self._shares)

    def update(
        self,
        loads: Mapping[str, DataCentreLoad],
        silent: Container[str] = (),
    ) -> tuple[ShareChange, ...]:
        """Move the shares by one step towards their targets.

        :param loads: load of the data centres by name
        :param silent: data centres that seem to be cut off
        :returns: the changes
        """
        self._forecast(loads)
        reached = {
            name: load
            for name, load in self._loads.items()
            if load.engines and name != self._home and name not in silent
        }
        home = self._loads.get(self._home)
        if home is None or not home.engines:
            targets = _spread(reached)
            largest_step = 1.0
        else:
            targets = self._overflow(home, reached)
            largest_step = SHARE_STEP
        changes: list[ShareChange] = []
        for name in sorted({*targets, *self._shares}):
            before = self._shares.get(name, 0)
            step = largest_step if name in reached else 1.0
            after = _next_share(before, targets.get(name, 0), step)
            if after != before:
                changes.append(self._change(name, before, after))
        return tuple(changes)

    def _forecast(self, loads: Mapping[str, DataCentreLoad]) -> None:
        """Forecast the demand by its level and trend (Holt's method).

        A share takes effect as runs end, and demand that rises would have
        filled home by then.
        """
        before = self._levels
        self._levels = {}
        self._loads = {}
        for name, load in loads.items():
            level, trend = before.get(name, (load.demand, 0))
            expected = level + trend
            new_level = expected + LEVEL_WEIGHT * (load.demand - expected)
            trend += TREND_WEIGHT * (new_level - level - trend)
            self._levels[name] = (new_level, trend)
            self._loads[name] = dataclasses.replace(
                load, demand=max(0, new_level + FORECAST_REVIEWS * trend)
            )

    def _overflow(
        self, home: DataCentreLoad, reached: Mapping[str, DataCentreLoad]
    ) -> Mapping[str, float]:
        """Return the shares that relieve home as far as others have room.

        Data centres that are under pressure divide the room of the others by
        their excess. Each knows that of all.
        """
        excess = {
            name: load.demand - KEPT_PRESSURE * load.engines
            for name, load in self._loads.items()
            if self._is_relieved(name, load)
        }
        if self._home not in excess:
            return {}
        room = {
            name: max(0, ACCEPTED_PRESSURE * load.engines - load.demand)
            for name, load in reached.items()
            if name not in excess
        }
        total_room = sum(room.values())
        if not total_room:
            return {}
        served = min(1, total_room / sum(excess.values()))
        share = served * excess[self._home] / home.demand
        return {name: share * part / total_room for name, part in room.items()}

    def _is_relieved(self, name: str, load: DataCentreLoad) -> bool:
        """Return whether requests leave a data centre, with hysteresis."""
        is_relieved = name in self._relieved
        threshold = KEPT_PRESSURE if is_relieved else START_PRESSURE
        if load.pressure > threshold:
            self._relieved.add(name)
        else:
            self._relieved.discard(name)
        return name in self._relieved

    def _change(self, name: str, before: float, after: float) -> ShareChange:
        if after:
            self._shares[name] = after
        else:
            self._shares.pop(name)
        return ShareChange(
            data_centre=name,
            before=before,
            after=after,
            home=self._loads.get(self._home),
            other=self._loads.get(name),
        )


def _spread(reached: Mapping[str, DataCentreLoad]) -> Mapping[str, float]:
    """Spread all requests over other data centres by their free room."""
    room = {
        name: load.engines * max(MIN_ROOM, 1 - load.pressure)
        for name, load in reached.items()
    }
    total = sum(room.values())
    return {name: part / total for name, part in room.items()}


def _next_share(before: float, target: float, step: float) -> float:
    """Return a share after one step, which is left out if it is small."""
    difference = target - before
    if not target:
        return max(0, before - step)
    if abs(difference) < SHARE_TOLERANCE:
        return before
    return before + max(-step, min(step, difference))


def leaving_costs(
    shares: RemoteShares,
    loads: Mapping[str, DataCentreLoad],
    ways: Ways,
    engine: Engine,
    data_centre: str,
    options: LeavingOptions,
    now: float,
) -> PlacementCosts:
    """Return the costs of engines in other data centres.

    The way there delays a request. Bytes and the risk of a cut do not, and
    speak against it the more, the longer its output is. Short requests leave
    for little, and long ones stay as long as home is not much slower.

    :param shares: shares of the requests that may leave
    :param loads: load of the data centres by name
    :param ways: ways to the other data centres
    :param engine: capacity of one engine
    :param data_centre: data centre that the requests arrive in
    :param options: what a byte costs, and whether the link is full
    :param now: time in seconds
    """
    others = sorted(
        other
        for other, load in loads.items()
        if load.engines and other != data_centre
    )
    if not others:
        return NOMINAL_COSTS
    byte_tokens = options.mb_ms / BYTES_PER_MB * PREFILL_TOKENS_PER_MS
    event_cost = EVENT_BYTES * byte_tokens / max(1, engine.tokens_per_event)
    reluctance: dict[str, Reluctance] = {}
    first_draw = float()
    for name in others:
        last_draw = first_draw + shares.shares.get(name, 0)
        reluctance[name] = Reluctance(
            request_tokens=HEAD_BYTES * byte_tokens
            + SILENT_TOKENS * (name in ways.silent),
            output_cost=event_cost + _cut_cost(ways.cuts_per_s(name, now)),
            first_draw=first_draw,
            last_draw=last_draw,
        )
        first_draw = last_draw
    has_home = data_centre in loads and loads[data_centre].engines > 0
    return PlacementCosts(
        data_centre=data_centre,
        remote_tokens=_way_tokens(ways, others),
        reluctance=reluctance,
        remote_memory_share=_remote_memory_share(has_home, options),
    )


def _cut_cost(cuts_per_s: float) -> float:
    """Return what a cut is expected to cost by output token, in prompt tokens.

    :param cuts_per_s: rate of cuts
    """
    loss_ms = cuts_per_s * STEP_MS / MS_PER_S * CUT_LOSS_MS
    return loss_ms * PREFILL_TOKENS_PER_MS


def _way_tokens(ways: Ways, others: Iterable[str]) -> dict[str, float]:
    return {
        other: ROUND_TRIPS * ways.round_trip_ms(other) * PREFILL_TOKENS_PER_MS
        for other in others
    }


def _remote_memory_share(has_home: bool, options: LeavingOptions) -> float:
    if not has_home:
        return UNLIMITED_MEMORY_SHARE
    return 0 if options.is_link_full else REMOTE_MEMORY_SHARE


def remote_call_ms(
    ways: Ways, data_centres: Iterable[str], mb_ms: float
) -> dict[str, float]:
    """Return what calls to other data centres cost more than at home.

    :param ways: ways to the other data centres
    :param data_centres: names of the other data centres
    :param mb_ms: waiting time that one MB between data centres is worth, in
        milliseconds
    :returns: time in milliseconds by data centre
    """
    silent = ways.silent
    bytes_ms = HEAD_BYTES * mb_ms / BYTES_PER_MB
    return {
        name: ways.round_trip_ms(name)
        + bytes_ms
        + SILENT_CALL_MS * (name in silent)
        for name in data_centres
    }


def is_link_full(
    own_runs: Iterable[Run],
    remote: Container[str],
    engine: Engine,
    link_mbps: float,
) -> bool:
    """Return whether streams from elsewhere fill their part of a host's link.

    :param own_runs: runs of the host
    :param remote: instances of the engines in other data centres
    :param engine: capacity of one engine
    :param link_mbps: rate of the host's link, in Mbit/s; zero if unknown
    """
    if not link_mbps:
        return False
    streams = sum(run.endpoint in remote for run in own_runs)
    event_s = max(1, engine.tokens_per_event) * STEP_MS / MS_PER_S
    bits_per_s = streams * EVENT_BYTES * BITS_PER_BYTE / event_s
    return bits_per_s > LINK_SHARE * link_mbps * BITS_PER_MBIT
