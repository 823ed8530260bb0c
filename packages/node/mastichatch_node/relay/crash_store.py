"""Keeps evidence on crashes of engines in the platform's store.

Nodes exchange evidence among themselves. The store holds it for nodes that
start later, also after all nodes have been restarted.

If the store comes back without some of it, the nodes write that again, since
all of them know it, and the one that wrote it may have stopped. They have an
order for each key: the first node writes it, and each of the next ones if it is
still missing when its turn comes. So it is with a lost removal of a pin.
"""

import asyncio
import dataclasses
import random
from collections.abc import Callable, Iterator
from typing import Final

from absl import logging

from mastichatch_core import rendezvous
from mastichatch_core.generated.messages import CrashReport
from mastichatch_core.relay.store import (
    ConflictError,
    LeaseLapsedError,
    StoreUnavailableError,
    Transaction,
)
from mastichatch_core.relay.store_cache import REWRITE_GRACE_S, StoreCache
from mastichatch_core.relay.store_entries import Loss
from mastichatch_node import codec
from mastichatch_node.clock import loop_time
from mastichatch_node.relay.crash_tracking import CrashTracker
from mastichatch_node.relay.run_broadcast import RunBroadcaster
from mastichatch_node.relay.store_eras import StoreEras
from mastichatch_node.relay.store_following import Store

# The longest lease that the platform's store grants.
EVIDENCE_LEASE_MS: Final = 600_000
WRITE_INTERVAL_S: Final = 0.5
# Time that a node leaves to the one before it to write a lost entry.
TURN_S: Final = 0.5
REVIEW_INTERVAL_S: Final = 0.1
# Time after which a node looks which era it knows, if none begins.
ERA_POLL_S: Final = 5.0
CRASH_PREFIX: Final = 'mastichatch/crashes/'
PIN_PREFIX: Final = 'mastichatch/pins/'


def read_evidence(
    tracker: CrashTracker,
    belief: StoreCache,
    log_malformed: Callable[[str, str], None],
) -> None:
    """Record the evidence in the store, and the parts that are pinned there.

    :param tracker: records the evidence
    :param belief: local view of the store
    :param log_malformed: called with the key and the fault of an entry that
        cannot be decoded
    """
    stored = belief.entries_under(CRASH_PREFIX)
    tracker.record_reports(
        report
        for key, text in stored.items()
        if not tracker.evidence.knows(key.removeprefix(CRASH_PREFIX))
        for report in _decode_report(key, text, log_malformed)
    )
    names = (
        tuple(key.removeprefix(PIN_PREFIX).split('/', 1))
        for key in belief.entries_under(PIN_PREFIX)
    )
    tracker.replace_pins((name[0], name[1]) for name in names if len(name) == 2)


async def write_evidence(tracker: CrashTracker, store: Store) -> None:
    """Write the crashes that this node reports to the store, until cancelled.

    :param tracker: reports crashes
    :param store: the platform's store
    """
    while True:
        await asyncio.sleep(WRITE_INTERVAL_S)
        for report in tracker.take_unsaved():
            try:
                await _write_report(store, report)
            except (StoreUnavailableError, LeaseLapsedError) as error:
                logging.info(
                    'report of a crash not stored; trying again',
                    extra={'instance': report.instance, 'reason': str(error)},
                )
                tracker.put_back_unsaved(report)


def create_rank(sharing: RunBroadcaster, own: str) -> Callable[[str], int]:
    """Return a function that tells how many nodes write a key before this one.

    :param sharing: tells which nodes are alive
    :param own: name of this node
    """

    def rank(key: str) -> int:
        heard = sharing.table.heard(loop_time())
        return rendezvous.ranked({own, *heard}, key).index(own)

    return rank


async def write_lost_entries(
    store: Store,
    cache: StoreCache,
    eras: StoreEras,
    rank: Callable[[str], int],
) -> None:
    """Write what the store lost before it was restored, until cancelled.

    :param store: the platform's store
    :param cache: local view of the store
    :param eras: tells when the store was restored
    :param rank: returns the number of nodes that write a key before this one
    """
    known = eras.current
    while True:
        is_restored = await eras.wait_for_next(known, ERA_POLL_S)
        known = eras.current
        if is_restored:
            await _write_in_turn(store, cache, eras, rank)


def pin_key(service: str, part: str) -> str:
    """Return the key in the store by which a part is pinned.

    :param service: name of the service
    :param part: id of the part
    """
    return f'{PIN_PREFIX}{service}/{part}'


async def _write_report(store: Store, report: CrashReport) -> None:
    lease = await store.grant_lease(EVIDENCE_LEASE_MS)
    key = CRASH_PREFIX + report.instance
    await store.put(key, codec.encode_json(report), lease.number)


def _decode_report(
    key: str, content: bytes, log_malformed: Callable[[str, str], None]
) -> Iterator[CrashReport]:
    """Yield a stored report; a malformed one is left out."""
    try:
        yield codec.decode_json(content, CrashReport)
    except codec.DecodeError as error:
        log_malformed(key, str(error))


async def _write_in_turn(
    store: Store,
    cache: StoreCache,
    eras: StoreEras,
    rank: Callable[[str], int],
) -> None:
    """Write what the store has lost, until it is restored once more."""
    era = eras.current
    began_at = loop_time() + random.uniform(0, TURN_S / 2)  # noqa: S311
    ends_at = began_at + REWRITE_GRACE_S
    written: set[str] = set()
    while eras.current == era and loop_time() < ends_at:
        elapsed_s = loop_time() - began_at
        due = {
            key: lost
            for key, lost in _lost(cache).items()
            if key not in written and elapsed_s >= rank(key) * TURN_S
        }
        for key, lost in due.items():
            if await _write_again(store, lost):
                written.add(key)
        await asyncio.sleep(REVIEW_INTERVAL_S)


def _lost(cache: StoreCache) -> dict[str, Transaction]:
    """Return the writes that the store has lost, by key."""
    written = {
        **cache.entries_under(PIN_PREFIX, lost=Loss.writing),
        **cache.entries_under(CRASH_PREFIX, lost=Loss.writing),
    }
    lost = {
        key: Transaction(expected={key: 0}, puts={key: content})
        for key, content in written.items()
    }
    for key in cache.entries_under(PIN_PREFIX, lost=Loss.deletion):
        entry = cache.entry(key)
        if entry is not None:
            lost[key] = Transaction(
                expected={key: entry.revision}, puts={}, removals=(key,)
            )
    return lost


async def _write_again(store: Store, lost: Transaction) -> bool:
    """Repeat a write, and return whether it needs no other try."""
    try:
        if any(key.startswith(CRASH_PREFIX) for key in lost.puts):
            lease = await store.grant_lease(EVIDENCE_LEASE_MS)
            lost = dataclasses.replace(lost, lease=lease.number)
        await store.commit(lost)
    except ConflictError:
        return True
    except StoreUnavailableError as error:
        logging.info(
            'a lost entry was not written; trying again',
            extra={'key': next(iter(lost.expected)), 'reason': str(error)},
        )
        return False
    return True
