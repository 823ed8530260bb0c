"""An endpoint gets requests up to its limit, and none while it fails."""

from hypothesis import given
from hypothesis import strategies as st

from mastichatch_core.admission import (
    EndpointState,
    create_endpoint_state,
    current_limit,
    is_available,
    record_observation,
    record_release,
    record_token_gap,
    scaled_limit,
    set_in_service,
)
from mastichatch_core.generated.manifest import Endpoint
from mastichatch_core.generated.messages import (
    EndpointObservation,
    PermitOutcome,
    PermitRelease,
)

RETURN_RAMP_S = 10.0


def cold_endpoint(now: float = 0) -> EndpointState:
    manifest_entry = Endpoint(
        name='e',
        service='s',
        data_centre='d',
        host='h',
        address='127.0.0.1:1',
        batch_limit=16,
        cold_limit=2,
        warm_after_ms=10_000,
    )
    endpoint = create_endpoint_state(manifest_entry, now)
    set_in_service(endpoint, now, in_service=True)
    record_report(endpoint, now)
    return endpoint


def record_report(
    endpoint: EndpointState,
    now: float,
    *,
    boot: str = 'one',
    node: str = 'a',
    reachable: bool = True,
    running: int = 0,
    age_ms: float = 0,
) -> None:
    observation = EndpointObservation(
        endpoint='e',
        boot_id=boot,
        reachable=reachable,
        running=running,
        age_ms=age_ms,
    )
    record_observation(endpoint, observation, node, (), now)


def finish_request(
    endpoint: EndpointState,
    now: float,
    outcome: PermitOutcome = PermitOutcome.completed,
    first_token_ms: float = 100,
) -> None:
    release = PermitRelease(
        request_id='r',
        attempt=0,
        service='s',
        endpoint='e',
        outcome=outcome,
        first_token_ms=first_token_ms,
    )
    record_release(endpoint, release, now)


def warm_endpoint() -> EndpointState:
    endpoint = cold_endpoint()
    for _ in range(20):
        finish_request(endpoint, 1)
    return endpoint


def limit_of(endpoint: EndpointState, now: float) -> float:
    return current_limit(endpoint, RETURN_RAMP_S, now)


class TestRamp:
    @given(st.integers(0, 50), st.floats(0, 9.9))
    def test_success_alone_does_not_warm(self, count: int, now: float) -> None:
        endpoint = cold_endpoint()
        for _ in range(count):
            finish_request(endpoint, now)
        assert limit_of(endpoint, now) == 2

    def test_time_alone_does_not_warm(self) -> None:
        assert limit_of(cold_endpoint(), 1000) == 2

    def test_time_and_successes_warm(self) -> None:
        assert limit_of(warm_endpoint(), 20) == 16

    def test_a_new_boot_is_cold(self) -> None:
        endpoint = warm_endpoint()
        record_report(endpoint, 20, boot='two')
        assert limit_of(endpoint, 20) == 2

    def test_a_refused_connection_is_cold(self) -> None:
        endpoint = warm_endpoint()
        finish_request(endpoint, 20, PermitOutcome.unreachable)
        assert limit_of(endpoint, 21) == 2

    def test_a_jump_of_the_first_token_is_cold(self) -> None:
        endpoint = warm_endpoint()
        finish_request(endpoint, 20, first_token_ms=2000)
        assert limit_of(endpoint, 20) == 16
        finish_request(endpoint, 20, first_token_ms=2000)
        assert limit_of(endpoint, 20) == 2

    def test_a_return_to_service_ramps(self) -> None:
        endpoint = warm_endpoint()
        set_in_service(endpoint, 20, in_service=False)
        assert not limit_of(endpoint, 20)
        set_in_service(endpoint, 30, in_service=True)
        limits = [limit_of(endpoint, now) for now in (30, 35, 40)]
        assert limits == [2, 8, 16]


def test_an_older_report_changes_nothing() -> None:
    endpoint = warm_endpoint()
    record_report(endpoint, 20, running=3)
    record_report(endpoint, 20.1, node='b', boot='before', age_ms=500)
    assert endpoint.unattributed == 3
    assert endpoint.boot_id == 'one'


class TestShares:
    @given(
        st.integers(1, 100),
        st.lists(st.integers(1, 9), min_size=1, max_size=4),
        st.integers(0, 3),
    )
    def test_parts_never_exceed_the_limit(
        self, total: int, member_counts: list[int], remainder_index: int
    ) -> None:
        members = sum(member_counts)
        parts = [
            scaled_limit(
                total, count / members, gets_remainder=index == remainder_index
            )
            for index, count in enumerate(member_counts)
        ]
        assert sum(parts) <= total


class TestBreaker:
    def test_opens_probes_once_and_closes(self) -> None:
        endpoint = warm_endpoint()
        for _ in range(3):
            finish_request(endpoint, 20, PermitOutcome.failed)
        assert not is_available(endpoint, 'a', 0, 20.1)
        assert is_available(endpoint, 'a', 0, 21)
        assert not is_available(endpoint, 'a', 1, 21)
        finish_request(endpoint, 21)
        assert is_available(endpoint, 'a', 5, 21)

    def test_a_failed_probe_waits_longer(self) -> None:
        endpoint = warm_endpoint()
        finish_request(endpoint, 20, PermitOutcome.unreachable)
        finish_request(endpoint, 21, PermitOutcome.unreachable)
        assert not is_available(endpoint, 'a', 0, 21.9)
        assert is_available(endpoint, 'a', 0, 22.1)

    def test_unreachable_from_one_node_stays_available_to_others(self) -> None:
        endpoint = warm_endpoint()
        record_report(endpoint, 20, node='b')
        record_report(endpoint, 20, node='a', reachable=False)
        assert not is_available(endpoint, 'a', 0, 20)
        assert is_available(endpoint, 'b', 3, 20)
        assert limit_of(endpoint, 20) == 16


class TestBatch:
    def test_slow_tokens_lower_the_limit_and_fast_ones_raise_it(self) -> None:
        endpoint = warm_endpoint()
        for now in range(20, 30):
            record_token_gap(endpoint, 60, 36, 16, now)
        lowered_limit = limit_of(endpoint, 30)
        assert lowered_limit < 16
        for now in range(30, 60):
            record_token_gap(endpoint, 20, 36, 16, now)
        assert limit_of(endpoint, 60) == 16
