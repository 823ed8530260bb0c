"""Tests of what connections, and peers, tell of a node's way to endpoints.

A node that takes a crashed endpoint, a service that is gone or a fleet without
endpoints for its own loss would send its requests through peers for nothing.
"""

import math
from collections.abc import Sequence

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mastichatch_core.generated.messages import RunChanges
from mastichatch_core.relay.isolation import (
    CONTACT_MARGIN_S,
    CUT_OFF_ENDPOINTS,
    MAX_FAILED,
    PEER_CONTACT_S,
    SILENCE_S,
    SILENT_ENDPOINTS,
    CheckedEndpoints,
    ContactEvidence,
    PeerContacts,
    is_silent,
)
from mastichatch_core.relay.model import Endpoint, EndpointState

ADDRESSES = tuple(f'10.0.0.{number}:1' for number in range(200))
NAMES = ('a', 'b', 'c')
MS_PER_S = 1000

events = st.lists(
    st.tuples(
        st.sampled_from(('connect', 'unreached', 'break', 'check')),
        st.sampled_from(ADDRESSES[:8]),
        st.floats(0, 3),
    ),
    max_size=60,
)


def group(*entries: tuple[str, str, str]) -> CheckedEndpoints:
    """Group endpoints, given by data centre, service and address."""
    return CheckedEndpoints(
        [
            Endpoint(
                instance=address,
                service=service,
                address=address,
                data_centre=data_centre,
                slots=1,
                state=EndpointState.ready,
            )
            for data_centre, service, address in entries
        ],
        'north',
    )


def group_home(addresses: Sequence[str]) -> CheckedEndpoints:
    return group(*(('north', 'app', address) for address in addresses))


def fail_all(evidence: ContactEvidence, now: float) -> None:
    for address in ADDRESSES[:CUT_OFF_ENDPOINTS]:
        evidence.record_unreached(address, now)
    evidence.record_failed_check(group_home(ADDRESSES))


class TestContactEvidence:
    @given(events)
    def test_only_a_failed_check_of_enough_endpoints_shows_a_cut(
        self, sequence: list[tuple[str, str, float]]
    ) -> None:
        evidence = ContactEvidence()
        now = 0.0
        failed: set[str] = set()
        for kind, address, elapsed_s in sequence:
            now += elapsed_s
            was_cut_off = evidence.is_cut_off
            if kind == 'connect':
                evidence.record_connect(now)
                failed.clear()
                assert evidence.reached_at == now
            elif kind == 'unreached':
                evidence.record_unreached(address, now)
                failed.add(address)
            elif kind == 'break':
                evidence.record_break(address, now)
            else:
                evidence.record_failed_check(group_home(ADDRESSES[:8]))
            if evidence.is_cut_off and not was_cut_off:
                assert kind == 'check'
                assert len(failed) >= CUT_OFF_ENDPOINTS
                assert evidence.reached_at < evidence.began_at <= now

    def test_return_takes_two_connections_in_a_row(self) -> None:
        evidence = ContactEvidence()
        fail_all(evidence, 1)
        for address, now in ((None, 2), (ADDRESSES[0], 3), (None, 4)):
            if address is None:
                evidence.record_connect(now)
            else:
                evidence.record_unreached(address, now)
            assert evidence.is_cut_off
        evidence.record_connect(5)
        assert not evidence.is_cut_off
        assert evidence.began_at == math.inf

    def test_old_failures_count_for_nothing(self) -> None:
        evidence = ContactEvidence()
        for number, address in enumerate(ADDRESSES[:20]):
            evidence.record_unreached(address, number * 2)
            evidence.record_failed_check(group_home(ADDRESSES))
        assert not evidence.is_cut_off
        assert evidence.began_at == 38

    def test_one_endpoint_tells_nothing(self) -> None:
        evidence = ContactEvidence()
        for number in range(20):
            evidence.record_unreached(ADDRESSES[0], number / 10)
            evidence.record_failed_check(group_home(ADDRESSES[:1]))
        assert not evidence.is_suspicious(2)
        assert not evidence.is_cut_off

    def test_state_is_bounded(self) -> None:
        evidence = ContactEvidence()
        for number, address in enumerate(ADDRESSES):
            evidence.record_unreached(address, number / 1000)
        assert len(evidence.unreached) == MAX_FAILED


def told(
    name: str, *, contact_ms: float | None, sequence: int = 1
) -> RunChanges:
    return RunChanges(
        node=name,
        sequence=sequence,
        contact_ms=contact_ms,
        is_cut_off=contact_ms is None,
    )


