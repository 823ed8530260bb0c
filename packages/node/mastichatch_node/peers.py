"""One-way messages between nodes, and questions with answers on top of them.

Each node listens with one Pull0 socket and dials one Push0 socket for each
peer. A message that cannot be queued at once is dropped, and a connection
that is reset loses its queued messages, so no message is ever sent twice.
Messages that a node sends to itself use no socket.
"""

import asyncio
import collections
import contextlib
import dataclasses
from collections.abc import (
    AsyncIterator,
    Awaitable,
    Callable,
    Iterable,
    Iterator,
)
from typing import Any, Final, TypeVar

import pynng
from absl import logging

from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.messages import (
    Envelope,
    ErrorKind,
    Failure,
    MessageKind,
)
from mastichatch_core.relay.byte_budget import (
    BudgetExceededError,
    ByteBudget,
    HeldBuffer,
    Purpose,
)
from mastichatch_core.units import MS_PER_S
from mastichatch_node import codec
from mastichatch_node.connections import Connections

FRAME_LIMIT_BYTES: Final = 4 * 1024 * 1024
RECEIVE_BATCH_FRAMES: Final = 64
TASK_LIMIT: Final = 20_000
# Budget of a node that sets none.
UNLIMITED_BYTES: Final = 2**62
IDLE_CONNECTION_S: Final = 60.0

_Message = TypeVar('_Message')


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """The answer that a handler returns.

    :param kind: kind of the answer
    :param message: generated data class
    """

    kind: MessageKind
    message: object


Handler = Callable[[Any, Envelope], Awaitable[Reply | None]]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerCounts:
    """Message counts for metrics.

    :param sent: messages queued for sending
    :param dropped: messages that could not be queued
    :param received: well-formed messages
    :param bad: frames that were malformed, without a handler, for another
        incarnation, or over the task limit
    :param resets: connections that were reset, for example after a question
        without an answer
    :param sent_bytes: bytes queued for sending
    """

    sent: int = 0
    dropped: int = 0
    received: int = 0
    bad: int = 0
    resets: int = 0
    sent_bytes: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Route:
    message_type: type[Any]
    handler: Handler


