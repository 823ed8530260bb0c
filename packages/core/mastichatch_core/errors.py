"""Error kinds and the HTTP response for each of them."""

import dataclasses
from typing import Final

from mastichatch_core.generated.messages import ErrorBody, ErrorKind, Ran

RETRY_SOON_MS: Final = 500
RETRY_LATER_MS: Final = 2000


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The response to a caller for one error kind.

    :param status: HTTP status code
    :param ran: whether the call ran at an endpoint
    :param retry_after_ms: suggested delay before a retry, in milliseconds;
        ``None`` if a retry does not help
    :param meaning: default message, also printed on the reference page
    """

    status: int
    ran: Ran
    retry_after_ms: int | None
    meaning: str


ANSWERS: Final[dict[ErrorKind, Answer]] = {
    ErrorKind.bad_request: Answer(
        400, Ran.no, None, 'The request is malformed.'
    ),
    ErrorKind.body_too_large: Answer(
        413, Ran.no, None, 'The body is over the limit.'
    ),
    ErrorKind.unknown_service: Answer(
        404, Ran.no, None, 'The manifest has no such service.'
    ),
    ErrorKind.unknown_operation: Answer(
        404, Ran.no, None, 'The service has no such operation.'
    ),
    ErrorKind.unknown_workspace: Answer(
        403, Ran.no, None, 'The manifest has no such workspace.'
    ),
    ErrorKind.workspace_not_allowed: Answer(
        403, Ran.no, None, 'The workspace may not call this service.'
    ),
    ErrorKind.key_missing: Answer(
        400, Ran.no, None, 'The call must carry an idempotency key.'
    ),
    ErrorKind.key_unknown: Answer(
        401, Ran.no, None, 'No workspace has this key.'
    ),
    ErrorKind.key_reused: Answer(
        422, Ran.no, None, 'The key was used with another body.'
    ),
    ErrorKind.ticket_invalid: Answer(
        400, Ran.no, None, 'The ticket was not signed by this system.'
    ),
    ErrorKind.ticket_expired: Answer(
        410, Ran.no, None, 'The ticket expired before it was used.'
    ),
    ErrorKind.not_found: Answer(404, Ran.no, None, 'Nothing is known of this.'),
    ErrorKind.queue_full: Answer(
        429, Ran.no, RETRY_LATER_MS, 'The queue of the service is full.'
    ),
    ErrorKind.workspace_limit: Answer(
        429, Ran.no, RETRY_LATER_MS, 'The workspace is at its limit.'
    ),
    ErrorKind.queue_deadline: Answer(
        503, Ran.no, RETRY_LATER_MS, 'No endpoint became free in time.'
    ),
    ErrorKind.no_endpoint: Answer(
        503, Ran.no, RETRY_LATER_MS, 'No endpoint of the service is in use.'
    ),
    ErrorKind.endpoint_refused: Answer(
        503, Ran.no, RETRY_SOON_MS, 'The endpoint refused and did not run it.'
    ),
    ErrorKind.endpoint_failed: Answer(
        502, Ran.unknown, None, 'The endpoint answered with a failure.'
    ),
    ErrorKind.endpoint_unreachable: Answer(
        503, Ran.no, RETRY_SOON_MS, 'No connection to an endpoint was made.'
    ),
    ErrorKind.generation_lost: Answer(
        502, Ran.yes, RETRY_SOON_MS, 'The generation ended before its end.'
    ),
    ErrorKind.outcome_unknown: Answer(
        502, Ran.unknown, None, 'The call was sent; its outcome is unknown.'
    ),
    ErrorKind.in_progress: Answer(
        409, Ran.unknown, RETRY_SOON_MS, 'The call is still in progress.'
    ),
    ErrorKind.platform_unavailable: Answer(
        503, Ran.no, RETRY_LATER_MS, 'The platform did not answer.'
    ),
    ErrorKind.no_capacity: Answer(
        503, Ran.no, RETRY_LATER_MS, 'No endpoint has room in time.'
    ),
    ErrorKind.prompt_quarantined: Answer(
        503, Ran.no, RETRY_LATER_MS, 'A part of the prompt crashes engines.'
    ),
    ErrorKind.attempt_timeout: Answer(
        504, Ran.unknown, None, 'The endpoint did not answer in time.'
    ),
    ErrorKind.head_too_large: Answer(
        431, Ran.no, None, 'The head of the request is over the limit.'
    ),
    ErrorKind.head_timeout: Answer(
        408, Ran.no, None, 'The request did not arrive in time.'
    ),
    ErrorKind.not_ready: Answer(
        503, Ran.no, RETRY_SOON_MS, 'The node has no configuration yet.'
    ),
    ErrorKind.draining: Answer(
        503, Ran.no, RETRY_SOON_MS, 'The node takes no new requests.'
    ),
    ErrorKind.conflict: Answer(
        409, Ran.no, None, 'Another change was accepted first.'
    ),
    ErrorKind.manifest_invalid: Answer(
        422, Ran.no, None, 'The manifest is not valid.'
    ),
    ErrorKind.peer_unreachable: Answer(
        503, Ran.no, RETRY_SOON_MS, 'The node that is asked did not answer.'
    ),
    ErrorKind.cancelled: Answer(
        499, Ran.unknown, None, 'The caller withdrew the request.'
    ),
    ErrorKind.internal: Answer(
        500, Ran.unknown, None, 'The system failed; see its log.'
    ),
}


class MastichatchError(Exception):
    """Error of one kind that is reported to a caller.

    :param kind: error kind, by which ``ANSWERS`` gives the response
    :param message: description for people; defaults to the kind's meaning
    :param ran: whether the call ran, if this differs from ``ANSWERS``
    :param tokens_delivered: tokens delivered before a generation was lost
    """

    def __init__(
        self,
        kind: ErrorKind,
        message: str = '',
        *,
        ran: Ran | None = None,
        tokens_delivered: int | None = None,
    ) -> None:
        """Store the kind and the details of the error."""
        super().__init__(message or ANSWERS[kind].meaning)
        self.kind = kind
        self.ran = ANSWERS[kind].ran if ran is None else ran
        self.tokens_delivered = tokens_delivered

    @property
    def status(self) -> int:
        """HTTP status code of the response."""
        return ANSWERS[self.kind].status

    def body(self, request_id: str) -> ErrorBody:
        """Return the body of the response to the caller.

        :param request_id: id of the failed request
        """
        return ErrorBody(
            kind=self.kind,
            message=str(self),
            ran=self.ran,
            request_id=request_id,
            retry_after_ms=ANSWERS[self.kind].retry_after_ms,
            tokens_delivered=self.tokens_delivered,
        )


class UnprovedEndError(MastichatchError):
    """A generation was given up, and its engine may work on.

    It must not start on another engine.
    """


class PermitLapsedError(MastichatchError):
    """Raised if a permit, or the right to run, lapsed before sending.

    No byte of the request was sent.
    """

    def __init__(self) -> None:
        """Set the kind and message of the error."""
        super().__init__(
            ErrorKind.queue_deadline,
            'the permit lapsed before the request was sent',
        )
