"""Checks a decoded configuration before it is sent, and compares two of them.

The decoder rejects what it cannot read. What it reads may still be wrong: a
route that no request can reach, or limits that contradict each other.
"""

import dataclasses
from collections import Counter
from collections.abc import Hashable, Iterable, Iterator, Mapping
from enum import StrEnum
from typing import Any

from mastichatch_core.differences import compare_entries
from mastichatch_core.relay.model import (
    Configuration,
    Engine,
    RequestKind,
    Route,
    Service,
    WeightedService,
)


class Severity(StrEnum):
    """Whether a configuration should not be sent, or should be looked at."""

    error = 'error'
    warning = 'warning'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Finding:
    """One thing that is wrong with a configuration, or looks wrong.

    :param severity: whether it should not be sent because of it
    :param place: the entry, such as ``routes[plans]``
    :param reason: what is wrong, with the values that show it
    """

    severity: Severity
    place: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """One entry that differs between two configurations.

    :param place: the entry, such as ``routes[plans]``
    :param effect: ``added``, ``removed`` or ``changed``
    :param fields: what changed, as ``field: old -> new``
    """

    place: str
    effect: str
    fields: tuple[str, ...] = ()


def error_at(place: str, reason: str) -> Finding:
    """Return an error.

    :param place: the entry
    :param reason: what is wrong
    """
    return Finding(severity=Severity.error, place=place, reason=reason)


def warning_at(place: str, reason: str) -> Finding:
    """Return a warning.

    :param place: the entry
    :param reason: what looks wrong
    """
    return Finding(severity=Severity.warning, place=place, reason=reason)


def check_configuration(configuration: Configuration) -> tuple[Finding, ...]:
    """Return what is wrong with a configuration, errors first.

    :param configuration: decoded configuration
    """
    found = (
        *_duplicates(configuration),
        *_shadowed_routes(configuration.routes),
        *_service_references(configuration),
        *_route_limits(configuration.routes),
        *_service_limits(configuration.services.values()),
        *_client_limits(configuration),
        *_key_findings(configuration),
    )
    return tuple(
        sorted(found, key=lambda one: one.severity is not Severity.error)
    )


