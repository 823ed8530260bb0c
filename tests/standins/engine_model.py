"""Model of an engine that batches continuously, under a given clock.

Times are seconds of whatever clock the caller uses; memory is in tokens. The
model does no input or output, so it runs under virtual time as well as behind
the HTTP stand-in.

A step takes longer the more generations run and the more memory is in use. A
generation first needs its prompt prefilled, in chunks shared by all, and then
yields one token a step. When memory is full, the least urgent and newest
generation is preempted: it loses its memory and is prefilled again later.
"""

import collections
import dataclasses
from typing import Literal

from mastichatch_core.units import MS_PER_S


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineParameters:
    """Size and speed of one engine.

    :param memory_tokens: key-value memory for running generations
    :param batch_limit: largest number of running generations
    :param waiting_limit: number of waiting ones beyond which it is overloaded
    :param step_ms: time of an empty step
    :param step_ms_per_generation: time added by each decoding generation
    :param step_ms_per_1000_tokens: time added by memory in use
    :param prefill_tokens_per_ms: speed of prefilling
    :param prefill_chunk_tokens: most tokens prefilled in one step
    :param cold_ms: length of a cold start
    :param cold_factor: how many times longer a step takes while cold
    :param cold_limit: running generations that a cold engine can bear
    :param report_interval_ms: load is reported one to two intervals late
    :param cache_tokens: memory for cached prefixes
    :param cache_event_delay_ms: lateness of cache events
    :param cache_event_gap: one of this many cache events is lost
    """

    memory_tokens: int = 65536
    batch_limit: int = 256
    waiting_limit: int = 1024
    step_ms: float = 12
    step_ms_per_generation: float = 0.3
    step_ms_per_1000_tokens: float = 0.15
    prefill_tokens_per_ms: float = 8
    prefill_chunk_tokens: int = 512
    cold_ms: float = 8000
    cold_factor: float = 5
    cold_limit: int = 2
    report_interval_ms: float = 500
    cache_tokens: int = 16384
    cache_event_delay_ms: float = 500
    cache_event_gap: int = 7


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TokenEvent:
    """One token of one generation.

    :param generation: id given to `submit`
    :param index: position in the output, from zero
    :param at: time of the token, in seconds
    :param finished: whether it is the last
    """

    generation: str
    index: int
    at: float
    finished: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadReport:
    """What the engine says of its load, late."""

    running: int
    waiting: int
    memory_used: int
    memory_total: int
    preemptions: int
    age_ms: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CacheEvent:
    """A change of the prefix cache, seen from a given time on."""

    sequence: int
    kind: Literal['stored', 'evicted']
    prefix_hash: str
    visible_at: float


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Generation:
    """State of one generation in the engine."""

    name: str
    prompt_tokens: int
    output_tokens: int
    priority: int
    order: int
    prefix_hash: str
    prefix_tokens: int
    prefill_left: int = 0
    produced: int = 0

    @property
    def tokens(self) -> int:
        """Return the memory that it takes while it runs."""
        return self.prompt_tokens + self.produced

    @property
    def rank(self) -> tuple[int, int]:
        """Return the order of service: urgent first, then old first."""
        return self.priority, self.order


