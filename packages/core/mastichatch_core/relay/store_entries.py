"""Keeps the entries of the platform's store in the order of its history.

A place in the history is an era and a revision. Within an era revisions only
rise; the store begins another era when it comes back from an older copy, and
gives revisions out again. An era is entered with a whole listing, since a
change in between cannot be told from one that the copy lacks.

Load pattern: a store that lost some seconds, while all of its writers write
again what it lacks within the next seconds.
"""

import dataclasses
import enum
from collections.abc import Iterator
from typing import Final, TypeVar

from mastichatch_core.generated.messages import ViewEntry
from mastichatch_core.relay.store import StoreView

# Number of deleted keys whose revisions are kept, so that a late answer cannot
# restore them. The oldest are dropped first.
DELETION_LIMIT: Final = 4096

_Kept = TypeVar('_Kept')


class Loss(enum.Enum):
    """What a store that came back from an older copy has lost of an entry."""

    writing = 'writing'
    deletion = 'deletion'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EraChange:
    """How the entries of a new era differ from the known ones.

    :param written: entries that were unknown, or had another value
    :param missing: entries of the former era that the new one lacks
    :param deleted: entries whose lost deletion has been made again
    """

    written: tuple[ViewEntry, ...]
    missing: tuple[ViewEntry, ...]
    deleted: tuple[ViewEntry, ...]


