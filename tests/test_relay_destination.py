"""Tests of the destinations of runs whose engines are removed together."""

import dataclasses
from collections import Counter

import pytest

from mastichatch_core.generated.messages import Run, RunState
from mastichatch_core.relay.destination import choose_destination
from mastichatch_core.relay.engine_choice import Candidate
from mastichatch_core.relay.model import Endpoint, EndpointState

# Five of about thirty engines are removed together, in three data centres.
ENGINES = 24
LEAVING = 5
DATA_CENTRES = ('north', 'south', 'west')


def _endpoint(number: int) -> Endpoint:
    return Endpoint(
        instance=f'engine-{number}',
        service='llm',
        address=f'10.0.0.{number}:80',
        data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
        slots=24,
        state=EndpointState.ready,
        cold_ms=0,
        started_ms=0,
    )


def _run(request_id: str, copy_at: str) -> Run:
    return Run(
        request_id=request_id,
        service='llm',
        state=RunState.running,
        rank=0,
        endpoint='leaving',
        prompt_tokens=3000,
        output_tokens=200,
        expected_tokens=700,
        copy_at=copy_at,
    )


ENDPOINTS = {one.instance: one for one in map(_endpoint, range(ENGINES))}


def _candidates(shares: dict[str, float]) -> list[Candidate]:
    return [
        Candidate(instance=name, cost=0, memory_share=share)
        for name, share in shares.items()
    ]


def _shares(seed: int) -> dict[str, float]:
    return {
        name: 0.3 + 0.02 * ((number * 7 + seed) % 20)
        for number, name in enumerate(ENDPOINTS)
    }


class TestSimultaneousRemoval:
    @pytest.mark.parametrize('seed', range(20))
    def test_sequential_choices_differ(self, seed: int) -> None:
        runs: list[Run] = []
        for number in range(LEAVING):
            run = _run(f'run-{number}', '')
            chosen = choose_destination(
                _candidates(_shares(seed)), ENDPOINTS, runs, run, 'north'
            )
            runs.append(dataclasses.replace(run, copy_at=chosen))
        assert max(Counter(run.copy_at for run in runs).values()) == 1

    @pytest.mark.parametrize('seed', range(20))
    def test_concurrent_choices_differ(self, seed: int) -> None:
        """Guards against concurrent moves to the emptiest engine.

        Nodes that choose in the same millisecond do not know each other's
        choice; three runs once moved to the emptiest engine together.
        """
        shares = _shares(seed) | {'engine-3': 0.15, 'engine-6': 0.2}
        runs = [
            dataclasses.replace(
                _run(f'run-{number}', ''), endpoint=f'leaving-{number}'
            )
            for number in range(LEAVING)
        ]
        chosen = Counter(
            choose_destination(
                _candidates(shares), ENDPOINTS, runs, run, 'north'
            )
            for run in runs
        )
        assert max(chosen.values()) == 1

    def test_local_engine_is_preferred(self) -> None:
        shares = {name: 0.5 for name in ENDPOINTS}
        chosen = choose_destination(
            _candidates(shares), ENDPOINTS, (), _run('run', ''), 'south'
        )
        assert ENDPOINTS[chosen].data_centre == 'south'

    def test_own_copy_adds_no_cost(self) -> None:
        shares = {'engine-0': 0.1, 'engine-3': 0.9}
        chosen = choose_destination(
            _candidates(shares),
            ENDPOINTS,
            (_run('run', 'engine-0'),),
            _run('run', 'engine-0'),
            'north',
        )
        assert chosen == 'engine-0'

    def test_only_engine_is_chosen_even_with_a_busy_link(self) -> None:
        chosen = choose_destination(
            _candidates({'engine-0': 0.5}),
            ENDPOINTS,
            (_run('other', 'engine-0'),),
            _run('run', ''),
            'south',
        )
        assert chosen == 'engine-0'
