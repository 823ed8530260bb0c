"""Scores the endpoints that a request could go to."""

import dataclasses
from typing import Final

from mastichatch_core.generated.messages import CandidateScore

PREFIX_BONUS: Final = 0.5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """One endpoint that has room for a request.

    :param endpoint: name of the endpoint
    :param running: permits that count against it
    :param limit: permits that it may have
    :param peak_share: predicted peak of memory with the request, as a share
    :param prefix_known: whether its cache is likely to hold the prefix
    """

    endpoint: str
    running: int
    limit: int
    peak_share: float
    prefix_known: bool


def score(candidate: Candidate) -> CandidateScore:
    """Return how well an endpoint suits a request; higher is better.

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
