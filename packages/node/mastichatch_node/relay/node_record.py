"""The record with which a relay node registers in the platform's store."""

from mastichatch_core.generated.records import NodeRecord
from mastichatch_node import codec
from mastichatch_node.peers import Peers
from mastichatch_node.relay.settings import RelaySettings


def create_node_record(
    settings: RelaySettings, peers: Peers, proxy_token: str
) -> bytes:
    """Return the record of a node, as JSON.

    :param settings: settings of the node
    :param peers: its connections to other nodes
    :param proxy_token: secret that proves requests between nodes
    """
    return codec.encode_json(
        NodeRecord(
            name=settings.name,
            incarnation=peers.incarnation,
            data_centre=settings.data_centre,
            peer_address=peers.address,
            http_address=settings.callers_address,
            link_mbps=settings.link_mbps,
            forwards_runs=True,
            grants_turns=True,
            grants_slots=True,
            proxy_address=settings.proxy_address,
            proxy_token=proxy_token,
            knows_eras=True,
        )
    )
