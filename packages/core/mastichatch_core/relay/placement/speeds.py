"""Measures the speed of engines by the prompts that they read.

Every node hears when a run of any node is placed on an engine, and when its
first event comes. That is enough to measure all engines without any message:
an engine has read the prompts of the runs with a first event in the time in
which it had some to read. In what order it reads them does not matter.

Load pattern: a third of the engines need more than twice the time of the
others, so that short requests wait there behind prompts of several thousand
tokens. Besides, any engine may be slow for less than a second, which must not
count as its speed, or answer nothing for a while. Where all engines are alike,
all of them count as nominal, however loaded they are.
"""

import collections
import dataclasses
import math
import statistics
from collections.abc import Collection, Iterable, Mapping
from enum import StrEnum
from typing import Final

from mastichatch_core.generated.messages import Run, RunState
from mastichatch_core.relay.endpoint_outcomes import FleetOutcomes
from mastichatch_core.relay.placement.costs import NOMINAL_SPEED
from mastichatch_core.units import MS_PER_S

# Expected time for a prompt: the rate of an engine that also generates tokens,
# and the four steps that generate the first event, by the specification of the
# engines. Only the ratio between engines is used.
READ_TOKENS_PER_MS: Final = 7.0
FIRST_EVENT_STEPS_MS: Final = 40.0
# Expected time of the prompts in one sample, at most, unless one prompt takes
# longer. A sample of several prompts does not depend on their order.
SAMPLE_MS: Final = 1000.0
# Samples of an engine that are kept, and the time in which their weight halves:
# an engine that has recovered must get requests again within a few seconds.
MAX_SAMPLES: Final = 9
SAMPLE_HALF_LIFE_S: Final = 4.0
# Engines with fewer samples, or older ones, count as nominal.
MIN_SAMPLES: Final = 3
MIN_SAMPLE_WEIGHT: Final = 0.75
# Ratio of measured to expected time beyond which more makes no difference.
MAX_RATIO: Final = 8.0
# With fewer measured engines there is no speed that is usual in the fleet.
MIN_ENGINES: Final = 3
# Engines within this factor of the median are nominal. The factor is smaller
# for those that are not, so that engines do not alternate.
NOMINAL_BAND: Final = 1.4
RETURN_BAND: Final = 1.25
# Speeds are rounded to powers of this, so that nodes whose measurements differ
# a little choose alike.
SPEED_STEP: Final = 1.25
REVIEW_INTERVAL_S: Final = 0.5
ENDINGS_INTERVAL_S: Final = 0.1
# If at least this share of the engines differs, the objectives are compared
# with measured times. The engines in the middle may be slower than specified.
UNEVEN_SHARE: Final = 0.2
# A first event is overdue after this many expected times and this time.
OVERDUE_FACTOR: Final = 3.0
OVERDUE_SLACK_MS: Final = 200.0
# Speed of an engine whose first event is overdue, at the lowest.
MIN_SPEED: Final = 0.2
# If more than this share of the engines seem overdue, this node hears nothing
# of them.
MAX_OVERDUE_SHARE: Final = 0.34
# Time after which nothing more is expected of a run without a first event, for
# instance since its node does not reach this one.
MAX_READING_S: Final = 4.0


