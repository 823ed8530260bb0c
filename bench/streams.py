"""One request of a run, and the messages that tell of it."""

import dataclasses
from typing import Final

from bench.policies import SERVICE
from bench.workloads import Arrival
from mastichatch_core.generated.messages import (
    HeldPermit,
    PermitOutcome,
    PermitRelease,
    PermitRequest,
)

PATIENCE_S: Final = 30.0


@dataclasses.dataclass(slots=True)
class Stream:
    """One attempt at one request.

    :param arrival: the request
    :param node: node that took it
    :param attempt: number of the try
    :param data_centre: data centre whose scheduler was asked
    :param tried: data centres that refused
    :param excluded: endpoints that failed
    :param endpoint: endpoint that it runs at
    :param sent_at: when it was sent there, in seconds
    :param first_at: time of its first token, in seconds
    :param last_at: time of its last token, in seconds
    :param produced: tokens so far
    """

    arrival: Arrival
    node: str
    attempt: int = 0
    data_centre: str = ''
    tried: frozenset[str] = frozenset()
    excluded: tuple[str, ...] = ()
    endpoint: str = ''
    sent_at: float = 0
    first_at: float | None = None
    last_at: float = 0
    produced: int = 0

    @property
    def key(self) -> str:
        """Unique name of the attempt."""
        return f'{self.arrival.name}.{self.attempt}'


def permit_request(stream: Stream, now: float, *, exact: bool) -> PermitRequest:
    """Return the message that asks for a permit.

    :param stream: the request
    :param now: time in seconds
    :param exact: whether it tells how long the output will be
    """
    arrival = stream.arrival
    waited = now - arrival.at
    return PermitRequest(
        request_id=arrival.name,
        attempt=stream.attempt,
        service=SERVICE,
        workspace=arrival.workspace,
        node=stream.node,
        request_class=arrival.request_class,
        prompt_tokens=arrival.prompt_tokens,
        max_tokens=arrival.output_tokens if exact else 0,
        prefix_hash=arrival.prefix,
        waited_ms=waited * 1000,
        deadline_ms=(PATIENCE_S - waited) * 1000,
        excluded=stream.excluded,
    )


def held_permit(stream: Stream) -> HeldPermit:
    """Return what a registration tells of a stream.

    :param stream: the stream
    """
    return HeldPermit(
        request_id=stream.arrival.name,
        attempt=stream.attempt,
        endpoint=stream.endpoint,
        workspace=stream.arrival.workspace,
        request_class=stream.arrival.request_class,
        prompt_tokens=stream.arrival.prompt_tokens,
        output_tokens=stream.produced,
        used=True,
    )


def permit_release(stream: Stream, outcome: PermitOutcome) -> PermitRelease:
    """Return the message that gives a permit back.

    :param stream: the stream
    :param outcome: how it ended
    """
    first = stream.first_at
    waited = 0 if first is None else first - stream.sent_at
    spent = 0 if first is None else stream.last_at - first
    return PermitRelease(
        request_id=stream.arrival.name,
        attempt=stream.attempt,
        service=SERVICE,
        endpoint=stream.endpoint,
        outcome=outcome,
        output_tokens=stream.produced,
        first_token_ms=waited * 1000,
        gap_ms=spent * 1000 / max(1, stream.produced - 1),
    )
