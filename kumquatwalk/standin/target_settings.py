"""Settings of a stand-in target."""

import dataclasses
from collections.abc import Mapping

__all__ = ["TargetSettings"]


@dataclasses.dataclass(frozen=True, slots=True)
class TargetSettings:
    """Settings of one stand-in target.

    Attributes:
        host: Address to listen on.
        port: Port to listen on; 0 lets the system choose.
        service: Service that the target belongs to.
        node_host: Address of the node's local listener; empty for no node.
        node_port: Port of the node's local listener.
        slots: Calls run at once.
        connections: Connections announced to the node.
        service_ms: Mean service time of a run, in milliseconds.
        cold_start_ms: Time after the start during which the target warms up.
        calls: Entries that a run of an entry calls, by entry.
        is_parallel: Whether a run makes its calls at the same time.
        queue: Calls that may wait for a slot; others are shed.
        queue_ms: Longest wait for a slot, in milliseconds.
        seed: Seed of the service times.
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
