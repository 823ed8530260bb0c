"""Keeps the copies of a run that were made before the order to stop it.

Load pattern: the order to stop is carried out, and its answer, which names the
last copy, is lost. The engine to which the run was copied before still has that
copy, and reads only what it lacks.
"""

from collections.abc import Callable

from mastichatch_core.relay.model import Endpoint
from mastichatch_node.relay.dialect import Resumption
from mastichatch_node.relay.run_transfer import RunLocation


class EarlierCopies:
    """Copies of one run that nobody has used yet, oldest first."""

    def __init__(self) -> None:
        """Start without copies."""
        self._copies: list[RunLocation] = []

    def add(self, location: RunLocation) -> None:
        """Add a copy, in place of an older one on the same engine.

        :param location: location of the copy
        """
        self._forget_at(location.endpoint)
        self._copies.append(location)

    def take(
        self, may_resume: Callable[[Endpoint], bool]
    ) -> RunLocation | None:
        """Return the newest copy that may be used, which is not kept.

        :param may_resume: returns whether the run may go on at an engine
        :returns: ``None`` without such a copy
        """
        for location in reversed(self._copies):
            if may_resume(location.endpoint):
                self._copies.remove(location)
                return location
        return None

    def forget_used(
        self, endpoint: Endpoint, resumption: Resumption | None
    ) -> None:
        """Forget the copies that a run has used or replaced by resuming.

        :param endpoint: engine on which the run goes on
        :param resumption: copy from which it goes on, if any
        """
        self._forget_at(endpoint)
        if resumption is not None:
            used = (resumption.address, resumption.handle)
            self._copies = [
                one for one in self._copies if (one.address, one.handle) != used
            ]

    def take_all(self) -> tuple[RunLocation, ...]:
        """Return all copies, which are not kept."""
        taken = tuple(self._copies)
        self._copies.clear()
        return taken

    def _forget_at(self, endpoint: Endpoint) -> None:
        self._copies = [
            one
            for one in self._copies
            if one.endpoint.instance != endpoint.instance
        ]
