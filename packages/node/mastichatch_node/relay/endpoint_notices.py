"""Reads what endpoints say of themselves in their answers."""

import dataclasses

from mastichatch_core.relay.plain_choice import EndpointStatsTable
from mastichatch_core.relay.store_cache import StoreCache
from mastichatch_node.clock import loop_time
from mastichatch_node.peers import Peers
from mastichatch_node.relay.answer_matching import create_matching
from mastichatch_node.relay.brittle_tracking import BrittleTracker
from mastichatch_node.relay.contact_tracking import ContactTracker
from mastichatch_node.relay.dialect import Dialect
from mastichatch_node.relay.http_client import ConnectionPool
from mastichatch_node.relay.isolation_tracking import (
    IsolationSources,
    IsolationTracker,
)
from mastichatch_node.relay.limit_tracking import LimitTracker
from mastichatch_node.relay.run_broadcast import RunBroadcaster
from mastichatch_node.relay.server_pausing import PauseKeeper
from mastichatch_node.relay.slot_granting import SlotGranter
from mastichatch_node.relay.slot_keeping import SlotKeeper
from mastichatch_node.relay.store_following import NodeRegistry
from mastichatch_node.relay.telemetry import Telemetry
from mastichatch_node.relay.turn_keeping import TurnKeeper


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NoticeSources:
    """What notices of endpoints are read with.

    :param cache: cached entries of the store
    :param registry: registrations of the other nodes
    :param broadcaster: tells other nodes of limits
    :param peers: connections to other nodes
    :param telemetry: log and metrics of the node
    """

    cache: StoreCache
    registry: NodeRegistry
    broadcaster: RunBroadcaster
    peers: Peers
    telemetry: Telemetry


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EndpointNotices:
    """What endpoints have said of themselves.

    :param records: statistics of endpoints, with the pauses they asked for
    :param turns: turns at endpoints that name limits
    :param slots: slots of brittle endpoints
    :param dialect: holds control calls back from both
    :param isolation: whether endpoints are reached at all
    """

    records: EndpointStatsTable
    turns: TurnKeeper
    slots: SlotKeeper
    dialect: Dialect
    isolation: IsolationTracker


def read_notices(
    sources: NoticeSources, pool: ConnectionPool, dialect: Dialect
) -> EndpointNotices:
    """Read the notices in all answers of endpoints.

    :param sources: what they are read with
    :param pool: connections to endpoints
    :param dialect: decodes the answers, and sends control calls
    """
    pool.match_answers(create_matching(dialect, sources.telemetry))
    pauses = PauseKeeper(sources.cache, sources.telemetry)
    limits = LimitTracker(sources.cache, sources.broadcaster, sources.telemetry)
    broadcaster = sources.broadcaster
    contact = ContactTracker(pool, sources.telemetry)
    isolation = IsolationTracker(
        IsolationSources(
            contact=contact,
            heard=lambda: broadcaster.table.heard(loop_time()),
            announce=broadcaster.announce_outcomes,
            answer=lambda name: broadcaster.greet((name,)),
            telemetry=sources.telemetry,
        )
    )
    for discard in (
        pauses.records.forget_failures,
        broadcaster.outcomes.discard,
        pool.signs.forget_refusals,
    ):
        contact.discard_with(discard)
    brittle = BrittleTracker(
        sources.cache, sources.broadcaster, sources.telemetry
    )
    brittle.attach(pool, dialect)
    granter = SlotGranter(
        sources.cache,
        sources.registry,
        sources.peers,
        brittle,
        sources.broadcaster,
    )
    slots = SlotKeeper(sources.registry, sources.peers, brittle, granter)
    return EndpointNotices(
        records=pauses.records,
        turns=TurnKeeper(
            sources.cache, sources.registry, sources.peers, limits
        ),
        slots=slots,
        dialect=limits.attach(pool, pauses.attach(pool, dialect)),
        isolation=isolation,
    )
