"""Logs routing and placement decisions, and keeps the latest in memory."""

import collections
import time

from absl import logging

from mastichatch_core.generated.messages import CandidateScore, Decision
from mastichatch_core.units import MS_PER_S
from mastichatch_node import codec


class DecisionLog:
    """Log decisions and keep a node's latest ones by request id.

    :param node: name of this host
    :param limit: number of decisions kept
    """

    def __init__(self, node: str, limit: int) -> None:
        """Start with no decision."""
        self._node = node
        self._limit = limit
        self._request_ids: collections.deque[str] = collections.deque()
        # Encoded decisions take a fraction of the memory of objects, and the
        # garbage collector does not have to traverse them.
        self._by_request: dict[str, tuple[bytes, ...]] = {}

    def note(
        self,
        event: str,
        request_id: str,
        *,
        choice: str = '',
        reason: str = '',
        term: int = 0,
        revision: int = 0,
        candidates: tuple[CandidateScore, ...] = (),
    ) -> None:
        """Log a decision and keep it.

        :param event: name of the event, such as ``call_sent``
        :param request_id: id of the request, or name of the subject
        :param choice: endpoint, node or data centre that was chosen
        :param reason: why it was chosen
        :param term: number of the scheduler's term; zero without a scheduler
        :param revision: current configuration revision
        :param candidates: candidates that were considered, with scores
        """
        decision = Decision(
            event=event,
            request_id=request_id,
            node=self._node,
            choice=choice,
            reason=reason,
            term=term,
            revision=revision,
            at_epoch_ms=int(time.time() * MS_PER_S),
            candidates=candidates,
        )
        self._store(decision)
        _log(decision)

    def of(self, request_id: str) -> tuple[Decision, ...]:
        """Return the kept decisions about a request, oldest first.

        :param request_id: id of the request
        """
        return tuple(
            codec.decode(encoded, Decision)
            for encoded in self._by_request.get(request_id, ())
        )

    def _store(self, decision: Decision) -> None:
        request_id = decision.request_id
        self._request_ids.append(request_id)
        kept = self._by_request.get(request_id, ())
        self._by_request[request_id] = (*kept, codec.encode(decision))
        if len(self._request_ids) > self._limit:
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        request_id = self._request_ids.popleft()
        kept = self._by_request.pop(request_id)[1:]
        if kept:
            self._by_request[request_id] = kept


def create_decision_log(node: str, limit: int) -> DecisionLog:
    """Return an empty decision log.

    :param node: name of this host
    :param limit: number of decisions kept
    """
    return DecisionLog(node, limit)


def _log(decision: Decision) -> None:
    if not logging.level_info():
        return
    # The log formatter adds the event, the node and the time.
    fields = {
        'request_id': decision.request_id,
        'choice': decision.choice,
        'reason': decision.reason,
        'term': decision.term,
        'revision': decision.revision,
        'candidates': decision.candidates,
    }
    logging.info(decision.event, extra=fields)
