"""Tests of the table of other data centres."""

from mastichatch_core import remotes
from mastichatch_core.generated.messages import Digest, ServiceLoad
from mastichatch_core.generated.records import NodeRecord

MEMBER_TIMEOUT_S = 1.5


def digest(*nodes: str, node: str = 's1') -> Digest:
    """Return a digest of the data centre ``south``."""
    return Digest(
        data_centre='south', revision=1, loads=(), nodes=nodes, node=node
    )


def record(name: str) -> NodeRecord:
    """Return a node's registration in the data centre ``south``."""
    return NodeRecord(
        name=name,
        incarnation=f'{name}-1',
        data_centre='south',
        peer_address=f'{name}:1',
        http_address='',
    )


class TestRemotes:
    def test_digest_is_direct_only_from_its_own_data_centre(self) -> None:
        table = remotes.RemoteTable('north', MEMBER_TIMEOUT_S)
        assert table.record_digest(digest('s1:1'), 's1:1', 0)
        assert not table.record_digest(digest('s1:1'), 'n1:1', 0)

    def test_creator_of_a_forwarded_digest_counts_as_heard(
        self,
    ) -> None:
        table = remotes.RemoteTable('north', MEMBER_TIMEOUT_S)
        table.record_digest(digest('s1:1'), 'n1:1', 0)
        assert table.recently_heard_names('south', 2.9) == ('s1',)
        assert table.recently_heard_names('south', 3.1) == ()

    def test_an_old_digest_is_not_used(self) -> None:
        table = remotes.RemoteTable('north', MEMBER_TIMEOUT_S)
        table.record_digest(digest('s1:1'), 's1:1', 0)
        assert len(table.digests(4)) == 1
        assert not table.digests(5)
        assert table.stale_data_centres(5) == ('south',)

    def test_digest_restricts_members_to_the_live_nodes(
        self,
    ) -> None:
        table = remotes.RemoteTable('north', MEMBER_TIMEOUT_S)
        table.replace_members('south', [record('s1'), record('s2')])
        assert len(table.members(0)) == 2
        table.record_digest(digest('s2:1', 's3:1'), 's2:1', 1)
        assert [member.name for member in table.members(1)] == ['s2']
        assert table.incomplete_data_centres(1) == ('south',)
        assert set(table.ranked_addresses('south', 1)) == {'s2:1', 's3:1'}
        assert set(table.ranked_addresses('south', 9)) == {'s1:1', 's2:1'}

    def test_loads_of_several_schedulers_add_up(self) -> None:
        loads = [
            ServiceLoad(service='rota', free=1, waiting=2, wait_ms=3),
            ServiceLoad(service='rota', free=4, waiting=5, wait_ms=1),
        ]
        assert remotes.merge_loads(loads) == (
            ServiceLoad(service='rota', free=5, waiting=7, wait_ms=3),
        )
