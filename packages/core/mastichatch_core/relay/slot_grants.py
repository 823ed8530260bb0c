"""Decides which requests may use the slots of a brittle server.

A brittle server falls over if it has to reject more than a few requests in a
second, and queues none. One host grants its slots to all hosts, so that what
they send together finds a free slot.

Load pattern: callers send half as much again as the servers of a service can
do. Each host keeps within the slots by itself, and hundreds of hosts exceed
them together. What one server rejects, and the load of one that fell, goes to
the next, which rejects more in turn and falls too.

A slot that is not returned expires. Rejections show that a server has less room
than its slots: then fewer are granted, and one more from time to time. A server
that fell, or started while others of its service are brittle, gets one request,
and one more for each that it answers.
"""

import collections
import dataclasses
import math
from collections.abc import Collection, Iterable
from typing import Final

from mastichatch_core.generated.messages import SlotOutcome, SlotState
from mastichatch_core.relay.forwarder_choice import NodeLink
from mastichatch_core.relay.granter_choice import rank_granters
from mastichatch_core.relay.model import Endpoint

# Window in which a brittle server counts what it rejects.
WINDOW_S: Final = 1.0
# Time after which a server that rejected requests gets one more at a time, for
# one that bears a rejection a second; others are probed more or less often.
PROBE_S: Final = 2.0
MIN_PROBE_S: Final = 1.0
# The same for a server that bears fewer.
CAREFUL_PROBE_S: Final = 10.0
# Time for which a server that fell gets nothing, unless it has returned.
FALL_S: Final = 1.0
# Two connections that end without an answer within this time are a fall. One
# alone may have been idle for too long.
LOSS_WINDOW_S: Final = 0.5
LOSSES_OF_A_FALL: Final = 2
# A server whose entry names no slots is taken to have at most so many.
UNKNOWN_SLOTS: Final = 64
# Share of the slots that a granter grants while another one may be granting.
FALLBACK_SHARE: Final = 0.3
# A granter does not know what an earlier one has granted until hosts tell it.
GATHER_S: Final = 0.5
GATHER_SHARE: Final = 0.5
# Hosts tell with each request what else they have in progress.
REPORT_LIFETIME_S: Final = 1.0
# Requests that are queued are repeated. Those of a host that ended are not.
QUEUE_EXPIRY_S: Final = 1.0
# Assumed time for which a request uses a slot, before any was returned.
FIRST_HOLD_S: Final = 0.2
HOLD_WEIGHT: Final = 0.2
# Longest time for which a request may keep a slot.
MAX_HOLD_S: Final = 120.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SlotClaim:
    """A request for a slot.

    :param ticket: its id, the same when it is repeated
    :param holder: the host that asks
    :param rank: priority; zero is the highest
    :param wait_s: longest time until the slot, in seconds
    :param hold_s: time after which the slot is free if it is not returned
    :param others: requests of the host in progress at the server without a slot
        of this granter
    """

    ticket: str
    holder: str
    rank: int = 0
    wait_s: float = 0
    hold_s: float = MAX_HOLD_S
    others: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SlotDecision:
    """The state of a request for a slot.

    :param ticket: id of the request
    :param holder: the host that asked
    :param state: its state
    :param delay_s: time until a slot is likely to be free, in seconds
    """

    ticket: str
    holder: str
    state: SlotState
    delay_s: float = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerRoom:
    """What a server has room for, as the granter knows it.

    :param slots: highest number of requests in progress; zero if unknown
    :param rejections: how many it may reject in a second without a fall
    :param share: share of the slots that this host grants
    :param is_new: whether it may have started while others were brittle
    """

    slots: int
    rejections: float
    share: float = 1.0
    is_new: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class _Grant:
    claim: SlotClaim
    granted_at: float
    expires_at: float


@dataclasses.dataclass(slots=True, kw_only=True)
class _Queued:
    claim: SlotClaim
    since: float
    until: float
    expires_at: float

    @property
    def order(self) -> tuple[int, float, str]:
        return self.claim.rank, self.since, self.claim.ticket


