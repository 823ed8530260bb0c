"""Tests of the memory of a relay process under floods of bytes."""

import asyncio
import contextlib
import pathlib
from collections.abc import AsyncIterator, Callable
from typing import Any

import pynng
import pytest

from mastichatch_node.peers import FRAME_LIMIT_BYTES
from tests.relay_nodes import (
    Response,
    configuration,
    request_bytes,
    route,
    until,
)
from tests.relay_process import RelayProcess, open_relay_process
from tests.standins import house_endpoints as endpoints
from tests.standins.house_endpoints import (
    HouseEndpoint,
    ReceivedRequest,
    signature_headers,
)
from tests.test_relay_endless import EndlessSender, chunk, ok_head

MIB = 1024 * 1024
# A process above this is killed by the platform at zubiaurre-rota.
MEMORY_LIMIT_BYTES = 150 * MIB
PIECE_BYTES = 65536
GAP_S = 0.02
# Small calls that must be answered while a flood lasts.
SMALL_CALLS = 6
LARGE_BODY = b'x' * (10 * MIB)


def document(timeout_ms: int) -> dict[str, Any]:
    """Return a configuration that allows request bodies of 4 MiB."""
    found = configuration(
        routes=[
            route('lookup', 'safe', 'app', timeout_ms=timeout_ms),
            route('book', 'non_idempotent', 'app', timeout_ms=timeout_ms),
            route('plan', 'streaming', 'llm', gap_aim_ms=180),
        ]
    )
    found['limits']['max_body_bytes'] = 4 * MIB
    for service in found['services']:
        service['max_conns'] = 500
    return found


def unframed_head(request: ReceivedRequest) -> str:
    return f'HTTP/1.1 200 OK\r\n{signature_headers(request)}\r\n'


def long_head(request: ReceivedRequest) -> str:
    return (
        f'HTTP/1.1 200 OK\r\n{signature_headers(request)}'
        f'Content-Length: {10**15}\r\n\r\n'
    )


ENDLESS_BODIES: dict[
    str, tuple[Callable[[ReceivedRequest], str], bytes, int, int]
] = {
    # How it begins, what follows without end, time limit in ms, and calls.
    'length': (long_head, b'x' * PIECE_BYTES, 800, 100),
    'no length': (unframed_head, b'x' * PIECE_BYTES, 2000, 100),
    'chunks': (ok_head, chunk(b'x' * PIECE_BYTES), 10000, 200),
}


async def call_all(
    relay: RelayProcess, path: str, count: int, **options: Any
) -> list[Response]:
    """Send calls, all at once."""
    calls = (
        relay.call(path, request_id=f'r{number}', **options)
        for number in range(count)
    )
    return list(await asyncio.gather(*calls))


async def keep_calling(relay: RelayProcess, statuses: list[int]) -> None:
    """Send small calls until cancelled, and collect their statuses."""
    number = 0
    while True:
        number += 1
        answer = await relay.call('/book/x', request_id=f's{number}')
        statuses.append(answer.status)
        await asyncio.sleep(GAP_S)


@contextlib.asynccontextmanager
async def small_calls(relay: RelayProcess) -> AsyncIterator[None]:
    """Send small calls beside the block, and check that all are served."""
    statuses: list[int] = []
    calling = asyncio.ensure_future(keep_calling(relay, statuses))
    try:
        yield
        await until(lambda: len(statuses) >= SMALL_CALLS or calling.done())
    finally:
        calling.cancel()
    assert set(statuses) == {200}


class TestEndlessAnswers:
    """Guards against processes killed for memory that a server's bytes fill."""

    @pytest.mark.parametrize('path', ['/book/x', '/lookup/x'])
    @pytest.mark.parametrize('framing', list(ENDLESS_BODIES))
    async def test_process_stays_within_its_memory(
        self, tmp_path: pathlib.Path, framing: str, path: str
    ) -> None:
        begin, piece, timeout_ms, count = ENDLESS_BODIES[framing]
        sender = EndlessSender(begin, piece)
        bad = HouseEndpoint(instance='i-a', script=sender.write, slots=200)
        good = tuple(
            HouseEndpoint(instance=name, script=endpoints.respond_ok, slots=200)
            for name in ('i-b', 'i-c', 'i-d')
        )
        async with open_relay_process(
            tmp_path, (bad, *good), document=document(timeout_ms)
        ) as relay:
            answers = await call_all(relay, path, count, timeout_ms=timeout_ms)
            assert relay.is_alive
            assert relay.peak_bytes() < MEMORY_LIMIT_BYTES
        ran_at_bad = set(bad.ran)
        for number, answer in enumerate(answers):
            if f'r{number}' not in ran_at_bad:
                assert answer.status == 200
            elif answer.status == 200 and not answer.body.startswith(b'done'):
                assert not answer.is_whole


