"""Route the requests of callers, and relay them to endpoints."""

import asyncio
import contextlib
import dataclasses
import random
from collections.abc import Callable, Iterator
from typing import Final

import msgspec

from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.messages import (
    ErrorKind,
    ProxyHop,
    ProxyOutcome,
)
from mastichatch_core.relay.store_cache import StoreCache
from mastichatch_core.relay.model import (
    Configuration,
    RequestMetadata,
    RequestKind,
)
from mastichatch_core.relay.prompt_quarantine import Action
from mastichatch_core.relay.proxy_hop import proxy_outcome
from mastichatch_core.relay.routing import (
    ViewAge,
    choose_service,
    find_route,
    find_workspace,
)
from mastichatch_core.units import MS_PER_S
from mastichatch_node.clock import loop_time
from mastichatch_node.relay.store_following import boottime_clock
from mastichatch_node.relay.http_client import Headers
from mastichatch_node.relay.http_server import (
    IncomingRequest,
    ResponseWriter,
    error_headers,
)
from mastichatch_node.relay import run_adoption
from mastichatch_node.relay.context import Job, RelayContext
from mastichatch_node.relay.engine_placement import (
    EngineUnavailableError,
    EnginePlacer,
)
from mastichatch_node.relay.planned_stop import draw_return_s
from mastichatch_node.relay.proxy_decision import PassOnError, must_pass_on
from mastichatch_node.relay.proxying import PeerProxy
from mastichatch_node.relay.service_call import relay_call
from mastichatch_node.relay.streaming import Generation

# Time without bytes after which a stream that has begun leaves a node that is
# partitioned from all endpoints. Events are due every 0.18 s by the users'
# specification.
ISOLATED_SILENCE_S: Final = 1.0
SILENCE_CHECK_INTERVAL_S: Final = 0.25
# Maximum number of nodes that may die while they help with one request.
HELPER_LIMIT: Final = 3


