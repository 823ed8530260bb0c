"""Tests of settings from command-line flags and environment variables."""

import socket
import subprocess
import sys

import pytest

from mastichatch_node.settings import (
    SettingsError,
    create_parser,
    read_settings,
)

REQUIRED = ('--name', 'a', '--data-centre', 'd', '--platform', '127.0.0.1:1')


def invalid_sources(
    arguments: tuple[str, ...], environment: dict[str, str] | None = None
) -> set[str]:
    with pytest.raises(SettingsError) as caught:
        read_settings(arguments, environment or {})
    return {fault.source for fault in caught.value.faults}


class TestSources:
    def test_flags_override_variables(self) -> None:
        environment = {
            'MASTICHATCH_NAME': 'b',
            'MASTICHATCH_NODE_LEASE_MS': '7000',
            'MASTICHATCH_SEEDS': '127.0.0.1:5, 127.0.0.1:6',
        }
        settings = read_settings(REQUIRED, environment)
        assert settings.name == 'a'
        assert settings.node_lease_ms == 7000
        assert settings.seeds == ('127.0.0.1:5', '127.0.0.1:6')

    def test_unrelated_variables_are_ignored(self) -> None:
        environment = {'MASTICHATCH_NODE': '127.0.0.1:1', 'PATH': '/bin'}
        assert read_settings(REQUIRED, environment).name == 'a'

    def test_help_lists_units_defaults_and_variables(self) -> None:
        text = ' '.join(create_parser().format_help().split())
        assert 'Time between heartbeats, in milliseconds. Default: 250' in text
        assert 'MASTICHATCH_NODE_LEASE_MS' in text


class TestFaults:
    def test_all_invalid_settings_are_reported_together(self) -> None:
        arguments = (
            '--name',
            '--platform=1.2.3.4:99999',
            '--bogus',
            '--heartbeat-interval-ms=x',
            '--log-level=loud',
        )
        environment = {
            'MASTICHATCH_NODE_LEASE_MS': '99',
            'MASTICHATCH_TYPO': '1',
            'MASTICHATCH_SEEDS': '127.0.0.1:5,elsewhere',
        }
        assert invalid_sources(arguments, environment) >= {
            '--name',
            '--platform',
            '--bogus',
            '--heartbeat-interval-ms',
            '--log-level',
            '--data-centre or MASTICHATCH_DATA_CENTRE',
            'MASTICHATCH_NODE_LEASE_MS',
            'MASTICHATCH_TYPO',
            'MASTICHATCH_SEEDS',
        }

    @pytest.mark.parametrize(
        ('argument', 'source'),
        [
            ('--member-timeout-ms=250', '--member-timeout-ms'),
            ('--node-lease-ms=1500', '--node-lease-ms'),
            ('--platform-timeout-ms=6000', '--node-lease-ms or'),
            ('--http-address=127.0.0.1:8081', '--peer-address or'),
            ('--http-address=127.0.0.1:0', '--http-address'),
            ('--statsd=300.0.0.1:8125', '--statsd'),
            ('--peer-address=0.0.0.0:8081', '--peer-address'),
            ('--advertised-peer-address=0.0.0.0:1', '--advertised-peer'),
            ('--advertised-peer-address=127.0.0.1:0', '--advertised-peer'),
        ],
    )
    def test_invalid_value_or_combination_is_reported(
        self, argument: str, source: str
    ) -> None:
        (named,) = invalid_sources((*REQUIRED, argument))
        assert named.startswith(source)

    def test_conflicting_default_is_reported_by_flag_and_variable(self) -> None:
        assert invalid_sources((*REQUIRED, '--platform-timeout-ms=9000')) == {
            '--node-lease-ms or MASTICHATCH_NODE_LEASE_MS',
        }


class TestProgram:
    def test_invalid_settings_exit_with_2_before_a_socket_opens(self) -> None:
        with socket.socket() as taken:
            taken.bind(('127.0.0.1', 0))
            taken.listen()
            address = f'127.0.0.1:{taken.getsockname()[1]}'
            done = subprocess.run(
                (
                    *(sys.executable, '-m', 'mastichatch_node.main'),
                    *(*REQUIRED, f'--http-address={address}'),
                    *('--log-level=loud', '--explain-limit=0'),
                ),
                capture_output=True,
                text=True,
            )
        assert (done.returncode, done.stdout) == (2, '')
        assert done.stderr.splitlines() == [
            'the settings are wrong:',
            '  --explain-limit: 0 is less than 1',
            "  --log-level: 'loud' is not one of debug, info, warning, error",
        ]