class EngineModel:
    """One engine from its start; `advance` moves its clock."""

    def __init__(self, parameters: EngineParameters, now: float) -> None:
        """Start cold at the given time."""
        self._parameters = parameters
        self._running: dict[str, Generation] = {}
        self._waiting: dict[str, Generation] = {}
        self._order = 0
        self._memory_used = 0
        self._preemptions = 0
        self._peak_running = 0
        self._peak_cold = 0
        self._fallen = False
        self._cold_until = now + parameters.cold_ms / MS_PER_S
        self._step_ends_at: float | None = None
        self._extra_step_ms = 0.0
        self._cache: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._cache_events: list[CacheEvent] = []
        self._cache_sequence = 0
        self._published_at = now
        self._pending = self._snapshot()
        self._published = self._pending

    @property
    def next_event_at(self) -> float | None:
        """Return the end of the step in progress, or none while idle."""
        return self._step_ends_at

    @property
    def preemptions(self) -> int:
        """Return the number of preemptions since the start."""
        return self._preemptions

    @property
    def fallen(self) -> bool:
        """Return whether the engine fell over; all generations are lost."""
        return self._fallen

    @property
    def running_count(self) -> int:
        """Return the number of generations in the batch."""
        return len(self._running)

    @property
    def waiting_count(self) -> int:
        """Return the number of generations outside the batch."""
        return len(self._waiting)

    @property
    def memory_used(self) -> int:
        """Return the memory that the batch takes, in tokens."""
        return self._memory_used

    @property
    def peak_running(self) -> int:
        """Return the largest batch since the start."""
        return self._peak_running

    @property
    def peak_cold(self) -> int:
        """Return the largest batch while cold."""
        return self._peak_cold

    def is_cold(self, now: float) -> bool:
        """Return whether the engine is in its cold start.

        :param now: time in seconds
        """
        return now < self._cold_until

    def turn_cold(self, now: float) -> None:
        """Begin a cold start again; generations in progress go on.

        :param now: time in seconds
        """
        self._cold_until = now + self._parameters.cold_ms / MS_PER_S
        self._cache.clear()

    def slow_down(self, extra_step_ms: float) -> None:
        """Make each later step longer.

        :param extra_step_ms: time added to a step, in milliseconds
        """
        self._extra_step_ms = extra_step_ms

    def submit(
        self,
        name: str,
        *,
        prompt_tokens: int,
        output_tokens: int,
        now: float,
        priority: int = 0,
        prefix_hash: str = '',
        prefix_tokens: int = 0,
    ) -> bool:
        """Take a generation; call `advance` up to `now` before.

        :param name: id, unique among those in the engine
        :param prompt_tokens: length of the prompt
        :param output_tokens: length of the answer, at least one
        :param now: time in seconds
        :param priority: 0 is served first
        :param prefix_hash: names the prefix of the prompt that may be cached
        :param prefix_tokens: length of that prefix
        :returns: False where the engine is overloaded, and nothing was done
        """
        if self._fallen or len(self._waiting) >= self._parameters.waiting_limit:
            return False
        if prompt_tokens >= self._parameters.memory_tokens:
            return False
        self._order += 1
        self._waiting[name] = Generation(
            name=name,
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            priority=priority,
            order=self._order,
            prefix_hash=prefix_hash,
            prefix_tokens=prefix_tokens,
        )
        if self._step_ends_at is None:
            self._start_step(now)
        return True

    def cancel(self, name: str) -> bool:
        """Drop a generation.

        :param name: id given to `submit`
        :returns: whether it was in the engine
        """
        generation = self._running.pop(name, None)
        if generation is not None:
            self._memory_used -= generation.tokens
            return True
        return self._waiting.pop(name, None) is not None

    def advance(self, now: float) -> tuple[TokenEvent, ...]:
        """Run all steps that end by the given time.

        :param now: time in seconds
        :returns: the tokens, in order of time
        """
        events: list[TokenEvent] = []
        while self._step_ends_at is not None and self._step_ends_at <= now:
            ended_at = self._step_ends_at
            events.extend(self._finish_step(ended_at))
            self._start_step(ended_at)
            self._publish(ended_at)
        self._publish(now)
        return tuple(events)

    def report(self, now: float) -> LoadReport:
        """Return the latest published load.

        :param now: time in seconds
        """
        self._publish(now)
        age_s = now - self._published_at
        age_ms = age_s * MS_PER_S + self._parameters.report_interval_ms
        return dataclasses.replace(self._published, age_ms=age_ms)

    def cache_events(self, after: int, now: float) -> tuple[CacheEvent, ...]:
        """Return the cache events that can be seen by now.

        :param after: sequence number of the last one known
        :param now: time in seconds
        """
        return tuple(
            event
            for event in self._cache_events
            if event.sequence > after and event.visible_at <= now
        )

    def _snapshot(self) -> LoadReport:
        return LoadReport(
            running=len(self._running),
            waiting=len(self._waiting),
            memory_used=self._memory_used,
            memory_total=self._parameters.memory_tokens,
            preemptions=self._preemptions,
            age_ms=0,
        )

    def _publish(self, now: float) -> None:
        interval_s = self._parameters.report_interval_ms / MS_PER_S
        if now - self._published_at < interval_s:
            return
        self._published = self._pending
        self._pending = self._snapshot()
        self._published_at = now

    def _start_step(self, now: float) -> None:
        self._make_room()
        self._admit()
        count = len(self._running)
        self._peak_running = max(self._peak_running, count)
        self._step_ends_at = None
        if not count:
            return
        cold = self.is_cold(now)
        if cold:
            self._peak_cold = max(self._peak_cold, count)
            if count > self._parameters.cold_limit:
                self._fall()
                return
        step_ms = self._prefill() + self._decode_ms()
        if cold:
            step_ms *= self._parameters.cold_factor
        self._step_ends_at = now + step_ms / MS_PER_S

    def _fall(self) -> None:
        self._fallen = True
        self._running.clear()
        self._waiting.clear()
        self._memory_used = 0

    def _decode_ms(self) -> float:
        limits = self._parameters
        return (
            limits.step_ms
            + self._extra_step_ms
            + limits.step_ms_per_generation * len(self._running)
            + limits.step_ms_per_1000_tokens * self._memory_used / 1000
        )

    def _make_room(self) -> None:
        """Preempt until each running generation can grow by one token."""
        limit = self._parameters.memory_tokens
        while (
            len(self._running) > 1
            and self._memory_used + len(self._running) > limit
        ):
            victim = max(self._running.values(), key=lambda one: one.rank)
            del self._running[victim.name]
            self._memory_used -= victim.tokens
            self._waiting[victim.name] = victim
            self._preemptions += 1

    def _admit(self) -> None:
        """Move waiting generations into the batch while they fit."""
        limits = self._parameters
        while self._waiting and len(self._running) < limits.batch_limit:
            generation = min(self._waiting.values(), key=lambda one: one.rank)
            needed = generation.tokens + len(self._running) + 1
            if self._memory_used + needed > limits.memory_tokens:
                return
            del self._waiting[generation.name]
            self._running[generation.name] = generation
            self._memory_used += generation.tokens
            cached = self._use_cache(generation)
            generation.prefill_left = max(generation.tokens - cached, 0)

    def _prefill(self) -> float:
        """Prefill one chunk and return the time that it takes, in ms."""
        left = self._parameters.prefill_chunk_tokens
        for generation in self._running.values():
            done = min(left, generation.prefill_left)
            generation.prefill_left -= done
            left -= done
        done_in_all = self._parameters.prefill_chunk_tokens - left
        return done_in_all / self._parameters.prefill_tokens_per_ms

    def _finish_step(self, now: float) -> list[TokenEvent]:
        """Let each generation that is prefilled produce one token."""
        events = []
        for generation in tuple(self._running.values()):
            if generation.prefill_left > 0:
                continue
            index = generation.produced
            if index == 0:
                self._store_prefix(generation, now)
            generation.produced += 1
            self._memory_used += 1
            finished = generation.produced >= generation.output_tokens
            # One that fills the whole memory alone ends early.
            if finished or generation.tokens >= self._parameters.memory_tokens:
                finished = True
                del self._running[generation.name]
                self._memory_used -= generation.tokens
            events.append(
                TokenEvent(
                    generation=generation.name,
                    index=index,
                    at=now,
                    finished=finished,
                )
            )
        return events

    def _use_cache(self, generation: Generation) -> int:
        """Return the number of prompt tokens found in the cache."""
        if generation.prefix_hash not in self._cache:
            return 0
        self._cache.move_to_end(generation.prefix_hash)
        return self._cache[generation.prefix_hash]

    def _store_prefix(self, generation: Generation, now: float) -> None:
        tokens = min(generation.prefix_tokens, generation.prompt_tokens)
        known = generation.prefix_hash in self._cache
        if known or not 0 < tokens <= self._parameters.cache_tokens:
            return
        self._cache[generation.prefix_hash] = tokens
        self._note_cache('stored', generation.prefix_hash, now)
        while sum(self._cache.values()) > self._parameters.cache_tokens:
            evicted, _ = self._cache.popitem(last=False)
            self._note_cache('evicted', evicted, now)

    def _note_cache(
        self, kind: Literal['stored', 'evicted'], prefix_hash: str, now: float
    ) -> None:
        self._cache_sequence += 1
        if self._cache_sequence % self._parameters.cache_event_gap == 0:
            return
        delay_s = self._parameters.cache_event_delay_ms / MS_PER_S
        self._cache_events.append(
            CacheEvent(
                sequence=self._cache_sequence,
                kind=kind,
                prefix_hash=prefix_hash,
                visible_at=now + delay_s,
            )
        )
