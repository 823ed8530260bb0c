"""Draws the answers of one roll-out at random, and plays the decisions on them.

By hand, for the error rates in docs/design/14-rollouts.md:
``python -m tests.rollout_trials --seeds 1000``.
"""

import argparse
import collections
import dataclasses
import heapq
import itertools
import multiprocessing
import random
import statistics
from collections.abc import Iterator

from mastichatch_core.relay.model import Endpoint, EndpointState
from mastichatch_core.relay.rollouts.evidence import Observation, RolloutCounts
from mastichatch_core.relay.rollouts.exposure import (
    ExposureAllowance,
    start_tokens,
)
from mastichatch_core.relay.rollouts.order import (
    Phase,
    RolloutOrder,
    RolloutView,
    next_record,
)
from mastichatch_core.relay.rollouts.verdict import judge, may_finish
from mastichatch_core.relay.rollouts.versions import trial_endpoints

SHARE = 0.1
SLACK = 50
HOSTS = 66
LOOK_S = 0.4
# Time until the answers of other hosts are known, and until these follow a
# decision.
REPORT_S = 0.3
FOLLOW_S = 0.3


@dataclasses.dataclass(frozen=True, kw_only=True)
class Traffic:
    """Requests of a service; each route has a median time in ms."""

    rate: float
    endpoints: int
    medians: tuple[float, ...]
    spread: float
    events: tuple[int, ...] = (0, 0)
    period_s: float = 12

    def scaled(self, factor: float) -> 'Traffic':
        return dataclasses.replace(self, rate=self.rate * factor)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fault:
    """What a bad version does to a share of its answers."""

    share: float = 1
    slowdown: float = 1
    starts_at: float = 0
    routes: tuple[int, ...] = (0, 1)
    load: float = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ground:
    """What harms both versions alike."""

    failing: tuple[float, float] = (0, 0)
    faulty_endpoints: float = 0
    overload: float = 1
    outage: float = 0


