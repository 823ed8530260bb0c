"""The configuration in force on this node; its revision never falls."""

import asyncio
import contextlib
import dataclasses
import random
from collections.abc import AsyncIterator, Callable, Iterator, Mapping
from typing import Final

from absl import logging

from mastichatch_core import chunks
from mastichatch_core.catalogue import Catalogue
from mastichatch_core.configuration import ROOT_KEY, chunk_key, is_newer
from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.manifest import Manifest
from mastichatch_core.generated.messages import (
    ChunkAnswer,
    ChunkQuery,
    Envelope,
    MessageKind,
)
from mastichatch_core.generated.records import (
    ChunkReference,
    ConfigurationRoot,
)
from mastichatch_core.generated.settings import Settings
from mastichatch_node import codec
from mastichatch_node.peers import Peers, Reply
from mastichatch_node.platform import Platform

# A node that hears of a revision gives its own watch this long first.
LEARN_GRACE_S: Final = 0.5
RETRY_MIN_S: Final = 0.1
RETRY_MAX_S: Final = 2.0
PEER_TIMEOUT_MS: Final = 1000
WAIT_SHARES: Final = (0.4, 0.7)

_Subscriber = Callable[[Catalogue], None]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Held:
    content: bytes
    part: chunks.ChunkContent


class Configuration:
    """The newest configuration that this node has seen whole."""

    def __init__(self, platform: Platform, peers: Peers) -> None:
        """Start without one; ``open_configuration`` keeps it up to date."""
        self._platform = platform
        self._peers = peers
        self._root: ConfigurationRoot | None = None
        self._current: Catalogue | None = None
        self._held: Mapping[str, _Held] = {}
        self._subscribers: list[_Subscriber] = []
        self._lock = asyncio.Lock()
        self._heard: tuple[int, str] = (0, '')
        self._learning: asyncio.Task[None] | None = None

    @property
    def current(self) -> Catalogue | None:
        """The catalogue in force, or nothing yet."""
        return self._current

    @property
    def revision(self) -> int:
        """Revision in force; zero without one."""
        return 0 if self._root is None else self._root.revision

    def subscribe(self, callback: _Subscriber) -> None:
        """Call back with each catalogue that comes into force.

        :param callback: is given the catalogue
        """
        self._subscribers.append(callback)

    def learn(self, revision: int, peer_address: str) -> None:
        """Take note of the revision in force on another node.

        :param revision: the other node's revision
        :param peer_address: where that node can be asked for it
        """
        if revision <= max(self.revision, self._heard[0]):
            return
        self._heard = (revision, peer_address)
        if self._learning is None or self._learning.done():
            self._learning = asyncio.create_task(self._learn_from_peers())

    async def adopt(
        self,
        root: ConfigurationRoot,
        peer_address: str = '',
    ) -> bool:
        """Put a root into force, once all its chunks are here.

        :param root: root from the platform or a peer
        :param peer_address: peer that has the chunks, if one is known
        :returns: whether this revision or a higher one is in force
        """
        async with self._lock:
            if not is_newer(self.revision, root):
                return True
            held = await self._gather(root, peer_address)
            if held is None:
                return False
            try:
                manifest = chunks.assemble(each.part for each in held.values())
            except chunks.ChunkError as error:
                logging.error('revision %d: %s', root.revision, error)
                return False
            self._enforce(root, held, manifest_catalogue(root, manifest))
            return True

    async def answer_query(
        self,
        query: ChunkQuery,
        _envelope: Envelope,
    ) -> Reply:
        """Answer a peer that lacks the root or a chunk.

        :param query: digest of the chunk, or empty for the root
        """
        held = self._held.get(query.digest)
        body = b'' if held is None else held.content
        if not query.digest and self._root is not None:
            body = codec.encode(self._root)
        return Reply(
            kind=MessageKind.chunk_answer,
            message=ChunkAnswer(found=bool(body), body=body),
        )

    async def close(self) -> None:
        """End what is in progress."""
        if self._learning is not None:
            self._learning.cancel()

    def _enforce(
        self,
        root: ConfigurationRoot,
        held: Mapping[str, _Held],
        catalogue: Catalogue,
    ) -> None:
        self._root = root
        self._held = held
        self._current = catalogue
        logging.info(
            'configuration in force',
            extra={'event': 'configuration', 'revision': root.revision},
        )
        for subscriber in self._subscribers:
            try:
                subscriber(catalogue)
            except Exception:
                # It must not end the watch.
                logging.exception('a subscriber of the configuration failed')

    async def _gather(
        self,
        root: ConfigurationRoot,
        peer_address: str,
    ) -> Mapping[str, _Held] | None:
        held = {}
        for reference in root.chunks:
            chunk = self._held.get(reference.digest)
            if chunk is None:
                chunk = await self._fetch(reference, peer_address)
            if chunk is None:
                return None
            held[reference.digest] = chunk
        return held

    async def _fetch(
        self,
        reference: ChunkReference,
        peer_address: str,
    ) -> _Held | None:
        """Return a chunk from the platform or else from the peer."""
        with _logged_failure(f'chunk {reference.name} from the platform'):
            stored = await self._platform.read(chunk_key(reference.digest))
            if stored is not None:
                return _Held(
                    content=stored.value,
                    part=chunks.unpack(reference, stored.value),
                )
        if not peer_address:
            return None
        with _logged_failure(f'chunk {reference.name} from a peer'):
            content = await self._ask_peer(peer_address, reference.digest)
            return _Held(
                content=content,
                part=chunks.unpack(reference, content),
            )
        return None

    async def _ask_peer(self, address: str, digest: str) -> bytes:
        answer = await self._peers.ask(
            address,
            MessageKind.chunk_query,
            ChunkQuery(digest=digest),
            ChunkAnswer,
            timeout_ms=PEER_TIMEOUT_MS,
        )
        return answer.body

    async def _learn_from_peers(self) -> None:
        await asyncio.sleep(LEARN_GRACE_S)
        while self._heard[0] > self.revision:
            _revision, address = self._heard
            with _logged_failure(f'configuration from {address}'):
                content = await self._ask_peer(address, '')
                root = codec.decode(content, ConfigurationRoot)
                if await self.adopt(root, address):
                    continue
            # Any heartbeat that names a newer revision starts this again.
            self._heard = (self.revision, '')


