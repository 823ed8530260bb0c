"""Tells what connections to an address show of the process behind it.

Load pattern: a program that stops in order closes its listener first, and
serves what it has accepted to its end. A refused connection shows that nobody
listens, and not that the process has ended. The end of a process closes all of
its connections at once, so that one that stays open shows that it lives.
"""

import dataclasses
from collections.abc import Callable, Container, Mapping
from typing import Final

# Bytes that arrive this long after a refused connection were sent after it.
SIGN_DELAY_S: Final = 0.1
# Answers are read within this time after their connection has ended.
UNREAD_LIMIT_S: Final = 1.0


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class OpenConnection:
    """An open connection.

    :param address: IP address and port of the peer
    :param is_reading: returns whether its end would be noticed, as it would not
        while nothing is read
    """

    address: str
    is_reading: Callable[[], bool]


class ProcessSigns:
    """Open connections, refusals and signs of life, by address."""

    def __init__(self) -> None:
        """Start without connections."""
        self._open: dict[str, set[OpenConnection]] = {}
        self._refused_at: dict[str, float] = {}
        self._serving: set[str] = set()
        self._instances: dict[str, str] = {}
        self._former: dict[str, frozenset[OpenConnection]] = {}
        self._former_ended_at: dict[str, float] = {}
        self._reached_since: Callable[[float], bool] = _assume_reached

    def attach_contact(self, reached_since: Callable[[float], bool]) -> None:
        """Distrust refusals until another process was reached.

        A network that is cut may refuse connections in place of all processes.

        :param reached_since: returns whether one was reached since a time, in
            seconds
        """
        self._reached_since = reached_since

    def record_connect(self, connection: OpenConnection) -> None:
        """Record that a connection was established: a process listens.

        :param connection: the connection
        """
        address = connection.address
        self._open.setdefault(address, set()).add(connection)
        self._refused_at.pop(address, None)
        self._serving.discard(address)

    def record_end(self, connection: OpenConnection) -> None:
        """Record that a connection has ended.

        :param connection: the connection
        """
        known = self._open.get(connection.address, set())
        known.discard(connection)
        if not known:
            self._open.pop(connection.address, None)

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

    def record_processes(self, instances: Mapping[str, str]) -> None:
        """Record which processes are registered.

        :param instances: instance ids by IP address and port
        """
        for address, instance in instances.items():
            if self._instances.setdefault(address, instance) == instance:
                continue
            self._instances[address] = instance
            self._former[address] = frozenset(self._open.get(address, ()))
            self._former_ended_at.pop(address, None)

    def review_former(self, now: float) -> None:
        """Forget former processes to which no connection is left.

        :param now: current time, in seconds
        """
        for address in tuple(self._former):
            if self._former[address] & self._open.get(address, frozenset()):
                continue
            ended_at = self._former_ended_at.setdefault(address, now)
            if now - ended_at >= UNREAD_LIMIT_S:
                self._former.pop(address)
                self._former_ended_at.pop(address)

    def may_be_former(
        self, address: str, connection: OpenConnection | None = None
    ) -> bool:
        """Return whether an answer may be that of a former process.

        A process that stops in order answers on its connections to the end,
        while the next one listens at its address, and may answer as well.

        :param address: IP address and port
        :param connection: the connection on which the answer came, if known
        """
        former = self._former.get(address)
        if former is None:
            return False
        return connection is None or connection in former

    def forget_refusals(self) -> None:
        """Forget all refused connections, which others than hosts refused."""
        self._refused_at.clear()
        self._serving.clear()

    def keep_only(self, addresses: Container[str]) -> None:
        """Forget all other processes to which no connection is open.

        :param addresses: IP addresses and ports to keep
        """
        for address in tuple(self._refused_at):
            if address not in addresses and address not in self._open:
                self._refused_at.pop(address)
                self._serving.discard(address)
        for address in tuple(self._instances):
            if address not in addresses and address not in self._open:
                self._instances.pop(address)

    def is_open(self, address: str) -> bool:
        """Return whether a connection to an address is known to be open.

        :param address: IP address and port
        """
        return any(one.is_reading() for one in self._open.get(address, ()))

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

    def has_ended(self, address: str) -> bool:
        """Return whether a process that has closed a connection has ended.

        It has if connections are refused, though other processes are reached,
        and none is left that its end would have closed as well.

        :param address: IP address and port
        """
        return (
            self.refuses(address)
            and not self.is_serving(address)
            and not self.is_open(address)
            and self._reached_since(self._refused_at[address])
        )


def _assume_reached(_: float) -> bool:
    """Return that another process was reached."""
    return True
