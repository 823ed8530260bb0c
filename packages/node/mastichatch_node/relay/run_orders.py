"""Keeps the orders to stop one run, and what they may have done to it.

Load pattern: the answer to an order is lost, or the order arrives late. It may
then have stopped the run, whichever attempt of the run it was meant for.
"""

from mastichatch_core.relay.model import Endpoint
from mastichatch_node.relay.run_transfer import RunLocation, StopOrder


class RunOrders:
    """Orders to engines to stop one run, one for each engine."""

    def __init__(self) -> None:
        """Start without orders."""
        self._orders: dict[str, StopOrder] = {}
        # Engines that may still carry out an order to stop an earlier attempt.
        self._late: set[str] = set()

    @property
    def all(self) -> tuple[StopOrder, ...]:
        """Orders to the engines, which need not have been sent."""
        return tuple(self._orders.values())

    def find(self, endpoint: Endpoint) -> StopOrder | None:
        """Return the order to an engine, if there is one.

        :param endpoint: the engine
        """
        return self._orders.get(endpoint.instance)

    def add(self, order: StopOrder) -> None:
        """Add the order to an engine.

        :param order: the order
        """
        self._orders[order.source.instance] = order

    def cancel(self, endpoint: Endpoint) -> None:
        """Cancel the order to an engine on which the run is about to begin.

        If it were repeated, it would stop the run that begins now.

        :param endpoint: the engine
        """
        order = self._orders.pop(endpoint.instance, None)
        if order is None:
            return
        order.cancel()
        if order.unanswered:
            self.record_late(endpoint)

    def abandon(self) -> None:
        """Repeat no order, since another node goes on with the run."""
        for order in self.all:
            order.is_settled = True
            order.cancel()

    def record_late(self, endpoint: Endpoint) -> None:
        """Record that an engine may still carry out an order sent earlier.

        :param endpoint: the engine
        """
        self._late.add(endpoint.instance)

    async def may_have_stopped(self, endpoint: Endpoint) -> bool:
        """Return whether a run that has ended may have stopped on an order.

        :param endpoint: the engine on which it has ended
        """
        if endpoint.instance in self._late:
            return True
        order = self.find(endpoint)
        # An order that is sent after the end of the run has not stopped it.
        if order is None or not order.may_have_stopped:
            return False
        outcome = await order.result()
        return not outcome.had_ended

    def newest_copy(self, location: RunLocation) -> RunLocation:
        """Return the copy that an order has made in place of an older one.

        :param location: the older copy, on the engine where the run resumes
        """
        for order in self.all:
            made = order.known_location()
            if made is None or order.is_settled:
                continue
            if made.endpoint.instance == location.endpoint.instance:
                order.is_settled = True
                return made
        return location

    def describe(self, endpoint: Endpoint) -> dict[str, object]:
        """Return what is known of the order to an engine, for the log.

        :param endpoint: the engine
        """
        order = self.find(endpoint)
        return {
            'orders_sent': 0 if order is None else order.sent,
            'orders_unanswered': 0 if order is None else order.unanswered,
        }
