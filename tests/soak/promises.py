"""Checks the users' promises on what callers and endpoints saw."""

import itertools
import math
from collections import Counter
from collections.abc import Iterator
from typing import Final

from tests.soak.records import Arrival, Kind, Outcome, Records

# Statuses that promise that a request has not run and never will.
PROMISES: Final = frozenset((408, 421, 429, 503))
# Events of each stream of the soak.
STREAM_EVENTS: Final = 40
# Longest time for which a key may be used after it was taken away, by the
# users' sheets, and what a request may take to its endpoint.
KEY_LIMIT_S: Final = 5.0
KEY_SLACK_S: Final = 0.5
# Time after which an endpoint that says that it leaves gets nothing more, and
# after which one that asks for time is left alone, by the users' pages.
DRAIN_LIMIT_S: Final = 2.0
PAUSE_REACTION_S: Final = 0.5
# From this time after an endpoint first named a limit, each window has at most
# so many times the requests of the limit, and some more, from nodes that passed
# on such an answer before, by the users' pages.
LIMIT_REACTION_S: Final = 3.0
LIMIT_TOLD_S: Final = 0.5
LIMIT_WINDOW_S: Final = 4.0
LIMIT_SHARE: Final = 1.5
LIMIT_SLACK: Final = 5
# Most answers by node, after the store came back from an older copy, that it
# lacks the history asked for.
GONE_ANSWERS: Final = 3

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
        _requests_to_leaving_endpoints,
        _requests_in_pauses,
        _requests_over_limits,
        _watches_of_a_lost_history,
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
    """Find runs of requests that were refused, and of no later attempt."""
    attempts = _attempts(records)
    for run in records.runs:
        sent = _sent_before(attempts, run.request_id, run.started_at)
        # A refused request may run for an attempt that follows.
        if sent and sent[-1].status in PROMISES:
            yield f'{run.request_id} was answered {sent[-1].status} and ran'


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


def _requests_to_leaving_endpoints(records: Records) -> Iterator[str]:
    """Find requests to an endpoint of which their node knew that it leaves."""
    attempts = _attempts(records)
    learned_at: dict[tuple[str, str], float] = {}
    for arrival in sorted(records.arrivals, key=lambda one: one.at):
        sent = _sent_before(attempts, arrival.request_id, arrival.at)
        if not sent or not arrival.is_leaving:
            continue
        outcome = sent[-1]
        key = (outcome.node, arrival.endpoint)
        learned = learned_at.get(key)
        if learned is None:
            # The node has passed on an answer that says so.
            if outcome.is_whole and outcome.status == _OK:
                learned_at[key] = outcome.answered_at
        elif _has_gap(records, outcome.node, learned, arrival.at):
            learned_at.pop(key)
        elif outcome.sent_at > learned + DRAIN_LIMIT_S:
            yield (
                f'{arrival.request_id} reached {arrival.endpoint}, '
                f'which {outcome.node} knew to leave'
            )


def _requests_in_pauses(records: Records) -> Iterator[str]:
    """Find requests to an endpoint that had asked their node for time."""
    attempts = _attempts(records)
    asked: dict[tuple[str, str], Arrival] = {}
    for arrival in sorted(records.arrivals, key=lambda one: one.at):
        sent = _sent_before(attempts, arrival.request_id, arrival.at)
        if not sent:
            continue
        node = sent[-1].node
        first = asked.get((node, arrival.endpoint))
        if first is not None:
            since_s = arrival.at - first.at
            if PAUSE_REACTION_S < since_s < first.pause_s and not _has_gap(
                records, node, first.at, arrival.at
            ):
                yield (
                    f'{arrival.request_id} reached {arrival.endpoint} '
                    f'{since_s:.2f} s after it had asked for '
                    f'{first.pause_s} s'
                )
        if arrival.pause_s:
            asked[node, arrival.endpoint] = arrival


def _requests_over_limits(records: Records) -> Iterator[str]:
    """Find endpoints that got more requests than the limit that they named."""
    attempts = _attempts(records)
    sent_by: list[tuple[Arrival, Outcome]] = []
    for arrival in sorted(records.arrivals, key=lambda one: one.at):
        sent = _sent_before(attempts, arrival.request_id, arrival.at)
        sent_by.extend((arrival, one) for one in sent[-1:])
    last = {outcome: arrival for arrival, outcome in sent_by}
    groups = itertools.groupby(
        sorted(sent_by, key=lambda one: one[0].endpoint),
        key=lambda one: (one[0].endpoint, one[0].limit),
    )
    for (endpoint, limit), group in groups:
        pairs = tuple(group)
        # When nodes had passed on an answer that names it.
        told_at: dict[str, float] = {}
        for arrival, one in pairs:
            if last[one] is arrival and one.is_whole and one.status == _OK:
                known_at = told_at.get(one.node, math.inf)
                told_at[one.node] = min(known_at, one.answered_at)
        times = [
            arrival.at
            for arrival, one in pairs
            if arrival.at >= told_at.get(one.node, math.inf) + LIMIT_TOLD_S
        ]
        begins = min(told_at.values(), default=math.inf) + LIMIT_REACTION_S
        fullest = _fullest_window(records, times, begins)
        allowed = LIMIT_SHARE * LIMIT_WINDOW_S * limit + LIMIT_SLACK
        if limit and fullest > allowed:
            yield (
                f'{endpoint} got {fullest} requests in {LIMIT_WINDOW_S} s, '
                f'and had named a limit of {limit} a second'
            )


def _fullest_window(records: Records, times: list[float], begins: float) -> int:
    """Return the most requests in a window in which all nodes ran.

    A node that was frozen or did not run needs time to learn of a limit.
    """
    counts = [
        sum(start <= at < start + LIMIT_WINDOW_S for at in times)
        for start in times
        if start >= begins
        and not any(
            gap.start < start + LIMIT_WINDOW_S
            and gap.end > start - LIMIT_REACTION_S
            for gap in records.gaps
        )
    ]
    return max(counts, default=0)


def _attempts(records: Records) -> dict[str, list[Outcome]]:
    """Return the attempts of each request, in the order of sending."""
    attempts: dict[str, list[Outcome]] = {}
    for one in sorted(records.outcomes, key=lambda one: one.sent_at):
        attempts.setdefault(one.request_id, []).append(one)
    return attempts


def _sent_before(
    attempts: dict[str, list[Outcome]], request_id: str, at: float
) -> list[Outcome]:
    """Return the attempts of a request that were sent until a time."""
    return [one for one in attempts.get(request_id, ()) if one.sent_at <= at]


def _has_gap(records: Records, node: str, start: float, end: float) -> bool:
    return any(
        gap.node == node and gap.start < end and gap.end > start
        for gap in records.gaps
    )


def _watches_of_a_lost_history(records: Records) -> Iterator[str]:
    for drill in records.drills:
        if drill.gone_answers > GONE_ANSWERS * drill.requesters:
            yield (
                f'{drill.requesters} nodes were answered 410 '
                f'{drill.gone_answers} times after a drill'
            )


def _nodes_that_ended(records: Records) -> Iterator[str]:
    for line in records.ended:
        yield f'{line} ended by itself'
