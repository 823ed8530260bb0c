"""Faults from outside the nodes, in series that overlap."""

import asyncio
import contextlib
import dataclasses
import random
import time
from collections.abc import Awaitable, Callable, Iterator
from typing import Final

from tests.soak.fleet import NODES, SERVICES, Fleet
from tests.soak.records import Drill, NodeGap
from tests.standins.proxy import Proxy

# Time over which faults begin, and how long each lasts at the most.
SERIES_S: Final = 8.0
LONGEST_S: Final = 3.0
FAULTS: Final = 10
NOTICE_S: Final = 1.5
# How the answers to the first orders to a leaving engine are lost.
LOST_ANSWERS: Final = ('close', 'reset')
# Time for which an endpoint says that it leaves: over the users' limit of 2 s
# after which it gets nothing more.
LEAVING_S: Final = 4.0
# Time for which an endpoint names a limit at least: the nodes' reaction, and
# the users' window.
LIMIT_S: Final = 7.0
# Time for a planned stop, over the nodes' own limit of 8 s.
STOP_TIMEOUT_S: Final = 12.0
# Time for which refusals are copied at least, since few copies come while their
# request is under way again on the same connection.
COPIES_S: Final = 4.0
# Time for which the store is away in a drill, and from the end of the writes
# that follow it until its answers are no longer counted.
AWAY_S: Final = 0.5
RETURN_S: Final = 2.0
# Writes of other users of the store that a drill loses.
LOST_WRITES: Final = 9
# Writes of them that follow a drill at once: fewer, so that revisions are lower
# than the known ones, or more.
FEW_CHANGES: Final = 0
MANY_CHANGES: Final = 40


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fault:
    """One fault.

    :param kind: name of what strikes
    :param target: what is struck
    :param at_s: time from the start of the series
    :param for_s: how long it lasts
    """

    kind: str
    target: str
    at_s: float
    for_s: float


Strike = Callable[[Fleet, str, float], Awaitable[None]]


async def _kill(fleet: Fleet, name: str, for_s: float) -> None:
    node = fleet.nodes[name]
    node.is_wanted = False
    with _gap(fleet, name):
        node.process.kill()
        await asyncio.sleep(for_s)
    fleet.restart(name)


async def _stop(fleet: Fleet, name: str, _for_s: float) -> None:
    node = fleet.nodes[name]
    node.is_wanted = False
    # The interpreter itself ends at the signal before the node handles it.
    had_started = node.has_started
    with _gap(fleet, name):
        node.process.terminate()
        code = await node.process.wait(STOP_TIMEOUT_S)
    if code and had_started:
        fleet.records.ended.append(f'{name} (planned stop, exit code {code})')
    fleet.restart(name)


async def _freeze(fleet: Fleet, name: str, for_s: float) -> None:
    process = fleet.nodes[name].process
    with _gap(fleet, name):
        process.freeze()
        await asyncio.sleep(for_s)
        process.wake()


@contextlib.contextmanager
def _gap(fleet: Fleet, name: str) -> Iterator[None]:
    """Record that a node is frozen or does not run in the block."""
    start = time.monotonic()
    try:
        yield
    finally:
        fleet.records.gaps.append(
            NodeGap(node=name, start=start, end=time.monotonic())
        )


def _link(find: Callable[[Fleet, str], Proxy], **change: object) -> Strike:
    async def strike(fleet: Fleet, name: str, for_s: float) -> None:
        proxy = find(fleet, name)
        await proxy.change(dict(change))
        await asyncio.sleep(for_s)
        await proxy.change({'restore': True})

    return strike


def _store_link(**change: object) -> Strike:
    return _link(lambda fleet, name: fleet.nodes[name].store, **change)


def _endpoint_link(**change: object) -> Strike:
    return _link(lambda fleet, name: fleet.endpoints[name][1], **change)


def _store(**faults: object) -> Strike:
    async def strike(fleet: Fleet, _name: str, for_s: float) -> None:
        healthy = {name: getattr(fleet.store, name) for name in faults}
        for name, fault in faults.items():
            setattr(fleet.store, name, fault)
        await asyncio.sleep(for_s)
        for name, state in healthy.items():
            setattr(fleet.store, name, state)

    return strike


