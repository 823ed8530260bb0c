"""Runs one command, prints its result, and returns the exit code."""

import asyncio
import contextlib
import dataclasses
import os
import pathlib
import sys
from collections.abc import AsyncIterator, Callable, Coroutine, Sequence
from typing import Any, Final

import msgspec

from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.messages import ErrorKind
from mastichatch_core.manifest import ManifestError
from mastichatch_ctl import configuration, nodes
from mastichatch_ctl.options import Options, parse_options
from mastichatch_ctl.results import Failure, FleetStatus, Result
from mastichatch_ctl.texts import render
from mastichatch_node.platform import Platform, open_platform

EXIT_FAILED: Final = 1
EXIT_USAGE: Final = 2
EXIT_CONFLICT: Final = 3
EXIT_AWAY: Final = 4
EXIT_UNKNOWN: Final = 5
EXIT_INTERRUPTED: Final = 130

_EXIT_CODES: Final[dict[ErrorKind, int]] = {
    ErrorKind.bad_request: EXIT_USAGE,
    ErrorKind.body_too_large: EXIT_USAGE,
    ErrorKind.manifest_invalid: EXIT_USAGE,
    ErrorKind.conflict: EXIT_CONFLICT,
    ErrorKind.platform_unavailable: EXIT_AWAY,
    ErrorKind.peer_unreachable: EXIT_AWAY,
    ErrorKind.outcome_unknown: EXIT_UNKNOWN,
}

Command = Callable[[Options], Coroutine[Any, Any, Result]]


def main() -> int:
    """Run the program and return its exit code."""
    with contextlib.suppress(KeyboardInterrupt):
        return run(sys.argv[1:])
    return EXIT_INTERRUPTED


def run(arguments: Sequence[str]) -> int:
    """Run one command and return the exit code.

    :param arguments: arguments without the program's name
    :raises SystemExit: with 2 for wrong usage, with 0 after help
    """
    options = parse_options(arguments, os.environ)
    try:
        result = asyncio.run(_COMMANDS[options.command](options))
    except MastichatchError as error:
        sys.stderr.write(f'{_error_text(error, options)}\n')
        return _EXIT_CODES.get(error.kind, EXIT_FAILED)
    sys.stdout.write(f'{_result_text(result, options)}\n')
    return _result_code(result)


async def _validate(options: Options) -> Result:
    return configuration.validate(_read_file(options))


async def _config_check(options: Options) -> Result:
    content = _read_file(options)
    if options.against is not None:
        return configuration.check(content, _read(options.against))
    checked = configuration.check(content)
    if options.platform is None:
        return checked
    async with _platform(options) as platform:
        comparison = await configuration.compare_with_current(platform, content)
    return dataclasses.replace(checked, comparison=comparison)


async def _apply(options: Options) -> Result:
    content = _read_file(options)
    # A faulty manifest is refused whether or not the platform is there.
    configuration.validate(content)
    async with _platform(options) as platform:
        return await configuration.apply(
            platform,
            content,
            options.operator,
            options.base,
        )


async def _diff(options: Options) -> Result:
    content = _read_file(options)
    async with _platform(options) as platform:
        return await configuration.compare_with_current(platform, content)


async def _history(options: Options) -> Result:
    async with _platform(options) as platform:
        return await configuration.read_history(platform)


async def _drain(options: Options) -> Result:
    async with _platform(options) as platform:
        return await configuration.drain(
            platform,
            options.target,
            options.operator,
        )


async def _restore(options: Options) -> Result:
    async with _platform(options) as platform:
        return await configuration.restore(
            platform,
            options.target,
            options.operator,
        )


async def _status(options: Options) -> Result:
    addresses = await _node_addresses(options)
    async with nodes.open_nodes(options.call_timeout_ms) as client:
        return await nodes.read_fleet(client, addresses)


async def _explain(options: Options) -> Result:
    addresses = await _node_addresses(options)
    async with nodes.open_nodes(options.call_timeout_ms) as client:
        return await nodes.explain(client, addresses, options.request_id)


async def _config_wait(options: Options) -> Result:
    addresses = await _node_addresses(options)
    async with nodes.open_nodes(options.call_timeout_ms) as client:
        return await nodes.wait_for_revision(
            client,
            addresses,
            options.revision,
            options.timeout_ms,
        )


async def _quarantine(options: Options) -> Result:
    action = options.command.rpartition(' ')[2]
    order = {}
    if action != 'list':
        order = {
            'action': action,
            'service': options.service,
            'part': options.part,
        }
    addresses = await _node_addresses(options)
    async with nodes.open_nodes(options.call_timeout_ms) as client:
        return await nodes.order_quarantine(client, addresses, order)


_COMMANDS: Final[dict[str, Command]] = {
    'validate': _validate,
    'apply': _apply,
    'diff': _diff,
    'history': _history,
    'drain': _drain,
    'restore': _restore,
    'status': _status,
    'explain': _explain,
    'config check': _config_check,
    'config wait': _config_wait,
    'quarantine list': _quarantine,
    'quarantine clear': _quarantine,
    'quarantine pin': _quarantine,
    'quarantine unpin': _quarantine,
}


@contextlib.asynccontextmanager
async def _platform(options: Options) -> AsyncIterator[Platform]:
    if options.platform is None:
        raise MastichatchError(
            ErrorKind.bad_request,
            'give --platform IP:PORT or set MASTICHATCH_PLATFORM',
        )
    async with open_platform(
        options.platform,
        options.call_timeout_ms,
    ) as platform:
        yield platform


async def _node_addresses(options: Options) -> tuple[str, ...]:
    if options.node:
        return options.node
    if options.platform is None:
        raise MastichatchError(
            ErrorKind.bad_request,
            'give --node IP:PORT or --platform IP:PORT, or set '
            'MASTICHATCH_NODE or MASTICHATCH_PLATFORM',
        )
    async with _platform(options) as platform:
        records = await configuration.read_nodes(platform)
    if not records:
        raise MastichatchError(
            ErrorKind.peer_unreachable,
            'no node is registered with the platform',
        )
    return tuple(record.http_address for record in records)


def _read_file(options: Options) -> bytes:
    if str(options.file) == '-':
        return sys.stdin.buffer.read()
    return _read(options.file)


def _read(path: pathlib.Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        raise MastichatchError(
            ErrorKind.bad_request,
            f'{path}: {error.strerror}',
        ) from error


def _result_text(result: Result, options: Options) -> str:
    if options.json:
        return msgspec.json.encode(result).decode()
    return render(result)


def _error_text(error: MastichatchError, options: Options) -> str:
    if not options.json:
        separator = '\n' if '\n' in str(error) else ' '
        return f'mastichatchctl: {error.kind}:{separator}{error}'
    faults = error.faults if isinstance(error, ManifestError) else ()
    failure = Failure(kind=error.kind, message=str(error), faults=faults)
    return msgspec.json.encode({'error': failure}).decode()


def _result_code(result: Result) -> int:
    if isinstance(result, FleetStatus):
        away = [node for node in result.nodes if node.status is None]
        return EXIT_AWAY if away else 0
    return 0


if __name__ == '__main__':
    sys.exit(main())