class TestPeerContacts:
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(NAMES),
                st.none() | st.floats(0, 10_000),
                st.floats(0, 2),
            ),
            max_size=30,
        ),
        st.sets(st.sampled_from(NAMES)),
    )
    def test_peers_are_heard_and_not_cut_off(
        self, sequence: list[tuple[str, float | None, float]], heard: set[str]
    ) -> None:
        peers = PeerContacts()
        now = 0.0
        last: dict[str, float | None] = {}
        for number, (name, contact_ms, elapsed_s) in enumerate(sequence):
            now += elapsed_s
            message = told(name, contact_ms=contact_ms, sequence=number)
            peers.record(message, now)
            last[name] = contact_ms
        now += 1
        named = peers.reaching(lambda: heard, now)
        assert set(named) <= heard
        assert all(last[name] is not None for name in named)

    def test_late_message_does_not_bring_a_peer_back(self) -> None:
        peers = PeerContacts()
        peers.record(told('a', contact_ms=None, sequence=5), 1)
        peers.record(told('a', contact_ms=0, sequence=4), 1.1)
        assert not peers.reaching(lambda: {'a'}, 1.2)
        # Numbers begin anew after a restart.
        peers.record(told('a', contact_ms=0, sequence=1), 2.5)
        assert peers.reaching(lambda: {'a'}, 2.6) == ('a',)

    def test_contact_grows_old_without_messages(self) -> None:
        peers = PeerContacts()
        peers.record(told('a', contact_ms=100), 1)
        assert peers.reaching(lambda: {'a'}, 1.2)
        later = 1 + PEER_CONTACT_S + 2 * 1.0
        assert not peers.reaching(lambda: {'a'}, later)

    def test_contact_before_a_cut_is_none_since_then(self) -> None:
        peers = PeerContacts()
        peers.record(told('a', contact_ms=500), 1)
        assert peers.has_reached_since(('a',), 0.4 + CONTACT_MARGIN_S)
        assert not peers.has_reached_since(('a',), 0.5 + CONTACT_MARGIN_S)

    def test_node_of_an_earlier_release_reaches_nothing(self) -> None:
        peers = PeerContacts()
        peers.record(RunChanges(node='a', sequence=1), 1)
        assert not peers.reaching(lambda: {'a'}, 1)
        assert not peers.cut_off


class TestChecks:
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(('north', 'south', 'west')),
                st.sampled_from(('app', 'llm', 'map')),
                st.sampled_from(ADDRESSES),
            ),
            unique_by=lambda one: one[2],
            max_size=30,
        ),
        st.sets(st.sampled_from(ADDRESSES), max_size=20),
        st.floats(0, 1, exclude_max=True),
    )
    def test_checks_spread_over_data_centres(
        self,
        entries: list[tuple[str, str, str]],
        excluded: set[str],
        draw: float,
    ) -> None:
        endpoints = group(*entries)
        known = {address for *_, address in entries}
        chosen = endpoints.choose(excluded, draw, 4)
        assert len(chosen) == len(set(chosen)) == min(4, len(known))
        assert set(chosen) <= known
        fresh = known - excluded
        assert len(fresh & set(chosen)) == min(4, len(fresh))
        if not excluded:
            assert endpoints.are_covered(chosen)

    def test_data_centre_that_is_cut_off_as_a_whole_is_no_cut_of_a_node(
        self,
    ) -> None:
        home, *away = ADDRESSES[:7]
        endpoints = group(
            ('north', 'app', home), *(('south', 'app', one) for one in away)
        )
        evidence = ContactEvidence()
        for address in away:
            evidence.record_unreached(address, 1)
        evidence.record_failed_check(endpoints)
        assert not evidence.is_cut_off
        assert home in endpoints.choose(evidence.unreached, 0.5, 4)
        evidence.record_unreached(home, 1.1)
        evidence.record_failed_check(endpoints)
        assert evidence.is_cut_off

    @pytest.mark.parametrize(
        ('silent', 'last_byte_ago_s', 'expected'),
        [
            (SILENT_ENDPOINTS, SILENCE_S, True),
            (SILENT_ENDPOINTS - 1, SILENCE_S, False),
            (SILENT_ENDPOINTS, SILENCE_S / 2, False),
        ],
    )
    def test_silence_of_one_endpoint_is_none_of_all(
        self, silent: int, last_byte_ago_s: float, expected: bool
    ) -> None:
        waiting = {address: 0.0 for address in ADDRESSES[:silent]}
        assert is_silent(waiting, 10, 10 - last_byte_ago_s) is expected
