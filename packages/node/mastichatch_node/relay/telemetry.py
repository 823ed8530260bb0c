"""Decision lines and metrics of the relay."""

import io
import logging as standard_logging
import os
import sys
from typing import Final

from absl import logging
from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from mastichatch_node.clock import loop_time
from mastichatch_node.logs import set_up_logging

# A host of the users' sites answers some ten requests a second, each with
# about four lines; an incident may take several times that.
LINES_PER_S: Final = 200.0
LINE_BURST: Final = 400.0
# A pause over 0.18 s makes a generation late, by the users' sheets, and callers
# give up after 7.2 s.
PAUSE_BUCKETS_S: Final = (0.04, 0.07, 0.1, 0.14, 0.18, 0.25, 0.5, 1, 3, 7.2)
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


class BoundedStream(io.TextIOBase):
    """Writes lines to a descriptor, and drops those that it cannot take."""

    def __init__(self, descriptor: int) -> None:
        """Make the descriptor non-blocking.

        :param descriptor: where lines go
        """
        super().__init__()
        self._descriptor = descriptor
        self._dropped = 0
        os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Lines dropped so far."""
        return self._dropped

    def write(self, text: str) -> int:
        """Write a line, or count it as dropped.

        :param text: the line with its end
        """
        try:
            os.write(self._descriptor, text.encode())
        except OSError:
            self._dropped += 1
        return len(text)


class LineLimit(standard_logging.Filter):
    """Passes a bounded number of lines a second; warnings always pass."""

    def __init__(self) -> None:
        """Start with a full burst."""
        super().__init__()
        self._allowed = LINE_BURST
        self._noted_at = float()
        self._left_out = 0

    def filter(self, record: standard_logging.LogRecord) -> bool:
        """Return whether a line is written.

        :param record: the line
        """
        if record.levelno >= standard_logging.WARNING:
            return True
        elapsed = record.created - self._noted_at
        self._noted_at = record.created
        gained = max(0, elapsed) * LINES_PER_S
        self._allowed = min(LINE_BURST, self._allowed + gained)
        if self._allowed < 1:
            self._left_out += 1
            return False
        self._allowed -= 1
        if self._left_out:
            record.__dict__['lines_left_out'] = self._left_out
            self._left_out = 0
        return True


def log_to_standard_output(node: str, level: str) -> None:
    """Write bounded JSON lines to standard output.

    :param node: name of this host, put into each line
    :param level: least severe level that is written
    """
    set_up_logging(node, level)
    handler = logging.get_absl_handler()
    stream = BoundedStream(sys.stdout.fileno())
    handler.python_handler.stream = stream
    handler.addFilter(LineLimit())


class Telemetry:
    """Counters, histograms and decision lines of one node."""

    def __init__(self) -> None:
        """Create the metrics; METRICS.md lists their names."""
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
        self._pause = Histogram(
            'mastichatch_relay_longest_pause_seconds',
            'Longest time between two events of a generation.',
            buckets=PAUSE_BUCKETS_S,
            registry=self._registry,
        )
        self._active = Gauge(
            'mastichatch_relay_active',
            'Requests in progress.',
            registry=self._registry,
        )

    def text(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        return generate_latest(self._registry)

    def count_answer(self, kind: str, status: int, reason: str) -> None:
        """Count an answer to a caller.

        :param kind: kind of the route
        :param status: HTTP status
        :param reason: error kind, or ``answered``
        """
        self._answers.labels(kind, str(status), reason).inc()

    def count_attempt(self, outcome: str) -> None:
        """Count an attempt at an endpoint.

        :param outcome: how it ended
        """
        self._attempts.labels(outcome).inc()

    def note_first_byte(self, kind: str, arrived_at: float) -> None:
        """Measure the time to the first byte of an answer.

        :param kind: kind of the route
        :param arrived_at: loop time of the request, in seconds
        """
        self._latency.labels(kind).observe(loop_time() - arrived_at)

    def note_longest_pause(self, pause_s: float) -> None:
        """Count a generation by its longest time between two events.

        :param pause_s: that time, in seconds
        """
        self._pause.observe(pause_s)

    def note_active(self, active: int) -> None:
        """Set the number of requests in progress.

        :param active: the number
        """
        self._active.set(active)

    def decide(self, event: str, request_id: str, **inputs: object) -> None:
        """Log one decision on a request.

        :param event: what was decided
        :param request_id: the request
        :param inputs: what decided it, with ages and versions
        """
        logging.info(event, extra={'request_id': request_id, **inputs})

    def believe(self, event: str, **inputs: object) -> None:
        """Log and count one change of what the node believes.

        :param event: what changed
        :param inputs: what it is now, with ages and versions
        """
        self._events.labels(event).inc()
        logging.info(event, extra=inputs)
