"""Collects evidence on crashes of engines, and exchanges it with others."""

import asyncio
import dataclasses
import random
from collections.abc import Callable, Collection, Iterable
from typing import Final

from mastichatch_core.generated.messages import (
    CrashedRun,
    CrashReport,
    RunChanges,
    SoundParts,
)
from mastichatch_core.relay.model import (
    Endpoint,
    EndpointState,
)
from mastichatch_core.relay.prompt_evidence import PartKey, PromptEvidence
from mastichatch_core.relay.prompt_quarantine import (
    FleetVerdict,
    Verdict,
    judge,
    judge_versions,
)
from mastichatch_core.relay.store_cache import StoreCache
from mastichatch_node.clock import loop_time
from mastichatch_node.relay.http_client import probe_process
from mastichatch_node.relay.resources import Resources
from mastichatch_node.relay.run_broadcast import RunBroadcaster
from mastichatch_node.relay.telemetry import Telemetry

# Nodes that know a reported part to be sound answer after a random delay of up
# to this time, unless another node has answered before.
MAX_ANSWER_DELAY_S: Final = 0.2
# Time between the head of an answer and its first event from which on the head
# counts as early, and the share of such answers up to which heads are taken as
# the beginning of an answer. Network delays make some heads look early.
EARLY_HEAD_S: Final = 0.1
MAX_EARLY_HEAD_SHARE: Final = 0.2
# Limit of the parts for which the time of their last announcement is kept.
MAX_TOLD: Final = 4096


# What a request may have in common with others: the ids of the shared parts of
# its prompt, or the digest of a call.
Parts = tuple[str, ...]


class HeadTiming:
    """Whether the heads of answers tell that engines have read the prompts."""

    def __init__(self) -> None:
        """Start without answers."""
        self._answers = 0
        self._early = 0

    @property
    def are_telling(self) -> bool:
        """Whether engines write the head of an answer with its first event."""
        limit = self._answers * MAX_EARLY_HEAD_SHARE
        return self._answers > 0 and self._early <= limit

    def record(self, lead_s: float) -> None:
        """Record the first event of an answer.

        :param lead_s: time from the head of the answer to the event, in
            seconds
        """
        self._answers += 1
        self._early += lead_s > EARLY_HEAD_S


