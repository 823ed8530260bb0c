"""Orders the generations that wait for an engine, on all nodes alike.

Every node knows, a message's time late, what runs and what waits everywhere,
and works out by itself which waiting requests have their turn. A node that is
gone takes only its own requests with it, and no node has to be asked.
"""

from collections.abc import Callable, Iterable, Mapping, Sequence

from mastichatch_core.generated.messages import Run, RunState
from mastichatch_core.relay.engine_choice import (
    NEW_MEMORY_SHARE,
    Candidate,
    EngineLoad,
    measure_loads,
    memory_of,
    weigh,
    wish_of,
)
from mastichatch_core.relay.model import Endpoint, Engine


def turns(
    runs: Iterable[Run],
    endpoints: Sequence[Endpoint],
    engine: Engine,
    arrived_at: Callable[[Run], float],
    data_centre: str,
) -> Mapping[str, Candidate]:
    """Return the engine of each waiting request whose turn it is.

    The urgent go first, and among them those that came first. One that does
    not fit lets others pass, which are then smaller.

    :param runs: what waits and runs for one service, on all nodes
    :param endpoints: engines that take new requests
    :param engine: capacity of one engine
    :param arrived_at: returns when a request arrived
    :param data_centre: where this node stands
    """
    known = tuple(runs)
    loads = dict(measure_loads(known))
    waiting = sorted(
        (run for run in known if run.state is RunState.waiting),
        key=lambda run: (run.rank, arrived_at(run), run.request_id),
    )
    found: dict[str, Candidate] = {}
    for run in waiting:
        wish = wish_of(run, data_centre)
        candidates = weigh(endpoints, loads, engine, wish, NEW_MEMORY_SHARE)
        if candidates:
            found[run.request_id] = candidates[0]
            _occupy(loads, candidates[0].instance, run)
    return found


def _occupy(loads: dict[str, EngineLoad], instance: str, run: Run) -> None:
    load = loads.setdefault(instance, EngineLoad())
    load.running += 1
    load.memory_tokens += memory_of(run)
    load.unread_tokens += run.prompt_tokens
