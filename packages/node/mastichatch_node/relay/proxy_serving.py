"""Serves requests that partitioned nodes pass on."""

import dataclasses
from typing import Final

import h11

from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.messages import (
    ErrorKind,
    ProxyHop,
    ProxyOutcome,
)
from mastichatch_core.relay.byte_budget import ByteBudget
from mastichatch_core.relay.proxy_choice import has_room
from mastichatch_core.relay.proxy_hop import (
    HOP_HEADER,
    OUTCOME_HEADER,
    PROOF_HEADER,
    PROXY_HEADERS,
    answer_proof,
    is_proof,
    request_proof,
)
from mastichatch_core.units import MS_PER_S
from mastichatch_node import codec
from mastichatch_node.relay.http_client import Headers
from mastichatch_node.relay.http_server import IncomingRequest, ResponseWriter
from mastichatch_node.relay.relay import Relay
from mastichatch_node.relay.store_following import NodeRegistry

# A request cannot have waited for longer at the node that passes it on.
MAX_AGE_MS: Final = 3_600_000.0


class ProxyServer:
    """Accepts the requests of registered nodes, within this node's room."""

    def __init__(
        self,
        relay: Relay,
        registry: NodeRegistry,
        token: str,
        memory_mb: float,
    ) -> None:
        """Start without requests.

        :param relay: handler of requests
        :param registry: registrations of the other nodes
        :param token: secret of this process, which its registration names
        :param memory_mb: memory of the process, in MB
        """
        self._context = relay.context
        self._relay = relay
        self._registry = registry
        self._token = token
        self._memory_mb = memory_mb
        self._in_progress = 0
        self._is_draining = False

    @property
    def _budget(self) -> ByteBudget:
        return self._context.pool.budget

    def set_draining(self) -> None:
        """Accept no further requests, and finish those in progress."""
        self._is_draining = True

    def check_head(self, head: h11.Request, reply: ResponseWriter) -> None:
        """Check that a request comes from a registered node.

        :param head: head of the request
        :param reply: writer of its response, which tells from then on that the
            request did not run
        :raises ConnectionResetError: if it does not
        """
        headers = tuple(head.headers)
        hop = self._read_hop(headers, head.method, head.target)
        if hop is None:
            self._context.telemetry.proxying.count_refusal('unproven')
            raise ConnectionResetError('not a request of a registered node')
        reply.set_added_headers(self._outcome(hop, ProxyOutcome.elsewhere))

    async def handle(
        self, request: IncomingRequest, reply: ResponseWriter
    ) -> None:
        """Respond to a request of another node.

        :param request: the request, whose head was checked
        :param reply: writer of the response
        """
        hop = self._read_hop(request.headers, request.method, request.target)
        if hop is None:
            raise ConnectionResetError('not a request of a registered node')
        reason = self._refusal(hop)
        if reason:
            self._context.telemetry.proxying.count_refusal(reason)
            error = MastichatchError(ErrorKind.peer_unreachable, reason)
            await reply.send(error.status, (), b'')
            return
        age_s = min(max(0, hop.age_ms), MAX_AGE_MS) / MS_PER_S
        passed_on = dataclasses.replace(
            request,
            headers=tuple(
                one for one in request.headers if one[0] not in PROXY_HEADERS
            ),
            arrived_at=request.arrived_at - age_s,
        )
        reply.set_added_headers(self._outcome(hop, ProxyOutcome.answered))
        self._in_progress += 1
        try:
            with self._context.telemetry.proxying.in_progress('in'):
                await self._relay.handle_proxied(
                    passed_on,
                    reply,
                    hop,
                    lambda outcome: self._outcome(hop, outcome),
                )
        finally:
            self._in_progress -= 1

    def _refusal(self, hop: ProxyHop) -> str:
        """Return why a request is not accepted; empty if it is."""
        configuration = self._context.belief.configuration
        if self._is_draining:
            return 'draining'
        # It would be handled as only an older configuration allows.
        if configuration is None or configuration.version < hop.version:
            return 'older_view'
        if self._context.isolation.is_isolated:
            return 'isolated'
        held_share = self._budget.held_share
        if not has_room(self._in_progress, self._memory_mb, held_share):
            return 'no_room'
        return ''

    def _read_hop(
        self, headers: Headers, method: bytes, target: bytes
    ) -> ProxyHop | None:
        """Return what a registered node tells of a request; else ``None``."""
        found = dict(headers)
        encoded = found.get(HOP_HEADER)
        if encoded is None:
            return None
        try:
            hop = codec.decode_json(encoded, ProxyHop)
        except codec.DecodeError:
            return None
        record = self._registry.record(hop.node)
        if record is None or not record.proxy_token:
            return None
        parts = (encoded, method, target)
        expected = request_proof(record.proxy_token, self._token, parts)
        return hop if is_proof(expected, found.get(PROOF_HEADER)) else None

    def _outcome(self, hop: ProxyHop, outcome: ProxyOutcome) -> Headers:
        return (
            (OUTCOME_HEADER, outcome.encode()),
            (PROOF_HEADER, answer_proof(self._token, hop, outcome)),
        )
