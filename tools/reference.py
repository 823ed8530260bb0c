"""Writes docs/REFERENCE.md from the settings schema and the error table."""

import argparse
import pathlib
import sys
from collections.abc import Iterator
from typing import Final

from mastichatch_core.errors import ANSWERS, Answer
from mastichatch_core.generated.messages import ErrorKind
from mastichatch_core.settings import SettingField, setting_fields
from mastichatch_ctl.options import create_parser

ROOT: Final = pathlib.Path(__file__).resolve().parent.parent
PAGE: Final = ROOT / 'docs/REFERENCE.md'

_INTRODUCTION: Final = """\
# Reference

Written by `python -m tools.reference` from `schema/settings.json`, the table in
`mastichatch_core.errors` and the parser of `mastichatchctl`. Don't edit it by
hand.

## Settings of a node

Each setting is a flag of `mastichatch` and an environment variable; flags win.
All settings are checked together before the first socket opens. Wrong ones are
all named on standard error, and the exit code is 2.

| flag | variable | default | meaning |
| --- | --- | --- | --- |
"""
_RULES: Final = """
These must fit together:

- `--member-timeout-ms` is longer than `--heartbeat-interval-ms`;
- `--node-lease-ms` is longer than `--member-timeout-ms` and than
  `--platform-timeout-ms`;
- `--peer-address` differs from `--http-address`, and neither port is zero;
- `--advertised-peer-address`, or else `--peer-address`, names one IP, since
  other nodes connect to it.

## Error kinds

Every refusal has a JSON body with `kind`, `message`, `ran`, `request_id`,
`retry_after_ms` and, for a generation that broke off, `tokens_delivered`. `ran`
says whether the call ran at an endpoint; a refusal may set it otherwise than
the table where more is known.

| kind | status | ran | retry after | meaning |
| --- | --- | --- | --- | --- |
"""
_COMMAND_LINE: Final = """
## Command line

```
{0}```
"""


def reference() -> str:
    """Return the whole page."""
    return ''.join(
        (
            _INTRODUCTION,
            *(_setting_row(field) for field in setting_fields()),
            _RULES,
            *_error_rows(),
            _COMMAND_LINE.format(create_parser({}).format_help()),
        ),
    )


def _setting_row(field: SettingField) -> str:
    meaning = field.description
    if field.minimum is not None:
        meaning = f'{meaning} At least {field.minimum}.'
    if field.choices:
        meaning = '{0} One of {1}.'.format(meaning, ', '.join(field.choices))
    default = 'required' if field.default is None else f'`{field.default}`'
    if field.default == '':
        default = 'none'
    return (
        f'| `{field.flag}` | `{field.environment_name}` | {default} '
        f'| {meaning} |\n'
    )


def _error_rows() -> Iterator[str]:
    for kind in ErrorKind:
        yield _error_row(kind, ANSWERS[kind])


def _error_row(kind: ErrorKind, answer: Answer) -> str:
    retry = '-'
    if answer.retry_after_ms is not None:
        retry = f'{answer.retry_after_ms} ms'
    return (
        f'| `{kind}` | {answer.status} | {answer.ran} | {retry} '
        f'| {answer.meaning} |\n'
    )


def main() -> int:
    """Write the page, or check it, and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--check',
        action='store_true',
        help='only say whether the page is current',
    )
    if parser.parse_args().check:
        current = PAGE.read_text() == reference()
        sys.stdout.write('current\n' if current else 'stale\n')
        return int(not current)
    PAGE.write_text(reference())
    return 0


if __name__ == '__main__':
    sys.exit(main())
