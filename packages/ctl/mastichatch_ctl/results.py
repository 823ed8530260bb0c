"""What the commands return: typed results, rendered as text or JSON."""

import dataclasses

from mastichatch_core.generated.messages import (
    Decision,
    ErrorKind,
    NodeStatus,
    SuspectedListing,
)
from mastichatch_core.generated.records import Change, Drain
from mastichatch_core.manifest import ManifestFault


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Validated:
    """A manifest without faults.

    :param data_centres: number of data centres
    :param services: number of services
    :param endpoints: number of endpoints
    :param workspaces: number of workspaces
    """

    data_centres: int
    services: int
    endpoints: int
    workspaces: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Accepted:
    """A change that is known to be in the platform.

    :param revision: revision that it made
    :param change_id: unique id of the change
    """

    revision: int
    change_id: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Difference:
    """One item of the manifest that differs.

    :param section: list of the manifest, such as ``endpoints``
    :param name: name of the item
    :param effect: ``added``, ``removed`` or ``changed``
    :param fields: what changed, as ``field: old -> new``
    """

    section: str
    name: str
    effect: str
    fields: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Comparison:
    """How a manifest differs from the one in force.

    :param revision: revision in force; zero for none
    :param differences: every item that differs
    """

    revision: int
    differences: tuple[Difference, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Checked:
    """A valid manifest, and what may be wrong with it all the same.

    :param counts: numbers of its entries
    :param warnings: entries without effect, or that contradict others
    :param comparison: how it differs from another one, if one was given
    """

    counts: Validated
    warnings: tuple[ManifestFault, ...]
    comparison: Comparison | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class History:
    """The newest changes of the configuration.

    :param revision: revision in force; zero for none
    :param changes: newest last
    :param drains: what is out of service now
    """

    revision: int
    changes: tuple[Change, ...] = ()
    drains: tuple[Drain, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodeAnswer:
    """What one node answered.

    :param address: HTTP address of the node
    :param status: its state; ``None`` where it did not answer
    :param failure: why it did not answer
    """

    address: str
    status: NodeStatus | None = None
    failure: str = ''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FleetStatus:
    """The state of every node that was asked.

    :param nodes: one answer for each node
    """

    nodes: tuple[NodeAnswer, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InForce:
    """Nodes that have taken up a revision.

    :param revision: revision that was waited for
    :param nodes: number of nodes that have it in force
    :param waited_ms: how long it took, in milliseconds
    """

    revision: int
    nodes: int
    waited_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Explanation:
    """A request's decisions, oldest first.

    :param request_id: id of the request
    :param decisions: decisions of all nodes that were reached
    """

    request_id: str
    decisions: tuple[Decision, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Failure:
    """Why a command failed.

    :param kind: one of the closed list
    :param message: what happened, for a person
    :param faults: every fault of a manifest
    """

    kind: ErrorKind
    message: str
    faults: tuple[ManifestFault, ...] = ()


Result = (
    Validated
    | Checked
    | Accepted
    | Comparison
    | History
    | FleetStatus
    | InForce
    | Explanation
    | SuspectedListing
)
