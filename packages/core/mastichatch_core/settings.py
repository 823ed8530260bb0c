"""Parsing and validation of node settings against their JSON Schema."""

import dataclasses
import ipaddress
import json
from collections.abc import Callable, Iterable, Mapping
from importlib import resources
from typing import Any, Final

import jsonschema
import msgspec

from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.messages import ErrorKind
from mastichatch_core.generated.settings import Settings

VARIABLE_PREFIX: Final = 'MASTICHATCH_'
HIGHEST_PORT: Final = 65535
_UNSPECIFIED_HOST: Final = '0.0.0.0:'
_ADDRESS_PATTERN: Final = '[0-9.]+:[0-9]+'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SettingField:
    """Schema definition of one setting.

    :param name: name in the schema
    :param kind: JSON type: ``string``, ``integer`` or ``array``
    :param description: meaning and unit
    :param default: default as text; ``None`` if the setting is required
    :param choices: allowed values; empty if there is no restriction
    :param minimum: smallest allowed number; ``None`` if there is no limit
    """

    name: str
    kind: str
    description: str
    default: str | None
    choices: tuple[str, ...] = ()
    minimum: int | None = None

    @property
    def flag(self) -> str:
        """Command-line flag of the setting."""
        return '--{0}'.format(self.name.replace('_', '-'))

    @property
    def environment_name(self) -> str:
        """Environment variable of the setting."""
        return f'{VARIABLE_PREFIX}{self.name.upper()}'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GivenValue:
    """A setting's value as text, with its source.

    :param text: unparsed value
    :param source: flag or environment variable that set the value
    """

    text: str
    source: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SettingFault:
    """One invalid setting.

    :param source: flag or environment variable that set the value; both for a
        default
    :param reason: description of the error
    """

    source: str
    reason: str


class SettingsError(MastichatchError):
    """Raised for invalid settings.

    :param faults: all invalid settings
    """

    def __init__(self, faults: tuple[SettingFault, ...]) -> None:
        """Store the faults and list all of them in the message."""
        lines = [f'  {fault.source}: {fault.reason}' for fault in faults]
        super().__init__(
            ErrorKind.bad_request,
            '\n'.join(('the settings are wrong:', *lines)),
        )
        self.faults = faults


@dataclasses.dataclass(frozen=True, slots=True)
class _Constraint:
    """A constraint between two settings.

    :param first: setting that a violation is reported for
    :param second: setting that the first one is compared with
    :param holds: predicate that is true for a valid pair of values
    :param reason: description of a violation
    """

    first: str
    second: str
    holds: Callable[[Any, Any], bool]
    reason: str


_CONSTRAINTS: Final = (
    _Constraint(
        'member_timeout_ms',
        'heartbeat_interval_ms',
        lambda timeout, interval: timeout > interval,
        'must be longer than the heartbeat interval',
    ),
    _Constraint(
        'node_lease_ms',
        'member_timeout_ms',
        lambda lease, timeout: lease > timeout,
        'must be longer than the member timeout',
    ),
    _Constraint(
        'node_lease_ms',
        'platform_timeout_ms',
        lambda lease, timeout: lease > timeout,
        'must be longer than the platform timeout, or no renewal fits into it',
    ),
    _Constraint(
        'peer_address',
        'http_address',
        lambda peer, http: peer != http,
        'must differ from the address for callers',
    ),
)


def schema() -> dict[str, Any]:
    """Return the JSON Schema of the settings."""
    files = resources.files('mastichatch_core')
    text = files.joinpath('schemas/settings.json').read_text()
    loaded: dict[str, Any] = json.loads(text)
    return loaded


def setting_fields() -> tuple[SettingField, ...]:
    """Return the definitions of all settings, in schema order."""
    loaded = schema()
    required = frozenset(loaded['required'])
    return tuple(
        _field(name, property_schema, required=name in required)
        for name, property_schema in loaded['properties'].items()
    )


def _field(
    name: str,
    property_schema: Mapping[str, Any],
    *,
    required: bool,
) -> SettingField:
    default = property_schema.get('default', '')
    if property_schema['type'] == 'array':
        default = ','.join(default)
    return SettingField(
        name=name,
        kind=property_schema['type'],
        description=property_schema['description'],
        default=None if required else str(default),
        choices=tuple(property_schema.get('enum', ())),
        minimum=property_schema.get('minimum'),
    )


