"""Keeps the active configuration of this node; its revision never falls."""

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

# Time for the watch to deliver a revision that a peer announced, before the
# node fetches that revision from the peer.
PEER_FETCH_DELAY_S: Final = 0.5
RETRY_MIN_S: Final = 0.1
RETRY_MAX_S: Final = 2.0
PEER_TIMEOUT_MS: Final = 1000
# Each watch call waits for a random fraction, within this range, of the
# configured wait.
WATCH_WAIT_FRACTIONS: Final = (0.4, 0.7)

_Subscriber = Callable[[Catalogue], None]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _LoadedChunk:
    """A chunk as it was received, and its decoded part of the manifest."""

    content: bytes
    part: chunks.ChunkContent


class Configuration:
    """The newest configuration of which this node has all chunks."""

    def __init__(self, platform: Platform, peers: Peers) -> None:
        """Start without a configuration; see ``open_configuration``.

        :param platform: where the configuration is stored
        :param peers: other nodes, which also serve chunks
        """
        self._platform = platform
        self._peers = peers
        self._root: ConfigurationRoot | None = None
        self._current: Catalogue | None = None
        self._loaded_chunks: Mapping[str, _LoadedChunk] = {}
        self._subscribers: list[_Subscriber] = []
        self._lock = asyncio.Lock()
        # Highest revision that a peer announced, and that peer's address.
        self._announced: tuple[int, str] = (0, '')
        self._peer_fetch_task: asyncio.Task[None] | None = None

    @property
    def current(self) -> Catalogue | None:
        """The active catalogue, ``None`` before the first configuration."""
        return self._current

    @property
    def revision(self) -> int:
        """The active revision, zero before the first configuration."""
        return 0 if self._root is None else self._root.revision

    def subscribe(self, callback: _Subscriber) -> None:
        """Register a callback for each newly active catalogue.

        :param callback: called with the catalogue
        """
        self._subscribers.append(callback)

    def record_peer_revision(self, revision: int, peer_address: str) -> None:
        """Record the active revision of a peer, and fetch it if it is newer.

        :param revision: revision that the peer announced
        :param peer_address: address of the peer
        """
        if revision <= max(self.revision, self._announced[0]):
            return
        self._announced = (revision, peer_address)
        if self._peer_fetch_task is None or self._peer_fetch_task.done():
            self._peer_fetch_task = asyncio.create_task(
                self._fetch_from_peers()
            )

    async def activate_root(
        self,
        root: ConfigurationRoot,
        peer_address: str = '',
    ) -> bool:
        """Activate a root after all its chunks have been loaded.

        :param root: root from the platform or a peer
        :param peer_address: peer that has the chunks, if one is known
        :returns: whether this revision or a higher one is active
        """
        async with self._lock:
            if not is_newer(self.revision, root):
                return True
            loaded = await self._load_chunks(root, peer_address)
            if loaded is None:
                return False
            try:
                manifest = chunks.assemble(
                    each.part for each in loaded.values()
                )
            except chunks.ChunkError as error:
                logging.error(
                    'cannot assemble configuration revision %d: %s',
                    root.revision,
                    error,
                )
                return False
            self._activate(root, loaded, create_catalogue(root, manifest))
            return True

    async def answer_query(
        self,
        query: ChunkQuery,
        _envelope: Envelope,
    ) -> Reply:
        """Answer a peer's query for the root or for a chunk.

        :param query: names the digest of the chunk; empty for the root
        """
        loaded = self._loaded_chunks.get(query.digest)
        body = b'' if loaded is None else loaded.content
        if not query.digest and self._root is not None:
            body = codec.encode(self._root)
        return Reply(
            kind=MessageKind.chunk_answer,
            message=ChunkAnswer(found=bool(body), body=body),
        )

    async def close(self) -> None:
        """Cancel a fetch from peers that is in progress."""
        if self._peer_fetch_task is not None:
            self._peer_fetch_task.cancel()

    def _activate(
        self,
        root: ConfigurationRoot,
        loaded: Mapping[str, _LoadedChunk],
        catalogue: Catalogue,
    ) -> None:
        self._root = root
        self._loaded_chunks = loaded
        self._current = catalogue
        logging.info(
            'configuration activated',
            extra={'event': 'configuration', 'revision': root.revision},
        )
        for subscriber in self._subscribers:
            try:
                subscriber(catalogue)
            except Exception:
                # A failed subscriber must not end the watch.
                logging.exception('configuration subscriber failed')

    async def _load_chunks(
        self,
        root: ConfigurationRoot,
        peer_address: str,
    ) -> Mapping[str, _LoadedChunk] | None:
        loaded = {}
        for reference in root.chunks:
            chunk = self._loaded_chunks.get(reference.digest)
            if chunk is None:
                chunk = await self._load_chunk(reference, peer_address)
            if chunk is None:
                return None
            loaded[reference.digest] = chunk
        return loaded

    async def _load_chunk(
        self,
        reference: ChunkReference,
        peer_address: str,
    ) -> _LoadedChunk | None:
        """Return a chunk from the platform, or else from the peer."""
        with _log_failure(f'chunk {reference.name} from the platform'):
            stored = await self._platform.read(chunk_key(reference.digest))
            if stored is not None:
                return _LoadedChunk(
                    content=stored.value,
                    part=chunks.unpack(reference, stored.value),
                )
        if not peer_address:
            return None
        with _log_failure(f'chunk {reference.name} from a peer'):
            content = await self._query_peer(peer_address, reference.digest)
            return _LoadedChunk(
                content=content,
                part=chunks.unpack(reference, content),
            )
        return None

    async def _query_peer(self, address: str, digest: str) -> bytes:
        answer = await self._peers.ask(
            address,
            MessageKind.chunk_query,
            ChunkQuery(digest=digest),
            ChunkAnswer,
            timeout_ms=PEER_TIMEOUT_MS,
        )
        return answer.body

    async def _fetch_from_peers(self) -> None:
        await asyncio.sleep(PEER_FETCH_DELAY_S)
        while self._announced[0] > self.revision:
            _revision, address = self._announced
            with _log_failure(f'configuration from {address}'):
                content = await self._query_peer(address, '')
                root = codec.decode(content, ConfigurationRoot)
                if await self.activate_root(root, address):
                    continue
            # The next heartbeat that announces a newer revision starts a new
            # fetch.
            self._announced = (self.revision, '')


