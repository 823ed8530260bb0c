"""Acquires permits, trying data centres in order of preference."""

import dataclasses
from typing import Final

from mastichatch_core.catalogue import Catalogue
from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.messages import (
    CandidateScore,
    ErrorKind,
    PermitGrant,
    PermitRequest,
    ServiceLoad,
)
from mastichatch_core.routing import (
    OVERFLOW_KINDS,
    DataCentreLoad,
    rank_data_centres,
    usable_data_centres,
)
from mastichatch_core.units import MS_PER_S
from mastichatch_node.clock import loop_time
from mastichatch_node.configuration import Configuration
from mastichatch_node.decisions import DecisionLog
from mastichatch_node.membership import Membership
from mastichatch_node.permits import Permits

DATA_CENTRE_LIMIT: Final = 4


class DataCentreRouter:
    """Ranks data centres and acquires a permit at the first that grants one."""

    def __init__(
        self,
        permits: Permits,
        membership: Membership,
        configuration: Configuration,
        decisions: DecisionLog,
    ) -> None:
        """Use the node's permits and its view of the data centres."""
        self._permits = permits
        self._membership = membership
        self._configuration = configuration
        self._decisions = decisions

    async def acquire(self, request: PermitRequest) -> PermitGrant:
        """Request a permit from each ranked data centre until one grants it.

        :param request: the request; its attempt number is the same at each
            data centre, since asking the next one does not count as a retry
        :raises MastichatchError: if every data centre refuses; nothing has run
            in that case
        """
        catalogue = self._configuration.current
        if catalogue is None:
            raise MastichatchError(ErrorKind.not_ready)
        deadline = loop_time() + request.deadline_ms / MS_PER_S
        ranked = self._rank_data_centres(catalogue, request.service)[
            :DATA_CENTRE_LIMIT
        ]
        refusal = MastichatchError(ErrorKind.no_endpoint)
        for candidate in ranked:
            permit_request = dataclasses.replace(
                request,
                data_centre=candidate.endpoint,
                deadline_ms=max(deadline - loop_time(), 0) * MS_PER_S,
            )
            self._log_choice(permit_request, candidate, ranked, catalogue)
            try:
                return await self._permits.acquire(permit_request)
            except MastichatchError as error:
                refusal = _require_overflow(error)
        raise refusal

    def _rank_data_centres(
        self,
        catalogue: Catalogue,
        service: str,
    ) -> tuple[CandidateScore, ...]:
        own = self._membership.own.data_centre
        usable = usable_data_centres(
            catalogue,
            service,
            self._membership.leaving_hosts,
        )
        digests = {
            digest.data_centre: digest.loads
            for digest in self._membership.digests()
        }
        loads = [
            DataCentreLoad(
                data_centre=name,
                load=_find_load(digests.get(name, ()), service),
            )
            for name in usable
            if name != own
        ]
        if own in usable:
            own_load = self._permits.load(service, own)
            loads.append(DataCentreLoad(data_centre=own, load=own_load))
        return rank_data_centres(own, loads)

    def _log_choice(
        self,
        request: PermitRequest,
        choice: CandidateScore,
        candidates: tuple[CandidateScore, ...],
        catalogue: Catalogue,
    ) -> None:
        self._decisions.note(
            'data_centre_chosen',
            request.request_id,
            choice=choice.endpoint,
            reason=choice.reason,
            term=self._permits.highest_term(
                request.service,
                choice.endpoint,
            ),
            revision=catalogue.revision,
            candidates=candidates,
        )


def _require_overflow(error: MastichatchError) -> MastichatchError:
    """Return an error after which another data centre may be tried.

    Any other error is raised.
    """
    if error.kind not in OVERFLOW_KINDS:
        raise error
    return error


def _find_load(
    loads: tuple[ServiceLoad, ...],
    service: str,
) -> ServiceLoad | None:
    for load in loads:
        if load.service == service:
            return load
    return None