def parse_settings(given: Mapping[str, GivenValue]) -> Settings:
    """Return the validated settings, with defaults filled in.

    :param given: values by setting name
    :raises SettingsError: listing every invalid setting
    """
    fields = {field.name: field for field in setting_fields()}
    sources = {
        name: given[name].source if name in given else _default_source(field)
        for name, field in fields.items()
    }
    values, reasons = _parse_values(fields, given)
    reasons |= _schema_faults(values)
    complete = _with_defaults(fields, values)
    valid = {
        name: value for name, value in complete.items() if name not in reasons
    }
    reasons |= _address_faults(valid)
    reasons |= _advertised_fault(valid)
    reasons |= _constraint_faults(valid.keys() - reasons.keys(), valid)
    if reasons:
        raise SettingsError(
            tuple(
                SettingFault(source=sources[name], reason=reasons[name])
                for name in fields
                if name in reasons
            ),
        )
    return msgspec.convert(complete, Settings)


def _default_source(field: SettingField) -> str:
    return f'{field.flag} or {field.environment_name}'


def _parse_values(
    fields: Mapping[str, SettingField],
    given: Mapping[str, GivenValue],
) -> tuple[dict[str, Any], dict[str, str]]:
    values: dict[str, Any] = {}
    reasons: dict[str, str] = {}
    for name, value in given.items():
        try:
            values[name] = _parse_value(fields[name], value.text)
        except ValueError:
            reasons[name] = f'{value.text!r} is not a whole number'
    return values, reasons


def _parse_value(field: SettingField, text: str) -> str | int | list[str]:
    if field.kind == 'integer':
        return int(text)
    if field.kind == 'array':
        return [part.strip() for part in text.split(',') if part.strip()]
    return text


def _schema_faults(values: Mapping[str, Any]) -> dict[str, str]:
    settings_schema = schema()
    required = settings_schema.pop('required')
    validator = jsonschema.Draft202012Validator(settings_schema)
    reasons = {
        str(error.absolute_path[0]): _reason(error)
        for error in validator.iter_errors(values)
    }
    for name in required:
        if name not in values:
            reasons.setdefault(name, 'is required')
    return reasons


def _reason(error: jsonschema.ValidationError) -> str:
    bound: Any = error.validator_value
    match error.validator:
        case 'pattern' if _ADDRESS_PATTERN in bound:
            return f'{error.instance!r} is not an address of the form IP:PORT'
        case 'minimum':
            return f'{error.instance} is less than {bound}'
        case 'enum':
            choices = ', '.join(bound)
            return f'{error.instance!r} is not one of {choices}'
        case 'minLength':
            return f'is shorter than {bound} characters'
    return error.message


def _with_defaults(
    fields: Mapping[str, SettingField],
    values: Mapping[str, Any],
) -> dict[str, Any]:
    defaults = {
        name: _parse_value(field, field.default)
        for name, field in fields.items()
        if field.default is not None
    }
    return {**defaults, **values}


def _address_faults(values: Mapping[str, Any]) -> dict[str, str]:
    reasons: dict[str, str] = {}
    for name in _address_names():
        reason = _address_error(_as_list(values.get(name, '')))
        if reason:
            reasons[name] = reason
    return reasons


def _address_names() -> tuple[str, ...]:
    return tuple(
        name
        for name, property_schema in schema()['properties'].items()
        if _ADDRESS_PATTERN
        in property_schema.get('items', property_schema).get('pattern', '')
    )


def _as_list(value: str | list[str]) -> list[str]:
    return [value] if isinstance(value, str) else value


def _address_error(addresses: Iterable[str]) -> str:
    for address in filter(None, addresses):
        host, _, port = address.rpartition(':')
        if not 1 <= int(port) <= HIGHEST_PORT:
            return f'{address!r} has a port outside 1 to {HIGHEST_PORT}'
        try:
            ipaddress.IPv4Address(host)
        except ValueError:
            return f'{address!r} has a wrong IP address'
    return ''


def _advertised_fault(values: Mapping[str, Any]) -> dict[str, str]:
    for name in ('advertised_peer_address', 'peer_address'):
        address = values.get(name, '')
        if address.startswith(_UNSPECIFIED_HOST):
            return {name: 'must name one IP for other nodes'}
        if address:
            break
    return {}


def _constraint_faults(
    names: Iterable[str],
    values: Mapping[str, Any],
) -> dict[str, str]:
    known = frozenset(names)
    reasons: dict[str, str] = {}
    for constraint in _CONSTRAINTS:
        if not {constraint.first, constraint.second} <= known:
            continue
        first, second = values[constraint.first], values[constraint.second]
        if not constraint.holds(first, second):
            reasons.setdefault(
                constraint.first,
                f'{first} {constraint.reason} ({second})',
            )
    return reasons
