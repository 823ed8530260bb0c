"""Interface between the relay and an adapter of a platform.

An adapter translates between the platform's protocol and the relay. It makes no
routing decisions.
"""

import dataclasses
from collections.abc import Awaitable, Callable

from mastichatch_core.relay.model import Endpoint, RequestMetadata
from mastichatch_node.relay.http_client import ResponseHead, Headers


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Resumption:
    """Location of the KV cache from which an interrupted run resumes.

    :param address: address of the endpoint that issued the handle
    :param handle: identifier of the copy at that endpoint
    :param last_event: number of the last event sent to the caller; ``None``
        before the first event
    """

    address: str
    handle: str
    last_event: int | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ForwardingContext:
    """Values that the relay adds to the headers of a forwarded request.

    :param endpoint: the only endpoint that may run the request
    :param timeout_ms: time left until the deadline, in milliseconds
    :param workspace: name of the caller's workspace; empty on a public route
    :param copy_address: address of the endpoint that is to hold a backup of
        the run's KV cache; empty without a backup
    :param resumption: location from which an interrupted run resumes
    """

    endpoint: Endpoint
    timeout_ms: float
    workspace: str
    copy_address: str = ''
    resumption: Resumption | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MoveResponse:
    """Response of an engine to a request to copy a run to another engine.

    :param status: HTTP status; zero without a response
    :param handle: identifier of the copy; empty without one
    """

    status: int
    handle: str = ''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Dialect:
    """Functions that implement the platform's headers and engine calls.

    :param read_facts: decodes the headers of a caller's request
    :param relayed_headers: returns the headers of a forwarded request
    :param response_headers: returns the response headers for the caller
    :param proves_not_run: returns whether a response proves that the request
        was not executed
    :param read_response_id: returns the id of the request that a response
        belongs to, or ``None`` if it names none
    :param is_genuine: returns whether a successful response has the
        endpoint's signature
    :param query_departure: asks an engine, given its address, whether it is
        about to be removed; returns ``None`` without a response
    :param move_run: asks an engine to copy a run; arguments are the engine's
        address, the request id, the destination's address and whether the run
        stops at the source
    :param drop_copy: asks an engine to free a copy; arguments are the engine's
        address and the handle
    """

    read_facts: Callable[[Headers], RequestMetadata]
    relayed_headers: Callable[[Headers, ForwardingContext], Headers]
    response_headers: Callable[[Headers], Headers]
    proves_not_run: Callable[[ResponseHead], bool]
    read_response_id: Callable[[ResponseHead], str | None]
    is_genuine: Callable[[ResponseHead], bool]
    query_departure: Callable[[str], Awaitable[bool | None]]
    move_run: Callable[[str, str, str, bool], Awaitable[MoveResponse]]
    drop_copy: Callable[[str, str], Awaitable[None]]