class SpeedClass(StrEnum):
    """Speed of an engine, compared with that of the others."""

    slow = 'slow'
    nominal = 'nominal'
    fast = 'fast'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SpeedReview:
    """What is known of the engines of a service.

    :param at: time of the review, in seconds
    :param measured: measured speeds, relative to the specification of engines
    :param relative: speeds of the engines that differ from the median, relative
        to it
    :param speeds: speeds to reckon with, where they are not nominal
    """

    at: float
    measured: Mapping[str, float]
    relative: Mapping[str, float]
    speeds: Mapping[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class _Sample:
    """One measurement.

    :param at: time in seconds
    :param ratio: measured time, as a multiple of the expected time
    """

    at: float
    ratio: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Prompt:
    """A prompt that an engine is to read.

    :param begun_at: time at which its run was placed, in seconds
    :param expected_ms: expected time for it, in milliseconds
    """

    begun_at: float
    expected_ms: float


@dataclasses.dataclass(slots=True, kw_only=True)
class _EngineReading:
    """What one engine reads, and how long that took before.

    :param service: service of the engine
    :param prompts: prompts that it is to read, by request id, oldest first
    :param since: time at which the next sample begins, in seconds
    :param progress_at: time of its last first event, or at which it got a
        prompt while it had none, in seconds
    :param read_ms: expected time of the prompts read in the next sample
    :param is_measurable: whether all that it read in the next sample is known
    :param samples: latest measurements
    """

    service: str
    prompts: dict[str, _Prompt] = dataclasses.field(default_factory=dict)
    since: float = 0
    progress_at: float = 0
    read_ms: float = 0
    is_measurable: bool = True
    samples: collections.deque[_Sample] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_SAMPLES)
    )

    def begin(self, run: Run, now: float) -> None:
        """Note that a run was placed on the engine."""
        if not self.prompts:
            self.restart(now)
            self.progress_at = now
        self.prompts[run.request_id] = _Prompt(
            now,
            run.prompt_tokens / READ_TOKENS_PER_MS + FIRST_EVENT_STEPS_MS,
        )

    def restart(self, now: float) -> None:
        """Begin a new sample."""
        self.since = now
        self.read_ms = 0
        self.is_measurable = True

    def finish(self, prompt: _Prompt, now: float) -> None:
        """Note that the engine has read a prompt."""
        self.progress_at = now
        if not self.is_measurable:
            self.restart(now)
            return
        self.read_ms += prompt.expected_ms
        if not self.prompts or self.read_ms >= SAMPLE_MS:
            self.add_sample((now - self.since) * MS_PER_S / self.read_ms, now)
            self.restart(now)

    def give_up(self, prompt: _Prompt, now: float) -> None:
        """Note that the first event of a run does not come any more."""
        elapsed_ms = (now - prompt.begun_at) * MS_PER_S
        has_progressed = self.progress_at > prompt.begun_at
        if not has_progressed and _is_overdue(elapsed_ms, prompt.expected_ms):
            self.add_sample(elapsed_ms / prompt.expected_ms, now)
        # How much of the prompt was read is not known.
        self.is_measurable = False

    def add_sample(self, ratio: float, now: float) -> None:
        """Add a measurement."""
        bounded = min(MAX_RATIO, max(1 / MAX_RATIO, ratio))
        self.samples.append(_Sample(now, bounded))

    def ratio(self, now: float) -> float | None:
        """Return the usual ratio of measured to expected time, if known."""
        if len(self.samples) < MIN_SAMPLES:
            return None
        weighted = sorted(
            (one.ratio, math.pow(0.5, (now - one.at) / SAMPLE_HALF_LIFE_S))
            for one in self.samples
        )
        total = sum(weight for _, weight in weighted)
        if total < MIN_SAMPLE_WEIGHT:
            return None
        cumulated = float()
        for ratio, weight in weighted:
            cumulated += weight
            if cumulated >= total / 2:
                return ratio
        return None


class EngineSpeeds:
    """The measured speeds of all engines, by instance."""

    def __init__(self) -> None:
        """Start without measurements."""
        self._engines: dict[str, _EngineReading] = {}
        # Engine that is to read the prompt of each run, by request id.
        self._engine_of: dict[str, str] = {}
        self._reviews: dict[str, SpeedReview] = {}
        self._endings = FleetOutcomes()
        # Time and result of the latest look at the endings, by service.
        self._suspicions: dict[str, tuple[float, Mapping[str, float]]] = {}

    def update(self, run: Run, now: float, *, is_timely: bool = True) -> None:
        """Take note of the state of a run of any node.

        :param run: state of the run
        :param now: time in seconds
        :param is_timely: whether the state has just changed
        """
        known = self._engine_of.get(run.request_id)
        is_read = run.output_tokens > 0
        is_reading = run.state is RunState.running and not is_read
        if known is not None and not (is_reading and run.endpoint == known):
            self._engine_of.pop(run.request_id)
            self._end_reading(run, known, now, is_timely=is_timely)
            known = None
        if known is None and is_reading and run.endpoint:
            reading = self._engines.get(run.endpoint)
            if reading is None:
                reading = _EngineReading(service=run.service)
                self._engines[run.endpoint] = reading
            self._give_up_silent(reading, now)
            self._engine_of[run.request_id] = run.endpoint
            reading.begin(run, now)
            reading.is_measurable &= is_timely

    def forget(self, request_ids: Collection[str]) -> None:
        """Keep runs of which nothing more is known.

        Whether an engine still reads their prompts is unknown. They are given
        up after ``MAX_READING_S``.

        :param request_ids: ids of their requests
        """

    def keep_only(self, instances: Iterable[str]) -> None:
        """Forget the engines that no longer exist.

        :param instances: instance ids of the engines that exist
        """
        kept = set(instances)
        self._endings.keep_only(kept)
        for instance in self._engines.keys() - kept:
            for request_id in self._engines.pop(instance).prompts:
                self._engine_of.pop(request_id, None)

    def speeds(self, service: str, now: float) -> Mapping[str, float]:
        """Return the speeds of the engines that are not nominal, by instance.

        An engine whose first event is overdue has a lower speed until it comes,
        and so has one with more runs that end before their first event.

        :param service: name of the service
        :param now: time in seconds
        """
        speeds = self.review(service, now).speeds
        suspicions = self._suspicions_of(service, now)
        lowered: dict[str, float] = {}
        engines = 0
        for instance, reading in self._engines.items():
            if reading.service != service:
                continue
            engines += 1
            speed = speeds.get(instance, NOMINAL_SPEED)
            bounded = _overdue_speed(reading, speed, now)
            trusted = speed * (1 - suspicions.get(instance, 0))
            bounded = min(bounded, max(MIN_SPEED, trusted))
            if bounded < speed:
                lowered[instance] = bounded
        if len(lowered) > MAX_OVERDUE_SHARE * engines or not lowered:
            return speeds
        return {**speeds, **lowered}

    def review(self, service: str, now: float) -> SpeedReview:
        """Return what is known of the engines of a service.

        :param service: name of the service
        :param now: time in seconds
        """
        former = self._reviews.get(service)
        if former is not None and now - former.at < REVIEW_INTERVAL_S:
            return former
        for one in self._engines.values():
            self._give_up_silent(one, now)
        ratios = {
            instance: ratio
            for instance, reading in self._engines.items()
            if reading.service == service
            and (ratio := reading.ratio(now)) is not None
        }
        found = _review(ratios, {} if former is None else former.relative, now)
        self._reviews[service] = found
        return found

    def _end_reading(
        self, run: Run, instance: str, now: float, *, is_timely: bool
    ) -> None:
        """Take a run off the prompts that an engine is to read."""
        reading = self._engines[instance]
        prompt = reading.prompts.pop(run.request_id)
        is_running = run.state is RunState.running
        if is_running and run.output_tokens and run.endpoint == instance:
            reading.is_measurable &= is_timely
            reading.finish(prompt, now)
            self._endings.record(instance, 0, now, failed=False)
        else:
            reading.give_up(prompt, now)
            if run.state is RunState.ended:
                self._endings.record(instance, 0, now, failed=True)

    def _suspicions_of(self, service: str, now: float) -> Mapping[str, float]:
        """Return the engines on which more runs end without an event."""
        looked_at, found = self._suspicions.get(service, (-math.inf, {}))
        if now - looked_at >= ENDINGS_INTERVAL_S:
            instances = [
                instance
                for instance, reading in self._engines.items()
                if reading.service == service
            ]
            found = self._endings.suspicions(instances, now)
            self._suspicions[service] = (now, found)
        return found

    def _give_up_silent(self, reading: _EngineReading, now: float) -> None:
        """Give up the runs of which nothing was heard for long."""
        for request_id, prompt in tuple(reading.prompts.items()):
            if now - prompt.begun_at < MAX_READING_S:
                return
            reading.prompts.pop(request_id)
            self._engine_of.pop(request_id)
            reading.give_up(prompt, now)


