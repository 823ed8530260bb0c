"""What operators configure, endpoints report and requests state."""

import dataclasses
import functools
from collections.abc import Mapping
from enum import StrEnum
from types import MappingProxyType


class MalformedError(Exception):
    """A document does not have the shape that it should have."""


class WorkKind(StrEnum):
    """What may be done twice."""

    streaming = 'streaming'
    idempotent = 'idempotent'
    once = 'once'


class EndpointState(StrEnum):
    """Whether an endpoint takes new requests."""

    ready = 'ready'
    draining = 'draining'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WeightedService:
    """One service that a route may send to.

    :param service: name of the service
    :param weight: share relative to the route's other services
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Where requests of a host name and path prefix go.

    :param name: unique name
    :param host: host name that callers ask for
    :param prefix: start of the path
    :param kind: what may be repeated
    :param timeout_ms: longest time a caller may be kept waiting
    :param objective_ms: time to the answer, or to a stream's first event,
        within which a caller is served on time
    :param priority: rank; zero is served first
    :param services: where the requests go, with their weights
    :param attempts: most endpoints that one request may run on
    :param is_public: whether no key is needed
    :param pause_ms: longest pause between a stream's events that is on time
    """

    name: str
    host: str
    prefix: str
    kind: WorkKind
    timeout_ms: float
    objective_ms: float
    priority: int
    services: tuple[WeightedService, ...]
    attempts: int
    is_public: bool
    pause_ms: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Engine:
    """What the engines of a model service bear.

    :param batch_limit: requests processed at once
    :param memory_tokens: size of the key-value memory, in tokens
    :param bytes_per_token: size of one token in that memory
    :param link_bytes_per_ms: rate at which memory moves between engines
    :param can_move: whether a run can be moved to another engine
    :param can_back_up: whether a run's memory can be copied as it grows
    :param tokens_per_event: output tokens in one event of a stream
    """

    batch_limit: int
    memory_tokens: int
    bytes_per_token: float
    link_bytes_per_ms: float
    can_move: bool
    can_back_up: bool
    tokens_per_event: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """One service, as operators describe it.

    :param name: unique name
    :param health_path: path of its health check
    :param connection_limit: connections that an endpoint accepts
    :param cold_rate: requests a second that a cold endpoint bears; zero where
        that is not limited
    :param engine: capacity of its engines; ``None`` for a plain service
    """

    name: str
    health_path: str
    connection_limit: int
    cold_rate: float
    engine: Engine | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClientLimits:
    """Limits on what a caller may send.

    :param header_bytes: largest request head
    :param body_bytes: largest request body
    :param header_timeout_ms: time allowed for a request head
    :param idle_timeout_ms: time after which an idle connection is closed
    """

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Workspace:
    """One customer.

    :param name: unique name
    :param priority: rank that goes before a route's; ``None`` without one
    """

    name: str
    priority: int | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Configuration:
    """One version of the operators' configuration.

    :param version: number of the version; it rises
    :param routes: all routes
    :param services: services by name
    :param limits: limits on callers
    :param keys: workspace of each API key
    :param needs_keys: whether requests need a key unless their route is public
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: ClientLimits
    keys: Mapping[str, Workspace]
    needs_keys: bool

    @functools.cached_property
    def routes_by_host(self) -> Mapping[str, tuple[Route, ...]]:
        """Routes of each host name, longest prefix first."""
        hosts: dict[str, tuple[Route, ...]] = {}
        for route in sorted(self.routes, key=_prefix_length, reverse=True):
            hosts[route.host] = (*hosts.get(route.host, ()), route)
        return MappingProxyType(hosts)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Endpoint:
    """One running endpoint, as it registers itself.

    :param instance: id of this run of the endpoint
    :param service: name of its service
    :param address: IP address and port
    :param data_centre: data centre that it stands in
    :param slots: requests processed at once
    :param state: whether it takes new requests
    :param cold_ms: time for which it is slow after its start
    :param started_ms: Unix time of its start; zero where it is not told
    """

    instance: str
    service: str
    address: str
    data_centre: str
    slots: int
    state: EndpointState
    cold_ms: float = 0
    started_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PromptPart:
    """A part of a prompt that several requests may share.

    :param part: id of the part's content
    :param tokens: its length
    """

    part: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestFacts:
    """What a request's head states about it.

    :param request_id: the caller's id of this attempt
    :param timeout_ms: how long the caller will wait; ``None`` if not stated
    :param api_key: the caller's key; empty without one
    :param model: model asked for
    :param prompt_tokens: length of the prompt
    :param output_limit: most output tokens
    :param output_hint: the caller's estimate of the output, zero without one
    :param parts: parts of the prompt, in order
    """

    request_id: str
    timeout_ms: float | None
    api_key: str
    model: str = ''
    prompt_tokens: int = 0
    output_limit: int = 0
    output_hint: int = 0
    parts: tuple[PromptPart, ...] = ()


def _prefix_length(route: Route) -> int:
    return len(route.prefix)
