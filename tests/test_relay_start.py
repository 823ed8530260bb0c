"""Tests of signals to a relay process that is starting."""

import itertools
import subprocess
import sys
from typing import Final

from tests.processes import free_address

MOST_LINES: Final = 20
# Sends itself SIGHUP once it imports a library.
START: Final = """
import os, signal, sys

class Finder:
    def find_spec(self, name, path=None, target=None):
        if name == 'msgspec':
            os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, Finder())
sys.path.insert(0, 'platform')
from mastichatch_platform.__main__ import main
sys.exit(main())
"""


class TestReloadSignal:
    """Guards against processes that end by SIGHUP while they start."""

    def test_it_does_not_end_a_process_that_imports_its_modules(self) -> None:
        flags = [
            word
            for name in ('callers', 'ready', 'peers', 'metrics', 'store')
            for word in (f'--{name}-address', free_address())
        ]
        command = [sys.executable, '-c', START, *flags]
        command.extend(('--name', 'north-1', '--data-centre', 'north'))
        with subprocess.Popen(
            command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT
        ) as process:
            assert process.stdout is not None
            try:
                lines = itertools.islice(process.stdout, MOST_LINES)
                assert any(b'"started"' in line for line in lines)
            finally:
                process.kill()