def create_catalogue(
    root: ConfigurationRoot,
    manifest: Manifest,
) -> Catalogue:
    """Return the catalogue of a root.

    :param root: root that names the revision and the drains
    :param manifest: manifest assembled from the chunks of the root
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
    :param platform: where the configuration is stored
    :param peers: other nodes, used while the platform is unavailable
    """
    configuration = Configuration(platform, peers)
    peers.on(
        MessageKind.chunk_query,
        ChunkQuery,
        configuration.answer_query,
    )
    watch_task = asyncio.create_task(
        _watch_root(configuration, platform, settings.watch_wait_ms),
    )
    try:
        yield configuration
    finally:
        watch_task.cancel()
        await configuration.close()


async def _watch_root(
    configuration: Configuration,
    platform: Platform,
    wait_ms: int,
) -> None:
    """Read the root at once and on each change that the watch reports."""
    key_revision = -1
    pause_s = RETRY_MIN_S
    while True:
        try:
            key_revision = await _watch_root_once(
                configuration, platform, wait_ms, key_revision
            )
        except (MastichatchError, codec.DecodeError) as error:
            logging.warning('configuration watch failed, retrying: %s', error)
            await asyncio.sleep(random.uniform(0, pause_s))  # noqa: S311
            pause_s = min(2 * pause_s, RETRY_MAX_S)
        else:
            pause_s = RETRY_MIN_S


async def _watch_root_once(
    configuration: Configuration,
    platform: Platform,
    wait_ms: int,
    key_revision: int,
) -> int:
    """Read and activate the root, after a change if it was read before.

    :returns: revision of the root key that this node has activated; zero if
        the key does not exist
    """
    if key_revision >= 0:
        # The waits are random, so that when the watches of many nodes stall
        # at the same time, one node soon times out, reads the root and
        # announces its revision to the others.
        fraction = random.uniform(*WATCH_WAIT_FRACTIONS)  # noqa: S311
        answer = await platform.watch(
            ROOT_KEY, key_revision, int(fraction * wait_ms)
        )
        if not answer.changes:
            return key_revision
    stored = await platform.read(ROOT_KEY)
    if stored is None:
        await asyncio.sleep(RETRY_MIN_S)
        return max(key_revision, 0)
    root = codec.decode_json(stored.value, ConfigurationRoot)
    is_active = await configuration.activate_root(root)
    if is_active and stored.revision > key_revision:
        return stored.revision
    # Either a lagging replica served the read, or a chunk is missing.
    await asyncio.sleep(RETRY_MIN_S)
    return key_revision


@contextlib.contextmanager
def _log_failure(subject: str) -> Iterator[None]:
    try:
        yield
    except (MastichatchError, chunks.ChunkError, codec.DecodeError) as error:
        logging.warning('cannot load %s: %s', subject, error)
