"""Tests of the responses for error kinds."""

import pytest

from mastichatch_core.errors import ANSWERS, MastichatchError
from mastichatch_core.generated.messages import ErrorKind, Ran


@pytest.mark.parametrize('kind', list(ErrorKind))
class TestEveryKind:
    def test_has_an_error_status(self, kind: ErrorKind) -> None:
        assert 400 <= ANSWERS[kind].status < 600

    def test_suggests_no_retry_if_the_outcome_is_unknown(
        self, kind: ErrorKind
    ) -> None:
        answer = ANSWERS[kind]
        if answer.ran is Ran.unknown and kind is not ErrorKind.in_progress:
            assert answer.retry_after_ms is None

    def test_body_repeats_the_table(self, kind: ErrorKind) -> None:
        body = MastichatchError(kind).body('r1')
        assert body.kind is kind
        assert body.message == ANSWERS[kind].meaning
        assert body.ran is ANSWERS[kind].ran
