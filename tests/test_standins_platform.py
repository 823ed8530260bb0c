"""Tests of the platform stand-in."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import aiohttp
import pytest

from tests.standins import platform, serving


async def send_once(
    request: aiohttp.ClientRequest, send: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Hide lost answers from aiohttp, which repeats a `PUT` after them."""
    try:
        return await send(request)
    except aiohttp.ServerDisconnectedError as error:
        raise aiohttp.ClientPayloadError from error


@contextlib.asynccontextmanager
async def open_store() -> AsyncIterator[aiohttp.ClientSession]:
    """Serve a platform and connect to it."""
    async with (
        serving.serve(platform.create_platform(), 0) as address,
        aiohttp.ClientSession(
            f'http://{address}', middlewares=(send_once,)
        ) as session,
    ):
        yield session


async def write(session: aiohttp.ClientSession, path: str) -> int:
    """Write a value and return the status."""
    async with session.put(f'/v1/kv/{path}', data=b'one') as answer:
        return answer.status


async def read(session: aiohttp.ClientSession, path: str) -> int:
    """Read a key and return the status."""
    async with session.get(f'/v1/kv/{path}') as answer:
        return answer.status


async def set_faults(session: aiohttp.ClientSession, **faults: object) -> None:
    """Make a control call."""
    await session.post('/control', json=faults)


class TestWrites:
    """Compare-and-swap and lost answers."""

    async def test_second_create_is_refused(self) -> None:
        async with open_store() as session:
            assert await write(session, 'a/b?expect=0') == 200
            assert await write(session, 'a/b?expect=0') == 409
            assert await write(session, 'a/b?expect=1') == 200

    async def test_write_takes_effect_although_the_answer_is_lost(self) -> None:
        async with open_store() as session:
            await set_faults(session, lose_answers=1)
            with pytest.raises(aiohttp.ClientError):
                await write(session, 'a')
            assert await read(session, 'a') == 200
            assert await write(session, 'a') == 200


class TestOutage:
    """Calls while the platform is away."""

    async def test_hanging_call_is_never_answered(self) -> None:
        async with open_store() as session:
            await set_faults(session, available=False, mode='hang')
            with pytest.raises(asyncio.TimeoutError):
                await asyncio.wait_for(write(session, 'a'), 0.1)
            await set_faults(session, available=True)
            assert await read(session, 'a') == 404


class TestWatch:
    """Watches and leases."""

    async def test_lapsed_lease_deletes_its_keys_and_wakes_watches(
        self,
    ) -> None:
        async with open_store() as session:
            async with session.post(
                '/v1/leases', json={'ttl_ms': 100}
            ) as answer:
                lease = (await answer.json())['lease']
            assert await write(session, f'a/b?lease={lease}') == 200
            async with session.get(
                '/v1/watch?prefix=a/&after=1&wait_ms=5000'
            ) as answer:
                keys = (await answer.json())['keys']
            assert keys == [{'key': 'a/b', 'revision': 2, 'deleted': True}]
            assert await write(session, f'a/b?lease={lease}') == 410
