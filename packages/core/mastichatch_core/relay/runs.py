"""What all nodes have told of the runs at engines.

Every node tells the others of each run that it starts or ends, and names all
of them at a fixed interval. What a silent node told lapses: its connections to
the engines end with it, and its runs with them.
"""

import dataclasses
from collections.abc import Iterator
from typing import Final

from mastichatch_core.generated.messages import Run, RunChanges, RunState
from mastichatch_core.units import MS_PER_S

# Whole lists that may be missed, in intervals between them.
MISSED_INTERVALS: Final = 3.0


@dataclasses.dataclass(slots=True, kw_only=True)
class _Node:
    incarnation: str
    sequence: int
    heard_at: float
    silent_after_s: float
    runs: dict[str, Run]


class RunTable:
    """Runs of this node and of the others."""

    def __init__(self) -> None:
        """Start without runs."""
        self._own: dict[str, Run] = {}
        self._nodes: dict[str, _Node] = {}
        self._arrived_at: dict[str, float] = {}

    @property
    def own(self) -> tuple[Run, ...]:
        """Runs of this node."""
        return tuple(self._own.values())

    def arrived_at(self, run: Run) -> float:
        """Return when a run's request arrived, in seconds.

        :param run: a run that is known
        """
        return self._arrived_at.get(run.request_id, 0)

    def note_own(self, run: Run, now: float) -> None:
        """Note a run of this node.

        :param run: the run as it is now
        :param now: time in seconds
        """
        self._note_arrival(run, now)
        if run.state is RunState.ended:
            self._own.pop(run.request_id, None)
        else:
            self._own[run.request_id] = run

    def note(self, message: RunChanges, incarnation: str, now: float) -> None:
        """Note what another node told.

        :param message: what changed
        :param incarnation: incarnation of the node
        :param now: time in seconds
        """
        node = self._nodes.get(message.node)
        if node is None or node.incarnation != incarnation:
            node = _Node(
                incarnation=incarnation,
                sequence=0,
                heard_at=now,
                silent_after_s=0,
                runs={},
            )
            self._nodes[message.node] = node
        if message.sequence <= node.sequence:
            return
        node.sequence = message.sequence
        node.heard_at = now
        node.silent_after_s = message.interval_ms * MISSED_INTERVALS / MS_PER_S
        if message.is_whole:
            node.runs.clear()
        for run in message.runs:
            self._note_arrival(run, now)
            if run.state is RunState.ended:
                node.runs.pop(run.request_id, None)
            else:
                node.runs[run.request_id] = run

    def heard(self, now: float) -> frozenset[str]:
        """Return the names of the nodes that told something of late.

        :param now: time in seconds
        """
        return frozenset(
            name
            for name, node in self._nodes.items()
            if now - node.heard_at < node.silent_after_s
        )

    def nodes_at(self, endpoint: str) -> frozenset[str]:
        """Return the names of the other nodes that have runs at an endpoint.

        :param endpoint: instance of the endpoint
        """
        return frozenset(
            name
            for name, node in self._nodes.items()
            if any(run.endpoint == endpoint for run in node.runs.values())
        )

    def each(self, now: float) -> Iterator[Run]:
        """Iterate over the runs of all nodes.

        :param now: time in seconds
        """
        yield from self._own.values()
        for name, node in tuple(self._nodes.items()):
            if now - node.heard_at >= node.silent_after_s:
                self._nodes.pop(name)
                for request_id in node.runs:
                    self._arrived_at.pop(request_id, None)
                continue
            yield from node.runs.values()

    def _note_arrival(self, run: Run, now: float) -> None:
        if run.state is RunState.ended:
            self._arrived_at.pop(run.request_id, None)
        else:
            arrived_at = now - run.age_ms / MS_PER_S
            self._arrived_at.setdefault(run.request_id, arrived_at)
