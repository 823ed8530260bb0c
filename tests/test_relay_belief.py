"""Tests of a node's cache of the platform's store."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st
from mastichatch_platform.__main__ import create_decoders

from mastichatch_core.generated.messages import ViewEntry
from mastichatch_core.relay.belief import LAPSE_GRACE_S, Belief, in_use
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


def believe(*entries: ViewEntry, now: float = 0) -> Belief:
    belief = Belief(create_decoders())
    revision = max((one.revision for one in entries), default=0)
    belief.apply(StoreView(revision=revision, entries=entries), now, now)
    return belief


class TestRevisions:
    def test_older_entry_changes_nothing(self) -> None:
        belief = believe(entry('servers/i', 7, server('draining')))
        view = StoreView(revision=9, entries=(entry('servers/i', 6, server()),))
        assert belief.apply(view, 1, 1) == ()
        assert in_use(belief.endpoints(1).values(), frozenset()) == ()

    def test_late_answer_does_not_bring_back_a_deleted_key(self) -> None:
        belief = believe(entry('servers/i', 5, server()), entry('servers/i', 8))
        late = StoreView(revision=6, entries=(entry('servers/i', 6, server()),))
        belief.apply(late, 1, 1)
        assert not belief.endpoints(1)

    def test_listing_removes_what_it_does_not_name(self) -> None:
        belief = believe(
            entry('servers/i', 5, server()), entry('servers/j', 6, server())
        )
        listing = StoreView(
            revision=9, entries=(entry('servers/j', 6, server()),)
        )
        belief.apply_listing(listing, 1, 1)
        assert tuple(belief.endpoints(1)) == ('j',)

    def test_listing_keeps_what_was_written_after_it(self) -> None:
        belief = believe(entry('servers/i', 12, server()))
        belief.apply_listing(StoreView(revision=9, entries=()), 1, 1)
        assert tuple(belief.endpoints(1)) == ('i',)

    def test_configuration_never_goes_back(self) -> None:
        belief = believe(entry('op/config', 5, configuration(version=4)))
        older = entry('op/config', 8, configuration(version=3))
        belief.apply(StoreView(revision=8, entries=(older,)), 1, 1)
        assert belief.configuration is not None
        assert belief.configuration.version == 4

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
        expected = believe(*entries)
        shuffled = data.draw(st.permutations(entries))
        belief = Belief(create_decoders())
        for one in (*shuffled, *shuffled[:3]):
            belief.apply(StoreView(revision=one.revision, entries=(one,)), 0, 0)
        assert belief.endpoints(0) == expected.endpoints(0)
        assert belief.revision == expected.revision


class TestAge:
    def test_counts_from_the_sending_of_the_call(self) -> None:
        belief = believe(now=10)
        belief.apply(StoreView(revision=3, entries=()), 12, 14)
        assert belief.age(15) == 3

    def test_older_view_does_not_make_it_younger(self) -> None:
        belief = believe(entry('x', 9, 1), now=10)
        belief.apply(StoreView(revision=5, entries=()), 20, 20)
        assert belief.age(21) == 11


class TestLapse:
    def lapse(self, belief: Belief, now: float) -> None:
        gone = StoreView(revision=9, entries=(entry('servers/i', 9),))
        belief.apply(gone, now, now)

    def test_deleted_endpoint_is_gone_at_once(self) -> None:
        belief = believe(entry('servers/i', 5, server()))
        self.lapse(belief, 1)
        assert not belief.endpoints(1)

    def test_entry_that_lapsed_in_an_outage_is_kept_for_its_return(
        self,
    ) -> None:
        belief = believe(entry('servers/i', 5, server()))
        belief.note_contact_lost()
        belief.note_contact(10)
        self.lapse(belief, 10.1)
        assert tuple(belief.endpoints(10 + LAPSE_GRACE_S - 0.1)) == ('i',)
        assert not belief.endpoints(10 + LAPSE_GRACE_S)

    def test_entry_that_came_back_stays(self) -> None:
        belief = believe(entry('servers/i', 5, server()))
        belief.note_contact_lost()
        belief.note_contact(10)
        self.lapse(belief, 10)
        back = StoreView(
            revision=11, entries=(entry('servers/i', 11, server()),)
        )
        belief.apply(back, 11, 11)
        assert tuple(belief.endpoints(20)) == ('i',)

    def test_draining_endpoint_is_not_kept(self) -> None:
        belief = believe(entry('servers/i', 5, server('draining')))
        belief.note_contact_lost()
        self.lapse(belief, 1)
        assert not belief.endpoints(1)


class TestOthers:
    def test_changes_after_a_revision_include_deletions(self) -> None:
        belief = believe(entry('a', 5, 1), entry('b', 6, 1), entry('a', 7))
        changes = {one.key: one.value for one in belief.changes_after(5)}
        assert changes == {'b': b'1', 'a': None}

    def test_engine_that_says_it_leaves_takes_no_new_work(self) -> None:
        belief = believe(entry('servers/i', 5, server()))
        assert belief.note_leaving('i')
        assert not belief.note_leaving('i')
        assert in_use(belief.endpoints(1).values(), frozenset()) == ()

    @pytest.mark.parametrize('content', [b'', b'\xff', b'[1]', b'{"version":'])
    def test_malformed_configuration_is_passed_over(
        self, content: bytes
    ) -> None:
        belief = believe(entry('op/config', 5, configuration(version=4)))
        bad = ViewEntry(key='op/config', revision=8, value=content)
        belief.apply(StoreView(revision=8, entries=(bad,)), 1, 1)
        assert belief.configuration is not None
        assert belief.configuration.version == 4
