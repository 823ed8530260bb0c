"""Tests of a node's cache when the store comes back from an older copy.

Nothing older than what is known may win, and nothing newer may be missed, in
any order of writes, losses, listings, watches and messages between nodes.
"""

import dataclasses
import json

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)
from mastichatch_platform.program import create_decoders

from mastichatch_core.generated.messages import ViewEntry
from mastichatch_core.relay.store import StoreView
from mastichatch_core.relay.store_cache import (
    EXPIRY_GRACE_S,
    REWRITE_GRACE_S,
    StoreCache,
    select_usable,
)
from mastichatch_core.relay.store_entries import Loss
from tests.relay_nodes import configuration

KEYS = ('op/config', 'mastichatch/nodes/n', 'other/a')
NODES = (0, 1)


def entry(key: str, revision: int, document: object = None) -> ViewEntry:
    content = None if document is None else json.dumps(document).encode()
    return ViewEntry(key=key, revision=revision, value=content)


def server(sequence: int, state: str = 'ready', born: int = 9) -> object:
    return {
        'service': 'app',
        'address': '10.0.0.1:80',
        'zone': 'north',
        'state': state,
        'slots': 4,
        'born': born,
        'sequence': sequence,
    }


def listing(era: int, revision: int, *entries: ViewEntry) -> StoreView:
    return StoreView(revision=revision, entries=entries, era=era)


def filled(*entries: ViewEntry) -> StoreCache:
    """Return a cache that read all entries at revision 100 of era 1."""
    cache = StoreCache(create_decoders())
    cache.apply_listing(listing(1, 100, *entries), 0, 0)
    return cache


def usable(cache: StoreCache, now: float) -> int:
    return len(select_usable(cache.endpoints(now).values(), frozenset()))


class TestPlaces:
    def test_answers_of_another_era_change_nothing(self) -> None:
        cache = filled(entry('other/a', 90, 1))
        for era in (0, 2):
            late = listing(era, 200, entry('other/a', 200, 2))
            assert cache.apply(late, 9, 9) == ()
        assert cache.entries_under('other/') == {'other/a': b'1'}
        assert (cache.era, cache.revision, cache.age(9)) == (1, 100, 9)

    @pytest.mark.parametrize('era', [0, 1, 3])
    def test_later_configuration_counts_in_any_era(self, era: int) -> None:
        cache = filled(entry('op/config', 90, configuration(1)))
        cache.apply_listing(
            listing(2, 50, entry('op/config', 45, configuration(1))), 1, 1
        )
        kept = listing(era, 95, entry('op/config', 95, configuration(2)))
        assert cache.apply(kept, 9, 9) == ('op/config',)
        assert cache.configuration is not None
        assert cache.configuration.version == 2
        assert (cache.era, cache.revision, cache.age(9)) == (2, 50, 8)
        older = listing(era, 99, entry('op/config', 99, configuration(1)))
        assert cache.apply(older, 9, 9) == ()

    def test_listing_of_the_former_era_changes_nothing(self) -> None:
        cache = filled(entry('other/a', 90, 1))
        cache.apply_listing(listing(2, 50, entry('other/a', 45, 2)), 1, 1)
        cache.apply_listing(listing(1, 300, entry('other/a', 300, 3)), 2, 2)
        assert cache.entries_under('other/') == {'other/a': b'2'}
        assert cache.age(2) == 1

    def test_lower_revisions_of_the_next_era_are_applied(self) -> None:
        cache = filled(entry('other/a', 90, 1), entry('other/b', 95, 1))
        cache.apply_listing(listing(2, 50, entry('other/a', 45, 1)), 1, 1)
        later = listing(2, 52, entry('other/a', 51, 2), entry('other/b', 52))
        cache.apply(later, 2, 2)
        assert cache.entries_under('other/') == {'other/a': b'2'}
        assert cache.changes_after(50) == later.entries

    def test_first_era_that_is_named_keeps_the_entries(self) -> None:
        cache = StoreCache(create_decoders())
        cache.apply_listing(listing(0, 100, entry('other/a', 90, 1)), 0, 0)
        cache.apply_listing(listing(4, 101, entry('other/b', 101, 1)), 1, 1)
        assert set(cache.entries_under('other/')) == {'other/b'}
        assert (cache.era, cache.revision) == (4, 101)

    def test_first_era_that_is_named_after_a_loss_replaces_entries(
        self,
    ) -> None:
        """Revisions have passed the known one again, with other contents."""
        cache = StoreCache(create_decoders())
        known = (entry('other/a', 95, 1), entry('other/b', 90, 1))
        cache.apply_listing(listing(0, 100, *known), 0, 0)
        found = (entry('other/a', 94, 2), entry('other/c', 99, 1))
        cache.apply_listing(listing(4, 120, *found), 1, 1)
        assert cache.entries_under('other/a') == {'other/a': b'2'}
        assert cache.entries_under('other/c') == {'other/c': b'1'}
        assert (cache.era, cache.revision) == (4, 120)


