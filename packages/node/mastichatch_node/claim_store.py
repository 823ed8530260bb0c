"""Claims idempotency keys in the platform and records call outcomes there."""

import asyncio
import collections
import dataclasses
from typing import Final

import msgspec
from absl import logging

from mastichatch_core.claims import (
    ClaimLease,
    decode_claim,
    encode_claim,
    lease_ttl_ms,
    settled_claim,
)
from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.messages import CallOutcome, ErrorKind
from mastichatch_core.generated.records import Claim
from mastichatch_node.clock import loop_time
from mastichatch_node.metrics import Metrics
from mastichatch_node.platform import (
    LeaseGoneError,
    Platform,
    RevisionMismatchError,
)

RECORDS_PER_SECOND: Final = 20
SHUTDOWN_RECORDS_PER_SECOND: Final = 200
SHUTDOWN_WRITERS: Final = 8
MAX_QUEUED_RECORDS: Final = 2000
MAX_RECORD_ATTEMPTS: Final = 3
MAX_CLAIM_WRITES: Final = 2
_ABSENT_REVISION: Final = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FoundClaim:
    """A claim read from the platform.

    :param claim: the claim
    :param revision: revision of the claim's key
    """

    claim: Claim
    revision: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TakenClaim:
    """A claim that this node's attempt owns.

    :param name: key of the claim
    :param claim: the claim
    :param revision: revision of the claim's key
    :param covers_sends_until: latest time at which the call may be sent, in
        loop seconds; after a send at that time, the claim still lasts for the
        retention period
    """

    name: str
    claim: Claim
    revision: int
    covers_sends_until: float


@dataclasses.dataclass(frozen=True, slots=True)
class _QueuedRecord:
    name: str
    claim: Claim
    revision: int
    retention_s: float


