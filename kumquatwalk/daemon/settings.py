"""Settings of the daemon."""

import dataclasses

from kumquatwalk.address import Address

__all__ = ["DaemonSettings", "FleetBounds"]


@dataclasses.dataclass(frozen=True, slots=True)
class FleetBounds:
    """Bounds that the operators promise to callers and targets.

    Attributes:
        drain_s: Time after which a leaving target gets no new request.
        grace_s: Time from SIGTERM to SIGKILL.
        retry_ratio: Repeated arrivals allowed, over first ones, per service.
        retry_window_s: Window in which the ratio holds.
        retry_slack: Repeated arrivals allowed in a window beyond the ratio.
        address_reuse_s: Time after which an address may serve another target.
    """

    drain_s: float = 2.0
    grace_s: float = 6.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 48.0
    address_reuse_s: float = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class DaemonSettings:
    """Settings of one daemon.

    Attributes:
        node_id: Name of the node.
        availability_zone: Zone of the VM.
        host: IP number of the VM.
        service: Service of the target on the VM.
        target: Address of the target on the VM.
        caller_listener: Address for callers and for the target's own calls.
        link_listener: Address for other nodes.
        readiness_listener: Address for readiness checks.
        heartbeat_listener: Address for the target's heartbeats.
        store: Address of the platform's store.
        lease_ttl_min_s: Shortest lease, in seconds.
        heartbeat_interval_s: Time between heartbeats of a target, in seconds.
        memory_max_bytes: Memory at which the process is killed.
        descriptors_max: Descriptors that the process may open.
        metrics_port: Port of metrics and status.
        bounds: Bounds promised to callers and targets.
    """

    node_id: str
    availability_zone: str
    host: str
    service: str
    target: Address
    caller_listener: Address
    link_listener: Address
    readiness_listener: Address
    heartbeat_listener: Address
    store: Address
    lease_ttl_min_s: float
    heartbeat_interval_s: float
    memory_max_bytes: int
    descriptors_max: int
    metrics_port: int
    bounds: FleetBounds
