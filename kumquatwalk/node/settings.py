"""Settings of a node, checked before anything is started."""

import dataclasses

from kumquatwalk.logs.level import Level
from kumquatwalk.address import Address

__all__ = ["NodeSettings"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodeSettings:
    """Settings of one node.

    A port of zero lets the operating system choose a free one.

    Attributes:
        node_id: Name of the node, unique in the fleet.
        zone: Availability zone of the VM.
        zones: All availability zones, whose first nodes are looked up in the
            platform.
        host: IP number of the VM, used by all listeners but the local one.
        http_port: TCP port for outside callers.
        local_host: Loopback address of the local listener.
        local_port: TCP port of the local listener.
        link_port: TCP port for links from other nodes.
        gossip_port: UDP port for membership messages.
        platform: Addresses of the platform's key-value service; may be empty.
        peers: Gossip addresses of nodes to join through besides the platform.
        shutdown_timeout_s: Longest time of a graceful stop, in seconds.
        workers_max: HTTP worker threads.
        link_connections_max: Links taken from other nodes at once.
        body_bytes_max: Largest body of a request or of an answer, in bytes.
        header_bytes_max: Largest header section, in bytes.
        log_level: Lowest level that is logged.
        enable_faults: Whether faults can be injected for tests.
    """

    node_id: str
    zone: str
    zones: tuple[str, ...]
    host: str
    http_port: int
    local_host: str
    local_port: int
    link_port: int
    gossip_port: int
    platform: tuple[Address, ...]
    peers: tuple[Address, ...]
    shutdown_timeout_s: float
    workers_max: int
    link_connections_max: int
    body_bytes_max: int
    header_bytes_max: int
    log_level: Level
    enable_faults: bool
