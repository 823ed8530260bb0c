"""Limit the requests in progress at one endpoint incarnation."""

import dataclasses
import math
from collections import OrderedDict, deque
from typing import Final

from mastichatch_core.token_gap_limit import (
    TokenGapLimit,
    record_gap_sample,
    reset_token_gap_limit,
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

RELEASE_HISTORY_S: Final = 10.0
NODE_REPORT_TIMEOUT_S: Final = 3.0
MAX_REMEMBERED_PREFIXES: Final = 16


@dataclasses.dataclass(slots=True, kw_only=True)
class EndpointState:
    """A scheduler's state of one endpoint.

    :param manifest_entry: the endpoint's entry in the manifest
    :param boot_id: id of the incarnation last seen; empty if none was seen
    :param ramp: warm-up of the incarnation
    :param breaker: circuit breaker of the endpoint
    :param token_gap_limit: limit derived from the time between tokens
    :param memory_margin: memory reserved above the expected need
    :param unattributed: requests there that no known permit accounts for
    :param in_service_since: when it last came into service, in seconds;
        ``None`` while it is out
    :param was_out_of_service: whether this scheduler saw it out of service
    :param return_limit_floor: least limit while it returns to service
    :param memory_demand: memory demand of its permits; ``None`` when stale
    :param prefixes: hashes of recent prompt prefixes, newest last
    :param node_reports: time of the last report and whether the endpoint was
        reachable, by node
    :param reported_at: when the newest report was measured, in seconds
    :param handed_over: whether the previous scheduler passed on its limit
    :param released: grant and release times of recently returned permits
    """

    manifest_entry: Endpoint
    boot_id: str = ''
    ramp: Ramp
    breaker: Breaker = dataclasses.field(default_factory=Breaker)
    token_gap_limit: TokenGapLimit = dataclasses.field(
        default_factory=TokenGapLimit
    )
    memory_margin: MemoryMargin = dataclasses.field(
        default_factory=MemoryMargin
    )
    unattributed: int = 0
    in_service_since: float | None = None
    was_out_of_service: bool = False
    return_limit_floor: float = 0
    memory_demand: MemoryDemand | None = None
    prefixes: OrderedDict[int, None] = dataclasses.field(
        default_factory=OrderedDict
    )
    node_reports: dict[str, tuple[float, bool]] = dataclasses.field(
        default_factory=dict
    )
    reported_at: float = -math.inf
    handed_over: bool = False
    released: deque[tuple[float, float]] = dataclasses.field(
        default_factory=deque
    )


def create_endpoint_state(
    manifest_entry: Endpoint, now: float
) -> EndpointState:
    """Return the state of a newly configured endpoint.

    :param manifest_entry: the endpoint's entry in the manifest
    :param now: time in seconds
    """
    return EndpointState(
        manifest_entry=manifest_entry, ramp=Ramp(started_at=now)
    )


def set_in_service(
    state: EndpointState, now: float, *, in_service: bool
) -> None:
    """Set whether the endpoint accepts new requests.

    :param state: the endpoint
    :param now: time in seconds
    :param in_service: false while it, its host or its data centre is leaving
    """
    if not in_service:
        state.in_service_since = None
        state.was_out_of_service = True
        state.return_limit_floor = 0
    elif state.in_service_since is None:
        state.in_service_since = now


def current_limit(
    state: EndpointState, return_ramp: float, now: float
) -> float:
    """Return the current limit on permits for the endpoint.

    :param state: the endpoint
    :param return_ramp: duration of a return to service, in seconds
    :param now: time in seconds
    """
    manifest_entry = state.manifest_entry
    if state.in_service_since is None:
        return 0
    limit = ramp_limit(
        state.ramp,
        manifest_entry.cold_limit,
        manifest_entry.batch_limit,
        manifest_entry.warm_after_ms / 1000,
        now,
    )
    if state.token_gap_limit.limit is not None:
        limit = min(limit, state.token_gap_limit.limit)
    return_progress = (now - state.in_service_since) / return_ramp
    if return_progress < 1:
        ramped = max(
            manifest_entry.cold_limit,
            manifest_entry.batch_limit * return_progress,
        )
        limit = min(limit, max(ramped, state.return_limit_floor))
    return limit


def scaled_limit(limit: float, share: float, *, gets_remainder: bool) -> int:
    """Return the part of a limit that one scheduler may use.

    Where the share comes to less than one permit, only the scheduler that all
    nodes followed last gets one, so that the parts never exceed the limit.

    :param limit: limit on permits for the endpoint
    :param share: this scheduler's share of every limit, from zero to one
    :param gets_remainder: whether all nodes followed this scheduler last
    """
    scaled = int(int(limit) * share)
    if scaled < 1 and limit >= 1 and gets_remainder and share > 0:
        return 1
    return scaled


def is_available(
    state: EndpointState, node: str, running: int, now: float
) -> bool:
    """Return whether a node may send requests to the endpoint.

    :param state: the endpoint
    :param node: name of the node
    :param running: permits that count against the endpoint
    :param now: time in seconds
    """
    reported_at, reachable = state.node_reports.get(node, (0, True))
    if not reachable and now - reported_at < NODE_REPORT_TIMEOUT_S:
        return False
    return allows_request(state.breaker, running, now)


def record_permit_return(
    state: EndpointState, granted_at: float, now: float
) -> None:
    """Record that a node returned a permit, so its request has ended.

    :param state: the endpoint
    :param granted_at: when the permit was granted, in seconds
    :param now: time in seconds
    """
    state.released.append((granted_at, now))
    while state.released[0][1] < now - RELEASE_HISTORY_S:
        state.released.popleft()


def record_observation(
    state: EndpointState,
    observation: EndpointObservation,
    node: str,
    granted: tuple[float, ...],
    now: float,
) -> None:
    """Record a node's report on the endpoint.

    Requests beyond the permits that were held at the time of the report are
    unattributed: they belong to nodes or schedulers unknown to this scheduler.

    :param state: the endpoint
    :param observation: the report
    :param node: name of the node
    :param granted: grant times of the permits that count against it
    :param now: time in seconds
    """
    state.node_reports[node] = (now, observation.reachable)
    if not observation.reachable:
        if not _is_reachable(state, now):
            _record_failure(state, now, reached=False)
        return
    taken_at = now - observation.age_ms / 1000
    if taken_at < state.reported_at:
        # A newer report, such as by another node, may include later requests.
        return
    state.reported_at = taken_at
    if observation.boot_id and observation.boot_id != state.boot_id:
        _record_boot(state, observation.boot_id, now)
    record_reachable(state.breaker, now)
    record_preemptions(state.memory_margin, observation.preemptions)
    attributed = sum(granted_at <= taken_at for granted_at in granted)
    attributed += sum(
        granted_at <= taken_at < released_at
        for granted_at, released_at in state.released
    )
    reported = observation.running + observation.waiting
    state.unattributed = max(0, reported - attributed)


def restore_limit(
    state: EndpointState, observation: EndpointObservation
) -> None:
    """Restore the limit that the previous scheduler had reached.

    :param state: the endpoint
    :param observation: that scheduler's report; ignored if it is on another
        incarnation
    """
    if observation.boot_id in {state.boot_id, ''}:
        state.ramp.reached_limit = max(
            state.ramp.reached_limit, observation.limit
        )
        state.handed_over = True
        if not state.was_out_of_service:
            state.return_limit_floor = observation.limit


def raise_limit_floor(state: EndpointState, active_requests: int) -> None:
    """Raise the limit to the requests that the endpoint is known to sustain.

    :param state: the endpoint
    :param active_requests: number of requests in progress for which the
        endpoint has generated tokens since it started
    """
    state.ramp.reached_limit = max(state.ramp.reached_limit, active_requests)


def record_token_gap(
    state: EndpointState,
    gap_ms: float,
    target_ms: float,
    running: int,
    now: float,
) -> None:
    """Record the time between tokens of the requests in progress.

    :param state: the endpoint
    :param gap_ms: mean time between tokens, in milliseconds
    :param target_ms: target gap of the service, in milliseconds
    :param running: permits that count against the endpoint
    :param now: time in seconds
    """
    record_gap_sample(state.token_gap_limit, gap_ms, target_ms, running, now)


def record_release(
    state: EndpointState, release: PermitRelease, now: float
) -> None:
    """Update the breaker and the warm-up from the outcome of a permit.

    :param state: the endpoint
    :param release: outcome of the permit
    :param now: time in seconds
    """
    if release.outcome == PermitOutcome.unreachable:
        _record_failure(state, now, reached=False)
    elif release.outcome == PermitOutcome.failed:
        record_failure(state.breaker, reached=True, now=now)
    elif release.outcome == PermitOutcome.completed:
        close_breaker(state.breaker)
        record_success(state.ramp)
        if release.first_token_ms:
            record_first_token(state.ramp, release.first_token_ms, now)


def remember_prefix(state: EndpointState, prefix_hash: int) -> None:
    """Record a prompt prefix that the endpoint probably has in its cache.

    :param state: the endpoint
    :param prefix_hash: hash of the prompt's prefix; zero means none
    """
    if not prefix_hash:
        return
    state.prefixes[prefix_hash] = None
    state.prefixes.move_to_end(prefix_hash)
    if len(state.prefixes) > MAX_REMEMBERED_PREFIXES:
        state.prefixes.popitem(last=False)


def _record_boot(state: EndpointState, boot_id: str, now: float) -> None:
    if state.boot_id:
        restart_ramp(state.ramp, now)
        close_breaker(state.breaker)
        reset_token_gap_limit(state.token_gap_limit)
        state.memory_margin.preemptions = None
        state.prefixes.clear()
    state.boot_id = boot_id


def _record_failure(state: EndpointState, now: float, *, reached: bool) -> None:
    record_failure(state.breaker, reached=reached, now=now)
    restart_ramp(state.ramp, now)


def _is_reachable(state: EndpointState, now: float) -> bool:
    return any(
        reachable and now - reported_at < NODE_REPORT_TIMEOUT_S
        for reported_at, reachable in state.node_reports.values()
    )
