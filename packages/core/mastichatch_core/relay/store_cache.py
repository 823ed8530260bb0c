"""Caches the entries of the platform's store on a node, and their age.

Revisions of cached entries only increase: an entry with a revision that is not
higher than the cached one is ignored, whether it comes from a late answer, a
stale read or another node.
"""

import dataclasses
from collections.abc import Callable, Iterable, Mapping
from typing import Final

from mastichatch_core.generated.messages import ViewEntry
from mastichatch_core.relay.model import (
    Configuration,
    Endpoint,
    EndpointState,
    MalformedError,
)
from mastichatch_core.relay.rollouts.order import RolloutOrder
from mastichatch_core.relay.store import StoreView

# Endpoints whose entries expired while the store was unavailable write them
# again within this time of its recovery, which the platform guarantees.
EXPIRY_GRACE_S: Final = 2.0
# Number of deleted keys whose revisions are kept, so that a late answer cannot
# restore them. The oldest are dropped first.
DELETION_LIMIT: Final = 4096


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
        self._entries: dict[str, ViewEntry] = {}
        self._deleted: dict[str, int] = {}
        self._revision = 0
        self._verified_at: float | None = None
        self._configuration: Configuration | None = None
        self._endpoints: dict[str, Endpoint] = {}
        self._instances: dict[str, str] = {}
        self._leaving: dict[str, int] = {}
        self._expiring: dict[str, float] = {}
        self._lost_contact = False
        self._restored_at: float | None = None

    @property
    def revision(self) -> int:
        """Revision of the store up to which the cache is complete."""
        return self._revision

    @property
    def configuration(self) -> Configuration | None:
        """Newest configuration; ``None`` before the first was received."""
        return self._configuration

    @property
    def is_filled(self) -> bool:
        """Whether the cache was filled from the store or another node."""
        return self._verified_at is not None

    def age(self, now: float) -> float:
        """Return the time since the cache was last known current, in seconds.

        :param now: time in seconds, on a clock that also runs while the host
            is suspended
        """
        if self._verified_at is None:
            return float('inf')
        return now - self._verified_at

    def evacuated_data_centres(self) -> frozenset[str]:
        """Return the data centres that operators have evacuated."""
        prefix = self._decoders.evacuation_prefix
        return frozenset(
            key.removeprefix(prefix)
            for key in self._entries
            if key.startswith(prefix)
        )

    def endpoints(self, now: float) -> Mapping[str, Endpoint]:
        """Return the endpoints by instance, including draining ones.

        :param now: time in seconds
        """
        for key, until in tuple(self._expiring.items()):
            if now >= until:
                self._expiring.pop(key)
                _remove_endpoint(self._endpoints, self._instances, key)
        return self._endpoints

    def mark_draining(self, instance: str) -> bool:
        """Mark an endpoint as draining after it announced its shutdown.

        That holds until its next start, whatever the store or other nodes say
        of it. An endpoint without a known start is draining until its next
        entry, since a later start would not be told from it.

        :param instance: instance id of the endpoint
        :returns: whether the endpoint was known and not yet draining
        """
        endpoint = self._endpoints.get(instance)
        if endpoint is None:
            return False
        if endpoint.started_ms:
            self._leaving[instance] = self._revision
            _drop_oldest(self._leaving)
        if endpoint.state is EndpointState.draining:
            return False
        self._endpoints[instance] = dataclasses.replace(
            endpoint, state=EndpointState.draining
        )
        return True

    def entry(self, key: str) -> ViewEntry | None:
        """Return the entry of a key; ``None`` if it does not exist.

        :param key: the key
        """
        return self._entries.get(key)

    def entries_under(self, prefix: str) -> Mapping[str, bytes]:
        """Return the values of the keys under a prefix, by key.

        :param prefix: prefix of the keys
        """
        return {
            key: entry.value
            for key, entry in self._entries.items()
            if key.startswith(prefix) and entry.value is not None
        }

    def changes_after(self, revision: int) -> tuple[ViewEntry, ...]:
        """Return the entries written or deleted after a revision.

        :param revision: revision that another node's cache has reached
        """
        written = (
            entry
            for entry in self._entries.values()
            if entry.revision > revision
        )
        deleted = (
            ViewEntry(key=key, revision=deleted_at)
            for key, deleted_at in self._deleted.items()
            if deleted_at > revision
        )
        return (*written, *deleted)

    def record_contact_lost(self) -> None:
        """Record that the store did not answer this node."""
        self._lost_contact = True

    def record_contact(self, now: float) -> None:
        """Record that the store answered this node.

        :param now: time in seconds
        """
        if self._lost_contact:
            self._lost_contact = False
            self._restored_at = now

    def apply(
        self, view: StoreView, verified_at: float, now: float
    ) -> tuple[str, ...]:
        """Apply changes of the store to the cache.

        :param view: changes up to the revision of the view
        :param verified_at: time at which the call that returned the view was
            sent, in seconds on a clock that also runs while the host is
            suspended
        :param now: time in seconds
        :returns: the keys that changed
        """
        changed = tuple(
            entry.key
            for entry in sorted(view.entries, key=lambda one: one.revision)
            if self._apply_entry(entry, now)
        )
        if view.revision >= self._revision:
            self._revision = view.revision
            if self._verified_at is None or verified_at > self._verified_at:
                self._verified_at = verified_at
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
        listed = {entry.key for entry in view.entries}
        deletions = tuple(
            ViewEntry(key=key, revision=view.revision)
            for key, entry in self._entries.items()
            if key not in listed and entry.revision <= view.revision
        )
        complete = StoreView(
            revision=view.revision, entries=(*view.entries, *deletions)
        )
        return self.apply(complete, verified_at, now)

    def _apply_entry(self, entry: ViewEntry, now: float) -> bool:
        # A deletion that a listing implies has the revision of the listing, so
        # an older message about the deleted key is ignored.
        known = self._entries.get(entry.key)
        deleted_at = self._deleted.get(entry.key, 0)
        revision = deleted_at if known is None else known.revision
        if entry.revision <= revision:
            return False
        if entry.value is None:
            self._entries.pop(entry.key, None)
            self._deleted[entry.key] = entry.revision
            _drop_oldest(self._deleted)
            self._remove(entry.key, now)
            return True
        self._deleted.pop(entry.key, None)
        self._entries[entry.key] = entry
        self._decode(entry.key, entry.value)
        return True

    def _decode(self, key: str, content: bytes) -> None:
        decoders = self._decoders
        try:
            if key == decoders.configuration_key:
                self._replace_configuration(decoders.configuration(content))
            elif key.startswith(decoders.endpoint_prefix):
                self._expiring.pop(key, None)
                # An earlier start under the same id has ended.
                _remove_endpoint(self._endpoints, self._instances, key)
                endpoint = decoders.endpoint(key, content)
                if endpoint.instance in self._leaving:
                    endpoint = dataclasses.replace(
                        endpoint, state=EndpointState.draining
                    )
                self._instances[key] = endpoint.instance
                self._endpoints[endpoint.instance] = endpoint
        except MalformedError as error:
            decoders.on_malformed(key, str(error))
        except Exception as error:
            # Another writer may have made an entry of an unforeseen kind.
            decoders.on_malformed(key, repr(error))

    def _replace_configuration(self, configuration: Configuration) -> None:
        current = self._configuration
        if current is None or configuration.version > current.version:
            self._configuration = configuration

    def _remove(self, key: str, now: float) -> None:
        if not key.startswith(self._decoders.endpoint_prefix):
            return
        endpoint = self._endpoints.get(self._instances.get(key, ''))
        is_inactive = (
            endpoint is None or endpoint.state is EndpointState.draining
        )
        if is_inactive or not self._may_have_expired(now):
            _remove_endpoint(self._endpoints, self._instances, key)
            return
        # The endpoint may still exist and write its entry again.
        self._expiring[key] = (self._restored_at or now) + EXPIRY_GRACE_S

    def _may_have_expired(self, now: float) -> bool:
        if self._lost_contact:
            return True
        restored_at = self._restored_at
        return restored_at is not None and now - restored_at < EXPIRY_GRACE_S


def _remove_endpoint(
    endpoints: dict[str, Endpoint], instances: dict[str, str], key: str
) -> None:
    """Remove the endpoint that an entry defined."""
    endpoints.pop(instances.pop(key, ''), None)


def _drop_oldest(deleted: dict[str, int]) -> None:
    while len(deleted) > DELETION_LIMIT:
        deleted.pop(next(iter(deleted)))


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
