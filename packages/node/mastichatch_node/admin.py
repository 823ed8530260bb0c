"""Answers operators and the balancer about this node."""

import asyncio
from typing import Final

from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.messages import (
    Decision,
    Envelope,
    ExplainAnswer,
    ExplainQuery,
    MemberStatus,
    MessageKind,
    NodeStatus,
    SchedulerStatus,
)
from mastichatch_node.configuration import Configuration
from mastichatch_node.decisions import DecisionLog
from mastichatch_node.membership import Membership
from mastichatch_node.peers import Peers, Reply
from mastichatch_node.requests import ActiveRequests
from mastichatch_node.scheduler_hosting import SchedulerHost

_EXPLAIN_TIMEOUT_MS: Final = 1000


class Admin:
    """What operators and the balancer may ask of a node."""

    def __init__(
        self,
        peers: Peers,
        membership: Membership,
        configuration: Configuration,
        scheduling: SchedulerHost,
        decisions: DecisionLog,
        active: ActiveRequests,
    ) -> None:
        """Use the node's parts, and answer other nodes' queries."""
        self._peers = peers
        self._membership = membership
        self._configuration = configuration
        self._scheduling = scheduling
        self._decisions = decisions
        self._active = active
        peers.on(MessageKind.explain_query, ExplainQuery, self._on_query)

    @property
    def is_draining(self) -> bool:
        """Whether a planned stop is under way."""
        return self._membership.own.draining

    @property
    def is_ready(self) -> bool:
        """Whether the balancer may send new requests."""
        configured = self._configuration.current is not None
        return configured and not self.is_draining

    def status(self) -> NodeStatus:
        """Return the state of this node."""
        own = self._membership.own
        return NodeStatus(
            name=own.name,
            incarnation=own.incarnation,
            data_centre=own.data_centre,
            revision=self._configuration.revision,
            ready=self.is_ready,
            draining=own.draining,
            members=self._members(),
            schedulers=self._schedulers(),
            streams=self._active.count,
        )

    async def explain(self, request_id: str) -> ExplainAnswer:
        """Return all nodes' decisions on a request, oldest first.

        :param request_id: id of the request
        """
        own = self._membership.own.name
        asked = (
            self._ask(member.peer_address, request_id)
            for member in self._membership.all_known()
            if member.name != own
        )
        answers = await asyncio.gather(*asked)
        decisions = list(self._decisions.of(request_id))
        for answer in answers:
            decisions.extend(answer)
        decisions.sort(key=lambda decision: decision.at_epoch_ms)
        return ExplainAnswer(decisions=tuple(decisions))

    async def _ask(
        self,
        address: str,
        request_id: str,
    ) -> tuple[Decision, ...]:
        try:
            answer = await self._peers.ask(
                address,
                MessageKind.explain_query,
                ExplainQuery(request_id=request_id),
                ExplainAnswer,
                timeout_ms=_EXPLAIN_TIMEOUT_MS,
            )
        except MastichatchError:
            return ()
        return answer.decisions

    async def _on_query(
        self,
        query: ExplainQuery,
        envelope: Envelope,
    ) -> Reply:
        return Reply(
            kind=MessageKind.explain_answer,
            message=ExplainAnswer(
                decisions=self._decisions.of(query.request_id),
            ),
        )

    def _members(self) -> tuple[MemberStatus, ...]:
        heard = self._membership.heard()
        own = self._membership.own
        draining = {
            member.name: member.draining
            for member in self._membership.all_known()
            if member.data_centre == own.data_centre
        }
        names = sorted(self._membership.expected() | set(draining))
        return tuple(
            MemberStatus(
                name=name,
                heard=name in heard,
                draining=draining.get(name, False),
            )
            for name in names
        )

    def _schedulers(self) -> tuple[SchedulerStatus, ...]:
        return tuple(
            SchedulerStatus(
                service=hosted.scheduler.service,
                term=hosted.term.number,
                waiting=hosted.scheduler.waiting_count,
                free=hosted.scheduler.free_count,
            )
            for hosted in self._scheduling.hosted
        )
