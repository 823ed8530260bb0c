"""Results and errors of calls to the platform's store."""

import dataclasses
from collections.abc import Mapping

from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.messages import ErrorKind, ViewEntry


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreView:
    """All entries of the store, or the changed ones, up to a revision.

    :param revision: revision up to which the entries are complete
    :param entries: entries; those without a value were deleted
    :param era: era of the store that the revisions belong to; zero if the store
        names none
    """

    revision: int
    entries: tuple[ViewEntry, ...]
    era: int = 0


class StoreUnavailableError(MastichatchError):
    """The store did not answer, or refused; it may have applied a write."""

    def __init__(self, reason: str, *, is_refusal: bool = False) -> None:
        """Create the error.

        :param reason: description of the failure
        :param is_refusal: whether the store answered that it did nothing
        """
        super().__init__(ErrorKind.platform_unavailable, reason)
        self.is_refusal = is_refusal


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Lease:
    """A lease that the store granted.

    :param number: its id, which the store gives out again in a later era
    :param era: era of the store that granted it; zero if unknown
    """

    number: int
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Transaction:
    """Writes that are made together, if some keys are as expected.

    :param expected: revisions of keys; zero for keys that do not exist
    :param puts: new values, by key
    :param lease: id of the lease with which the keys end; zero for none
    :param removals: keys to delete
    """

    expected: Mapping[str, int]
    puts: Mapping[str, bytes]
    lease: int = 0
    removals: tuple[str, ...] = ()


class HistoryGoneError(Exception):
    """The store no longer has the changes after a revision."""


class LeaseLapsedError(Exception):
    """A lease does not exist in the store, or has expired."""


class ConflictError(Exception):
    """A key has another revision than a transaction expects.

    :param entries: present state of the keys that the transaction expects, as
        far as the store told it
    :param era: era of the store that their revisions belong to
    """

    def __init__(self, entries: tuple[ViewEntry, ...], era: int = 0) -> None:
        """Store the present state of the keys."""
        super().__init__('a key has another revision than expected')
        self.entries = entries
        self.era = era
