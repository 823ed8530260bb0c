"""Tests of how a node handles messages of schedulers."""

import asyncio
import dataclasses
import types
from typing import Any, cast

import pytest

from mastichatch_core.catalogue import Catalogue
from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.manifest import (
    DataCentre,
    Endpoint,
    Manifest,
    Service,
    ServiceKind,
)
from mastichatch_core.generated.messages import (
    EndpointObservation,
    Envelope,
    ErrorKind,
    MessageKind,
    PermitGrant,
    PermitRefusal,
    PermitRequest,
    Registration,
    SchedulerOpen,
    Term,
)
from mastichatch_core.scheduler_state import Timing
from mastichatch_node import scheduler_hosting
from mastichatch_node.permits import Permits


def scheduler_of(data_centre: str) -> SchedulerOpen:
    return SchedulerOpen(
        service='rota',
        term=Term(number=1, incarnation=data_centre),
        node=f'{data_centre}-node',
        data_centre=data_centre,
        free=0,
        waiting=0,
        wait_ms=0,
    )


def message_from(data_centre: str) -> Envelope:
    return cast(Envelope, types.SimpleNamespace(sender=data_centre))


def request_to(data_centre: str) -> PermitRequest:
    return PermitRequest(
        request_id='request',
        attempt=0,
        service='rota',
        node='north-node',
        data_centre=data_centre,
        workspace='small',
        deadline_ms=10_000,
    )


@pytest.fixture
async def permits() -> Permits:
    """Return permits that follow one scheduler in each data centre."""
    peers: Any = types.SimpleNamespace(send=lambda *message: None)
    own = types.SimpleNamespace(name='north-node', data_centre='north')
    membership: Any = types.SimpleNamespace(own=own, all_known=tuple)
    opened = Permits(peers, membership)
    for data_centre in ('north', 'south'):
        await opened.on_open(
            scheduler_of(data_centre), message_from(data_centre)
        )
    return opened


class TestRefusal:
    async def test_duplicate_does_not_affect_the_next_data_centre(
        self, permits: Permits
    ) -> None:
        refusal = PermitRefusal(
            request_id='request',
            attempt=0,
            service='rota',
            kind=ErrorKind.no_endpoint,
        )
        first = asyncio.create_task(permits.acquire(request_to('north')))
        await asyncio.sleep(0)
        await permits.on_refusal(refusal, message_from('north'))
        with pytest.raises(MastichatchError):
            await first
        second = asyncio.create_task(permits.acquire(request_to('south')))
        await asyncio.sleep(0)
        await permits.on_refusal(refusal, message_from('north'))
        await asyncio.sleep(0)
        assert not second.done()
        await permits.on_refusal(refusal, message_from('south'))
        with pytest.raises(MastichatchError):
            await second


class TestSameIdTwice:
    """A caller sends its request again while the former one is waiting."""

    async def open_recording(self) -> tuple[Permits, list[Any]]:
        """Return permits that follow a scheduler, and what they send it."""
        sent: list[Any] = []
        peers: Any = types.SimpleNamespace(
            send=lambda address, kind, message: sent.append(message)
        )
        own = types.SimpleNamespace(name='north-node', data_centre='north')
        membership: Any = types.SimpleNamespace(own=own, all_known=tuple)
        opened = Permits(peers, membership)
        await opened.on_open(scheduler_of('north'), message_from('north'))
        sent.clear()
        return opened, sent

    def grant_for(self, request: PermitRequest) -> PermitGrant:
        return PermitGrant(
            request_id=request.request_id,
            attempt=request.attempt,
            service=request.service,
            endpoint='engine',
            term=scheduler_of('north').term,
            lease_ms=5000,
            reason='test',
            registration=1,
        )

    async def test_each_gets_a_permit_of_its_own(self) -> None:
        permits, sent = await self.open_recording()
        tasks = [
            asyncio.create_task(permits.acquire(request_to('north')))
            for _ in range(2)
        ]
        await asyncio.sleep(0)
        for request in tuple(sent):
            await permits.on_grant(
                self.grant_for(request), message_from('north')
            )
        async with asyncio.timeout(1):
            granted = await asyncio.gather(*tasks)
        assert all(permits.still_valid(grant) for grant in granted)
        assert granted[0].request_id != granted[1].request_id

    async def test_end_of_one_does_not_withdraw_the_other(self) -> None:
        permits, sent = await self.open_recording()
        tasks = [
            asyncio.create_task(permits.acquire(request_to('north')))
            for _ in range(2)
        ]
        await asyncio.sleep(0)
        requested = [one.request_id for one in sent]
        tasks[0].cancel()
        with pytest.raises(asyncio.CancelledError):
            await tasks[0]
        assert [one.request_id for one in sent[2:]] == requested[:1]
        assert requested[0] != requested[1]
        await permits.on_grant(self.grant_for(sent[1]), message_from('north'))
        async with asyncio.timeout(1):
            assert permits.still_valid(await tasks[1])


