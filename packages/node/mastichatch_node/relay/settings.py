"""Settings of the relay from flags and environment variables."""

import argparse
import dataclasses
import re
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Final

from mastichatch_core.relay.load_control import LoadControl, LoadControls

VARIABLE_PREFIX: Final = 'MASTICHATCH_RELAY_'
EXIT_WRONG_SETTINGS: Final = 2
_ADDRESS: Final = re.compile(r'[0-9.]+:[0-9]+\Z')


class RelaySettingsError(Exception):
    """Settings are missing or invalid.

    :param faults: one line for each missing or invalid setting
    """

    def __init__(self, faults: Sequence[str]) -> None:
        """Create the message, with one line for each fault."""
        super().__init__('\n'.join(faults))


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RelaySettings:
    """Settings of a relay node.

    :param name: unique name of this host
    :param data_centre: data centre of this host
    :param callers_address: address to serve callers on, as IP:PORT
    :param ready_address: address to serve readiness checks on, as IP:PORT
    :param peers_address: address to serve other nodes on, as IP:PORT
    :param metrics_address: address to serve metrics on, as IP:PORT
    :param store_address: address of the platform's store, as IP:PORT
    :param proxy_address: address to serve requests on that other nodes pass
        on, as IP:PORT; empty if none are accepted
    :param key_limit_ms: greatest age of the store view at which API keys are
        accepted, in milliseconds
    :param denial_limit_ms: greatest age of the store view at which callers are
        denied, in milliseconds
    :param retry_percent: retries of all nodes together, in percent of requests
    :param retry_burst: retries of all nodes together beyond that percentage,
        in a window of 10 s
    :param link_mbps: bandwidth of this host's network link, in Mbit/s; zero if
        unknown
    :param body_timeout_ms: longest time for the whole body of a request, in
        milliseconds
    :param memory_mb: memory above which the platform ends the process, in MB
    :param grace_ms: longest duration of a planned stop, in milliseconds
    :param rollout_share: share of a service's requests that a version on trial
        may get, from zero to one; zero if roll-outs are not followed
    :param rollout_slack: requests that a version on trial may get beyond that
        share, from all nodes together
    :param rollback_ms: longest time in which a bad version may still get
        requests, in milliseconds
    :param admission_forecast: services for which requests that cannot be
        served in time are refused on arrival
    :param fair_shares: services whose scarce room is shared among callers
    :param engine_speeds: services whose engines are chosen by measured speed
    :param remote_share: services for which nodes decide by measurements how
        many requests leave their data centre
    :param engine_urgency: services whose engines are told how urgent requests
        are
    :param remote_mb_ms: waiting time of callers that one MB between data
        centres is worth, in milliseconds
    :param log_level: least severe level that is logged
    """

    name: str
    data_centre: str
    callers_address: str
    ready_address: str
    peers_address: str
    metrics_address: str
    store_address: str
    proxy_address: str = ''
    key_limit_ms: float = 5000
    denial_limit_ms: float = 3500
    retry_percent: float = 20
    retry_burst: float = 50
    link_mbps: float = 0
    body_timeout_ms: float = 60000
    memory_mb: float = 150
    grace_ms: float = 8000
    rollout_share: float = 0
    rollout_slack: float = 0
    rollback_ms: float = 5000
    admission_forecast: LoadControl = LoadControl.off
    fair_shares: LoadControl = LoadControl.off
    engine_speeds: LoadControl = LoadControl.off
    remote_share: LoadControl = LoadControl.off
    engine_urgency: LoadControl = LoadControl.off
    # A long generation of the specified load sends about 40 kB. At this rate
    # they are worth a twentieth of its objective of 1.8 s.
    remote_mb_ms: float = 2500
    log_level: str = 'info'

    @property
    def load_controls(self) -> LoadControls:
        """For which services each of the decisions under load is made."""
        return LoadControls(
            admission_forecast=self.admission_forecast,
            fair_shares=self.fair_shares,
            engine_speeds=self.engine_speeds,
            remote_share=self.remote_share,
            engine_urgency=self.engine_urgency,
        )


