"""What all connections of a process share."""

import dataclasses
from typing import Final

from mastichatch_core.relay.byte_budget import ByteBudget
from mastichatch_core.relay.process_signs import ProcessSigns
from mastichatch_node.relay.telemetry import Telemetry

BYTES_PER_MB: Final = 1_000_000
# Share of the memory of a process that its buffers may take. The program itself
# takes 34 MB, and a buffer exists twice for a moment when it is joined.
BUFFER_SHARE: Final = 0.35


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Resources:
    """Signs of other processes, and the bytes held for them.

    :param signs: what connections show of the processes of endpoints
    :param budget: bytes that are held for peers
    """

    signs: ProcessSigns
    budget: ByteBudget


def create_resources(memory_mb: float, telemetry: Telemetry) -> Resources:
    """Return the shared state of the connections of a process.

    :param memory_mb: memory above which the process is killed, in MB
    :param telemetry: logs each buffer that is given up, and shows all sizes
    """
    budget = ByteBudget(
        int(memory_mb * BYTES_PER_MB * BUFFER_SHARE), telemetry.log_shortage
    )
    telemetry.watch_budget(budget)
    return Resources(signs=ProcessSigns(), budget=budget)
