"""What an adapter to a platform implements."""

import dataclasses
from collections.abc import Callable

from mastichatch_core.relay.store_cache import Decoders
from mastichatch_node.relay.dialect import Dialect
from mastichatch_node.relay.http_client import ConnectionPool
from mastichatch_node.relay.rollouts.deciding import StatusEncoder
from mastichatch_node.relay.store_following import Store


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Adapter:
    """Implementation of the platform's protocols.

    :param decoders: decoders of store entries
    :param open_store: creates the store client, given the store's address and
        a connection pool
    :param open_dialect: creates the functions for headers and engine calls,
        given the connections to endpoints
    :param rollout_status: returns the key and the document that tell operators
        of a phase of their order, given the order's entry
    """

    decoders: Decoders
    open_store: Callable[[str, ConnectionPool], Store]
    open_dialect: Callable[[ConnectionPool], Dialect]
    rollout_status: StatusEncoder
