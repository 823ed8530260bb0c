"""The policies that are compared, behind one function signature."""

import dataclasses
import itertools
from collections import Counter, deque
from collections.abc import Callable
from typing import Final

from mastichatch_core import scheduler as core
from mastichatch_core.catalogue import Catalogue
from mastichatch_core.generated.messages import (
    EndpointObservation,
    PermitGrant,
    PermitRelease,
    PermitRequest,
    Registration,
    RequestClass,
    ServiceLoad,
    Term,
)
from mastichatch_core.prediction import (
    LengthModel,
    LengthQuantiles,
    default_lengths,
)

SERVICE: Final = 'model'
WATERMARK: Final = 0.8
REPORT_TIMEOUT_S: Final = 3.0
ENDLESS_TOKENS: Final = 1e9
ORACLE_MEMORY: Final = 0.95

Outgoing = tuple[core.Outgoing, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Decider:
    """Decides for one data centre, or for all.

    :param term: term that registrations name
    :param request: takes a request
    :param release: takes the end of a permit
    :param observe: takes a report on an endpoint
    :param register: takes what a node holds and waits for
    :param advance: lets time pass
    :param configure: takes a configuration and the hosts that are leaving
    :param load: tells the load
    :param shared: whether it decides for all data centres
    :param exact: whether requests tell it how long their outputs will be
    """

    term: Callable[[], Term]
    request: Callable[[PermitRequest, float], Outgoing]
    release: Callable[[PermitRelease, float], Outgoing]
    observe: Callable[[EndpointObservation, float], Outgoing]
    register: Callable[[Registration, float], Outgoing]
    advance: Callable[[float], Outgoing]
    configure: Callable[[Catalogue, frozenset[str], float], Outgoing]
    load: Callable[[float], ServiceLoad]
    shared: bool
    exact: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Opening:
    """What a policy starts from.

    :param catalogue: configuration in force
    :param data_centre: data centre that it decides for
    :param nodes: names of the data centre's nodes
    :param term: number of the term
    :param now: time in seconds
    :param lengths: lengths learned so far; empty at the first start
    """

    catalogue: Catalogue
    data_centre: str
    nodes: frozenset[str]
    term: int
    now: float
    lengths: LengthModel


Policy = Callable[[Opening], Decider]


def scheduled(opening: Opening) -> Decider:
    """Decide with the scheduler of this project.

    :param opening: what it starts from
    """
    scheduler = core.open_scheduler(
        Term(number=opening.term, incarnation=opening.data_centre),
        opening.catalogue,
        SERVICE,
        opening.data_centre,
        opening.now,
        lengths=opening.lengths,
    )
    core.set_members(scheduler, opening.nodes, opening.nodes, opening.now)

    def configure(
        catalogue: Catalogue, leaving: frozenset[str], now: float
    ) -> Outgoing:
        return (
            *core.set_catalogue(scheduler, catalogue, now),
            *core.set_leaving_hosts(scheduler, leaving, now),
        )

    def load(now: float) -> ServiceLoad:
        return ServiceLoad(
            service=SERVICE,
            free=scheduler.free_count,
            waiting=scheduler.waiting_count,
            wait_ms=scheduler.expected_wait_ms(now),
        )

    return Decider(
        term=lambda: scheduler.term,
        request=lambda one, now: core.request(scheduler, one, now),
        release=lambda one, now: core.release(scheduler, one, now),
        observe=lambda one, now: core.observe(scheduler, one, now),
        register=lambda one, now: core.register(scheduler, one, now),
        advance=lambda now: core.advance(scheduler, now),
        configure=configure,
        load=load,
        shared=False,
    )


class _Fixed(LengthModel):
    """Expects the same lengths of every request, whatever was seen."""

    def __init__(self, lengths: LengthQuantiles) -> None:
        super().__init__()
        self._fixed = lengths

    def lengths(
        self, workspace: str, request_class: RequestClass
    ) -> LengthQuantiles:
        """Return the fixed lengths."""
        return self._fixed


def without_prediction(opening: Opening) -> Decider:
    """Decide with the scheduler, but learn no lengths.

    :param opening: what it starts from
    """
    fixed = _Fixed(default_lengths())
    return scheduled(dataclasses.replace(opening, lengths=fixed))


def with_oracle(opening: Opening) -> Decider:
    """Decide with the scheduler that knows each output's length.

    Known lengths have no variance, so a twentieth of the memory is kept free.

    :param opening: what it starts from
    """
    fixed = _Fixed(tuple(ENDLESS_TOKENS for _ in default_lengths()))
    decider = scheduled(dataclasses.replace(opening, lengths=fixed))
    return dataclasses.replace(
        decider,
        exact=True,
        configure=lambda catalogue, leaving, now: decider.configure(
            _with_less_memory(catalogue), leaving, now
        ),
    )


def _with_less_memory(catalogue: Catalogue) -> Catalogue:
    endpoints = tuple(
        dataclasses.replace(
            one, memory_tokens=int(one.memory_tokens * ORACLE_MEMORY)
        )
        for one in catalogue.manifest.endpoints
    )
    manifest = dataclasses.replace(catalogue.manifest, endpoints=endpoints)
    return dataclasses.replace(catalogue, manifest=manifest)


class _Baseline:
    """What every baseline knows of the endpoints of all data centres."""

    def __init__(self, catalogue: Catalogue) -> None:
        self.catalogue = catalogue
        self.leaving: frozenset[str] = frozenset()
        self.outstanding: Counter[str] = Counter()
        self.memory: dict[str, float] = {}
        self.away: dict[str, float] = {}
        self.queue: deque[PermitRequest] = deque()

    def usable(self, request: PermitRequest, now: float) -> list[str]:
        """Return the endpoints that may be chosen."""
        return [
            name
            for name, endpoint in self.catalogue.endpoints.items()
            if not self.catalogue.is_drained(endpoint)
            and endpoint.host not in self.leaving
            and name not in request.excluded
            and now - self.away.get(name, -REPORT_TIMEOUT_S) >= REPORT_TIMEOUT_S
        ]


Choice = Callable[[_Baseline, list[str]], str | None]


def _decide_by(choice: Choice, opening: Opening) -> Decider:
    """Decide by a choice among usable endpoints; ``None`` lets it wait."""
    state = _Baseline(opening.catalogue)

    def grant_queued(now: float) -> Outgoing:
        out: list[core.Outgoing] = []
        while state.queue:
            request = state.queue[0]
            names = state.usable(request, now)
            chosen = choice(state, names) if names else None
            if chosen is None:
                break
            state.queue.popleft()
            state.outstanding[chosen] += 1
            out.append(_granted(request, chosen))
        return tuple(out)

    def request(one: PermitRequest, now: float) -> Outgoing:
        state.queue.append(one)
        return grant_queued(now)

    def release(one: PermitRelease, now: float) -> Outgoing:
        state.outstanding[one.endpoint] -= 1
        if one.outcome == 'unreachable':
            state.away[one.endpoint] = now
        return grant_queued(now)

    def observe(one: EndpointObservation, now: float) -> Outgoing:
        described = state.catalogue.endpoints[one.endpoint]
        state.memory[one.endpoint] = one.memory_used / described.memory_tokens
        if not one.reachable:
            state.away[one.endpoint] = now
        return grant_queued(now)

    def configure(
        catalogue: Catalogue, leaving: frozenset[str], now: float
    ) -> Outgoing:
        state.catalogue = catalogue
        state.leaving = leaving
        return grant_queued(now)

    return Decider(
        term=lambda: Term(number=1, incarnation='baseline'),
        request=request,
        release=release,
        observe=observe,
        register=lambda one, now: (),
        advance=grant_queued,
        configure=configure,
        load=lambda now: ServiceLoad(service=SERVICE, free=1, waiting=0),
        shared=True,
    )


def round_robin(opening: Opening) -> Decider:
    """Give requests to the endpoints in turn.

    :param opening: what it starts from
    """
    turn = itertools.count()
    return _decide_by(
        lambda state, names: names[next(turn) % len(names)], opening
    )


def least_outstanding(opening: Opening) -> Decider:
    """Give each request to the endpoint with the fewest in progress.

    :param opening: what it starts from
    """
    return _decide_by(
        lambda state, names: min(
            names, key=lambda name: state.outstanding[name]
        ),
        opening,
    )


def memory_watermark(opening: Opening) -> Decider:
    """Use endpoints while their reported memory is under a fixed mark.

    :param opening: what it starts from
    """

    def choose(state: _Baseline, names: list[str]) -> str | None:
        under = [
            name for name in names if state.memory.get(name, 0) < WATERMARK
        ]
        return min(
            under, key=lambda name: state.outstanding[name], default=None
        )

    return _decide_by(choose, opening)


def _granted(request: PermitRequest, endpoint: str) -> core.Outgoing:
    grant = PermitGrant(
        request_id=request.request_id,
        attempt=request.attempt,
        service=request.service,
        endpoint=endpoint,
        term=Term(number=1, incarnation='baseline'),
        lease_ms=1000,
    )
    return core.Outgoing(node=request.node, message=grant)


POLICIES: Final[dict[str, Policy]] = {
    'ours': scheduled,
    'round robin': round_robin,
    'least outstanding': least_outstanding,
    'memory watermark': memory_watermark,
}

PREDICTIONS: Final[dict[str, Policy]] = {
    'no prediction': without_prediction,
    'learned': scheduled,
    'oracle': with_oracle,
}
