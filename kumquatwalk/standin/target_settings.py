"""Settings of a simulated target."""

import dataclasses
from collections.abc import Mapping

__all__ = ["TargetSettings"]


@dataclasses.dataclass(frozen=True, slots=True)
class TargetSettings:
    """Settings of a simulated target.

    Attributes:
        host: Address to listen on.
        port: Port to listen on; 0 for any free port.
        service: Service of the target.
        node_host: Address of the node's local listener; empty for no node.
        node_port: Port of the node's local listener.
        slots: Concurrency limit of runs.
        connections: Number of connections reported to the node.
        service_ms: Mean service time of a run, in milliseconds.
        cold_start_ms: Duration of the warm-up after the start, in
            milliseconds, during which the service time is longer.
        calls: Entries called by each run of an entry, by entry.
        is_parallel: Whether the nested calls of a run are concurrent.
        queue: Queue length for calls without a slot; calls beyond it are shed.
        queue_ms: Timeout of queued calls, in milliseconds.
        seed: Random seed of the service times.
        record_path: File to which each start and end of a run is appended;
            empty for none.
    """

    host: str
    port: int
    service: str
    node_host: str
    node_port: int
    slots: int
    connections: int
    service_ms: float
    cold_start_ms: float = 0.0
    calls: Mapping[str, tuple[str, ...]] = dataclasses.field(
        default_factory=dict
    )
    is_parallel: bool = False
    queue: int = 0
    queue_ms: float = 50.0
    seed: int = 0
    record_path: str = ""
