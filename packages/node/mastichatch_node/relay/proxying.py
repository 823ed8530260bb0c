"""Passes requests of callers on to nodes that reach the endpoints.

Load pattern: nodes are partitioned from all endpoints, while callers and other
nodes still reach them. Each node that is connected serves their callers, too.
"""

import asyncio
import dataclasses
import secrets
from typing import Final

from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.messages import (
    ErrorKind,
    ProxyHop,
    ProxyOutcome,
    ProxyRun,
)
from mastichatch_core.generated.records import NodeRecord
from mastichatch_core.relay.byte_budget import Purpose
from mastichatch_core.relay.events import EventOrder
from mastichatch_core.relay.model import RequestKind
from mastichatch_core.relay.proxy_hop import (
    HOP_HEADER,
    NONCE_BYTES,
    OUTCOME_HEADER,
    PROOF_HEADER,
    answer_proof,
    is_proof,
    request_proof,
)
from mastichatch_core.units import MS_PER_S
from mastichatch_node import codec
from mastichatch_node.clock import loop_time
from mastichatch_node.relay import helper_loss
from mastichatch_node.relay.context import Job, RelayContext
from mastichatch_node.relay.endpoint_attempt import (
    FIRST_SERVER_ERROR,
    start_reply,
)
from mastichatch_node.relay.event_reading import open_event_reader
from mastichatch_node.relay.http_client import (
    Connection,
    ExchangeError,
    OutgoingRequest,
    ResponseHead,
    pooled_connection,
    read_beginning,
)
from mastichatch_node.relay.http_server import ResponseWriter
from mastichatch_node.relay.proxy_decision import LeftRun, PassOnError
from mastichatch_node.relay.proxy_metrics import ProxyMetrics
from mastichatch_node.relay.turns import piece_cost_bytes

# Most nodes that are asked to accept a request, as each of them takes time.
MAX_NODES_ASKED: Final = 3
# The receiving node closes idle connections later, by all configurations.
IDLE_LIMIT_S: Final = 1.0
# A longer answer is passed on as it comes. A shorter one is complete before.
PASS_ON_BYTES: Final = 65536
ANSWER_LIMIT_BYTES: Final = 16 * 1024 * 1024
# With less time left, another node cannot answer before the deadline.
MIN_TIME_LEFT_MS: Final = 15.0
NOT_SENT: Final = 'not_sent'
BROKEN_OFF: Final = 'broken_off'
_OK: Final = 200


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Result:
    """What became of a request at another node.

    :param outcome: outcome, as the node proved it; ``not_sent`` if no
        connection was established, and ``broken_off`` if the node closed it
        before the end of a stream
    :param reason: description of a failure
    """

    outcome: str
    reason: str = ''


