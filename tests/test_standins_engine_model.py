"""Tests of the engine model."""

from collections.abc import Mapping

import hypothesis
from hypothesis import strategies

from tests.standins.engine_model import (
    EngineModel,
    EngineParameters,
    TokenEvent,
)

WARM = EngineParameters(cold_ms=0)


def run(model: EngineModel) -> list[TokenEvent]:
    """Return all tokens until the engine is idle."""
    events: list[TokenEvent] = []
    while model.next_event_at is not None:
        events.extend(model.advance(model.next_event_at))
    return events


def submit(
    model: EngineModel, name: str, tokens: int, priority: int = 0
) -> None:
    """Submit a generation with a prompt of ten tokens at time 0."""
    assert model.submit(
        name, prompt_tokens=10, output_tokens=tokens, now=0, priority=priority
    )


class TestTokens:
    """Every token, in order, whatever is preempted."""

    @hypothesis.given(
        lengths=strategies.dictionaries(
            strategies.text('abcdef', min_size=1, max_size=2),
            strategies.integers(1, 60),
            min_size=1,
            max_size=12,
        ),
        memory=strategies.integers(80, 300),
    )
    def test_each_generation_is_whole_and_memory_is_kept(
        self, lengths: Mapping[str, int], memory: int
    ) -> None:
        model = EngineModel(
            EngineParameters(cold_ms=0, memory_tokens=memory), 0
        )
        for name, length in lengths.items():
            submit(model, name, length)
        seen: dict[str, list[int]] = {}
        while model.next_event_at is not None:
            for event in model.advance(model.next_event_at):
                seen.setdefault(event.generation, []).append(event.index)
            assert 0 <= model.memory_used <= memory
        assert seen == {
            name: list(range(length)) for name, length in lengths.items()
        }

    def test_step_grows_with_the_batch(self) -> None:
        alone, crowded = EngineModel(WARM, 0), EngineModel(WARM, 0)
        submit(alone, 'a', 50)
        for name in 'abcdefgh':
            submit(crowded, name, 50)
        assert run(crowded)[-1].at > run(alone)[-1].at * 1.1


class TestPreemption:
    """Full memory."""

    def test_least_urgent_is_preempted_and_finishes_last(self) -> None:
        model = EngineModel(EngineParameters(cold_ms=0, memory_tokens=100), 0)
        submit(model, 'late', 60, priority=1)
        submit(model, 'urgent', 60, priority=0)
        events = run(model)
        assert model.preemptions > 0
        assert [event.generation for event in events if event.finished] == [
            'urgent',
            'late',
        ]

    def test_cancelled_generation_frees_its_memory(self) -> None:
        model = EngineModel(WARM, 0)
        submit(model, 'a', 50)
        assert model.cancel('a')
        assert model.memory_used == 0
        assert not run(model)


class TestCold:
    """Cold start."""

    def test_cold_engine_falls_over_its_limit(self) -> None:
        model = EngineModel(EngineParameters(cold_limit=2), 0)
        for name in 'abc':
            submit(model, name, 50)
        run(model)
        assert model.fallen

    def test_warm_engine_bears_the_same_load(self) -> None:
        model = EngineModel(EngineParameters(cold_limit=2, cold_ms=100), 0)
        model.advance(0.2)
        for name in 'abc':
            assert model.submit(
                name, prompt_tokens=10, output_tokens=5, now=0.2
            )
        assert len(run(model)) == 15


class TestReports:
    """What the engine tells of itself."""

    def test_report_lags(self) -> None:
        model = EngineModel(WARM, 0)
        submit(model, 'a', 500)
        model.advance(0.4)
        assert model.report(0.4).running == 0
        model.advance(1.1)
        assert model.report(1.1).running == 1
        assert model.report(1.1).age_ms >= 500

    def test_cache_events_are_late_and_have_gaps(self) -> None:
        model = EngineModel(WARM, 0)
        for number in range(8):
            model.submit(
                str(number),
                prompt_tokens=100,
                output_tokens=1,
                prefix_hash=str(number),
                prefix_tokens=90,
                now=0,
            )
        ended_at = run(model)[-1].at
        assert not model.cache_events(0, ended_at)
        later = model.cache_events(0, ended_at + 1)
        assert [event.sequence for event in later] == [1, 2, 3, 4, 5, 6, 8]
