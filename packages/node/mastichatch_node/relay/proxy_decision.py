"""Decides which requests this node passes on to other nodes."""

import dataclasses

from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.messages import ErrorKind, ProxyRun
from mastichatch_core.relay.events import EventOrder
from mastichatch_node.relay.context import Job, RelayContext
from mastichatch_node.relay.run_transfer import RunLocation


@dataclasses.dataclass(frozen=True, slots=True)
class LeftRun:
    """A run that goes on at another node.

    :param run: what that node is told of it
    :param order: events that the caller has
    :param copies: copies of it that this node frees if no node accepts it
    """

    run: ProxyRun
    order: EventOrder
    copies: tuple[RunLocation, ...] = ()


class PassOnError(MastichatchError):
    """A request goes on at another node, if one accepts it.

    It is what the caller gets if none does.

    :param earlier_attempts: attempts of this node that may have run
    :param left: the run, if one is in progress
    """

    def __init__(
        self, earlier_attempts: int = 0, left: LeftRun | None = None
    ) -> None:
        """Set the kind of the error by what may have run."""
        kind = ErrorKind.peer_unreachable
        if earlier_attempts:
            kind = ErrorKind.outcome_unknown
        super().__init__(kind, 'no endpoint and no other node was reached')
        self.earlier_attempts = earlier_attempts
        self.left = left


def must_pass_on(context: RelayContext, job: Job) -> bool:
    """Return whether a request goes to another node instead of an endpoint.

    A request that another node has passed on never does.

    :param context: shared components of the relay
    :param job: the request, of which nothing is in progress
    """
    if job.hop is not None or not context.isolation.is_isolated:
        return False
    return context.proxy_peers.has_any


def may_pass_on_unsent(context: RelayContext, job: Job) -> bool:
    """Return whether a request may go to another node that was never sent.

    That is so before it is certain that this node is partitioned, too. Another
    node that has passed the request on chooses a third one.

    :param context: shared components of the relay
    :param job: the request
    """
    isolation = context.isolation
    if not isolation.is_isolated and isolation.reaches(job.service.name):
        return False
    return job.hop is not None or context.proxy_peers.has_any
