"""Keeps evidence on crashes of engines in the platform's store.

Nodes exchange evidence among themselves. The store holds it for nodes that
start later, also after all nodes have been restarted.
"""

import asyncio
from collections.abc import Callable, Iterator
from typing import Final

from absl import logging

from mastichatch_core.generated.messages import CrashReport
from mastichatch_core.relay.store import (
    LeaseLapsedError,
    StoreUnavailableError,
)
from mastichatch_core.relay.store_cache import StoreCache
from mastichatch_node import codec
from mastichatch_node.relay.crash_tracking import CrashTracker
from mastichatch_node.relay.store_following import Store

# The longest lease that the platform's store grants.
EVIDENCE_LEASE_MS: Final = 600_000
WRITE_INTERVAL_S: Final = 0.5
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


def pin_key(service: str, part: str) -> str:
    """Return the key in the store by which a part is pinned.

    :param service: name of the service
    :param part: id of the part
    """
    return f'{PIN_PREFIX}{service}/{part}'


async def _write_report(store: Store, report: CrashReport) -> None:
    lease = await store.grant_lease(EVIDENCE_LEASE_MS)
    key = CRASH_PREFIX + report.instance
    await store.put(key, codec.encode_json(report), lease)


def _decode_report(
    key: str, content: bytes, log_malformed: Callable[[str, str], None]
) -> Iterator[CrashReport]:
    """Yield a stored report; a malformed one is left out."""
    try:
        yield codec.decode_json(content, CrashReport)
    except codec.DecodeError as error:
        log_malformed(key, str(error))
