"""Keeps the evidence on which parts of prompts crash engines.

Load pattern: a query of death. An engine crashes whenever it begins an answer
on a prompt with one certain part, whatever else the prompt holds. New requests
with that part keep arriving at all nodes, and share their other parts with
sound requests. Each crash also ends all other runs of the engine.

An event of a stream proves that the engine can answer on each shared part of
its prompt. At a crash, only the runs without an event can be the cause: first
of all those whose answer had begun. Their *candidates* are the shared parts of
the prompt that are not proven. The last part of a prompt belongs to the request
or its session, and is never one.

Evidence is kept for each service and version of its software, and is the same
on all nodes once they have exchanged it: crashes by instance, proofs by part.
Recording it twice or in another order changes nothing.
"""

import dataclasses
from collections.abc import Iterable, Iterator
from typing import Final, TypeVar

from mastichatch_core.generated.messages import (
    CrashedRun,
    CrashReport,
    SoundParts,
)
from mastichatch_core.units import MS_PER_S

# Time for which a crash is kept.
CRASH_LIFETIME_S: Final = 1200.0
# Limits of what is kept, so that memory stays bounded. The oldest go first.
MAX_CRASHES: Final = 128
MAX_PROOFS: Final = 16384
# Most crashes, the latest ones, that are sent to other nodes at a time.
MAX_REPORTED: Final = 16
# Most crashes, the latest ones, that are compared for one request.
MAX_COMPARED: Final = 24

# Service, version of its software, and id of a part.
PartKey = tuple[str, str, str]

_NEVER: Final = float('-inf')
_Name = TypeVar('_Name')
_Entry = TypeVar('_Entry')


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Suspicion:
    """Candidates of one run that may have caused a crash.

    :param instance: instance id of the engine that crashed
    :param crashed_at: time of the crash, in seconds
    :param candidates: parts of the run's prompt that may be deadly
    :param is_clear: whether no other run can be the cause
    """

    instance: str
    crashed_at: float
    candidates: frozenset[str]
    is_clear: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Suspicions:
    """Suspicions that concern one request.

    :param unproven: those of parts without any proof
    :param stale: those of parts without a proof since the crash: what was sound
        before may have become deadly
    """

    unproven: tuple[Suspicion, ...] = ()
    stale: tuple[Suspicion, ...] = ()


@dataclasses.dataclass(slots=True, kw_only=True)
class Crash:
    """A crash of one engine.

    :param instance: instance id of the engine
    :param service: name of its service
    :param version: version of its software
    :param crashed_at: time at which it was noticed first, in seconds
    :param runs: runs without an event, by request id
    """

    instance: str
    service: str
    version: str
    crashed_at: float
    runs: dict[str, CrashedRun] = dataclasses.field(default_factory=dict)

    @property
    def has_begun_run(self) -> bool:
        """Whether the engine had begun the answer of one of the runs."""
        return any(run.has_begun for run in self.runs.values())

    @property
    def possible_causes(self) -> tuple[CrashedRun, ...]:
        """The runs that may have caused the crash."""
        runs = tuple(self.runs.values())
        return tuple(run for run in runs if run.has_begun) or runs

    def add_runs(self, runs: Iterable[CrashedRun]) -> bool:
        """Add runs, and return whether any of them is news.

        :param runs: runs without an event on the engine
        """
        is_news = False
        for run in runs:
            known = self.runs.get(run.request_id)
            if known is None or (run.has_begun and not known.has_begun):
                self.runs[run.request_id] = run
                is_news = True
        return is_news


