"""Tests of routing, API keys, plain services, events and settings."""

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from mastichatch_platform.documents import decode_configuration

from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.messages import ErrorKind
from mastichatch_core.relay.events import (
    EventOrder,
    EventSplitter,
    MissingEventError,
    PauseTimer,
    event_number,
)
from mastichatch_core.relay.model import (
    Configuration,
    Endpoint,
    EndpointState,
    RequestMetadata,
    Route,
    WeightedService,
)
from mastichatch_core.relay.plain_choice import (
    EndpointStatsTable,
    rank_endpoints,
)
from mastichatch_core.relay.routing import (
    ViewAge,
    choose_service,
    find_route,
    find_workspace,
)
from mastichatch_node.relay.settings import (
    RelaySettingsError,
    read_relay_settings,
)
from tests.relay_nodes import HOST, KEY, configuration, route

FRESH = ViewAge(age_s=0.1, key_limit_s=4.5, denial_limit_s=3.5)
OLD = ViewAge(age_s=4.0, key_limit_s=4.5, denial_limit_s=3.5)
TOO_OLD = ViewAge(age_s=4.6, key_limit_s=4.5, denial_limit_s=3.5)


def decode(**more: Any) -> Configuration:
    return decode_configuration(json.dumps(configuration(**more)).encode())


def metadata(key: str = KEY) -> RequestMetadata:
    return RequestMetadata(request_id='a', timeout_ms=None, api_key=key)


class TestRoutes:
    known = decode(
        routes=[
            route('a', 'safe', 'app'),
            {**route('b', 'safe', 'app'), 'prefix': '/a/deep/'},
        ]
    )

    def test_longest_prefix_wins(self) -> None:
        assert find_route(self.known, HOST, '/a/deep/x', FRESH).name == 'b'
        assert find_route(self.known, HOST, '/a/x', FRESH).name == 'a'

    @pytest.mark.parametrize(
        ('view', 'kind'),
        [(FRESH, ErrorKind.not_found), (OLD, ErrorKind.not_ready)],
    )
    def test_missing_route_is_an_error(
        self, view: ViewAge, kind: ErrorKind
    ) -> None:
        with pytest.raises(MastichatchError) as caught:
            find_route(self.known, HOST, '/a', view)
        assert caught.value.kind is kind

    def test_shares_follow_the_weights(self) -> None:
        split: Route = decode(
            routes=[
                {
                    **route('a', 'safe', ''),
                    'split': [
                        {'service': 'app', 'weight': 90},
                        {'service': 'llm', 'weight': 10},
                    ],
                }
            ]
        ).routes[0]
        assert split.services[0] == WeightedService(service='app', weight=90)
        chosen = [choose_service(split, draw / 100) for draw in range(100)]
        assert chosen.count('app') == 90
        assert choose_service(split, 1.0) == 'llm'


class TestKeys:
    known = decode()

    def test_key_names_the_workspace(self) -> None:
        found = find_workspace(
            self.known, self.known.routes[0], metadata(), OLD
        )
        assert found is not None
        assert found.name == 'depots'

    @pytest.mark.parametrize(
        ('key', 'view', 'kind'),
        [
            ('x', FRESH, ErrorKind.key_unknown),
            ('x', OLD, ErrorKind.not_ready),
            (KEY, TOO_OLD, ErrorKind.not_ready),
        ],
    )
    def test_refused_keys(
        self, key: str, view: ViewAge, kind: ErrorKind
    ) -> None:
        with pytest.raises(MastichatchError) as caught:
            find_workspace(
                self.known, self.known.routes[0], metadata(key), view
            )
        assert caught.value.kind is kind

    def test_public_route_needs_no_key(self) -> None:
        public = decode(routes=[{**route('a', 'safe', 'app'), 'public': True}])
        found = find_workspace(public, public.routes[0], metadata(''), TOO_OLD)
        assert found is None

    def test_no_key_is_needed_without_workspaces(self) -> None:
        open_to_all = decode(tenants=None)
        assert not open_to_all.needs_keys


def endpoint(name: str, data_centre: str = 'north') -> Endpoint:
    return Endpoint(
        instance=name,
        service='app',
        address='10.0.0.1:80',
        data_centre=data_centre,
        slots=6,
        state=EndpointState.ready,
    )


