"""Tests of the state and outcome of one attempt."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mastichatch_core.attempts import (
    Attempt,
    AttemptState,
    outcome_from_error,
    require_answer,
)
from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.messages import CallOutcome, ErrorKind, Ran

ORDER = tuple(AttemptState)
REFUSED = 409


def apply(attempt: Attempt, step: str) -> None:
    """Apply one step if the attempt allows it."""
    try:
        if step == 'send':
            attempt.mark_sent()
        elif step == 'close':
            attempt.close(ErrorKind.queue_full)
        else:
            attempt.record_answer(int(step), 'application/json', b'{}')
    except MastichatchError as error:
        assert error.kind is ErrorKind.internal


class TestAttempt:
    """An attempt reports a call as not run only if this is certain."""

    @given(
        st.lists(
            st.sampled_from(('send', 'close', '200', '409', '422', '500')),
            max_size=8,
        )
    )
    def test_only_unsent_or_refused_attempts_are_proven_not_run(
        self, steps: list[str]
    ) -> None:
        attempt = Attempt('a', (REFUSED,))
        sends = 0
        first: CallOutcome | None = None
        for step in steps:
            before = attempt.state
            apply(attempt, step)
            assert ORDER.index(attempt.state) >= ORDER.index(before)
            sends += before is not attempt.state is AttemptState.sent
            first = first or attempt.outcome
            assert attempt.outcome is first
        assert sends <= 1
        if attempt.is_proven_not_run and attempt.was_sent:
            assert first is not None
            assert first.error is ErrorKind.endpoint_refused
        if attempt.was_sent and attempt.state is AttemptState.closed:
            assert first is not None
            assert first.error is ErrorKind.outcome_unknown
            assert first.ran is Ran.unknown

    @pytest.mark.parametrize('kind', ErrorKind)
    def test_unsent_attempt_is_not_run_for_every_error_kind(
        self, kind: ErrorKind
    ) -> None:
        attempt = Attempt('a')
        assert attempt.close(kind).ran is Ran.no
        with pytest.raises(MastichatchError):
            attempt.mark_sent()

    def test_server_error_leaves_unknown_whether_the_call_ran(self) -> None:
        attempt = Attempt('a')
        attempt.mark_sent()
        outcome = attempt.record_answer(500, '', b'')
        assert outcome.ran is Ran.unknown
        assert not attempt.is_proven_not_run


class TestOutcomes:
    """Errors convert to outcomes and back."""

    def test_error_keeps_its_kind_message_and_ran(self) -> None:
        error = MastichatchError(
            ErrorKind.platform_unavailable, 'away', ran=Ran.unknown
        )
        with pytest.raises(MastichatchError, match='away') as raised:
            require_answer(outcome_from_error(error))
        assert raised.value.kind is error.kind
        assert raised.value.ran is Ran.unknown
