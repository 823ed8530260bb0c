"""Tests of rendezvous hashing."""

from hypothesis import given
from hypothesis import strategies as st

from mastichatch_core import rendezvous

NAMES = st.sets(st.text(min_size=1), min_size=2)


class TestRendezvous:
    @given(NAMES, st.text())
    def test_pick_is_first_in_rank_for_any_input_order(
        self, names: set[str], key: str
    ) -> None:
        ranked = rendezvous.ranked(sorted(names), key)
        assert set(ranked) == names
        assert ranked[0] == rendezvous.pick(sorted(names, reverse=True), key)

    @given(NAMES, st.text(), st.data())
    def test_removing_a_name_keeps_the_order_of_the_others(
        self, names: set[str], key: str, data: st.DataObject
    ) -> None:
        removed = data.draw(st.sampled_from(sorted(names)))
        before = rendezvous.ranked(names, key)
        after = rendezvous.ranked(names - {removed}, key)
        assert after == tuple(name for name in before if name != removed)

    def test_keys_spread_over_the_names(self) -> None:
        names = [f'n{index}' for index in range(4)]
        picked = [rendezvous.pick(names, f'key-{i}') for i in range(400)]
        assert all(picked.count(name) > 60 for name in names)
