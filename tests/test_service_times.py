"""An endpoint's return to service is ramped once, across all schedulers."""

from mastichatch_core import scheduler as core
from mastichatch_core.catalogue import Catalogue
from mastichatch_core.generated.manifest import (
    DataCentre,
    Endpoint,
    Manifest,
    Service,
    ServiceKind,
)
from mastichatch_core.generated.messages import (
    EndpointObservation,
    Registration,
    Term,
)
from mastichatch_core.generated.records import Drain, DrainKind
from mastichatch_core.service_times import ServiceTimes

BATCH_LIMIT = 8
RETURN_RAMP_S = 8.0
DRAIN = Drain(kind=DrainKind.data_centre, name='d')
NO_HOSTS: frozenset[str] = frozenset()


def catalogue(*drains: Drain) -> Catalogue:
    manifest = Manifest(
        data_centres=(
            DataCentre(name='d', return_ramp_ms=int(RETURN_RAMP_S * 1000)),
        ),
        services=(Service(name='s', kind=ServiceKind.model),),
        endpoints=(
            Endpoint(
                name='e',
                service='s',
                data_centre='d',
                host='h',
                address='127.0.0.1:1',
                cold_limit=1,
                batch_limit=BATCH_LIMIT,
            ),
        ),
        workspaces=(),
    )
    return Catalogue(1, manifest, drains)


def open_scheduler(now: float, times: ServiceTimes) -> core.Scheduler:
    """Return a scheduler of the second term, just opened."""
    term = Term(number=2, incarnation='i')
    scheduler = core.open_scheduler(term, catalogue(), 's', 'd', now)
    scheduler.pool.set_service_times(times)
    core.set_members(scheduler, frozenset('a'), frozenset('a'), now)
    return scheduler


def hand_over(scheduler: core.Scheduler, limit: float, now: float) -> None:
    """Register a node that reports the limit of the previous scheduler."""
    observed = EndpointObservation(endpoint='e', boot_id='boot')
    handed_over = EndpointObservation(
        endpoint='e', boot_id='boot', limit=limit, limit_term=1
    )
    registration = Registration(
        service='s',
        node='a',
        term=scheduler.term,
        observations=(observed, handed_over),
    )
    core.register(scheduler, registration, now)


class TestServiceTimes:
    def test_service_time_restarts_after_a_drain_or_leaving_host(
        self,
    ) -> None:
        times = ServiceTimes('d')
        times.update(catalogue(), NO_HOSTS, 1)
        times.update(catalogue(), NO_HOSTS, 2)
        assert times.since('e') == 1
        times.update(catalogue(DRAIN), NO_HOSTS, 3)
        assert times.since('e') is None
        times.update(catalogue(), NO_HOSTS, 4)
        assert times.since('e') == 4
        times.update(catalogue(), frozenset({'h'}), 5)
        assert times.since('e') is None


class TestNextScheduler:
    def test_completed_return_is_not_ramped_again(self) -> None:
        times = ServiceTimes('d')
        times.update(catalogue(), NO_HOSTS, 0)
        scheduler = open_scheduler(RETURN_RAMP_S, times)
        hand_over(scheduler, BATCH_LIMIT, RETURN_RAMP_S)
        assert scheduler.pool.limit('e', RETURN_RAMP_S) == BATCH_LIMIT

    def test_return_continues_from_the_handed_over_limit(self) -> None:
        times = ServiceTimes('d')
        times.update(catalogue(), NO_HOSTS, 0)
        scheduler = open_scheduler(0, times)
        hand_over(scheduler, 4, 0)
        assert scheduler.pool.limit('e', 0) == 4

    def test_return_after_the_hand_over_is_ramped(self) -> None:
        scheduler = open_scheduler(0, ServiceTimes('d'))
        hand_over(scheduler, BATCH_LIMIT, 0)
        core.set_catalogue(scheduler, catalogue(DRAIN), 1)
        core.set_catalogue(scheduler, catalogue(), 2)
        # Registrations repeat the handed-over limit throughout the term.
        hand_over(scheduler, BATCH_LIMIT, 2)
        assert scheduler.pool.limit('e', 2) == 1