class _ServerSlots:
    """The slots of one server that this host grants."""

    def __init__(self, room: ServerRoom, now: float) -> None:
        self.room = room
        self.created_at = now
        self.is_returning = room.is_new or not room.slots
        self.bound = 1 if self.is_returning else room.slots
        self.changed_at = now
        self.closed_until = -math.inf
        self.hold_s = FIRST_HOLD_S
        self.grants: dict[str, _Grant] = {}
        self.queue: dict[str, _Queued] = {}
        self.others: dict[str, tuple[int, float]] = {}
        self.rejected_at: collections.deque[float] = collections.deque()
        self.lost_at: collections.deque[float] = collections.deque()
        # Grants that their holders have not been told of.
        self.untold: dict[str, _Grant] = {}

    @property
    def slots(self) -> int:
        """Highest number of requests that the server may process at once."""
        return self.room.slots or UNKNOWN_SLOTS

    def is_gathering(self, now: float) -> bool:
        """Return whether hosts may not have told yet what is in progress."""
        return now - self.created_at < GATHER_S

    def in_use(self, now: float) -> int:
        """Return how many requests are in progress, as far as is known."""
        others = sum(
            count
            for count, told_at in self.others.values()
            if now - told_at < REPORT_LIFETIME_S
        )
        return len(self.grants) + others

    def capacity(self, now: float) -> int:
        """Return how many requests may be in progress."""
        self._grow(now)
        _drop_before(self.rejected_at, now - WINDOW_S)
        allowed = self.room.rejections
        if now < self.closed_until or 0 < allowed <= len(self.rejected_at):
            return 0
        share = self.room.share
        if self.is_gathering(now):
            share = min(share, GATHER_SHARE)
        shared = max(1, int(self.slots * share))
        return min(self.bound, shared)

    def expire(self, now: float) -> None:
        """Drop the slots and places in the queue that were not renewed."""
        for ticket, grant in tuple(self.grants.items()):
            if now >= grant.expires_at:
                self.grants.pop(ticket)
                self.untold.pop(ticket, None)
        for waiting, queued in tuple(self.queue.items()):
            if now >= queued.expires_at:
                self.queue.pop(waiting)

    def wait_s(self, ahead: int, now: float) -> float:
        """Return the time until a slot is free behind others in the queue."""
        capacity = self.capacity(now)
        closed_s = max(0, self.closed_until - now)
        if not capacity and self.rejected_at:
            closed_s = max(closed_s, self.rejected_at[0] + WINDOW_S - now)
        missing = ahead + 1 - max(0, capacity - self.in_use(now))
        usual = max(1, capacity, self.bound)
        return closed_s + max(0, missing) / usual * self.hold_s

    def reject(self, now: float, *, has_shown_room: bool) -> None:
        """Record that the server rejected a request for want of room.

        :param now: time in seconds
        :param has_shown_room: whether the server had less room than is granted;
            requests that nobody granted may have filled it instead
        """
        self.rejected_at.append(now)
        _drop_before(self.rejected_at, now - WINDOW_S)
        if not has_shown_room:
            return
        self.bound -= 1
        if len(self.rejected_at) >= self.room.rejections:
            # All slots are free once it gets requests again, and these come
            # at once.
            self.bound //= 2
        self.bound = max(1, self.bound)
        self.is_returning = False
        self.changed_at = now

    def lose(self, now: float) -> None:
        """Record a connection that ended without an answer."""
        self.lost_at.append(now)
        _drop_before(self.lost_at, now - LOSS_WINDOW_S)
        if len(self.lost_at) >= LOSSES_OF_A_FALL or self.is_returning:
            self.closed_until = now + FALL_S
            self.bound = 1
            self.is_returning = True
            self.changed_at = now
            self.others.clear()

    def answer(self, grant: _Grant, now: float) -> None:
        """Record that a request with a slot was answered."""
        self.hold_s += HOLD_WEIGHT * (now - grant.granted_at - self.hold_s)
        if self.is_returning and grant.granted_at >= self.changed_at:
            self.bound = min(self.bound + 1, self.slots)
            self.is_returning = self.bound < self.slots

    def _grow(self, now: float) -> None:
        self.bound = min(self.bound, self.slots)
        allowed = self.room.rejections
        probe_s = CAREFUL_PROBE_S
        if allowed >= 1:
            probe_s = max(MIN_PROBE_S, PROBE_S / allowed)
        if self.is_returning or now - self.changed_at < probe_s:
            return
        if self.bound < self.slots:
            self.bound += 1
            self.changed_at = now


