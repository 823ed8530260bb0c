"""Endpoints stay within their limits and no request is lost as nodes fail.

Hypothesis drives a model of three nodes, each of which may host the scheduler.
Nodes follow the highest term that they have seen.
"""

import dataclasses
import itertools
from typing import Any

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from mastichatch_core import scheduler as core
from mastichatch_core.catalogue import Catalogue
from mastichatch_core.generated.manifest import (
    DataCentre,
    Endpoint,
    Manifest,
    Service,
    ServiceKind,
    Workspace,
)
from mastichatch_core.generated.messages import (
    EndpointObservation,
    ErrorKind,
    HeldPermit,
    PermitCancel,
    PermitGrant,
    PermitOutcome,
    PermitRefusal,
    PermitRelease,
    PermitRequest,
    Registration,
    RequestClass,
    Term,
)
from mastichatch_core.generated.records import Drain, DrainKind
from mastichatch_core.renewal import ReportedPermits
from mastichatch_core.scheduler_state import BATCH_BURST_RETRIES

TICK_S = 0.25
MEMBER_TIMEOUT_S = 1.5
ORPHAN_LIFETIME_S = 4.0
NODES = ('a', 'b', 'c')
COLD_LIMIT = 2


def catalogue(
    *, drains: tuple[Drain, ...] = (), revision: int = 1, **endpoint: Any
) -> Catalogue:
    names = ('e1', 'e2')
    manifest = Manifest(
        data_centres=(DataCentre(name='d', return_ramp_ms=1),),
        services=(
            Service(
                name='s',
                kind=ServiceKind.model,
                queue_limit=20,
                retry_budget_percent=10,
            ),
        ),
        endpoints=tuple(
            Endpoint(
                name=name,
                service='s',
                data_centre='d',
                host=f'h-{name}',
                address='127.0.0.1:1',
                **endpoint,
            )
            for name in names
        ),
        workspaces=(
            Workspace(name='big'),
            Workspace(name='small'),
            Workspace(name='tight', running_limit=1, waiting_limit=2),
        ),
    )
    return Catalogue(revision, manifest, drains)


def make_request(
    number: int, workspace: str = 'big', **fields: object
) -> PermitRequest:
    values = {
        'request_id': f'r{number}',
        'attempt': 0,
        'service': 's',
        'workspace': workspace,
        'node': 'a',
        'deadline_ms': 1e9,
        **fields,
    }
    return PermitRequest(**values)  # type: ignore[arg-type]


def report(
    endpoint: str, running: int = 0, **fields: object
) -> EndpointObservation:
    values = {
        'endpoint': endpoint,
        'boot_id': 'boot',
        'running': running,
        **fields,
    }
    return EndpointObservation(**values)  # type: ignore[arg-type]


@dataclasses.dataclass
class HeldGrant:
    request: PermitRequest
    endpoint: str
    expires_at: float
    used: bool = False
    tokens: int = 0


