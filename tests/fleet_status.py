"""Reads the state of a fleet's nodes, for tests."""

import time
from collections.abc import Callable, Iterable
from typing import Any

import aiohttp

from tests.processes import Fleet, poll_until

Status = dict[str, Any]
TIMEOUT = aiohttp.ClientTimeout(total=1)


async def read_status(fleet: Fleet, name: str) -> Status:
    """Return a node's state; empty where it does not answer."""
    url = f'{fleet.nodes[name].url}/admin/status'
    try:
        async with fleet.session.get(url, timeout=TIMEOUT) as answer:
            status: Status = await answer.json()
            return status
    except (aiohttp.ClientError, TimeoutError):
        return {}


async def read_answered_status(
    fleet: Fleet, name: str, limit_s: float = 20
) -> Status:
    """Return a node's state, and ask again while the node does not answer.

    A node that is short of processor time may not answer within ``TIMEOUT``.
    That is not an empty view of the others.
    """
    status: Status = {}

    async def answers() -> bool:
        nonlocal status
        status = await read_status(fleet, name)
        return bool(status)

    await poll_until(answers, f'an answer of {name}', limit_s)
    return status


def heard(status: Status) -> set[str]:
    """Return the names of the nodes that a node hears."""
    members = status.get('members', ())
    return {member['name'] for member in members if member['heard']}


def known(status: Status) -> set[str]:
    """Return the names of the nodes that a node counts on."""
    return {member['name'] for member in status.get('members', ())}


async def until_all(
    fleet: Fleet,
    names: Iterable[str],
    condition: Callable[[Status], bool],
    what: str,
    limit_s: float = 20,
) -> float:
    """Wait until a condition holds of the state of some nodes.

    :returns: the time that it took, in seconds
    """
    began_at = time.monotonic()

    async def holds() -> bool:
        for name in names:
            if not condition(await read_status(fleet, name)):
                return False
        return True

    await poll_until(holds, what, limit_s)
    return time.monotonic() - began_at
