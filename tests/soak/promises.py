"""Checks the users' promises on what callers and endpoints saw."""

from collections import Counter
from collections.abc import Iterator
from typing import Final

from tests.soak.records import Kind, Outcome, Records

# Statuses that promise that a request has not run and never will.
PROMISES: Final = frozenset((408, 421, 429, 503))
# Events of each stream of the soak.
STREAM_EVENTS: Final = 40
# Longest time for which a key may be used after it was taken away, by the
# users' sheets, and what a request may take to its endpoint.
KEY_LIMIT_S: Final = 5.0
KEY_SLACK_S: Final = 0.5

_OK: Final = 200


def broken_promises(records: Records) -> list[str]:
    """Return a line for each promise that was broken.

    :param records: what was seen
    """
    checks = (
        _runs_twice,
        _false_refusals,
        _foreign_answers,
        _streams_out_of_order,
        _runs_of_a_revoked_key,
        _nodes_that_ended,
    )
    return [line for check in checks for line in check(records)]


def _runs_twice(records: Records) -> Iterator[str]:
    kinds = {one.request_id: one.kind for one in records.outcomes}
    fresh = Counter(
        run.request_id for run in records.runs if not run.is_resumed
    )
    for request_id, count in fresh.items():
        if count > 1 and kinds.get(request_id) is not Kind.idempotent:
            yield f'{request_id} ran {count} times'


def _false_refusals(records: Records) -> Iterator[str]:
    ran = {run.request_id for run in records.runs}
    for one in records.outcomes:
        if one.status in PROMISES and one.request_id in ran:
            yield f'{one.request_id} was answered {one.status} and ran'


def _foreign_answers(records: Records) -> Iterator[str]:
    for one in records.outcomes:
        is_call = one.kind is not Kind.streaming
        if is_call and one.status == _OK and one.is_whole:
            if one.body != one.request_id.encode():
                yield f'{one.request_id} got {one.body[:40]!r}'


def _streams_out_of_order(records: Records) -> Iterator[str]:
    for one in records.outcomes:
        if one.kind is Kind.streaming and one.status == _OK:
            yield from _faults_of_stream(one)


def _faults_of_stream(one: Outcome) -> Iterator[str]:
    body = one.body
    if not one.is_whole:
        # A stream may be cut off in the middle of an event.
        body = body.rpartition(b'\n\n')[0]
    lines = body.decode().split('\n')
    ids = [int(line[4:]) for line in lines if line.startswith('id: ')]
    if ids != list(range(1, len(ids) + 1)):
        yield f'{one.request_id} got events {ids}'
    if one.is_whole and len(ids) != STREAM_EVENTS:
        yield f'{one.request_id} ended as complete after {len(ids)} events'
    owners = {line[6:] for line in lines if line.startswith('data: ')}
    if owners - {one.request_id}:
        yield f'{one.request_id} got events of {owners}'


def _runs_of_a_revoked_key(records: Records) -> Iterator[str]:
    if records.key_revoked_at is None:
        return
    limit = records.key_revoked_at + KEY_LIMIT_S + KEY_SLACK_S
    for run in records.runs:
        if run.started_at > limit and not run.is_resumed:
            yield f'{run.request_id} ran with a key taken away'


def _nodes_that_ended(records: Records) -> Iterator[str]:
    for line in records.ended:
        yield f'{line} ended by itself'
