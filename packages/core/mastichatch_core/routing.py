"""Choose the data centres to whose schedulers a request is sent."""

import dataclasses
from collections.abc import Iterable
from collections.abc import Set as AbstractSet
from typing import Final

from mastichatch_core.catalogue import Catalogue
from mastichatch_core.generated.messages import (
    CandidateScore,
    ErrorKind,
    ServiceLoad,
)
from mastichatch_core.service_times import takes_work

REMOTE_PENALTY_MS: Final = 100.0
# Exceeds every expected wait, because a data centre whose load is unknown may
# not answer at all.
UNKNOWN_LOAD_PENALTY_MS: Final = 86_400_000.0
QUEUED_REQUEST_PENALTY_MS: Final = 20.0
_NO_HOSTS: Final[AbstractSet[str]] = frozenset()

# After a refusal of these kinds another data centre may still accept the
# request.
OVERFLOW_KINDS: Final = frozenset(
    (
        ErrorKind.no_endpoint,
        ErrorKind.queue_full,
        ErrorKind.queue_deadline,
    ),
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DataCentreLoad:
    """Known load of one service in one data centre.

    :param data_centre: name of the data centre
    :param load: newest load, or ``None`` if none is known
    """

    data_centre: str
    load: ServiceLoad | None


def usable_data_centres(
    catalogue: Catalogue,
    service: str,
    leaving: AbstractSet[str] = _NO_HOSTS,
) -> tuple[str, ...]:
    """Return the data centres that accept new work for a service.

    :param catalogue: current configuration
    :param service: name of the service
    :param leaving: names of the hosts that the host list marks as leaving
    """
    return tuple(
        name
        for name in catalogue.data_centres
        if any(
            takes_work(endpoint, catalogue, leaving)
            for endpoint in catalogue.endpoints_of(service, name)
        )
    )


def rank_data_centres(
    own: str,
    loads: Iterable[DataCentreLoad],
) -> tuple[CandidateScore, ...]:
    """Return the data centres in the order in which they are tried.

    The score is the expected wait in milliseconds. The node's own data centre
    comes first until its queue delay exceeds the penalty for a remote one.

    :param own: data centre of the requesting node
    :param loads: known load of each usable data centre
    """
    scores = [_score(own, candidate) for candidate in loads]
    return tuple(sorted(scores, key=lambda score: score.score))


def _score(own: str, candidate: DataCentreLoad) -> CandidateScore:
    is_own = candidate.data_centre == own
    score = 0 if is_own else REMOTE_PENALTY_MS
    load = candidate.load
    if load is None:
        if not is_own:
            score += UNKNOWN_LOAD_PENALTY_MS
        return CandidateScore(
            endpoint=candidate.data_centre,
            score=score,
            reason='load unknown',
        )
    if load.free <= load.waiting:
        score += load.wait_ms + load.waiting * QUEUED_REQUEST_PENALTY_MS
    return CandidateScore(
        endpoint=candidate.data_centre,
        score=score,
        reason=f'free {load.free}, waiting {load.waiting}',
    )
