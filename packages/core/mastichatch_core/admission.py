"""Decides how much work one endpoint incarnation gets."""

import dataclasses
import math
from collections import OrderedDict, deque
from typing import Final

from mastichatch_core.batching import (
    BatchLimit,
    record_token_gap,
    reset_batch_limit,
)
from mastichatch_core.breaker import (
    Breaker,
    allows_request,
    close_breaker,
    record_failure,
    record_reachable,
)
from mastichatch_core.generated.manifest import Endpoint
from mastichatch_core.generated.messages import (
    EndpointObservation,
    PermitOutcome,
    PermitRelease,
)
from mastichatch_core.memory import (
    MemoryDemand,
    MemoryMargin,
    record_preemptions,
)
from mastichatch_core.ramp import (
    Ramp,
    ramp_limit,
    record_first_token,
    record_success,
    restart_ramp,
)

HISTORY_S: Final = 10.0
REPORTER_TIMEOUT_S: Final = 3.0
PREFIXES_REMEMBERED: Final = 16


@dataclasses.dataclass(slots=True, kw_only=True)
class EndpointState:
    """What a scheduler knows of one endpoint.

    :param described: the manifest's entry
    :param boot_id: incarnation last seen; empty when none was seen
    :param ramp: how warm the incarnation is
    :param breaker: whether it fails
    :param batching: limit by the time between tokens
    :param safety: how much memory is kept free
    :param foreign: requests at the endpoint that no known permit explains
    :param in_service_since: when it last came into service, in seconds;
        ``None`` while it is out
    :param left_service: whether this scheduler has seen it out of service
    :param return_floor: limit that its return allows already
    :param demand: memory that its permits want; ``None`` when not current
    :param prefixes: prompt prefixes it was given last, newest last
    :param reporters: by node, when it reported and whether it got through
    :param reported_at: when its newest report was taken, in seconds
    :param handed_over: whether the scheduler before told of it
    :param released: permits given back, as pairs of grant and release time
    """

    described: Endpoint
    boot_id: str = ''
    ramp: Ramp
    breaker: Breaker = dataclasses.field(default_factory=Breaker)
    batching: BatchLimit = dataclasses.field(default_factory=BatchLimit)
    safety: MemoryMargin = dataclasses.field(default_factory=MemoryMargin)
    foreign: int = 0
    in_service_since: float | None = None
    left_service: bool = False
    return_floor: float = 0
    demand: MemoryDemand | None = None
    prefixes: OrderedDict[int, None] = dataclasses.field(
        default_factory=OrderedDict
    )
    reporters: dict[str, tuple[float, bool]] = dataclasses.field(
        default_factory=dict
    )
    reported_at: float = -math.inf
    handed_over: bool = False
    released: deque[tuple[float, float]] = dataclasses.field(
        default_factory=deque
    )


def create_endpoint_state(described: Endpoint, now: float) -> EndpointState:
    """Return the state of an endpoint that was not seen before.

    :param described: the manifest's entry
    :param now: time in seconds
    """
    return EndpointState(described=described, ramp=Ramp(started_at=now))


def note_in_service(state: EndpointState, now: float, *, in_use: bool) -> None:
    """Note whether the endpoint takes new work.

    :param state: the endpoint
    :param now: time in seconds
    :param in_use: whether neither it nor its host or data centre is leaving
    """
    if not in_use:
        state.in_service_since = None
        state.left_service = True
        state.return_floor = 0
    elif state.in_service_since is None:
        state.in_service_since = now


def current_limit(
    state: EndpointState, return_ramp: float, now: float
) -> float:
    """Return the number of permits that the endpoint bears now.

    :param state: the endpoint
    :param return_ramp: time of its data centre's return, in seconds
    :param now: time in seconds
    """
    described = state.described
    if state.in_service_since is None:
        return 0
    limit = ramp_limit(
        state.ramp,
        described.cold_limit,
        described.batch_limit,
        described.warm_after_ms / 1000,
        now,
    )
    if state.batching.limit is not None:
        limit = min(limit, state.batching.limit)
    returned = (now - state.in_service_since) / return_ramp
    if returned < 1:
        most = max(described.cold_limit, described.batch_limit * returned)
        limit = min(limit, max(most, state.return_floor))
    return limit


def scaled_limit(limit: float, share: float, *, keeper: bool) -> int:
    """Return the part of a limit that one scheduler may use.

    What scales below one goes whole to the scheduler that all members obeyed
    last, so that the parts never add up to more than the limit.

    :param limit: number of permits that the endpoint bears
    :param share: share of budgets of this scheduler
    :param keeper: whether all members obeyed it last
    """
    scaled = int(int(limit) * share)
    if scaled < 1 and limit >= 1 and keeper and share > 0:
        return 1
    return scaled


