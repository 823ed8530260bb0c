"""Tracks the engines that may be at work on a run.

Load pattern: paths reset connections, engines answer late, and some engines do
not drop a run when its connection closes. A run may be at work on each engine
to which its request was sent, until an answer of that engine proves otherwise:
the end of the run, a refusal, or the answer to an order to stop. The end of a
connection proves nothing.
"""

import dataclasses
from enum import StrEnum

from mastichatch_core.relay.model import Endpoint


class Ending(StrEnum):
    """How the connection to an engine ended, which proves nothing."""

    by_peer = 'closed by the peer'
    by_node = 'closed by this node'
    given_up = 'given up'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineWork:
    """An engine that may be at work on a run.

    :param endpoint: the engine
    :param sent_at: loop time at which the request was sent to it, in seconds
    :param has_begun: whether it has begun its answer
    :param ending: how its connection ended; ``None`` while it is open
    """

    endpoint: Endpoint
    sent_at: float
    has_begun: bool = False
    ending: Ending | None = None


class RunEngines:
    """The engines that may be at work on one run."""

    def __init__(self) -> None:
        """Start without engines."""
        self._works: dict[str, EngineWork] = {}

    def record_request(self, endpoint: Endpoint, now: float) -> None:
        """Record that the request is about to be sent to an engine.

        :param endpoint: the engine
        :param now: current time, in seconds
        """
        self._works[endpoint.instance] = EngineWork(
            endpoint=endpoint, sent_at=now
        )

    def record_answer(self, endpoint: Endpoint) -> None:
        """Record that an engine has begun its answer.

        :param endpoint: the engine
        """
        self._update(endpoint, has_begun=True)

    def record_disconnect(self, endpoint: Endpoint, ending: Ending) -> None:
        """Record that the connection to an engine has ended.

        :param endpoint: the engine
        :param ending: how it ended
        """
        self._update(endpoint, ending=ending)

    def record_proof(self, endpoint: Endpoint) -> None:
        """Record a proof that an engine is not at work on the run.

        :param endpoint: the engine
        """
        self._works.pop(endpoint.instance, None)

    def has(self, endpoint: Endpoint) -> bool:
        """Return whether an engine may be at work on the run.

        :param endpoint: the engine
        """
        return endpoint.instance in self._works

    def has_begun(self, endpoint: Endpoint) -> bool:
        """Return whether an engine has begun its answer, or has ended since.

        :param endpoint: the engine
        """
        work = self._works.get(endpoint.instance)
        return work is None or work.has_begun

    def was_closed_by_peer(self, endpoint: Endpoint) -> bool:
        """Return whether an engine's connection has ended, unless by this node.

        :param endpoint: the engine
        """
        work = self._works.get(endpoint.instance)
        return work is not None and work.ending is Ending.by_peer

    def sent_at(self, endpoint: Endpoint) -> float | None:
        """Return when the request was sent to an engine, in seconds.

        :param endpoint: the engine
        :returns: ``None`` if it is not at work on the run
        """
        work = self._works.get(endpoint.instance)
        return None if work is None else work.sent_at

    def except_for(self, endpoint: Endpoint | None) -> tuple[EngineWork, ...]:
        """Return the engines that may be at work, except for one.

        :param endpoint: the engine to leave out; ``None`` for none
        """
        left_out = '' if endpoint is None else endpoint.instance
        return tuple(
            work
            for instance, work in self._works.items()
            if instance != left_out
        )

    def _update(self, endpoint: Endpoint, **changes: object) -> None:
        work = self._works.get(endpoint.instance)
        if work is not None:
            self._works[endpoint.instance] = dataclasses.replace(
                work,
                **changes,  # type: ignore[arg-type]
            )
