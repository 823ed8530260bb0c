"""Tests of predicted output lengths and of the memory that they need."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mastichatch_core.generated.messages import RequestClass
from mastichatch_core.memory import (
    MAX_DEVIATIONS,
    MemoryMargin,
    predict_demand,
    predict_peak,
    record_preemptions,
    sum_demands,
)
from mastichatch_core.prediction import (
    MAX_SKETCHES,
    LengthModel,
    expected_remaining,
    survival,
    default_lengths,
)

STANDARD = RequestClass.standard
TOKENS = st.integers(1, 20_000)


def train_model(**lengths: list[int]) -> LengthModel:
    model = LengthModel()
    for workspace, tokens in lengths.items():
        for count in tokens:
            model.record(workspace, STANDARD, count)
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
            expected_remaining(
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
        assert expected_remaining(model.lengths('old', STANDARD), 0) < 60

    def test_least_recently_updated_workspaces_are_evicted(self) -> None:
        model = train_model(old=[50] * 30)
        for number in range(MAX_SKETCHES):
            model.record(f'w{number}', STANDARD, 900)
        assert model.lengths('old', STANDARD) == model.lengths('x', STANDARD)

    def test_default_lengths_apply_without_samples(self) -> None:
        assert LengthModel().lengths('w', STANDARD) == default_lengths()


class TestMemory:
    @given(st.lists(st.tuples(TOKENS, TOKENS), max_size=8))
    def test_peak_is_at_least_the_current_memory(
        self, running: list[tuple[int, int]]
    ) -> None:
        lengths = default_lengths()
        demands = [predict_demand(lengths, p, o, 0) for p, o in running]
        used = sum(prompt + output for prompt, output in running)
        assert predict_peak(sum_demands(demands), 0) >= used * 0.999

    def test_max_tokens_bounds_the_peak(self) -> None:
        lengths = default_lengths()
        open_ended = predict_peak(
            sum_demands([predict_demand(lengths, 100, 0, 0)]), 2
        )
        bounded = predict_peak(
            sum_demands([predict_demand(lengths, 100, 0, 50)]), 2
        )
        assert bounded < 2 * 150 < open_ended

    def test_margin_widens_on_preemptions_and_narrows_without(self) -> None:
        margin = MemoryMargin()
        record_preemptions(margin, 0)
        start = margin.deviations
        record_preemptions(margin, 50)
        assert margin.deviations == MAX_DEVIATIONS
        for _ in range(1000):
            record_preemptions(margin, 50)
        assert margin.deviations == start
