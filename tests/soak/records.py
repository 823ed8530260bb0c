"""What callers and endpoints saw during a soak."""

import dataclasses
import enum


class Kind(enum.StrEnum):
    """Kinds of requests, named by their route."""

    idempotent = 'lookup'
    non_idempotent = 'book'
    streaming = 'plan'


@dataclasses.dataclass(frozen=True, kw_only=True)
class Outcome:
    """What a caller got for one request, or for one that it sent again.

    :param request_id: id of the request
    :param kind: its kind
    :param node: the node that it was sent to
    :param sent_at: time of sending, in seconds
    :param status: status of the answer; zero without one
    :param is_whole: whether the answer came with its end
    :param body: its body
    :param answered_at: time at which the answer had come, in seconds
    """

    request_id: str
    kind: Kind
    node: str
    sent_at: float
    status: int
    is_whole: bool
    body: bytes
    answered_at: float = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class EndpointRun:
    """A request that an endpoint began to work on.

    :param request_id: id of the request
    :param endpoint: instance of the endpoint
    :param started_at: time of its start, in seconds
    :param is_resumed: whether it went on from another run's memory
    """

    request_id: str
    endpoint: str
    started_at: float
    is_resumed: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class Arrival:
    """A request that reached an endpoint, whether or not it ran there.

    :param request_id: id of the request
    :param endpoint: instance and start of the endpoint
    :param at: time of its arrival, in seconds
    :param pause_s: time that the endpoint asked for when it refused the
        request, in seconds; zero if it did not
    :param is_leaving: whether the answer says that the endpoint leaves
    :param limit: limit that the answer names, in requests a second; zero
        without one
    """

    request_id: str
    endpoint: str
    at: float
    pause_s: float = 0
    is_leaving: bool = False
    limit: float = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class NodeGap:
    """A time in which a node was frozen or did not run.

    :param node: name of the node
    :param start: its start, in seconds
    :param end: its end, in seconds
    """

    node: str
    start: float
    end: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Drill:
    """A return of the store from an older copy.

    :param gone_answers: watches that the store answered with 410 from its
        return until some seconds later
    :param requesters: nodes that ran at some time since the return
    """

    gone_answers: int
    requesters: int


@dataclasses.dataclass(kw_only=True)
class Records:
    """All that was seen.

    :param outcomes: answers to callers
    :param runs: requests that endpoints began to work on
    :param arrivals: requests that reached endpoints
    :param gaps: times in which nodes were frozen or did not run
    :param ended: nodes that ended without being told, with their exit codes
    :param drills: returns of the store from an older copy
    :param key_revoked_at: when the key of the soak's callers was taken away
        for good; ``None`` if it was not
    """

    outcomes: list[Outcome] = dataclasses.field(default_factory=list)
    runs: list[EndpointRun] = dataclasses.field(default_factory=list)
    arrivals: list[Arrival] = dataclasses.field(default_factory=list)
    gaps: list[NodeGap] = dataclasses.field(default_factory=list)
    ended: list[str] = dataclasses.field(default_factory=list)
    drills: list[Drill] = dataclasses.field(default_factory=list)
    key_revoked_at: float | None = None
