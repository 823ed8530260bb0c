"""Reads the settings of a node from flags and environment variables."""

import argparse
from collections.abc import Mapping, Sequence
from typing import Final

from mastichatch_core.generated.settings import Settings
from mastichatch_core.settings import (
    VARIABLE_PREFIX,
    GivenValue,
    SettingFault,
    SettingField,
    SettingsError,
    parse_settings,
    setting_fields,
)

__all__ = ('Settings', 'SettingsError', 'create_parser', 'read_settings')

EXIT_WRONG_SETTINGS: Final = 2
# Variables of mastichatchctl, which may be set in the same environment.
_COMMAND_LINE_VARIABLES: Final = frozenset(
    ('MASTICHATCH_NODE', 'MASTICHATCH_OPERATOR'),
)
_METAVARS: Final[dict[str, str]] = {
    'integer': 'NUMBER',
    'array': 'IP:PORT,...',
    'string': 'TEXT',
}


def create_parser() -> argparse.ArgumentParser:
    """Return the parser of the flags; its help describes every setting."""
    parser = argparse.ArgumentParser(
        prog='mastichatch',
        description='Runs one mastichatch node.',
        epilog=(
            'Each flag has an environment variable: --node-lease-ms is '
            f'{VARIABLE_PREFIX}NODE_LEASE_MS. Flags take precedence. All '
            'invalid settings are listed on standard error, and the exit '
            'code is '
            f'{EXIT_WRONG_SETTINGS}.'
        ),
        allow_abbrev=False,
    )
    for field in setting_fields():
        parser.add_argument(
            field.flag,
            dest=field.name,
            metavar=_metavar(field),
            help=_help_text(field),
        )
    return parser


def read_settings(
    arguments: Sequence[str],
    environment: Mapping[str, str],
) -> Settings:
    """Return the settings after validating all of them together.

    :param arguments: command-line arguments without the program's name
    :param environment: environment variables
    :raises SettingsError: listing every invalid setting
    :raises SystemExit: with 0 if the arguments request help
    """
    fields = {field.name: field for field in setting_fields()}
    faults = _unknown_variables(fields, environment)
    flags, flag_faults = _read_flags(fields, arguments)
    given_values = {**_read_variables(fields, environment), **flags}
    faults += flag_faults
    try:
        settings = parse_settings(given_values)
    except SettingsError as error:
        faults += error.faults
    if faults:
        raise SettingsError(faults)
    return settings


def _metavar(field: SettingField) -> str:
    if field.choices:
        return '|'.join(field.choices)
    if 'IP:PORT' in field.description and field.kind == 'string':
        return 'IP:PORT'
    return _METAVARS[field.kind]


def _help_text(field: SettingField) -> str:
    text = field.description
    if field.default is None:
        text = f'{text} Required.'
    elif field.default:
        text = f'{text} Default: {field.default}.'
    if field.minimum is not None:
        text = f'{text} Minimum: {field.minimum}.'
    return text.replace('%', '%%')


def _read_variables(
    fields: Mapping[str, SettingField],
    environment: Mapping[str, str],
) -> dict[str, GivenValue]:
    return {
        name: GivenValue(
            text=environment[field.environment_name],
            source=field.environment_name,
        )
        for name, field in fields.items()
        if field.environment_name in environment
    }


def _unknown_variables(
    fields: Mapping[str, SettingField],
    environment: Mapping[str, str],
) -> tuple[SettingFault, ...]:
    known = {
        field.environment_name for field in fields.values()
    } | _COMMAND_LINE_VARIABLES
    return tuple(
        SettingFault(source=name, reason='is not a setting')
        for name in sorted(environment)
        if name.startswith(VARIABLE_PREFIX) and name not in known
    )


def _read_flags(
    fields: Mapping[str, SettingField],
    arguments: Sequence[str],
) -> tuple[dict[str, GivenValue], tuple[SettingFault, ...]]:
    flags = {field.flag for field in fields.values()}
    complete, faults = _split_flags_without_value(flags, arguments)
    options, unknown = create_parser().parse_known_args(complete)
    flag_texts = {name: getattr(options, name) for name in fields}
    faults += tuple(
        SettingFault(source=argument, reason='is not a flag')
        for argument in unknown
    )
    given_values = {
        name: GivenValue(text=text, source=fields[name].flag)
        for name, text in flag_texts.items()
        if text is not None
    }
    return given_values, faults


def _split_flags_without_value(
    flags: set[str],
    arguments: Sequence[str],
) -> tuple[list[str], tuple[SettingFault, ...]]:
    """Return the arguments without flags that lack a value, and the faults.

    argparse stops at the first flag without a value and would not report the
    others.
    """
    complete: list[str] = []
    faults: list[SettingFault] = []
    next_arguments = (*arguments[1:], '--')
    for argument, next_argument in zip(arguments, next_arguments, strict=False):
        if argument in flags and next_argument.startswith('--'):
            faults.append(SettingFault(source=argument, reason='has no value'))
        else:
            complete.append(argument)
    return complete, tuple(faults)
