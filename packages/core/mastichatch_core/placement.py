"""Which order an engine gets next: pure rules of placement.

One node for each data centre gives orders, under a fencing number that rises
with each holder. An engine that ignores the number is kept safe by waiting:
a new holder gives no order before the last one of its predecessor is over.
"""

import dataclasses
import math
from collections.abc import Iterable
from typing import Final

from mastichatch_core.generated.manifest import Endpoint

# A load makes the engine fetch weights from the store that all engines share.
LOAD_INTERVAL_S: Final = 10.0
LOAD_BURST: Final = 2.0
LOADING_LIMIT: Final = 2
# Longest time between the decision for an order and its arrival.
ORDER_TIMEOUT_S: Final = 2.0
STATE_AGE_LIMIT_S: Final = 3.0


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
    """One order to load a model, adapter or version."""

    endpoint: Endpoint
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


def note_order(term: Term, order: Order, now: float) -> None:
    """Note that an order was given, whatever became of it.

    :param term: the holder's term
    :param order: the order
    :param now: time at which its answer came or was given up, in seconds
    """
    term.ordered_at[order.endpoint.name] = now
    term.load_tokens -= 1


def next_order(
    term: Term,
    endpoints: Iterable[Endpoint],
    now: float,
) -> Order | None:
    """Return the order that is due, if any.

    :param term: the holder's term
    :param endpoints: the data centre's endpoints that are in service
    :param now: time in seconds
    """
    _refill(term, now)
    found = tuple(endpoints)
    loading = sum(
        bool(term.states[each.name].loading)
        for each in found
        if each.name in term.states
    )
    if term.load_tokens < 1 or loading >= LOADING_LIMIT:
        return None
    for endpoint in found:
        name = _missing(term, endpoint, now)
        if name:
            return Order(endpoint=endpoint, name=name, fence=term.fence)
    return None


def _missing(term: Term, endpoint: Endpoint, now: float) -> str:
    """Return a model that an engine lacks, if it may get an order now."""
    state = term.states.get(endpoint.name)
    if state is None or not _may_order(term, endpoint, state, now):
        return ''
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


def _refill(term: Term, now: float) -> None:
    gained = (now - term.counted_at) / LOAD_INTERVAL_S
    term.load_tokens = min(LOAD_BURST, term.load_tokens + gained)
    term.counted_at = now
