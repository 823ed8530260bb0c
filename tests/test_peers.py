"""Messages between nodes over real sockets on loopback."""

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator, Iterator

import pynng
import pytest

from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.messages import (
    ChunkAnswer,
    ChunkQuery,
    Envelope,
    ErrorKind,
    MessageKind,
)
from mastichatch_node import codec
from mastichatch_node.connections import SEND_BUFFER_MESSAGES
from mastichatch_node.peers import Peers, Reply, open_peers

ASK_TIMEOUT_MS = 2000


@contextlib.asynccontextmanager
async def open_pair() -> AsyncIterator[tuple[Peers, Peers]]:
    """Open the messaging of two nodes."""
    async with open_peers('127.0.0.1:0', 'one') as one:
        async with open_peers('127.0.0.1:0', 'two') as two:
            yield one, two


async def echo(query: ChunkQuery, envelope: Envelope) -> Reply:
    """Return an answer that holds the digest of the question."""
    return Reply(
        kind=MessageKind.chunk_answer,
        message=ChunkAnswer(found=True, body=query.digest.encode()),
    )


async def ask(
    peers: Peers,
    address: str,
    digest: str,
    timeout_ms: float = ASK_TIMEOUT_MS,
    recipient: str = '',
) -> ChunkAnswer:
    """Query a peer for a chunk."""
    return await peers.ask(
        address,
        MessageKind.chunk_query,
        ChunkQuery(digest=digest),
        ChunkAnswer,
        timeout_ms=timeout_ms,
        recipient=recipient,
    )


@contextlib.contextmanager
def listen_silently() -> Iterator[str]:
    """Listen on a free port without ever reading from a connection."""
    with socket.create_server(('127.0.0.1', 0)) as server:
        yield f'127.0.0.1:{server.getsockname()[1]}'


class TestAsk:
    async def test_each_answer_reaches_its_own_question(self) -> None:
        async with open_pair() as (one, two):

            async def answer_late(
                query: ChunkQuery, envelope: Envelope
            ) -> Reply:
                await asyncio.sleep(0.05 / (1 + int(query.digest)))
                return await echo(query, envelope)

            two.on(MessageKind.chunk_query, ChunkQuery, answer_late)
            answers = await asyncio.gather(
                *(ask(one, two.address, str(index)) for index in range(300))
            )
            assert [int(answer.body) for answer in answers] == list(range(300))

    async def test_both_ends_may_ask_with_the_same_correlation(self) -> None:
        async with open_pair() as (one, two):
            one.on(MessageKind.chunk_query, ChunkQuery, echo)
            two.on(MessageKind.chunk_query, ChunkQuery, echo)
            answers = await asyncio.gather(
                ask(one, two.address, 'from-one'),
                ask(two, one.address, 'from-two'),
            )
            assert [answer.body for answer in answers] == [
                b'from-one',
                b'from-two',
            ]

    async def test_error_of_the_handler_reaches_the_asker(self) -> None:
        async with open_pair() as (one, two):

            async def refuse(query: ChunkQuery, envelope: Envelope) -> None:
                raise MastichatchError(ErrorKind.not_found, 'no chunk')

            two.on(MessageKind.chunk_query, ChunkQuery, refuse)
            with pytest.raises(MastichatchError, match='no chunk') as caught:
                await ask(one, two.address, 'x')
            assert caught.value.kind is ErrorKind.not_found

    async def test_unexpected_exception_is_answered_as_internal_error(
        self,
    ) -> None:
        async with open_pair() as (one, two):

            async def fail(query: ChunkQuery, envelope: Envelope) -> None:
                raise ValueError

            two.on(MessageKind.chunk_query, ChunkQuery, fail)
            with pytest.raises(MastichatchError) as caught:
                await ask(one, two.address, 'x')
            assert caught.value.kind is ErrorKind.internal

    async def test_question_for_another_incarnation_is_refused(self) -> None:
        async with open_pair() as (one, two):
            two.on(MessageKind.chunk_query, ChunkQuery, echo)
            with pytest.raises(MastichatchError, match='old is not here'):
                await ask(one, two.address, 'x', recipient='old')
            assert (await ask(one, two.address, 'x', recipient='two')).found

    async def test_absent_peer_is_unreachable_until_it_listens(self) -> None:
        async with open_peers('127.0.0.1:0', 'one') as one:
            with listen_silently() as address:
                pass
            with pytest.raises(MastichatchError) as caught:
                await ask(one, address, 'x', 50)
            assert caught.value.kind is ErrorKind.peer_unreachable
            async with open_peers(address, 'two') as two:
                two.on(MessageKind.chunk_query, ChunkQuery, echo)
                assert (await ask(one, address, 'x')).found


