"""Tells what connections to an address show of the process behind it.

Load pattern: a program that stops in order closes its listener first, and
serves what it has accepted to its end. A refused connection shows that nobody
listens, and not that the process has ended. The end of a process closes all of
its connections at once, so that one that stays open shows that it lives.
"""

from typing import Final

# Bytes that arrive this long after a refused connection were sent after it.
SIGN_DELAY_S: Final = 0.1


class ProcessSigns:
    """Open connections, refusals and signs of life, by address."""

    def __init__(self) -> None:
        """Start without connections."""
        self._open: dict[str, int] = {}
        self._refused_at: dict[str, float] = {}
        self._serving: set[str] = set()

    def record_connect(self, address: str) -> None:
        """Record that a connection was established: a process listens.

        :param address: IP address and port
        """
        self._open[address] = self._open.get(address, 0) + 1
        self._refused_at.pop(address, None)
        self._serving.discard(address)

    def record_end(self, address: str) -> None:
        """Record that a connection has ended.

        :param address: IP address and port
        """
        left = self._open.get(address, 0) - 1
        if left > 0:
            self._open[address] = left
        else:
            self._open.pop(address, None)

    def record_refusal(self, address: str, now: float) -> None:
        """Record that a connection was refused.

        :param address: IP address and port
        :param now: current time, in seconds
        """
        self._refused_at.setdefault(address, now)

    def record_bytes(self, address: str, now: float) -> None:
        """Record that bytes arrived on an open connection.

        :param address: IP address and port
        :param now: current time, in seconds
        """
        refused_at = self._refused_at.get(address)
        if refused_at is not None and now - refused_at >= SIGN_DELAY_S:
            self._serving.add(address)

    def forget(self, address: str) -> None:
        """Forget what was seen of a process that no longer matters.

        :param address: IP address and port
        """
        self._refused_at.pop(address, None)
        self._serving.discard(address)

    def is_open(self, address: str) -> bool:
        """Return whether a connection to an address is open.

        :param address: IP address and port
        """
        return address in self._open

    def is_serving(self, address: str) -> bool:
        """Return whether a process serves although it refuses connections.

        :param address: IP address and port
        """
        return address in self._serving

    def refuses(self, address: str) -> bool:
        """Return whether the last attempt to connect was refused.

        :param address: IP address and port
        """
        return address in self._refused_at
