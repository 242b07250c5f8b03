"""Settings of a node."""

import dataclasses

from kumquatwalk.address import Address
from kumquatwalk.config.fleet_config import CallerLimits
from kumquatwalk.daemon.settings import DaemonSettings
from kumquatwalk.daemon.settings import FleetBounds
from kumquatwalk.logs.level import Level

__all__ = ["NodeSettings"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodeSettings:
    """Settings of one node, checked before the node starts.

    For a port of zero the operating system chooses a free one.

    Attributes:
        node_id: Name of the node, unique in the fleet.
        zone: Availability zone of the VM.
        host: IP address of the VM, bound by all listeners but the local one.
        http_port: TCP port for outside callers.
        local_host: Loopback address of the local listener.
        local_port: TCP port of the local listener.
        link_port: TCP port for links from other nodes.
        platform: Address of the platform's store.
        shutdown_timeout_s: Max duration of a graceful shutdown, in seconds.
        body_bytes_max: Max size of a request or answer body, in bytes.
        header_bytes_max: Max size of a header section, in bytes.
        log_level: Min level of the messages that are logged.
        enable_faults: Whether faults can be injected for tests.
    """

    node_id: str
    zone: str
    host: str
    http_port: int
    local_host: str
    local_port: int
    link_port: int
    platform: Address
    shutdown_timeout_s: float
    body_bytes_max: int
    header_bytes_max: int
    log_level: Level
    enable_faults: bool

    def make_daemon_settings(self) -> DaemonSettings:
        """Return the settings of the components that all interfaces share.

        The service and the port of the target are left empty, because the
        target announces them.
        """
        local = Address(self.local_host, self.local_port)
        return DaemonSettings(
            node_id=self.node_id,
            availability_zone=self.zone,
            service="",
            target=Address(self.local_host, 0),
            caller_listener=Address(self.host, self.http_port),
            link_listener=Address(self.host, self.link_port),
            readiness_listener=local,
            heartbeat_listener=local,
            store=self.platform,
            metrics_listener=local,
            bounds=FleetBounds(grace_s=self.shutdown_timeout_s),
        )

    def make_caller_limits(self) -> CallerLimits:
        """Return the limits on what callers may send."""
        return CallerLimits(self.header_bytes_max, self.body_bytes_max)
