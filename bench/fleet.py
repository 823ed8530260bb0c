"""The stand-in engines of one run, with their failures."""

import dataclasses
from collections.abc import Callable, Iterable
from typing import Final

from bench.events import Events
from mastichatch_core.generated.messages import EndpointObservation
from tests.standins.engine_model import (
    EngineModel,
    EngineParameters,
    TokenEvent,
)

ENGINE: Final = EngineParameters(memory_tokens=32768)
WARM_SINCE_S: Final = -20.0
RESTART_S: Final = 10.0


@dataclasses.dataclass(slots=True)
class Engine:
    """One engine through its restarts.

    :param name: name of the endpoint
    :param model: the running engine; ``None`` while it is down
    :param boot: number of its start
    :param next_at: end of the step in progress, in seconds
    :param preemptions: those of its earlier starts
    """

    name: str
    model: EngineModel | None
    boot: int = 1
    next_at: float | None = None
    preemptions: int = 0

    @property
    def boot_id(self) -> str:
        """Incarnation, as the engine reports it."""
        return f'{self.name}.{self.boot}'


class Fleet:
    """All engines."""

    def __init__(
        self,
        events: Events,
        names: Iterable[str],
        on_token: Callable[[TokenEvent], None],
        on_down: Callable[[str], None],
    ) -> None:
        """Start with warm engines.

        :param events: virtual time
        :param names: names of the endpoints
        :param on_token: takes each token
        :param on_down: takes the name of an engine that lost everything
        """
        self._events = events
        self._on_token = on_token
        self._on_down = on_down
        self._falls = 0
        self._engines = {
            name: Engine(name, EngineModel(ENGINE, WARM_SINCE_S))
            for name in names
        }

    @property
    def events(self) -> Events:
        """Virtual time."""
        return self._events

    @property
    def falls(self) -> int:
        """Number of engines that fell over while cold."""
        return self._falls

    @property
    def preemptions(self) -> int:
        """Number of preemptions by all engines."""
        models = [one.model for one in self._engines.values() if one.model]
        earlier = sum(one.preemptions for one in self._engines.values())
        return earlier + sum(model.preemptions for model in models)

    def get(self, name: str) -> Engine:
        """Return an engine.

        :param name: name of the endpoint
        """
        return self._engines[name]

    def report(self, name: str) -> EndpointObservation:
        """Return what a node sees of an engine.

        :param name: name of the endpoint
        """
        engine = self._engines[name]
        if engine.model is None:
            return EndpointObservation(
                endpoint=name, boot_id='', reachable=False
            )
        seen = engine.model.report(self._events.now)
        return EndpointObservation(
            endpoint=name,
            boot_id=engine.boot_id,
            running=seen.running,
            waiting=seen.waiting,
            memory_used=seen.memory_used,
            preemptions=seen.preemptions,
            age_ms=seen.age_ms,
        )

    def kill(self, name: str) -> None:
        """End an engine at once; it starts again, cold, a little later.

        :param name: name of the endpoint
        """
        engine = self._engines[name]
        if engine.model is None:
            return
        engine.preemptions += engine.model.preemptions
        engine.model = None
        engine.next_at = None
        self._on_down(name)
        restart_at = self._events.now + RESTART_S
        self._events.at(restart_at, lambda: self._restart(engine))

    def turn_cold(self, name: str) -> None:
        """Let an engine turn cold without a restart.

        :param name: name of the endpoint
        """
        model = self._engines[name].model
        if model is not None:
            model.turn_cold(self._events.now)

    def schedule(self, engine: Engine) -> None:
        """Run the engine's next step when it ends.

        :param engine: an engine that was given work
        """
        model = engine.model
        if model is None:
            return
        if model.fallen:
            self._falls += 1
            self.kill(engine.name)
            return
        ends_at = model.next_event_at
        if ends_at is not None and ends_at != engine.next_at:
            engine.next_at = ends_at
            self._events.at(ends_at, lambda: self._step(engine, model))

    def _step(self, engine: Engine, model: EngineModel) -> None:
        if engine.model is not model:
            return
        for event in model.advance(self._events.now):
            self._on_token(event)
        self.schedule(engine)

    def _restart(self, engine: Engine) -> None:
        engine.model = EngineModel(ENGINE, self._events.now)
        engine.boot += 1
