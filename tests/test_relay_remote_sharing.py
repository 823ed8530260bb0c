"""Tests of a node that decides by itself what leaves its data centre."""

import pytest

from mastichatch_core.relay.load_control import LoadControl
from mastichatch_node.relay.http_client import open_pool
from tests.relay_nodes import (
    RelayFixture,
    call,
    known_endpoints,
    new_resources,
    open_relay,
    until,
)
from tests.standins import house_endpoints as endpoints
from tests.standins.house_endpoints import HouseEndpoint

TOKENS = ('Mastichatch-Model: m', 'Mastichatch-Token-Counts: 100,400')


async def metrics(relay: RelayFixture) -> list[str]:
    answer = await call(
        relay.settings.metrics_address, '/metrics', method='GET'
    )
    return answer.body.decode().splitlines()


def share_line(share: float) -> str:
    return (
        'mastichatch_relay_remote_share'
        f'{{data_centre="south",service="llm"}} {share}'
    )


@pytest.mark.parametrize('setting', ('on', 'off'))
async def test_everything_leaves_an_evacuated_data_centre(setting: str) -> None:
    near = HouseEndpoint(instance='i-n', script=endpoints.stream(20, 0.005))
    far = HouseEndpoint(instance='i-s', script=endpoints.stream(20, 0.005))
    async with open_relay(
        (), (near,), remote_share=LoadControl(setting)
    ) as relay:
        async with endpoints.open_endpoints(far):
            await relay.store.put('servers/i-s', far.entry('llm', 'south'))
            await until(lambda: 'i-s' in known_endpoints(relay.node))
            answer = await relay.call('/plan/x', headers=TOKENS)
            assert answer.is_whole
            assert near.ran
            await relay.store.put('op/evacuate/north', {})
            is_on = setting == 'on'
            await until(
                lambda: relay.node.belief.revision == relay.store.revision
            )
            while is_on and share_line(1.0) not in await metrics(relay):
                continue
            await relay.call('/plan/x', request_id='r2', headers=TOKENS)
            assert far.ran == ['r2']
            lines = await metrics(relay)
            assert (
                'mastichatch_relay_placements_total{where="home"} 1.0' in lines
            )
            assert (
                'mastichatch_relay_placements_total{where="remote"} 1.0'
                in lines
            )
            await relay.store.remove('op/evacuate/north')
            while is_on and share_line(0.0) not in await metrics(relay):
                continue
            assert is_on is any('remote_share{' in line for line in lines)


async def test_new_connections_tell_the_round_trip() -> None:
    near = HouseEndpoint(instance='i-n', script=endpoints.respond_ok)
    told: list[tuple[str, float]] = []
    async with endpoints.open_endpoints(near):
        with open_pool(1, new_resources()) as pool:
            pool.observe_connects(lambda *seen: told.append(seen))
            (await pool.take(near.address, 0)).close()
    assert [address for address, _ in told] == [near.address]
    assert 0 <= told[0][1] < 1
