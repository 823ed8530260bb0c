"""Shows the demonstration to its reader, and keeps what was checked."""

import sys
import textwrap
import time
from typing import Final

WIDTH: Final = 76
_SECTION_MARK: Final = '=='


class Screen:
    """Prints sections, commands and checks; counts the checks that failed."""

    def __init__(self) -> None:
        """Start without checks."""
        self._began = time.monotonic()
        self._checks: list[tuple[bool, str]] = []

    @property
    def has_failures(self) -> bool:
        """Whether a check failed, or none was made."""
        return not self._checks or not all(check[0] for check in self._checks)

    def section(self, title: str, text: str) -> None:
        """Begin a part of the demonstration.

        :param title: what is shown
        :param text: what the reader should know before
        """
        elapsed_s = time.monotonic() - self._began
        self.line('')
        self.line(f'{_SECTION_MARK} {title} [{elapsed_s:.1f} s]')
        self.line(textwrap.fill(text, WIDTH))
        self.line('')

    def command(self, text: str) -> None:
        """Show a command as typed.

        :param text: the command
        """
        self.line(f'$ {text}')

    def line(self, text: str) -> None:
        """Print one line.

        :param text: the line
        """
        self.piece(f'{text}\n')

    def piece(self, text: str) -> None:
        """Print at once, without ending the line.

        :param text: what is printed
        """
        sys.stdout.write(text)
        sys.stdout.flush()

    def check(self, text: str, *, held: bool) -> None:
        """Print and keep whether something held.

        :param text: what should hold
        :param held: whether it did
        """
        self._checks.append((held, text))
        self.line(f'   {_mark(held)} {text}')

    def summary(self) -> None:
        """Print all checks together."""
        elapsed_s = time.monotonic() - self._began
        self.line('')
        self.line(f'{_SECTION_MARK} Summary [{elapsed_s:.1f} s]')
        for held, text in self._checks:
            self.line(f'   {_mark(held)} {text}')
        failed = [check for check in self._checks if not check[0]]
        self.line('')
        self.line(
            f'{len(self._checks) - len(failed)} held, {len(failed)} did not'
        )


def _mark(held: bool) -> str:
    return '[held]' if held else '[DID NOT HOLD]'
