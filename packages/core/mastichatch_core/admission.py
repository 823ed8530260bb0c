"""Decides how much work one endpoint incarnation gets."""

import dataclasses

from mastichatch_core.generated.manifest import Endpoint
from mastichatch_core.generated.messages import (
    EndpointObservation,
    PermitRelease,
)


@dataclasses.dataclass(slots=True, kw_only=True)
class EndpointState:
    """What is known of one endpoint.

    :param described: the manifest's entry
    :param boot_id: incarnation last seen; empty when none was seen
    :param cold_since: when the ramp began, in seconds
    :param limit: number of permits allowed now
    """

    described: Endpoint
    boot_id: str = ''
    cold_since: float
    limit: float


def create_endpoint_state(
    described: Endpoint, known: EndpointState | None, now: float
) -> EndpointState:
    """Return the state of an endpoint, kept across configurations.

    :param described: the manifest's entry
    :param known: state under the earlier configuration
    :param now: time in seconds
    """
    if known is not None:
        known.described = described
        return known
    return EndpointState(
        described=described,
        cold_since=now,
        limit=float(described.cold_limit),
    )


def free_places(state: EndpointState, running: int) -> int:
    """Return how many more permits the endpoint may get.

    :param state: the endpoint
    :param running: permits that count against it
    """
    return max(0, int(state.limit) - running)


def admits(state: EndpointState, running: int, now: float) -> bool:
    """Return whether the endpoint may get one more permit.

    :param state: the endpoint
    :param running: permits that count against it
    :param now: time in seconds
    """
    described = state.described
    warm = described.warm_after_ms / 1000
    share = min(1.0, (now - state.cold_since) / warm)
    state.limit = described.cold_limit + share * (
        described.batch_limit - described.cold_limit
    )
    return free_places(state, running) > 0


def note_observation(
    state: EndpointState, observation: EndpointObservation, now: float
) -> None:
    """Note a report on the endpoint.

    :param state: the endpoint
    :param observation: the report
    :param now: time in seconds
    """
    rebooted = bool(state.boot_id) and observation.boot_id != state.boot_id
    if rebooted or not observation.reachable:
        state.cold_since = now
        state.limit = float(state.described.cold_limit)
    state.boot_id = observation.boot_id or state.boot_id


def note_release(
    state: EndpointState, release: PermitRelease, now: float
) -> None:
    """Note the outcome of a permit.

    :param state: the endpoint
    :param release: how it ended
    :param now: time in seconds
    """
    if release.outcome.value == 'unreachable':
        state.cold_since = now
        state.limit = float(state.described.cold_limit)
