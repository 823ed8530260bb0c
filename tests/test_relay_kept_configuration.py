"""Tests of asking other nodes for what a restored store has lost."""

import asyncio

import pytest

from mastichatch_node.clock import loop_time
from mastichatch_node.relay.kept_configuration import (
    ASKED_TOGETHER,
    MAX_ROUNDS,
    KeptConfiguration,
)

pytestmark = pytest.mark.looptime(noop_cycles=1)

# Time after which a query without an answer ends.
TIMEOUT_S = 0.3


class Nodes:
    """Other nodes, of which some answer, and those that were asked."""

    def __init__(self, *answering: str, view: bool = True) -> None:
        self._answering = answering
        self._view = view
        self.asked: list[str] = []

    async def query(self, address: str, wait_ms: float) -> bool | None:
        self.asked.append(address)
        assert not wait_ms
        if address in self._answering:
            return self._view
        await asyncio.sleep(TIMEOUT_S)
        return None


async def test_nodes_are_asked_until_one_answers() -> None:
    names = [f'n{number}' for number in range(6)]
    nodes = Nodes(*names)
    learn = KeptConfiguration(nodes.query)
    await learn.ask(names, 4)
    assert len(nodes.asked) == ASKED_TOGETHER
    assert learn.has_learned(4)
    assert learn.has_learned(3)
    assert not learn.has_learned(5)


async def test_node_serves_within_a_second_if_none_answers() -> None:
    nodes = Nodes()
    learn = KeptConfiguration(nodes.query)
    begun_at = loop_time()
    await learn.ask([f'n{number}' for number in range(200)], 1)
    assert loop_time() - begun_at < 1
    assert len(nodes.asked) == ASKED_TOGETHER * MAX_ROUNDS
    assert not learn.has_learned(1)


async def test_node_that_is_alone_does_not_wait() -> None:
    begun_at = loop_time()
    await KeptConfiguration(Nodes().query).ask((), 1)
    assert loop_time() == begun_at


async def test_node_without_the_store_tells_what_it_has_kept_too() -> None:
    learn = KeptConfiguration(Nodes('a', view=False).query)
    await learn.ask_one('a', 0)
    assert learn.has_learned(0)


async def test_node_is_asked_once_in_an_era() -> None:
    nodes = Nodes('a')
    learn = KeptConfiguration(nodes.query)
    for era in (1, 1, 2, 2):
        await learn.ask(('a',), era)
    assert nodes.asked == ['a', 'a']
