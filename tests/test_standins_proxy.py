"""Tests of the fault proxy."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import pynng
import pytest

from tests.standins import proxy

SILENCE_S = 0.1

Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


async def echo(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Send back what comes in."""
    with contextlib.closing(writer), contextlib.suppress(OSError):
        while data := await reader.read(1024):
            writer.write(data)


@contextlib.asynccontextmanager
async def open_echo() -> AsyncIterator[proxy.Proxy]:
    """Run a proxy in front of an echo server."""
    server = await asyncio.start_server(echo, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    async with proxy.open_proxy(f'127.0.0.1:{port}') as (opened, _):
        yield opened
    server.close()


async def connect(opened: proxy.Proxy) -> Connection:
    """Connect through the proxy."""
    host, port = opened.address.split(':')
    return await asyncio.open_connection(host, int(port))


async def ask(connection: Connection, data: bytes) -> bytes:
    """Send some bytes and return as many."""
    reader, writer = connection
    writer.write(data)
    return await reader.readexactly(len(data))


async def is_silent(connection: Connection) -> bool:
    """Return whether nothing comes back."""
    try:
        await asyncio.wait_for(ask(connection, b'?'), SILENCE_S)
    except TimeoutError:
        return True
    return False


class TestFaults:
    """Each fault and its end."""

    async def test_existing_connection_stays_silent_while_new_ones_work(
        self,
    ) -> None:
        async with open_echo() as opened:
            old = await connect(opened)
            assert await ask(old, b'a') == b'a'
            await opened.change({'blackhole_existing': True})
            assert await is_silent(old)
            assert await ask(await connect(opened), b'b') == b'b'
            await opened.change({'restore': True})
            assert await is_silent(old)

    @pytest.mark.parametrize(
        'fault', [{'blackhole': True}, {'one_way': 'up'}, {'one_way': 'down'}]
    )
    async def test_held_bytes_pass_once_a_blackhole_ends(
        self, fault: dict[str, object]
    ) -> None:
        async with open_echo() as opened:
            old = await connect(opened)
            assert await ask(old, b'a') == b'a'
            await opened.change(fault)
            assert await is_silent(old)
            assert await is_silent(await connect(opened))
            await opened.change({'restore': True})
            assert await old[0].readexactly(1) == b'?'

    async def test_one_way_may_hold_connections_that_began_alike(self) -> None:
        async with open_echo() as opened:
            await opened.change({'one_way': 'down', 'one_way_begin': 'a'})
            held, other = await connect(opened), await connect(opened)
            held[1].write(b'ab')
            assert await is_silent(held)
            assert await ask(other, b'ba') == b'ba'
            await opened.change({'one_way': ''})
            assert await held[0].readexactly(2) == b'ab'

    async def test_blocked_sender_is_held_while_others_pass(self) -> None:
        async with open_echo() as opened:
            await opened.change({'block_senders': ['127.0.0.1:5001']})
            blocked, other = await connect(opened), await connect(opened)
            blocked[1].write(b'from 127.0.0.1:5001 to 127.0.0.1:5002')
            assert await is_silent(blocked)
            assert await ask(other, b'127.0.0.1:5002') == b'127.0.0.1:5002'
            await opened.change({'restore': True})
            assert await blocked[0].readexactly(4) == b'from'

    async def test_cut_resets_and_refuses_until_restored(self) -> None:
        async with open_echo() as opened:
            old = await connect(opened)
            assert await ask(old, b'a') == b'a'
            await opened.change({'cut': True})
            with pytest.raises(ConnectionResetError):
                await ask(old, b'b')
            with pytest.raises(ConnectionRefusedError):
                await connect(opened)
            await opened.change({'restore': True})
            assert await ask(await connect(opened), b'c') == b'c'

    async def test_two_restores_at_once_listen_once(self) -> None:
        """Two faults of one test may end at the same moment."""
        async with open_echo() as opened:
            await opened.change({'cut': True})
            await asyncio.gather(
                *(opened.change({'restore': True}) for _ in range(3))
            )
            assert await ask(await connect(opened), b'a') == b'a'

    async def test_cut_during_a_restore_takes_effect_after_it(self) -> None:
        async with open_echo() as opened:
            await opened.change({'cut': True})
            await asyncio.gather(
                opened.change({'restore': True}), opened.change({'cut': True})
            )
            with pytest.raises(ConnectionRefusedError):
                await connect(opened)

    async def test_messages_pass_to_a_pynng_listener(self) -> None:
        with pynng.Pull0(listen='tcp://127.0.0.1:0') as pull:
            target = str(pull.listeners[0].local_address)
            async with proxy.open_proxy(target) as (opened, _):
                with pynng.Push0() as push:
                    push.dial(f'tcp://{opened.address}', block=False)
                    await push.asend(b'one')
                    assert await pull.arecv() == b'one'
