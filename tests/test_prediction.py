"""Tests of predicted output lengths and of the memory that they need."""

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


def train_model(**lengths: list[int]) -> LengthModel:
    model = LengthModel()
    for workspace, tokens in lengths.items():
        for count in tokens:
            model.note(workspace, STANDARD, count)
    return model


class TestLengths:
    @given(st.lists(TOKENS, max_size=80), TOKENS, TOKENS)
    def test_survival_falls_with_length(
        self, recorded: list[int], first: int, second: int
    ) -> None:
        lengths = train_model(w=recorded).lengths('w', STANDARD)
        short, long = sorted((first, second))
        assert 1 >= survival(lengths, short) >= survival(lengths, long) > 0

    @given(st.lists(TOKENS, min_size=30, max_size=80), TOKENS)
    def test_expected_remaining_tokens_are_positive(
        self, recorded: list[int], output_tokens: int
    ) -> None:
        assert (
            remaining(
                train_model(w=recorded).lengths('w', STANDARD), output_tokens
            )
            > 0
        )

    def test_median_of_recorded_lengths_is_learned(self) -> None:
        generator = random.Random(7)
        recorded = [int(generator.lognormvariate(6, 1)) for _ in range(4000)]
        lengths = train_model(w=recorded).lengths('w', STANDARD)
        median = sorted(recorded)[2000]
        assert survival(lengths, median) == pytest.approx(0.5, abs=0.05)

    def test_new_workspace_uses_the_lengths_of_the_service(self) -> None:
        model = train_model(old=[50] * 30, new=[5000])
        assert model.lengths('new', STANDARD) == model.lengths('x', STANDARD)
        assert remaining(model.lengths('old', STANDARD), 0) < 60

    def test_least_recently_updated_workspaces_are_evicted(self) -> None:
        model = train_model(old=[50] * 30)
        for number in range(SKETCHES_KEPT):
            model.note(f'w{number}', STANDARD, 900)
        assert model.lengths('old', STANDARD) == model.lengths('x', STANDARD)

    def test_default_lengths_apply_without_samples(self) -> None:
        assert LengthModel().lengths('w', STANDARD) == unknown_lengths()


class TestMemory:
    @given(st.lists(st.tuples(TOKENS, TOKENS), max_size=8))
    def test_peak_is_at_least_the_current_memory(
        self, running: list[tuple[int, int]]
    ) -> None:
        lengths = unknown_lengths()
        wanted = [demand(lengths, p, o, 0) for p, o in running]
        used = sum(prompt + output for prompt, output in running)
        assert peak(total(wanted), 0) >= used * 0.999

    def test_max_tokens_bounds_the_peak(self) -> None:
        lengths = unknown_lengths()
        open_ended = peak(total([demand(lengths, 100, 0, 0)]), 2)
        bounded = peak(total([demand(lengths, 100, 0, 50)]), 2)
        assert bounded < 2 * 150 < open_ended

    def test_margin_widens_on_preemptions_and_narrows_without(self) -> None:
        safety = Safety()
        note_preemptions(safety, 0)
        start = safety.deviations
        note_preemptions(safety, 50)
        assert safety.deviations == MOST_DEVIATIONS
        for _ in range(1000):
            note_preemptions(safety, 50)
        assert safety.deviations == start
