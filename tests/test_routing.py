"""Data centres are tried in the order of the expected wait."""

from mastichatch_core.catalogue import Catalogue
from mastichatch_core.generated.manifest import (
    DataCentre,
    Endpoint,
    Manifest,
    Service,
    ServiceKind,
)
from mastichatch_core.generated.messages import ServiceLoad
from mastichatch_core.generated.records import Drain, DrainKind
from mastichatch_core.routing import (
    DataCentreLoad,
    rank_data_centres,
    usable_data_centres,
)


def load(free: int, waiting: int = 0, wait_ms: float = 0) -> ServiceLoad:
    return ServiceLoad(service='s', free=free, waiting=waiting, wait_ms=wait_ms)


def order(own: str, **loads: ServiceLoad | None) -> list[str]:
    candidates = [
        DataCentreLoad(data_centre=name, load=known)
        for name, known in loads.items()
    ]
    return [score.endpoint for score in rank_data_centres(own, candidates)]


class TestRanking:
    def test_prefers_the_own_data_centre_while_it_has_room(self) -> None:
        assert order('b', a=load(9), b=load(1)) == ['b', 'a']

    def test_overflows_when_the_own_queue_exceeds_the_remote_penalty(
        self,
    ) -> None:
        own = load(0, waiting=20, wait_ms=900)
        assert order('b', a=load(9), b=own) == ['a', 'b']

    def test_tries_a_data_centre_of_unknown_load_last(self) -> None:
        own = load(0, waiting=20, wait_ms=900)
        assert order('b', a=None, b=own, c=load(3)) == ['c', 'b', 'a']

    def test_tries_the_own_data_centre_first_without_any_load(self) -> None:
        assert order('b', a=None, b=None) == ['b', 'a']


class TestUsableDataCentres:
    def catalogue(self, *drains: Drain) -> Catalogue:
        return Catalogue(
            revision=1,
            manifest=Manifest(
                data_centres=(DataCentre(name='a'), DataCentre(name='b')),
                services=(Service(name='s', kind=ServiceKind.model),),
                endpoints=tuple(
                    Endpoint(
                        name=f'e-{data_centre}',
                        service='s',
                        data_centre=data_centre,
                        host=f'h-{data_centre}',
                        address='127.0.0.1:1',
                    )
                    for data_centre in 'ab'
                ),
                workspaces=(),
            ),
            drains=drains,
        )

    def test_leaves_out_a_drained_data_centre(self) -> None:
        drain = Drain(kind=DrainKind.data_centre, name='a')
        assert usable_data_centres(self.catalogue(drain), 's') == ('b',)

    def test_leaves_out_a_data_centre_without_usable_endpoints(self) -> None:
        drain = Drain(kind=DrainKind.endpoint, name='e-b')
        assert usable_data_centres(self.catalogue(drain), 's') == ('a',)

    def test_leaves_out_a_data_centre_whose_hosts_are_leaving(self) -> None:
        hosts = {'h-a'}
        assert usable_data_centres(self.catalogue(), 's', hosts) == ('b',)

    def test_uses_all_by_default(self) -> None:
        assert usable_data_centres(self.catalogue(), 's') == ('a', 'b')