PLAIN = Traffic(rate=65, endpoints=3, medians=(60, 60), spread=0.4)
ENGINES = Traffic(
    rate=35, endpoints=29, medians=(700, 450), spread=0.7, events=(186, 2)
)
TRAFFICS = {
    'plain': PLAIN,
    'engines': ENGINES,
    'plain/10': PLAIN.scaled(0.1),
    'engines/10': ENGINES.scaled(0.1),
}
FAULTS = {
    '30% failures': Fault(share=0.3),
    '60% failures': Fault(share=0.6),
    '100% failures': Fault(),
    '3 times slower': Fault(slowdown=3),
    '5 times slower': Fault(slowdown=5),
    '8 times slower': Fault(slowdown=8),
    '40% 6 times slower': Fault(share=0.4, slowdown=6),
    '40% failures, late': Fault(share=0.4, starts_at=0.5),
    '4 times slower, late': Fault(slowdown=4, starts_at=0.5),
    '40% failures, one route': Fault(share=0.4, routes=(0,)),
    '4 times slower, one route': Fault(slowdown=4, routes=(1,)),
    '40% failures, under load': Fault(share=0.4, load=0.5),
}
GROUNDS = {
    'quiet': Ground(),
    '14% failures, faulty endpoints': Ground(
        failing=(0.14, 0.05), faulty_endpoints=0.15
    ),
    'overload': Ground(overload=3, faulty_endpoints=0.05),
    'outage': Ground(outage=0.5),
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Outcome:
    """End of one roll-out."""

    phase: Phase
    decided_at: float
    completing_at: float | None
    exposed: int
    bad: int
    requests: int
    reason: str

    @property
    def is_within_limit(self) -> bool:
        return self.exposed <= SHARE * self.requests + SLACK


class Trial:
    """One roll-out from version ``a`` to ``b``."""

    def __init__(
        self, traffic: Traffic, fault: Fault | None, ground: Ground, seed: int
    ) -> None:
        self._random = random.Random(seed)
        self._traffic, self._fault, self._ground = traffic, fault, ground
        self._period_s = traffic.period_s
        order = RolloutOrder(
            service='s', target='b', period_s=traffic.period_s, revision=seed
        )
        self._view = RolloutView(order=order)
        self._counts = RolloutCounts('b', traffic.period_s)
        self._allowances = [
            ExposureAllowance(
                SHARE, start_tokens(SLACK, HOSTS, self._random.random())
            )
            for _ in range(HOSTS)
        ]
        self._endpoints = {
            version: [
                endpoint(version, number) for number in range(traffic.endpoints)
            ]
            for version in 'ab'
        }
        self._faults = {
            one.instance: self._random.choice(('slow', 'failing'))
            for one in itertools.chain.from_iterable(self._endpoints.values())
            if self._random.random() < ground.faulty_endpoints
        }
        harmed_at = self._random.uniform(0, 0.7) * traffic.period_s
        self._harmed = (harmed_at, harmed_at + 0.3 * traffic.period_s)
        self._running: collections.Counter[str] = collections.Counter()
        self._ends: list[tuple[float, int, str]] = []
        self._answers: list[tuple[float, int, float, Observation]] = []
        self._numbers = itertools.count()
        self._phases = [(0.0, Phase.serving)]
        self._exposed = self._bad = self._requests = 0

    def play(self) -> Outcome:
        """Play the roll-out up to its deadline."""
        look_at = LOOK_S
        for now in self._arrivals():
            while look_at <= now:
                self._look(look_at)
                look_at += LOOK_S
            while self._ends and self._ends[0][0] <= now:
                self._running[heapq.heappop(self._ends)[2]] -= 1
            self._send(now)
        record = self._view.record
        assert record is not None
        times = {phase: at for at, phase in self._phases}
        return Outcome(
            phase=record.phase,
            decided_at=self._phases[-1][0],
            completing_at=times.get(Phase.completing),
            exposed=self._exposed,
            bad=self._bad,
            requests=self._requests,
            reason=record.reason,
        )

    def _arrivals(self) -> Iterator[float]:
        now = 0.0
        while now < self._period_s:
            yield now
            now += self._random.expovariate(self._traffic.rate)

    def _look(self, now: float) -> None:
        while self._answers and self._answers[0][0] + REPORT_S <= now:
            _, _, sent_at, observation = heapq.heappop(self._answers)
            self._counts.record(observation, sent_at)
        seen_at = now - REPORT_S
        self._counts.replace_waiting(
            (
                dataclasses.replace(
                    observation, duration_ms=(seen_at - sent_at) * 1000
                )
                for _, _, sent_at, observation in self._answers
                if sent_at < seen_at and not observation.is_pace
            ),
            seen_at,
        )
        verdict = judge(self._counts.cells(), now, self._period_s, True)
        completing_s = now - self._phases[-1][0]
        finish = may_finish(
            now, self._period_s, completing_s, has_engines=False, runs_left=0
        )
        record = next_record(
            self._view, verdict, 'ab', node='n', may_finish=finish
        )
        if record is not None:
            self._view = dataclasses.replace(self._view, record=record)
            self._phases.append((now, record.phase))

    def _send(self, now: float) -> None:
        self._requests += 1
        phase = next(
            phase
            for at, phase in reversed(self._phases)
            if at + FOLLOW_S <= now or not at
        )
        allowance = self._random.choice(self._allowances)
        progress = now / self._period_s
        allowance.record_request(progress)
        endpoints = self._endpoints['a']
        if phase is Phase.serving and allowance.try_expose():
            tried = trial_endpoints(
                self._view, self._endpoints['b'], SHARE, progress
            )
            endpoints = [
                one for one in self._endpoints['b'] if one.instance in tried
            ]
        elif phase in {Phase.completing, Phase.completed}:
            endpoints = self._endpoints['b']
        self._answer(now, self._random.choice(endpoints))

    def _answer(self, now: float, chosen: Endpoint) -> None:
        route = self._random.randrange(2)
        running = self._running[chosen.instance]
        duration_ms = self._traffic.medians[route]
        duration_ms *= self._random.lognormvariate(0, self._traffic.spread)
        slowdown = 1 + 0.5 * running / chosen.slots
        failing = [self._ground.failing[route]]
        if self._harmed[0] <= now < self._harmed[1]:
            slowdown *= self._ground.overload
            failing.append(self._ground.outage * (chosen.data_centre == 'y'))
        fault_of_its_own = self._faults.get(chosen.instance)
        slowdown *= 2.5 if fault_of_its_own == 'slow' else 1
        failing.append(0.3 * (fault_of_its_own == 'failing'))
        if chosen.version == 'b' and self._is_spoiled(now, route, running):
            assert self._fault is not None
            slowdown *= self._fault.slowdown
            failing.append(self._fault.slowdown == 1)
            self._bad += 1
        self._exposed += chosen.version == 'b'
        is_failed = any(self._random.random() < share for share in failing)
        observation = Observation(
            version=chosen.version,
            instance=chosen.instance,
            route=str(route),
            is_remote=chosen.data_centre == 'y',
            is_failed=is_failed,
            duration_ms=duration_ms * slowdown,
        )
        end = now + duration_ms * slowdown / 1000
        self._record(end, now, observation)
        if not is_failed:
            end = self._stream(end, route, slowdown, observation)
        self._running[chosen.instance] += 1
        heapq.heappush(self._ends, (end, next(self._numbers), chosen.instance))

    def _is_spoiled(self, now: float, route: int, running: int) -> bool:
        fault, traffic = self._fault, self._traffic
        if fault is None or route not in fault.routes:
            return False
        busy = traffic.rate * traffic.medians[0] / 1000 / traffic.endpoints
        return (
            now >= fault.starts_at * self._period_s
            and running >= fault.load * busy
            and self._random.random() < fault.share
        )

    def _stream(
        self, now: float, route: int, slowdown: float, first: Observation
    ) -> float:
        for _ in range(self._traffic.events[route] // 8):
            pace_ms = 20 * slowdown * self._random.lognormvariate(0, 0.2)
            now += 8 * pace_ms / 1000
            pace = dataclasses.replace(first, duration_ms=pace_ms, is_pace=True)
            self._record(now, now, pace)
        return now

    def _record(self, at: float, sent_at: float, one: Observation) -> None:
        if at < self._period_s + 1 or one.version == 'b':
            entry = (at, next(self._numbers), sent_at, one)
            heapq.heappush(self._answers, entry)


def endpoint(version: str, number: int) -> Endpoint:
    return Endpoint(
        instance=f'{version}{number}',
        service='s',
        address='',
        data_centre='x' if number % 3 else 'y',
        slots=8,
        state=EndpointState.ready,
        version=version,
    )


def play_seed(arguments: tuple[str, str | None, str, int]) -> Outcome:
    traffic, fault, ground, seed = arguments
    bad = None if fault is None else FAULTS[fault]
    return Trial(TRAFFICS[traffic], bad, GROUNDS[ground], seed).play()


def describe(kind: str, outcomes: list[Outcome]) -> str:
    count = collections.Counter(one.phase.value for one in outcomes)
    times = statistics.median(one.decided_at for one in outcomes)
    over = sum(not one.is_within_limit for one in outcomes)
    completing = sum(one.completing_at is not None for one in outcomes)
    most = max(one.exposed for one in outcomes)
    return (
        f'{kind:62} completed {count["completed"]:4}'
        f' reverted {count["reverted"]:4} completing {completing:4}'
        f' at {times:4.1f} s, over the limit {over}, exposed {most} at most'
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=100)
    parser.add_argument('--workers', type=int, default=2)
    parser.add_argument('--only', default='')
    parser.add_argument('--first', type=int, default=1)
    options = parser.parse_args()
    faults: list[str | None] = [None, *FAULTS]
    seeds = range(options.first, options.first + options.seeds)
    with multiprocessing.Pool(options.workers) as pool:
        for kind in itertools.product(TRAFFICS, faults, GROUNDS):
            name = ' | '.join(one or 'good' for one in kind)
            if options.only in name:
                outcomes = pool.map(play_seed, [(*kind, one) for one in seeds])
                print(describe(name, outcomes), flush=True)


if __name__ == '__main__':
    main()
