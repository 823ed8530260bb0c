"""Tests of requests whose heads could stop a node, and then the next one."""

import asyncio

import pytest
from mastichatch_platform.program import create_adapter

from mastichatch_core.relay.runs import MAX_MISSED_INTERVALS
from mastichatch_node.clock import loop_time
from mastichatch_node.relay.program import open_node
from mastichatch_node.relay.run_broadcast import FULL_LIST_INTERVAL_S
from mastichatch_node.relay.telemetry import Telemetry
from tests.relay_nodes import create_settings, open_relay, until
from tests.standins import house_endpoints as endpoints
from tests.standins.house_endpoints import HouseEndpoint

# Time after which a node that sends no full lists counts as silent.
SILENT_S = (MAX_MISSED_INTERVALS + 1) * FULL_LIST_INTERVAL_S


@pytest.mark.parametrize(
    'headers',
    [
        ('Mastichatch-Token-Counts: 1e300,5',),
        ('Mastichatch-Token-Counts: 5,1e300',),
        ('Mastichatch-Token-Counts: 5,4', 'Mastichatch-Length-Hint: 1e300'),
        ('Mastichatch-Token-Counts: nan,-inf',),
        ('Mastichatch-Token-Counts: 9,4', 'Mastichatch-Prompt-Prefix: a:1e300'),
        ('Mastichatch-Token-Counts: 9,4', 'Mastichatch-Deadline-Ms: 1e300'),
        ('Mastichatch-Token-Counts: 9,4', 'Mastichatch-Prompt-Prefix: ::,,:'),
    ],
    ids=range(7),
)
async def test_no_head_ends_what_a_node_tells_the_others(
    headers: tuple[str, ...],
) -> None:
    """Numbers over 64 bits cannot be encoded in a message between nodes."""
    engine = HouseEndpoint('e1', endpoints.stream(20, 0.1))
    async with open_relay(engines=(engine,)) as relay:
        settings = create_settings(
            relay.settings.store_address, name='south-1', data_centre='south'
        )
        async with open_node(settings, create_adapter(), Telemetry()) as other:
            table = other._context.sharing.table
            await until(lambda: 'north-1' in table.heard(loop_time()))
            calling = asyncio.ensure_future(
                relay.call('/plan/x', request_id='odd', headers=headers)
            )
            await asyncio.sleep(SILENT_S)
            assert 'north-1' in table.heard(loop_time())
            answer = await calling
    assert answer.is_whole
