"""Decides which requests to refuse because their prompts crash engines.

The load pattern and the evidence are those of ``prompt_evidence``.

A request that carries all candidates of a crashed run, or all that runs of two
crashes have in common, may repeat the crash. Such requests are refused if only
one run can have caused a crash, and they carry all of its candidates, or if
there were several such crashes. The time grows with each further crash.

Any other request with a candidate may be sound, and so may one whose refusal
has ended. It becomes a *trial*, and runs alone among the requests with these
parts. Its first event proves its parts, so that fewer candidates remain, and
lets all others go on.
"""

import dataclasses
import enum
from collections.abc import Collection, Iterable
from typing import Final

from mastichatch_core.generated.messages import SuspectedParts
from mastichatch_core.relay.model import Endpoint, RequestMetadata
from mastichatch_core.relay.prompt_evidence import (
    PromptEvidence,
    Suspicion,
    union,
)
from mastichatch_core.units import MS_PER_S

# Time for which requests are refused after the first crash, the factor by which
# it grows with each further one, and its limit, which is the longest time that
# the platform's store keeps the evidence.
FIRST_REFUSAL_S: Final = 60.0
REFUSAL_GROWTH: Final = 4.0
MAX_REFUSAL_S: Final = 600.0
# Crashes of several engines within this time may have a common cause other than
# a request, so they count as one.
SIMULTANEOUS_S: Final = 1.0
# Number of clear crashes after which a request is refused that carries only
# what their runs have in common.
MIN_COMMON_CRASHES: Final = 3
# Number of crashes after which a request is refused although none of them is
# clear: engines that crash often for other reasons also crash during trials.
MIN_UNCLEAR_CRASHES: Final = 3
# A part that was proven may have become deadly. It becomes suspected with this
# many crashes since its last proof, and is refused if they are clear.
MIN_STALE_CRASHES: Final = 2
MIN_UNCLEAR_STALE_CRASHES: Final = 5

_MAX_GROWTH_STEPS: Final = 8


class Action(enum.StrEnum):
    """What to do with a request."""

    admit = 'admit'
    trial = 'trial'
    refuse = 'refuse'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Verdict:
    """Judgement of a request on one version of a service.

    :param action: what to do with the request
    :param suspects: parts of the request that may be deadly
    :param until: time at which the refusal ends, in seconds; zero without one
    :param crashes: number of crashes that it would repeat
    """

    action: Action = Action.admit
    suspects: frozenset[str] = frozenset()
    until: float = 0
    crashes: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FleetVerdict:
    """Judgement of a request on all versions of its service.

    :param refusal: the refusal that ends first, if all versions refuse it
    :param refused_versions: versions that must not run it
    :param suspects: parts of the request that may crash the other versions
    """

    refusal: Verdict | None = None
    refused_versions: frozenset[str] = frozenset()
    suspects: tuple[str, ...] = ()


def judge(
    evidence: PromptEvidence,
    service: str,
    version: str,
    parts: Collection[str],
    now: float,
) -> Verdict:
    """Return what to do with a request on one version of a service.

    :param evidence: evidence on crashes
    :param service: name of the service
    :param version: version of its software
    :param parts: ids of the shared parts of the request's prompt
    :param now: time in seconds
    """
    carried = frozenset(parts)
    pinned = {part for pinned, part in evidence.pinned if pinned == service}
    if carried & pinned:
        return Verdict(
            action=Action.refuse,
            suspects=carried & pinned,
            until=now + MAX_REFUSAL_S,
        )
    found = evidence.suspicions(service, version, carried, now)
    suspicions = found.unproven
    repeated = _repeated(suspicions, carried)
    crashes = _count_refusing(
        repeated, carried, min_clear=1, min_unclear=MIN_UNCLEAR_CRASHES
    )
    if not crashes:
        repeated = _common_stale(found.stale, carried)
        suspicions = (*suspicions, *repeated)
        crashes = _count_refusing(
            repeated,
            carried,
            min_clear=MIN_STALE_CRASHES,
            min_unclear=MIN_UNCLEAR_STALE_CRASHES,
        )
    until = _refused_until(repeated, crashes)
    return _verdict(
        union(one.candidates for one in suspicions) & carried,
        until if now < until else 0,
        crashes,
    )


def judge_versions(
    evidence: PromptEvidence,
    endpoints: Iterable[Endpoint],
    parts: Collection[str],
    now: float,
) -> FleetVerdict:
    """Return the verdict on a request for all endpoints of its service.

    :param evidence: evidence on crashes
    :param endpoints: endpoints of the service that accept new requests
    :param parts: ids of the shared parts of the request's prompt
    :param now: time in seconds
    """
    versions = {(one.service, one.version) for one in endpoints}
    verdicts = {
        version: judge(evidence, service, version, parts, now)
        for service, version in versions
    }
    refusals = {
        version: verdict
        for version, verdict in verdicts.items()
        if verdict.action is Action.refuse
    }
    if verdicts and len(refusals) == len(verdicts):
        first = min(refusals.values(), key=lambda one: one.until)
        return FleetVerdict(refusal=first)
    suspects = union(
        verdict.suspects
        for version, verdict in verdicts.items()
        if version not in refusals
    )
    return FleetVerdict(
        refused_versions=frozenset(refusals), suspects=tuple(sorted(suspects))
    )


