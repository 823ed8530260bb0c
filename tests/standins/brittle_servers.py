"""Stand-ins of plain servers that fall over when they reject requests."""

import asyncio
import collections
import dataclasses
import time

from tests.standins.house_endpoints import (
    HouseEndpoint,
    ReceivedRequest,
    Script,
    refuse,
    respond_after,
)
from tests.standins.house_store import HouseStore

USUAL_ROOM = 12
WINDOW_S = 1.0
# Time for which a server that fell stays away, and time after which its entry
# expires.
AWAY_S = 3.0
EXPIRY_S = 1.5


@dataclasses.dataclass
class BrittleServer:
    """A server that may fall over, and comes back.

    It works on ``slots`` requests at a time, and queues ``room`` more.
    If it ``is_fragile`` and has to reject more requests in a second than
    ``brittle`` says, it falls. ``taken`` requests of other callers use slots.
    """

    endpoint: HouseEndpoint
    store: HouseStore | None = None
    service: str = 'app'
    work: Script = respond_after(0.3)
    room: int = USUAL_ROOM
    taken: int = 0
    brittle: str | None = None
    is_fragile: bool = False
    keeps_id: bool = False
    rejections: int = 0
    falls: list[float] = dataclasses.field(default_factory=list)
    returns: list[float] = dataclasses.field(default_factory=list)
    running: int = 0
    peak: int = 0
    _rejected_at: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )
    _waiting: collections.deque[asyncio.Future[None]] = dataclasses.field(
        default_factory=collections.deque
    )
    _tasks: set[asyncio.Task[None]] = dataclasses.field(default_factory=set)

    def __post_init__(self) -> None:
        self.endpoint.script = self.respond

    def turn_brittle(self, brittle: str | None) -> None:
        """Name a number of rejections, or none, in all answers."""
        self.brittle = brittle
        self.endpoint.said_headers = (
            '' if brittle is None else f'Server-Brittle: {brittle}\r\n'
        )

    async def respond(
        self,
        endpoint: HouseEndpoint,
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Work on a request, queue it first or reject it."""
        if self._is_full() and len(self._waiting) >= self.room:
            self._reject()
            await refuse(endpoint, request, writer)
            return
        while self._is_full():
            turn = asyncio.get_running_loop().create_future()
            self._waiting.append(turn)
            try:
                await turn
            except asyncio.CancelledError:
                if turn in self._waiting:
                    self._waiting.remove(turn)
                else:
                    self._wake()
                raise
        self.running += 1
        self.peak = max(self.peak, self.running)
        try:
            await self.work(endpoint, request, writer)
        finally:
            self.running -= 1
            self._wake()

    async def fall(self) -> None:
        """Crash, and come back as a new process."""
        endpoint = self.endpoint
        former = endpoint.instance
        endpoint.crash()
        self._rejected_at.clear()
        await asyncio.sleep(EXPIRY_S)
        if self.store is not None:
            await self.store.remove(f'servers/{former}')
        await asyncio.sleep(AWAY_S - EXPIRY_S)
        await endpoint.restart(keeps_id=self.keeps_id)
        self.returns.append(time.monotonic())
        if self.store is not None:
            await self.store.put(
                f'servers/{endpoint.instance}',
                endpoint.entry(self.service, 'north'),
            )

    def _is_full(self) -> bool:
        return self.running + self.taken >= self.endpoint.slots

    def _wake(self) -> None:
        if self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)

    def _reject(self) -> None:
        now = time.monotonic()
        self.rejections += 1
        self._rejected_at.append(now)
        while self._rejected_at[0] < now - WINDOW_S:
            self._rejected_at.popleft()
        limit = _number(self.brittle)
        is_up = len(self.falls) == len(self.returns)
        if (
            self.is_fragile
            and is_up
            and limit is not None
            and len(self._rejected_at) > limit
        ):
            self.falls.append(now)
            task = asyncio.get_running_loop().create_task(self.fall())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)


def _number(text: str | None) -> float | None:
    try:
        return None if text is None else float(text)
    except ValueError:
        return None