class Relay:
    """Handle requests of callers, and track generations in progress."""

    def __init__(
        self,
        context: RelayContext,
        placer: EnginePlacer,
        key_limit_s: float,
        denial_limit_s: float,
        proxy: PeerProxy,
    ) -> None:
        """Start without generations.

        :param context: shared components of the node
        :param placer: assigns generations to engines
        :param key_limit_s: greatest age of the store view at which API keys
            are accepted, in seconds
        :param denial_limit_s: greatest age of the store view at which callers
            are denied, in seconds
        :param proxy: passes requests on to other nodes
        """
        self._proxy = proxy
        self._context = context
        self._placer = placer
        self._key_limit_s = key_limit_s
        self._denial_limit_s = denial_limit_s
        self._generations: set[Generation] = set()
        self._silence_check: asyncio.TimerHandle | None = None

    @property
    def context(self) -> RelayContext:
        """Components that all parts of the relay share."""
        return self._context

    @property
    def generations(self) -> frozenset[Generation]:
        """Generations in progress on this node."""
        return frozenset(self._generations)

    def watch_isolation(self) -> None:
        """Let silent streams go on elsewhere while this node is cut off.

        Some connections to engines live on, and their streams stay.
        """
        if self._silence_check is not None:
            self._silence_check.cancel()
            self._silence_check = None
        if not self._context.isolation.is_isolated:
            return
        if self._context.proxy_peers.has_any:
            for generation in self._generations:
                _close_if_silent(generation)
                if must_pass_on(self._context, generation.job):
                    _cancel_if_unanswered(generation)
        self._silence_check = asyncio.get_running_loop().call_later(
            SILENCE_CHECK_INTERVAL_S, self.watch_isolation
        )

    def close(self) -> None:
        """Stop watching streams."""
        if self._silence_check is not None:
            self._silence_check.cancel()

    def begin_draining(self, notice_ends_at: float, closes_at: float) -> None:
        """Refuse requests that the planned stop of the node would cut off.

        Until the load balancer has noticed the stop, others are accepted.

        :param notice_ends_at: loop time from which on the load balancer sends
            no new connections, in seconds
        :param closes_at: loop time at which connections are closed, in seconds
        """
        self._context.stop.begin(notice_ends_at, closes_at)
        self._placer.reconcile()

    def withdraw_quarantined(self) -> None:
        """Take runs off the engines that they would crash, before they do."""
        for generation in self._generations:
            endpoint = generation.endpoint
            if endpoint is None:
                continue
            verdict = self._context.crashes.judge(
                generation.job.parts, endpoint
            )
            if verdict.action is Action.refuse and generation.withdraw():
                self._context.telemetry.log_decision(
                    'run_withdrawn',
                    generation.job.request_id,
                    endpoint=endpoint.instance,
                    suspects=sorted(verdict.suspects),
                    crashes=verdict.crashes,
                )

    async def handle(
        self, request: IncomingRequest, reply: ResponseWriter
    ) -> None:
        """Respond to a request.

        :param request: request of a caller
        :param reply: writer of the response
        """
        metadata = self._context.dialect.read_facts(request.headers)
        kind = 'unknown'
        reason = 'answered'
        try:
            job = self._create_job(request, metadata)
            kind = job.route.kind
            await self._run(job, reply)
        except MastichatchError as error:
            reason = error.kind
            await self._send_error(request, metadata.request_id, reply, error)
        finally:
            self._context.telemetry.count_answer(kind, reply.status, reason)

    async def handle_proxied(
        self,
        request: IncomingRequest,
        reply: ResponseWriter,
        hop: ProxyHop,
        outcome_headers: Callable[[ProxyOutcome], Headers],
    ) -> None:
        """Respond to a request that another node has passed on.

        :param request: the request, as that node got it
        :param reply: writer of the response
        :param hop: what that node tells of it
        :param outcome_headers: returns the headers that prove an outcome
        """
        metadata = self._context.dialect.read_facts(request.headers)
        try:
            job = self._create_job(request, metadata)
            service = run_adoption.service_of(self._context, hop) or job.service
            job = dataclasses.replace(job, hop=hop, service=service)
            await self._run(job, reply)
        except MastichatchError as error:
            reply.set_added_headers(outcome_headers(proxy_outcome(error)))
            await self._send_error(request, metadata.request_id, reply, error)

    def _create_job(
        self, request: IncomingRequest, metadata: RequestMetadata
    ) -> Job:
        """Resolve the route, workspace, service and deadline of a request.

        :param request: request of a caller
        :param metadata: decoded request headers
        :raises MastichatchError: if the request cannot be routed
        """
        cache = self._context.belief
        configuration = _require_configuration(cache)
        view = ViewAge(
            age_s=cache.age(boottime_clock()),
            key_limit_s=self._key_limit_s,
            denial_limit_s=self._denial_limit_s,
        )
        route = find_route(configuration, request.host, request.path, view)
        workspace = find_workspace(configuration, route, metadata, view)
        name = choose_service(route, random.random())  # noqa: S311
        service = configuration.services.get(name)
        if service is None:
            raise MastichatchError(ErrorKind.no_endpoint, f'no service {name}')
        timeout_ms = route.timeout_ms or float('inf')
        if metadata.timeout_ms is not None:
            timeout_ms = min(timeout_ms, metadata.timeout_ms)
        return Job(
            request=request,
            facts=metadata,
            route=route,
            workspace=workspace,
            service=service,
            ends_at=request.arrived_at + timeout_ms / MS_PER_S,
        )

    async def _run(self, job: Job, reply: ResponseWriter) -> None:
        self._check_draining(job)
        if must_pass_on(self._context, job):
            await self._pass_on(job, reply, PassOnError(), is_counted=False)
            return
        try:
            await self._run_here(job, reply)
        except PassOnError as error:
            await self._pass_on(job, reply, error, is_counted=True)

    async def _pass_on(
        self,
        job: Job,
        reply: ResponseWriter,
        error: PassOnError,
        *,
        is_counted: bool,
    ) -> None:
        """Let another node go on with a request.

        :param error: what the caller gets if none accepts it
        :param is_counted: whether its first attempt has added to the retry
            budget
        """
        if job.hop is not None:
            raise error
        for _ in range(HELPER_LIMIT):
            loss = await self._ask_helpers(job, reply, error, is_counted)
            if loss is None:
                return
            error, is_counted = loss, True
            if not must_pass_on(self._context, job):
                await self._run_here(_resumed(job, error), reply)
                return
        raise error

    async def _ask_helpers(
        self,
        job: Job,
        reply: ResponseWriter,
        error: PassOnError,
        is_counted: bool,  # noqa: FBT001
    ) -> PassOnError | None:
        """Let another node go on with a request.

        :returns: what is known of its run if that node has died; ``None`` if
            the request has ended
        """
        try:
            was_accepted = await self._proxy.relay(
                job, reply, error, is_counted=is_counted
            )
        except PassOnError as loss:
            return loss
        if was_accepted:
            return None
        if error.left is not None:
            for copy in error.left.copies:
                self._context.stopper.free(copy)
        raise error

    async def _run_here(self, job: Job, reply: ResponseWriter) -> None:
        if job.route.kind is not RequestKind.streaming:
            await relay_call(self._context, job, reply)
            return
        if job.service.engine is None:
            raise MastichatchError(ErrorKind.no_endpoint, 'no engines')
        with self._tracked_generation(job, reply) as generation:
            try:
                async with asyncio.timeout_at(job.ends_at):
                    await generation.relay()
            except TimeoutError:
                raise MastichatchError(ErrorKind.attempt_timeout) from None

    def _check_draining(self, job: Job) -> None:
        """Refuse a request that may last beyond the planned stop."""
        stop = self._context.stop
        if not stop.is_noticed:
            return
        # How long a generation takes is not known.
        is_generation = job.route.kind is RequestKind.streaming
        if is_generation or job.ends_at > stop.closes_at:
            raise MastichatchError(ErrorKind.draining)

    @contextlib.contextmanager
    def _tracked_generation(
        self, job: Job, reply: ResponseWriter
    ) -> Iterator[Generation]:
        if not job.is_counted:
            self._context.retries.record_first_attempt()
        generation = Generation(self._context, self._placer, job, reply)
        self._generations.add(generation)
        try:
            yield generation
        finally:
            self._generations.discard(generation)

    async def _send_error(
        self,
        request: IncomingRequest,
        request_id: str,
        reply: ResponseWriter,
        error: MastichatchError,
    ) -> None:
        """Send an error, or abort a response that has already started."""
        cache = self._context.belief
        configuration = cache.configuration
        self._context.telemetry.log_decision(
            'request_failed',
            request_id,
            kind=error.kind,
            reason=str(error),
            ran=error.ran,
            version=configuration.version if configuration else None,
            view_age_s=round(cache.age(boottime_clock()), 3),
            after_ms=round((loop_time() - request.arrived_at) * MS_PER_S),
        )
        if reply.status:
            raise ConnectionResetError(str(error))
        body = error.body(request_id)
        retry_after_s = _retry_after_s(error)
        if retry_after_s is not None:
            body = dataclasses.replace(
                body, retry_after_ms=round(retry_after_s * MS_PER_S)
            )
        await reply.send(
            error.status,
            error_headers(error, retry_after_s),
            msgspec.json.encode(body),
        )