class PromptEvidence:
    """Crashes of engines, proofs of parts, and pins by operators."""

    def __init__(self) -> None:
        """Start without evidence."""
        self._crashes: dict[str, Crash] = {}
        self._proven_at: dict[PartKey, float] = {}
        self._pinned: frozenset[tuple[str, str]] = frozenset()

    @property
    def is_empty(self) -> bool:
        """Whether no request is suspected or pinned."""
        return not self._crashes and not self._pinned

    @property
    def pinned(self) -> frozenset[tuple[str, str]]:
        """Service and part of each pin."""
        return self._pinned

    def knows(self, instance: str) -> bool:
        """Return whether the crash of an engine is known.

        :param instance: instance id of the engine
        """
        return instance in self._crashes

    def record_crash(self, report: CrashReport, now: float) -> bool:
        """Add what one or more nodes know of a crash.

        :param report: runs without an event on the engine
        :param now: time in seconds
        :returns: whether it is news
        """
        crashed_at = now - max(0, report.age_ms) / MS_PER_S
        if now - crashed_at >= CRASH_LIFETIME_S:
            return False
        crash = self._crashes.get(report.instance)
        if crash is None:
            crash = Crash(
                instance=report.instance,
                service=report.service,
                version=report.version,
                crashed_at=crashed_at,
            )
            self._crashes[report.instance] = crash
            _drop_oldest(self._crashes, MAX_CRASHES)
        crash.crashed_at = min(crash.crashed_at, crashed_at)
        return crash.add_runs(report.runs)

    def record_sound(self, proof: SoundParts, now: float) -> bool:
        """Record that a service answered on some parts.

        :param proof: the parts, and how long ago the answer began
        :param now: time in seconds
        :returns: whether this clears a candidate of a crash
        """
        proven_at = now - proof.age_ms / MS_PER_S
        crashes = tuple(self._crashes_of(proof.service, proof.version, now))
        before = [self.candidate_sets(one, since_crash=True) for one in crashes]
        for part in proof.parts:
            key = (proof.service, proof.version, part)
            # Removed and inserted again, so that the oldest proof comes first.
            earlier = self._proven_at.pop(key, proven_at)
            self._proven_at[key] = max(earlier, proven_at)
        _drop_oldest(self._proven_at, MAX_PROOFS)
        return before != [
            self.candidate_sets(one, since_crash=True) for one in crashes
        ]

    def clear(
        self, service: str, part: str, now: float
    ) -> tuple[SoundParts, ...]:
        """Treat a part as sound, on an operator's order.

        :param service: name of the service
        :param part: id of the part
        :param now: time in seconds
        :returns: the order as proofs, which other nodes are to record
        """
        versions = {
            crash.version
            for crash in self._crashes.values()
            if crash.service == service
        }
        proofs = tuple(
            SoundParts(service=service, version=version, parts=(part,))
            for version in sorted(versions)
        )
        for proof in proofs:
            self.record_sound(proof, now)
        return proofs

    def replace_pins(self, pins: Iterable[tuple[str, str]]) -> bool:
        """Replace the parts that operators have pinned.

        :param pins: service and part of each pin
        :returns: whether they changed
        """
        earlier = self._pinned
        self._pinned = frozenset(pins)
        return self._pinned != earlier

    def crashes(self, now: float) -> tuple[Crash, ...]:
        """Return the known crashes, and drop those that are too old.

        :param now: time in seconds
        """
        for crash in tuple(self._crashes.values()):
            if now - crash.crashed_at >= CRASH_LIFETIME_S:
                self._crashes.pop(crash.instance)
        return tuple(self._crashes.values())

    def candidate_sets(
        self, crash: Crash, *, since_crash: bool = False
    ) -> tuple[frozenset[str], ...]:
        """Return the candidates of each run that may have caused a crash.

        :param crash: a known crash
        :param since_crash: whether proofs from before the crash do not count
        """
        limit = crash.crashed_at if since_crash else _NEVER
        unproven = (
            frozenset(
                part
                for part in run.parts
                if self._last_proof(crash, part) <= limit
            )
            for run in crash.possible_causes
        )
        return tuple(candidates for candidates in unproven if candidates)

    def suspicions(
        self, service: str, version: str, parts: frozenset[str], now: float
    ) -> Suspicions:
        """Return the suspicions that concern a request.

        :param service: name of the service
        :param version: version of its software
        :param parts: ids of the shared parts of the request's prompt
        :param now: time in seconds
        """
        crashes = tuple(self._crashes_of(service, version, now))
        if not crashes:
            return Suspicions()
        unproven, stale = (
            tuple(
                suspicion
                for crash in crashes
                for suspicion in _suspicions(
                    crash, self.candidate_sets(crash, since_crash=since_crash)
                )
                if suspicion.candidates & parts
            )
            for since_crash in (False, True)
        )
        return Suspicions(
            unproven=unproven[-MAX_COMPARED:], stale=stale[-MAX_COMPARED:]
        )

    def suspected_parts(self, now: float) -> frozenset[PartKey]:
        """Return all parts without a proof that may have caused a crash.

        :param now: time in seconds
        """
        return frozenset(
            (crash.service, crash.version, part)
            for crash in self.crashes(now)
            for part in union(self.candidate_sets(crash))
        )

    def open_reports(self, now: float) -> tuple[CrashReport, ...]:
        """Return the latest crashes that still have candidates.

        :param now: time in seconds
        """
        reports = [
            CrashReport(
                instance=crash.instance,
                service=crash.service,
                version=crash.version,
                age_ms=(now - crash.crashed_at) * MS_PER_S,
                runs=tuple(crash.runs.values()),
            )
            for crash in self.crashes(now)
            if self.candidate_sets(crash, since_crash=True)
        ]
        return tuple(reports[-MAX_REPORTED:])

    def proofs_about(self, report: CrashReport, now: float) -> SoundParts:
        """Return the parts of a report that are known to be sound.

        :param report: report of a crash
        :param now: time in seconds
        """
        ages_ms: dict[str, float] = {}
        for part in union(frozenset(run.parts) for run in report.runs):
            key = (report.service, report.version, part)
            proven_at = self._proven_at.get(key)
            if proven_at is not None:
                ages_ms[part] = (now - proven_at) * MS_PER_S
        return SoundParts(
            service=report.service,
            version=report.version,
            parts=tuple(sorted(ages_ms)),
            age_ms=max(ages_ms.values(), default=0),
        )

    def _crashes_of(
        self, service: str, version: str, now: float
    ) -> Iterator[Crash]:
        for crash in self.crashes(now):
            if (crash.service, crash.version) == (service, version):
                yield crash

    def _last_proof(self, crash: Crash, part: str) -> float:
        key = (crash.service, crash.version, part)
        return self._proven_at.get(key, _NEVER)


def union(sets: Iterable[frozenset[str]]) -> frozenset[str]:
    """Return the union of any number of sets.

    :param sets: the sets
    """
    return frozenset[str]().union(*sets)


def _suspicions(
    crash: Crash, candidate_sets: tuple[frozenset[str], ...]
) -> Iterator[Suspicion]:
    is_clear = crash.has_begun_run and len(candidate_sets) == 1
    for candidates in candidate_sets:
        yield Suspicion(
            instance=crash.instance,
            crashed_at=crash.crashed_at,
            candidates=candidates,
            is_clear=is_clear,
        )


def _drop_oldest(entries: dict[_Name, _Entry], limit: int) -> None:
    while len(entries) > limit:
        entries.pop(next(iter(entries)))
