"""A configuration is checked before it is sent."""

import copy
import json
import pathlib
from typing import Any

import pytest

from mastichatch_ctl import configuration as configuration_commands
from mastichatch_ctl.main import run as run_command
from mastichatch_platform.check import EXIT_WRONG, check_document, run_check
from tests.relay_nodes import configuration
from tests.test_manifest import VALID


def encoded(**changes: Any) -> bytes:
    """Return the document of the tests' configuration with some changes."""
    return json.dumps({**configuration(), **changes}).encode()


def routes(**changes: Any) -> list[dict[str, Any]]:
    """Return the routes, the last of which is a copy of the first, changed."""
    known: list[dict[str, Any]] = configuration()['routes']
    copied = {**known[0], 'name': 'copy', 'prefix': '/copy/', **changes}
    return [*known, copied]


def reasons(content: bytes) -> dict[str, str]:
    """Return the reasons of all findings, by place."""
    return {one.place: one.reason for one in check_document(content).findings}


def test_configuration_in_use_has_no_error() -> None:
    assert check_document(encoded()).exit_code == 0


@pytest.mark.parametrize(
    ('change', 'reason'),
    [
        ({'prefix': '/lookup/'}, 'never matches'),
        ({'prefix': '/copy'}, 'does not begin and end with a slash'),
        ({'host': 'h:80'}, 'is no host name'),
        ({'service': 'gone'}, "there is no service 'gone'"),
        ({'timeout_ms': 0}, 'timeout is 0 ms'),
        ({'timeout_ms': 50, 'goal_ms': 60}, 'is over the timeout'),
        ({'gap_aim_ms': 1e9}, 'pause of'),
        ({'split': [{'service': 'app', 'weight': 0}]}, 'weight above zero'),
        ({'name': 'lookup'}, 'two routes have this name'),
    ],
)
def test_wrong_route_is_an_error(change: dict[str, Any], reason: str) -> None:
    report = check_document(encoded(routes=routes(**change)))
    assert report.exit_code == EXIT_WRONG
    assert any(reason in one.reason for one in report.findings)


def test_attempts_of_requests_that_run_once_are_a_warning() -> None:
    changed = routes(kind='non_idempotent', attempts=2)
    report = check_document(encoded(routes=changed))
    assert report.exit_code == 0
    assert 'may run once' in reasons(encoded(routes=changed))['routes[copy]']


def test_entries_hidden_by_others_are_errors() -> None:
    tenants = [
        {'name': 'a', 'api_keys': ['k']},
        {'name': 'b', 'api_keys': ['k']},
        {'name': 'c', 'api_keys': []},
    ]
    found = reasons(encoded(tenants=tenants))
    assert "a key of workspace 'a'" in found['workspaces[b]']
    assert 'has no key' in found['workspaces[c]']


def test_limits_that_contradict_each_other_are_found() -> None:
    services = configuration()['services']
    services[1]['max_conns'] = 3
    limits = {'header_timeout_ms': 9000, 'idle_timeout_ms': 100}
    found = reasons(encoded(services=services, limits=limits))
    assert 'cannot fill' in found['services[llm]']
    assert 'idle connections close' in found['limits']


@pytest.mark.parametrize('content', [b'', b'{', b'[]', b'{"version": "x"}'])
def test_document_that_cannot_be_decoded_is_an_error(content: bytes) -> None:
    assert check_document(content).exit_code == EXIT_WRONG


def test_changes_are_shown_without_api_keys() -> None:
    tenants = [{'name': 'depots', 'api_keys': ['secret-2']}]
    report = check_document(
        encoded(version=9, tenants=tenants, routes=routes()), encoded()
    )
    shown = {one.place: one for one in report.changes}
    assert shown['routes[copy]'].effect == 'added'
    assert shown['workspaces[depots]'].fields == ('keys: 1 added, 1 removed',)
    assert 'secret-2' not in str(report)


def test_older_version_is_an_error() -> None:
    report = check_document(encoded(version=1), encoded(version=2))
    assert report.exit_code == EXIT_WRONG


@pytest.mark.parametrize('flags', [(), ('--json',)])
def test_command_reports_and_tells_by_its_exit_code(
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
    flags: tuple[str, ...],
) -> None:
    new, current = tmp_path / 'new.json', tmp_path / 'current.json'
    current.write_bytes(encoded())
    new.write_bytes(encoded(version=9, routes=routes(service='gone')))
    arguments = (str(new), '--against', str(current), *flags)
    assert run_check(arguments) == EXIT_WRONG
    assert "there is no service 'gone'" in capsys.readouterr().out
    assert run_check((str(tmp_path / 'missing'),)) == EXIT_WRONG


class TestManifest:
    """The product's own configuration is checked by the command line."""

    def test_entries_without_effect_are_warnings(self) -> None:
        document = copy.deepcopy(VALID)
        document['data_centres'].append({'name': 'west'})
        document['services'][1]['operations'][0].update(
            {'timeout_ms': 5000, 'key_retention_ms': 1000}
        )
        document['workspaces'] = [
            {'name': 'w1', 'services': ['rota'], 'waiting_limit': 9999}
        ]
        found = {
            one.place
            for one in configuration_commands.check(
                json.dumps(document).encode()
            ).warnings
        }
        assert found == {
            'data_centres[2]',
            'services[1]',
            'services[1].operations[0].key_retention_ms',
            'workspaces[0].waiting_limit',
        }

    def test_command_compares_files_without_a_platform(
        self, tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        new, current = tmp_path / 'new.json', tmp_path / 'current.json'
        current.write_text(json.dumps(VALID))
        changed = copy.deepcopy(VALID)
        changed['data_centres'].append({'name': 'west'})
        new.write_text(json.dumps(changed))
        arguments = ['config', 'check', str(new), '--against', str(current)]
        assert run_command(arguments) == 0
        shown = capsys.readouterr().out
        assert '+ data_centres west' in shown
        assert 'warning data_centres[2]: has no endpoint' in shown
        assert run_command(['config', 'check', str(tmp_path / 'none')]) == 2
