"""The command line against the platform stand-in and fake nodes."""

import asyncio
import contextlib
import json
import pathlib
import random
from collections.abc import AsyncIterator
from typing import Any

import pytest
from aiohttp import web

from mastichatch_ctl.main import run
from tests.standins.platform import create_platform
from tests.standins.serving import create_application, serve

NOTHING_LISTENS = '127.0.0.1:1'


def manifest(**changes: Any) -> dict[str, Any]:
    """Return a small valid manifest with some sections replaced."""
    return {
        'data_centres': [{'name': 'north'}, {'name': 'south'}],
        'services': [{'name': 'plans', 'kind': 'model'}],
        'endpoints': [
            {
                'name': 'e1',
                'service': 'plans',
                'data_centre': 'north',
                'host': 'h1',
                'address': '127.0.0.1:9000',
            }
        ],
        'workspaces': [{'name': 'gang'}],
    } | changes


class CommandLine:
    """Runs commands against one platform and keeps what they print."""

    def __init__(
        self,
        platform: str,
        folder: pathlib.Path,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        """Keep what every command needs."""
        self.platform = platform
        self._folder = folder
        self._capsys = capsys

    def file(self, content: object) -> str:
        """Write a manifest and return its path."""
        path = self._folder / 'manifest.json'
        path.write_text(json.dumps(content))
        return str(path)

    async def __call__(self, *arguments: str) -> tuple[int, str, str]:
        """Return the exit code and what went to the two streams."""
        code = await asyncio.to_thread(
            run, (f'--platform={self.platform}', *arguments)
        )
        captured = self._capsys.readouterr()
        return code, captured.out, captured.err


@pytest.fixture
async def ctl(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> AsyncIterator[CommandLine]:
    async with serve(create_platform(), 0) as address:
        yield CommandLine(address, tmp_path, capsys)


@contextlib.asynccontextmanager
async def open_node(
    revision: int, decisions: list[dict[str, Any]] | None = None
) -> AsyncIterator[str]:
    """Serve what a node answers to operators."""

    async def status(_request: web.Request) -> web.Response:
        return web.json_response(
            {
                'name': f'node-{revision}',
                'incarnation': 'i',
                'data_centre': 'north',
                'revision': revision,
                'ready': True,
                'draining': False,
                'members': [{'name': 'gone', 'heard': False}],
                'schedulers': [
                    {'service': 's', 'term': 2, 'waiting': 3, 'free': 4}
                ],
                'streams': 5,
            }
        )

    async def explain(request: web.Request) -> web.Response:
        asked = request.match_info['request_id']
        kept = [each for each in decisions or [] if each['request_id'] == asked]
        return web.json_response({'decisions': kept})

    application = create_application()
    application.add_routes(
        [
            web.get('/admin/status', status),
            web.get('/admin/explain/{request_id}', explain),
        ]
    )
    async with serve(application, 0) as address:
        yield address


class TestManifest:
    async def test_a_valid_manifest_is_applied_and_told(
        self, ctl: CommandLine
    ) -> None:
        file = ctl.file(manifest())
        assert await ctl('validate', file) == (
            0,
            'valid: 2 data centres, 1 services, 1 endpoints, 1 workspaces\n',
            '',
        )
        code, out, _ = await ctl('diff', file)
        assert code == 0
        assert '+ endpoints e1' in out
        code, out, _ = await ctl('apply', file, '--operator', 'ana', '--json')
        assert (code, json.loads(out)['revision']) == (0, 1)
        assert (await ctl('diff', file))[1] == 'no difference to revision 1\n'
        assert 'ana' in (await ctl('history'))[1]

    @pytest.mark.parametrize(
        ('changes', 'places'),
        [
            (
                {
                    'surprise': 1,
                    'workspaces': [
                        {'name': 'gang', 'running_limit': 0},
                        {'name': 'crew', 'typo': 1},
                    ],
                },
                {'$', 'workspaces[0].running_limit', 'workspaces[1]'},
            ),
            (
                {
                    'services': [{'name': 'other', 'kind': 'model'}],
                    'workspaces': [{'name': 'gang'}, {'name': 'gang'}],
                },
                {'endpoints[0].service', 'workspaces[1].name'},
            ),
        ],
    )
    async def test_every_fault_is_named_and_nothing_is_written(
        self, ctl: CommandLine, changes: dict[str, Any], places: set[str]
    ) -> None:
        file = ctl.file(manifest(**changes))
        for command in ('validate', 'apply', 'diff'):
            code, out, err = await ctl(command, file, '--json')
            error = json.loads(err)['error']
            assert (code, out, error['kind']) == (2, '', 'manifest_invalid')
            assert {fault['place'] for fault in error['faults']} == places
            assert all(fault['reason'] for fault in error['faults'])
        assert (await ctl('history'))[1] == 'there is no configuration yet\n'

    async def test_an_oversized_manifest_is_refused(
        self, ctl: CommandLine
    ) -> None:
        names = random.Random(1)
        models = [f'{names.getrandbits(240):063x}' for _ in range(36_000)]
        endpoints = [manifest()['endpoints'][0] | {'models': models}]
        code, _, err = await ctl(
            'apply', ctl.file(manifest(endpoints=endpoints))
        )
        assert code == 2
        assert 'over the limit of 1048576' in err

    async def test_a_difference_names_the_fields(
        self, ctl: CommandLine
    ) -> None:
        await ctl('apply', ctl.file(manifest()))
        changed = manifest(
            workspaces=[{'name': 'gang', 'weight': 3}, {'name': 'new'}],
            endpoints=[],
        )
        _, out, _ = await ctl('diff', ctl.file(changed))
        assert out.splitlines() == [
            'against revision 1:',
            '- endpoints e1',
            '~ workspaces gang',
            '    weight: 1 -> 3',
            '+ workspaces new',
        ]

    async def test_a_change_from_an_old_revision_is_a_conflict(
        self, ctl: CommandLine
    ) -> None:
        file = ctl.file(manifest())
        await ctl('apply', file)
        await ctl('apply', ctl.file(manifest(workspaces=[])))
        code, out, err = await ctl('apply', file, '--base', '1', '--json')
        assert (code, out) == (3, '')
        assert json.loads(err)['error']['kind'] == 'conflict'

    async def test_a_missing_file_is_wrong_usage(
        self, ctl: CommandLine
    ) -> None:
        code, _, err = await ctl('validate', '/absent.json')
        assert code == 2
        assert '/absent.json: No such file' in err


class TestPlatformAway:
    @pytest.mark.parametrize('command', ['apply', 'diff'])
    async def test_exit_code_says_so(
        self, ctl: CommandLine, command: str
    ) -> None:
        ctl.platform = NOTHING_LISTENS
        code, out, err = await ctl(command, ctl.file(manifest()))
        assert (code, out) == (4, '')
        assert err.startswith('mastichatchctl: platform_unavailable: ')


class TestDrain:
    async def test_drain_and_restore_are_in_the_history(
        self, ctl: CommandLine
    ) -> None:
        await ctl('apply', ctl.file(manifest()))
        drained = await ctl('drain', 'data-centre', 'north')
        assert drained == (0, 'accepted: revision 2\n', '')
        assert 'out of service: data_centre north' in (await ctl('history'))[1]
        assert (await ctl('drain', 'endpoint', 'e1'))[0] == 0
        assert (await ctl('restore', 'data-centre', 'north'))[0] == 0
        _, out, _ = await ctl('history', '--json')
        assert json.loads(out)['drains'] == [{'kind': 'endpoint', 'name': 'e1'}]

    @pytest.mark.parametrize(
        'arguments',
        [('drain', 'endpoint', 'e2'), ('restore', 'endpoint', 'e1')],
    )
    async def test_a_wrong_name_fails(
        self, ctl: CommandLine, arguments: tuple[str, ...]
    ) -> None:
        await ctl('apply', ctl.file(manifest()))
        code, _, err = await ctl(*arguments)
        assert code == 1
        assert arguments[-1] in err


class TestNodes:
    async def test_status_shows_each_node_and_who_is_away(
        self, ctl: CommandLine
    ) -> None:
        async with open_node(7) as node:
            code, out, _ = await ctl(
                'status', '--node', f'{node},{NOTHING_LISTENS}'
            )
        assert code == 4
        _, here, away = out.splitlines()
        assert here.split() == [
            *('node-7', node, 'north', '7', 'ready', '5', 'gone'),
            *('s', '(3/4)'),
        ]
        assert 'away' in away

    async def test_wait_ends_once_every_node_has_the_revision(
        self, ctl: CommandLine
    ) -> None:
        async with open_node(7) as old, open_node(8) as new:
            nodes = f'--node={old},{new}'
            code, out, _ = await ctl(nodes, 'config', 'wait', '7')
            assert code == 0
            assert out.startswith('revision 7 is in force on 2 nodes')
            code, _, err = await ctl(
                nodes, 'config', 'wait', '8', '--timeout-ms', '1'
            )
        assert code == 1
        assert f'node-7 ({old}) is at revision 7' in err

    async def test_explain_asks_the_next_node_when_one_is_away(
        self, ctl: CommandLine
    ) -> None:
        decision = {
            'event': 'placed',
            'request_id': 'r 1/%?',
            'node': 'north-1',
            'choice': 'e1',
            'reason': 'least loaded',
            'term': 2,
            'revision': 7,
            'candidates': [{'endpoint': 'e2', 'score': 1.5, 'reason': 'cold'}],
        }
        async with open_node(7, [decision]) as node:
            code, out, _ = await ctl(
                'explain', 'r 1/%?', '--node', f'{NOTHING_LISTENS},{node}'
            )
        assert code == 0
        assert 'north-1  placed  -> e1  (least loaded)  term 2' in out
        assert 'e2  1.500  cold' in out

    async def test_an_unknown_request_fails(self, ctl: CommandLine) -> None:
        async with open_node(7) as node:
            code, _, err = await ctl('explain', 'r1', '--node', node)
        assert code == 1
        assert 'no node remembers' in err


class TestUsage:
    @pytest.mark.parametrize(
        'arguments',
        [
            (),
            ('unknown',),
            ('--platform', 'elsewhere', 'history'),
            ('--platform', '1.2.3.4:0', 'history'),
            ('config', 'wait', '-1'),
            ('drain', 'host', 'h1'),
        ],
    )
    def test_wrong_usage_exits_with_2(self, arguments: tuple[str, ...]) -> None:
        with pytest.raises(SystemExit) as caught:
            run(arguments)
        assert caught.value.code == 2

    def test_a_command_says_which_address_it_lacks(
        self,
        capsys: pytest.CaptureFixture[str],
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        monkeypatch.delenv('MASTICHATCH_PLATFORM', raising=False)
        monkeypatch.delenv('MASTICHATCH_NODE', raising=False)
        assert run(['history']) == 2
        assert run(['status']) == 2
        assert 'MASTICHATCH_NODE' in capsys.readouterr().err
