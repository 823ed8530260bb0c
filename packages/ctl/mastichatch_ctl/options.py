"""The arguments of the command line."""

import argparse
import functools
import getpass
import ipaddress
import pathlib
import re
from collections.abc import Mapping, Sequence
from typing import Any, Final

from mastichatch_core.generated.records import Drain, DrainKind

DEFAULT_CALL_TIMEOUT_MS: Final = 3000
DEFAULT_WAIT_MS: Final = 18000
HELP_WIDTH: Final = 78

_ADDRESS: Final = re.compile(r'([\d.]+):(\d{1,5})', re.ASCII)
_HIGHEST_PORT: Final = 65535
_EPILOG: Final = """\
exit codes:
  0  done
  1  failed: nothing known of the name or request, or a wait timed out
  2  wrong usage, or an invalid manifest; nothing was written
  3  conflict: another change was accepted first; nothing was written
  4  the platform or the node did not answer; nothing was changed
  5  the change may have been accepted: see the history

environment variables, over which flags win:
  MASTICHATCH_PLATFORM   as --platform
  MASTICHATCH_NODE       as --node
  MASTICHATCH_OPERATOR   as --operator
"""


class Options(argparse.Namespace):
    """The parsed arguments; those of other commands are absent.

    ``command`` is the command's name, ``config wait`` in two words.
    """

    command: str
    platform: str | None
    node: tuple[str, ...]
    operator: str
    json: bool
    call_timeout_ms: int
    file: pathlib.Path
    against: pathlib.Path | None
    base: int | None
    kind: DrainKind
    name: str
    request_id: str
    revision: int
    timeout_ms: int
    service: str
    part: str

    @property
    def target(self) -> Drain:
        """What a drain or restore is about."""
        return Drain(kind=self.kind, name=self.name)


def parse_options(
    arguments: Sequence[str],
    environment: Mapping[str, str],
) -> Options:
    """Return the parsed arguments.

    :param arguments: arguments without the program's name
    :param environment: environment variables
    :raises SystemExit: with 2 for wrong usage, with 0 after help
    """
    return create_parser(environment).parse_args(arguments, Options())


def create_parser(environment: Mapping[str, str]) -> argparse.ArgumentParser:
    """Return the parser of all commands.

    :param environment: environment variables, for the defaults
    """
    parser = argparse.ArgumentParser(
        prog='mastichatchctl',
        description='Operates a mastichatch fleet.',
        epilog=_EPILOG,
        formatter_class=functools.partial(
            argparse.RawDescriptionHelpFormatter,
            width=HELP_WIDTH,
        ),
        allow_abbrev=False,
    )
    _add_global_flags(
        parser,
        {
            'platform': environment.get('MASTICHATCH_PLATFORM') or None,
            'node': environment.get('MASTICHATCH_NODE', ''),
            'operator': environment.get('MASTICHATCH_OPERATOR') or _user(),
            'json': False,
            'call_timeout_ms': DEFAULT_CALL_TIMEOUT_MS,
        },
    )
    commands = parser.add_subparsers(metavar='COMMAND', required=True)
    _add_configuration_commands(commands)
    _add_drain_commands(commands)
    _add_node_commands(commands)
    return parser


def _add_configuration_commands(commands: Any) -> None:
    validate = _add_command(commands, 'validate', 'check a manifest')
    _add_file(validate)
    apply = _add_command(commands, 'apply', 'put a manifest into force')
    _add_file(apply)
    apply.add_argument(
        '--base',
        metavar='REVISION',
        type=_number,
        help='refuse unless this revision is in force (exit code 3)',
    )
    diff = _add_command(
        commands,
        'diff',
        'show how a manifest differs from the one in force',
    )
    _add_file(diff)
    _add_command(commands, 'history', 'list the newest changes')
    config = commands.add_parser('config', help='check or follow a change')
    waits = config.add_subparsers(metavar='COMMAND', required=True)
    check = _add_command(
        waits,
        'check',
        'check a manifest before it is applied (exit code 2 for an error)',
        command='config check',
    )
    _add_file(check)
    check.add_argument(
        '--against',
        metavar='CURRENT',
        type=pathlib.Path,
        default=None,
        help='manifest to compare with; without it the one in force, if '
        '--platform is given',
    )
    wait = _add_command(
        waits,
        'wait',
        'wait until every node has a revision in force',
        command='config wait',
    )
    wait.add_argument('revision', metavar='REVISION', type=_number)
    wait.add_argument(
        '--timeout-ms',
        metavar='MS',
        type=_number,
        default=DEFAULT_WAIT_MS,
        help='longest wait, in milliseconds (default: %(default)s)',
    )