def _retry_after_s(error: MastichatchError) -> float | None:
    """Return when a caller should come back, unless the kind of error tells."""
    if isinstance(error, EngineUnavailableError):
        return error.retry_after_s
    if error.kind is ErrorKind.draining:
        return draw_return_s()
    return None


def _require_configuration(cache: StoreCache) -> Configuration:
    if cache.configuration is None:
        raise MastichatchError(ErrorKind.not_ready)
    return cache.configuration


def _close_if_silent(generation: Generation) -> None:
    """Close the connection of a stream that has begun, and is silent."""
    connection = generation.connection
    if connection is None or not generation.order.count:
        return
    since = connection.silence.since
    if since is not None and loop_time() - since >= ISOLATED_SILENCE_S:
        connection.close()


def _cancel_if_unanswered(generation: Generation) -> None:
    """Cancel an order to stop a run whose stream has ended, after a while.

    Its answer need not be waited for, since another node repeats the order.
    """
    order = generation.transfer.stop_order
    if order is None or not generation.transfer.has_ended:
        return
    sent_at = order.sent_at
    if sent_at is not None and loop_time() - sent_at >= ISOLATED_SILENCE_S:
        order.cancel()


def _resumed(job: Job, error: PassOnError) -> Job:
    """Return a request whose run goes on at this node.

    :param job: the request
    :param error: what is known of its run
    """
    hop = ProxyHop(
        node='',
        nonce='',
        age_ms=0,
        version=0,
        attempts=error.earlier_attempts,
        is_counted=True,
        run=None if error.left is None else error.left.run,
    )
    return dataclasses.replace(job, hop=hop)
