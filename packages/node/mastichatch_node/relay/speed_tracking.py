"""Follows the speed of engines, shows it, and logs changes."""

from collections.abc import Mapping
from typing import Final

from mastichatch_core.relay.load_control import LoadControl, is_controlled
from mastichatch_core.relay.placement.costs import NOMINAL_SPEED
from mastichatch_core.relay.placement.speeds import (
    EngineSpeeds,
    SpeedReview,
    classify_speed,
)
from mastichatch_node.clock import loop_time
from mastichatch_node.relay.context import RelayContext

# Interval at which former engines are forgotten.
FORGET_INTERVAL_S: Final = 5.0


class SpeedTracker:
    """Measures all engines by the runs of all nodes."""

    def __init__(self, context: RelayContext) -> None:
        """Start without measurements.

        :param context: shared components of the relay
        """
        self._context = context
        self._engines = EngineSpeeds()
        self._reviews: dict[str, SpeedReview] = {}
        self._forgot_at = loop_time()
        if context.controls.engine_speeds is not LoadControl.off:
            context.sharing.table.attach(self._engines)

    def speeds(self, service: str) -> Mapping[str, float]:
        """Return the speeds of the engines that are not nominal, by instance.

        :param service: name of the service
        """
        now = loop_time()
        self._forget_former(now)
        is_used = is_controlled(
            self._context.controls.engine_speeds,
            self._context.belief.configuration,
            service,
        )
        if not is_used:
            return {}
        self._show_review(service, self._engines.review(service, now))
        return self._engines.speeds(service, now)

    def _forget_former(self, now: float) -> None:
        """Forget engines that no longer exist."""
        if now - self._forgot_at >= FORGET_INTERVAL_S:
            self._forgot_at = now
            self._engines.keep_only(self._context.belief.endpoints(now))

    def _show_review(self, service: str, review: SpeedReview) -> None:
        """Show the speeds, and log which engines have become slow or fast."""
        former = self._reviews.get(service)
        if review is former:
            return
        self._reviews[service] = review
        self._context.telemetry.placement.update_speeds(
            review.measured.values()
        )
        before = {} if former is None else former.relative
        for instance in sorted(review.relative.keys() | before.keys()):
            speed = review.relative.get(instance, NOMINAL_SPEED)
            speed_class = classify_speed(speed)
            former_speed = before.get(instance, NOMINAL_SPEED)
            if speed_class is not classify_speed(former_speed):
                self._context.telemetry.log_state_change(
                    'engine_speed_changed',
                    instance=instance,
                    speed_class=speed_class,
                    relative=round(speed, 2),
                )