class Node:
    """A model of a node, limited to its exchange with schedulers."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.alive = True
        self.frozen = False
        self.term = Term(number=0, incarnation='')
        self.highest_term = self.term
        self.host = ''
        self.sequence = 0
        self.sent_at: dict[int, float] = {}
        self.reported_permits = ReportedPermits()
        self.waiting: dict[str, PermitRequest] = {}
        self.held: dict[str, HeldGrant] = {}
        self.scheduler: core.Scheduler | None = None
        self.heard_at: dict[str, float] = {}
        self.inbox: list[object] = []

    def heard(self, now: float) -> frozenset[str]:
        return frozenset(
            {
                self.name,
                *(n for n, at in self.heard_at.items() if now - at <= 1.5),
            }
        )


class Cluster(RuleBasedStateMachine):
    """Three nodes that use two endpoints, which never warm up."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.numbers = itertools.count()
        self.nodes = {name: Node(name) for name in NODES}
        self.cut_links: set[frozenset[str]] = set()
        self.catalogue = catalogue(
            cold_limit=COLD_LIMIT, batch_limit=8, warm_after_ms=10**9
        )
        # Endpoint, node and time at which the engine drops it, by request. The
        # time counts only once the node has gone, which leaves its name empty.
        self.running: dict[str, tuple[str, str, float]] = {}
        self.past_loads: list[dict[str, int]] = []
        # Fault of each node's next message, and the messages delayed so far.
        self.faults: dict[str, str] = {}
        self.delayed_messages: list[tuple[str, str, object]] = []
        self.used: set[str] = set()
        self.ended: set[str] = set()
        self.gone_at: dict[str, float] = {}

    @rule(
        node=st.sampled_from(NODES), workspace=st.sampled_from(('big', 'small'))
    )
    def submit_request(self, node: str, workspace: str) -> None:
        requester = self.nodes[node]
        if not requester.alive or requester.frozen:
            return
        request = make_request(next(self.numbers), workspace, node=node)
        requester.waiting[request.request_id] = request
        self.deliver(node, requester.host, request)

    @rule(ticks=st.integers(1, 12))
    def let_time_pass(self, ticks: int) -> None:
        for _ in range(ticks):
            self.tick()

    @rule(node=st.sampled_from(NODES))
    def toggle_freeze(self, node: str) -> None:
        self.nodes[node].frozen = not self.nodes[node].frozen

    @rule(node=st.sampled_from(NODES))
    def toggle_alive(self, node: str) -> None:
        if self.nodes[node].alive:
            self.nodes[node].alive = False
            for request, (endpoint, holder, _) in self.running.items():
                if holder == node:
                    self.running[request] = (
                        endpoint,
                        '',
                        self.now + ORPHAN_LIFETIME_S,
                    )
            self.ended |= self.nodes[node].waiting.keys()
            self.ended |= self.nodes[node].held.keys()
        else:
            self.nodes[node] = Node(node)

    @rule(pair=st.sampled_from((('a', 'b'), ('a', 'c'), ('b', 'c'))))
    def toggle_link(self, pair: tuple[str, str]) -> None:
        self.cut_links ^= {frozenset(pair)}

    @rule(node=st.sampled_from(NODES), fault=st.sampled_from(('lost', 'late')))
    def inject_fault(self, node: str, fault: str) -> None:
        """Lose or delay the node's next registration or release."""
        self.faults[node] = fault

    @precondition(lambda self: self.running)
    @rule(choice=st.integers(0, 99))
    def finish(self, choice: int) -> None:
        request = sorted(self.running)[choice % len(self.running)]
        _, holder, _ = self.running[request]
        node = self.nodes.get(holder)
        if node is None or node.frozen:
            return
        self.running.pop(request)
        held = node.held.pop(request)
        self.ended.add(request)
        self.send_with_faults(holder, node.host, release_of(held))

    @invariant()
    def endpoints_stay_within_limit(self) -> None:
        for endpoint, count in self.loads().items():
            assert count <= COLD_LIMIT, (endpoint, self.running)

    def teardown(self) -> None:
        self.cut_links.clear()
        self.faults.clear()
        for name in NODES:
            if not self.nodes[name].alive:
                self.nodes[name] = Node(name)
            self.nodes[name].frozen = False
        for _ in range(80):
            self.tick()
            for choice in reversed(range(len(self.running))):
                self.finish(choice)
            self.endpoints_stay_within_limit()
        unserved = [r for node in self.nodes.values() for r in node.waiting]
        assert not unserved, unserved

    def loads(self) -> dict[str, int]:
        counts = {'e1': 0, 'e2': 0}
        for endpoint, _, _ in self.running.values():
            counts[endpoint] += 1
        return counts

    def is_linked(self, one: str, other: str) -> bool:
        return frozenset((one, other)) not in self.cut_links

    def deliver(self, sender: str, receiver: str, message: object) -> None:
        node = self.nodes.get(receiver)
        if (
            node is None
            or not node.alive
            or not self.is_linked(sender, receiver)
        ):
            return
        node.inbox.append(message)
        if not node.frozen:
            self.process_inbox(node)

    def send_with_faults(
        self, sender: str, receiver: str, message: object
    ) -> None:
        fault = self.faults.pop(sender, '')
        if fault == 'late':
            self.delayed_messages.append((sender, receiver, message))
        elif not fault:
            self.deliver(sender, receiver, message)

    def process_inbox(self, node: Node) -> None:
        while node.inbox:
            message = node.inbox.pop(0)
            if isinstance(message, core.Outgoing):
                self.handle_answer(node, message.message)
            elif isinstance(message, tuple):
                self.follow_term(node, *message)
            elif node.scheduler is not None:
                self.pass_to_scheduler(node, message)

    def pass_to_scheduler(self, node: Node, message: object) -> None:
        scheduler = node.scheduler
        assert scheduler is not None
        if isinstance(message, Registration):
            self.send(node, core.register(scheduler, message, self.now))
            if core.needs_permit_list(scheduler, message):
                announcement = (scheduler.term, node.name, True)
                self.deliver(node.name, message.node, announcement)
        elif isinstance(message, PermitRequest):
            self.send(node, core.request(scheduler, message, self.now))
        elif isinstance(message, PermitRelease):
            self.send(node, core.release(scheduler, message, self.now))

    def send(self, node: Node, outgoing: tuple[core.Outgoing, ...]) -> None:
        for item in outgoing:
            self.deliver(node.name, item.node, item)

    def handle_answer(self, node: Node, message: object) -> None:
        if isinstance(message, PermitRefusal):
            self.ended.add(message.request_id)
            node.waiting.pop(message.request_id, None)
        if not isinstance(message, PermitGrant) or message.term != node.term:
            return
        request = node.waiting.get(message.request_id)
        sent_at = node.sent_at.get(message.registration)
        if request is None or sent_at is None:
            return
        expires_at = sent_at + message.lease_ms / 1000
        if self.now < expires_at:
            del node.waiting[message.request_id]
            held = HeldGrant(request, message.endpoint, expires_at)
            node.held[message.request_id] = held

    def follow_term(
        self, node: Node, term: Term, host: str, needs_list: bool
    ) -> None:
        if rank(term) < rank(node.term):
            return
        if term != node.term:
            node.sequence = 0
            node.sent_at.clear()
            node.reported_permits = ReportedPermits()
        node.term, node.host = term, host
        node.highest_term = max(node.highest_term, term, key=rank)
        if node.scheduler is not None and node.scheduler.term != term:
            node.scheduler = None
        self.register(node, needs_list)

    def register(self, node: Node, needs_list: bool) -> None:
        node.sequence += 1
        node.sent_at[node.sequence] = self.now
        held = tuple(
            HeldPermit(
                request_id=name,
                attempt=0,
                endpoint=one.endpoint,
                workspace=one.request.workspace,
                output_tokens=one.tokens,
                used=one.used,
            )
            for name, one in node.held.items()
        )
        summary = (
            None
            if needs_list
            else node.reported_permits.summarize(held, self.now)
        )
        if summary is None:
            node.reported_permits.record_list(held, self.now)
        message = Registration(
            service='s',
            node=node.name,
            term=node.term,
            sequence=node.sequence,
            held=() if summary else held,
            summary=summary,
            waiting=tuple(node.waiting.values()),
        )
        self.send_with_faults(node.name, node.host, message)

    def tick(self) -> None:
        self.now += TICK_S
        self.past_loads.append(self.loads())
        for request, (_, holder, drop_at) in tuple(self.running.items()):
            if not holder and drop_at <= self.now:
                del self.running[request]
        late, self.delayed_messages = self.delayed_messages, []
        awake = [n for n in self.nodes.values() if n.alive and not n.frozen]
        for node, other in itertools.permutations(awake, 2):
            if self.is_linked(node.name, other.name):
                node.heard_at[other.name] = self.now
                # Heartbeats carry the highest term seen.
                node.highest_term = max(
                    node.highest_term, other.highest_term, key=rank
                )
        for node in awake:
            self.process_inbox(node)
            self.use_permits(node)
            self.run_scheduler(node)
        for message in late:
            self.deliver(*message)

    def use_permits(self, node: Node) -> None:
        for name, held in tuple(node.held.items()):
            if held.used:
                held.tokens += 3
                continue
            if self.now >= held.expires_at:
                del node.held[name]
                self.ended.add(name)
                continue
            held.used = True
            assert name not in self.used, 'started twice'
            self.used.add(name)
            self.running[name] = (held.endpoint, node.name, 0)

    def run_scheduler(self, node: Node) -> None:
        heard = node.heard(self.now)
        if min(heard) != node.name:
            node.scheduler = None
            return
        current = node.scheduler
        if current is None or rank(current.term) < rank(node.highest_term):
            term = Term(
                number=node.highest_term.number + 1,
                incarnation=f'{node.name}{id(node)}',
            )
            node.scheduler = core.open_scheduler(
                term, self.catalogue, 's', 'd', self.now
            )
        scheduler = node.scheduler
        assert scheduler is not None
        out = core.set_members(
            scheduler, self.expected_nodes(node), heard, self.now
        )
        self.send(node, out)
        for name in NODES:
            self.deliver(node.name, name, (scheduler.term, node.name, False))
        delayed_loads = self.past_loads[-4:][0]
        for endpoint, running in delayed_loads.items():
            age_ms = 1000 * TICK_S * min(3, len(self.past_loads) - 1)
            observation = report(endpoint, running, age_ms=age_ms)
            self.send(node, core.observe(scheduler, observation, self.now))
        self.send(node, core.advance(scheduler, self.now))

    def expected_nodes(self, node: Node) -> frozenset[str]:
        """Return the nodes not known to have left, as membership would."""
        for name, other in self.nodes.items():
            if other.alive and not other.frozen:
                self.gone_at.pop(name, None)
            else:
                self.gone_at.setdefault(name, self.now + 6)
        return frozenset(
            name
            for name in NODES
            if self.gone_at.get(name, self.now + 1) > self.now
        )


