"""Keeps the endpoints that are registered in the platform's store.

An entry that disappears around an outage of the store may have expired, and be
written again. One that appears when the store comes back from an older copy may
be of an endpoint that has left since. Entries of one endpoint are ordered by
its start and the number that it gives them.
"""

import dataclasses
from collections.abc import Callable, Mapping

from mastichatch_core.relay.model import Endpoint, EndpointState
from mastichatch_core.relay.store_entries import drop_oldest


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Withheld:
    """An endpoint that gets no requests until it writes, or for a time."""

    endpoint: Endpoint
    until: float


class RegisteredEndpoints:
    """Endpoints by instance, including draining ones."""

    def __init__(
        self, decode: Callable[[str, bytes], Endpoint], grace_s: float
    ) -> None:
        """Start without endpoints.

        :param decode: decodes an entry, given its key and value
        :param grace_s: time after the return of the store within which
            endpoints write again what it lacks, in seconds
        """
        self._decode = decode
        self._grace_s = grace_s
        self._endpoints: dict[str, Endpoint] = {}
        self._instances: dict[str, str] = {}
        # An ordered set, from which the oldest are dropped.
        self._leaving: dict[str, float] = {}
        self._expiring: dict[str, float] = {}
        self._removed: dict[str, Endpoint] = {}
        self._withheld: dict[str, _Withheld] = {}
        self._lost_contact = False
        self._restored_at: float | None = None

    def current(self, now: float) -> Mapping[str, Endpoint]:
        """Return the endpoints by instance.

        :param now: time in seconds
        """
        for key, until in tuple(self._expiring.items()):
            if now >= until:
                self._expiring.pop(key)
                self._discard(key)
        for withheld_key, withheld in tuple(self._withheld.items()):
            if now >= withheld.until:
                # The store lets the entry of its older copy stand.
                self._withheld.pop(withheld_key)
                self._removed.pop(withheld_key, None)
                self._register(withheld_key, withheld.endpoint)
        return self._endpoints

    def mark_draining(self, instance: str) -> bool:
        """Mark an endpoint as draining after it announced its shutdown.

        :param instance: instance id of the endpoint
        :returns: whether the endpoint was known and not yet draining
        """
        endpoint = self._endpoints.get(instance)
        if endpoint is None:
            return False
        if endpoint.started_ms:
            self._leaving[instance] = 0
            drop_oldest(self._leaving)
        if endpoint.state is EndpointState.draining:
            return False
        self._endpoints[instance] = _draining(endpoint)
        return True

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

    def put(self, key: str, content: bytes) -> None:
        """Register an endpoint, or replace what it registered before.

        :param key: key of the entry
        :param content: value of the entry
        :raises MalformedError: if the entry cannot be decoded; it names no
            endpoint then
        """
        self._expiring.pop(key, None)
        self._withheld.pop(key, None)
        self._removed.pop(key, None)
        # An earlier start under the same id has ended.
        self._endpoints.pop(self._instances.pop(key, ''), None)
        self._register(key, self._decode(key, content))

    def remove(self, key: str, now: float) -> None:
        """Remove an endpoint, after the grace time if its entry may be back.

        :param key: key of the entry
        :param now: time in seconds
        """
        endpoint = self._endpoints.get(self._instances.get(key, ''))
        is_inactive = (
            endpoint is None or endpoint.state is EndpointState.draining
        )
        if is_inactive or not self._may_have_expired(now):
            self._discard(key)
            return
        # The endpoint may still exist and write its entry again.
        self._expiring[key] = (self._restored_at or now) + self._grace_s

    def begin_era(self, now: float) -> None:
        """Prepare for the entries of a store that came back from a copy.

        :param now: time in seconds
        """
        self._restored_at = now
        withheld = {one.endpoint.instance for one in self._withheld.values()}
        for endpoint in (*self._endpoints.values(), *self._removed.values()):
            is_leaving = endpoint.state is EndpointState.draining
            if endpoint.instance in withheld:
                # It counts as draining for the grace time only.
                continue
            if endpoint.started_ms and is_leaving:
                self._leaving[endpoint.instance] = 0
        drop_oldest(self._leaving)
        for key, one in tuple(self._withheld.items()):
            self._withhold(key, one.endpoint, now)

    def restore(self, key: str, content: bytes, now: float) -> None:
        """Register an endpoint by an entry that may be of an older copy.

        What is known of the endpoint holds if its entry was a later one. If a
        later one was removed, no requests are sent to the endpoint until it
        writes again, or the grace time is over.

        :param key: key of the entry
        :param content: value of the entry
        :param now: time in seconds
        :raises MalformedError: as for ``put``
        """
        known = None
        if key not in self._withheld:
            known = self._endpoints.get(self._instances.get(key, ''))
        removed = self._removed.get(key)
        self.put(key, content)
        restored = self._endpoints[self._instances[key]]
        if known is not None and _place(restored) < _place(known):
            self._endpoints.pop(restored.instance)
            self._set(key, known)
        elif removed is not None and _place(restored) <= _place(removed):
            self._removed[key] = removed
            self._withhold(key, restored, now)

    def _register(self, key: str, endpoint: Endpoint) -> None:
        if endpoint.instance in self._leaving:
            endpoint = _draining(endpoint)
        self._set(key, endpoint)

    def _withhold(self, key: str, endpoint: Endpoint, now: float) -> None:
        until = now + self._grace_s
        self._withheld[key] = _Withheld(endpoint=endpoint, until=until)
        self._set(key, _draining(endpoint))

    def _set(self, key: str, endpoint: Endpoint) -> None:
        self._instances[key] = endpoint.instance
        self._endpoints[endpoint.instance] = endpoint

    def _discard(self, key: str) -> None:
        is_withheld = self._withheld.pop(key, None) is not None
        endpoint = self._endpoints.pop(self._instances.pop(key, ''), None)
        if endpoint is not None and not is_withheld:
            self._removed[key] = endpoint
            drop_oldest(self._removed)

    def _may_have_expired(self, now: float) -> bool:
        if self._lost_contact:
            return True
        restored_at = self._restored_at
        return restored_at is not None and now - restored_at < self._grace_s


def _draining(endpoint: Endpoint) -> Endpoint:
    return dataclasses.replace(endpoint, state=EndpointState.draining)


def _place(endpoint: Endpoint) -> tuple[int, int]:
    """Return the place of an endpoint's entry among all that it wrote."""
    return endpoint.started_ms, endpoint.sequence
