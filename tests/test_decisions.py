"""Tests that decisions are logged and that the latest are kept."""

import json
import logging
import pathlib
import re

import pytest
from absl import logging as absl_logging
from hypothesis import given, strategies

from mastichatch_core.generated.messages import CandidateScore
from mastichatch_node.decisions import create_decision_log
from mastichatch_node.logs import create_formatter

ROOT = pathlib.Path(__file__).resolve().parent.parent


@given(
    limit=strategies.integers(1, 8),
    request_ids=strategies.lists(strategies.sampled_from('abc')),
)
def test_keeps_exactly_the_newest_decisions(
    limit: int, request_ids: list[str]
) -> None:
    log = create_decision_log('n1', limit)
    for number, request_id in enumerate(request_ids):
        log.note('placed', request_id, choice=str(number))
    newest = list(enumerate(request_ids))[-limit:]
    for request_id in 'abc':
        kept = [decision.choice for decision in log.of(request_id)]
        assert kept == [str(at) for at, of in newest if of == request_id]


def test_logs_one_line_with_all_candidates(
    caplog: pytest.LogCaptureFixture,
) -> None:
    absl_logging.set_verbosity(absl_logging.INFO)
    candidate = CandidateScore(endpoint='e1', score=0.5, reason='cold')
    with caplog.at_level(logging.INFO, logger='absl'):
        create_decision_log('n1', 8).note(
            'placed', 'r1', choice='e1', term=3, candidates=(candidate,)
        )
    (record,) = caplog.records
    line = json.loads(create_formatter('n1').format(record))
    assert line.pop('time')
    assert line == {
        'level': 'INFO',
        'event': 'placed',
        'node': 'n1',
        'request_id': 'r1',
        'choice': 'e1',
        'reason': '',
        'term': 3,
        'revision': 0,
        'candidates': [{'endpoint': 'e1', 'score': 0.5, 'reason': 'cold'}],
    }


def test_every_decision_in_the_code_is_documented() -> None:
    call = re.compile(r"\.note\(\s*'([a-z_]+)',")
    noted = {
        event
        for source in (ROOT / 'packages').rglob('*.py')
        for event in call.findall(source.read_text())
    }
    page = (ROOT / 'docs/OPERATING.md').read_text()
    assert noted
    assert [event for event in sorted(noted) if f'`{event}`' not in page] == []
