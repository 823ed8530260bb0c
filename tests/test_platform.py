"""Tests the platform client against the stand-in."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import aiohttp
import pytest

from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.messages import ErrorKind
from mastichatch_core.units import MS_PER_S
from mastichatch_node.platform import (
    HostEntry,
    LeaseGoneError,
    Platform,
    RevisionMismatchError,
    open_platform,
)
from tests.standins.platform import create_platform
from tests.standins.proxy import open_proxy
from tests.standins.serving import serve

TIMEOUT_MS = 500
# Longer than any pause of a busy machine.
PATIENT_TIMEOUT_MS = 60_000
# Calls that a node makes at once when many callers come back together.
BURST = 300


@contextlib.asynccontextmanager
async def open_platform_and_standin() -> AsyncIterator[tuple[Platform, str]]:
    """Serve a stand-in of the platform and open a client."""
    async with serve(create_platform(), 0) as address:
        async with open_platform(address, TIMEOUT_MS) as platform:
            yield platform, address


async def set_platform_faults(address: str, **faults: object) -> None:
    """Set the faults that the stand-in injects."""
    async with aiohttp.ClientSession() as session:
        async with session.post(f'http://{address}/control', json=faults):
            pass


async def count_reads(address: str) -> int:
    """Return how many reads came to the stand-in."""
    async with aiohttp.ClientSession() as session:
        async with session.get(f'http://{address}/control/calls') as answer:
            return int((await answer.json())['reads'])


class TestKeys:
    async def test_a_conditional_write_needs_the_revision(self) -> None:
        async with open_platform_and_standin() as (platform, _):
            first = await platform.write('a/b', b'1', expect=0)
            with pytest.raises(RevisionMismatchError) as caught:
                await platform.write('a/b', b'2', expect=0)
            assert caught.value.current == first
            second = await platform.write('a/b', b'2', expect=first)
            stored = await platform.read('a/b')
            assert stored is not None
            assert (stored.value, stored.revision) == (b'2', second)
            with pytest.raises(RevisionMismatchError):
                await platform.delete('a/b', expect=first)
            assert await platform.delete('a/b', expect=second)
            assert not await platform.delete('a/b')
            assert await platform.read('a/b') is None

    async def test_a_listing_and_a_watch_cover_the_prefix_only(self) -> None:
        async with open_platform_and_standin() as (platform, _):
            revision = await platform.write('a/x', b'\x00\xff')
            await platform.write('b/x', b'2')
            listing = await platform.list_entries('a/')
            assert [entry.value for entry in listing.entries] == [b'\x00\xff']
            watch = asyncio.create_task(platform.watch('a/', revision, 5000))
            await asyncio.sleep(0.05)
            await platform.write('b/x', b'3')
            await platform.delete('a/x')
            answer = await watch
            assert [change.key for change in answer.changes] == ['a/x']
            assert answer.changes[0].deleted

    async def test_a_value_over_the_limit_is_refused(self) -> None:
        async with open_platform_and_standin() as (platform, _):
            with pytest.raises(MastichatchError) as caught:
                await platform.write('a', b'x' * (1024 * 1024 + 1))
            assert caught.value.kind is ErrorKind.body_too_large

    async def test_keys_are_deleted_with_their_lease(self) -> None:
        async with open_platform_and_standin() as (platform, _):
            lease = await platform.grant_lease(60_000)
            await platform.write('a', b'1', lease=lease)
            assert await platform.renew_lease(lease)
            await platform.revoke_lease(lease)
            assert not await platform.renew_lease(lease)
            assert await platform.read('a') is None
            with pytest.raises(LeaseGoneError):
                await platform.write('a', b'1', lease=lease)

    async def test_the_host_list_is_read(self) -> None:
        async with open_platform_and_standin() as (platform, address):
            host = {'host': 'h', 'data_centre': 'd', 'state': 'leaving'}
            await set_platform_faults(address, hosts=[host])
            await asyncio.sleep(0.05)
            assert await platform.hosts() == (
                HostEntry(host='h', data_centre='d', state='leaving'),
            )


class TestFaults:
    async def test_a_write_is_sent_once_when_its_answer_is_lost(self) -> None:
        # By default, aiohttp repeats the PUT, and the repeated conditional
        # write reports a revision mismatch.
        async with open_platform_and_standin() as (platform, address):
            await platform.read('a')
            await set_platform_faults(address, lose_answers=1)
            with pytest.raises(MastichatchError) as caught:
                await platform.write('a', b'1', expect=0)
            assert caught.value.kind is ErrorKind.platform_unavailable
            stored = await platform.read('a')
            assert stored is not None
            assert stored.value == b'1'

    @pytest.mark.parametrize('mode', ['refuse', 'hang'])
    async def test_calls_in_an_outage_are_unavailable_until_it_ends(
        self, mode: str
    ) -> None:
        async with open_platform_and_standin() as (platform, address):
            await set_platform_faults(address, available=False, mode=mode)
            with pytest.raises(MastichatchError) as caught:
                await platform.read('a')
            assert caught.value.kind is ErrorKind.platform_unavailable
            await set_platform_faults(address, available=True)
            assert await platform.read('a') is None

    async def test_a_burst_of_calls_does_not_wait_for_connections(
        self,
    ) -> None:
        """All calls of a burst are at the platform at once."""
        async with open_platform_and_standin() as (_, address):
            await set_platform_faults(address, available=False, mode='hang')
            async with open_platform(address, PATIENT_TIMEOUT_MS) as patient:
                calls = [
                    asyncio.create_task(patient.read(f'a/{number}'))
                    for number in range(BURST)
                ]
                async with asyncio.timeout(PATIENT_TIMEOUT_MS / MS_PER_S):
                    while await count_reads(address) < BURST:
                        await asyncio.sleep(0.05)
                assert not any(call.done() for call in calls)
                await set_platform_faults(address, available=True)
                await asyncio.gather(*calls, return_exceptions=True)

    async def test_a_read_on_a_stalled_connection_is_repeated(self) -> None:
        async with open_platform_and_standin() as (platform, address):
            async with open_proxy(address) as (proxy, _):
                async with open_platform(proxy.address, TIMEOUT_MS) as proxied:
                    assert await proxied.read('a') is None
                    await proxy.change({'blackhole_existing': True})
                    assert await proxied.read('a') is None

    async def test_a_read_is_repeated_once_only_in_an_outage(self) -> None:
        async with open_platform_and_standin() as (platform, address):
            await set_platform_faults(address, available=False, mode='hang')
            with pytest.raises(MastichatchError) as caught:
                await platform.read('a')
            assert caught.value.kind is ErrorKind.platform_unavailable
            assert await count_reads(address) == 2

    async def test_a_stalled_connection_is_not_used_again(self) -> None:
        async with open_platform_and_standin() as (platform, address):
            host, port = address.split(':')
            forwarding = {'on': True}
            connections: list[asyncio.StreamWriter] = []

            async def forward(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter
            ) -> None:
                # The first four connections drop all data while
                # forwarding is off; later connections always forward.
                connections.append(writer)
                connection_number = len(connections)
                from_platform, to_platform = await asyncio.open_connection(
                    host, int(port)
                )

                async def copy_bytes(
                    source: asyncio.StreamReader, target: asyncio.StreamWriter
                ) -> None:
                    while data := await source.read(65536):
                        if connection_number > 4 or forwarding['on']:
                            target.write(data)

                await asyncio.gather(
                    copy_bytes(reader, to_platform),
                    copy_bytes(from_platform, writer),
                )

            server = await asyncio.start_server(forward, '127.0.0.1', 0)
            proxy_address = f'127.0.0.1:{server.sockets[0].getsockname()[1]}'
            async with open_platform(
                proxy_address, TIMEOUT_MS
            ) as proxied_platform:
                await asyncio.gather(
                    *(proxied_platform.read('a') for _ in range(3))
                )
                assert len(connections) == 3
                forwarding['on'] = False
                with pytest.raises(MastichatchError):
                    await proxied_platform.write('a', b'1')
                # All four connections have stalled, and only the call that
                # was sent on one of them meets a time-out.
                assert len(connections) == 4
                assert await proxied_platform.read('a') is None
                assert len(connections) == 5
            server.close()