class Peers:
    """Messaging of one node with other nodes."""

    def __init__(
        self,
        address: str,
        incarnation: str,
        listener: pynng.Pull0,
        budget: ByteBudget,
    ) -> None:
        """Store the listener; call ``open_peers`` to create an instance."""
        self._address = address
        self._incarnation = incarnation
        self._listener = listener
        self._loop = asyncio.get_running_loop()
        self._routes: dict[MessageKind, _Route] = {}
        self._connections = Connections()
        self._pending_answers: dict[int, asyncio.Future[Envelope]] = {}
        self._last_received_at: dict[str, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._correlation = 0
        self._counts: collections.Counter[str] = collections.Counter()
        self._budget = budget

    @property
    def address(self) -> str:
        """IP address and port at which other nodes reach this node."""
        return self._address

    @property
    def incarnation(self) -> str:
        """Unique id of this run of the process."""
        return self._incarnation

    @property
    def counts(self) -> PeerCounts:
        """Message counts since the process started."""
        return PeerCounts(**self._counts)

    def on(
        self,
        kind: MessageKind,
        message_type: type[_Message],
        handler: Callable[[_Message, Envelope], Awaitable[Reply | None]],
    ) -> None:
        """Register the handler of one kind of message.

        :param kind: kind of the message
        :param message_type: generated data class of its body
        :param handler: receives the body and the envelope; its answer is sent
            back if the message was a question
        """
        self._routes[kind] = _Route(message_type=message_type, handler=handler)

    def send(self, address: str, kind: MessageKind, message: object) -> None:
        """Queue a one-way message, or drop it if the queue is full.

        :param address: peer address of the receiver
        :param kind: kind of the message
        :param message: generated data class
        """
        self.send_all((address,), kind, message)

    def send_all(
        self,
        addresses: Iterable[str],
        kind: MessageKind,
        message: object,
    ) -> None:
        """Queue one message for many receivers, encoded once.

        :param addresses: peer addresses of the receivers
        :param kind: kind of the message
        :param message: generated data class
        """
        receivers = tuple(addresses)
        if not receivers:
            return
        frame = codec.encode(self._create_envelope(kind, message))
        for address in receivers:
            self._transmit(address, frame)

    async def ask(
        self,
        address: str,
        kind: MessageKind,
        message: object,
        answer_type: type[_Message],
        *,
        timeout_ms: float,
        recipient: str = '',
    ) -> _Message:
        """Send a question and wait for its answer.

        :param address: peer address of the receiver
        :param kind: kind of the question
        :param message: generated data class
        :param answer_type: generated data class of the answer
        :param timeout_ms: longest wait, in milliseconds
        :param recipient: incarnation that may answer; empty for any
        :returns: the answer
        :raises MastichatchError: with ``peer_unreachable`` if no answer arrives
            in time, or with the kind of the failure that the peer answered
        """
        self._correlation += 1
        correlation = self._correlation
        question = dataclasses.replace(
            self._create_envelope(kind, message),
            correlation=correlation,
            recipient=recipient,
        )
        asked_at = self._loop.time()
        future = self._loop.create_future()
        self._pending_answers[correlation] = future
        try:
            self._transmit(address, codec.encode(question))
            async with asyncio.timeout(timeout_ms / MS_PER_S):
                answer = await future
        except TimeoutError:
            # An open connection may no longer transport anything although a new
            # one would.
            if self._last_received_at.get(address, -1) < asked_at:
                self.reset(address)
            raise _unreachable(address) from None
        finally:
            self._pending_answers.pop(correlation, None)
        return _decode_answer(answer, answer_type, address)

    def reset(self, address: str) -> None:
        """Drop the connection to a peer; the next message dials a new one.

        :param address: peer address
        """
        if self._connections.reset(address):
            self._counts['resets'] += 1

    def receive(self) -> None:
        """Handle received frames, at most one batch of them."""
        for _ in range(RECEIVE_BATCH_FRAMES):
            try:
                frame = self._listener.recv(block=False)
            except pynng.TryAgain:
                return
            except pynng.NNGException as error:
                logging.warning('receiving from peers failed: %s', error)
                return
            except RuntimeError:
                # pynng cannot unpack an empty frame.
                self._counts['bad'] += 1
                continue
            self._handle_frame(frame)

    def close_idle(self) -> None:
        """Close connections that were not used for ``IDLE_CONNECTION_S``."""
        oldest = self._loop.time() - IDLE_CONNECTION_S
        self._connections.close_unused_since(oldest)
        for address, received_at in tuple(self._last_received_at.items()):
            if received_at < oldest:
                self._last_received_at.pop(address)

    def close(self) -> None:
        """Close all connections and cancel the running handlers."""
        for task in self._tasks:
            task.cancel()
        self._connections.close()
        self._listener.close()

    def _create_envelope(self, kind: MessageKind, message: object) -> Envelope:
        return Envelope(
            kind=kind,
            sender=self._address,
            incarnation=self._incarnation,
            body=codec.encode(message),
        )

    def _transmit(self, address: str, frame: bytes) -> None:
        if address == self._address:
            # A node would not detect that a connection to itself has stalled.
            self._loop.call_soon(self._handle_frame, frame)
            return
        if self._connections.transmit(address, frame):
            self._counts['sent'] += 1
            self._counts['sent_bytes'] += len(frame)
        else:
            self._counts['dropped'] += 1

    def _handle_frame(self, frame: bytes) -> None:
        try:
            envelope = codec.decode(frame, Envelope)
        except codec.DecodeError:
            self._counts['bad'] += 1
            return
        self._last_received_at[envelope.sender] = self._loop.time()
        if envelope.recipient not in {'', self._incarnation}:
            self._counts['bad'] += 1
            self._send_failure(
                envelope, _incarnation_mismatch(envelope.recipient)
            )
        elif envelope.answer:
            self._resolve_answer(envelope)
        else:
            self._dispatch(envelope)

    def _resolve_answer(self, envelope: Envelope) -> None:
        future = self._pending_answers.get(envelope.correlation)
        if future is None or future.done():
            return
        self._counts['received'] += 1
        future.set_result(envelope)

    def _dispatch(self, envelope: Envelope) -> None:
        route = self._routes.get(envelope.kind)
        if route is None or len(self._tasks) >= TASK_LIMIT:
            self._counts['bad'] += 1
            return
        try:
            message = codec.decode(envelope.body, route.message_type)
        except codec.DecodeError:
            self._counts['bad'] += 1
            return
        held = _hold_message(self._budget, envelope)
        if held is None:
            self._counts['bad'] += 1
            return
        self._counts['received'] += 1
        task = self._loop.create_task(
            self._run_handler(route.handler, message, envelope),
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(lambda _: held.close())

    async def _run_handler(
        self,
        handler: Handler,
        message: object,
        envelope: Envelope,
    ) -> None:
        try:
            reply = await handler(message, envelope)
        except MastichatchError as error:
            self._send_failure(envelope, error)
        except Exception:
            logging.exception('handling %s failed', envelope.kind)
            self._send_failure(envelope, MastichatchError(ErrorKind.internal))
        else:
            if reply is not None:
                self._send_answer(envelope, reply)

    def _send_failure(
        self,
        question: Envelope,
        error: MastichatchError,
    ) -> None:
        failure = Failure(kind=error.kind, message=str(error))
        self._send_answer(
            question,
            Reply(kind=MessageKind.failure, message=failure),
        )

    def _send_answer(self, question: Envelope, reply: Reply) -> None:
        if question.answer or not question.correlation:
            return
        answer = dataclasses.replace(
            self._create_envelope(reply.kind, reply.message),
            correlation=question.correlation,
            recipient=question.incarnation,
            answer=True,
        )
        self._transmit(question.sender, codec.encode(answer))


@contextlib.asynccontextmanager
async def open_peers(
    address: str,
    incarnation: str,
    advertised: str = '',
    budget: ByteBudget | None = None,
) -> AsyncIterator[Peers]:
    """Listen for other nodes.

    :param address: IP address and port to listen on; port 0 selects a free one
    :param incarnation: unique id of this run of the process
    :param advertised: address at which other nodes reach this node, if it
        differs from the listening address
    :param budget: holds the bytes of messages that are being handled; one for
        which it has no room is dropped
    """
    listener = pynng.Pull0(recv_max_size=FRAME_LIMIT_BYTES)
    bound = listener.listen(f'tcp://{address}')
    reachable_address = advertised or str(bound.local_address)
    peers = Peers(
        reachable_address,
        incarnation,
        listener,
        budget or ByteBudget(UNLIMITED_BYTES),
    )
    with (
        contextlib.closing(peers),
        _receive_from_listener(listener.recv_fd, peers),
    ):
        yield peers


@contextlib.contextmanager
def _receive_from_listener(descriptor: int, peers: Peers) -> Iterator[None]:
    loop = asyncio.get_running_loop()
    loop.add_reader(descriptor, peers.receive)
    cleaner = loop.create_task(_close_idle_regularly(peers))
    try:
        yield
    finally:
        cleaner.cancel()
        loop.remove_reader(descriptor)


async def _close_idle_regularly(peers: Peers) -> None:
    while True:
        await asyncio.sleep(IDLE_CONNECTION_S / 2)
        peers.close_idle()


def _hold_message(budget: ByteBudget, envelope: Envelope) -> HeldBuffer | None:
    """Hold the bytes of a message, unless there is no room for them."""
    held = budget.open(Purpose.peer, envelope.sender)
    try:
        held.grow(len(envelope.body))
    except BudgetExceededError:
        return None
    return held


def _incarnation_mismatch(incarnation: str) -> MastichatchError:
    return MastichatchError(
        ErrorKind.peer_unreachable,
        f'incarnation {incarnation} is not here',
    )


def _unreachable(address: str) -> MastichatchError:
    return MastichatchError(
        ErrorKind.peer_unreachable,
        f'no answer from {address}',
    )


def _decode_answer(
    answer: Envelope,
    answer_type: type[_Message],
    address: str,
) -> _Message:
    try:
        if answer.kind is MessageKind.failure:
            failure = codec.decode(answer.body, Failure)
            raise MastichatchError(failure.kind, failure.message)
        return codec.decode(answer.body, answer_type)
    except codec.DecodeError:
        raise _unreachable(address) from None