def classify_speed(speed: float) -> SpeedClass:
    """Return the class of a speed.

    :param speed: speed relative to the median of a service's engines
    """
    if speed == NOMINAL_SPEED:
        return SpeedClass.nominal
    return SpeedClass.slow if speed < NOMINAL_SPEED else SpeedClass.fast


def _review(
    ratios: Mapping[str, float], former: Mapping[str, float], now: float
) -> SpeedReview:
    """Return what measurements tell of engines.

    :param ratios: measured times of engines, as multiples of the expected times
    :param former: engines that differed from the median before
    :param now: time in seconds
    """
    measured = {instance: 1 / ratio for instance, ratio in ratios.items()}
    relative: dict[str, float] = {}
    speeds: Mapping[str, float] = relative
    if len(measured) >= MIN_ENGINES:
        median = statistics.median(measured.values())
        for instance, speed in measured.items():
            band = RETURN_BAND if instance in former else NOMINAL_BAND
            difference = speed / median
            if max(difference, 1 / difference) >= band:
                relative[instance] = _rounded(difference)
        if len(relative) >= UNEVEN_SHARE * len(measured):
            scale = min(NOMINAL_SPEED, _rounded(median))
            speeds = {
                name: scale * relative.get(name, NOMINAL_SPEED)
                for name in measured
            }
    return SpeedReview(
        at=now, measured=measured, relative=relative, speeds=speeds
    )


def _rounded(speed: float) -> float:
    power = round(math.log(speed, SPEED_STEP))
    return max(MIN_SPEED, math.pow(SPEED_STEP, power))


def _is_overdue(elapsed_ms: float, expected_ms: float) -> bool:
    return elapsed_ms > OVERDUE_FACTOR * expected_ms + OVERDUE_SLACK_MS


def _overdue_speed(reading: _EngineReading, speed: float, now: float) -> float:
    """Return the speed of an engine, less if its first event is overdue."""
    oldest = next(iter(reading.prompts.values()), None)
    if oldest is None:
        return speed
    since = max(reading.progress_at, oldest.begun_at)
    elapsed_ms = (now - since) * MS_PER_S
    if not _is_overdue(elapsed_ms, oldest.expected_ms / speed):
        return speed
    return min(speed, max(MIN_SPEED, oldest.expected_ms / elapsed_ms))
