"""Tests that each log line is one JSON object."""

import json
import subprocess
import sys

SCRIPT = """
import logging as standard
from absl import logging
from mastichatch_node.logs import set_up_logging
set_up_logging('n1', 'info')
logging.info('started', extra={'revision': 7})
logging.debug('hidden')
standard.getLogger('library').warning(
    'slow %s', 'call', extra={'color_message': 'slow'})
try:
    1 / 0
except ZeroDivisionError:
    logging.exception('failed')
"""


def test_lines_are_json_with_time_level_node_and_event() -> None:
    completed = subprocess.run(
        (sys.executable, '-c', SCRIPT), capture_output=True, check=True
    )
    assert completed.stdout == b''
    lines = [json.loads(line) for line in completed.stderr.splitlines()]
    assert [line['event'] for line in lines] == [
        'started',
        'slow call',
        'failed',
    ]
    assert [line['level'] for line in lines] == ['INFO', 'WARNING', 'ERROR']
    assert lines[0]['revision'] == 7
    assert 'color_message' not in lines[1]
    assert 'ZeroDivisionError' in lines[2]['exc_info']
    assert all(line['node'] == 'n1' and line['time'] for line in lines)
