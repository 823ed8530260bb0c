"""Chooses the data centres whose scheduler a request is sent to."""

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
# Longer than any wait: nobody may be there to answer.
UNKNOWN_LOAD_PENALTY_MS: Final = 86_400_000.0
QUEUED_REQUEST_MS: Final = 20.0
_NO_HOSTS: Final[AbstractSet[str]] = frozenset()

# A refusal of these kinds may not hold in another data centre.
OVERFLOW_KINDS: Final = frozenset(
    (
        ErrorKind.no_endpoint,
        ErrorKind.queue_full,
        ErrorKind.queue_deadline,
    ),
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DataCentreLoad:
    """What is known of one service in one data centre.

    :param data_centre: name of the data centre
    :param load: newest load, or None where none is known
    """

    data_centre: str
    load: ServiceLoad | None


def usable_data_centres(
    catalogue: Catalogue,
    service: str,
    leaving: AbstractSet[str] = _NO_HOSTS,
) -> tuple[str, ...]:
    """Return the data centres that may get new work for a service.

    :param catalogue: the configuration in force
    :param service: name of the service
    :param leaving: names of the hosts that the host list calls leaving
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
    """Return the data centres in the order in which they are asked.

    The score is the expected wait in milliseconds, so the own data centre
    comes first until its queue is longer than the way to another.

    :param own: data centre of the node that asks
    :param loads: what is known of each usable data centre
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
        score += load.wait_ms + load.waiting * QUEUED_REQUEST_MS
    return CandidateScore(
        endpoint=candidate.data_centre,
        score=score,
        reason=f'free {load.free}, waiting {load.waiting}',
    )
