"""Log and metrics of the relay."""

import asyncio
import dataclasses
import functools
import io
import logging as standard_logging
import os
import sys
import time
from collections.abc import Callable
from typing import Final

from absl import logging
from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from mastichatch_core.generated.records import RolloutPhase
from mastichatch_core.relay.byte_budget import ByteBudget, Purpose, Shortage
from mastichatch_core.units import MS_PER_S
from mastichatch_node.clock import loop_time
from mastichatch_node.logs import set_up_logging
from mastichatch_node.relay.isolation_metrics import IsolationMetrics
from mastichatch_node.relay.limit_metrics import LimitMetrics
from mastichatch_node.relay.slot_metrics import SlotMetrics
from mastichatch_node.relay.placement_metrics import PlacementMetrics
from mastichatch_node.relay.proxy_metrics import ProxyMetrics

# A host at the users' sites serves about ten requests a second, with about four
# log lines for each. An incident may cause several times as many lines.
LOG_LINES_PER_S: Final = 200.0
LOG_LINE_BURST: Final = 400.0
# By the users' specification, a generation is late after a pause of 0.18 s, and
# callers time out after 7.2 s.
PAUSE_BUCKETS_S: Final = (0.04, 0.07, 0.1, 0.14, 0.18, 0.25, 0.5, 1, 3, 7.2)
# A turn of the event loop takes a few milliseconds.
LAG_BUCKETS_S: Final = (0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 3, 10)
# Lag from which on it is logged: readiness checks and the shortest time limits
# of callers allow half a second.
LAG_LOG_LIMIT_S: Final = 0.25
LAG_PROBE_INTERVAL_S: Final = 0.25
# Most log lines on malformed store entries that a process writes.
MALFORMED_LOG_LIMIT: Final = 200
LATENCY_BUCKETS_S: Final = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1,
    2,
    5,
    10,
    40,
)