def is_open(state: EndpointState, node: str, running: int, now: float) -> bool:
    """Return whether the endpoint may be tried by a node at all.

    :param state: the endpoint
    :param node: name of the node
    :param running: permits that count against the endpoint
    :param now: time in seconds
    """
    reported_at, reached = state.reporters.get(node, (0, True))
    if not reached and now - reported_at < REPORTER_TIMEOUT_S:
        return False
    return allows_request(state.breaker, running, now)


def note_given_back(
    state: EndpointState, granted_at: float, now: float
) -> None:
    """Note that a node gave a permit back, so the endpoint is rid of it.

    :param state: the endpoint
    :param granted_at: when the permit was granted, in seconds
    :param now: time in seconds
    """
    state.released.append((granted_at, now))
    while state.released[0][1] < now - HISTORY_S:
        state.released.popleft()


def note_observation(
    state: EndpointState,
    observation: EndpointObservation,
    node: str,
    granted: tuple[float, ...],
    now: float,
) -> None:
    """Note a node's report on the endpoint.

    What it runs beyond the permits of the time of the report is foreign: it
    belongs to nodes or schedulers that this scheduler does not know.

    :param state: the endpoint
    :param observation: the report
    :param node: name of the node
    :param granted: when each permit that counts against it was granted
    :param now: time in seconds
    """
    state.reporters[node] = (now, observation.reachable)
    if not observation.reachable:
        if not _reached_by_any(state, now):
            _fail(state, now, reached=False)
        return
    taken_at = now - observation.age_ms / 1000
    if taken_at < state.reported_at:
        # Another node's report, which says nothing of what began since.
        return
    state.reported_at = taken_at
    if observation.boot_id and observation.boot_id != state.boot_id:
        _note_boot(state, observation.boot_id, now)
    record_reachable(state.breaker, now)
    record_preemptions(state.safety, observation.preemptions)
    explained = sum(granted_at <= taken_at for granted_at in granted)
    explained += sum(
        granted_at <= taken_at < released_at
        for granted_at, released_at in state.released
    )
    seen = observation.running + observation.waiting
    state.foreign = max(0, seen - explained)


def note_limit(state: EndpointState, observation: EndpointObservation) -> None:
    """Take over the limit that the scheduler before had reached.

    :param state: the endpoint
    :param observation: its last word on the same incarnation
    """
    if observation.boot_id in {state.boot_id, ''}:
        state.ramp.reached_limit = max(
            state.ramp.reached_limit, observation.limit
        )
        state.handed_over = True
        if not state.left_service:
            state.return_floor = observation.limit


def note_progress(state: EndpointState, bearing: int) -> None:
    """Note that the endpoint brings tokens for requests in progress.

    :param state: the endpoint
    :param bearing: requests that it brought tokens for since its start
    """
    state.ramp.reached_limit = max(state.ramp.reached_limit, bearing)


def note_tokens(
    state: EndpointState,
    gap_ms: float,
    target_ms: float,
    running: int,
    now: float,
) -> None:
    """Note the time between tokens of the requests in progress.

    :param state: the endpoint
    :param gap_ms: mean time between tokens, in milliseconds
    :param target_ms: target of the service, in milliseconds
    :param running: permits that count against the endpoint
    :param now: time in seconds
    """
    record_token_gap(state.batching, gap_ms, target_ms, running, now)


def note_release(
    state: EndpointState, release: PermitRelease, now: float
) -> None:
    """Learn from the outcome of a permit.

    :param state: the endpoint
    :param release: how it ended
    :param now: time in seconds
    """
    if release.outcome == PermitOutcome.unreachable:
        _fail(state, now, reached=False)
    elif release.outcome == PermitOutcome.failed:
        record_failure(state.breaker, reached=True, now=now)
    elif release.outcome == PermitOutcome.completed:
        close_breaker(state.breaker)
        record_success(state.ramp)
        if release.first_token_ms:
            record_first_token(state.ramp, release.first_token_ms, now)


def remember_prefix(state: EndpointState, prefix_hash: int) -> None:
    """Remember a prefix that the endpoint's cache is likely to hold.

    :param state: the endpoint
    :param prefix_hash: hash of the prompt's prefix; zero means none
    """
    if not prefix_hash:
        return
    state.prefixes[prefix_hash] = None
    state.prefixes.move_to_end(prefix_hash)
    if len(state.prefixes) > PREFIXES_REMEMBERED:
        state.prefixes.popitem(last=False)


def _note_boot(state: EndpointState, boot_id: str, now: float) -> None:
    if state.boot_id:
        restart_ramp(state.ramp, now)
        close_breaker(state.breaker)
        reset_batch_limit(state.batching)
        state.safety.preemptions = None
        state.prefixes.clear()
    state.boot_id = boot_id


def _fail(state: EndpointState, now: float, *, reached: bool) -> None:
    record_failure(state.breaker, reached=reached, now=now)
    restart_ramp(state.ramp, now)


def _reached_by_any(state: EndpointState, now: float) -> bool:
    return any(
        reached and now - reported_at < REPORTER_TIMEOUT_S
        for reported_at, reached in state.reporters.values()
    )
