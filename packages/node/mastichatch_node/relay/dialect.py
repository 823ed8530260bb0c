"""Interface between the relay and an adapter of a platform.

An adapter translates between the platform's protocol and the relay. It makes no
routing decisions.
"""

import dataclasses
from collections.abc import Awaitable, Callable

from mastichatch_core.relay.model import Endpoint, RequestMetadata
from mastichatch_core.relay.server_limits import LimitNotice
from mastichatch_node.relay.http_client import ResponseHead, Headers


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Resumption:
    """Location of the KV cache from which an interrupted run resumes.

    :param address: address of the endpoint that issued the handle
    :param handle: identifier of the copy at that endpoint
    :param last_event: number of the last event that the caller has, perhaps
        from an earlier request; ``None`` if the run goes on where the caller's
        request lets it begin
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
    :param urgency: urgency of a generation, from 0, the most urgent, to 9;
        ``None`` if the engine is not told
    """

    endpoint: Endpoint
    timeout_ms: float
    workspace: str
    copy_address: str = ''
    resumption: Resumption | None = None
    urgency: int | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MoveOrder:
    """Order to an engine to copy a run to another engine.

    :param address: address of the engine that executes the run
    :param request_id: id of the run's request
    :param target: address of the destination engine
    :param is_final: whether the run stops at the source
    :param on_connect: called once a connection to the engine is established
    """

    address: str
    request_id: str
    target: str
    is_final: bool = False
    on_connect: Callable[[], None] | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MoveResponse:
    """Response of an engine to an order to copy a run to another engine.

    :param status: HTTP status; zero without a response
    :param handle: identifier of the copy; empty without one
    :param is_connection_refused: whether the engine's host refused the
        connection
    :param is_unreachable: whether no connection was established for any other
        reason
    """

    status: int
    handle: str = ''
    is_connection_refused: bool = False
    is_unreachable: bool = False

    @property
    def was_sent(self) -> bool:
        """Whether the engine may have received the order."""
        return not (self.is_connection_refused or self.is_unreachable)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Dialect:
    """Functions that implement the platform's headers and engine calls.

    :param read_facts: decodes the headers of a caller's request
    :param relayed_headers: returns the headers of a forwarded request
    :param proxied_headers: returns the headers of a request that is passed on
        to another node
    :param response_headers: returns the response headers for the caller
    :param proves_not_run: returns whether a response proves that the request
        was not executed
    :param read_response_id: returns the id of the request that a response
        belongs to, or ``None`` if it names none
    :param says_leaving: returns whether an endpoint announces its shutdown in
        a response
    :param read_pause_s: returns the time for which an endpoint that turns a
        request away wants no others, in seconds; ``None`` without a valid one
    :param read_limit: returns what a response says of its endpoint's limit;
        ``None`` if it says nothing
    :param read_brittle: returns the rejections a second from which on the
        response's endpoint falls over, as its ``per_s``; ``None`` if it says
        nothing
    :param is_genuine: returns whether a successful response has the
        endpoint's signature
    :param query_departure: asks an engine, given its address, whether it is
        about to be removed; returns ``None`` without a response
    :param move_run: orders an engine to copy a run
    :param drop_copy: asks an engine to free a copy; arguments are the engine's
        address and the handle
    """

    read_facts: Callable[[Headers], RequestMetadata]
    relayed_headers: Callable[[Headers, ForwardingContext], Headers]
    proxied_headers: Callable[[Headers], Headers]
    response_headers: Callable[[Headers], Headers]
    proves_not_run: Callable[[ResponseHead], bool]
    read_response_id: Callable[[ResponseHead], str | None]
    says_leaving: Callable[[ResponseHead], bool]
    read_pause_s: Callable[[ResponseHead], float | None]
    read_limit: Callable[[ResponseHead], LimitNotice | None]
    read_brittle: Callable[[ResponseHead], LimitNotice | None]
    is_genuine: Callable[[ResponseHead], bool]
    query_departure: Callable[[str], Awaitable[bool | None]]
    move_run: Callable[[MoveOrder], Awaitable[MoveResponse]]
    drop_copy: Callable[[str, str], Awaitable[None]]
