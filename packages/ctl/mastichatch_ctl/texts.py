"""Renders results for people."""

import datetime
import functools
from collections.abc import Iterable, Iterator, Sequence
from typing import Final

from mastichatch_core.generated.messages import Decision, SuspectedListing
from mastichatch_core.units import MS_PER_S
from mastichatch_ctl.results import (
    Accepted,
    Checked,
    Comparison,
    Explanation,
    FleetStatus,
    History,
    InForce,
    NodeAnswer,
    Result,
    Validated,
)

_MARKS: Final[dict[str, str]] = {'added': '+', 'removed': '-', 'changed': '~'}
_STATUS_TITLES: Final = (
    'NODE',
    'ADDRESS',
    'DATA CENTRE',
    'REVISION',
    'STATE',
    'STREAMS',
    'UNHEARD',
    'SCHEDULERS (waiting/free)',
)
_SUSPECTED_TITLES: Final = ('SERVICE', 'VERSION', 'PARTS', 'CRASHES', 'REFUSED')
_HISTORY_TITLES: Final = ('REVISION', 'TIME', 'OPERATOR', 'SUMMARY')


@functools.singledispatch
def render(result: Result) -> str:
    """Return a result as text.

    :param result: what a command returned
    :raises NotImplementedError: for a result without a text
    """
    raise NotImplementedError(type(result))


@render.register
def _validated(result: Validated) -> str:
    return (
        f'valid: {result.data_centres} data centres, '
        f'{result.services} services, {result.endpoints} endpoints, '
        f'{result.workspaces} workspaces'
    )


@render.register
def _checked(result: Checked) -> str:
    lines = [f'warning {one.place}: {one.reason}' for one in result.warnings]
    if result.comparison is not None:
        lines.append(render(result.comparison))
    lines.append(render(result.counts))
    return '\n'.join(lines)


@render.register
def _accepted(result: Accepted) -> str:
    return f'accepted: revision {result.revision}'


@render.register
def _comparison(result: Comparison) -> str:
    if not result.differences:
        return f'no difference to revision {result.revision}'
    lines = [f'against revision {result.revision}:']
    for difference in result.differences:
        mark = _MARKS[difference.effect]
        lines.append(f'{mark} {difference.section} {difference.name}')
        lines.extend(f'    {field}' for field in difference.fields)
    return '\n'.join(lines)


@render.register
def _history(result: History) -> str:
    if not result.revision:
        return 'there is no configuration yet'
    rows = [
        (
            str(change.revision),
            _time(change.at_epoch_ms),
            change.operator,
            change.summary,
        )
        for change in result.changes
    ]
    lines = list(_table(_HISTORY_TITLES, rows))
    lines.extend(
        f'out of service: {drain.kind} {drain.name}' for drain in result.drains
    )
    return '\n'.join(lines)


@render.register
def _suspected(result: SuspectedListing) -> str:
    if not result.entries:
        return 'no parts are suspected or pinned'
    rows = [
        (
            entry.service,
            entry.version or '-',
            ' '.join(entry.parts),
            str(len(entry.crashes)),
            'pinned'
            if entry.is_pinned
            else f'{entry.refused_ms / MS_PER_S:.0f} s',
        )
        for entry in result.entries
    ]
    return '\n'.join(_table(_SUSPECTED_TITLES, rows))


@render.register
def _fleet(result: FleetStatus) -> str:
    rows = [_status_row(node) for node in result.nodes]
    return '\n'.join(_table(_STATUS_TITLES, rows))


@render.register
def _in_force(result: InForce) -> str:
    return (
        f'revision {result.revision} is in force on {result.nodes} nodes, '
        f'after {result.waited_ms} ms'
    )


@render.register
def _explanation(result: Explanation) -> str:
    lines = [f'request {result.request_id}']
    for decision in result.decisions:
        lines.extend(_decision_lines(decision))
    return '\n'.join(lines)


def _decision_lines(decision: Decision) -> Iterator[str]:
    parts = [_time(decision.at_epoch_ms), decision.node, decision.event]
    if decision.choice:
        parts.append(f'-> {decision.choice}')
    if decision.reason:
        parts.append(f'({decision.reason})')
    if decision.term:
        parts.append(f'term {decision.term}')
    if decision.revision:
        parts.append(f'revision {decision.revision}')
    yield '  {0}'.format('  '.join(parts))
    for candidate in decision.candidates:
        reason = f'  {candidate.reason}' if candidate.reason else ''
        yield f'      {candidate.endpoint}  {candidate.score:.3f}{reason}'


def _status_row(node: NodeAnswer) -> list[str]:
    status = node.status
    if status is None:
        return ['?', node.address, '', '', 'away', '', '', node.failure]
    state = 'ready' if status.ready else 'not ready'
    unheard = [each.name for each in status.members if not each.heard]
    schedulers = [
        f'{each.service} ({each.waiting}/{each.free})'
        for each in status.schedulers
    ]
    return [
        status.name,
        node.address,
        status.data_centre,
        str(status.revision),
        'draining' if status.draining else state,
        str(status.streams),
        ', '.join(unheard) or '-',
        ', '.join(schedulers) or '-',
    ]


def _table(
    titles: Sequence[str],
    rows: Iterable[Sequence[str]],
) -> Iterator[str]:
    lines = (titles, *rows)
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    for line in lines:
        cells = (
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        )
        yield '  '.join(cells).rstrip()


def _time(epoch_ms: int) -> str:
    moment = datetime.datetime.fromtimestamp(
        epoch_ms / MS_PER_S,
        tz=datetime.UTC,
    )
    return moment.isoformat(sep=' ', timespec='milliseconds')
