"""Which order an engine gets next: pure rules of placement.

One node for each data centre gives orders, under a fencing number that rises
with each holder. An engine that ignores the number is kept safe by waiting:
a new holder gives no order before the last one of its predecessor is over.
"""

import dataclasses
import enum
import math
from collections.abc import Iterable
from typing import Final

from mastichatch_core.generated.manifest import (
    Endpoint,
    Manifest,
    WeightStore,
)
from mastichatch_core.units import MS_PER_S

LOADING_LIMIT: Final = 2
# Longest time between the decision for an order and its arrival.
ORDER_TIMEOUT_S: Final = 2.0
STATE_AGE_LIMIT_S: Final = 3.0


class OrderKind(enum.StrEnum):
    """What an engine is ordered to do with a model, adapter or version."""

    load = 'load'
    unload = 'unload'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadBudget:
    """Loads that one data centre may order.

    :param interval_s: mean time between two loads, in seconds
    :param burst: most loads at once
    """

    interval_s: float
    burst: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineState:
    """What an engine says of itself.

    :param fence: highest fencing number that it has seen
    :param asked_at: time at which it was asked, in seconds
    """

    loaded: frozenset[str]
    loading: frozenset[str]
    fence: int
    asked_at: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Order:
    """One order to load or unload a model, adapter or version."""

    endpoint: Endpoint
    kind: OrderKind
    name: str
    fence: int


class Term:
    """The time for which one node holds the placement of a data centre."""

    def __init__(self, fence: int, lease_s: float, now: float) -> None:
        """Begin without having heard from any engine.

        :param fence: fencing number of this holder
        :param lease_s: length of the holder's lease, in seconds
        :param now: time at which the lease was acquired, in seconds
        """
        self.fence = fence
        self.settled_at = now + lease_s + ORDER_TIMEOUT_S
        self.states: dict[str, EngineState] = {}
        self.ordered_at: dict[str, float] = {}
        # A change of holder must not grant a new burst.
        self.load_tokens: float = 0
        self.counted_at = now


def note_state(term: Term, endpoint: str, state: EngineState) -> None:
    """Note what an engine says.

    :param term: the holder's term
    :param endpoint: name of the endpoint
    :param state: its answer
    """
    term.states[endpoint] = state


def share_budget(manifest: Manifest) -> LoadBudget:
    """Return the share of each data centre in the rate of the weight store.

    :param manifest: names the store's rate and the data centres
    """
    shares = len(manifest.data_centres)
    store = next(iter(manifest.weight_stores), WeightStore(name=''))
    return LoadBudget(
        interval_s=shares * store.load_interval_ms / MS_PER_S,
        # Less than one load would never be reached.
        burst=max(1, store.load_burst / shares),
    )


def note_order(term: Term, order: Order, now: float) -> None:
    """Note that an order was given, whatever became of it.

    :param term: the holder's term
    :param order: the order
    :param now: time at which its answer came or was given up, in seconds
    """
    term.ordered_at[order.endpoint.name] = now
    if order.kind is OrderKind.load:
        term.load_tokens -= 1


def next_order(
    term: Term,
    endpoints: Iterable[Endpoint],
    budget: LoadBudget,
    now: float,
) -> Order | None:
    """Return the order that is due, if any.

    :param term: the holder's term
    :param endpoints: the data centre's endpoints that are in service
    :param budget: loads that the data centre may order
    :param now: time in seconds
    """
    _refill(term, budget, now)
    found = tuple(endpoints)
    may_load = _may_load(term, found)
    for endpoint in found:
        order = _due_order(term, endpoint, now)
        if order and (may_load or order.kind is OrderKind.unload):
            return order
    return None


def is_complete(term: Term, endpoint: Endpoint) -> bool:
    """Return whether an engine was last seen with just what it should have.

    :param term: the holder's term
    :param endpoint: the endpoint
    """
    state = term.states.get(endpoint.name)
    return (
        state is not None
        and not state.loading
        and not _missing(endpoint, state)
        and not _surplus(endpoint, state)
    )


def _may_load(term: Term, endpoints: tuple[Endpoint, ...]) -> bool:
    loading = sum(
        bool(term.states[each.name].loading)
        for each in endpoints
        if each.name in term.states
    )
    return term.load_tokens >= 1 and loading < LOADING_LIMIT


def _due_order(term: Term, endpoint: Endpoint, now: float) -> Order | None:
    """Return what an engine should be told, if it may get an order now."""
    state = term.states.get(endpoint.name)
    if state is None or not _may_order(term, endpoint, state, now):
        return None
    # A load may need the memory that an unload frees.
    surplus = _surplus(endpoint, state)
    name = surplus or _missing(endpoint, state)
    if not name:
        return None
    return Order(
        endpoint=endpoint,
        kind=OrderKind.unload if surplus else OrderKind.load,
        name=name,
        fence=term.fence,
    )


def _surplus(endpoint: Endpoint, state: EngineState) -> str:
    """Return something loaded that nobody named, such as by a late order."""
    kept = {endpoint.service, *endpoint.models}
    return min(state.loaded - kept, default='')


def _missing(endpoint: Endpoint, state: EngineState) -> str:
    """Return a model that an engine lacks."""
    for name in endpoint.models:
        if name not in state.loaded:
            return name
    return ''


def _may_order(
    term: Term,
    endpoint: Endpoint,
    state: EngineState,
    now: float,
) -> bool:
    ordered_at = term.ordered_at.get(endpoint.name, -math.inf)
    is_known = now - state.asked_at < STATE_AGE_LIMIT_S
    is_read_back = state.asked_at > ordered_at and not state.loading
    is_settled = endpoint.checks_fencing or now >= term.settled_at
    return (
        is_known and is_read_back and is_settled and state.fence <= term.fence
    )


def _refill(term: Term, budget: LoadBudget, now: float) -> None:
    gained = (now - term.counted_at) / budget.interval_s
    term.load_tokens = min(budget.burst, term.load_tokens + gained)
    term.counted_at = now
