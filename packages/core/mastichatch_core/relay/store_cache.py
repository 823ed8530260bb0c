"""Caches the entries of the platform's store on a node, and their age.

Within an era of the store, revisions of cached entries only increase: an entry
with a revision that is not higher than the cached one is ignored, whether it
comes from a late answer, a stale read or another node. A listing of a later era
replaces the entries. What was known before is kept where the store's older copy
may lack it, and its writers write it again.
"""

import dataclasses
import math
from collections.abc import Callable, Iterable, Mapping
from typing import Final

from mastichatch_core.generated.messages import ViewEntry
from mastichatch_core.relay.known_configuration import KnownConfiguration
from mastichatch_core.relay.model import (
    Configuration,
    Endpoint,
    EndpointState,
    MalformedError,
)
from mastichatch_core.relay.registered_endpoints import RegisteredEndpoints
from mastichatch_core.relay.rollouts.order import RolloutOrder
from mastichatch_core.relay.store import StoreView
from mastichatch_core.relay.store_entries import Loss, StoreEntries

# Endpoints whose entries expired while the store was unavailable write them
# again within this time of its recovery, which the platform guarantees.
EXPIRY_GRACE_S: Final = 2.0
# Time for which all entries but those of endpoints count as present in a store
# that came back without them: as long as a lease of nodes.
REWRITE_GRACE_S: Final = 6.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Decoders:
    """The key layout of the store and the decoders of its values.

    :param configuration_key: key of the operators' configuration
    :param configuration: decodes the configuration
    :param endpoint_prefix: prefix of the keys of endpoints
    :param endpoint: decodes the entry of an endpoint, given its key and value
    :param evacuation_prefix: prefix of the keys that name evacuated data
        centres
    :param rollout_prefix: prefix of the keys of orders to roll out a version;
        the name of the service follows
    :param rollout_order: decodes such an order
    :param on_malformed: called with the key and the fault of an entry that
        cannot be decoded
    """

    configuration_key: str
    configuration: Callable[[bytes], Configuration]
    endpoint_prefix: str
    endpoint: Callable[[str, bytes], Endpoint]
    evacuation_prefix: str
    rollout_prefix: str
    rollout_order: Callable[[ViewEntry], RolloutOrder]
    on_malformed: Callable[[str, str], None]


