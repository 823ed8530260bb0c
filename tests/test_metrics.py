"""Metrics go to the statsd server with the project's prefix."""

import socket

from mastichatch_node.metrics import create_metrics


def test_sends_counts_timings_and_gauges() -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(('127.0.0.1', 0))
        server.settimeout(5)
        host, port = server.getsockname()
        metrics = create_metrics(f'{host}:{port}')
        metrics.count('requests')
        metrics.timing('first_token', 12.5)
        metrics.gauge('streams', 3)
        received = [server.recv(1024) for _ in range(3)]
    assert received == [
        b'mastichatch.requests:1|c',
        b'mastichatch.first_token:12.500000|ms',
        b'mastichatch.streams:3|g',
    ]


def test_sends_nothing_without_an_address() -> None:
    create_metrics('').count('requests')