class TestUnresponsivePeers:
    async def test_peer_that_does_not_read_never_blocks_the_sender(
        self,
    ) -> None:
        async with open_peers('127.0.0.1:0', 'one') as one:
            with listen_silently() as address:
                message = ChunkAnswer(found=True, body=b'x' * 100_000)
                for _ in range(2 * SEND_BUFFER_MESSAGES):
                    one.send(address, MessageKind.chunk_answer, message)
                assert one.counts.dropped > 0

    async def test_connection_without_answer_is_reset(self) -> None:
        async with open_peers('127.0.0.1:0', 'one') as one:
            with listen_silently() as address:
                with pytest.raises(MastichatchError):
                    await ask(one, address, 'x', 50)
            assert one.counts.resets == 1

    async def test_reset_discards_queued_messages(self) -> None:
        async with open_peers('127.0.0.1:0', 'one') as one:
            with listen_silently() as address:
                pass
            received: list[str] = []

            async def record_digest(
                query: ChunkQuery, envelope: Envelope
            ) -> None:
                received.append(query.digest)

            one.send(address, MessageKind.chunk_query, ChunkQuery(digest='a'))
            one.reset(address)
            one.send(address, MessageKind.chunk_query, ChunkQuery(digest='b'))
            async with open_peers(address, 'two') as two:
                two.on(MessageKind.chunk_query, ChunkQuery, record_digest)
                while not received:
                    await asyncio.sleep(0.01)
                await asyncio.sleep(0.1)
            assert received == ['b']


def answer_frame(correlation: int, recipient: str) -> bytes:
    """Return an answer as a node writes it, to the question of this number."""
    answer = ChunkAnswer(found=True, body=b'stale')
    return codec.encode(
        Envelope(
            kind=MessageKind.chunk_answer,
            sender='127.0.0.1:1',
            incarnation='two',
            body=codec.encode(answer),
            correlation=correlation,
            recipient=recipient,
            answer=True,
        )
    )


class TestStaleAnswers:
    """Each process numbers its questions from one."""

    @pytest.mark.parametrize(
        ('correlation', 'recipient'),
        [
            # To a question of a former process at the same address.
            (2, 'former'),
            # Doubled, or to a question whose time is over.
            (1, 'one'),
        ],
    )
    async def test_answer_to_an_earlier_question_answers_no_other(
        self, correlation: int, recipient: str
    ) -> None:
        async with open_pair() as (one, two):

            async def answer_late(
                query: ChunkQuery, envelope: Envelope
            ) -> Reply:
                await asyncio.sleep(0.1)
                return await echo(query, envelope)

            two.on(MessageKind.chunk_query, ChunkQuery, answer_late)
            assert (await ask(one, two.address, 'first')).body == b'first'
            later = asyncio.create_task(ask(one, two.address, 'second'))
            with pynng.Push0() as push:
                push.dial(f'tcp://{one.address}', block=True)
                push.send(answer_frame(correlation, recipient))
                assert (await later).body == b'second'


class TestBadFrames:
    async def test_bad_frames_are_counted_and_receiving_continues(self) -> None:
        async with open_pair() as (one, two):
            two.on(MessageKind.chunk_query, ChunkQuery, echo)
            frames = (b'', b'\xc1', b'\xff' * 64, b'\x91' * 5000, b'\x80')
            with pynng.Push0() as push:
                push.dial(f'tcp://{two.address}', block=True)
                for frame in frames:
                    push.send(frame)
                while two.counts.bad < len(frames):
                    await asyncio.sleep(0.01)
            assert (await ask(one, two.address, 'x')).found

    async def test_an_unknown_kind_and_a_wrong_body_are_dropped(self) -> None:
        async with open_pair() as (one, two):
            two.on(MessageKind.chunk_query, ChunkQuery, echo)
            one.send(two.address, MessageKind.heartbeat, ChunkQuery(digest=''))
            one.send(
                two.address,
                MessageKind.chunk_query,
                ChunkAnswer(found=True, body=b''),
            )
            assert (await ask(one, two.address, 'x')).found
            assert two.counts.bad == 2
