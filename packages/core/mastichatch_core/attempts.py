"""Track the progress and outcome of one attempt to run a call."""

from enum import StrEnum
from typing import Final

from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.messages import CallOutcome, ErrorKind, Ran

SERVER_ERROR_STATUS: Final = 500


class AttemptState(StrEnum):
    """State of an attempt, which only moves forward."""

    not_sent = 'not_sent'
    sent = 'sent'
    answered = 'answered'
    closed = 'closed'


class Attempt:
    """One attempt to run a call, and the authoritative record of its outcome.

    :param attempt_id: unique id of the attempt
    :param not_run_statuses: HTTP statuses that prove that the endpoint did
        not run the call
    """

    def __init__(
        self,
        attempt_id: str,
        not_run_statuses: tuple[int, ...] = (),
    ) -> None:
        """Start in the state ``not_sent``."""
        self._attempt_id = attempt_id
        self._not_run_statuses = not_run_statuses
        self._state = AttemptState.not_sent
        self._was_sent = False
        self._outcome: CallOutcome | None = None

    @property
    def attempt_id(self) -> str:
        """Unique id of the attempt."""
        return self._attempt_id

    @property
    def state(self) -> AttemptState:
        """Current state of the attempt."""
        return self._state

    @property
    def was_sent(self) -> bool:
        """Whether any byte of the call may have been sent by this node."""
        return self._was_sent

    @property
    def outcome(self) -> CallOutcome | None:
        """The outcome; ``None`` while the attempt is open."""
        return self._outcome

    @property
    def is_open(self) -> bool:
        """Whether the attempt has no outcome yet."""
        return self._outcome is None

    @property
    def is_proven_not_run(self) -> bool:
        """Whether the attempt certainly did not and will not run the call."""
        return self._outcome is not None and self._outcome.ran is Ran.no

    def mark_sent(self) -> None:
        """Record that the first byte is about to be sent.

        :raises MastichatchError: with ``internal`` if the attempt was already
            sent or closed, in which case nothing may be sent
        """
        if self._state is not AttemptState.not_sent:
            raise MastichatchError(
                ErrorKind.internal,
                f'attempt {self._attempt_id} is {self._state} already',
            )
        self._state = AttemptState.sent
        self._was_sent = True

    def record_answer(
        self,
        status: int,
        content_type: str,
        body: bytes,
    ) -> CallOutcome:
        """Record the endpoint's complete answer and return the outcome.

        :param status: HTTP status
        :param content_type: content type of the body
        :param body: the complete body
        """
        if self._state is AttemptState.sent:
            self._state = AttemptState.answered
            self._outcome = self._classify_answer(status, content_type, body)
        return self._require_outcome()

    def close(self, kind: ErrorKind, message: str = '') -> CallOutcome:
        """End the attempt without an answer and return the outcome.

        Only an attempt that was never sent ends as not run. After it was sent,
        its outcome is unknown, whatever the reason.

        :param kind: error kind that the caller receives if nothing was sent
        :param message: description of the reason
        """
        if self._state is AttemptState.not_sent:
            self._outcome = _failure(kind, Ran.no, message)
        elif self._state is AttemptState.sent:
            self._outcome = _failure(
                ErrorKind.outcome_unknown,
                Ran.unknown,
                message,
            )
        if self._state is not AttemptState.answered:
            self._state = AttemptState.closed
        return self._require_outcome()

    def _require_outcome(self) -> CallOutcome:
        if self._outcome is None:
            raise MastichatchError(
                ErrorKind.internal,
                f'attempt {self._attempt_id} was answered before it was sent',
            )
        return self._outcome

    def _classify_answer(
        self,
        status: int,
        content_type: str,
        body: bytes,
    ) -> CallOutcome:
        if status in self._not_run_statuses:
            return _failure(
                ErrorKind.endpoint_refused,
                Ran.no,
                f'the endpoint refused with status {status}',
            )
        if status >= SERVER_ERROR_STATUS:
            return _failure(
                ErrorKind.endpoint_failed,
                Ran.unknown,
                f'the endpoint failed with status {status}',
                status,
            )
        return CallOutcome(
            ran=Ran.yes,
            status=status,
            content_type=content_type,
            body=body,
        )


def outcome_from_error(error: MastichatchError) -> CallOutcome:
    """Convert an error to an outcome.

    :param error: the error
    """
    return _failure(error.kind, error.ran, str(error))


def unknown_outcome(
    message: str,
    kind: ErrorKind = ErrorKind.outcome_unknown,
) -> CallOutcome:
    """Return the outcome of a call that may or may not have run.

    :param message: description of the reason
    :param kind: error kind that the caller receives
    """
    return _failure(kind, Ran.unknown, message)


def require_answer(outcome: CallOutcome) -> CallOutcome:
    """Return the outcome if it holds the endpoint's answer.

    :param outcome: any outcome
    :raises MastichatchError: with the outcome's error kind otherwise
    """
    if outcome.error is None:
        return outcome
    raise MastichatchError(outcome.error, outcome.message, ran=outcome.ran)


def _failure(
    kind: ErrorKind,
    ran: Ran,
    message: str,
    status: int = 0,
) -> CallOutcome:
    return CallOutcome(
        ran=ran,
        status=status,
        body=b'',
        error=kind,
        message=message,
    )