def manifest_catalogue(
    root: ConfigurationRoot,
    manifest: Manifest,
) -> Catalogue:
    """Return the catalogue of a root.

    :param root: the root
    :param manifest: manifest that its chunks make up
    """
    return Catalogue(
        revision=root.revision,
        manifest=manifest,
        drains=root.drains,
    )


@contextlib.asynccontextmanager
async def open_configuration(
    settings: Settings,
    platform: Platform,
    peers: Peers,
) -> AsyncIterator[Configuration]:
    """Keep the configuration up to date from the platform and the peers.

    :param settings: settings of the node
    :param platform: where the configuration is kept
    :param peers: other nodes, which are asked when the platform is away
    """
    configuration = Configuration(platform, peers)
    peers.on(
        MessageKind.chunk_query,
        ChunkQuery,
        configuration.answer_query,
    )
    task = asyncio.create_task(
        _follow(configuration, platform, settings.watch_wait_ms),
    )
    try:
        yield configuration
    finally:
        task.cancel()
        await configuration.close()


async def _follow(
    configuration: Configuration,
    platform: Platform,
    wait_ms: int,
) -> None:
    """Read the root at once and after each change that the watch tells."""
    after = -1
    pause_s = RETRY_MIN_S
    while True:
        try:
            after = await _follow_once(configuration, platform, wait_ms, after)
        except (MastichatchError, codec.DecodeError) as error:
            logging.warning('configuration is not followed: %s', error)
            await asyncio.sleep(random.uniform(0, pause_s))  # noqa: S311
            pause_s = min(2 * pause_s, RETRY_MAX_S)
        else:
            pause_s = RETRY_MIN_S


async def _follow_once(
    configuration: Configuration,
    platform: Platform,
    wait_ms: int,
    after: int,
) -> int:
    """Return the key's revision up to which the configuration is here."""
    if after >= 0:
        # Uneven waits, so that of the nodes whose watches went silent at once
        # one soon finds out and tells the others.
        share = random.uniform(*WAIT_SHARES)  # noqa: S311
        answer = await platform.watch(ROOT_KEY, after, int(share * wait_ms))
        if not answer.changes:
            return after
    stored = await platform.read(ROOT_KEY)
    if stored is None:
        await asyncio.sleep(RETRY_MIN_S)
        return max(after, 0)
    root = codec.decode_json(stored.value, ConfigurationRoot)
    adopted = await configuration.adopt(root)
    if adopted and stored.revision > after:
        return stored.revision
    # The read came from a replica that lags, or a chunk is missing.
    await asyncio.sleep(RETRY_MIN_S)
    return after


@contextlib.contextmanager
def _logged_failure(what: str) -> Iterator[None]:
    try:
        yield
    except (MastichatchError, chunks.ChunkError, codec.DecodeError) as error:
        logging.warning('no %s: %s', what, error)