class PeerProxy:
    """Passes requests on, each to one node after the other."""

    def __init__(self, context: RelayContext, token: str) -> None:
        """Start without requests.

        :param context: shared components of the node
        :param token: secret of this process, which its registration names
        """
        self._context = context
        self._token = token

    @property
    def _metrics(self) -> ProxyMetrics:
        return self._context.telemetry.proxying

    async def relay(
        self,
        job: Job,
        reply: ResponseWriter,
        error: PassOnError,
        *,
        is_counted: bool,
    ) -> bool:
        """Pass a request on, and its answer back to the caller.

        :param job: the request
        :param reply: writer of the response
        :param error: what is known of its attempts at this node
        :param is_counted: whether its first attempt has added to the retry
            budget
        :returns: whether a node has accepted it
        :raises PassOnError: if a node that has accepted it has died, and its
            run may go on
        :raises MastichatchError: if a node has accepted it, and there is no
            complete answer otherwise
        """
        run, order = _known(job, error.left)
        hop = ProxyHop(
            node=self._context.node,
            nonce='',
            age_ms=0,
            version=_version(self._context),
            attempts=error.earlier_attempts,
            is_counted=is_counted,
            run=run,
        )
        asked: set[str] = set()
        while len(asked) < MAX_NODES_ASKED:
            record = self._context.proxy_peers.choose(asked)
            if record is None or job.left_ms() < MIN_TIME_LEFT_MS:
                break
            asked.add(record.name)
            result = await self._try_node(record, job, reply, hop, order)
            if result.outcome in {ProxyOutcome.answered, ProxyOutcome.refused}:
                return True
            if result.outcome == BROKEN_OFF:
                raise await self._describe_loss(record, job, order, error.left)
            hop = self._next_hop(record, job, reply, hop, result)
        if hop.attempts > error.earlier_attempts:
            raise MastichatchError(
                ErrorKind.outcome_unknown, 'no node repeats the request'
            )
        return False

    def _next_hop(
        self,
        record: NodeRecord,
        job: Job,
        reply: ResponseWriter,
        hop: ProxyHop,
        result: _Result,
    ) -> ProxyHop:
        """Return the hop to another node, after one that has no answer.

        :raises MastichatchError: if there is none
        """
        if result.outcome == ProxyOutcome.unknown:
            return self._repeat(job, reply, hop, result)
        self._context.proxy_peers.avoid(record.name)
        return hop

    async def _describe_loss(
        self,
        record: NodeRecord,
        job: Job,
        order: EventOrder,
        left: LeftRun | None,
    ) -> MastichatchError:
        """Return the error for a stream that a node has broken off.

        A node that lives on has given the run up, and may know of engines that
        are still at work on it.
        """
        lost = MastichatchError(ErrorKind.generation_lost, 'broken off')
        if not await helper_loss.has_ended(self._context, record):
            return lost
        former, _ = _known(job, left)
        copies = () if left is None else left.copies
        run = helper_loss.find_run(
            self._context, record.name, job, order, former
        )
        if run is not None:
            return PassOnError(1, LeftRun(run, order, copies))
        for copy in copies:
            self._context.stopper.free(copy)
        return lost

    def _repeat(
        self, job: Job, reply: ResponseWriter, hop: ProxyHop, result: _Result
    ) -> ProxyHop:
        """Return the hop of a further attempt, after one that may have run.

        :raises MastichatchError: if there is none
        """
        attempts = hop.attempts + 1
        may_repeat = (
            job.route.kind is RequestKind.idempotent
            and not reply.status
            and attempts < job.route.attempts
            and job.left_ms() >= MIN_TIME_LEFT_MS
        )
        if not may_repeat or not self._context.retries.try_spend():
            raise MastichatchError(ErrorKind.outcome_unknown, result.reason)
        return dataclasses.replace(hop, attempts=attempts, is_counted=True)

    async def _try_node(
        self,
        record: NodeRecord,
        job: Job,
        reply: ResponseWriter,
        hop: ProxyHop,
        order: EventOrder,
    ) -> _Result:
        """Pass a request on to one node, and log and count the outcome."""
        started_at = loop_time()
        age_s = started_at - job.request.arrived_at
        exchange = _Exchange(
            self._context,
            job,
            reply,
            record,
            dataclasses.replace(
                hop,
                nonce=secrets.token_hex(NONCE_BYTES),
                age_ms=age_s * MS_PER_S,
            ),
            order,
        )
        outcome: str = 'cancelled'
        reason = ''
        try:
            with (
                self._context.proxy_peers.counted(record.name),
                self._metrics.in_progress('out'),
            ):
                result = await exchange.run(self._token)
            outcome, reason = result.outcome, result.reason
        finally:
            self._metrics.count_sent(outcome)
            self._context.telemetry.log_decision(
                'request_proxied',
                job.request_id,
                peer=record.name,
                route=job.route.name,
                outcome=outcome,
                status=reply.status,
                reason=reason,
                earlier_attempts=hop.attempts,
                is_run=hop.run is not None,
                head_ms=exchange.head_ms,
                took_ms=round((loop_time() - started_at) * MS_PER_S),
                left_ms=round(job.left_ms()),
            )
        return result


