"""Tests of claims against a stand-in platform, over real connections."""

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator

import aiohttp
import pytest

from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.messages import CallOutcome, ErrorKind, Ran
from mastichatch_core.generated.records import Claim, ClaimState
from mastichatch_node.claim_store import ClaimStore
from mastichatch_node.metrics import create_metrics
from mastichatch_node.platform import open_platform
from tests.standins.platform import create_platform
from tests.standins.serving import serve

NAME = 'claims/k'
RETENTION_S = 1.0
MINE = Claim(incarnation='i1', attempt='i1/1', body_digest='d', peer_address='')
OTHER = dataclasses.replace(MINE, incarnation='i2', attempt='i2/1')


@contextlib.asynccontextmanager
async def open_claims() -> AsyncIterator[tuple[ClaimStore, str]]:
    """Serve a stand-in platform and open its claims."""
    async with serve(create_platform(), 0) as address:
        async with open_platform(address, 300) as platform:
            yield ClaimStore(platform, create_metrics('')), address


async def control(address: str, **faults: object) -> None:
    """Inject faults into the platform."""
    async with aiohttp.ClientSession() as session:
        async with session.post(f'http://{address}/control', json=faults):
            pass


class TestTake:
    """At most one attempt claims a key."""

    async def test_only_one_of_many_attempts_gets_a_key(self) -> None:
        async with open_claims() as (claims, _):
            wanted = [
                dataclasses.replace(MINE, attempt=f'i1/{number}')
                for number in range(20)
            ]
            taken = await asyncio.gather(
                *(
                    claims.take(NAME, claim, None, RETENTION_S)
                    for claim in wanted
                )
            )
            (winner,) = [claim for claim in taken if claim is not None]
            found = await claims.find(NAME)
            assert found is not None
            assert found.claim == winner.claim
            assert found.revision == winner.revision

    async def test_lost_answer_is_resolved_by_reading_back(self) -> None:
        async with open_claims() as (claims, address):
            await claims.take('claims/other', MINE, None, RETENTION_S)
            await control(address, lose_answers=1)
            taken = await claims.take(NAME, MINE, None, RETENTION_S)
            assert taken is not None
            found = await claims.find(NAME)
            assert found is not None
            assert found.revision == taken.revision

    async def test_outage_is_reported(self) -> None:
        async with open_claims() as (claims, address):
            await control(address, available=False)
            for work in (
                claims.find(NAME),
                claims.take(NAME, MINE, None, RETENTION_S),
            ):
                with pytest.raises(MastichatchError) as raised:
                    await work
                assert raised.value.kind is ErrorKind.platform_unavailable

    async def test_take_over_needs_the_claim_that_was_found(self) -> None:
        async with open_claims() as (claims, _):
            await claims.take(NAME, OTHER, None, RETENTION_S)
            found = await claims.find(NAME)
            taken = await claims.take(NAME, MINE, found, RETENTION_S)
            assert taken is not None
            third = dataclasses.replace(MINE, attempt='i1/3')
            assert not await claims.take(NAME, third, found, RETENTION_S)

    async def test_claim_expires_after_its_retention_and_not_before(
        self,
    ) -> None:
        async with open_claims() as (claims, _):
            taken = await claims.take(NAME, MINE, None, RETENTION_S)
            assert taken is not None
            loop = asyncio.get_running_loop()
            taken_at = loop.time()
            while await claims.find(NAME):
                await asyncio.sleep(0.02)
            assert loop.time() > taken_at + RETENTION_S


class TestRecord:
    """Outcomes are written to their claims."""

    @pytest.mark.parametrize(
        ('outcome', 'state'),
        [
            (CallOutcome(ran=Ran.yes, status=200, body=b'{}'), 'answered'),
            (CallOutcome(ran=Ran.no, body=b''), 'released'),
        ],
    )
    async def test_outcome_is_found_with_the_claim(
        self, outcome: CallOutcome, state: str
    ) -> None:
        async with open_claims() as (claims, _):
            taken = await claims.take(NAME, MINE, None, RETENTION_S)
            assert taken is not None
            claims.record(taken, outcome, RETENTION_S)
            await claims.flush()
            found = await claims.find(NAME)
            assert found is not None
            assert found.claim.state == ClaimState(state)

    async def test_record_never_replaces_another_attempt(self) -> None:
        async with open_claims() as (claims, _):
            taken = await claims.take(NAME, MINE, None, RETENTION_S)
            assert taken is not None
            found = await claims.find(NAME)
            await claims.take(NAME, OTHER, found, RETENTION_S)
            claims.record(taken, CallOutcome(ran=Ran.no, body=b''), RETENTION_S)
            await claims.flush()
            found = await claims.find(NAME)
            assert found is not None
            assert found.claim == OTHER
