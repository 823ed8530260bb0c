"""Decide which load or unload order an engine gets next, without I/O.

One node in each data centre holds the placement lease and gives orders. Its
fencing number is higher than that of every earlier holder. For engines that do
not check this number, a new holder waits until the last order of the previous
holder can no longer arrive.
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

CONCURRENT_LOADS_LIMIT: Final = 2
# Longest time from the decision to give an order to its arrival at the engine.
ORDER_TIMEOUT_S: Final = 2.0
MAX_STATE_AGE_S: Final = 3.0


class OrderKind(enum.StrEnum):
    """Kinds of orders for a model, adapter or version."""

    load = 'load'
    unload = 'unload'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadBudget:
    """Rate limit on the loads that one data centre orders.

    :param interval_s: mean time between two loads, in seconds
    :param burst: largest number of loads in a burst
    """

    interval_s: float
    burst: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineState:
    """State that an engine reports.

    :param loaded: names that are loaded
    :param loading: names that are being loaded
    :param fence: highest fencing number that the engine has seen
    :param queried_at: time at which the engine was queried, in seconds
    """

    loaded: frozenset[str]
    loading: frozenset[str]
    fence: int
    queried_at: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Order:
    """One order to load or unload a model, adapter or version."""

    endpoint: Endpoint
    kind: OrderKind
    name: str
    fence: int


class PlacementTerm:
    """Term in which one node holds the placement lease of a data centre."""

    def __init__(self, fence: int, lease_s: float, now: float) -> None:
        """Start without any engine state.

        :param fence: fencing number of this holder
        :param lease_s: length of the holder's lease, in seconds
        :param now: time at which the lease was acquired, in seconds
        """
        self.fence = fence
        # From then on no order of the previous holder can still arrive.
        self.predecessor_done_at = now + lease_s + ORDER_TIMEOUT_S
        self.states: dict[str, EngineState] = {}
        self.last_order_at: dict[str, float] = {}
        # Start empty, so that a change of holder does not allow a new burst.
        self.load_tokens: float = 0
        self.refilled_at = now


def record_state(
    term: PlacementTerm, endpoint: str, state: EngineState
) -> None:
    """Record the state that an engine reports.

    :param term: the holder's term
    :param endpoint: name of the endpoint
    :param state: the reported state
    """
    term.states[endpoint] = state


def divide_load_budget(manifest: Manifest) -> LoadBudget:
    """Return each data centre's equal share of the weight store's load rate.

    :param manifest: manifest with the store's rate and the data centres
    """
    shares = len(manifest.data_centres)
    store = next(iter(manifest.weight_stores), WeightStore(name=''))
    return LoadBudget(
        interval_s=shares * store.load_interval_ms / MS_PER_S,
        # With a burst below one, the bucket would never hold a whole load.
        burst=max(1, store.load_burst / shares),
    )


def record_order(term: PlacementTerm, order: Order, now: float) -> None:
    """Record an order that was given, whether or not it succeeded.

    :param term: the holder's term
    :param order: the order
    :param now: time at which the order was answered or timed out, in seconds
    """
    term.last_order_at[order.endpoint.name] = now
    if order.kind is OrderKind.load:
        term.load_tokens -= 1


def next_order(
    term: PlacementTerm,
    endpoints: Iterable[Endpoint],
    budget: LoadBudget,
    now: float,
) -> Order | None:
    """Return the order that is due, if any.

    :param term: the holder's term
    :param endpoints: the data centre's endpoints that are in service
    :param budget: rate limit on the data centre's loads
    :param now: time in seconds
    """
    _refill_load_tokens(term, budget, now)
    candidates = tuple(endpoints)
    may_load = _may_load(term, candidates)
    for endpoint in candidates:
        order = _due_order(term, endpoint, now)
        if order and (may_load or order.kind is OrderKind.unload):
            return order
    return None


def is_complete(term: PlacementTerm, endpoint: Endpoint) -> bool:
    """Return whether an engine last reported exactly the configured models.

    :param term: the holder's term
    :param endpoint: the endpoint
    """
    state = term.states.get(endpoint.name)
    return (
        state is not None
        and not state.loading
        and not _missing_model(endpoint, state)
        and not _unexpected_name(endpoint, state)
    )


def _may_load(term: PlacementTerm, endpoints: tuple[Endpoint, ...]) -> bool:
    loading = sum(
        bool(term.states[each.name].loading)
        for each in endpoints
        if each.name in term.states
    )
    return term.load_tokens >= 1 and loading < CONCURRENT_LOADS_LIMIT


def _due_order(
    term: PlacementTerm, endpoint: Endpoint, now: float
) -> Order | None:
    """Return the order for an engine, if one is needed and allowed now."""
    state = term.states.get(endpoint.name)
    if state is None or not _may_order(term, endpoint, state, now):
        return None
    # Unload first, because a load may need the memory that this frees.
    unexpected = _unexpected_name(endpoint, state)
    name = unexpected or _missing_model(endpoint, state)
    if not name:
        return None
    return Order(
        endpoint=endpoint,
        kind=OrderKind.unload if unexpected else OrderKind.load,
        name=name,
        fence=term.fence,
    )


def _unexpected_name(endpoint: Endpoint, state: EngineState) -> str:
    """Return a loaded name that is not configured, if any.

    A late order can load one.
    """
    configured = {endpoint.service, *endpoint.models}
    return min(state.loaded - configured, default='')


def _missing_model(endpoint: Endpoint, state: EngineState) -> str:
    """Return a configured model that is not loaded, if any."""
    for name in endpoint.models:
        if name not in state.loaded:
            return name
    return ''


def _may_order(
    term: PlacementTerm,
    endpoint: Endpoint,
    state: EngineState,
    now: float,
) -> bool:
    last_order_at = term.last_order_at.get(endpoint.name, -math.inf)
    is_current = now - state.queried_at < MAX_STATE_AGE_S
    is_last_order_confirmed = (
        state.queried_at > last_order_at and not state.loading
    )
    is_predecessor_done = (
        endpoint.checks_fencing or now >= term.predecessor_done_at
    )
    return (
        is_current
        and is_last_order_confirmed
        and is_predecessor_done
        and state.fence <= term.fence
    )


def _refill_load_tokens(
    term: PlacementTerm, budget: LoadBudget, now: float
) -> None:
    gained = (now - term.refilled_at) / budget.interval_s
    term.load_tokens = min(budget.burst, term.load_tokens + gained)
    term.refilled_at = now
