"""Guards against cases of the review that can't start.

Their stand-in of the deployment renders the deploy file from settings of its
own. A name that is new in the template, and unknown to the stand-in, stops all
cases before the process that they examine is started.
"""

import asyncio
import importlib.util
import pathlib
import sys
import tomllib
import types
from collections.abc import Iterator
from typing import Any, Final

import pytest

from mastichatch_node.relay.settings import read_relay_settings

ROOT: Final = pathlib.Path(__file__).resolve().parents[1]
REVIEW: Final = ROOT / 'review'
CASES: Final = ('1', '2', '3', '4', '5')
STANDINS: Final = 'standins'
START_LIMIT_S: Final = 10


class ProcessStart(Exception):
    """Ends a case where it starts the process of a machine.

    :param command: the command line
    :param environment: the environment variables of the process
    """

    def __init__(
        self, command: tuple[str, ...], environment: dict[str, str]
    ) -> None:
        """Keep what the process would be started with."""
        super().__init__(command)
        self.command = command
        self.environment = environment


@pytest.fixture
def imports_of_cases(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    monkeypatch.syspath_prepend(str(REVIEW))
    yield
    for name in tuple(sys.modules):
        if name.partition('.')[0] == STANDINS:
            sys.modules.pop(name)


def _import_case(name: str) -> types.ModuleType:
    spec = importlib.util.spec_from_file_location(
        f'review_case_{name}', REVIEW / name / 'case.py'
    )
    assert spec is not None and spec.loader is not None
    case = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(case)
    return case


async def _play_until_start(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> ProcessStart:
    case = _import_case(name)

    async def start_process(*command: str, **options: Any) -> None:
        raise ProcessStart(command, options['env'])

    monkeypatch.setattr(asyncio, 'create_subprocess_exec', start_process)
    with pytest.raises(ProcessStart) as started:
        async with asyncio.timeout(START_LIMIT_S):
            await case.play(types.SimpleNamespace(write=lambda line: None))
    return started.value


def _role() -> Any:
    deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
    return deploy['roles']['relay']


def test_all_cases_are_checked() -> None:
    found = {path.parent.name for path in REVIEW.glob('*/case.py')}
    assert found == set(CASES)


@pytest.mark.usefixtures('imports_of_cases')
@pytest.mark.parametrize('name', CASES)
class TestStart:
    """Cases start the process of the deploy file with accepted settings."""

    async def test_whole_template_is_rendered(
        self, name: str, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        started = await _play_until_start(name, monkeypatch)
        role = _role()
        assert ' '.join(started.command) == role['run']
        assert set(role['env']) <= set(started.environment)
        for text in started.environment.values():
            assert '{{' not in text

    async def test_settings_are_accepted_and_of_a_site_without_rollouts(
        self, name: str, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        started = await _play_until_start(name, monkeypatch)
        settings = read_relay_settings([], started.environment)
        assert settings.name == 'edge-kathmandu-a-1'
        assert settings.key_limit_ms == 5000
        assert settings.rollout_share == settings.rollout_slack == 0
        assert settings.rollback_ms == 5000