def rank(term: Term) -> tuple[int, str]:
    return term.number, term.incarnation


def release_of(held: HeldGrant) -> PermitRelease:
    return PermitRelease(
        request_id=held.request.request_id,
        attempt=0,
        service='s',
        endpoint=held.endpoint,
        outcome=PermitOutcome.completed,
        output_tokens=5,
    )


TestCluster = Cluster.TestCase
TestCluster.settings = settings(max_examples=60, stateful_step_count=40)


@pytest.fixture
def ready_scheduler() -> core.Scheduler:
    return open_ready_scheduler(catalogue(cold_limit=4, batch_limit=4))


def open_ready_scheduler(config: Catalogue) -> core.Scheduler:
    """Return a scheduler at time 1 that node ``a`` follows."""
    term = Term(number=1, incarnation='i')
    scheduler = core.open_scheduler(term, config, 's', 'd', 0)
    members = frozenset('a')
    core.set_members(scheduler, members, members, 0)
    for endpoint in ('e1', 'e2'):
        core.observe(scheduler, report(endpoint), 0)
    renew(scheduler, 1)
    return scheduler


def renew(scheduler: core.Scheduler, now: float) -> None:
    registration = Registration(
        service='s',
        node='a',
        term=scheduler.term,
        sequence=int(now * 10),
        waiting=tuple(entry.request for entry in scheduler.queue),
    )
    core.register(scheduler, registration, now)