class TestStore:
    """Guards against a store that fills the memory of all processes."""

    async def test_pages_without_end_are_no_view(
        self, tmp_path: pathlib.Path
    ) -> None:
        app = HouseEndpoint(instance='i-a', script=endpoints.respond_ok)
        async with open_relay_process(
            tmp_path, (app,), document=document(2000)
        ) as relay:
            relay.store.is_endless = True
            relay.store.first_revision = 10**9
            await until(lambda: relay.process.log.count('buffer_given_up') > 2)
            assert relay.is_alive
            assert relay.peak_bytes() < MEMORY_LIMIT_BYTES


class TestPeers:
    """Guards against a node that fills the memory of another one."""

    async def test_frames_without_end_are_bounded(
        self, tmp_path: pathlib.Path
    ) -> None:
        app = HouseEndpoint(instance='i-a', script=endpoints.respond_ok)
        async with open_relay_process(
            tmp_path, (app,), document=document(2000)
        ) as relay:
            frame = b'x' * (FRAME_LIMIT_BYTES - 1)
            sockets = [pynng.Push0(send_timeout=50) for _ in range(8)]
            for one in sockets:
                one.dial(f'tcp://{relay.addresses["peers"]}', block=True)
            async with small_calls(relay):
                for _ in range(10):
                    for one in sockets:
                        with contextlib.suppress(pynng.Timeout):
                            one.send(frame)
                    await asyncio.sleep(0.05)
                assert relay.is_alive
                assert relay.peak_bytes() < MEMORY_LIMIT_BYTES
            for one in sockets:
                one.close()


class TestLargeBodies:
    """Guards against processes killed for memory that callers fill."""

    async def test_large_requests_leave_room_for_small_ones(
        self, tmp_path: pathlib.Path
    ) -> None:
        app = HouseEndpoint(
            instance='i-a', script=endpoints.respond_ok, slots=500
        )
        async with open_relay_process(
            tmp_path, (app,), document=document(10000)
        ) as relay:
            async with small_calls(relay):
                statuses = await asyncio.gather(
                    *(_send_slowly(relay, f'r{n}') for n in range(150))
                )
                assert relay.is_alive
                assert relay.peak_bytes() < MEMORY_LIMIT_BYTES
        assert set(statuses) <= {200, 503, 0}
        # A refusal is true: none of these has run.
        assert statuses.count(200) == sum(one[0] == 'r' for one in app.ran)
        assert statuses.count(200) > 5

    async def test_answers_that_callers_do_not_read_are_not_kept(
        self, tmp_path: pathlib.Path
    ) -> None:
        async def answer(
            endpoint: HouseEndpoint,
            request: ReceivedRequest,
            writer: asyncio.StreamWriter,
        ) -> None:
            endpoint.ran.append(request.request_id)
            is_small = request.request_id.startswith('s')
            body = LARGE_BODY[:100] if is_small else LARGE_BODY
            head = (
                f'HTTP/1.1 200 OK\r\n{signature_headers(request)}'
                f'Content-Length: {len(body)}\r\n\r\n'
            )
            writer.write(head.encode())
            for start in range(0, len(body), PIECE_BYTES):
                writer.write(body[start : start + PIECE_BYTES])
                await writer.drain()

        app = HouseEndpoint(instance='i-a', script=answer, slots=500)
        async with open_relay_process(
            tmp_path, (app,), document=document(10000)
        ) as relay:
            host, _, port = relay.addresses['callers'].rpartition(':')
            writers = []
            for number in range(150):
                _reader, writer = await asyncio.open_connection(
                    host, int(port), limit=1024
                )
                writer.write(
                    request_bytes(
                        '/book/x', request_id=f'r{number}', timeout_ms=10000
                    )
                )
                writers.append(writer)
            async with small_calls(relay):
                await asyncio.sleep(4)
                assert relay.is_alive
                assert relay.peak_bytes() < MEMORY_LIMIT_BYTES
            for writer in writers:
                writer.transport.abort()


async def _send_slowly(relay: RelayProcess, request_id: str) -> int:
    """Send a body of 4 MB over two seconds, and return the status."""
    host, _, port = relay.addresses['callers'].rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    body = b'x' * (4 * MIB)
    request = request_bytes(
        '/book/x', request_id=request_id, body=body, timeout_ms=10000
    )
    status = asyncio.ensure_future(reader.readline())
    try:
        for start in range(0, len(request), PIECE_BYTES):
            if status.done():
                break
            writer.write(request[start : start + PIECE_BYTES])
            await writer.drain()
            await asyncio.sleep(2 * PIECE_BYTES / len(request))
        line = await status
        return int(line.split()[1]) if line else 0
    except OSError:
        return 0
    finally:
        status.cancel()
        writer.close()