class NonBlockingStream(io.TextIOBase):
    """Write lines to a file descriptor, and drop them if it would block."""

    def __init__(self, descriptor: int) -> None:
        """Make the descriptor non-blocking.

        :param descriptor: file descriptor to write to
        """
        super().__init__()
        self._descriptor = descriptor
        self._dropped = 0
        os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Number of lines dropped so far."""
        return self._dropped

    def write(self, text: str) -> int:
        """Write a line, or count it as dropped.

        :param text: the line, including the newline
        """
        try:
            os.write(self._descriptor, text.encode())
        except OSError:
            self._dropped += 1
        return len(text)


class LogRateLimiter(standard_logging.Filter):
    """Limit the rate of log lines below the level ``WARNING``."""

    def __init__(self) -> None:
        """Start with the whole burst available."""
        super().__init__()
        self._allowed = LOG_LINE_BURST
        self._updated_at = float()
        self._suppressed = 0

    def filter(self, record: standard_logging.LogRecord) -> bool:
        """Return whether a record is logged.

        :param record: record to log
        """
        if record.levelno >= standard_logging.WARNING:
            return True
        elapsed = record.created - self._updated_at
        self._updated_at = record.created
        gained = max(0, elapsed) * LOG_LINES_PER_S
        self._allowed = min(LOG_LINE_BURST, self._allowed + gained)
        if self._allowed < 1:
            self._suppressed += 1
            return False
        self._allowed -= 1
        if self._suppressed:
            record.__dict__['lines_left_out'] = self._suppressed
            self._suppressed = 0
        return True


def log_to_standard_output(node: str, level: str) -> None:
    """Log JSON lines to standard output, without blocking, at a limited rate.

    :param node: name of this host, added to each line
    :param level: least severe level that is logged
    """
    set_up_logging(node, level)
    handler = logging.get_absl_handler()
    stream = NonBlockingStream(sys.stdout.fileno())
    handler.python_handler.stream = stream
    handler.addFilter(LogRateLimiter())


class Telemetry:
    """Log and metrics of one node."""

    def __init__(self) -> None:
        """Create the metrics, whose names METRICS.md lists."""
        self._registry = CollectorRegistry()
        self._answers = Counter(
            'mastichatch_relay_answers',
            'Answers to callers by route kind, status and reason.',
            ('kind', 'status', 'reason'),
            registry=self._registry,
        )
        self._attempts = Counter(
            'mastichatch_relay_attempts',
            'Attempts at endpoints by outcome.',
            ('outcome',),
            registry=self._registry,
        )
        self._resumptions = Counter(
            'mastichatch_relay_resumptions',
            'Resumed runs, by whether another engine may be at work on them.',
            ('others',),
            registry=self._registry,
        )
        self._events = Counter(
            'mastichatch_relay_events',
            'Changes of what the node believes, by event.',
            ('event',),
            registry=self._registry,
        )
        self._latency = Histogram(
            'mastichatch_relay_first_byte_seconds',
            'Time from a request to the first byte of its answer.',
            ('kind',),
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self._longest_pause = Histogram(
            'mastichatch_relay_longest_pause_seconds',
            'Longest time between two events of a generation.',
            buckets=PAUSE_BUCKETS_S,
            registry=self._registry,
        )
        self._loop_lag = Histogram(
            'mastichatch_relay_loop_lag_seconds',
            'Delay of a timer of the event loop, probed four times a second.',
            buckets=LAG_BUCKETS_S,
            registry=self._registry,
        )
        self._active = Gauge(
            'mastichatch_relay_active',
            'Requests in progress.',
            registry=self._registry,
        )
        self._held = Gauge(
            'mastichatch_relay_held_bytes',
            'Bytes held for peers, by purpose.',
            ('purpose',),
            registry=self._registry,
        )
        self._store_era = Gauge(
            'mastichatch_relay_store_era',
            'Era of the store that the node knows.',
            registry=self._registry,
        )
        self._suspected = Gauge(
            'mastichatch_relay_suspected_parts',
            'Parts of prompts that may crash engines.',
            registry=self._registry,
        )
        self._rollout_requests = Counter(
            'mastichatch_relay_rollout_requests',
            'Answers during a roll-out, by service, arm and outcome.',
            ('service', 'arm', 'outcome'),
            registry=self._registry,
        )
        self._rollout_phase = Gauge(
            'mastichatch_relay_rollout_phase',
            'Whether the last roll-out of a service is in that phase.',
            ('service', 'phase'),
            registry=self._registry,
        )

        self._placement = PlacementMetrics(self._registry)
        self._limits = LimitMetrics(self._registry)
        self.proxying = ProxyMetrics(self._registry)
        self.isolation = IsolationMetrics(self._registry)
        self.slots = SlotMetrics(self._registry)

    @property
    def placement(self) -> PlacementMetrics:
        """Metrics of where and when generations are placed."""
        return self._placement

    @property
    def limits(self) -> LimitMetrics:
        """Metrics of the limits that endpoints name."""
        return self._limits

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def count_answer(self, kind: str, status: int, reason: str) -> None:
        """Count a response to a caller.

        :param kind: kind of the route
        :param status: HTTP status
        :param reason: error kind, or ``answered``
        """
        self._answers.labels(kind, str(status), reason).inc()

    def count_attempt(self, outcome: str) -> None:
        """Count an attempt at an endpoint.

        :param outcome: outcome of the attempt
        """
        self._attempts.labels(outcome).inc()

    def count_resumption(self, *, is_alone: bool) -> None:
        """Count a run that is resumed on an engine.

        :param is_alone: whether no other engine may be at work on it
        """
        self._resumptions.labels('none' if is_alone else 'possible').inc()

    def observe_first_byte(self, kind: str, arrived_at: float) -> None:
        """Record the time to the first byte of a response.

        :param kind: kind of the route
        :param arrived_at: loop time at which the request arrived, in seconds
        """
        self._latency.labels(kind).observe(loop_time() - arrived_at)

    def observe_longest_pause(self, pause_s: float) -> None:
        """Record the longest pause between two events of a generation.

        :param pause_s: length of the pause, in seconds
        """
        self._longest_pause.observe(pause_s)

    def observe_loop_lag(self, lag_s: float, processor_s: float) -> None:
        """Record how late the event loop ran a timer, and log long delays.

        :param lag_s: delay in seconds
        :param processor_s: processor time of this process since the timer was
            set, in seconds; little of it where the host was frozen or busy
        """
        self._loop_lag.observe(lag_s)
        if lag_s >= LAG_LOG_LIMIT_S:
            self.log_state_change(
                'event_loop_held',
                lag_ms=round(lag_s * MS_PER_S),
                processor_ms=round(processor_s * MS_PER_S),
            )

    def update_active(self, active: int) -> None:
        """Set the number of requests in progress.

        :param active: number of requests
        """
        self._active.set(active)

    def update_store_era(self, era: int) -> None:
        """Set the era of the store.

        :param era: the era; zero if the store names none
        """
        self._store_era.set(era)

    def update_suspected(self, suspected: int) -> None:
        """Set the number of prompt parts that may crash engines.

        :param suspected: number of parts, over all services and versions
        """
        self._suspected.set(suspected)

    def count_rollout_answer(
        self, service: str, *, is_target: bool, is_failed: bool
    ) -> None:
        """Count an answer during a roll-out.

        :param service: name of the service
        :param is_target: whether it came from the version that is rolled out
        :param is_failed: whether it is a failure of the endpoint
        """
        arm = 'target' if is_target else 'previous'
        outcome = 'failed' if is_failed else 'good'
        self._rollout_requests.labels(service, arm, outcome).inc()

    def show_rollout_phase(
        self, service: str, present: RolloutPhase | None
    ) -> None:
        """Set the phase of a service's last roll-out.

        :param service: name of the service
        :param present: the phase; ``None`` if it has none
        """
        for phase in RolloutPhase:
            self._rollout_phase.labels(service, phase).set(phase is present)

    def watch_budget(self, budget: ByteBudget) -> None:
        """Show the bytes that are held for peers.

        :param budget: bytes that are held
        """
        for purpose in Purpose:
            self._held.labels(purpose).set_function(
                functools.partial(budget.held, purpose)
            )

    def log_shortage(self, shortage: Shortage) -> None:
        """Log a buffer that was given up for lack of room.

        :param shortage: the buffer
        """
        self.log_state_change('buffer_given_up', **dataclasses.asdict(shortage))

    def log_decision(
        self, event: str, request_id: str, **inputs: object
    ) -> None:
        """Log a decision on a request.

        :param event: name of the decision
        :param request_id: id of the request
        :param inputs: inputs of the decision, such as ages and versions
        """
        logging.info(event, extra={'request_id': request_id, **inputs})

    def log_state_change(self, event: str, **inputs: object) -> None:
        """Log and count a change of the node's state.

        :param event: name of the change
        :param inputs: the new state, with ages and versions
        """
        self._events.labels(event).inc()
        logging.info(event, extra=inputs)

    async def watch_event_loop(self) -> None:
        """Measure how late the event loop runs timers, until cancelled."""
        while True:
            due_at = loop_time() + LAG_PROBE_INTERVAL_S
            processor_s = time.process_time()
            await asyncio.sleep(LAG_PROBE_INTERVAL_S)
            self.observe_loop_lag(
                max(0, loop_time() - due_at), time.process_time() - processor_s
            )


def create_malformed_logger() -> Callable[[str, str], None]:
    """Return a function that logs malformed entries, each fault once."""
    logged: set[tuple[str, str]] = set()

    def log_malformed(key: str, fault: str) -> None:
        if (key, fault) in logged or len(logged) >= MALFORMED_LOG_LIMIT:
            return
        logged.add((key, fault))
        logging.warning(
            'ignoring a malformed store entry',
            extra={'key': key, 'reason': fault},
        )

    return log_malformed
