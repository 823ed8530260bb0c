"""Score the endpoints that could serve a request."""

import dataclasses
from typing import Final

from mastichatch_core.generated.messages import CandidateScore

PREFIX_BONUS: Final = 0.5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """An endpoint that has capacity for a request.

    :param endpoint: name of the endpoint
    :param running: permits that count against the endpoint
    :param limit: largest number of permits for the endpoint
    :param peak_share: predicted peak memory including the request, as a share
        of the endpoint's memory
    :param prefix_known: whether the endpoint's cache probably holds the
        request's prompt prefix
    """

    endpoint: str
    running: int
    limit: int
    peak_share: float
    prefix_known: bool


def score(candidate: Candidate) -> CandidateScore:
    """Return the score of an endpoint for a request; higher is better.

    :param candidate: the endpoint
    """
    occupied = candidate.running / max(1, candidate.limit)
    free = 1 - max(occupied, candidate.peak_share)
    bonus = PREFIX_BONUS if candidate.prefix_known else 0
    return CandidateScore(
        endpoint=candidate.endpoint,
        score=round(free + bonus, 4),
        reason='prefix known' if candidate.prefix_known else '',
    )
