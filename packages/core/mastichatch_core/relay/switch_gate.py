"""Decides how runs with a copy may leave an engine.

Load pattern: an engine leaves with dozens of runs, and some engines neither
drop a run whose connection closes nor obey an order to stop in time, or accept
no connection over which an order could reach them. One run switches to its copy
first, and shows which kind of engine it is.
"""

import dataclasses
from collections.abc import Container
from enum import StrEnum
from typing import Final

# An engine that has refused a connection is not asked again for this time.
REFUSAL_DELAY_S: Final = 1.0
# The first switch has proved its engine stopped by then, or has been given up.
TRIAL_LIMIT_S: Final = 1.0


class Leaving(StrEnum):
    """How a run may leave its engine.

    ``switch``: it resumes from its copy while its engine goes on with it.
    ``move``: its engine stops first. ``wait``: it stays for now.
    """

    switch = 'switch'
    move = 'move'
    wait = 'wait'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _EngineTrial:
    """What is known of one engine; times in seconds."""

    stops_in_time: bool | None = None
    tried_at: float | None = None
    refused_at: float | None = None


class SwitchGate:
    """What switches of runs have shown of their engines, by instance."""

    def __init__(self) -> None:
        """Start without engines."""
        self._trials: dict[str, _EngineTrial] = {}

    def judge(self, instance: str, now: float) -> Leaving:
        """Return how a run may leave an engine.

        :param instance: the engine
        :param now: current time, in seconds
        """
        if self.is_refusing(instance, now):
            return Leaving.wait
        trial = self._trials.get(instance, _EngineTrial())
        if trial.stops_in_time is not None:
            return Leaving.switch if trial.stops_in_time else Leaving.move
        if _is_recent(trial.tried_at, now, TRIAL_LIMIT_S):
            return Leaving.wait
        return Leaving.switch

    def is_refusing(self, instance: str, now: float) -> bool:
        """Return whether an engine has refused a connection a moment ago.

        :param instance: the engine
        :param now: current time, in seconds
        """
        trial = self._trials.get(instance, _EngineTrial())
        return _is_recent(trial.refused_at, now, REFUSAL_DELAY_S)

    def record_switch(self, instance: str, now: float) -> None:
        """Record that a run has begun to switch to its copy.

        :param instance: the engine that it leaves
        :param now: current time, in seconds
        """
        self._update(instance, tried_at=now)

    def record_proof(self, instance: str, *, is_in_time: bool) -> None:
        """Record whether an engine has proved in time that a run has stopped.

        :param instance: the engine
        :param is_in_time: whether it has
        """
        self._update(instance, stops_in_time=is_in_time)

    def record_end(self, instance: str) -> None:
        """Record that a switch has ended without showing anything.

        :param instance: the engine
        """
        self._update(instance, tried_at=None)

    def record_refusal(self, instance: str, now: float) -> None:
        """Record that an engine has accepted no connection.

        :param instance: the engine
        :param now: current time, in seconds
        """
        self._update(instance, refused_at=now, tried_at=None)

    def keep_only(self, instances: Container[str]) -> None:
        """Forget all other engines.

        :param instances: the engines to keep
        """
        self._trials = {
            instance: trial
            for instance, trial in self._trials.items()
            if instance in instances
        }

    def _update(self, instance: str, **changes: float | bool | None) -> None:
        trial = self._trials.get(instance, _EngineTrial())
        self._trials[instance] = dataclasses.replace(
            trial,
            **changes,  # type: ignore[arg-type]
        )


def _is_recent(at: float | None, now: float, limit_s: float) -> bool:
    return at is not None and now - at < limit_s
