"""Reports the state of this node to operators and the load balancer."""

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
    """Answers the queries of operators and the load balancer about a node."""

    def __init__(
        self,
        peers: Peers,
        membership: Membership,
        configuration: Configuration,
        scheduler_host: SchedulerHost,
        decisions: DecisionLog,
        active: ActiveRequests,
    ) -> None:
        """Register the handler for explain queries of other nodes.

        :param peers: connections to the other nodes
        :param membership: the known nodes
        :param configuration: the configuration in force
        :param scheduler_host: schedulers that this node hosts
        :param decisions: decisions that this node has logged
        :param active: counts the requests in progress
        """
        self._peers = peers
        self._membership = membership
        self._configuration = configuration
        self._scheduler_host = scheduler_host
        self._decisions = decisions
        self._active = active
        peers.on(
            MessageKind.explain_query, ExplainQuery, self._answer_explain_query
        )

    @property
    def is_draining(self) -> bool:
        """Whether a planned stop is in progress."""
        return self._membership.own.draining

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer may send new requests."""
        has_configuration = self._configuration.current is not None
        return has_configuration and not self.is_draining

    def status(self) -> NodeStatus:
        """Return the state of this node as operators see it."""
        own = self._membership.own
        return NodeStatus(
            name=own.name,
            incarnation=own.incarnation,
            data_centre=own.data_centre,
            revision=self._configuration.revision,
            ready=self.is_ready,
            draining=own.draining,
            members=self._create_member_statuses(),
            schedulers=self._create_scheduler_statuses(),
            streams=self._active.count,
        )

    async def explain(self, request_id: str) -> ExplainAnswer:
        """Return the decisions of all nodes about a request, oldest first.

        Nodes that do not answer are left out.

        :param request_id: id of the request
        """
        own = self._membership.own.name
        queries = (
            self._query_decisions(member.peer_address, request_id)
            for member in self._membership.all_known()
            if member.name != own
        )
        answers = await asyncio.gather(*queries)
        decisions = list(self._decisions.of(request_id))
        for answer in answers:
            decisions.extend(answer)
        decisions.sort(key=lambda decision: decision.at_epoch_ms)
        return ExplainAnswer(decisions=tuple(decisions))

    async def _query_decisions(
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

    async def _answer_explain_query(
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

    def _create_member_statuses(self) -> tuple[MemberStatus, ...]:
        reachable = self._membership.reachable_names()
        own = self._membership.own
        draining = {
            member.name: member.draining
            for member in self._membership.all_known()
            if member.data_centre == own.data_centre
        }
        names = sorted(self._membership.expected_names() | set(draining))
        return tuple(
            MemberStatus(
                name=name,
                heard=name in reachable,
                draining=draining.get(name, False),
            )
            for name in names
        )

    def _create_scheduler_statuses(self) -> tuple[SchedulerStatus, ...]:
        return tuple(
            SchedulerStatus(
                service=hosted.scheduler.service,
                term=hosted.term.number,
                waiting=hosted.scheduler.waiting_count,
                free=hosted.scheduler.free_count,
            )
            for hosted in self._scheduler_host.hosted
        )
