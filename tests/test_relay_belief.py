"""Tests of a node's cache of the platform's store."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st
from mastichatch_platform.program import create_decoders

from mastichatch_core.generated.messages import ViewEntry
from mastichatch_core.relay.store_cache import (
    EXPIRY_GRACE_S,
    StoreCache,
    select_usable,
)
from mastichatch_core.relay.store import StoreView
from tests.relay_nodes import configuration


def entry(key: str, revision: int, document: object = None) -> ViewEntry:
    content = None if document is None else json.dumps(document).encode()
    return ViewEntry(key=key, revision=revision, value=content)


def server(state: str = 'ready') -> dict[str, object]:
    return {
        'service': 'app',
        'address': '10.0.0.1:80',
        'zone': 'north',
        'state': state,
        'slots': 4,
    }


def filled_cache(*entries: ViewEntry, now: float = 0) -> StoreCache:
    cache = StoreCache(create_decoders())
    revision = max((one.revision for one in entries), default=0)
    cache.apply(StoreView(revision=revision, entries=entries), now, now)
    return cache


class TestRevisions:
    def test_older_entry_changes_nothing(self) -> None:
        cache = filled_cache(entry('servers/i', 7, server('draining')))
        view = StoreView(revision=9, entries=(entry('servers/i', 6, server()),))
        assert cache.apply(view, 1, 1) == ()
        assert select_usable(cache.endpoints(1).values(), frozenset()) == ()

    def test_late_answer_does_not_restore_a_deleted_key(self) -> None:
        cache = filled_cache(
            entry('servers/i', 5, server()), entry('servers/i', 8)
        )
        late = StoreView(revision=6, entries=(entry('servers/i', 6, server()),))
        cache.apply(late, 1, 1)
        assert not cache.endpoints(1)

    def test_listing_removes_entries_that_it_lacks(self) -> None:
        cache = filled_cache(
            entry('servers/i', 5, server()), entry('servers/j', 6, server())
        )
        listing = StoreView(
            revision=9, entries=(entry('servers/j', 6, server()),)
        )
        cache.apply_listing(listing, 1, 1)
        assert tuple(cache.endpoints(1)) == ('j',)

    def test_listing_keeps_entries_written_after_it(self) -> None:
        cache = filled_cache(entry('servers/i', 12, server()))
        cache.apply_listing(StoreView(revision=9, entries=()), 1, 1)
        assert tuple(cache.endpoints(1)) == ('i',)

    def test_new_start_under_the_same_id_replaces_the_earlier_one(
        self,
    ) -> None:
        cache = filled_cache(
            entry('servers/i', 5, server('draining') | {'born': 10}),
            entry('servers/i', 6, server() | {'born': 20}),
        )
        found = cache.endpoints(1)
        assert [one.registered_id for one in found.values()] == ['i']
        assert [one.started_ms for one in found.values()] == [20]
        cache.apply(
            StoreView(revision=7, entries=(entry('servers/i', 7),)), 1, 1
        )
        assert not cache.endpoints(1)

    def test_configuration_never_goes_back(self) -> None:
        cache = filled_cache(entry('op/config', 5, configuration(version=4)))
        older = entry('op/config', 8, configuration(version=3))
        cache.apply(StoreView(revision=8, entries=(older,)), 1, 1)
        assert cache.configuration is not None
        assert cache.configuration.version == 4

    @given(
        history=st.lists(
            st.tuples(st.sampled_from('abc'), st.sampled_from('rd-')),
            min_size=1,
            max_size=12,
        ),
        data=st.data(),
    )
    def test_any_order_of_delivery_ends_in_the_same_view(
        self, history: list[tuple[str, str]], data: st.DataObject
    ) -> None:
        states = {'r': server(), 'd': server('draining'), '-': None}
        entries = [
            entry(f'servers/{name}', number, states[state])
            for number, (name, state) in enumerate(history, start=1)
        ]
        expected = filled_cache(*entries)
        shuffled = data.draw(st.permutations(entries))
        cache = StoreCache(create_decoders())
        for one in (*shuffled, *shuffled[:3]):
            cache.apply(StoreView(revision=one.revision, entries=(one,)), 0, 0)
        assert cache.endpoints(0) == expected.endpoints(0)
        assert cache.revision == expected.revision


class TestAge:
    def test_age_counts_from_the_sending_of_the_call(self) -> None:
        cache = filled_cache(now=10)
        cache.apply(StoreView(revision=3, entries=()), 12, 14)
        assert cache.age(15) == 3

    def test_older_view_does_not_reduce_the_age(self) -> None:
        cache = filled_cache(entry('x', 9, 1), now=10)
        cache.apply(StoreView(revision=5, entries=()), 20, 20)
        assert cache.age(21) == 11


class TestExpiry:
    def expire(self, cache: StoreCache, now: float) -> None:
        gone = StoreView(revision=9, entries=(entry('servers/i', 9),))
        cache.apply(gone, now, now)

    def test_deleted_endpoint_is_removed_at_once(self) -> None:
        cache = filled_cache(entry('servers/i', 5, server()))
        self.expire(cache, 1)
        assert not cache.endpoints(1)

    def test_entry_that_expired_in_an_outage_is_kept_for_the_grace_time(
        self,
    ) -> None:
        cache = filled_cache(entry('servers/i', 5, server()))
        cache.record_contact_lost()
        cache.record_contact(10)
        self.expire(cache, 10.1)
        assert tuple(cache.endpoints(10 + EXPIRY_GRACE_S - 0.1)) == ('i',)
        assert not cache.endpoints(10 + EXPIRY_GRACE_S)

    def test_rewritten_entry_stays(self) -> None:
        cache = filled_cache(entry('servers/i', 5, server()))
        cache.record_contact_lost()
        cache.record_contact(10)
        self.expire(cache, 10)
        rewritten = StoreView(
            revision=11, entries=(entry('servers/i', 11, server()),)
        )
        cache.apply(rewritten, 11, 11)
        assert tuple(cache.endpoints(20)) == ('i',)

    def test_draining_endpoint_is_not_kept(self) -> None:
        cache = filled_cache(entry('servers/i', 5, server('draining')))
        cache.record_contact_lost()
        self.expire(cache, 1)
        assert not cache.endpoints(1)


class TestChanges:
    def test_changes_after_a_revision_include_deletions(self) -> None:
        cache = filled_cache(entry('a', 5, 1), entry('b', 6, 1), entry('a', 7))
        changes = {one.key: one.value for one in cache.changes_after(5)}
        assert changes == {'b': b'1', 'a': None}

    def test_endpoint_that_announces_shutdown_is_not_usable(self) -> None:
        cache = filled_cache(entry('servers/i', 5, server()))
        assert cache.mark_draining('i')
        assert not cache.mark_draining('i')
        assert select_usable(cache.endpoints(1).values(), frozenset()) == ()

    @pytest.mark.parametrize('content', [b'', b'\xff', b'[1]', b'{"version":'])
    def test_malformed_configuration_is_ignored(self, content: bytes) -> None:
        cache = filled_cache(entry('op/config', 5, configuration(version=4)))
        malformed = ViewEntry(key='op/config', revision=8, value=content)
        cache.apply(StoreView(revision=8, entries=(malformed,)), 1, 1)
        assert cache.configuration is not None
        assert cache.configuration.version == 4
