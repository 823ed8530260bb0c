"""Renew the permits of a node by a summary instead of a full list.

The node and the scheduler both keep the permits that the node has in use, with
their output tokens, and compare a digest of them. The scheduler renews only
permits that it knows and that the digest confirms. If the digest does not
match, it requests the full list. See docs/design/03-scheduler.md.
"""

import itertools
import math
import struct
from collections.abc import Iterable, Mapping
from typing import Final

import xxhash

from mastichatch_core.generated.messages import HeldPermit, HeldSummary

LIST_INTERVAL_S: Final = 120.0


def fingerprint(request_id: str, attempt: int, endpoint: str) -> int:
    """Return a 64-bit hash that identifies a permit.

    :param request_id: id of the request
    :param attempt: number of the attempt
    :param endpoint: name of the endpoint that the permit is for
    """
    name = f'{request_id}\0{attempt}\0{endpoint}'
    return xxhash.xxh3_64_intdigest(name.encode())


def digest(tokens: Mapping[int, int]) -> int:
    """Return a hash of the permits in use that does not depend on their order.

    :param tokens: reported output tokens, by fingerprint
    """
    numbers = tuple(itertools.chain.from_iterable(sorted(tokens.items())))
    packed = struct.pack(f'<{len(numbers)}Q', *numbers)
    return xxhash.xxh3_64_intdigest(packed)


def renewed_tokens(
    reported_tokens: Mapping[int, int], summary: HeldSummary
) -> dict[int, int] | None:
    """Return the output tokens of the permits that a summary covers.

    :param reported_tokens: output tokens that the node reported before, by
        fingerprint, including the permits that the summary names as started
    :param summary: the node's new summary
    :returns: output tokens by fingerprint, or ``None`` if the node does not
        have exactly these permits in use
    """
    if len(summary.progress) != len(reported_tokens):
        return None
    tokens = {
        permit_id: reported_tokens[permit_id] + new_tokens
        for permit_id, new_tokens in zip(
            sorted(reported_tokens), summary.progress, strict=True
        )
    }
    has_negative = any(new_tokens < 0 for new_tokens in summary.progress)
    if has_negative or digest(tokens) != summary.digest:
        return None
    return tokens


class ReportedPermits:
    """Permits that a node has reported to one scheduler in one term."""

    def __init__(self) -> None:
        """Start without reported permits."""
        self._reported_tokens: dict[int, int] = {}
        self._last_list_at = -math.inf

    def record_list(self, held: Iterable[HeldPermit], now: float) -> None:
        """Record that a registration lists every permit.

        :param held: all permits that the node holds from the scheduler
        :param now: time in seconds
        """
        self._reported_tokens = {
            _fingerprint(permit): permit.output_tokens
            for permit in held
            if permit.used
        }
        self._last_list_at = now

    def summarize(
        self, held: Iterable[HeldPermit], now: float
    ) -> HeldSummary | None:
        """Return a summary for the next registration and record it as sent.

        :param held: all permits that the node holds from the scheduler
        :param now: time in seconds
        :returns: the summary, or ``None`` if the full list is due
        """
        if now - self._last_list_at >= LIST_INTERVAL_S:
            return None
        by_fingerprint = {_fingerprint(permit): permit for permit in held}
        tokens = {
            permit_id: permit.output_tokens
            for permit_id, permit in by_fingerprint.items()
            if permit.used
        }
        previous = self._reported_tokens
        self._reported_tokens = tokens
        return HeldSummary(
            digest=digest(tokens),
            started=tuple(tokens.keys() - previous.keys()),
            unused=tuple(by_fingerprint.keys() - tokens.keys()),
            progress=tuple(
                tokens[permit_id] - previous.get(permit_id, 0)
                for permit_id in sorted(tokens)
            ),
        )


def _fingerprint(held: HeldPermit) -> int:
    return fingerprint(held.request_id, held.attempt, held.endpoint)
