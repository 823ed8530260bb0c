"""Every error kind has an answer, and the answers are consistent."""

import pytest

from mastichatch_core.errors import ANSWERS, MastichatchError
from mastichatch_core.generated.messages import ErrorKind, Ran


@pytest.mark.parametrize('kind', list(ErrorKind))
class TestEveryKind:
    def test_has_an_answer(self, kind: ErrorKind) -> None:
        assert 400 <= ANSWERS[kind].status < 600

    def test_offers_no_retry_where_the_outcome_is_unknown(
        self, kind: ErrorKind
    ) -> None:
        answer = ANSWERS[kind]
        if answer.ran is Ran.unknown and kind is not ErrorKind.in_progress:
            assert answer.retry_after_ms is None

    def test_gives_a_body(self, kind: ErrorKind) -> None:
        body = MastichatchError(kind).body('r1')
        assert body.kind is kind
        assert body.message == ANSWERS[kind].meaning
        assert body.ran is ANSWERS[kind].ran
