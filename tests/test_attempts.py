"""Tests of the truth about one attempt."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mastichatch_core.attempts import (
    Attempt,
    AttemptState,
    outcome_of,
    require_answer,
)
from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.messages import CallOutcome, ErrorKind, Ran

ORDER = tuple(AttemptState)
REFUSED = 409


def apply(attempt: Attempt, step: str) -> None:
    """Take one step, if the attempt allows it."""
    try:
        if step == 'send':
            attempt.mark_sent()
        elif step == 'close':
            attempt.close(ErrorKind.queue_full)
        else:
            attempt.answer(int(step), 'application/json', b'{}')
    except MastichatchError as error:
        assert error.kind is ErrorKind.internal


class TestTruth:
    """What may be said about a call."""

    @given(
        st.lists(
            st.sampled_from(('send', 'close', '200', '409', '422', '500')),
            max_size=8,
        )
    )
    def test_not_run_is_said_only_of_unsent_or_refused(
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
    def test_unsent_attempt_never_ran_whatever_ends_it(
        self, kind: ErrorKind
    ) -> None:
        attempt = Attempt('a')
        assert attempt.close(kind).ran is Ran.no
        with pytest.raises(MastichatchError):
            attempt.mark_sent()

    def test_failure_status_leaves_open_whether_it_ran(self) -> None:
        attempt = Attempt('a')
        attempt.mark_sent()
        outcome = attempt.answer(500, '', b'')
        assert outcome.ran is Ran.unknown
        assert not attempt.is_proven_not_run


class TestOutcomes:
    """Errors as outcomes and back."""

    def test_error_keeps_what_it_says(self) -> None:
        error = MastichatchError(
            ErrorKind.platform_unavailable, 'away', ran=Ran.unknown
        )
        with pytest.raises(MastichatchError, match='away') as raised:
            require_answer(outcome_of(error))
        assert raised.value.kind is error.kind
        assert raised.value.ran is Ran.unknown