_LOAD_CONTROLS: Final = frozenset(
    (
        'admission_forecast',
        'fair_shares',
        'engine_speeds',
        'remote_share',
        'engine_urgency',
    )
)
_HELP: Final[Mapping[str, str]] = {
    'name': 'unique name of this host',
    'data_centre': 'data centre of this host',
    'callers_address': 'address to serve callers on, as IP:PORT',
    'ready_address': 'address to serve readiness checks on, as IP:PORT',
    'peers_address': 'address to serve other nodes on, as IP:PORT',
    'metrics_address': 'address to serve metrics on, as IP:PORT',
    'store_address': "address of the platform's store, as IP:PORT",
    'proxy_address': 'address to serve requests of other nodes on, as IP:PORT',
    'key_limit_ms': 'greatest age of the view that accepts API keys, in ms',
    'denial_limit_ms': 'greatest age of the view that may deny callers, in ms',
    'retry_percent': 'retries of all nodes together, in percent of requests',
    'retry_burst': 'further retries of all nodes together, in a window of 10 s',
    'link_mbps': "bandwidth of this host's network link, in Mbit/s",
    'body_timeout_ms': 'longest time for the whole body of a request, in ms',
    'memory_mb': 'memory above which the platform ends the process, in MB',
    'grace_ms': 'longest duration of a planned stop, in ms',
    'rollout_share': 'share of requests that a version on trial may get',
    'rollout_slack': 'requests that it may get beyond that share',
    'rollback_ms': 'longest time in which a bad version gets requests, in ms',
    'admission_forecast': 'refusals by forecast: off, ranked or on',
    'fair_shares': 'sharing of scarce room among callers: off, ranked or on',
    'engine_speeds': 'engines chosen by measured speed: off, ranked or on',
    'remote_share': 'measured use of other data centres: off, ranked or on',
    'engine_urgency': 'urgency told to engines: off, ranked or on',
    'remote_mb_ms': 'waiting time that one MB between data centres is worth',
    'log_level': 'least severe level that is logged',
}


def read_relay_settings(
    arguments: Sequence[str], environment: Mapping[str, str]
) -> RelaySettings:
    """Return the validated settings.

    :param arguments: command-line arguments without the program name
    :param environment: environment variables
    :raises RelaySettingsError: if any setting is missing or invalid
    """
    options = _create_parser().parse_args(arguments)
    converted: dict[str, Any] = {}
    faults: list[str] = []
    for field in dataclasses.fields(RelaySettings):
        variable_name = VARIABLE_PREFIX + field.name.upper()
        flag = getattr(options, field.name)
        text = flag or environment.get(variable_name, '')
        if not text:
            if field.default is dataclasses.MISSING:
                faults.append(f'{field.name}: is required ({variable_name})')
            continue
        fault = _find_fault(field.name, text)
        if fault:
            faults.append(f'{field.name}: {fault}')
        else:
            converted[field.name] = _converter(field.name)(text)
    if faults:
        raise RelaySettingsError(faults)
    return RelaySettings(**converted)


def _create_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='mastichatch relay',
        description='Relays requests of callers to endpoints.',
        epilog=(
            'Each flag has an environment variable: --grace-ms is '
            f'{VARIABLE_PREFIX}GRACE_MS. Flags take precedence.'
        ),
        allow_abbrev=False,
    )
    for name, text in _HELP.items():
        flag = '--{0}'.format(name.replace('_', '-'))
        parser.add_argument(flag, dest=name, metavar='VALUE', help=text)
    return parser


def _is_number(name: str) -> bool:
    return name.endswith(('_ms', '_mb', '_mbps')) or name.startswith(
        ('retry_', 'rollout_')
    )


def _converter(name: str) -> Callable[[str], Any]:
    if name in _LOAD_CONTROLS:
        return LoadControl
    return float if _is_number(name) else str


def _find_fault(name: str, text: str) -> str:
    if name.endswith('_address') and not _ADDRESS.match(text):
        return f'{text!r} is not IP:PORT'
    if name == 'log_level' and text not in {
        'debug',
        'info',
        'warning',
        'error',
    }:
        return f'{text!r} is not debug, info, warning or error'
    if name in _LOAD_CONTROLS and text not in LoadControl.__members__:
        return f'{text!r} is not off, ranked or on'
    if not _is_number(name):
        return ''
    try:
        number = float(text)
    except ValueError:
        return f'{text!r} is not a number'
    return '' if number >= 0 else 'is negative'
