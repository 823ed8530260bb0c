"""Plays one seed of the soak."""

import asyncio
import contextlib
import dataclasses
import pathlib
import random
import time
from collections.abc import AsyncIterator
from typing import Final

import aiohttp

from tests.soak import faults
from tests.soak.fleet import Fleet, open_fleet
from tests.soak.load import Callers
from tests.soak.promises import KEY_LIMIT_S, KEY_SLACK_S, broken_promises
from tests.soak.records import Records
from tests.soak.rollouts import open_rollout

# The fleet serves again within this time of its return, by the users' sheets.
RECOVER_S: Final = 12.0
START_S: Final = 30.0
POLL_S: Final = 0.1
# One seed of so many also rolls out a version, good or bad.
ROLLOUT_SEEDS: Final = 2
# One seed of so many also takes the callers' key away, for 6 s more.
REVOKING_SEEDS: Final = 3


@dataclasses.dataclass(frozen=True, kw_only=True)
class Verdict:
    """What came of one seed.

    :param broken: a line for each promise that was broken
    :param sent: requests sent
    :param served: those answered with a whole success
    """

    broken: tuple[str, ...]
    sent: int
    served: int


async def play_seed(seed: int, folder: pathlib.Path) -> Verdict:
    """Play the faults of a seed and judge what was seen.

    :param seed: decides faults, load and answers
    :param folder: where nodes write their logs
    """
    draws = random.Random(seed)
    series = faults.draw_series(draws)
    async with open_fleet(folder, draws) as fleet:
        if not await all_ready(fleet, START_S):
            return _judge(fleet.records, ['the fleet did not become ready'])
        callers = Callers(fleet, draws)
        if seed % ROLLOUT_SEEDS:
            broken = await _play(fleet, callers, series)
        else:
            # Draws of its own leave the other seeds as they were.
            async with open_rollout(fleet, random.Random(seed)) as rollout:
                broken = await _play(fleet, callers, series)
                async with calling(callers):
                    broken.extend([line async for line in rollout.end()])
                await callers.finish()
                broken.extend(rollout.broken_promises())
        if not seed % REVOKING_SEEDS:
            await _revoke(fleet, callers, draws)
        return _judge(fleet.records, broken)


async def _play(
    fleet: Fleet, callers: Callers, series: tuple[faults.Fault, ...]
) -> list[str]:
    """Let faults strike, and return what is still not served afterwards."""
    async with calling(callers):
        await faults.play(fleet, series)
    await callers.finish()
    fleet.note_ended()
    return await _look_after_calm(fleet, callers)


def _judge(records: Records, broken: list[str]) -> Verdict:
    served = [
        one for one in records.outcomes if one.status == 200 and one.is_whole
    ]
    return Verdict(
        broken=(*broken, *broken_promises(records)),
        sent=len(records.outcomes),
        served=len(served),
    )


@contextlib.asynccontextmanager
async def calling(callers: Callers) -> AsyncIterator[None]:
    """Call until the end of the block.

    :param callers: who calls
    """
    task = asyncio.ensure_future(callers.repeat())
    try:
        yield
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


async def _look_after_calm(fleet: Fleet, callers: Callers) -> list[str]:
    """Return what is still not served once all faults are over."""
    fleet.is_calm = True
    ends_at = time.monotonic() + RECOVER_S
    if not await all_ready(fleet, RECOVER_S):
        return [f'not all nodes were ready {RECOVER_S} s after the last fault']
    # What nodes believe of endpoints may recover later than they are ready.
    await asyncio.sleep(max(0, ends_at - time.monotonic()))
    outcomes = await callers.call_all_kinds()
    fleet.records.outcomes.extend(outcomes)
    return [
        f'{one.request_id} got {one.status} from {one.node} in the calm'
        for one in outcomes
        if one.status != 200 or not one.is_whole
    ]


async def _revoke(fleet: Fleet, callers: Callers, draws: random.Random) -> None:
    """Take the key away while a node cannot learn of it."""
    node = fleet.nodes[draws.choice(sorted(fleet.nodes))]
    link = draws.choice(('cut', 'blackhole', 'blackhole_existing'))
    await node.store.change({link: True})
    # A host that wakes finds what callers sent meanwhile, but not the change.
    if draws.choice((True, False)):
        node.process.freeze()
    await fleet.change_configuration(with_key=False)
    fleet.records.key_revoked_at = time.monotonic()
    async with calling(callers):
        await asyncio.sleep(KEY_LIMIT_S + 2 * KEY_SLACK_S)
        node.process.wake()
        await asyncio.sleep(2 * KEY_SLACK_S)
    await callers.finish()


async def all_ready(fleet: Fleet, timeout_s: float) -> bool:
    """Return whether all nodes say that they are ready, in time.

    :param fleet: the nodes
    :param timeout_s: longest wait, in seconds
    """
    ends_at = time.monotonic() + timeout_s
    timeout = aiohttp.ClientTimeout(total=1)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        while time.monotonic() < ends_at:
            answers = [
                await _is_ready(session, node.addresses['ready'])
                for node in fleet.nodes.values()
            ]
            if all(answers):
                return True
            await asyncio.sleep(POLL_S)
    return False


async def _is_ready(session: aiohttp.ClientSession, address: str) -> bool:
    try:
        async with session.get(f'http://{address}/mastichatch/ready') as answer:
            return answer.status == 200
    except (aiohttp.ClientError, TimeoutError):
        return False
