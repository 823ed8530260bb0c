"""Runs the demonstration; exits 0 where everything held."""

import asyncio
import pathlib
import sys
import tempfile
from typing import Final

import aiohttp

from tools.demo import scenes
from tools.demo.caller import Caller
from tools.demo.fleet import open_fleet
from tools.demo.screen import Screen

CALL_TIMEOUT_S: Final = 20
LOG_LINE_LIMIT: Final = 1000
LOG_LINES: Final = 20


async def run(folder: pathlib.Path, screen: Screen) -> None:
    """Start the fleet and play every scene.

    :param folder: where logs and the manifest are put
    :param screen: where it is shown
    """
    screen.section(
        'Starting on loopback',
        'A platform, two model engines, a plain service (all stand-ins) and '
        'four nodes in two data centres, each a process of its own.',
    )
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
    async with (
        open_fleet(folder) as fleet,
        aiohttp.ClientSession(timeout=timeout) as session,
    ):
        caller = Caller(session)
        await scenes.apply_manifest(fleet, screen)
        await scenes.stream_answer(fleet, screen, caller)
        await scenes.book_twice(fleet, screen, caller)
        await scenes.drain_data_centre(fleet, screen, caller)
        await scenes.kill_node(fleet, screen, caller)


def main() -> int:
    """Run the program and return its exit code."""
    screen = Screen()
    with tempfile.TemporaryDirectory(prefix='mastichatch-demo-') as name:
        folder = pathlib.Path(name)
        try:
            asyncio.run(run(folder, screen))
        except Exception as error:  # noqa: BLE001 - shown as a failed check
            screen.check(f'the demonstration ran: {error!r}', held=False)
        if screen.has_failures:
            _show_logs(folder, screen)
    screen.summary()
    return int(screen.has_failures)


def _show_logs(folder: pathlib.Path, screen: Screen) -> None:
    for path in sorted(folder.glob('*.log')):
        screen.line(f'--- the last lines of {path.name}')
        for line in path.read_text().splitlines()[-LOG_LINES:]:
            screen.line(line[-LOG_LINE_LIMIT:])


if __name__ == '__main__':
    sys.exit(main())