class SlotTable:
    """The slots of brittle servers that this host grants."""

    def __init__(self) -> None:
        """Start without servers."""
        self._servers: dict[str, _ServerSlots] = {}

    def request(
        self, instance: str, room: ServerRoom, claim: SlotClaim, now: float
    ) -> SlotDecision:
        """Grant a slot, or queue or deny the request for it.

        A repeated request keeps its slot or its place in the queue.

        :param instance: instance id of the server
        :param room: what it has room for
        :param claim: the request
        :param now: time in seconds
        """
        server = self._update(instance, room, now)
        server.others[claim.holder] = (max(0, claim.others), now)
        if claim.ticket in server.grants:
            server.untold.pop(claim.ticket, None)
            return _decide(claim, SlotState.granted)
        queued = server.queue.get(claim.ticket)
        if queued is None:
            queued = _Queued(
                claim=claim,
                since=now,
                until=now + claim.wait_s,
                expires_at=now,
            )
            server.queue[claim.ticket] = queued
        queued.expires_at = now + QUEUE_EXPIRY_S
        self._grant_free(server, now)
        if server.untold.pop(claim.ticket, None) is not None:
            return _decide(claim, SlotState.granted)
        ahead = sum(one.order < queued.order for one in server.queue.values())
        delay_s = server.wait_s(ahead, now)
        if now + delay_s > queued.until:
            server.queue.pop(claim.ticket)
            return _decide(claim, SlotState.denied, delay_s)
        return _decide(claim, SlotState.queued, delay_s)

    def give_back(
        self,
        instance: str,
        ticket: str,
        outcome: SlotOutcome,
        now: float,
    ) -> None:
        """Take a slot back, or a request from the queue.

        :param instance: instance id of the server
        :param ticket: id of the request
        :param outcome: what became of it
        :param now: time in seconds
        """
        server = self._servers.get(instance)
        if server is None:
            return
        server.queue.pop(ticket, None)
        server.untold.pop(ticket, None)
        grant = server.grants.pop(ticket, None)
        if outcome is SlotOutcome.rejected:
            is_early = grant is not None and server.is_gathering(
                grant.granted_at
            )
            server.reject(now, has_shown_room=bool(ticket) and not is_early)
        elif outcome is SlotOutcome.lost:
            server.lose(now)
        if grant is not None and outcome is SlotOutcome.done:
            server.answer(grant, now)

    def grant_queued(self, instance: str, now: float) -> list[SlotDecision]:
        """Grant free slots to queued requests, and deny the hopeless ones.

        :param instance: instance id of the server
        :param now: time in seconds
        :returns: the requests whose state has changed
        """
        server = self._servers.get(instance)
        if server is None:
            return []
        server.expire(now)
        self._grant_free(server, now)
        decisions = [
            _decide(one.claim, SlotState.granted)
            for one in server.untold.values()
        ]
        server.untold.clear()
        if now < server.closed_until:
            for queued in tuple(server.queue.values()):
                delay_s = server.closed_until - now
                if now + delay_s > queued.until:
                    server.queue.pop(queued.claim.ticket)
                    decisions.append(
                        _decide(queued.claim, SlotState.denied, delay_s)
                    )
        return decisions

    def waiting(self) -> tuple[str, ...]:
        """Return the servers with queued requests."""
        return tuple(
            instance for instance, one in self._servers.items() if one.queue
        )

    def in_use(self, instance: str, now: float) -> int:
        """Return how many requests are known to be in progress at a server.

        :param instance: instance id of the server
        :param now: time in seconds
        """
        server = self._servers.get(instance)
        if server is None:
            return 0
        server.expire(now)
        return server.in_use(now)

    def keep_only(self, instances: Iterable[str]) -> None:
        """Forget the servers that no longer exist.

        :param instances: instance ids of the servers that exist
        """
        for instance in self._servers.keys() - set(instances):
            self._servers.pop(instance)

    def _update(
        self, instance: str, room: ServerRoom, now: float
    ) -> _ServerSlots:
        server = self._servers.get(instance)
        if server is None:
            server = _ServerSlots(room, now)
            self._servers[instance] = server
        server.room = room
        server.expire(now)
        return server

    def _grant_free(self, server: _ServerSlots, now: float) -> None:
        free = server.capacity(now) - server.in_use(now)
        if free <= 0 or not server.queue:
            return
        ordered = sorted(server.queue.values(), key=lambda one: one.order)
        for queued in ordered[:free]:
            claim = queued.claim
            server.queue.pop(claim.ticket)
            hold_s = min(max(0, claim.hold_s), MAX_HOLD_S)
            grant = _Grant(claim=claim, granted_at=now, expires_at=now + hold_s)
            server.grants[claim.ticket] = grant
            server.untold[claim.ticket] = grant


def choose_slot_granters(
    endpoint: Endpoint, nodes: Iterable[NodeLink]
) -> tuple[str, ...]:
    """Return the names of the hosts that grant the slots of a server.

    :param endpoint: the server
    :param nodes: all nodes, with this one
    :returns: the first- and second-ranked host, as far as there are any
    """
    able = (node for node in nodes if node.grants_slots)
    return rank_granters(endpoint, able)


def granted_slot_share(
    granters: tuple[str, ...],
    own: str,
    heard: Collection[str],
    others: int,
) -> float:
    """Return the share of a server's slots that a host grants.

    A host that hears less than half of the others may be cut off, so that
    another one grants the slots.

    :param granters: the hosts that grant its slots
    :param own: name of the host
    :param heard: names of the other hosts that it hears
    :param others: number of the other hosts
    """
    is_cut_off = len(heard) * 2 < others
    if is_cut_off or own not in granters:
        return FALLBACK_SHARE
    is_first = granters[0] == own or granters[0] not in heard
    return 1.0 if is_first else FALLBACK_SHARE


def _decide(
    claim: SlotClaim, state: SlotState, delay_s: float = 0
) -> SlotDecision:
    return SlotDecision(
        ticket=claim.ticket, holder=claim.holder, state=state, delay_s=delay_s
    )


def _drop_before(times: collections.deque[float], start: float) -> None:
    while times and times[0] <= start:
        times.popleft()