def _add_drain_commands(commands: Any) -> None:
    helps = {
        'drain': 'take a data centre or endpoint out of service',
        'restore': 'bring a data centre or endpoint back into service',
    }
    for name, explained in helps.items():
        drain = commands.add_parser(name, help=explained)
        kinds = drain.add_subparsers(metavar='KIND', required=True)
        for kind in DrainKind:
            word = kind.replace('_', '-')
            target = _add_command(kinds, word, explained, command=name)
            target.set_defaults(kind=kind)
            target.add_argument('name', metavar='NAME')


def _add_node_commands(commands: Any) -> None:
    _add_command(commands, 'status', 'show the state of the nodes')
    explain = _add_command(commands, 'explain', "tell a request's story")
    explain.add_argument('request_id', metavar='REQUEST_ID')
    _add_quarantine_commands(commands)


def _add_quarantine_commands(commands: Any) -> None:
    helped = 'parts of prompts that crash endpoints'
    quarantine = commands.add_parser('quarantine', help=helped)
    orders = quarantine.add_subparsers(metavar='COMMAND', required=True)
    helps = {
        'list': 'list the suspected parts',
        'clear': 'treat a part as sound until it is suspected anew',
        'pin': 'refuse all requests with a part until it is unpinned',
        'unpin': 'lift a pin',
    }
    for name, explained in helps.items():
        command = f'quarantine {name}'
        order = _add_command(orders, name, explained, command=command)
        if name != 'list':
            order.add_argument('service', metavar='SERVICE')
            order.add_argument('part', metavar='PART')


def _add_command(
    commands: Any,
    name: str,
    explained: str,
    command: str = '',
) -> argparse.ArgumentParser:
    parser: argparse.ArgumentParser = commands.add_parser(
        name,
        help=explained,
        description=explained,
        allow_abbrev=False,
    )
    parser.set_defaults(command=command or name)
    # The flags may stand before the command and after it; only the main
    # parser gives defaults, or the command's would overwrite what was given.
    _add_global_flags(parser, {})
    return parser


def _add_file(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        'file',
        metavar='FILE',
        type=pathlib.Path,
        help='manifest as JSON; - reads standard input',
    )


def _add_global_flags(
    parser: argparse.ArgumentParser,
    defaults: Mapping[str, object],
) -> None:
    def default(name: str) -> object:  # noqa: WPS430
        return defaults.get(name, argparse.SUPPRESS)

    parser.add_argument(
        '--platform',
        metavar='IP:PORT',
        type=_address,
        default=default('platform'),
        help="address of the platform's service",
    )
    parser.add_argument(
        '--node',
        metavar='IP:PORT,...',
        type=_addresses,
        default=default('node'),
        help=(
            'HTTP addresses of the nodes to ask; without it, all nodes '
            'that are registered with the platform'
        ),
    )
    parser.add_argument(
        '--operator',
        metavar='NAME',
        default=default('operator'),
        help='name put into the history (default: the user)',
    )
    parser.add_argument(
        '--call-timeout-ms',
        metavar='MS',
        type=_number,
        default=default('call_timeout_ms'),
        help=(
            'time allowed for one call, in milliseconds '
            f'(default: {DEFAULT_CALL_TIMEOUT_MS})'
        ),
    )
    parser.add_argument(
        '--json',
        action='store_true',
        default=default('json'),
        help='write results and errors as JSON',
    )


def _address(text: str) -> str:
    matched = _ADDRESS.fullmatch(text)
    if matched is None or not 1 <= int(matched[2]) <= _HIGHEST_PORT:
        raise argparse.ArgumentTypeError(f'{text!r} is not of the form IP:PORT')
    try:
        ipaddress.IPv4Address(matched[1])
    except ValueError:
        raise argparse.ArgumentTypeError(
            f'{text!r} has a wrong IP address',
        ) from None
    return text


def _addresses(text: str) -> tuple[str, ...]:
    return tuple(_address(part.strip()) for part in text.split(',') if part)


def _number(text: str) -> int:
    if not text.isdecimal() or int(text) < 1:
        raise argparse.ArgumentTypeError(
            f'{text!r} is not a whole number above zero',
        )
    return int(text)


def _user() -> str:
    try:
        return getpass.getuser()
    except (OSError, KeyError):
        return 'unknown'