class TestSearch:
    async def test_silent_scheduler_is_searched_for_at_every_node(
        self,
    ) -> None:
        sent: list[tuple[str, MessageKind]] = []
        peers: Any = types.SimpleNamespace(
            send=lambda address, kind, _: sent.append((address, kind))
        )
        members = tuple(
            types.SimpleNamespace(
                peer_address=name, data_centre='south', draining=False
            )
            for name in ('first', 'second')
        )
        own = types.SimpleNamespace(name='north-node', data_centre='north')
        membership: Any = types.SimpleNamespace(
            own=own, all_known=lambda: members
        )
        opened = Permits(peers, membership)
        waiting = asyncio.create_task(opened.acquire(request_to('south')))
        await asyncio.sleep(0)
        opened.find_schedulers()
        assert [address for address, _ in sent] == ['first', 'second']
        assert sent[-1][1] is MessageKind.registration
        waiting.cancel()


class TestRegistration:
    async def test_full_list_is_sent_only_when_required(self) -> None:
        """The list goes out first, on adoption, on demand and in a new term."""
        registrations: list[Registration] = []
        peers: Any = types.SimpleNamespace(
            send=lambda address, kind, message: registrations.append(message)
        )
        own = types.SimpleNamespace(name='north-node', data_centre='north')
        membership: Any = types.SimpleNamespace(own=own, all_known=tuple)
        opened = Permits(peers, membership)
        announced = scheduler_of('north')
        list_wanted_again = dataclasses.replace(announced, list_wanted=True)
        with_newer_term = dataclasses.replace(
            announced, term=Term(number=2, incarnation='other')
        )
        envelope = message_from('north')
        await opened.on_open(announced, envelope)
        opened.adopt(request_to('north'), 'endpoint')
        for message in (
            announced,
            list_wanted_again,
            announced,
            with_newer_term,
        ):
            await opened.on_open(message, envelope)
        summarized = [item.summary is not None for item in registrations]
        assert summarized == [False, False, True, False, True, False]
        assert [len(item.held) for item in registrations] == [
            0,
            1,
            0,
            1,
            0,
            1,
        ]
        assert [item.sequence for item in registrations] == [
            1,
            2,
            3,
            4,
            5,
            1,
        ]

    async def test_old_observation_is_reported_with_its_age(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """A former host passes its observations on to the next one."""
        manifest = Manifest(
            data_centres=(DataCentre(name='north'),),
            services=(Service(name='rota', kind=ServiceKind.model),),
            endpoints=(
                Endpoint(
                    name='endpoint',
                    service='rota',
                    data_centre='north',
                    host='host',
                    address='127.0.0.1:1',
                ),
            ),
            workspaces=(),
        )
        context: Any = types.SimpleNamespace(
            data_centre='north', current=Catalogue(1, manifest)
        )
        schedulers = scheduler_hosting.SchedulerHost(
            context, context, context, Timing()
        )
        seen = EndpointObservation(endpoint='endpoint', boot_id='b', age_ms=5)
        ages: list[list[float]] = []
        for now in (10.0, 10.25, 20.0):
            monkeypatch.setattr(scheduler_hosting, 'loop_time', lambda: now)
            if not ages:
                schedulers.record_observation('rota', seen)
            reported = schedulers.observations('rota')
            ages.append([observation.age_ms for observation in reported])
        assert ages == [[5], [255], []]
