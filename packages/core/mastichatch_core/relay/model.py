"""Data classes for the configuration, endpoints and request metadata."""

import dataclasses
import functools
from collections.abc import Mapping, Sequence
from enum import StrEnum
from types import MappingProxyType


class MalformedError(Exception):
    """A document does not have the expected structure."""


class RequestKind(StrEnum):
    """Whether and how requests of a route may be repeated."""

    streaming = 'streaming'
    idempotent = 'idempotent'
    once = 'once'


class EndpointState(StrEnum):
    """Whether an endpoint accepts new requests."""

    ready = 'ready'
    draining = 'draining'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WeightedService:
    """One of the services of a route.

    :param service: name of the service
    :param weight: share of the requests, relative to the route's other
        services
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """The services and limits for a host name and path prefix.

    :param name: unique name
    :param host: host name in the requests
    :param prefix: path prefix
    :param kind: whether and how requests may be repeated
    :param timeout_ms: timeout of a request, in milliseconds
    :param objective_ms: objective for the time to the answer, or to a stream's
        first event, in milliseconds
    :param priority: rank; zero is served first
    :param services: services that receive the requests, with their weights
    :param attempts: highest number of endpoints that a request may run on
    :param is_public: whether requests need no key
    :param pause_ms: objective for the longest time between a stream's events,
        in milliseconds
    :param is_resumable: whether a caller may resume a stream of the route after
        the last event that it has
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout_ms: float
    objective_ms: float
    priority: int
    services: tuple[WeightedService, ...]
    attempts: int
    is_public: bool
    pause_ms: float
    is_resumable: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Engine:
    """The capacity and abilities of the engines of a model service.

    :param batch_limit: highest number of requests processed at once
    :param memory_tokens: size of the key-value cache, in tokens
    :param bytes_per_token: size of one token in the key-value cache
    :param link_bytes_per_ms: transfer rate between engines, in bytes per
        millisecond
    :param can_move: whether a run can be moved to another engine
    :param can_back_up: whether a run's key-value cache can be copied to another
        engine while it grows
    :param tokens_per_event: output tokens in one event of a stream
    :param copy_lifetime_s: time after which an engine frees a copy that is not
        used, in seconds; zero if unknown
    """

    batch_limit: int
    memory_tokens: int
    bytes_per_token: float
    link_bytes_per_ms: float
    can_move: bool
    can_back_up: bool
    tokens_per_event: int
    copy_lifetime_s: float = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """One service, as configured by operators.

    :param name: unique name
    :param health_path: path of its health check
    :param connection_limit: highest number of connections to an endpoint
    :param engine: capacity of its engines; ``None`` for a plain service
    """

    name: str
    health_path: str
    connection_limit: int
    engine: Engine | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClientLimits:
    """Limits for the requests and connections of callers.

    :param header_bytes: largest request head, in bytes
    :param body_bytes: largest request body, in bytes
    :param header_timeout_ms: time limit for receiving a request head, in
        milliseconds
    :param idle_timeout_ms: time after which an idle connection is closed, in
        milliseconds
    """

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Workspace:
    """One tenant.

    :param name: unique name
    :param priority: rank that overrides the route's; ``None`` if not set
    """

    name: str
    priority: int | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Configuration:
    """One version of the operators' configuration.

    :param version: number of the version, which increases
    :param routes: all routes
    :param services: services by name
    :param limits: limits for the requests and connections of callers
    :param keys: workspaces by API key
    :param needs_keys: whether requests of routes that are not public need a key
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: ClientLimits
    keys: Mapping[str, Workspace]
    needs_keys: bool

    @functools.cached_property
    def routes_by_host(self) -> Mapping[str, tuple[Route, ...]]:
        """Routes by host name, longest prefix first."""
        hosts: dict[str, tuple[Route, ...]] = {}
        for route in sorted(self.routes, key=_prefix_length, reverse=True):
            hosts[route.host] = (*hosts.get(route.host, ()), route)
        return MappingProxyType(hosts)

    @functools.cached_property
    def streaming_routes(self) -> Mapping[str, tuple[Route, ...]]:
        """Streaming routes by the name of a service that they use.

        A configuration may have thousands of routes, and decisions for each
        request depend on them.
        """
        found: dict[str, list[Route]] = {}
        for route in self.routes:
            if route.kind is RequestKind.streaming:
                for one in route.services:
                    found.setdefault(one.service, []).append(route)
        return MappingProxyType(
            {service: tuple(routes) for service, routes in found.items()}
        )

    @functools.cached_property
    def short_first_services(self) -> frozenset[str]:
        """Services whose short streaming routes are ranked before long ones."""
        return frozenset(
            service
            for service, routes in self.streaming_routes.items()
            if ranks_short_first(routes)
        )

    @functools.cached_property
    def first_ranks(self) -> Mapping[str, int]:
        """Most urgent rank of the streaming routes, by service."""
        return MappingProxyType(
            {
                service: min(route.priority for route in routes)
                for service, routes in self.streaming_routes.items()
            }
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Endpoint:
    """One running endpoint, as it registers itself.

    :param instance: id of one start of the endpoint, by which all state on it
        is kept: nothing known of one start holds for the next
    :param service: name of its service
    :param address: IP address and port
    :param data_centre: data centre of the endpoint
    :param slots: highest number of requests processed at once
    :param state: whether the endpoint accepts new requests
    :param cold_ms: time after the start during which the endpoint is slow, in
        milliseconds
    :param started_ms: Unix time of the start, in milliseconds; zero if unknown
    :param version: version of its software; empty if unknown
    :param registered_id: id under which it registers, and which a later start
        may have again
    :param weights: name and version of each model that an engine has loaded,
        sorted; empty if unknown
    :param sequence: number of the entry among those of this start; zero if
        unknown. Entries that differ in it alone are equal
    """

    instance: str
    service: str
    address: str
    data_centre: str
    slots: int
    state: EndpointState
    cold_ms: float = 0
    started_ms: int = 0
    version: str = ''
    registered_id: str = ''
    weights: tuple[tuple[str, int], ...] = ()
    sequence: int = dataclasses.field(default=0, compare=False)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PromptPart:
    """A part of a prompt that several requests may share.

    :param part: id of the part's content
    :param tokens: length of the part, in tokens
    """

    part: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestMetadata:
    """The metadata in a request's head.

    :param request_id: id that the caller gave to this attempt of a request
    :param timeout_ms: the caller's timeout, in milliseconds; ``None`` if not
        given
    :param api_key: the caller's API key; empty if not given
    :param model: name of the requested model
    :param prompt_tokens: length of the prompt, in tokens
    :param output_limit: highest number of output tokens
    :param output_hint: the caller's estimate of the output, in tokens; zero if
        not given
    :param parts: parts of the prompt that may be shared, in order
    :param last_event: number of the last event that the caller has from an
        earlier request; ``None`` if not given
    """

    request_id: str
    timeout_ms: float | None
    api_key: str
    model: str = ''
    prompt_tokens: int = 0
    output_limit: int = 0
    output_hint: int = 0
    parts: tuple[PromptPart, ...] = ()
    last_event: int | None = None


def ranks_short_first(routes: Sequence[Route]) -> bool:
    """Return whether the most urgent routes are shorter than the others.

    Routes are short or long by their timeout, the longest time for which a
    caller waits for the whole answer.

    :param routes: streaming routes of one service
    """
    first = min((route.priority for route in routes), default=0)
    urgent = [route.timeout_ms for route in routes if route.priority == first]
    others = [route.timeout_ms for route in routes if route.priority != first]
    return bool(others) and max(urgent) < min(others)


def _prefix_length(route: Route) -> int:
    return len(route.prefix)