def list_suspected(
    evidence: PromptEvidence, now: float
) -> tuple[SuspectedParts, ...]:
    """Return the suspected and pinned parts, for operators.

    :param evidence: evidence on crashes
    :param now: time in seconds
    """
    instances: dict[tuple[str, str, frozenset[str]], list[str]] = {}
    for crash in evidence.crashes(now):
        for candidates in evidence.candidate_sets(crash):
            key = (crash.service, crash.version, candidates)
            instances.setdefault(key, []).append(crash.instance)
    suspected = (
        SuspectedParts(
            service=key[0],
            version=key[1],
            parts=tuple(sorted(key[2])),
            crashes=tuple(crashed),
            refused_ms=max(0, judge(evidence, *key, now).until - now)
            * MS_PER_S,
        )
        for key, crashed in instances.items()
    )
    pinned = (
        SuspectedParts(service=service, parts=(part,), is_pinned=True)
        for service, part in sorted(evidence.pinned)
    )
    return (*suspected, *pinned)


def shared_parts(metadata: RequestMetadata) -> tuple[str, ...]:
    """Return the ids of the parts of a prompt that other requests may share.

    :param metadata: metadata of the request
    """
    return tuple(dict.fromkeys(one.part for one in metadata.parts[:-1]))


def refusal_s(crashes: int) -> float:
    """Return for how long requests are refused after a crash, in seconds.

    :param crashes: number of crashes so far
    """
    steps = min(max(0, crashes - 1), _MAX_GROWTH_STEPS)
    return min(MAX_REFUSAL_S, FIRST_REFUSAL_S * REFUSAL_GROWTH**steps)


def _verdict(suspects: frozenset[str], until: float, crashes: int) -> Verdict:
    if not suspects:
        return Verdict()
    return Verdict(
        action=Action.refuse if until else Action.trial,
        suspects=suspects,
        until=until,
        crashes=crashes,
    )


def _repeated(
    suspicions: Collection[Suspicion],
    parts: frozenset[str],
    *,
    min_crashes: int = 1,
) -> tuple[Suspicion, ...]:
    """Return the suspicions whose crash a request with these parts repeats.

    :param suspicions: suspicions that concern the request
    :param parts: shared parts of the request's prompt
    :param min_crashes: with two, only what two crashes have in common counts
    """
    found: list[Suspicion] = []
    for one in suspicions:
        patterns = [
            one.candidates & other.candidates
            for other in suspicions
            if other.instance != one.instance
        ]
        if min_crashes == 1:
            patterns.append(one.candidates)
        if any(pattern and pattern <= parts for pattern in patterns):
            found.append(one)
    return tuple(found)


def _common_stale(
    suspicions: Collection[Suspicion], parts: frozenset[str]
) -> tuple[Suspicion, ...]:
    """Return those of enough crashes to suspect parts that were proven."""
    common = _repeated(suspicions, parts, min_crashes=MIN_STALE_CRASHES)
    return common if _count_crashes(common) >= MIN_STALE_CRASHES else ()


def _count_refusing(
    repeated: Collection[Suspicion],
    parts: frozenset[str],
    *,
    min_clear: int,
    min_unclear: int,
) -> int:
    """Return the number of crashes, or zero if they justify no refusal.

    :param repeated: suspicions whose crash the request may repeat
    :param parts: shared parts of the request's prompt
    :param min_clear: least number of crashes of which only one run can be the
        cause, and all of whose candidates the request carries
    :param min_unclear: least number of crashes of any kind
    """
    clear = tuple(one for one in repeated if one.is_clear)
    certain = tuple(one for one in clear if one.candidates <= parts)
    crashes = _count_crashes(repeated)
    is_refused = (
        _count_crashes(certain) >= min_clear
        or _count_crashes(clear) >= MIN_COMMON_CRASHES
        or crashes >= min_unclear
    )
    return crashes if is_refused else 0


def _count_crashes(suspicions: Iterable[Suspicion]) -> int:
    """Return the number of crashes behind some suspicions.

    Of crashes at about the same time that are not clear, one counts.
    """
    counted: dict[str, float] = {}
    for one in sorted(suspicions, key=lambda other: other.crashed_at):
        last = max(counted.values(), default=float('-inf'))
        if one.is_clear or one.crashed_at - last > SIMULTANEOUS_S:
            counted.setdefault(one.instance, one.crashed_at)
    return len(counted)


def _refused_until(suspicions: Collection[Suspicion], crashes: int) -> float:
    """Return when the refusal of a request ends, in seconds."""
    if not crashes:
        return 0
    last = max(one.crashed_at for one in suspicions)
    return last + refusal_s(crashes)
