"""Renews the permits that a node holds without naming each of them.

A node and a scheduler each keep the permits that the node has in use, with
their output tokens, and compare a digest over them. The scheduler renews only
what it has itself and what the digest proves to be the node's; at any doubt it
asks for the list. See docs/design/03-scheduler.md.
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
    """Return a number of 64 bits that stands for a permit.

    :param request_id: id of the request
    :param attempt: number of its attempt
    :param endpoint: name of the endpoint that the permit allows
    """
    name = f'{request_id}\0{attempt}\0{endpoint}'
    return xxhash.xxh3_64_intdigest(name.encode())


def digest(tokens: Mapping[int, int]) -> int:
    """Return a hash over permits in use, whatever their order.

    :param tokens: output tokens told, by fingerprint
    """
    numbers = tuple(itertools.chain.from_iterable(sorted(tokens.items())))
    packed = struct.pack(f'<{len(numbers)}Q', *numbers)
    return xxhash.xxh3_64_intdigest(packed)


def renewed_tokens(
    listed: Mapping[int, int], summary: HeldSummary
) -> dict[int, int] | None:
    """Return what a summary says of the permits in use.

    :param listed: output tokens that the node told before, by fingerprint,
        with the permits that the summary calls started
    :param summary: what the node tells now
    :returns: output tokens by fingerprint, or ``None`` where the node holds
        others in use than these
    """
    if len(summary.progress) != len(listed):
        return None
    tokens = {
        number: listed[number] + fresh
        for number, fresh in zip(sorted(listed), summary.progress, strict=True)
    }
    negative = any(fresh < 0 for fresh in summary.progress)
    if negative or digest(tokens) != summary.digest:
        return None
    return tokens


class Told:
    """What a node has told one scheduler, under one term, of its permits."""

    def __init__(self) -> None:
        """Start with nothing told."""
        self._tokens: dict[int, int] = {}
        self._listed_at = -math.inf

    def note_list(self, held: Iterable[HeldPermit], now: float) -> None:
        """Note that every permit is named in a registration.

        :param held: all that the node holds at the scheduler
        :param now: time in seconds
        """
        self._tokens = {
            _fingerprint(one): one.output_tokens for one in held if one.used
        }
        self._listed_at = now

    def summarize(
        self, held: Iterable[HeldPermit], now: float
    ) -> HeldSummary | None:
        """Return a summary for the next registration and count it as told.

        :param held: all that the node holds at the scheduler
        :param now: time in seconds
        :returns: the summary, or ``None`` where the list is due
        """
        if now - self._listed_at >= LIST_INTERVAL_S:
            return None
        numbers = {_fingerprint(one): one for one in held}
        tokens = {
            number: one.output_tokens
            for number, one in numbers.items()
            if one.used
        }
        before = self._tokens
        self._tokens = tokens
        return HeldSummary(
            digest=digest(tokens),
            started=tuple(tokens.keys() - before.keys()),
            unused=tuple(numbers.keys() - tokens.keys()),
            progress=tuple(
                tokens[number] - before.get(number, 0)
                for number in sorted(tokens)
            ),
        )


def _fingerprint(held: HeldPermit) -> int:
    return fingerprint(held.request_id, held.attempt, held.endpoint)
