"""Finds the route, the workspace and the service of a request."""

import dataclasses

from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.messages import ErrorKind
from mastichatch_core.relay.model import (
    Configuration,
    RequestFacts,
    Route,
    Workspace,
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ViewAge:
    """How far a node's view of the configuration can be trusted.

    :param age_s: time since a call was sent whose answer showed the view
    :param key_limit_s: oldest view by which a key may be accepted
    :param denial_limit_s: oldest view by which a caller may be denied
    """

    age_s: float
    key_limit_s: float
    denial_limit_s: float


def find_route(
    configuration: Configuration, host: str, path: str, view: ViewAge
) -> Route:
    """Return the route with the longest prefix of a path.

    :param configuration: configuration in force
    :param host: host name without a port
    :param path: path of the request, without its query
    :param view: age of the configuration
    :raises MastichatchError: with ``not_found``, or with ``not_ready`` where
        the view is too old to say so
    """
    for route in configuration.routes_by_host.get(host, ()):
        if path.startswith(route.prefix):
            return route
    _require_current(view, view.denial_limit_s, 'no route in an old view')
    raise MastichatchError(ErrorKind.not_found, 'no route matches')


def find_workspace(
    configuration: Configuration,
    route: Route,
    facts: RequestFacts,
    view: ViewAge,
) -> Workspace | None:
    """Return the workspace that a request is for.

    :param configuration: configuration in force
    :param route: route of the request
    :param facts: what the request states
    :param view: age of the configuration
    :returns: the workspace; ``None`` on a public route without a known key
    :raises MastichatchError: with ``key_unknown``, or with ``not_ready`` where
        the view is too old to accept or deny a key
    """
    workspace = configuration.keys.get(facts.api_key)
    if not configuration.needs_keys or route.is_public:
        return workspace
    if workspace is None:
        _require_current(view, view.denial_limit_s, 'no key in an old view')
        raise MastichatchError(ErrorKind.key_unknown)
    _require_current(view, view.key_limit_s, 'the view of keys is too old')
    return workspace


def choose_service(route: Route, draw: float) -> str:
    """Return the service that a request of a route goes to.

    :param route: the route
    :param draw: evenly distributed number from zero to one
    """
    total = sum(one.weight for one in route.services)
    threshold = draw * total
    for one in route.services:
        threshold -= one.weight
        if threshold < 0:
            return one.service
    return route.services[-1].service


def _require_current(view: ViewAge, limit_s: float, reason: str) -> None:
    if view.age_s >= limit_s:
        raise MastichatchError(ErrorKind.not_ready, reason)