async def _compact(fleet: Fleet, _name: str, _for_s: float) -> None:
    fleet.store.first_revision = fleet.store.revision


async def play_drill(
    fleet: Fleet, copy_age_s: float, changes: int, times: int = 1
) -> None:
    """Let the store come back from a copy without the newest configuration.

    :param fleet: whose store loses what it acknowledged
    :param copy_age_s: age of the copy when the store goes away, in seconds
    :param changes: writes of others that follow at once
    :param times: number of drills within seconds; the answers that follow the
        last one are recorded
    """
    starts = _count_starts(fleet)
    for _ in range(times):
        await _lose_writes(fleet, copy_age_s, changes)
    await asyncio.sleep(RETURN_S)
    started = _count_starts(fleet) - starts
    fleet.records.drills.append(
        Drill(
            gone_answers=fleet.store.gone_answers,
            requesters=len(fleet.nodes) + started,
        )
    )


async def _lose_writes(fleet: Fleet, copy_age_s: float, changes: int) -> None:
    copy = fleet.store.copy()
    await fleet.change_configuration()
    await _write_others(fleet, LOST_WRITES)
    await asyncio.sleep(copy_age_s)
    fleet.store.go_away()
    await asyncio.sleep(AWAY_S)
    fleet.store.gone_answers = 0
    await fleet.restore_store(copy)
    await _write_others(fleet, changes)


async def _write_others(fleet: Fleet, count: int) -> None:
    for number in range(count):
        await fleet.store.put(f'other/{number}', b'x')


async def _drill(fleet: Fleet, _name: str, for_s: float) -> None:
    await play_drill(fleet, for_s, MANY_CHANGES)


async def _drill_twice(fleet: Fleet, _name: str, for_s: float) -> None:
    await play_drill(fleet, for_s / 2, FEW_CHANGES, times=2)


def _count_starts(fleet: Fleet) -> int:
    return sum(node.starts for node in fleet.nodes.values())


async def _replace(fleet: Fleet, name: str, for_s: float) -> None:
    """Let an endpoint leave with notice, and come back as another run."""
    endpoint, proxy = fleet.endpoints[name]
    endpoint.leaves_ms = int(NOTICE_S * 1000)
    endpoint.lost_answers = list(LOST_ANSWERS)
    await fleet.register(name, 'draining')
    await asyncio.sleep(NOTICE_S)
    await proxy.change({'cut': True})
    await fleet.store.remove(f'servers/{endpoint.instance}')
    await asyncio.sleep(for_s)
    endpoint.lost_answers.clear()
    # The time of its start tells it from the former one at its address.
    endpoint.born += 1
    stem, _, number = endpoint.instance.rpartition('-')
    endpoint.instance = f'{stem}-{int(number) + 1}'
    endpoint.leaves_ms = None
    await proxy.change({'restore': True})
    await fleet.register(name)


async def _restart(fleet: Fleet, name: str, for_s: float) -> None:
    """Let an endpoint crash, and start again under the id that it had."""
    await fleet.restart_endpoint(name, for_s, keeps_id=True)


async def _say_leaving(fleet: Fleet, name: str, for_s: float) -> None:
    """Let an endpoint say in its answers that it leaves, then start again.

    Its entry in the store says that it is ready all the time.
    """
    endpoint, _ = fleet.endpoints[name]
    endpoint.said_headers = 'Server-Leaving: 1\r\n'
    await asyncio.sleep(LEAVING_S)
    endpoint.said_headers = ''
    await fleet.restart_endpoint(name, for_s, keeps_id=True)


async def _ask_for_time(fleet: Fleet, name: str, for_s: float) -> None:
    """Let an endpoint refuse all requests, and ask for time."""
    endpoint, _ = fleet.endpoints[name]
    instance = endpoint.instance
    fleet.asking[instance] = for_s
    endpoint.said_headers = f'Retry-After: {for_s}\r\n'
    await asyncio.sleep(for_s)
    endpoint.said_headers = ''
    fleet.asking.pop(instance)


async def _name_limit(fleet: Fleet, name: str, for_s: float) -> None:
    """Let an endpoint name what it takes from all nodes together."""
    endpoint, _ = fleet.endpoints[name]
    endpoint.limit = fleet.draw_limit()
    await asyncio.sleep(LIMIT_S + for_s)
    endpoint.limit = None


