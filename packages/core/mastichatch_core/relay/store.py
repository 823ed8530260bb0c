"""What the platform's store answers, and how its calls fail."""

import dataclasses

from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.messages import ErrorKind, ViewEntry


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreView:
    """Entries of the store, or changes of them, up to a revision.

    :param revision: revision up to which the entries are known
    :param entries: entries; those without a value were deleted
    """

    revision: int
    entries: tuple[ViewEntry, ...]


class StoreUnavailableError(MastichatchError):
    """The store did not answer, or refused; a write may have taken effect."""

    def __init__(self, reason: str) -> None:
        """Say why.

        :param reason: what happened, for a person
        """
        super().__init__(ErrorKind.platform_unavailable, reason)


class HistoryGoneError(Exception):
    """The store no longer has the changes after a revision."""


class LeaseLapsedError(Exception):
    """The store does not know a lease, or no longer."""
