"""Settings of the daemon."""

import dataclasses

from kumquatwalk.address import Address

__all__ = ["DaemonSettings", "FleetBounds"]


@dataclasses.dataclass(frozen=True, slots=True)
class FleetBounds:
    """Bounds that the operators set for the fleet.

    The node keeps its retries within the retry bounds and ends its drain within
    ``grace_s``. It does not use ``drain_s`` and ``address_reuse_s``.

    Attributes:
        drain_s: Time after which a leaving target gets no new request, in
            seconds.
        grace_s: Time from SIGTERM to SIGKILL, in seconds.
        retry_ratio: Maximum ratio of retries to first attempts that arrive at
            a service.
        retry_window_s: Window in which the ratio holds, in seconds.
        retry_slack: Number of retries allowed in a window beyond the ratio.
        address_reuse_s: Time after which an address may be reused by another
            target, in seconds.
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
        node_id: Identifier of the node.
        availability_zone: Availability zone of the VM.
        service: Service of the target on the VM; empty to use the service that
            the target announces.
        target: Address of the target on the VM.
        caller_listener: Address for callers and for the target's own calls.
        link_listener: Address for other nodes.
        readiness_listener: Address for readiness checks.
        heartbeat_listener: Address for the target's heartbeats.
        store: Address of the platform's store.
        metrics_listener: Address for metrics and status; None to disable it.
        bounds: Bounds that the operators set for the fleet.
        memory_max_bytes: Memory that the process may take, in bytes.
        zones: Names of all zones of the deployment; empty if not known.
        fds_max: File descriptors that the process may open.
        admits_by_retries: Whether the ingress limits requests to those that
            the retries left can finish while targets refuse calls, and the
            retry budgets are reserved and paced for them.
    """

    node_id: str
    availability_zone: str
    service: str
    target: Address
    caller_listener: Address
    link_listener: Address
    readiness_listener: Address
    heartbeat_listener: Address
    store: Address
    metrics_listener: Address | None
    bounds: FleetBounds
    memory_max_bytes: int = 256 * 1024 * 1024
    zones: tuple[str, ...] = ()
    fds_max: int = 4096
    admits_by_retries: bool = False