class CrashTracker:
    """Evidence on crashes, and the verdicts on prompts that follow from it."""

    def __init__(
        self,
        belief: StoreCache,
        sharing: RunBroadcaster,
        telemetry: Telemetry,
        resources: Resources,
    ) -> None:
        """Start without evidence.

        :param belief: local view of the platform's store
        :param sharing: sends evidence to the other nodes
        :param telemetry: event log and metrics
        :param resources: what connections show of the processes of endpoints
        """
        self._belief = belief
        self._resources = resources
        self._sharing = sharing
        self._telemetry = telemetry
        self._evidence = PromptEvidence()
        self._subscribers: list[Callable[[], None]] = []
        self._unsaved: set[str] = set()
        self._heads = HeadTiming()
        self._answers: set[asyncio.Task[None]] = set()
        self._told_at: dict[PartKey, float] = {}
        self._suspected: frozenset[PartKey] = frozenset()

    @property
    def evidence(self) -> PromptEvidence:
        """The evidence."""
        return self._evidence

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Register a callback for new evidence.

        :param callback: called without arguments
        """
        self._subscribers.append(callback)

    def judge(self, parts: Parts, endpoint: Endpoint) -> Verdict:
        """Return the verdict on a request for the version of an endpoint.

        :param parts: what it may have in common with other requests
        :param endpoint: the endpoint
        """
        if self._evidence.is_empty:
            return Verdict()
        return judge(
            self._evidence,
            endpoint.service,
            endpoint.version,
            parts,
            loop_time(),
        )

    def judge_fleet(
        self, parts: Parts, endpoints: Iterable[Endpoint]
    ) -> FleetVerdict:
        """Return the verdict on a request for all endpoints of its service.

        :param parts: what it may have in common with other requests
        :param endpoints: endpoints of its service that accept new requests
        """
        if self._evidence.is_empty:
            return FleetVerdict()
        return judge_versions(self._evidence, endpoints, parts, loop_time())

    def record_first_event(
        self, parts: Parts, endpoint: Endpoint, head_lead_s: float
    ) -> None:
        """Record that an engine answered on the parts of a prompt.

        Other nodes are told only of parts that are suspected.

        :param parts: shared parts of the prompt
        :param endpoint: the engine
        :param head_lead_s: time from the head of the answer to the event, in
            seconds
        """
        self._heads.record(head_lead_s)
        self.record_answer(parts, endpoint)

    def record_answer(self, parts: Parts, endpoint: Endpoint) -> None:
        """Record that an endpoint answered a request.

        :param parts: what it may have in common with other requests
        :param endpoint: the endpoint
        """
        if not parts:
            return
        proof = SoundParts(
            service=endpoint.service, version=endpoint.version, parts=parts
        )
        if self._evidence.record_sound(proof, loop_time()):
            self._sharing.announce_evidence((), (proof,))
            self._notify()

    async def report_crash(
        self,
        parts: Parts,
        request_id: str,
        endpoint: Endpoint,
        *,
        has_begun: bool,
    ) -> None:
        """Report a crash, if one closed the connection of a run.

        A process that crashed closes its connections, and its host refuses new
        ones. The connection of a cut or frozen engine is silent instead, that
        of one which only broke off an answer can be opened again, and an engine
        that is known to leave does not count.

        :param parts: shared parts of the prompt of the run, which has no event
        :param request_id: id of its request
        :param endpoint: engine of the run
        :param has_begun: whether the engine had begun its answer
        """
        if parts and await _has_crashed(
            self._belief, self._resources, endpoint
        ):
            is_cause = has_begun and self._heads.are_telling
            self._report(parts, request_id, endpoint, is_cause=is_cause)

    async def report_repeated_crash(
        self, parts: Parts, request_id: str, endpoints: Collection[Endpoint]
    ) -> None:
        """Report the last crash, if a call was sent on and crashed each server.

        That it only met two crashes for other reasons is very unlikely.

        :param parts: digest of the call
        :param request_id: id of the call
        :param endpoints: endpoints that closed its connection, in order
        """
        crashed = [
            await _has_crashed(self._belief, self._resources, one)
            for one in endpoints
        ]
        if crashed and all(crashed):
            last = tuple(endpoints)[-1]
            self._report(parts, request_id, last, is_cause=True)

    def handle_changes(self, message: RunChanges) -> None:
        """Record the evidence of another node, and answer it.

        :param message: message with the evidence
        """
        if not message.crashes and not message.sound:
            return
        now = loop_time()
        has_cleared = [
            self._evidence.record_sound(proof, now) for proof in message.sound
        ]
        self.record_reports(message.crashes)
        if any(has_cleared):
            self._notify()
        known = _keys_of(message.sound)
        self._told_at.update(dict.fromkeys(known, now))
        for report in message.crashes:
            if _keys_of(_proofs_about(self._evidence, (report,))) - known:
                self._answer_later(report, now)

    def current_evidence(
        self,
    ) -> tuple[tuple[CrashReport, ...], tuple[SoundParts, ...]]:
        """Return the evidence that is sent with each full list of runs."""
        reports = self._evidence.open_reports(loop_time())
        return reports, _proofs_about(self._evidence, reports)

    def record_reports(self, reports: Iterable[CrashReport]) -> None:
        """Record reports of crashes.

        :param reports: what one or more nodes know of crashes
        """
        now = loop_time()
        is_new = False
        for report in reports:
            is_first = not self._evidence.knows(report.instance)
            if not self._evidence.record_crash(report, now):
                continue
            is_new = True
            if is_first:
                _log_crash(self._telemetry, report)
        if is_new:
            self._notify()

    def replace_pins(self, pins: Iterable[tuple[str, str]]) -> None:
        """Replace the parts that operators have pinned.

        :param pins: service and part of each pin
        """
        if self._evidence.replace_pins(pins):
            self._notify()

    def take_unsaved(self) -> tuple[CrashReport, ...]:
        """Return the crashes that this node reported since the last call."""
        unsaved = self._unsaved
        self._unsaved = set()
        reports = self._evidence.open_reports(loop_time())
        return tuple(one for one in reports if one.instance in unsaved)

    def put_back_unsaved(self, report: CrashReport) -> None:
        """Return a report that could not be saved.

        :param report: a report that ``take_unsaved`` returned
        """
        self._unsaved.add(report.instance)

    def clear(self, service: str, part: str) -> None:
        """Lift the quarantine of a part, on an operator's order.

        :param service: name of the service
        :param part: id of the part
        """
        proofs = self._evidence.clear(service, part, loop_time())
        self._telemetry.log_state_change(
            'part_cleared_by_operator', service=service, part=part
        )
        self._sharing.announce_evidence((), proofs)
        self._notify()

    def _report(
        self,
        parts: Parts,
        request_id: str,
        endpoint: Endpoint,
        *,
        is_cause: bool,
    ) -> None:
        run = CrashedRun(request_id=request_id, parts=parts, has_begun=is_cause)
        report = CrashReport(
            instance=endpoint.instance,
            service=endpoint.service,
            version=endpoint.version,
            runs=(run,),
        )
        if is_cause:
            self._unsaved.add(report.instance)
        self.record_reports((report,))
        self._sharing.announce_evidence(
            (report,), _proofs_about(self._evidence, (report,))
        )

    def _answer_later(self, report: CrashReport, received_at: float) -> None:
        task = asyncio.ensure_future(self._answer(report, received_at))
        self._answers.add(task)
        task.add_done_callback(self._answers.discard)

    async def _answer(self, report: CrashReport, received_at: float) -> None:
        """Send proofs about a report that no other node sent meanwhile."""
        await asyncio.sleep(random.uniform(0, MAX_ANSWER_DELAY_S))
        proofs = _proofs_about(self._evidence, (report,))
        untold = {
            key
            for key in _keys_of(proofs)
            if self._told_at.get(key, float('-inf')) < received_at
        }
        if not untold:
            return
        if len(self._told_at) > MAX_TOLD:
            self._told_at.clear()
        self._told_at.update(dict.fromkeys(untold, loop_time()))
        self._sharing.announce_evidence((), proofs)

    def _notify(self) -> None:
        """Log what changed, and call the subscribers."""
        suspected = self._evidence.suspected_parts(loop_time())
        telemetry = self._telemetry
        telemetry.update_suspected(len(suspected))
        _log_parts(telemetry, 'part_suspected', suspected - self._suspected)
        _log_parts(telemetry, 'part_cleared', self._suspected - suspected)
        self._suspected = suspected
        for subscriber in self._subscribers:
            subscriber()


async def _has_crashed(
    belief: StoreCache, resources: Resources, endpoint: Endpoint
) -> bool:
    """Return whether the process of an endpoint in use has ended."""
    known = belief.endpoints(loop_time()).get(endpoint.instance)
    if known is None or known.state is not EndpointState.ready:
        return False
    return bool(await probe_process(endpoint.address, resources))


def _log_parts(
    telemetry: Telemetry, event: str, parts: frozenset[PartKey]
) -> None:
    for service, version, part in sorted(parts):
        telemetry.log_state_change(
            event, service=service, version=version, part=part
        )


def _log_crash(telemetry: Telemetry, report: CrashReport) -> None:
    telemetry.log_state_change(
        'engine_crashed',
        instance=report.instance,
        service=report.service,
        version=report.version,
        age_ms=round(report.age_ms),
        runs=[dataclasses.asdict(run) for run in report.runs],
    )


def _proofs_about(
    evidence: PromptEvidence, reports: Iterable[CrashReport]
) -> tuple[SoundParts, ...]:
    now = loop_time()
    proofs = (evidence.proofs_about(one, now) for one in reports)
    return tuple(proof for proof in proofs if proof.parts)


def _keys_of(
    proofs: Iterable[SoundParts],
) -> frozenset[PartKey]:
    return frozenset(
        (proof.service, proof.version, part)
        for proof in proofs
        for part in proof.parts
    )
