"""Outgoing connections to other nodes, one Push0 socket for each address."""

import asyncio
import dataclasses
from typing import Final

import pynng
from absl import logging

SEND_BUFFER_MESSAGES: Final = 512
RECONNECT_MIN_MS: Final = 50
RECONNECT_MAX_MS: Final = 500


@dataclasses.dataclass(slots=True, kw_only=True)
class _Connection:
    socket: pynng.Push0
    used_at: float


class Connections:
    """Open sockets by address."""

    def __init__(self) -> None:
        """Create the table without connections."""
        self._connections: dict[str, _Connection] = {}
        self._loop = asyncio.get_running_loop()

    def transmit(self, address: str, frame: bytes) -> bool:
        """Queue a frame for sending, or drop it if it cannot be queued at once.

        :param address: IP address and port of the receiver
        :param frame: one encoded envelope
        :returns: whether the frame was queued
        """
        try:
            self._connect(address).send(frame, block=False)
        except pynng.TryAgain:
            return False
        except pynng.NNGException as error:
            logging.warning('sending to %s failed: %s', address, error)
            return False
        return True

    def reset(self, address: str) -> bool:
        """Close a connection and discard its queued frames.

        :param address: IP address and port of the receiver
        :returns: whether there was a connection
        """
        connection = self._connections.pop(address, None)
        if connection is None:
            return False
        connection.socket.close()
        return True

    def close_unused_since(self, oldest: float) -> None:
        """Close the connections that have not been used since a given time.

        :param oldest: loop time, in seconds
        """
        for address, connection in tuple(self._connections.items()):
            if connection.used_at < oldest:
                self.reset(address)

    def close(self) -> None:
        """Close all connections."""
        for address in tuple(self._connections):
            self.reset(address)

    def _connect(self, address: str) -> pynng.Push0:
        connection = self._connections.get(address)
        if connection is None:
            connection = _Connection(socket=_dial(address), used_at=0)
            self._connections[address] = connection
        connection.used_at = self._loop.time()
        return connection.socket


def _dial(address: str) -> pynng.Push0:
    socket = pynng.Push0(
        send_buffer_size=SEND_BUFFER_MESSAGES,
        reconnect_time_min=RECONNECT_MIN_MS,
        reconnect_time_max=RECONNECT_MAX_MS,
    )
    socket.dial(f'tcp://{address}', block=False)
    return socket
