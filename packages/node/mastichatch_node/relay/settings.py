"""Reads the relay's settings from flags and environment variables."""

import argparse
import dataclasses
import re
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Final

VARIABLE_PREFIX: Final = 'MASTICHATCH_RELAY_'
EXIT_WRONG_SETTINGS: Final = 2
_ADDRESS: Final = re.compile(r'[0-9.]+:[0-9]+\Z')


class RelaySettingsError(Exception):
    """Some settings are wrong.

    :param faults: one line for each
    """

    def __init__(self, faults: Sequence[str]) -> None:
        """Name every wrong setting."""
        super().__init__('\n'.join(faults))


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RelaySettings:
    """Settings of a relay node.

    :param name: unique name of this host
    :param data_centre: data centre that it stands in
    :param callers_address: where callers are served, as IP:PORT
    :param ready_address: where the balancer asks, as IP:PORT
    :param peers_address: where other nodes are heard, as IP:PORT
    :param metrics_address: where metrics are served, as IP:PORT
    :param store_address: the platform's store, as IP:PORT
    :param key_limit_ms: oldest view of the keys that may be used
    :param denial_limit_ms: oldest view by which a caller may be denied
    :param retry_percent: retries of all nodes, in percent of requests
    :param retry_burst: retries of all nodes beyond that in a window
    :param link_mbps: rate of this host's network link; zero where unknown
    :param grace_ms: time from a planned stop to its end
    :param log_level: least severe level that is logged
    """

    name: str
    data_centre: str
    callers_address: str
    ready_address: str
    peers_address: str
    metrics_address: str
    store_address: str
    key_limit_ms: float = 5000
    denial_limit_ms: float = 3500
    retry_percent: float = 20
    retry_burst: float = 50
    link_mbps: float = 0
    grace_ms: float = 8000
    log_level: str = 'info'


_HELP: Final[Mapping[str, str]] = {
    'name': 'unique name of this host',
    'data_centre': 'data centre that this host stands in',
    'callers_address': 'where callers are served, as IP:PORT',
    'ready_address': 'where the balancer asks for readiness, as IP:PORT',
    'peers_address': 'where other nodes are heard, as IP:PORT',
    'metrics_address': 'where metrics are served, as IP:PORT',
    'store_address': "the platform's store, as IP:PORT",
    'key_limit_ms': 'oldest view of the keys that may be used',
    'denial_limit_ms': 'oldest view by which a caller may be denied',
    'retry_percent': 'retries of all nodes, in percent of requests',
    'retry_burst': 'retries of all nodes beyond that, in a window of 10 s',
    'link_mbps': "rate of this host's network link, in Mbit/s",
    'grace_ms': 'time from a planned stop to its end',
    'log_level': 'least severe level that is logged',
}


def read_relay_settings(
    arguments: Sequence[str], environment: Mapping[str, str]
) -> RelaySettings:
    """Return the settings, checked as a whole.

    :param arguments: command-line arguments without the program's name
    :param environment: environment variables
    :raises RelaySettingsError: naming every wrong setting
    """
    options = _parser().parse_args(arguments)
    given: dict[str, Any] = {}
    faults: list[str] = []
    for field in dataclasses.fields(RelaySettings):
        source = VARIABLE_PREFIX + field.name.upper()
        flag = getattr(options, field.name)
        text = flag or environment.get(source, '')
        if not text:
            if field.default is dataclasses.MISSING:
                faults.append(f'{field.name}: is required ({source})')
            continue
        fault = _fault(field.name, text)
        if fault:
            faults.append(f'{field.name}: {fault}')
        else:
            given[field.name] = _reader(field.name)(text)
    if faults:
        raise RelaySettingsError(faults)
    return RelaySettings(**given)


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='mastichatch relay',
        description='Relays requests of callers to endpoints.',
        epilog=(
            'Each flag has an environment variable: --grace-ms is '
            f'{VARIABLE_PREFIX}GRACE_MS. Flags win.'
        ),
        allow_abbrev=False,
    )
    for name, text in _HELP.items():
        flag = '--{0}'.format(name.replace('_', '-'))
        parser.add_argument(flag, dest=name, metavar='VALUE', help=text)
    return parser


def _is_number(name: str) -> bool:
    return name.endswith(('_ms', '_mbps')) or name.startswith('retry_')


def _reader(name: str) -> Callable[[str], Any]:
    return float if _is_number(name) else str


def _fault(name: str, text: str) -> str:
    if name.endswith('_address') and not _ADDRESS.match(text):
        return f'{text!r} is not IP:PORT'
    if name == 'log_level' and text not in {
        'debug',
        'info',
        'warning',
        'error',
    }:
        return f'{text!r} is not debug, info, warning or error'
    if not _is_number(name):
        return ''
    try:
        number = float(text)
    except ValueError:
        return f'{text!r} is not a number'
    return '' if number >= 0 else 'is negative'