class StoreEntries:
    """Entries of one era of the store, and those carried over from before."""

    def __init__(self) -> None:
        """Create an empty table, of an unknown era."""
        self._entries: dict[str, ViewEntry] = {}
        self._deleted: dict[str, int] = {}
        # Revisions of the entries that were deleted.
        self._former: dict[str, int] = {}
        # Entries whose deletion the store has lost.
        self._undeleted: dict[str, ViewEntry] = {}
        # Times until which entries of a former era count as present.
        self._carried: dict[str, float] = {}
        self._era = 0
        self._revision = 0
        # Revision of the last listing: an unknown key with a lower revision
        # was deleted before it.
        self._listed = 0

    @property
    def era(self) -> int:
        """Era of the store; zero if it names none."""
        return self._era

    @property
    def revision(self) -> int:
        """Revision of the era up to which the entries are complete."""
        return self._revision

    def get(self, key: str) -> ViewEntry | None:
        """Return the entry of a key; ``None`` if it does not exist.

        :param key: the key
        """
        return self._entries.get(key)

    def under(self, prefix: str) -> Iterator[ViewEntry]:
        """Yield the entries whose keys have a prefix.

        :param prefix: prefix of the keys
        """
        for key, entry in self._entries.items():
            if key.startswith(prefix):
                yield entry

    def lost_under(self, prefix: str, loss: Loss) -> Iterator[ViewEntry]:
        """Yield the entries of which the store has lost something.

        :param prefix: prefix of their keys
        :param loss: what it has lost
        """
        keys = self._carried if loss is Loss.writing else self._undeleted
        for key in keys:
            entry = self._entries.get(key)
            # One that was written again is another entry.
            is_lost = loss is Loss.writing or entry == self._undeleted[key]
            if entry is not None and is_lost and key.startswith(prefix):
                yield entry

    def changes_after(self, revision: int) -> tuple[ViewEntry, ...]:
        """Return the entries written or deleted in this era after a revision.

        :param revision: revision of this era
        """
        written = (
            entry
            for key, entry in self._entries.items()
            if entry.revision > revision and key not in self._carried
        )
        deleted = (
            ViewEntry(key=key, revision=deleted_at)
            for key, deleted_at in self._deleted.items()
            if deleted_at > revision
        )
        return (*written, *deleted)

    def advance(self, revision: int) -> bool:
        """Record up to which revision of the era the entries are complete.

        :returns: whether that is no step back
        """
        if revision < self._revision:
            return False
        self._revision = revision
        return True

    def record_listing(self, revision: int) -> None:
        """Record that all entries were listed as of a revision of this era.

        :param revision: revision of the listing
        """
        self._listed = max(self._listed, revision)

    def put(self, entry: ViewEntry) -> bool:
        """Put an entry of this era, and return whether it was unknown.

        A deletion that a listing implies has the revision of the listing, so
        that an older message about the key is ignored.

        :param entry: the entry; without a value it was deleted
        """
        key = entry.key
        if entry.revision <= self._known_revision(key):
            return False
        self._carried.pop(key, None)
        self._deleted.pop(key, None)
        if entry.value is None:
            known = self._entries.pop(key, None)
            self._deleted[key] = entry.revision
            drop_oldest(self._deleted)
            if known is not None:
                self._former[key] = known.revision
                drop_oldest(self._former)
        else:
            self._entries[key] = entry
        return True

    def replace_value(self, key: str, content: bytes) -> None:
        """Replace the value of an entry, which keeps its revision.

        :param key: key of an entry
        :param content: the value
        """
        self._entries[key] = dataclasses.replace(
            self._entries[key], value=content
        )

    def missing_in(self, view: StoreView) -> tuple[ViewEntry, ...]:
        """Return the deletions that a listing of the same era implies.

        :param view: all entries, as of the revision of the view or later
        """
        listed = {entry.key for entry in view.entries}
        return tuple(
            ViewEntry(key=key, revision=view.revision)
            for key, entry in self._entries.items()
            if key not in listed
            and key not in self._carried
            and entry.revision <= view.revision
        )

    def begin_era(self, view: StoreView) -> EraChange:
        """Replace the entries by those of another era.

        :param view: all entries of that era
        """
        former = self._entries
        present = {
            entry.key: entry
            for entry in view.entries
            if entry.value is not None
        }
        undeleted = self._undeleted
        self._undeleted = {
            key: entry
            for key, entry in present.items()
            if self._is_undeleted(entry)
        }
        self._former = {
            key: revision
            for key, revision in self._former.items()
            if key not in present
        }
        self._entries = present
        self._deleted = {
            entry.key: entry.revision
            for entry in view.entries
            if entry.value is None
        }
        self._carried = {}
        self._era = view.era
        self._revision = view.revision
        self._listed = view.revision
        return EraChange(
            written=tuple(
                entry
                for key, entry in present.items()
                if key not in former or former[key].value != entry.value
            ),
            missing=tuple(
                entry
                for key, entry in former.items()
                if key not in present and entry != undeleted.get(key)
            ),
            deleted=tuple(
                entry
                for key, entry in undeleted.items()
                if key not in present and entry == former.get(key)
            ),
        )

    def is_continued_by(self, view: StoreView) -> bool:
        """Return whether a listing can be of the history that is known.

        Otherwise the store has come back from an older copy, and has given
        revisions out again.

        :param view: all entries, as of the revision of the view or later
        """
        return view.revision >= self._revision and all(
            entry == self._entries.get(entry.key)
            for entry in view.entries
            if entry.revision <= self._revision
        )

    def adopt_era(self, era: int) -> None:
        """Record the era of the known entries, which was unknown so far.

        :param era: era of the store
        """
        self._era = era

    def carry(self, entry: ViewEntry, until: float) -> None:
        """Keep an entry of the former era until it is written again.

        :param entry: an entry that the new era lacks
        :param until: time until which it is kept, in seconds
        """
        if entry.key in self._deleted:
            return
        self._entries[entry.key] = entry
        self._carried[entry.key] = until

    def release(self, now: float) -> tuple[str, ...]:
        """Remove the carried entries that were not written again in time.

        :param now: time in seconds
        :returns: their keys
        """
        released = tuple(
            key for key, until in self._carried.items() if now >= until
        )
        for key in released:
            self._carried.pop(key)
            self._entries.pop(key)
        return released

    def _is_undeleted(self, entry: ViewEntry) -> bool:
        """Return whether an entry of a new era was deleted in the former one.

        One with a higher revision than the deleted one was written later.
        """
        known = self._entries.get(entry.key)
        if known is not None:
            # The drill before this one lost the deletion as well.
            return known == entry == self._undeleted.get(entry.key)
        return entry.revision <= self._former.get(entry.key, -1)

    def _known_revision(self, key: str) -> int:
        known = self._entries.get(key)
        if known is None or key in self._carried:
            return self._deleted.get(key, self._listed)
        return known.revision


def drop_oldest(table: dict[str, _Kept]) -> None:
    """Remove the oldest keys of a table that has grown too large.

    :param table: what is kept by key, in the order in which it was added
    """
    while len(table) > DELETION_LIMIT:
        table.pop(next(iter(table)))
