"""Leaves endpoints alone for the time that they ask for in refusals."""

import dataclasses
import random

from mastichatch_core.relay.plain_choice import EndpointStatsTable
from mastichatch_core.relay.server_pauses import pause_s
from mastichatch_core.relay.store_cache import StoreCache, endpoint_at
from mastichatch_node.clock import loop_time
from mastichatch_node.relay.dialect import Dialect, MoveOrder, MoveResponse
from mastichatch_node.relay.http_client import ConnectionPool, ResponseHead
from mastichatch_node.relay.telemetry import Telemetry


class PauseKeeper:
    """Records the time that endpoints ask for, and keeps control calls back."""

    def __init__(self, cache: StoreCache, telemetry: Telemetry) -> None:
        """Start without pauses.

        :param cache: cached entries of the store
        :param telemetry: logs the pauses
        """
        self._cache = cache
        self._records = EndpointStatsTable()
        self._telemetry = telemetry

    @property
    def records(self) -> EndpointStatsTable:
        """Statistics of endpoints, with their pauses."""
        return self._records

    def attach(self, pool: ConnectionPool, dialect: Dialect) -> Dialect:
        """Read the answers of endpoints, and keep control calls back.

        :param pool: connections to endpoints
        :param dialect: decodes the answers, and sends control calls
        :returns: a dialect that sends none to paused endpoints
        """

        def read_answer(address: str, head: ResponseHead) -> None:
            if pool.signs.may_be_former(address, head.connection):
                return
            self.record_request(address, dialect.read_pause_s(head))

        pool.observe_heads(read_answer)
        return _hold_back_control_calls(dialect, self)

    def record_request(self, address: str, requested_s: float | None) -> None:
        """Record that an endpoint asked for time.

        :param address: address of the endpoint
        :param requested_s: the time, in seconds; ``None`` without a valid one
        """
        length_s = pause_s(requested_s, random.random())  # noqa: S311
        now = loop_time()
        endpoint = endpoint_at(self._cache, address, now) if length_s else None
        if endpoint is None:
            return
        stats = self._records.get(endpoint.instance)
        if not stats.is_paused(now):
            self._telemetry.log_state_change(
                'endpoint_asked_for_time',
                instance=endpoint.instance,
                requested_s=requested_s,
                pause_s=round(length_s, 3),
            )
        stats.pause(now + length_s)

    def is_paused(self, address: str) -> bool:
        """Return whether the endpoint at an address wants no requests.

        :param address: IP address and port
        """
        now = loop_time()
        endpoint = endpoint_at(self._cache, address, now)
        if endpoint is None:
            return False
        return self._records.get(endpoint.instance).is_paused(now)


def _hold_back_control_calls(dialect: Dialect, keeper: PauseKeeper) -> Dialect:
    """Return a dialect that sends no control calls to paused endpoints.

    An order to stop a run is sent all the same: the run goes on elsewhere.

    :param dialect: sends the calls
    :param keeper: tells which endpoints are paused
    """

    async def query_departure(address: str) -> bool | None:
        if keeper.is_paused(address):
            return None
        return await dialect.query_departure(address)

    async def move_run(order: MoveOrder) -> MoveResponse:
        if not order.is_final and keeper.is_paused(order.address):
            return MoveResponse(status=0)
        return await dialect.move_run(order)

    async def drop_copy(address: str, handle: str) -> None:
        # The endpoint frees it by itself after a while.
        if not keeper.is_paused(address):
            await dialect.drop_copy(address, handle)

    return dataclasses.replace(
        dialect,
        query_departure=query_departure,
        move_run=move_run,
        drop_copy=drop_copy,
    )
