"""Tests of the choice of nodes that get requests of partitioned nodes."""

import random
from collections import Counter

import pytest

from mastichatch_core.relay.proxy_choice import (
    PeerGroups,
    choose_peer,
    has_room,
)

NEAR = tuple(f'near-{number}' for number in range(3))
FAR = tuple(f'far-{number}' for number in range(9))


def spread(groups: PeerGroups, requests: int, senders: int) -> Counter[str]:
    """Return what nodes get of senders that know only their own requests."""
    drawn = random.Random(1)
    total: Counter[str] = Counter()
    for _ in range(senders):
        own: Counter[str] = Counter()
        for _ in range(requests):
            chosen = choose_peer(groups, (), own.__getitem__, drawn.randrange)
            assert chosen is not None
            own[chosen] += 1
        total += own
    return total


def test_near_nodes_get_more_but_not_all() -> None:
    total = spread(PeerGroups(near=NEAR, far=FAR), 40, 10)
    near = sum(total[name] for name in NEAR)
    assert 0.35 < near / 400 < 0.75
    assert set(total) == {*NEAR, *FAR}


@pytest.mark.parametrize('senders', [1, 20])
def test_load_is_even_within_a_data_centre(senders: int) -> None:
    total = spread(PeerGroups(far=FAR), 90, senders)
    assert max(total.values()) <= 1.2 * 10 * senders
    assert min(total.values()) >= 0.8 * 10 * senders


def test_excluded_nodes_are_not_chosen() -> None:
    groups = PeerGroups(near=NEAR, far=FAR)
    left = 'far-4'
    excluded = {*NEAR, *FAR} - {left}
    drawn = random.Random(1)
    for _ in range(50):
        assert (
            choose_peer(groups, excluded, lambda name: 0, drawn.randrange)
            == left
        )
    everybody = {*NEAR, *FAR}
    assert (
        choose_peer(groups, everybody, lambda name: 0, drawn.randrange) is None
    )


def test_room_ends_with_memory_and_with_bytes_that_are_held() -> None:
    assert has_room(149, 150, 0.5)
    assert not has_room(150, 150, 0)
    assert not has_room(0, 150, 0.51)
