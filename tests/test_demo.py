"""The demonstration runs as a newcomer would run it."""

import subprocess
import sys

from tests.processes import ROOT

TIMEOUT_S = 60


def test_everything_that_it_shows_holds() -> None:
    done = subprocess.run(
        (sys.executable, '-m', 'tools.demo'),
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )
    assert done.returncode == 0, done.stdout + done.stderr
    assert '12 held, 0 did not' in done.stdout
