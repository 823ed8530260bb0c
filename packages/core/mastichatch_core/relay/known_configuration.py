"""Keeps the newest configuration, which a restored store may lack."""

from collections.abc import Callable

from mastichatch_core.relay.model import Configuration


class KnownConfiguration:
    """The configuration with the highest version so far."""

    def __init__(self, decode: Callable[[bytes], Configuration]) -> None:
        """Start without a configuration.

        :param decode: decodes a configuration
        """
        self._decode = decode
        self._current: Configuration | None = None
        self._content = b''
        self._is_store_older = False

    @property
    def current(self) -> Configuration | None:
        """The configuration; ``None`` before the first was received."""
        return self._current

    @property
    def content(self) -> bytes:
        """The configuration as the operator wrote it."""
        return self._content

    @property
    def is_store_older(self) -> bool:
        """Whether the store has an older one since it was restored."""
        return self._is_store_older

    def record_stored(self, content: bytes) -> None:
        """Record the configuration that the store has.

        :param content: its encoded form
        :raises MalformedError: if it cannot be decoded
        """
        found = self._decode(content)
        self._replace(found, content)
        newest = self._current or found
        self._is_store_older = found.version < newest.version

    def record_kept(self, content: bytes) -> bool:
        """Record the configuration that another node has kept.

        :param content: its encoded form
        :returns: whether it is later than that of the store
        :raises MalformedError: if it cannot be decoded
        """
        is_later = self._replace(self._decode(content), content)
        self._is_store_older = self._is_store_older or is_later
        return is_later

    def _replace(self, found: Configuration, content: bytes) -> bool:
        current = self._current
        if current is not None and found.version <= current.version:
            return False
        self._current = found
        self._content = content
        return True
