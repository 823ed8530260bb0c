"""Tracks the runs of all nodes on the engines.

Every node notifies the others of each run that it starts or ends, and sends
the full list of its runs at a fixed interval. The runs of a node that sends no
messages expire: if the node fails, its connections to the engines close, which
ends its runs.
"""

import collections
import dataclasses
import math
from collections.abc import Collection, Iterable, Iterator
from typing import Final, Protocol

from mastichatch_core.generated.messages import Run, RunChanges, RunState
from mastichatch_core.units import MS_PER_S

# Time without messages after which a node's runs expire, in intervals between
# its full lists.
MAX_MISSED_INTERVALS: Final = 3.0
# Messages of a former incarnation of a node arrive late if other nodes forward
# them, or if this node was held up. They are ignored until the present one has
# been silent for this time.
FORMER_SILENCE_S: Final = 5.0
# Number of former incarnations that are remembered, of all nodes.
MAX_FORMER: Final = 256


@dataclasses.dataclass(slots=True, kw_only=True)
class _NodeRuns:
    """Runs of another node, as of its last message.

    :param incarnation: incarnation of the node
    :param sequence: number of its last message
    :param received_at: time of that message, in seconds
    :param timeout_s: time without messages after which the runs expire
    :param runs: runs by request id
    """

    incarnation: str
    sequence: int
    received_at: float
    timeout_s: float
    runs: dict[str, Run]


class RunObserver(Protocol):
    """Follows the states of all runs."""

    def update(self, run: Run, now: float, *, is_timely: bool) -> None:
        """Take note of the state of a run.

        :param run: state of the run
        :param now: time in seconds
        :param is_timely: whether the state has just changed; otherwise it may
            be repeated
        """

    def forget(self, request_ids: Collection[str]) -> None:
        """Remove runs of which nothing more is known.

        :param request_ids: ids of their requests
        """


class RunTable:
    """Runs of this node and of the others."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._own: dict[str, Run] = {}
        self._nodes: dict[str, _NodeRuns] = {}
        self._former: collections.deque[str] = collections.deque(
            maxlen=MAX_FORMER
        )
        self._arrived_at: dict[str, float] = {}
        self._observers: list[RunObserver] = []

    @property
    def is_observed(self) -> bool:
        """Whether an observer follows the runs."""
        return bool(self._observers)

    @property
    def own(self) -> tuple[Run, ...]:
        """Runs of this node."""
        return tuple(self._own.values())

    def arrived_at(self, run: Run) -> float:
        """Return the time at which a run's request arrived, in seconds.

        :param run: a run in the table; the result for other runs is zero
        """
        return self._arrived_at.get(run.request_id, 0)

    def attach(self, observer: RunObserver) -> None:
        """Tell an observer of all changes from now on.

        :param observer: the observer
        """
        self._observers.append(observer)

    def update_own(self, run: Run, now: float) -> None:
        """Add, update or remove a run of this node.

        :param run: current state of the run
        :param now: time in seconds
        """
        self._note_arrival(run, now, is_timely=True)
        if run.state is RunState.ended:
            self._own.pop(run.request_id, None)
        else:
            self._own[run.request_id] = run

    def apply_changes(
        self, message: RunChanges, incarnation: str, now: float
    ) -> None:
        """Apply a message of another node.

        :param message: changes of the node's runs
        :param incarnation: incarnation of the node
        :param now: time in seconds
        """
        node = self._nodes.get(message.node)
        if node is None or node.incarnation != incarnation:
            if node is not None:
                silence_s = now - node.received_at
                if incarnation in self._former and silence_s < FORMER_SILENCE_S:
                    return
                self._forget(node.runs)
                self._former.append(node.incarnation)
            node = _NodeRuns(
                incarnation=incarnation,
                sequence=0,
                received_at=now,
                timeout_s=0,
                runs={},
            )
            self._nodes[message.node] = node
        if message.sequence <= node.sequence:
            return
        node.sequence = message.sequence
        node.received_at = now
        node.timeout_s = message.interval_ms * MAX_MISSED_INTERVALS / MS_PER_S
        if message.is_whole:
            listed = {run.request_id for run in message.runs}
            self._forget(node.runs.keys() - listed)
            node.runs.clear()
        for run in message.runs:
            self._note_arrival(run, now, is_timely=not message.is_whole)
            if run.state is RunState.ended:
                node.runs.pop(run.request_id, None)
            else:
                node.runs[run.request_id] = run

    def run_count(self, name: str) -> int:
        """Return the number of runs of another node, as far as it is known.

        :param name: name of the node
        """
        node = self._nodes.get(name)
        return 0 if node is None else len(node.runs)

    def find(self, name: str, request_id: str) -> Run | None:
        """Return a run as its node has announced it, if it has.

        :param name: name of another node
        :param request_id: id of its request
        """
        node = self._nodes.get(name)
        return None if node is None else node.runs.get(request_id)

    def node_of(self, run: Run) -> str:
        """Return the name of the node of a run; empty for this node.

        :param run: a run in the table
        """
        if run.request_id in self._own:
            return ''
        return next(
            (
                name
                for name, node in self._nodes.items()
                if run.request_id in node.runs
            ),
            '',
        )

    def heard_at(self, names: Iterable[str]) -> float:
        """Return the time of the last message of any of some nodes, in seconds.

        :param names: names of other nodes
        :returns: the time; minus infinity if none of them is known
        """
        known = (self._nodes[name] for name in names if name in self._nodes)
        return max((node.received_at for node in known), default=-math.inf)

    def heard(self, now: float) -> frozenset[str]:
        """Return the names of other nodes that sent a message recently.

        :param now: time in seconds
        """
        return frozenset(
            name
            for name, node in self._nodes.items()
            if now - node.received_at < node.timeout_s
        )

    def nodes_with_runs_on(self, endpoint: str) -> frozenset[str]:
        """Return the names of the other nodes that have runs on an endpoint.

        :param endpoint: instance id of the endpoint
        """
        return frozenset(
            name
            for name, node in self._nodes.items()
            if any(run.endpoint == endpoint for run in node.runs.values())
        )

    def iter_runs(self, now: float) -> Iterator[Run]:
        """Iterate over the runs of all nodes, and remove expired nodes.

        :param now: time in seconds
        """
        yield from self._own.values()
        for _, runs in self._iter_nodes(now):
            yield from runs

    def iter_node_runs(self, now: float) -> Iterator[tuple[str, Run]]:
        """Iterate over the runs of the other nodes, with the node's name.

        :param now: time in seconds
        """
        for name, runs in self._iter_nodes(now):
            for run in runs:
                yield name, run

    def _iter_nodes(self, now: float) -> Iterator[tuple[str, Collection[Run]]]:
        for name, node in tuple(self._nodes.items()):
            if now - node.received_at >= node.timeout_s:
                self._nodes.pop(name)
                self._forget(node.runs)
                for request_id in node.runs:
                    self._arrived_at.pop(request_id, None)
                continue
            yield name, node.runs.values()

    def _forget(self, request_ids: Collection[str]) -> None:
        for observer in self._observers:
            observer.forget(request_ids)

    def _note_arrival(self, run: Run, now: float, *, is_timely: bool) -> None:
        for observer in self._observers:
            observer.update(run, now, is_timely=is_timely)
        if run.state is RunState.ended:
            self._arrived_at.pop(run.request_id, None)
        else:
            arrived_at = now - run.age_ms / MS_PER_S
            self._arrived_at.setdefault(run.request_id, arrived_at)
