"""Discovery through the platform: node registrations and the host list."""

import asyncio
import contextlib
import itertools
from collections.abc import AsyncIterator
from typing import Final

from absl import logging

from mastichatch_core import membership as rules
from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.records import NodeRecord
from mastichatch_core.generated.settings import Settings
from mastichatch_node import codec
from mastichatch_node.configuration import Configuration
from mastichatch_node.leases import Lease, keep_under_lease
from mastichatch_node.members import Membership, ranked_relay_candidates
from mastichatch_node.platform import Listing, Platform

NODE_PREFIX: Final = 'nodes/'
# One step is one listing interval.
LISTING_INTERVAL_S: Final = 1.0
# A node lists its own data centre once in this many steps even if all expected
# nodes are reachable.
IDLE_STEPS: Final = 30
# A listing may come from a lagging replica, so the first one is repeated soon.
EARLY_STEPS: Final = (2, 5)
# A data centre that sends no digests is listed once in this many steps.
REMOTE_STEPS: Final = 10


@contextlib.asynccontextmanager
async def open_discovery(
    settings: Settings,
    platform: Platform,
    membership: Membership,
    configuration: Configuration,
) -> AsyncIterator[None]:
    """Register this node and discover others until the context ends.

    :param settings: settings of the node
    :param platform: platform at which nodes are registered
    :param membership: receives the nodes and hosts that are found
    :param configuration: names the data centres to discover
    """

    registered = asyncio.Event()

    async def register(lease: str) -> None:
        own = membership.own
        record = NodeRecord(
            name=own.name,
            incarnation=own.incarnation,
            data_centre=own.data_centre,
            peer_address=own.peer_address,
            http_address=own.http_address,
        )
        key = f'{_prefix(own.data_centre)}{own.name}'
        await platform.write(key, codec.encode_json(record), lease=lease)
        registered.set()

    def record_lease(lease: Lease) -> None:
        now = asyncio.get_running_loop().time()
        membership.table.lease_until = lease.ends_at
        rules.record_platform_contact(membership.table, now)

    tasks = (
        asyncio.create_task(
            _list_nodes_regularly(
                platform,
                membership,
                configuration,
                registered,
            ),
        ),
        asyncio.create_task(_list_hosts_regularly(platform, membership)),
    )
    try:
        async with keep_under_lease(
            platform,
            settings.node_lease_ms,
            register,
            record_lease,
        ):
            yield
    finally:
        for task in tasks:
            task.cancel()


def _prefix(data_centre: str) -> str:
    return f'{NODE_PREFIX}{data_centre}/'


async def _list_nodes_regularly(
    platform: Platform,
    membership: Membership,
    configuration: Configuration,
    registered: asyncio.Event,
) -> None:
    """List all nodes once, then only data centres with incomplete state.

    The first listing follows this node's own registration, so that of any two
    nodes the one that registers later finds the other.
    """
    await registered.wait()
    while not await _list_nodes(platform, membership, ''):
        await asyncio.sleep(LISTING_INTERVAL_S)
    for step in itertools.count(1):
        await asyncio.sleep(LISTING_INTERVAL_S)
        for data_centre in _data_centres_to_list(
            membership, configuration, step
        ):
            await _list_nodes(platform, membership, data_centre)


def _data_centres_to_list(
    membership: Membership,
    configuration: Configuration,
    step: int,
) -> tuple[str, ...]:
    now = asyncio.get_running_loop().time()
    own = membership.own.data_centre
    due_data_centres = set(membership.remotes.incomplete_data_centres(now))
    if step % REMOTE_STEPS == 0:
        due_data_centres.update(membership.remotes.stale_data_centres(now))
        if configuration.current is not None:
            due_data_centres.update(configuration.current.data_centres)
        due_data_centres.difference_update(_reachable_data_centres(membership))
    is_due = step in EARLY_STEPS or step % IDLE_STEPS == 0
    if is_due or not membership.is_complete:
        due_data_centres.add(own)
    return tuple(sorted(due_data_centres))


def _reachable_data_centres(membership: Membership) -> set[str]:
    heard = {digest.data_centre for digest in membership.digests()}
    return {membership.own.data_centre, *heard}


async def _list_nodes(
    platform: Platform,
    membership: Membership,
    data_centre: str,
) -> bool:
    """List the nodes of one data centre, or of all if the name is empty.

    :returns: whether the platform answered
    """
    loop = asyncio.get_running_loop()
    queried_at = loop.time()
    prefix = _prefix(data_centre) if data_centre else NODE_PREFIX
    try:
        listing = await platform.list_entries(prefix)
    except MastichatchError as error:
        logging.warning('listing nodes failed: %s', error)
        return False
    records_by_data_centre = _by_data_centre(listing)
    if data_centre:
        records_by_data_centre.setdefault(data_centre, ())
    own = membership.own.data_centre
    if data_centre in {'', own}:
        rules.record_registrations(
            membership.table,
            records_by_data_centre.pop(own, ()),
            queried_at,
            loop.time(),
        )
    for data_centre_name, records in records_by_data_centre.items():
        membership.remotes.replace_members(data_centre_name, records)
    membership.notify()
    return True


def _by_data_centre(listing: Listing) -> dict[str, tuple[NodeRecord, ...]]:
    records_by_data_centre: dict[str, tuple[NodeRecord, ...]] = {}
    for entry in listing.entries:
        with contextlib.suppress(codec.DecodeError):
            record = codec.decode_json(entry.value, NodeRecord)
            known = records_by_data_centre.get(record.data_centre, ())
            records_by_data_centre[record.data_centre] = (*known, record)
    return records_by_data_centre


async def _list_hosts_regularly(
    platform: Platform,
    membership: Membership,
) -> None:
    """Read the host list regularly while this node has to.

    One node reads it for all nodes of the data centre. Any node reads it while
    an expected node is unreachable or a new node's host is not yet listed.
    """
    while True:
        if _should_list_hosts(membership):
            await _list_hosts(platform, membership)
        await asyncio.sleep(LISTING_INTERVAL_S)


def _should_list_hosts(membership: Membership) -> bool:
    if rules.needs_host_list(membership.table) or not membership.is_complete:
        return True
    # Higher-ranked nodes may have no connection to the platform. Only the
    # first node that has one keeps reading the list.
    ranked = ranked_relay_candidates(membership)
    higher_ranked = itertools.takewhile(
        lambda name: name != membership.own.name,
        ranked,
    )
    return not membership.leaving_host_state.was_reported_by(higher_ranked)


async def _list_hosts(platform: Platform, membership: Membership) -> None:
    try:
        entries = await platform.hosts()
    except MastichatchError as error:
        logging.warning('reading the host list failed: %s', error)
        return
    now = asyncio.get_running_loop().time()
    rules.record_platform_contact(membership.table, now)
    rules.record_host_list(membership.table, (entry.host for entry in entries))
    membership.leaving_host_state.record_own_read(
        frozenset(entry.host for entry in entries if entry.state == 'leaving'),
    )
    membership.notify()