class StoreCache:
    """A node's cached copy of the store's entries."""

    def __init__(self, decoders: Decoders) -> None:
        """Create an empty cache.

        :param decoders: key layout and decoders of the store
        """
        self._decoders = decoders
        self._entries = StoreEntries()
        self._verified_at = -math.inf
        self._configuration = KnownConfiguration(decoders.configuration)
        self._endpoints = RegisteredEndpoints(decoders.endpoint, EXPIRY_GRACE_S)

    @property
    def revision(self) -> int:
        """Revision of the store up to which the cache is complete."""
        return self._entries.revision

    @property
    def era(self) -> int:
        """Era of the store that the revision belongs to; zero if unknown."""
        return self._entries.era

    @property
    def configuration(self) -> Configuration | None:
        """Newest configuration; ``None`` before the first was received."""
        return self._configuration.current

    def age(self, now: float) -> float:
        """Return the time since the cache was last known current, in seconds.

        :param now: time in seconds, on a clock that also runs while the host
            is suspended
        """
        return now - self._verified_at

    def evacuated_data_centres(self) -> frozenset[str]:
        """Return the data centres that operators have evacuated."""
        prefix = self._decoders.evacuation_prefix
        return frozenset(
            entry.key.removeprefix(prefix)
            for entry in self._entries.under(prefix)
        )

    def endpoints(self, now: float) -> Mapping[str, Endpoint]:
        """Return the endpoints by instance, including draining ones.

        :param now: time in seconds
        """
        return self._endpoints.current(now)

    def mark_draining(self, instance: str) -> bool:
        """Mark an endpoint as draining after it announced its shutdown.

        That holds until its next start, whatever the store or other nodes say
        of it. An endpoint without a known start is draining until its next
        entry, since a later start would not be told from it.

        :param instance: instance id of the endpoint
        :returns: whether the endpoint was known and not yet draining
        """
        return self._endpoints.mark_draining(instance)

    def entry(self, key: str) -> ViewEntry | None:
        """Return the entry of a key; ``None`` if it does not exist.

        :param key: the key
        """
        return self._entries.get(key)

    def entries_under(
        self, prefix: str, *, lost: Loss | None = None
    ) -> Mapping[str, bytes]:
        """Return the values of the keys under a prefix, by key.

        :param prefix: prefix of the keys
        :param lost: if it is given, only those entries are returned of which
            the store has lost this
        """
        found = self._entries.under(prefix)
        if lost is not None:
            found = self._entries.lost_under(prefix, lost)
        return {
            entry.key: entry.value for entry in found if entry.value is not None
        }

    def changes_after(
        self, revision: int, *, known_version: int | None = None
    ) -> tuple[ViewEntry, ...]:
        """Return the entries written or deleted after a revision.

        A configuration that is later than the known one is returned also if it
        was written before that revision: a restored store may have lost it.

        :param revision: revision of this era that another node's cache has
            reached
        :param known_version: version of the configuration that the other node
            has; ``None`` if it is not to be compared
        """
        changes = self._entries.changes_after(revision)
        entry = self._entries.get(self._decoders.configuration_key)
        is_later = (
            known_version is not None
            and self._configuration.version > known_version
        )
        if not is_later or entry is None or entry in changes:
            return changes
        return (*changes, entry)

    def record_contact_lost(self) -> None:
        """Record that the store did not answer this node."""
        self._endpoints.record_contact_lost()

    def record_contact(self, now: float) -> None:
        """Record that the store answered this node.

        :param now: time in seconds
        """
        self._endpoints.record_contact(now)

    def apply(
        self, view: StoreView, verified_at: float, now: float
    ) -> tuple[str, ...]:
        """Apply changes of the store to the cache.

        Changes of another era than that of the cache are ignored, but for a
        later configuration: it counts by its version.

        :param view: changes up to the revision of the view
        :param verified_at: time at which the call that returned the view was
            sent, in seconds on a clock that also runs while the host is
            suspended
        :param now: time in seconds
        :returns: the keys that changed
        """
        if view.era != self.era:
            # A late answer, one of an era whose listing is yet to come, or one
            # of a node that has not noticed the store's return.
            return tuple(
                entry.key for entry in view.entries if self._take_kept(entry)
            )
        changed = tuple(
            entry.key
            for entry in sorted(view.entries, key=lambda one: one.revision)
            if self._apply_entry(entry, now)
        )
        if self._entries.advance(view.revision):
            self._verified_at = max(self._verified_at, verified_at)
        return changed

    def apply_listing(
        self, view: StoreView, verified_at: float, now: float
    ) -> tuple[str, ...]:
        """Apply a listing of all entries, and remove those not listed.

        :param view: all entries, as of the revision of the view or later
        :param verified_at: time at which the first call was sent, as for
            ``apply``
        :param now: time in seconds
        :returns: the keys that changed
        """
        if not self.era and self._entries.is_continued_by(view):
            self._entries.adopt_era(view.era)
        if view.era > self.era:
            return self._begin_era(view, verified_at, now)
        deletions = self._entries.missing_in(view)
        complete = dataclasses.replace(
            view, entries=(*view.entries, *deletions)
        )
        changed = self.apply(complete, verified_at, now)
        if view.era == self.era:
            self._entries.record_listing(view.revision)
        return changed

    def release_entries(self, now: float) -> tuple[str, ...]:
        """Remove the entries of a former era that nobody wrote again in time.

        :param now: time in seconds
        :returns: their keys
        """
        return self._entries.release(now)

    def _begin_era(
        self, view: StoreView, verified_at: float, now: float
    ) -> tuple[str, ...]:
        """Replace the entries by those of a store that was restored."""
        self._endpoints.begin_era(now)
        change = self._entries.begin_era(view)
        prefix = self._decoders.endpoint_prefix
        for entry in change.written:
            self._decode(entry, now, is_restored=True)
        for missing in change.missing:
            if missing.key.startswith(prefix):
                self._endpoints.remove(missing.key, now)
            else:
                self._entries.carry(missing, now + REWRITE_GRACE_S)
        self._verified_at = max(self._verified_at, verified_at)
        # The places of all entries have changed.
        places = (*view.entries, *change.missing, *change.deleted)
        return tuple(one.key for one in places)

    def _apply_entry(self, entry: ViewEntry, now: float) -> bool:
        if not self._entries.put(entry):
            return self._take_kept(entry)
        if entry.value is not None:
            self._decode(entry, now)
        elif entry.key.startswith(self._decoders.endpoint_prefix):
            self._endpoints.remove(entry.key, now)
        return True

    def _take_kept(self, entry: ViewEntry) -> bool:
        """Take over a configuration that another node has kept."""
        known = self._entries.get(entry.key)
        content = entry.value
        if known is None or content is None or content == known.value:
            return False
        if entry.key != self._decoders.configuration_key:
            return False
        try:
            is_later = self._configuration.record_kept(content)
        except Exception as error:
            # Another node may have taken over an entry of an unforeseen kind.
            self._decoders.on_malformed(entry.key, repr(error))
            return False
        if is_later:
            self._entries.replace_value(entry.key, content)
        return is_later

    def _decode(
        self, entry: ViewEntry, now: float, *, is_restored: bool = False
    ) -> None:
        decoders, key, content = self._decoders, entry.key, entry.value or b''
        try:
            if key == decoders.configuration_key:
                self._configuration.record_stored(content)
                # Nodes that read this view must not get an older version.
                self._entries.replace_value(key, self._configuration.content)
            elif key.startswith(decoders.endpoint_prefix) and is_restored:
                self._endpoints.restore(key, content, now)
            elif key.startswith(decoders.endpoint_prefix):
                self._endpoints.put(key, content)
        except MalformedError as error:
            decoders.on_malformed(key, str(error))
        except Exception as error:
            # Another writer may have made an entry of an unforeseen kind.
            decoders.on_malformed(key, repr(error))


def endpoint_at(cache: StoreCache, address: str, now: float) -> Endpoint | None:
    """Return the endpoint at an address, the one that started last.

    :param cache: cached entries of the store
    :param address: IP address and port
    :param now: time in seconds
    """
    found = (
        one for one in cache.endpoints(now).values() if one.address == address
    )
    return max(found, key=lambda one: one.started_ms, default=None)


def select_usable(
    endpoints: Iterable[Endpoint], evacuated: frozenset[str]
) -> tuple[Endpoint, ...]:
    """Return the endpoints that accept new requests.

    :param endpoints: endpoints in any state
    :param evacuated: data centres that operators have evacuated
    """
    return tuple(
        endpoint
        for endpoint in endpoints
        if endpoint.state is EndpointState.ready
        and endpoint.data_centre not in evacuated
    )


def usable_endpoints(
    cache: StoreCache, service: str, now: float
) -> tuple[Endpoint, ...]:
    """Return the endpoints of a service that accept new requests.

    :param cache: cached entries of the store
    :param service: name of the service
    :param now: time in seconds
    """
    of_service = (
        endpoint
        for endpoint in cache.endpoints(now).values()
        if endpoint.service == service
    )
    return select_usable(of_service, cache.evacuated_data_centres())
