"""Keeps the models that the manifest names loaded in the engines.

One node of each data centre holds a key under a platform lease, and the key's
revision is the fencing number of its orders. While the platform is unreachable
no node sends new orders, and serving continues.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Final

from absl import logging

from mastichatch_core import placement as rules
from mastichatch_core import rendezvous
from mastichatch_core.catalogue import Catalogue
from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.manifest import Endpoint
from mastichatch_core.generated.settings import Settings
from mastichatch_core.units import MS_PER_S
from mastichatch_node.configuration import Configuration
from mastichatch_node.decisions import DecisionLog
from mastichatch_node.leases import Lease
from mastichatch_node.members import Membership
from mastichatch_node.orders import Orders, open_orders
from mastichatch_node.platform import Platform, RevisionMismatchError

STEP_S: Final = 1.0
KEY_PREFIX: Final = 'placement/'
# The state of an engine with all its models is read once in this many steps.
COMPLETE_ENGINE_STEPS: Final = 15


class Placement:
    """Holds the placement key of a data centre if this node is chosen for it.

    Only the holder of the key sends orders to the engines.
    """

    def __init__(
        self,
        settings: Settings,
        platform: Platform,
        membership: Membership,
        configuration: Configuration,
        orders: Orders,
        decisions: DecisionLog,
    ) -> None:
        """Store the dependencies; the placement is not held yet."""
        self._settings = settings
        self._platform = platform
        self._membership = membership
        self._configuration = configuration
        self._orders = orders
        self._decisions = decisions
        self._loop = asyncio.get_running_loop()
        self._lease = Lease(settings.node_lease_ms)
        self._renewed_at: float = 0
        self._term: rules.PlacementTerm | None = None
        self._steps = 0

    @property
    def fence(self) -> int:
        """Fencing number while this node holds the placement, or else zero."""
        held = self._term is not None and self._is_lease_valid()
        return self._term.fence if self._term and held else 0

    async def step(self) -> None:
        """Acquire, renew or release the placement; send at most one order."""
        if not self._is_preferred_holder():
            await self.release_placement()
            return
        try:
            await self._ensure_held()
        except MastichatchError as error:
            logging.warning(
                'acquiring or renewing the placement failed: %s', error
            )
        if self._term is not None and self._is_lease_valid():
            await self._send_next_order(self._term)

    async def release_placement(self) -> None:
        """Release the placement so that another node can acquire it."""
        self._term = None
        if self._lease.name:
            await self._lease.revoke(self._platform)

    def _is_preferred_holder(self) -> bool:
        names = [member.name for member in self._membership.live()]
        own_data_centre = self._settings.data_centre
        if not names or self._configuration.current is None:
            return False
        return (
            rendezvous.pick(names, KEY_PREFIX + own_data_centre)
            == self._settings.name
        )

    def _is_lease_valid(self) -> bool:
        return self._loop.time() < self._lease.ends_at

    async def _ensure_held(self) -> None:
        """Renew the lease if due, and acquire the key if it is free."""
        due_at = self._renewed_at + self._lease.interval_s
        if self._term is not None and self._loop.time() < due_at:
            return
        is_new = await self._lease.renew(self._platform)
        self._renewed_at = self._loop.time()
        if is_new:
            self._term = None
        if self._term is None:
            await self._acquire()

    async def _acquire(self) -> None:
        key = KEY_PREFIX + self._settings.data_centre
        lease_name = self._lease.name.encode()
        stored = await self._platform.read(key)
        if stored is None:
            with contextlib.suppress(RevisionMismatchError):
                await self._platform.write(
                    key,
                    lease_name,
                    expect=0,
                    lease=self._lease.name,
                )
            # Reading the key back also resolves a lost answer in a later step.
            stored = await self._platform.read(key)
        if stored is None or stored.value != lease_name:
            return
        self._term = rules.PlacementTerm(
            stored.revision,
            self._settings.node_lease_ms / MS_PER_S,
            self._loop.time(),
        )
        logging.info(
            'placement held',
            extra={'event': 'placement_held', 'term': stored.revision},
        )

    async def _send_next_order(self, term: rules.PlacementTerm) -> None:
        catalogue = self._configuration.current
        if catalogue is None:
            return
        endpoints = self._endpoints(catalogue)
        await self._read_states(term, endpoints)
        budget = rules.divide_load_budget(catalogue.manifest)
        now = self._loop.time()
        order = rules.next_order(term, endpoints, budget, now)
        if order is not None:
            await self._send_order(term, order)

    async def _send_order(
        self, term: rules.PlacementTerm, order: rules.Order
    ) -> None:
        reason = 'refused'
        try:
            if await self._orders.give(order, self._is_lease_valid):
                reason = 'accepted'
        except MastichatchError as error:
            reason = str(error)
        if not self._is_lease_valid():
            # The next holder reads the effect of the order from the engine.
            reason = f'{reason}; the lease has ended'
        rules.record_order(term, order, self._loop.time())
        self._decisions.note(
            'placement_order',
            '',
            choice=f'{order.endpoint.name} {order.kind} {order.name}',
            reason=reason,
            term=order.fence,
            revision=self._configuration.revision,
        )

    def _endpoints(self, catalogue: Catalogue) -> tuple[Endpoint, ...]:
        leaving = self._membership.leaving_hosts
        return tuple(
            endpoint
            for endpoint in catalogue.manifest.endpoints
            if endpoint.models
            and endpoint.data_centre == self._settings.data_centre
            and endpoint.host not in leaving
            and not catalogue.is_drained(endpoint)
        )

    async def _read_states(
        self,
        term: rules.PlacementTerm,
        endpoints: tuple[Endpoint, ...],
    ) -> None:
        self._steps += 1
        reads_all = self._steps % COMPLETE_ENGINE_STEPS == 0
        due = (
            endpoint
            for endpoint in endpoints
            if reads_all or not rules.is_complete(term, endpoint)
        )
        await asyncio.gather(*(self._read_state(term, each) for each in due))

    async def _read_state(
        self, term: rules.PlacementTerm, endpoint: Endpoint
    ) -> None:
        try:
            state = await self._orders.read_state(endpoint.address)
        except MastichatchError as error:
            term.states.pop(endpoint.name, None)
            logging.warning('reading the state of an engine failed: %s', error)
        else:
            rules.record_state(term, endpoint.name, state)


@contextlib.asynccontextmanager
async def open_placement(
    settings: Settings,
    platform: Platform,
    membership: Membership,
    configuration: Configuration,
    decisions: DecisionLog,
) -> AsyncIterator[Placement]:
    """Participate in the placement of the data centre until the context ends.

    :param settings: settings of the node
    :param platform: platform that stores the placement key
    :param membership: live nodes, one of which should hold the placement
    :param configuration: manifest with the models of each endpoint
    :param decisions: log that records the orders
    """
    async with open_orders() as orders:
        placement = Placement(
            settings,
            platform,
            membership,
            configuration,
            orders,
            decisions,
        )
        task = asyncio.create_task(_step_regularly(placement))
        try:
            yield placement
        finally:
            task.cancel()
            await placement.release_placement()


async def _step_regularly(placement: Placement) -> None:
    while True:
        try:
            await placement.step()
        except Exception:
            logging.exception('a placement step failed')
        await asyncio.sleep(STEP_S)
