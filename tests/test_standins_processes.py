"""Tests of the process helpers, with stand-ins only."""

import pathlib

import aiohttp
import pytest

from tests import processes

BRIEF = aiohttp.ClientTimeout(total=0.3)


class TestProcesses:
    """Stand-ins as processes of their own."""

    async def test_frozen_process_answers_nothing_until_it_wakes(
        self, tmp_path: pathlib.Path
    ) -> None:
        async with processes.open_processes(tmp_path) as opened:
            service = await opened.stand_in('service', 'service')
            link = await opened.proxy('link', service.address)
            url = f'http://{link.address}/v1/operations/book'
            service.process.freeze()
            with pytest.raises(TimeoutError):
                await opened.session.post(url, json={}, timeout=BRIEF)
            service.process.wake()
            async with opened.session.post(url, json={}) as answer:
                assert (await answer.json())['operation'] == 'book'
            assert (await link.show('counts'))['accepted'] == 2
        assert service.process.exit_code is not None

    async def test_failed_start_shows_the_log(
        self, tmp_path: pathlib.Path
    ) -> None:
        async with processes.open_processes(tmp_path) as opened:
            with pytest.raises(processes.StartError, match='--nonsense'):
                await opened.stand_in('engine', 'engine', '--nonsense')