class TestLostEntries:
    @pytest.mark.parametrize(
        ('key', 'grace_s'),
        [
            ('op/evacuate/z', REWRITE_GRACE_S),
            ('mastichatch/nodes/n', REWRITE_GRACE_S),
        ],
    )
    def test_they_are_kept_until_they_are_written_again(
        self, key: str, grace_s: float
    ) -> None:
        cache = filled(entry(key, 90, {}))
        cache.apply_listing(listing(2, 50), 1, 1)
        assert cache.release_entries(0.9 + grace_s) == ()
        assert cache.entries_under(key)
        # Other nodes are told of the store's entries alone.
        assert cache.changes_after(0) == ()
        assert cache.release_entries(1 + grace_s) == (key,)
        assert not cache.entries_under(key)

    def test_those_that_are_written_again_stay(self) -> None:
        cache = filled(entry('mastichatch/nodes/n', 90, 1))
        cache.apply_listing(listing(2, 50), 1, 1)
        cache.apply(listing(2, 51, entry('mastichatch/nodes/n', 51, 1)), 2, 2)
        assert cache.release_entries(99) == ()
        assert cache.entries_under('mastichatch/nodes/')

    def test_configuration_stays_in_force_and_is_told(self) -> None:
        cache = filled(entry('op/config', 90, configuration(4)))
        older = entry('op/config', 40, configuration(3))
        cache.apply_listing(listing(2, 50, older), 1, 1)
        found = cache.configuration
        assert found is not None
        assert found.version == 4
        told = StoreCache(create_decoders())
        told.apply_listing(listing(2, 50, *cache.changes_after(0)), 2, 2)
        assert told.configuration == found

    def test_kept_configuration_is_told_by_who_has_it_from_another_node(
        self,
    ) -> None:
        """A node that entered the era through another one did not tell it."""
        first = filled(entry('op/config', 90, configuration(2)))
        restored = listing(2, 50, entry('op/config', 45, configuration(1)))
        first.apply_listing(restored, 1, 1)
        second = StoreCache(create_decoders())
        view = listing(2, 50, *first.changes_after(0))
        second.apply_listing(view, 1, 1)
        for cache in (first, second):
            (told,) = cache.changes_after(50, known_version=1)
            assert json.loads(told.value or b'')['version'] == 2
            assert cache.changes_after(50, known_version=2) == ()
            assert cache.changes_after(50) == ()

    def test_entry_whose_deletion_was_lost_is_not_kept(self) -> None:
        """Another node may have deleted it again since."""
        pin = entry('mastichatch/pins/llm/p', 90, {})
        cache = filled(pin)
        cache.apply(listing(1, 101, entry(pin.key, 101)), 0, 0)
        cache.apply_listing(listing(2, 95, pin), 1, 1)
        found = cache.entries_under('mastichatch/pins/', lost=Loss.deletion)
        assert set(found) == {pin.key}
        assert cache.apply_listing(listing(3, 96), 2, 2) == (pin.key,)
        assert cache.entry(pin.key) is None
        assert not cache.entries_under('mastichatch/pins/', lost=Loss.writing)


