"""Queue requests by class and workspace so that none of these starves."""

import dataclasses
from collections.abc import Callable, Iterator
from typing import Final

from mastichatch_core.generated.messages import PermitRequest, RequestClass
from mastichatch_core.ledger import PermitKey
from mastichatch_core.memory import MemoryDemand

CLASS_WEIGHTS: Final[dict[RequestClass, float]] = {
    RequestClass.interactive: 8.0,
    RequestClass.standard: 4.0,
    RequestClass.batch: 1.0,
}
MAX_IDLE_WORKSPACES: Final = 4096


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QueuedRequest:
    """A request in the queue.

    :param request: the node's request for a permit
    :param queued_at: when it began to wait, in seconds
    :param deadline_at: when it is refused, in seconds
    :param cost: expected cost, in output tokens
    :param memory_demand: expected memory demand
    """

    request: PermitRequest
    queued_at: float
    deadline_at: float
    cost: float
    memory_demand: MemoryDemand

    @property
    def key(self) -> PermitKey:
        """Request id and attempt."""
        return (self.request.request_id, self.request.attempt)


class FairQueue:
    """Weighted fair queue, with a virtual time per class and workspace.

    A lane holds the requests of one class and workspace, oldest first.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._entries: dict[PermitKey, QueuedRequest] = {}
        self._lanes: dict[
            tuple[RequestClass, str], dict[PermitKey, QueuedRequest]
        ] = {}
        self._class_times: dict[RequestClass, float] = {}
        self._workspace_times: dict[str, float] = {}
        self._counts: dict[str, int] = {}
        self._backlog: float = 0
        # Virtual times at which the last granted request started.
        self._class_virtual_time: float = 0
        self._workspace_virtual_time: float = 0

    @property
    def backlog(self) -> float:
        """Expected cost of all waiting requests, in output tokens."""
        return self._backlog

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._entries)

    def __iter__(self) -> Iterator[QueuedRequest]:
        """Iterate in order of arrival."""
        return iter(tuple(self._entries.values()))

    def __contains__(self, key: PermitKey) -> bool:
        """Return whether a request waits."""
        return key in self._entries

    def get(self, key: PermitKey) -> QueuedRequest | None:
        """Return a waiting request.

        :param key: request id and attempt
        """
        return self._entries.get(key)

    def count(self, workspace: str) -> int:
        """Return the number of waiting requests of a workspace.

        :param workspace: name of the workspace
        """
        return self._counts.get(workspace, 0)

    def add(self, entry: QueuedRequest) -> None:
        """Append a request to the lane of its class and workspace.

        :param entry: the request; replaces one with the same key
        """
        self.remove(entry.key)
        request = entry.request
        self._catch_up(request)
        lane = (request.request_class, request.workspace)
        self._lanes.setdefault(lane, {})[entry.key] = entry
        self._entries[entry.key] = entry
        self._backlog += entry.cost
        self._counts[request.workspace] = self.count(request.workspace) + 1

    def remove(self, key: PermitKey) -> QueuedRequest | None:
        """Remove a request from the queue.

        :param key: request id and attempt
        :returns: the request, or ``None`` if it was not queued
        """
        entry = self._entries.pop(key, None)
        if entry is None:
            return None
        self._backlog -= entry.cost
        request = entry.request
        lane = (request.request_class, request.workspace)
        self._lanes[lane].pop(key)
        if not self._lanes[lane]:
            self._lanes.pop(lane)
        remaining = self._counts[request.workspace] - 1
        self._counts[request.workspace] = remaining
        if not remaining:
            self._counts.pop(request.workspace)
        return entry

    def advance_virtual_time(self, entry: QueuedRequest) -> None:
        """Advance the virtual times to the start of a granted request.

        :param entry: the request, before it is charged
        """
        request = entry.request
        self._class_virtual_time = self._class_times.get(
            request.request_class, 0
        )
        self._workspace_virtual_time = self._workspace_times.get(
            request.workspace, 0
        )
        if len(self._workspace_times) > MAX_IDLE_WORKSPACES + len(self._counts):
            self._forget_idle()

    def charge(
        self,
        workspace: str,
        request_class: RequestClass,
        cost: float,
        weight: float,
    ) -> None:
        """Charge the cost of a request to its class and its workspace.

        :param workspace: workspace of the request
        :param request_class: class of the request
        :param cost: cost in output tokens; negative to refund an estimate
        :param weight: weight of the workspace
        """
        self._class_times[request_class] = (
            self._class_times.get(request_class, 0)
            + cost / CLASS_WEIGHTS[request_class]
        )
        self._workspace_times[workspace] = (
            self._workspace_times.get(workspace, 0) + cost / weight
        )

    def newest_of_largest_workspace(self) -> QueuedRequest | None:
        """Return the newest request of the workspace with most waiting."""
        if not self._counts:
            return None
        largest = max(self._counts, key=self.count)
        entries = (
            entry
            for entry in reversed(self._entries.values())
            if entry.request.workspace == largest
        )
        return next(entries, None)

    def lane_heads(
        self, is_eligible: Callable[[QueuedRequest], bool]
    ) -> Iterator[QueuedRequest]:
        """Iterate over each lane's oldest eligible request, in order of grant.

        :param is_eligible: whether a request may be granted now; requests
            that may not are skipped and block no later one
        """
        lanes = sorted(
            self._lanes,
            key=lambda lane: (
                self._class_times.get(lane[0], 0),
                self._workspace_times.get(lane[1], 0),
            ),
        )
        for lane in lanes:
            entry = next(filter(is_eligible, self._lanes[lane].values()), None)
            if entry is not None:
                yield entry

    def _forget_idle(self) -> None:
        """Drop idle workspaces that would start at the virtual time anyway."""
        self._workspace_times = {
            name: time
            for name, time in self._workspace_times.items()
            if name in self._counts or time > self._workspace_virtual_time
        }

    def _catch_up(self, request: PermitRequest) -> None:
        """Bring an idle class or workspace up to the current virtual time.

        Otherwise it could claim the time that it was idle as credit.
        """
        classes = {lane[0] for lane in self._lanes}
        request_class = request.request_class
        if request_class not in classes:
            self._class_times[request_class] = max(
                self._class_virtual_time,
                self._class_times.get(request_class, 0),
            )
        workspace = request.workspace
        if workspace not in self._counts:
            self._workspace_times[workspace] = max(
                self._workspace_virtual_time,
                self._workspace_times.get(workspace, 0),
            )
