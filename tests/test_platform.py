"""The platform's adapter against the stand-in."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import aiohttp
import pytest

from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.messages import ErrorKind
from mastichatch_node.platform import (
    HostEntry,
    LeaseGoneError,
    Platform,
    RevisionMismatchError,
    open_platform,
)
from tests.standins.platform import create_platform
from tests.standins.serving import serve

TIMEOUT_MS = 500


@contextlib.asynccontextmanager
async def open_both() -> AsyncIterator[tuple[Platform, str]]:
    """Serve a stand-in and open the adapter."""
    async with serve(create_platform(), 0) as address:
        async with open_platform(address, TIMEOUT_MS) as platform:
            yield platform, address


async def control(address: str, **faults: object) -> None:
    """Set faults of the stand-in."""
    async with aiohttp.ClientSession() as session:
        async with session.post(f'http://{address}/control', json=faults):
            pass


class TestKeys:
    async def test_a_conditional_write_needs_the_revision(self) -> None:
        async with open_both() as (platform, _):
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

    async def test_a_listing_and_a_watch_name_the_prefix_only(self) -> None:
        async with open_both() as (platform, _):
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
        async with open_both() as (platform, _):
            with pytest.raises(MastichatchError) as caught:
                await platform.write('a', b'x' * (1024 * 1024 + 1))
            assert caught.value.kind is ErrorKind.body_too_large

    async def test_keys_go_with_their_lease(self) -> None:
        async with open_both() as (platform, _):
            lease = await platform.grant_lease(60_000)
            await platform.write('a', b'1', lease=lease)
            assert await platform.renew_lease(lease)
            await platform.revoke_lease(lease)
            assert not await platform.renew_lease(lease)
            assert await platform.read('a') is None
            with pytest.raises(LeaseGoneError):
                await platform.write('a', b'1', lease=lease)

    async def test_the_host_list_is_read(self) -> None:
        async with open_both() as (platform, address):
            host = {'host': 'h', 'data_centre': 'd', 'state': 'leaving'}
            await control(address, hosts=[host])
            await asyncio.sleep(0.05)
            assert await platform.hosts() == (
                HostEntry(host='h', data_centre='d', state='leaving'),
            )


class TestFaults:
    async def test_a_write_is_sent_once_when_its_answer_is_lost(self) -> None:
        # aiohttp by itself would send it again and report a mismatch.
        async with open_both() as (platform, address):
            await platform.read('a')
            await control(address, lose_answers=1)
            with pytest.raises(MastichatchError) as caught:
                await platform.write('a', b'1', expect=0)
            assert caught.value.kind is ErrorKind.platform_unavailable
            stored = await platform.read('a')
            assert stored is not None
            assert stored.value == b'1'

    @pytest.mark.parametrize('mode', ['refuse', 'hang'])
    async def test_an_outage_is_unavailable_and_ends(self, mode: str) -> None:
        async with open_both() as (platform, address):
            await control(address, available=False, mode=mode)
            with pytest.raises(MastichatchError) as caught:
                await platform.read('a')
            assert caught.value.kind is ErrorKind.platform_unavailable
            await control(address, available=True)
            assert await platform.read('a') is None

    async def test_a_silent_connection_is_not_used_again(self) -> None:
        async with open_both() as (platform, address):
            host, port = address.split(':')
            forwarding = {'on': True}
            seen: list[asyncio.StreamWriter] = []

            async def relay(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter
            ) -> None:
                # Forwards while allowed at the start of the connection, and
                # goes silent for good once the flag falls.
                seen.append(writer)
                number = len(seen)
                up, down = await asyncio.open_connection(host, int(port))

                async def pump(
                    source: asyncio.StreamReader, sink: asyncio.StreamWriter
                ) -> None:
                    while data := await source.read(65536):
                        if number > 3 or forwarding['on']:
                            sink.write(data)

                await asyncio.gather(pump(reader, down), pump(up, writer))

            server = await asyncio.start_server(relay, '127.0.0.1', 0)
            proxied = f'127.0.0.1:{server.sockets[0].getsockname()[1]}'
            async with open_platform(proxied, TIMEOUT_MS) as through:
                await asyncio.gather(*(through.read('a') for _ in range(3)))
                assert len(seen) == 3
                forwarding['on'] = False
                with pytest.raises(MastichatchError):
                    await through.read('a')
                # All three idle connections went silent; one time-out tells.
                assert await through.read('a') is None
            server.close()
