"""Track the permits that count against a service's endpoints."""

import dataclasses
import heapq
import itertools
import math
from collections import Counter
from collections.abc import Iterator, Mapping

from mastichatch_core.generated.messages import RequestClass
from mastichatch_core.memory import MemoryDemand
from mastichatch_core.renewal import fingerprint

PermitKey = tuple[str, int]


@dataclasses.dataclass(slots=True, kw_only=True)
class Permit:
    """A permit that counts against an endpoint.

    :param key: request id and attempt number
    :param node: node that holds the permit
    :param endpoint: endpoint that the permit allows a request to
    :param workspace: workspace of the request
    :param request_class: class of the request
    :param prompt_tokens: length of the prompt
    :param max_tokens: largest number of output tokens; zero means unknown
    :param output_tokens: tokens generated so far
    :param used: whether the request is known to be at the endpoint
    :param registration: sequence number of the registration from which the
        lease runs
    :param reported_tokens: output tokens that the node last reported for the
        permit in use; ``None`` if the node has not reported it as in use
    :param inherited: whether an earlier scheduler granted the permit
    :param cost: work charged to the workspace, in tokens
    :param memory_demand: memory that the request is expected to need;
        ``None`` if unknown
    :param granted_at: when it was granted or first registered, in seconds
    :param renewed_at: when its node last reported it, in seconds
    :param expires_at: when it expires unless it is renewed, in seconds
    :param check_at: when the ledger next checks its expiry, in seconds
    """

    key: PermitKey
    node: str
    endpoint: str
    workspace: str
    request_class: RequestClass = RequestClass.standard
    prompt_tokens: int = 0
    max_tokens: int = 0
    output_tokens: int = 0
    used: bool = False
    registration: int = 0
    reported_tokens: int | None = None
    inherited: bool = False
    cost: float = 0
    memory_demand: MemoryDemand | None = None
    granted_at: float
    renewed_at: float = 0
    expires_at: float
    check_at: float = math.inf

    @property
    def fingerprint(self) -> int:
        """Number that identifies the permit in summaries."""
        return fingerprint(*self.key, self.endpoint)


class PermitLedger:
    """Permits by key, with counts by endpoint, node and workspace."""

    def __init__(self) -> None:
        """Start empty."""
        self._permits: dict[PermitKey, Permit] = {}
        self._by_endpoint: dict[str, dict[PermitKey, Permit]] = {}
        self._by_node: dict[str, dict[int, Permit]] = {}
        self._by_workspace: Counter[str] = Counter()
        self._expiry_heap: list[tuple[float, int, Permit]] = []
        self._heap_order = itertools.count()

    def __len__(self) -> int:
        """Return the number of permits."""
        return len(self._permits)

    def __iter__(self) -> Iterator[Permit]:
        """Iterate over a copy, oldest permit first."""
        return iter(tuple(self._permits.values()))

    def get(self, key: PermitKey) -> Permit | None:
        """Return the permit with a key, or ``None`` if there is none.

        :param key: request id and attempt number
        """
        return self._permits.get(key)

    def at_endpoint(self, endpoint: str) -> tuple[Permit, ...]:
        """Return the permits for an endpoint.

        :param endpoint: name of the endpoint
        """
        return tuple(self._by_endpoint.get(endpoint, {}).values())

    def of_node(self, node: str) -> Mapping[int, Permit]:
        """Return the permits of a node, by fingerprint.

        :param node: name of the node
        """
        return self._by_node.get(node, {})

    def move(self, permit: Permit, node: str) -> None:
        """Transfer a permit to another node.

        :param permit: a permit in the ledger
        :param node: name of the new holder
        """
        self._remove_from_node(permit)
        permit.node = node
        permit.reported_tokens = None
        self._by_node.setdefault(node, {})[permit.fingerprint] = permit

    def set_expiry(self, permit: Permit, expires_at: float) -> None:
        """Set when a permit expires.

        The expiry heap changes only if the new time precedes the scheduled
        check. A later expiry is applied when that check is due, which makes
        renewals cheap.

        :param permit: a permit in the ledger
        :param expires_at: time in seconds
        """
        permit.expires_at = expires_at
        if expires_at < permit.check_at:
            self._schedule_check(permit)

    def expired_permits(self, now: float) -> Iterator[Permit]:
        """Yield the permits that have expired.

        The caller must renew or remove each permit before it takes the next
        one.

        :param now: time in seconds
        """
        while self._expiry_heap and self._expiry_heap[0][0] <= now:
            check_at, _, permit = heapq.heappop(self._expiry_heap)
            is_present = self._permits.get(permit.key) is permit
            if not is_present or check_at != permit.check_at:
                continue
            permit.check_at = math.inf
            if permit.expires_at > now:
                self._schedule_check(permit)
            else:
                yield permit

    def count_at_endpoint(self, endpoint: str) -> int:
        """Return how many permits count against an endpoint.

        :param endpoint: name of the endpoint
        """
        return len(self._by_endpoint.get(endpoint, ()))

    def count_of_workspace(self, workspace: str) -> int:
        """Return how many permits a workspace holds.

        :param workspace: name of the workspace
        """
        return self._by_workspace[workspace]

    def add(self, permit: Permit) -> None:
        """Add a permit and replace any permit with the same key.

        :param permit: the permit
        """
        self.pop(permit.key)
        self._permits[permit.key] = permit
        self._by_endpoint.setdefault(permit.endpoint, {})[permit.key] = permit
        of_node = self._by_node.setdefault(permit.node, {})
        of_node[permit.fingerprint] = permit
        self._schedule_check(permit)
        self._by_workspace[permit.workspace] += 1

    def pop(self, key: PermitKey) -> Permit | None:
        """Remove a permit.

        :param key: request id and attempt number
        :returns: the permit, or ``None`` if there was none
        """
        permit = self._permits.pop(key, None)
        if permit is None:
            return None
        self._by_endpoint[permit.endpoint].pop(key)
        self._by_workspace[permit.workspace] -= 1
        self._remove_from_node(permit)
        return permit

    def _schedule_check(self, permit: Permit) -> None:
        permit.check_at = permit.expires_at
        order = next(self._heap_order)
        heapq.heappush(self._expiry_heap, (permit.check_at, order, permit))

    def _remove_from_node(self, permit: Permit) -> None:
        of_node = self._by_node[permit.node]
        of_node.pop(permit.fingerprint)
        if not of_node:
            self._by_node.pop(permit.node)
