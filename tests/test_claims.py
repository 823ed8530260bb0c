"""Tests of the claims on idempotency keys."""

import dataclasses

from hypothesis import given
from hypothesis import strategies as st

from mastichatch_core.claims import (
    RECORDED_ANSWER_LIMIT_BYTES,
    ClaimLease,
    ClaimStep,
    body_digest,
    claim_key,
    decode_claim,
    encode_claim,
    lease_ttl_s,
    next_step,
    recorded_outcome,
    settled_claim,
)
from mastichatch_core.generated.messages import CallOutcome, ErrorKind, Ran
from mastichatch_core.generated.records import Claim, ClaimState

WANTED = Claim(
    incarnation='i1', attempt='i1/2', body_digest='d', peer_address='p'
)
OTHER = dataclasses.replace(WANTED, incarnation='i2', attempt='i2/1')
PARTS = st.tuples(st.text(), st.text(), st.text(), st.text())


class TestKey:
    """Platform keys and digests of claims."""

    @given(PARTS, PARTS)
    def test_two_calls_share_a_claim_only_if_they_are_equal(
        self,
        first: tuple[str, str, str, str],
        second: tuple[str, str, str, str],
    ) -> None:
        assert (claim_key(*first) == claim_key(*second)) == (first == second)

    def test_digest_differs_by_body_and_operation(self) -> None:
        digests = {
            body_digest(operation, body)
            for operation in ('book', 'confirm')
            for body in (b'1', b'2')
        }
        assert len(digests) == 4


class TestNextStep:
    """The next action for the claim stored under a key."""

    def test_absent_claim_is_created(self) -> None:
        assert next_step(None, WANTED) is ClaimStep.create

    def test_own_attempt_is_run(self) -> None:
        assert next_step(WANTED, WANTED) is ClaimStep.own

    def test_other_body_is_refused_in_every_state(self) -> None:
        for state in ClaimState:
            found = dataclasses.replace(OTHER, body_digest='x', state=state)
            assert next_step(found, WANTED) is ClaimStep.refuse

    def test_claim_of_another_node_is_taken_over_only_if_released(
        self,
    ) -> None:
        steps = {
            state: next_step(dataclasses.replace(OTHER, state=state), WANTED)
            for state in ClaimState
        }
        assert steps == {
            ClaimState.claimed: ClaimStep.ask_owner,
            ClaimState.released: ClaimStep.take_over,
            ClaimState.answered: ClaimStep.replay,
        }

    def test_own_earlier_attempt_is_queried_locally(self) -> None:
        found = dataclasses.replace(WANTED, attempt='i1/1')
        assert next_step(found, WANTED) is ClaimStep.ask_self


class TestRecord:
    """The outcome of an ended attempt, as stored in a claim."""

    @given(st.binary(max_size=64), st.integers(200, 499))
    def test_recorded_answer_is_replayed_unchanged(
        self, body: bytes, status: int
    ) -> None:
        outcome = CallOutcome(ran=Ran.yes, status=status, body=body)
        settled = settled_claim(WANTED, outcome)
        assert settled is not None
        stored = decode_claim(encode_claim(settled))
        assert recorded_outcome(stored) == outcome

    def test_unknown_outcome_and_large_answer_are_not_recorded(self) -> None:
        unknown = CallOutcome(
            ran=Ran.unknown, body=b'', error=ErrorKind.outcome_unknown
        )
        large = CallOutcome(
            ran=Ran.yes,
            status=200,
            body=b'x' * (RECORDED_ANSWER_LIMIT_BYTES + 1),
        )
        assert settled_claim(WANTED, unknown) is None
        assert settled_claim(WANTED, large) is None

    def test_claim_of_a_call_that_did_not_run_is_released(self) -> None:
        refused = CallOutcome(
            ran=Ran.no, body=b'', error=ErrorKind.endpoint_refused
        )
        settled = settled_claim(WANTED, refused)
        assert settled is not None
        assert settled.state is ClaimState.released


class TestLease:
    """Lifetime of claims."""

    @given(st.floats(1, 1e6), st.floats(0, 1e6))
    def test_claim_outlasts_its_retention_after_the_last_send(
        self, retention_s: float, asked_at: float
    ) -> None:
        lease = ClaimLease(
            lease='l', asked_at=asked_at, retention_s=retention_s
        )
        lapses_at = asked_at + lease_ttl_s(retention_s)
        assert lease.covers_sends_until + retention_s < lapses_at
        assert lease.next_bucket_at < lease.covers_sends_until