class _Exchange:
    """One request that is passed on to one node."""

    def __init__(
        self,
        context: RelayContext,
        job: Job,
        reply: ResponseWriter,
        record: NodeRecord,
        hop: ProxyHop,
        order: EventOrder,
    ) -> None:
        """Start before the request.

        :param context: shared components of the node
        :param job: the request
        :param reply: writer of the response
        :param record: registration of the node that gets it
        :param hop: what that node is told
        :param order: events that the caller has
        """
        self._order = order
        self._context = context
        self._job = job
        self._reply = reply
        self._record = record
        self._hop = hop
        self._head_ms: int | None = None

    @property
    def head_ms(self) -> int | None:
        """Time until the head of the answer, in milliseconds, if it came."""
        return self._head_ms

    async def run(self, token: str) -> _Result:
        """Send the request, and pass the answer on to the caller.

        :param token: secret of this process
        """
        was_sent = False
        pool, address = self._context.proxy_pool, self._record.proxy_address
        outgoing = self._build_request(token)
        try:
            async with (
                asyncio.timeout_at(self._job.ends_at),
                pooled_connection(pool, address, IDLE_LIMIT_S) as connection,
            ):
                was_sent = True
                started_at = loop_time()
                head = await self._read_head(connection, outgoing)
                self._head_ms = round((loop_time() - started_at) * MS_PER_S)
                return await self._pass_back(connection, head)
        except TimeoutError:
            outcome = ProxyOutcome.unknown if was_sent else NOT_SENT
            return _Result(outcome=outcome, reason='no answer in time')
        except ExchangeError as error:
            self._context.proxy_peers.avoid(self._record.name)
            if self._reply.status and error.was_sent:
                return self._broken_off(error)
            outcome = ProxyOutcome.unknown if error.was_sent else NOT_SENT
            return _Result(outcome=outcome, reason=str(error))

    async def _read_head(
        self, connection: Connection, outgoing: OutgoingRequest
    ) -> ResponseHead:
        """Send the request, and read the head of the answer.

        :raises ExchangeError: if there is none, also before a planned stop
        """
        try:
            async with self._context.stop.limit_wait():
                await connection.send(outgoing)
                return await connection.read_head()
        except MastichatchError as error:
            connection.close()
            raise ExchangeError(str(error), was_sent=True) from error

    def _broken_off(self, error: ExchangeError) -> _Result:
        """Return the result of a response that has begun and was cut off.

        :raises MastichatchError: if it is no stream that may go on
        """
        if self._order.count and error.is_closed_by_peer:
            return _Result(outcome=BROKEN_OFF, reason=str(error))
        # An answer that was cut off must not look complete.
        raise MastichatchError(ErrorKind.generation_lost, str(error)) from error

    def _build_request(self, token: str) -> OutgoingRequest:
        request = self._job.request
        encoded = codec.encode_json(self._hop)
        parts = (encoded, request.method, request.target)
        proof = request_proof(token, self._record.proxy_token, parts)
        headers = self._context.dialect.proxied_headers(request.headers)
        return OutgoingRequest(
            method=request.method,
            target=request.target,
            headers=(
                *headers,
                (HOP_HEADER, encoded),
                (PROOF_HEADER, proof),
            ),
            body=request.body,
        )

    async def _pass_back(
        self, connection: Connection, head: ResponseHead
    ) -> _Result:
        outcome = self._read_outcome(connection, head)
        if outcome is not ProxyOutcome.answered:
            return await self._pass_back_error(connection, head, outcome)
        if self._reply.status and head.status != _OK:
            raise ExchangeError('the run does not go on', was_sent=True)
        is_stream = self._job.route.kind is RequestKind.streaming
        if is_stream and head.status == _OK:
            await self._pass_back_events(connection, head)
        else:
            await self._pass_back_answer(connection, head)
        return _Result(outcome=outcome)

    def _read_outcome(
        self, connection: Connection, head: ResponseHead
    ) -> ProxyOutcome:
        """Return the outcome, if the node has proved it.

        :raises ExchangeError: if it has not, or if the end of the answer could
            not be told from a connection that is cut
        """
        token = self._record.proxy_token
        found = head.get(PROOF_HEADER)
        for outcome in ProxyOutcome:
            if head.get(OUTCOME_HEADER) != outcome.encode():
                continue
            expected = answer_proof(token, self._hop, outcome)
            if is_proof(expected, found) and not connection.is_unframed:
                return outcome
        connection.close()
        raise ExchangeError(
            'the answer is not one of the node',
            was_sent=True,
            is_malformed=True,
        )

    async def _pass_back_error(
        self, connection: Connection, head: ResponseHead, outcome: ProxyOutcome
    ) -> _Result:
        """Pass the error of the other node on, unless a third may accept it."""
        body = await connection.read_body(PASS_ON_BYTES, Purpose.answer)
        if outcome is ProxyOutcome.refused and self._hop.run is not None:
            # The node has not touched the run, which another one may accept.
            outcome = ProxyOutcome.elsewhere
        if outcome is ProxyOutcome.elsewhere or self._reply.status:
            return _Result(outcome=outcome, reason=f'status {head.status}')
        if outcome is ProxyOutcome.refused and self._hop.attempts:
            # The request may have run before.
            return _Result(
                outcome=ProxyOutcome.unknown, reason='refused after an attempt'
            )
        if outcome is ProxyOutcome.unknown and head.status < FIRST_SERVER_ERROR:
            return _Result(outcome=outcome, reason=f'status {head.status}')
        headers = self._context.dialect.response_headers(head.headers)
        await self._reply.send(head.status, headers, body)
        # The other node has used up the attempts.
        return _Result(
            outcome=ProxyOutcome.refused, reason=f'status {head.status}'
        )

    async def _pass_back_answer(
        self, connection: Connection, head: ResponseHead
    ) -> None:
        with connection.hold(Purpose.answer) as held:
            body, is_complete = await read_beginning(
                connection, PASS_ON_BYTES, held
            )
            if is_complete:
                self._context.telemetry.observe_first_byte(
                    self._job.route.kind, self._job.request.arrived_at
                )
                headers = self._context.dialect.response_headers(head.headers)
                await self._reply.send(head.status, headers, body)
                return
            await start_reply(self._context, self._job, self._reply, head)
            size = len(body)
            part: bytes | None = body
            while part is not None:
                await self._reply.write(part)
                part = await connection.read_part()
                size += piece_cost_bytes(part or b'')
                if size > ANSWER_LIMIT_BYTES:
                    raise ExchangeError('too large', was_sent=True)
        await self._reply.finish()

    async def _pass_back_events(
        self, connection: Connection, head: ResponseHead
    ) -> None:
        longest_s = self._job.longest_stall_s
        with open_event_reader(connection, self._order, longest_s) as reader:
            while True:
                fresh = await reader.read()
                if fresh is None:
                    break
                if fresh:
                    await start_reply(
                        self._context, self._job, self._reply, head
                    )
                    await self._reply.write(b''.join(fresh))
        await start_reply(self._context, self._job, self._reply, head)
        await self._reply.finish()


def _version(context: RelayContext) -> int:
    configuration = context.belief.configuration
    return 0 if configuration is None else configuration.version


def _known(
    job: Job, left: LeftRun | None
) -> tuple[ProxyRun | None, EventOrder]:
    """Return what is known of a run, and the events that its caller has."""
    if left is None:
        return None, job.new_event_order()
    return left.run, left.order
