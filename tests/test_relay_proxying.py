"""Tests of requests that pass through other nodes to the endpoints.

A node that is partitioned from all endpoints failed nearly all requests of its
callers, while the nodes beside it had room for them.
"""

import pytest

from tests.isolated_nodes import open_isolated
from tests.relay_nodes import call
from tests.standins import house_endpoints as endpoints
from tests.standins.house_endpoints import HouseEndpoint

TOKENS = ('Mastichatch-Token-Counts: 100,40', 'Mastichatch-Model: m')
EVENTS = 12


def app(script: endpoints.Script = endpoints.respond_ok) -> HouseEndpoint:
    return HouseEndpoint(instance='i-a', script=script)


def engine(script: endpoints.Script | None = None) -> HouseEndpoint:
    return HouseEndpoint(
        instance='i-e', script=script or endpoints.stream(EVENTS, 0.01)
    )


class TestService:
    """Callers of a partitioned node are served as those of other nodes."""

    @pytest.mark.parametrize('path', ['/lookup/x', '/book/x'])
    async def test_calls_are_answered_by_endpoints(self, path: str) -> None:
        server = app()
        async with open_isolated(2, apps=(server,)) as (cut, _):
            answers = [
                await call(
                    cut.settings.callers_address, path, request_id=f'r{number}'
                )
                for number in range(5)
            ]
        assert [one.status for one in answers] == [200] * 5
        assert {one.body for one in answers} == {b'done by i-a'}
        for number, answer in enumerate(answers):
            assert answer.headers['mastichatch-server-seal'] == '3e1b.07'
            assert answer.headers['mastichatch-attempt-id'] == f'r{number}'
        assert server.ran == [f'r{number}' for number in range(5)]

    async def test_streams_are_whole(self) -> None:
        server = engine()
        async with open_isolated(2, server) as (cut, _):
            answer = await call(
                cut.settings.callers_address, '/plan/x', headers=TOKENS
            )
        assert answer.status == 200
        assert answer.is_whole
        assert answer.headers['mastichatch-server-seal'] == '3e1b.07'
        events = [f'id: {n}\ndata: r1\n\n' for n in range(1, EVENTS + 1)]
        assert answer.body == ''.join(events).encode()
        assert server.ran == ['r1']