def grants(outgoing: tuple[core.Outgoing, ...]) -> list[PermitGrant]:
    return [
        item.message
        for item in outgoing
        if isinstance(item.message, PermitGrant)
    ]


def refusals(outgoing: tuple[core.Outgoing, ...]) -> list[PermitRefusal]:
    return [
        item.message
        for item in outgoing
        if isinstance(item.message, PermitRefusal)
    ]


def make_release(grant: PermitGrant, outcome: PermitOutcome) -> PermitRelease:
    return PermitRelease(
        request_id=grant.request_id,
        attempt=grant.attempt,
        service='s',
        endpoint=grant.endpoint,
        outcome=outcome,
        output_tokens=100,
    )


def finish_in_turn(
    scheduler: core.Scheduler, running: list[PermitGrant], count: int
) -> list[str]:
    """Finish permits in turn; return the ids of requests granted meanwhile."""
    order: list[str] = []
    for _ in range(count):
        finished = make_release(running.pop(0), PermitOutcome.completed)
        new_grants = grants(core.release(scheduler, finished, 1.1))
        running.extend(new_grants)
        order.extend(grant.request_id for grant in new_grants)
    return order


class TestQueue:
    def test_a_burst_does_not_hold_up_a_small_workspace(
        self, ready_scheduler: core.Scheduler
    ) -> None:
        running: list[PermitGrant] = []
        for number in range(20):
            running += grants(
                core.request(ready_scheduler, make_request(number), 1)
            )
        core.request(ready_scheduler, make_request(99, 'small'), 1)
        assert 'r99' in finish_in_turn(ready_scheduler, running, 2)

    @pytest.mark.parametrize('flood', list(RequestClass))
    @pytest.mark.parametrize('other', list(RequestClass))
    def test_no_class_starves_another(
        self,
        ready_scheduler: core.Scheduler,
        flood: RequestClass,
        other: RequestClass,
    ) -> None:
        running: list[PermitGrant] = []
        for number in range(27):
            item = make_request(number, request_class=flood)
            running += grants(core.request(ready_scheduler, item, 1))
        core.request(ready_scheduler, make_request(99, request_class=other), 1)
        assert 'r99' in finish_in_turn(ready_scheduler, running, 20)

    def test_a_full_queue_sheds_the_workspace_that_fills_it(
        self, ready_scheduler: core.Scheduler
    ) -> None:
        for number in range(28):
            core.request(ready_scheduler, make_request(number), 1)
        shed = refusals(
            core.request(ready_scheduler, make_request(99, 'small'), 1)
        )
        assert [one.request_id for one in shed] == ['r27']
        assert shed[0].kind is ErrorKind.queue_full

    def test_limits_of_a_workspace_hold(
        self, ready_scheduler: core.Scheduler
    ) -> None:
        out = [
            core.request(ready_scheduler, make_request(n, 'tight'), 1)
            for n in range(4)
        ]
        assert [len(grants(one)) for one in out] == [1, 0, 0, 0]
        assert refusals(out[3])[0].kind is ErrorKind.workspace_limit

    def test_a_request_past_its_deadline_is_refused_once(
        self, ready_scheduler: core.Scheduler
    ) -> None:
        for number in range(9):
            core.request(
                ready_scheduler, make_request(number, deadline_ms=500), 1
            )
        late = refusals(core.advance(ready_scheduler, 1.6))
        assert [one.kind for one in late] == [ErrorKind.queue_deadline]
        assert not core.advance(ready_scheduler, 1.7)

    def test_a_cancel_before_its_request_leaves_nothing_behind(
        self, ready_scheduler: core.Scheduler
    ) -> None:
        for number in range(8):
            core.request(ready_scheduler, make_request(number), 1)
        cancel = PermitCancel(request_id='r9', attempt=0, service='s')
        core.cancel(ready_scheduler, cancel, 1)
        core.request(ready_scheduler, make_request(9), 1)
        registration = Registration(
            service='s', node='a', term=ready_scheduler.term, sequence=99
        )
        core.register(ready_scheduler, registration, 1.1)
        assert not ready_scheduler.waiting_count


