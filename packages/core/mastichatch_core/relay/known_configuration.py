"""Keeps the newest configuration, which a restored store may lack."""

from collections.abc import Callable
from typing import Final

from mastichatch_core.relay.model import Configuration

NO_VERSION: Final = -1


class KnownConfiguration:
    """The configuration with the highest version so far."""

    def __init__(self, decode: Callable[[bytes], Configuration]) -> None:
        """Start without a configuration.

        :param decode: decodes a configuration
        """
        self._decode = decode
        self._current: Configuration | None = None
        self._content = b''

    @property
    def current(self) -> Configuration | None:
        """The configuration; ``None`` before the first was received."""
        return self._current

    @property
    def version(self) -> int:
        """Its version; -1 before the first was received."""
        return NO_VERSION if self._current is None else self._current.version

    @property
    def content(self) -> bytes:
        """The configuration as the operator wrote it."""
        return self._content

    def record_stored(self, content: bytes) -> None:
        """Record the configuration that the store has.

        :param content: its encoded form
        :raises MalformedError: if it cannot be decoded
        """
        self._replace(self._decode(content), content)

    def record_kept(self, content: bytes) -> bool:
        """Record the configuration that another node has kept.

        :param content: its encoded form
        :returns: whether it is later than that of the store
        :raises MalformedError: if it cannot be decoded
        """
        return self._replace(self._decode(content), content)

    def _replace(self, found: Configuration, content: bytes) -> bool:
        current = self._current
        if current is not None and found.version <= current.version:
            return False
        self._current = found
        self._content = content
        return True