class ClaimStore:
    """Read and write claims in the platform.

    :param platform: client of the platform
    :param metrics: metrics of this node
    """

    def __init__(self, platform: Platform, metrics: Metrics) -> None:
        """Start with no lease and no queued record."""
        self._platform = platform
        self._metrics = metrics
        self._leases: dict[float, ClaimLease] = {}
        self._lease_lock = asyncio.Lock()
        self._records: collections.deque[_QueuedRecord] = collections.deque(
            maxlen=MAX_QUEUED_RECORDS,
        )
        self._has_records = asyncio.Event()

    async def find(self, name: str) -> FoundClaim | None:
        """Return the current claim of a key, or ``None`` if there is none.

        :param name: key of the claim
        :raises MastichatchError: with ``platform_unavailable`` if the platform
            does not answer, or ``internal`` if the value is malformed
        """
        stored = await self._platform.read(name)
        if stored is None:
            return None
        try:
            claim = decode_claim(stored.value)
        except msgspec.DecodeError as error:
            raise MastichatchError(
                ErrorKind.internal,
                f'{name} holds no claim: {error}',
            ) from error
        return FoundClaim(claim=claim, revision=stored.revision)

    async def take(
        self,
        name: str,
        wanted: Claim,
        found: FoundClaim | None,
        retention_s: float,
    ) -> TakenClaim | None:
        """Write a claim, on condition that the key has not changed.

        If the platform's response is lost, the claim is read back to find out
        whether the write took effect.

        :param name: key of the claim
        :param wanted: the claim to write
        :param found: the claim to replace; ``None`` if there was none
        :param retention_s: time for which the claim is kept, in seconds
        :returns: the claim; ``None`` if another attempt wrote the key first
        :raises MastichatchError: with ``platform_unavailable``; the write may
            still take effect, so the attempt must be closed
        """
        expect = _revision(found)
        covers_until = float('inf')
        for _ in range(MAX_CLAIM_WRITES):
            lease = await self._current_lease(retention_s)
            covers_until = min(covers_until, lease.covers_sends_until)
            current = await self._write(name, wanted, expect, lease)
            if current and current.claim.attempt == wanted.attempt:
                return TakenClaim(
                    name=name,
                    claim=wanted,
                    revision=current.revision,
                    covers_sends_until=covers_until,
                )
            if _revision(current) != expect:
                return None
        raise MastichatchError(ErrorKind.platform_unavailable)

    def record(
        self,
        taken: TakenClaim,
        outcome: CallOutcome,
        retention_s: float,
    ) -> None:
        """Queue an outcome to be written to its claim, on a best-effort basis.

        With the record, any node can answer a retry, even after this node has
        stopped. Correctness does not depend on it: without the record, other
        nodes query this one. A full queue drops its oldest record.

        :param taken: the claim
        :param outcome: outcome of the claim's attempt
        :param retention_s: time for which the record is kept, in seconds
        """
        claim = settled_claim(taken.claim, outcome)
        if claim is None:
            return
        record = _QueuedRecord(taken.name, claim, taken.revision, retention_s)
        self._records.append(record)
        self._has_records.set()

    async def run_recorder(self) -> None:
        """Write queued records at a bounded rate until cancelled."""
        while True:
            await self._has_records.wait()
            await self.flush(RECORDS_PER_SECOND)
            self._has_records.clear()

    async def flush_concurrently(self) -> None:
        """Write all queued records with concurrent writers, before a stop."""
        rate = SHUTDOWN_RECORDS_PER_SECOND / SHUTDOWN_WRITERS
        async with asyncio.TaskGroup() as group:
            for _ in range(SHUTDOWN_WRITERS):
                group.create_task(self.flush(rate))

    async def flush(
        self, per_second: float = SHUTDOWN_RECORDS_PER_SECOND
    ) -> None:
        """Write all queued records one after the other.

        :param per_second: maximum number of records per second
        """
        while self._records:
            record = self._records.popleft()
            try:
                await self._write_record(record)
            except asyncio.CancelledError:
                # ``flush_concurrently`` writes it when the node stops.
                self._records.appendleft(record)
                raise
            await asyncio.sleep(1 / per_second)

    async def _write(
        self,
        name: str,
        wanted: Claim,
        expect: int,
        lease: ClaimLease,
    ) -> FoundClaim | None:
        try:
            revision = await self._platform.write(
                name,
                encode_claim(wanted),
                expect=expect,
                lease=lease.lease,
            )
        except LeaseGoneError:
            self._leases.pop(lease.retention_s, None)
        except RevisionMismatchError:
            self._metrics.count('claims.conflict')
        except MastichatchError as error:
            if error.kind is not ErrorKind.platform_unavailable:
                raise
            self._metrics.count('claims.read_back')
        else:
            return FoundClaim(claim=wanted, revision=revision)
        return await self.find(name)

    async def _current_lease(self, retention_s: float) -> ClaimLease:
        async with self._lease_lock:
            known = self._leases.get(retention_s)
            if known is not None and loop_time() < known.next_bucket_at:
                return known
            asked_at = loop_time()
            lease = ClaimLease(
                lease=await self._platform.grant_lease(
                    lease_ttl_ms(retention_s),
                ),
                asked_at=asked_at,
                retention_s=retention_s,
            )
            self._leases[retention_s] = lease
            return lease

    async def _write_record(self, record: _QueuedRecord) -> None:
        for _ in range(MAX_RECORD_ATTEMPTS):
            try:
                await self._try_record(record)
            except (RevisionMismatchError, LeaseGoneError):
                return
            except MastichatchError as error:
                logging.info('outcome record not written: %s', error)
                await asyncio.sleep(1)
            else:
                self._metrics.count('claims.recorded')
                return

    async def _try_record(self, record: _QueuedRecord) -> None:
        lease = await self._current_lease(record.retention_s)
        await self._platform.write(
            record.name,
            encode_claim(record.claim),
            expect=record.revision,
            lease=lease.lease,
        )


def _revision(found: FoundClaim | None) -> int:
    return _ABSENT_REVISION if found is None else found.revision