class TestPlainChoice:
    pair = (endpoint('a'), endpoint('b'))

    def first(self, records: EndpointStatsTable, now: float) -> str:
        return rank_endpoints(self.pair, records, 'north', now)[0].instance

    def test_local_endpoint_is_first(self) -> None:
        endpoints = (endpoint('a', 'south'), endpoint('b'))
        assert (
            rank_endpoints(endpoints, EndpointStatsTable(), 'north', 0)[
                0
            ].instance
            == 'b'
        )

    def test_busy_endpoint_is_second(self) -> None:
        records = EndpointStatsTable()
        records.get('a').running = 3
        assert self.first(records, 0) == 'b'

    def test_failing_endpoint_is_avoided_and_tried_again(self) -> None:
        records = EndpointStatsTable()
        for call in range(4):
            records.record_answer('a', 20, call / 10, failed=True)
            records.record_answer('b', 25, call / 10, failed=False)
        assert self.first(records, 0.5) == 'b'
        assert self.first(records, 60) == 'a'

    def test_slow_endpoint_is_avoided(self) -> None:
        records = EndpointStatsTable()
        for call in range(9):
            records.record_answer('a', 300, call / 10, failed=False)
            records.record_answer('b', 30, call / 10, failed=False)
        assert self.first(records, 1) == 'b'

    def test_unreachable_endpoint_is_last_for_a_while(self) -> None:
        records = EndpointStatsTable()
        records.record_unanswered('a', 0, reached=False)
        assert self.first(records, 0.4) == 'b'

    def test_partly_failing_endpoint_gets_fewer_calls(self) -> None:
        """Simulates calls to two endpoints; one of them fails four in ten."""
        records = EndpointStatsTable()
        served = {'a': 0, 'b': 0}
        for call in range(400):
            now = call / 20
            name = self.first(records, now)
            served[name] += 1
            failed = name == 'a' and call % 5 in {0, 2}
            records.record_answer(name, 22.5, now, failed=failed)
        assert served['a'] < served['b'] / 2

    def test_statistics_of_removed_endpoints_are_dropped(self) -> None:
        records = EndpointStatsTable()
        records.get('a').mean_ms = 500
        records.keep_only(('b',))
        assert records.get('a').mean_ms < 500


STREAM = b''.join(b'id: %d\ndata: x\r\n\r\n' % number for number in range(9))


class TestEvents:
    @given(cuts=st.lists(st.integers(0, len(STREAM)), max_size=8))
    def test_any_chunks_give_the_same_events(self, cuts: list[int]) -> None:
        edges = [0, *sorted(cuts), len(STREAM)]
        splitter = EventSplitter()
        events: list[bytes] = []
        for start, end in zip(edges, edges[1:], strict=False):
            events += splitter.feed(STREAM[start:end])
        assert b''.join(events) + splitter.rest == STREAM
        assert [event_number(one) for one in events] == list(range(len(events)))
        assert len(events) >= 8

    def test_event_without_a_number(self) -> None:
        assert event_number(b'data: id: 4\n\n') is None
        assert event_number(b'data: x\nid: 12\n\n') == 12

    def test_repeated_events_are_dropped(self) -> None:
        order = EventOrder()
        order.drop_repeated([b'id: 1\n\n', b'id: 2\n\n'])
        assert order.drop_repeated([b'id: 2\n\n', b'id: 3\n\n']) == (
            b'id: 3\n\n',
        )
        assert (order.last, order.count) == (3, 3)

    def test_missing_event_is_an_error(self) -> None:
        order = EventOrder()
        order.drop_repeated([b'id: 1\n\n'])
        with pytest.raises(MissingEventError):
            order.drop_repeated([b'id: 3\n\n'])


class TestSettings:
    required = {
        'MASTICHATCH_RELAY_NAME': 'n',
        'MASTICHATCH_RELAY_DATA_CENTRE': 'north',
        'MASTICHATCH_RELAY_CALLERS_ADDRESS': '10.0.0.1:1',
        'MASTICHATCH_RELAY_READY_ADDRESS': '10.0.0.1:2',
        'MASTICHATCH_RELAY_PEERS_ADDRESS': '10.0.0.1:3',
        'MASTICHATCH_RELAY_METRICS_ADDRESS': '10.0.0.1:4',
        'MASTICHATCH_RELAY_STORE_ADDRESS': '10.0.0.1:5',
    }

    def test_flags_override_the_environment(self) -> None:
        settings = read_relay_settings(
            ['--name', 'other', '--grace-ms', '900'], self.required
        )
        assert (settings.name, settings.grace_ms) == ('other', 900)

    def test_one_message_names_all_invalid_settings(self) -> None:
        invalid = {
            **self.required,
            'MASTICHATCH_RELAY_STORE_ADDRESS': 'store',
            'MASTICHATCH_RELAY_GRACE_MS': '-1',
            'MASTICHATCH_RELAY_LOG_LEVEL': 'loud',
            'MASTICHATCH_RELAY_NAME': '',
        }
        with pytest.raises(RelaySettingsError) as caught:
            read_relay_settings([], invalid)
        text = str(caught.value)
        for name in ('store_address', 'grace_ms', 'log_level', 'name'):
            assert name in text


class TestPause:
    def test_longest_time_between_two_events(self) -> None:
        pause = PauseTimer()
        for now in (5.0, 5.1, 5.5, 5.6):
            pause.record_event(now)
        assert round(pause.longest_s, 3) == 0.4
        assert pause.first_at == 5

    def test_is_zero_before_the_second_event(self) -> None:
        pause = PauseTimer()
        assert pause.first_at is None
        pause.record_event(7)
        assert pause.longest_s == 0
