"""Tests that metrics reach the statsd server with the project prefix."""

import pathlib
import re
import socket

from mastichatch_node.metrics import create_metrics

ROOT = pathlib.Path(__file__).resolve().parent.parent


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


def test_every_metric_in_the_code_is_documented() -> None:
    sources = (ROOT / 'packages').rglob('*.py')
    call = re.compile(r"metrics\.(?:count|timing|gauge)\(\s*f?'([^']+)'")
    sent = {
        re.sub(r'{(?:\w+\.)?(\w+)}', r'{\1}', name)
        for source in sources
        for name in call.findall(source.read_text())
    }
    page = (ROOT / 'docs/METRICS.md').read_text()
    documented = set(re.findall(r'^\| `([^`]+)`', page, re.MULTILINE))
    assert sent == documented
