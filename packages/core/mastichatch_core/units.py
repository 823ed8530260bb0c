"""Conversion factors between units of time."""

from typing import Final

MS_PER_S: Final = 1000
