"""Lengths are learned per workspace and class, and memory from them."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mastichatch_core.generated.messages import RequestClass
from mastichatch_core.memory import (
    MOST_DEVIATIONS,
    Safety,
    demand,
    note_preemptions,
    peak,
    total,
)
from mastichatch_core.prediction import (
    SKETCHES_KEPT,
    LengthModel,
    remaining,
    survival,
    unknown_lengths,
)

STANDARD = RequestClass.standard
TOKENS = st.integers(1, 20_000)


def learned(**lengths: list[int]) -> LengthModel:
    model = LengthModel()
    for workspace, tokens in lengths.items():
        for count in tokens:
            model.note(workspace, STANDARD, count)
    return model


class TestLengths:
    @given(st.lists(TOKENS, max_size=80), TOKENS, TOKENS)
    def test_survival_falls_with_length(
        self, seen: list[int], one: int, other: int
    ) -> None:
        lengths = learned(w=seen).lengths('w', STANDARD)
        short, long = sorted((one, other))
        assert 1 >= survival(lengths, short) >= survival(lengths, long) > 0

    @given(st.lists(TOKENS, min_size=30, max_size=80), TOKENS)
    def test_something_is_always_still_to_come(
        self, seen: list[int], so_far: int
    ) -> None:
        assert remaining(learned(w=seen).lengths('w', STANDARD), so_far) > 0

    def test_median_of_what_was_seen_is_learned(self) -> None:
        chance = random.Random(7)
        seen = [int(chance.lognormvariate(6, 1)) for _ in range(4000)]
        lengths = learned(w=seen).lengths('w', STANDARD)
        median = sorted(seen)[2000]
        assert survival(lengths, median) == pytest.approx(0.5, abs=0.05)

    def test_a_new_workspace_gets_the_lengths_of_the_service(self) -> None:
        model = learned(old=[50] * 30, new=[5000])
        assert model.lengths('new', STANDARD) == model.lengths('x', STANDARD)
        assert remaining(model.lengths('old', STANDARD), 0) < 60

    def test_workspaces_that_went_quiet_are_forgotten(self) -> None:
        model = learned(old=[50] * 30)
        for number in range(SKETCHES_KEPT):
            model.note(f'w{number}', STANDARD, 900)
        assert model.lengths('old', STANDARD) == model.lengths('x', STANDARD)

    def test_nothing_seen_gives_the_unknown(self) -> None:
        assert LengthModel().lengths('w', STANDARD) == unknown_lengths()


class TestMemory:
    @given(st.lists(st.tuples(TOKENS, TOKENS), max_size=8))
    def test_the_peak_is_at_least_what_is_used_now(
        self, running: list[tuple[int, int]]
    ) -> None:
        lengths = unknown_lengths()
        wanted = [demand(lengths, p, o, 0) for p, o in running]
        used = sum(prompt + output for prompt, output in running)
        assert peak(total(wanted), 0) >= used * 0.999

    def test_a_known_end_bounds_the_peak(self) -> None:
        lengths = unknown_lengths()
        open_ended = peak(total([demand(lengths, 100, 0, 0)]), 2)
        bounded = peak(total([demand(lengths, 100, 0, 50)]), 2)
        assert bounded < 2 * 150 < open_ended

    def test_preemptions_widen_the_safety_and_calm_narrows_it(self) -> None:
        safety = Safety()
        note_preemptions(safety, 0)
        start = safety.deviations
        note_preemptions(safety, 50)
        assert safety.deviations == MOST_DEVIATIONS
        for _ in range(1000):
            note_preemptions(safety, 50)
        assert safety.deviations == start
