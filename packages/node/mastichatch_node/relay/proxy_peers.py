"""The nodes to which this node may pass requests on, and their load."""

import contextlib
import math
import random
from collections import Counter
from collections.abc import Collection, Iterator
from typing import Final

from mastichatch_core.generated.records import NodeRecord
from mastichatch_core.relay.proxy_choice import PeerGroups, choose_peer
from mastichatch_core.relay.runs import RunTable
from mastichatch_node.clock import loop_time
from mastichatch_node.relay.isolation_tracking import IsolationTracker
from mastichatch_node.relay.store_following import NodeRegistry

# Time for which the list of nodes is kept, so that no request pays for it.
GROUPS_LIFETIME_S: Final = 0.2
# Time for which a node gets no requests after it has accepted none, was not
# reached, or has broken off an answer.
AVOIDED_S: Final = 0.5


class ProxyPeers:
    """Chooses nodes by room, and remembers which of them accept nothing."""

    def __init__(
        self,
        registry: NodeRegistry,
        isolation: IsolationTracker,
        table: RunTable,
    ) -> None:
        """Start without requests.

        :param registry: registrations of the other nodes
        :param isolation: tells which nodes reach endpoints
        :param table: runs of all nodes
        """
        self._registry = registry
        self._isolation = isolation
        self._table = table
        self._in_progress: Counter[str] = Counter()
        self._avoided_until: dict[str, float] = {}
        self._groups = PeerGroups()
        self._groups_expire_at = -math.inf
        isolation.subscribe(self._forget_groups)

    @property
    def has_any(self) -> bool:
        """Whether any node may accept requests."""
        groups = self._current_groups()
        return bool(groups.near or groups.far)

    def choose(self, excluded: Collection[str]) -> NodeRecord | None:
        """Return the node that gets a request, if there is one.

        :param excluded: names of nodes that do not get it
        """
        avoided = self._avoided()
        name = choose_peer(
            self._current_groups(),
            avoided.union(excluded),
            self._load,
            random.randrange,
        )
        if name is None and avoided:
            # All that are left have lately accepted nothing.
            name = choose_peer(
                self._current_groups(), excluded, self._load, random.randrange
            )
        return None if name is None else self._registry.record(name)

    def avoid(self, name: str) -> None:
        """Send no requests to a node for a while.

        :param name: name of the node
        """
        self._avoided_until[name] = loop_time() + AVOIDED_S

    @contextlib.contextmanager
    def counted(self, name: str) -> Iterator[None]:
        """Count a request as in progress at a node during the block.

        :param name: name of the node
        """
        self._in_progress[name] += 1
        try:
            yield
        finally:
            self._in_progress[name] -= 1
            if not self._in_progress[name]:
                del self._in_progress[name]

    def _load(self, name: str) -> float:
        return self._in_progress[name] + self._table.run_count(name)

    def _avoided(self) -> set[str]:
        now = loop_time()
        for name, until in tuple(self._avoided_until.items()):
            if now >= until:
                self._avoided_until.pop(name)
        return set(self._avoided_until)

    def _current_groups(self) -> PeerGroups:
        now = loop_time()
        if now >= self._groups_expire_at:
            self._groups = self._read_groups()
            self._groups_expire_at = now + GROUPS_LIFETIME_S
        return self._groups

    def _forget_groups(self) -> None:
        self._groups_expire_at = -math.inf

    def _read_groups(self) -> PeerGroups:
        near: list[str] = []
        far: list[str] = []
        for name in self._isolation.reachable_peers():
            record = self._registry.record(name)
            # Nodes of an earlier release accept no requests of others.
            if record is None or not record.proxy_address:
                continue
            is_near = self._registry.is_near(record)
            (near if is_near else far).append(name)
        return PeerGroups(near=tuple(near), far=tuple(far))