class TestEndpoints:
    def test_lost_one_is_used_for_the_grace_time(self) -> None:
        cache = filled(entry('servers/i', 90, server(1)))
        cache.apply_listing(listing(2, 50), 1, 1)
        assert usable(cache, 0.9 + EXPIRY_GRACE_S) == 1
        assert usable(cache, 1 + EXPIRY_GRACE_S) == 0

    def test_draining_one_stays_so(self) -> None:
        cache = filled(entry('servers/i', 90, server(7, 'draining')))
        cache.apply_listing(
            listing(2, 50, entry('servers/i', 40, server(6))), 1, 1
        )
        assert usable(cache, 99) == 0
        started = entry('servers/i', 51, server(1, born=10))
        cache.apply(listing(2, 51, started), 2, 2)
        assert usable(cache, 99) == 1

    def test_removed_one_is_used_only_once_it_writes(self) -> None:
        cache = filled(entry('servers/i', 90, server(7)))
        cache.apply(listing(1, 101, entry('servers/i', 101)), 1, 1)
        older = entry('servers/i', 40, server(6))
        cache.apply_listing(listing(2, 50, older), 2, 2)
        assert usable(cache, 2) == 0
        cache.apply(listing(2, 51, entry('servers/i', 51, server(8))), 3, 3)
        assert usable(cache, 3) == 1

    def test_removed_one_is_used_if_the_store_keeps_its_entry(self) -> None:
        cache = filled(entry('servers/i', 90, server(7)))
        cache.apply(listing(1, 101, entry('servers/i', 101)), 1, 1)
        older = entry('servers/i', 40, server(7))
        cache.apply_listing(listing(2, 50, older), 2, 2)
        assert usable(cache, 1.9 + EXPIRY_GRACE_S) == 0
        assert usable(cache, 2 + EXPIRY_GRACE_S) == 1

    def test_one_that_left_while_draining_stays_out(self) -> None:
        cache = filled(entry('servers/i', 90, server(7, 'draining')))
        cache.apply(listing(1, 101, entry('servers/i', 101)), 1, 1)
        older = entry('servers/i', 40, server(6))
        cache.apply_listing(listing(2, 50, older), 2, 2)
        assert usable(cache, 99) == 0

    @pytest.mark.parametrize('second', (5, 6, 7))
    def test_removed_one_that_lives_is_used_after_a_second_loss(
        self, second: int
    ) -> None:
        """That it gets nothing for now does not mean that it leaves."""
        cache = filled(entry('servers/i', 90, server(7)))
        cache.apply(listing(1, 101, entry('servers/i', 101)), 1, 1)
        for era, sequence in ((2, 6), (3, second)):
            found = entry('servers/i', 40, server(sequence))
            cache.apply_listing(listing(era, 50, found), era, era)
        assert usable(cache, 2.9 + EXPIRY_GRACE_S) == 0
        cache.apply(listing(3, 51, entry('servers/i', 51, server(8))), 4, 4)
        assert usable(cache, 4) == 1

    def test_one_that_expires_before_a_second_loss_is_used_again(self) -> None:
        cache = filled(entry('servers/i', 90, server(7)))
        cache.apply(listing(1, 101, entry('servers/i', 101)), 1, 1)
        older = entry('servers/i', 40, server(6))
        cache.apply_listing(listing(2, 50, older), 2, 2)
        cache.apply(listing(2, 51, entry('servers/i', 51)), 3, 3)
        cache.apply_listing(listing(3, 50, older), 4, 4)
        assert usable(cache, 4) == 0
        cache.apply(listing(3, 51, entry('servers/i', 51, server(8))), 5, 5)
        assert usable(cache, 5) == 1


@dataclasses.dataclass
class Store:
    """A store whose state may go back to that of a copy."""

    era: int = 1
    revision: int = 100
    version: int = 0
    entries: dict[str, ViewEntry] = dataclasses.field(default_factory=dict)
    events: list[ViewEntry] = dataclasses.field(default_factory=list)

    def write(self, key: str, document: object) -> None:
        self.revision += 1
        written = entry(key, self.revision, document)
        self.events.append(written)
        self.entries[key] = written
        if document is None:
            self.entries.pop(key)

    def view(self, after: int | None) -> StoreView | None:
        """Return a listing, or a watch's answer; ``None`` is a 410."""
        if after is None:
            rows = tuple(self.entries.values())
        elif after > self.revision:
            return None
        else:
            rows = tuple(one for one in self.events if one.revision > after)
        return listing(self.era, self.revision, *rows)


