"""Runs an attempt of a call: acquires a permit, connects and sends once."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable
from typing import Final

from mastichatch_core.attempts import (
    SERVER_ERROR_STATUS,
    Attempt,
    AttemptState,
)
from mastichatch_core.catalogue import Catalogue
from mastichatch_core.errors import MastichatchError, PermitLapsedError
from mastichatch_core.generated.manifest import Operation, Service
from mastichatch_core.generated.messages import (
    CallOutcome,
    ErrorKind,
    PermitGrant,
    PermitOutcome,
    PermitRequest,
    Ran,
)
from mastichatch_core.retries import RetryBudget, deposit, withdraw
from mastichatch_core.units import MS_PER_S
from mastichatch_node.clock import loop_time
from mastichatch_node.configuration import Configuration
from mastichatch_node.decisions import DecisionLog
from mastichatch_node.metrics import Metrics
from mastichatch_node.permits import Permits
from mastichatch_node.plain_client import PlainAnswer, PlainRequest, SendPlain

MAX_PERMIT_REQUESTS: Final = 4
_FAILED_OUTCOMES: Final = frozenset(
    (PermitOutcome.failed, PermitOutcome.unreachable)
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlainCall:
    """A validated call of a plain service.

    :param request_id: id of the caller's request
    :param workspace: workspace of the caller
    :param service: service that is called
    :param operation: operation that is called
    :param body: JSON body
    :param deadline: latest time at which it may be sent, in loop seconds
    """

    request_id: str
    workspace: str
    service: Service
    operation: Operation
    body: bytes
    deadline: float

    @property
    def retention_s(self) -> float:
        """Time for which the call's key is kept, in seconds."""
        return self.operation.key_retention_ms / MS_PER_S


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ExecutionRight:
    """This node's right to run a call.

    The right is exclusive, except for calls of idempotent operations.

    :param acquire: acquires the right, once a permit is held; returns false if
        another node holds it
    :param is_valid: returns whether the right still allows a send at a time,
        in loop seconds
    """

    acquire: Callable[[], Awaitable[bool]]
    is_valid: Callable[[float], bool]


@dataclasses.dataclass(slots=True, kw_only=True)
class AttemptHistory:
    """What a request has tried so far.

    :param excluded: names of endpoints that failed the request
    :param permits: number of permits requested
    """

    excluded: tuple[str, ...] = ()
    permits: int = 0


AcquirePermit = Callable[[PermitRequest], Awaitable[PermitGrant]]


