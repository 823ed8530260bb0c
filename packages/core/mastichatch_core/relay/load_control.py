"""Decides which services get the decisions that are made for hard load.

Load pattern: short requests that are urgent share engines with long generations
that can wait. Where the long generations are the most urgent, first come, first
served by rank is what operators expect, and nothing changes.
"""

import dataclasses
from enum import StrEnum

from mastichatch_core.relay.model import Configuration, RequestKind, Route


class LoadControl(StrEnum):
    """For which services a decision under load is made.

    ``ranked`` stands for the services whose configuration ranks short requests
    before long ones.
    """

    off = 'off'
    ranked = 'ranked'
    on = 'on'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadControls:
    """For which services each of the decisions under load is made.

    :param admission_forecast: requests that cannot be served in time are
        refused on arrival
    :param fair_shares: scarce room is shared among callers
    :param engine_speeds: engines are chosen by measured speed
    :param remote_share: nodes decide by measurements how many requests leave
        their data centre
    """

    admission_forecast: LoadControl = LoadControl.off
    fair_shares: LoadControl = LoadControl.off
    engine_speeds: LoadControl = LoadControl.off
    remote_share: LoadControl = LoadControl.off


def is_controlled(
    setting: LoadControl, configuration: Configuration | None, service: str
) -> bool:
    """Return whether a decision under load is made for a service.

    :param setting: setting of the node for this decision
    :param configuration: configuration in force, if any
    :param service: name of the service
    """
    if setting is not LoadControl.ranked:
        return setting is LoadControl.on
    if configuration is None:
        return False
    routes = tuple(
        route
        for route in configuration.routes
        if route.kind is RequestKind.streaming and _has_service(route, service)
    )
    return ranks_short_first(routes)


def most_urgent_rank(
    configuration: Configuration | None, service: str
) -> int | None:
    """Return the most urgent rank of the streaming routes of a service.

    :param configuration: configuration in force, if any
    :param service: name of the service
    :returns: the rank; ``None`` without such a route
    """
    routes = () if configuration is None else configuration.routes
    return min(
        (
            route.priority
            for route in routes
            if route.kind is RequestKind.streaming
            and _has_service(route, service)
        ),
        default=None,
    )


def ranks_short_first(routes: tuple[Route, ...]) -> bool:
    """Return whether the most urgent routes are shorter than the others.

    Routes are short or long by their timeout, the longest time for which a
    caller waits for the whole answer.

    :param routes: streaming routes of one service
    """
    first = min((route.priority for route in routes), default=0)
    urgent = [route.timeout_ms for route in routes if route.priority == first]
    others = [route.timeout_ms for route in routes if route.priority != first]
    return bool(others) and max(urgent) < min(others)


def _has_service(route: Route, service: str) -> bool:
    return any(one.service == service for one in route.services)