class StoreMachine(RuleBasedStateMachine):
    """Two nodes, their calls of the store, and messages between them."""

    def __init__(self) -> None:
        super().__init__()
        self.store = Store()
        self.copy = Store()
        self.caches = [StoreCache(create_decoders()) for _ in NODES]
        self.needs_listing = [True for _ in NODES]
        self.places = [(0, 0) for _ in NODES]
        self.versions = [0 for _ in NODES]
        # Answers on their way: node, whether whole, view.
        self.messages: list[tuple[int, bool, StoreView]] = []
        self.now = 0.0

    @rule(key=st.sampled_from(KEYS), is_deletion=st.booleans())
    def write(self, key: str, is_deletion: bool) -> None:
        if key == 'op/config':
            # Versions rise, also over a loss.
            self.store.version = max(self.store.version, self.copy.version) + 1
            self.store.write(key, configuration(self.store.version))
        elif not is_deletion:
            self.store.write(key, self.store.revision)
        elif key in self.store.entries:
            self.store.write(key, None)

    @rule()
    def save(self) -> None:
        self.copy = dataclasses.replace(
            self.store,
            entries=dict(self.store.entries),
            events=list(self.store.events),
        )

    @rule()
    def restore(self) -> None:
        era, version = self.store.era + 1, self.store.version
        self.store = dataclasses.replace(
            self.copy,
            era=era,
            entries=dict(self.copy.entries),
            events=list(self.copy.events),
        )
        self.store.version = version

    @rule(
        nodes=st.sampled_from((NODES, NODES[:1], NODES[1:])),
        count=st.integers(1, 3),
    )
    def call_store_repeatedly(self, nodes: tuple[int, ...], count: int) -> None:
        for node in nodes * count:
            self.call_store(node)

    def call_store(self, node: int) -> None:
        """Read the whole store, or watch it, as a node does."""
        cache = self.caches[node]
        if self.needs_listing[node]:
            view = self.store.view(None)
            assert view is not None
            self.needs_listing[node] = False
            self.messages.append((node, True, view))
            cache.apply_listing(view, self.now, self.now)
            return
        view = self.store.view(cache.revision)
        if view is None or view.era > cache.era:
            self.needs_listing[node] = True
            return
        self.messages.append((node, False, view))
        cache.apply(view, self.now, self.now)

    @rule(asker=st.sampled_from(NODES))
    def ask_other_node(self, asker: int) -> None:
        """Send the view that another node lacks, which may come late."""
        other, cache = self.caches[1 - asker], self.caches[asker]
        if (other.era, other.revision) < (cache.era, cache.revision):
            return
        is_whole = cache.era < other.era
        entries = other.changes_after(0 if is_whole else cache.revision)
        view = listing(other.era, other.revision, *entries)
        self.messages.append((asker, is_whole, view))

    @precondition(lambda self: self.messages)
    @rule(data=st.data())
    def deliver(self, data: st.DataObject) -> None:
        """Deliver an answer late, or once more."""
        node, is_whole, view = data.draw(st.sampled_from(self.messages))
        cache = self.caches[node]
        if is_whole and view.era > cache.era:
            cache.apply_listing(view, self.now, self.now)
        else:
            cache.apply(view, self.now, self.now)

    @rule()
    def pass_time(self) -> None:
        self.now += REWRITE_GRACE_S

    @invariant()
    def places_and_versions_only_rise(self) -> None:
        for node, cache in enumerate(self.caches):
            place = (cache.era, cache.revision)
            assert place >= self.places[node]
            self.places[node] = place
            found = cache.configuration
            version = found.version if found else 0
            assert version >= self.versions[node]
            self.versions[node] = version

    @invariant()
    def a_current_cache_has_the_entries_of_the_store(self) -> None:
        for cache in self.caches:
            if (cache.era, cache.revision) != (
                self.store.era,
                self.store.revision,
            ):
                continue
            told = {one.key: one for one in cache.changes_after(0)}
            known = {
                key: one for key, one in told.items() if one.value is not None
            }
            expected = dict(self.store.entries)
            if 'op/config' in expected and 'op/config' in known:
                # An older version of the copy is replaced by the known one.
                known['op/config'] = dataclasses.replace(
                    known['op/config'], value=expected['op/config'].value
                )
            assert known == expected

    def teardown(self) -> None:
        """Let the nodes catch up: each then has the store's entries alone."""
        for node, cache in enumerate(self.caches):
            for _ in range(3):
                self.call_store(node)
            cache.release_entries(self.now + REWRITE_GRACE_S)
            assert cache.revision == self.store.revision
            assert cache.era == self.store.era
            for key in KEYS:
                assert (cache.entry(key) is None) == (
                    key not in self.store.entries
                )


TestModel = StoreMachine.TestCase
TestModel.settings = settings(
    max_examples=500, stateful_step_count=30, deadline=None
)