async def _add_odd_entry(fleet: Fleet, _name: str, for_s: float) -> None:
    """Let another writer add entries that name impossible endpoints."""
    for service in set(SERVICES.values()):
        endpoint, _ = fleet.endpoints['app-1']
        entry = endpoint.entry(service, 'north')
        entry['address'] = '127.0.0.1:99999'
        # It sorts before the others, and looks idle.
        await fleet.store.put(f'servers/a-odd-{service}', entry)
    await asyncio.sleep(for_s)
    for service in set(SERVICES.values()):
        await fleet.store.remove(f'servers/a-odd-{service}')


def _flag(name: str, more_s: float = 0) -> Strike:
    async def strike(fleet: Fleet, _name: str, for_s: float) -> None:
        setattr(fleet, name, True)
        await asyncio.sleep(for_s + more_s)
        setattr(fleet, name, False)

    return strike


async def _configure(fleet: Fleet, _name: str, _for_s: float) -> None:
    await fleet.change_configuration()


NODE_FAULTS: Final[dict[str, Strike]] = {
    'kill': _kill,
    'stop': _stop,
    'freeze': _freeze,
    'store_cut': _store_link(cut=True),
    'store_unreachable': _store_link(blackhole=True),
    'store_one_way': _store_link(one_way='down'),
    'store_connections_silent': _store_link(blackhole_existing=True),
}
ENDPOINT_FAULTS: Final[dict[str, Strike]] = {
    'endpoint_cut': _endpoint_link(cut=True),
    'endpoint_unreachable': _endpoint_link(blackhole=True),
    'endpoint_slow': _endpoint_link(delay_ms=150),
    'endpoint_connections_silent': _endpoint_link(blackhole_existing=True),
    'leaving': _say_leaving,
    'asks_for_time': _ask_for_time,
    'limit': _name_limit,
    'replace': _replace,
    'restart': _restart,
}
SHARED_FAULTS: Final[dict[str, Strike]] = {
    'store_refuses': _store(refuse_status=503),
    'store_silent': _store(is_silent=True),
    'store_loses_answers': _store(lose_answers=True),
    'store_compacts': _compact,
    'store_drill': _drill,
    'store_drills': _drill_twice,
    'configure': _configure,
    'deadly_part': _flag('has_deadly_part'),
    'odd_answers': _flag('has_odd_answers'),
    'copied_refusals': _flag('has_copied_refusals', COPIES_S),
    'odd_entry': _add_odd_entry,
}
STRIKES: Final = NODE_FAULTS | ENDPOINT_FAULTS | SHARED_FAULTS


def draw_series(draws: random.Random) -> tuple[Fault, ...]:
    """Return a series of faults, in the order of their start.

    :param draws: where chance comes from
    """
    faults = (_draw_fault(draws) for _ in range(FAULTS))
    return tuple(sorted(faults, key=lambda fault: fault.at_s))


def _draw_fault(draws: random.Random) -> Fault:
    kind = draws.choice(sorted(STRIKES))
    targets = NODES if kind in NODE_FAULTS else tuple(SERVICES)
    return Fault(
        kind=kind,
        target=draws.choice(targets),
        at_s=round(draws.uniform(0, SERIES_S), 2),
        for_s=round(draws.uniform(0.2, LONGEST_S), 2),
    )


async def play(fleet: Fleet, series: tuple[Fault, ...]) -> None:
    """Let a series of faults strike, and wait until all are over.

    Faults of one target follow each other; those of different ones overlap.

    :param fleet: what is struck
    :param series: the faults
    """
    locks = {fault.target: asyncio.Lock() for fault in series}
    shared = asyncio.Lock()

    async def strike(fault: Fault) -> None:
        await asyncio.sleep(fault.at_s)
        is_shared = fault.kind in SHARED_FAULTS
        async with shared if is_shared else locks[fault.target]:
            await STRIKES[fault.kind](fleet, fault.target, fault.for_s)

    await asyncio.gather(*(strike(fault) for fault in series))
    with contextlib.suppress(ProcessLookupError):
        for node in fleet.nodes.values():
            node.process.wake()
