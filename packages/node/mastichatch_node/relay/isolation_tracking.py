"""Tracks whether this node is partitioned from all endpoints."""

from collections.abc import Callable


class IsolationTracker:
    """Whether this node is cut off from endpoints that its peers reach."""

    def __init__(self) -> None:
        """Start as a node that reaches all endpoints."""
        self._callbacks: list[Callable[[], None]] = []

    @property
    def is_isolated(self) -> bool:
        """Whether this node reaches no endpoint, while peers do."""
        return False

    def reachable_peers(self) -> tuple[str, ...]:
        """Return the names of live peers that lately reached endpoints."""
        return ()

    def reaches(self, service: str) -> bool:
        """Return whether this node lately reached an endpoint of a service.

        It is assumed to unless there are signs against it.

        :param service: name of the service
        """
        return True

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call a function whenever ``is_isolated`` changes.

        :param callback: the function
        """
        self._callbacks.append(callback)