class AttemptRunner:
    """Run attempts, with one retry budget for each service."""

    def __init__(
        self,
        node: str,
        permits: Permits,
        acquire: AcquirePermit,
        configuration: Configuration,
        send: SendPlain,
        log: DecisionLog,
        metrics: Metrics,
    ) -> None:
        """Keep the dependencies of attempts."""
        self._node = node
        self._permits = permits
        self._acquire = acquire
        self._configuration = configuration
        self._send = send
        self._log = log
        self._metrics = metrics
        self._budgets: dict[str, RetryBudget] = {}

    def record_first_attempt(self, service: Service) -> None:
        """Credit the service's retry budget for a first attempt.

        :param service: service that is called
        """
        self._budgets[service.name] = deposit(self._budget(service))

    def withdraw_retry(self, service: Service) -> bool:
        """Withdraw one retry from the service's budget, if one is left.

        :param service: service that is called
        """
        remaining = withdraw(self._budget(service))
        if remaining is None:
            self._metrics.count('calls.retry_budget_empty')
            return False
        self._budgets[service.name] = remaining
        return True

    async def run(
        self,
        call: PlainCall,
        attempt: Attempt,
        right: ExecutionRight,
        history: AttemptHistory,
    ) -> CallOutcome | None:
        """Run an attempt until it has an outcome.

        While nothing has been sent, other endpoints are tried within the retry
        budget. Once the first byte may have been sent, nothing is sent again.

        :param call: the call
        :param attempt: its attempt, open and not sent
        :param right: this node's right to run the call
        :param history: what the request has tried; updated in place
        :returns: the outcome; ``None`` if another node holds the right, in
            which case nothing was sent
        """
        while attempt.is_open:
            try:
                if not await self._try_endpoint(call, attempt, right, history):
                    return None
            except MastichatchError as error:
                if not self._may_try_again(call, attempt, history, error):
                    attempt.close(error.kind, str(error))
        self._log_outcome(call, attempt)
        return attempt.outcome

    async def _try_endpoint(
        self,
        call: PlainCall,
        attempt: Attempt,
        right: ExecutionRight,
        history: AttemptHistory,
    ) -> bool:
        """Try one endpoint; return false if another node holds the right."""
        grant = await self._acquire(self._permit_request(call, history))
        outcome = PermitOutcome.unused
        try:
            if not await right.acquire():
                return False
            answer = await self._send_with_permit(grant, call, attempt, right)
            outcome = _permit_outcome(answer)
            attempt.record_answer(
                answer.status, answer.content_type, answer.body
            )
        except MastichatchError as error:
            if error.kind is ErrorKind.endpoint_unreachable:
                outcome = PermitOutcome.unreachable
            raise
        finally:
            if attempt.state is AttemptState.sent:
                outcome = PermitOutcome.failed
            self._finish_try(grant, outcome, history)
        return True

    def _finish_try(
        self,
        grant: PermitGrant,
        outcome: PermitOutcome,
        history: AttemptHistory,
    ) -> None:
        if outcome in _FAILED_OUTCOMES:
            history.excluded = (*history.excluded, grant.endpoint)
        self._permits.release(grant, outcome)

    async def _send_with_permit(
        self,
        grant: PermitGrant,
        call: PlainCall,
        attempt: Attempt,
        right: ExecutionRight,
    ) -> PlainAnswer:
        def guard() -> None:
            now = asyncio.get_running_loop().time()
            if now > call.deadline:
                raise MastichatchError(ErrorKind.queue_deadline)
            if not self._permits.still_valid(grant) or not right.is_valid(now):
                raise PermitLapsedError
            attempt.mark_sent()
            self._permits.mark_used(grant)
            self._log_send(call, attempt, grant)

        return await self._send(
            self._address(grant.endpoint),
            PlainRequest(
                request_id=call.request_id,
                operation=call.operation.name,
                body=call.body,
                timeout_s=call.operation.timeout_ms / MS_PER_S,
            ),
            guard,
        )

    def _may_try_again(
        self,
        call: PlainCall,
        attempt: Attempt,
        history: AttemptHistory,
        error: MastichatchError,
    ) -> bool:
        if attempt.state is not AttemptState.not_sent:
            return False
        if (
            loop_time() > call.deadline
            or history.permits >= MAX_PERMIT_REQUESTS
        ):
            return False
        if isinstance(error, PermitLapsedError):
            return True
        if error.kind is not ErrorKind.endpoint_unreachable:
            return False
        return self.withdraw_retry(call.service)

    def _permit_request(
        self, call: PlainCall, history: AttemptHistory
    ) -> PermitRequest:
        # The scheduler treats only attempt zero as a first attempt.
        number = history.permits
        history.permits += 1
        return PermitRequest(
            request_id=call.request_id,
            attempt=number,
            service=call.service.name,
            workspace=call.workspace,
            node=self._node,
            deadline_ms=max(0, call.deadline - loop_time()) * MS_PER_S,
            excluded=history.excluded,
        )

    def _address(self, endpoint: str) -> str:
        catalogue = self._configuration.current
        if catalogue is None or endpoint not in catalogue.endpoints:
            raise MastichatchError(
                ErrorKind.no_endpoint,
                f'there is no endpoint {endpoint!r}',
            )
        return catalogue.endpoints[endpoint].address

    def _budget(self, service: Service) -> RetryBudget:
        known = self._budgets.get(service.name)
        if known is None or known.percent != service.retry_budget_percent:
            return RetryBudget(percent=service.retry_budget_percent)
        return known

    def _log_send(
        self,
        call: PlainCall,
        attempt: Attempt,
        grant: PermitGrant,
    ) -> None:
        self._metrics.count('calls.sent')
        self._log.note(
            'call_sent',
            call.request_id,
            choice=grant.endpoint,
            reason=f'attempt {attempt.attempt_id}',
            term=grant.term.number,
            revision=self._configuration.revision,
            candidates=grant.candidates,
        )

    def _log_outcome(self, call: PlainCall, attempt: Attempt) -> None:
        outcome = attempt.outcome
        if outcome is None:
            return
        self._metrics.count(f'calls.ran_{outcome.ran}')
        self._log.note(
            'call_ended',
            call.request_id,
            choice=str(outcome.error or outcome.status),
            reason=f'{attempt.state}; {outcome.message}',
            revision=self._configuration.revision,
        )


def find_operation(
    configuration: Configuration,
    workspace: str,
    service: str,
    operation: str,
) -> tuple[Catalogue, Operation]:
    """Return the catalogue and an operation that a workspace may call.

    :param configuration: current configuration
    :param workspace: name of the workspace
    :param service: name of the service
    :param operation: name of the operation
    :raises MastichatchError: if the manifest does not allow the call
    """
    catalogue = configuration.current
    if catalogue is None:
        # An earlier call with the same key may have run through another node,
        # so this one cannot be reported as not run.
        raise MastichatchError(ErrorKind.not_ready, ran=Ran.unknown)
    catalogue.workspace(workspace, service)
    return catalogue, catalogue.operation(service, operation)


def _permit_outcome(answer: PlainAnswer) -> PermitOutcome:
    if answer.status >= SERVER_ERROR_STATUS:
        return PermitOutcome.failed
    return PermitOutcome.completed
