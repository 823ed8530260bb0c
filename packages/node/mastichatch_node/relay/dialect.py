"""What an adapter must provide: the wire's names and calls, not decisions."""

import dataclasses
from collections.abc import Awaitable, Callable

from mastichatch_core.relay.model import Endpoint, RequestMetadata
from mastichatch_node.relay.exchange import Head, Headers


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Resumption:
    """Where the memory of an interrupted run is.

    :param address: address of the endpoint that names the copy
    :param handle: its name there
    :param last_event: number of the last event that the caller has; ``None``
        before the first
    """

    address: str
    handle: str
    last_event: int | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Passing:
    """What the system adds to a request that it passes on.

    :param endpoint: the only endpoint that may run it
    :param timeout_ms: time that is left
    :param workspace: the caller's workspace; empty without one
    :param copy_address: endpoint that is to keep a copy of the run's memory
    :param resumption: where an interrupted run goes on from
    """

    endpoint: Endpoint
    timeout_ms: float
    workspace: str
    copy_address: str = ''
    resumption: Resumption | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MoveAnswer:
    """What an engine answers to a request to copy a run elsewhere.

    :param status: HTTP status; zero without an answer
    :param handle: name of the copy; empty without one
    """

    status: int
    handle: str = ''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Dialect:
    """The wire's names, as functions.

    :param read_facts: decodes the head of a caller's request
    :param relayed_headers: headers that a request is passed on with
    :param answer_headers: headers of an answer that go to the caller
    :param proves_not_run: whether an answer proves that nothing ran
    :param is_answer_to: whether an answer belongs to a request id
    :param is_genuine: whether a success bears the endpoint's signature
    :param says_it_leaves: asks an engine, given its address, whether it is
        about to be taken away; ``None`` without an answer
    :param move_run: asks an engine to copy a run; arguments are its address,
        the request id, the destination's address and whether the run is to
        stop there
    :param drop_copy: asks an engine to free a copy; arguments are its address
        and the handle
    """

    read_facts: Callable[[Headers], RequestMetadata]
    relayed_headers: Callable[[Headers, Passing], Headers]
    answer_headers: Callable[[Headers], Headers]
    proves_not_run: Callable[[Head], bool]
    is_answer_to: Callable[[Head, str], bool]
    is_genuine: Callable[[Head], bool]
    says_it_leaves: Callable[[str], Awaitable[bool | None]]
    move_run: Callable[[str, str, str, bool], Awaitable[MoveAnswer]]
    drop_copy: Callable[[str, str], Awaitable[None]]
