"""Claims on idempotency keys, stored in the platform's key-value service.

A claim records which node may run a call, and the outcome of the call.
"""

import dataclasses
import hashlib
from enum import StrEnum
from typing import Final

import msgspec

from mastichatch_core.generated.messages import CallOutcome, Ran
from mastichatch_core.generated.records import Claim, ClaimState
from mastichatch_core.units import MS_PER_S

CLAIM_PREFIX: Final = 'claims/'
BUCKETS_PER_RETENTION: Final = 8
# Greatest relative drift between two clocks while a claim is kept.
CLOCK_DRIFT_RATIO: Final = 0.01
RECORDED_ANSWER_LIMIT_BYTES: Final = 65536
_DECODER: Final = msgspec.json.Decoder(Claim)


class ClaimStep(StrEnum):
    """The next action of a node that has read a claim."""

    create = 'create'
    own = 'own'
    refuse = 'refuse'
    replay = 'replay'
    take_over = 'take_over'
    ask_self = 'ask_self'
    ask_owner = 'ask_owner'


_STEP_BY_FINAL_STATE: Final[dict[ClaimState, ClaimStep]] = {
    ClaimState.answered: ClaimStep.replay,
    ClaimState.released: ClaimStep.take_over,
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClaimLease:
    """The platform lease shared by the claims of one time bucket.

    The lease is independent of the lifetime of any node and is never renewed.
    It expires after its claims have been kept for their retention time.

    :param lease: id of the lease
    :param asked_at: time at which the lease was requested, in seconds
    :param retention_s: time for which a claim is kept, in seconds
    """

    lease: str
    asked_at: float
    retention_s: float

    @property
    def next_bucket_at(self) -> float:
        """Start of the next time bucket, in seconds."""
        return self.asked_at + self.retention_s / BUCKETS_PER_RETENTION

    @property
    def covers_sends_until(self) -> float:
        """Latest time at which a claimed call may be sent, in seconds.

        If the call is sent by then, a claim under this lease is still kept
        for the whole retention time after the send.
        """
        lasts_s = lease_ttl_s(self.retention_s) * (1 - CLOCK_DRIFT_RATIO)
        return self.asked_at + lasts_s - self.retention_s


def lease_ttl_s(retention_s: float) -> float:
    """Return the length of a bucket's lease, in seconds.

    :param retention_s: time for which a claim is kept, in seconds
    """
    return retention_s * (1 + 2 / BUCKETS_PER_RETENTION)


def lease_ttl_ms(retention_s: float) -> int:
    """Return the length of a bucket's lease, in milliseconds.

    :param retention_s: time for which a claim is kept, in seconds
    """
    return int(lease_ttl_s(retention_s) * MS_PER_S)


def claim_key(workspace: str, service: str, operation: str, key: str) -> str:
    """Return the platform key of a claim.

    The key does not depend on the time bucket, so that a retry in a later
    bucket finds the claim.

    :param workspace: workspace of the caller
    :param service: service that is called
    :param operation: operation that is called
    :param key: the caller's idempotency key
    """
    parts = msgspec.json.encode((workspace, service, operation, key))
    return CLAIM_PREFIX + hashlib.sha256(parts).hexdigest()


def body_digest(operation: str, body: bytes) -> str:
    """Return the digest that identifies an operation and its body.

    Calls with one idempotency key must have equal digests.

    :param operation: operation that is called
    :param body: body of the call
    """
    return hashlib.sha256(b'\n'.join((operation.encode(), body))).hexdigest()


def encode_claim(claim: Claim) -> bytes:
    """Return the stored form of a claim.

    :param claim: the claim
    """
    return msgspec.json.encode(claim)


def decode_claim(stored: bytes) -> Claim:
    """Return a claim from its stored form.

    :param stored: the value under the claim's key
    :raises msgspec.DecodeError: if the value is not a claim
    """
    return _DECODER.decode(stored)


def next_step(found: Claim | None, wanted: Claim) -> ClaimStep:
    """Return the next action for the claim stored under a key.

    :param found: the stored claim; ``None`` if there is none
    :param wanted: the claim that this node wants to store
    """
    if found is None:
        return ClaimStep.create
    if found.attempt == wanted.attempt:
        return ClaimStep.own
    if found.body_digest != wanted.body_digest:
        return ClaimStep.refuse
    if found.state is ClaimState.claimed:
        return _step_for_pending(found, wanted)
    return _STEP_BY_FINAL_STATE[found.state]


def _step_for_pending(found: Claim, wanted: Claim) -> ClaimStep:
    if found.incarnation == wanted.incarnation:
        return ClaimStep.ask_self
    return ClaimStep.ask_owner


def settled_claim(claim: Claim, outcome: CallOutcome) -> Claim | None:
    """Return the claim that records an outcome.

    :param claim: the stored claim
    :param outcome: outcome of the claim's attempt
    :returns: the claim to write; ``None`` if the outcome is not recorded,
        because it is an error after which the call may have run, or because
        the body is over the limit
    """
    if outcome.ran is Ran.no:
        return dataclasses.replace(claim, state=ClaimState.released)
    if outcome.error is not None:
        return None
    if len(outcome.body) > RECORDED_ANSWER_LIMIT_BYTES:
        return None
    return dataclasses.replace(
        claim,
        state=ClaimState.answered,
        status=outcome.status,
        content_type=outcome.content_type,
        answer=outcome.body,
    )


def recorded_outcome(claim: Claim) -> CallOutcome:
    """Return the outcome that an answered claim records.

    :param claim: a claim in the state ``answered``
    """
    return CallOutcome(
        ran=Ran.yes,
        status=claim.status,
        content_type=claim.content_type,
        body=claim.answer or b'',
    )
