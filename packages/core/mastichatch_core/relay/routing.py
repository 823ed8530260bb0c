"""Finds the route, the workspace and the service of a request."""

import dataclasses

from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.messages import ErrorKind
from mastichatch_core.relay.model import (
    Configuration,
    RequestMetadata,
    Route,
    Workspace,
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ViewAge:
    """The age of a node's configuration, and the limits of its use.

    :param age_s: time since the call that last confirmed the configuration was
        sent, in seconds
    :param key_limit_s: age from which no key may be accepted, in seconds
    :param denial_limit_s: age from which no request may be denied for a
        missing route or an unknown key, in seconds
    """

    age_s: float
    key_limit_s: float
    denial_limit_s: float


def find_route(
    configuration: Configuration, host: str, path: str, view: ViewAge
) -> Route:
    """Return the route with the longest prefix that matches a path.

    :param configuration: current configuration
    :param host: host name without a port
    :param path: path of the request, without its query
    :param view: age of the configuration
    :raises MastichatchError: with ``not_found`` if no route matches, or with
        ``not_ready`` if the configuration is too old to rule out a route
    """
    for route in configuration.routes_by_host.get(host, ()):
        if path.startswith(route.prefix):
            return route
    _require_current(view, view.denial_limit_s, 'no route in an old view')
    raise MastichatchError(ErrorKind.not_found, 'no route matches')


def find_workspace(
    configuration: Configuration,
    route: Route,
    metadata: RequestMetadata,
    view: ViewAge,
) -> Workspace | None:
    """Return the workspace of a request's API key.

    :param configuration: current configuration
    :param route: route of the request
    :param metadata: metadata from the head of the request
    :param view: age of the configuration
    :returns: the workspace; ``None`` if the request needs no key and its key,
        if any, is unknown
    :raises MastichatchError: with ``key_unknown``, or with ``not_ready`` if
        the configuration is too old to accept or deny the key
    """
    workspace = configuration.keys.get(metadata.api_key)
    if not configuration.needs_keys or route.is_public:
        return workspace
    if workspace is None:
        _require_current(view, view.denial_limit_s, 'no key in an old view')
        raise MastichatchError(ErrorKind.key_unknown)
    _require_current(view, view.key_limit_s, 'the view of keys is too old')
    return workspace


def choose_service(route: Route, draw: float) -> str:
    """Return the name of a route's service, drawn by weight.

    :param route: the route
    :param draw: uniformly distributed random number from zero to one
    """
    total = sum(weighted.weight for weighted in route.services)
    threshold = draw * total
    for weighted in route.services:
        threshold -= weighted.weight
        if threshold < 0:
            return weighted.service
    return route.services[-1].service


def _require_current(view: ViewAge, limit_s: float, reason: str) -> None:
    if view.age_s >= limit_s:
        raise MastichatchError(ErrorKind.not_ready, reason)