def compare_configurations(
    old: Configuration, new: Configuration
) -> tuple[Change, ...]:
    """Return the entries that differ, without the API keys themselves.

    :param old: configuration in force
    :param new: configuration to send
    """
    return (
        *_compare(
            'routes',
            {one.name: one for one in old.routes},
            {one.name: one for one in new.routes},
        ),
        *_compare('services', old.services, new.services),
        *_compare('limits', {'': old.limits}, {'': new.limits}),
        *_compare('workspaces', _workspaces(old), _workspaces(new)),
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _WorkspaceKeys:
    """A workspace as far as it is compared.

    :param priority: rank of its requests; ``None`` if not set
    :param keys: its API keys, which are counted and not shown
    """

    priority: int | None
    keys: frozenset[str]


def _duplicates(configuration: Configuration) -> Iterator[Finding]:
    for name in _repeated(route.name for route in configuration.routes):
        yield error_at(f'routes[{name}]', 'two routes have this name')


def _repeated(names: Iterable[Hashable]) -> list[Any]:
    counts = Counter(names)
    return [name for name, count in counts.items() if count > 1]


def _shadowed_routes(routes: tuple[Route, ...]) -> Iterator[Finding]:
    """Find routes that no request reaches.

    Of two routes with the same host and prefix, the first one in the document
    gets all requests.
    """
    first: dict[tuple[str, str], str] = {}
    for route in routes:
        place = f'routes[{route.name}]'
        key = (route.host, route.prefix)
        other = first.setdefault(key, route.name)
        if other != route.name:
            yield error_at(
                place,
                f'never matches: {other!r} has the same host and prefix',
            )
        if not (route.prefix.startswith('/') and route.prefix.endswith('/')):
            yield error_at(
                place,
                f'prefix {route.prefix!r} does not begin and end with a slash',
            )
        if not route.host or ':' in route.host:
            yield error_at(
                place, f'never matches: host {route.host!r} is no host name'
            )


def _service_references(configuration: Configuration) -> Iterator[Finding]:
    used: set[str] = set()
    for route in configuration.routes:
        used.update(one.service for one in route.services)
        for weighted in route.services:
            yield from _reference_findings(configuration, route, weighted)
        if not any(one.weight > 0 for one in route.services):
            yield error_at(
                f'routes[{route.name}]', 'no service has a weight above zero'
            )
    for name in configuration.services:
        if name not in used:
            yield warning_at(f'services[{name}]', 'no route names it')


def _reference_findings(
    configuration: Configuration, route: Route, weighted: WeightedService
) -> Iterator[Finding]:
    place = f'routes[{route.name}]'
    service = configuration.services.get(weighted.service)
    if service is None:
        yield error_at(place, f'there is no service {weighted.service!r}')
    elif route.kind is RequestKind.streaming and not service.engine:
        yield warning_at(place, f'streams, but {service.name!r} has no engines')
    if weighted.weight <= 0:
        yield warning_at(
            place,
            f'{weighted.service!r} never gets a request: '
            f'its weight is {weighted.weight:g}',
        )


def _route_limits(routes: tuple[Route, ...]) -> Iterator[Finding]:
    for route in routes:
        place = f'routes[{route.name}]'
        yield from _time_findings(route, place)
        if route.kind is RequestKind.once and route.attempts > 1:
            yield warning_at(
                place,
                f'{route.attempts} attempts, but its requests may run once',
            )
        if route.priority < 0:
            yield warning_at(place, f'priority {route.priority} is below zero')


def _time_findings(route: Route, place: str) -> Iterator[Finding]:
    if route.timeout_ms <= 0:
        yield error_at(place, f'timeout is {route.timeout_ms:g} ms')
        return
    for name, limit_ms in (
        ('objective', route.objective_ms),
        ('pause', route.pause_ms),
    ):
        if limit_ms > route.timeout_ms:
            yield error_at(
                place,
                f'{name} of {limit_ms:g} ms is over the timeout of '
                f'{route.timeout_ms:g} ms',
            )


def _service_limits(services: Iterable[Service]) -> Iterator[Finding]:
    for service in services:
        if service.engine is not None:
            yield from _engine_findings(service, service.engine)


def _engine_findings(service: Service, engine: Engine) -> Iterator[Finding]:
    place = f'services[{service.name}]'
    if engine.batch_limit <= 0 or engine.memory_tokens <= 0:
        yield error_at(place, 'its engines have no places or no memory')
    if 0 < service.connection_limit < engine.batch_limit:
        yield error_at(
            place,
            f'{service.connection_limit} connections cannot fill '
            f'{engine.batch_limit} places',
        )
    moves = engine.can_move or engine.can_back_up
    if moves and engine.link_bytes_per_ms <= 0:
        yield warning_at(place, 'runs may move, but the link has no rate')


def _client_limits(configuration: Configuration) -> Iterator[Finding]:
    limits = configuration.limits
    for field in dataclasses.fields(limits):
        if getattr(limits, field.name) <= 0:
            yield error_at('limits', f'{field.name} is not above zero')
    if limits.header_timeout_ms > limits.idle_timeout_ms:
        yield warning_at(
            'limits',
            f'a head may take {limits.header_timeout_ms:g} ms, but idle '
            f'connections close after {limits.idle_timeout_ms:g} ms',
        )


def _key_findings(configuration: Configuration) -> Iterator[Finding]:
    needing = [one for one in configuration.routes if not one.is_public]
    if configuration.needs_keys and needing and not configuration.keys:
        yield error_at('workspaces', 'keys are needed, but there are none')
    if not configuration.needs_keys and configuration.keys:
        yield warning_at('workspaces', 'there are keys, but none is needed')
    if '' in configuration.keys:
        yield error_at('workspaces', 'a key is empty')


def _workspaces(configuration: Configuration) -> dict[str, _WorkspaceKeys]:
    keys: dict[str, set[str]] = {}
    priorities: dict[str, int | None] = {}
    for key, workspace in configuration.keys.items():
        keys.setdefault(workspace.name, set()).add(key)
        priorities[workspace.name] = workspace.priority
    return {
        name: _WorkspaceKeys(
            priority=priorities[name],
            keys=frozenset(held),
        )
        for name, held in keys.items()
    }


def _compare(
    section: str, old: Mapping[str, Any], new: Mapping[str, Any]
) -> Iterator[Change]:
    for change in compare_entries(old, new, _describe):
        place = f'{section}[{change.name}]' if change.name else section
        yield Change(place=place, effect=change.effect, fields=change.fields)


def _describe(name: str, before: Any, after: Any) -> str:
    if isinstance(before, frozenset):
        return (
            f'keys: {len(after - before)} added, {len(before - after)} removed'
        )
    return f'{name}: {_text(before)} -> {_text(after)}'


def _text(value: object) -> str:
    if isinstance(value, tuple):
        return '[{0}]'.format(', '.join(map(_text, value)))
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        parts = (
            f'{field.name}={_text(getattr(value, field.name))}'
            for field in dataclasses.fields(value)
        )
        return '({0})'.format(', '.join(parts))
    return str(value)