class TestGrants:
    def test_a_repeated_request_gets_the_same_permit(
        self, ready_scheduler: core.Scheduler
    ) -> None:
        first = grants(core.request(ready_scheduler, make_request(1), 1))
        again = grants(core.request(ready_scheduler, make_request(1), 1.3))
        assert [one.endpoint for one in first] == [again[0].endpoint]
        assert ready_scheduler.permit_count == 1

    def test_an_unused_permit_lapses(
        self, ready_scheduler: core.Scheduler
    ) -> None:
        core.request(ready_scheduler, make_request(1), 1)
        renew(ready_scheduler, 2)
        core.advance(ready_scheduler, 3.1)
        assert not ready_scheduler.permit_count

    def test_earlier_failures_are_not_tried_again(
        self, ready_scheduler: core.Scheduler
    ) -> None:
        item = make_request(1, attempt=1, excluded=('e1',))
        assert (
            grants(core.request(ready_scheduler, item, 1))[0].endpoint == 'e2'
        )
        item = make_request(2, attempt=2, excluded=('e1', 'e2'))
        out = refusals(core.request(ready_scheduler, item, 1))
        assert out[0].kind is ErrorKind.no_endpoint

    def test_retries_are_bounded(self, ready_scheduler: core.Scheduler) -> None:
        out = []
        for number in range(int(BATCH_BURST_RETRIES) + 2):
            retry = make_request(number, attempt=1)
            out.append(core.request(ready_scheduler, retry, 1))
            core.cancel(
                ready_scheduler,
                PermitCancel(
                    request_id=retry.request_id,
                    attempt=1,
                    service=retry.service,
                ),
                1,
            )
        kinds = [one.kind for some in out for one in refusals(some)]
        assert kinds == [ErrorKind.queue_full] * 2

    def test_a_drain_recalls_and_refuses(
        self, ready_scheduler: core.Scheduler
    ) -> None:
        for number in range(9):
            core.request(ready_scheduler, make_request(number), 1)
        drain = Drain(kind=DrainKind.data_centre, name='d')
        drained = catalogue(drains=(drain,), revision=2)
        out = core.set_catalogue(ready_scheduler, drained, 1.1)
        kinds = [type(one.message).__name__ for one in out]
        assert kinds == ['PermitRecall'] * 8 + ['PermitRefusal']
        again = refusals(core.request(ready_scheduler, make_request(20), 1.2))
        assert again[0].kind is ErrorKind.no_endpoint

    def test_a_leaving_host_gets_nothing(
        self, ready_scheduler: core.Scheduler
    ) -> None:
        core.set_leaving_hosts(ready_scheduler, frozenset({'h-e1'}), 1)
        out = [
            core.request(ready_scheduler, make_request(n), 1) for n in range(4)
        ]
        assert {one.endpoint for some in out for one in grants(some)} == {'e2'}


class TestLimitHandover:
    def test_limit_is_restored_only_from_the_preceding_term(self) -> None:
        config = catalogue(cold_limit=1, batch_limit=8)
        for number, granted in ((1, 8), (0, 1)):
            term = Term(number=2, incarnation='i')
            scheduler = core.open_scheduler(term, config, 's', 'd', 0)
            members = frozenset('a')
            core.set_members(scheduler, members, members, 0)
            handed_over = report('e1', limit=8, limit_term=number)
            registration = Registration(
                service='s',
                node='a',
                term=term,
                observations=(report('e1'), handed_over),
            )
            core.register(scheduler, registration, 0.1)
            out = [
                core.request(scheduler, make_request(n), 0.2) for n in range(9)
            ]
            assert sum(len(grants(one)) for one in out) == granted
